//! Fences: what agents know about a job after an owner or a link was lost.

use std::time::Duration;
use std::time::Instant;

use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::ClaimReply;
use sassafras_wire::proto::Fence;
use sassafras_wire::proto::FenceReply;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

use crate::engine::Engine;
use crate::engine::job::AgentFence;
use crate::engine::job::FenceState;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::job::TaskState;
use crate::response::Ran;
use crate::response::Response;

/// Frames sent on a lost link are read by the agent within this time after the next link is
/// up, or never: a link that hears nothing is closed after 3 s.
const STALE_FRAME_WINDOW: Duration = Duration::from_secs(4);
/// Attempts of a task that one owner numbers at most, so that a later owner's numbers differ.
const MAX_OWNER_ATTEMPTS: u32 = 1000;
/// The reason with which agents report a result that they no longer hold.
const PAYLOAD_DROPPED: &str = "payload_dropped";

impl Engine {
    /// Fences the agents of earlier owners, after a takeover was granted.
    pub(super) fn start_fencing(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        metrics::counter!("entry_takeovers").increment(1);
        job.epoch = reply.epoch;
        job.claimed_ms = reply.claimed_ms;
        self.release_all(job);
        self.clear_in_flight(job);
        job.unfinished = job.tasks.len();
        job.started = 0;
        for task in &mut job.tasks {
            task.state = TaskState::Pending;
        }
        job.phase = Phase::Fencing {
            agents: fence_list(reply),
            since: now,
        };
        self.send_fences(job, None);
        self.check_fences(now, job);
    }

    /// Fetches the results of a complete job from the agents.
    pub(super) fn gather_results(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        job.epoch = reply.epoch;
        job.claimed_ms = reply.claimed_ms;
        job.phase = Phase::Gathering {
            agents: fence_list(reply),
            since: now,
        };
        self.send_fences(job, None);
        self.check_fences(now, job);
    }

    /// Sends a fence to each agent that has not replied, or to `only` one of them.
    fn send_fences(&mut self, job: &mut Job, only: Option<usize>) {
        let (Phase::Fencing { agents, .. } | Phase::Gathering { agents, .. }) = &job.phase else {
            return;
        };
        let open = agents.iter().filter(|f| f.state == FenceState::Pending);
        let known = open.filter_map(|f| self.agent_names.get(&f.node.name).copied());
        let targets: Vec<usize> = known.filter(|a| only.is_none_or(|o| o == *a)).collect();
        for agent in targets {
            self.send_fence(job, agent);
        }
    }

    fn send_fence(&mut self, job: &Job, agent: usize) {
        let Some(link) = self.agent_link(agent) else {
            return;
        };
        let fence = Fence {
            key: Some((&job.key).into()),
            epoch: job.epoch,
            claimed_ms: job.claimed_ms,
        };
        self.send(link, Body::Fence(fence));
    }

    pub(super) fn fence_reply(&mut self, now: Instant, agent: usize, reply: FenceReply) {
        let Ok(key) = JobKey::try_from(reply.key.clone()) else {
            return;
        };
        self.with_job(&key, |engine, job| match job.phase {
            Phase::Fencing { .. } | Phase::Running if reply.epoch > job.epoch => {
                engine.superseded(now, job);
            }
            Phase::Fencing { .. } | Phase::Gathering { .. } => {
                engine.merge_fence_reply(job, agent, reply);
                engine.check_fences(now, job);
            }
            Phase::Running => engine.reconcile(now, job, agent, reply),
            _ => {}
        });
        self.schedule_team(now, &key.team);
    }

    /// Takes over what a fenced agent knows.
    fn merge_fence_reply(&mut self, job: &mut Job, agent: usize, reply: FenceReply) {
        let (Phase::Fencing { agents, .. } | Phase::Gathering { agents, .. }) = &mut job.phase
        else {
            return;
        };
        let name = &self.agents[agent].name;
        // The reply of another incarnation says nothing about the listed one, and must not
        // make an agent usable that the claim does not list.
        let listed = |f: &&mut AgentFence| {
            f.node.name == *name
                && f.node.incarnation == reply.incarnation
                && f.state == FenceState::Pending
        };
        let Some(fence) = agents.iter_mut().find(listed) else {
            return;
        };
        fence.state = if reply.complete {
            FenceState::Complete
        } else {
            FenceState::Gone
        };
        let gathering = matches!(job.phase, Phase::Gathering { .. });
        let at = job.allocation(agent, reply.incarnation);
        if at.in_flight == 0 {
            at.incarnation = reply.incarnation;
        }
        for report in reply.tasks {
            self.merge_task(job, agent, report, gathering);
        }
    }

