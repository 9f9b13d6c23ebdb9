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
use crate::engine::RunningTask;
use crate::engine::Start;
use crate::engine::record::Attempt;
use crate::engine::record::AttemptId;
use crate::engine::record::AttemptState;
use crate::engine::record::Pending;
use crate::engine::refused_state;
use crate::engine::slots::Waiter;
use crate::engine::task_id;

/// The fields that all tasks of one `Run` frame share.
struct RunBatch {
    link: LinkId,
    key: JobKey,
    weight: u32,
    granted: bool,
    claimed_ms: u64,
    /// Why none of the tasks may start, if so.
    refusal: Option<&'static str>,
}

impl Engine {
    pub(super) fn run(&mut self, now: Instant, link: LinkId, run: Run) {
        let Ok(key) = JobKey::try_from(run.key) else {
            return;
        };
        let refusal = if run.incarnation == self.incarnation {
            self.open_record(now, link, &key, run.epoch, run.claimed_ms)
        } else {
            Some("incarnation")
        };
        if let Some(reason) = refusal {
            self.refuse_unrecorded(link, &key, run.epoch, &run.tasks, reason);
            return;
        }
        let batch = RunBatch {
            refusal: self.job_refusal(now, &key, run.claimed_ms),
            link,
            key,
            weight: run.weight,
            granted: run.granted,
            claimed_ms: run.claimed_ms,
        };
        for spec in run.tasks {
            self.admit(now, &batch, spec);
        }
    }

