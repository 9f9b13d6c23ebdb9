//! Outcomes of jobs: control records them before the callers get a response.

use std::time::Instant;

use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::proto::CancelJob;
use sassafras_wire::proto::Finish;
use sassafras_wire::proto::FinishReply;
use sassafras_wire::proto::Outcome;

use crate::engine::CONTROL_TIMEOUT;
use crate::engine::Engine;
use crate::engine::Pending;
use crate::engine::fleet::Stop;
use crate::engine::job::FinishedJob;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::response::Rejection;
use crate::response::Response;

impl Engine {
    /// Ends a job whose results have all arrived.
    pub(super) fn complete(&mut self, job: &mut Job) {
        self.release_all(job);
        let response = Response::complete(&job.key.job, job.results());
        self.record_outcome(job, Outcome::Complete, "", response);
    }

    /// Ends a job that failed or was cancelled.
    pub(super) fn fail(&mut self, now: Instant, job: &mut Job, reason: &'static str) {
        match job.phase {
            Phase::Queued => {
                // This entry did not claim the job, so the caller may submit it again unless
                // another entry has claimed it.
                let status = if reason == "cancelled" { 410 } else { 504 };
                self.remove_queued(&job.key);
                self.clear_pending(job);
                self.query_claim(
                    job,
                    Rejection::new(status, reason, "the job was not claimed"),
                );
            }
            Phase::Running => {
                self.cancel_at_agents(now, job);
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
            // The outcome is decided already, or by another entry. While a claim is outstanding,
            // the deadline is checked after its reply.
            _ => {}
        }
    }

    /// Stops the tasks of a job that has failed, also at agents that come back later.
    fn cancel_at_agents(&mut self, now: Instant, job: &mut Job) {
        self.release_all(job);
        let until = job.last_deadline().unwrap_or(now);
        for alloc in &job.allocs {
            if alloc.in_flight == 0 && !alloc.unsettled {
                continue;
            }
            let stop = Stop {
                key: job.key.clone(),
                epoch: job.epoch,
                incarnation: alloc.incarnation,
                until,
            };
            self.send_stop(alloc.agent, &stop);
            self.agents[alloc.agent].stops.push_back(stop);
            self.expire_stops(now, alloc.agent);
        }
    }

    /// Repeats the stops for an agent on a new link, since the last one may have lost them.
    pub(super) fn repeat_stops(&mut self, now: Instant, agent: usize) {
        self.expire_stops(now, agent);
        let stops = std::mem::take(&mut self.agents[agent].stops);
        for stop in &stops {
            self.send_stop(agent, stop);
        }
        self.agents[agent].stops = stops;
    }

    /// Forgets the stops of a job that another entry owns: it waits for the tasks.
    pub(super) fn withdraw_stops(&mut self, key: &JobKey) {
        for agent in &mut self.agents {
            agent.stops.retain(|stop| stop.key != *key);
        }
    }

    fn send_stop(&mut self, agent: usize, stop: &Stop) {
        let link = self.agents[agent].link;
        if let Some((link, _)) = link.filter(|(_, i)| *i == stop.incarnation) {
            let cancel = CancelJob {
                key: Some((&stop.key).into()),
                epoch: stop.epoch,
            };
            self.send(link, Body::CancelJob(cancel));
        }
    }

    fn expire_stops(&mut self, now: Instant, agent: usize) {
        let stops = &mut self.agents[agent].stops;
        while stops.front().is_some_and(|stop| stop.until <= now) {
            stops.pop_front();
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
        let subject = Pending::Finish(job.key.clone());
        let request = self.request_control(subject, CONTROL_TIMEOUT, Body::Finish(finish));
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
        // The reply to a resent request may report the outcome as already recorded.
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

    /// Resends the outcome, which control records only once.
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

    /// Sends the response to all waiting callers and retains it for later requests.
    pub(super) fn deliver_outcome(&mut self, now: Instant, job: &mut Job, response: Response) {
        self.respond_all(job, &response);
        job.ended = true;
        self.finished_bytes += response.body.len();
        let until = now + self.options.jobs.retention;
        self.expiry_queue
            .push_back((until, job.key.clone(), job.id));
        let finished = FinishedJob {
            id: job.id,
            digest: job.digest,
            response,
        };
        self.finished.insert(job.key.clone(), finished);
        metrics::counter!("entry_jobs").increment(1);
        self.expire_responses(now);
    }

    /// Removes retained responses that are past their retention time, and the oldest ones while
    /// their total size exceeds the limit.
    pub(super) fn expire_responses(&mut self, now: Instant) {
        while let Some((until, key, id)) = self.expiry_queue.front() {
            if now < *until && self.finished_bytes <= self.options.jobs.answer_bytes {
                return;
            }
            if self.finished.get(key).is_some_and(|f| f.id == *id)
                && let Some(job) = self.finished.remove(key)
            {
                self.finished_bytes -= job.response.body.len();
            }
            self.expiry_queue.pop_front();
        }
    }

    /// Removes an ended job from the counters, the queue and the agents.
    pub(super) fn release_job(&mut self, job: &mut Job) {
        self.release_all(job);
        self.clear_in_flight(job);
        self.clear_pending(job);
        if matches!(job.phase, Phase::Queued) {
            self.remove_queued(&job.key);
        }
    }
}
