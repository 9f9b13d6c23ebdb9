//! Admission and start of tasks.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;
use sassafras_wire::JobKey;
use sassafras_wire::proto::Run;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskSpec;
use sassafras_wire::proto::TaskStatus;

use crate::engine::Effect;
use crate::engine::Engine;
use crate::engine::LinkId;
use crate::engine::Running;
use crate::engine::Start;
use crate::engine::record::At;
use crate::engine::record::Pending;
use crate::engine::record::State;
use crate::engine::record::Task;
use crate::engine::refused;
use crate::engine::slots::Waiter;
use crate::engine::task_id;

/// What the tasks of one `Run` frame have in common.
struct Batch {
    link: LinkId,
    key: JobKey,
    weight: u32,
    granted: bool,
    claimed: u64,
    reason: Option<&'static str>,
}

impl Engine {
    pub(super) fn run(&mut self, now: Instant, link: LinkId, run: Run) {
        let Ok(key) = JobKey::try_from(run.key) else {
            return;
        };
        let refusal = if run.incarnation == self.own {
            self.enter(now, link, &key, run.epoch, run.claimed_ms)
        } else {
            Some("incarnation")
        };
        if let Some(reason) = refusal {
            self.refuse_unrecorded(link, &key, run.epoch, &run.tasks, reason);
            return;
        }
        let batch = Batch {
            reason: self.job_refusal(now, &key, run.claimed_ms),
            link,
            key,
            weight: run.weight,
            granted: run.granted,
            claimed: run.claimed_ms,
        };
        for spec in run.tasks {
            self.admit(now, &batch, spec);
        }
    }

