//! Submissions: who may submit, what can run, and what has to wait.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use subtle::ConstantTimeEq as _;

use sassafras_config::Team;
use sassafras_policy::expected_wait;
use sassafras_util::Digest;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::proto::AttachReply;
use sassafras_wire::proto::attach_reply::Kind;

use crate::body;
use crate::body::ParseError;
use crate::body::TaskInput;
use crate::engine::Caller;
use crate::engine::Effect;
use crate::engine::Engine;
use crate::engine::JobRequest;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::job::Task;
use crate::engine::job::TaskState;
use crate::response::Ran;
use crate::response::Rejection;
use crate::response::Response;

impl Engine {
    /// Returns the team whose token was presented.
    pub(super) fn authorize(&self, team: &Name, token: &Digest) -> Result<Arc<Team>, Response> {
        if self.config_version == 0 {
            // Before the first configuration nothing is known about any team.
            let rejection =
                Rejection::new(503, "no_lease", "this entry has not reached control yet");
            return Err(rejection.response(Ran::Unknown));
        }
        // An unknown team costs the same comparison as a known one, so that the time of the
        // answer does not tell them apart.
        let none = Digest::of(&[]);
        let known = self.teams.get(team).filter(|t| t.declared);
        let expected = known.map_or(&none, |t| &t.config.token);
        let matches = bool::from(expected.as_bytes().ct_eq(token.as_bytes()));
        match known {
            Some(team) if matches => Ok(Arc::clone(&team.config)),
            _ => Err(reject(401, "unauthorized", "unknown team or invalid token")),
        }
    }

    pub(super) fn submit(&mut self, now: Instant, submit: JobRequest) {
        let caller = submit.caller;
        if let Err(response) = self.admit(now, submit) {
            metrics::counter!("entry_refusals").increment(1);
            self.respond(caller, response);
        }
    }

    fn admit(&mut self, now: Instant, submit: JobRequest) -> Result<(), Response> {
        let team = self.authorize(&submit.key.team, &submit.token)?;
        let digest = Digest::of(&submit.body);
        if let Some(done) = self.finished.get(&submit.key) {
            return if done.digest == digest {
                let response = done.response.clone();
                self.respond(submit.caller, response);
                Ok(())
            } else {
                Err(conflict())
            };
        }
        if let Some(job) = self.jobs.get_mut(&submit.key) {
            if job.digest != digest {
                return Err(conflict());
            }
            job.add_waiter(submit.caller, now + submit.wait);
            return Ok(());
        }
        if !self.has_lease(now) {
            // Another entry may run the job, and control cannot be asked.
            let rejection = Rejection::new(503, "no_lease", "this entry cannot reach control");
            return Err(rejection.response(Ran::Unknown));
        }
        let parsed = body::parse(&submit.body, &team, self.options.jobs.max_tasks);
        let tasks = match parsed {
            Ok(tasks) => tasks,
            Err(ParseError::Malformed(response)) => return Err(response),
            Err(ParseError::NotConfigured(rejection)) => {
                self.check_claimed(now, submit, digest, team, rejection);
                return Ok(());
            }
        };
        if let Err(rejection) = self.check_limits(now, &team, &tasks) {
            self.check_claimed(now, submit, digest, team, rejection);
            return Ok(());
        }
        let key = submit.key.clone();
        let job = self.new_job(now, submit, digest, team, tasks);
        self.enqueue(job);
        self.schedule_team(now, &key.team);
        Ok(())
    }

    /// Asks control whether a job that is refused here was claimed before.
    fn check_claimed(
        &mut self,
        now: Instant,
        submit: JobRequest,
        digest: Digest,
        team: Arc<Team>,
        rejection: Rejection,
    ) {
        metrics::counter!("entry_refusals").increment(1);
        let mut job = self.new_job(now, submit, digest, team, Vec::new());
        self.query_claim(&mut job, rejection);
        self.jobs.insert(job.key.clone(), job);
    }

