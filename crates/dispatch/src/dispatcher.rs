//! The entry's part: accepts jobs, places their tasks and answers.

use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::AgentPulse;
use sassafras_wire::proto::EndpointView;
use sassafras_wire::proto::EntryPulse;
use sassafras_wire::proto::Resume;
use sassafras_wire::proto::StartTasks;
use sassafras_wire::proto::StopTasks;
use sassafras_wire::proto::TaskEnds;
use sassafras_wire::proto::TaskStart;
use sassafras_wire::proto::task_end::Kind;

use crate::estimate::Estimator;
use crate::host::Host;
use crate::host::Sent;
use crate::host::View;
use crate::job::JobSpec;
use crate::job::Outcome;
use crate::job::Queue;
use crate::job::Refusal;
use crate::placement::Demand;
use crate::placement::Plan;
use crate::placement::place;
use crate::timing::PULSE;
use crate::timing::STALL;

/// A link that carried nothing for this long is closed and opened again: five pulses.
const LINK_SILENCE: Duration = Duration::from_millis(600);
/// After a suspension, requests are refused for this long, since their callers may have given
/// up while they waited to be read.
const REFUSE_AFTER_STALL: Duration = Duration::from_millis(150);
/// The least time that an agent may let a task wait for room before handing it back, beyond the
/// expected wait. It covers the way and the age of the agent's view.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Part of the declared run time that is added to it.
const WAIT_PART: f64 = 0.15;
/// Processor time that an entry spends on one view, on a full core.
const VIEW_COST: Duration = Duration::from_micros(20);
/// Part of an entry's processor that views may take.
const VIEW_SHARE: f64 = 0.2;
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
    pub queue: Queue,
    /// The job.
    pub spec: JobSpec,
    /// How long the caller waits.
    pub patience: Duration,
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
    queue: Queue,
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

    /// Returns how many jobs of a route wait for their first task.
    pub fn waiting(&self, route: &Name) -> usize {
        let of_route = self.jobs.values().filter(|j| j.queue.name == *route);
        of_route.filter(|j| !j.ran).count()
    }

    /// Takes a job.
    pub fn submit(&mut self, now: Instant, submission: Submission) {
        self.advance(now);
        let Submission {
            ticket,
            request,
            queue,
            spec,
            patience,
        } = submission;
        let estimator = self.estimators.entry(queue.name.clone()).or_default();
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
            objective: queue.objective(spec.chain(&expected)),
            arrived: now,
            deadline: now + patience.saturating_sub(ANSWER_MARGIN),
            tasks: tasks.collect(),
            ran: false,
            stale: false,
            expected,
            queue,
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
            "route" => %job.queue.name, "tasks" => job.tasks.len(),
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
        if !self.hosts.values().any(|h| h.serves(&job.queue.pool)) {
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
            "route" => %job.queue.name, "reason" => %refusal, "endpoints" => self.hosts.len(),
            "tasks" => job.tasks.len(), "needed_cpu" => needs, "free_cpu" => free,
            "age_ms" => self.now.saturating_duration_since(job.arrived).as_millis() as u64,
            "objective_ms" => job.objective.as_millis() as u64);
        metrics::counter!("dispatch_jobs", "result" => "refused").increment(1);
        let outcome = Outcome::Refused(refusal);
        self.effects.push(Effect::Answer(job.ticket, outcome));
    }

    /// Plans the waiting tasks of each step whose earlier steps are done.
    fn plan_ready(&mut self, job: &Job) -> Vec<(usize, Plan)> {
        let mut plans = Vec::new();
        for (number, step) in job.spec.steps.iter().enumerate() {
            let done = |s: &usize| {
                let mut tasks = job.tasks.iter().filter(|t| t.step == *s);
                tasks.all(|t| t.state == TaskState::Done)
            };
            if !step.after.iter().all(done) {
                continue;
            }
            let tasks = job.tasks.iter().filter(|t| t.step == number);
            let waiting = tasks.clone().filter(|t| t.state == TaskState::Waiting);
            let waiting: Vec<&Task> = waiting.collect();
            if waiting.is_empty() {
                continue;
            }
            let avoid: Vec<Name> = waiting.iter().flat_map(|t| t.avoid.clone()).collect();
            let mut placed = Vec::<(Name, u32)>::new();
            for task in tasks {
                if let TaskState::Sent(_, agent) = &task.state {
                    match placed.iter_mut().find(|(a, _)| a == agent) {
                        Some((_, n)) => *n += 1,
                        None => placed.push((agent.clone(), 1)),
                    }
                }
            }
            let demand = Demand {
                now: self.now,
                pool: &job.queue.pool,
                tasks: waiting.len() as u32,
                limit: (job.arrived + job.objective).saturating_duration_since(self.now),
                needs: step.needs,
                estimate: job.expected[number],
                label: step.label.as_ref(),
                rack: step.rack.as_ref(),
                spread: step.spread,
                avoid: &avoid,
                placed: &placed,
                zone: &self.site.zone,
                remote: self.site.remote,
            };
            let plan = place(&mut self.rng, self.hosts.values(), &demand);
            plans.push((number, plan));
        }
        plans
    }

    /// Sends the planned tasks of a step, one message to each agent.
    fn send(&mut self, number: u64, step: usize, plan: &Plan) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let decl = &job.spec.steps[step];
        let estimate = job.expected[step];
        let spare = MIN_WAIT + estimate.mul_f64(WAIT_PART);
        let waiting = job.tasks.iter_mut().enumerate();
        let mut waiting = waiting.filter(|(_, t)| t.step == step && t.state == TaskState::Waiting);
        let mut orders = FastMap::<Name, StartTasks>::default();
        for (agent, expected) in &plan.agents {
            let wait = *expected + spare;
            let Some((index, task)) = waiting.next() else {
                break;
            };
            let Some(host) = self.hosts.get_mut(agent) else {
                continue;
            };
            let run = self.next_run;
            self.next_run += 1;
            task.runs += 1;
            task.state = TaskState::Sent(run, agent.clone());
            let sent = Sent {
                job: number,
                task: index,
                needs: decl.needs,
                estimate,
            };
            host.runs.insert(run, sent);
            let order = orders.entry(agent.clone()).or_insert_with(|| StartTasks {
                heard_ms: host.clock_ms,
                spec: job.spec.payload.to_string(),
                priority: job.queue.priority,
                wait_ms: 0,
                tasks: Vec::new(),
            });
            order.wait_ms = order.wait_ms.max(wait.as_millis() as u32);
            order.tasks.push(TaskStart {
                run,
                task: format!("{}.0.{}.{}", job.spec.id, step, task.index),
                attempt: task.runs,
                needs: Some(decl.needs.into()),
                estimate_ms: estimate.as_millis() as u32,
            });
        }
        for (agent, order) in orders {
            debug!(self.log, "tasks sent"; "request" => %job.request, "job" => %job.spec.id,
                "agent" => %agent, "tasks" => order.tasks.len(), "wait_ms" => order.wait_ms);
            self.effects
                .push(Effect::Send(agent, Body::StartTasks(order)));
        }
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

    /// Notes a link to an agent.
    pub fn agent_up(&mut self, now: Instant, node: NodeRef, zone: Name) {
        self.advance(now);
        let name = node.name.clone();
        info!(self.log, "agent linked"; "agent" => %name);
        let replaced = self.hosts.get(&name).is_some_and(|h| h.node != node);
        if replaced {
            // The new process does not know the runs of the earlier one, which end by
            // themselves.
            if let Some(host) = self.hosts.get_mut(&name) {
                host.replace(node.clone());
            }
        }
        let host = self.hosts.entry(name.clone());
        let host = host.or_insert_with(|| Host::new(now, node, zone));
        host.linked = true;
        host.heard = now;
        let runs = host.runs.keys().copied().collect();
        let resume = Body::Resume(Resume { runs });
        self.effects.push(Effect::Send(name.clone(), resume));
        self.pulse(&name);
    }

    /// Notes that the link to an agent is lost.
    pub fn agent_down(&mut self, now: Instant, name: &Name) {
        self.advance(now);
        if let Some(host) = self.hosts.get_mut(name) {
            host.linked = false;
            warn!(self.log, "agent link lost"; "agent" => %name, "runs" => host.runs.len(),
                "heard_ms" => now.saturating_duration_since(host.heard).as_millis() as u64);
        }
    }

    /// Forgets an agent that left the system.
    pub fn agent_gone(&mut self, now: Instant, name: &Name) {
        self.advance(now);
        let idle = |h: &Host| !h.linked && h.runs.is_empty() && h.orphans.is_empty();
        if self.hosts.get(name).is_some_and(idle) {
            info!(self.log, "agent gone"; "agent" => %name);
            self.hosts.remove(name);
        }
    }

    /// Takes a message of an agent.
    pub fn receive(&mut self, now: Instant, name: &Name, body: Body) {
        self.advance(now);
        match body {
            Body::AgentPulse(pulse) => self.pulsed(name, pulse),
            Body::TaskEnds(ends) => self.ended(name, ends),
            _ => {}
        }
    }

    fn pulsed(&mut self, name: &Name, pulse: AgentPulse) {
        let view = pulse.view.unwrap_or_default();
        self.observe(name, pulse.clock_ms, pulse.received, view);
        self.place_waiting();
    }

    fn observe(&mut self, name: &Name, clock_ms: u64, received: u64, view: EndpointView) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.heard = self.now;
        host.clock_ms = host.clock_ms.max(clock_ms);
        host.received = host.received.max(received);
        let view = View::from(view);
        if view.suspect != host.view.suspect || view.pool != host.view.pool {
            info!(self.log, "endpoint changed"; "agent" => %name, "endpoint" => %view.endpoint,
                "usable" => view.pool.is_some(), "suspect" => view.suspect, "pace" => view.pace);
        }
        host.view = view;
    }

    fn ended(&mut self, name: &Name, report: TaskEnds) {
        let view = report.view.unwrap_or_default();
        self.observe(name, report.clock_ms, report.received, view);
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if report.number != 0 && report.number <= host.taken {
            return;
        }
        host.taken = host.taken.max(report.number);
        let mut ended = Vec::new();
        for end in report.ends {
            if let Some(sent) = host.runs.remove(&end.run) {
                ended.push((sent, end.kind(), end.ran_ms));
            }
        }
        for (sent, kind, ran_ms) in ended {
            self.task_ended(name, &sent, kind, ran_ms);
        }
        self.place_waiting();
    }

    fn task_ended(&mut self, agent: &Name, sent: &Sent, kind: Kind, ran_ms: u32) {
        let pace = self.hosts.get(agent).map_or(1.0, |h| h.view.pace);
        let Some(job) = self.jobs.get_mut(&sent.job) else {
            return;
        };
        let task = &mut job.tasks[sent.task];
        if kind == Kind::Done {
            task.state = TaskState::Done;
            let ran = Duration::from_millis(ran_ms.into());
            task.measured = ran.div_f64(pace);
        } else {
            task.state = TaskState::Waiting;
            info!(self.log, "task came back"; "request" => %job.request, "job" => %job.spec.id,
                "task" => task.index, "agent" => %agent, "kind" => kind.as_str_name(),
                "ran_ms" => ran_ms, "runs" => task.runs, "failures" => task.failures);
            metrics::counter!("dispatch_returned", "kind" => kind.as_str_name()).increment(1);
        }
        job.ran |= kind != Kind::NotRun;
        match kind {
            Kind::Done => return self.finish_if_done(sent.job),
            Kind::Failed => {
                task.failures += 1;
                task.avoid.push(agent.clone());
                if task.failures >= job.queue.max_attempts {
                    return self.end(sent.job, &Outcome::Failed);
                }
            }
            Kind::Cancelled => return self.end(sent.job, &Outcome::Cancelled),
            Kind::Lost | Kind::Stalled => task.avoid.push(agent.clone()),
            _ => {}
        }
        self.replace(sent.job);
    }

    /// Places the tasks of a job that came back, or refuses the job if none has run and it would
    /// now wait too long.
    fn replace(&mut self, number: u64) {
        if self.jobs.get(&number).is_some_and(|j| j.stale) {
            return self.end(number, &Outcome::GivenUp(SUSPENDED));
        }
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        let plans = self.plan_ready(&job);
        let started = |t: &Task| t.state != TaskState::Waiting;
        if !job.ran && !job.tasks.iter().any(started) {
            let overdue = self.now.saturating_duration_since(job.arrived);
            let late = plans.iter().map(|(_, p)| p.finish + overdue).max();
            let refusal = self.refusal(&job, &plans);
            let refusal = refusal.or_else(|| {
                let late = late.is_some_and(|end| end > job.objective);
                late.then_some(Refusal::Overloaded {
                    wait_ms: overdue.as_millis() as u64,
                })
            });
            if let Some(refusal) = refusal {
                return self.refuse(&job, refusal);
            }
        }
        self.jobs.insert(number, job);
        for (step, plan) in plans {
            self.send(number, step, &plan);
        }
    }

    /// Places tasks that found no endpoint before.
    fn place_waiting(&mut self) {
        let waits = |j: &&Job| !j.stale && j.tasks.iter().any(|t| t.state == TaskState::Waiting);
        if self.jobs.values().filter(waits).count() == 0 {
            return;
        }
        let mut numbers: Vec<u64> = self.jobs.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(job) = self.jobs.remove(&number) else {
                continue;
            };
            let waits = !job.stale && job.tasks.iter().any(|t| t.state == TaskState::Waiting);
            let plans = if waits {
                self.plan_ready(&job)
            } else {
                Vec::new()
            };
            self.jobs.insert(number, job);
            for (step, plan) in plans {
                self.send(number, step, &plan);
            }
        }
    }

    fn finish_if_done(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if job.tasks.iter().all(|t| t.state == TaskState::Done) {
            return self.end(number, &Outcome::Completed);
        }
        // A step that others wait for may be done.
        if job.spec.steps.len() > 1 {
            self.place_waiting();
        }
    }

    /// Answers a job and stops what still runs of it.
    fn end(&mut self, number: u64, outcome: &Outcome) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        let took = self.now.saturating_duration_since(job.arrived);
        let runs: u32 = job.tasks.iter().map(|t| t.runs).sum();
        info!(self.log, "job ended"; "request" => %job.request, "job" => %job.spec.id,
            "route" => %job.queue.name, "outcome" => %outcome, "ms" => took.as_millis() as u64,
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
        let estimator = self.estimators.entry(job.queue.name.clone()).or_default();
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

    /// Returns the least pause between two views of an agent at which the views of all agents
    /// take no more than their part of the processor.
    fn view_pause(&self) -> Duration {
        let cost = VIEW_COST * self.hosts.len() as u32;
        cost.div_f64(VIEW_SHARE * self.site.processor)
    }

    fn pulse(&mut self, name: &Name) {
        let view_pause = self.view_pause();
        let Some(host) = self.hosts.get(name).filter(|h| h.linked) else {
            return;
        };
        let pulse = EntryPulse {
            heard_ms: host.clock_ms,
            taken: host.taken,
            view_pause_ms: view_pause.as_millis() as u32,
        };
        let send = Effect::Send(name.clone(), Body::EntryPulse(pulse));
        self.effects.push(send);
    }

    /// Reopens silent links, and takes the runs at agents that were silent for long as lost.
    fn sweep(&mut self) {
        let mut lost = Vec::new();
        for (name, host) in &mut self.hosts {
            let silence = self.now.saturating_duration_since(host.heard);
            if host.linked && silence >= LINK_SILENCE {
                warn!(self.log, "agent silent"; "agent" => %name,
                    "ms" => silence.as_millis() as u64);
                host.linked = false;
                self.effects.push(Effect::Reopen(name.clone()));
            }
            for sent in host.take_gone(self.now) {
                warn!(self.log, "run lost"; "agent" => %name, "job" => sent.job,
                    "silence_ms" => silence.as_millis() as u64);
                lost.push((name.clone(), sent));
            }
        }
        for (agent, sent) in lost {
            self.task_ended(&agent, &sent, Kind::Lost, 0);
        }
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
