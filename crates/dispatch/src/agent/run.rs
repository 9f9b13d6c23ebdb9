//! The state of one run of a task at the agent.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;
use sassafras_wire::proto::TaskStart;
use sassafras_wire::proto::start_tasks::Order;
use sassafras_wire::proto::task_end::Kind;

use crate::job::Resources;

/// The pace is not derived from progress below this percentage.
const MIN_PACE_PERCENT: u32 = 30;
/// Share of the expected run time without progress after which a run is stalled. Progress is
/// listed in whole percent, and on an endpoint ten times slower than expected one percent takes a
/// tenth of the expected run time.
const STALL_SHARE: f64 = 0.2;

/// State of a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunState {
    /// Waits for capacity.
    Queued,
    /// The start was sent.
    Starting { expires_ms: u64, since: Instant },
    /// A start got no response, and no other is sent. A listing tells whether the endpoint runs it.
    Uncertain,
    /// The endpoint runs it.
    Running { since: Instant },
    /// A stop was sent.
    Stopping {
        /// Reported to the entry when the run has ended.
        kind: Kind,
        since: Instant,
        /// When the stop is sent again.
        retry_at: Instant,
    },
}

/// How a task waits for capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) priority: u32,
    pub(super) order: Order,
    pub(super) deadline: Instant,
}

/// A run of a task.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) task: Name,
    /// Id of the job of the task.
    pub(super) job: Name,
    pub(super) attempt: u32,
    pub(super) payload: Arc<str>,
    pub(super) needs: Resources,
    pub(super) estimate: Duration,
    pub(super) priority: u32,
    pub(super) order: Order,
    pub(super) received: Instant,
    /// When the task is returned to the entry if it is still queued.
    pub(super) queue_deadline: Instant,
    pub(super) state: RunState,
    /// The endpoint instance that the entry placed the task at. Another one may lack what the task
    /// needs.
    pub(super) placed_at: Name,
    /// The endpoint to which the start was sent.
    pub(super) endpoint: Name,
    /// Starts sent for this run that were rejected or got no response.
    pub(super) tries: u32,
    /// Fencing token of the last start that got no response. The endpoint may have executed it, and
    /// may do so until it has executed a command with a higher token.
    pub(super) unanswered: Option<u64>,
    /// When the last start was answered or timed out; none while its response is outstanding.
    pub(super) start_answered: Option<Instant>,
    /// Start time, as far as the agent knows.
    started_at: Instant,
    percent: u32,
    /// Whether a pace sample was taken from the progress.
    pace_sampled: bool,
    /// When the progress last changed.
    progressed_at: Instant,
}

impl Run {
    pub(super) fn new(
        now: Instant,
        start: &TaskStart,
        placed_at: &Name,
        payload: &Arc<str>,
        waiting: Waiting,
    ) -> Self {
        let job = start.task.split('.').next().unwrap_or_default();
        Self {
            job: Name::from(job),
            task: Name::from(start.task.as_str()),
            attempt: start.attempt.max(1),
            payload: Arc::clone(payload),
            needs: start.needs.unwrap_or_default().into(),
            estimate: Duration::from_millis(u64::from(start.estimate_ms.max(1))),
            priority: waiting.priority,
            order: waiting.order,
            received: now,
            queue_deadline: waiting.deadline,
            state: RunState::Queued,
            placed_at: placed_at.clone(),
            endpoint: Name::from(""),
            tries: 0,
            unanswered: None,
            start_answered: None,
            started_at: now,
            percent: 0,
            pace_sampled: false,
            progressed_at: now,
        }
    }

    /// Reports whether an entry of a listing refers to this run.
    pub(super) fn matches(&self, task: &Name, attempt: u32) -> bool {
        self.attempt == attempt && self.task == *task && self.state != RunState::Queued
    }

    /// Reports whether the outcome of a start decides about the run.
    pub(super) fn is_starting(&self) -> bool {
        matches!(self.state, RunState::Starting { .. })
    }

    /// Records that the endpoint has started the run.
    pub(super) fn mark_started(&mut self, now: Instant) {
        self.started_at = match self.state {
            RunState::Starting { since, .. } => since,
            _ => now,
        };
        self.progressed_at = now;
        // The endpoint starts an attempt only once.
        self.unanswered = None;
        self.state = RunState::Running { since: now };
    }

    /// Records that the endpoint lists the run as running.
    pub(super) fn mark_listed(&mut self, now: Instant, percent: u32) {
        if matches!(self.state, RunState::Starting { .. } | RunState::Uncertain) {
            self.mark_started(now);
        }
        if percent != self.percent {
            self.percent = percent;
            self.progressed_at = now;
        }
    }

    /// Returns the time of the next action that does not depend on an event.
    pub(super) fn next_due(&self) -> Option<Instant> {
        match &self.state {
            RunState::Queued => Some(self.queue_deadline),
            RunState::Stopping { retry_at, .. } => Some(*retry_at),
            _ => None,
        }
    }

    /// Returns the time since the start of the run.
    pub(super) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Returns the expected remaining run time on an endpoint with this pace.
    pub(super) fn remaining_time(&self, now: Instant, pace: f64) -> Duration {
        let ran = self.elapsed(now);
        if self.percent >= MIN_PACE_PERCENT {
            let remaining = 100_u32.saturating_sub(self.percent);
            return ran.mul_f64(f64::from(remaining) / f64::from(self.percent));
        }
        self.estimate.mul_f64(pace).saturating_sub(ran)
    }

    /// Returns the ratio of measured to expected run time once, as soon as progress allows.
    pub(super) fn take_pace_sample(&mut self, now: Instant) -> Option<f64> {
        let ready =
            self.percent >= MIN_PACE_PERCENT && matches!(self.state, RunState::Running { .. });
        if !ready || std::mem::replace(&mut self.pace_sampled, true) {
            return None;
        }
        let total = self.elapsed(now).as_secs_f64() * 100.0 / f64::from(self.percent);
        Some(total / self.estimate.as_secs_f64())
    }

    /// Reports whether the run made no progress for longer than `timeout`, or for longer than a share
    /// of its expected run time if that is more.
    pub(super) fn is_stalled(&self, now: Instant, timeout: Duration) -> bool {
        let limit = timeout.max(self.estimate.mul_f64(STALL_SHARE));
        matches!(self.state, RunState::Running { .. })
            && now.saturating_duration_since(self.progressed_at) > limit
    }

    /// Reports whether the endpoint may execute a start of this run from now on, as far as the agent
    /// knows.
    pub(super) fn may_start(&self) -> bool {
        !matches!(self.state, RunState::Running { .. })
            && (self.start_answered.is_none() || self.unanswered.is_some())
    }

    /// Reports whether a listing without this run proves that it does not run and will not start.
    /// The listing was requested at `sent`, with a fencing token of `token`.
    pub(super) fn has_ended(&self, sent: Instant, token: u64) -> bool {
        let fenced = self.unanswered.is_none_or(|t| t < token);
        match self.state {
            RunState::Running { since } => since < sent,
            RunState::Uncertain | RunState::Stopping { .. } => {
                fenced && self.start_answered.is_some_and(|at| at < sent)
            }
            RunState::Queued | RunState::Starting { .. } => false,
        }
    }
}
