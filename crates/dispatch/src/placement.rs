//! Placement of a step's tasks on endpoints.
//!
//! Designed for many small jobs submitted at several entries, near the capacity of the fleet, on
//! endpoints of different speed. Each task goes to the endpoint with the earliest expected end.
//! Expected waits are weighted more than run times: other entries place tasks at the same moment,
//! which makes waits less certain. A job ends with its last task, so a plan is judged by that
//! task.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::SliceRandom as _;

use sassafras_util::Name;

use crate::host::Host;
use crate::job::Resources;

/// Endpoints drawn at random for each task, of which the best is chosen. Entries place tasks at
/// the same moment on views that are some milliseconds old; if each compared all endpoints, all
/// would choose the same few. With four draws two entries seldom collide, and a draw without a
/// good endpoint is rare.
const CANDIDATE_DRAWS: usize = 4;
/// Weight of the expected wait relative to the run time when endpoints are compared.
const WAIT_WEIGHT: f64 = 4.0;
/// Round trip to another availability zone.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(2);
/// Suspect endpoints are avoided while they are at most this share of the pool. If more fail, the
/// cause is taken to be the tasks.
const MAX_SUSPECT_SHARE: f64 = 0.3;

/// Tasks to place.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Time of the placement.
    pub now: Instant,
    /// Pool that may run the tasks.
    pub pool: &'a Name,
    /// Number of tasks.
    pub tasks: u32,
    /// Priority of the tasks, if those of lower priorities make room for them.
    pub priority: Option<u32>,
    /// Time left until the response-time objective of the job.
    pub time_left: Duration,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Expected run time of each task.
    pub estimate: Duration,
    /// Label that the endpoint must have.
    pub label: Option<&'a Name>,
    /// Rack that holds the data.
    pub rack: Option<&'a Name>,
    /// Most tasks of the step on one endpoint; 0 sets no limit.
    pub endpoint_limit: u32,
    /// Agents to use only if there is no other.
    pub avoid: &'a [Name],
    /// Number of tasks of the step already placed at each agent.
    pub placed: &'a [(Name, u32)],
    /// Availability zone of the entry.
    pub zone: &'a Name,
    /// Factor on the run time away from the rack of the data.
    pub remote_factor: f64,
}

/// The place of one task.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The agent.
    pub agent: Name,
    /// Expected wait for capacity there.
    pub wait: Duration,
    /// Expected time from the start of the task until its end is known.
    pub run: Duration,
}

/// Result of a placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// For each placed task, where it goes.
    pub agents: Vec<Place>,
    /// Longest expected wait for capacity.
    pub wait: Duration,
    /// Expected time until the last task ends.
    pub finish: Duration,
}

impl Plan {
    /// Returns the largest share of the time that a task could wait which it is expected to wait, if
    /// `left` is the time left until the objective of the job; infinite if there is no such time.
    pub fn strain(&self, left: Duration) -> f64 {
        let strain = |place: &Place| {
            let spare = left.saturating_sub(place.run);
            match place.wait {
                Duration::ZERO => 0.0,
                wait => wait.as_secs_f64() / spare.as_secs_f64(),
            }
        };
        self.agents.iter().map(strain).fold(0.0, f64::max)
    }
}

/// An endpoint considered for placement.
#[derive(Debug)]
struct Candidate {
    agent: Name,
    free: Resources,
    wait: Duration,
    run_time: Duration,
    /// Round trip to the endpoint's availability zone.
    zone_delay: Duration,
    /// Whether the endpoint is on the rack of the data; true if the data is on no rack.
    local: bool,
    /// Share of the endpoint's processors that one task takes.
    cpu_share: f64,
    /// Number of further tasks that may be placed on the endpoint.
    remaining: u32,
}

impl Candidate {
    fn wait_for(&self, needs: &Resources) -> Duration {
        if self.free.holds(needs) {
            Duration::ZERO
        } else {
            self.wait
        }
    }

    fn finish_for(&self, needs: &Resources) -> Duration {
        self.wait_for(needs) + self.run_time + self.zone_delay
    }

    /// Returns the cost by which endpoints are compared.
    fn cost(&self, needs: &Resources) -> Duration {
        self.wait_for(needs).mul_f64(WAIT_WEIGHT) + self.run_time + self.zone_delay
    }

    /// Accounts for a task placed on the endpoint.
    fn add_task(&mut self, needs: &Resources) {
        if self.free.holds(needs) {
            self.free = self.free.minus(*needs);
        } else {
            self.wait += self.run_time.mul_f64(self.cpu_share);
        }
        self.remaining -= 1;
    }
}

