//! Submissions: authorization, admission control, and the teams' queues.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use subtle::ConstantTimeEq as _;

use sassafras_config::Team;
use sassafras_policy::expected_response_time;
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
    /// Returns the team's configuration if the token is valid.
    pub(super) fn authorize(&self, team: &Name, token: &Digest) -> Result<Arc<Team>, Response> {
        if self.config_version == 0 {
            // No team is known before the first configuration has arrived.
            let rejection = Rejection::new(
                503,
                "no_lease",
                "this entry has no configuration from control yet",
            );
            return Err(rejection.response(Ran::Unknown));
        }
        // The token is compared in constant time for unknown teams too, so that the response
        // time does not reveal which teams exist.
        let none = Digest::of(&[]);
        let known = self.teams.get(team).filter(|t| t.configured);
        let expected = known.map_or(&none, |t| &t.config.token_digest);
        let matches = bool::from(expected.as_bytes().ct_eq(token.as_bytes()));
        match known {
            Some(team) if matches => Ok(Arc::clone(&team.config)),
            // The job may run: the token may have been valid before, or be valid at other entries.
            _ => {
                let rejection =
                    Rejection::new(401, "unauthorized", "unknown team or invalid token");
                Err(rejection.response(Ran::Unknown))
            }
        }
    }

    pub(super) fn submit(&mut self, now: Instant, request: JobRequest) {
        let caller = request.caller;
        if let Err(response) = self.admit(now, request) {
            metrics::counter!("entry_refusals").increment(1);
            self.respond(caller, response);
        }
    }

    fn admit(&mut self, now: Instant, request: JobRequest) -> Result<(), Response> {
        let team = self.authorize(&request.key.team, &request.token)?;
        let digest = Digest::of(&request.body);
        if let Some(job) = self.finished.get(&request.key) {
            return if job.digest == digest {
                let response = job.response.clone();
                self.respond(request.caller, response);
                Ok(())
            } else {
                Err(conflict())
            };
        }
        if let Some(job) = self.jobs.get_mut(&request.key) {
            if job.digest != digest && job.is_claimed() {
                return Err(conflict());
            }
            if job.digest != digest {
                // Another entry may have claimed the body that is submitted here.
                let detail = "a job with another body waits under this name";
                return Err(Response::unknown(detail));
            }
            job.add_waiter(request.caller, now + request.wait, true);
            return Ok(());
        }
        if !self.has_lease(now) {
            // Another entry may own the job, and control cannot be asked.
            let rejection =
                Rejection::new(503, "no_lease", "this entry holds no lease from control");
            return Err(rejection.response(Ran::Unknown));
        }
        let parsed = body::parse(&request.body, &team, self.options.jobs.max_tasks);
        let tasks = match parsed {
            Ok(tasks) => tasks,
            Err(ParseError::Malformed(response)) => return Err(response),
            Err(ParseError::NotConfigured(rejection)) => {
                self.check_claimed(now, request, digest, team, rejection);
                return Ok(());
            }
        };
        if let Err(rejection) = self.check_limits(now, &team, &tasks) {
            self.check_claimed(now, request, digest, team, rejection);
            return Ok(());
        }
        let key = request.key.clone();
        let job = self.new_job(now, request, digest, team, tasks);
        self.enqueue(job);
        self.schedule_team(now, &key.team);
        Ok(())
    }

    /// Asks control whether a job that is rejected here was claimed before.
    fn check_claimed(
        &mut self,
        now: Instant,
        request: JobRequest,
        digest: Digest,
        team: Arc<Team>,
        rejection: Rejection,
    ) {
        metrics::counter!("entry_refusals").increment(1);
        let mut job = self.new_job(now, request, digest, team, Vec::new());
        self.query_claim(&mut job, rejection);
        self.jobs.insert(job.key.clone(), job);
    }

    /// Rejects a job that this entry cannot accept now: draining, full queue or no capacity.
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
            let detail = "the job queue of this entry is full";
            return Err(Rejection::new(429, "queue_full", detail));
        }
        self.check_capacity(now, team, tasks)
    }

    /// Rejects a job that no agent can run, or that is not expected to end before its deadline.
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
            let capable = self.agents.iter().filter(|a| a.has_endpoint());
            let capable: Vec<_> = capable
                .filter(|a| a.capacity.fits(kind, &task.needs))
                .collect();
            if capable.is_empty() {
                let detail =
                    format!("no worker accepts tasks of kind {kind} with these resource needs");
                return Err(Rejection::new(422, "unsatisfiable", detail));
            }
            let usable = capable.iter().filter(|a| a.usable(now));
            slots = usable.map(|a| a.capacity.slots).sum::<u32>().max(slots);
        }
        let run_time = |t: &TaskInput| self.expected_run(team, t);
        let work = tasks.iter().map(run_time).sum();
        let longest = tasks.iter().map(run_time).max().unwrap_or_default();
        let deadline = tasks.iter().map(|t| t.deadline).min().unwrap_or_default();
        // The wait cannot be estimated without a usable slot; the job may then wait until its
        // deadline.
        if slots > 0 && self.backlog > Duration::ZERO {
            let wait = expected_response_time(self.backlog, work, longest, slots);
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
        self.run_times.mean(&team.name, &kind.name, kind.run_time)
    }

    fn new_job(
        &mut self,
        now: Instant,
        request: JobRequest,
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
            key: request.key,
            id: self.next_id(),
            digest,
            team,
            phase: Phase::Queued,
            epoch: 0,
            claimed_ms: 0,
            pending: Vec::new(),
            unfinished: tasks.len(),
            tasks,
            allocs: Vec::new(),
            started: 0,
            in_flight: 0,
            success_agents: [None; 2],
            lost_agents: Vec::new(),
            deadline: now + deadline.unwrap_or_default(),
            paused_until: None,
            waiters: Vec::new(),
            cancelled: false,
            owner_asked: false,
            idle_checked: None,
            extending: false,
            awaiting_quota: false,
            first_claim: true,
            takeover: 0,
            ended: false,
            submitted: now,
            ideal_time: None,
        });
        job.add_waiter(request.caller, now + request.wait, true);
        self.rebuild_pending(&mut job);
        job
    }

    /// Rebuilds the list of unsent tasks, and adds them to the counters and the backlog.
    pub(super) fn rebuild_pending(&mut self, job: &mut Job) {
        self.clear_pending(job);
        let pending = (0..job.tasks.len() as u32)
            .rev()
            .filter(|i| matches!(job.tasks[*i as usize].state, TaskState::Pending));
        job.pending = pending.collect();
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

    /// Clears the list of unsent tasks, and subtracts them from the counters and the backlog.
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

    /// Runs [`Self::schedule_team`] for every team with waiting jobs.
    pub(super) fn schedule_teams(&mut self, now: Instant) {
        let waiting = self
            .teams
            .iter()
            .filter(|(_, t)| !t.queue.is_empty() || !t.quota_waiters.is_empty());
        let names: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.schedule_team(now, &name);
        }
    }

    /// Assigns the unused part of a team's share to its jobs: first to claimed jobs in
    /// round-robin order, then to unclaimed jobs, the oldest first.
    pub(super) fn schedule_team(&mut self, now: Instant, name: &Name) {
        let rounds = self.teams.get(name).map_or(0, |t| t.quota_waiters.len());
        for _ in 0..rounds {
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
            let quota = team.share.saturating_sub(team.in_flight + team.requested);
            let Some(key) = team.queue.front() else {
                return;
            };
            let tasks = self.jobs.get(key).map_or(0, |j| j.tasks.len() as u32);
            if quota == 0 || !lease || !team.start_limiter.try_acquire(now, tasks) {
                return;
            }
            let Some(key) = team.queue.pop_front() else {
                return;
            };
            self.queued_jobs = self.queued_jobs.saturating_sub(1);
            self.with_job(&key, |engine, job| engine.claim(now, job, 0));
        }
    }

    /// Sends a response to a caller.
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

    /// Sends a response to every caller that waits for a job.
    pub(super) fn respond_all(&mut self, job: &mut Job, response: &Response) {
        for waiter in std::mem::take(&mut job.waiters) {
            self.respond(waiter.caller, response.clone());
        }
    }

    /// Removes a job from its team's queue.
    pub(super) fn remove_queued(&mut self, key: &JobKey) {
        let Some(team) = self.teams.get_mut(&key.team) else {
            return;
        };
        let before = team.queue.len();
        team.queue.retain(|k| k != key);
        self.queued_jobs = self.queued_jobs.saturating_sub(before - team.queue.len());
    }
}

pub(super) fn conflict() -> Response {
    // A different body was accepted under this name, so this one was not run.
    let detail = "the job name is in use for a different body";
    Response::rejected(409, "conflict", Ran::No, detail)
}
