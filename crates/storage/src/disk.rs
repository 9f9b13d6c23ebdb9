//! File operations that modify the data folder. A hook can make each of them fail.

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
    /// Appends this many bytes to a file.
    Write(usize),
    /// Syncs a file.
    Sync,
    /// Truncates a file.
    Truncate,
    /// Renames a file to the given path.
    Rename,
    /// Removes a file.
    Remove,
    /// Syncs a folder.
    SyncFolder,
}

/// Whether a write has reached the disk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum Progress {
    /// The data is on disk.
    Done,
    /// The disk is full. The data is kept in memory until it is written by a later call.
    Full,
}

/// Function that is called before every operation. If it returns an error, the operation fails
/// with it. For [`Operation::Write`] it returns the number of bytes to write. If that is less than
/// requested, the write fails after these bytes as on a full disk.
pub type Hook = Box<dyn FnMut(Operation, &Path) -> io::Result<usize> + Send>;

/// File operations of a store.
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

    fn run_hook(&mut self, operation: Operation, path: &Path) -> Result<usize, Error> {
        let requested = match operation {
            Operation::Write(bytes) => bytes,
            _ => 0,
        };
        let Some(hook) = &mut self.hook else {
            return Ok(requested);
        };
        hook(operation, path).map_err(|e| operation_error(operation, path, e))
    }

    pub(crate) fn create(&mut self, path: &Path) -> Result<File, Error> {
        self.run_hook(Operation::Create, path)?;
        let mut options = File::options();
        let options = options.read(true).append(true).create_new(true);
        let file = options.open(path);
        file.map_err(|e| operation_error(Operation::Create, path, e))
    }

    /// Appends data to a file. After [`Progress::Full`] the file may contain a part of it.
    pub(crate) fn append(
        &mut self,
        file: &File,
        path: &Path,
        data: &[u8],
    ) -> Result<Progress, Error> {
        let operation = Operation::Write(data.len());
        let allowed = self.run_hook(operation, path)?.min(data.len());
        let mut writer = file;
        match writer.write_all(&data[..allowed]) {
            Ok(()) if allowed == data.len() => Ok(Progress::Done),
            Ok(()) => Ok(Progress::Full),
            Err(e) if is_full(&e) => Ok(Progress::Full),
            Err(e) => Err(operation_error(operation, path, e)),
        }
    }

    /// Writes data to a new file, and fails if the disk is full.
    pub(crate) fn write(&mut self, file: &File, path: &Path, data: &[u8]) -> Result<(), Error> {
        match self.append(file, path, data)? {
            Progress::Done => Ok(()),
            Progress::Full => {
                let full = io::ErrorKind::StorageFull.into();
                Err(operation_error(Operation::Write(data.len()), path, full))
            }
        }
    }

    pub(crate) fn sync(&mut self, file: &File, path: &Path) -> Result<(), Error> {
        self.sync_with(Operation::Sync, path, || file.sync_all())
    }

    /// Syncs the content of a file and the metadata that is needed to read it.
    pub(crate) fn sync_data(&mut self, file: &File, path: &Path) -> Result<(), Error> {
        self.sync_with(Operation::Sync, path, || file.sync_data())
    }

    pub(crate) fn sync_folder(&mut self, folder: &Path) -> Result<(), Error> {
        let sync = || File::open(folder).and_then(|f| f.sync_all());
        self.sync_with(Operation::SyncFolder, folder, sync)
    }

    /// Runs `sync`, and creates a marker file in the folder if it fails. The operating system may
    /// still return data from its cache that is not on disk, so the folder must not be opened
    /// after a restart either.
    fn sync_with(
        &mut self,
        operation: Operation,
        path: &Path,
        sync: impl FnOnce() -> io::Result<()>,
    ) -> Result<(), Error> {
        let allowed = self.run_hook(operation, path);
        let synced = allowed.and_then(|_| sync().map_err(|e| operation_error(operation, path, e)));
        if synced.is_err() {
            let folder = match operation {
                Operation::SyncFolder => Some(path),
                _ => path.parent(),
            };
            let marker = folder.map(|f| self.create(&f.join(SYNC_FAILED_FILE)));
            // The sync error is returned in any case, so a failure to create the marker is ignored.
            drop(marker);
        }
        synced
    }

    pub(crate) fn truncate(&mut self, file: &File, path: &Path, len: u64) -> Result<(), Error> {
        self.run_hook(Operation::Truncate, path)?;
        let truncated = file.set_len(len);
        truncated.map_err(|e| operation_error(Operation::Truncate, path, e))
    }

    pub(crate) fn rename(&mut self, from: &Path, to: &Path) -> Result<(), Error> {
        self.run_hook(Operation::Rename, to)?;
        fs::rename(from, to).map_err(|e| operation_error(Operation::Rename, to, e))
    }

    pub(crate) fn remove(&mut self, path: &Path) -> Result<(), Error> {
        self.run_hook(Operation::Remove, path)?;
        fs::remove_file(path).map_err(|e| operation_error(Operation::Remove, path, e))
    }

    /// Writes a file atomically: writes and syncs a temporary file, renames it and syncs the
    /// folder. Leaves nothing behind if the disk is full.
    pub(crate) fn write_atomically(
        &mut self,
        path: &Path,
        parts: &[&[u8]],
    ) -> Result<Progress, Error> {
        let temporary = path.with_extension(TEMPORARY_EXTENSION);
        if temporary.exists() {
            self.remove(&temporary)?;
        }
        let file = self.create(&temporary)?;
        for part in parts {
            if self.append(&file, &temporary, part)? == Progress::Full {
                self.remove(&temporary)?;
                return Ok(Progress::Full);
            }
        }
        self.sync(&file, &temporary)?;
        self.rename(&temporary, path)?;
        self.sync_folder(path.parent().unwrap_or(Path::new(".")))?;
        Ok(Progress::Done)
    }
}

fn is_full(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}

/// Name of the file that marks a folder in which a sync has failed.
pub(crate) const SYNC_FAILED_FILE: &str = "failed";

/// Extension of files that are still being written.
pub(crate) const TEMPORARY_EXTENSION: &str = "tmp";

fn operation_error(operation: Operation, path: &Path, e: io::Error) -> Error {
    let verb = match operation {
        Operation::Create => "create",
        Operation::Write(_) => "write",
        Operation::Sync => "sync",
        Operation::Truncate => "truncate",
        Operation::Rename => "rename",
        Operation::Remove => "remove",
        Operation::SyncFolder => "sync folder",
    };
    Error::from(e).context(format_args!("{verb} {}", path.display()))
}
