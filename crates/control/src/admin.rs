//! Requests from operators: configuration, nodes, members, status and audit.

use std::time::Instant;

use slog::info;
use slog::warn;

use sassafras_config::Operators;
use sassafras_raft::MemberChange;
use sassafras_raft::Peer;
use sassafras_runtime::parse_addr;
use sassafras_state::Reply;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto;
use sassafras_wire::proto::AuditQuery;
use sassafras_wire::proto::AuditReply;
use sassafras_wire::proto::ConfigChange;
use sassafras_wire::proto::ConfigItem;
use sassafras_wire::proto::ConfigReply;
use sassafras_wire::proto::NodeCommand;
use sassafras_wire::proto::NodeEvent;
use sassafras_wire::proto::NodeStatus;
use sassafras_wire::proto::StatusQuery;
use sassafras_wire::proto::StatusReply;
use sassafras_wire::proto::command;
use sassafras_wire::proto::config_reply::Kind;
use sassafras_wire::proto::failure::Code;
use sassafras_wire::proto::member_change;

use crate::engine::Engine;
use crate::pending::Caller;
use crate::pending::OnCommit;
use crate::pending::Proposal;
use crate::validate;

/// Maximum number of audit records in one reply.
const MAX_AUDIT_RECORDS: usize = 1_000;

impl Engine {
    pub(crate) fn handle_config_change(
        &mut self,
        now: Instant,
        caller: Caller,
        change: ConfigChange,
    ) {
        let Some(operator) = self.authenticate(caller, &change.operator, &change.credential) else {
            return self.refuse_config(
                caller,
                Kind::Denied,
                "the token does not belong to an operator",
            );
        };
        if let Some(Reply::Config(cached)) = self.state.cached_reply(&operator, &change.request_id)
        {
            return self.reply(caller, Body::ConfigReply(cached.clone()));
        }
        let change = ConfigChange {
            operator: operator.to_string(),
            origin: self.origin(caller, &change.origin),
            credential: String::new(),
            ..change
        };
        match validate::canonicalize(self.state.config(), change) {
            Ok(change) => {
                let proposal = reply_proposal(caller);
                self.propose(now, command::Body::Config(change), proposal);
            }
            Err(e) => self.refuse_config(caller, Kind::Invalid, &e.to_string()),
        }
    }

    fn refuse_config(&self, caller: Caller, kind: Kind, detail: &str) {
        metrics::counter!("control_config_changes", "result" => kind.as_str_name()).increment(1);
        warn!(self.log, "configuration change refused"; "result" => kind.as_str_name(),
            "detail" => detail, "origin" => self.origin(caller, ""));
        let reply = ConfigReply {
            kind: kind.into(),
            version: self.state.config().version(),
            detail: detail.to_owned(),
            in_force: Vec::new(),
        };
        self.reply(caller, Body::ConfigReply(reply));
    }

    /// Proposes the initial `operators` item, without which no operator could be authenticated.
    pub(crate) fn propose_bootstrap(&mut self, now: Instant) {
        let Some(text) = self.settings.operators.clone() else {
            return;
        };
        if !self.is_bootstrapping() {
            return;
        }
        let change = ConfigChange {
            request_id: "bootstrap".to_owned(),
            operator: "bootstrap".to_owned(),
            origin: self.settings.common.name.to_string(),
            upserts: vec![ConfigItem {
                name: Operators::ITEM.to_owned(),
                text,
                version: 0,
            }],
            ..ConfigChange::default()
        };
        self.propose_internal(now, command::Body::Config(change));
    }

    /// Returns whether the initial `operators` item is not committed yet. Operators would be denied
    /// until then, so no request is served.
    pub(crate) fn is_bootstrapping(&self) -> bool {
        self.settings.operators.is_some() && self.state.config().version() == 0
    }

    pub(crate) fn handle_node_command(
        &mut self,
        now: Instant,
        caller: Caller,
        command: NodeCommand,
    ) {
        let Some(operator) = self.authenticate(caller, &command.operator, &command.credential)
        else {
            return self.deny(caller);
        };
        if let Some(Reply::Node(cached)) = self.state.cached_reply(&operator, &command.request_id) {
            return self.reply(caller, Body::NodeCommandReply(cached.clone()));
        }
        if command.request_id.is_empty() {
            return self.fail(caller, Code::Invalid, "the request id is empty");
        }
        let incarnation = self.state.nodes().get(&command.node);
        let member = proto::Member {
            node: Some(proto::NodeRef {
                incarnation: incarnation.map_or(0, |n| n.node.incarnation),
                name: command.node,
            }),
            state: command.state,
            ..proto::Member::default()
        };
        let event = NodeEvent {
            member: Some(member),
            actor: operator.to_string(),
            origin: self.origin(caller, ""),
            request_id: command.request_id,
            cause: "operator's order".to_owned(),
        };
        self.propose(now, command::Body::Node(event), reply_proposal(caller));
    }

