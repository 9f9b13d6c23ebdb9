//! Which jobs are accepted when there is too little capacity, and which classes are protected.
//!
//! Designed for load around and above the capacity of the fleet:
//!
//! - A job that waits for capacity may miss its objective, since expected waits are uncertain. A late
//!   answer is worth little, and its work delays others. Each route learns from its jobs how much of
//!   the time that a job could wait it may plan to wait, so that at most `MAX_MISSED_SHARE` end late.
//! - Jobs of a low priority often have the most time, and would take the capacity as it becomes free
//!   while more urgent ones are refused. While a route misses more than that share of its jobs, the
//!   routes of lower priorities to the same pool yield: their jobs are refused unless they hardly have to
//!   wait.
//! - Under overload that lasts, the lowest priority would get nothing. A route that is served less
//!   than `MIN_SERVED_SHARE` as often as all jobs is protected: its jobs are accepted with the highest
//!   priority until it has caught up.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;

use crate::job::Route;

/// Largest share of the jobs of a route that may be late or refused before others yield, and largest
/// share of late answers.
const MAX_MISSED_SHARE: f64 = 0.05;
/// Step by which a late job raises the reserve of its route.
const RESERVE_STEP: f64 = 0.2;
/// Largest reserve. Jobs that plan to wait for less than the rest show whether it is still needed.
const MAX_RESERVE: f64 = 0.8;
/// Share of the wait that a job may plan otherwise which a route gives up while it yields.
const YIELDED_SHARE: f64 = 0.75;
/// Strain from which a late job counts as one that has waited too long.
const MIN_STRAIN: f64 = 0.1;
/// A route whose jobs are served less often than all jobs, by this factor, is protected. No route is to
/// fall below half of the share of all, and protection takes some jobs to have an effect.
const MIN_SERVED_SHARE: f64 = 0.6;
/// Time in which the weight of a decided job halves in the shares that are served.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(10);
/// The same for the shares by which routes yield, which have to follow a burst.
const PRESSURE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Decided jobs of a route, weighted by age, below which nothing is concluded about it.
const MIN_JOBS: f64 = 5.0;

/// Result of a job, as it counts for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Service {
    /// Its answer met its objective.
    InTime,
    /// Its answer came later because it waited for capacity.
    Late,
    /// It was refused.
    Refused,
}

/// Decayed counts of decided jobs.
#[derive(Clone, Copy, Debug)]
struct Counts {
    at: Instant,
    half_life: Duration,
    jobs: f64,
    in_time: f64,
}

impl Counts {
    fn new(now: Instant, half_life: Duration) -> Self {
        Self {
            at: now,
            half_life,
            jobs: 0.0,
            in_time: 0.0,
        }
    }

    fn decayed(self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let factor = 0.5_f64.powf(age / self.half_life.as_secs_f64());
        Self {
            at: now,
            jobs: self.jobs * factor,
            in_time: self.in_time * factor,
            ..self
        }
    }

    fn add(&mut self, now: Instant, in_time: bool) {
        *self = self.decayed(now);
        self.jobs += 1.0;
        self.in_time += f64::from(u8::from(in_time));
    }

    fn share(&self) -> f64 {
        self.in_time / self.jobs.max(f64::MIN_POSITIVE)
    }
}

/// What is known of the jobs of one route.
#[derive(Clone, Debug)]
struct RouteRecord {
    pool: Name,
    priority: u32,
    /// Over a long time, for the protection of the route.
    served: Counts,
    /// Over a short time, for routes of lower priorities to yield.
    recent: Counts,
    /// Share of the time that a job could wait which is kept in reserve.
    reserve: f64,
}

/// How a job is handled that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// With the priority of its route.
    Normal,
    /// With the highest priority.
    Protected,
    /// It may hardly wait, since jobs of higher priorities miss their objectives.
    Yields,
}

/// Decides which jobs are accepted, from the results of earlier ones.
#[derive(Debug)]
pub struct Admission {
    routes: FastMap<Name, RouteRecord>,
    all: Counts,
}

impl Admission {
    /// Creates an admission that has seen no jobs.
    pub fn new(now: Instant) -> Self {
        Self {
            routes: FastMap::default(),
            all: Counts::new(now, SHARE_HALF_LIFE),
        }
    }

    /// Drops the records of all routes that `keep` rejects.
    pub fn retain_routes(&mut self, keep: impl Fn(&Name) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Returns how the next job of a route is handled.
    pub fn standing(&self, now: Instant, route: &Route) -> Standing {
        let above = self.routes.values();
        let mut above = above.filter(|r| r.pool == route.pool && r.priority < route.priority);
        if !above.any(|r| r.misses(now)) {
            return Standing::Normal;
        }
        let all = self.all.decayed(now).share();
        let served = self.routes.get(&route.name).map(|r| r.served.decayed(now));
        let behind =
            served.is_some_and(|s| s.jobs >= MIN_JOBS && s.share() < MIN_SERVED_SHARE * all);
        if behind {
            Standing::Protected
        } else {
            Standing::Yields
        }
    }

    /// Reports whether a job may be accepted that plans to wait for this share of the time that it
    /// could wait.
    pub fn allows(&self, route: &Name, standing: Standing, strain: f64) -> bool {
        let reserve = self.routes.get(route).map_or(0.0, |r| r.reserve);
        let yielded = match standing {
            Standing::Yields => YIELDED_SHARE,
            Standing::Normal | Standing::Protected => 0.0,
        };
        strain <= (1.0 - reserve) * (1.0 - yielded)
    }

    /// Records the result of a job that was accepted with this strain.
    pub fn record(&mut self, now: Instant, route: &Route, service: Service, strain: f64) {
        let record = self.routes.entry(route.name.clone());
        let record = record.or_insert_with(|| RouteRecord {
            pool: route.pool.clone(),
            priority: route.priority,
            served: Counts::new(now, SHARE_HALF_LIFE),
            recent: Counts::new(now, PRESSURE_HALF_LIFE),
            reserve: 0.0,
        });
        record.pool = route.pool.clone();
        record.priority = route.priority;
        let in_time = service == Service::InTime;
        record.served.add(now, in_time);
        // Late without a wait is not a sign of too little capacity.
        let missed =
            service == Service::Refused || (service == Service::Late && strain >= MIN_STRAIN);
        record.recent.add(now, !missed);
        self.all.add(now, in_time);
        // The steps balance where the share of late jobs is `MAX_MISSED_SHARE`. A job that hardly waited
        // is late for other reasons.
        match service {
            Service::Late => {
                record.reserve += RESERVE_STEP * (1.0 - MAX_MISSED_SHARE) * strain.min(1.0);
            }
            Service::InTime => record.reserve -= RESERVE_STEP * MAX_MISSED_SHARE,
            Service::Refused => {}
        }
        record.reserve = record.reserve.clamp(0.0, MAX_RESERVE);
        metrics::gauge!("dispatch_reserve", "route" => route.name.to_string()).set(record.reserve);
    }
}

impl RouteRecord {
    /// Reports whether too many of its recent jobs were late or refused.
    fn misses(&self, now: Instant) -> bool {
        let recent = self.recent.decayed(now);
        recent.jobs >= MIN_JOBS && recent.share() < 1.0 - MAX_MISSED_SHARE
    }
}
