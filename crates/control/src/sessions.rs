//! Sessions of nodes: the leader's record of their heartbeats, which it does not replicate.

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

/// The lease of a node. The node counts it from the time at which it sends its heartbeat.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_500);
/// A node without a heartbeat for this long is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// A node without a heartbeat for this long is gone. This exceeds [`LEASE_DURATION`], so that a
/// node stops its work before others consider it gone.
pub const GONE_AFTER: Duration = Duration::from_secs(4);

/// A node's session.
#[derive(Clone, Debug)]
pub struct Session {
    /// The node and its incarnation.
    pub node: NodeRef,
    /// When the last heartbeat arrived, or the time from which silence counts.
    pub last_heartbeat: Instant,
    /// The connection of the last heartbeat.
    pub conn: Option<ConnId>,
    /// Whether the node is an entry.
    pub entry: bool,
    /// The configuration version that the node reported; `None` before its first heartbeat to
    /// this leader.
    pub reported_version: Option<u64>,
    /// The latest configuration version that the node has or was sent.
    pub config_version: u64,
    /// The latest membership version that the node has or was sent.
    pub members_version: u64,
    /// The version of the routing table that the node applies.
    pub routing_version: u64,
    /// The version of the evacuations that the node applies.
    pub evacuations_version: u64,
    /// The load that the node reported.
    pub load: Option<Load>,
    /// Whether the node reported that it has suspended its work for lack of a lease.
    pub suspended: bool,
    /// A pending proposal of the node's record.
    proposed: Option<Member>,
}

/// The outcome of [`Sessions::record_heartbeat`].
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// The record of the node is up to date, or its change is proposed already.
    Unchanged,
    /// The node is new. Its lease starts once this record is committed.
    Join(Member),
    /// The record of the node has to change.
    Update(Member),
    /// The record of the new node is proposed. The lease starts once it is committed.
    JoinPending,
    /// The heartbeat is refused.
    Refused(&'static str),
}

/// All sessions of a leader.
#[derive(Debug, Default)]
pub struct Sessions(FastMap<Name, Session>);

impl Sessions {
    /// Creates the sessions of a new leader. The silence of all nodes counts from `now`, since
    /// they could not reach this leader before.
    pub fn new(now: Instant, nodes: &Nodes) -> Self {
        let live = nodes.iter().filter(|n| n.member.state() != NodeState::Gone);
        let sessions = live.map(|n| (n.node.name.clone(), Session::new(now, n.node.clone())));
        Self(sessions.collect())
    }

    /// Returns the session of the node with this name.
    pub fn get(&self, name: &str) -> Option<&Session> {
        self.0.get(name)
    }

