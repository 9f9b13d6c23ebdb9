//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::log_entry::Payload;

use crate::Members;
use crate::PersistentState;
use crate::Snapshot;

/// Bytes that an entry takes in a message besides its payload, rounded up.
const ENTRY_OVERHEAD: usize = 64;

/// Entries after `base`, the latest snapshot, and the member sets they contain.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: u64,
    base_term: u64,
    entries: VecDeque<LogEntry>,
    snapshot: Option<Snapshot>,
    /// Member sets by the index of their entry, oldest first.
    members: Vec<(u64, Members)>,
}

impl Log {
    pub(crate) fn new(saved: PersistentState) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = saved.snapshot {
            log.install(snapshot);
        }
        for entry in saved.entries {
            if entry.index > log.base {
                log.push(entry);
            }
        }
        log
    }

    pub(crate) fn first(&self) -> u64 {
        self.base + 1
    }

    pub(crate) fn last(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the term of the entry, or `None` when it is not in the log.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.first())?;
        self.entries.get(offset as usize)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the member set of the last entry that carries one, and that entry's index.
    pub(crate) fn members(&self) -> Option<&(u64, Members)> {
        self.members.last()
    }

    /// Returns the member set in force at `index`.
    pub(crate) fn members_at(&self, index: u64) -> Option<&Members> {
        let found = self.members.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, members)| members)
    }

    /// Appends an entry.
    ///
    /// # Panics
    /// Panics when the entry does not follow the last one.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last() + 1, "gap in the log");
        if let Some(Payload::Members(set)) = &entry.payload {
            // Names are checked before an entry is proposed or accepted.
            if let Ok(members) = Members::try_from(set.clone()) {
                self.members.push((entry.index, members));
            }
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        self.entries.truncate((index - self.first()) as usize);
        self.members.retain(|(at, _)| *at < index);
    }

    /// Returns entries from `from` on, at least one and at most about `bytes`.
    pub(crate) fn slice(&self, from: u64, bytes: usize) -> Vec<LogEntry> {
        let mut size = 0;
        let skip = (from - self.first()) as usize;
        let fits = |entry: &&LogEntry| {
            let first = size == 0;
            size += entry_bytes(entry);
            first || size <= bytes
        };
        let range = self.entries.range(skip.min(self.entries.len())..);
        range.take_while(fits).cloned().collect()
    }

    /// Returns the entries `from..=to`.
    pub(crate) fn range(&self, from: u64, to: u64) -> Vec<LogEntry> {
        (from..=to).filter_map(|i| self.get(i).cloned()).collect()
    }

    /// Returns the last entry before the `entries` that end at `index`, or fewer when these
    /// have more than `bytes`.
    pub(crate) fn tail_start(&self, index: u64, entries: u64, bytes: usize) -> u64 {
        let mut size = 0;
        let mut start = index;
        while index - start < entries
            && let Some(entry) = self.get(start)
        {
            size += entry_bytes(entry);
            if size > bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Keeps `snapshot` and drops the entries up to `until`, which it must contain.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, until: u64) {
        if let Some(term) = self.term(until).filter(|_| until > self.base) {
            self.entries.drain(..(until - self.base) as usize);
            self.base = until;
            self.base_term = term;
        }
        let in_force = self.members.iter().rposition(|(at, _)| *at <= self.base);
        self.members.drain(..in_force.unwrap_or(0));
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log by a snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.base = snapshot.index;
        self.base_term = snapshot.term;
        self.members = vec![(snapshot.index, snapshot.members.clone())];
        self.snapshot = Some(snapshot);
    }
}

/// Returns about how many bytes an entry takes in a message.
pub(crate) fn entry_bytes(entry: &LogEntry) -> usize {
    ENTRY_OVERHEAD
        + match &entry.payload {
            Some(Payload::Command(command)) => command.len(),
            Some(Payload::Members(set)) => {
                let peers = set.voters.iter().chain(&set.learners);
                peers.map(|p| p.name.len() + p.address.len() + 32).sum()
            }
            Some(Payload::Blank(_)) | None => 0,
        }
}
