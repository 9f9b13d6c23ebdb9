//! Requests from entries and agents, and the leader's periodic checks.

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
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Outcome;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::RoutingTable;
use sassafras_wire::proto::claim_reply::Kind;
use sassafras_wire::proto::command;
use sassafras_wire::proto::failure::Code;

use crate::engine::Engine;
use crate::pending::Caller;
use crate::pending::OnCommit;
use crate::pending::Proposal;
use crate::sessions::HeartbeatOutcome;
use crate::sessions::LEASE_DURATION;

impl Engine {
    /// Handles a request. Any member answers join requests. All others are answered only by a
    /// leader that holds its lease, since any other member may lack the latest changes.
    pub(crate) fn handle_request(&mut self, now: Instant, caller: Caller, body: Body) {
        if let Body::Join(join) = body {
            return self.handle_join(now, caller, &join);
        }
        if !self.node.is_leader() {
            return self.fail(caller, Code::NotLeader, "this member is not the leader");
        }
        if !self.can_serve(now) {
            return self.fail(
                caller,
                Code::Unavailable,
                "the leader does not hold its lease",
            );
        }
        if self.is_bootstrapping() {
            return self.fail(
                caller,
                Code::Unavailable,
                "the initial operators item is not committed yet",
            );
        }
        match body {
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(now, caller, heartbeat),
            Body::Claim(claim) => self.handle_claim(now, caller, claim),
            Body::Extend(extend) => self.handle_extend(now, caller, extend),
            Body::Finish(finish) => self.handle_finish(now, caller, finish),
            Body::ConfigChange(change) => self.handle_config_change(now, caller, change),
            Body::StatusQuery(query) => self.handle_status(now, caller, &query),
            Body::AuditQuery(query) => self.handle_audit_query(caller, &query),
            Body::NodeCommand(order) => self.handle_node_command(now, caller, order),
            Body::MemberChange(change) => self.handle_member_change(now, caller, &change),
            Body::RoutingChange(change) => self.handle_routing_change(now, caller, change),
            Body::RoutingQuery(_) => self.handle_routing_query(caller),
            Body::EvacuationChange(change) => self.handle_evacuation_change(now, caller, change),
            Body::EvacuationQuery(_) => self.handle_evacuation_query(caller),
            _ => self.fail(
                caller,
                Code::Invalid,
                "the control group does not serve this request",
            ),
        }
    }

