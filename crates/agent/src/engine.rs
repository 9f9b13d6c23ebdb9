//! The agent's state machine.
//!
//! Decides which tasks may start, assigns them to slots, keeps the records of attempts and
//! collects the reports to the entries.

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
use crate::engine::record::AttemptId;
use crate::engine::record::AttemptState;
use crate::engine::record::DeadlineKey;
use crate::engine::record::Reason;
use crate::engine::record::Records;
use crate::engine::record::not_run_state;
use crate::engine::slots::Slots;
use crate::engine::slots::Waiter;

pub use crate::engine::event::Completion;
pub use crate::engine::event::DirectiveAction;
pub use crate::engine::event::Effect;
pub use crate::engine::event::Event;
pub use crate::engine::event::LeaseRenewal;
pub use crate::engine::event::LinkId;
pub use crate::engine::event::Options;
pub use crate::engine::event::Start;
pub use crate::engine::event::Target;
pub use crate::engine::event::TaskDirective;
pub use crate::engine::event::TaskOutcome;

/// An endpoint whose last announcement is this old is considered gone.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of slots that one `Reserve` frame reserves; a larger count is reduced to it. It is
/// well above the number of tasks in a job and prevents overflow when counts from a misbehaving
/// entry are summed.
const MAX_RESERVED_SLOTS: u32 = 10_000;

#[derive(Debug)]
struct Endpoint {
    /// The latest announcement.
    info: Announcement,
    target: Target,
    last_seen: Instant,
}

/// A task that the endpoint was asked to start and that has not ended.
#[derive(Debug)]
struct RunningTask {
    key: JobKey,
    id: AttemptId,
    target: Target,
    deadline: Option<DeadlineKey>,
}

/// The agent's state machine.
#[derive(Debug)]
pub struct Engine {
    incarnation: u64,
    options: Options,
    endpoint: Option<Endpoint>,
    lease_until: Option<Instant>,
    /// The control group's clock in milliseconds from the latest heartbeat reply, and the local time
    /// at which that heartbeat was sent.
    control_clock: Option<(u64, Instant)>,
    /// The state that the control group holds for this node.
    control_state: NodeState,
    /// Whether a graceful shutdown has begun.
    leaving: bool,
    /// The state and the node-wide refusal reason as of the latest event.
    last_state: (NodeState, Option<&'static str>),
    links: FastSet<LinkId>,
    records: Records,
    slots: Slots,
    /// Running tasks by the id of their [`Start`].
    running: FastMap<u64, RunningTask>,
    next_id: u64,
    /// Number of tasks that are waiting for a slot.
    queued: usize,
    queued_bytes: usize,
    deadlines: BTreeMap<DeadlineKey, (JobKey, AttemptId)>,
    outbox: Outbox,
    effects: Vec<Effect>,
}

impl Engine {
    /// Creates an engine. `incarnation` must be higher than that of every earlier process of
    /// this node.
    pub fn new(incarnation: u64, options: Options) -> Self {
        Self {
            incarnation,
            records: Records::new(options.clone()),
            options,
            endpoint: None,
            lease_until: None,
            control_clock: None,
            control_state: NodeState::Active,
            leaving: false,
            last_state: (NodeState::Active, Some("no_endpoint")),
            links: FastSet::default(),
            slots: Slots::default(),
            running: FastMap::default(),
            next_id: 0,
            queued: 0,
            queued_bytes: 0,
            deadlines: BTreeMap::new(),
            outbox: Outbox::default(),
            effects: Vec::new(),
        }
    }

