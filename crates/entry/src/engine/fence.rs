//! Fencing: reconciles a job with its agents after a takeover or a lost link.

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
use crate::engine::fleet::Agent;
use crate::engine::job::AgentFence;
use crate::engine::job::FenceState;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::job::TaskState;
use crate::engine::report::LOST_ATTEMPT;
use crate::engine::report::TASK_FAILED;
use crate::response::Ran;
use crate::response::Response;

/// Time after a reconnect within which the agent may still read frames of the lost link. A link
/// without traffic is closed after 3 s.
const STALE_FRAME_WINDOW: Duration = Duration::from_secs(4);
/// Attempt numbers reserved for each owner, so that a later owner's numbers differ.
const ATTEMPTS_PER_OWNER: u64 = 1000;
/// Reason with which agents report a result that they no longer hold.
const PAYLOAD_DROPPED: &str = "payload_dropped";

impl Engine {
    /// Fences the agents that the earlier claim lists, after a takeover was granted.
    pub(super) fn start_fencing(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        metrics::counter!("entry_takeovers").increment(1);
        job.epoch = reply.epoch;
        job.claimed_ms = reply.claimed_ms;
        self.release_all(job);
        self.clear_in_flight(job);
        job.extending = false;
        job.unfinished = job.tasks.len();
        job.started = 0;
        for task in &mut job.tasks {
            task.state = TaskState::Pending;
        }
        job.phase = Phase::Fencing {
            fences: pending_fences(reply),
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
            fences: pending_fences(reply),
            since: now,
        };
        self.send_fences(job, None);
        self.check_fences(now, job);
    }

