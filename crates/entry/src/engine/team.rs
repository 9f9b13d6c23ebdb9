//! A team's declaration and its share of the quota at this entry.

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
    pub decl: Arc<Team>,
    /// Whether the configuration in force declares the team.
    pub declared: bool,
    /// Tasks that may be in flight from this entry.
    pub share: u32,
    pub rate: StartLimiter,
    pub in_flight: u32,
    /// Slots asked for and not granted yet, over all jobs.
    pub asked: u32,
    /// Jobs that are not claimed yet, oldest first.
    pub queue: VecDeque<JobKey>,
    /// Claimed jobs that wait for quota, next one first.
    pub hungry: VecDeque<JobKey>,
    /// Tasks of all jobs that are not sent yet.
    pub waiting: u32,
    pub budget: RetryBudget,
    /// The last successes at two different agents.
    successes: [Option<(usize, Instant)>; 2],
}

impl TeamState {
    pub fn new(now: Instant, decl: Arc<Team>) -> Self {
        Self {
            decl,
            declared: true,
            share: 0,
            rate: StartLimiter::new(now, 0),
            in_flight: 0,
            asked: 0,
            queue: VecDeque::new(),
            hungry: VecDeque::new(),
            waiting: 0,
            budget: RetryBudget::default(),
            successes: [None; 2],
        }
    }

    /// Returns the slots that this entry needs now.
    pub fn demand(&self) -> u32 {
        self.in_flight + self.waiting
    }

    pub fn succeeded(&mut self, now: Instant, agent: usize) {
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
    pub fn room(&self) -> u32 {
        self.share.saturating_sub(self.in_flight)
    }
}
