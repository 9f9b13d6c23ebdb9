//! What the leader knows about another member.

use std::collections::VecDeque;
use std::time::Instant;

use crate::Snapshot;

/// How entries reach a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// The point where the logs agree is unknown: one message per heartbeat.
    Probe {
        /// A message was sent since the last heartbeat or reply.
        waiting: bool,
    },
    /// Messages are sent without waiting for replies.
    Pipeline,
    /// The member needs entries that are no longer in the log.
    Snapshot {
        /// The snapshot on its way. It stays the same until the member has it, even when a
        /// newer one is taken.
        snapshot: Snapshot,
        /// Bytes that the member has received.
        offset: usize,
        /// When the chunk at `offset` was sent, if it was.
        sent: Option<Instant>,
    },
}

/// What the leader knows about another member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Next entry to send.
    pub(crate) next: u64,
    /// Last entry that the member holds in memory and that matches the leader's log.
    pub(crate) received: u64,
    /// Last entry that the member has on disk and that matches the leader's log.
    pub(crate) synced: u64,
    /// How entries reach the member.
    pub(crate) mode: Mode,
    /// Sending time of the latest message that the member has answered.
    pub(crate) acked: Option<Instant>,
    /// Receipt of the latest answer.
    pub(crate) heard: Instant,
    /// Last index and size of each message on its way.
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
            acked: None,
            heard: now,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
        }
    }

    /// Records an answer to a message sent at `sent`.
    pub(crate) fn answered(&mut self, sent: Option<Instant>, now: Instant) {
        self.acked = self.acked.max(sent);
        self.heard = now;
    }

    /// Records that entries up to `last` were sent.
    pub(crate) fn sent(&mut self, last: u64, bytes: usize) {
        self.next = last + 1;
        self.inflight.push_back((last, bytes));
        self.inflight_bytes += bytes;
    }

    /// Records how far the member's log matches, and starts pipelining.
    pub(crate) fn matched(&mut self, received: u64, synced: u64) {
        self.received = self.received.max(received);
        self.synced = self.synced.max(synced);
        if matches!(&self.mode, Mode::Snapshot { snapshot, .. } if received >= snapshot.index) {
            self.probe();
        }
        if matches!(self.mode, Mode::Probe { .. }) {
            self.mode = Mode::Pipeline;
            self.next = self.received + 1;
        }
        self.next = self.next.max(self.received + 1);
        let done = self.inflight.partition_point(|m| m.0 <= self.received);
        let done = self.inflight.drain(..done).map(|(_, bytes)| bytes);
        self.inflight_bytes -= done.sum::<usize>();
    }

    /// Records that the member's log does not match before `hint`.
    ///
    /// `received` may move back, because a member that restarts loses what it had not
    /// synced. `synced` never does, but the hint may lie before it: it names the start of a
    /// whole term, of which the last entries conflict.
    pub(crate) fn rejected(&mut self, hint: u64) {
        if matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        let hint = hint.max(self.synced + 1);
        self.received = self.received.min(hint - 1);
        self.next = self.next.min(hint);
        self.probe();
    }

    /// Returns to one message at a time.
    pub(crate) fn probe(&mut self) {
        self.mode = Mode::Probe { waiting: false };
        self.inflight.clear();
        self.inflight_bytes = 0;
    }

    /// Starts sending a snapshot.
    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) {
        self.probe();
        self.mode = Mode::Snapshot {
            snapshot,
            offset: 0,
            sent: None,
        };
    }

    /// Returns whether another message with entries may be sent.
    pub(crate) fn has_room(&self, messages: usize, bytes: usize) -> bool {
        match self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Pipeline => self.inflight.len() < messages && self.inflight_bytes < bytes,
            Mode::Snapshot { .. } => false,
        }
    }
}