    /// Processes an event and returns the effects to carry out immediately.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::LinkUp(link) => {
                self.links.insert(link);
                self.outbox.request_report(link);
            }
            Event::LinkDown(link) => self.link_down(link),
            Event::Frame(link, frame) => self.frame(now, link, frame),
            Event::EndpointAnnounced(info) => self.endpoint_announced(now, info),
            Event::LeaseRenewed(renewal) => self.lease_renewed(renewal),
            Event::Completed(completion) => self.completed(now, completion),
            Event::Shutdown => self.leaving = true,
            Event::Tick => self.tick(now),
        }
        self.apply_state(now);
        self.assign_slots(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the reports caused by the events since the last call. Calling it once per batch of
    /// events gives each entry one frame for the whole batch.
    pub fn flush(&mut self, now: Instant) -> Vec<Effect> {
        let template = Report {
            jobs: Vec::new(),
            load: Some(self.load(now)),
            incarnation: self.incarnation,
            state: self.state(now).into(),
        };
        self.outbox.flush(&template)
    }

    /// Returns the load sent in heartbeats and reports.
    pub fn load(&self, now: Instant) -> Load {
        Load {
            slots: if self.node_refusal(now).is_none() {
                self.capacity()
            } else {
                0
            },
            running: self.running.len() as u32,
            granted: self.slots.granted(),
            queued: self.slots.waiting(),
        }
    }

    /// Returns the effective state of this node, which reports carry.
    pub fn state(&self, now: Instant) -> NodeState {
        let endpoint_leaving = self
            .live_endpoint(now)
            .is_some_and(|e| e.info.state == EndpointState::Leaving);
        if self.leaving || endpoint_leaving {
            NodeState::Leaving
        } else if matches!(self.control_state, NodeState::Paused | NodeState::Leaving) {
            self.control_state
        } else {
            NodeState::Active
        }
    }

    /// Returns the state that results from the agent and its endpoint alone, which heartbeats
    /// carry. It leaves out the state set by an operator: if that were sent back, the control
    /// group would take it for the node's own state and never clear it.
    pub fn local_state(&self, now: Instant) -> NodeState {
        let active = !self.leaving
            && self
                .live_endpoint(now)
                .is_none_or(|e| e.info.state == EndpointState::Active);
        if active {
            NodeState::Active
        } else {
            NodeState::Leaving
        }
    }

    /// Returns the endpoint's latest announcement, or `None` if the endpoint is gone.
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

    /// Returns whether no task is running and every result was reported.
    pub fn is_drained(&self) -> bool {
        self.running.is_empty()
            && !self
                .records
                .values()
                .any(record::JobRecord::has_unreported_results)
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn frame(&mut self, now: Instant, link: LinkId, frame: Frame) {
        match frame.body {
            Some(Body::Reserve(reserve)) => self.reserve(now, link, reserve),
            Some(Body::Release(release)) => self.release(link, release),
            Some(Body::Run(run)) => self.run(now, link, run),
            Some(Body::CancelJob(cancel)) => self.cancel_job(now, cancel),
            Some(Body::Fence(fence)) => self.fence(now, link, frame.request, fence),
            Some(Body::Directive(directive)) => self.directive(directive),
            _ => metrics::counter!("agent_frames_ignored").increment(1),
        }
    }

    fn reserve(&mut self, now: Instant, link: LinkId, reserve: Reserve) {
        let Ok(key) = JobKey::try_from(reserve.key) else {
            return;
        };
        if reserve.incarnation != self.incarnation || self.state(now) == NodeState::Leaving {
            return;
        }
        let count = reserve.count.min(MAX_RESERVED_SLOTS);
        let rank = (reserve.ideal_ms > 0).then(|| Rank {
            submitted: now
                .checked_sub(Duration::from_millis(reserve.age_ms))
                .unwrap_or(now),
            ideal: Duration::from_millis(reserve.ideal_ms),
        });
        self.slots
            .enqueue(Waiter::Reserved(link, key), reserve.weight, count, rank);
    }

    fn release(&mut self, link: LinkId, release: Release) {
        let Ok(key) = JobKey::try_from(release.key) else {
            return;
        };
        self.slots.release(link, &key, release.count);
        if release.all {
            self.slots.withdraw(&Waiter::Reserved(link, key), u32::MAX);
        }
    }

    fn cancel_job(&mut self, now: Instant, cancel: CancelJob) {
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
        self.reject_queued(now, &key, "cancelled", true);
        self.send_job_directive(&key, DirectiveAction::Stop);
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
            Kind::Checkpoint => self.send_job_directive(&key, DirectiveAction::Checkpoint),
            Kind::Throttle => self.send_job_directive(&key, DirectiveAction::Throttle),
            Kind::Stop => self.send_job_directive(&key, DirectiveAction::Stop),
            Kind::Unspecified => {}
        }
    }

    /// Sends a directive for every running task of a job if the endpoint supports it.
    fn send_job_directive(&mut self, key: &JobKey, action: DirectiveAction) {
        let ids: Vec<AttemptId> = self
            .running
            .values()
            .filter(|r| r.key == *key)
            .map(|r| r.id)
            .collect();
        for id in ids {
            self.send_directive(key, id, action);
        }
    }

    fn send_directive(&mut self, key: &JobKey, id: AttemptId, action: DirectiveAction) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let info = &endpoint.info;
        let supported = match action {
            DirectiveAction::Stop => info.stop,
            DirectiveAction::Checkpoint => info.checkpoint,
            DirectiveAction::Throttle => info.throttle,
        };
        let running = self.running.values().find(|r| r.key == *key && r.id == id);
        if let (true, Some(running)) = (supported, running) {
            self.effects.push(Effect::SendDirective(TaskDirective {
                target: running.target.clone(),
                task: task_id(key, id),
                action,
            }));
        }
    }

    fn link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
        for (key, id) in self.outbox.remove_link(link) {
            let job = self.records.get_mut(&key);
            if let Some(attempt) = job.and_then(|j| j.attempts.get_mut(&id)) {
                attempt.reported = false;
            }
        }
        self.slots.retain(|l, _| l != link);
        for job in self.records.values_mut() {
            if job.link == Some(link) {
                job.link = None;
            }
        }
    }

    /// Returns whether an announcement may be taken over. The endpoint in use holds against one of
    /// another address, which may come from another program, until it leaves or falls silent.
    pub fn accepts_announcement(&self, now: Instant, info: &Announcement) -> bool {
        let current = self.live_endpoint(now).map(|e| &e.info);
        current.is_none_or(|c| c.address == info.address || c.state == EndpointState::Leaving)
    }

    fn endpoint_announced(&mut self, now: Instant, info: Announcement) {
        if !self.accepts_announcement(now, &info) {
            return;
        }
        let target = Target {
            address: info.address,
            path: Name::from(info.path.as_str()),
            connections: info.connections,
        };
        self.endpoint = Some(Endpoint {
            info,
            target,
            last_seen: now,
        });
    }

    fn lease_renewed(&mut self, renewal: LeaseRenewal) {
        // A reply from a new leader may overtake an earlier reply from the previous leader.
        if self
            .control_clock
            .is_some_and(|(_, sent)| renewal.sent < sent)
        {
            return;
        }
        let Some(until) = renewal.sent.checked_add(renewal.lease) else {
            return;
        };
        self.lease_until = self.lease_until.max(Some(until));
        // The reply's clock reading is applied to the time at which the heartbeat was sent, so the
        // estimate is never behind the control group's clock.
        let estimate = self.control_ms(renewal.sent).unwrap_or(0);
        self.control_clock = Some((renewal.control_ms.max(estimate), renewal.sent));
        self.control_state = renewal.state;
    }

    fn completed(&mut self, now: Instant, completion: Completion) {
        let Some(RunningTask {
            key, id, deadline, ..
        }) = self.running.remove(&completion.id)
        else {
            return;
        };
        self.remove_deadline(deadline);
        let service_us = completion.service_time.as_micros() as u64;
        let (status, payload, reason) = match completion.outcome {
            TaskOutcome::Done(payload) => (TaskStatus::Done, payload, Reason::default()),
            TaskOutcome::Errored(reason) => (TaskStatus::Errored, Bytes::new(), reason),
            TaskOutcome::Lost(reason) => (TaskStatus::Lost, Bytes::new(), reason),
            TaskOutcome::NotRun(reason) => (TaskStatus::NotRun, Bytes::new(), reason),
        };
        let state = AttemptState::Finished {
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
            self.slots
                .record_run_time(&key.team, completion.service_time);
        }
        self.records.finish(now, &key, id, state);
        self.report(&key, id);
    }

    /// Reports the state of an attempt on the job's current link, if it has one.
    fn report(&mut self, key: &JobKey, id: AttemptId) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        let (Some(link), Some(attempt)) = (job.link, job.attempts.get_mut(&id)) else {
            return;
        };
        attempt.reported = true;
        self.outbox
            .add_task(link, key, job.epoch, attempt.report(id));
    }

    fn tick(&mut self, now: Instant) {
        let expired = self.slots.expire_grants(now);
        if expired > 0 {
            metrics::counter!("agent_grants_expired").increment(u64::from(expired));
        }
        self.expire_deadlines(now);
        self.records.remove_expired(now);
    }

    fn remove_deadline(&mut self, deadline: Option<DeadlineKey>) {
        if let Some(deadline) = deadline {
            self.deadlines.remove(&deadline);
        }
    }

    fn expire_deadlines(&mut self, now: Instant) {
        while let Some(entry) = self.deadlines.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let (key, id) = entry.remove();
            let attempt = self.records.get(&key).and_then(|j| j.attempts.get(&id));
            match attempt.map(|a| &a.state) {
                Some(AttemptState::Queued(_)) => {
                    self.reject_attempt(now, &key, id, "deadline", true);
                }
                Some(AttemptState::Started) => self.send_directive(&key, id, DirectiveAction::Stop),
                _ => {}
            }
        }
    }

    /// Announces a change of the node's state to the control group and all entries, and rejects
    /// queued tasks while the node starts none.
    fn apply_state(&mut self, now: Instant) {
        let state = self.state(now);
        let refusal = self.node_refusal(now);
        if (state, refusal) != self.last_state {
            self.last_state = (state, refusal);
            self.effects.push(Effect::Heartbeat);
            for link in &self.links {
                self.outbox.request_report(*link);
            }
            if state == NodeState::Leaving {
                self.slots.retain(|_, _| false);
            }
        }
        if let Some(reason) = refusal
            && self.queued > 0
        {
            let keys: Vec<JobKey> = self.records.with_queued().cloned().collect();
            for key in keys {
                self.reject_queued(now, &key, reason, true);
            }
        }
    }

    /// Returns the reason why this node starts no tasks, apart from a missing lease, or `None` if
    /// there is none.
    fn node_refusal(&self, now: Instant) -> Option<&'static str> {
        if self.leaving {
            return Some("leaving");
        }
        match self.control_state {
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
            .filter(|e| now.duration_since(e.last_seen) < ENDPOINT_TIMEOUT)
    }

    fn capacity(&self) -> u32 {
        self.endpoint.as_ref().map_or(0, |e| e.info.capacity())
    }

    pub(crate) fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Returns an estimate of the control group's clock in milliseconds.
    fn control_ms(&self, now: Instant) -> Option<u64> {
        self.control_clock
            .map(|(ms, at)| ms + now.duration_since(at).as_millis() as u64)
    }
}

/// Returns the identifier under which the endpoint knows an attempt.
fn task_id(key: &JobKey, (index, attempt): AttemptId) -> String {
    format!("{key}/{index}/{attempt}")
}

/// Counts a refusal and returns the state of the refused attempt.
fn refused_state(reason: &'static str) -> AttemptState {
    metrics::counter!("agent_refusals", "reason" => reason).increment(1);
    not_run_state(reason.into())
}
