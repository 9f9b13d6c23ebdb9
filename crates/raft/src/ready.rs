//! Persistent state of a member and the effects that its caller carries out.

use bytes::Bytes;
use sassafras_util::Name;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::Raft;

use crate::Members;

/// The term and vote, which must survive a restart.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Identity of the candidate that got this member's vote in the term, or 0 if none did.
    pub vote: u64,
}

/// The replicated state as of an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Member set in force at that index.
    pub members: Members,
    /// Encoded state, which this crate does not interpret.
    pub data: Bytes,
}

/// The state that a member reads from its storage at start.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Contiguous entries that follow the snapshot. Leading entries that the snapshot includes
    /// are ignored.
    pub entries: Vec<LogEntry>,
}

/// Changes to write and sync. Batches must be written in the order of their numbers.
///
/// Within a batch, storage first replaces the log with `snapshot`, then removes the entries
/// from `truncate` on, then appends the entries of `append`.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Number to pass to [`Node::synced`](crate::Node::synced).
    pub number: u64,
    /// Snapshot received from the leader, which replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// First index to remove from the log.
    pub truncate: Option<u64>,
    /// Entries to append.
    pub append: Vec<LogEntry>,
}

impl Batch {
    /// Returns whether there is nothing to write. An empty batch need not be reported to
    /// [`Node::synced`](crate::Node::synced).
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.hard_state.is_none()
            && self.truncate.is_none()
            && self.append.is_empty()
    }
}

/// A change of the known leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderChange {
    /// Current term.
    pub term: u64,
    /// Name of the leader, or `None` if it is not known.
    pub leader: Option<Name>,
}

/// Effects that the caller of a [`Node`](crate::Node) carries out.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Changes to write and sync.
    pub batch: Batch,
    /// Messages that may be sent immediately.
    pub messages: Vec<Raft>,
    /// Messages that must not be sent before `batch` and all earlier batches are synced.
    pub after_sync: Vec<Raft>,
    /// Snapshot that replaces the state before `committed` is applied. It is also in `batch`.
    pub install: Option<Snapshot>,
    /// Committed entries to apply, in order. Each entry is returned once.
    pub committed: Vec<LogEntry>,
    /// On the leader: index of the last entry that a majority holds in memory, if it changed.
    pub held: Option<u64>,
    /// Change of the known leader, if there was one.
    pub leader: Option<LeaderChange>,
}
