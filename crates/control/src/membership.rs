//! Reconciles the member set with the control hosts that are running.
//!
//! A control host that is not a voter sends join requests periodically. The leader adds it as a
//! learner and promotes it once it has caught up. A member of the same name with another identity,
//! whose disk was lost, or with another address is removed first. Unreachable learners are removed,
//! and so are unreachable voters while enough other voters remain.

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

/// Interval between join requests.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Lifetime of a join request. Hosts repeat it every [`JOIN_INTERVAL`].
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(2);
/// A member that has not answered for this long is removed. A restart takes less.
const REMOVE_AFTER: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct JoinRequest {
    address: String,
    identity: u64,
    received: Instant,
}

/// The join requests of control hosts, by name.
#[derive(Debug, Default)]
pub struct JoinRequests(FastMap<Name, JoinRequest>);

impl JoinRequests {
    /// Records a request, and replaces an earlier one of the same host.
    pub fn record(&mut self, now: Instant, name: Name, address: &str, identity: u64) {
        let request = JoinRequest {
            address: address.to_owned(),
            identity,
            received: now,
        };
        self.0.insert(name, request);
    }

    /// Removes the requests that were not repeated in time.
    pub fn expire(&mut self, now: Instant) {
        self.0
            .retain(|_, r| now.saturating_duration_since(r.received) < JOIN_REQUEST_TTL);
    }

    /// Returns the next change of the member set. `own` is the name of the leader, and `silence`
    /// returns for how long a member has not answered it. Enough voters remain that a majority
    /// survives the loss of `tolerated` of them, but of at least one.
    pub fn next_change(
        &self,
        own: &Name,
        members: &Members,
        tolerated: usize,
        silence: impl Fn(&Name) -> Duration,
    ) -> Option<MemberChange> {
        let join = self.0.iter().find_map(|(name, request)| {
            let Some(known) = members.get(name) else {
                let mut peer = Peer::new(name.clone(), &request.address);
                peer.identity = request.identity;
                return Some(MemberChange::AddLearner(peer));
            };
            let same = known.identity == request.identity && *known.address == *request.address;
            if !same {
                return Some(MemberChange::Remove(name.clone()));
            }
            let learner = members.learner(name).is_some();
            learner.then(|| MemberChange::Promote(name.clone()))
        });
        join.or_else(|| {
            let removable = members.voters.len() > 2 * tolerated.max(1) + 1;
            let voters = members.voters.iter().filter(|_| removable);
            let mut candidates = voters.chain(&members.learners).map(|p| &p.name);
            let unreachable = candidates.find(|n| *n != own && silence(n) >= REMOVE_AFTER);
            unreachable.cloned().map(MemberChange::Remove)
        })
    }
}

impl Engine {
    /// Replies to a join request with the current members. A leader also records the request.
    pub(crate) fn handle_join(&mut self, now: Instant, caller: Caller, join: &proto::Join) {
        let peer = self.conns.get(&caller.conn);
        let name = peer.map(|p| p.node.name.clone());
        let name = name.filter(|n| **n == *join.name);
        if let (Some(name), Some(leader)) = (name, &mut self.leader) {
            leader
                .join_requests
                .record(now, name, &join.address, join.identity);
        }
        let members = self.node.members();
        let voter = members.voter(&join.name);
        let reply = proto::JoinReply {
            voter: voter.is_some_and(|p| p.identity == join.identity),
            members: members.iter().map(Into::into).collect(),
        };
        self.reply(caller, Body::JoinReply(reply));
    }

    /// Sends a join request on all dialled connections, once per [`JOIN_INTERVAL`], unless this
    /// host is a voter that knows the leader. A voter without a leader sends one too, since it may
    /// have been removed while it was down.
    pub(crate) fn request_membership(&mut self, now: Instant) {
        let identity = self.node.identity();
        let members = self.node.members();
        let own = members.voter(&self.settings.common.name);
        let voter = own.is_some_and(|p| p.identity == identity);
        if (voter && self.node.leader().is_some()) || now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_INTERVAL;
        let join = proto::Join {
            name: self.settings.common.name.to_string(),
            address: self.settings.common.advertise.to_string(),
            identity,
        };
        self.peers.broadcast(&Body::Join(join));
    }

    /// Dials the members listed in the reply to a join request.
    pub(crate) fn handle_join_reply(&mut self, reply: proto::JoinReply) {
        debug!(self.log, "join reply received"; "voter" => reply.voter, "members" => reply.members.len());
        let peers = reply.members.into_iter().map(Peer::try_from);
        for peer in peers.filter_map(Result::ok) {
            if let Ok(addr) = peer.address.parse() {
                self.peers.dial(&peer.name, addr);
            }
        }
    }

    /// Proposes the next change of the member set, if one is due.
    pub(crate) fn reconcile_members(&mut self, now: Instant) {
        let Some(leader) = &self.leader else { return };
        let own = &self.settings.common.name;
        let silence = |name: &Name| self.node.time_since_reply(name, now);
        let members = self.node.members();
        let tolerated = self.settings.tolerated;
        let change = leader
            .join_requests
            .next_change(own, &members, tolerated, silence);
        let Some(change) = change else {
            return;
        };
        let detail = format!("{change:?}");
        match self.node.propose_members(now, change) {
            Ok(index) => {
                info!(self.log, "member change proposed"; "change" => detail, "index" => index);
                self.peers.update_members(&self.node.members());
            }
            // The next check proposes the change again.
            Err(e) => debug!(self.log, "member change refused"; "change" => detail,
                "error" => %e),
        }
    }
}
