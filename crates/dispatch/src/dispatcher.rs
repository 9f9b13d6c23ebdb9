//! The entry's part: accepts jobs, places their tasks and answers.

mod agents;
mod placing;

use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use slog::warn;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::StopTasks;

use crate::estimate::Estimator;
use crate::host::Host;
use crate::job::JobSpec;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::job::Route;
use crate::placement::Plan;
use crate::timing::PULSE;
use crate::timing::STALL;

/// After a suspension, requests are refused for this long, since their callers may have given
/// up while they waited to be read.
const REFUSE_AFTER_STALL: Duration = Duration::from_millis(150);
/// An answer leaves this long before the caller stops waiting for it.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// Why jobs are given up after a suspension.
const SUSPENDED: &str = "the entry was suspended";

/// A job that arrives.
#[derive(Debug)]
pub struct Submission {
    /// Identifies the request that waits for the answer.
    pub ticket: u64,
    /// The caller's id of the request, for the log.
    pub request: Name,
    /// The route that the job came by.
    pub route: Route,
    /// The job.
    pub spec: JobSpec,
    /// How long the caller waits.
    pub timeout: Duration,
}

/// What the dispatcher asks its user to do.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "moved once; boxing would allocate for each"
)]
pub enum Effect {
    /// Send to an agent.
    Send(Name, Body),
    /// Close the link to an agent, which carries nothing.
    Reopen(Name),
    /// Answer a request.
    Answer(u64, Outcome),
}

#[derive(Clone, Debug, PartialEq)]
enum TaskState {
    /// It waits for earlier steps or for an endpoint.
    Waiting,
    /// The run with this number is at an agent.
    Sent(u64, Name),
    Done,
}

#[derive(Debug)]
struct Task {
    step: usize,
    index: u32,
    state: TaskState,
    /// Runs so far; the number of the next one is one higher.
    runs: u32,
    failures: u32,
    /// Run time that the task would have had on an endpoint of ordinary pace; zero until it is
    /// done.
    measured: Duration,
    /// Agents where the task failed or got lost.
    avoid: Vec<Name>,
}

#[derive(Debug)]
struct Job {
    ticket: u64,
    request: Name,
    route: Route,
    spec: JobSpec,
    /// Expected run time of a task, by step.
    expected: Vec<Duration>,
    arrived: Instant,
    /// When the caller stops waiting.
    deadline: Instant,
    objective: Duration,
    tasks: Vec<Task>,
    /// Whether a task may have run.
    ran: bool,
    /// The entry was suspended since the job arrived: nothing more is started for it.
    stale: bool,
}

/// The entry's part of best-effort jobs.
#[derive(Debug)]
pub struct Dispatcher {
    log: Logger,
    rng: SmallRng,
    hosts: FastMap<Name, Host>,
    jobs: FastMap<u64, Job>,
    /// What was learned about declared run times, by route.
    estimators: FastMap<Name, Estimator>,
    next_job: u64,
    next_run: u64,
    effects: Vec<Effect>,
    now: Instant,
    refuse_until: Instant,
    pulse_at: Instant,
    site: Site,
}

/// Where an entry runs.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its availability zone.
    pub zone: Name,
    /// The part of a processor core that it may use.
    pub processor: f64,
    /// Factor on the run time of a task away from the rack of its data.
    pub remote: f64,
}

impl Dispatcher {
    /// Creates the dispatcher of an entry.
    pub fn new(now: Instant, site: Site, seed: u64, log: Logger) -> Self {
        Self {
            log,
            site,
            rng: SmallRng::seed_from_u64(seed),
            hosts: FastMap::default(),
            jobs: FastMap::default(),
            estimators: FastMap::default(),
            next_job: 1,
            // Agents may still know runs of an earlier process.
            next_run: (seed >> 24) | 1,
            effects: Vec::new(),
            now,
            refuse_until: now,
            pulse_at: now,
        }
    }

    /// Takes the effects that have gathered.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns when [`Dispatcher::tick`] is due.
    pub fn deadline(&self) -> Instant {
        let ends = self.jobs.values().map(|j| j.deadline);
        ends.min().map_or(self.pulse_at, |d| d.min(self.pulse_at))
    }

    /// Returns the number of jobs that are not answered.
    pub fn pending(&self) -> usize {
        self.jobs.len()
    }

