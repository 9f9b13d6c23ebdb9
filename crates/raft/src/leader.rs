//! Leader: append requests, commit index, quorum check and lease.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;
use sassafras_wire::proto::AppendReply;
use sassafras_wire::proto::AppendRequest;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::log_entry::Payload;
use sassafras_wire::proto::raft::Body;

use crate::Node;
use crate::ProposeError;
use crate::log::entry_size;
use crate::node::Role;
use crate::progress::Mode;
use crate::progress::Progress;

/// A leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) target: Name,
    pub(crate) deadline: Instant,
    /// Whether the target was told to start an election. The lease is not valid from then on.
    pub(crate) timeout_sent: bool,
}

/// State that only the leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Progress of the other members, ordered by name so that runs are reproducible.
    pub(crate) progress: BTreeMap<Name, Progress>,
    pub(crate) next_heartbeat: Instant,
    /// Whether the next call of [`Node::send_appends`] sends a heartbeat to every member.
    pub(crate) heartbeat_due: bool,
    /// Index of the no-op entry with which the term starts.
    pub(crate) term_start: u64,
    /// Index of the last entry that a majority holds in memory.
    pub(crate) held: u64,
    /// Value of `held` that was last returned by [`Node::ready`].
    reported_held: u64,
    pub(crate) transfer: Option<Transfer>,
    /// Size of the entries proposed in this term that are not committed.
    pub(crate) pending_bytes: usize,
}

impl LeaderState {
    pub(crate) fn new(now: Instant, last: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            next_heartbeat: now,
            heartbeat_due: true,
            term_start: last + 1,
            held: 0,
            reported_held: 0,
            transfer: None,
            pending_bytes: 0,
        }
    }
}

