//! What a member stores, and the effects it asks its user to carry out.

use bytes::Bytes;
use sassafras_util::Name;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::Raft;

use crate::Members;

/// The term and vote that must survive a restart.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Identity of the candidate voted for in this term, or 0.
    pub vote: u64,
}

/// The replicated state up to an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Member set in force at that entry.
    pub members: Members,
    /// The encoded state; opaque to the log.
    pub data: Bytes,
}

/// What a member reads back from its storage at start.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps. Entries that it contains may precede them.
    pub entries: Vec<LogEntry>,
}

/// Changes to write and sync. Batches are written in the order of their numbers.
///
/// Storage first replaces everything by the snapshot, then removes entries from `truncate`
/// on, then appends.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Number to pass to [`Node::synced`](crate::Node::synced).
    pub number: u64,
    /// Snapshot received from the leader; it replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Term and vote, when they changed.
    pub hard_state: Option<HardState>,
    /// First index to remove.
    pub truncate: Option<u64>,
    /// Entries to append.
    pub append: Vec<LogEntry>,
}

impl Batch {
    /// Returns whether there is nothing to write. An empty batch needs no call to `synced`.
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
    /// Term of the change.
    pub term: u64,
    /// The leader, or `None` while it is unknown.
    pub leader: Option<Name>,
}

/// Effects that the user of a [`Node`](crate::Node) carries out.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Changes to write and sync.
    pub batch: Batch,
    /// Messages that may be sent at once.
    pub messages: Vec<Raft>,
    /// Messages that may be sent only after `batch`, and all batches before it, are synced.
    pub after_sync: Vec<Raft>,
    /// Snapshot to install in the state before applying `committed`. It is also in `batch`.
    pub install: Option<Snapshot>,
    /// Entries to apply, in order; each is returned once.
    pub committed: Vec<LogEntry>,
    /// On the leader: the last entry that a majority holds in memory, when it moved.
    pub held: Option<u64>,
    /// Change of the known leader.
    pub leader: Option<LeaderChange>,
}
