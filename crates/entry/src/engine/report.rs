//! Agent reports: results, refused tasks and granted slots.

use std::time::Duration;
use std::time::Instant;

use sassafras_policy::MAX_EJECTED_SHARE;
use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::proto::JobReport;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Release;
use sassafras_wire::proto::Report;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

use crate::engine::Engine;
use crate::engine::fence::attempt_status;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::job::TaskState;

/// Reason of a job with an attempt whose outcome is unknown; it may have run or be running.
pub(super) const LOST_ATTEMPT: &str = "lost_attempt";
/// Reason of a job with a task that ran and failed.
pub(super) const TASK_FAILED: &str = "task_failed";
/// Reason of a job whose attempts were lost at several agents.
const HARMFUL: &str = "harmful";
/// Most attempts of a task that may have run.
const MAX_ATTEMPTS: u32 = 3;
/// A job fails as harmful once attempts were lost at this many agents.
const MAX_LOST_AGENTS: usize = 2;
/// Pause in placement at an agent that refused a task.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// A success at another agent within this window shows that the agent, rather than the team's
/// tasks, causes a failure.
const SUCCESS_WINDOW: Duration = Duration::from_secs(5);

impl Engine {
    pub(super) fn handle_report(&mut self, now: Instant, agent: usize, report: Report) {
        let sender = &mut self.agents[agent];
        if sender.link.is_none_or(|(_, i)| i != report.incarnation) {
            metrics::counter!("entry_stale_reports").increment(1);
            return;
        }
        if let Some(load) = report.load {
            sender.load = load;
            sender.load_delta = 0;
        }
        let leaving = report.state() == NodeState::Leaving;
        if leaving && !sender.leaving {
            sender.leaving = true;
            self.withdraw_from(now, agent);
        }
        self.agents[agent].leaving = leaving;
        for mut part in report.jobs {
            let Ok(key) = JobKey::try_from(part.key.take()) else {
                metrics::counter!("entry_malformed_reports").increment(1);
                continue;
            };
            if self.jobs.contains_key(&key) {
                self.with_job(&key, |engine, job| {
                    engine.job_report(now, job, agent, part);
                });
                self.schedule_team(now, &key.team);
            } else {
                self.orphaned_report(agent, &key, &part);
            }
        }
    }

    /// Counts results of a job that this entry does not have, and returns the slots granted to it.
    fn orphaned_report(&mut self, agent: usize, key: &JobKey, report: &JobReport) {
        metrics::counter!("entry_late_reports").increment(report.tasks.len() as u64);
        if report.granted > 0 {
            self.return_grant(agent, key, report.granted);
        }
    }

    fn return_grant(&mut self, agent: usize, key: &JobKey, granted: u32) {
        let Some(link) = self.agent_link(agent) else {
            return;
        };
        let release = Release {
            key: Some(key.into()),
            count: granted,
            all: true,
        };
        self.agents[agent].load_delta -= i64::from(granted);
        self.send(link, Body::Release(release));
    }

    fn job_report(&mut self, now: Instant, job: &mut Job, agent: usize, report: JobReport) {
        let mut failure = None;
        for task in report.tasks {
            failure = failure.or(self.task_report(now, job, agent, report.epoch, task));
        }
        if report.granted > 0 {
            self.record_grants(job, agent, report.granted);
        }
        self.advance(now, job, failure);
    }

    /// Continues a job after the states of its tasks have changed; `failure` ends it.
    pub(super) fn advance(&mut self, now: Instant, job: &mut Job, failure: Option<&'static str>) {
        match job.phase {
            Phase::Running => match failure {
                Some(reason) => self.fail(now, job, reason),
                None if job.unfinished == 0 => self.complete(job),
                None => self.dispatch(now, job),
            },
            Phase::Claiming { .. } if job.first_claim => {}
            Phase::Gathering { .. } | Phase::Fencing { .. } => self.check_fences(now, job),
            _ => self.release_all(job),
        }
    }

