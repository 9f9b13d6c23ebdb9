//! Guards what sessions and operators may change about a node.

use sassafras_state::Reply;
use sassafras_state::State;
use sassafras_wire::proto;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::command::Body;

fn event(state: &mut State, incarnation: u64, to: NodeState, actor: &str) -> bool {
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

fn now(state: &State) -> NodeState {
    state.nodes().get("w").unwrap().member.state()
}

/// Guards against a heartbeat that lifts an operator's order.
#[test]
fn an_order_outlasts_heartbeats() {
    let mut state = State::default();
    assert!(!event(&mut state, 1, NodeState::Paused, "ana"));
    assert!(event(&mut state, 1, NodeState::Active, ""));
    assert!(event(&mut state, 1, NodeState::Paused, "ana"));
    assert!(event(&mut state, 1, NodeState::Suspect, ""));
    assert!(event(&mut state, 1, NodeState::Active, ""));
    assert_eq!(now(&state), NodeState::Paused);
    assert!(event(&mut state, 1, NodeState::Leaving, "ana"));
    assert_eq!(now(&state), NodeState::Leaving);
    assert!(event(&mut state, 2, NodeState::Active, ""));
    assert_eq!(now(&state), NodeState::Active);
    assert!(!event(&mut state, 1, NodeState::Active, ""));
}

/// Guards against an audit trail that misses orders or drowns in suspicions.
#[test]
fn the_audit_trail_has_arrivals_orders_and_departures() {
    let mut state = State::default();
    event(&mut state, 1, NodeState::Active, "");
    event(&mut state, 1, NodeState::Suspect, "");
    event(&mut state, 1, NodeState::Active, "");
    event(&mut state, 1, NodeState::Leaving, "ana");
    event(&mut state, 1, NodeState::Gone, "");
    let trail = state.audit(0, 100);
    let indices: Vec<u64> = trail.iter().map(|r| r.index).collect();
    assert_eq!(indices, [1, 4, 5]);
    assert_eq!(trail[1].actor, "ana");
    assert_eq!(state.audit(4, 100).len(), 1);
}
