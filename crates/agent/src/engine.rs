//! The agent's state machine: who may start what, on which slot, and who is told.

mod admit;
mod event;
mod fence;
mod outbox;
mod record;
mod slots;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use sassafras_policy::Rank;
use sassafras_util::FastMap;
use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::proto::CancelJob;
use sassafras_wire::proto::Directive;
use sassafras_wire::proto::EndpointInfo;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::Load;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Release;
use sassafras_wire::proto::Report;
use sassafras_wire::proto::Reserve;
use sassafras_wire::proto::TaskStatus;
use sassafras_wire::proto::directive::Kind;

use crate::announce::Announcement;
use crate::announce::EndpointState;
use crate::engine::outbox::Outbox;
use crate::engine::record::At;
use crate::engine::record::Reason;
use crate::engine::record::Records;
use crate::engine::record::State;
use crate::engine::record::Timer;
use crate::engine::record::not_run;
use crate::engine::slots::Slots;
use crate::engine::slots::Waiter;

pub use crate::engine::event::Completion;
pub use crate::engine::event::Directed;
pub use crate::engine::event::Effect;
pub use crate::engine::event::Event;
pub use crate::engine::event::LeaseRenewal;
pub use crate::engine::event::LinkId;
pub use crate::engine::event::Options;
pub use crate::engine::event::Start;
pub use crate::engine::event::Target;
pub use crate::engine::event::TaskOutcome;
pub use crate::engine::event::Verb;

/// An endpoint that is silent for this long is considered gone.
const ENDPOINT_SILENCE: Duration = Duration::from_secs(3);
/// Most slots that one request reserves; well above the tasks of a job, it keeps sums of
/// hostile counts from overflowing.
const MAX_RESERVE: u32 = 10_000;

#[derive(Debug)]
struct Endpoint {
    info: Announcement,
    target: Target,
    seen: Instant,
}

#[derive(Debug)]
struct Running {
    key: JobKey,
    at: At,
    target: Target,
    timer: Option<Timer>,
}

/// The agent's state machine.
#[derive(Debug)]
pub struct Engine {
    own: u64,
    options: Options,
    endpoint: Option<Endpoint>,
    lease: Option<Instant>,
    control: Option<(u64, Instant)>,
    ordered: NodeState,
    leaving: bool,
    told: (NodeState, Option<&'static str>),
    links: FastSet<LinkId>,
    records: Records,
    slots: Slots,
    running: FastMap<u64, Running>,
    next: u64,
    queued: usize,
    queued_bytes: usize,
    deadlines: BTreeMap<Timer, (JobKey, At)>,
    outbox: Outbox,
    effects: Vec<Effect>,
}

impl Engine {
    /// Creates an agent's engine; `incarnation` must be higher than at any earlier start.
    pub fn new(incarnation: u64, options: Options) -> Self {
        Self {
            own: incarnation,
            records: Records::new(options.clone()),
            options,
            endpoint: None,
            lease: None,
            control: None,
            ordered: NodeState::Active,
            leaving: false,
            told: (NodeState::Active, Some("no_endpoint")),
            links: FastSet::default(),
            slots: Slots::default(),
            running: FastMap::default(),
            next: 0,
            queued: 0,
            queued_bytes: 0,
            deadlines: BTreeMap::new(),
            outbox: Outbox::default(),
            effects: Vec::new(),
        }
    }

