//! Cluster membership: the known nodes and whether each of them accepts work.

use std::collections::BTreeMap;

use sassafras_util::Name;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::MembersDelta;
use sassafras_wire::proto::NodeCommandReply;
use sassafras_wire::proto::NodeEvent;
use sassafras_wire::proto::NodeState;

/// Number of GONE nodes that are kept. An entry whose version is older than an evicted node
/// receives the full membership. Eviction also discards the node's incarnation.
const MAX_GONE_NODES: usize = 10_000;

/// The membership record of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the node and the incarnation that was accepted last. A node that was GONE may come
    /// back with a lower one.
    pub node: NodeRef,
    /// Description of the node, with its effective state and the version of its last change.
    pub member: Member,
    /// State ordered by an operator, or `Unspecified`.
    pub ordered_state: NodeState,
}

/// The membership records of all nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Nodes {
    pub(crate) version: u64,
    pub(crate) by_name: BTreeMap<Name, Node>,
    /// Lowest version from which a delta is complete. Deltas from lower versions would miss
    /// evicted nodes.
    pub(crate) delta_floor: u64,
}

/// The result of a node event.
pub(crate) struct NodeChange {
    pub(crate) reply: NodeCommandReply,
    /// Detail of the audit record, if the event is audited.
    pub(crate) audit: Option<String>,
}

impl Nodes {
    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a node by name.
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.by_name.get(name)
    }

    /// Returns all nodes, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Node> {
        self.by_name.values()
    }

    /// Returns the nodes that changed after version `from`, or `None` if `from` is current.
    pub fn delta(&self, from: u64) -> Option<MembersDelta> {
        if from == self.version {
            return None;
        }
        let from = if from < self.delta_floor || from > self.version {
            0
        } else {
            from
        };
        let changed = self.by_name.values().map(|n| &n.member);
        Some(MembersDelta {
            from,
            to: self.version,
            members: changed.filter(|m| m.version > from).cloned().collect(),
        })
    }

    /// Replaces the node's name by the instance stored here, so that claims share it.
    pub(crate) fn intern(&self, node: NodeRef) -> NodeRef {
        match self.by_name.get(&node.name) {
            Some(known) => NodeRef {
                name: known.node.name.clone(),
                incarnation: node.incarnation,
            },
            None => node,
        }
    }

    /// Applies a node event from a session or an operator.
    pub(crate) fn apply(&mut self, event: &NodeEvent) -> NodeChange {
        let member = event.member.clone().unwrap_or_default();
        let Ok(node) = NodeRef::try_from(member.node.clone()) else {
            return NodeChange::refused("the node's name is not valid");
        };
        if event.actor.is_empty() {
            self.apply_report(node, member, &event.cause)
        } else {
            self.apply_order(&node, member.state(), &event.cause)
        }
    }

    /// Applies a description of a node from its session.
    fn apply_report(&mut self, node: NodeRef, mut member: Member, cause: &str) -> NodeChange {
        let known = self.by_name.get(&node.name);
        let newer = known.is_none_or(|k| node.incarnation > k.node.incarnation);
        if let Some(known) = known
            && known.node.incarnation > node.incarnation
            && known.member.state() != NodeState::Gone
        {
            return NodeChange::refused("a later incarnation of the node is known");
        }
        // An ordered LEAVING ends with the next higher incarnation; PAUSED stays until an operator
        // revokes it.
        let ordered = match known.map_or(NodeState::Unspecified, |k| k.ordered_state) {
            NodeState::Leaving if newer => NodeState::Unspecified,
            ordered => ordered,
        };
        let before = known.map_or(NodeState::Unspecified, |k| k.member.state());
        let state = effective_state(member.state(), ordered);
        self.version += 1;
        member.version = self.version;
        member.set_state(state);
        let detail = format!("{node} {}: {cause}", state.as_str_name());
        // Brief link failures move nodes into and out of SUSPECT, which would flood the audit log.
        let suspect_change = state == NodeState::Suspect || before == NodeState::Suspect;
        let audited = newer || (before != state && !(suspect_change && state != NodeState::Gone));
        let record = Node {
            node: node.clone(),
            member,
            ordered_state: ordered,
        };
        self.by_name.insert(node.name, record);
        self.evict_gone();
        NodeChange::accepted(audited.then_some(detail))
    }

    /// Applies an operator's order to a known node.
    fn apply_order(&mut self, node: &NodeRef, state: NodeState, cause: &str) -> NodeChange {
        let ordered = match state {
            NodeState::Active => NodeState::Unspecified,
            NodeState::Paused | NodeState::Leaving => state,
            _ => return NodeChange::refused("only ACTIVE, PAUSED and LEAVING can be ordered"),
        };
        let version = self.version + 1;
        let Some(known) = self.by_name.get_mut(&node.name) else {
            return NodeChange::refused("no such node");
        };
        known.ordered_state = ordered;
        if !matches!(known.member.state(), NodeState::Suspect | NodeState::Gone) {
            known.member.set_state(state);
        }
        known.member.version = version;
        self.version = version;
        NodeChange::accepted(Some(format!(
            "{} {}: {cause}",
            node.name,
            state.as_str_name()
        )))
    }

    fn evict_gone(&mut self) {
        let gone = |n: &&Node| n.member.state() == NodeState::Gone;
        if self.by_name.len() <= MAX_GONE_NODES
            || self.by_name.values().filter(gone).count() <= MAX_GONE_NODES
        {
            return;
        }
        let oldest = self.by_name.values().filter(gone);
        let Some(oldest) = oldest.min_by_key(|n| n.member.version) else {
            return;
        };
        let (name, version) = (oldest.node.name.clone(), oldest.member.version);
        self.by_name.remove(&name);
        self.delta_floor = version;
    }
}

/// Combines the state that a node reports with the state ordered by an operator.
fn effective_state(reported: NodeState, ordered: NodeState) -> NodeState {
    match reported {
        NodeState::Active if ordered != NodeState::Unspecified => ordered,
        reported => reported,
    }
}

impl NodeChange {
    fn refused(detail: &str) -> Self {
        Self {
            reply: NodeCommandReply {
                accepted: false,
                detail: detail.to_owned(),
            },
            audit: None,
        }
    }

    fn accepted(audit: Option<String>) -> Self {
        let reply = NodeCommandReply {
            accepted: true,
            detail: String::new(),
        };
        Self { reply, audit }
    }
}
