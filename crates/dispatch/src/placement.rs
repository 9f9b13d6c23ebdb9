//! Where the tasks of a step go.
//!
//! Load pattern: many small jobs at several entries, near the room of the fleet, on endpoints of
//! different speed. Each task goes where it is expected to end first. An expected wait is less
//! certain than a run time, since other entries send tasks at the same moment, so it counts more.
//! A job is answered when its last task ends, so the plan is judged by that task.

use std::time::Duration;

use rand::Rng;
use rand::RngExt as _;

use sassafras_util::Name;

use crate::host::Host;
use crate::job::Resources;

/// A choice counts as equal to the best within this part of it, so that entries that decide at
/// the same moment do not all choose the same endpoint.
const EQUAL_WITHIN: f64 = 0.08;
/// Factor on an expected wait when endpoints are compared.
const WAIT_WEIGHT: f64 = 2.0;
/// Added to the expected end in another availability zone, for the way there and back.
const OTHER_ZONE: Duration = Duration::from_millis(2);
/// Suspect endpoints are avoided while they are at most this part of the pool. If more fail, the
/// cause is the tasks.
const MAX_SUSPECT: f64 = 0.3;

/// The tasks to place.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The pool that may run them.
    pub pool: &'a Name,
    /// Number of tasks.
    pub tasks: u32,
    /// What each needs.
    pub needs: Resources,
    /// Declared run time of each.
    pub estimate: Duration,
    /// A label that the endpoint must have.
    pub label: Option<&'a Name>,
    /// The rack where the data is.
    pub rack: Option<&'a Name>,
    /// Most tasks on one endpoint; 0 sets no limit.
    pub spread: u32,
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
        let Some(best) = choose(rng, &candidates, &demand.needs) else {
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

/// Returns a candidate that ends the next task about as early as any.
fn choose(rng: &mut impl Rng, candidates: &[Candidate], needs: &Resources) -> Option<usize> {
    let open = || candidates.iter().enumerate().filter(|(_, c)| c.left > 0);
    let best = open().map(|(_, c)| c.cost(needs)).min()?;
    let limit = best.mul_f64(1.0 + EQUAL_WITHIN);
    let mut chosen = None;
    let mut total = 0.0;
    // Among equals, free room weighs, so that endpoints fill evenly.
    for (index, candidate) in open().filter(|(_, c)| c.cost(needs) <= limit) {
        let weight = f64::from(candidate.free.cpu) + 1.0;
        total += weight;
        if rng.random_range(0.0..total) < weight {
            chosen = Some(index);
        }
    }
    chosen
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
        let mut left = match demand.spread {
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
            wait: host.wait(),
            run: demand.estimate.mul_f64(view.pace * remote),
            away: if host.zone == *demand.zone {
                Duration::ZERO
            } else {
                OTHER_ZONE
            },
            share: f64::from(demand.needs.cpu) / f64::from(view.room.cpu.max(1)),
            left,
        });
    }
    found
}
