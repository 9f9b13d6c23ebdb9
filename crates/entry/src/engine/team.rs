//! A team's configuration and its share of the quota at this entry.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sassafras_config::Team;
use sassafras_policy::RetryBudget;
use sassafras_policy::StartLimiter;
use sassafras_wire::JobKey;

#[derive(Debug)]
pub(super) struct TeamState {
    pub config: Arc<Team>,
    /// Whether the current configuration contains the team.
    pub configured: bool,
    /// Most tasks that this entry may have in flight for the team.
    pub share: u32,
    pub start_limiter: StartLimiter,
    pub in_flight: u32,
    /// Slots requested and not granted yet, over all jobs.
    pub requested: u32,
    /// Unclaimed jobs, oldest first.
    pub queue: VecDeque<JobKey>,
    /// Claimed jobs that wait for quota, in round-robin order.
    pub quota_waiters: VecDeque<JobKey>,
    /// Number of unsent tasks over all jobs.
    pub pending: u32,
    pub retry_budget: RetryBudget,
    /// Agent and time of the latest successes at two different agents.
    successes: [Option<(usize, Instant)>; 2],
}

impl TeamState {
    pub fn new(now: Instant, config: Arc<Team>) -> Self {
        Self {
            config,
            configured: true,
            share: 0,
            start_limiter: StartLimiter::new(now, 0),
            in_flight: 0,
            requested: 0,
            queue: VecDeque::new(),
            quota_waiters: VecDeque::new(),
            pending: 0,
            retry_budget: RetryBudget::default(),
            successes: [None; 2],
        }
    }

    /// Returns the number of slots that this entry needs now.
    pub fn demand(&self) -> u32 {
        self.in_flight + self.pending
    }

    pub fn record_success(&mut self, now: Instant, agent: usize) {
        if !matches!(self.successes[0], Some((last, _)) if last == agent) {
            self.successes.swap(0, 1);
        }
        self.successes[0] = Some((agent, now));
    }

    /// Returns whether a task of the team succeeded at another agent within `window`.
    pub fn succeeded_elsewhere(&self, now: Instant, window: Duration, agent: usize) -> bool {
        let mut known = self.successes.iter().flatten();
        known.any(|(at, when)| *at != agent && now.saturating_duration_since(*when) <= window)
    }

    /// Returns the number of tasks that the team's share still allows to send.
    pub fn available(&self) -> u32 {
        self.share.saturating_sub(self.in_flight)
    }
}
