//! A simulated network of members with fault injection, and the checks after every step.

use std::collections::BTreeMap;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use sassafras_raft::MemberChange;
use sassafras_raft::Node;
use sassafras_raft::Peer;
use sassafras_util::Name;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::Raft;

use crate::member::Member;

/// Probabilities of faults in thousandths, per message or per simulation step of 2 ms.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    pub(crate) delay: u32,
    pub(crate) crash: u32,
    pub(crate) pause: u32,
    pub(crate) partition: u32,
    pub(crate) wipe: u32,
    pub(crate) member_changes: u32,
    pub(crate) transfer: u32,
    pub(crate) compact: u32,
}

const STEP_MS: u64 = 2;

pub(crate) struct Network {
    pub(crate) members: Vec<Member>,
    faults: Faults,
    now_ms: u64,
    proposed: u64,
    rng: SmallRng,
    /// Messages in flight by arrival time and message number.
    messages: BTreeMap<(u64, u64), Raft>,
    next_message: u64,
    /// Member that is partitioned from all others, and until when.
    isolated: Option<(Name, u64)>,
    leaders: BTreeMap<u64, (Name, u64)>,
    /// Terms of the applied entries by index.
    pub(crate) terms: BTreeMap<u64, u64>,
    /// Running hashes of the state by applied index.
    state_hashes: BTreeMap<u64, u64>,
    /// Entries by index and term, each with the term of the entry before it.
    entries: BTreeMap<(u64, u64), (u64, LogEntry)>,
    /// Highest commit index of any leader.
    pub(crate) committed: u64,
    /// Terms of the entries that a leader reported as held, by index.
    pub(crate) held: BTreeMap<u64, u64>,
}