    /// Refuses a job for which this entry has no room at present.
    fn check_limits(
        &self,
        now: Instant,
        team: &Team,
        tasks: &[TaskInput],
    ) -> Result<(), Rejection> {
        if self.draining {
            return Err(Rejection::new(
                503,
                "draining",
                "this entry is shutting down",
            ));
        }
        if self.queued_jobs >= self.options.jobs.queue_jobs {
            let detail = "too many jobs wait at this entry";
            return Err(Rejection::new(429, "queue_full", detail));
        }
        self.check_capacity(now, team, tasks)
    }

    /// Refuses a job that can never run, or that cannot end before its deadline.
    fn check_capacity(
        &self,
        now: Instant,
        team: &Team,
        tasks: &[TaskInput],
    ) -> Result<(), Rejection> {
        let mut slots = 0;
        let mut last = None;
        for task in tasks {
            let class = (task.kind, task.needs);
            if last == Some(class) {
                continue;
            }
            last = Some(class);
            let kind = &team.kinds[task.kind].name;
            let able = self.agents.iter().filter(|a| a.has_endpoint());
            let able: Vec<_> = able
                .filter(|a| a.capacity.fits(kind, &task.needs))
                .collect();
            if able.is_empty() {
                let detail = format!("no worker can run tasks of kind {kind} with these needs");
                return Err(Rejection::new(422, "unsatisfiable", detail));
            }
            let usable = able.iter().filter(|a| a.usable(now));
            slots = usable.map(|a| a.capacity.slots).sum::<u32>().max(slots);
        }
        let estimate = |t: &TaskInput| self.expected_run(team, t);
        let own = tasks.iter().map(estimate).sum();
        let longest = tasks.iter().map(estimate).max().unwrap_or_default();
        let deadline = tasks.iter().map(|t| t.deadline).min().unwrap_or_default();
        // Without a usable slot nothing is known about the wait; the deadline decides then.
        if slots > 0 && self.backlog > Duration::ZERO {
            let wait = expected_wait(self.backlog, own, longest, slots);
            if wait > deadline {
                let detail = "the expected wait exceeds the deadline";
                return Err(Rejection::new(503, "overloaded", detail));
            }
        }
        Ok(())
    }

    /// Returns the expected run time of a task on an average agent.
    pub(super) fn expected_run(&self, team: &Team, task: &TaskInput) -> Duration {
        let kind = &team.kinds[task.kind];
        self.speeds.mean(&team.name, &kind.name, kind.run)
    }

    fn new_job(
        &mut self,
        now: Instant,
        submit: JobRequest,
        digest: Digest,
        team: Arc<Team>,
        inputs: Vec<TaskInput>,
    ) -> Box<Job> {
        let task = |input| Task {
            input,
            state: TaskState::Pending,
            attempt: 0,
            failed_attempts: 0,
            adopted: false,
            avoid: None,
        };
        let tasks: Vec<Task> = inputs.into_iter().map(task).collect();
        let deadline = tasks.iter().map(|t| t.input.deadline).min();
        let mut job = Box::new(Job {
            key: submit.key,
            id: self.next_id(),
            digest,
            team,
            phase: Phase::Queued,
            epoch: 0,
            claimed_ms: 0,
            pending: Vec::new(),
            unfinished: tasks.len(),
            tasks,
            allocations: Vec::new(),
            started: 0,
            in_flight: 0,
            success_agents: [None; 2],
            lost_agents: Vec::new(),
            deadline: now + deadline.unwrap_or_default(),
            paused_until: None,
            waiters: Vec::new(),
            cancelled: false,
            asked_owner: false,
            idle_reserved: None,
            extending: false,
            awaiting_quota: false,
            first_claim: true,
            takeover: 0,
            ended: false,
            submitted: now,
            ideal_time: None,
        });
        job.add_waiter(submit.caller, now + submit.wait);
        self.rebuild_pending(&mut job);
        job
    }

