//! A team's declaration and its share of the quota at this entry.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sassafras_config::Team;
use sassafras_policy::RetryBudget;
use sassafras_policy::StartRate;
use sassafras_wire::JobKey;

#[derive(Debug)]
pub(super) struct TeamState {
    pub config: Arc<Team>,
    /// Whether the configuration in force declares the team.
    pub declared: bool,
    /// Tasks that may be in flight from this entry.
    pub share: u32,
    pub start_rate: StartRate,
    pub in_flight: u32,
    /// Slots asked for and not granted yet, over all jobs.
    pub requested: u32,
    /// Jobs that are not claimed yet, oldest first.
    pub queue: VecDeque<JobKey>,
    /// Claimed jobs that wait for quota, next one first.
    pub quota_waiters: VecDeque<JobKey>,
    /// Tasks of all jobs that are not sent yet.
    pub pending: u32,
    pub retry_budget: RetryBudget,
    /// The last successes at two different agents.
    successes: [Option<(usize, Instant)>; 2],
}

impl TeamState {
    pub fn new(now: Instant, config: Arc<Team>) -> Self {
        Self {
            config,
            declared: true,
            share: 0,
            start_rate: StartRate::new(now, 0),
            in_flight: 0,
            requested: 0,
            queue: VecDeque::new(),
            quota_waiters: VecDeque::new(),
            pending: 0,
            retry_budget: RetryBudget::default(),
            successes: [None; 2],
        }
    }

    /// Returns the slots that this entry needs now.
    pub fn demand(&self) -> u32 {
        self.in_flight + self.pending
    }

    pub fn record_success(&mut self, now: Instant, agent: usize) {
        if !matches!(self.successes[0], Some((last, _)) if last == agent) {
            self.successes.swap(0, 1);
        }
        self.successes[0] = Some((agent, now));
    }

    /// Tells whether a task of the team has succeeded at another agent within `recent`.
    pub fn succeeded_elsewhere(&self, now: Instant, recent: Duration, agent: usize) -> bool {
        let mut known = self.successes.iter().flatten();
        known.any(|(at, when)| *at != agent && now.saturating_duration_since(*when) <= recent)
    }

    /// Returns the tasks that may be sent now.
    pub fn available(&self) -> u32 {
        self.share.saturating_sub(self.in_flight)
    }
}
