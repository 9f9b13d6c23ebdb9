//! Outcomes: recorded by control first, and told to the callers then.

use std::time::Instant;

use sassafras_wire::Body;
use sassafras_wire::proto::CancelJob;
use sassafras_wire::proto::Finish;
use sassafras_wire::proto::FinishReply;
use sassafras_wire::proto::Outcome;

use crate::answer::Answer;
use crate::answer::Refusal;
use crate::engine::CONTROL_LIMIT;
use crate::engine::Engine;
use crate::engine::Request;
use crate::engine::job::Done;
use crate::engine::job::Job;
use crate::engine::job::Phase;

impl Engine {
    /// Records that all results are here.
    pub(super) fn complete(&mut self, job: &mut Job) {
        self.release_all(job);
        let answer = Answer::complete(&job.key.job, job.results());
        self.finish(job, Outcome::Complete, "", answer);
    }

    /// Ends a job without its results.
    pub(super) fn fail(&mut self, now: Instant, job: &mut Job, reason: &'static str) {
        match job.phase {
            Phase::Queued => {
                // This entry claimed nothing, so that the job may be submitted again; another
                // entry may have claimed it.
                let status = if reason == "cancelled" { 410 } else { 504 };
                self.leave_queue(&job.key);
                self.drop_waiting(job);
                self.query_claim(job, Refusal::new(status, reason, "the job was not claimed"));
            }
            Phase::Running => {
                self.cancel_at_agents(job);
                let never_started = job.started == 0;
                let outcome = if reason == "cancelled" {
                    Outcome::Cancelled
                } else {
                    Outcome::Failed
                };
                self.drop_in_flight(job);
                self.drop_waiting(job);
                let answer = Answer::failed(reason, never_started);
                self.finish(job, outcome, reason, answer);
                self.serve_team(now, &job.key.team);
            }
            // The outcome is decided, or is up to another entry; a claim on its way is
            // followed by the check of the deadline.
            _ => {}
        }
    }

    fn cancel_at_agents(&mut self, job: &mut Job) {
        self.release_all(job);
        for index in 0..job.at.len() {
            let at = &job.at[index];
            if at.in_flight == 0 {
                continue;
            }
            if let Some(link) = self.link_of(at.agent) {
                let cancel = CancelJob {
                    key: Some((&job.key).into()),
                    epoch: job.epoch,
                };
                self.send(link, Body::CancelJob(cancel));
            }
        }
    }

    fn finish(&mut self, job: &mut Job, outcome: Outcome, reason: &'static str, answer: Answer) {
        let finish = Finish {
            key: Some((&job.key).into()),
            epoch: job.epoch,
            outcome: outcome.into(),
            reason: reason.to_owned(),
            never_started: outcome != Outcome::Complete && job.started == 0,
        };
        let about = Request::Finish(job.key.clone());
        let request = self.request(about, CONTROL_LIMIT, Body::Finish(finish));
        job.phase = Phase::Finishing {
            request,
            outcome,
            answer,
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
            answer,
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
            let answer = answer.clone();
            self.conclude(now, job, answer);
        } else {
            self.superseded(now, job);
        }
    }

    /// Sends the outcome again; recording it twice has no further effect.
    pub(super) fn finish_failed(&mut self, job: &mut Job, id: u64) {
        let Phase::Finishing {
            request,
            outcome,
            answer,
            reason,
        } = &job.phase
        else {
            return;
        };
        if *request == id {
            let (outcome, answer, reason) = (*outcome, answer.clone(), *reason);
            self.finish(job, outcome, reason, answer);
        }
    }

    /// Tells the recorded outcome and keeps it for those who ask again.
    pub(super) fn conclude(&mut self, now: Instant, job: &mut Job, answer: Answer) {
        self.answer_all(job, &answer);
        job.ended = true;
        self.done_bytes += answer.body.len();
        let until = now + self.options.jobs.retention;
        self.done_order
            .push_back((until, job.key.clone(), job.number));
        let done = Done {
            number: job.number,
            digest: job.digest,
            answer,
        };
        self.done.insert(job.key.clone(), done);
        metrics::counter!("entry_jobs").increment(1);
        self.expire_answers(now);
    }

    /// Drops answers that are too old, and the oldest ones when they take too much memory.
    pub(super) fn expire_answers(&mut self, now: Instant) {
        while let Some((until, key, number)) = self.done_order.front() {
            if now < *until && self.done_bytes <= self.options.jobs.answer_bytes {
                return;
            }
            if self.done.get(key).is_some_and(|d| d.number == *number)
                && let Some(done) = self.done.remove(key)
            {
                self.done_bytes -= done.answer.body.len();
            }
            self.done_order.pop_front();
        }
    }

    /// Ends the counts of a job that leaves the map of jobs.
    pub(super) fn forget(&mut self, job: &mut Job) {
        self.release_all(job);
        self.drop_in_flight(job);
        self.drop_waiting(job);
        if matches!(job.phase, Phase::Queued) {
            self.leave_queue(&job.key);
        }
    }
}