    /// Lists the tasks in state `Waiting` and counts them as work to do.
    pub(super) fn rebuild_pending(&mut self, job: &mut Job) {
        self.clear_pending(job);
        let waiting = (0..job.tasks.len() as u32)
            .rev()
            .filter(|i| matches!(job.tasks[*i as usize].state, TaskState::Pending));
        job.pending = waiting.collect();
        let team = Arc::clone(&job.team);
        job.sort_pending(|task| self.expected_run(&team, &task.input));
        let work: Duration = job
            .pending
            .iter()
            .map(|i| self.expected_run(&team, &job.tasks[*i as usize].input))
            .sum();
        self.backlog += work;
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.pending += job.pending.len() as u32;
        }
    }

    /// Takes the tasks that wait out of the work to do.
    pub(super) fn clear_pending(&mut self, job: &mut Job) {
        let team = Arc::clone(&job.team);
        for index in std::mem::take(&mut job.pending) {
            let work = self.expected_run(&team, &job.tasks[index as usize].input);
            self.backlog = self.backlog.saturating_sub(work);
            if let Some(team) = self.teams.get_mut(&team.name) {
                team.pending = team.pending.saturating_sub(1);
            }
        }
    }

    fn enqueue(&mut self, job: Box<Job>) {
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.queue.push_back(job.key.clone());
        }
        self.queued_jobs += 1;
        self.jobs.insert(job.key.clone(), job);
    }

    /// Gives room in all teams' shares to the jobs that wait for it.
    pub(super) fn schedule_teams(&mut self, now: Instant) {
        let waits = self
            .teams
            .iter()
            .filter(|(_, t)| !t.queue.is_empty() || !t.quota_waiters.is_empty());
        let names: Vec<Name> = waits.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.schedule_team(now, &name);
        }
    }

    /// Gives room in a team's share to its jobs: first to claimed ones, one after the other,
    /// then to the oldest that are not claimed yet.
    pub(super) fn schedule_team(&mut self, now: Instant, name: &Name) {
        let turns = self.teams.get(name).map_or(0, |t| t.quota_waiters.len());
        for _ in 0..turns {
            let Some(team) = self.teams.get_mut(name) else {
                return;
            };
            if team.available() == 0 {
                break;
            }
            let Some(key) = team.quota_waiters.pop_front() else {
                break;
            };
            self.with_job(&key, |engine, job| {
                job.awaiting_quota = false;
                engine.dispatch(now, job);
            });
        }
        loop {
            let lease = self.has_lease(now);
            let Some(team) = self.teams.get_mut(name) else {
                return;
            };
            let room = team.share.saturating_sub(team.in_flight + team.requested);
            let Some(key) = team.queue.front() else {
                return;
            };
            let tasks = self.jobs.get(key).map_or(0, |j| j.tasks.len() as u32);
            if room == 0 || !lease || !team.start_rate.take(now, tasks) {
                return;
            }
            let Some(key) = team.queue.pop_front() else {
                return;
            };
            self.queued_jobs = self.queued_jobs.saturating_sub(1);
            self.with_job(&key, |engine, job| engine.claim(now, job, 0));
        }
    }

    /// Sends an answer to a caller.
    pub(super) fn respond(&mut self, caller: Caller, response: Response) {
        match caller {
            Caller::Http(id) => self.effects.push(Effect::Respond(id, response)),
            Caller::Peer { link, request } => {
                let kind = if response.status == 202 {
                    Kind::Running
                } else {
                    Kind::Answer
                };
                let reply = AttachReply {
                    kind: kind.into(),
                    status: response.status.into(),
                    body: response.body,
                };
                self.send_frame(link, request, true, Body::AttachReply(reply));
            }
        }
    }

    /// Sends an answer to everyone who waits for a job.
    pub(super) fn respond_all(&mut self, job: &mut Job, response: &Response) {
        for waiter in std::mem::take(&mut job.waiters) {
            self.respond(waiter.caller, response.clone());
        }
    }

    /// Takes a job out of its team's queue.
    pub(super) fn remove_queued(&mut self, key: &JobKey) {
        let Some(team) = self.teams.get_mut(&key.team) else {
            return;
        };
        let before = team.queue.len();
        team.queue.retain(|k| k != key);
        self.queued_jobs = self.queued_jobs.saturating_sub(before - team.queue.len());
    }
}

pub(super) fn reject(status: u16, code: &str, detail: &str) -> Response {
    Response::rejected(status, code, Ran::No, detail)
}

pub(super) fn conflict() -> Response {
    // Another body under this name was accepted; this one was not run.
    reject(409, "conflict", "the name was used for another body")
}
