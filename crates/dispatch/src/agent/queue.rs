//! Start order of queued tasks, and the expected wait of another task.
//!
//! Designed for overload that lasts some seconds. Within a priority, tasks with the earliest queue
//! deadline start first. A task that cannot start in time is returned at its deadline and does not
//! delay others.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;

use super::run::Run;
use super::run::RunState;
use crate::job::Resources;

/// Longest wait reported to entries.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Returns the queued runs in start order.
pub(super) fn start_order(runs: &FastMap<(Name, u64), Run>) -> Vec<(Name, u64)> {
    let queued = runs.iter().filter(|(_, r)| r.state == RunState::Queued);
    let mut queued: Vec<_> = queued.collect();
    queued.sort_by_key(|(id, r)| (r.priority, r.queue_deadline, r.received, id.1));
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