    /// Reports whether a task could be placed now.
    pub fn ready(&self) -> bool {
        self.hosts
            .values()
            .any(|h| h.linked && h.view.pool.is_some())
    }

    /// Forgets what was learned about the routes that `keep` does not accept.
    pub fn keep_routes(&mut self, keep: impl Fn(&Name) -> bool) {
        self.estimators.retain(|route, _| keep(route));
    }

    /// Returns how many jobs of a route wait for their first task.
    pub fn waiting(&self, route: &Name) -> usize {
        let of_route = self.jobs.values().filter(|j| j.route.name == *route);
        of_route.filter(|j| !j.ran).count()
    }

    /// Takes a job.
    pub fn submit(&mut self, now: Instant, submission: Submission) {
        self.advance(now);
        let Submission {
            ticket,
            request,
            route,
            spec,
            timeout,
        } = submission;
        let estimator = self.estimators.entry(route.name.clone()).or_default();
        let expected = spec.steps.iter().map(|s| estimator.expected(s.estimate));
        let expected: Vec<Duration> = expected.collect();
        let tasks = spec.steps.iter().enumerate().flat_map(|(step, s)| {
            (0..s.tasks).map(move |index| Task {
                step,
                index,
                state: TaskState::Waiting,
                runs: 0,
                failures: 0,
                measured: Duration::ZERO,
                avoid: Vec::new(),
            })
        });
        let job = Job {
            ticket,
            request,
            objective: route.objective(spec.critical_path(&expected)),
            arrived: now,
            deadline: now + timeout.saturating_sub(ANSWER_MARGIN),
            tasks: tasks.collect(),
            ran: false,
            stale: false,
            expected,
            route,
            spec,
        };
        let plans = self.plan_ready(&job);
        if let Some(refusal) = self.refusal(&job, &plans) {
            return self.refuse(&job, refusal);
        }
        let number = self.next_job;
        self.next_job += 1;
        let wait = plans.iter().map(|(_, p)| p.wait).max().unwrap_or_default();
        let finish = plans.iter().map(|(_, p)| p.finish).max();
        info!(self.log, "job accepted"; "request" => %job.request, "job" => %job.spec.id,
            "route" => %job.route.name, "tasks" => job.tasks.len(),
            "wait_ms" => wait.as_millis() as u64,
            "finish_ms" => finish.unwrap_or_default().as_millis() as u64,
            "objective_ms" => job.objective.as_millis() as u64);
        metrics::counter!("dispatch_jobs", "result" => "accepted").increment(1);
        self.jobs.insert(number, job);
        for (step, plan) in plans {
            self.send(number, step, &plan);
        }
        self.finish_if_done(number);
    }

    /// Decides whether a job is turned away.
    fn refusal(&self, job: &Job, plans: &[(usize, Plan)]) -> Option<Refusal> {
        if self.now < self.refuse_until {
            return Some(Refusal::Stalled);
        }
        if !self.hosts.values().any(|h| h.serves(&job.route.pool)) {
            return Some(Refusal::NoEndpoint);
        }
        if plans.iter().any(|(_, p)| p.agents.is_empty()) {
            return Some(Refusal::Unsatisfiable);
        }
        let late = |p: &Plan| !p.wait.is_zero() && p.finish > job.objective;
        let late = plans.iter().map(|(_, p)| p).find(|p| late(p))?;
        let wait_ms = late.wait.as_millis() as u64;
        Some(Refusal::Overloaded { wait_ms })
    }

    fn refuse(&mut self, job: &Job, refusal: Refusal) {
        let free: u64 = self.hosts.values().map(|h| u64::from(h.free().cpu)).sum();
        let needs: u64 = job
            .spec
            .steps
            .iter()
            .map(|s| u64::from(s.tasks * s.needs.cpu))
            .sum();
        info!(self.log, "job refused"; "request" => %job.request, "job" => %job.spec.id,
            "route" => %job.route.name, "reason" => %refusal, "endpoints" => self.hosts.len(),
            "tasks" => job.tasks.len(), "needed_cpu" => needs, "free_cpu" => free,
            "age_ms" => self.now.saturating_duration_since(job.arrived).as_millis() as u64,
            "objective_ms" => job.objective.as_millis() as u64);
        metrics::counter!("dispatch_jobs", "result" => "refused").increment(1);
        let outcome = Outcome::Refused(refusal);
        self.effects.push(Effect::Answer(job.ticket, outcome));
    }

