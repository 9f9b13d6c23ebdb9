//! Weighted fair queuing among teams, first in first out among the jobs of a team.
//!
//! Each team has a virtual time that grows with every unit it takes, by the slot time that its
//! tasks use on average over its weight; so teams share slot time, not starts. The waiting team with the smallest virtual time is served next. A team that was
//! idle starts at the present virtual time, so that idleness earns no credit.

use std::collections::VecDeque;
use std::time::Duration;

use sassafras_util::FastMap;
use sassafras_util::Name;

/// Virtual time of a microsecond of slot time at weight 1; keeps the division by a weight exact
/// enough for weights up to 100.
const SCALE: u64 = 1000;
/// Slot time assumed for a team whose tasks were not yet observed.
const FIRST_COST: Duration = Duration::from_millis(100);
/// Least slot time charged, so that no team takes units for nothing.
const MIN_COST: Duration = Duration::from_millis(1);
/// The newest observation counts for one part in this many.
const SMOOTHING: u64 = 8;

#[derive(Debug)]
struct Lane<K> {
    weight: u32,
    tag: u64,
    jobs: VecDeque<(K, u32)>,
}

/// A queue of demands in units, keyed by team and by job within the team.
///
/// ```
/// use sassafras_policy::FairQueue;
/// use sassafras_util::Name;
///
/// let (a, b) = (Name::from("a"), Name::from("b"));
/// let mut queue = FairQueue::new();
/// queue.push(&a, 2, "a-job", 4);
/// queue.push(&b, 1, "b-job", 2);
/// let first: Vec<_> = std::iter::from_fn(|| queue.pop()).take(3).collect();
/// assert_eq!(first.iter().filter(|k| **k == "a-job").count(), 2);
/// ```
#[derive(Debug)]
pub struct FairQueue<K> {
    lanes: FastMap<Name, Lane<K>>,
    costs: FastMap<Name, u64>,
    now: u64,
    len: usize,
}

impl<K: Clone + Eq> Default for FairQueue<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Clone + Eq> FairQueue<K> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            lanes: FastMap::default(),
            costs: FastMap::default(),
            now: 0,
            len: 0,
        }
    }

    /// Learns how long a unit of the team was in use.
    pub fn observe(&mut self, team: &Name, used: Duration) {
        let used = used.max(MIN_COST).as_micros() as u64;
        match self.costs.get_mut(team) {
            Some(cost) => *cost = (*cost * (SMOOTHING - 1) + used) / SMOOTHING,
            None => {
                self.costs.insert(team.clone(), used);
            }
        }
    }

    /// Adds `count` units for `key`; a key that already waits keeps its place.
    /// The team's weight becomes `weight`, at least 1.
    pub fn push(&mut self, team: &Name, weight: u32, key: K, count: u32) {
        if count == 0 {
            return;
        }
        let now = self.now;
        let lane = self.lanes.entry(team.clone()).or_insert_with(|| Lane {
            weight: 1,
            tag: now,
            jobs: VecDeque::new(),
        });
        lane.weight = weight.max(1);
        lane.tag = lane.tag.max(if lane.jobs.is_empty() { now } else { 0 });
        self.len += count as usize;
        match lane.jobs.iter_mut().find(|(k, _)| *k == key) {
            Some((_, waiting)) => *waiting += count,
            None => lane.jobs.push_back((key, count)),
        }
    }

    /// Takes one unit of the team that is due, from its oldest job.
    pub fn pop(&mut self) -> Option<K> {
        let waiting = self.lanes.iter_mut().filter(|(_, l)| !l.jobs.is_empty());
        // The name decides between equal tags, so that the order never depends on hashing.
        let (team, lane) = waiting.min_by(|(a, x), (b, y)| (x.tag, *a).cmp(&(y.tag, *b)))?;
        let (key, count) = lane.jobs.front_mut()?;
        let key = key.clone();
        *count -= 1;
        if *count == 0 {
            lane.jobs.pop_front();
        }
        self.now = self.now.max(lane.tag);
        let cost = self.costs.get(team).copied();
        let cost = cost.unwrap_or(FIRST_COST.as_micros() as u64);
        lane.tag += cost * SCALE / u64::from(lane.weight);
        self.len -= 1;
        if self.len == 0 {
            // Nobody waits, so no team is owed anything.
            self.lanes.clear();
        }
        Some(key)
    }

    /// Removes up to `count` units of `key` and returns how many there were.
    pub fn withdraw(&mut self, team: &Name, key: &K, count: u32) -> u32 {
        let Some(lane) = self.lanes.get_mut(team) else {
            return 0;
        };
        let Some(at) = lane.jobs.iter().position(|(k, _)| k == key) else {
            return 0;
        };
        let taken = count.min(lane.jobs[at].1);
        lane.jobs[at].1 -= taken;
        if lane.jobs[at].1 == 0 {
            lane.jobs.remove(at);
        }
        self.len -= taken as usize;
        taken
    }

    /// Removes every unit whose key `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.jobs.retain(|(key, _)| keep(key));
        }
        let units = |l: &Lane<K>| l.jobs.iter().map(|(_, n)| *n as usize).sum::<usize>();
        self.len = self.lanes.values().map(units).sum();
    }

    /// Returns the number of units that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Reports whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
