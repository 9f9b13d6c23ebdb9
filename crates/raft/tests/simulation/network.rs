//! An in-memory network of members with faults, and the checks made on every step.

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

/// How often faults happen. Rates are in thousandths: per message, or per step of 2 ms.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    pub(crate) delay: u32,
    pub(crate) crash: u32,
    pub(crate) pause: u32,
    pub(crate) partition: u32,
    pub(crate) wipe: u32,
    pub(crate) members: u32,
    pub(crate) transfer: u32,
    pub(crate) compact: u32,
}

const STEP_MS: u64 = 2;

pub(crate) struct Network {
    pub(crate) members: Vec<Member>,
    faults: Faults,
    ms: u64,
    proposed: u64,
    rng: SmallRng,
    /// Messages by the time of their arrival.
    messages: BTreeMap<(u64, u64), Raft>,
    sent: u64,
    /// Member cut off from all others, until a time.
    cut: Option<(Name, u64)>,
    leaders: BTreeMap<u64, (Name, u64)>,
    /// Term of each applied entry by index.
    pub(crate) terms: BTreeMap<u64, u64>,
    /// Running hash of the state by applied index.
    states: BTreeMap<u64, u64>,
    /// Term before and content of each entry, by index and term.
    entries: BTreeMap<(u64, u64), (u64, LogEntry)>,
    /// Highest commit index of any leader so far.
    pub(crate) committed: u64,
    /// Entries that a leader reported as held, by index.
    pub(crate) held: BTreeMap<u64, u64>,
}

impl Network {
    /// Creates members `a`, `b`, …; the first `initial` of them found the group.
    pub(crate) fn new(size: usize, initial: usize, seed: u64, faults: Faults) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names = ["a", "b", "c", "d", "e"];
        let peers = names[..initial].iter();
        let peers: Vec<Peer> = peers.map(|n| Peer::new((*n).into(), "address")).collect();
        let start = Instant::now();
        let members = names[..size].iter().map(|name| {
            // Clocks differ by up to 3 %; the lease allows for 10 %.
            Member::new(name, &peers, rng.random_range(970..=1030), start)
        });
        let mut network = Self {
            members: members.collect(),
            faults,
            ms: 1000,
            proposed: 0,
            rng,
            messages: BTreeMap::new(),
            sent: 0,
            cut: None,
            leaders: BTreeMap::new(),
            terms: BTreeMap::new(),
            states: BTreeMap::new(),
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
        let end = self.ms + ms;
        while self.ms < end {
            self.step();
        }
    }

    /// Stops all faults and starts every member.
    pub(crate) fn heal(&mut self) {
        self.faults = Faults::default();
        self.cut = None;
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
        self.ms += STEP_MS;
        self.deliver();
        for i in 0..self.members.len() {
            self.run_member(i);
        }
        self.inject();
        self.check_leases();
    }

    fn deliver(&mut self) {
        while let Some(due) = self.messages.first_entry().filter(|e| e.key().0 <= self.ms) {
            let message = due.remove();
            let cut = self.cut.as_ref().map(|(name, _)| name.as_str());
            if cut == Some(&message.from) || cut == Some(&message.to) {
                continue;
            }
            let to = self
                .members
                .iter_mut()
                .find(|m| m.name.as_str() == message.to);
            let Some(to) = to.filter(|m| m.paused_until <= self.ms) else {
                // A paused process finds the message in its socket when it resumes.
                self.sent += 1;
                self.messages.insert((self.ms + 50, self.sent), message);
                continue;
            };
            let now = to.clock(self.ms);
            if let Some(node) = &mut to.node {
                node.step(now, message);
            }
        }
    }

    fn post(&mut self, messages: Vec<Raft>) {
        for message in messages {
            if self.chance(self.faults.drop) {
                continue;
            }
            let copies = 1 + u32::from(self.chance(self.faults.duplicate));
            for _ in 0..copies {
                let late = self.chance(self.faults.delay);
                let delay = self.rng.random_range(0..if late { 800 } else { 4 });
                self.sent += 1;
                self.messages
                    .insert((self.ms + delay, self.sent), message.clone());
            }
        }
    }