    fn merge_task(&mut self, job: &mut Job, agent: usize, report: TaskReport, gathering: bool) {
        let status = attempt_status(&report);
        let Some(task) = job.tasks.get_mut(report.index as usize) else {
            return;
        };
        let known = matches!(task.state, TaskState::Sent(_) | TaskState::Done(_));
        task.attempt = task.attempt.max(report.attempt);
        if status == TaskStatus::Done {
            // One attempt of a repeatable task may have ended here while another runs.
            let counted = matches!(task.state, TaskState::Sent(_) | TaskState::Failed);
            let running = match task.state {
                TaskState::Sent(at) => Some(at),
                TaskState::Done(_) => return,
                _ => None,
            };
            task.state = TaskState::Done(report.payload);
            job.unfinished -= 1;
            job.started += u32::from(!counted);
            if let Some(at) = running {
                self.remove_in_flight(job, at);
            }
            return;
        }
        if known {
            return;
        }
        match status {
            // Of a complete job, these are results that follow in reports of their own.
            TaskStatus::Started => {
                job.started -= u32::from(matches!(task.state, TaskState::Failed));
                task.state = TaskState::Sent(agent);
                task.attempt = report.attempt;
                task.adopted = true;
                job.started += 1;
                job.in_flight += 1;
                self.agents[agent].in_flight += 1;
                if let Some(at) = job.find_allocation(agent) {
                    at.in_flight += 1;
                }
                if let Some(team) = self.teams.get_mut(&job.key.team) {
                    team.in_flight += 1;
                }
            }
            TaskStatus::Errored | TaskStatus::Lost if !gathering => {
                job.started += u32::from(matches!(task.state, TaskState::Pending));
                task.state = TaskState::Failed;
                task.avoid = Some(agent);
                if status == TaskStatus::Lost && !job.lost_agents.contains(&agent) {
                    job.lost_agents.push(agent);
                }
            }
            _ => {}
        }
    }

    fn remove_in_flight(&mut self, job: &mut Job, agent: usize) {
        job.in_flight = job.in_flight.saturating_sub(1);
        if let Some(at) = job.find_allocation(agent) {
            at.in_flight = at.in_flight.saturating_sub(1);
        }
        self.agents[agent].in_flight = self.agents[agent].in_flight.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
    }

    /// Goes on when every fenced agent has replied or is given up.
    pub(super) fn check_fences(&mut self, now: Instant, job: &mut Job) {
        let lost_after = self.options.jobs.lost_after;
        let gathering = matches!(job.phase, Phase::Gathering { .. });
        let (Phase::Fencing { agents, since } | Phase::Gathering { agents, since }) =
            &mut job.phase
        else {
            return;
        };
        let late = now.saturating_duration_since(*since) >= lost_after;
        for fence in agents.iter_mut().filter(|f| f.state == FenceState::Pending) {
            let known = self.agent_names.get(&fence.node.name);
            let agent = known.map(|i| &self.agents[*i]);
            let replaced = agent
                .and_then(|a| a.link)
                .is_some_and(|(_, i)| i != fence.node.incarnation);
            if replaced {
                fence.state = FenceState::Gone;
            } else if late {
                let gone = agent.is_none_or(|a| a.state == NodeState::Gone);
                fence.state = if gone {
                    FenceState::Gone
                } else {
                    FenceState::Unreachable
                };
            }
        }
        if gathering && job.unfinished == 0 {
            let response = Response::complete(&job.key.job, job.results());
            self.deliver_outcome(now, job, response);
            return;
        }
        if agents.iter().any(|f| f.state == FenceState::Pending) {
            return;
        }
        if gathering && job.in_flight > 0 && !late {
            return;
        }
        if gathering {
            let detail = "the answer is no longer held";
            let response = Response::rejected(410, "answer_expired", Ran::Yes, detail);
            self.close_unowned(job, &response);
        } else {
            self.resume_tasks(now, job);
        }
    }

    /// Runs what was never started, when that is certain.
    fn resume_tasks(&mut self, now: Instant, job: &mut Job) {
        let Phase::Fencing { agents, .. } = &job.phase else {
            return;
        };
        let whole = agents.iter().all(|f| f.state == FenceState::Complete);
        let silent = agents.iter().any(|f| f.state == FenceState::Unreachable);
        let unseen = |t: &TaskState| matches!(t, TaskState::Pending);
        let doubt = !whole && job.tasks.iter().any(|t| unseen(&t.state));
        job.phase = Phase::Running;
        let mut failure = None;
        for index in 0..job.tasks.len() as u32 {
            let task = &job.tasks[index as usize];
            let failed = matches!(task.state, TaskState::Failed);
            let lost = unseen(&task.state) && !whole;
            if !failed && !lost {
                continue;
            }
            let reason = if failed {
                "task_failed"
            } else {
                "lost_attempt"
            };
            failure = failure.or(self.retry_after_takeover(job, index, reason, lost && silent));
        }
        if doubt {
            // Attempts that nobody can account for may have run.
            job.started += 1;
        }
        self.rebuild_pending(job);
        if job.cancelled {
            failure = failure.or(Some("cancelled"));
        }
        self.advance(now, job, failure);
    }

