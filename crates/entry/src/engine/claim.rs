//! Claims: ownership of jobs, as recorded by the control group.

use std::time::Instant;

use bytes::Bytes;

use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Claim;
use sassafras_wire::proto::ClaimReply;
use sassafras_wire::proto::Extend;
use sassafras_wire::proto::Failure;
use sassafras_wire::proto::Outcome;
use sassafras_wire::proto::claim_reply::Kind;
use sassafras_wire::proto::failure::Code;

use crate::engine::CONTROL_TIMEOUT;
use crate::engine::Engine;
use crate::engine::Pending;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::submit::conflict;
use crate::response::Ran;
use crate::response::Rejection;
use crate::response::Response;

/// Most agents in one claim; `Extend` adds more.
const MAX_CLAIM_AGENTS: usize = 64;

impl Engine {
    /// Claims a job; `takeover` is the epoch of the claim to replace, or 0 for none.
    pub(super) fn claim(&mut self, now: Instant, job: &mut Job, takeover: u64) {
        self.list_agents(now, job);
        let agents = job.allocs.iter().map(|alloc| proto::NodeRef {
            name: self.agents[alloc.agent].name.to_string(),
            incarnation: alloc.incarnation,
        });
        let claim = Claim {
            key: Some((&job.key).into()),
            digest: Bytes::copy_from_slice(job.digest.as_bytes()),
            owner: Some((&self.options.node).into()),
            tasks: job.tasks.len() as u32,
            agents: agents.collect(),
            takeover,
            query: false,
        };
        let subject = Pending::Claim(job.key.clone());
        let request = self.request_control(subject, CONTROL_TIMEOUT, Body::Claim(claim));
        job.phase = Phase::Claiming { request };
        job.takeover = takeover;
        if job.first_claim {
            self.dispatch(now, job);
        }
    }

    /// Sends a claim query, whose reply decides what the rejection says about `ran`.
    pub(super) fn query_claim(&mut self, job: &mut Job, rejection: Rejection) {
        let claim = Claim {
            key: Some((&job.key).into()),
            digest: Bytes::copy_from_slice(job.digest.as_bytes()),
            owner: Some((&self.options.node).into()),
            query: true,
            ..Claim::default()
        };
        let subject = Pending::Claim(job.key.clone());
        let request = self.request_control(subject, CONTROL_TIMEOUT, Body::Claim(claim));
        job.phase = Phase::Checking { request, rejection };
    }

    /// Rejects a job that was never claimed, or whose owner is not alive; otherwise follows the
    /// owner or the recorded outcome.
    fn query_reply(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        let Phase::Checking { rejection, .. } = &job.phase else {
            return;
        };
        let rejection = rejection.clone();
        match reply.kind() {
            Kind::Unclaimed => self.close_unowned(job, &rejection.response(Ran::No)),
            Kind::Owned if reply.owner_alive => self.follow_owner(now, job, reply),
            Kind::Finished => self.respond_from_record(now, job, reply),
            Kind::Conflict => self.close_conflict(job),
            // A takeover would need the capacity for lack of which the job is rejected.
            _ => self.close_unowned(job, &rejection.response(Ran::Unknown)),
        }
    }

    fn is_own(&self, owner: Option<&proto::NodeRef>) -> bool {
        let own = &self.options.node;
        owner.is_some_and(|o| *o.name == *own.name && o.incarnation == own.incarnation)
    }

