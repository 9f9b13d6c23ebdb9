//! The order in which queued tasks start, and how long another one would wait.
//!
//! Load pattern: for some seconds more tasks arrive than the endpoint can run. Tasks that must
//! start soonest go first within a priority; a task that cannot start in time is handed back by
//! its limit and does not hold up others.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;

use super::run::Run;
use super::run::RunState;
use crate::job::Resources;

/// The longest wait that is reported.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Returns the queued runs in the order in which they start.
pub(super) fn order(runs: &FastMap<(Name, u64), Run>) -> Vec<(Name, u64)> {
    let queued = runs.iter().filter(|(_, r)| r.state == RunState::Queued);
    let mut queued: Vec<_> = queued.collect();
    queued.sort_by_key(|(id, r)| (r.priority, r.until, r.received, id.1));
    queued.into_iter().map(|(id, _)| id.clone()).collect()
}

/// Returns how long one more task of average size would wait for room, in milliseconds.
pub(super) fn expected_wait(
    now: Instant,
    room: Resources,
    pace: f64,
    runs: &FastMap<(Name, u64), Run>,
) -> u32 {
    if runs.is_empty() || room.cpu == 0 {
        return 0;
    }
    let (mut queued, mut all) = (0.0, 0.0);
    let mut work = 0.0;
    let mut frees: Vec<(Duration, f64)> = Vec::new();
    for run in runs.values() {
        let cpu = f64::from(run.needs.cpu);
        all += cpu;
        if run.state == RunState::Queued {
            queued += cpu;
            work += cpu * run.estimate.as_secs_f64() * pace;
        } else {
            frees.push((run.rest(now, pace), cpu));
        }
    }
    let average = all / runs.len() as f64;
    let running: f64 = frees.iter().map(|(_, cpu)| cpu).sum();
    let mut missing = queued + average - (f64::from(room.cpu) - running);
    if missing <= 0.0 {
        return 0;
    }
    frees.sort_unstable_by_key(|(rest, _)| *rest);
    for (rest, cpu) in frees {
        missing -= cpu;
        if missing <= 0.0 {
            return rest.as_millis() as u32;
        }
    }
    // More is queued than runs: the queue needs the endpoint as a whole for some time.
    let wait = Duration::from_secs_f64(work / f64::from(room.cpu));
    wait.min(MAX_WAIT).as_millis() as u32
}
