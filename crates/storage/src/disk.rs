//! File operations that change the folder, each of which a hook may fail.

use std::fmt;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write as _;
use std::path::Path;

use sassafras_util::Error;

/// An operation on a file or folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Creates a file.
    Create,
    /// Writes this many bytes at the end of a file.
    Write(usize),
    /// Syncs a file.
    Sync,
    /// Shortens a file.
    Truncate,
    /// Renames a file to the path.
    Rename,
    /// Removes a file.
    Remove,
    /// Syncs a folder.
    SyncFolder,
}

/// Called before every operation. An error is returned in place of the operation. For
/// [`Operation::Write`] the result is the number of bytes to write; when it is less than
/// asked for, the write then fails as on a full disk.
pub type Hook = Box<dyn FnMut(Operation, &Path) -> io::Result<usize> + Send>;

/// The file layer of a store.
pub(crate) struct Disk {
    hook: Option<Hook>,
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hooked = self.hook.is_some();
        f.debug_struct("Disk").field("hooked", &hooked).finish()
    }
}

impl Disk {
    pub(crate) fn new(hook: Option<Hook>) -> Self {
        Self { hook }
    }

    fn before(&mut self, operation: Operation, path: &Path) -> Result<usize, Error> {
        let all = match operation {
            Operation::Write(bytes) => bytes,
            _ => 0,
        };
        let Some(hook) = &mut self.hook else {
            return Ok(all);
        };
        hook(operation, path).map_err(|e| failed(operation, path, e))
    }

    pub(crate) fn create(&mut self, path: &Path) -> Result<File, Error> {
        self.before(Operation::Create, path)?;
        let mut options = File::options();
        let options = options.read(true).append(true).create_new(true);
        let file = options.open(path);
        file.map_err(|e| failed(Operation::Create, path, e))
    }

    pub(crate) fn write(&mut self, file: &File, path: &Path, data: &[u8]) -> Result<(), Error> {
        let operation = Operation::Write(data.len());
        let allowed = self.before(operation, path)?.min(data.len());
        let mut writer = file;
        let written = writer.write_all(&data[..allowed]).and_then(|()| {
            let whole = allowed == data.len();
            whole
                .then_some(())
                .ok_or_else(|| io::ErrorKind::StorageFull.into())
        });
        written.map_err(|e| failed(operation, path, e))
    }

    pub(crate) fn sync(&mut self, file: &File, path: &Path) -> Result<(), Error> {
        self.sync_with(Operation::Sync, path, || file.sync_all())
    }

    /// Syncs the content of a file and what is needed to read it back.
    pub(crate) fn sync_data(&mut self, file: &File, path: &Path) -> Result<(), Error> {
        self.sync_with(Operation::Sync, path, || file.sync_data())
    }

    pub(crate) fn sync_folder(&mut self, folder: &Path) -> Result<(), Error> {
        let sync = || File::open(folder).and_then(|f| f.sync_all());
        self.sync_with(Operation::SyncFolder, folder, sync)
    }

    /// Syncs, and marks the folder when that fails. The system may go on to show unwritten
    /// data as if it were on disk, so a restarted process must not trust the folder either.
    fn sync_with(
        &mut self,
        operation: Operation,
        path: &Path,
        sync: impl FnOnce() -> io::Result<()>,
    ) -> Result<(), Error> {
        let before = self.before(operation, path);
        let synced = before.and_then(|_| sync().map_err(|e| failed(operation, path, e)));
        if synced.is_err() {
            let folder = match operation {
                Operation::SyncFolder => Some(path),
                _ => path.parent(),
            };
            let marked = folder.map(|f| self.create(&f.join(FAILED)));
            // There is nothing left to do when the mark cannot be made.
            drop(marked);
        }
        synced
    }

    pub(crate) fn truncate(&mut self, file: &File, path: &Path, len: u64) -> Result<(), Error> {
        self.before(Operation::Truncate, path)?;
        let truncated = file.set_len(len);
        truncated.map_err(|e| failed(Operation::Truncate, path, e))
    }

    pub(crate) fn rename(&mut self, from: &Path, to: &Path) -> Result<(), Error> {
        self.before(Operation::Rename, to)?;
        fs::rename(from, to).map_err(|e| failed(Operation::Rename, to, e))
    }

    pub(crate) fn remove(&mut self, path: &Path) -> Result<(), Error> {
        self.before(Operation::Remove, path)?;
        fs::remove_file(path).map_err(|e| failed(Operation::Remove, path, e))
    }

    /// Writes a file under a temporary name, syncs it, renames it and syncs the folder.
    pub(crate) fn replace(&mut self, path: &Path, parts: &[&[u8]]) -> Result<(), Error> {
        let temporary = path.with_extension(TEMPORARY);
        if temporary.exists() {
            self.remove(&temporary)?;
        }
        let file = self.create(&temporary)?;
        for part in parts {
            self.write(&file, &temporary, part)?;
        }
        self.sync(&file, &temporary)?;
        self.rename(&temporary, path)?;
        self.sync_folder(path.parent().unwrap_or(Path::new(".")))
    }
}

/// File that marks a folder in which a sync has failed.
pub(crate) const FAILED: &str = "failed";

/// Extension of files that are not complete yet.
pub(crate) const TEMPORARY: &str = "tmp";

fn failed(operation: Operation, path: &Path, e: io::Error) -> Error {
    let doing = match operation {
        Operation::Create => "create",
        Operation::Write(_) => "write",
        Operation::Sync => "sync",
        Operation::Truncate => "truncate",
        Operation::Rename => "rename",
        Operation::Remove => "remove",
        Operation::SyncFolder => "sync folder",
    };
    Error::from(e).context(format_args!("{doing} {}", path.display()))
}