impl Network {
    /// Creates `size` members, named `a`, `b` and so on. The first `initial` of them bootstrap the
    /// group.
    pub(crate) fn new(size: usize, initial: usize, seed: u64, faults: Faults) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names = ["a", "b", "c", "d", "e"];
        let peers = names[..initial].iter();
        let peers: Vec<Peer> = peers.map(|n| Peer::new((*n).into(), "address")).collect();
        let start = Instant::now();
        let members = names[..size].iter().map(|name| {
            // Clock rates deviate by up to 3 %. The lease allows for 10 %.
            Member::new(name, &peers, rng.random_range(970..=1030), start)
        });
        let mut network = Self {
            members: members.collect(),
            faults,
            now_ms: 1000,
            proposed: 0,
            rng,
            messages: BTreeMap::new(),
            next_message: 0,
            isolated: None,
            leaders: BTreeMap::new(),
            terms: BTreeMap::new(),
            state_hashes: BTreeMap::new(),
            entries: BTreeMap::new(),
            committed: 0,
            held: BTreeMap::new(),
        };
        for member in &mut network.members {
            member.identity = network.rng.random_range(1..u64::MAX);
        }
        network
    }

    fn chance(&mut self, rate: u32) -> bool {
        self.rng.random_range(0..1000) < rate
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
        }
    }

    /// Stops all faults and restarts the stopped members.
    pub(crate) fn heal(&mut self) {
        self.faults = Faults::default();
        self.isolated = None;
        for member in &mut self.members {
            member.restart_at = 0;
            member.paused_until = 0;
        }
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |m: &Member| m.node.as_ref().is_some_and(|n| n.lease_until().is_some());
        self.members.iter().position(leads)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        for i in 0..self.members.len() {
            self.run_member(i);
        }
        self.inject_faults();
        self.check_leases();
    }

    fn deliver(&mut self) {
        while let Some(due) = self
            .messages
            .first_entry()
            .filter(|e| e.key().0 <= self.now_ms)
        {
            let message = due.remove();
            let isolated = self.isolated.as_ref().map(|(name, _)| name.as_str());
            if isolated == Some(&message.from) || isolated == Some(&message.to) {
                continue;
            }
            let to = self
                .members
                .iter_mut()
                .find(|m| m.name.as_str() == message.to);
            let Some(to) = to.filter(|m| m.paused_until <= self.now_ms) else {
                // A paused process reads the message from its socket when it resumes.
                self.next_message += 1;
                self.messages
                    .insert((self.now_ms + 50, self.next_message), message);
                continue;
            };
            let now = to.clock(self.now_ms);
            if let Some(node) = &mut to.node {
                node.step(now, message);
            }
        }
    }

    fn send(&mut self, messages: Vec<Raft>) {
        for message in messages {
            if self.chance(self.faults.drop) {
                continue;
            }
            let copies = 1 + u32::from(self.chance(self.faults.duplicate));
            for _ in 0..copies {
                let late = self.chance(self.faults.delay);
                let delay = self.rng.random_range(0..if late { 800 } else { 4 });
                self.next_message += 1;
                self.messages
                    .insert((self.now_ms + delay, self.next_message), message.clone());
            }
        }
    }

    fn run_member(&mut self, i: usize) {
        let seed = self.rng.random();
        let member = &mut self.members[i];
        if member.node.is_none() && member.restart_at <= self.now_ms {
            member.restart(self.now_ms, seed);
        }
        let now = member.clock(self.now_ms);
        if member.node.is_none() || member.paused_until > self.now_ms {
            return;
        }
        // A write takes a few milliseconds.
        while self.members[i].has_writes() && self.chance(400) {
            let Some((number, messages)) = self.members[i].finish_write() else {
                break;
            };
            if let Some(node) = &mut self.members[i].node {
                node.synced(now, number);
            }
            self.send(messages);
        }
        if let Some(node) = &mut self.members[i].node {
            node.tick(now);
        }
        self.propose(i, now);
        self.process_ready(i);
    }

    fn propose(&mut self, i: usize, now: Instant) {
        if !self.chance(100) {
            return;
        }
        let command = format!("command {}", self.proposed);
        if let Some(node) = &mut self.members[i].node
            && node.propose(now, command.into()).is_ok()
        {
            self.proposed += 1;
        }
    }

    fn process_ready(&mut self, i: usize) {
        let Some(node) = &mut self.members[i].node else {
            return;
        };
        let ready = node.ready();
        let (term, leads, commit) = (node.term(), node.is_leader(), node.commit());
        self.check_entries(i, &ready.batch.append);
        if leads {
            self.check_leader(i, term, commit);
            if let Some(index) = ready.held {
                self.held.insert(index, term);
            }
        }
        let member = &mut self.members[i];
        if let Some(snapshot) = &ready.install {
            member.install(snapshot);
        }
        for entry in &ready.committed {
            member.apply(entry);
            self.terms.insert(entry.index, entry.term);
            let (index, hash) = member.applied;
            let state = *self.state_hashes.entry(index).or_insert(hash);
            assert_eq!(state, hash, "{}: entry {index} differs", member.name);
        }
        let must_wait = !ready.after_sync.is_empty() && member.has_writes();
        if must_wait || !ready.batch.is_empty() {
            member.queue_write(ready.batch, ready.after_sync);
        } else {
            self.send(ready.after_sync);
        }
        self.send(ready.messages);
    }

    /// Checks log matching: entries with the same index and term are identical, and so are the
    /// terms of the entries before them.
    fn check_entries(&mut self, i: usize, entries: &[LogEntry]) {
        let Some(node) = &self.members[i].node else {
            return;
        };
        for entry in entries {
            let before = node.entry(entry.index - 1).map(|e| e.term);
            let Some(before) = before else { continue };
            let known = self.entries.entry((entry.index, entry.term));
            let known = known.or_insert_with(|| (before, entry.clone()));
            assert_eq!(*known, (before, entry.clone()), "logs differ");
        }
    }

    /// Checks that a term has at most one leader, and that committed entries are on a majority of
    /// disks.
    fn check_leader(&mut self, i: usize, term: u64, commit: u64) {
        let this = (self.members[i].name.clone(), self.members[i].identity);
        let leader = self.leaders.entry(term).or_insert_with(|| this.clone());
        assert_eq!(*leader, this, "two leaders in term {term}");
        if commit <= self.committed {
            return;
        }
        self.committed = commit;
        let Some(node) = &self.members[i].node else {
            return;
        };
        let Some(entry) = node.entry(commit) else {
            return;
        };
        let voters = node.members().voters;
        let on_disk = voters.iter().filter(|peer| {
            let member = self.members.iter().find(|m| m.name == peer.name);
            let same = member.filter(|m| m.identity == peer.identity);
            // A member that was wiped since then counts, because it may have acknowledged the entry.
            member.is_some_and(|m| m.identity != peer.identity)
                || same.is_some_and(|m| m.has_on_disk(commit, entry.term))
        });
        let count = on_disk.count();
        assert!(
            count > voters.len() / 2,
            "committed entry {commit} is on only {count} disks"
        );
    }

    /// Checks that at most one member has a lease, and that it knows all committed entries.
    fn check_leases(&self) {
        let has_lease = |m: &&Member| {
            let until = m.node.as_ref().and_then(Node::lease_until);
            until.is_some_and(|until| until > m.clock(self.now_ms))
        };
        let holders: Vec<&Member> = self.members.iter().filter(has_lease).collect();
        assert!(
            holders.len() < 2,
            "more than one lease at {} ms",
            self.now_ms
        );
        for holder in holders {
            let commit = holder.node.as_ref().map_or(0, Node::commit);
            assert!(
                commit >= self.committed,
                "{} would serve a stale read",
                holder.name
            );
        }
    }

    fn inject_faults(&mut self) {
        let i = self.rng.random_range(0..self.members.len());
        if self.chance(self.faults.crash) {
            self.members[i].crash(&mut self.rng);
            self.members[i].restart_at = self.now_ms + self.rng.random_range(1..1500);
        }
        if self.chance(self.faults.pause) {
            self.members[i].paused_until = self.now_ms + self.rng.random_range(1..1000);
        }
        if self.chance(self.faults.wipe) && self.others_have_data(i) {
            let identity = self.rng.random_range(1..u64::MAX);
            self.members[i].wipe(identity);
            self.members[i].restart_at = self.now_ms + 100;
        }
        if self.chance(self.faults.compact) {
            self.members[i].compact();
        }
        if self
            .isolated
            .as_ref()
            .is_some_and(|(_, until)| *until <= self.now_ms)
        {
            self.isolated = None;
        }
        if self.isolated.is_none() && self.chance(self.faults.partition) {
            let until = self.now_ms + self.rng.random_range(50..2000);
            self.isolated = Some((self.members[i].name.clone(), until));
        }
        self.run_command(i);
    }

    /// Returns whether another initial member has data on disk. If all of them lose their disks,
    /// no member knows of the old group, and they bootstrap a new one.
    fn others_have_data(&self, wiped: usize) -> bool {
        let stored = |m: &Member| m.is_initial() && m.disk.hard_state.term > 0;
        let others = self.members.iter().enumerate().filter(|(i, _)| *i != wiped);
        others.into_iter().any(|(_, m)| stored(m))
    }

    /// Sends the member an operator's leadership transfer or member change.
    fn run_command(&mut self, i: usize) {
        let transfer = self.chance(self.faults.transfer);
        let change = self.chance(self.faults.member_changes);
        let target = self.rng.random_range(0..self.members.len());
        let name = self.members[target].name.clone();
        let now = self.members[i].clock(self.now_ms);
        let Some(node) = &mut self.members[i].node else {
            return;
        };
        if transfer {
            drop(node.transfer_leadership(now));
        }
        if change {
            let members = node.members();
            let change = if members.learner(&name).is_some() {
                MemberChange::Promote(name)
            } else if members.voter(&name).is_some() {
                MemberChange::Remove(name)
            } else {
                MemberChange::AddLearner(Peer::new(name, "address"))
            };
            drop(node.propose_members(now, change));
        }
    }
}
