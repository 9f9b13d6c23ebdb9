//! Claims: who owns a job.

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

use crate::answer::Answer;
use crate::answer::Ran;
use crate::answer::Refusal;
use crate::engine::CONTROL_LIMIT;
use crate::engine::Engine;
use crate::engine::Request;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::submit::conflict;

/// Agents that a claim lists at most; `Extend` adds more.
const MAX_LISTED: usize = 64;

impl Engine {
    /// Claims a job; `takeover` is the epoch to replace, or 0.
    pub(super) fn claim(&mut self, now: Instant, job: &mut Job, takeover: u64) {
        self.list_agents(now, job);
        let agents = job.at.iter().map(|at| proto::NodeRef {
            name: self.agents[at.agent].name.to_string(),
            incarnation: at.incarnation,
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
        let about = Request::Claim(job.key.clone());
        let request = self.request(about, CONTROL_LIMIT, Body::Claim(claim));
        job.phase = Phase::Claiming { request };
        job.takeover = takeover;
        if job.fresh {
            self.pump(now, job);
        }
    }

    /// Asks whether a job that is refused here was claimed before.
    pub(super) fn query_claim(&mut self, job: &mut Job, refusal: Refusal) {
        let claim = Claim {
            key: Some((&job.key).into()),
            digest: Bytes::copy_from_slice(job.digest.as_bytes()),
            owner: Some((&self.options.node).into()),
            query: true,
            ..Claim::default()
        };
        let about = Request::Claim(job.key.clone());
        let request = self.request(about, CONTROL_LIMIT, Body::Claim(claim));
        job.phase = Phase::Checking { request, refusal };
    }

    /// Refuses a job that was never claimed, and follows one that was.
    fn query_reply(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        let Phase::Checking { refusal, .. } = &job.phase else {
            return;
        };
        let refusal = refusal.clone();
        match reply.kind() {
            Kind::Unclaimed => self.refuse_claim(job, &refusal.answer(Ran::No)),
            Kind::Owned if reply.owner_alive => self.owned_elsewhere(now, job, reply),
            Kind::Finished => self.finished_elsewhere(now, job, reply),
            Kind::Conflict => self.refuse_claim(job, &conflict()),
            // Taking the job over would need the room for which it is refused.
            _ => self.refuse_claim(job, &refusal.answer(Ran::Unknown)),
        }
    }

    fn is_own(&self, owner: Option<&proto::NodeRef>) -> bool {
        let own = &self.options.node;
        owner.is_some_and(|o| *o.name == *own.name && o.incarnation == own.incarnation)
    }

    /// Chooses the agents that the claim lists, those first that end the job soonest.
    fn list_agents(&mut self, now: Instant, job: &mut Job) {
        let mut known: Vec<(f64, usize)> = (0..self.agents.len())
            .filter(|i| self.agents[*i].usable(now) && self.fits_any(job, *i))
            .map(|i| (self.agents[i].expected_delay(), i))
            .collect();
        known.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, agent) in known.into_iter().take(MAX_LISTED) {
            let incarnation = self.agents[agent].incarnation;
            job.at(agent, incarnation);
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
            Kind::Granted if job.fresh => {
                job.epoch = reply.epoch;
                job.claimed_ms = reply.claimed_ms;
                job.phase = Phase::Running;
                if job.cancelled {
                    self.fail(now, job, "cancelled");
                } else {
                    self.pump(now, job);
                }
            }
            Kind::Granted => self.start_fencing(now, job, reply),
            Kind::Owned if self.is_own(reply.owner.as_ref()) => {
                // The reply to an earlier try of this claim was lost.
                self.start_fencing(now, job, reply);
            }
            Kind::Owned => self.owned_elsewhere(now, job, reply),
            Kind::Finished => self.finished_elsewhere(now, job, reply),
            Kind::Conflict => self.refuse_claim(job, &conflict()),
            Kind::Expired => {
                let answer = if reply.never_started {
                    Answer::failed("answer_expired", true)
                } else {
                    Answer::refusal(
                        410,
                        "answer_expired",
                        Ran::Yes,
                        "the answer is no longer held",
                    )
                };
                self.refuse_claim(job, &answer);
            }
            Kind::Refused | Kind::Unclaimed | Kind::Unspecified => {
                // An earlier claim of the name, here or elsewhere, is not ruled out by this.
                let answer = Answer::refusal(503, "refused", Ran::Unknown, &reply.reason);
                self.refuse_claim(job, &answer);
            }
        }
    }

    /// Ends a job that this entry does not own and about which control said what to answer.
    pub(super) fn refuse_claim(&mut self, job: &mut Job, answer: &Answer) {
        self.answer_all(job, answer);
        job.ended = true;
    }

    /// Tells the callers that nothing is known, and claims again: the first claim may have
    /// been recorded, and then other entries wait for this one to run the job.
    pub(super) fn claim_failed(&mut self, now: Instant, job: &mut Job, id: u64, failure: &Failure) {
        if let Phase::Checking { request, refusal } = &job.phase
            && *request == id
        {
            let answer = refusal.answer(Ran::Unknown);
            self.refuse_claim(job, &answer);
            return;
        }
        let ours = matches!(job.phase, Phase::Claiming { request } if request == id);
        if !ours {
            return;
        }
        if matches!(failure.code(), Code::Invalid | Code::Denied) {
            let answer = Answer::refusal(503, "refused", Ran::Unknown, &failure.detail);
            self.refuse_claim(job, &answer);
            return;
        }
        self.answer_all(job, &Answer::unknown("control did not answer in time"));
        let takeover = job.takeover;
        self.claim(now, job, takeover);
    }

    /// Lists further agents when no listed one is usable.
    pub(super) fn extend(&mut self, now: Instant, job: &mut Job) {
        if job.extending {
            return;
        }
        let listed = |i: usize| {
            let incarnation = self.agents[i].incarnation;
            job.at
                .iter()
                .any(|at| at.agent == i && at.incarnation == incarnation)
        };
        let fresh = (0..self.agents.len())
            .filter(|i| self.agents[*i].usable(now) && !listed(*i) && self.fits_any(job, *i));
        let agents: Vec<NodeRef> = fresh
            .take(MAX_LISTED)
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
        let about = Request::Extend(job.key.clone(), agents);
        self.request(about, CONTROL_LIMIT, Body::Extend(extend));
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
            // An agent that has started again has nothing in flight here any more.
            let at = job.at(agent, node.incarnation);
            if at.in_flight == 0 {
                at.incarnation = node.incarnation;
            }
        }
        self.pump(now, job);
    }

    /// Another owner has replaced this one: asks control who it is, and waits for its answer.
    pub(super) fn superseded(&mut self, now: Instant, job: &mut Job) {
        metrics::counter!("entry_superseded").increment(1);
        self.release_all(job);
        self.drop_in_flight(job);
        self.drop_waiting(job);
        job.fresh = false;
        job.phase = Phase::Remote {
            owner: self.options.node.clone(),
            attach: None,
            retry: now,
        };
    }

    /// Answers from the record of a job that has ended under another owner.
    fn finished_elsewhere(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        self.release_all(job);
        if reply.outcome() == Outcome::Complete {
            self.fetch(now, job, reply);
            return;
        }
        let reason = match reply.outcome() {
            Outcome::Cancelled => "cancelled",
            _ if reply.reason.is_empty() => "failed",
            _ => &reply.reason,
        };
        let answer = Answer::failed(reason, reply.never_started);
        self.refuse_claim(job, &answer);
    }
}
