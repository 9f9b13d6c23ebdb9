//! Takes agents out that fail what succeeds elsewhere, and probes them.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Recent results that are remembered per agent.
const WINDOW: usize = 32;
/// Failures of at least this many different jobs are needed to suspect an agent.
const MIN_JOBS: usize = 3;
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Largest share of the agents that may be taken out at a time.
pub const MAX_EJECTED_SHARE: f64 = 0.3;

/// How an agent may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthStatus {
    /// Like any other.
    Healthy,
    /// One probe task may be sent.
    Probe,
    /// Nothing may be sent.
    Ejected,
}

/// The recent results of one agent.
#[derive(Clone, Debug, Default)]
pub struct Health {
    results: VecDeque<(u64, bool)>,
    suspect: Option<Suspicion>,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    pause: Duration,
    until: Instant,
    probing: bool,
}

impl Health {
    /// Takes a result of a task of the job with number `job`. `elsewhere` tells whether tasks
    /// of that job have succeeded on other agents; failures without that are held against
    /// the job and not against the agent. Returns `true` when the agent became suspect by it
    /// and `may_leave` allowed it.
    pub fn record(
        &mut self,
        now: Instant,
        job: u64,
        ok: bool,
        elsewhere: bool,
        may_leave: bool,
    ) -> bool {
        if let Some(suspicion) = &mut self.suspect {
            if !suspicion.probing {
                return false;
            }
            if ok {
                self.suspect = None;
                self.results.clear();
            } else {
                suspicion.pause = (suspicion.pause * 2).min(MAX_PAUSE);
                suspicion.until = now + suspicion.pause;
                suspicion.probing = false;
            }
            return false;
        }
        if !ok && !elsewhere {
            return false;
        }
        if self.results.len() == WINDOW {
            self.results.pop_front();
        }
        self.results.push_back((job, ok));
        if ok || !may_leave || !self.failing() {
            return false;
        }
        self.suspect = Some(Suspicion {
            pause: FIRST_PAUSE,
            until: now + FIRST_PAUSE,
            probing: false,
        });
        true
    }

    /// Returns how the agent may be used now.
    pub fn status(&self, now: Instant) -> HealthStatus {
        match &self.suspect {
            None => HealthStatus::Healthy,
            Some(s) if now < s.until => HealthStatus::Ejected,
            Some(_) => HealthStatus::Probe,
        }
    }

    /// Notes that a probe was sent. Another one is due when its result does not come, for
    /// example because its job was cancelled.
    pub fn probe_sent(&mut self, now: Instant) {
        if let Some(suspicion) = &mut self.suspect {
            suspicion.probing = true;
            suspicion.until = now + MAX_PAUSE;
        }
    }

    /// Notes that the probe was refused, which says nothing about the agent's health.
    pub fn probe_refused(&mut self, now: Instant) {
        if let Some(suspicion) = &mut self.suspect {
            suspicion.probing = false;
            suspicion.until = now + suspicion.pause;
        }
    }

    /// Tells whether the agent is taken out.
    pub fn is_suspect(&self) -> bool {
        self.suspect.is_some()
    }

    fn failing(&self) -> bool {
        let failures = self.results.iter().filter(|(_, ok)| !ok);
        let mut jobs: Vec<u64> = failures.map(|(job, _)| *job).collect();
        let half = jobs.len() * 2 >= self.results.len();
        jobs.sort_unstable();
        jobs.dedup();
        half && jobs.len() >= MIN_JOBS
    }
}
