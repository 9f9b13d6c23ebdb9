//! The state of a member and its inputs and effects.

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
use crate::leader::LeaderState;
use crate::log::Log;
use crate::snapshot::PartialSnapshot;

/// Error returned when a proposal is rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ProposeError {
    /// this member is not the leader
    NotLeader(Option<Name>),
    /// leadership is being transferred
    Transferring,
    /// too many entries are not committed yet
    Busy,
    /// the command of {0} bytes exceeds the size limit
    TooLarge(usize),
    /// an earlier change of the member set is not committed yet
    ChangeInProgress,
    /// invalid member change: {0}
    InvalidChange(&'static str),
}

impl std::error::Error for ProposeError {}

/// Role of a member in the current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Asks whether it could win an election, without incrementing its term. Holds the names of
    /// the members that granted the pre-vote.
    PreCandidate(FastSet<Name>),
    /// Holds the names of the members that granted their vote.
    Candidate(FastSet<Name>),
    Leader(LeaderState),
}

/// A batch that has not been reported as synced.
#[derive(Debug)]
struct UnsyncedBatch {
    number: u64,
    /// Index of the last entry of the batch that has not been removed from the log since.
    last: u64,
    term: u64,
}

/// A member of a Raft group. See the [crate documentation](crate).
#[derive(Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) rng: SmallRng,
    /// Latest time that the caller passed in.
    pub(crate) now: Instant,
    /// When the node was created. Probe numbers are the microseconds since this time plus 1,
    /// because 0 stands for no probe.
    pub(crate) start: Instant,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<Name>,
    /// Time of the last message from a leader. No votes are granted for one election timeout after
    /// it, except during a leadership transfer.
    pub(crate) leader_contact: Option<Instant>,
    /// When the next election starts, unless a message from a leader arrives before.
    pub(crate) election_at: Instant,
    /// Number of elections since the last message from a leader, up to `MAX_BACKOFF_DOUBLINGS`.
    pub(crate) failed_elections: u32,
    /// Index of the last committed entry.
    pub(crate) commit: u64,
    /// Index of the last entry that is on disk.
    pub(crate) synced: u64,
    /// Latest term that is on disk.
    pub(crate) durable_term: u64,
    /// Index of the last entry known to match the log of the leader of this term.
    pub(crate) matched: u64,
    /// Probe number to return in the append reply that is due.
    pub(crate) pending_reply: Option<u64>,
    pub(crate) partial_snapshot: Option<PartialSnapshot>,
    /// Identity in the last message from each member. Replies are addressed to it, because the
    /// member set may not be known yet.
    last_identities: FastMap<Name, u64>,
    /// Identities of the initial members that replied to a greeting as uninitialized.
    pub(crate) initial_identities: FastMap<Name, u64>,
    /// Name and identity of the last member that sent a greeting while this one was
    /// uninitialized.
    pub(crate) bootstrap_member: Option<(Name, u64)>,
    pub(crate) next_greeting: Instant,
    pub(crate) messages: Vec<Raft>,
    pub(crate) after_sync: Vec<Raft>,
    pub(crate) install: Option<Snapshot>,
    pub(crate) truncate: Option<u64>,
    /// Index of the first entry that has not been part of a batch.
    pub(crate) first_unsaved: u64,
    unsynced: VecDeque<UnsyncedBatch>,
    /// Number of the latest batch.
    last_batch: u64,
    /// Term and vote as of the latest batch.
    written_state: HardState,
    /// Index of the last entry returned by [`Node::ready`] for application.
    applied: u64,
    /// Change of leader that was last returned by [`Node::ready`].
    reported_leader: LeaderChange,
}

impl Node {
    /// Creates a member from its persistent state.
    pub fn new(config: Config, state: PersistentState, rng_seed: u64, now: Instant) -> Self {
        let hard_state = state.hard_state;
        let log = Log::new(state);
        let base = log.first_index() - 1;
        let mut node = Self {
            rng: SmallRng::seed_from_u64(rng_seed),
            now,
            start: now,
            hard_state,
            role: Role::Follower,
            leader: None,
            // The member may have acknowledged a lease just before it was restarted.
            leader_contact: (hard_state.term > 0).then_some(now),
            election_at: now,
            failed_elections: 0,
            commit: base,
            synced: log.last_index(),
            durable_term: hard_state.term,
            matched: 0,
            pending_reply: None,
            partial_snapshot: None,
            last_identities: FastMap::default(),
            initial_identities: FastMap::default(),
            bootstrap_member: None,
            next_greeting: now,
            messages: Vec::new(),
            after_sync: Vec::new(),
            install: None,
            truncate: None,
            first_unsaved: log.last_index() + 1,
            unsynced: VecDeque::new(),
            last_batch: 0,
            written_state: hard_state,
            applied: base,
            reported_leader: LeaderChange {
                term: hard_state.term,
                leader: None,
            },
            log,
            config,
        };
        node.reset_election_timer();
        if node.is_voter() && node.other_voters().is_empty() {
            // No other member can become leader.
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
        self.hard_state.term
    }

    /// Returns whether this member considers itself the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the name of the leader, if it is known.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Returns the index of the last committed entry.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns an entry, committed or not, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.entry(index)
    }