    fn record_grants(&mut self, job: &mut Job, agent: usize, granted: u32) {
        let Some(alloc) = job.find_allocation(agent) else {
            // Only agents listed in the claim may run tasks of the job.
            self.return_grant(agent, &job.key, granted);
            return;
        };
        let fulfilled = alloc.requested.min(granted);
        alloc.requested -= fulfilled;
        alloc.granted += granted;
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.requested = team.requested.saturating_sub(fulfilled);
        }
    }

    /// Applies the report of one task, and returns the reason if the job fails because of it.
    pub(super) fn task_report(
        &mut self,
        now: Instant,
        job: &mut Job,
        agent: usize,
        epoch: u64,
        report: TaskReport,
    ) -> Option<&'static str> {
        let status = attempt_status(&report);
        let Some(task) = job.tasks.get(report.index as usize) else {
            metrics::counter!("entry_malformed_reports").increment(1);
            return None;
        };
        let sent = task.is_sent(agent, Some(report.attempt));
        let current = epoch == job.epoch || (task.adopted && epoch <= job.epoch);
        if !sent || !current {
            metrics::counter!("entry_late_reports").increment(1);
            return None;
        }
        match status {
            TaskStatus::Done => {
                self.decrement_in_flight(job, agent);
                self.record_success(now, job, agent, &report);
                job.unfinished -= 1;
                job.tasks[report.index as usize].state = TaskState::Done(report.payload);
                None
            }
            TaskStatus::Errored => {
                self.decrement_in_flight(job, agent);
                self.record_failure(now, job, agent);
                self.retry_or_fail(job, report.index, agent, TASK_FAILED)
            }
            TaskStatus::Lost => {
                self.decrement_in_flight(job, agent);
                self.attempt_lost(job, report.index, agent)
            }
            TaskStatus::NotRun => {
                self.decrement_in_flight(job, agent);
                self.not_run(now, job, report.index, agent);
                None
            }
            TaskStatus::Queued | TaskStatus::Started | TaskStatus::Unspecified => None,
        }
    }

    /// Subtracts one task from the counters of tasks in flight.
    fn decrement_in_flight(&mut self, job: &mut Job, agent: usize) {
        job.in_flight = job.in_flight.saturating_sub(1);
        if let Some(alloc) = job.find_allocation(agent) {
            alloc.in_flight = alloc.in_flight.saturating_sub(1);
        }
        let target = &mut self.agents[agent];
        target.in_flight = target.in_flight.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
    }

    fn record_success(&mut self, now: Instant, job: &mut Job, agent: usize, report: &TaskReport) {
        let run_time = Duration::from_micros(report.service_us);
        let input = &job.tasks[report.index as usize].input;
        let kind = &job.team.kinds[input.kind].name;
        if report.service_us > 0 {
            self.run_times.record(agent, &job.team.name, kind, run_time);
            self.agents[agent].update_mean_run(run_time);
        }
        self.agents[agent]
            .health
            .record(now, job.id, true, true, false);
        job.record_success(agent);
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.record_success(now, agent);
        }
    }

    fn record_failure(&mut self, now: Instant, job: &mut Job, agent: usize) {
        let team = self.teams.get(&job.key.team);
        let elsewhere = job.succeeded_elsewhere(agent)
            || team.is_some_and(|t| t.succeeded_elsewhere(now, SUCCESS_WINDOW, agent));
        let members = self.agents.iter().filter(|a| a.has_endpoint());
        let suspects = self
            .agents
            .iter()
            .filter(|a| a.has_endpoint() && a.health.is_suspect());
        let may_eject = (suspects.count() + 1) as f64 <= members.count() as f64 * MAX_EJECTED_SHARE;
        let health = &mut self.agents[agent].health;
        if health.record(now, job.id, false, elsewhere, may_eject) {
            metrics::counter!("entry_agents_taken_out").increment(1);
            self.withdraw_from(now, agent);
        }
    }

    /// Handles the loss of an attempt that may have run and whose outcome stays unknown. Returns
    /// the reason if the job fails because of it.
    pub(super) fn attempt_lost(
        &mut self,
        job: &mut Job,
        index: u32,
        agent: usize,
    ) -> Option<&'static str> {
        metrics::counter!("entry_lost_attempts").increment(1);
        if !job.lost_agents.contains(&agent) {
            job.lost_agents.push(agent);
        }
        if job.lost_agents.len() >= MAX_LOST_AGENTS {
            job.tasks[index as usize].state = TaskState::Failed(HARMFUL);
            return Some(HARMFUL);
        }
        self.retry_or_fail(job, index, agent, LOST_ATTEMPT)
    }

    /// Requeues a task if it may run again; otherwise returns the reason for which the job fails.
    pub(super) fn retry_or_fail(
        &mut self,
        job: &mut Job,
        index: u32,
        agent: usize,
        reason: &'static str,
    ) -> Option<&'static str> {
        let task = &mut job.tasks[index as usize];
        task.failed_attempts += 1;
        let allowed = task.input.repeatable && task.failed_attempts < MAX_ATTEMPTS;
        let team = self.teams.get_mut(&job.key.team);
        if !allowed || !team.is_some_and(|t| t.retry_budget.try_withdraw()) {
            job.tasks[index as usize].state = TaskState::Failed(reason);
            return Some(reason);
        }
        metrics::counter!("entry_retries").increment(1);
        task.avoid = Some(agent);
        self.requeue(job, index);
        None
    }

    /// Requeues a task that the agent did not run.
    pub(super) fn not_run(&mut self, now: Instant, job: &mut Job, index: u32, agent: usize) {
        metrics::counter!("entry_refused_starts").increment(1);
        job.started = job.started.saturating_sub(1);
        let until = now + REFUSAL_PAUSE;
        self.agents[agent].paused_until = Some(until);
        self.agents[agent].health.probe_refused(now);
        if !self.options.jobs.placement.grants {
            job.paused_until = Some(until);
        }
        self.requeue(job, index);
    }

    fn requeue(&mut self, job: &mut Job, index: u32) {
        job.tasks[index as usize].state = TaskState::Pending;
        let run_time = self.expected_run(&job.team, &job.tasks[index as usize].input);
        let shorter =
            |i: &u32| self.expected_run(&job.team, &job.tasks[*i as usize].input) < run_time;
        let position = job.pending.partition_point(shorter);
        job.pending.insert(position, index);
        self.backlog += run_time;
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.pending += 1;
        }
    }
}
