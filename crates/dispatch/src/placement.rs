//! Where the tasks of a step go.
//!
//! Load pattern: many small jobs at several entries, near the room of the fleet, on endpoints of
//! different speed. Each task goes where it is expected to end first. An expected wait is less
//! certain than a run time, since other entries send tasks at the same moment, so it counts more.
//! A job is answered when its last task ends, so the plan is judged by that task.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::SliceRandom as _;

use sassafras_util::Name;

use crate::host::Host;
use crate::job::Resources;

/// Endpoints among which one is chosen for each task. Entries decide at the same moment on views
/// that are some milliseconds old; if all compared all endpoints, they would all send to the same
/// few. With four draws two entries seldom meet, and a draw without any good endpoint is rare.
const CHOICES: usize = 4;
/// Factor on an expected wait when endpoints are compared.
const WAIT_WEIGHT: f64 = 4.0;
/// Added to the expected end in another availability zone, for the way there and back.
const OTHER_ZONE: Duration = Duration::from_millis(2);
/// Suspect endpoints are avoided while they are at most this part of the pool. If more fail, the
/// cause is the tasks.
const MAX_SUSPECT: f64 = 0.3;

/// The tasks to place.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The moment of the placement.
    pub now: Instant,
    /// The pool that may run them.
    pub pool: &'a Name,
    /// Number of tasks.
    pub tasks: u32,
    /// The tasks should have ended after this time.
    pub limit: Duration,
    /// What each needs.
    pub needs: Resources,
    /// Declared run time of each.
    pub estimate: Duration,
    /// A label that the endpoint must have.
    pub label: Option<&'a Name>,
    /// The rack where the data is.
    pub rack: Option<&'a Name>,
    /// Most tasks on one endpoint; 0 sets no limit.
    pub endpoint_limit: u32,
    /// Agents not to use, unless there is no other.
    pub avoid: &'a [Name],
    /// Tasks of the step that each agent runs already.
    pub placed: &'a [(Name, u32)],
    /// Availability zone of the entry.
    pub zone: &'a Name,
    /// Factor on the run time away from the rack of the data.
    pub remote: f64,
}

/// A placement of tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The agent of each task that was placed, and the expected wait there.
    pub agents: Vec<(Name, Duration)>,
    /// Longest expected wait for room.
    pub wait: Duration,
    /// Expected time until the last task ends.
    pub finish: Duration,
}

/// One endpoint during the planning.
#[derive(Debug)]
struct Candidate {
    agent: Name,
    free: Resources,
    wait: Duration,
    run: Duration,
    away: Duration,
    /// Whether the data is on the endpoint's rack, or there is none.
    near: bool,
    /// Share of the endpoint that one task takes.
    share: f64,
    left: u32,
}

impl Candidate {
    fn wait_for(&self, needs: &Resources) -> Duration {
        if self.free.holds(needs) {
            Duration::ZERO
        } else {
            self.wait
        }
    }

    fn end_of(&self, needs: &Resources) -> Duration {
        self.wait_for(needs) + self.run + self.away
    }

    /// Returns what endpoints are compared by.
    fn cost(&self, needs: &Resources) -> Duration {
        self.wait_for(needs).mul_f64(WAIT_WEIGHT) + self.run + self.away
    }

    fn take(&mut self, needs: &Resources) {
        if self.free.holds(needs) {
            self.free = self.free.minus(*needs);
        } else {
            self.wait += self.run.mul_f64(self.share);
        }
        self.left -= 1;
    }
}

/// Places as many of the tasks as there are endpoints for.
pub fn place<'a>(
    rng: &mut impl Rng,
    hosts: impl Iterator<Item = &'a Host> + Clone,
    demand: &Demand<'_>,
) -> Plan {
    let mut candidates = candidates(hosts.clone(), demand, true);
    if candidates.is_empty() {
        candidates = self::candidates(hosts, demand, false);
    }
    let mut plan = Plan::default();
    for _ in 0..demand.tasks {
        let Some(best) = choose(rng, &candidates, demand) else {
            break;
        };
        let candidate = &mut candidates[best];
        plan.wait = plan.wait.max(candidate.wait_for(&demand.needs));
        plan.finish = plan.finish.max(candidate.end_of(&demand.needs));
        let wait = candidate.wait_for(&demand.needs);
        plan.agents.push((candidate.agent.clone(), wait));
        candidate.take(&demand.needs);
    }
    plan
}

/// Returns the best of some candidates drawn at random, from those near the data if there are any,
/// or the best of all if none of those ends the next task in time.
fn choose(rng: &mut impl Rng, candidates: &[Candidate], demand: &Demand<'_>) -> Option<usize> {
    let mut open: Vec<usize> = (0..candidates.len())
        .filter(|i| candidates[*i].left > 0)
        .collect();
    // Those near the data come first.
    open.sort_by_key(|i| !candidates[*i].near);
    let near = open.iter().filter(|i| candidates[**i].near).count();
    let needs = &demand.needs;
    let best = |of: &[usize]| {
        of.iter()
            .copied()
            .min_by_key(|i| candidates[*i].cost(needs))
    };
    let eligible = if near > 0 { near } else { open.len() };
    let (drawn, _) = open[..eligible].partial_shuffle(rng, CHOICES);
    let found = best(drawn)?;
    if candidates[found].end_of(needs) > demand.limit {
        return best(&open);
    }
    Some(found)
}

fn candidates<'a>(
    hosts: impl Iterator<Item = &'a Host> + Clone,
    demand: &Demand<'_>,
    choosy: bool,
) -> Vec<Candidate> {
    let pool = hosts.filter(|h| h.serves(demand.pool));
    let (mut all, mut suspect) = (0, 0);
    for host in pool.clone() {
        all += 1;
        suspect += u32::from(host.view.suspect);
    }
    let trusted = f64::from(suspect) <= MAX_SUSPECT * f64::from(all);
    let mut found = Vec::new();
    for host in pool {
        let view = &host.view;
        let probing = host.runs.is_empty() && view.probe;
        if choosy && view.suspect && trusted && !probing {
            continue;
        }
        if choosy && demand.avoid.contains(&host.node.name) {
            continue;
        }
        let labelled = demand.label.is_none_or(|l| view.labels.contains(l));
        if !labelled || !view.room.holds(&demand.needs) {
            continue;
        }
        let placed = demand
            .placed
            .iter()
            .find(|(agent, _)| *agent == host.node.name);
        let placed = placed.map_or(0, |(_, n)| *n);
        let mut left = match demand.endpoint_limit {
            0 => u32::MAX,
            spread => spread.saturating_sub(placed),
        };
        if view.suspect && trusted {
            left = left.min(1);
        }
        let near = demand.rack.is_none_or(|r| view.labels.contains(r));
        let remote = if near { 1.0 } else { demand.remote };
        found.push(Candidate {
            agent: host.node.name.clone(),
            free: host.free(),
            wait: host.wait(demand.now),
            run: demand.estimate.mul_f64(view.pace * remote),
            away: if host.zone == *demand.zone {
                Duration::ZERO
            } else {
                OTHER_ZONE
            },
            share: f64::from(demand.needs.cpu) / f64::from(view.room.cpu.max(1)),
            near,
            left,
        });
    }
    found
}
