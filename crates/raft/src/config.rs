//! Settings of a member.

use std::time::Duration;

use sassafras_util::Name;

use crate::Peer;

/// Settings of a member. [`Config::new`] returns the defaults.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of the Raft group. Messages of other groups are ignored.
    pub group: u32,
    /// Name of this member.
    pub name: Name,
    /// Identity of this member's data folder. Must not be 0.
    pub identity: u64,
    /// Members that bootstrap the group. Empty for a member that is added later.
    pub initial_members: Vec<Peer>,
    /// Interval between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout. The maximum is twice as long.
    pub election_timeout: Duration,
    /// Duration of the leader lease. It is shorter than the minimum election timeout, to allow
    /// for clocks that run at different rates.
    pub lease_duration: Duration,
    /// Maximum size of the entries in one message, in bytes. A larger entry is sent alone.
    pub message_bytes: usize,
    /// Maximum size of a command, in bytes.
    pub command_bytes: usize,
    /// Maximum number of unacknowledged append messages per follower.
    pub inflight_messages: usize,
    /// Size of the unacknowledged entries per follower from which no more are sent, in bytes.
    pub inflight_bytes: usize,
    /// Size of the uncommitted entries above which proposals are rejected, in bytes.
    pub pending_bytes: usize,
    /// Size of a snapshot chunk, which is sent in one message, in bytes.
    pub chunk_bytes: usize,
    /// Maximum size of a snapshot that a follower accepts, in bytes.
    pub snapshot_bytes: u64,
    /// Maximum number of entries that compaction keeps in memory although the snapshot contains
    /// them, so that slow followers need no snapshot.
    pub retained_entries: u64,
    /// Maximum size of the entries that compaction keeps in memory, in bytes.
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
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            lease_duration: Duration::from_millis(270),
            message_bytes: 1024 * 1024,
            command_bytes: 8 * 1024 * 1024,
            inflight_messages: 64,
            inflight_bytes: 8 * 1024 * 1024,
            pending_bytes: 64 * 1024 * 1024,
            chunk_bytes: 1024 * 1024,
            snapshot_bytes: 1024 * 1024 * 1024,
            retained_entries: 10_000,
            retained_bytes: 32 * 1024 * 1024,
        }
    }
}
