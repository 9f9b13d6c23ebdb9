//! Replicated state of the control group: claims, membership, configuration, audit.
//!
//! Only [`State::apply`] changes the state, in log order. Time is taken from the commands, so
//! that every member and every replay computes the same state.
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

mod audit;
mod claims;
mod evacuations;
mod items;
mod nodes;
mod reply_cache;
mod routing;
mod sharded;
mod snapshot;

use sassafras_wire::proto;
use sassafras_wire::proto::command::Body;

use crate::audit::AuditLog;
pub use crate::audit::MAX_AUDIT_RECORDS;
use crate::claims::Claims;
pub use crate::evacuations::Evacuations;
pub use crate::items::ConfigItems;
pub use crate::nodes::Node;
pub use crate::nodes::Nodes;
pub use crate::reply_cache::MAX_CACHED_REPLIES;
use crate::reply_cache::ReplyCache;
pub use crate::routing::Routing;

/// The result of a command, returned to its proposer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The command has no reply.
    None,
    /// The reply to a claim.
    Claim(proto::ClaimReply),
    /// The reply to an extension of a claim.
    Extend(proto::ExtendReply),
    /// The reply to the completion of a job.
    Finish(proto::FinishReply),
    /// The reply to a configuration change.
    Config(proto::ConfigReply),
    /// The reply to a node event.
    Node(proto::NodeCommandReply),
    /// The reply to a routing table change.
    Routing(proto::RoutingReply),
    /// The reply to an evacuation or its withdrawal.
    Evacuation(proto::EvacuationReply),
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
    evacuations: Evacuations,
    replies: ReplyCache,
    audit: AuditLog,
}

/// An immutable copy of the state at one log index, to be encoded on another thread.
#[derive(Debug)]
pub struct StateSnapshot(State);

impl State {
    /// Applies the command at log index `index`. Commands at or below the last applied index are
    /// ignored.
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
            Some(Body::Config(change)) => self.apply_config(change),
            Some(Body::Node(event)) => self.apply_node(event),
            Some(Body::Leader(event)) => {
                let detail = format!("{} (term {})", event.change, event.term);
                self.record_audit(&event.member, "", "leadership", detail);
                Reply::None
            }
            Some(Body::Expire(expire)) => {
                self.claims.expire(expire);
                Reply::None
            }
            Some(Body::Routing(table)) => self.apply_routing(table),
            Some(Body::Evacuation(change)) => self.apply_evacuation(change),
            None => Reply::None,
        }
    }

    /// Returns a copy of the state for encoding.
    ///
    /// The copy shares the claims with this state, so the cost of taking it does not depend on
    /// their number.
    pub fn snapshot(&self) -> StateSnapshot {
        StateSnapshot(Self {
            applied: self.applied,
            control_ms: self.control_ms,
            claims: self.claims.snapshot(),
            nodes: self.nodes.clone(),
            items: self.items.clone(),
            routing: self.routing.clone(),
            evacuations: self.evacuations.clone(),
            replies: self.replies.clone(),
            audit: self.audit.clone(),
        })
    }

    /// Marks all entries up to `index` as applied. Used for entries without a valid command and for
    /// those that a restored snapshot includes.
    pub fn skip(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Returns the index of the last applied log entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the time of the control group's clock in milliseconds: the maximum over all applied
    /// commands.
    pub fn control_ms(&self) -> u64 {
        self.control_ms
    }

    /// Returns the nodes.
    pub fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &ConfigItems {
        &self.items
    }

    /// Returns the current routing table.
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Returns the evacuated zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the number of claims, including compact records.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the number of claims of unfinished jobs.
    pub fn running_count(&self) -> usize {
        self.claims.running()
    }

    /// Returns the owner and epoch of an unfinished job.
    pub fn owner(&self, key: &sassafras_wire::JobKey) -> Option<(&sassafras_wire::NodeRef, u64)> {
        self.claims.owner(key)
    }

    /// Returns the reply to a claim if applying it would not change the state.
    pub fn peek_claim(&self, claim: &proto::Claim) -> Option<proto::ClaimReply> {
        self.claims.peek(&self.nodes, claim)
    }

    /// Returns the reply that applying `finish` as the next command would return.
    pub fn peek_finish(&self, finish: &proto::Finish) -> proto::FinishReply {
        self.claims.decide_finish(finish).0
    }

    /// Returns the first reply to an operator's request, if the request was applied before and its
    /// reply is still cached.
    pub fn cached_reply(&self, operator: &str, request: &str) -> Option<&Reply> {
        self.replies.get(operator, request)
    }

    /// Returns up to `limit` audit records with an index above `after`, oldest first.
    pub fn audit(&self, after: u64, limit: usize) -> Vec<proto::AuditRecord> {
        self.audit.after(after, limit)
    }

    /// Returns the index of the last audit record.
    pub fn last_audit_index(&self) -> u64 {
        self.audit.last_index()
    }

    fn apply_config(&mut self, change: &proto::ConfigChange) -> Reply {
        if let Some(first) = self.replies.get(&change.operator, &change.request_id) {
            return first.clone();
        }
        let reply = self.items.apply(change);
        let names = change.upserts.iter().map(|i| i.name.as_str());
        let removals = change.removals.iter().map(|n| format!("-{n}"));
        let names: Vec<String> = names.map(str::to_owned).chain(removals).collect();
        let (action, relation) = if reply.kind() == proto::config_reply::Kind::Accepted {
            ("config", "version")
        } else {
            ("config conflict", "refused, in force is version")
        };
        let detail = format!("{relation} {}: {}", reply.version, names.join(" "));
        self.record_audit(&change.operator, &change.origin, action, detail);
        let reply = Reply::Config(reply);
        self.replies
            .insert(&change.operator, &change.request_id, reply.clone());
        reply
    }

    fn apply_routing(&mut self, table: &proto::RoutingTable) -> Reply {
        let reply = self.routing.apply(table);
        if reply.changed {
            let detail = format!("version {}: {} routes", table.version, table.routes.len());
            self.record_audit("operator", "", "routing", detail);
        }
        Reply::Routing(reply)
    }

    fn apply_evacuation(&mut self, change: &proto::EvacuationChange) -> Reply {
        let reply = self.evacuations.apply(change);
        if reply.changed {
            let verb = if change.evacuated {
                "evacuated"
            } else {
                "taken back"
            };
            let detail = format!("zone {} {verb}", change.zone);
            self.record_audit(&change.operator, &change.origin, "evacuation", detail);
        }
        Reply::Evacuation(reply)
    }

    fn apply_node(&mut self, event: &proto::NodeEvent) -> Reply {
        let from_operator = !event.actor.is_empty();
        if from_operator && let Some(first) = self.replies.get(&event.actor, &event.request_id) {
            return first.clone();
        }
        let change = self.nodes.apply(event);
        if let Some(detail) = change.audit {
            let action = if from_operator {
                "node command"
            } else {
                "node"
            };
            self.record_audit(&event.actor, &event.origin, action, detail);
        }
        let reply = Reply::Node(change.reply);
        if from_operator {
            self.replies
                .insert(&event.actor, &event.request_id, reply.clone());
        }
        reply
    }

    fn record_audit(&mut self, actor: &str, origin: &str, action: &str, detail: String) {
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