    fn run_member(&mut self, i: usize) {
        let seed = self.rng.random();
        let member = &mut self.members[i];
        if member.node.is_none() && member.restart_at <= self.ms {
            member.restart(self.ms, seed);
        }
        let now = member.clock(self.ms);
        if member.node.is_none() || member.paused_until > self.ms {
            return;
        }
        // A disk takes a few milliseconds for a write.
        while self.members[i].has_writes() && self.chance(400) {
            let Some((number, after)) = self.members[i].finish_write() else {
                break;
            };
            if let Some(node) = &mut self.members[i].node {
                node.synced(now, number);
            }
            self.post(after);
        }
        if let Some(node) = &mut self.members[i].node {
            node.tick(now);
        }
        self.propose(i, now);
        self.collect(i);
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

    fn collect(&mut self, i: usize) {
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
            let state = *self.states.entry(index).or_insert(hash);
            assert_eq!(state, hash, "{}: entry {index} differs", member.name);
        }
        let waits = !ready.after_sync.is_empty() && member.has_writes();
        if waits || !ready.batch.is_empty() {
            member.queue(ready.batch, ready.after_sync);
        } else {
            self.post(ready.after_sync);
        }
        self.post(ready.messages);
    }

    /// Log matching: the same index and term always mean the same entry and the same history.
    fn check_entries(&mut self, i: usize, entries: &[LogEntry]) {
        let Some(node) = &self.members[i].node else {
            return;
        };
        for entry in entries {
            let before = node.entry(entry.index - 1).map(|e| e.term);
            let Some(before) = before else { continue };
            let known = self.entries.entry((entry.index, entry.term));
            let known = known.or_insert_with(|| (before, entry.clone()));
            assert_eq!(*known, (before, entry.clone()), "logs do not match");
        }
    }

    /// One leader a term, and an entry is committed only when a majority has it on disk.
    fn check_leader(&mut self, i: usize, term: u64, commit: u64) {
        let own = (self.members[i].name.clone(), self.members[i].identity);
        let leader = self.leaders.entry(term).or_insert_with(|| own.clone());
        assert_eq!(*leader, own, "two leaders in term {term}");
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
            // A wiped member has lost what it had acknowledged.
            member.is_some_and(|m| m.identity != peer.identity)
                || same.is_some_and(|m| m.holds(commit, entry.term))
        });
        let count = on_disk.count();
        assert!(
            count > voters.len() / 2,
            "{commit} is on {count} disks only"
        );
    }

    /// At most one member has a live lease, and it knows everything that was committed.
    fn check_leases(&self) {
        let live = |m: &&Member| {
            let until = m.node.as_ref().and_then(Node::lease_until);
            until.is_some_and(|until| until > m.clock(self.ms))
        };
        let holders: Vec<&Member> = self.members.iter().filter(live).collect();
        assert!(holders.len() < 2, "two leases at {} ms", self.ms);
        for holder in holders {
            let commit = holder.node.as_ref().map_or(0, Node::commit);
            assert!(
                commit >= self.committed,
                "{} would serve a stale read",
                holder.name
            );
        }
    }

    fn inject(&mut self) {
        let i = self.rng.random_range(0..self.members.len());
        if self.chance(self.faults.crash) {
            self.members[i].crash(&mut self.rng);
            self.members[i].restart_at = self.ms + self.rng.random_range(1..1500);
        }
        if self.chance(self.faults.pause) {
            self.members[i].paused_until = self.ms + self.rng.random_range(1..1000);
        }
        if self.chance(self.faults.wipe) && self.survives(i) {
            let identity = self.rng.random_range(1..u64::MAX);
            self.members[i].wipe(identity);
            self.members[i].restart_at = self.ms + 100;
        }
        if self.chance(self.faults.compact) {
            self.members[i].compact();
        }
        if self
            .cut
            .as_ref()
            .is_some_and(|(_, until)| *until <= self.ms)
        {
            self.cut = None;
        }
        if self.cut.is_none() && self.chance(self.faults.partition) {
            let until = self.ms + self.rng.random_range(50..2000);
            self.cut = Some((self.members[i].name.clone(), until));
        }
        self.order(i);
    }

    /// Returns whether another initial member has something on disk. When all of them lose
    /// their disks, nobody can know of the old group, and they found a new one.
    fn survives(&self, wiped: usize) -> bool {
        let stored = |m: &Member| m.founds() && m.disk.hard_state.term > 0;
        let others = self.members.iter().enumerate().filter(|(i, _)| *i != wiped);
        others.into_iter().any(|(_, m)| stored(m))
    }

    /// Gives the member an operator's order.
    fn order(&mut self, i: usize) {
        let transfer = self.chance(self.faults.transfer);
        let change = self.chance(self.faults.members);
        let target = self.rng.random_range(0..self.members.len());
        let name = self.members[target].name.clone();
        let now = self.members[i].clock(self.ms);
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
