//! Guards the routing table: which version is in force, and what is kept of it.

use quickcheck::quickcheck;

use sassafras_state::Reply;
use sassafras_state::State;
use sassafras_wire::proto;
use sassafras_wire::proto::command::Body;

fn table(version: u64, document: &str) -> proto::RoutingTable {
    proto::RoutingTable {
        version,
        routes: vec![proto::Route {
            name: document.to_owned(),
            ..proto::Route::default()
        }],
        document: document.as_bytes().to_vec().into(),
        ..proto::RoutingTable::default()
    }
}

fn change(state: &mut State, table: proto::RoutingTable) -> proto::RoutingReply {
    let command = proto::Command {
        control_ms: 0,
        body: Some(Body::Routing(table)),
    };
    let Reply::Routing(reply) = state.apply(state.applied() + 1, &command) else {
        panic!("the command is answered");
    };
    reply
}

quickcheck! {
    /// Guards against a table that is replaced by an older one, or by another one with the same
    /// version, in whatever order they arrive.
    fn highest_version_wins_and_never_changes(versions: Vec<u8>) -> bool {
        let mut state = State::default();
        let mut first = std::collections::BTreeMap::new();
        let mut highest = 0;
        for (at, version) in versions.into_iter().enumerate() {
            let version = u64::from(version) + 1;
            let document = format!("{at}");
            let reply = change(&mut state, table(version, &document));
            if reply.changed != (version > highest) {
                return false;
            }
            if version > highest {
                first.insert(version, document);
                highest = version;
            }
            let held = state.routing().table().unwrap();
            if held.version != highest || held.document != first[&highest].as_bytes() {
                return false;
            }
        }
        true
    }
}

/// Guards against a table that a snapshot loses or alters.
#[test]
fn snapshots_carry_the_table() {
    let mut state = State::default();
    change(&mut state, table(7, "seven"));
    let decoded = State::decode(&state.encode()).unwrap();
    assert_eq!(decoded, state);
}

/// Guards against sending operators' documents to every entry.
#[test]
fn entries_get_no_document() {
    let mut state = State::default();
    change(&mut state, table(7, "seven"));
    let sent = state.routing().newer(6).unwrap();
    assert!(sent.document.is_empty());
    assert_eq!(sent.routes.len(), 1);
    assert!(state.routing().newer(7).is_none());
}
