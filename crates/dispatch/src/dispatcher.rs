//! Scheduling of best-effort jobs at an entry: admission, placement and completion.

mod agents;
mod cancellation;
mod tasks;
mod watching;

use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use slog::warn;

use sassafras_util::FastMap;
use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::StopTasks;

use self::cancellation::Cancelled;
use crate::admission::Admission;
use crate::admission::Service;
use crate::admission::Standing;
use crate::estimate::Estimator;
use crate::host::Host;
use crate::job::JobSpec;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::job::Route;
use crate::placement::Plan;
use crate::timing::PULSE_INTERVAL;
use crate::timing::SUSPENSION_THRESHOLD;
use crate::watch::SetSize;

/// How long requests are refused after the entry was suspended. Requests that arrived meanwhile
/// have waited unread, and their callers may have given up.
const REFUSAL_PERIOD: Duration = Duration::from_millis(150);
/// The response to a job is sent this long before its caller stops waiting, so that it arrives in
/// time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);

/// Reason given to callers whose jobs were pending during a suspension.
const SUSPENDED_REASON: &str = "the entry was suspended";

/// A job submitted by a caller.
#[derive(Debug)]
pub struct Submission {
    /// Identifies the caller's request in [`Effect::Respond`].
    pub ticket: u64,
    /// Request id sent by the caller, used in log lines.
    pub request: Name,
    /// Host and path of the job, by which its caller refers to it.
    pub address: Name,
    /// The route that the request matched.
    pub route: Route,
    /// What to run.
    pub spec: JobSpec,
    /// How long the caller waits for the response.
    pub timeout: Duration,
}

/// An action for the event loop to carry out.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "moved once; boxing would allocate for each"
)]
pub enum Effect {
    /// Send a message to the agent with this name.
    Send(Name, Body),
    /// Close the link to this agent, which has timed out, so that it is established again.
    CloseLink(Name),
    /// Send the outcome to the caller whose request has this ticket.
    Respond(u64, Outcome),
}

#[derive(Clone, Debug, PartialEq)]
enum TaskState {
    /// Waits for earlier steps or for an endpoint.
    Waiting,
    /// Sent to this agent under this run number.
    Sent(u64, Name),
    Done,
}

#[derive(Debug)]
struct Task {
    step: usize,
    index: u32,
    state: TaskState,
    /// Runs sent so far, which is the attempt number of the last one.
    attempts: u32,
    failures: u32,
    /// Run time divided by the pace of the endpoint; zero until the task is done.
    normalized_time: Duration,
    /// Run time; zero until the task is done.
    ran: Duration,
    /// Agents at which the task failed, stalled or was lost.
    avoid: Vec<Name>,
}

#[derive(Debug)]
struct Job {
    ticket: u64,
    request: Name,
    address: Name,
    route: Route,
    spec: JobSpec,
    /// Expected run time of a task, by step.
    expected: Vec<Duration>,
    arrived: Instant,
    /// When the response must be sent.
    deadline: Instant,
    objective: Duration,
    /// Priority with which its tasks wait.
    priority: u32,
    standing: Standing,
    /// Share of the time that it could wait which it planned to wait.
    strain: f64,
    tasks: Vec<Task>,
    /// Whether a task may have run.
    started: bool,
    /// Whether the entry was suspended after the job arrived. No more tasks are started for it.
    suspended: bool,
    /// Until when the decision on the job waits for views of agents that were woken for it. None
    /// once it was accepted.
    views_due: Option<Instant>,
    /// Whether further agents were woken because the watched ones had no capacity in time.
    widened: bool,
}

impl Job {
    /// Returns the number of runs sent so far.
    fn runs(&self) -> u32 {
        self.tasks.iter().map(|t| t.attempts).sum()
    }
}