    /// Gives up a job whose caller went away.
    pub fn abandon(&mut self, now: Instant, ticket: u64) {
        self.advance(now);
        let found = self.jobs.iter().find(|(_, j)| j.ticket == ticket);
        if let Some(number) = found.map(|(n, _)| *n) {
            self.end(number, &Outcome::GivenUp("the caller is gone"));
        }
    }

    /// Cancels a job by its id, wherever its tasks run. Returns whether it is this entry's.
    pub fn cancel(&mut self, now: Instant, id: &Name) -> bool {
        self.advance(now);
        let found = self.jobs.iter().find(|(_, j)| j.spec.id == *id);
        let found = found.map(|(n, _)| *n);
        if let Some(number) = found {
            self.end(number, &Outcome::Cancelled);
        }
        found.is_some()
    }

    /// Answers a job and stops what still runs of it.
    fn end(&mut self, number: u64, outcome: &Outcome) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        let took = self.now.saturating_duration_since(job.arrived);
        let runs: u32 = job.tasks.iter().map(|t| t.runs).sum();
        info!(self.log, "job ended"; "request" => %job.request, "job" => %job.spec.id,
            "route" => %job.route.name, "outcome" => %outcome, "ms" => took.as_millis() as u64,
            "objective_ms" => job.objective.as_millis() as u64, "tasks" => job.tasks.len(),
            "runs" => runs);
        if *outcome == Outcome::Completed {
            self.learn(&job);
        }
        let result = match outcome {
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
            Outcome::Refused(_) => "refused",
            Outcome::GivenUp(_) => "given_up",
        };
        metrics::counter!("dispatch_jobs", "result" => result).increment(1);
        metrics::histogram!("dispatch_response_seconds", "result" => result)
            .record(took.as_secs_f64());
        let mut stops = FastMap::<Name, Vec<u64>>::default();
        for task in &job.tasks {
            if let TaskState::Sent(run, agent) = &task.state {
                stops.entry(agent.clone()).or_default().push(*run);
            }
        }
        for (agent, runs) in stops {
            let stop = Body::StopTasks(StopTasks { runs });
            self.effects.push(Effect::Send(agent, stop));
        }
        self.effects
            .push(Effect::Answer(job.ticket, outcome.clone()));
    }

    /// Learns from the run times of a job that is done.
    fn learn(&mut self, job: &Job) {
        let estimator = self.estimators.entry(job.route.name.clone()).or_default();
        for (number, step) in job.spec.steps.iter().enumerate() {
            let tasks = job.tasks.iter().filter(|t| t.step == number);
            let total: Duration = tasks.map(|t| t.measured).sum();
            estimator.learn(step.estimate, total / step.tasks.max(1));
        }
    }

    /// Lets time pass: pulses, deadlines, silent agents.
    pub fn tick(&mut self, now: Instant) {
        self.advance(now);
        let over = self.jobs.iter().filter(|(_, j)| now >= j.deadline);
        let over: Vec<u64> = over.map(|(n, _)| *n).collect();
        for number in over {
            self.end(number, &Outcome::GivenUp("the caller's time is over"));
        }
        if now >= self.refuse_until {
            let stale = self.jobs.iter().filter(|(_, j)| j.stale);
            let stale: Vec<u64> = stale.map(|(n, _)| *n).collect();
            for number in stale {
                self.end(number, &Outcome::GivenUp(SUSPENDED));
            }
        }
        if now < self.pulse_at {
            return;
        }
        self.pulse_at = now + PULSE;
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        for name in &names {
            self.pulse(name);
        }
        self.sweep();
        self.place_waiting();
    }

    /// Notes the time. After a suspension nothing more is started for any job: agents have stopped
    /// the tasks, and callers may have submitted the jobs elsewhere. A job whose tasks were all
    /// done meanwhile is still answered, once the agents' reports have been read.
    fn advance(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.now);
        self.now = self.now.max(now);
        if pause < STALL {
            return;
        }
        warn!(self.log, "suspended"; "ms" => pause.as_millis() as u64, "jobs" => self.jobs.len());
        self.refuse_until = now + REFUSE_AFTER_STALL;
        for job in self.jobs.values_mut() {
            job.stale = true;
        }
    }
}