    /// Iterates over all sessions.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Session> {
        self.0.values_mut()
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records a heartbeat. `known` is the replicated record of the node.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        conn: ConnId,
        heartbeat: &Heartbeat,
        known: Option<&Node>,
    ) -> HeartbeatOutcome {
        let Ok(node) = NodeRef::try_from(heartbeat.node.clone()) else {
            return HeartbeatOutcome::Refused("the node's name is not valid");
        };
        // An incarnation is the wall-clock time of the start, which may be lower after the clock
        // was set back. A node that is gone is therefore accepted with an earlier incarnation.
        let later = |n: &NodeRef| n.incarnation > node.incarnation;
        let gone = known.is_some_and(|k| k.member.state() == NodeState::Gone);
        if !gone
            && (known.is_some_and(|k| later(&k.node))
                || self.get(&node.name).is_some_and(|s| later(&s.node)))
        {
            return HeartbeatOutcome::Refused("a later incarnation of the node is known");
        }
        let session = self.0.entry(node.name.clone());
        let session = session.or_insert_with(|| Session::new(now, node.clone()));
        if session.node != node {
            *session = Session::new(now, node.clone());
        }
        session.last_heartbeat = now;
        session.conn = Some(conn);
        session.entry = heartbeat.role() == Role::Entry;
        // A process never returns to an older version, but a resent heartbeat may arrive late and
        // report one.
        session.reported_version = session.reported_version.max(Some(heartbeat.config_version));
        session.config_version = heartbeat.config_version;
        session.members_version = heartbeat.members_version;
        session.routing_version = session.routing_version.max(heartbeat.routing_version);
        session.evacuations_version = session
            .evacuations_version
            .max(heartbeat.evacuations_version);
        session.load = heartbeat.load;
        session.suspended = heartbeat.suspended;
        session.compare(member_from(heartbeat), known)
    }

    /// Clears the pending proposal of a node after it was committed or dropped.
    pub fn clear_proposed(&mut self, name: &str) {
        if let Some(session) = self.0.get_mut(name) {
            session.proposed = None;
        }
    }

    /// Returns the records to propose for nodes that have become suspect or gone, each with its
    /// cause, and marks them as proposed.
    pub fn take_silent(&mut self, now: Instant, nodes: &Nodes) -> Vec<(Member, &'static str)> {
        let mut found = Vec::new();
        for session in self.0.values_mut() {
            let Some(known) = nodes.get(&session.node.name) else {
                continue;
            };
            let silence = now.saturating_duration_since(session.last_heartbeat);
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

    /// Counts the silence of all nodes from `now`, since they could not reach the leader before.
    pub fn reset_silence(&mut self, now: Instant) {
        for session in self.0.values_mut() {
            session.last_heartbeat = now;
        }
    }

    /// Removes the sessions of nodes that are gone and still silent.
    pub fn remove_gone(&mut self, now: Instant, nodes: &Nodes) {
        self.0.retain(|name, session| {
            let gone = nodes
                .get(name)
                .is_none_or(|n| n.member.state() == NodeState::Gone);
            !gone || now.saturating_duration_since(session.last_heartbeat) < GONE_AFTER
        });
    }

    /// Returns whether every entry that sent a heartbeat within [`SUSPECT_AFTER`] applies at least
    /// this version of the routing table.
    pub fn routing_in_force(&self, now: Instant, version: u64) -> bool {
        let recent = |s: &&Session| now.saturating_duration_since(s.last_heartbeat) < SUSPECT_AFTER;
        let entries = self.0.values().filter(|s| s.entry).filter(recent);
        entries.map(|s| s.routing_version).all(|v| v >= version)
    }

    /// Returns whether the lease of this incarnation of the node may still be valid.
    pub fn holds_lease(&self, now: Instant, node: &NodeRef) -> bool {
        self.0.get(&node.name).is_some_and(|session| {
            session.node == *node
                && now.saturating_duration_since(session.last_heartbeat) < LEASE_DURATION
        })
    }
}

impl Session {
    fn new(now: Instant, node: NodeRef) -> Self {
        Self {
            node,
            last_heartbeat: now,
            conn: None,
            entry: false,
            reported_version: None,
            config_version: 0,
            members_version: 0,
            routing_version: 0,
            evacuations_version: 0,
            load: None,
            suspended: false,
            proposed: None,
        }
    }

    /// Compares the reported record of a node with the replicated one.
    fn compare(&mut self, member: Member, known: Option<&Node>) -> HeartbeatOutcome {
        let joined = known.filter(|k| k.node == self.node && k.member.state() != NodeState::Gone);
        let proposed = self.proposed.as_ref() == Some(&member);
        let Some(known) = joined else {
            if proposed {
                return HeartbeatOutcome::JoinPending;
            }
            self.proposed = Some(member.clone());
            return HeartbeatOutcome::Join(member);
        };
        if proposed || unchanged_by(&member, known) {
            return HeartbeatOutcome::Unchanged;
        }
        self.proposed = Some(member.clone());
        HeartbeatOutcome::Update(member)
    }
}

fn member_from(heartbeat: &Heartbeat) -> Member {
    let state = match heartbeat.state() {
        NodeState::Leaving => NodeState::Leaving,
        _ => NodeState::Active,
    };
    Member {
        node: heartbeat.node.clone(),
        role: heartbeat.role,
        zone: heartbeat.zone.clone(),
        address: heartbeat.address.clone(),
        state: state.into(),
        endpoint: heartbeat.endpoint.clone(),
        version: 0,
    }
}

/// Returns whether committing `member` would leave the replicated record unchanged.
fn unchanged_by(member: &Member, known: &Node) -> bool {
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
