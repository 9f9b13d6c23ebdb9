//! Weighted fair queuing among teams, highest response ratio next among the jobs of a team.
//!
//! The response ratio of a job is its age over its ideal response time. Serving the highest
//! ratio first keeps short jobs from waiting behind long ones, and no job starves, since the
//! ratio of every waiting job grows. Jobs without a rank come first, in the order of arrival.
//!
//! Each team has a virtual time that grows with every unit it takes, by the slot time that its
//! tasks use on average over its weight; so teams share slot time, not starts. The waiting team with the smallest virtual time is served next. A team that was
//! idle starts at the present virtual time, so that idleness earns no credit.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

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

/// What decides among the jobs of one team.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    /// When the job was submitted.
    pub submitted: Instant,
    /// Expected response time of the job in an idle fleet.
    pub ideal: Duration,
}

impl Rank {
    /// Returns the job's age over its ideal response time.
    fn ratio(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.submitted);
        age.as_secs_f64() / self.ideal.max(MIN_COST).as_secs_f64()
    }
}

/// The units of one job that wait.
#[derive(Debug)]
struct Demand<K> {
    key: K,
    count: u32,
    rank: Option<Rank>,
}

impl<K> Demand<K> {
    fn ratio(&self, now: Instant) -> f64 {
        self.rank.map_or(f64::INFINITY, |r| r.ratio(now))
    }
}

#[derive(Debug)]
struct Lane<K> {
    weight: u32,
    tag: u64,
    jobs: VecDeque<Demand<K>>,
}

impl<K> Lane<K> {
    /// Returns the position of the job that is due, the oldest among equals.
    fn due(&self, now: Instant) -> usize {
        let ratios = self.jobs.iter().map(|j| j.ratio(now)).enumerate();
        let first = ratios.reduce(|best, next| if next.1 > best.1 { next } else { best });
        first.map_or(0, |(position, _)| position)
    }
}

/// A queue of demands in units, keyed by team and by job within the team.
///
/// ```
/// use sassafras_policy::FairQueue;
/// use sassafras_util::Name;
///
/// let (a, b) = (Name::from("a"), Name::from("b"));
/// let now = std::time::Instant::now();
/// let mut queue = FairQueue::new();
/// queue.push(&a, 2, "a-job", 4, None);
/// queue.push(&b, 1, "b-job", 2, None);
/// let first: Vec<_> = std::iter::from_fn(|| queue.pop(now)).take(3).collect();
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
    pub fn record_run_time(&mut self, team: &Name, used: Duration) {
        let used = used.max(MIN_COST).as_micros() as u64;
        match self.costs.get_mut(team) {
            Some(cost) => *cost = (*cost * (SMOOTHING - 1) + used) / SMOOTHING,
            None => {
                self.costs.insert(team.clone(), used);
            }
        }
    }

    /// Adds `count` units for `key`; a key that already waits keeps its place.
    /// The team's weight becomes `weight`, at least 1. Jobs without a rank are served before
    /// the others of their team.
    pub fn push(&mut self, team: &Name, weight: u32, key: K, count: u32, rank: Option<Rank>) {
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
        match lane.jobs.iter_mut().find(|j| j.key == key) {
            Some(job) => job.count += count,
            None => lane.jobs.push_back(Demand { key, count, rank }),
        }
    }

    /// Takes one unit of the team that is due, from its job with the highest response ratio.
    pub fn pop(&mut self, now: Instant) -> Option<K> {
        let waiting = self.lanes.iter_mut().filter(|(_, l)| !l.jobs.is_empty());
        // The name decides between equal tags, so that the order never depends on hashing.
        let (team, lane) = waiting.min_by(|(a, x), (b, y)| (x.tag, *a).cmp(&(y.tag, *b)))?;
        let position = lane.due(now);
        let job = lane.jobs.get_mut(position)?;
        let key = job.key.clone();
        job.count -= 1;
        if job.count == 0 {
            lane.jobs.remove(position);
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
    pub fn remove(&mut self, team: &Name, key: &K, count: u32) -> u32 {
        let Some(lane) = self.lanes.get_mut(team) else {
            return 0;
        };
        let Some(at) = lane.jobs.iter().position(|j| j.key == *key) else {
            return 0;
        };
        let taken = count.min(lane.jobs[at].count);
        lane.jobs[at].count -= taken;
        if lane.jobs[at].count == 0 {
            lane.jobs.remove(at);
        }
        self.len -= taken as usize;
        taken
    }

    /// Removes every unit whose key `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.jobs.retain(|j| keep(&j.key));
        }
        let units = |l: &Lane<K>| l.jobs.iter().map(|j| j.count as usize).sum::<usize>();
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
