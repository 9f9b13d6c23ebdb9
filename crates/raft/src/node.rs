//! One member of the group: time, messages, proposals and effects.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use displaydoc::Display;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use sassafras_util::FastMap;
use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::Raft;
use sassafras_wire::proto::log_entry::Payload;
use sassafras_wire::proto::raft::Body;

use crate::Batch;
use crate::Config;
use crate::HardState;
use crate::LeaderChange;
use crate::Members;
use crate::PersistentState;
use crate::Ready;
use crate::Snapshot;
use crate::leader::Leader;
use crate::log::Log;
use crate::snapshot::Incoming;

/// Why a proposal was not accepted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ProposeError {
    /// this member is not the leader
    NotLeader(Option<Name>),
    /// leadership is being transferred
    Transferring,
    /// too many entries wait to be committed
    Busy,
    /// the command has {0} bytes, which is more than one entry may carry
    TooLarge(usize),
    /// another change of the member set is not committed yet
    ChangeInProgress,
    /// the member change is not possible: {0}
    InvalidChange(&'static str),
}

impl std::error::Error for ProposeError {}

/// What a member does in the current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Asks whether it could win an election, without raising its term.
    PreCandidate(FastSet<Name>),
    Candidate(FastSet<Name>),
    Leader(Leader),
}

/// A batch that the user has not reported as synced.
#[derive(Debug)]
struct Unsynced {
    number: u64,
    /// Last entry of the batch that is still part of the log.
    last: u64,
    term: u64,
}

/// One member of the group. See the [crate documentation](crate).
#[derive(Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) rng: SmallRng,
    /// Latest time that the user passed in.
    pub(crate) now: Instant,
    /// Start of the node; probe numbers count from here.
    pub(crate) start: Instant,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<Name>,
    /// Last contact with a leader. Votes are refused for one election timeout after it.
    pub(crate) heard: Option<Instant>,
    /// When an election starts, unless a leader is heard from before.
    pub(crate) election_at: Instant,
    /// Elections since a leader was last heard.
    pub(crate) elections: u32,
    pub(crate) commit: u64,
    pub(crate) synced: u64,
    /// Term that is known to be on disk.
    pub(crate) durable_term: u64,
    /// Last entry known to match the leader's log in this term.
    pub(crate) matched: u64,
    /// An append reply to send: the probe to echo.
    pub(crate) reply: Option<u64>,
    pub(crate) incoming: Option<Incoming>,
    /// Identity in the last message from each member, so that an answer reaches only the
    /// identity that asked, even before the member set is known.
    contacts: FastMap<Name, u64>,
    /// Identities of the initial members that answered a greeting, by name.
    pub(crate) greeted: FastMap<Name, u64>,
    /// Identity of the member that last greeted this one while it was blank.
    pub(crate) pledged: Option<(Name, u64)>,
    pub(crate) greet_at: Instant,
    pub(crate) messages: Vec<Raft>,
    pub(crate) after_sync: Vec<Raft>,
    pub(crate) install: Option<Snapshot>,
    pub(crate) truncate: Option<u64>,
    /// First entry that was not handed to storage yet.
    pub(crate) unsaved: u64,
    unsynced: VecDeque<Unsynced>,
    batches: u64,
    stored: HardState,
    applied: u64,
    announced: LeaderChange,
}

impl Node {
    /// Creates a member from what its storage holds.
    pub fn new(config: Config, saved: PersistentState, rng_seed: u64, now: Instant) -> Self {
        let hard = saved.hard_state;
        let log = Log::new(saved);
        let base = log.first() - 1;
        let mut node = Self {
            rng: SmallRng::seed_from_u64(rng_seed),
            now,
            start: now,
            hard,
            role: Role::Follower,
            leader: None,
            // A restarted member may have acknowledged a lease just before it stopped.
            heard: (hard.term > 0).then_some(now),
            election_at: now,
            elections: 0,
            commit: base,
            synced: log.last(),
            durable_term: hard.term,
            matched: 0,
            reply: None,
            incoming: None,
            contacts: FastMap::default(),
            greeted: FastMap::default(),
            pledged: None,
            greet_at: now,
            messages: Vec::new(),
            after_sync: Vec::new(),
            install: None,
            truncate: None,
            unsaved: log.last() + 1,
            unsynced: VecDeque::new(),
            batches: 0,
            stored: hard,
            applied: base,
            announced: LeaderChange {
                term: hard.term,
                leader: None,
            },
            log,
            config,
        };
        node.reset_election_timer();
        if node.is_voter() && node.other_voters().is_empty() {
            // Nobody else can lead.
            node.election_at = now;
        }
        node
    }

