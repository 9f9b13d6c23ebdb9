//! Where the tasks of a job should run.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::RngExt as _;
use sassafras_util::Error;

/// Speeds within this ratio count as equal, so that zone and rack decide.
const EQUAL_SPEED: f64 = 1.05;

/// What placement knows about one usable agent.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Tasks that run there at a time.
    pub slots: u32,
    /// Slots that are taken, and tasks that wait for one.
    pub busy: u32,
    /// Run time of a task there relative to the mean of its kind.
    pub slowness: f64,
    /// Mean run time of the tasks that occupy the slots, over all kinds.
    pub mean_run_time: Duration,
    /// Whether the agent is in another availability zone.
    pub remote: bool,
    /// Number of the rack.
    pub rack: u32,
}

impl Candidate {
    /// Creates the view of an idle agent in the local zone.
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

/// Chooses an agent, by its position in the views, for each task, longest task first.
/// The first argument is state that the function may use between calls.
pub type Place = fn(&mut u64, &[Candidate], &[Duration]) -> Vec<usize>;

/// A placement policy.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The name in the settings.
    pub name: &'static str,
    /// Whether tasks wait for granted slots; otherwise they queue at the agent.
    pub grants: bool,
    /// Chooses the agents. Returns an empty vector when there are none.
    pub place: Place,
}

/// All policies, the default one first.
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
        found.ok_or_else(|| Error::new(format!("unknown placement {text:?}")))
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)
    }
}

/// An agent's next slot in the list schedule, least finish first.
#[derive(PartialEq)]
struct Next {
    finish: f64,
    rack_use: u32,
    /// Decides between equal agents; differs from call to call.
    order: usize,
    index: usize,
}

impl Eq for Next {}

impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Next {
    /// Orders reversed, since [`BinaryHeap`] returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .finish
            .total_cmp(&self.finish)
            .then(other.rack_use.cmp(&self.rack_use))
            .then(other.order.cmp(&self.order))
    }
}

/// Places each task, in the given order, where it is expected to finish first.
fn expected(cursor: &mut u64, views: &[Candidate], tasks: &[Duration]) -> Vec<usize> {
    let Some(first) = tasks.first() else {
        return Vec::new();
    };
    *cursor = cursor.wrapping_add(1);
    // Each agent is a queue of slots: the k-th further task there starts when its k-th slot
    // comes free. A moving order among equal agents spreads jobs over them.
    let count = views.len();
    let offset = (*cursor as usize) % count.max(1);
    let mut taken = vec![0_u32; views.len()];
    let mut racks = vec![0_u32; views.iter().map(|v| v.rack as usize + 1).max().unwrap_or(0)];
    let entry = |index: usize, taken, rack_use, task: &Duration| Next {
        finish: finish(&views[index], taken, task.as_secs_f64()),
        rack_use,
        order: (index + offset) % count,
        index,
    };
    let mut heap: BinaryHeap<Next> = (0..count).map(|i| entry(i, 0, 0, first)).collect();
    let mut placed = Vec::with_capacity(tasks.len());
    for (nth, task) in tasks.iter().enumerate() {
        let Some(best) = heap.pop() else { break };
        let index = best.index;
        placed.push(index);
        taken[index] += 1;
        let rack = &mut racks[views[index].rack as usize];
        *rack += 1;
        let following = tasks.get(nth + 1).unwrap_or(task);
        heap.push(entry(index, taken[index], *rack, following));
    }
    placed
}

/// Expected time until a task has ended that is sent after `taken` further ones.
fn finish(view: &Candidate, taken: u32, task: f64) -> f64 {
    // Differences within the noise of the learned speeds must not outweigh zone and rack.
    let steps = (view.slowness.ln() / EQUAL_SPEED.ln()).round();
    let zone = if view.remote { EQUAL_SPEED } else { 1.0 };
    start_delay(view, taken) + task * EQUAL_SPEED.powf(steps) * zone
}

/// Expected time until a slot is free for one more task after `taken` further ones.
fn start_delay(view: &Candidate, taken: u32) -> f64 {
    let slots = view.slots.max(1);
    let ahead = view.busy + taken;
    if ahead < slots {
        return 0.0;
    }
    let rounds = f64::from(ahead - slots + 1) / f64::from(slots);
    rounds * view.mean_run_time.as_secs_f64() * view.slowness
}

/// Places each task on an agent drawn at random.
fn random(_: &mut u64, views: &[Candidate], tasks: &[Duration]) -> Vec<usize> {
    if views.is_empty() {
        return Vec::new();
    }
    let mut rng = rand::rng();
    tasks
        .iter()
        .map(|_| rng.random_range(0..views.len()))
        .collect()
}

/// Places tasks on the agents in turn.
fn round_robin(cursor: &mut u64, views: &[Candidate], tasks: &[Duration]) -> Vec<usize> {
    if views.is_empty() {
        return Vec::new();
    }
    let mut next = || {
        *cursor = cursor.wrapping_add(1);
        (*cursor % views.len() as u64) as usize
    };
    tasks.iter().map(|_| next()).collect()
}

/// Places each task on the agent with the fewest tasks in flight.
fn least_in_flight(cursor: &mut u64, views: &[Candidate], tasks: &[Duration]) -> Vec<usize> {
    if views.is_empty() {
        return Vec::new();
    }
    *cursor = cursor.wrapping_add(1);
    let offset = (*cursor % views.len() as u64) as usize;
    let mut heap: BinaryHeap<_> = views
        .iter()
        .enumerate()
        .map(|(i, v)| std::cmp::Reverse((v.busy, (i + offset) % views.len(), i)))
        .collect();
    let mut pick = || {
        let std::cmp::Reverse((busy, order, index)) = heap.pop()?;
        heap.push(std::cmp::Reverse((busy + 1, order, index)));
        Some(index)
    };
    tasks.iter().filter_map(|_| pick()).collect()
}
