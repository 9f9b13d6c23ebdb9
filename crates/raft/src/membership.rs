//! Member set changes and leadership transfer.

use std::time::Instant;

use sassafras_util::Name;
use sassafras_wire::proto::TimeoutNow;
use sassafras_wire::proto::log_entry::Payload;
use sassafras_wire::proto::raft::Body;

use crate::MemberChange;
use crate::Members;
use crate::Node;
use crate::ProposeError;
use crate::leader::Transfer;
use crate::node::Role;

/// Maximum number of entries that a learner may lag behind the leader when it is promoted. With a
/// larger lag, a group that then loses another voter could not commit for long, because the new
/// voter has to catch up first.
const MAX_PROMOTION_LAG: u64 = 1000;

impl Node {
    /// Proposes a change of the member set and returns the index of its entry.
    ///
    /// # Errors
    ///
    /// Returns an error if this member cannot propose, an earlier change is not committed yet,
    /// or the change is not valid for the current member set.
    pub fn propose_members(
        &mut self,
        now: Instant,
        change: MemberChange,
    ) -> Result<u64, ProposeError> {
        self.advance(now);
        self.check_proposal(0)?;
        if self.change_in_progress() {
            return Err(ProposeError::ChangeInProgress);
        }
        let members = self
            .apply_change(change)
            .map_err(ProposeError::InvalidChange)?;
        Ok(self.append_members(&members))
    }

    /// Transfers leadership to the voter with the most complete log. Proposals are rejected
    /// until the transfer ends. If it has not succeeded after one election timeout, this member
    /// resumes as leader, or steps down if it has already told the target to start an election.
    ///
    /// # Errors
    ///
    /// Returns an error if this member cannot propose or is the only voter.
    pub fn transfer_leadership(&mut self, now: Instant) -> Result<(), ProposeError> {
        self.advance(now);
        self.check_proposal(0)?;
        let others = self.other_voters();
        let Role::Leader(leader) = &mut self.role else {
            return Ok(());
        };
        let reached = |name: &Name| {
            leader
                .progress
                .get(name)
                .map(|p| (p.received, p.last_reply))
        };
        let target = others.into_iter().max_by_key(reached);
        let target = target.ok_or(ProposeError::InvalidChange("there is no other voter"))?;
        leader.transfer = Some(Transfer {
            target,
            deadline: self.now + self.config.election_timeout,
            timeout_sent: false,
        });
        self.advance_transfer();
        Ok(())
    }

    /// Returns whether this member leads and the latest member set is committed.
    pub fn has_committed_members(&self) -> bool {
        !self.change_in_progress()
    }

    /// Returns whether a member change may be uncommitted. The leader cannot tell before it has
    /// committed an entry of its own term.
    fn change_in_progress(&self) -> bool {
        let last_change = self.log.latest_members().map_or(0, |(index, _)| *index);
        match &self.role {
            Role::Leader(leader) => last_change > self.commit || self.commit < leader.term_start,
            _ => true,
        }
    }

    fn apply_change(&self, change: MemberChange) -> Result<Members, &'static str> {
        let mut members = self.members();
        match change {
            MemberChange::AddLearner(peer) => {
                if members.get(&peer.name).is_some() {
                    return Err("a member with this name already exists");
                }
                members.learners.push(peer);
            }
            MemberChange::Promote(name) => {
                let position = members.learners.iter().position(|p| p.name == name);
                let peer = members
                    .learners
                    .remove(position.ok_or("there is no learner with this name")?);
                if peer.identity == 0 {
                    return Err("the learner has not replied to the leader yet");
                }
                if !self.has_caught_up(&name) {
                    return Err("the learner has not caught up yet");
                }
                members.voters.push(peer);
            }
            MemberChange::Remove(name) => {
                if members.get(&name).is_none() {
                    return Err("there is no member with this name");
                }
                members.voters.retain(|p| p.name != name);
                members.learners.retain(|p| p.name != name);
                if members.voters.is_empty() {
                    return Err("the only voter cannot be removed");
                }
            }
        }
        Ok(members)
    }

    fn has_caught_up(&self, name: &Name) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let progress = leader.progress.get(name);
        progress
            .is_some_and(|p| p.synced + MAX_PROMOTION_LAG >= self.log.last_index() && p.synced > 0)
    }

    fn append_members(&mut self, members: &Members) -> u64 {
        let index = self.append_entry(Payload::Members(members.into()));
        self.update_progress();
        index
    }

    /// Records the identity of a learner with its first reply. Until then the identity is not
    /// needed, because learners do not count towards the quorum.
    pub(crate) fn record_learner_identity(&mut self, name: &Name, identity: u64) {
        let known = self.log.latest_members().and_then(|(_, m)| m.learner(name));
        let unidentified = known.is_some_and(|p| p.identity == 0);
        if !unidentified || self.change_in_progress() || self.check_proposal(0).is_err() {
            return;
        }
        let mut members = self.members();
        for peer in members.learners.iter_mut().filter(|p| p.name == *name) {
            peer.identity = identity;
        }
        self.append_members(&members);
    }

    /// Steps down if a committed member change has removed this member from the voters.
    pub(crate) fn step_down_if_removed(&mut self) {
        let committed = self
            .log
            .latest_members()
            .is_some_and(|(i, _)| *i <= self.commit);
        if committed && !self.is_voter() {
            self.become_follower(self.hard_state.term);
        }
    }

    /// Tells the transfer target to start an election once it has the whole log, and aborts the
    /// transfer at its deadline.
    pub(crate) fn advance_transfer(&mut self) {
        let (now, last) = (self.now, self.log.last_index());
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let progress = leader.progress.get(&transfer.target);
        if now >= transfer.deadline {
            // The lease ended with the request and does not return in this term, so this member
            // could not serve reads.
            if transfer.timeout_sent {
                self.become_follower(self.hard_state.term);
            } else {
                leader.transfer = None;
            }
        } else if !transfer.timeout_sent && progress.is_some_and(|p| p.received == last) {
            transfer.timeout_sent = true;
            let target = transfer.target.clone();
            self.send(&target, Body::TimeoutNow(TimeoutNow {}));
        }
    }
}
