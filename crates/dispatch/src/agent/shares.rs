//! How much of an endpoint's capacity the priorities take.
//!
//! Designed for work of a low priority that waits while work of higher priorities keeps arriving and
//! goes ahead. What waits is drained only with the capacity that they leave.

use std::time::Duration;
use std::time::Instant;

/// Priorities that are told apart; lower ones count as the last of them.
pub(super) const LEVELS: usize = 8;
/// Time in which the weight of started work halves.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Largest share of the capacity that higher priorities are taken to use.
const MAX_SHARE: f64 = 0.95;

/// Decayed work that was started, by priority.
#[derive(Clone, Debug)]
pub(super) struct Shares {
    at: Instant,
    /// Core seconds, weighted by age.
    work: [f64; LEVELS],
}

impl Shares {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            at: now,
            work: [0.0; LEVELS],
        }
    }

    /// Adds work that was started, in core seconds.
    pub(super) fn add(&mut self, now: Instant, priority: u32, work: f64) {
        let factor = self.decay(now);
        self.at = now;
        for level in &mut self.work {
            *level *= factor;
        }
        self.work[(priority as usize).min(LEVELS - 1)] += work;
    }

    /// Returns the share of a capacity, in cores, that priorities above `level` take.
    pub(super) fn above(&self, now: Instant, level: usize, cores: f64) -> f64 {
        let work: f64 = self.work[..level.min(LEVELS)].iter().sum();
        // Work at a constant rate adds up to the rate times the mean lifetime of a weight.
        let lifetime = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let rate = work * self.decay(now) / lifetime;
        (rate / cores.max(f64::MIN_POSITIVE)).min(MAX_SHARE)
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
