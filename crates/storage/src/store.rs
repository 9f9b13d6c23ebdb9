//! The store of one group.

use std::collections::VecDeque;
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
use crate::disk::Progress;
use crate::identity;
use crate::record::BatchEncoder;
use crate::record::Record;
use crate::recovery;
use crate::recovery::Recovery;
use crate::recovery::SegmentInfo;
use crate::segment;
use crate::snapshot;

/// Default size from which on a new segment is started.
const DEFAULT_SEGMENT_BYTES: u64 = 64 * 1024 * 1024;

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
    /// Sets the size from which on a new segment is started, in bytes.
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = Some(bytes);
        self
    }

    /// Sets a function that is called before every file operation and can make it fail.
    pub fn hook(mut self, hook: Hook) -> Self {
        self.hook = Some(hook);
        self
    }

    /// Opens the store of a group.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Store::open`].
    pub fn open(self, folder: &Path, group: u32, name: &Name) -> Result<(Store, Recovered), Error> {
        let mut disk = Disk::new(self.hook);
        let lock = lock(folder)?;
        if folder.join(disk::SYNC_FAILED_FILE).exists() {
            return Err(Error::new(format_args!(
                "{}: an earlier sync has failed, so data may be missing; replace this member",
                folder.display()
            )));
        }
        remove_temporary(&mut disk, folder)?;
        let existing = identity::load(folder, group, name)?;
        let recovery = recovery::recover(folder, group)?;
        if existing.is_none() && !recovery.is_empty() {
            return Err(Error::new(format_args!(
                "{} contains data of a member but no identity file",
                folder.display()
            )));
        }
        if existing.is_some() && recovery.segments.is_empty() {
            return Err(Error::new(format_args!(
                "{}: the log is missing; replace this member",
                folder.display()
            )));
        }
        let state = recovery.state.clone();
        let bytes = self.segment_bytes.unwrap_or(DEFAULT_SEGMENT_BYTES);
        let mut store = Store::resume(disk, folder, group, lock, recovery, bytes)?;
        // The identity is written last, so that a folder with an identity always has a log.
        let identity = match existing {
            Some(identity) => identity,
            None => identity::create(&mut store.disk, folder, group, name)?,
        };
        let recovered = Recovered {
            identity,
            fresh: existing.is_none(),
            state,
        };
        Ok((store, recovered))
    }
}

/// The content of a store when it is opened.
#[derive(Debug)]
pub struct Recovered {
    /// Identity of the folder.
    pub identity: u64,
    /// Whether the folder was empty and got a new identity.
    pub fresh: bool,
    /// State from which the Raft node is created.
    pub state: PersistentState,
}

/// The write-ahead log and snapshot of one group.
#[derive(Debug)]
pub struct Store {
    disk: Disk,
    folder: PathBuf,
    group: u32,
    segment_bytes: u64,
    /// Holds the lock that keeps other processes from opening the folder.
    _lock: File,
    file: File,
    size: u64,
    /// Segments in ascending order. New records are appended to the last one.
    segments: Vec<SegmentInfo>,
    next_batch: u64,
    hard_state: HardState,
    /// Index of the last entry in the log.
    last_index: u64,
    /// Index of the latest snapshot.
    snapshot_index: u64,
    /// Batches to write after `unwritten`.
    queue: VecDeque<Batch>,
    /// Encoded records to write next.
    unwritten: Option<Vec<u8>>,
    /// Message of the first error, after which every write fails.
    failure: Option<String>,
}

impl Store {
    /// Opens the data folder of a member, which must exist. An empty folder gets a new identity.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder belongs to another member, is in use, or is damaged other
    /// than by a torn write, or if a sync has failed in it before.
    pub fn open(folder: &Path, group: u32, name: &Name) -> Result<(Self, Recovered), Error> {
        Options::default().open(folder, group, name)
    }

    /// Writes batches in order, with one sync for all and additional ones for each snapshot that
    /// they contain and for each new segment. Batches that an earlier call could not write because
    /// the disk was full come first.
    ///
    /// # Errors
    ///
    /// Returns an error if a file operation fails, or if the disk is full when a new segment is
    /// started. Every later call fails too.
    pub fn write(&mut self, batches: Vec<Batch>) -> Result<Progress, Error> {
        self.run(|store| {
            store.queue.extend(batches);
            store.write_queue()
        })
    }

