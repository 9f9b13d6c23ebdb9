//! Submissions: who may submit, what can run, and what has to wait.

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

use crate::answer::Answer;
use crate::answer::Ran;
use crate::answer::Refusal;
use crate::body;
use crate::body::Rejected;
use crate::body::TaskInput;
use crate::engine::Caller;
use crate::engine::Effect;
use crate::engine::Engine;
use crate::engine::Submit;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::job::Task;
use crate::engine::job::TaskState;

impl Engine {
    /// Returns the team whose token was presented.
    pub(super) fn authorize(&self, team: &Name, token: &Digest) -> Result<Arc<Team>, Answer> {
        if self.config == 0 {
            // Before the first configuration nothing is known about any team.
            let refusal = Refusal::new(503, "no_lease", "this entry has not reached control yet");
            return Err(refusal.answer(Ran::Unknown));
        }
        // An unknown team costs the same comparison as a known one, so that the time of the
        // answer does not tell them apart.
        let none = Digest::of(&[]);
        let known = self.teams.get(team).filter(|t| t.declared);
        let expected = known.map_or(&none, |t| &t.decl.token_digest);
        let matches = bool::from(expected.as_bytes().ct_eq(token.as_bytes()));
        match known {
            Some(team) if matches => Ok(Arc::clone(&team.decl)),
            _ => Err(refuse(401, "unauthorized", "unknown team or wrong token")),
        }
    }

    pub(super) fn submit(&mut self, now: Instant, submit: Submit) {
        let caller = submit.caller;
        if let Err(answer) = self.admit(now, submit) {
            metrics::counter!("entry_refusals").increment(1);
            self.answer(caller, answer);
        }
    }

    fn admit(&mut self, now: Instant, submit: Submit) -> Result<(), Answer> {
        let team = self.authorize(&submit.key.team, &submit.token)?;
        let digest = Digest::of(&submit.body);
        if let Some(done) = self.done.get(&submit.key) {
            return if done.digest == digest {
                let answer = done.answer.clone();
                self.answer(submit.caller, answer);
                Ok(())
            } else {
                Err(conflict())
            };
        }
        if let Some(job) = self.jobs.get_mut(&submit.key) {
            if job.digest != digest {
                return Err(conflict());
            }
            job.wait_until(submit.caller, now + submit.wait);
            return Ok(());
        }
        if !self.has_lease(now) {
            // Another entry may run the job, and control cannot be asked.
            let refusal = Refusal::new(503, "no_lease", "this entry cannot reach control");
            return Err(refusal.answer(Ran::Unknown));
        }
        let parsed = body::parse(&submit.body, &team, self.options.jobs.max_tasks);
        let tasks = match parsed {
            Ok(tasks) => tasks,
            Err(Rejected::Malformed(answer)) => return Err(answer),
            Err(Rejected::Undeclared(refusal)) => {
                self.check_claimed(now, submit, digest, team, refusal);
                return Ok(());
            }
        };
        if let Err(refusal) = self.check_room(now, &team, &tasks) {
            self.check_claimed(now, submit, digest, team, refusal);
            return Ok(());
        }
        let key = submit.key.clone();
        let job = self.new_job(now, submit, digest, team, tasks);
        self.enqueue(job);
        self.serve_team(now, &key.team);
        Ok(())
    }

    /// Asks control whether a job that is refused here was claimed before.
    fn check_claimed(
        &mut self,
        now: Instant,
        submit: Submit,
        digest: Digest,
        team: Arc<Team>,
        refusal: Refusal,
    ) {
        metrics::counter!("entry_refusals").increment(1);
        let mut job = self.new_job(now, submit, digest, team, Vec::new());
        self.query_claim(&mut job, refusal);
        self.jobs.insert(job.key.clone(), job);
    }

