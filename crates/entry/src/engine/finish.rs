//! Outcomes: recorded by control first, and told to the callers then.

use std::time::Instant;

use sassafras_wire::Body;
use sassafras_wire::proto::CancelJob;
use sassafras_wire::proto::Finish;
use sassafras_wire::proto::FinishReply;
use sassafras_wire::proto::Outcome;

use crate::engine::CONTROL_TIMEOUT;
use crate::engine::Engine;
use crate::engine::Pending;
use crate::engine::job::FinishedJob;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::response::Rejection;
use crate::response::Response;

impl Engine {
    /// Records that all results are here.
    pub(super) fn complete(&mut self, job: &mut Job) {
        self.release_all(job);
        let response = Response::complete(&job.key.job, job.results());
        self.record_outcome(job, Outcome::Complete, "", response);
    }

    /// Ends a job without its results.
    pub(super) fn fail(&mut self, now: Instant, job: &mut Job, reason: &'static str) {
        match job.phase {
            Phase::Queued => {
                // This entry claimed nothing, so that the job may be submitted again; another
                // entry may have claimed it.
                let status = if reason == "cancelled" { 410 } else { 504 };
                self.remove_queued(&job.key);
                self.clear_pending(job);
                self.query_claim(
                    job,
                    Rejection::new(status, reason, "the job was not claimed"),
                );
            }
            Phase::Running => {
                self.cancel_at_agents(job);
                let never_started = job.started == 0;
                let outcome = if reason == "cancelled" {
                    Outcome::Cancelled
                } else {
                    Outcome::Failed
                };
                self.clear_in_flight(job);
                self.clear_pending(job);
                let response = Response::failed(reason, never_started);
                self.record_outcome(job, outcome, reason, response);
                self.schedule_team(now, &job.key.team);
            }
            // The outcome is decided, or is up to another entry; a claim on its way is
            // followed by the check of the deadline.
            _ => {}
        }
    }

    fn cancel_at_agents(&mut self, job: &mut Job) {
        self.release_all(job);
        for index in 0..job.allocations.len() {
            let at = &job.allocations[index];
            if at.in_flight == 0 {
                continue;
            }
            if let Some(link) = self.agent_link(at.agent) {
                let cancel = CancelJob {
                    key: Some((&job.key).into()),
                    epoch: job.epoch,
                };
                self.send(link, Body::CancelJob(cancel));
            }
        }
    }

    fn record_outcome(
        &mut self,
        job: &mut Job,
        outcome: Outcome,
        reason: &'static str,
        response: Response,
    ) {
        let finish = Finish {
            key: Some((&job.key).into()),
            epoch: job.epoch,
            outcome: outcome.into(),
            reason: reason.to_owned(),
            never_started: outcome != Outcome::Complete && job.started == 0,
        };
        let about = Pending::Finish(job.key.clone());
        let request = self.request_control(about, CONTROL_TIMEOUT, Body::Finish(finish));
        job.phase = Phase::Finishing {
            request,
            outcome,
            response,
            reason,
        };
    }

    pub(super) fn finish_reply(
        &mut self,
        now: Instant,
        job: &mut Job,
        id: u64,
        reply: &FinishReply,
    ) {
        let Phase::Finishing {
            request,
            outcome,
            response,
            reason,
        } = &job.phase
        else {
            return;
        };
        if *request != id {
            return;
        }
        // A reply to a resent request may say that the outcome was recorded before.
        let same = reply.outcome() == *outcome
            && reply.epoch == job.epoch
            && (*outcome == Outcome::Complete || reply.reason == **reason);
        if reply.accepted || same {
            let response = response.clone();
            self.deliver_outcome(now, job, response);
        } else {
            self.superseded(now, job);
        }
    }

    /// Sends the outcome again; recording it twice has no further effect.
    pub(super) fn retry_finish(&mut self, job: &mut Job, id: u64) {
        let Phase::Finishing {
            request,
            outcome,
            response,
            reason,
        } = &job.phase
        else {
            return;
        };
        if *request == id {
            let (outcome, response, reason) = (*outcome, response.clone(), *reason);
            self.record_outcome(job, outcome, reason, response);
        }
    }

    /// Tells the recorded outcome and keeps it for those who ask again.
    pub(super) fn deliver_outcome(&mut self, now: Instant, job: &mut Job, response: Response) {
        self.respond_all(job, &response);
        job.ended = true;
        self.finished_bytes += response.body.len();
        let until = now + self.options.jobs.retention;
        self.expiry_queue
            .push_back((until, job.key.clone(), job.id));
        let done = FinishedJob {
            id: job.id,
            digest: job.digest,
            response,
        };
        self.finished.insert(job.key.clone(), done);
        metrics::counter!("entry_jobs").increment(1);
        self.expire_responses(now);
    }

    /// Drops answers that are too old, and the oldest ones when they take too much memory.
    pub(super) fn expire_responses(&mut self, now: Instant) {
        while let Some((until, key, number)) = self.expiry_queue.front() {
            if now < *until && self.finished_bytes <= self.options.jobs.answer_bytes {
                return;
            }
            if self.finished.get(key).is_some_and(|d| d.id == *number)
                && let Some(done) = self.finished.remove(key)
            {
                self.finished_bytes -= done.response.body.len();
            }
            self.expiry_queue.pop_front();
        }
    }

    /// Ends the counts of a job that leaves the map of jobs.
    pub(super) fn clear_counts(&mut self, job: &mut Job) {
        self.release_all(job);
        self.clear_in_flight(job);
        self.clear_pending(job);
        if matches!(job.phase, Phase::Queued) {
            self.remove_queued(&job.key);
        }
    }
}
