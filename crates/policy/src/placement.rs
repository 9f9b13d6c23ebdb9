//! Placement policies, which assign the tasks of a job to agents.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::RngExt as _;
use sassafras_util::Error;

/// Agents whose speeds differ by less than this factor count as equally fast, so that zone and
/// rack decide between them.
const SPEED_TOLERANCE: f64 = 1.05;

/// An agent that may be assigned tasks.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Number of tasks that the agent runs concurrently.
    pub slots: u32,
    /// Number of occupied slots plus the number of tasks waiting for a slot.
    pub busy: u32,
    /// Run time of a task on the agent as a multiple of the mean of its kind.
    pub slowness: f64,
    /// Mean run time of the tasks in the slots, over all kinds.
    pub mean_run_time: Duration,
    /// Whether the agent is in another availability zone.
    pub remote: bool,
    /// Index of the rack.
    pub rack: u32,
}

impl Candidate {
    /// Creates a candidate for an idle agent in the local zone.
    pub fn new(slots: u32, slowness: f64) -> Self {
        Self {
            slots,
            busy: 0,
            slowness,
            mean_run_time: Duration::from_millis(100),
            remote: false,
            rack: 0,
        }
    }
}

/// Returns the index of the candidate chosen for each task. Tasks are given by their expected
/// run times, longest first. The first argument is state kept between calls.
pub type PlaceFn = fn(&mut u64, &[Candidate], &[Duration]) -> Vec<usize>;

/// A placement policy.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name of the policy in the settings.
    pub name: &'static str,
    /// Whether tasks wait for a slot granted by the agent instead of queuing at the agent.
    pub grants: bool,
    /// Chooses an agent for each task. Returns an empty vector if there are no candidates.
    pub place: PlaceFn,
}

/// All policies, starting with the default.
const POLICIES: [Policy; 4] = [
    Policy {
        name: "expected",
        grants: true,
        place: expected,
    },
    Policy {
        name: "random",
        grants: false,
        place: random,
    },
    Policy {
        name: "round_robin",
        grants: false,
        place: round_robin,
    },
    Policy {
        name: "least_in_flight",
        grants: false,
        place: least_in_flight,
    },
];

impl Default for Policy {
    fn default() -> Self {
        POLICIES[0]
    }
}

impl FromStr for Policy {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = POLICIES.iter().find(|p| p.name == text).copied();
        found.ok_or_else(|| Error::new(format!("unknown placement policy {text:?}")))
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)
    }
}

/// The next free slot of an agent, ordered by the expected finish time of the next task there.
#[derive(PartialEq)]
struct NextSlot {
    finish: f64,
    rack_use: u32,
    /// Breaks ties between otherwise equal agents; differs from call to call.
    tie_break: usize,
    index: usize,
}

impl Eq for NextSlot {}

impl PartialOrd for NextSlot {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for NextSlot {
    /// Compares in reverse, because [`BinaryHeap`] is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .finish
            .total_cmp(&self.finish)
            .then(other.rack_use.cmp(&self.rack_use))
            .then(other.tie_break.cmp(&self.tie_break))
    }
}

/// List scheduling: assigns each task, in the given order, to the agent with the earliest
/// expected finish time.
fn expected(cursor: &mut u64, candidates: &[Candidate], tasks: &[Duration]) -> Vec<usize> {
    let Some(first) = tasks.first() else {
        return Vec::new();
    };
    *cursor = cursor.wrapping_add(1);
    // The k-th additional task on an agent starts when its k-th slot becomes free. Rotating the
    // tie-break on each call spreads jobs across equal agents.
    let count = candidates.len();
    let offset = (*cursor as usize) % count.max(1);
    let mut assigned = vec![0_u32; candidates.len()];
    let mut racks = vec![
        0_u32;
        candidates
            .iter()
            .map(|c| c.rack as usize + 1)
            .max()
            .unwrap_or(0)
    ];
    let entry = |index: usize, assigned, rack_use, task: &Duration| NextSlot {
        finish: expected_finish(&candidates[index], assigned, task.as_secs_f64()),
        rack_use,
        tie_break: (index + offset) % count,
        index,
    };
    let mut heap: BinaryHeap<NextSlot> = (0..count).map(|i| entry(i, 0, 0, first)).collect();
    let mut placed = Vec::with_capacity(tasks.len());
    for (nth, task) in tasks.iter().enumerate() {
        let Some(best) = heap.pop() else { break };
        let index = best.index;
        placed.push(index);
        assigned[index] += 1;
        let rack = &mut racks[candidates[index].rack as usize];
        *rack += 1;
        let next_task = tasks.get(nth + 1).unwrap_or(task);
        heap.push(entry(index, assigned[index], *rack, next_task));
    }
    placed
}

/// Returns the expected time in seconds until a task finishes that is assigned after `assigned`
/// other tasks.
fn expected_finish(candidate: &Candidate, assigned: u32, task: f64) -> f64 {
    // Slowness is rounded to steps of the tolerance, so that noise in the observed run times
    // does not outweigh zone and rack.
    let steps = (candidate.slowness.ln() / SPEED_TOLERANCE.ln()).round();
    let zone_factor = if candidate.remote {
        SPEED_TOLERANCE
    } else {
        1.0
    };
    start_delay(candidate, assigned) + task * SPEED_TOLERANCE.powf(steps) * zone_factor
}

/// Returns the expected time in seconds until a slot is free for a task that is assigned after
/// `assigned` other tasks.
fn start_delay(candidate: &Candidate, assigned: u32) -> f64 {
    let slots = candidate.slots.max(1);
    let ahead = candidate.busy + assigned;
    if ahead < slots {
        return 0.0;
    }
    let rounds = f64::from(ahead - slots + 1) / f64::from(slots);
    rounds * candidate.mean_run_time.as_secs_f64() * candidate.slowness
}

/// Assigns each task to an agent chosen uniformly at random.
fn random(_: &mut u64, candidates: &[Candidate], tasks: &[Duration]) -> Vec<usize> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut rng = rand::rng();
    tasks
        .iter()
        .map(|_| rng.random_range(0..candidates.len()))
        .collect()
}

/// Assigns tasks to the agents in rotation.
fn round_robin(cursor: &mut u64, candidates: &[Candidate], tasks: &[Duration]) -> Vec<usize> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut next = || {
        *cursor = cursor.wrapping_add(1);
        (*cursor % candidates.len() as u64) as usize
    };
    tasks.iter().map(|_| next()).collect()
}

/// Assigns each task to the agent with the fewest tasks in flight.
fn least_in_flight(cursor: &mut u64, candidates: &[Candidate], tasks: &[Duration]) -> Vec<usize> {
    if candidates.is_empty() {
        return Vec::new();
    }
    *cursor = cursor.wrapping_add(1);
    let offset = (*cursor % candidates.len() as u64) as usize;
    let mut heap: BinaryHeap<_> = candidates
        .iter()
        .enumerate()
        .map(|(i, c)| std::cmp::Reverse((c.busy, (i + offset) % candidates.len(), i)))
        .collect();
    let mut pick = || {
        let std::cmp::Reverse((busy, order, index)) = heap.pop()?;
        heap.push(std::cmp::Reverse((busy + 1, order, index)));
        Some(index)
    };
    tasks.iter().filter_map(|_| pick()).collect()
}
