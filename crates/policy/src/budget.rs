//! Token buckets: the budget of retries and the rate of starts.

use std::time::Duration;
use std::time::Instant;

/// Retries allowed per first start.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up.
const RETRY_BURST: f64 = 20.0;
/// Starts per second may be saved up for this long.
const RATE_BURST: Duration = Duration::from_secs(1);

/// Bounds the retries of a team to a tenth of its starts.
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
    /// Adds what `count` first starts earn.
    pub fn deposit(&mut self, count: u32) {
        self.tokens = (self.tokens + f64::from(count) * RETRY_SHARE).min(RETRY_BURST);
    }

    /// Takes one retry, if the budget has one.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Bounds the starts of a team to a rate per second. A job takes its tokens at once and may
/// leave a debt, so that a job larger than the rate can start at all.
#[derive(Clone, Debug)]
pub struct StartLimiter {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl StartLimiter {
    /// Creates a bucket that is full.
    pub fn new(now: Instant, per_second: u32) -> Self {
        Self {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second) * RATE_BURST.as_secs_f64(),
            filled: now,
        }
    }

    /// Sets another rate.
    pub fn set_rate(&mut self, now: Instant, per_second: u32) {
        self.fill(now);
        let idle = self.per_second == 0.0;
        self.per_second = f64::from(per_second);
        if idle {
            self.tokens = self.tokens.max(self.per_second * RATE_BURST.as_secs_f64());
        }
    }

    /// Takes `count` starts when no debt is left.
    pub fn try_acquire(&mut self, now: Instant, count: u32) -> bool {
        self.fill(now);
        let allowed = self.tokens > 0.0;
        if allowed {
            self.tokens -= f64::from(count);
        }
        allowed
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        let most = self.per_second * RATE_BURST.as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second).min(most.max(self.tokens));
        self.filled = now;
    }
}
