//! Requests of entries and agents, and the leader's regular checks.

use std::time::Instant;

use slog::warn;

use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Claim;
use sassafras_wire::proto::ClaimReply;
use sassafras_wire::proto::Extend;
use sassafras_wire::proto::Finish;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::HeartbeatReply;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::NodeEvent;
use sassafras_wire::proto::Outcome;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::claim_reply::Kind;
use sassafras_wire::proto::command;
use sassafras_wire::proto::failure::Code;

use crate::engine::Engine;
use crate::pending::Caller;
use crate::pending::Proposal;
use crate::pending::Then;
use crate::sessions::Beat;
use crate::sessions::LEASE;

impl Engine {
    /// Handles a request. Only a leader under its lease answers, since any other member may
    /// not know the latest changes.
    pub(crate) fn request(&mut self, now: Instant, caller: Caller, body: Body) {
        if let Body::Join(join) = body {
            return self.join(now, caller, &join);
        }
        if !self.node.is_leader() {
            return self.fail(caller, Code::NotLeader, "this member does not lead");
        }
        if !self.serves(now) {
            return self.fail(caller, Code::Unavailable, "this leader holds no lease yet");
        }
        if self.bootstraps() {
            return self.fail(caller, Code::Unavailable, "the first item is being written");
        }
        match body {
            Body::Heartbeat(beat) => self.heartbeat(now, caller, beat),
            Body::Claim(claim) => self.claim(now, caller, claim),
            Body::Extend(extend) => self.extend(now, caller, extend),
            Body::Finish(finish) => self.finish(now, caller, finish),
            Body::ConfigChange(change) => self.config_change(now, caller, change),
            Body::StatusQuery(query) => self.status(now, caller, &query),
            Body::AuditQuery(query) => self.audit_query(caller, &query),
            Body::NodeCommand(order) => self.node_command(now, caller, order),
            Body::MemberChange(change) => self.member_change(now, caller, &change),
            Body::RoutingChange(change) => self.routing_change(now, caller, change),
            Body::RoutingQuery(_) => self.routing_query(caller),
            _ => self.fail(caller, Code::Invalid, "control does not serve this request"),
        }
    }