/// Places tasks until all are placed or no endpoint is left.
pub fn place<'a>(
    rng: &mut impl Rng,
    hosts: impl Iterator<Item = &'a Host> + Clone,
    demand: &Demand<'_>,
) -> Plan {
    let mut candidates = find_candidates(hosts.clone(), demand, true);
    if candidates.is_empty() {
        candidates = find_candidates(hosts, demand, false);
    }
    let mut plan = Plan::default();
    for _ in 0..demand.tasks {
        let Some(best) = choose_candidate(rng, &candidates, demand) else {
            break;
        };
        let candidate = &mut candidates[best];
        plan.wait = plan.wait.max(candidate.wait_for(&demand.needs));
        plan.finish = plan.finish.max(candidate.finish_for(&demand.needs));
        let wait = candidate.wait_for(&demand.needs);
        plan.agents.push(Place {
            agent: candidate.agent.clone(),
            wait,
            run: candidate.run_time + candidate.zone_delay,
        });
        candidate.add_task(&demand.needs);
    }
    plan
}

/// Draws candidates at random, only from those on the rack of the data if there are any, and returns
/// the best of them. With a priority, a task that would have to wait there goes to the best of some
/// free ones instead, if there are any. If the task would end after the time left, returns the best of
/// all candidates.
fn choose_candidate(
    rng: &mut impl Rng,
    candidates: &[Candidate],
    demand: &Demand<'_>,
) -> Option<usize> {
    let mut available: Vec<usize> = (0..candidates.len())
        .filter(|i| candidates[*i].remaining > 0)
        .collect();
    // Local candidates come first.
    available.sort_by_key(|i| !candidates[*i].local);
    let local_count = available.iter().filter(|i| candidates[**i].local).count();
    let needs = &demand.needs;
    let best = |indices: &[usize]| {
        indices
            .iter()
            .copied()
            .min_by_key(|i| candidates[*i].cost(needs))
    };
    let eligible = if local_count > 0 {
        local_count
    } else {
        available.len()
    };
    let (drawn, _) = available[..eligible].partial_shuffle(rng, CANDIDATE_DRAWS);
    let found = best(drawn)?;
    if demand.priority.is_some() && !candidates[found].wait_for(needs).is_zero() {
        // Drawn as well, since the best of all would be the choice of every entry.
        let free = |i: &usize| {
            let candidate = &candidates[*i];
            let in_time = candidate.finish_for(needs) <= demand.time_left;
            in_time && candidate.wait_for(needs).is_zero()
        };
        let mut free: Vec<usize> = available[..eligible].iter().copied().filter(free).collect();
        let (drawn, _) = free.partial_shuffle(rng, CANDIDATE_DRAWS);
        if let Some(chosen) = best(drawn) {
            return Some(chosen);
        }
    }
    if candidates[found].finish_for(needs) > demand.time_left {
        return best(&available);
    }
    Some(found)
}

/// Returns the endpoints that can run the tasks. If `strict`, leaves out agents to avoid, and suspect
/// endpoints unless they are due for a probe or are more than `MAX_SUSPECT_SHARE` of the pool.
fn find_candidates<'a>(
    hosts: impl Iterator<Item = &'a Host> + Clone,
    demand: &Demand<'_>,
    strict: bool,
) -> Vec<Candidate> {
    let pool = hosts.filter(|h| h.is_watched() && h.serves(demand.pool));
    let (mut all, mut suspect) = (0, 0);
    for host in pool.clone() {
        all += 1;
        suspect += u32::from(host.view.suspect);
    }
    let avoid_suspects = f64::from(suspect) <= MAX_SUSPECT_SHARE * f64::from(all);
    let mut found = Vec::new();
    for host in pool {
        let view = &host.view;
        let probing = host.runs.is_empty() && view.probe;
        if strict && view.suspect && avoid_suspects && !probing {
            continue;
        }
        if strict && demand.avoid.contains(&host.node.name) {
            continue;
        }
        let has_label = demand.label.is_none_or(|l| view.labels.contains(l));
        if !has_label || !view.capacity.holds(&demand.needs) {
            continue;
        }
        let placed = demand
            .placed
            .iter()
            .find(|(agent, _)| *agent == host.node.name);
        let placed = placed.map_or(0, |(_, n)| *n);
        let mut remaining = match demand.endpoint_limit {
            0 => u32::MAX,
            limit => limit.saturating_sub(placed),
        };
        if view.suspect && avoid_suspects {
            remaining = remaining.min(1);
        }
        let local = demand.rack.is_none_or(|r| view.labels.contains(r));
        let remote_factor = if local { 1.0 } else { demand.remote_factor };
        found.push(Candidate {
            agent: host.node.name.clone(),
            free: host.free(),
            wait: host.expected_wait(demand.now, demand.priority),
            run_time: demand.estimate.mul_f64(view.pace * remote_factor),
            zone_delay: if host.zone == *demand.zone {
                Duration::ZERO
            } else {
                CROSS_ZONE_DELAY
            },
            cpu_share: f64::from(demand.needs.cpu) / f64::from(view.capacity.cpu.max(1)),
            local,
            remaining,
        });
    }
    found
}