    /// Selects the agents that the claim lists, in order of expected delay.
    fn list_agents(&mut self, now: Instant, job: &mut Job) {
        let mut candidates: Vec<(f64, usize)> = (0..self.agents.len())
            .filter(|i| self.agents[*i].usable(now) && self.fits_any(job, *i))
            .map(|i| (self.agents[i].expected_delay(), i))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, agent) in candidates.into_iter().take(MAX_CLAIM_AGENTS) {
            let incarnation = self.agents[agent].incarnation;
            job.allocation(agent, incarnation);
        }
    }

    pub(super) fn claim_reply(&mut self, now: Instant, job: &mut Job, id: u64, reply: &ClaimReply) {
        if matches!(job.phase, Phase::Checking { request, .. } if request == id) {
            self.query_reply(now, job, reply);
            return;
        }
        if !matches!(job.phase, Phase::Claiming { request } if request == id) {
            return;
        }
        match reply.kind() {
            Kind::Granted if job.first_claim => {
                job.epoch = reply.epoch;
                job.claimed_ms = reply.claimed_ms;
                job.phase = Phase::Running;
                if job.cancelled {
                    self.fail(now, job, "cancelled");
                } else {
                    self.dispatch(now, job);
                }
            }
            Kind::Granted => self.start_fencing(now, job, reply),
            Kind::Owned if self.is_own(reply.owner.as_ref()) => {
                // An earlier attempt of this claim was recorded, but its reply was lost.
                self.start_fencing(now, job, reply);
            }
            Kind::Owned => self.follow_owner(now, job, reply),
            Kind::Finished => self.respond_from_record(now, job, reply),
            Kind::Conflict => self.close_conflict(job),
            Kind::Expired => {
                let response = if reply.never_started {
                    Response::failed("answer_expired", true)
                } else {
                    Response::rejected(
                        410,
                        "answer_expired",
                        Ran::Yes,
                        "the result is no longer retained",
                    )
                };
                self.close_unowned(job, &response);
            }
            Kind::Refused | Kind::Unclaimed | Kind::Unspecified => {
                // The job may still have been claimed earlier, by this or another entry.
                let response = Response::rejected(503, "refused", Ran::Unknown, &reply.reason);
                self.close_unowned(job, &response);
            }
        }
    }

    /// Responds to the callers of a job that this entry does not own, and removes the job.
    pub(super) fn close_unowned(&mut self, job: &mut Job, response: &Response) {
        self.respond_all(job, response);
        job.ended = true;
    }

    /// Removes a job whose name another body holds. Callers that stated only the name mean that one.
    pub(super) fn close_conflict(&mut self, job: &mut Job) {
        for waiter in std::mem::take(&mut job.waiters) {
            let response = if waiter.has_body {
                conflict()
            } else {
                Response::unknown("another body holds the job name")
            };
            self.respond(waiter.caller, response);
        }
        job.ended = true;
    }

    /// Responds that the state of the job is unknown, and claims it again: the failed claim may
    /// have been recorded, in which case other entries wait for this one to run the job.
    pub(super) fn claim_failed(&mut self, now: Instant, job: &mut Job, id: u64, failure: &Failure) {
        if let Phase::Checking { request, rejection } = &job.phase
            && *request == id
        {
            let response = rejection.response(Ran::Unknown);
            self.close_unowned(job, &response);
            return;
        }
        let current = matches!(job.phase, Phase::Claiming { request } if request == id);
        if !current {
            return;
        }
        if matches!(failure.code(), Code::Invalid | Code::Denied) {
            let response = Response::rejected(503, "refused", Ran::Unknown, &failure.detail);
            self.close_unowned(job, &response);
            return;
        }
        self.respond_all(job, &Response::unknown("control did not reply in time"));
        let takeover = job.takeover;
        self.claim(now, job, takeover);
    }

    /// Adds agents to the claim when none of the listed agents is usable.
    pub(super) fn extend_claim(&mut self, now: Instant, job: &mut Job) {
        if job.extending {
            return;
        }
        let listed = |i: usize| {
            let incarnation = self.agents[i].incarnation;
            job.allocs
                .iter()
                .any(|alloc| alloc.agent == i && alloc.incarnation == incarnation)
        };
        let unlisted = (0..self.agents.len())
            .filter(|i| self.agents[*i].usable(now) && !listed(*i) && self.fits_any(job, *i));
        let agents: Vec<NodeRef> = unlisted
            .take(MAX_CLAIM_AGENTS)
            .map(|i| self.agents[i].node())
            .collect();
        if agents.is_empty() {
            return;
        }
        job.extending = true;
        let extend = Extend {
            key: Some((&job.key).into()),
            epoch: job.epoch,
            agents: agents.iter().map(proto::NodeRef::from).collect(),
        };
        let subject = Pending::Extend(job.key.clone(), job.epoch, agents);
        self.request_control(subject, CONTROL_TIMEOUT, Body::Extend(extend));
    }

    pub(super) fn extend_reply(
        &mut self,
        now: Instant,
        job: &mut Job,
        agents: &[NodeRef],
        reply: &Result<Body, Failure>,
    ) {
        job.extending = false;
        let Ok(Body::ExtendReply(reply)) = reply else {
            return;
        };
        if !matches!(job.phase, Phase::Running) {
            return;
        }
        if !reply.accepted {
            self.superseded(now, job);
            return;
        }
        for node in agents {
            let Some(agent) = self.agent_names.get(&node.name).copied() else {
                continue;
            };
            // A restarted agent is used under its new incarnation once no task of the old one
            // counts as in flight.
            let alloc = job.allocation(agent, node.incarnation);
            if alloc.in_flight == 0 {
                alloc.incarnation = node.incarnation;
            }
        }
        self.dispatch(now, job);
    }

    /// Gives up ownership after a takeover by another entry. The next tick asks control for the
    /// new owner, whose response the callers get.
    pub(super) fn superseded(&mut self, now: Instant, job: &mut Job) {
        metrics::counter!("entry_superseded").increment(1);
        self.release_all(job);
        self.clear_in_flight(job);
        self.clear_pending(job);
        self.withdraw_stops(&job.key);
        job.first_claim = false;
        job.phase = Phase::Remote {
            owner: self.options.node.clone(),
            attach: None,
            retry_at: now,
        };
    }

    /// Responds from the record of a job that ended under another owner.
    fn respond_from_record(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        self.release_all(job);
        if reply.outcome() == Outcome::Complete {
            self.fetch_results(now, job, reply);
            return;
        }
        let reason = match reply.outcome() {
            Outcome::Cancelled => "cancelled",
            _ if reply.reason.is_empty() => "failed",
            _ => &reply.reason,
        };
        let response = Response::failed(reason, reply.never_started);
        self.close_unowned(job, &response);
    }
}
