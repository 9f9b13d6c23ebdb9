//! One run of a task at the agent.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;
use sassafras_wire::proto::TaskStart;
use sassafras_wire::proto::task_end::Kind;

use crate::job::Resources;

/// Progress below this many hundredths says little about the pace.
const MIN_PERCENT: u32 = 30;
/// Progress is listed in hundredths, so a run may stand still for this part of its expected
/// time, on an endpoint ten times slower than expected.
const STALL_PART: f64 = 0.2;

/// Where a run stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunState {
    /// It waits for room.
    Queued,
    /// The start was ordered.
    Starting { expires_ms: u64, since: Instant },
    /// The order to start got no answer, and is void after this time of the endpoint's clock.
    Unsure { expires_ms: u64 },
    /// It runs.
    Running { since: Instant },
    /// It was ordered to stop.
    Stopping {
        /// What the entry will be told.
        kind: Kind,
        since: Instant,
        /// When the next order is due.
        order_at: Instant,
    },
}

/// One run of a task.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) task: Name,
    /// The job that the task belongs to.
    pub(super) job: Name,
    pub(super) attempt: u32,
    pub(super) payload: Arc<str>,
    pub(super) needs: Resources,
    pub(super) estimate: Duration,
    pub(super) priority: u32,
    pub(super) received: Instant,
    /// When the task is handed back if it still waits.
    pub(super) until: Instant,
    pub(super) state: RunState,
    /// The endpoint that was ordered to start it.
    pub(super) endpoint: Name,
    pub(super) tries: u32,
    /// Whether an order to start it got no answer and may have been carried out.
    pub(super) unanswered: bool,
    /// When the run began, as far as the agent knows.
    begun: Instant,
    percent: u32,
    /// Whether the progress has told the pace.
    paced: bool,
    /// When the progress last changed.
    moved: Instant,
}

impl Run {
    pub(super) fn new(
        now: Instant,
        start: &TaskStart,
        payload: &Arc<str>,
        priority: u32,
        until: Instant,
    ) -> Self {
        let job = start.task.split('.').next().unwrap_or_default();
        Self {
            job: Name::from(job),
            task: Name::from(start.task.as_str()),
            attempt: start.attempt.max(1),
            payload: Arc::clone(payload),
            needs: start.needs.unwrap_or_default().into(),
            estimate: Duration::from_millis(u64::from(start.estimate_ms.max(1))),
            priority,
            received: now,
            until,
            state: RunState::Queued,
            endpoint: Name::from(""),
            tries: 0,
            unanswered: false,
            begun: now,
            percent: 0,
            paced: false,
            moved: now,
        }
    }

    /// Reports whether this is the run that an endpoint names.
    pub(super) fn is(&self, task: &Name, attempt: u32) -> bool {
        self.attempt == attempt && self.task == *task && self.state != RunState::Queued
    }

    /// Takes note that the endpoint has started the run.
    pub(super) fn started(&mut self, now: Instant) {
        self.begun = match self.state {
            RunState::Starting { since, .. } => since,
            _ => now,
        };
        self.moved = now;
        self.state = RunState::Running { since: now };
    }

    /// Takes note that the endpoint lists the run as running.
    pub(super) fn listed(&mut self, now: Instant, percent: u32) {
        if matches!(
            self.state,
            RunState::Starting { .. } | RunState::Unsure { .. }
        ) {
            self.started(now);
        }
        if percent != self.percent {
            self.percent = percent;
            self.moved = now;
        }
    }

    /// Returns when the run next needs attention, if time alone can bring that about.
    pub(super) fn due(&self) -> Option<Instant> {
        match &self.state {
            RunState::Queued => Some(self.until),
            RunState::Stopping { order_at, .. } => Some(*order_at),
            _ => None,
        }
    }

    /// Returns for how long the run has run.
    pub(super) fn ran(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.begun)
    }

    /// Returns the expected rest of the run on an endpoint with this pace.
    pub(super) fn rest(&self, now: Instant, pace: f64) -> Duration {
        let ran = self.ran(now);
        if self.percent >= MIN_PERCENT {
            let left = 100_u32.saturating_sub(self.percent);
            return ran.mul_f64(f64::from(left) / f64::from(self.percent));
        }
        self.estimate.mul_f64(pace).saturating_sub(ran)
    }

    /// Returns the run time over the expected one, once: when the progress first tells it.
    pub(super) fn first_pace(&mut self, now: Instant) -> Option<f64> {
        let told = self.percent >= MIN_PERCENT && matches!(self.state, RunState::Running { .. });
        if !told || std::mem::replace(&mut self.paced, true) {
            return None;
        }
        let whole = self.ran(now).as_secs_f64() * 100.0 / f64::from(self.percent);
        Some(whole / self.estimate.as_secs_f64())
    }

    /// Reports whether the run stands still.
    pub(super) fn stalled(&self, now: Instant, after: Duration) -> bool {
        let limit = after.max(self.estimate.mul_f64(STALL_PART));
        matches!(self.state, RunState::Running { .. })
            && now.saturating_duration_since(self.moved) > limit
    }

    /// Reports whether a listing without this run proves that it does not run. The listing was
    /// asked for at `sent` and shows the endpoint's clock.
    pub(super) fn gone(&self, sent: Instant, clock_ms: u64) -> bool {
        match self.state {
            RunState::Running { since } => since < sent,
            RunState::Unsure { expires_ms } => clock_ms > expires_ms,
            RunState::Stopping { since, .. } => {
                since < sent && sent.saturating_duration_since(since) > crate::TASK_LEASE
            }
            _ => false,
        }
    }
}
