//! The pace of an endpoint: the ratio of measured to expected run times.
//!
//! Designed for endpoints that differ in speed and slow down for seconds, and for expected times
//! that are off by tens of percent, alike for all tasks of a job. Each run counts once while it is
//! active and once at its end, since long runs would otherwise count more often than short ones. An
//! idle endpoint returns to the expected pace, so that it is tried again.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;

/// Weight of a sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Weight of a further sample of a recently sampled job.
const SAME_JOB_WEIGHT: f64 = 0.02;
/// Number of jobs that count as recently sampled.
const MAX_RECENT_JOBS: usize = 12;
/// Time in which the difference to the expected pace halves without samples.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Time without samples after which the pace begins to decay.
const DECAY_DELAY: Duration = Duration::from_millis(500);
/// Samples are clamped to this factor in either direction.
const MAX_FACTOR: f64 = 20.0;

/// Moving average of the pace of an endpoint.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Logarithm of the pace.
    log: f64,
    sampled_at: Instant,
    recent: VecDeque<Name>,
}

impl Pace {
    /// Creates the pace of an endpoint without samples, which is 1.
    pub fn new(now: Instant) -> Self {
        Self {
            log: 0.0,
            sampled_at: now,
            recent: VecDeque::new(),
        }
    }

    /// Adds the ratio of measured to expected run time of a task of `job`.
    pub fn sample(&mut self, now: Instant, job: &Name, ratio: f64) {
        let ratio = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let weight = if self.recent.contains(job) {
            SAME_JOB_WEIGHT
        } else {
            self.recent.push_back(job.clone());
            if self.recent.len() > MAX_RECENT_JOBS {
                self.recent.pop_front();
            }
            SAMPLE_WEIGHT
        };
        let log = self.decayed(now);
        self.log = log + (ratio.ln() - log) * weight;
        self.sampled_at = now;
    }

    /// Returns the factor on expected run times.
    pub fn factor(&self, now: Instant) -> f64 {
        self.decayed(now).exp()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.sampled_at);
        let idle = idle.saturating_sub(DECAY_DELAY).as_secs_f64();
        self.log * 0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }
}
