//! Tests of node events from sessions and operators.

use sassafras_state::Reply;
use sassafras_state::State;
use sassafras_wire::proto;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::command::Body;

fn apply_event(state: &mut State, incarnation: u64, to: NodeState, actor: &str) -> bool {
    let member = proto::Member {
        node: Some(proto::NodeRef {
            name: "w".to_owned(),
            incarnation,
        }),
        state: to.into(),
        ..proto::Member::default()
    };
    let event = proto::NodeEvent {
        member: Some(member),
        actor: actor.to_owned(),
        request_id: format!("r{}", state.applied()),
        ..proto::NodeEvent::default()
    };
    let command = proto::Command {
        control_ms: 0,
        body: Some(Body::Node(event)),
    };
    match state.apply(state.applied() + 1, &command) {
        Reply::Node(reply) => reply.accepted,
        other => panic!("{other:?}"),
    }
}

fn node_state(state: &State) -> NodeState {
    state.nodes().get("w").unwrap().member.state()
}

/// Guards against a heartbeat that overrides an operator's order.
#[test]
fn operator_orders_persist_across_heartbeats() {
    let mut state = State::default();
    assert!(!apply_event(&mut state, 1, NodeState::Paused, "ana"));
    assert!(apply_event(&mut state, 1, NodeState::Active, ""));
    assert!(apply_event(&mut state, 1, NodeState::Paused, "ana"));
    assert!(apply_event(&mut state, 1, NodeState::Suspect, ""));
    assert!(apply_event(&mut state, 1, NodeState::Active, ""));
    assert_eq!(node_state(&state), NodeState::Paused);
    assert!(apply_event(&mut state, 1, NodeState::Leaving, "ana"));
    assert_eq!(node_state(&state), NodeState::Leaving);
    assert!(apply_event(&mut state, 2, NodeState::Active, ""));
    assert_eq!(node_state(&state), NodeState::Active);
    assert!(!apply_event(&mut state, 1, NodeState::Active, ""));
}

/// Guards against an audit log that misses orders or is flooded by SUSPECT transitions.
#[test]
fn audit_log_records_joins_orders_and_departures() {
    let mut state = State::default();
    apply_event(&mut state, 1, NodeState::Active, "");
    apply_event(&mut state, 1, NodeState::Suspect, "");
    apply_event(&mut state, 1, NodeState::Active, "");
    apply_event(&mut state, 1, NodeState::Leaving, "ana");
    apply_event(&mut state, 1, NodeState::Gone, "");
    let records = state.audit(0, 100);
    let indices: Vec<u64> = records.iter().map(|r| r.index).collect();
    assert_eq!(indices, [1, 4, 5]);
    assert_eq!(records[1].actor, "ana");
    assert_eq!(state.audit(4, 100).len(), 1);
}