    /// Refuses a job for which this entry has no room at present.
    fn check_room(&self, now: Instant, team: &Team, tasks: &[TaskInput]) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::new(503, "draining", "this entry is shutting down"));
        }
        if self.queued >= self.options.jobs.queue {
            let detail = "too many jobs wait at this entry";
            return Err(Refusal::new(429, "queue_full", detail));
        }
        self.check_capacity(now, team, tasks)
    }

    /// Refuses a job that can never run, or that cannot end before its deadline.
    fn check_capacity(
        &self,
        now: Instant,
        team: &Team,
        tasks: &[TaskInput],
    ) -> Result<(), Refusal> {
        let mut slots = 0;
        let mut last = None;
        for task in tasks {
            let class = (task.kind, task.needs);
            if last == Some(class) {
                continue;
            }
            last = Some(class);
            let kind = &team.kinds[task.kind].name;
            let able = self.agents.iter().filter(|a| a.present());
            let able: Vec<_> = able
                .filter(|a| a.capacity.fits(kind, &task.needs))
                .collect();
            if able.is_empty() {
                let detail = format!("no worker can run tasks of kind {kind} with these needs");
                return Err(Refusal::new(422, "unsatisfiable", detail));
            }
            let usable = able.iter().filter(|a| a.usable(now));
            slots = usable.map(|a| a.capacity.slots).sum::<u32>().max(slots);
        }
        let estimate = |t: &TaskInput| self.estimate(team, t);
        let own = tasks.iter().map(estimate).sum();
        let longest = tasks.iter().map(estimate).max().unwrap_or_default();
        let deadline = tasks.iter().map(|t| t.deadline).min().unwrap_or_default();
        // Without a usable slot nothing is known about the wait; the deadline decides then.
        if slots > 0 && self.backlog > Duration::ZERO {
            let wait = expected_response_time(self.backlog, own, longest, slots);
            if wait > deadline {
                let detail = "the expected wait exceeds the deadline";
                return Err(Refusal::new(503, "overloaded", detail));
            }
        }
        Ok(())
    }

    /// Returns the expected run time of a task on an average agent.
    pub(super) fn estimate(&self, team: &Team, task: &TaskInput) -> Duration {
        let kind = &team.kinds[task.kind];
        self.speeds.mean(&team.name, &kind.name, kind.run_time)
    }

    fn new_job(
        &mut self,
        now: Instant,
        submit: Submit,
        digest: Digest,
        team: Arc<Team>,
        inputs: Vec<TaskInput>,
    ) -> Box<Job> {
        let task = |input| Task {
            input,
            state: TaskState::Waiting,
            attempt: 0,
            failures: 0,
            adopted: false,
            avoid: None,
        };
        let tasks: Vec<Task> = inputs.into_iter().map(task).collect();
        let deadline = tasks.iter().map(|t| t.input.deadline).min();
        let mut job = Box::new(Job {
            key: submit.key,
            number: self.number(),
            digest,
            team,
            phase: Phase::Queued,
            epoch: 0,
            claimed_ms: 0,
            waiting: Vec::new(),
            open: tasks.len(),
            tasks,
            at: Vec::new(),
            started: 0,
            in_flight: 0,
            succeeded: [None; 2],
            lost_at: Vec::new(),
            deadline: now + deadline.unwrap_or_default(),
            pause: None,
            waiters: Vec::new(),
            cancelled: false,
            asked_owner: false,
            spare: None,
            extending: false,
            hungry: false,
            fresh: true,
            takeover: 0,
            ended: false,
            submitted: now,
            ideal: None,
        });
        job.wait_until(submit.caller, now + submit.wait);
        self.fill_waiting(&mut job);
        job
    }

    /// Lists the tasks in state `Waiting` and counts them as work to do.
    pub(super) fn fill_waiting(&mut self, job: &mut Job) {
        self.drop_waiting(job);
        let waiting = (0..job.tasks.len() as u32)
            .rev()
            .filter(|i| matches!(job.tasks[*i as usize].state, TaskState::Waiting));
        job.waiting = waiting.collect();
        let team = Arc::clone(&job.team);
        job.sort_waiting(|task| self.estimate(&team, &task.input));
        let work: Duration = job
            .waiting
            .iter()
            .map(|i| self.estimate(&team, &job.tasks[*i as usize].input))
            .sum();
        self.backlog += work;
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.waiting += job.waiting.len() as u32;
        }
    }

    /// Takes the tasks that wait out of the work to do.
    pub(super) fn drop_waiting(&mut self, job: &mut Job) {
        let team = Arc::clone(&job.team);
        for index in std::mem::take(&mut job.waiting) {
            let work = self.estimate(&team, &job.tasks[index as usize].input);
            self.backlog = self.backlog.saturating_sub(work);
            if let Some(team) = self.teams.get_mut(&team.name) {
                team.waiting = team.waiting.saturating_sub(1);
            }
        }
    }

    fn enqueue(&mut self, job: Box<Job>) {
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.queue.push_back(job.key.clone());
        }
        self.queued += 1;
        self.jobs.insert(job.key.clone(), job);
    }

    /// Gives room in all teams' shares to the jobs that wait for it.
    pub(super) fn serve_teams(&mut self, now: Instant) {
        let waits = self
            .teams
            .iter()
            .filter(|(_, t)| !t.queue.is_empty() || !t.hungry.is_empty());
        let names: Vec<Name> = waits.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.serve_team(now, &name);
        }
    }

    /// Gives room in a team's share to its jobs: first to claimed ones, one after the other,
    /// then to the oldest that are not claimed yet.
    pub(super) fn serve_team(&mut self, now: Instant, name: &Name) {
        let turns = self.teams.get(name).map_or(0, |t| t.hungry.len());
        for _ in 0..turns {
            let Some(team) = self.teams.get_mut(name) else {
                return;
            };
            if team.room() == 0 {
                break;
            }
            let Some(key) = team.hungry.pop_front() else {
                break;
            };
            self.with_job(&key, |engine, job| {
                job.hungry = false;
                engine.pump(now, job);
            });
        }
        loop {
            let lease = self.has_lease(now);
            let Some(team) = self.teams.get_mut(name) else {
                return;
            };
            let room = team.share.saturating_sub(team.in_flight + team.asked);
            let Some(key) = team.queue.front() else {
                return;
            };
            let tasks = self.jobs.get(key).map_or(0, |j| j.tasks.len() as u32);
            if room == 0 || !lease || !team.rate.try_acquire(now, tasks) {
                return;
            }
            let Some(key) = team.queue.pop_front() else {
                return;
            };
            self.queued = self.queued.saturating_sub(1);
            self.with_job(&key, |engine, job| engine.claim(now, job, 0));
        }
    }

    /// Sends an answer to a caller.
    pub(super) fn answer(&mut self, caller: Caller, answer: Answer) {
        match caller {
            Caller::Http(id) => self.effects.push(Effect::Reply(id, answer)),
            Caller::Peer { link, request } => {
                let kind = if answer.status == 202 {
                    Kind::Running
                } else {
                    Kind::Answer
                };
                let reply = AttachReply {
                    kind: kind.into(),
                    status: answer.status.into(),
                    body: answer.body,
                };
                self.send_frame(link, request, true, Body::AttachReply(reply));
            }
        }
    }

    /// Sends an answer to everyone who waits for a job.
    pub(super) fn answer_all(&mut self, job: &mut Job, answer: &Answer) {
        for waiter in std::mem::take(&mut job.waiters) {
            self.answer(waiter.caller, answer.clone());
        }
    }

    /// Takes a job out of its team's queue.
    pub(super) fn leave_queue(&mut self, key: &JobKey) {
        let Some(team) = self.teams.get_mut(&key.team) else {
            return;
        };
        let before = team.queue.len();
        team.queue.retain(|k| k != key);
        self.queued = self.queued.saturating_sub(before - team.queue.len());
    }
}

pub(super) fn refuse(status: u16, code: &str, detail: &str) -> Answer {
    Answer::refusal(status, code, Ran::No, detail)
}

pub(super) fn conflict() -> Answer {
    // Another body under this name was accepted; this one was not run.
    refuse(409, "conflict", "the name was used for another body")
}
