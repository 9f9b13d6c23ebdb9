//! A member with a simulated disk, clock and replicated state.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::RngExt as _;
use rand::rngs::SmallRng;
use sassafras_raft::Batch;
use sassafras_raft::Config;
use sassafras_raft::Node;
use sassafras_raft::Peer;
use sassafras_raft::PersistentState;
use sassafras_raft::Snapshot;
use sassafras_util::Name;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::Raft;

/// A batch that is being written, and the messages to send after its sync.
struct Write {
    batch: Batch,
    messages: Vec<Raft>,
}

pub(crate) struct Member {
    pub(crate) name: Name,
    pub(crate) identity: u64,
    pub(crate) node: Option<Node>,
    pub(crate) disk: PersistentState,
    pub(crate) restart_at: u64,
    /// The process is suspended until this time.
    pub(crate) paused_until: u64,
    /// Index of the last applied entry, and the running hash of all applied entries.
    pub(crate) applied: (u64, u64),
    writes: VecDeque<Write>,
    /// Rate of the clock in thousandths.
    clock_rate: u32,
    initial: Vec<Peer>,
    start: Instant,
}

impl Member {
    pub(crate) fn new(name: &str, initial: &[Peer], clock_rate: u32, start: Instant) -> Self {
        let is_initial = initial.iter().any(|p| p.name.as_str() == name);
        Self {
            name: name.into(),
            identity: 0,
            node: None,
            disk: PersistentState::default(),
            restart_at: 0,
            paused_until: 0,
            applied: (0, 0),
            writes: VecDeque::new(),
            clock_rate,
            initial: if is_initial {
                initial.to_vec()
            } else {
                Vec::new()
            },
            start,
        }
    }

    /// Returns the time of the member's clock at a simulation time in milliseconds.
    pub(crate) fn clock(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms) * self.clock_rate / 1000
    }

    pub(crate) fn restart(&mut self, ms: u64, seed: u64) {
        let mut config = Config::new(self.name.clone(), self.identity);
        config.initial_members.clone_from(&self.initial);
        // The limits are small, so that short runs reach them.
        config.message_bytes = 300;
        config.inflight_messages = 4;
        config.chunk_bytes = 7;
        config.retained_entries = 5;
        self.applied = (0, 0);
        if let Some(snapshot) = self.disk.snapshot.clone() {
            self.install(&snapshot);
        }
        self.node = Some(Node::new(config, self.disk.clone(), seed, self.clock(ms)));
    }

    pub(crate) fn crash(&mut self, rng: &mut SmallRng) {
        // Any number of the writes may have reached the disk before the process crashed.
        for _ in 0..rng.random_range(0..=self.writes.len()) {
            self.finish_write();
        }
        self.writes.clear();
        self.node = None;
    }

    /// Removes the content of the disk. The next start uses the new identity.
    pub(crate) fn wipe(&mut self, identity: u64) {
        self.node = None;
        self.writes.clear();
        self.disk = PersistentState::default();
        self.identity = identity;
    }

    pub(crate) fn queue_write(&mut self, batch: Batch, messages: Vec<Raft>) {
        self.writes.push_back(Write { batch, messages });
    }

    pub(crate) fn has_writes(&self) -> bool {
        !self.writes.is_empty()
    }

    /// Completes the oldest write. Returns its batch number and the messages to send after it.
    pub(crate) fn finish_write(&mut self) -> Option<(u64, Vec<Raft>)> {
        let Write { batch, messages } = self.writes.pop_front()?;
        let disk = &mut self.disk;
        disk.hard_state = batch.hard_state.unwrap_or(disk.hard_state);
        if let Some(snapshot) = batch.snapshot {
            disk.snapshot = Some(snapshot);
            disk.entries.clear();
        }
        if let Some(index) = batch.truncate {
            disk.entries.retain(|e| e.index < index);
        }
        disk.entries.extend(batch.append);
        Some((batch.number, messages))
    }

    pub(crate) fn apply(&mut self, entry: &LogEntry) {
        assert_eq!(
            entry.index,
            self.applied.0 + 1,
            "{}: gap when applying",
            self.name
        );
        self.applied = (entry.index, hash_entry(self.applied.1, entry));
    }

    pub(crate) fn install(&mut self, snapshot: &Snapshot) {
        let hash = snapshot.data[..8].try_into().map(u64::from_le_bytes);
        self.applied = (snapshot.index, hash.expect("snapshot without a state hash"));
    }

    /// Compacts the log up to the applied entry, if that is on disk and no writes are outstanding.
    pub(crate) fn compact(&mut self) {
        let (index, hash) = self.applied;
        let mut data = hash.to_le_bytes().to_vec();
        data.extend_from_slice(&[7; 20]);
        let on_disk = self.disk.entries.last().is_some_and(|e| e.index >= index);
        let Some(node) = self
            .node
            .as_mut()
            .filter(|_| on_disk && self.writes.is_empty())
        else {
            return;
        };
        if let Some(snapshot) = node.compact(index, Bytes::from(data)) {
            self.disk.entries.retain(|e| e.index > index);
            self.disk.snapshot = Some(snapshot);
        }
    }

    /// Returns whether this is an initial member of the group.
    pub(crate) fn is_initial(&self) -> bool {
        !self.initial.is_empty()
    }

    /// Returns whether the entry is on disk, in the log or as part of the snapshot.
    pub(crate) fn has_on_disk(&self, index: u64, term: u64) -> bool {
        let in_snapshot = self
            .disk
            .snapshot
            .as_ref()
            .is_some_and(|s| s.index >= index);
        let same = |e: &LogEntry| e.index == index && e.term == term;
        in_snapshot || self.disk.entries.iter().any(same)
    }
}

fn hash_entry(hash: u64, entry: &LogEntry) -> u64 {
    let text = format!("{hash}{entry:?}");
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
