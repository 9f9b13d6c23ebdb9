//! Append requests and replies at the follower.

use sassafras_util::Name;
use sassafras_wire::proto::AppendReply;
use sassafras_wire::proto::AppendRequest;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::log_entry::Payload;
use sassafras_wire::proto::raft::Body;

use crate::Members;
use crate::Node;
use crate::node::Role;

impl Node {
    /// Records `from` as the leader of the current term. Returns `false` if this member is the
    /// leader itself.
    pub(crate) fn follow_leader(&mut self, from: &Name) -> bool {
        if self.is_leader() {
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.leader_contact = Some(self.now);
        self.failed_elections = 0;
        self.reset_election_timer();
        true
    }

    pub(crate) fn on_append(&mut self, from: &Name, request: AppendRequest) {
        if !is_well_formed(&request) || !self.follow_leader(from) {
            return;
        }
        let prev = request.prev_index;
        if prev > self.commit && self.log.term(prev) != Some(request.prev_term) {
            let hint = self.conflict_hint(prev);
            let reply = AppendReply {
                success: false,
                hint,
                probe: request.probe,
                ..AppendReply::default()
            };
            self.send(from, Body::AppendReply(reply));
            return;
        }
        let last = prev + request.entries.len() as u64;
        for entry in request.entries {
            self.accept_entry(entry);
        }
        self.matched = self.matched.max(last);
        self.commit = self.commit.max(request.commit.min(self.matched));
        self.pending_reply = self.pending_reply.max(Some(request.probe));
    }

    fn accept_entry(&mut self, entry: LogEntry) {
        let known = self.log.term(entry.index);
        if entry.index <= self.commit || known == Some(entry.term) {
            return;
        }
        if known.is_some() {
            self.truncate_log(entry.index);
        }
        self.log.push(entry);
    }

    /// Returns the index from which the leader should send entries next: the first uncommitted
    /// index of the conflicting term, or the index after the last entry if the log is too short.
    fn conflict_hint(&self, prev: u64) -> u64 {
        let Some(term) = self.log.term(prev) else {
            return self.log.last_index() + 1;
        };
        let mut hint = prev;
        while hint > self.commit + 1 && self.log.term(hint - 1) == Some(term) {
            hint -= 1;
        }
        hint
    }

    /// Sends one reply for all requests accepted since the last reply.
    pub(crate) fn flush_reply(&mut self) {
        let Some(probe) = self.pending_reply.take() else {
            return;
        };
        let Some(leader) = self.leader.clone().filter(|_| !self.is_leader()) else {
            return;
        };
        let reply = AppendReply {
            success: true,
            received: self.matched,
            synced: self.synced.min(self.matched),
            hint: 0,
            probe,
        };
        self.send(&leader, Body::AppendReply(reply));
    }

    /// Replies to a leader of an earlier term with the current term, so that it steps down.
    pub(crate) fn reply_stale(&mut self, from: &Name, body: &Body) {
        if matches!(body, Body::AppendRequest(_) | Body::SnapshotRequest(_)) {
            self.send(from, Body::AppendReply(AppendReply::default()));
        }
    }
}

/// Returns whether the entries are contiguous and their member sets are valid.
fn is_well_formed(request: &AppendRequest) -> bool {
    let mut index = request.prev_index;
    request.entries.iter().all(|entry| {
        index += 1;
        let valid = match &entry.payload {
            Some(Payload::Members(set)) => Members::try_from(set.clone()).is_ok(),
            _ => true,
        };
        entry.index == index && valid
    })
}
