//! The way of a job's tasks: planned, sent, ended, and placed again.

use std::time::Duration;

use slog::debug;
use slog::info;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::StartTasks;
use sassafras_wire::proto::TaskStart;
use sassafras_wire::proto::task_end::Kind;

use super::Dispatcher;
use super::Effect;
use super::Job;
use super::SUSPENDED;
use super::Task;
use super::TaskState;
use crate::host::Sent;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::placement::Demand;
use crate::placement::Plan;
use crate::placement::place;

/// The least time that an agent may let a task wait for room before handing it back, beyond the
/// expected wait. It covers the way and the age of the agent's view.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Part of the expected run time that is added to it.
const WAIT_PART: f64 = 0.15;

impl Dispatcher {
    /// Plans the waiting tasks of each step whose earlier steps are done.
    pub(super) fn plan_ready(&mut self, job: &Job) -> Vec<(usize, Plan)> {
        let mut plans = Vec::new();
        for (number, step) in job.spec.steps.iter().enumerate() {
            let done = |s: &usize| {
                let mut tasks = job.tasks.iter().filter(|t| t.step == *s);
                tasks.all(|t| t.state == TaskState::Done)
            };
            if !step.depends_on.iter().all(done) {
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
                pool: &job.route.pool,
                tasks: waiting.len() as u32,
                limit: (job.arrived + job.objective).saturating_duration_since(self.now),
                needs: step.needs,
                estimate: job.expected[number],
                label: step.label.as_ref(),
                rack: step.rack.as_ref(),
                endpoint_limit: step.endpoint_limit,
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
    pub(super) fn send(&mut self, number: u64, step: usize, plan: &Plan) {
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
                priority: job.route.priority,
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

    pub(super) fn task_ended(&mut self, agent: &Name, sent: &Sent, kind: Kind, ran_ms: u32) {
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
                if task.failures >= job.route.max_attempts {
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
    pub(super) fn place_waiting(&mut self) {
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

    pub(super) fn finish_if_done(&mut self, number: u64) {
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
}
