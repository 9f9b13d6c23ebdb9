//! Recovery of a group's log when a store is opened.

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
pub(crate) struct SegmentInfo {
    pub(crate) number: u64,
    /// Highest index of an entry in the segment, or 0 if it has none.
    pub(crate) last_index: u64,
}

/// Result of the recovery.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    pub(crate) state: PersistentState,
    /// Segments in ascending order.
    pub(crate) segments: Vec<SegmentInfo>,
    pub(crate) next_batch: u64,
    /// Size of the last segment up to the end of its last complete batch.
    pub(crate) size: u64,
    /// Number of a last segment whose creation was interrupted, and which has no complete batch.
    pub(crate) incomplete: Option<u64>,
}

impl Recovery {
    /// Returns whether no state was recovered.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.hard_state == HardState::default()
            && self.state.snapshot.is_none()
            && self.state.entries.is_empty()
    }
}

/// State of the log while its records are replayed.
#[derive(Debug, Default)]
struct Replay {
    hard_state: HardState,
    /// Index and term of the snapshot in the latest [`Record::Reset`], if there is one.
    base: Option<(u64, u64)>,
    entries: Vec<LogEntry>,
}

/// Reads the segments and the snapshot of a group.
///
/// # Errors
///
/// Returns an error if a file cannot be read, is damaged or is missing.
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
            recovery.incomplete = Some(*number);
            break;
        };
        let first_batch = segment.first_batch;
        let expected = recovery.segments.last().map(|s| s.number + 1);
        let follows = expected.is_none_or(|e| e == *number && first_batch == recovery.next_batch);
        if !follows {
            return Err(missing_error(folder, "a segment before", &path));
        }
        recovery.segments.push(SegmentInfo {
            number: *number,
            last_index: segment.last_index,
        });
        recovery.next_batch = segment.next_batch;
        recovery.size = segment.size;
        for record in segment.records {
            replay.apply(record, &path)?;
        }
    }
    let snapshot = replay.select_snapshot(folder, group)?;
    recovery.state = PersistentState {
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
                    let what = format_args!("entry {} is out of sequence", entry.index).to_string();
                    return Err(Error::new(what).context(path.display()));
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// Returns the latest snapshot that matches the log, and removes the entries that it includes.
    ///
    /// A later snapshot that does not match was received from a leader, but the member stopped
    /// before it reset the log. It is ignored, because the term received with it is not on disk.
    fn select_snapshot(&mut self, folder: &Path, group: u32) -> Result<Option<Snapshot>, Error> {
        let base = self.base.unwrap_or_default();
        let mut found = None;
        for index in snapshot::list(folder, group)?.into_iter().rev() {
            let snapshot = snapshot::load(folder, group, index)?;
            let position = (snapshot.index, snapshot.term);
            let logged = self.entries.iter().any(|e| (e.index, e.term) == position);
            if logged || position == base {
                found = Some(snapshot);
                break;
            }
        }
        let index = found.as_ref().map_or(0, |s| s.index);
        if base.0 > index {
            return Err(missing_error(folder, "the snapshot of entry", &base.0));
        }
        if let Some(first) = self.entries.first().filter(|e| e.index > index + 1) {
            return Err(missing_error(folder, "the log before entry", &first.index));
        }
        self.entries.retain(|e| e.index > index);
        Ok(found)
    }
}

fn missing_error(folder: &Path, what: &str, detail: &dyn std::fmt::Debug) -> Error {
    Error::new(format_args!(
        "{}: {what} {detail:?} is missing; replace this member",
        folder.display()
    ))
}