    /// Lets a task run again after a takeover, unless an attempt may still be running.
    fn retry_after_takeover(
        &mut self,
        job: &mut Job,
        index: u32,
        reason: &'static str,
        running: bool,
    ) -> Option<&'static str> {
        let earlier = (job.epoch.saturating_sub(1) as u32).saturating_mul(MAX_OWNER_ATTEMPTS);
        let task = &mut job.tasks[index as usize];
        task.failed_attempts += 1;
        // The number of an attempt that was lost with its agent is not known here.
        task.attempt = task.attempt.max(earlier);
        let team = self.teams.get_mut(&job.key.team);
        if running || !task.input.repeatable || !team.is_some_and(|t| t.retry_budget.take()) {
            task.state = TaskState::Failed;
            return Some(reason);
        }
        task.state = TaskState::Pending;
        None
    }

    /// Asks an agent what it has of a job, after the link to it has come back.
    pub(super) fn agent_reconnected(
        &mut self,
        now: Instant,
        job: &mut Job,
        agent: usize,
        incarnation: u64,
    ) {
        match job.phase {
            Phase::Fencing { .. } | Phase::Gathering { .. } => {
                self.send_fences(job, Some(agent));
                self.check_fences(now, job);
            }
            Phase::Running => {
                let Some(at) = job.find_allocation(agent) else {
                    return;
                };
                if at.in_flight == 0 {
                    return;
                }
                at.recheck_at = None;
                at.reconciled = false;
                if at.incarnation == incarnation {
                    self.send_fence(job, agent);
                } else {
                    self.fail_unreachable(now, job, &[agent]);
                }
            }
            _ => {}
        }
    }

    /// Compares what was sent to an agent with what has arrived there.
    fn reconcile(&mut self, now: Instant, job: &mut Job, agent: usize, reply: FenceReply) {
        let Some(at) = job.find_allocation(agent) else {
            return;
        };
        if at.incarnation != reply.incarnation {
            return;
        }
        let second = at.reconciled;
        at.reconciled = true;
        at.recheck_at = None;
        let mut seen = vec![false; job.tasks.len()];
        let mut failure = None;
        for report in reply.tasks {
            if let Some(seen) = seen.get_mut(report.index as usize) {
                let attempt = job.tasks[report.index as usize].attempt;
                *seen |= attempt == report.attempt;
                failure = failure.or(self.task_report(now, job, agent, job.epoch, report));
            }
        }
        for (index, seen) in seen.into_iter().enumerate() {
            let here = matches!(job.tasks[index].state, TaskState::Sent(a) if a == agent);
            if !here || seen {
                continue;
            }
            if !reply.complete {
                self.remove_in_flight(job, agent);
                failure = failure.or(self.record_lost(job, index as u32, agent));
            } else if second {
                self.remove_in_flight(job, agent);
                self.not_run(now, job, index as u32, agent);
            } else if let Some(at) = job.find_allocation(agent) {
                at.recheck_at = Some(now + STALE_FRAME_WINDOW);
            }
        }
        self.advance(now, job, failure);
    }

    /// Asks again about tasks that an agent had not seen.
    pub(super) fn send_rechecks(&mut self, now: Instant, job: &mut Job) {
        for index in 0..job.allocs.len() {
            if job.allocs[index].recheck_at.is_some_and(|due| now >= due) {
                job.allocs[index].recheck_at = None;
                self.send_fence(job, job.allocs[index].agent);
            }
        }
    }

    /// Returns the agents that could not be reached for too long.
    pub(super) fn unreachable_agents(&self, now: Instant) -> Vec<usize> {
        let after = self.options.jobs.lost_after;
        let lost = |i: &usize| {
            let agent = &self.agents[*i];
            agent.link.is_none() && agent.lost_at.is_some_and(|at| now >= at + after)
        };
        (0..self.agents.len()).filter(lost).collect()
    }

    /// Takes the attempts at lost agents as lost.
    pub(super) fn fail_unreachable(&mut self, now: Instant, job: &mut Job, lost: &[usize]) {
        let mut failure = None;
        for agent in lost {
            if job
                .find_allocation(*agent)
                .is_none_or(|at| at.in_flight == 0)
            {
                continue;
            }
            let known = &self.agents[*agent];
            // Without a word from control the agent may still run what it has.
            let gone = known.link.is_some() || known.state == NodeState::Gone;
            for index in 0..job.tasks.len() {
                let task = &job.tasks[index];
                if !matches!(task.state, TaskState::Sent(a) if a == *agent) {
                    continue;
                }
                if task.input.repeatable && !gone {
                    continue;
                }
                self.remove_in_flight(job, *agent);
                failure = failure.or(self.record_lost(job, index as u32, *agent));
            }
        }
        self.advance(now, job, failure);
    }
}

/// Returns the status of an attempt, where a result that the agent dropped counts as lost.
pub(super) fn attempt_status(report: &TaskReport) -> TaskStatus {
    match report.status() {
        TaskStatus::Done if report.payload.is_empty() && report.reason == PAYLOAD_DROPPED => {
            TaskStatus::Lost
        }
        status => status,
    }
}

fn fence_list(reply: &ClaimReply) -> Vec<AgentFence> {
    let nodes = reply.agents.iter().cloned();
    let nodes = nodes.filter_map(|node| NodeRef::try_from(node).ok());
    nodes
        .map(|node| AgentFence {
            node,
            state: FenceState::Pending,
        })
        .collect()
}
