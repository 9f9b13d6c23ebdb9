//! The store of one group.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;

use sassafras_raft::Batch;
use sassafras_raft::HardState;
use sassafras_raft::PersistentState;
use sassafras_raft::Snapshot;
use sassafras_util::Error;
use sassafras_util::Name;

use crate::disk;
use crate::disk::Disk;
use crate::disk::Hook;
use crate::identity;
use crate::record::Encoder;
use crate::record::Record;
use crate::recovery;
use crate::recovery::Known;
use crate::recovery::Recovery;
use crate::segment;
use crate::snapshot;

/// Size after which the next batch starts a new segment.
const SEGMENT_BYTES: u64 = 64 * 1024 * 1024;

/// Options of a store.
#[derive(Default)]
pub struct Options {
    segment_bytes: Option<u64>,
    hook: Option<Hook>,
}

impl std::fmt::Debug for Options {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut debug = f.debug_struct("Options");
        debug
            .field("segment_bytes", &self.segment_bytes)
            .finish_non_exhaustive()
    }
}

impl Options {
    /// Sets the size after which a new segment is started, in bytes.
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = Some(bytes);
        self
    }

    /// Sets a function that is called before every file operation and may fail it.
    pub fn hook(mut self, hook: Hook) -> Self {
        self.hook = Some(hook);
        self
    }

    /// Opens the store of a group.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open(self, folder: &Path, group: u32, name: &Name) -> Result<(Store, Recovered), Error> {
        let mut disk = Disk::new(self.hook);
        let lock = lock(folder)?;
        if folder.join(disk::FAILED).exists() {
            return Err(Error::new(format_args!(
                "{}: a sync has failed here, so data may be missing; replace this member",
                folder.display()
            )));
        }
        remove_temporary(&mut disk, folder)?;
        let known = identity::load(folder, group, name)?;
        let recovery = recovery::recover(folder, group)?;
        if known.is_none() && !recovery.holds_nothing() {
            return Err(Error::new(format_args!(
                "{} has data of a member but no identity",
                folder.display()
            )));
        }
        if known.is_some() && recovery.segments.is_empty() {
            return Err(Error::new(format_args!(
                "{}: the log is missing; replace this member",
                folder.display()
            )));
        }
        let state = recovery.saved.clone();
        let bytes = self.segment_bytes.unwrap_or(SEGMENT_BYTES);
        let mut store = Store::resume(disk, folder, group, lock, recovery, bytes)?;
        // The identity is written last, so that a folder with one always has a log as well.
        let identity = match known {
            Some(identity) => identity,
            None => identity::create(&mut store.disk, folder, group, name)?,
        };
        let recovered = Recovered {
            identity,
            fresh: known.is_none(),
            state,
        };
        Ok((store, recovered))
    }
}

/// What a store holds when it is opened.
#[derive(Debug)]
pub struct Recovered {
    /// Identity of the folder.
    pub identity: u64,
    /// The folder was empty and has just been given its identity.
    pub fresh: bool,
    /// What the replicated log continues from.
    pub state: PersistentState,
}

/// The write-ahead log and snapshot of one group.
#[derive(Debug)]
pub struct Store {
    disk: Disk,
    folder: PathBuf,
    group: u32,
    segment_bytes: u64,
    /// Held so that no other process opens the folder.
    _lock: File,
    file: File,
    size: u64,
    /// Segments in ascending order; the last one is written to.
    segments: Vec<Known>,
    next_batch: u64,
    hard_state: HardState,
    /// Last entry in the log.
    last: u64,
    /// Index of the latest snapshot.
    snapshot: u64,
    failure: Option<String>,
}

impl Store {
    /// Opens the folder of a member, which must exist. An empty folder gets a new identity.
    ///
    /// # Errors
    /// Fails when the folder belongs to another member, is in use, or is damaged other than
    /// by a write that was cut off, and when a sync has failed there before.
    pub fn open(folder: &Path, group: u32, name: &Name) -> Result<(Self, Recovered), Error> {
        Options::default().open(folder, group, name)
    }

    /// Writes batches in order and syncs once, or once more for each received snapshot.
    ///
    /// # Errors
    /// Fails when a write or sync fails, and then on every later call.
    pub fn write(&mut self, batches: Vec<Batch>) -> Result<(), Error> {
        self.attempt(|store| store.write_batches(batches))
    }

