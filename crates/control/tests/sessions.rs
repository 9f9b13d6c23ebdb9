//! Tests of node leases and of the control time: which nodes hold a lease, are suspect or gone.

use std::time::Duration;
use std::time::Instant;

use sassafras_control::ControlTime;
use sassafras_control::GONE_AFTER;
use sassafras_control::HeartbeatOutcome;
use sassafras_control::LEASE_DURATION;
use sassafras_control::SUSPECT_AFTER;
use sassafras_control::Sessions;
use sassafras_runtime::ConnId;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvent;
use sassafras_state::State;
use sassafras_wire::ClusterKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::command::Body;

const STEP: Duration = Duration::from_millis(1);

fn just_before(time: Duration) -> Duration {
    time.saturating_sub(STEP)
}

/// Opens a connection to obtain a [`ConnId`], which only the runtime can create.
fn conn() -> ConnId {
    let link = async {
        let log = sassafras_runtime::logger(slog::Level::Error, "test");
        let key = || ClusterKey::new(b"0123456789abcdef");
        let (net, _events) = Net::new(node("c", 1), Role::Control, "z".into(), key(), log.clone());
        let addr = net.listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let (net, mut events) = Net::new(node("w", 1), Role::Agent, "z".into(), key(), log);
        net.dial("c".into(), addr);
        match events.next().await {
            NetEvent::Up { conn, .. } => Ok(conn),
            other => panic!("{other:?}"),
        }
    };
    sassafras_runtime::block_on(link).unwrap()
}

fn node(name: &str, incarnation: u64) -> NodeRef {
    let name = name.into();
    NodeRef { name, incarnation }
}

fn heartbeat(incarnation: u64, state: NodeState) -> Heartbeat {
    Heartbeat {
        node: Some((&node("w", incarnation)).into()),
        role: Role::Agent.into(),
        state: state.into(),
        ..Heartbeat::default()
    }
}

fn commit(state: &mut State, sessions: &mut Sessions, member: Member) {
    let event = proto::NodeEvent {
        member: Some(member),
        ..proto::NodeEvent::default()
    };
    let command = proto::Command {
        control_ms: 0,
        body: Some(Body::Node(event)),
    };
    state.apply(state.applied() + 1, &command);
    sessions.clear_proposed("w");
}

struct Fixture {
    conn: ConnId,
    state: State,
    sessions: Sessions,
}

impl Fixture {
    fn new(now: Instant) -> Self {
        let state = State::default();
        let sessions = Sessions::new(now, state.nodes());
        Self {
            conn: conn(),
            state,
            sessions,
        }
    }

    fn heartbeat(&mut self, now: Instant, incarnation: u64, state: NodeState) -> HeartbeatOutcome {
        let known = self.state.nodes().get("w");
        let heartbeat = heartbeat(incarnation, state);
        self.sessions
            .record_heartbeat(now, self.conn, &heartbeat, known)
    }

    fn join(&mut self, now: Instant, incarnation: u64) {
        let HeartbeatOutcome::Join(member) = self.heartbeat(now, incarnation, NodeState::Active)
        else {
            panic!("the node has already joined");
        };
        commit(&mut self.state, &mut self.sessions, member);
    }

    fn take_silent(&mut self, now: Instant) -> Vec<NodeState> {
        let silent = self.sessions.take_silent(now, self.state.nodes());
        silent.iter().map(|(m, _)| m.state()).collect()
    }
}

/// Guards against a lease that starts before the record of the node is committed, and against a
/// replaced process that still renews its lease.
#[test]
fn a_lease_starts_with_the_committed_record() {
    let now = Instant::now();
    let mut f = Fixture::new(now);
    assert!(matches!(
        f.heartbeat(now, 2, NodeState::Active),
        HeartbeatOutcome::Join(_)
    ));
    assert_eq!(
        f.heartbeat(now, 2, NodeState::Active),
        HeartbeatOutcome::JoinPending
    );
    f.sessions.clear_proposed("w");
    f.join(now, 2);
    assert_eq!(
        f.heartbeat(now, 2, NodeState::Active),
        HeartbeatOutcome::Unchanged
    );
    assert!(matches!(
        f.heartbeat(now, 1, NodeState::Active),
        HeartbeatOutcome::Refused(_)
    ));
    assert!(matches!(
        f.heartbeat(now, 3, NodeState::Active),
        HeartbeatOutcome::Join(_)
    ));
    assert!(matches!(
        f.heartbeat(now, 2, NodeState::Active),
        HeartbeatOutcome::Refused(_)
    ));
}

