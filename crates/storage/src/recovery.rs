//! Reading a group's log back at start.

use std::path::Path;

use sassafras_raft::HardState;
use sassafras_raft::PersistentState;
use sassafras_raft::Snapshot;
use sassafras_util::Error;
use sassafras_wire::proto::LogEntry;

use crate::record::Record;
use crate::segment;
use crate::snapshot;

/// A segment that exists on disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    pub(crate) number: u64,
    /// Highest index of an entry in it.
    pub(crate) last_index: u64,
}

/// What was read back.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    pub(crate) saved: PersistentState,
    /// Segments in ascending order.
    pub(crate) segments: Vec<Known>,
    pub(crate) next_batch: u64,
    /// Bytes of the last segment up to the end of its last whole batch.
    pub(crate) size: u64,
    /// Last segment whose creation was cut off; it holds nothing.
    pub(crate) stillborn: Option<u64>,
}

impl Recovery {
    /// Returns whether nothing was ever stored.
    pub(crate) fn holds_nothing(&self) -> bool {
        self.saved.hard_state == HardState::default()
            && self.saved.snapshot.is_none()
            && self.saved.entries.is_empty()
    }
}

/// The log while its records are read one after the other.
#[derive(Debug, Default)]
struct Replay {
    hard_state: HardState,
    /// Index and term before the first entry, when a record gives them.
    base: Option<(u64, u64)>,
    entries: Vec<LogEntry>,
}

/// Reads the segments and the snapshot of a group.
///
/// # Errors
/// Fails when a file is damaged or missing.
pub(crate) fn recover(folder: &Path, group: u32) -> Result<Recovery, Error> {
    let mut recovery = Recovery {
        next_batch: 1,
        ..Recovery::default()
    };
    let mut replay = Replay::default();
    let numbers = segment::list(folder, group)?;
    for number in &numbers {
        let tail = Some(number) == numbers.last();
        let path = segment::path(folder, group, *number);
        let Some(segment) = segment::read(&path, group, *number, tail)? else {
            recovery.stillborn = Some(*number);
            break;
        };
        let first_batch = segment.first_batch;
        let expected = recovery.segments.last().map(|s| s.number + 1);
        let follows = expected.is_none_or(|e| e == *number && first_batch == recovery.next_batch);
        if !follows {
            return Err(missing(folder, "a segment before", &path));
        }
        recovery.segments.push(Known {
            number: *number,
            last_index: segment.last_index,
        });
        recovery.next_batch = segment.next_batch;
        recovery.size = segment.size;
        for record in segment.records {
            replay.apply(record, &path)?;
        }
    }
    let snapshot = replay.join(folder, group)?;
    recovery.saved = PersistentState {
        hard_state: replay.hard_state,
        snapshot,
        entries: replay.entries,
    };
    Ok(recovery)
}

impl Replay {
    fn apply(&mut self, record: Record, path: &Path) -> Result<(), Error> {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Truncate(index) => self.entries.retain(|e| e.index < index),
            Record::Reset(index, term) => {
                self.base = Some((index, term));
                self.entries.clear();
            }
            Record::Entry(entry) => {
                let last = self.entries.last().map(|e| e.index);
                let last = last.or(self.base.map(|(index, _)| index));
                if last.is_some_and(|l| l + 1 != entry.index) {
                    let what = format_args!("entry {} does not follow", entry.index).to_string();
                    return Err(Error::new(what).context(path.display()));
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// Finds the latest snapshot that the log belongs to, and drops the entries before it.
    ///
    /// A later one is from a leader, and the member stopped before the log was started anew
    /// after it. It must not count, because the term that came with it is not on disk.
    fn join(&mut self, folder: &Path, group: u32) -> Result<Option<Snapshot>, Error> {
        let base = self.base.unwrap_or_default();
        let mut found = None;
        for index in snapshot::list(folder, group)?.into_iter().rev() {
            let snapshot = snapshot::load(folder, group, index)?;
            let place = (snapshot.index, snapshot.term);
            let logged = self.entries.iter().any(|e| (e.index, e.term) == place);
            if logged || place == base {
                found = Some(snapshot);
                break;
            }
        }
        let index = found.as_ref().map_or(0, |s| s.index);
        if base.0 > index {
            return Err(missing(folder, "the snapshot of entry", &base.0));
        }
        if let Some(first) = self.entries.first().filter(|e| e.index > index + 1) {
            return Err(missing(folder, "the log before entry", &first.index));
        }
        self.entries.retain(|e| e.index > index);
        Ok(found)
    }
}

fn missing(folder: &Path, what: &str, detail: &dyn std::fmt::Debug) -> Error {
    Error::new(format_args!(
        "{}: {what} {detail:?} is missing; replace this member",
        folder.display()
    ))
}