    fn handle_heartbeat(&mut self, now: Instant, caller: Caller, heartbeat: Heartbeat) {
        let name = heartbeat.node.as_ref().map_or("", |n| n.name.as_str());
        let peer = self.conns.get(&caller.conn);
        if peer.is_none_or(|p| *p.node.name != *name) {
            return self.fail(
                caller,
                Code::Invalid,
                "the heartbeat names another node than the connection",
            );
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let known = self.state.nodes().get(name);
        match leader
            .sessions
            .record_heartbeat(now, caller.conn, &heartbeat, known)
        {
            HeartbeatOutcome::Refused(reason) => {
                warn!(self.log, "heartbeat refused"; "node" => name, "reason" => reason);
                self.fail(caller, Code::Invalid, reason);
            }
            HeartbeatOutcome::Join(member) => {
                let proposal = Proposal {
                    caller: Some(caller),
                    on_commit: OnCommit::Heartbeat(Box::new(heartbeat)),
                    key: None,
                };
                let name = member.node.clone().unwrap_or_default().name;
                let command = command::Body::Node(node_event(member, "heartbeat"));
                if self.propose(now, command, proposal).is_none() {
                    self.clear_proposed(&name);
                }
            }
            HeartbeatOutcome::JoinPending => self.fail(
                caller,
                Code::Unavailable,
                "the join of the node is not committed yet",
            ),
            HeartbeatOutcome::Update(member) => {
                let name = member.node.clone().unwrap_or_default().name;
                if !self.propose_internal(now, command::Body::Node(node_event(member, "heartbeat")))
                {
                    self.clear_proposed(&name);
                }
                let reply = self.heartbeat_reply(now, &heartbeat);
                self.reply(caller, Body::HeartbeatReply(reply));
            }
            HeartbeatOutcome::Unchanged => {
                let reply = self.heartbeat_reply(now, &heartbeat);
                self.reply(caller, Body::HeartbeatReply(reply));
            }
        }
        self.confirm_routing(now);
    }

    /// Builds the reply to a heartbeat of a registered node.
    pub(crate) fn heartbeat_reply(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> HeartbeatReply {
        let Some(leader) = &mut self.leader else {
            return HeartbeatReply::default();
        };
        let entry = heartbeat.role() == Role::Entry;
        let (items, nodes) = (self.state.config(), self.state.nodes());
        let members = nodes.delta(heartbeat.members_version).filter(|_| entry);
        let name = heartbeat.node.as_ref().map_or("", |n| n.name.as_str());
        let evacuations = self.state.evacuations();
        let known = nodes.get(name).map(|n| n.member.state());
        let evacuated = !entry && evacuations.zones().any(|z| *z == *heartbeat.zone);
        // An agent in an evacuated zone keeps its lease and starts nothing.
        let known = known.map(|s| if evacuated { NodeState::Paused } else { s });
        let routing = self.state.routing().newer(heartbeat.routing_version);
        let routing = routing.map(|table| {
            if entry {
                table.clone()
            } else {
                pools_of(table)
            }
        });
        let evacuations = evacuations.newer(heartbeat.evacuations_version);
        let voters = self.node.members().voters;
        let shares = if entry {
            leader.grant_shares(now, &self.state, heartbeat)
        } else {
            Vec::new()
        };
        HeartbeatReply {
            control_ms: leader.time.at(now),
            lease_ms: LEASE_DURATION.as_millis() as u64,
            config: items.delta(heartbeat.config_version),
            members,
            shares,
            config_version: items.version(),
            state: known.unwrap_or_default().into(),
            routing,
            control: voters.iter().map(Into::into).collect(),
            evacuations,
        }
    }

    fn handle_claim(&mut self, now: Instant, caller: Caller, mut claim: Claim) {
        let key = JobKey::try_from(claim.key.clone()).ok();
        if claim.query {
            return self.query_claim(now, caller, key.as_ref(), &claim);
        }
        if let Some(reply) = self.state.peek_claim(&claim) {
            return self.reply_claim(now, caller, reply);
        }
        let owner = key.as_ref().and_then(|k| self.state.owner(k));
        let owner = owner.map(|(owner, _)| owner.clone());
        let changes_owner = owner
            .as_ref()
            .is_some_and(|o| claim.owner.as_ref() != Some(&o.into()));
        if let Some(owner) = owner {
            if changes_owner && self.owner_alive(now, &owner) {
                claim.takeover = 0;
                if let Some(reply) = self.state.peek_claim(&claim) {
                    return self.reply_claim(now, caller, reply);
                }
            }
        } else if self.state.claim_count() + self.pending.job_count() >= self.settings.max_claims {
            metrics::counter!("control_refused", "reason" => "max_claims").increment(1);
            let reply = ClaimReply {
                kind: Kind::Refused.into(),
                reason: "the control group has reached its limit of claims".to_owned(),
                ..ClaimReply::default()
            };
            return self.reply_claim(now, caller, reply);
        }
        let proposal = Proposal {
            caller: Some(caller),
            on_commit: OnCommit::Reply,
            key,
        };
        self.propose(now, command::Body::Claim(claim), proposal);
    }

    /// Replies whether the job is claimed. While a proposal for the job is pending the answer may
    /// change, so the caller has to retry.
    fn query_claim(&self, now: Instant, caller: Caller, key: Option<&JobKey>, claim: &Claim) {
        if key.is_some_and(|k| self.pending.has_job(k)) {
            return self.fail(
                caller,
                Code::Unavailable,
                "a proposal for the job is pending",
            );
        }
        let reply = self.state.peek_claim(claim).unwrap_or(ClaimReply {
            kind: Kind::Unclaimed.into(),
            ..ClaimReply::default()
        });
        self.reply_claim(now, caller, reply);
    }

    /// Returns whether an owner keeps its jobs: its lease may still be valid, and no later
    /// incarnation of it is known.
    fn owner_alive(&self, now: Instant, owner: &NodeRef) -> bool {
        let known = self.state.nodes().get(&owner.name);
        let replaced = known.is_some_and(|n| n.node.incarnation > owner.incarnation);
        !replaced && self.holds_lease(now, owner)
    }

    fn holds_lease(&self, now: Instant, node: &NodeRef) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|l| l.sessions.holds_lease(now, node))
    }

    /// Sets `owner_alive` in the reply to a claim. Only the leader knows it.
    pub(crate) fn with_owner_alive(&self, now: Instant, mut reply: ClaimReply) -> ClaimReply {
        let owner = NodeRef::try_from(reply.owner.clone());
        reply.owner_alive = owner.is_ok_and(|owner| self.owner_alive(now, &owner));
        let kind = reply.kind().as_str_name();
        metrics::counter!("control_claims", "result" => kind).increment(1);
        reply
    }

