//! Replicated state of the control group: claims, membership, configuration, audit.
//!
//! The state is produced only by [`State::apply`] in the order of the log. Time comes from
//! the commands, so that every member and every replay computes the same state.
//!
//! ```
//! use sassafras_state::Reply;
//! use sassafras_state::State;
//! use sassafras_wire::proto;
//!
//! let change = proto::ConfigChange {
//!     request_id: "r1".to_owned(),
//!     operator: "ana".to_owned(),
//!     upserts: vec![proto::ConfigItem { name: "limits".to_owned(), ..Default::default() }],
//!     ..Default::default()
//! };
//! let mut state = State::default();
//! let body = proto::command::Body::Config(change);
//! let command = proto::Command { control_ms: 1, body: Some(body) };
//! let Reply::Config(first) = state.apply(1, &command) else { unreachable!() };
//! assert_eq!(first.version, 1);
//! assert_eq!(state.apply(2, &command), Reply::Config(first));
//! ```

mod answers;
mod audit;
mod claims;
mod items;
mod nodes;
mod routing;
mod sharded;
mod snapshot;

use sassafras_wire::proto;
use sassafras_wire::proto::command::Body;

use crate::answers::Answers;
pub use crate::answers::MAX_CACHED_REPLIES;
use crate::audit::Audit;
pub use crate::audit::MAX_AUDIT_RECORDS;
use crate::claims::Claims;
pub use crate::items::ConfigItems;
pub use crate::nodes::Node;
pub use crate::nodes::Nodes;
pub use crate::routing::Routing;

/// What applying a command returned to whoever proposed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The command has no answer.
    None,
    /// The answer to a claim.
    Claim(proto::ClaimReply),
    /// The answer to an extension of a claim.
    Extend(proto::ExtendReply),
    /// The answer to the end of a job.
    Finish(proto::FinishReply),
    /// The answer to a configuration change.
    Config(proto::ConfigReply),
    /// The answer to a change of a node.
    Node(proto::NodeCommandReply),
    /// The answer to a change of the routing table.
    Routing(proto::RoutingReply),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    applied: u64,
    control_ms: u64,
    claims: Claims,
    nodes: Nodes,
    items: ConfigItems,
    routing: Routing,
    answers: Answers,
    audit: Audit,
}

/// A copy of the state at one index, for encoding it on another thread.
#[derive(Debug)]
pub struct StateSnapshot(State);

impl State {
    /// Applies the command at `index` of the log. A command at or below the last applied
    /// index changes nothing.
    pub fn apply(&mut self, index: u64, command: &proto::Command) -> Reply {
        if index <= self.applied {
            return Reply::None;
        }
        self.applied = index;
        self.control_ms = self.control_ms.max(command.control_ms);
        match &command.body {
            Some(Body::Claim(claim)) => {
                Reply::Claim(
                    self.claims
                        .claim(index, self.control_ms, &self.nodes, claim),
                )
            }
            Some(Body::Extend(extend)) => Reply::Extend(self.claims.extend(&self.nodes, extend)),
            Some(Body::Finish(finish)) => {
                Reply::Finish(self.claims.finish(index, self.control_ms, finish))
            }
            Some(Body::Config(change)) => self.change_items(change),
            Some(Body::Node(event)) => self.change_node(event),
            Some(Body::Leader(event)) => {
                let detail = format!("{} (term {})", event.change, event.term);
                self.record(&event.member, "", "leadership", detail);
                Reply::None
            }
            Some(Body::Expire(expire)) => {
                self.claims.expire(expire);
                Reply::None
            }
            Some(Body::Routing(table)) => self.change_routing(table),
            None => Reply::None,
        }
    }

    /// Returns a copy that only serves to be encoded.
    ///
    /// It shares the claims with this state, so that taking it does not take time in
    /// proportion to their number.
    pub fn snapshot(&self) -> StateSnapshot {
        StateSnapshot(Self {
            applied: self.applied,
            control_ms: self.control_ms,
            claims: self.claims.freeze(),
            nodes: self.nodes.clone(),
            items: self.items.clone(),
            routing: self.routing.clone(),
            answers: self.answers.clone(),
            audit: self.audit.clone(),
        })
    }