    /// Saves a snapshot of applied entries and removes the segments that it makes obsolete. A
    /// snapshot that is not later than the current one is ignored, also after an earlier error.
    /// While batches wait for the disk, nothing is saved and the disk counts as full.
    ///
    /// # Errors
    ///
    /// Returns an error if a file operation fails, or if the batches with the entries that the
    /// snapshot includes have not been passed to [`Store::write`] before. Every later call fails
    /// too, except for a snapshot that is ignored.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<Progress, Error> {
        let (index, last) = (snapshot.index, self.last_index);
        if index <= self.snapshot_index {
            return Ok(Progress::Done);
        }
        self.run(|store| {
            if index > last {
                let what =
                    format_args!("snapshot at entry {index}, but the log ends at entry {last}");
                return Err(Error::new(what));
            }
            if store.unwritten.is_some() || !store.queue.is_empty() {
                return Ok(Progress::Full);
            }
            let saved = snapshot::save(&mut store.disk, &store.folder, store.group, snapshot)?;
            if saved == Progress::Full {
                return Ok(Progress::Full);
            }
            let kept = Some(snapshot.index);
            snapshot::remove_others(&mut store.disk, &store.folder, store.group, kept)?;
            store.snapshot_index = index;
            store.remove_obsolete_segments(index)?;
            Ok(Progress::Done)
        })
    }

    /// Creates the store from the recovered state and opens the log for writing.
    fn resume(
        mut disk: Disk,
        folder: &Path,
        group: u32,
        lock: File,
        recovery: Recovery,
        segment_bytes: u64,
    ) -> Result<Self, Error> {
        if let Some(number) = recovery.incomplete {
            disk.remove(&segment::path(folder, group, number))?;
            disk.sync_folder(folder)?;
        }
        let mut next_batch = recovery.next_batch;
        let mut segments = recovery.segments;
        let hard_state = recovery.state.hard_state;
        let (file, size) = if let Some(last) = segments.last() {
            let path = segment::path(folder, group, last.number);
            (reopen(&mut disk, &path, recovery.size)?, recovery.size)
        } else {
            let start = SegmentStart {
                group,
                number: 1,
                batch: next_batch,
                hard_state,
                base: None,
            };
            next_batch += 1;
            segments.push(SegmentInfo {
                number: 1,
                last_index: 0,
            });
            start.create(&mut disk, folder)?
        };
        let kept = recovery.state.snapshot.map(|s| s.index);
        snapshot::remove_others(&mut disk, folder, group, kept)?;
        disk.sync_folder(folder)?;
        let snapshot_index = kept.unwrap_or(0);
        let last_index = recovery
            .state
            .entries
            .last()
            .map_or(snapshot_index, |e| e.index);
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
            last_index,
            snapshot_index,
            queue: VecDeque::new(),
            unwritten: None,
            failure: None,
        })
    }

    /// Runs `operation`, and records its error so that all later operations fail.
    fn run<T>(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<T, Error>,
    ) -> Result<T, Error> {
        if let Some(failure) = &self.failure {
            return Err(Error::new(failure).context("an earlier storage operation failed"));
        }
        let result = operation(self);
        if let Err(e) = &result {
            self.failure = Some(e.to_string());
        }
        result
    }

    /// Writes the queue until it is empty or the disk is full.
    fn write_queue(&mut self) -> Result<Progress, Error> {
        loop {
            if self.flush()? == Progress::Full {
                return Ok(Progress::Full);
            }
            let Some(first) = self.queue.front_mut() else {
                return Ok(Progress::Done);
            };
            let hard_state = first.hard_state;
            if let Some(snapshot) = first.snapshot.take() {
                let saved = snapshot::save(&mut self.disk, &self.folder, self.group, &snapshot)?;
                if saved == Progress::Full {
                    first.snapshot = Some(snapshot);
                    return Ok(Progress::Full);
                }
                self.hard_state = hard_state.unwrap_or(self.hard_state);
                self.reset_log(&snapshot)?;
            }
            let mut encoder = BatchEncoder::default();
            while let Some(batch) = self.queue.pop_front() {
                self.encode(&mut encoder, batch);
                if self.queue.front().is_some_and(|b| b.snapshot.is_some()) {
                    break;
                }
            }
            self.unwritten = (!encoder.is_empty()).then(|| encoder.finish());
        }
    }

    fn encode(&mut self, encoder: &mut BatchEncoder, batch: Batch) {
        let number = self.next_batch;
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
            encoder.add(number, &Record::HardState(hard_state));
        }
        if let Some(index) = batch.truncate {
            self.last_index = self.last_index.min(index - 1);
            encoder.add(number, &Record::Truncate(index));
        }
        for entry in batch.append {
            if let Some(segment) = self.segments.last_mut() {
                segment.last_index = segment.last_index.max(entry.index);
            }
            self.last_index = entry.index;
            encoder.add(number, &Record::Entry(entry));
        }
    }

    /// Writes and syncs the encoded records as one batch. If the disk is full, removes what was
    /// written of them, so that a later call can write them again.
    fn flush(&mut self) -> Result<Progress, Error> {
        let Some(data) = &self.unwritten else {
            return Ok(Progress::Done);
        };
        let path = self.path();
        if self.disk.append(&self.file, &path, data)? == Progress::Full {
            self.disk.truncate(&self.file, &path, self.size)?;
            return Ok(Progress::Full);
        }
        self.disk.sync_data(&self.file, &path)?;
        self.size += data.len() as u64;
        self.unwritten = None;
        self.next_batch += 1;
        if self.size >= self.segment_bytes {
            self.rotate(None)?;
        }
        Ok(Progress::Done)
    }

    fn path(&self) -> PathBuf {
        let number = self.segments.last().map_or(1, |s| s.number);
        segment::path(&self.folder, self.group, number)
    }

    /// Starts a new segment. It begins with the term and vote, so that older segments can be
    /// removed. If the log is reset, `base` is the index and term of the snapshot.
    fn rotate(&mut self, base: Option<(u64, u64)>) -> Result<(), Error> {
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let start = SegmentStart {
            group: self.group,
            number,
            batch: self.next_batch,
            hard_state: self.hard_state,
            base,
        };
        (self.file, self.size) = start.create(&mut self.disk, &self.folder)?;
        self.next_batch += 1;
        self.segments.push(SegmentInfo {
            number,
            last_index: 0,
        });
        Ok(())
    }

    /// Resets the log to a snapshot, and removes all earlier segments and snapshots.
    fn reset_log(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.rotate(Some((snapshot.index, snapshot.term)))?;
        self.last_index = snapshot.index;
        self.snapshot_index = snapshot.index;
        let kept = Some(snapshot.index);
        snapshot::remove_others(&mut self.disk, &self.folder, self.group, kept)?;
        while self.segments.len() > 1 {
            self.remove_oldest_segment()?;
        }
        self.disk.sync_folder(&self.folder)
    }

    /// Removes the oldest segments that have only entries before `index`. The entry at `index` is
    /// kept, because recovery needs it to match the snapshot with the log.
    fn remove_obsolete_segments(&mut self, index: u64) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last_index < index {
            self.remove_oldest_segment()?;
        }
        self.disk.sync_folder(&self.folder)
    }

    fn remove_oldest_segment(&mut self) -> Result<(), Error> {
        let number = self.segments[0].number;
        let path = segment::path(&self.folder, self.group, number);
        self.disk.remove(&path)?;
        self.segments.remove(0);
        Ok(())
    }
}