    /// Stores a snapshot of applied entries and removes segments that it makes superfluous.
    /// A snapshot that is older than the present one is ignored.
    ///
    /// # Errors
    /// Fails when a write or sync fails, and then on every later call. Fails as well when the
    /// entries have not been written: the batches that precede a snapshot come first.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let (index, last) = (snapshot.index, self.last);
        if index <= self.snapshot {
            return Ok(());
        }
        self.attempt(|store| {
            if index > last {
                let what = format_args!("snapshot of entry {index}, but the log ends at {last}");
                return Err(Error::new(what));
            }
            snapshot::save(&mut store.disk, &store.folder, store.group, snapshot)?;
            let kept = Some(snapshot.index);
            snapshot::keep_only(&mut store.disk, &store.folder, store.group, kept)?;
            store.snapshot = index;
            store.remove_segments(index)
        })
    }

    /// Continues from what was read back.
    fn resume(
        mut disk: Disk,
        folder: &Path,
        group: u32,
        lock: File,
        recovery: Recovery,
        segment_bytes: u64,
    ) -> Result<Self, Error> {
        if let Some(number) = recovery.stillborn {
            disk.remove(&segment::path(folder, group, number))?;
            disk.sync_folder(folder)?;
        }
        let mut next_batch = recovery.next_batch;
        let mut segments = recovery.segments;
        let hard_state = recovery.saved.hard_state;
        let (file, size) = if let Some(last) = segments.last() {
            let path = segment::path(folder, group, last.number);
            (reopen(&mut disk, &path, recovery.size)?, recovery.size)
        } else {
            let start = Start {
                group,
                number: 1,
                batch: next_batch,
                hard_state,
                base: None,
            };
            next_batch += 1;
            segments.push(Known {
                number: 1,
                last_index: 0,
            });
            start.create(&mut disk, folder)?
        };
        let kept = recovery.saved.snapshot.map(|s| s.index);
        snapshot::keep_only(&mut disk, folder, group, kept)?;
        disk.sync_folder(folder)?;
        let snapshot = kept.unwrap_or(0);
        let last = recovery.saved.entries.last().map_or(snapshot, |e| e.index);
        Ok(Self {
            disk,
            folder: folder.to_owned(),
            group,
            segment_bytes,
            _lock: lock,
            file,
            size,
            segments,
            next_batch,
            hard_state,
            last,
            snapshot,
            failure: None,
        })
    }

    fn attempt(&mut self, work: impl FnOnce(&mut Self) -> Result<(), Error>) -> Result<(), Error> {
        if let Some(failure) = &self.failure {
            return Err(Error::new(failure).context("storage has failed before"));
        }
        let result = work(self);
        if let Err(e) = &result {
            self.failure = Some(e.to_string());
        }
        result
    }

    fn write_batches(&mut self, batches: Vec<Batch>) -> Result<(), Error> {
        let mut encoder = Encoder::default();
        for batch in batches {
            if let Some(snapshot) = &batch.snapshot {
                self.flush(std::mem::take(&mut encoder))?;
                snapshot::save(&mut self.disk, &self.folder, self.group, snapshot)?;
                self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
                self.restart(snapshot)?;
            }
            self.encode(&mut encoder, batch);
        }
        self.flush(encoder)
    }

    fn encode(&mut self, encoder: &mut Encoder, batch: Batch) {
        let number = self.next_batch;
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
            encoder.add(number, &Record::HardState(hard_state));
        }
        if let Some(index) = batch.truncate {
            self.last = self.last.min(index - 1);
            encoder.add(number, &Record::Truncate(index));
        }
        for entry in batch.append {
            if let Some(segment) = self.segments.last_mut() {
                segment.last_index = segment.last_index.max(entry.index);
            }
            self.last = entry.index;
            encoder.add(number, &Record::Entry(entry));
        }
    }

    /// Writes and syncs the records as one batch.
    fn flush(&mut self, encoder: Encoder) -> Result<(), Error> {
        if encoder.is_empty() {
            return Ok(());
        }
        let data = encoder.finish();
        let path = self.path();
        self.disk.write(&self.file, &path, &data)?;
        self.disk.sync_data(&self.file, &path)?;
        self.size += data.len() as u64;
        self.next_batch += 1;
        if self.size >= self.segment_bytes {
            self.rotate(None)?;
        }
        Ok(())
    }

    fn path(&self) -> PathBuf {
        let number = self.segments.last().map_or(1, |s| s.number);
        segment::path(&self.folder, self.group, number)
    }

    /// Starts a new segment. It begins with the term and vote, so that older segments can be
    /// removed, and with the point after which the log starts anew, if it does.
    fn rotate(&mut self, base: Option<(u64, u64)>) -> Result<(), Error> {
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let start = Start {
            group: self.group,
            number,
            batch: self.next_batch,
            hard_state: self.hard_state,
            base,
        };
        (self.file, self.size) = start.create(&mut self.disk, &self.folder)?;
        self.next_batch += 1;
        self.segments.push(Known {
            number,
            last_index: 0,
        });
        Ok(())
    }

    /// Starts the log anew after a snapshot and removes everything before.
    fn restart(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.rotate(Some((snapshot.index, snapshot.term)))?;
        self.last = snapshot.index;
        self.snapshot = snapshot.index;
        let kept = Some(snapshot.index);
        snapshot::keep_only(&mut self.disk, &self.folder, self.group, kept)?;
        while self.segments.len() > 1 {
            self.remove_first()?;
        }
        self.disk.sync_folder(&self.folder)
    }

    /// Removes the oldest segments whose entries all come before `index`. The entry itself
    /// stays, because it ties the log to the snapshot.
    fn remove_segments(&mut self, index: u64) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last_index < index {
            self.remove_first()?;
        }
        self.disk.sync_folder(&self.folder)
    }

    fn remove_first(&mut self) -> Result<(), Error> {
        let number = self.segments[0].number;
        let path = segment::path(&self.folder, self.group, number);
        self.disk.remove(&path)?;
        self.segments.remove(0);
        Ok(())
    }
}