/// Guards against a node that is considered gone while its lease may still be valid, and against
/// repeated proposals for the same silent node.
#[test]
fn a_silent_node_becomes_suspect_and_then_gone() {
    let now = Instant::now();
    let mut f = Fixture::new(now);
    f.join(now, 1);
    assert!(f.take_silent(now + just_before(SUSPECT_AFTER)).is_empty());
    assert_eq!(f.take_silent(now + SUSPECT_AFTER), [NodeState::Suspect]);
    assert!(f.take_silent(now + SUSPECT_AFTER).is_empty());
    assert!(
        f.sessions
            .holds_lease(now + just_before(LEASE_DURATION), &node("w", 1))
    );
    assert!(!f.sessions.holds_lease(now + LEASE_DURATION, &node("w", 1)));
    assert!(!f.sessions.holds_lease(now, &node("w", 2)));
    assert!(f.take_silent(now + just_before(GONE_AFTER)).is_empty());
    assert_eq!(f.take_silent(now + GONE_AFTER), [NodeState::Gone]);
}

/// Guards against a node that stays suspect after it sends heartbeats again.
#[test]
fn a_heartbeat_makes_a_suspect_node_active() {
    let now = Instant::now();
    let mut f = Fixture::new(now);
    f.join(now, 1);
    let late = now + SUSPECT_AFTER;
    let (member, _) = f.sessions.take_silent(late, f.state.nodes()).remove(0);
    commit(&mut f.state, &mut f.sessions, member);
    let HeartbeatOutcome::Update(member) = f.heartbeat(late, 1, NodeState::Active) else {
        panic!("the node stays suspect after a heartbeat");
    };
    assert_eq!(member.state(), NodeState::Active);
    commit(&mut f.state, &mut f.sessions, member);
    assert_eq!(
        f.heartbeat(late, 1, NodeState::Active),
        HeartbeatOutcome::Unchanged
    );
    let HeartbeatOutcome::Update(member) = f.heartbeat(late, 1, NodeState::Leaving) else {
        panic!("the node reports that it is leaving but stays active");
    };
    assert_eq!(member.state(), NodeState::Leaving);
}

/// Guards against a new leader that declares nodes gone before they could reach it.
#[test]
fn a_new_leader_waits_before_it_declares_nodes_gone() {
    let now = Instant::now();
    let mut f = Fixture::new(now);
    f.join(now, 1);
    let elected = now + Duration::from_secs(60);
    f.sessions = Sessions::new(elected, f.state.nodes());
    assert!(
        f.sessions
            .holds_lease(elected + just_before(LEASE_DURATION), &node("w", 1))
    );
    assert!(
        !f.take_silent(elected + LEASE_DURATION)
            .contains(&NodeState::Gone)
    );
    assert_eq!(f.take_silent(elected + GONE_AFTER), [NodeState::Gone]);
}

/// Guards against a leader that declares nodes gone after a stall during which it could not answer
/// their heartbeats.
#[test]
fn silence_counts_anew_after_a_stall_of_the_leader() {
    let now = Instant::now();
    let mut f = Fixture::new(now);
    f.join(now, 1);
    let resumed = now + Duration::from_secs(60);
    f.sessions.reset_silence(resumed);
    assert!(f.take_silent(resumed).is_empty());
    assert!(f.sessions.holds_lease(resumed, &node("w", 1)));
}

/// Guards against a control time that goes back when the wall clock of a new leader is behind, and
/// against one that ages every claim past its retention when that clock is far ahead.
#[test]
fn control_time_neither_goes_back_nor_jumps_far_ahead() {
    let now = Instant::now();
    let late = now + Duration::from_secs(2);
    let max_advance = Duration::from_secs(10);
    let at = |committed, host| ControlTime::new(now, committed, host, max_advance).at(late);
    assert_eq!(at(9_000, 5_000), 11_000);
    assert_eq!(at(5_000, 9_000), 11_000);
    assert_eq!(at(5_000, 9_000_000), 17_000);
    assert_eq!(at(0, 9_000_000), 9_002_000);
}

/// Guards against a reported version that goes back when a heartbeat was resent to another member
/// and arrives after a later one.
#[test]
fn a_resent_heartbeat_does_not_lower_versions() {
    let now = Instant::now();
    let mut f = Fixture::new(now);
    f.join(now, 1);
    for (config, routing) in [(3, 8), (2, 7)] {
        let mut heartbeat = heartbeat(1, NodeState::Active);
        heartbeat.config_version = config;
        heartbeat.routing_version = routing;
        let known = f.state.nodes().get("w");
        f.sessions.record_heartbeat(now, f.conn, &heartbeat, known);
    }
    let session = f.sessions.get("w").unwrap();
    assert_eq!(session.reported_version, Some(3));
    assert_eq!(session.routing_version, 8);
}
