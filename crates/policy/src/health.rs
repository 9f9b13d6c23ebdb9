//! Outlier detection for agents.
//!
//! An agent that fails tasks of jobs that succeed on other agents is ejected. After a back-off
//! it receives single probe tasks until one succeeds.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Number of recent results kept per agent.
const RESULT_WINDOW: usize = 32;
/// Minimum number of distinct jobs with failures before an agent is ejected.
const MIN_FAILED_JOBS: usize = 3;
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Maximum share of the agents that may be ejected at the same time.
pub const MAX_EJECTED_SHARE: f64 = 0.3;

/// Whether an agent may receive tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthStatus {
    /// Tasks may be sent without restriction.
    Healthy,
    /// A single probe task may be sent.
    Probe,
    /// No tasks may be sent.
    Ejected,
}

/// The recent results of one agent.
#[derive(Clone, Debug, Default)]
pub struct Health {
    results: VecDeque<(u64, bool)>,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    backoff: Duration,
    until: Instant,
    probing: bool,
}

impl Health {
    /// Records the result of a task of the job with number `job`, and returns whether the agent
    /// was ejected because of it.
    ///
    /// `succeeded_elsewhere` is whether tasks of the job have succeeded on other agents; without
    /// that, a failure is attributed to the job rather than to the agent. The agent is ejected
    /// only if `may_eject` is set.
    pub fn record(
        &mut self,
        now: Instant,
        job: u64,
        ok: bool,
        succeeded_elsewhere: bool,
        may_eject: bool,
    ) -> bool {
        if let Some(ejection) = &mut self.ejection {
            if !ejection.probing {
                return false;
            }
            if ok {
                self.ejection = None;
                self.results.clear();
            } else {
                ejection.backoff = (ejection.backoff * 2).min(MAX_BACKOFF);
                ejection.until = now + ejection.backoff;
                ejection.probing = false;
            }
            return false;
        }
        if !ok && !succeeded_elsewhere {
            return false;
        }
        if self.results.len() == RESULT_WINDOW {
            self.results.pop_front();
        }
        self.results.push_back((job, ok));
        if ok || !may_eject || !self.is_failing() {
            return false;
        }
        self.ejection = Some(Ejection {
            backoff: INITIAL_BACKOFF,
            until: now + INITIAL_BACKOFF,
            probing: false,
        });
        true
    }

    /// Returns whether the agent may receive tasks at `now`.
    pub fn status(&self, now: Instant) -> HealthStatus {
        match &self.ejection {
            None => HealthStatus::Healthy,
            Some(e) if now < e.until => HealthStatus::Ejected,
            Some(_) => HealthStatus::Probe,
        }
    }

    /// Records that a probe was sent. If its result never arrives, for example because the job
    /// was cancelled, another probe is due after the maximum back-off.
    pub fn probe_sent(&mut self, now: Instant) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = true;
            ejection.until = now + MAX_BACKOFF;
        }
    }

    /// Records that the agent refused the probe, which says nothing about its health and leaves
    /// the back-off unchanged.
    pub fn probe_refused(&mut self, now: Instant) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = false;
            ejection.until = now + ejection.backoff;
        }
    }

    /// Returns whether the agent is ejected or being probed.
    pub fn is_suspect(&self) -> bool {
        self.ejection.is_some()
    }

    fn is_failing(&self) -> bool {
        let failures = self.results.iter().filter(|(_, ok)| !ok);
        let mut jobs: Vec<u64> = failures.map(|(job, _)| *job).collect();
        let half_failed = jobs.len() * 2 >= self.results.len();
        jobs.sort_unstable();
        jobs.dedup();
        half_failed && jobs.len() >= MIN_FAILED_JOBS
    }
}