    /// Takes an event and returns what is to be done at once.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::LinkUp(link) => {
                self.links.insert(link);
                self.outbox.touch(link);
            }
            Event::LinkDown(link) => self.link_down(link),
            Event::Frame(link, frame) => self.frame(now, link, frame),
            Event::EndpointAnnounced(info) => self.announced(now, info),
            Event::LeaseRenewed(renewal) => self.renewed(renewal),
            Event::Completed(ended) => self.ended(now, ended),
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now),
        }
        self.follow_state(now);
        self.dispatch(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the reports that the events since the last call gave rise to. Called once for
    /// each turn of the loop, so that each entry gets one frame.
    pub fn flush(&mut self, now: Instant) -> Vec<Effect> {
        let head = Report {
            jobs: Vec::new(),
            load: Some(self.load(now)),
            incarnation: self.own,
            state: self.state(now).into(),
        };
        self.outbox.flush(&head)
    }

    /// Returns the load for heartbeats and reports.
    pub fn load(&self, now: Instant) -> Load {
        Load {
            slots: if self.barred(now).is_none() {
                self.capacity()
            } else {
                0
            },
            running: self.running.len() as u32,
            granted: self.slots.granted(),
            queued: self.slots.waiting(),
        }
    }

    /// Returns the state for heartbeats and reports.
    pub fn state(&self, now: Instant) -> NodeState {
        let endpoint_leaves = self
            .live_endpoint(now)
            .is_some_and(|e| e.info.state == EndpointState::Leaving);
        if self.leaving || endpoint_leaves {
            NodeState::Leaving
        } else if matches!(self.ordered, NodeState::Paused | NodeState::Leaving) {
            self.ordered
        } else {
            NodeState::Active
        }
    }

    /// Returns the state that this node decides by itself, without an operator's order; control
    /// would otherwise be told its own order back and never lift it.
    pub fn own_state(&self, now: Instant) -> NodeState {
        let ordered_only = !self.leaving
            && self
                .live_endpoint(now)
                .is_none_or(|e| e.info.state == EndpointState::Active);
        if ordered_only {
            NodeState::Active
        } else {
            NodeState::Leaving
        }
    }

    /// Returns what the endpoint announced, while it is there.
    pub fn endpoint_info(&self, now: Instant) -> Option<EndpointInfo> {
        let info = &self.live_endpoint(now)?.info;
        Some(EndpointInfo {
            slots: info.slots,
            connections: info.connections,
            cores: info.cores,
            memory_mb: info.memory_mb,
            accelerators: info.accelerators,
            kinds: info.kinds.clone(),
            rack: info.rack.clone(),
        })
    }

    /// Reports whether nothing runs and every result was handed in.
    pub fn is_drained(&self) -> bool {
        self.running.is_empty() && !self.records.values().any(record::Job::has_unreported)
    }

    /// Returns the number of tasks that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn frame(&mut self, now: Instant, link: LinkId, frame: Frame) {
        match frame.body {
            Some(Body::Reserve(reserve)) => self.reserve(now, link, reserve),
            Some(Body::Release(release)) => self.release(link, release),
            Some(Body::Run(run)) => self.run(now, link, run),
            Some(Body::CancelJob(cancel)) => self.cancel(now, cancel),
            Some(Body::Fence(fence)) => self.fence(now, link, frame.request, fence),
            Some(Body::Directive(directive)) => self.directive(directive),
            _ => metrics::counter!("agent_frames_ignored").increment(1),
        }
    }

    fn reserve(&mut self, now: Instant, link: LinkId, reserve: Reserve) {
        let Ok(key) = JobKey::try_from(reserve.key) else {
            return;
        };
        if reserve.incarnation != self.own || self.state(now) == NodeState::Leaving {
            return;
        }
        let count = reserve.count.min(MAX_RESERVE);
        let rank = (reserve.ideal_ms > 0).then(|| Rank {
            submitted: now
                .checked_sub(Duration::from_millis(reserve.age_ms))
                .unwrap_or(now),
            ideal: Duration::from_millis(reserve.ideal_ms),
        });
        self.slots
            .wait(Waiter::Reserved(link, key), reserve.weight, count, rank);
    }

    fn release(&mut self, link: LinkId, release: Release) {
        let Ok(key) = JobKey::try_from(release.key) else {
            return;
        };
        self.slots.give_back(link, &key, release.count);
        if release.all {
            self.slots.withdraw(&Waiter::Reserved(link, key), u32::MAX);
        }
    }

    fn cancel(&mut self, now: Instant, cancel: CancelJob) {
        let Ok(key) = JobKey::try_from(cancel.key) else {
            return;
        };
        let Some(job) = self.records.get_mut(&key) else {
            self.slots.retain(|_, k| *k != key);
            return;
        };
        if cancel.epoch < job.epoch {
            return;
        }
        job.epoch = cancel.epoch;
        job.cancelled = true;
        self.slots.retain(|_, k| *k != key);
        self.drop_queued(now, &key, "cancelled", true);
        self.direct_job(&key, Verb::Stop);
    }

    fn directive(&mut self, directive: Directive) {
        let kind = directive.kind();
        let Ok(key) = JobKey::try_from(directive.key) else {
            return;
        };
        let current = self.records.get(&key).map(|j| j.epoch);
        if current != Some(directive.epoch) {
            return;
        }
        match kind {
            Kind::Checkpoint => self.direct_job(&key, Verb::Checkpoint),
            Kind::Throttle => self.direct_job(&key, Verb::Throttle),
            Kind::Stop => self.direct_job(&key, Verb::Stop),
            Kind::Unspecified => {}
        }
    }

    /// Sends a directive for every running task of a job, where the endpoint supports it.
    fn direct_job(&mut self, key: &JobKey, verb: Verb) {
        let tasks: Vec<At> = self
            .running
            .values()
            .filter(|r| r.key == *key)
            .map(|r| r.at)
            .collect();
        for at in tasks {
            self.direct(key, at, verb);
        }
    }

    fn direct(&mut self, key: &JobKey, at: At, verb: Verb) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let info = &endpoint.info;
        let supported = match verb {
            Verb::Stop => info.stop,
            Verb::Checkpoint => info.checkpoint,
            Verb::Throttle => info.throttle,
        };
        let running = self.running.values().find(|r| r.key == *key && r.at == at);
        if let (true, Some(running)) = (supported, running) {
            self.effects.push(Effect::Direct(Directed {
                target: running.target.clone(),
                task: task_id(key, at),
                verb,
            }));
        }
    }

    fn link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
        for (key, at) in self.outbox.drop_link(link) {
            let job = self.records.get_mut(&key);
            if let Some(task) = job.and_then(|j| j.tasks.get_mut(&at)) {
                task.reported = false;
            }
        }
        self.slots.retain(|l, _| l != link);
        for job in self.records.values_mut() {
            if job.link == Some(link) {
                job.link = None;
            }
        }
    }

    fn announced(&mut self, now: Instant, info: Announcement) {
        let target = Target {
            address: info.address,
            path: Name::from(info.path.as_str()),
            connections: info.connections,
        };
        self.endpoint = Some(Endpoint {
            info,
            target,
            seen: now,
        });
    }

    fn renewed(&mut self, renewal: LeaseRenewal) {
        // Answers of a new leader may overtake those of an old one.
        if self.control.is_some_and(|(_, sent)| renewal.sent < sent) {
            return;
        }
        let Some(until) = renewal.sent.checked_add(renewal.lease) else {
            return;
        };
        self.lease = self.lease.max(Some(until));
        // Counted from the sending, the estimate is never behind the control group's clock.
        let estimate = self.control_ms(renewal.sent).unwrap_or(0);
        self.control = Some((renewal.control_ms.max(estimate), renewal.sent));
        self.ordered = renewal.state;
    }

    fn ended(&mut self, now: Instant, ended: Completion) {
        let Some(Running { key, at, timer, .. }) = self.running.remove(&ended.id) else {
            return;
        };
        self.forget_timer(timer);
        let service_us = ended.service_time.as_micros() as u64;
        let (status, payload, reason) = match ended.outcome {
            TaskOutcome::Done(payload) => (TaskStatus::Done, payload, Reason::default()),
            TaskOutcome::Errored(reason) => (TaskStatus::Errored, Bytes::new(), reason),
            TaskOutcome::Lost(reason) => (TaskStatus::Lost, Bytes::new(), reason),
            TaskOutcome::NotRun(reason) => (TaskStatus::NotRun, Bytes::new(), reason),
        };
        let state = State::Ended {
            status,
            payload,
            reason,
            service_us,
        };
        metrics::counter!("agent_results", "status" => status.as_str_name()).increment(1);
        if let Some(job) = self.records.get_mut(&key) {
            job.running -= 1;
        }
        if status != TaskStatus::NotRun {
            self.slots.observe(&key.team, ended.service_time);
        }
        self.records.end(now, &key, at, state);
        self.report(&key, at);
    }

    /// Tells the job's present link how an attempt stands, if there is a link.
    fn report(&mut self, key: &JobKey, at: At) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        let (Some(link), Some(task)) = (job.link, job.tasks.get_mut(&at)) else {
            return;
        };
        task.reported = true;
        self.outbox.task(link, key, job.epoch, task.report(at));
    }

    fn tick(&mut self, now: Instant) {
        let expired = self.slots.expire(now);
        if expired > 0 {
            metrics::counter!("agent_grants_expired").increment(u64::from(expired));
        }
        self.expire_deadlines(now);
        self.records.sweep(now);
    }

    fn forget_timer(&mut self, timer: Option<Timer>) {
        if let Some(timer) = timer {
            self.deadlines.remove(&timer);
        }
    }

    fn expire_deadlines(&mut self, now: Instant) {
        while let Some(entry) = self.deadlines.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let (key, at) = entry.remove();
            let state = self.records.get(&key).and_then(|j| j.tasks.get(&at));
            match state.map(|t| &t.state) {
                Some(State::Queued(_)) => self.drop_one(now, &key, at, "deadline", true),
                Some(State::Started) => self.direct(&key, at, Verb::Stop),
                _ => {}
            }
        }
    }

    /// Reacts to a change of the state: tells everyone, and lets nothing wait that cannot start.
    fn follow_state(&mut self, now: Instant) {
        let state = self.state(now);
        let barred = self.barred(now);
        if (state, barred) != self.told {
            self.told = (state, barred);
            self.effects.push(Effect::Heartbeat);
            for link in &self.links {
                self.outbox.touch(*link);
            }
            if state == NodeState::Leaving {
                self.slots.retain(|_, _| false);
            }
        }
        if let Some(reason) = barred
            && self.queued > 0
        {
            let waiting: Vec<JobKey> = self.records.queued().cloned().collect();
            for key in waiting {
                self.drop_queued(now, &key, reason, true);
            }
        }
    }

    /// Returns why nothing may start whatever the lease says, if so.
    fn barred(&self, now: Instant) -> Option<&'static str> {
        if self.leaving {
            return Some("leaving");
        }
        match self.ordered {
            NodeState::Paused => return Some("paused"),
            NodeState::Leaving => return Some("leaving"),
            _ => {}
        }
        match self.live_endpoint(now) {
            None => Some("no_endpoint"),
            Some(e) if e.info.state == EndpointState::Leaving => Some("endpoint_leaving"),
            Some(_) => None,
        }
    }

    fn live_endpoint(&self, now: Instant) -> Option<&Endpoint> {
        self.endpoint
            .as_ref()
            .filter(|e| now.duration_since(e.seen) < ENDPOINT_SILENCE)
    }

    fn capacity(&self) -> u32 {
        self.endpoint.as_ref().map_or(0, |e| e.info.capacity())
    }

    pub(crate) fn has_lease(&self, now: Instant) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    /// Returns the estimated time of the control group's clock.
    fn control_ms(&self, now: Instant) -> Option<u64> {
        self.control
            .map(|(ms, at)| ms + now.duration_since(at).as_millis() as u64)
    }
}

/// Names an attempt to the endpoint.
fn task_id(key: &JobKey, (index, attempt): At) -> String {
    format!("{key}/{index}/{attempt}")
}

/// Returns the state of an attempt that was refused for `reason`.
fn refused(reason: &'static str) -> State {
    metrics::counter!("agent_refusals", "reason" => reason).increment(1);
    not_run(reason.into())
}
