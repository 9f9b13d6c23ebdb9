//! Nodes of the cluster: who they are and whether they take work.

use std::collections::BTreeMap;

use sassafras_util::Name;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::MembersDelta;
use sassafras_wire::proto::NodeCommandReply;
use sassafras_wire::proto::NodeEvent;
use sassafras_wire::proto::NodeState;

/// Nodes that are gone and still remembered. An entry that is further behind gets the whole
/// membership. The incarnation of a forgotten node is forgotten with it.
const MAX_GONE: usize = 10_000;

/// A node as the group knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The node's name and its highest known incarnation.
    pub node: NodeRef,
    /// Its description, with the state and version in force.
    pub member: Member,
    /// The state that an operator ordered, or `Unspecified`.
    pub ordered_state: NodeState,
}

/// All nodes, by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Nodes {
    pub(crate) version: u64,
    pub(crate) by_name: BTreeMap<Name, Node>,
    /// Deltas from versions below this one lack forgotten nodes.
    pub(crate) floor: u64,
}

/// The result of a node event.
pub(crate) struct Change {
    pub(crate) reply: NodeCommandReply,
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

    /// Returns all nodes, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Node> {
        self.by_name.values()
    }

    /// Returns the nodes that changed after version `from`, or `None` when none did.
    pub fn delta(&self, from: u64) -> Option<MembersDelta> {
        if from == self.version {
            return None;
        }
        let from = if from < self.floor || from > self.version {
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

    /// Returns the shared form of a node's name, so that claims do not copy it.
    pub(crate) fn intern(&self, node: NodeRef) -> NodeRef {
        match self.by_name.get(&node.name) {
            Some(known) => NodeRef {
                name: known.node.name.clone(),
                incarnation: node.incarnation,
            },
            None => node,
        }
    }

    /// Applies what a session or an operator reports about a node.
    pub(crate) fn change(&mut self, event: &NodeEvent) -> Change {
        let member = event.member.clone().unwrap_or_default();
        let Ok(node) = NodeRef::try_from(member.node.clone()) else {
            return Change::refused("the node's name is not valid");
        };
        if event.actor.is_empty() {
            self.report(node, member, &event.cause)
        } else {
            self.order(&node, member.state(), &event.cause)
        }
    }

    /// Takes a node's description from its session.
    fn report(&mut self, node: NodeRef, mut member: Member, cause: &str) -> Change {
        let known = self.by_name.get(&node.name);
        let newer = known.is_none_or(|k| node.incarnation > k.node.incarnation);
        if let Some(known) = known
            && known.node.incarnation > node.incarnation
            && known.member.state() != NodeState::Gone
        {
            return Change::refused("a later incarnation of the node is known");
        }
        // A drain ends with the incarnation that was drained; a pause lasts until it is lifted.
        let ordered = match known.map_or(NodeState::Unspecified, |k| k.ordered_state) {
            NodeState::Leaving if newer => NodeState::Unspecified,
            ordered => ordered,
        };
        let before = known.map_or(NodeState::Unspecified, |k| k.member.state());
        let state = effective(member.state(), ordered);
        self.version += 1;
        member.version = self.version;
        member.set_state(state);
        let detail = format!("{node} {}: {cause}", state.as_str_name());
        // Suspicion comes and goes with every hiccup of a link and would flood the trail.
        let suspicion = state == NodeState::Suspect || before == NodeState::Suspect;
        let notable = newer || (before != state && !(suspicion && state != NodeState::Gone));
        let record = Node {
            node: node.clone(),
            member,
            ordered_state: ordered,
        };
        self.by_name.insert(node.name, record);
        self.forget_gone();
        Change::accepted(notable.then_some(detail))
    }

    /// Takes an operator's order about a known node.
    fn order(&mut self, node: &NodeRef, state: NodeState, cause: &str) -> Change {
        let ordered = match state {
            NodeState::Active => NodeState::Unspecified,
            NodeState::Paused | NodeState::Leaving => state,
            _ => return Change::refused("only ACTIVE, PAUSED and LEAVING can be ordered"),
        };
        let version = self.version + 1;
        let Some(known) = self.by_name.get_mut(&node.name) else {
            return Change::refused("no such node");
        };
        known.ordered_state = ordered;
        if !matches!(known.member.state(), NodeState::Suspect | NodeState::Gone) {
            known.member.set_state(state);
        }
        known.member.version = version;
        self.version = version;
        Change::accepted(Some(format!(
            "{} {}: {cause}",
            node.name,
            state.as_str_name()
        )))
    }

    fn forget_gone(&mut self) {
        let gone = |n: &&Node| n.member.state() == NodeState::Gone;
        if self.by_name.len() <= MAX_GONE || self.by_name.values().filter(gone).count() <= MAX_GONE
        {
            return;
        }
        let oldest = self.by_name.values().filter(gone);
        let Some(oldest) = oldest.min_by_key(|n| n.member.version) else {
            return;
        };
        let (name, version) = (oldest.node.name.clone(), oldest.member.version);
        self.by_name.remove(&name);
        self.floor = version;
    }
}

/// Returns the state in force of a node that reports one state and was ordered into another.
fn effective(reported: NodeState, ordered: NodeState) -> NodeState {
    match reported {
        NodeState::Active if ordered != NodeState::Unspecified => ordered,
        reported => reported,
    }
}

impl Change {
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