    /// Returns the latest member set, committed or not.
    pub fn members(&self) -> Members {
        self.log
            .latest_members()
            .map(|(_, m)| m.clone())
            .unwrap_or_default()
    }

    /// Returns when [`Node::tick`] should be called next.
    pub fn next_tick(&self) -> Instant {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ if self.should_bootstrap() => self.next_greeting.min(self.election_at),
            _ => self.election_at,
        }
    }

    /// Advances the time and runs the timers for heartbeats, elections and retries.
    pub fn tick(&mut self, now: Instant) {
        self.advance(now);
        match self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if self.should_bootstrap() => self.send_greetings(),
            _ if self.now >= self.election_at => self.start_pre_vote(),
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
        self.last_identities.insert(from.clone(), identity);
        let Some(body) = message.body else { return };
        match body {
            Body::Greeting(_) => self.on_greeting(from, identity),
            Body::GreetingReply(reply) => self.on_greeting_reply(from, identity, reply),
            Body::VoteRequest(request) => self.on_vote_request(term, &from, identity, &request),
            Body::VoteReply(reply) => self.on_vote_reply(term, from, reply),
            body => {
                if term < self.hard_state.term {
                    self.reply_stale(&from, &body);
                    return;
                }
                if term > self.hard_state.term {
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

    /// Appends a command to the leader's log and returns the index of its entry.
    ///
    /// # Errors
    ///
    /// Returns an error if this member is not the leader, is transferring its leadership, has too
    /// many uncommitted entries, or if the command is too large.
    pub fn propose(&mut self, now: Instant, command: Bytes) -> Result<u64, ProposeError> {
        self.advance(now);
        self.check_proposal(command.len())?;
        Ok(self.append_entry(Payload::Command(command)))
    }

    /// Reports that the batch with the given number and all earlier ones are on disk.
    pub fn synced(&mut self, now: Instant, batch: u64) {
        self.advance(now);
        let before = self.synced;
        let count = self.unsynced.partition_point(|u| u.number <= batch);
        for batch in self.unsynced.drain(..count) {
            self.synced = self.synced.max(batch.last);
            self.durable_term = self.durable_term.max(batch.term);
        }
        self.count_own_vote();
        if self.is_leader() {
            self.advance_commit();
        } else if self.synced > before && self.leader.is_some() {
            self.pending_reply = self.pending_reply.or(Some(0));
        }
    }

    /// Returns the effects accumulated since the last call.
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
        let append = self.log.range(self.first_unsaved, self.log.last_index());
        self.first_unsaved = self.log.last_index() + 1;
        let changed = self.hard_state != self.written_state;
        self.written_state = self.hard_state;
        let batch = Batch {
            number: self.last_batch + 1,
            snapshot: self.install.clone(),
            hard_state: changed.then_some(self.hard_state),
            truncate: self.truncate.take(),
            append,
        };
        if batch.is_empty() {
            return Batch {
                number: self.last_batch,
                ..batch
            };
        }
        self.last_batch += 1;
        self.unsynced.push_back(UnsyncedBatch {
            number: self.last_batch,
            last: self.log.last_index(),
            term: self.hard_state.term,
        });
        batch
    }

    fn take_leader_change(&mut self) -> Option<LeaderChange> {
        let current = LeaderChange {
            term: self.hard_state.term,
            leader: self.leader.clone(),
        };
        let changed = current.leader != self.reported_leader.leader
            || (current.leader.is_some() && current.term != self.reported_leader.term);
        if !changed {
            return None;
        }
        self.reported_leader = current.clone();
        Some(current)
    }

    pub(crate) fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
    }

    /// Removes the entries from `index` on, which conflict with the leader's log.
    ///
    /// The sync of a batch that is still being written no longer counts for the removed entries,
    /// even if the same entries are appended again later.
    pub(crate) fn truncate_log(&mut self, index: u64) {
        assert!(
            index > self.commit,
            "attempt to truncate the log at committed entry {index}"
        );
        self.log.truncate(index);
        self.synced = self.synced.min(index - 1);
        for batch in &mut self.unsynced {
            batch.last = batch.last.min(index - 1);
        }
        if index < self.first_unsaved {
            self.first_unsaved = index;
            self.truncate = Some(self.truncate.map_or(index, |t| t.min(index)));
        }
    }

    /// Replaces the log with a snapshot. Syncs of batches that are still being written no longer
    /// count.
    pub(crate) fn replace_log(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        for batch in &mut self.unsynced {
            batch.last = 0;
        }
        self.synced = 0;
        self.truncate = None;
        self.first_unsaved = index + 1;
        self.commit = index;
        self.applied = index;
        self.log.install(snapshot.clone());
        self.install = Some(snapshot);
    }

    pub(crate) fn become_follower(&mut self, term: u64) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: 0 };
            self.matched = 0;
        }
        self.role = Role::Follower;
        self.leader = None;
        self.partial_snapshot = None;
        self.pending_reply = None;
        self.reset_election_timer();
    }

    /// Restarts the election timer with a new random timeout.
    pub(crate) fn reset_election_timer(&mut self) {
        self.election_at = self.now + self.random_timeout(self.config.election_timeout);
    }

    /// Returns a random duration between `minimum` and twice that.
    pub(crate) fn random_timeout(&mut self, minimum: Duration) -> Duration {
        let extra = self.rng.random_range(0..minimum.as_micros() as u64);
        minimum + Duration::from_micros(extra)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.latest_members().is_some_and(|(_, members)| {
            let own = members.voter(&self.config.name);
            own.is_some_and(|p| p.identity == self.config.identity)
        })
    }

    /// Builds a message of the current term. Replies are addressed to the identity that sent the
    /// request, other messages to the identity in the member set.
    pub(crate) fn build_message(&self, to: &Name, body: Body) -> Raft {
        let last_identity = self.last_identities.get(to).copied();
        let member = self.log.latest_members().and_then(|(_, m)| m.get(to));
        // A learner that has not replied yet is addressed without an identity, because the last
        // message under its name may have come from the member that it replaces.
        let identity = match member {
            Some(peer) if !is_reply(&body) => Some(peer.identity),
            _ => last_identity,
        };
        Raft {
            group: self.config.group,
            term: self.hard_state.term,
            from: self.config.name.to_string(),
            to: to.to_string(),
            from_identity: self.config.identity,
            to_identity: identity.unwrap_or_default(),
            body: Some(body),
        }
    }

    /// Returns the identity of a member according to the member set, if it is known.
    fn member_identity(&self, name: &str) -> Option<u64> {
        let peer = self.log.latest_members().and_then(|(_, m)| m.get(name));
        peer.map(|p| p.identity).filter(|id| *id != 0)
    }

    pub(crate) fn send(&mut self, to: &Name, body: Body) {
        let message = self.build_message(to, body);
        self.messages.push(message);
    }

    /// Returns whether a message is addressed to this member and may be handled.
    ///
    /// Replies are accepted only from the identity in the member set, if that is known. Requests
    /// are accepted from any identity, because the sender may know a newer member set. A member
    /// with an empty disk has no member set and therefore sends no requests except greetings.
    fn accepts(&self, message: &Raft) -> bool {
        let addressed = message.group == self.config.group
            && message.to == self.config.name.as_str()
            && message.from != self.config.name.as_str()
            && [0, self.config.identity].contains(&message.to_identity);
        let identity = message.from_identity;
        let trusted = !message.body.as_ref().is_some_and(is_reply)
            || self
                .member_identity(&message.from)
                .is_none_or(|id| id == identity);
        let bootstrap_member = self
            .bootstrap_member
            .as_ref()
            .filter(|_| self.is_uninitialized());
        let bootstrap_member = bootstrap_member.filter(|(name, _)| name.as_str() == message.from);
        let greeting = matches!(message.body, Some(Body::Greeting(_)));
        let expected = greeting || bootstrap_member.is_none_or(|(_, id)| *id == identity);
        addressed && identity != 0 && trusted && expected
    }
}

fn is_reply(body: &Body) -> bool {
    matches!(
        body,
        Body::VoteReply(_) | Body::AppendReply(_) | Body::SnapshotReply(_) | Body::GreetingReply(_)
    )
}