    pub(crate) fn handle_member_change(
        &mut self,
        now: Instant,
        caller: Caller,
        change: &proto::MemberChange,
    ) {
        let Some(operator) = self.authenticate(caller, &change.operator, &change.credential) else {
            return self.deny(caller);
        };
        let Some((member_change, verb)) = parse_member_change(change) else {
            return self.fail(
                caller,
                Code::Invalid,
                "the kind, name or address of the member is not valid",
            );
        };
        let detail = format!("{verb} {} by {operator}", change.member);
        match self.node.propose_members(now, member_change) {
            Ok(index) => {
                info!(self.log, "member change proposed"; "change" => &detail, "index" => index);
                let proposal = Proposal {
                    on_commit: OnCommit::Member(detail),
                    ..reply_proposal(caller)
                };
                self.pending.insert(index, proposal);
                self.peers.update_members(&self.node.members());
            }
            Err(e) => {
                warn!(self.log, "member change refused"; "change" => detail, "error" => %e);
                self.fail_proposal(caller, &e);
            }
        }
    }

    pub(crate) fn handle_status(&self, now: Instant, caller: Caller, query: &StatusQuery) {
        if self.authenticate(caller, "", &query.credential).is_none() {
            return self.deny(caller);
        }
        let Some(leader) = &self.leader else { return };
        let node_status = |node: &sassafras_state::Node| {
            // A node without a heartbeat to this leader has no report yet, and the report of a
            // later incarnation does not apply to the recorded one.
            let session = leader.sessions.get(&node.node.name);
            let session = session.filter(|s| s.node == node.node && s.reported_version.is_some());
            let age = session.map(|s| now.saturating_duration_since(s.last_heartbeat));
            NodeStatus {
                member: Some(node.member.clone()),
                config_version: session.and_then(|s| s.reported_version).unwrap_or(0),
                age_ms: age.map_or(u64::MAX, |a| a.as_millis() as u64),
                load: session.and_then(|s| s.load),
                suspended: session.is_some_and(|s| s.suspended),
            }
        };
        let nodes = self.state.nodes().iter().filter(|_| query.nodes);
        let items = self.state.config().iter().filter(|_| query.config);
        let members = self.node.members();
        let names = |peers: &[Peer]| peers.iter().map(|p| p.name.to_string()).collect();
        let reply = StatusReply {
            term: self.node.term(),
            leader: self.settings.common.name.to_string(),
            commit: self.node.commit(),
            config_version: self.state.config().version(),
            control_ms: leader.time.at(now),
            nodes: nodes.map(node_status).collect(),
            items: items.cloned().collect(),
            voters: names(&members.voters),
            learners: names(&members.learners),
            claims: self.state.claim_count() as u64,
            evacuated: self
                .state
                .evacuations()
                .zones()
                .map(str::to_owned)
                .collect(),
        };
        self.reply(caller, Body::StatusReply(reply));
    }

    pub(crate) fn handle_audit_query(&self, caller: Caller, query: &AuditQuery) {
        if self.authenticate(caller, "", &query.credential).is_none() {
            return self.deny(caller);
        }
        let limit = match query.limit as usize {
            0 => MAX_AUDIT_RECORDS,
            limit => limit.min(MAX_AUDIT_RECORDS),
        };
        let reply = AuditReply {
            records: self.state.audit(query.after, limit),
            last: self.state.last_audit_index(),
        };
        self.reply(caller, Body::AuditReply(reply));
    }

    /// Returns the operator that the token belongs to. If the request also states a name, it must
    /// match that operator's.
    pub(crate) fn authenticate(
        &self,
        caller: Caller,
        stated: &str,
        credential: &str,
    ) -> Option<Name> {
        let operator = validate::operator_by_token(self.state.config(), credential)
            .filter(|name| stated.is_empty() || **name == *stated);
        if operator.is_none() {
            metrics::counter!("control_refused", "reason" => "operator").increment(1);
            warn!(self.log, "operator authentication failed"; "stated" => stated,
                "origin" => self.origin(caller, ""));
        }
        operator
    }

    pub(crate) fn deny(&self, caller: Caller) {
        self.fail(
            caller,
            Code::Denied,
            "the token does not belong to an operator",
        );
    }
}

pub(crate) fn reply_proposal(caller: Caller) -> Proposal {
    Proposal {
        caller: Some(caller),
        on_commit: OnCommit::Reply,
        key: None,
    }
}

/// Converts a change of the member set, and returns it with its verb for the audit trail.
fn parse_member_change(change: &proto::MemberChange) -> Option<(MemberChange, &'static str)> {
    let name = Name::checked(&change.member)?;
    match change.kind() {
        member_change::Kind::AddLearner => {
            parse_addr(&change.address)?;
            let peer = Peer::new(name, &change.address);
            Some((MemberChange::AddLearner(peer), "add learner"))
        }
        member_change::Kind::Promote => Some((MemberChange::Promote(name), "promote")),
        member_change::Kind::Remove => Some((MemberChange::Remove(name), "remove")),
        member_change::Kind::Unspecified => None,
    }
}
