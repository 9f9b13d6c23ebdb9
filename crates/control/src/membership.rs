//! Reconciles the member set with the control hosts that are running.
//!
//! A control host that is not a voter sends join requests periodically. The leader adds it as a
//! learner and promotes it once it has caught up. A member of the same name with another identity,
//! whose disk was lost, or with another address is removed first. Unreachable learners are removed,
//! and so are unreachable voters while enough other voters remain. A voter that stops asks to be
//! removed before it ends.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use slog::debug;
use slog::info;

use sassafras_raft::MemberChange;
use sassafras_raft::Members;
use sassafras_raft::Peer;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto;

use crate::engine::Engine;
use crate::pending::Caller;

/// Interval between requests to join or to leave.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Lifetime of a join request. Hosts repeat it every [`JOIN_INTERVAL`].
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(2);
/// A learner that has not answered for this long is removed. A restart takes less.
const REMOVE_AFTER: Duration = Duration::from_secs(5);
/// A voter beyond those needed that has not answered for this long is removed. The next host may be
/// lost some seconds later. One that is back asks to join again.
const EXCESS_SILENCE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct JoinRequest {
    address: String,
    identity: u64,
    leaving: bool,
    received: Instant,
}

impl JoinRequest {
    /// Returns whether a member sent the request, and not its successor of the same name.
    fn is_from(&self, member: &Peer) -> bool {
        member.identity == self.identity && *member.address == *self.address
    }
}

/// The join requests of control hosts, by name.
#[derive(Debug, Default)]
pub struct JoinRequests(FastMap<Name, JoinRequest>);

impl JoinRequests {
    /// Records a request, and replaces an earlier one of the same host.
    pub fn record(&mut self, now: Instant, name: Name, join: &proto::Join) {
        let request = JoinRequest {
            address: join.address.clone(),
            identity: join.identity,
            leaving: join.leaving,
            received: now,
        };
        self.0.insert(name, request);
    }

    /// Removes the requests that were not repeated in time.
    pub fn expire(&mut self, now: Instant) {
        self.0
            .retain(|_, r| now.saturating_duration_since(r.received) < JOIN_REQUEST_TTL);
    }

    /// Returns the changes of the member set that are due, the most urgent first. `own` is the name of
    /// the leader, and `silence` returns for how long a member has not answered it.
    ///
    /// A voter beyond those needed makes the majority larger, so that the group survives fewer losses
    /// once it is gone. It is therefore removed before anything else, as soon as it leaves or falls
    /// silent.
    pub fn changes(
        &self,
        own: &Name,
        members: &Members,
        tolerated: usize,
        silence: impl Fn(&Name) -> Duration,
    ) -> Vec<MemberChange> {
        let excess = members.voters.len() > needed_voters(tolerated);
        let others = members.voters.iter().map(|p| &p.name);
        let others = others.filter(|n| excess && *n != own);
        let leaving = others.clone().filter(|n| self.is_leaving(members, n));
        let silent = others.filter(|n| silence(n) >= EXCESS_SILENCE);
        let longest = silent.min_by_key(|n| Reverse(silence(n)));
        let joins = self.0.iter().filter_map(|(name, request)| {
            let Some(known) = members.get(name) else {
                let mut peer = Peer::new(name.clone(), &request.address);
                peer.identity = request.identity;
                return (!request.leaving).then_some(MemberChange::AddLearner(peer));
            };
            if !request.is_from(known) {
                return Some(MemberChange::Remove(name.clone()));
            }
            let learner = members.learner(name).is_some() && !request.leaving;
            learner.then(|| MemberChange::Promote(name.clone()))
        });
        let learners = members.learners.iter().map(|p| &p.name);
        let unreachable = learners.filter(|n| silence(n) >= REMOVE_AFTER);
        let remove = |n: &Name| MemberChange::Remove(n.clone());
        let changes = leaving.chain(longest).map(remove).chain(joins);
        changes.chain(unreachable.map(remove)).collect()
    }

