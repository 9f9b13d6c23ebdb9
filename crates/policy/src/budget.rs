//! Token buckets for retries and task starts.

use std::time::Duration;
use std::time::Instant;

/// Retries earned per first start of a task.
const RETRY_RATIO: f64 = 0.1;
/// Capacity of a retry budget.
const RETRY_BURST: f64 = 20.0;
/// Time at the full rate that a start limiter can accumulate.
const START_BURST: Duration = Duration::from_secs(1);

/// Limits the retries of a team to 10% of its first starts, plus a burst of up to 20.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: RETRY_BURST,
        }
    }
}

impl RetryBudget {
    /// Adds the retries earned by `count` first starts.
    pub fn deposit(&mut self, count: u32) {
        self.tokens = (self.tokens + f64::from(count) * RETRY_RATIO).min(RETRY_BURST);
    }

    /// Consumes one retry and returns `true`, or returns `false` if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Limits the task starts of a team to a rate per second.
///
/// A job takes the tokens for all its tasks at once and may leave the bucket negative, so that
/// a job with more tasks than the burst size can still start.
#[derive(Clone, Debug)]
pub struct StartLimiter {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl StartLimiter {
    /// Creates a limiter with a full bucket.
    pub fn new(now: Instant, per_second: u32) -> Self {
        Self {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second) * START_BURST.as_secs_f64(),
            refilled: now,
        }
    }

    /// Changes the rate. A limiter whose rate was 0 becomes full.
    pub fn set_rate(&mut self, now: Instant, per_second: u32) {
        self.refill(now);
        let was_zero = self.per_second == 0.0;
        self.per_second = f64::from(per_second);
        if was_zero {
            self.tokens = self.tokens.max(self.per_second * START_BURST.as_secs_f64());
        }
    }

    /// Consumes `count` starts and returns `true` if the bucket holds a positive balance.
    pub fn try_acquire(&mut self, now: Instant, count: u32) -> bool {
        self.refill(now);
        let allowed = self.tokens > 0.0;
        if allowed {
            self.tokens -= f64::from(count);
        }
        allowed
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let capacity = self.per_second * START_BURST.as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(capacity.max(self.tokens));
        self.refilled = now;
    }
}
