//! Elections: pre-votes, votes, and the receiving side of a leadership transfer.

use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::proto::VoteReply;
use sassafras_wire::proto::VoteRequest;
use sassafras_wire::proto::raft::Body;

use crate::HardState;
use crate::Members;
use crate::Node;
use crate::leader::LeaderState;
use crate::node::Role;

/// Maximum number of times that the delay between elections is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

impl Node {
    /// Asks the other voters whether this member could win an election. The pre-vote does not
    /// increment the term, so a member that was partitioned does not depose the leader when it
    /// returns.
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        self.leader = None;
        if !self.may_campaign() {
            return;
        }
        // The other voters may deny the vote because they received a message from the leader
        // slightly later. A repeated pre-vote has no side effects, whereas waiting for a whole
        // timeout would delay the election.
        self.election_at = self.now + self.random_timeout(self.config.heartbeat_interval);
        self.role = Role::PreCandidate(FastSet::from_iter([self.config.name.clone()]));
        self.request_votes(true, false);
        self.count_votes();
    }

    /// Increments the term and requests votes. This member's own vote counts once it is on disk.
    fn campaign(&mut self, transfer: bool) {
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: self.config.identity,
        };
        self.matched = 0;
        self.leader = None;
        self.partial_snapshot = None;
        self.pending_reply = None;
        self.role = Role::Candidate(FastSet::default());
        // A split vote is retried quickly at first, and then with a backoff, since slow disks delay
        // the votes.
        let backoff =
            self.config.heartbeat_interval * 2 * 2_u32.saturating_pow(self.failed_elections);
        self.election_at =
            self.now + self.random_timeout(backoff.min(self.config.election_timeout));
        self.failed_elections = (self.failed_elections + 1).min(MAX_BACKOFF_DOUBLINGS);
        self.request_votes(false, transfer);
    }

    fn request_votes(&mut self, pre: bool, transfer: bool) {
        let request = VoteRequest {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        for name in self.other_voters() {
            let mut message = self.build_message(&name, Body::VoteRequest(request));
            if pre {
                message.term += 1;
                self.messages.push(message);
            } else {
                self.after_sync.push(message);
            }
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<Name> {
        let Some((_, members)) = self.log.latest_members() else {
            return Vec::new();
        };
        let names = members.voters.iter().map(|p| p.name.clone());
        names.filter(|n| *n != self.config.name).collect()
    }

    /// Counts this member's own vote if it is on disk.
    pub(crate) fn count_own_vote(&mut self) {
        let durable = self.durable_term == self.hard_state.term;
        let own = self.config.name.clone();
        if let Role::Candidate(votes) = &mut self.role
            && durable
        {
            votes.insert(own);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let (Role::PreCandidate(votes) | Role::Candidate(votes)) = &self.role else {
            return;
        };
        let won = self.log.latest_members().is_some_and(|(_, members)| {
            let granted = members.voters.iter().filter(|p| votes.contains(&p.name));
            granted.count() >= members.quorum()
        });
        match self.role {
            Role::PreCandidate(_) if won => self.campaign(false),
            Role::Candidate(_) if won => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.config.name.clone());
        self.failed_elections = 0;
        self.role = Role::Leader(LeaderState::new(self.now, self.log.last_index()));
        self.update_progress();
        self.append_no_op();
    }

    pub(crate) fn on_vote_request(
        &mut self,
        term: u64,
        from: &Name,
        identity: u64,
        request: &VoteRequest,
    ) {
        if request.pre {
            let granted = term > self.hard_state.term
                && self.candidate_is_up_to_date(request)
                && !self.has_recent_leader();
            let mut reply =
                self.build_message(from, Body::VoteReply(VoteReply { pre: true, granted }));
            if granted {
                reply.term = term;
            }
            self.messages.push(reply);
            return;
        }
        if term >= self.hard_state.term && self.has_recent_leader() && !request.transfer {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        let available = self.hard_state.vote == identity
            || (self.hard_state.vote == 0 && self.leader.is_none());
        let granted =
            term == self.hard_state.term && available && self.candidate_is_up_to_date(request);
        let body = Body::VoteReply(VoteReply {
            pre: false,
            granted,
        });
        if granted {
            self.hard_state.vote = identity;
            self.reset_election_timer();
            let reply = self.build_message(from, body);
            self.after_sync.push(reply);
        } else {
            self.send(from, body);
        }
    }

    pub(crate) fn on_vote_reply(&mut self, term: u64, from: Name, reply: VoteReply) {
        let expected = self.hard_state.term + u64::from(reply.pre);
        match &mut self.role {
            Role::PreCandidate(votes) if reply.pre && reply.granted && term == expected => {
                votes.insert(from);
                self.count_votes();
            }
            Role::Candidate(votes) if !reply.pre && reply.granted && term == expected => {
                votes.insert(from);
                self.count_votes();
            }
            _ if !reply.granted && term > self.hard_state.term => self.become_follower(term),
            _ => {}
        }
    }

    /// Starts an election immediately, because the leader is transferring leadership to this
    /// member.
    pub(crate) fn on_timeout_now(&mut self, from: &Name) {
        if self.leader.as_ref() == Some(from) && self.is_voter() {
            self.campaign(true);
        }
    }

    /// Returns whether this member is a voter, or still is one until its removal is committed.
    /// It may be the only member with a log that can win the election and commit the removal.
    fn may_campaign(&self) -> bool {
        let own = |m: &Members| {
            let own = m.voter(&self.config.name);
            own.is_some_and(|p| p.identity == self.config.identity)
        };
        self.is_voter() || self.log.members_at(self.commit).is_some_and(own)
    }

    /// Returns whether the candidate's log is at least as up to date as this member's.
    fn candidate_is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own
    }

    /// Returns whether a leader may still hold a lease that relies on this member.
    fn has_recent_leader(&self) -> bool {
        let recent = |contact| self.now < contact + self.config.election_timeout;
        self.is_leader() || self.leader_contact.is_some_and(recent)
    }
}
