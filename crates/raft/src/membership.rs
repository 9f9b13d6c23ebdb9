//! Changes of the member set and transfer of leadership.

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

/// A learner may be promoted when it lacks at most this many entries; with more, a group
/// that then loses a member would wait for it to catch up before it could commit.
const PROMOTION_LAG: u64 = 1000;

impl Node {
    /// Proposes a change of the member set and returns its index.
    ///
    /// # Errors
    /// Fails when this member cannot propose, while an earlier change is not committed, and
    /// when the change makes no sense for the present members.
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
        let members = self.changed(change).map_err(ProposeError::InvalidChange)?;
        Ok(self.append_members(&members))
    }

    /// Hands leadership to the voter with the longest log. Proposals are refused from now on.
    /// When the transfer fails, this member is an ordinary leader or follower again after
    /// one election timeout.
    ///
    /// # Errors
    /// Fails when this member is not the leader or is the only voter.
    pub fn transfer_leadership(&mut self, now: Instant) -> Result<(), ProposeError> {
        self.advance(now);
        self.check_proposal(0)?;
        let others = self.other_voters();
        let Role::Leader(leader) = &mut self.role else {
            return Ok(());
        };
        let reached = |name: &Name| leader.progress.get(name).map(|p| (p.received, p.heard));
        let target = others.into_iter().max_by_key(reached);
        let target = target.ok_or(ProposeError::InvalidChange("there is no other voter"))?;
        leader.transfer = Some(Transfer {
            target,
            until: self.now + self.config.election,
            ordered: false,
        });
        self.check_transfer();
        Ok(())
    }

    /// Returns whether a change is not committed yet, or the leader cannot know because it
    /// has committed nothing in its term.
    fn change_in_progress(&self) -> bool {
        let last = self.log.members().map_or(0, |(index, _)| *index);
        match &self.role {
            Role::Leader(leader) => last > self.commit || self.commit < leader.first,
            _ => true,
        }
    }

    fn changed(&self, change: MemberChange) -> Result<Members, &'static str> {
        let mut members = self.members();
        match change {
            MemberChange::AddLearner(peer) => {
                if members.get(&peer.name).is_some() {
                    return Err("a member of that name exists");
                }
                members.learners.push(peer);
            }
            MemberChange::Promote(name) => {
                let at = members.learners.iter().position(|p| p.name == name);
                let peer = members
                    .learners
                    .remove(at.ok_or("there is no learner of that name")?);
                if peer.identity == 0 {
                    return Err("the learner has not answered yet");
                }
                if !self.has_caught_up(&name) {
                    return Err("the learner has not caught up yet");
                }
                members.voters.push(peer);
            }
            MemberChange::Remove(name) => {
                if members.get(&name).is_none() {
                    return Err("there is no member of that name");
                }
                members.voters.retain(|p| p.name != name);
                members.learners.retain(|p| p.name != name);
                if members.voters.is_empty() {
                    return Err("it is the only voter");
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
        progress.is_some_and(|p| p.synced + PROMOTION_LAG >= self.log.last() && p.synced > 0)
    }

    fn append_members(&mut self, members: &Members) -> u64 {
        let index = self.append_own(Payload::Members(members.into()));
        self.track_members();
        index
    }

    /// Records the identity of a learner with its first answer. Learners do not count
    /// towards a majority, so nothing depends on it before.
    pub(crate) fn bind_learner(&mut self, name: &Name, identity: u64) {
        let known = self.log.members().and_then(|(_, m)| m.learner(name));
        let unbound = known.is_some_and(|p| p.identity == 0);
        if !unbound || self.change_in_progress() || self.check_proposal(0).is_err() {
            return;
        }
        let mut members = self.members();
        for peer in members.learners.iter_mut().filter(|p| p.name == *name) {
            peer.identity = identity;
        }
        self.append_members(&members);
    }

    /// Steps down once a committed change has removed this member.
    pub(crate) fn after_member_commit(&mut self) {
        let committed = self.log.members().is_some_and(|(at, _)| *at <= self.commit);
        if committed && !self.is_voter() {
            self.become_follower(self.hard.term);
        }
    }

    /// Orders the target to take over once it has the whole log, and gives up at the end.
    pub(crate) fn check_transfer(&mut self) {
        let (now, last) = (self.now, self.log.last());
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let progress = leader.progress.get(&transfer.target);
        if now >= transfer.until {
            // Without a lease this leader would be of no use for the rest of its term.
            if transfer.ordered {
                self.become_follower(self.hard.term);
            } else {
                leader.transfer = None;
            }
        } else if !transfer.ordered && progress.is_some_and(|p| p.received == last) {
            transfer.ordered = true;
            let target = transfer.target.clone();
            self.send(&target, Body::TimeoutNow(TimeoutNow {}));
        }
    }
}
