//! The leader: appends, commit, quorum check and lease.

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
use crate::log::entry_bytes;
use crate::node::Role;
use crate::progress::Mode;
use crate::progress::Progress;

/// A transfer of leadership that is under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) target: Name,
    pub(crate) until: Instant,
    /// The target was told to start an election. The lease is void from then on.
    pub(crate) ordered: bool,
}

/// What only the leader keeps.
#[derive(Debug)]
pub(crate) struct Leader {
    /// The other members, in the order of their names so that runs can be repeated.
    pub(crate) progress: BTreeMap<Name, Progress>,
    pub(crate) heartbeat_at: Instant,
    /// A heartbeat goes to every member with the next messages.
    pub(crate) beat: bool,
    /// Index of the blank entry that starts the term.
    pub(crate) first: u64,
    pub(crate) held: u64,
    announced_held: u64,
    pub(crate) transfer: Option<Transfer>,
    /// Bytes of entries that are not committed.
    pub(crate) pending: usize,
}

impl Leader {
    pub(crate) fn new(now: Instant, last: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            heartbeat_at: now,
            beat: true,
            first: last + 1,
            held: 0,
            announced_held: 0,
            transfer: None,
            pending: 0,
        }
    }
}

impl Node {
    /// Returns until when no other member can become leader, as far as this leader knows.
    ///
    /// `None` when this member must not serve reads: it is not the leader, has not committed
    /// an entry of its term yet, or has ordered another member to take over.
    pub fn lease_until(&self) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let ordered = leader.transfer.as_ref().is_some_and(|t| t.ordered);
        if self.commit < leader.first || ordered {
            return None;
        }
        let sent = self.majority(|own| own.map_or(Some(self.now), |p| p.acked))??;
        Some(sent + self.config.lease)
    }

    /// Returns for how long a member has not answered this leader; zero for members that this
    /// one does not lead.
    pub fn time_since_reply(&self, name: &Name, now: Instant) -> Duration {
        let Role::Leader(leader) = &self.role else {
            return Duration::ZERO;
        };
        let heard = leader.progress.get(name).map_or(now, |p| p.heard);
        now.saturating_duration_since(heard)
    }

    /// Returns the greatest value that a majority of voters has reached. `value` gets `None`
    /// for this member.
    fn majority<T: Ord>(&self, value: impl Fn(Option<&Progress>) -> T) -> Option<T> {
        let (Role::Leader(leader), Some((_, members))) = (&self.role, self.log.members()) else {
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
        } else if leader.pending > self.config.pending_bytes {
            Err(ProposeError::Busy)
        } else {
            Ok(())
        }
    }

    /// Appends an entry of the own term and returns its index.
    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let entry = LogEntry {
            index: self.log.last() + 1,
            term: self.hard.term,
            payload: Some(payload),
        };
        let index = entry.index;
        if let Role::Leader(leader) = &mut self.role {
            leader.pending += entry_bytes(&entry);
        }
        self.log.push(entry);
        index
    }

    pub(crate) fn append_blank(&mut self) {
        self.append_own(Payload::Blank(true));
    }

    /// Creates and drops progress records after a change of the member set.
    pub(crate) fn track_members(&mut self) {
        let next = self.log.last() + 1;
        let (Role::Leader(leader), Some((_, members))) = (&mut self.role, self.log.members())
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
        let since = |heard: Instant| self.now.saturating_duration_since(heard);
        let heard = self.majority(|p| p.map_or(self.now, |p| p.heard));
        if heard.is_none_or(|h| since(h) > self.config.election) {
            self.become_follower(self.hard.term);
            return;
        }
        self.check_transfer();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.now >= leader.heartbeat_at {
            leader.heartbeat_at = self.now + self.config.heartbeat;
            leader.beat = true;
        }
    }

    /// Sends what the members lack, and a heartbeat to each when one is due.
    pub(crate) fn send_appends(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let beat = std::mem::take(&mut leader.beat);
        let names: Vec<Name> = leader.progress.keys().cloned().collect();
        for name in names {
            // The record is taken out while messages are built from the rest of the node.
            let Some(mut progress) = self.take_progress(&name) else {
                continue;
            };
            self.send_to(&name, &mut progress, beat);
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

    fn send_to(&mut self, name: &Name, progress: &mut Progress, beat: bool) {
        if beat && let Mode::Probe { waiting } = &mut progress.mode {
            *waiting = false;
        }
        let mut sent = false;
        let messages = self.config.inflight_messages;
        let bytes = self.config.inflight_bytes;
        while progress.next <= self.log.last() && progress.has_room(messages, bytes) {
            if self.log.term(progress.next - 1).is_none() {
                self.start_snapshot(progress);
                break;
            }
            let entries = self.log.slice(progress.next, self.config.message_bytes);
            let size = entries.iter().map(entry_bytes).sum();
            let last = progress.next + entries.len() as u64 - 1;
            self.send_append(name, progress.next - 1, entries);
            match &mut progress.mode {
                Mode::Probe { waiting } => *waiting = true,
                _ => progress.sent(last, size),
            }
            sent = true;
        }
        self.send_chunk(name, progress);
        if beat && !sent {
            // A member that awaits a snapshot can only match the start of the log.
            let waits = matches!(progress.mode, Mode::Snapshot { .. });
            let prev = if waits { 0 } else { progress.next - 1 };
            self.send_append(name, prev, Vec::new());
        }
    }

    fn send_append(&mut self, name: &Name, prev: u64, entries: Vec<LogEntry>) {
        let request = AppendRequest {
            prev_index: prev,
            prev_term: self.log.term(prev).unwrap_or_default(),
            commit: self.commit,
            entries,
            probe: self.probe(),
        };
        self.send(name, Body::AppendRequest(request));
    }

    /// Returns the probe number of a message sent now.
    pub(crate) fn probe(&self) -> u64 {
        (self.now - self.start).as_micros() as u64 + 1
    }

    /// Returns when the message with this probe number was sent.
    pub(crate) fn probe_time(&self, probe: u64) -> Option<Instant> {
        let valid = probe > 0 && probe <= self.probe();
        valid.then(|| self.start + Duration::from_micros(probe - 1))
    }

    pub(crate) fn on_append_reply(&mut self, from: &Name, identity: u64, reply: &AppendReply) {
        let (sent, last) = (self.probe_time(reply.probe), self.log.last());
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        progress.answered(sent, now);
        if !reply.success {
            progress.rejected(reply.hint);
        } else if reply.received <= last {
            progress.matched(reply.received, reply.synced.min(reply.received));
        }
        self.bind_learner(from, identity);
        self.advance_commit();
        self.check_transfer();
    }

    /// Moves the commit and held marks. Only an entry of the own term can move them, because
    /// an older one may still be replaced by another leader.
    pub(crate) fn advance_commit(&mut self) {
        let last = self.log.last();
        let own_term = |index: &u64| self.log.term(*index) == Some(self.hard.term);
        let held = self.majority(|p| p.map_or(last, |p| p.received));
        let held = held.filter(own_term).unwrap_or_default();
        let synced = self.majority(|p| p.map_or(self.synced, |p| p.synced));
        let synced = synced.filter(own_term).unwrap_or_default();
        if let Role::Leader(leader) = &mut self.role {
            leader.held = leader.held.max(held);
        }
        if synced > self.commit {
            self.release(synced);
            self.commit = synced;
            self.after_member_commit();
        }
    }

    /// Gives back the room of entries that became committed.
    fn release(&mut self, commit: u64) {
        let committed = (self.commit + 1..=commit).filter_map(|i| self.log.get(i));
        let bytes: usize = committed.map(entry_bytes).sum();
        if let Role::Leader(leader) = &mut self.role {
            leader.pending = leader.pending.saturating_sub(bytes);
        }
    }

    pub(crate) fn take_held(&mut self) -> Option<u64> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        if leader.held == leader.announced_held {
            return None;
        }
        leader.announced_held = leader.held;
        Some(leader.held)
    }
}