    /// Returns the identity of this member's data folder.
    pub fn identity(&self) -> u64 {
        self.config.identity
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns whether this member leads the group, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader's name, if it is known.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Returns the last committed entry's index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the last entry's index.
    pub fn last_index(&self) -> u64 {
        self.log.last()
    }

    /// Returns an entry that is still in memory, committed or not.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.get(index)
    }

    /// Returns the latest member set, committed or not.
    pub fn members(&self) -> Members {
        self.log
            .members()
            .map(|(_, m)| m.clone())
            .unwrap_or_default()
    }

    /// Returns when [`Node::tick`] has something to do next.
    pub fn next_tick(&self) -> Instant {
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_at,
            _ if self.is_founder() => self.greet_at.min(self.election_at),
            _ => self.election_at,
        }
    }

    /// Lets time pass: heartbeats, elections and retries.
    pub fn tick(&mut self, now: Instant) {
        self.advance(now);
        match self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if self.is_founder() => self.greet(),
            _ if self.now >= self.election_at => self.start_election(),
            _ => {}
        }
    }

    /// Handles a message from another member.
    pub fn step(&mut self, now: Instant, message: Raft) {
        self.advance(now);
        if !self.accepts(&message) {
            return;
        }
        let (term, from) = (message.term, Name::from(message.from));
        let identity = message.from_identity;
        self.contacts.insert(from.clone(), identity);
        let Some(body) = message.body else { return };
        match body {
            Body::Greeting(_) => self.on_greeting(from, identity),
            Body::GreetingReply(reply) => self.on_greeting_reply(from, identity, reply),
            Body::VoteRequest(request) => self.on_vote_request(term, &from, identity, &request),
            Body::VoteReply(reply) => self.on_vote_reply(term, from, reply),
            body => {
                if term < self.hard.term {
                    self.answer_stale(&from, &body);
                    return;
                }
                if term > self.hard.term {
                    self.become_follower(term);
                }
                match body {
                    Body::AppendRequest(request) => self.on_append(&from, request),
                    Body::AppendReply(reply) => self.on_append_reply(&from, identity, &reply),
                    Body::SnapshotRequest(request) => self.on_snapshot(&from, &request),
                    Body::SnapshotReply(reply) => self.on_snapshot_reply(&from, &reply),
                    Body::TimeoutNow(_) => self.on_timeout_now(&from),
                    _ => {}
                }
            }
        }
    }

    /// Appends a command to the leader's log and returns its index.
    ///
    /// # Errors
    /// Fails when this member is not the leader, hands over its leadership, or has no room.
    pub fn propose(&mut self, now: Instant, command: Bytes) -> Result<u64, ProposeError> {
        self.advance(now);
        self.check_proposal(command.len())?;
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Reports that the batch with this number, and all before it, are on disk.
    pub fn synced(&mut self, now: Instant, batch: u64) {
        self.advance(now);
        let before = self.synced;
        let done = self.unsynced.partition_point(|u| u.number <= batch);
        for done in self.unsynced.drain(..done) {
            self.synced = self.synced.max(done.last);
            self.durable_term = self.durable_term.max(done.term);
        }
        self.count_own_vote();
        if self.is_leader() {
            self.advance_commit();
        } else if self.synced > before && self.leader.is_some() {
            self.reply = self.reply.or(Some(0));
        }
    }

    /// Takes the effects that have gathered since the last call.
    pub fn ready(&mut self) -> Ready {
        self.send_appends();
        self.flush_reply();
        let batch = self.take_batch();
        let committed = self.log.range(self.applied + 1, self.commit);
        self.applied = self.commit;
        Ready {
            batch,
            messages: std::mem::take(&mut self.messages),
            after_sync: std::mem::take(&mut self.after_sync),
            install: self.install.take(),
            committed,
            held: self.take_held(),
            leader: self.take_leader_change(),
        }
    }

    fn take_batch(&mut self) -> Batch {
        let append = self.log.range(self.unsaved, self.log.last());
        self.unsaved = self.log.last() + 1;
        let changed = self.hard != self.stored;
        self.stored = self.hard;
        let batch = Batch {
            number: self.batches + 1,
            snapshot: self.install.clone(),
            hard_state: changed.then_some(self.hard),
            truncate: self.truncate.take(),
            append,
        };
        if batch.is_empty() {
            return Batch {
                number: self.batches,
                ..batch
            };
        }
        self.batches += 1;
        self.unsynced.push_back(Unsynced {
            number: self.batches,
            last: self.log.last(),
            term: self.hard.term,
        });
        batch
    }

    fn take_leader_change(&mut self) -> Option<LeaderChange> {
        let current = LeaderChange {
            term: self.hard.term,
            leader: self.leader.clone(),
        };
        let changed = current.leader != self.announced.leader
            || (current.leader.is_some() && current.term != self.announced.term);
        if !changed {
            return None;
        }
        self.announced = current.clone();
        Some(current)
    }

    pub(crate) fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
    }

    /// Removes entries that conflict with the leader's log.
    ///
    /// Batches on their way to the disk no longer vouch for the removed entries, even when
    /// the same entries come back later.
    pub(crate) fn truncate_log(&mut self, index: u64) {
        assert!(
            index > self.commit,
            "committed entry {index} would be removed"
        );
        self.log.truncate(index);
        self.synced = self.synced.min(index - 1);
        for batch in &mut self.unsynced {
            batch.last = batch.last.min(index - 1);
        }
        if index < self.unsaved {
            self.unsaved = index;
            self.truncate = Some(self.truncate.map_or(index, |t| t.min(index)));
        }
    }

    /// Forgets every batch on its way to the disk, because a snapshot replaces the log.
    pub(crate) fn replace_log(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        for batch in &mut self.unsynced {
            batch.last = 0;
        }
        self.synced = 0;
        self.truncate = None;
        self.unsaved = index + 1;
        self.commit = index;
        self.applied = index;
        self.log.install(snapshot.clone());
        self.install = Some(snapshot);
    }

    pub(crate) fn become_follower(&mut self, term: u64) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: 0 };
            self.matched = 0;
        }
        self.role = Role::Follower;
        self.leader = None;
        self.incoming = None;
        self.reply = None;
        self.reset_election_timer();
    }

    /// Draws the next election timeout.
    pub(crate) fn reset_election_timer(&mut self) {
        self.election_at = self.now + self.delay(self.config.election);
    }

    /// Returns a random duration between one and two times `minimum`.
    pub(crate) fn delay(&mut self, minimum: Duration) -> Duration {
        let extra = self.rng.random_range(0..minimum.as_micros() as u64);
        minimum + Duration::from_micros(extra)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.members().is_some_and(|(_, members)| {
            let own = members.voter(&self.config.name);
            own.is_some_and(|p| p.identity == self.config.identity)
        })
    }

    /// Builds a message of the current term. An answer goes to the identity that asked, and
    /// anything else to the one in the member set.
    pub(crate) fn message(&self, to: &Name, body: Body) -> Raft {
        let contact = self.contacts.get(to).copied();
        let member = self.log.members().and_then(|(_, m)| m.get(to));
        // A learner that has not answered yet is addressed without an identity: the last
        // contact of that name may be the member it replaces.
        let known = match member {
            Some(peer) if !is_answer(&body) => Some(peer.identity),
            _ => contact,
        };
        Raft {
            group: self.config.group,
            term: self.hard.term,
            from: self.config.name.to_string(),
            to: to.to_string(),
            from_identity: self.config.identity,
            to_identity: known.unwrap_or_default(),
            body: Some(body),
        }
    }

    /// Returns the identity of a member in the member set.
    fn recorded(&self, name: &str) -> Option<u64> {
        let peer = self.log.members().and_then(|(_, m)| m.get(name));
        peer.map(|p| p.identity).filter(|id| *id != 0)
    }

    pub(crate) fn send(&mut self, to: &Name, body: Body) {
        let message = self.message(to, body);
        self.messages.push(message);
    }

    /// Returns whether a message is for this member and may be acted on.
    ///
    /// Answers count only from the identity in the member set. Requests are taken from any
    /// identity, because this member's set may be older than the sender's; a member with an
    /// empty disk has no set and therefore makes none.
    fn accepts(&self, message: &Raft) -> bool {
        let addressed = message.group == self.config.group
            && message.to == self.config.name.as_str()
            && message.from != self.config.name.as_str()
            && [0, self.config.identity].contains(&message.to_identity);
        let identity = message.from_identity;
        let counts = !message.body.as_ref().is_some_and(is_answer)
            || self.recorded(&message.from).is_none_or(|id| id == identity);
        let pledged = self.pledged.as_ref().filter(|_| self.is_blank());
        let pledged = pledged.filter(|(name, _)| name.as_str() == message.from);
        let greeting = matches!(message.body, Some(Body::Greeting(_)));
        let heard = greeting || pledged.is_none_or(|(_, id)| *id == identity);
        addressed && identity != 0 && counts && heard
    }
}

fn is_answer(body: &Body) -> bool {
    matches!(
        body,
        Body::VoteReply(_) | Body::AppendReply(_) | Body::SnapshotReply(_) | Body::GreetingReply(_)
    )
}
