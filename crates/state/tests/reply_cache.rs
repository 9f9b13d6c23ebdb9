//! Tests of the cache of replies to operator requests.

use sassafras_state::MAX_CACHED_REPLIES;
use sassafras_state::Reply;
use sassafras_state::State;
use sassafras_wire::proto;
use sassafras_wire::proto::command::Body;
use sassafras_wire::proto::config_reply::Kind;

fn change(state: &mut State, base: usize, request: usize) -> proto::ConfigReply {
    let change = proto::ConfigChange {
        base: base as u64,
        request_id: request.to_string(),
        operator: "ana".to_owned(),
        removals: vec!["item".to_owned()],
        ..proto::ConfigChange::default()
    };
    let command = proto::Command {
        control_ms: 0,
        body: Some(Body::Config(change)),
    };
    match state.apply(state.applied() + 1, &command) {
        Reply::Config(reply) => reply,
        other => panic!("{other:?}"),
    }
}

/// Guards against replies that are evicted too early or kept without bound, including on a
/// member that restores a snapshot.
#[test]
fn replies_to_the_latest_requests_are_cached() {
    let mut state = State::default();
    for n in 0..=MAX_CACHED_REPLIES {
        assert_eq!(change(&mut state, n, n).kind(), Kind::Accepted);
    }
    let mut restored = State::decode(&state.encode()).unwrap();
    for state in [&mut state, &mut restored] {
        let oldest = change(state, 1, 1);
        assert_eq!((oldest.kind(), oldest.version), (Kind::Accepted, 2));
        assert_eq!(
            change(state, 0, 0).kind(),
            Kind::Conflict,
            "the reply to request 0 was not evicted"
        );
    }
}