    /// Returns whether a member has asked to be removed.
    fn is_leaving(&self, members: &Members, name: &Name) -> bool {
        let request = self.0.get(name).filter(|r| r.leaving);
        request.is_some_and(|r| members.get(name).is_some_and(|known| r.is_from(known)))
    }
}

/// Returns the number of voters of which a majority survives the loss of `tolerated`, but of at least
/// one.
fn needed_voters(tolerated: usize) -> usize {
    2 * tolerated.max(1) + 1
}

impl Engine {
    /// Replies to a request to join or to leave with the current members. A leader also records the
    /// request.
    pub(crate) fn handle_join(&mut self, now: Instant, caller: Caller, join: &proto::Join) {
        let peer = self.conns.get(&caller.conn);
        let name = peer.map(|p| p.node.name.clone());
        let name = name.filter(|n| **n == *join.name);
        if let (Some(name), Some(leader)) = (name, &mut self.leader) {
            leader.join_requests.record(now, name, join);
        }
        let members = self.node.members();
        let voter = members.voter(&join.name);
        let voter = voter.is_some_and(|p| p.identity == join.identity);
        let reply = proto::JoinReply {
            voter,
            removed: !voter && self.node.has_committed_members(),
            members: members.iter().map(Into::into).collect(),
        };
        self.reply(caller, Body::JoinReply(reply));
    }

    /// Sends a request to join or to leave on all dialled connections, once per [`JOIN_INTERVAL`], if
    /// one is due. A voter without a leader asks to join too, since it may have been removed while it
    /// was down.
    pub(crate) fn request_membership(&mut self, now: Instant) {
        let due = if self.leaving {
            self.waits_for_removal()
        } else {
            !self.is_voter() || self.node.leader().is_none()
        };
        if !due || now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_INTERVAL;
        let join = proto::Join {
            name: self.settings.common.name.to_string(),
            address: self.settings.common.advertise.to_string(),
            identity: self.node.identity(),
            leaving: self.leaving,
        };
        self.peers.broadcast(&Body::Join(join));
    }

    /// Returns whether this host votes, as far as it knows.
    fn is_voter(&self) -> bool {
        let members = self.node.members();
        let own = members.voter(&self.settings.common.name);
        own.is_some_and(|p| p.identity == self.node.identity())
    }

    /// Returns whether this host is a voter that the group can do without, now or once a learner has
    /// caught up, and that the group has not removed yet.
    pub(crate) fn waits_for_removal(&self) -> bool {
        let members = self.node.members().iter().count();
        let replaceable = members > needed_voters(self.settings.tolerated);
        self.settings.join && replaceable && !self.removed && self.is_voter()
    }

    /// Dials the members listed in the reply to a request to join or to leave.
    pub(crate) fn handle_join_reply(&mut self, reply: proto::JoinReply) {
        self.removed |= self.leaving && reply.removed;
        debug!(self.log, "join reply received"; "voter" => reply.voter, "members" => reply.members.len());
        let peers = reply.members.into_iter().map(Peer::try_from);
        for peer in peers.filter_map(Result::ok) {
            if let Ok(addr) = peer.address.parse() {
                self.peers.dial(&peer.name, addr);
            }
        }
    }

    /// Proposes the first change of the member set that is due and possible.
    pub(crate) fn reconcile_members(&mut self, now: Instant) {
        let Some(leader) = &self.leader else { return };
        let own = &self.settings.common.name;
        let silence = |name: &Name| self.node.time_since_reply(name, now);
        let members = self.node.members();
        let tolerated = self.settings.tolerated;
        let changes = leader
            .join_requests
            .changes(own, &members, tolerated, silence);
        for change in changes {
            let detail = format!("{change:?}");
            match self.node.propose_members(now, change) {
                Ok(index) => {
                    info!(self.log, "member change proposed"; "change" => detail, "index" => index);
                    self.peers.update_members(&self.node.members());
                    return;
                }
                // The next check proposes the change again. A learner that does not catch up must not
                // hold up the others.
                Err(e) => debug!(self.log, "member change refused"; "change" => detail,
                    "error" => %e),
            }
        }
    }
}