    /// Sends a fence to each agent that has not replied, or to the agent `only`.
    fn send_fences(&mut self, job: &mut Job, only: Option<usize>) {
        let (Phase::Fencing { fences, .. } | Phase::Gathering { fences, .. }) = &job.phase else {
            return;
        };
        let pending = fences.iter().filter(|f| f.state == FenceState::Pending);
        let known = pending.filter_map(|f| self.agent_names.get(&f.node.name).copied());
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

    pub(super) fn handle_fence_reply(&mut self, now: Instant, agent: usize, reply: FenceReply) {
        let Ok(key) = JobKey::try_from(reply.key.clone()) else {
            return;
        };
        self.with_job(&key, |engine, job| match job.phase {
            // A reply to a fence of an earlier ownership: another owner may have started tasks there
            // since.
            _ if reply.epoch < job.epoch => metrics::counter!("entry_late_reports").increment(1),
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

    /// Merges the task records of a fenced agent into the job.
    fn merge_fence_reply(&mut self, job: &mut Job, agent: usize, reply: FenceReply) {
        let (Phase::Fencing { fences, .. } | Phase::Gathering { fences, .. }) = &mut job.phase
        else {
            return;
        };
        let name = &self.agents[agent].name;
        // A reply from another incarnation says nothing about the listed one, and must not
        // make an agent usable that the claim does not list.
        let listed = |f: &&mut AgentFence| {
            f.node.name == *name
                && f.node.incarnation == reply.incarnation
                && f.state == FenceState::Pending
        };
        let Some(fence) = fences.iter_mut().find(listed) else {
            return;
        };
        fence.state = if reply.complete {
            FenceState::Complete
        } else {
            FenceState::Gone
        };
        let gathering = matches!(job.phase, Phase::Gathering { .. });
        let alloc = job.allocation(agent, reply.incarnation);
        if alloc.in_flight == 0 {
            alloc.incarnation = reply.incarnation;
        }
        for report in reply.tasks {
            self.merge_task(job, agent, report, gathering);
        }
    }

    fn merge_task(&mut self, job: &mut Job, agent: usize, report: TaskReport, gathering: bool) {
        let status = attempt_status(&report);
        let link = self.agent_link(agent).unwrap_or_default();
        let Some(task) = job.tasks.get_mut(report.index as usize) else {
            return;
        };
        let recorded = matches!(task.state, TaskState::Sent { .. } | TaskState::Done(_));
        task.attempt = task.attempt.max(report.attempt);
        // Each attempt counts for itself: one that was not run says nothing about the others.
        job.started += u32::from(status != TaskStatus::NotRun);
        if status == TaskStatus::Done {
            // Another attempt of a repeatable task may still be running at a different agent.
            let running = match task.state {
                TaskState::Sent { agent, .. } => Some(agent),
                TaskState::Done(_) => return,
                _ => None,
            };
            task.state = TaskState::Done(report.payload);
            job.unfinished -= 1;
            if let Some(other) = running {
                self.remove_in_flight(job, other);
            }
            return;
        }
        if recorded {
            return;
        }
        match status {
            // For a complete job, the results of these tasks follow in separate reports. A fence under
            // the epoch that an agent knows leaves its queue as it is.
            TaskStatus::Queued | TaskStatus::Started => {
                task.state = TaskState::Sent {
                    agent,
                    attempt: report.attempt,
                    link,
                };
                task.adopted = true;
                job.in_flight += 1;
                self.agents[agent].in_flight += 1;
                if let Some(alloc) = job.find_allocation(agent) {
                    alloc.in_flight += 1;
                }
                if let Some(team) = self.teams.get_mut(&job.key.team) {
                    team.in_flight += 1;
                }
            }
            TaskStatus::Errored | TaskStatus::Lost if !gathering => {
                task.avoid = Some(agent);
                task.state = if status == TaskStatus::Lost {
                    if !job.lost_agents.contains(&agent) {
                        job.lost_agents.push(agent);
                    }
                    TaskState::Failed(LOST_ATTEMPT)
                } else {
                    TaskState::Failed(TASK_FAILED)
                };
            }
            _ => {}
        }
    }

    fn remove_in_flight(&mut self, job: &mut Job, agent: usize) {
        job.in_flight = job.in_flight.saturating_sub(1);
        if let Some(alloc) = job.find_allocation(agent) {
            alloc.in_flight = alloc.in_flight.saturating_sub(1);
        }
        self.agents[agent].in_flight = self.agents[agent].in_flight.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
    }

    /// Continues the job once every fenced agent has replied, is gone, or has not replied within
    /// `lost_after`.
    pub(super) fn check_fences(&mut self, now: Instant, job: &mut Job) {
        let lost_after = self.options.jobs.lost_after;
        let gathering = matches!(job.phase, Phase::Gathering { .. });
        let (Phase::Fencing { fences, since } | Phase::Gathering { fences, since }) =
            &mut job.phase
        else {
            return;
        };
        let overdue = now.saturating_duration_since(*since) >= lost_after;
        for fence in fences.iter_mut().filter(|f| f.state == FenceState::Pending) {
            let known = self.agent_names.get(&fence.node.name);
            let agent = known.map(|i| &self.agents[*i]);
            let replaced = agent
                .and_then(|a| a.link)
                .is_some_and(|(_, i)| i != fence.node.incarnation);
            if replaced {
                fence.state = FenceState::Gone;
            } else if overdue {
                let is_gone = |a: &Agent| {
                    let silent = a.state == NodeState::Gone && a.link.is_none();
                    silent || a.incarnation > fence.node.incarnation
                };
                let gone = agent.is_none_or(is_gone);
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
        if fences.iter().any(|f| f.state == FenceState::Pending) {
            return;
        }
        if gathering && job.in_flight > 0 && !overdue {
            return;
        }
        if gathering {
            let unreachable = fences.iter().any(|f| f.state == FenceState::Unreachable);
            let response = if unreachable || job.in_flight > 0 {
                Response::unknown("an agent that may hold a result cannot be reached")
            } else {
                let detail = "the result is no longer retained";
                Response::rejected(410, "answer_expired", Ran::Yes, detail)
            };
            self.close_unowned(job, &response);
        } else {
            self.resume_tasks(now, job);
        }
    }

    /// Resumes a job after fencing: tasks without a start on record are run, unless an agent's
    /// record is missing; then they count as lost attempts.
    fn resume_tasks(&mut self, now: Instant, job: &mut Job) {
        let Phase::Fencing { fences, .. } = &job.phase else {
            return;
        };
        let complete = fences.iter().all(|f| f.state == FenceState::Complete);
        let unreachable: Vec<NodeRef> = fences
            .iter()
            .filter(|f| f.state == FenceState::Unreachable)
            .map(|f| f.node.clone())
            .collect();
        job.phase = Phase::Running;
        for node in &unreachable {
            if let Some(agent) = self.agent_names.get(&node.name) {
                job.allocation(*agent, node.incarnation).unsettled = true;
            }
        }
        let running = !unreachable.is_empty();
        let mut failure = None;
        for index in 0..job.tasks.len() as u32 {
            let reason = match job.tasks[index as usize].state {
                TaskState::Failed(reason) => reason,
                TaskState::Pending if !complete => LOST_ATTEMPT,
                _ => continue,
            };
            // An agent that cannot be reached may run an attempt that no other agent knows.
            failure = failure.or(self.retry_after_takeover(job, index, reason, running));
        }
        if !complete {
            // Attempts without a record may have run, also earlier ones of the recorded tasks.
            job.started += 1;
        }
        self.rebuild_pending(job);
        if job.cancelled {
            failure = failure.or(Some("cancelled"));
        }
        self.advance(now, job, failure);
    }

    /// Requeues a task after a takeover if it is repeatable and no attempt may still be running;
    /// otherwise returns the reason for which the job fails.
    fn retry_after_takeover(
        &mut self,
        job: &mut Job,
        index: u32,
        reason: &'static str,
        running: bool,
    ) -> Option<&'static str> {
        // Epochs are log indexes, so the product needs 64 bits.
        let used_attempts = job.epoch.saturating_sub(1) * ATTEMPTS_PER_OWNER;
        let task = &mut job.tasks[index as usize];
        task.failed_attempts += 1;
        // The number of an attempt that was lost with its agent is unknown, so the numbers of all
        // earlier owners are skipped.
        task.attempt = task.attempt.max(used_attempts);
        let team = self.teams.get_mut(&job.key.team);
        if running || !task.input.repeatable || !team.is_some_and(|t| t.retry_budget.try_withdraw())
        {
            task.state = TaskState::Failed(reason);
            return Some(reason);
        }
        task.state = TaskState::Pending;
        None
    }

    /// Reconciles a job with an agent after the link to it was re-established.
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
                let Some(alloc) = job.find_allocation(agent) else {
                    return;
                };
                if alloc.in_flight == 0 {
                    return;
                }
                alloc.recheck_at = None;
                alloc.reconciled = false;
                if alloc.incarnation == incarnation {
                    self.send_fence(job, agent);
                } else {
                    self.mark_attempts_lost(now, job, &[agent]);
                }
            }
            _ => {}
        }
    }

    /// Compares the tasks sent to an agent on earlier links with those that it has received. Tasks
    /// sent on the present one may have followed the fence, and cannot be lost while it is open.
    fn reconcile(&mut self, now: Instant, job: &mut Job, agent: usize, reply: FenceReply) {
        let Some(alloc) = job.find_allocation(agent) else {
            return;
        };
        if alloc.incarnation != reply.incarnation {
            return;
        }
        let Some(link) = self.agent_link(agent) else {
            return;
        };
        let second = alloc.reconciled;
        alloc.reconciled = true;
        alloc.recheck_at = None;
        let mut received = vec![false; job.tasks.len()];
        let mut failure = None;
        for report in reply.tasks {
            if let Some(received) = received.get_mut(report.index as usize) {
                *received |= job.tasks[report.index as usize].is_sent(agent, Some(report.attempt));
                failure = failure.or(self.task_report(now, job, agent, job.epoch, report));
            }
        }
        for (index, received) in received.into_iter().enumerate() {
            if !job.tasks[index].is_sent_before(agent, link) || received {
                continue;
            }
            if !reply.complete {
                failure = failure.or(self.lose_attempt(job, index as u32, agent));
            } else if second {
                self.remove_in_flight(job, agent);
                self.not_run(now, job, index as u32, agent);
            } else if let Some(alloc) = job.find_allocation(agent) {
                alloc.recheck_at = Some(now + STALE_FRAME_WINDOW);
            }
        }
        self.advance(now, job, failure);
    }

    /// Fences agents again that had not received some tasks at the first fence.
    pub(super) fn send_rechecks(&mut self, now: Instant, job: &mut Job) {
        for index in 0..job.allocs.len() {
            if job.allocs[index].recheck_at.is_some_and(|due| now >= due) {
                job.allocs[index].recheck_at = None;
                self.send_fence(job, job.allocs[index].agent);
            }
        }
    }

    /// Returns the agents that were unreachable for longer than `lost_after`.
    pub(super) fn unreachable_agents(&self, now: Instant) -> Vec<usize> {
        let after = self.options.jobs.lost_after;
        let lost = |i: &usize| {
            let agent = &self.agents[*i];
            agent.link.is_none() && agent.lost_at.is_some_and(|at| now >= at + after)
        };
        (0..self.agents.len()).filter(lost).collect()
    }

    /// Marks an attempt as lost that its agent may still run.
    fn lose_attempt(&mut self, job: &mut Job, index: u32, agent: usize) -> Option<&'static str> {
        self.remove_in_flight(job, agent);
        if let Some(alloc) = job.find_allocation(agent) {
            alloc.unsettled = true;
        }
        self.attempt_lost(job, index, agent)
    }

    /// Marks the attempts at unreachable agents as lost.
    pub(super) fn mark_attempts_lost(&mut self, now: Instant, job: &mut Job, lost: &[usize]) {
        let mut failure = None;
        for agent in lost {
            if job
                .find_allocation(*agent)
                .is_none_or(|alloc| alloc.in_flight == 0)
            {
                continue;
            }
            let target = &self.agents[*agent];
            // Unless the agent has restarted or control lists it as gone, it may still run its
            // tasks, and repeatable ones must wait.
            let gone = target.link.is_some() || target.state == NodeState::Gone;
            for index in 0..job.tasks.len() {
                let task = &job.tasks[index];
                if !task.is_sent(*agent, None) {
                    continue;
                }
                if task.input.repeatable && !gone {
                    continue;
                }
                failure = failure.or(self.lose_attempt(job, index as u32, *agent));
            }
        }
        self.advance(now, job, failure);
    }
}

/// Returns the status of an attempt; a result that the agent has dropped counts as lost.
pub(super) fn attempt_status(report: &TaskReport) -> TaskStatus {
    match report.status() {
        TaskStatus::Done if report.payload.is_empty() && report.reason == PAYLOAD_DROPPED => {
            TaskStatus::Lost
        }
        status => status,
    }
}

fn pending_fences(reply: &ClaimReply) -> Vec<AgentFence> {
    let nodes = reply.agents.iter().cloned();
    let nodes = nodes.filter_map(|node| NodeRef::try_from(node).ok());
    nodes
        .map(|node| AgentFence {
            node,
            state: FenceState::Pending,
        })
        .collect()
}
