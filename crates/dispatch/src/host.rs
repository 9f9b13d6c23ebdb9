//! An agent and its endpoint as seen by an entry.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::EndpointView;

use crate::job::Resources;
use crate::job::Step;
use crate::timing::IDLE_PULSE_INTERVAL;
use crate::timing::PULSE_INTERVAL;
use crate::timing::RUN_EXPIRY;

/// Pulses to a watched agent without runs are this much rarer: only its views are needed in time.
const SPARSE_PULSE_FACTOR: u32 = 4;
/// Lower bound of an expected wait that the agent reported as nonzero.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// How recent the view of an endpoint is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Attention {
    /// The agent sends a view every `IDLE_PULSE_INTERVAL`. Tasks are placed elsewhere.
    Idle,
    /// A view was requested at this time.
    Waking(Instant),
    /// The agent sends views as they change.
    Watched,
}

/// The latest view of an endpoint that its agent sent.
#[derive(Clone, Debug)]
pub struct View {
    /// Pool of the endpoint; none while it accepts no tasks.
    pub pool: Option<Name>,
    /// Id and start time of the endpoint.
    pub endpoint: Name,
    /// Kind and rack of the endpoint.
    pub labels: Vec<Name>,
    /// Total capacity.
    pub capacity: Resources,
    /// Capacity left by running and queued tasks.
    pub free: Resources,
    /// Number of queued tasks.
    pub queued: u32,
    /// Expected wait of one more task of average size.
    pub wait: Duration,
    /// Expected wait of one more task by priority. The last one holds for lower priorities too.
    pub waits: Vec<Duration>,
    /// Ratio of measured to expected run times.
    pub pace: f64,
    /// Whether most recent tasks failed or stalled.
    pub suspect: bool,
    /// Whether a suspect endpoint accepts one task as a probe.
    pub probe: bool,
}

impl Default for View {
    /// Returns the view of an endpoint that accepts no tasks.
    fn default() -> Self {
        Self {
            pool: None,
            endpoint: Name::from(""),
            labels: Vec::new(),
            capacity: Resources::default(),
            free: Resources::default(),
            queued: 0,
            wait: Duration::ZERO,
            waits: Vec::new(),
            pace: 1.0,
            suspect: false,
            probe: false,
        }
    }
}

impl From<EndpointView> for View {
    fn from(view: EndpointView) -> Self {
        let pool = Some(view.pool).filter(|p| !p.is_empty());
        let waits = view.waits.into_iter();
        Self {
            pool: pool.map(Name::from),
            endpoint: Name::from(view.endpoint),
            labels: view.labels.into_iter().map(Name::from).collect(),
            capacity: view.room.unwrap_or_default().into(),
            free: view.free.unwrap_or_default().into(),
            queued: view.queued,
            wait: Duration::from_millis(view.wait_ms.into()),
            waits: waits.map(|ms| Duration::from_millis(ms.into())).collect(),
            pace: f64::from(view.pace.max(1)) / 1000.0,
            suspect: view.suspect,
            probe: view.probe,
        }
    }
}

/// A run that was sent to an agent and whose end was not reported yet.
#[derive(Clone, Debug)]
pub(crate) struct SentRun {
    pub(crate) job: u64,
    pub(crate) task: usize,
    pub(crate) needs: Resources,
    pub(crate) estimate: Duration,
}

/// The state of an agent and its endpoint at an entry.
#[derive(Clone, Debug)]
pub struct Host {
    pub(crate) node: NodeRef,
    pub(crate) zone: Name,
    /// Whether there is a link to the agent.
    pub(crate) linked: bool,
    /// When the last message of the agent was received.
    pub(crate) last_heard: Instant,
    /// Latest value of the agent's clock that was received.
    pub(crate) clock_ms: u64,
    /// Number of the last report that was processed.
    pub(crate) last_report: u64,
    /// Highest run number that the view of the agent includes.
    pub(crate) last_counted: u64,
    pub(crate) view: View,
    pub(crate) runs: FastMap<u64, SentRun>,
    /// Runs of an earlier process of the agent, each with the time at which it must have ended.
    pub(crate) orphans: Vec<(Instant, SentRun)>,
    pub(crate) attention: Attention,
    /// Whether the agent's availability zone is evacuated.
    pub(crate) evacuated: bool,
    /// Whether the agent is in the entry's set of watched agents.
    pub(crate) in_set: bool,
    /// Until when the agent is watched for the sake of particular jobs.
    pub(crate) needed_until: Instant,
    /// When the last pulse was sent.
    pub(crate) pulsed_at: Instant,
}

