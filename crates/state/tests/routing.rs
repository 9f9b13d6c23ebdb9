//! Tests of the routing table: version order, snapshots and documents.

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
        panic!("expected a routing reply");
    };
    reply
}

quickcheck! {
    /// Guards against replacing the table by an older one, or by a different one with the same
    /// version, for any order of arrival.
    fn only_higher_versions_replace_the_table(versions: Vec<u8>) -> bool {
        let mut state = State::default();
        let mut first = std::collections::BTreeMap::new();
        let mut highest = 0;
        for (index, version) in versions.into_iter().enumerate() {
            let version = u64::from(version) + 1;
            let document = format!("{index}");
            let reply = change(&mut state, table(version, &document));
            if reply.changed != (version > highest) {
                return false;
            }
            if version > highest {
                first.insert(version, document);
                highest = version;
            }
            let current = state.routing().table().unwrap();
            if current.version != highest || current.document != first[&highest].as_bytes() {
                return false;
            }
        }
        true
    }
}

/// Guards against a snapshot that loses or alters the table.
#[test]
fn snapshots_contain_the_table() {
    let mut state = State::default();
    change(&mut state, table(7, "seven"));
    let decoded = State::decode(&state.encode()).unwrap();
    assert_eq!(decoded, state);
}

/// Guards against sending the operator's document to entries.
#[test]
fn document_is_not_sent_to_entries() {
    let mut state = State::default();
    change(&mut state, table(7, "seven"));
    let sent = state.routing().newer(6).unwrap();
    assert!(sent.document.is_empty());
    assert_eq!(sent.routes.len(), 1);
    assert!(state.routing().newer(7).is_none());
}
