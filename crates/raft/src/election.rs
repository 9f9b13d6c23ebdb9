//! Elections: pre-vote, votes and leadership transfer at the receiving side.

use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::proto::VoteReply;
use sassafras_wire::proto::VoteRequest;
use sassafras_wire::proto::raft::Body;

use crate::HardState;
use crate::Members;
use crate::Node;
use crate::leader::Leader;
use crate::node::Role;

/// Most times that the pause between elections doubles.
const MAX_DOUBLINGS: u32 = 4;

impl Node {
    /// Asks the other voters whether an election could be won. The term is not raised, so a
    /// member that was cut off does not disturb the group when it comes back.
    pub(crate) fn start_election(&mut self) {
        self.reset_election_timer();
        self.leader = None;
        if !self.may_lead() {
            return;
        }
        // The others may have heard from the leader a little later. Asking again soon does
        // not disturb anyone, and waiting a whole timeout would delay the next leader.
        self.election_at = self.now + self.delay(self.config.heartbeat);
        self.role = Role::PreCandidate(FastSet::from_iter([self.config.name.clone()]));
        self.request_votes(true, false);
        self.count_votes();
    }

    /// Raises the term and asks for votes. The own vote counts once it is on disk.
    fn campaign(&mut self, transfer: bool) {
        self.hard = HardState {
            term: self.hard.term + 1,
            vote: self.config.identity,
        };
        self.matched = 0;
        self.leader = None;
        self.incoming = None;
        self.reply = None;
        self.role = Role::Candidate(FastSet::default());
        // A split vote is retried soon at first, and later at the pace of slow disks.
        let pause = self.config.heartbeat * 2 * 2_u32.saturating_pow(self.elections);
        self.election_at = self.now + self.delay(pause.min(self.config.election));
        self.elections = (self.elections + 1).min(MAX_DOUBLINGS);
        self.request_votes(false, transfer);
    }

    fn request_votes(&mut self, pre: bool, transfer: bool) {
        let request = VoteRequest {
            pre,
            last_index: self.log.last(),
            last_term: self.log.last_term(),
            transfer,
        };
        for name in self.other_voters() {
            let mut message = self.message(&name, Body::VoteRequest(request));
            if pre {
                message.term += 1;
                self.messages.push(message);
            } else {
                self.after_sync.push(message);
            }
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<Name> {
        let Some((_, members)) = self.log.members() else {
            return Vec::new();
        };
        let names = members.voters.iter().map(|p| p.name.clone());
        names.filter(|n| *n != self.config.name).collect()
    }

    /// Counts the own vote when it is on disk.
    pub(crate) fn count_own_vote(&mut self) {
        let durable = self.durable_term == self.hard.term;
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
        let won = self.log.members().is_some_and(|(_, members)| {
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
        self.elections = 0;
        self.role = Role::Leader(Leader::new(self.now, self.log.last()));
        self.track_members();
        self.append_blank();
    }

    pub(crate) fn on_vote_request(
        &mut self,
        term: u64,
        from: &Name,
        identity: u64,
        request: &VoteRequest,
    ) {
        if request.pre {
            let granted = term > self.hard.term && self.is_behind(request) && !self.hears_leader();
            let mut reply = self.message(from, Body::VoteReply(VoteReply { pre: true, granted }));
            if granted {
                reply.term = term;
            }
            self.messages.push(reply);
            return;
        }
        if term >= self.hard.term && self.hears_leader() && !request.transfer {
            return;
        }
        if term > self.hard.term {
            self.become_follower(term);
        }
        let free = self.hard.vote == identity || (self.hard.vote == 0 && self.leader.is_none());
        let granted = term == self.hard.term && free && self.is_behind(request);
        let body = Body::VoteReply(VoteReply {
            pre: false,
            granted,
        });
        if granted {
            self.hard.vote = identity;
            self.reset_election_timer();
            let reply = self.message(from, body);
            self.after_sync.push(reply);
        } else {
            self.send(from, body);
        }
    }

    pub(crate) fn on_vote_reply(&mut self, term: u64, from: Name, reply: VoteReply) {
        let expected = self.hard.term + u64::from(reply.pre);
        match &mut self.role {
            Role::PreCandidate(votes) if reply.pre && reply.granted && term == expected => {
                votes.insert(from);
                self.count_votes();
            }
            Role::Candidate(votes) if !reply.pre && reply.granted && term == expected => {
                votes.insert(from);
                self.count_votes();
            }
            _ if !reply.granted && term > self.hard.term => self.become_follower(term),
            _ => {}
        }
    }

    /// Starts an election at once, because the leader hands over to this member.
    pub(crate) fn on_timeout_now(&mut self, from: &Name) {
        if self.leader.as_ref() == Some(from) && self.is_voter() {
            self.campaign(true);
        }
    }

    /// Returns whether this member is a voter, or will be one until its removal is committed.
    /// It may be the only one whose log is long enough to win and commit the removal.
    fn may_lead(&self) -> bool {
        let own = |m: &Members| {
            let own = m.voter(&self.config.name);
            own.is_some_and(|p| p.identity == self.config.identity)
        };
        self.is_voter() || self.log.members_at(self.commit).is_some_and(own)
    }

    /// Returns whether this log is not ahead of the candidate's.
    fn is_behind(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last());
        (request.last_term, request.last_index) >= own
    }

    /// Returns whether a leader may still count on this member for its lease.
    fn hears_leader(&self) -> bool {
        let recent = |heard| self.now < heard + self.config.election;
        self.is_leader() || self.heard.is_some_and(recent)
    }
}