impl Host {
    pub(crate) fn new(now: Instant, node: NodeRef, zone: Name) -> Self {
        Self {
            node,
            zone,
            linked: true,
            last_heard: now,
            clock_ms: 0,
            last_report: 0,
            last_counted: 0,
            view: View::default(),
            runs: FastMap::default(),
            orphans: Vec::new(),
            attention: Attention::Waking(now),
            evacuated: false,
            in_set: false,
            needed_until: now,
            pulsed_at: now,
        }
    }

    /// Reports whether the agent has to be watched.
    pub(crate) fn needs_watch(&self, now: Instant) -> bool {
        self.in_set || !self.runs.is_empty() || now < self.needed_until
    }

    /// Reports whether tasks can be placed by the view of the agent.
    pub(crate) fn is_watched(&self) -> bool {
        self.attention == Attention::Watched
    }

    /// Returns when the next pulse to the agent is due. Pulses to an agent with runs show that the
    /// entry still waits for them.
    pub(crate) fn pulse_due(&self) -> Instant {
        let interval = if !self.runs.is_empty() {
            PULSE_INTERVAL
        } else if self.attention == Attention::Idle {
            IDLE_PULSE_INTERVAL
        } else {
            PULSE_INTERVAL * SPARSE_PULSE_FACTOR
        };
        self.pulsed_at + interval
    }

    /// Returns the time since which the agent should have sent something, if it is alive.
    pub(crate) fn silent_since(&self) -> Instant {
        match self.attention {
            Attention::Waking(since) => self.last_heard.max(since),
            _ => self.last_heard,
        }
    }

    /// Reports whether tasks of a pool can be sent to the agent.
    pub(crate) fn serves(&self, pool: &Name) -> bool {
        self.linked && !self.evacuated && self.view.pool.as_ref() == Some(pool)
    }

    /// Reports whether the endpoint is large enough for a task of this step and has its label.
    pub(crate) fn can_run(&self, step: &Step) -> bool {
        let labelled = step.label.as_ref();
        let labelled = labelled.is_none_or(|l| self.view.labels.contains(l));
        labelled && self.view.capacity.holds(&step.needs)
    }

    /// Handles a restart of the agent's process.
    pub(crate) fn reset(&mut self, node: NodeRef) {
        let expiry = self.last_heard + RUN_EXPIRY;
        let runs = self.runs.drain().map(|(_, sent)| (expiry, sent));
        self.orphans.extend(runs);
        self.node = node;
        self.last_report = 0;
        self.clock_ms = 0;
        self.last_counted = 0;
        self.view = View::default();
    }

    /// Removes and returns the runs that must have ended although no end was reported.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<SentRun> {
        let orphans = self.orphans.extract_if(.., |(expiry, _)| now >= *expiry);
        let mut expired: Vec<SentRun> = orphans.map(|(_, sent)| sent).collect();
        if now >= self.last_heard + RUN_EXPIRY {
            expired.extend(self.runs.drain().map(|(_, sent)| sent));
        }
        expired
    }

    /// Returns the free capacity, less the runs sent since the view.
    pub(crate) fn free(&self) -> Resources {
        let uncounted = self
            .runs
            .iter()
            .filter(|(run, _)| **run > self.last_counted);
        uncounted.fold(self.view.free, |free, (_, sent)| free.minus(sent.needs))
    }

    /// Returns the expected wait of one more task: that of the view, less its age, plus the time
    /// for the runs sent since. With a priority, only tasks of this one and higher ones count.
    pub(crate) fn expected_wait(&self, now: Instant, priority: Option<u32>) -> Duration {
        let level = priority.map(|p| p as usize);
        let by_priority = |level| self.view.waits.get(level).or(self.view.waits.last());
        let wait = level
            .and_then(by_priority)
            .copied()
            .unwrap_or(self.view.wait);
        let uncounted = self
            .runs
            .iter()
            .filter(|(run, _)| **run > self.last_counted);
        let capacity = f64::from(self.view.capacity.cpu.max(1));
        let added = uncounted.map(|(_, s)| s.estimate.mul_f64(f64::from(s.needs.cpu) / capacity));
        let age = now.saturating_duration_since(self.last_heard);
        // Only a new view can tell that there is no wait.
        let least = MIN_WAIT.min(wait);
        wait.saturating_sub(age).max(least) + added.sum::<Duration>()
    }
}
