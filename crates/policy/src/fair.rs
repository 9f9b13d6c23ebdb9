//! Weighted fair queuing across teams, and highest response ratio next within a team.
//!
//! The response ratio of a job is its age divided by its ideal response time. Serving the
//! highest ratio first keeps short jobs from waiting behind long ones without starving long
//! jobs, because the ratio of every waiting job grows. Jobs without a rank are served first,
//! in order of arrival.
//!
//! Each team has a virtual time. Serving one unit advances it by the team's average slot time
//! per task divided by the team's weight, so teams share slot time rather than task starts. The
//! waiting team with the smallest virtual time is served next. A team that becomes active again
//! starts at the current virtual time, so it accumulates no credit while idle.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;

/// Virtual time units per microsecond of slot time at weight 1. Large enough to keep rounding
/// errors small for weights up to 100.
const VIRTUAL_TIME_SCALE: u64 = 1000;
/// Slot time assumed for a team until a run time is recorded.
const INITIAL_COST: Duration = Duration::from_millis(100);
/// Minimum slot time charged per unit, so that very short tasks are not free.
const MIN_COST: Duration = Duration::from_millis(1);
/// A new run time has a weight of `1 / SMOOTHING_DIVISOR` in the moving average.
const SMOOTHING_DIVISOR: u64 = 8;

/// Determines the order of the jobs of one team.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    /// When the job was submitted.
    pub submitted: Instant,
    /// Expected response time of the job on an otherwise idle cluster.
    pub ideal: Duration,
}

impl Rank {
    /// Returns the job's age divided by its ideal response time.
    fn response_ratio(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.submitted);
        age.as_secs_f64() / self.ideal.max(MIN_COST).as_secs_f64()
    }
}

/// The waiting units of one job.
#[derive(Debug)]
struct QueuedJob<K> {
    key: K,
    count: u32,
    rank: Option<Rank>,
}

impl<K> QueuedJob<K> {
    fn response_ratio(&self, now: Instant) -> f64 {
        self.rank.map_or(f64::INFINITY, |r| r.response_ratio(now))
    }
}

#[derive(Debug)]
struct TeamQueue<K> {
    weight: u32,
    virtual_time: u64,
    jobs: VecDeque<QueuedJob<K>>,
}

impl<K> TeamQueue<K> {
    /// Returns the position of the job with the highest response ratio, the oldest among equals.
    fn next_job(&self, now: Instant) -> usize {
        let ratios = self.jobs.iter().map(|j| j.response_ratio(now)).enumerate();
        let first = ratios.reduce(|best, next| if next.1 > best.1 { next } else { best });
        first.map_or(0, |(position, _)| position)
    }
}

/// A queue of units of work, grouped by team and by job within a team.
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
    teams: FastMap<Name, TeamQueue<K>>,
    costs: FastMap<Name, u64>,
    virtual_now: u64,
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
            teams: FastMap::default(),
            costs: FastMap::default(),
            virtual_now: 0,
            len: 0,
        }
    }

    /// Updates the average slot time per task of a team with the run time `used`.
    pub fn record_run_time(&mut self, team: &Name, used: Duration) {
        let used = used.max(MIN_COST).as_micros() as u64;
        match self.costs.get_mut(team) {
            Some(cost) => *cost = (*cost * (SMOOTHING_DIVISOR - 1) + used) / SMOOTHING_DIVISOR,
            None => {
                self.costs.insert(team.clone(), used);
            }
        }
    }

    /// Adds `count` units for `key`. A key that is already queued keeps its position.
    ///
    /// Sets the team's weight to `weight`, or 1 if that is 0. Jobs without a rank are served
    /// before the ranked jobs of their team.
    pub fn push(&mut self, team: &Name, weight: u32, key: K, count: u32, rank: Option<Rank>) {
        if count == 0 {
            return;
        }
        let now = self.virtual_now;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight: 1,
            virtual_time: now,
            jobs: VecDeque::new(),
        });
        queue.weight = weight.max(1);
        queue.virtual_time = queue
            .virtual_time
            .max(if queue.jobs.is_empty() { now } else { 0 });
        self.len += count as usize;
        match queue.jobs.iter_mut().find(|j| j.key == key) {
            Some(job) => job.count += count,
            None => queue.jobs.push_back(QueuedJob { key, count, rank }),
        }
    }

    /// Removes one unit from the team with the smallest virtual time, and returns the key of its
    /// job, the one with the highest response ratio.
    pub fn pop(&mut self, now: Instant) -> Option<K> {
        let waiting = self.teams.iter_mut().filter(|(_, q)| !q.jobs.is_empty());
        // Ties are broken by name, so that the order does not depend on hashing.
        let (team, queue) =
            waiting.min_by(|(a, x), (b, y)| (x.virtual_time, *a).cmp(&(y.virtual_time, *b)))?;
        let position = queue.next_job(now);
        let job = queue.jobs.get_mut(position)?;
        let key = job.key.clone();
        job.count -= 1;
        if job.count == 0 {
            queue.jobs.remove(position);
        }
        self.virtual_now = self.virtual_now.max(queue.virtual_time);
        let cost = self.costs.get(team).copied();
        let cost = cost.unwrap_or(INITIAL_COST.as_micros() as u64);
        queue.virtual_time += cost * VIRTUAL_TIME_SCALE / u64::from(queue.weight);
        self.len -= 1;
        if self.len == 0 {
            // No team is waiting, so none is ahead of or behind another.
            self.teams.clear();
        }
        Some(key)
    }

    /// Removes up to `count` units of `key` and returns the number of units removed.
    pub fn remove(&mut self, team: &Name, key: &K, count: u32) -> u32 {
        let Some(queue) = self.teams.get_mut(team) else {
            return 0;
        };
        let Some(position) = queue.jobs.iter().position(|j| j.key == *key) else {
            return 0;
        };
        let taken = count.min(queue.jobs[position].count);
        queue.jobs[position].count -= taken;
        if queue.jobs[position].count == 0 {
            queue.jobs.remove(position);
        }
        self.len -= taken as usize;
        taken
    }

    /// Removes all units of the keys for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        for queue in self.teams.values_mut() {
            queue.jobs.retain(|j| keep(&j.key));
        }
        let units = |q: &TeamQueue<K>| q.jobs.iter().map(|j| j.count as usize).sum::<usize>();
        self.len = self.teams.values().map(units).sum();
    }

    /// Returns the number of queued units.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
