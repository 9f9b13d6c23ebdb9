//! Sessions of nodes: the leader's memory of who sent heartbeats, and when.

use std::time::Duration;
use std::time::Instant;

use sassafras_runtime::ConnId;
use sassafras_state::Node;
use sassafras_state::Nodes;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::Load;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;

/// A node's lease, which the node counts from the sending of its heartbeat.
pub const LEASE: Duration = Duration::from_millis(2_500);
/// A node that is silent for this long is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// A node that is silent for this long is gone. It exceeds the lease, so that the node has
/// stopped by itself before anybody takes it for gone.
pub const GONE_AFTER: Duration = Duration::from_secs(4);

/// A node's session.
#[derive(Clone, Debug)]
pub struct Session {
    /// The node and its incarnation.
    pub node: NodeRef,
    /// When the last heartbeat arrived.
    pub heard: Instant,
    /// The link of the last heartbeat.
    pub conn: Option<ConnId>,
    /// Whether the node is an entry.
    pub entry: bool,
    /// The configuration version that the node reported; none before its first heartbeat to
    /// this leader.
    pub reported_version: Option<u64>,
    /// The latest configuration version that the node has or was sent.
    pub config_version: u64,
    /// The latest membership version that the node has or was sent.
    pub members_version: u64,
    /// The version of the routing table that the node has in force.
    pub routing_version: u64,
    /// The load that the node reported.
    pub load: Option<Load>,
    /// Whether the node reported that it serves nothing, since it holds no lease.
    pub suspended: bool,
    /// A description of the node that is proposed and not yet committed.
    proposed: Option<Member>,
}

/// What a heartbeat leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum Beat {
    /// Nothing about the node changed.
    Current,
    /// The node is new, and its lease starts when this description is committed.
    Join(Member),
    /// The node's description changed.
    Update(Member),
    /// The description is proposed already; the node's lease starts when it is committed.
    Joining,
    /// The heartbeat is refused.
    Refused(&'static str),
}

/// All sessions of a leader.
#[derive(Debug, Default)]
pub struct Sessions(FastMap<Name, Session>);

impl Sessions {
    /// Creates the sessions of a new leader, which takes all nodes for heard from at `now`.
    pub fn new(now: Instant, nodes: &Nodes) -> Self {
        let live = nodes.iter().filter(|n| n.member.state() != NodeState::Gone);
        let sessions = live.map(|n| (n.node.name.clone(), Session::new(now, n.node.clone())));
        Self(sessions.collect())
    }

    /// Returns a node's session.
    pub fn get(&self, name: &str) -> Option<&Session> {
        self.0.get(name)
    }

    /// Returns all sessions.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Session> {
        self.0.values_mut()
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Reports whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes a heartbeat of a node that the group knows as `known`.
    pub fn heartbeat(
        &mut self,
        now: Instant,
        conn: ConnId,
        beat: &Heartbeat,
        known: Option<&Node>,
    ) -> Beat {
        let Ok(node) = NodeRef::try_from(beat.node.clone()) else {
            return Beat::Refused("the node's name is not valid");
        };
        // An incarnation is a time of day, which a clock that was set back repeats. A node that
        // is gone therefore may come back with an earlier one.
        let later = |n: &NodeRef| n.incarnation > node.incarnation;
        let gone = known.is_some_and(|k| k.member.state() == NodeState::Gone);
        if !gone
            && (known.is_some_and(|k| later(&k.node))
                || self.get(&node.name).is_some_and(|s| later(&s.node)))
        {
            return Beat::Refused("a later incarnation of the node is known");
        }
        let session = self.0.entry(node.name.clone());
        let session = session.or_insert_with(|| Session::new(now, node.clone()));
        if session.node != node {
            *session = Session::new(now, node.clone());
        }
        session.heard = now;
        session.conn = Some(conn);
        session.entry = beat.role() == Role::Entry;
        // A process never goes back to an older version; a heartbeat that was sent again may say so.
        session.reported_version = session.reported_version.max(Some(beat.config_version));
        session.config_version = beat.config_version;
        session.members_version = beat.members_version;
        session.routing_version = session.routing_version.max(beat.routing_version);
        session.load = beat.load;
        session.suspended = beat.suspended;
        session.compare(describe(beat), known)
    }

