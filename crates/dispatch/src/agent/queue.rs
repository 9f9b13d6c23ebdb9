//! Start order of queued tasks, the expected wait of another task, and which task to give up.
//!
//! Designed for overload that lasts some seconds. Tasks start by priority, or those with the earliest
//! queue deadline first, as their entry asks. A task that cannot start in time is returned at its
//! deadline at the latest and does not delay others.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::proto::start_tasks::Order;

use super::run::Run;
use super::run::RunState;
use super::shares::LEVELS;
use crate::job::Resources;

/// Longest wait reported to entries.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(60);

/// Share of the time that a task may wait within which it is to start where this displaces only tasks of
/// a lower priority. Expected starts are uncertain by some of the rest.
const DISPLACING_SHARE: f64 = 0.6;

/// Returns the queued runs in start order.
pub(super) fn start_order(runs: &FastMap<(Name, u64), Run>) -> Vec<(Name, u64)> {
    let queued = runs.iter().filter(|(_, r)| r.state == RunState::Queued);
    let mut queued: Vec<_> = queued.collect();
    queued.sort_by_key(|(id, r)| {
        let rank = match r.order {
            Order::ByDeadline | Order::Late => 0,
            Order::ByPriority => r.priority,
        };
        (rank, r.queue_deadline, r.priority, r.received, id.1)
    });
    queued.into_iter().map(|(id, _)| id.clone()).collect()
}

/// Returns the expected wait for capacity of one more task of average size, in milliseconds.
pub(super) fn expected_wait(
    now: Instant,
    capacity: Resources,
    pace: f64,
    runs: &FastMap<(Name, u64), Run>,
) -> u32 {
    if runs.is_empty() || capacity.cpu == 0 {
        return 0;
    }
    let (mut queued_cpu, mut total_cpu) = (0.0, 0.0);
    let mut work = 0.0;
    let mut releases: Vec<(Duration, f64)> = Vec::new();
    for run in runs.values() {
        let cpu = f64::from(run.needs.cpu);
        total_cpu += cpu;
        if run.state == RunState::Queued {
            queued_cpu += cpu;
            work += cpu * run.estimate.as_secs_f64() * pace;
        } else {
            releases.push((run.remaining_time(now, pace), cpu));
        }
    }
    let average = total_cpu / runs.len() as f64;
    let running: f64 = releases.iter().map(|(_, cpu)| cpu).sum();
    let mut missing = queued_cpu + average - (f64::from(capacity.cpu) - running);
    if missing <= 0.0 {
        return 0;
    }
    releases.sort_unstable_by_key(|(remaining, _)| *remaining);
    for (remaining, cpu) in releases {
        missing -= cpu;
        if missing <= 0.0 {
            return remaining.as_millis() as u32;
        }
    }
    // The queue exceeds what is running: the wait is the time to process the queue.
    let wait = Duration::from_secs_f64(work / f64::from(capacity.cpu));
    wait.min(MAX_WAIT).as_millis() as u32
}

/// Expected starts of the queued tasks, and waits of a newcomer.
#[derive(Debug, Default)]
pub(super) struct Projection {
    /// Queued runs in start order, each with its expected wait from now on.
    pub(super) starts: Vec<((Name, u64), Duration)>,
    /// Expected wait of one more task of average size, by priority.
    pub(super) waits: Vec<Duration>,
}

/// Capacity over time: what is free, and when running and planned tasks release theirs.
#[derive(Clone, Debug)]
struct Timeline {
    at: Duration,
    free: u32,
    releases: BinaryHeap<Reverse<(Duration, u32)>>,
}

impl Timeline {
    /// Advances to the time at which `cpu` is free. Stops at the last release.
    fn advance_until_free(&mut self, cpu: u32) -> Duration {
        while self.free < cpu {
            let Some(Reverse((at, released))) = self.releases.pop() else {
                break;
            };
            self.at = self.at.max(at);
            self.free += released;
        }
        self.at
    }

    /// Adds a queued run, and returns when it starts.
    fn add(&mut self, run: &Run, capacity: Resources, pace: f64) -> Duration {
        let cpu = run.needs.cpu.min(capacity.cpu);
        let start = self.advance_until_free(cpu);
        self.free = self.free.saturating_sub(cpu);
        let end = start + run.estimate.mul_f64(pace);
        self.releases.push(Reverse((end, cpu)));
        start
    }
}

/// Projects when the queued tasks start, if they and the running ones take as long as expected.
pub(super) fn project(
    now: Instant,
    capacity: Resources,
    pace: f64,
    runs: &FastMap<(Name, u64), Run>,
) -> Projection {
    let running = runs.values().filter(|r| r.state != RunState::Queued);
    let running = running.map(|r| (r.remaining_time(now, pace), r.needs.cpu));
    let releases: BinaryHeap<_> = running.map(Reverse).collect();
    let used: u32 = releases.iter().map(|Reverse((_, cpu))| cpu).sum();
    let begin = Timeline {
        at: Duration::ZERO,
        free: capacity.cpu.saturating_sub(used),
        releases,
    };
    let order = start_order(runs);
    let mut projection = Projection::default();
    let mut timeline = begin.clone();
    for id in &order {
        let start = timeline.add(&runs[id], capacity, pace);
        projection.starts.push((id.clone(), start));
    }
    let total: u64 = runs.values().map(|r| u64::from(r.needs.cpu)).sum();
    let average = (total / runs.len().max(1) as u64) as u32;
    // Tasks of late jobs have long deadlines, so that most start after a newcomer.
    let ahead: Vec<&Run> = order.iter().map(|id| &runs[id]).collect();
    let ahead = ahead.into_iter().filter(|r| r.order != Order::Late);
    let lowest = ahead.clone().map(|r| r.priority).max().unwrap_or(0);
    for level in 0..=lowest.min(LEVELS as u32 - 1) {
        let mut timeline = begin.clone();
        for run in ahead.clone().filter(|r| r.priority <= level) {
            timeline.add(run, capacity, pace);
        }
        let wait = timeline.advance_until_free(average.min(capacity.cpu));
        projection.waits.push(wait);
    }
    projection
}

/// Returns the queued run to give up, if not all of them can start in time: the one of the lowest
/// priority that stands before a task which starts too late, or that task itself.
pub(super) fn victim(
    now: Instant,
    projection: &Projection,
    runs: &FastMap<(Name, u64), Run>,
) -> Option<(Name, u64)> {
    let waiting = projection.starts.iter();
    let waiting = waiting.filter(|(id, _)| runs[id].order == Order::ByDeadline);
    let mut lowest: Option<(&(Name, u64), u32)> = None;
    for (id, wait) in waiting {
        let run = &runs[id];
        let start = now + *wait;
        let allowed = run.queue_deadline.saturating_duration_since(run.received);
        let displaces = start > run.received + allowed.mul_f64(DISPLACING_SHARE);
        match lowest {
            Some((other, priority)) if displaces && priority > run.priority => {
                return Some(other.clone());
            }
            _ if start > run.queue_deadline => return Some(id.clone()),
            Some((_, priority)) if priority > run.priority => {}
            _ => lowest = Some((id, run.priority)),
        }
    }
    None
}
