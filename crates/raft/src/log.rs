//! In-memory part of the log.

use std::collections::VecDeque;

use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::log_entry::Payload;

use crate::Members;
use crate::PersistentState;
use crate::Snapshot;

/// Upper bound of the encoded size of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// The latest snapshot, the entries in memory, and the member sets that both contain.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Index of the entry before the first one in memory.
    base_index: u64,
    base_term: u64,
    entries: VecDeque<LogEntry>,
    snapshot: Option<Snapshot>,
    /// Member sets with the indexes of their entries, in ascending order.
    member_sets: Vec<(u64, Members)>,
}

impl Log {
    pub(crate) fn new(state: PersistentState) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = state.snapshot {
            log.install(snapshot);
        }
        for entry in state.entries {
            if entry.index > log.base_index {
                log.push(entry);
            }
        }
        log
    }

    pub(crate) fn first_index(&self) -> u64 {
        self.base_index + 1
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the term of an entry that is in memory or directly precedes the first one in memory,
    /// or `None` for any other.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(offset as usize)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the latest member set and the index of its entry.
    pub(crate) fn latest_members(&self) -> Option<&(u64, Members)> {
        self.member_sets.last()
    }

    /// Returns the member set in force at `index`.
    pub(crate) fn members_at(&self, index: u64) -> Option<&Members> {
        let found = self.member_sets.iter().rev().find(|(i, _)| *i <= index);
        found.map(|(_, members)| members)
    }

    /// Appends an entry.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not directly follow the last one.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entry does not directly follow the last one"
        );
        if let Some(Payload::Members(set)) = &entry.payload {
            // Member names are validated before an entry is proposed or accepted.
            if let Ok(members) = Members::try_from(set.clone()) {
                self.member_sets.push((entry.index, members));
            }
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        self.entries.truncate((index - self.first_index()) as usize);
        self.member_sets.retain(|(i, _)| *i < index);
    }

    /// Returns entries from `from` on, up to a total size of about `bytes`, but at least one if
    /// there is any.
    pub(crate) fn entries_from(&self, from: u64, bytes: usize) -> Vec<LogEntry> {
        let mut size = 0;
        let skip = (from - self.first_index()) as usize;
        let fits = |entry: &&LogEntry| {
            let first = size == 0;
            size += entry_size(entry);
            first || size <= bytes
        };
        let range = self.entries.range(skip.min(self.entries.len())..);
        range.take_while(fits).cloned().collect()
    }

    /// Returns the entries in `from..=to` that are in memory.
    pub(crate) fn range(&self, from: u64, to: u64) -> Vec<LogEntry> {
        (from..=to).filter_map(|i| self.entry(i).cloned()).collect()
    }

    /// Returns the index of the entry before those to retain. Retained are the entries up to
    /// `index`, at most `entries` of them and with a total size of at most `bytes`.
    pub(crate) fn retention_start(&self, index: u64, entries: u64, bytes: usize) -> u64 {
        let mut size = 0;
        let mut start = index;
        while index - start < entries
            && let Some(entry) = self.entry(start)
        {
            size += entry_size(entry);
            if size > bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Stores `snapshot` and removes the entries up to `until`, which it must include.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, until: u64) {
        if let Some(term) = self.term(until).filter(|_| until > self.base_index) {
            self.entries.drain(..(until - self.base_index) as usize);
            self.base_index = until;
            self.base_term = term;
        }
        let in_force = self
            .member_sets
            .iter()
            .rposition(|(i, _)| *i <= self.base_index);
        self.member_sets.drain(..in_force.unwrap_or(0));
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.member_sets = vec![(snapshot.index, snapshot.members.clone())];
        self.snapshot = Some(snapshot);
    }
}

/// Returns the approximate encoded size of an entry in bytes.
pub(crate) fn entry_size(entry: &LogEntry) -> usize {
    ENTRY_OVERHEAD_BYTES
        + match &entry.payload {
            Some(Payload::Command(command)) => command.len(),
            Some(Payload::Members(set)) => {
                let peers = set.voters.iter().chain(&set.learners);
                peers.map(|p| p.name.len() + p.address.len() + 32).sum()
            }
            Some(Payload::Blank(_)) | None => 0,
        }
}