    /// Forgets what is proposed about a node, since it was committed or is lost.
    pub fn settled(&mut self, name: &str) {
        if let Some(session) = self.0.get_mut(name) {
            session.proposed = None;
        }
    }

    /// Returns the nodes that have been silent for too long, with the state to commit, and
    /// marks these as proposed.
    pub fn silent(&mut self, now: Instant, nodes: &Nodes) -> Vec<(Member, &'static str)> {
        let mut found = Vec::new();
        for session in self.0.values_mut() {
            let Some(known) = nodes.get(&session.node.name) else {
                continue;
            };
            let silence = now.saturating_duration_since(session.heard);
            let (state, cause) = if silence >= GONE_AFTER {
                (NodeState::Gone, "no heartbeat for 4 s")
            } else if silence >= SUSPECT_AFTER && known.member.state() != NodeState::Leaving {
                (NodeState::Suspect, "no heartbeat for 1.5 s")
            } else {
                continue;
            };
            let proposed = session
                .proposed
                .as_ref()
                .is_some_and(|m| m.state() == state);
            if proposed || known.member.state() == state || known.node != session.node {
                continue;
            }
            let mut member = known.member.clone();
            member.set_state(state);
            session.proposed = Some(member.clone());
            found.push((member, cause));
        }
        found
    }

    /// Takes all nodes for heard from at `now`, since they could not reach the leader before.
    pub fn excuse(&mut self, now: Instant) {
        for session in self.0.values_mut() {
            session.heard = now;
        }
    }

    /// Drops the sessions of nodes that are gone.
    pub fn drop_gone(&mut self, now: Instant, nodes: &Nodes) {
        self.0.retain(|name, session| {
            let gone = nodes
                .get(name)
                .is_none_or(|n| n.member.state() == NodeState::Gone);
            !gone || now.saturating_duration_since(session.heard) < GONE_AFTER
        });
    }

    /// Reports whether every entry that was heard from lately has at least this version of the
    /// routing table in force.
    pub fn routing_in_force(&self, now: Instant, version: u64) -> bool {
        let lately = |s: &&Session| now.saturating_duration_since(s.heard) < SUSPECT_AFTER;
        let entries = self.0.values().filter(|s| s.entry).filter(lately);
        entries.map(|s| s.routing_version).all(|v| v >= version)
    }

    /// Reports whether a node may still act under its lease in that incarnation.
    pub fn alive(&self, now: Instant, node: &NodeRef) -> bool {
        self.0.get(&node.name).is_some_and(|session| {
            session.node == *node && now.saturating_duration_since(session.heard) < LEASE
        })
    }
}

impl Session {
    fn new(now: Instant, node: NodeRef) -> Self {
        Self {
            node,
            heard: now,
            conn: None,
            entry: false,
            reported_version: None,
            config_version: 0,
            members_version: 0,
            routing_version: 0,
            load: None,
            suspended: false,
            proposed: None,
        }
    }

    /// Compares a node's description with the one in the replicated state.
    fn compare(&mut self, member: Member, known: Option<&Node>) -> Beat {
        let joined = known.filter(|k| k.node == self.node && k.member.state() != NodeState::Gone);
        let proposed = self.proposed.as_ref() == Some(&member);
        let Some(known) = joined else {
            if proposed {
                return Beat::Joining;
            }
            self.proposed = Some(member.clone());
            return Beat::Join(member);
        };
        if proposed || same(&member, known) {
            return Beat::Current;
        }
        self.proposed = Some(member.clone());
        Beat::Update(member)
    }
}

fn describe(beat: &Heartbeat) -> Member {
    let state = match beat.state() {
        NodeState::Leaving => NodeState::Leaving,
        _ => NodeState::Active,
    };
    Member {
        node: beat.node.clone(),
        role: beat.role,
        zone: beat.zone.clone(),
        address: beat.address.clone(),
        state: state.into(),
        endpoint: beat.endpoint.clone(),
        version: 0,
    }
}

/// Reports whether committing `member` would leave the node as it is.
fn same(member: &Member, known: &Node) -> bool {
    let state = match member.state() {
        NodeState::Active if known.ordered_state != NodeState::Unspecified => known.ordered_state,
        reported => reported,
    };
    let expected = Member {
        state: state.into(),
        version: known.member.version,
        ..member.clone()
    };
    expected == known.member
}