impl Node {
    /// Returns when the leader lease ends, as far as this leader knows. No other member can become
    /// leader before.
    ///
    /// Returns `None` if this member must not serve reads because it is not the leader, has not
    /// committed an entry of its term yet, or has told another member to start an election.
    pub fn lease_until(&self) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let handed_over = leader.transfer.as_ref().is_some_and(|t| t.timeout_sent);
        if self.commit < leader.term_start || handed_over {
            return None;
        }
        let sent = self.quorum_value(|own| own.map_or(Some(self.now), |p| p.last_acked))??;
        Some(sent + self.config.lease_duration)
    }

    /// Returns the time since the last reply of a member to this leader. Returns zero if this
    /// member is not the leader or does not replicate to the given one.
    pub fn time_since_reply(&self, name: &Name, now: Instant) -> Duration {
        let Role::Leader(leader) = &self.role else {
            return Duration::ZERO;
        };
        let last_reply = leader.progress.get(name).map_or(now, |p| p.last_reply);
        now.saturating_duration_since(last_reply)
    }

    /// Returns the greatest value that a majority of voters has reached. `value` is called with
    /// the progress of each voter, and with `None` for this member.
    fn quorum_value<T: Ord>(&self, value: impl Fn(Option<&Progress>) -> T) -> Option<T> {
        let (Role::Leader(leader), Some((_, members))) = (&self.role, self.log.latest_members())
        else {
            return None;
        };
        let reached = members.voters.iter().filter_map(|peer| {
            let own = peer.name == self.config.name;
            let progress = leader.progress.get(&peer.name);
            (own || progress.is_some()).then(|| value(progress))
        });
        let mut reached: Vec<T> = reached.collect();
        reached.sort_unstable_by(|a, b| b.cmp(a));
        reached.into_iter().nth(members.quorum() - 1)
    }

    pub(crate) fn check_proposal(&self, bytes: usize) -> Result<(), ProposeError> {
        let Role::Leader(leader) = &self.role else {
            return Err(ProposeError::NotLeader(self.leader.clone()));
        };
        if leader.transfer.is_some() {
            Err(ProposeError::Transferring)
        } else if bytes > self.config.command_bytes {
            Err(ProposeError::TooLarge(bytes))
        } else if leader.pending_bytes > self.config.pending_bytes {
            Err(ProposeError::Busy)
        } else {
            Ok(())
        }
    }

    /// Appends an entry of the current term and returns its index.
    pub(crate) fn append_entry(&mut self, payload: Payload) -> u64 {
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload: Some(payload),
        };
        let index = entry.index;
        if let Role::Leader(leader) = &mut self.role {
            leader.pending_bytes += entry_size(&entry);
        }
        self.log.push(entry);
        index
    }

    pub(crate) fn append_no_op(&mut self) {
        self.append_entry(Payload::Blank(true));
    }

    /// Adds and removes progress records after a change of the member set.
    pub(crate) fn update_progress(&mut self) {
        let next = self.log.last_index() + 1;
        let (Role::Leader(leader), Some((_, members))) =
            (&mut self.role, self.log.latest_members())
        else {
            return;
        };
        let known = |name: &Name| members.get(name).is_some();
        leader.progress.retain(|name, _| known(name));
        for peer in members.iter().filter(|p| p.name != self.config.name) {
            let progress = leader.progress.entry(peer.name.clone());
            progress.or_insert_with(|| Progress::new(next, self.now));
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        let since = |time: Instant| self.now.saturating_duration_since(time);
        let quorum_reply = self.quorum_value(|p| p.map_or(self.now, |p| p.last_reply));
        if quorum_reply.is_none_or(|time| since(time) > self.config.election_timeout) {
            self.become_follower(self.hard_state.term);
            return;
        }
        self.advance_transfer();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.now >= leader.next_heartbeat {
            leader.next_heartbeat = self.now + self.config.heartbeat_interval;
            leader.heartbeat_due = true;
        }
    }

    /// Sends missing entries to all members, and heartbeats if they are due.
    pub(crate) fn send_appends(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let heartbeat = std::mem::take(&mut leader.heartbeat_due);
        let names: Vec<Name> = leader.progress.keys().cloned().collect();
        for name in names {
            // The record is removed temporarily, because building messages borrows the node.
            let Some(mut progress) = self.take_progress(&name) else {
                continue;
            };
            self.replicate_to(&name, &mut progress, heartbeat);
            if let Role::Leader(leader) = &mut self.role {
                leader.progress.insert(name, progress);
            }
        }
    }

    fn take_progress(&mut self, name: &Name) -> Option<Progress> {
        match &mut self.role {
            Role::Leader(leader) => leader.progress.remove(name),
            _ => None,
        }
    }

    fn replicate_to(&mut self, name: &Name, progress: &mut Progress, heartbeat: bool) {
        if heartbeat && let Mode::Probe { waiting } = &mut progress.mode {
            *waiting = false;
        }
        let mut sent = false;
        let messages = self.config.inflight_messages;
        let bytes = self.config.inflight_bytes;
        while progress.next <= self.log.last_index() && progress.can_send(messages, bytes) {
            if self.log.term(progress.next - 1).is_none() {
                self.start_snapshot(progress);
                break;
            }
            let entries = self
                .log
                .entries_from(progress.next, self.config.message_bytes);
            let size = entries.iter().map(entry_size).sum();
            let last = progress.next + entries.len() as u64 - 1;
            self.send_append(name, progress.next - 1, entries);
            match &mut progress.mode {
                Mode::Probe { waiting } => *waiting = true,
                _ => progress.record_sent(last, size),
            }
            sent = true;
        }
        self.send_chunk(name, progress);
        if heartbeat && !sent {
            // The previous entry is unknown to a member that needs a snapshot. Index 0 always
            // matches.
            let needs_snapshot = matches!(progress.mode, Mode::Snapshot { .. });
            let prev = if needs_snapshot { 0 } else { progress.next - 1 };
            self.send_append(name, prev, Vec::new());
        }
    }

    fn send_append(&mut self, name: &Name, prev: u64, entries: Vec<LogEntry>) {
        let request = AppendRequest {
            prev_index: prev,
            prev_term: self.log.term(prev).unwrap_or_default(),
            commit: self.commit,
            entries,
            probe: self.probe_number(),
        };
        self.send(name, Body::AppendRequest(request));
    }

    /// Returns the probe number for a message sent now. The reply returns it, which gives the
    /// send time of the message.
    pub(crate) fn probe_number(&self) -> u64 {
        (self.now - self.start).as_micros() as u64 + 1
    }

    /// Returns when the message with the given probe number was sent, or `None` if the number is
    /// not valid.
    pub(crate) fn probe_time(&self, probe: u64) -> Option<Instant> {
        let valid = probe > 0 && probe <= self.probe_number();
        valid.then(|| self.start + Duration::from_micros(probe - 1))
    }

    pub(crate) fn on_append_reply(&mut self, from: &Name, identity: u64, reply: &AppendReply) {
        let (sent, last) = (self.probe_time(reply.probe), self.log.last_index());
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        progress.record_reply(sent, now);
        if !reply.success {
            progress.record_rejection(reply.hint);
        } else if reply.received <= last {
            progress.record_match(reply.received, reply.synced.min(reply.received));
        }
        self.record_learner_identity(from, identity);
        self.advance_commit();
        self.advance_transfer();
    }

    /// Advances the commit and held indexes. They advance only to an entry of the current term,
    /// because another leader may still replace entries of earlier terms.
    pub(crate) fn advance_commit(&mut self) {
        let last = self.log.last_index();
        let own_term = |index: &u64| self.log.term(*index) == Some(self.hard_state.term);
        let held = self.quorum_value(|p| p.map_or(last, |p| p.received));
        let held = held.filter(own_term).unwrap_or_default();
        let synced = self.quorum_value(|p| p.map_or(self.synced, |p| p.synced));
        let synced = synced.filter(own_term).unwrap_or_default();
        if let Role::Leader(leader) = &mut self.role {
            leader.held = leader.held.max(held);
        }
        if synced > self.commit {
            self.release_pending(synced);
            self.commit = synced;
            self.step_down_if_removed();
        }
    }

    /// Subtracts newly committed entries from the size of the uncommitted ones.
    fn release_pending(&mut self, commit: u64) {
        let committed = (self.commit + 1..=commit).filter_map(|i| self.log.entry(i));
        let bytes: usize = committed.map(entry_size).sum();
        if let Role::Leader(leader) = &mut self.role {
            leader.pending_bytes = leader.pending_bytes.saturating_sub(bytes);
        }
    }

    pub(crate) fn take_held(&mut self) -> Option<u64> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        if leader.held == leader.reported_held {
            return None;
        }
        leader.reported_held = leader.held;
        Some(leader.held)
    }
}
