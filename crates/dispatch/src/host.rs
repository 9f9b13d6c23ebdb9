//! What an entry knows about an agent and its endpoint.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::EndpointView;

use crate::job::Resources;
use crate::timing::RUN_GONE_AFTER;

/// An expected wait does not shrink below this until the agent has said that it is over.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// An endpoint as its agent last described it.
#[derive(Clone, Debug)]
pub struct View {
    /// The pool that the endpoint belongs to; none while it takes no tasks.
    pub pool: Option<Name>,
    /// The endpoint and its start.
    pub endpoint: Name,
    /// Kind and rack of the endpoint.
    pub labels: Vec<Name>,
    /// What the endpoint holds.
    pub room: Resources,
    /// What no running or queued task needs.
    pub free: Resources,
    /// Tasks that wait for room.
    pub queued: u32,
    /// Expected wait of one more task of average size.
    pub wait: Duration,
    /// Measured over expected run time.
    pub pace: f64,
    /// Whether most recent tasks failed or stalled.
    pub suspect: bool,
    /// Whether a suspect endpoint takes one task to be tried again.
    pub probe: bool,
}

impl Default for View {
    /// An endpoint that takes no tasks.
    fn default() -> Self {
        Self {
            pool: None,
            endpoint: Name::from(""),
            labels: Vec::new(),
            room: Resources::default(),
            free: Resources::default(),
            queued: 0,
            wait: Duration::ZERO,
            pace: 1.0,
            suspect: false,
            probe: false,
        }
    }
}

impl From<EndpointView> for View {
    fn from(view: EndpointView) -> Self {
        let pool = Some(view.pool).filter(|p| !p.is_empty());
        Self {
            pool: pool.map(Name::from),
            endpoint: Name::from(view.endpoint),
            labels: view.labels.into_iter().map(Name::from).collect(),
            room: view.room.unwrap_or_default().into(),
            free: view.free.unwrap_or_default().into(),
            queued: view.queued,
            wait: Duration::from_millis(view.wait_ms.into()),
            pace: f64::from(view.pace.max(1)) / 1000.0,
            suspect: view.suspect,
            probe: view.probe,
        }
    }
}

/// A run that an entry has sent to an agent and not heard the end of.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) job: u64,
    pub(crate) task: usize,
    pub(crate) needs: Resources,
    pub(crate) estimate: Duration,
}

/// An agent and its endpoint, as one entry knows them.
#[derive(Clone, Debug)]
pub struct Host {
    pub(crate) node: NodeRef,
    pub(crate) zone: Name,
    /// Whether there is a link to the agent.
    pub(crate) linked: bool,
    /// When the agent was last heard.
    pub(crate) heard: Instant,
    /// The agent's clock when it was last heard.
    pub(crate) clock_ms: u64,
    /// Last report that was taken.
    pub(crate) taken: u64,
    /// Last run that the agent has counted in its view.
    pub(crate) received: u64,
    pub(crate) view: View,
    pub(crate) runs: FastMap<u64, Sent>,
    /// Runs of an earlier process of the agent, and when each of them has ended for certain.
    pub(crate) orphans: Vec<(Instant, Sent)>,
}

impl Host {
    pub(crate) fn new(now: Instant, node: NodeRef, zone: Name) -> Self {
        Self {
            node,
            zone,
            linked: true,
            heard: now,
            clock_ms: 0,
            taken: 0,
            received: 0,
            view: View::default(),
            runs: FastMap::default(),
            orphans: Vec::new(),
        }
    }

    /// Reports whether tasks of a pool can be sent to the agent.
    pub(crate) fn serves(&self, pool: &Name) -> bool {
        self.linked && self.view.pool.as_ref() == Some(pool)
    }

    /// Takes note that another process runs the agent.
    pub(crate) fn replace(&mut self, node: NodeRef) {
        let gone = self.heard + RUN_GONE_AFTER;
        let runs = self.runs.drain().map(|(_, sent)| (gone, sent));
        self.orphans.extend(runs);
        self.node = node;
        self.taken = 0;
        self.clock_ms = 0;
        self.received = 0;
        self.view = View::default();
    }

    /// Takes the runs that have ended for certain though nobody reported it.
    pub(crate) fn take_gone(&mut self, now: Instant) -> Vec<Sent> {
        let over = self.orphans.extract_if(.., |(gone, _)| now >= *gone);
        let mut gone: Vec<Sent> = over.map(|(_, sent)| sent).collect();
        if now >= self.heard + RUN_GONE_AFTER {
            gone.extend(self.runs.drain().map(|(_, sent)| sent));
        }
        gone
    }

    /// Returns the free room, less what was sent since the agent's view.
    pub(crate) fn free(&self) -> Resources {
        let unseen = self.runs.iter().filter(|(run, _)| **run > self.received);
        unseen.fold(self.view.free, |free, (_, sent)| free.minus(sent.needs))
    }

    /// Returns the expected wait of one more task, with the time that has passed and the work that
    /// was sent since the agent's view.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let unseen = self.runs.iter().filter(|(run, _)| **run > self.received);
        let room = f64::from(self.view.room.cpu.max(1));
        let added = unseen.map(|(_, s)| s.estimate.mul_f64(f64::from(s.needs.cpu) / room));
        let age = now.saturating_duration_since(self.heard);
        // Whether there is a wait at all is for the agent to say.
        let least = MIN_WAIT.min(self.view.wait);
        self.view.wait.saturating_sub(age).max(least) + added.sum::<Duration>()
    }
}
