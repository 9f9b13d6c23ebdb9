//! Which agents an entry watches, that is, whose views it keeps recent.
//!
//! Designed for hundreds of agents and entries with a tenth of a core. Views and pulses of all
//! agents would cost a small entry most of its processor, and each agent would pay for every entry.
//! An entry therefore watches a part of the fleet and leaves its other links idle. It places tasks
//! at watched agents only. Agents that a job needs in particular, because of its data, are woken
//! when the job arrives, which takes one round trip.
//!
//! The agents of a set come from all availability zones alike, so that the loss of one zone takes
//! an equal part of every set. Sets of different entries are drawn independently, and a set changes
//! by one agent when an agent comes or goes.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;

/// Smallest number of watched agents, and all of them in a fleet up to this size. Random draws
/// among so many still find an endpoint with free capacity at nine tenths of the fleet's load.
const MIN_WATCHED: usize = 32;
/// Largest share of the watched capacity that the tasks of one entry may take. Other entries use
/// the same endpoints, so an entry with more callers needs more of them.
const MAX_USED_SHARE: f64 = 0.125;
/// Processor time per second that one watched agent costs an entry, on a full core.
const WATCH_COST: Duration = Duration::from_micros(350);
/// Largest share of an entry's processor time spent on watched agents.
const MAX_WATCH_SHARE: f64 = 0.3;

/// A set gets smaller only when the entry has needed less for this long.
const SHRINK_DELAY: Duration = Duration::from_secs(5);

/// What an entry uses of the agents that it watches.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Watched agents that accept tasks.
    pub accepting: usize,
    /// Processor capacity of these, in thousandths of a core.
    pub capacity: u64,
    /// Processor capacity taken by the entry's own tasks.
    pub used: u64,
}

/// Returns how many agents an entry with this share of a core should watch.
pub fn wanted_size(usage: Usage, cores: f64) -> usize {
    let affordable = MAX_WATCH_SHARE * cores / WATCH_COST.as_secs_f64();
    let limit = (affordable as usize).max(MIN_WATCHED);
    if usage.accepting == 0 || usage.capacity == 0 {
        return MIN_WATCHED;
    }
    let average = usage.capacity as f64 / usage.accepting as f64;
    let needed = usage.used as f64 / (MAX_USED_SHARE * average);
    (needed.ceil() as usize).clamp(MIN_WATCHED, limit)
}

/// The size of a set of watched agents. It grows at once and shrinks after a delay.
#[derive(Clone, Debug)]
pub struct SetSize {
    size: usize,
    needed_at: Instant,
}

impl SetSize {
    /// Creates the smallest size.
    pub fn new(now: Instant) -> Self {
        Self {
            size: MIN_WATCHED,
            needed_at: now,
        }
    }

    /// Returns the size for an entry that needs `wanted` agents now.
    pub fn update(&mut self, now: Instant, wanted: usize) -> usize {
        let elapsed = now.saturating_duration_since(self.needed_at);
        if wanted >= self.size || elapsed >= SHRINK_DELAY {
            self.size = wanted;
            self.needed_at = now;
        }
        self.size
    }
}

/// Returns the `size` agents that an entry watches, given the names and availability zones of all.
pub fn choose<'a>(
    entry: &Name,
    agents: impl Iterator<Item = (&'a Name, &'a Name)>,
    size: usize,
) -> Vec<Name> {
    // Fixed keys, so that a restarted entry chooses the same agents.
    let hasher = ahash::RandomState::with_seeds(1, 2, 3, 4);
    let mut zones = FastMap::<&Name, Vec<(u64, &Name)>>::default();
    for (agent, zone) in agents {
        let rank = hasher.hash_one((entry, agent));
        zones.entry(zone).or_default().push((rank, agent));
    }
    // The place of an agent is its rank within its zone; zones follow each other by a rank of their
    // own, so that the remainder does not go to the same zone at every entry.
    let mut places = Vec::new();
    for (zone, mut ranked) in zones {
        ranked.sort_unstable();
        let zone_rank = hasher.hash_one((entry, zone));
        let ranked = ranked.into_iter().enumerate();
        places.extend(ranked.map(|(place, (_, agent))| (place, zone_rank, agent)));
    }
    places.sort_unstable();
    let chosen = places.into_iter().take(size);
    chosen.map(|(_, _, agent)| agent.clone()).collect()
}