/// What a new segment begins with.
struct Start {
    group: u32,
    number: u64,
    batch: u64,
    hard_state: HardState,
    base: Option<(u64, u64)>,
}

impl Start {
    /// Creates the segment, syncs it together with the folder, and returns its size.
    fn create(&self, disk: &mut Disk, folder: &Path) -> Result<(File, u64), Error> {
        let mut encoder = Encoder::default();
        if let Some((index, term)) = self.base {
            encoder.add(self.batch, &Record::Reset(index, term));
        }
        encoder.add(self.batch, &Record::HardState(self.hard_state));
        let mut data = segment::header(self.group, self.number, self.batch).to_vec();
        data.extend_from_slice(&encoder.finish());
        let path = segment::path(folder, self.group, self.number);
        let file = disk.create(&path)?;
        disk.write(&file, &path, &data)?;
        disk.sync(&file, &path)?;
        disk.sync_folder(folder)?;
        Ok((file, data.len() as u64))
    }
}

/// Opens the last segment for writing and cuts off what follows its last whole batch.
///
/// The rest is synced: a process that was killed before its sync leaves data that can be read
/// back and is not on disk yet.
fn reopen(disk: &mut Disk, path: &Path, size: u64) -> Result<File, Error> {
    let opened = File::options().read(true).append(true).open(path);
    let file = opened.map_err(|e| Error::from(e).context(path.display()))?;
    if file.metadata()?.len() > size {
        disk.truncate(&file, path, size)?;
    }
    disk.sync(&file, path)?;
    Ok(file)
}

/// Locks the folder for as long as the returned file is open.
fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join("lock");
    let opened = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path);
    let file = opened.map_err(|e| Error::from(e).context(path.display()))?;
    let locked = file.try_lock();
    locked.map_err(|e| Error::new(e).context(format_args!("lock {}", path.display())))?;
    Ok(file)
}

/// Removes files whose writing was cut off.
fn remove_temporary(disk: &mut Disk, folder: &Path) -> Result<(), Error> {
    for file in fs::read_dir(folder)? {
        let path = file?.path();
        if path.extension().is_some_and(|e| e == disk::TEMPORARY) {
            disk.remove(&path)?;
        }
    }
    Ok(())
}
