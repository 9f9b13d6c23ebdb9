//! Tasks of a job: planning, sending to agents, and placing tasks again that are not done.

use std::time::Duration;

use slog::debug;
use slog::info;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::StartTasks;
use sassafras_wire::proto::TaskStart;
use sassafras_wire::proto::start_tasks::Order;
use sassafras_wire::proto::task_end::Kind;

use super::Dispatcher;
use super::Effect;
use super::Job;
use super::SUSPENDED_REASON;
use super::Task;
use super::TaskState;
use crate::host::SentRun;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::placement::Demand;
use crate::placement::Plan;
use crate::placement::place;

/// Shortest time that an agent may queue a task beyond the expected wait before returning it.
/// Covers the network delay and the age of the agent's view.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Share of the expected run time that is added to `MIN_WAIT`.
const WAIT_SHARE: f64 = 0.15;

impl Dispatcher {
    /// Plans the waiting tasks of each step whose dependencies are done.
    pub(super) fn plan_ready_steps(&mut self, job: &Job) -> Vec<(usize, Plan)> {
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
                priority: self.config.by_priority.then_some(job.priority),
                time_left: (job.arrived + job.objective).saturating_duration_since(self.now),
                needs: step.needs,
                estimate: job.expected[number],
                label: step.label.as_ref(),
                rack: step.rack.as_ref(),
                endpoint_limit: step.endpoint_limit,
                avoid: &avoid,
                placed: &placed,
                zone: &self.config.zone,
                remote_factor: self.config.remote_factor,
            };
            let plan = place(&mut self.rng, self.hosts.values(), &demand);
            plans.push((number, plan));
        }
        plans
    }

    /// Sends the planned tasks of a step, in one message per agent.
    pub(super) fn send_tasks(&mut self, number: u64, step: usize, plan: &Plan) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let spec = &job.spec.steps[step];
        let estimate = job.expected[step];
        let margin = MIN_WAIT + estimate.mul_f64(WAIT_SHARE);
        let waiting = job.tasks.iter_mut().enumerate();
        let mut waiting = waiting.filter(|(_, t)| t.step == step && t.state == TaskState::Waiting);
        let mut messages = FastMap::<Name, StartTasks>::default();
        let end = job.arrived + job.objective;
        for place in &plan.agents {
            let agent = &place.agent;
            let mut wait = place.wait + margin;
            let mut order = Order::ByPriority;
            if self.config.by_priority {
                // The latest start with which the job still meets its objective, or else its caller
                // still gets the response.
                let late = self.now + place.wait + place.run > end;
                let end = if late { job.deadline } else { end };
                wait = end.saturating_duration_since(self.now + place.run);
                order = Order::ByDeadline;
                if late {
                    order = Order::Late;
                    wait /= 2;
                }
                wait = wait.max(MIN_WAIT);
            }
            let Some((index, task)) = waiting.next() else {
                break;
            };
            let Some(host) = self.hosts.get_mut(agent) else {
                continue;
            };
            let run = self.next_run;
            self.next_run += 1;
            task.attempts += 1;
            task.state = TaskState::Sent(run, agent.clone());
            let sent = SentRun {
                job: number,
                task: index,
                needs: spec.needs,
                estimate,
            };
            host.runs.insert(run, sent);
            let message = messages.entry(agent.clone()).or_insert_with(|| StartTasks {
                heard_ms: host.clock_ms,
                spec: job.spec.payload.to_string(),
                priority: job.priority,
                wait_ms: 0,
                tasks: Vec::new(),
                endpoint: host.view.endpoint.to_string(),
                order: order.into(),
            });
            message.wait_ms = message.wait_ms.max(wait.as_millis() as u32);
            message.tasks.push(TaskStart {
                run,
                task: format!("{}.0.{}.{}", job.spec.id, step, task.index),
                attempt: task.attempts,
                needs: Some(spec.needs.into()),
                estimate_ms: estimate.as_millis() as u32,
            });
        }
        for (agent, message) in messages {
            debug!(self.log, "tasks sent"; "request" => %job.request, "job" => %job.spec.id,
                "agent" => %agent, "tasks" => message.tasks.len(), "wait_ms" => message.wait_ms);
            self.effects
                .push(Effect::Send(agent, Body::StartTasks(message)));
        }
    }

    /// Handles the end of a run, and places its task again if it is not done.
    pub(super) fn task_ended(&mut self, agent: &Name, sent: &SentRun, kind: Kind, ran_ms: u32) {
        let pace = self.hosts.get(agent).map_or(1.0, |h| h.view.pace);
        let Some(job) = self.jobs.get_mut(&sent.job) else {
            return;
        };
        let task = &mut job.tasks[sent.task];
        if kind == Kind::Done {
            task.state = TaskState::Done;
            let ran = Duration::from_millis(ran_ms.into());
            task.normalized_time = ran.div_f64(pace);
            task.ran = ran;
        } else {
            task.state = TaskState::Waiting;
            info!(self.log, "run ended without success"; "request" => %job.request,
                "job" => %job.spec.id,
                "task" => task.index, "agent" => %agent, "kind" => kind.as_str_name(),
                "ran_ms" => ran_ms, "runs" => task.attempts, "failures" => task.failures);
            metrics::counter!("dispatch_returned", "kind" => kind.as_str_name()).increment(1);
        }
        job.started |= kind != Kind::NotRun;
        match kind {
            Kind::Done => return self.finish_if_done(sent.job),
            Kind::Failed => {
                task.failures += 1;
                task.avoid.push(agent.clone());
                if task.failures >= job.route.max_attempts {
                    return self.finish(sent.job, &Outcome::Failed);
                }
            }
            Kind::Cancelled => return self.finish(sent.job, &Outcome::Cancelled),
            Kind::Lost | Kind::Stalled => task.avoid.push(agent.clone()),
            _ => {}
        }
        self.replan(sent.job);
    }

    /// Places the returned tasks of a job again. Refuses the job if none of its tasks has run or is
    /// placed and it would not be admitted now or can no longer meet its objective. Gives it up if
    /// the entry was suspended.
    fn replan(&mut self, number: u64) {
        if self.jobs.get(&number).is_some_and(|j| j.suspended) {
            return self.finish(number, &Outcome::GivenUp(SUSPENDED_REASON));
        }
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        let plans = self.plan_ready_steps(&job);
        let placed = |t: &Task| t.state != TaskState::Waiting;
        if !job.started && !job.tasks.iter().any(placed) {
            let age = self.now.saturating_duration_since(job.arrived);
            let finish = plans.iter().map(|(_, p)| p.finish + age).max();
            let refusal = self.check_admission(&job, &plans);
            let refusal = refusal.or_else(|| {
                let late =
                    !self.config.by_priority && finish.is_some_and(|end| end > job.objective);
                late.then_some(Refusal::Overloaded {
                    wait_ms: age.as_millis() as u64,
                })
            });
            if let Some(refusal) = refusal {
                return self.refuse(&job, refusal);
            }
        }
        self.jobs.insert(number, job);
        for (step, plan) in plans {
            self.send_tasks(number, step, &plan);
        }
    }

    /// Places the waiting tasks of all jobs.
    pub(super) fn place_waiting(&mut self) {
        let waits = |j: &Job| {
            let placeable = !j.suspended && j.views_due.is_none();
            placeable && j.tasks.iter().any(|t| t.state == TaskState::Waiting)
        };
        if !self.jobs.values().any(waits) {
            return;
        }
        let mut numbers: Vec<u64> = self.jobs.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(job) = self.jobs.remove(&number) else {
                continue;
            };
            let plans = if waits(&job) {
                self.plan_ready_steps(&job)
            } else {
                Vec::new()
            };
            self.jobs.insert(number, job);
            for (step, plan) in plans {
                self.send_tasks(number, step, &plan);
            }
        }
    }

    /// Completes a job whose tasks are all done, or places the steps that have become ready.
    pub(super) fn finish_if_done(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if job.tasks.iter().all(|t| t.state == TaskState::Done) {
            return self.finish(number, &Outcome::Completed);
        }
        // The last task may have completed a step on which others depend.
        if job.spec.steps.len() > 1 {
            self.place_waiting();
        }
    }
}
