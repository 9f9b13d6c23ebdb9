//! The routing table at an entry.

pub mod check;

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::proto::RoutingTable;

use crate::job::Route;

/// How long removed routes are known. No best-effort job outlives its route for longer.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// The routes in force, by host.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    version: u64,
    by_host: FastMap<Box<str>, Vec<(Box<str>, Route)>>,
    limits: Limits,
    /// Host and prefix of the routes that were removed, and when.
    removed: Vec<(Box<str>, Box<str>, Instant)>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time for a request head to arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits before the first table: 16 KiB heads within 3 s, 256 KiB bodies, 15 s
    /// idle.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Routes {
    /// Returns the version of the table; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the names of all routes.
    pub fn names(&self) -> FastSet<Name> {
        let routes = self.by_host.values().flatten();
        routes.map(|(_, route)| route.name.clone()).collect()
    }

    /// Returns the routes of the next table, which know the removed ones for some time.
    #[must_use]
    pub fn succeeded_by(&self, table: &RoutingTable, now: Instant) -> Self {
        let mut next = Self::from(table);
        let recent = |at: &Instant| now.saturating_duration_since(*at) < REMOVED_RETENTION;
        let removed = self.removed.iter().filter(|(.., at)| recent(at));
        next.removed = removed.cloned().collect();
        let kept = next.by_host.iter();
        let kept = kept.flat_map(|(host, routes)| routes.iter().map(move |(p, _)| (&**host, &**p)));
        let kept: FastSet<(&str, &str)> = kept.collect();
        let earlier = self.by_host.iter();
        let earlier = earlier.flat_map(|(host, routes)| routes.iter().map(move |(p, _)| (host, p)));
        let removed = earlier.filter(|(host, prefix)| !kept.contains(&(&***host, &***prefix)));
        let removed: Vec<_> = removed.map(|(h, p)| (h.clone(), p.clone(), now)).collect();
        next.removed.extend(removed);
        next
    }

    /// Returns the path after the prefix of a route that was removed a short time ago.
    pub fn find_removed<'a>(&self, now: Instant, host: &str, path: &'a str) -> Option<&'a str> {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < REMOVED_RETENTION;
        let mut removed = self
            .removed
            .iter()
            .filter(|(h, _, at)| **h == *host && recent(at));
        removed.find_map(|(_, prefix, _)| path.strip_prefix(&**prefix))
    }

    /// Returns the route of a request, and the path after the route's prefix.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let routes = self.by_host.get(host)?;
        let mut routes = routes.iter();
        routes.find_map(|(prefix, route)| Some((route, path.strip_prefix(&**prefix)?)))
    }
}

impl From<&RoutingTable> for Routes {
    fn from(table: &RoutingTable) -> Self {
        let mut by_host = FastMap::<Box<str>, Vec<(Box<str>, Route)>>::default();
        for route in &table.routes {
            let entry = Route {
                name: Name::from(route.name.as_str()),
                pool: Name::from(route.pool.as_str()),
                priority: route.priority,
                max_attempts: route.max_attempts.max(1),
                slack: route.slack,
                target: Duration::from_millis(route.target_ms.into()),
            };
            let routes = by_host.entry(route.host.as_str().into()).or_default();
            routes.push((route.prefix.as_str().into(), entry));
        }
        // The longest prefix matches first.
        for routes in by_host.values_mut() {
            routes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        let limits = table.limits.unwrap_or_default();
        let defaults = Limits::default();
        let bytes = |n: u32, default| if n == 0 { default } else { n as usize };
        let time = |ms: u32, default| match ms {
            0 => default,
            ms => Duration::from_millis(ms.into()),
        };
        Self {
            version: table.version,
            by_host,
            removed: Vec::new(),
            limits: Limits {
                header_bytes: bytes(limits.header_bytes, defaults.header_bytes),
                body_bytes: bytes(limits.body_bytes, defaults.body_bytes),
                header_timeout: time(limits.header_ms, defaults.header_timeout),
                idle_timeout: time(limits.idle_ms, defaults.idle_timeout),
            },
        }
    }
}
