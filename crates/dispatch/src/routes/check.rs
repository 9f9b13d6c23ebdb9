//! Checks of a routing table before it is sent to the control group.

use sassafras_config::Finding;
use sassafras_util::FastMap;
use sassafras_wire::proto::Pool;
use sassafras_wire::proto::RequestLimits;
use sassafras_wire::proto::Route;
use sassafras_wire::proto::RoutingTable;

/// Returns what is wrong with a table, or probably not meant: entries that can never match, and limits
/// that contradict each other.
pub fn findings(table: &RoutingTable) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut places = FastMap::<(&str, &str), &Route>::default();
    for route in &table.routes {
        if let Some(reason) = unreachable_place(route) {
            found.push(error(route, reason));
        }
        match places.get(&(&*route.host, &*route.prefix)) {
            Some(first) => {
                let text = format!("never matches: {} has the same host and prefix", first.name);
                found.push(error(route, &text));
            }
            None => {
                places.insert((&route.host, &route.prefix), route);
            }
        }
        check_limits(route, &mut found);
    }
    check_overlaps(&table.routes, &mut found);
    check_pools(table, &mut found);
    if let Some(limits) = &table.limits {
        check_request_limits(limits, &mut found);
    }
    found
}

fn error(route: &Route, text: &str) -> Finding {
    Finding::error(format!("route {}: {text}", route.name))
}

fn warning(route: &Route, text: &str) -> Finding {
    Finding::warning(format!("route {}: {text}", route.name))
}

/// Returns why no request can have the host and prefix of a route, if so.
fn unreachable_place(route: &Route) -> Option<&'static str> {
    if route.host.contains(':') {
        Some("never matches: the port of a request's host is ignored")
    } else if route.host.chars().any(|c| c.is_ascii_uppercase()) {
        Some("never matches: the host of a request is compared in lower case")
    } else if !route.prefix.starts_with('/') {
        Some("never matches: the prefix does not begin with a slash")
    } else if route.prefix.contains(['?', '#']) {
        Some("never matches: the prefix is compared with the path only")
    } else {
        None
    }
}

fn check_limits(route: &Route, found: &mut Vec<Finding>) {
    if route.timeout_ms == 0 {
        found.push(error(route, "the timeout is 0"));
    } else if route.target_ms >= route.timeout_ms {
        let text = format!(
            "the objective of {} ms is not below the timeout of {} ms, so no answer can be late",
            route.target_ms, route.timeout_ms
        );
        found.push(warning(route, &text));
    }
    if route.slack < 1.0 {
        let text = format!(
            "the slack factor {} allows less time than the work takes",
            route.slack
        );
        found.push(warning(route, &text));
    }
    if route.max_attempts == 0 {
        found.push(warning(route, "0 attempts count as one"));
    }
}

/// Finds job ids of one route that the longer prefix of another takes.
fn check_overlaps(routes: &[Route], found: &mut Vec<Finding>) {
    for route in routes {
        let longer = routes.iter().filter(|r| r.host == route.host);
        for other in longer.filter(|r| r.prefix.len() > route.prefix.len()) {
            let rest = other.prefix.strip_prefix(&*route.prefix);
            if rest.is_some_and(|rest| rest.bytes().all(|b| b.is_ascii_hexdigit())) {
                let text = format!(
                    "jobs with some ids go to {}, whose prefix is longer",
                    other.name
                );
                found.push(warning(route, &text));
            }
        }
    }
}

fn check_pools(table: &RoutingTable, found: &mut Vec<Finding>) {
    for pool in &table.pools {
        let used = table.routes.iter().any(|r| r.pool == pool.name);
        let text = match (used, pool.standby) {
            (false, false) => "no route sends jobs to it",
            (true, true) => "routes send jobs to it, and its hosts are off",
            _ => continue,
        };
        found.push(Finding::warning(format!("pool {}: {text}", pool.name)));
    }
    for route in &table.routes {
        if !table.pools.iter().any(|p| p.name == route.pool) {
            found.push(error(route, "its pool does not exist"));
        }
    }
}

fn check_request_limits(limits: &RequestLimits, found: &mut Vec<Finding>) {
    if limits.idle_ms != 0 && limits.header_ms > limits.idle_ms {
        found.push(Finding::warning(format!(
            "limits: a connection is closed after {} ms, before the {} ms for a request head are over",
            limits.idle_ms, limits.header_ms
        )));
    }
}

/// Returns how a table differs from the one in force, one line for each difference: `+` for what is added,
/// `-` for what is removed, and `~` for what changes.
pub fn differences(held: &RoutingTable, table: &RoutingTable) -> Vec<String> {
    let mut lines = Vec::new();
    let routes = |t: &RoutingTable| -> Vec<(String, String)> {
        let routes = t.routes.iter();
        routes
            .map(|r| (r.name.clone(), describe_route(r)))
            .collect()
    };
    compare("route", &routes(held), &routes(table), &mut lines);
    let pools = |t: &RoutingTable| -> Vec<(String, String)> {
        let pools = t.pools.iter();
        pools.map(|p| (p.name.clone(), describe_pool(p))).collect()
    };
    compare("pool", &pools(held), &pools(table), &mut lines);
    let limits = |t: &RoutingTable| describe_limits(&t.limits.unwrap_or_default());
    if limits(held) != limits(table) {
        lines.push(format!(
            "~ limits: {} (was {})",
            limits(table),
            limits(held)
        ));
    }
    lines
}

/// Returns the finding that a table would change nothing, if its version is not above that in force.
pub fn outdated(held: &RoutingTable, table: &RoutingTable) -> Option<Finding> {
    let text = format!(
        "version {} is not above version {} in force, so the table changes nothing",
        table.version, held.version
    );
    (table.version <= held.version).then(|| Finding::error(text))
}

/// Names of entries with their descriptions.
type Entries = [(String, String)];

fn compare(what: &str, held: &Entries, entries: &Entries, lines: &mut Vec<String>) {
    let before: FastMap<&str, &str> = held.iter().map(|(n, d)| (&**n, &**d)).collect();
    let after: FastMap<&str, &str> = entries.iter().map(|(n, d)| (&**n, &**d)).collect();
    for (name, text) in entries {
        match before.get(&**name) {
            None => lines.push(format!("+ {what} {name}: {text}")),
            Some(old) if *old != text => lines.push(format!("~ {what} {name}: {text} (was {old})")),
            Some(_) => {}
        }
    }
    for (name, text) in held {
        if !after.contains_key(&**name) {
            lines.push(format!("- {what} {name}: {text}"));
        }
    }
}

fn describe_route(r: &Route) -> String {
    format!(
        "{}{} pool={} timeout_ms={} target_ms={} priority={} max_attempts={} slack={}",
        r.host, r.prefix, r.pool, r.timeout_ms, r.target_ms, r.priority, r.max_attempts, r.slack
    )
}

fn describe_pool(p: &Pool) -> String {
    format!(
        "connections={} guarded={} standby={}",
        p.connections, p.guarded, p.standby
    )
}

fn describe_limits(l: &RequestLimits) -> String {
    format!(
        "header_bytes={} body_bytes={} header_ms={} idle_ms={}",
        l.header_bytes, l.body_bytes, l.header_ms, l.idle_ms
    )
}