    /// Marks an index without a command as applied.
    pub fn skip(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Returns the index of the last applied log entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the latest time of an applied command, in milliseconds.
    pub fn control_ms(&self) -> u64 {
        self.control_ms
    }

    /// Returns the nodes.
    pub fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// Returns the configuration.
    pub fn config(&self) -> &ConfigItems {
        &self.items
    }

    /// Returns the routing table in force.
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Returns the number of claims that are kept, compact records included.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the number of claims of jobs that have not finished.
    pub fn running_count(&self) -> usize {
        self.claims.running()
    }

    /// Returns the owner and epoch of a running claim.
    pub fn owner(&self, key: &sassafras_wire::JobKey) -> Option<(&sassafras_wire::NodeRef, u64)> {
        self.claims.owner(key)
    }

    /// Returns the answer to a claim if applying it would change nothing.
    pub fn peek_claim(&self, claim: &proto::Claim) -> Option<proto::ClaimReply> {
        self.claims.peek(&self.nodes, claim)
    }

    /// Returns the answer that applying the end of a job next would return.
    pub fn peek_finish(&self, finish: &proto::Finish) -> proto::FinishReply {
        self.claims.decide_finish(finish).0
    }

    /// Returns the first answer to an operator's request that was applied before.
    pub fn cached_reply(&self, operator: &str, request: &str) -> Option<&Reply> {
        self.answers.get(operator, request)
    }

    /// Returns up to `limit` audit records after index `after`, oldest first.
    pub fn audit(&self, after: u64, limit: usize) -> Vec<proto::AuditRecord> {
        self.audit.after(after, limit)
    }

    /// Returns the index of the last audit record.
    pub fn last_audit_index(&self) -> u64 {
        self.audit.last()
    }

    fn change_items(&mut self, change: &proto::ConfigChange) -> Reply {
        if let Some(first) = self.answers.get(&change.operator, &change.request_id) {
            return first.clone();
        }
        let reply = self.items.change(change);
        let names = change.upserts.iter().map(|i| i.name.as_str());
        let removals = change.removals.iter().map(|n| format!("-{n}"));
        let names: Vec<String> = names.map(str::to_owned).chain(removals).collect();
        let (action, relation) = if reply.kind() == proto::config_reply::Kind::Accepted {
            ("config", "version")
        } else {
            ("config conflict", "refused, in force is version")
        };
        let detail = format!("{relation} {}: {}", reply.version, names.join(" "));
        self.record(&change.operator, &change.origin, action, detail);
        let reply = Reply::Config(reply);
        self.answers
            .insert(&change.operator, &change.request_id, reply.clone());
        reply
    }

    fn change_routing(&mut self, table: &proto::RoutingTable) -> Reply {
        let reply = self.routing.change(table);
        if reply.changed {
            let detail = format!("version {}: {} routes", table.version, table.routes.len());
            self.record("operator", "", "routing", detail);
        }
        Reply::Routing(reply)
    }

    fn change_node(&mut self, event: &proto::NodeEvent) -> Reply {
        let ordered = !event.actor.is_empty();
        if ordered && let Some(first) = self.answers.get(&event.actor, &event.request_id) {
            return first.clone();
        }
        let change = self.nodes.change(event);
        if let Some(detail) = change.audit {
            let action = if ordered { "node command" } else { "node" };
            self.record(&event.actor, &event.origin, action, detail);
        }
        let reply = Reply::Node(change.reply);
        if ordered {
            self.answers
                .insert(&event.actor, &event.request_id, reply.clone());
        }
        reply
    }

    fn record(&mut self, actor: &str, origin: &str, action: &str, detail: String) {
        self.audit.push(proto::AuditRecord {
            index: self.applied,
            control_ms: self.control_ms,
            actor: actor.to_owned(),
            origin: origin.to_owned(),
            action: action.to_owned(),
            detail,
        });
    }
}