    fn reply_claim(&self, now: Instant, caller: Caller, reply: ClaimReply) {
        self.reply(caller, Body::ClaimReply(self.with_owner_alive(now, reply)));
    }

    fn handle_extend(&mut self, now: Instant, caller: Caller, extend: Extend) {
        let proposal = Proposal {
            caller: Some(caller),
            on_commit: OnCommit::Reply,
            key: JobKey::try_from(extend.key.clone()).ok(),
        };
        self.propose(now, command::Body::Extend(extend), proposal);
    }

    /// Records the outcome of a job. Completion is confirmed as soon as a majority has received
    /// the entry, before its commit, unless a pending proposal for the job may change the reply.
    fn handle_finish(&mut self, now: Instant, caller: Caller, finish: Finish) {
        let Ok(key) = JobKey::try_from(finish.key.clone()) else {
            return self.fail(caller, Code::Invalid, "the job key is not valid");
        };
        let no_pending = !self.pending.has_job(&key);
        let expected = self.state.peek_finish(&finish);
        let records_outcome = expected.accepted && self.state.owner(&key).is_some();
        if no_pending && !records_outcome {
            return self.reply(caller, Body::FinishReply(expected));
        }
        let reply_early = no_pending && finish.outcome() == Outcome::Complete;
        let proposal = Proposal {
            caller: Some(caller),
            on_commit: OnCommit::Reply,
            key: Some(key),
        };
        let index = self.propose(now, command::Body::Finish(finish), proposal);
        if let Some(index) = index.filter(|_| reply_early) {
            self.pending.reply_when_replicated(index, expected);
        }
    }

    /// Updates the metrics and requests membership if needed. On the leader, also proposes state
    /// changes of silent nodes, the expiry of claims and changes of the member set.
    pub(crate) fn run_checks(&mut self, now: Instant) {
        metrics::gauge!("control_claims_kept").set(self.state.claim_count() as f64);
        metrics::gauge!("control_claims_running").set(self.state.running_count() as f64);
        metrics::gauge!("control_commit").set(self.node.commit() as f64);
        metrics::gauge!("control_config_version").set(self.state.config().version() as f64);
        let serving = self.can_serve(now);
        if self.settings.join {
            self.request_membership(now);
        }
        metrics::gauge!("control_leading").set(f64::from(u8::from(serving)));
        let Some(leader) = self.leader.as_mut().filter(|_| serving) else {
            return;
        };
        metrics::gauge!("control_sessions").set(leader.sessions.len() as f64);
        leader.record_serving(now);
        leader.join_requests.expire(now);
        leader.sessions.remove_gone(now, self.state.nodes());
        let silent = leader.sessions.take_silent(now, self.state.nodes());
        let expire = leader.take_expire_due(now).then(|| proto::Expire {
            before_ms: leader.time.before(now, self.settings.claim_retention),
            compact_ms: leader.time.before(now, self.settings.result_retention),
        });
        for (member, cause) in silent {
            let name = member.node.clone().unwrap_or_default().name;
            if !self.propose_internal(now, command::Body::Node(node_event(member, cause))) {
                self.clear_proposed(&name);
            }
        }
        if let Some(expire) = expire {
            self.propose_internal(now, command::Body::Expire(expire));
        }
        self.confirm_routing(now);
        if self.settings.join {
            self.reconcile_members(now);
        }
    }

    /// Clears the pending proposal of a node after it was refused, so that it is made again.
    fn clear_proposed(&mut self, name: &str) {
        if let Some(leader) = &mut self.leader {
            leader.sessions.clear_proposed(name);
        }
    }

    /// Returns the origin of a request for the audit trail: the caller's own statement, and the
    /// name and address of its connection.
    pub(crate) fn origin(&self, caller: Caller, stated: &str) -> String {
        let peer = self.conns.get(&caller.conn);
        let name = peer.map_or(Name::from("unknown"), |p| p.node.name.clone());
        let addr = peer.map(|p| p.addr.ip().to_string()).unwrap_or_default();
        let origin = format!("{stated} {name}@{addr}");
        origin.trim().to_owned()
    }
}

fn node_event(member: Member, cause: &str) -> NodeEvent {
    NodeEvent {
        member: Some(member),
        cause: cause.to_owned(),
        ..NodeEvent::default()
    }
}

/// Returns the part of a routing table that agents need: its version and pools.
fn pools_of(table: &RoutingTable) -> RoutingTable {
    RoutingTable {
        version: table.version,
        pools: table.pools.clone(),
        ..RoutingTable::default()
    }
}