    /// Creates or updates the job's record for a `Run` frame of `epoch`. Returns a reason if the
    /// whole frame is refused. Such a refusal is final although it is not recorded, because the
    /// epoch of a job, the age of a claim and the claim floor of the records never decrease.
    fn open_record(
        &mut self,
        now: Instant,
        link: LinkId,
        key: &JobKey,
        epoch: u64,
        claimed_ms: u64,
    ) -> Option<&'static str> {
        match self.records.get(key) {
            Some(job) if epoch < job.epoch => return Some("stale_epoch"),
            None if self.is_claim_expired(now, claimed_ms) => return Some("claim_expired"),
            _ => {}
        }
        if self.records.get_or_create(now, key, claimed_ms).is_none() {
            return Some("records_full");
        }
        self.raise_epoch(now, link, key, epoch);
        None
    }

    /// Raises the job's epoch to `epoch`, rejects the queued tasks of an older epoch, and directs
    /// further reports to `link`.
    pub(super) fn raise_epoch(&mut self, now: Instant, link: LinkId, key: &JobKey, epoch: u64) {
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
                self.reject_queued(now, key, "fenced", false);
            }
        }
    }

    /// Returns the reason why no task of the job may start now, or `None` if there is none.
    fn job_refusal(&self, now: Instant, key: &JobKey, claimed_ms: u64) -> Option<&'static str> {
        let job = self.records.get(key)?;
        if job.cancelled {
            return Some("cancelled");
        }
        if job.full {
            return Some("records_full");
        }
        if let Some(reason) = self.node_refusal(now) {
            return Some(reason);
        }
        if !self.has_lease(now) {
            return Some("no_lease");
        }
        self.is_claim_expired(now, claimed_ms)
            .then_some("claim_expired")
    }

    /// Returns whether a claim is too old to start tasks. The record of an older claim, and with
    /// it the epoch set by a fence, may have been removed.
    fn is_claim_expired(&self, now: Instant, claimed_ms: u64) -> bool {
        let limit = self.options.retention.as_millis() as u64 / 2;
        self.control_ms(now)
            .is_some_and(|ms| ms.saturating_sub(claimed_ms) > limit)
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
        let did_not_run = |spec: &&TaskSpec| {
            // A recorded attempt may have run and must not be reported as not run.
            let attempt = job.and_then(|j| j.attempts.get(&(spec.index, spec.attempt)));
            attempt.is_none_or(|a| {
                matches!(
                    a.state,
                    AttemptState::Finished {
                        status: TaskStatus::NotRun,
                        ..
                    }
                )
            })
        };
        for spec in tasks.iter().filter(did_not_run) {
            metrics::counter!("agent_refusals", "reason" => reason).increment(1);
            let report = TaskReport {
                index: spec.index,
                attempt: spec.attempt,
                status: TaskStatus::NotRun.into(),
                reason: reason.to_owned(),
                ..TaskReport::default()
            };
            self.outbox.add_task(link, key, epoch, report);
        }
    }

    fn admit(&mut self, now: Instant, batch: &RunBatch, spec: TaskSpec) {
        let key = &batch.key;
        let id = (spec.index, spec.attempt);
        if let Some(attempt) = self.records.get(key).and_then(|j| j.attempts.get(&id)) {
            // Duplicate frame: the recorded attempt applies.
            if matches!(attempt.state, AttemptState::Finished { .. }) {
                self.report(key, id);
            }
            return;
        }
        // A refused task uses up its grant as well, which frees the slot.
        let has_grant = batch.granted && self.slots.use_grant(batch.link, key);
        let kind = Name::checked(&spec.kind);
        let reason = self.task_refusal(batch, &spec, kind.as_ref(), has_grant);
        let (None, Some(kind)) = (reason, kind) else {
            self.refuse(batch.link, key, id, reason.unwrap_or("invalid_kind"));
            return;
        };
        self.next_id += 1;
        let expires_at = (spec.deadline_ms > 0)
            .then(|| now.checked_add(Duration::from_millis(spec.deadline_ms)))
            .flatten();
        let deadline = expires_at.map(|at| (at, self.next_id));
        let pending = Pending {
            queued_at: now,
            deadline,
            claimed_ms: batch.claimed_ms,
            kind,
            payload: spec.payload,
        };
        let bytes = pending.payload.len();
        let attempt = Attempt {
            state: AttemptState::Queued(Box::new(pending)),
            wait_us: 0,
            reported: false,
        };
        if !self.records.insert(key, id, attempt) {
            self.refuse_records_full(batch.link, key, id);
            return;
        }
        if let Some(deadline) = deadline {
            self.deadlines.insert(deadline, (key.clone(), id));
        }
        self.queued += 1;
        self.queued_bytes += bytes;
        if has_grant && self.has_free_slot() {
            self.start(now, key, id);
            return;
        }
        if let Some(job) = self.records.get_mut(key) {
            job.queued.push_back(id);
            self.slots
                .enqueue(Waiter::Queued(key.clone()), batch.weight, 1, None);
        }
    }

    /// Returns the reason why this task may neither start nor be queued, or `None` if there is
    /// none.
    fn task_refusal(
        &self,
        batch: &RunBatch,
        spec: &TaskSpec,
        kind: Option<&Name>,
        has_grant: bool,
    ) -> Option<&'static str> {
        if batch.refusal.is_some() {
            return batch.refusal;
        }
        let job = self.records.get(&batch.key)?;
        if job.full {
            return Some("records_full");
        }
        if job.accepted.contains_key(&spec.index) {
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
        (full && !has_grant).then_some("queue_full")
    }

    /// Records and reports a refusal.
    fn refuse(&mut self, link: LinkId, key: &JobKey, id: AttemptId, reason: &'static str) {
        metrics::counter!("agent_refusals", "reason" => reason).increment(1);
        if self
            .records
            .insert(key, id, Attempt::refused(reason.into()))
        {
            self.report(key, id);
        } else {
            self.refuse_records_full(link, key, id);
        }
    }

    /// Reports a refusal for lack of room in the records. The job accepts no further task.
    fn refuse_records_full(&mut self, link: LinkId, key: &JobKey, id: AttemptId) {
        let epoch = self.records.get(key).map_or(0, |j| j.epoch);
        let report = Attempt::refused("records_full".into()).report(id);
        self.outbox.add_task(link, key, epoch, report);
    }

    /// Assigns free slots to reservations and queued tasks in the fair order, while tasks may
    /// start.
    pub(super) fn assign_slots(&mut self, now: Instant) {
        while self.has_free_slot() && self.node_refusal(now).is_none() && self.has_lease(now) {
            match self.slots.pop(now) {
                None => return,
                Some(Waiter::Reserved(link, key)) => {
                    let epoch = self.records.get(&key).map_or(0, |j| j.epoch);
                    self.outbox.add_grant(link, &key, epoch);
                    self.slots.grant(now, link, key);
                }
                Some(Waiter::Queued(key)) => self.start_next(now, &key),
            }
        }
    }

    /// Starts the oldest queued task of a job unless its deadline has passed or its claim is too
    /// old.
    fn start_next(&mut self, now: Instant, key: &JobKey) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        let Some(id) = job.queued.pop_front() else {
            return;
        };
        let Some(AttemptState::Queued(pending)) = job.attempts.get(&id).map(|a| &a.state) else {
            return;
        };
        let expired = pending.deadline.is_some_and(|(at, _)| at <= now);
        let claimed_ms = pending.claimed_ms;
        if expired {
            self.finish_queued(now, key, id, "deadline", true);
        } else if self.is_claim_expired(now, claimed_ms) {
            self.finish_queued(now, key, id, "claim_expired", true);
        } else {
            self.start(now, key, id);
        }
    }

    /// Starts a task. The caller ensures that a slot is free.
    fn start(&mut self, now: Instant, key: &JobKey, id: AttemptId) {
        let Some(target) = self.endpoint.as_ref().map(|e| e.target.clone()) else {
            return;
        };
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        let Some(attempt) = job.attempts.get_mut(&id) else {
            return;
        };
        let AttemptState::Queued(pending) =
            std::mem::replace(&mut attempt.state, AttemptState::Started)
        else {
            return;
        };
        attempt.wait_us = now.duration_since(pending.queued_at).as_micros() as u64;
        job.running += 1;
        self.queued -= 1;
        self.queued_bytes -= pending.payload.len();
        self.next_id += 1;
        metrics::counter!("agent_starts").increment(1);
        self.effects.push(Effect::Start(Start {
            id: self.next_id,
            target: target.clone(),
            task: task_id(key, id),
            kind: pending.kind,
            deadline: pending
                .deadline
                .map(|(at, _)| at.saturating_duration_since(now)),
            payload: pending.payload,
        }));
        let running = RunningTask {
            key: key.clone(),
            id,
            target,
            deadline: pending.deadline,
        };
        self.running.insert(self.next_id, running);
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() as u32 + self.slots.granted() < self.capacity()
    }

    /// Ends every queued task of a job as not run, and reports this if `notify` is set.
    pub(super) fn reject_queued(
        &mut self,
        now: Instant,
        key: &JobKey,
        reason: &'static str,
        notify: bool,
    ) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        for id in std::mem::take(&mut job.queued) {
            self.slots.withdraw(&Waiter::Queued(key.clone()), 1);
            self.finish_queued(now, key, id, reason, notify);
        }
    }

    /// Ends one queued task as not run, and reports this if `notify` is set.
    pub(super) fn reject_attempt(
        &mut self,
        now: Instant,
        key: &JobKey,
        id: AttemptId,
        reason: &'static str,
        notify: bool,
    ) {
        let Some(job) = self.records.get_mut(key) else {
            return;
        };
        job.queued.retain(|q| *q != id);
        self.slots.withdraw(&Waiter::Queued(key.clone()), 1);
        self.finish_queued(now, key, id, reason, notify);
    }

    fn finish_queued(
        &mut self,
        now: Instant,
        key: &JobKey,
        id: AttemptId,
        reason: &'static str,
        notify: bool,
    ) {
        let attempt = self.records.get(key).and_then(|j| j.attempts.get(&id));
        let Some(AttemptState::Queued(pending)) = attempt.map(|a| &a.state) else {
            return;
        };
        let deadline = pending.deadline;
        self.queued -= 1;
        self.queued_bytes -= pending.payload.len();
        self.remove_deadline(deadline);
        self.records.finish(now, key, id, refused_state(reason));
        if notify {
            self.report(key, id);
        }
    }
}