/// The content with which a new segment starts.
struct SegmentStart {
    group: u32,
    number: u64,
    batch: u64,
    hard_state: HardState,
    base: Option<(u64, u64)>,
}

impl SegmentStart {
    /// Creates the segment, syncs it and the folder, and returns the file and its size.
    fn create(&self, disk: &mut Disk, folder: &Path) -> Result<(File, u64), Error> {
        let mut encoder = BatchEncoder::default();
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

/// Opens the last segment for writing, and truncates it after its last complete batch.
///
/// The segment is then synced, because a process that is killed before its sync leaves data that
/// can be read but is not on disk yet.
fn reopen(disk: &mut Disk, path: &Path, size: u64) -> Result<File, Error> {
    let opened = File::options().read(true).append(true).open(path);
    let file = opened.map_err(|e| Error::from(e).context(path.display()))?;
    if file.metadata()?.len() > size {
        disk.truncate(&file, path, size)?;
    }
    disk.sync(&file, path)?;
    Ok(file)
}

/// Locks the folder until the returned file is closed.
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

/// Removes files that were not written completely.
fn remove_temporary(disk: &mut Disk, folder: &Path) -> Result<(), Error> {
    for file in fs::read_dir(folder)? {
        let path = file?.path();
        if path
            .extension()
            .is_some_and(|e| e == disk::TEMPORARY_EXTENSION)
        {
            disk.remove(&path)?;
        }
    }
    Ok(())
}
