//! Replication progress of a member, as the leader knows it.

use std::collections::VecDeque;
use std::time::Instant;

use crate::Snapshot;

/// How the leader sends entries to a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// The last entry at which the logs match is not known. At most one message with entries is
    /// sent per heartbeat or reply.
    Probe {
        /// A message with entries was sent since the last heartbeat or reply.
        waiting: bool,
    },
    /// Messages are sent without waiting for replies.
    Pipeline,
    /// The member needs entries that are no longer in the leader's log.
    Snapshot {
        /// The snapshot that is sent. It is sent completely, even if a newer one is taken.
        snapshot: Snapshot,
        /// Number of bytes that the member has acknowledged.
        offset: usize,
        /// When the chunk at `offset` was sent, or `None` if it was not sent yet.
        sent: Option<Instant>,
    },
}

/// Replication progress of a member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub(crate) next: u64,
    /// Index of the last entry that the member holds in memory and that matches the leader's log.
    pub(crate) received: u64,
    /// Index of the last entry that the member has on disk and that matches the leader's log.
    pub(crate) synced: u64,
    pub(crate) mode: Mode,
    /// Send time of the latest message that the member has replied to, also with a rejection.
    pub(crate) last_acked: Option<Instant>,
    /// Arrival time of the latest reply.
    pub(crate) last_reply: Instant,
    /// Last index and size in bytes of each unacknowledged append message.
    inflight: VecDeque<(u64, usize)>,
    inflight_bytes: usize,
}

impl Progress {
    pub(crate) fn new(next: u64, now: Instant) -> Self {
        Self {
            next,
            received: 0,
            synced: 0,
            mode: Mode::Probe { waiting: false },
            last_acked: None,
            last_reply: now,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
        }
    }

    /// Records a reply to a message that was sent at `sent`.
    pub(crate) fn record_reply(&mut self, sent: Option<Instant>, now: Instant) {
        self.last_acked = self.last_acked.max(sent);
        self.last_reply = now;
    }

    /// Records that entries up to `last`, of `bytes` in total, were sent.
    pub(crate) fn record_sent(&mut self, last: u64, bytes: usize) {
        self.next = last + 1;
        self.inflight.push_back((last, bytes));
        self.inflight_bytes += bytes;
    }

    /// Records how far the member's log matches, and switches from probing to pipelining.
    pub(crate) fn record_match(&mut self, received: u64, synced: u64) {
        self.received = self.received.max(received);
        self.synced = self.synced.max(synced);
        if matches!(&self.mode, Mode::Snapshot { snapshot, .. } if received >= snapshot.index) {
            self.enter_probe();
        }
        if matches!(self.mode, Mode::Probe { .. }) {
            self.mode = Mode::Pipeline;
            self.next = self.received + 1;
        }
        self.next = self.next.max(self.received + 1);
        let acked = self.inflight.partition_point(|m| m.0 <= self.received);
        let acked = self.inflight.drain(..acked).map(|(_, bytes)| bytes);
        self.inflight_bytes -= acked.sum::<usize>();
    }

    /// Records that the member rejected an append and asked for entries from `hint` on.
    ///
    /// `received` may decrease, because a member that restarts loses the entries that it had not
    /// synced. `synced` never decreases, although `hint` may be below it: the hint is the first
    /// index of the conflicting term, whose earlier entries may match.
    pub(crate) fn record_rejection(&mut self, hint: u64) {
        if matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        let hint = hint.max(self.synced + 1);
        self.received = self.received.min(hint - 1);
        self.next = self.next.min(hint);
        self.enter_probe();
    }

    /// Switches to probing.
    pub(crate) fn enter_probe(&mut self) {
        self.mode = Mode::Probe { waiting: false };
        self.inflight.clear();
        self.inflight_bytes = 0;
    }

    /// Starts to send a snapshot.
    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) {
        self.enter_probe();
        self.mode = Mode::Snapshot {
            snapshot,
            offset: 0,
            sent: None,
        };
    }

    /// Returns whether another message with entries may be sent, given the limits of the messages
    /// and bytes in flight.
    pub(crate) fn can_send(&self, messages: usize, bytes: usize) -> bool {
        match self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Pipeline => self.inflight.len() < messages && self.inflight_bytes < bytes,
            Mode::Snapshot { .. } => false,
        }
    }
}
