//! How fast an endpoint runs tasks, as a factor on their expected run times.
//!
//! Load pattern: endpoints differ in speed, slow down for seconds, and expected times are off by
//! tens of percent, alike for all tasks of a job. Each run counts once while it is under way and
//! once at its end, since long runs would otherwise be counted more often than short ones. An
//! endpoint without tasks drifts back to the expected pace, so that it is tried again.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;

/// Weight of one sample.
const WEIGHT: f64 = 0.12;
/// Weight of a further sample of a job that was sampled lately.
const SAME_JOB_WEIGHT: f64 = 0.02;
/// Jobs that count as sampled lately.
const RECENT_JOBS: usize = 12;
/// Without samples, half of the difference to the expected pace is forgotten in this time.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// An endpoint that has had no sample for this long begins to drift back.
const QUIET: Duration = Duration::from_millis(500);
/// Samples beyond this factor, either way, are taken as this factor.
const MAX_FACTOR: f64 = 20.0;

/// The measured pace of an endpoint.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Logarithm of the factor.
    log: f64,
    sampled: Instant,
    recent: VecDeque<Name>,
}

impl Pace {
    /// Creates the pace of an endpoint that has run nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            log: 0.0,
            sampled: now,
            recent: VecDeque::new(),
        }
    }

    /// Takes a measured run time over the expected one, of a task of `job`.
    pub fn sample(&mut self, now: Instant, job: &Name, ratio: f64) {
        let ratio = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let weight = if self.recent.contains(job) {
            SAME_JOB_WEIGHT
        } else {
            self.recent.push_back(job.clone());
            if self.recent.len() > RECENT_JOBS {
                self.recent.pop_front();
            }
            WEIGHT
        };
        let log = self.drifted(now);
        self.log = log + (ratio.ln() - log) * weight;
        self.sampled = now;
    }

    /// Returns the factor on expected run times.
    pub fn factor(&self, now: Instant) -> f64 {
        self.drifted(now).exp()
    }

    fn drifted(&self, now: Instant) -> f64 {
        let quiet = now.saturating_duration_since(self.sampled);
        let quiet = quiet.saturating_sub(QUIET).as_secs_f64();
        self.log * 0.5_f64.powf(quiet / HALF_LIFE.as_secs_f64())
    }
}