/// Admits and places the best-effort jobs of an entry.
#[derive(Debug)]
pub struct Dispatcher {
    log: Logger,
    rng: SmallRng,
    hosts: FastMap<Name, Host>,
    /// Availability zones in which nothing is placed.
    evacuated: FastSet<Name>,
    jobs: FastMap<u64, Job>,
    cancelled: Cancelled,
    /// Relation of measured to declared run times, by route.
    estimators: FastMap<Name, Estimator>,
    admission: Admission,
    next_job: u64,
    next_run: u64,
    effects: Vec<Effect>,
    now: Instant,
    refuse_until: Instant,
    pulse_at: Instant,
    set_size: SetSize,
    /// Whether agents came or went since the set of watched agents was chosen.
    set_outdated: bool,
    /// When the set of watched agents is chosen again.
    set_due: Instant,
    /// When the entry may wake further agents because the watched ones are full.
    widen_at: Instant,
    /// Shortest interval between two views of a watched agent.
    view_interval: Duration,
    config: DispatcherConfig,
}

/// Configuration of a [`Dispatcher`].
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Name of the entry.
    pub name: Name,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Processor cores that the entry may use.
    pub cores: f64,
    /// Factor on the run time of a task away from the rack of its data.
    pub remote_factor: f64,
    /// Whether work waits and is refused by its priority and objective.
    pub by_priority: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without agents and jobs.
    pub fn new(now: Instant, config: DispatcherConfig, seed: u64, log: Logger) -> Self {
        Self {
            log,
            config,
            rng: SmallRng::seed_from_u64(seed),
            hosts: FastMap::default(),
            evacuated: FastSet::default(),
            jobs: FastMap::default(),
            cancelled: Cancelled::default(),
            estimators: FastMap::default(),
            admission: Admission::new(now),
            next_job: 1,
            // A random first number avoids those of an earlier process that agents may still know.
            next_run: (seed >> 24) | 1,
            effects: Vec::new(),
            now,
            refuse_until: now,
            pulse_at: now,
            set_size: SetSize::new(now),
            set_outdated: false,
            set_due: now,
            widen_at: now,
            view_interval: Duration::ZERO,
        }
    }

    /// Returns the effects queued since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns when [`Dispatcher::tick`] is due.
    pub fn deadline(&self) -> Instant {
        let due = |j: &Job| j.views_due.map_or(j.deadline, |d| d.min(j.deadline));
        let deadlines = self.jobs.values().map(due);
        deadlines
            .min()
            .map_or(self.pulse_at, |d| d.min(self.pulse_at))
    }

    /// Returns the number of jobs that have no outcome yet.
    pub fn pending_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Reports whether any linked endpoint accepts tasks.
    pub fn ready(&self) -> bool {
        self.hosts
            .values()
            .any(|h| h.linked && h.view.pool.is_some())
    }

    /// Drops the run-time estimates of all routes that `keep` rejects.
    pub fn retain_routes(&mut self, keep: impl Fn(&Name) -> bool) {
        self.estimators.retain(|route, _| keep(route));
        self.admission.retain_routes(keep);
    }

    /// Sets the availability zones in which no task is placed from now on. Agents there return the
    /// tasks that wait.
    pub fn set_evacuated(&mut self, now: Instant, zones: FastSet<Name>) {
        self.advance_clock(now);
        self.evacuated = zones;
        let mut open = 0;
        for host in self.hosts.values_mut() {
            host.evacuated = self.evacuated.contains(&host.zone);
            open += usize::from(!host.evacuated);
        }
        info!(self.log, "evacuated zones changed"; "zones" => self.evacuated.len(),
            "agents" => self.hosts.len(), "in_use" => open);
        metrics::gauge!("dispatch_evacuated_agents").set((self.hosts.len() - open) as f64);
        self.set_outdated = true;
        self.update_watched();
    }

    /// Returns the number of jobs of a route for which no task has started.
    pub fn queued_jobs(&self, route: &Name) -> usize {
        let of_route = self.jobs.values().filter(|j| j.route.name == *route);
        of_route.filter(|j| !j.started).count()
    }

    /// Admits a job and sends its first tasks, or refuses it. A job that is pending already goes on,
    /// and its outcome goes to this caller.
    pub fn submit(&mut self, now: Instant, submission: Submission) {
        self.advance_clock(now);
        let id = &submission.spec.id;
        if self.cancelled.contains(id) {
            info!(self.log, "job was cancelled before"; "request" => %submission.request, "job" => %id);
            let respond = Effect::Respond(submission.ticket, Outcome::Cancelled);
            return self.effects.push(respond);
        }
        let pending = self.jobs.iter().find(|(_, j)| j.spec.id == *id);
        if let Some(number) = pending.map(|(number, _)| *number) {
            return self.join(number, submission);
        }
        let Submission {
            ticket,
            request,
            address,
            route,
            spec,
            timeout,
        } = submission;
        let standing = if self.config.by_priority {
            self.admission.standing(now, &route)
        } else {
            Standing::Normal
        };
        let estimator = self.estimators.entry(route.name.clone()).or_default();
        let expected = spec.steps.iter().map(|s| estimator.expected(s.estimate));
        let expected: Vec<Duration> = expected.collect();
        let tasks = spec.steps.iter().enumerate().flat_map(|(step, s)| {
            (0..s.tasks).map(move |index| Task {
                step,
                index,
                state: TaskState::Waiting,
                attempts: 0,
                failures: 0,
                normalized_time: Duration::ZERO,
                ran: Duration::ZERO,
                avoid: Vec::new(),
            })
        });
        let job = Job {
            ticket,
            request,
            address,
            objective: route.objective(spec.critical_path(&expected)),
            arrived: now,
            deadline: now + timeout.saturating_sub(RESPONSE_MARGIN),
            priority: if standing == Standing::Protected {
                0
            } else {
                route.priority
            },
            standing,
            strain: 0.0,
            tasks: tasks.collect(),
            started: false,
            suspended: false,
            views_due: None,
            widened: false,
            expected,
            route,
            spec,
        };
        let number = self.next_job;
        self.next_job += 1;
        self.admit(number, job);
    }

    /// Passes a pending job on to another caller. The earlier one has given it up: callers submit a
    /// job again only when they have lost its response.
    fn join(&mut self, number: u64, submission: Submission) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        info!(self.log, "job submitted again"; "request" => %submission.request,
            "earlier_request" => %job.request, "job" => %job.spec.id,
            "age_ms" => self.now.saturating_duration_since(job.arrived).as_millis() as u64);
        let earlier = std::mem::replace(&mut job.ticket, submission.ticket);
        job.request = submission.request;
        job.deadline = self.now + submission.timeout.saturating_sub(RESPONSE_MARGIN);
        let outcome = Outcome::GivenUp("the job was submitted again");
        self.effects.push(Effect::Respond(earlier, outcome));
    }

    /// Sends the first tasks of a job, or refuses it. If agents have to be woken first, waits for
    /// their views.
    fn admit(&mut self, number: u64, mut job: Job) {
        if job.views_due.is_none() && self.wake_for(&job) {
            return self.await_views(number, job);
        }
        let plans = self.plan_ready_steps(&job);
        if let Some(refusal) = self.check_admission(&job, &plans) {
            let overloaded = matches!(refusal, Refusal::Overloaded { .. });
            if overloaded && !job.widened && self.wake_further(&job) {
                job.widened = true;
                return self.await_views(number, job);
            }
            return self.refuse(&job, refusal);
        }
        job.views_due = None;
        job.strain = plans
            .iter()
            .map(|(_, p)| p.strain(job.objective))
            .fold(0.0, f64::max);
        let wait = plans.iter().map(|(_, p)| p.wait).max().unwrap_or_default();
        let finish = plans.iter().map(|(_, p)| p.finish).max();
        info!(self.log, "job accepted"; "request" => %job.request, "job" => %job.spec.id,
            "route" => %job.route.name, "tasks" => job.tasks.len(),
            "wait_ms" => wait.as_millis() as u64,
            "finish_ms" => finish.unwrap_or_default().as_millis() as u64,
            "objective_ms" => job.objective.as_millis() as u64, "standing" => ?job.standing,
            "strain" => job.strain);
        metrics::counter!("dispatch_jobs", "result" => "accepted").increment(1);
        self.jobs.insert(number, job);
        for (step, plan) in plans {
            self.send_tasks(number, step, &plan);
        }
        self.finish_if_done(number);
    }

    /// Returns why a job must be refused, if so.
    fn check_admission(&self, job: &Job, plans: &[(usize, Plan)]) -> Option<Refusal> {
        if self.now < self.refuse_until {
            return Some(Refusal::Suspended);
        }
        if !self.hosts.values().any(|h| h.serves(&job.route.pool)) {
            return Some(Refusal::NoEndpoint);
        }
        if let Some((step, _)) = plans.iter().find(|(_, p)| p.agents.is_empty()) {
            let step = &job.spec.steps[*step];
            let mut hosts = self.hosts.values();
            // Agents that were woken for the job may not have responded.
            let exists = hosts.any(|h| h.serves(&job.route.pool) && h.can_run(step));
            return Some(if exists {
                Refusal::NoEndpoint
            } else {
                Refusal::Unsatisfiable
            });
        }
        let left = (job.arrived + job.objective).saturating_duration_since(self.now);
        let late = |p: &&Plan| {
            if self.config.by_priority {
                !self
                    .admission
                    .allows(&job.route.name, job.standing, p.strain(left))
            } else {
                !p.wait.is_zero() && p.finish > job.objective
            }
        };
        let late = plans.iter().map(|(_, p)| p).find(late)?;
        let wait_ms = late.wait.as_millis() as u64;
        Some(Refusal::Overloaded { wait_ms })
    }

    fn refuse(&mut self, job: &Job, refusal: Refusal) {
        let free: u64 = self.hosts.values().map(|h| u64::from(h.free().cpu)).sum();
        let needs: u64 = job
            .spec
            .steps
            .iter()
            .map(|s| u64::from(s.tasks) * u64::from(s.needs.cpu))
            .sum();
        info!(self.log, "job refused"; "request" => %job.request, "job" => %job.spec.id,
            "route" => %job.route.name, "reason" => %refusal, "endpoints" => self.hosts.len(),
            "tasks" => job.tasks.len(), "runs" => job.runs(), "needed_cpu" => needs,
            "free_cpu" => free,
            "age_ms" => self.now.saturating_duration_since(job.arrived).as_millis() as u64,
            "objective_ms" => job.objective.as_millis() as u64, "standing" => ?job.standing);
        metrics::counter!("dispatch_jobs", "result" => "refused").increment(1);
        if free >= needs {
            metrics::counter!("dispatch_refused_with_free_capacity").increment(1);
        }
        if matches!(refusal, Refusal::Overloaded { .. }) {
            self.admission
                .record(self.now, &job.route, Service::Refused, job.strain);
        }
        let outcome = Outcome::Refused(refusal);
        self.effects.push(Effect::Respond(job.ticket, outcome));
    }

    /// Ends a job whose caller has disconnected.
    pub fn abandon(&mut self, now: Instant, ticket: u64) {
        self.advance_clock(now);
        let found = self.jobs.iter().find(|(_, j)| j.ticket == ticket);
        if let Some(number) = found.map(|(n, _)| *n) {
            self.finish(number, &Outcome::GivenUp("the caller disconnected"));
        }
    }

    /// Returns the id of the pending job at this host and path, also if the routing table has no route
    /// to it any more.
    pub fn job_at(&self, address: &Name) -> Option<Name> {
        let found = self.jobs.values().find(|j| j.address == *address);
        found.map(|j| j.spec.id.clone())
    }

    /// Ends a job whose caller stops waiting. Without any run sent, it certainly has not run.
    fn expire(&mut self, number: u64) {
        let unsent = |j: &Job| j.tasks.iter().all(|t| t.attempts == 0);
        let outcome = if self.jobs.get(&number).is_some_and(unsent) {
            Outcome::Refused(Refusal::NoEndpoint)
        } else {
            Outcome::GivenUp("the caller's time is over")
        };
        self.finish(number, &outcome);
    }

    /// Sends the outcome of a job to its caller and stops the remaining runs.
    fn finish(&mut self, number: u64, outcome: &Outcome) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        let took = self.now.saturating_duration_since(job.arrived);
        info!(self.log, "job ended"; "request" => %job.request, "job" => %job.spec.id,
            "route" => %job.route.name, "outcome" => %outcome, "ms" => took.as_millis() as u64,
            "objective_ms" => job.objective.as_millis() as u64, "tasks" => job.tasks.len(),
            "runs" => job.runs());
        if *outcome == Outcome::Completed {
            self.record_run_times(&job);
            self.record_service(&job, took);
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
            .push(Effect::Respond(job.ticket, outcome.clone()));
    }

    /// Records whether a completed job met its objective, given the run times of its tasks.
    fn record_service(&mut self, job: &Job, took: Duration) {
        let times = job.tasks.iter().map(|t| t.normalized_time);
        let longest = times.max().unwrap_or_default();
        let objective = if job.spec.steps.len() == 1 {
            job.route.objective(longest)
        } else {
            job.objective
        };
        let ran = job.tasks.iter().map(|t| t.ran).max().unwrap_or_default();
        let service = if took <= objective {
            Service::InTime
        } else if ran <= objective {
            Service::Late
        } else {
            // It would have been late without any wait.
            return;
        };
        self.admission
            .record(self.now, &job.route, service, job.strain);
    }

    /// Updates the estimator of the route with the run times of a completed job.
    fn record_run_times(&mut self, job: &Job) {
        let estimator = self.estimators.entry(job.route.name.clone()).or_default();
        for (number, step) in job.spec.steps.iter().enumerate() {
            let tasks = job.tasks.iter().filter(|t| t.step == number);
            let total: Duration = tasks.map(|t| t.normalized_time).sum();
            estimator.record(step.estimate, total / step.tasks.max(1));
        }
    }

    /// Handles expired deadlines, sends pulses and checks for silent agents.
    pub fn tick(&mut self, now: Instant) {
        self.advance_clock(now);
        let expired = self.jobs.iter().filter(|(_, j)| now >= j.deadline);
        let expired: Vec<u64> = expired.map(|(n, _)| *n).collect();
        for number in expired {
            self.expire(number);
        }
        if now >= self.refuse_until {
            let suspended = self.jobs.iter().filter(|(_, j)| j.suspended);
            let suspended: Vec<u64> = suspended.map(|(n, _)| *n).collect();
            for number in suspended {
                self.finish(number, &Outcome::GivenUp(SUSPENDED_REASON));
            }
        }
        self.admit_waiting();
        if now < self.pulse_at {
            return;
        }
        self.pulse_at = now + PULSE_INTERVAL;
        self.update_watched();
        let due = self.hosts.iter().filter(|(_, h)| now >= h.pulse_due());
        let due: Vec<Name> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.send_pulse(name);
        }
        self.check_silent_agents();
        self.place_waiting();
    }

    /// Advances the clock and detects suspensions. After a suspension no more tasks are started
    /// for pending jobs: agents have stopped their tasks, and callers may have resubmitted them
    /// elsewhere. A job whose tasks had all completed still succeeds once the agents' reports
    /// have been read.
    fn advance_clock(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.now);
        self.now = self.now.max(now);
        if pause < SUSPENSION_THRESHOLD {
            return;
        }
        warn!(self.log, "entry was suspended"; "ms" => pause.as_millis() as u64,
            "jobs" => self.jobs.len());
        self.refuse_until = now + REFUSAL_PERIOD;
        for job in self.jobs.values_mut() {
            job.suspended = true;
        }
    }
}
