//! Settings of a member.

use std::time::Duration;

use sassafras_util::Name;

use crate::Peer;

/// Settings of a member. [`Config::new`] gives the defaults of the design.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of the replicated log; messages of other groups are ignored.
    pub group: u32,
    /// Name of this member.
    pub name: Name,
    /// Identity of this member's data folder; never 0.
    pub identity: u64,
    /// Members that found the group together. Empty for a member that is added later.
    pub initial_members: Vec<Peer>,
    /// Pause between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// Minimum election timeout; the maximum is twice as long.
    pub election: Duration,
    /// Length of the leader lease. It is shorter than the minimum election timeout by a
    /// margin for clocks that run at different speeds.
    pub lease: Duration,
    /// Most bytes of entries in one message.
    pub message_bytes: usize,
    /// Most bytes in one command.
    pub command_bytes: usize,
    /// Most append messages on the way to one follower.
    pub inflight_messages: usize,
    /// Most bytes of entries on the way to one follower.
    pub inflight_bytes: usize,
    /// Most bytes of entries that are proposed and not yet committed.
    pub pending_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Most bytes of a snapshot that a follower accepts.
    pub snapshot_bytes: u64,
    /// Entries kept in memory behind a snapshot, so that slow followers need no snapshot.
    pub retained: u64,
    /// Most bytes of entries kept in memory behind a snapshot.
    pub retained_bytes: usize,
}

impl Config {
    /// Creates the default settings for a member.
    pub fn new(name: Name, identity: u64) -> Self {
        Self {
            group: 0,
            name,
            identity,
            initial_members: Vec::new(),
            heartbeat: Duration::from_millis(50),
            election: Duration::from_millis(300),
            lease: Duration::from_millis(270),
            message_bytes: 1024 * 1024,
            command_bytes: 8 * 1024 * 1024,
            inflight_messages: 64,
            inflight_bytes: 8 * 1024 * 1024,
            pending_bytes: 64 * 1024 * 1024,
            chunk_bytes: 1024 * 1024,
            snapshot_bytes: 1024 * 1024 * 1024,
            retained: 10_000,
            retained_bytes: 32 * 1024 * 1024,
        }
    }
}