    /// Opens the job's record for a frame of `epoch`. Returns a reason when the frame is
    /// refused as a whole; such refusals are final without a record, since the epoch of a job,
    /// the age of a claim and the floor of the records never go back.
    fn enter(
        &mut self,
        now: Instant,
        link: LinkId,
        key: &JobKey,
        epoch: u64,
        claimed: u64,
    ) -> Option<&'static str> {
        match self.records.get(key) {
            Some(job) if epoch < job.epoch => return Some("stale_epoch"),
            None if self.is_old(now, claimed) => return Some("claim_expired"),
            _ => {}
        }
        if self.records.open(now, key, claimed).is_none() {
            return Some("records_full");
        }
        self.raise(now, link, key, epoch);
        None
    }

    /// Raises the job's epoch, drops what an older epoch has waiting, and turns reports to `link`.
    pub(super) fn raise(&mut self, now: Instant, link: LinkId, key: &JobKey, epoch: u64) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        job.link = Some(link);
        if epoch > job.epoch {
            let first = job.epoch == 0;
            job.epoch = epoch;
            job.cancelled = false;
            if !first {
                self.slots.retain(|l, k| l == link || k != key);
                self.drop_queued(now, key, "fenced", false);
            }
        }
    }

    /// Returns why no task of the job may start at present, if so.
    fn job_refusal(&self, now: Instant, key: &JobKey, claimed: u64) -> Option<&'static str> {
        let job = self.records.get(key)?;
        if job.cancelled {
            return Some("cancelled");
        }
        if job.closed {
            return Some("records_full");
        }
        if let Some(reason) = self.barred(now) {
            return Some(reason);
        }
        if !self.has_lease(now) {
            return Some("no_lease");
        }
        self.is_old(now, claimed).then_some("claim_expired")
    }

    /// Reports whether a claim is too old for a start: its fences may have been forgotten.
    fn is_old(&self, now: Instant, claimed: u64) -> bool {
        let limit = self.options.retention.as_millis() as u64 / 2;
        self.control_ms(now)
            .is_some_and(|ms| ms.saturating_sub(claimed) > limit)
    }

    fn refuse_unrecorded(
        &mut self,
        link: LinkId,
        key: &JobKey,
        epoch: u64,
        tasks: &[TaskSpec],
        reason: &'static str,
    ) {
        let job = self.records.get(key);
        let epoch = job.map_or(epoch, |j| j.epoch.max(epoch));
        let refused = |spec: &&TaskSpec| {
            // An attempt that has a record may have run, so nothing is said about it here.
            let task = job.and_then(|j| j.tasks.get(&(spec.index, spec.attempt)));
            task.is_none_or(|t| {
                matches!(
                    t.state,
                    State::Ended {
                        status: TaskStatus::NotRun,
                        ..
                    }
                )
            })
        };
        for spec in tasks.iter().filter(refused) {
            metrics::counter!("agent_refusals", "reason" => reason).increment(1);
            let report = TaskReport {
                index: spec.index,
                attempt: spec.attempt,
                status: TaskStatus::NotRun.into(),
                reason: reason.to_owned(),
                ..TaskReport::default()
            };
            self.outbox.task(link, key, epoch, report);
        }
    }

    fn admit(&mut self, now: Instant, batch: &Batch, spec: TaskSpec) {
        let key = &batch.key;
        let at = (spec.index, spec.attempt);
        if let Some(task) = self.records.get(key).and_then(|j| j.tasks.get(&at)) {
            // A repeated frame: the attempt stands as recorded.
            if matches!(task.state, State::Ended { .. }) {
                self.report(key, at);
            }
            return;
        }
        // A refused task gives its slot back as well.
        let redeemed = batch.granted && self.slots.redeem(batch.link, key);
        let kind = Name::checked(&spec.kind);
        let reason = self.task_refusal(batch, &spec, kind.as_ref(), redeemed);
        let (None, Some(kind)) = (reason, kind) else {
            self.refuse(batch.link, key, at, reason.unwrap_or("invalid_kind"));
            return;
        };
        self.next += 1;
        let deadline = (spec.deadline_ms > 0)
            .then(|| now.checked_add(Duration::from_millis(spec.deadline_ms)))
            .flatten();
        let timer = deadline.map(|at| (at, self.next));
        let pending = Pending {
            arrived: now,
            timer,
            claimed: batch.claimed,
            kind,
            payload: spec.payload,
        };
        let bytes = pending.payload.len();
        let task = Task {
            state: State::Queued(Box::new(pending)),
            wait_us: 0,
            reported: false,
        };
        if !self.records.insert(key, at, task) {
            self.refuse_unrecorded_one(batch.link, key, at);
            return;
        }
        if let Some(timer) = timer {
            self.deadlines.insert(timer, (key.clone(), at));
        }
        self.queued += 1;
        self.queued_bytes += bytes;
        if redeemed && self.has_free_slot() {
            self.start(now, key, at);
            return;
        }
        if let Some(job) = self.records.get_mut(key) {
            job.queued.push_back(at);
            self.slots
                .wait(Waiter::Queued(key.clone()), batch.weight, 1, None);
        }
    }

    /// Returns why this task may not start or wait, if so.
    fn task_refusal(
        &self,
        batch: &Batch,
        spec: &TaskSpec,
        kind: Option<&Name>,
        redeemed: bool,
    ) -> Option<&'static str> {
        if batch.reason.is_some() {
            return batch.reason;
        }
        let job = self.records.get(&batch.key)?;
        if job.closed {
            return Some("records_full");
        }
        if job.taken.contains_key(&spec.index) {
            return Some("already_started");
        }
        let Some(kind) = kind else {
            return Some("invalid_kind");
        };
        let kinds = self.endpoint.as_ref().map(|e| &e.info.kinds);
        if kinds.is_some_and(|k| !k.is_empty() && !k.iter().any(|k| **k == **kind)) {
            return Some("unsupported_kind");
        }
        let bytes = self.queued_bytes + spec.payload.len();
        let full = self.queued >= self.options.queue || bytes > self.options.queue_bytes;
        (full && !redeemed).then_some("queue_full")
    }

    /// Records a refusal and reports it.
    fn refuse(&mut self, link: LinkId, key: &JobKey, at: At, reason: &'static str) {
        metrics::counter!("agent_refusals", "reason" => reason).increment(1);
        if self.records.insert(key, at, Task::refused(reason.into())) {
            self.report(key, at);
        } else {
            self.refuse_unrecorded_one(link, key, at);
        }
    }

    /// Reports a refusal for which there was no room; the job starts nothing more.
    fn refuse_unrecorded_one(&mut self, link: LinkId, key: &JobKey, at: At) {
        let epoch = self.records.get(key).map_or(0, |j| j.epoch);
        let report = Task::refused("records_full".into()).report(at);
        self.outbox.task(link, key, epoch, report);
    }

    /// Gives free slots to what waits, in the fair order, while starts are allowed.
    pub(super) fn dispatch(&mut self, now: Instant) {
        while self.has_free_slot() && self.barred(now).is_none() && self.has_lease(now) {
            match self.slots.next(now) {
                None => return,
                Some(Waiter::Reserved(link, key)) => {
                    let epoch = self.records.get(&key).map_or(0, |j| j.epoch);
                    self.outbox.grant(link, &key, epoch);
                    self.slots.grant(now, link, key);
                }
                Some(Waiter::Queued(key)) => self.start_next(now, &key),
            }
        }
    }

    /// Starts the oldest queued task of a job, unless its time is over.
    fn start_next(&mut self, now: Instant, key: &JobKey) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        let Some(at) = job.queued.pop_front() else {
            return;
        };
        let Some(State::Queued(pending)) = job.tasks.get(&at).map(|t| &t.state) else {
            return;
        };
        let late = pending.timer.is_some_and(|(at, _)| at <= now);
        let claimed = pending.claimed;
        if late {
            self.end_queued(now, key, at, "deadline", true);
        } else if self.is_old(now, claimed) {
            self.end_queued(now, key, at, "claim_expired", true);
        } else {
            self.start(now, key, at);
        }
    }

    /// Starts a task; the caller has checked that a slot is free.
    fn start(&mut self, now: Instant, key: &JobKey, at: At) {
        let Some(target) = self.endpoint.as_ref().map(|e| e.target.clone()) else {
            return;
        };
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(&at) else {
            return;
        };
        let State::Queued(pending) = std::mem::replace(&mut task.state, State::Started) else {
            return;
        };
        task.wait_us = now.duration_since(pending.arrived).as_micros() as u64;
        job.running += 1;
        self.queued -= 1;
        self.queued_bytes -= pending.payload.len();
        self.next += 1;
        metrics::counter!("agent_starts").increment(1);
        self.effects.push(Effect::Start(Start {
            id: self.next,
            target: target.clone(),
            task: task_id(key, at),
            kind: pending.kind,
            deadline: pending
                .timer
                .map(|(at, _)| at.saturating_duration_since(now)),
            payload: pending.payload,
        }));
        let running = Running {
            key: key.clone(),
            at,
            target,
            timer: pending.timer,
        };
        self.running.insert(self.next, running);
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() as u32 + self.slots.granted() < self.capacity()
    }

    /// Ends every queued task of a job as not run.
    pub(super) fn drop_queued(
        &mut self,
        now: Instant,
        key: &JobKey,
        reason: &'static str,
        tell: bool,
    ) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        for at in std::mem::take(&mut job.queued) {
            self.slots.withdraw(&Waiter::Queued(key.clone()), 1);
            self.end_queued(now, key, at, reason, tell);
        }
    }

    /// Takes one task out of the queue and ends it as not run.
    pub(super) fn drop_one(
        &mut self,
        now: Instant,
        key: &JobKey,
        at: At,
        reason: &'static str,
        tell: bool,
    ) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        job.queued.retain(|q| *q != at);
        self.slots.withdraw(&Waiter::Queued(key.clone()), 1);
        self.end_queued(now, key, at, reason, tell);
    }

    fn end_queued(&mut self, now: Instant, key: &JobKey, at: At, reason: &'static str, tell: bool) {
        let task = self.records.get(key).and_then(|j| j.tasks.get(&at));
        let Some(State::Queued(pending)) = task.map(|t| &t.state) else {
            return;
        };
        let timer = pending.timer;
        self.queued -= 1;
        self.queued_bytes -= pending.payload.len();
        self.forget_timer(timer);
        self.records.end(now, key, at, refused(reason));
        if tell {
            self.report(key, at);
        }
    }
}