    fn heartbeat(&mut self, now: Instant, caller: Caller, beat: Heartbeat) {
        let name = beat.node.as_ref().map_or("", |n| n.name.as_str());
        let proved = self.conns.get(&caller.conn);
        if proved.is_none_or(|p| *p.node.name != *name) {
            return self.fail(caller, Code::Invalid, "the link belongs to another node");
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let known = self.state.nodes().get(name);
        match leader.sessions.heartbeat(now, caller.conn, &beat, known) {
            Beat::Refused(reason) => {
                warn!(self.log, "heartbeat refused"; "node" => name, "reason" => reason);
                self.fail(caller, Code::Invalid, reason);
            }
            Beat::Join(member) => {
                let proposal = Proposal {
                    caller: Some(caller),
                    then: Then::Heartbeat(Box::new(beat)),
                    key: None,
                };
                let name = member.node.clone().unwrap_or_default().name;
                let event = command::Body::Node(event(member, "heartbeat"));
                if self.propose(now, event, proposal).is_none() {
                    self.forget_proposed(&name);
                }
            }
            Beat::Joining => self.fail(caller, Code::Unavailable, "the node is being recorded"),
            Beat::Update(member) => {
                let name = member.node.clone().unwrap_or_default().name;
                if !self.propose_own(now, command::Body::Node(event(member, "heartbeat"))) {
                    self.forget_proposed(&name);
                }
                let reply = self.beat_reply(now, &beat);
                self.reply(caller, Body::HeartbeatReply(reply));
            }
            Beat::Current => {
                let reply = self.beat_reply(now, &beat);
                self.reply(caller, Body::HeartbeatReply(reply));
            }
        }
        self.confirm_routing(now);
    }

    /// Builds the answer to a heartbeat of a node that is a member.
    pub(crate) fn beat_reply(&mut self, now: Instant, beat: &Heartbeat) -> HeartbeatReply {
        let Some(leader) = &mut self.leader else {
            return HeartbeatReply::default();
        };
        let entry = beat.role() == Role::Entry;
        let (items, nodes) = (self.state.config(), self.state.nodes());
        let members = nodes.delta(beat.members_version).filter(|_| entry);
        let name = beat.node.as_ref().map_or("", |n| n.name.as_str());
        let known = nodes.get(name).map(|n| n.member.state());
        let routing = self.state.routing().newer(beat.routing_version);
        let voters = self.node.members().voters;
        let shares = if entry {
            leader.grant(now, &self.state, beat)
        } else {
            Vec::new()
        };
        HeartbeatReply {
            control_ms: leader.time.at(now),
            lease_ms: LEASE.as_millis() as u64,
            config: items.delta(beat.config_version),
            members,
            shares,
            config_version: items.version(),
            state: known.unwrap_or_default().into(),
            routing: routing.filter(|_| entry).cloned(),
            control: voters.iter().map(Into::into).collect(),
        }
    }

    fn claim(&mut self, now: Instant, caller: Caller, mut claim: Claim) {
        let key = JobKey::try_from(claim.key.clone()).ok();
        if claim.query {
            return self.query_claim(now, caller, key.as_ref(), &claim);
        }
        if let Some(reply) = self.state.peek_claim(&claim) {
            return self.send_claim(now, caller, reply);
        }
        let owner = key.as_ref().and_then(|k| self.state.owner(k));
        let owner = owner.map(|(owner, _)| owner.clone());
        let changes_owner = owner
            .as_ref()
            .is_some_and(|o| claim.owner.as_ref() != Some(&o.into()));
        if let Some(owner) = owner {
            if changes_owner && self.holds(now, &owner) {
                claim.takeover = 0;
                if let Some(reply) = self.state.peek_claim(&claim) {
                    return self.send_claim(now, caller, reply);
                }
            }
        } else if self.state.claim_count() + self.pending.jobs() >= self.settings.max_claims {
            metrics::counter!("control_refused", "reason" => "max_claims").increment(1);
            let reply = ClaimReply {
                kind: Kind::Refused.into(),
                reason: "control keeps as many claims as it may".to_owned(),
                ..ClaimReply::default()
            };
            return self.send_claim(now, caller, reply);
        }
        let proposal = Proposal {
            caller: Some(caller),
            then: Then::Reply,
            key,
        };
        self.propose(now, command::Body::Claim(claim), proposal);
    }

    /// Answers whether a claim of the job is on record. While a proposal for the job is on its
    /// way the answer could change, and the caller asks again.
    fn query_claim(&self, now: Instant, caller: Caller, key: Option<&JobKey>, claim: &Claim) {
        if key.is_some_and(|k| self.pending.concerns(k)) {
            return self.fail(
                caller,
                Code::Unavailable,
                "a claim of the job is on its way",
            );
        }
        let reply = self.state.peek_claim(claim).unwrap_or(ClaimReply {
            kind: Kind::Unclaimed.into(),
            ..ClaimReply::default()
        });
        self.send_claim(now, caller, reply);
    }

    /// Reports whether an owner keeps its jobs: its lease may be running, and it is not
    /// known to have come back under another incarnation.
    fn holds(&self, now: Instant, owner: &NodeRef) -> bool {
        let known = self.state.nodes().get(&owner.name);
        let replaced = known.is_some_and(|n| n.node.incarnation > owner.incarnation);
        !replaced && self.alive(now, owner)
    }

    fn alive(&self, now: Instant, node: &NodeRef) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|l| l.sessions.alive(now, node))
    }

    /// Adds to the answer to a claim whether the owner is alive, which only the leader knows.
    pub(crate) fn complete(&self, now: Instant, mut reply: ClaimReply) -> ClaimReply {
        let owner = NodeRef::try_from(reply.owner.clone());
        reply.owner_alive = owner.is_ok_and(|owner| self.holds(now, &owner));
        let kind = reply.kind().as_str_name();
        metrics::counter!("control_claims", "result" => kind).increment(1);
        reply
    }

    fn send_claim(&self, now: Instant, caller: Caller, reply: ClaimReply) {
        self.reply(caller, Body::ClaimReply(self.complete(now, reply)));
    }

    fn extend(&mut self, now: Instant, caller: Caller, extend: Extend) {
        let proposal = Proposal {
            caller: Some(caller),
            then: Then::Reply,
            key: JobKey::try_from(extend.key.clone()).ok(),
        };
        self.propose(now, command::Body::Extend(extend), proposal);
    }

    /// Records the end of a job. That a job is complete is answered once a majority holds
    /// it, if no other proposal for the job could still change the answer.
    fn finish(&mut self, now: Instant, caller: Caller, finish: Finish) {
        let Ok(key) = JobKey::try_from(finish.key.clone()) else {
            return self.fail(caller, Code::Invalid, "the key is not valid");
        };
        let certain = !self.pending.concerns(&key);
        let expected = self.state.peek_finish(&finish);
        let ends = expected.accepted && self.state.owner(&key).is_some();
        if certain && !ends {
            return self.reply(caller, Body::FinishReply(expected));
        }
        let early = certain && finish.outcome() == Outcome::Complete;
        let proposal = Proposal {
            caller: Some(caller),
            then: Then::Reply,
            key: Some(key),
        };
        let index = self.propose(now, command::Body::Finish(finish), proposal);
        if let Some(index) = index.filter(|_| early) {
            self.pending.answer_when_held(index, expected);
        }
    }

    /// Looks for silent nodes and old claims.
    pub(crate) fn check(&mut self, now: Instant) {
        metrics::gauge!("control_claims_kept").set(self.state.claim_count() as f64);
        metrics::gauge!("control_claims_running").set(self.state.running_count() as f64);
        metrics::gauge!("control_commit").set(self.node.commit() as f64);
        metrics::gauge!("control_config_version").set(self.state.config().version() as f64);
        let leading = self.serves(now);
        if self.settings.join {
            self.ask_to_join(now);
        }
        metrics::gauge!("control_leading").set(f64::from(u8::from(leading)));
        let Some(leader) = self.leader.as_mut().filter(|_| leading) else {
            return;
        };
        metrics::gauge!("control_sessions").set(leader.sessions.len() as f64);
        leader.serving(now);
        leader.joiners.forget(now);
        leader.sessions.drop_gone(now, self.state.nodes());
        let silent = leader.sessions.silent(now, self.state.nodes());
        let expire = leader.expire_due(now).then(|| proto::Expire {
            before_ms: leader.time.before(now, self.settings.claim_retention),
            compact_ms: leader.time.before(now, self.settings.result_retention),
        });
        for (member, cause) in silent {
            let name = member.node.clone().unwrap_or_default().name;
            if !self.propose_own(now, command::Body::Node(event(member, cause))) {
                self.forget_proposed(&name);
            }
        }
        if let Some(expire) = expire {
            self.propose_own(now, command::Body::Expire(expire));
        }
        self.confirm_routing(now);
        if self.settings.join {
            self.tend_members(now);
        }
    }

    /// Lets a refused proposal about a node be made again.
    fn forget_proposed(&mut self, name: &str) {
        if let Some(leader) = &mut self.leader {
            leader.sessions.settled(name);
        }
    }

    /// Returns the origin of a request for the audit trail: what the caller states, and the
    /// address that it came from.
    pub(crate) fn origin(&self, caller: Caller, stated: &str) -> String {
        let peer = self.conns.get(&caller.conn);
        let name = peer.map_or(Name::from("unknown"), |p| p.node.name.clone());
        let addr = peer.map(|p| p.addr.ip().to_string()).unwrap_or_default();
        let origin = format!("{stated} {name}@{addr}");
        origin.trim().to_owned()
    }
}

fn event(member: Member, cause: &str) -> NodeEvent {
    NodeEvent {
        member: Some(member),
        cause: cause.to_owned(),
        ..NodeEvent::default()
    }
}
