//! Tests of the routing table at an entry.

use sassafras_dispatch::routes::Routes;
use sassafras_util::Name;
use sassafras_wire::proto::Route;
use sassafras_wire::proto::RoutingTable;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        ..Route::default()
    }
}

/// Guards against keeping per-route state of removed routes, and against dropping that of current
/// ones.
#[test]
fn names_include_the_routes_of_all_hosts() {
    let table = RoutingTable {
        routes: vec![
            route("a", "h1", "/a/"),
            route("b", "h1", "/a/b/"),
            route("c", "h2", "/"),
        ],
        ..RoutingTable::default()
    };
    let names = Routes::from(&table).names();
    assert_eq!(names.len(), 3);
    assert!(
        ["a", "b", "c"]
            .iter()
            .all(|n| names.contains(&Name::from(*n)))
    );
}
