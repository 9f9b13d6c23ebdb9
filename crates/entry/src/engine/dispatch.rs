//! Dispatch of tasks: requests slots from agents, and sends tasks to the granted slots.

use std::time::Duration;
use std::time::Instant;

use sassafras_policy::HealthStatus;
use sassafras_wire::Body;
use sassafras_wire::proto::Release;
use sassafras_wire::proto::Reserve;
use sassafras_wire::proto::Run;
use sassafras_wire::proto::TaskSpec;

use crate::engine::Engine;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::job::TaskState;
use crate::engine::team::TeamState;

impl Engine {
    /// Sends the tasks of a job for which slots are granted, and requests slots for the rest.
    pub(super) fn dispatch(&mut self, now: Instant, job: &mut Job) {
        match job.phase {
            Phase::Running if !self.options.jobs.placement.grants => self.push_tasks(now, job),
            Phase::Running => {
                for index in 0..job.allocs.len() {
                    if job.allocs[index].granted > 0 {
                        self.use_grants(now, job, index);
                    }
                }
                if job.pending.is_empty() {
                    self.release_all(job);
                } else {
                    self.reserve(now, job);
                }
            }
            Phase::Claiming { .. } if self.options.jobs.placement.grants => self.reserve(now, job),
            _ => {}
        }
    }

    /// Sends tasks to the slots granted at one agent, and returns the unused slots.
    fn use_grants(&mut self, now: Instant, job: &mut Job, index: usize) {
        let alloc = &job.allocs[index];
        let (agent, granted) = (alloc.agent, alloc.granted);
        let quota = self
            .teams
            .get(&job.key.team)
            .map_or(0, TeamState::available);
        let status = self.agents[agent].health.status(now);
        let limit = match status {
            HealthStatus::Healthy => granted.min(quota),
            HealthStatus::Probe => quota.min(1),
            HealthStatus::Ejected => 0,
        };
        let current = self.agents[agent].incarnation == alloc.incarnation;
        let selected = if current && self.agents[agent].usable(now) {
            self.select_tasks(job, agent, limit, status == HealthStatus::Probe)
        } else {
            Vec::new()
        };
        let used = selected.len() as u32;
        if used > 0 && status == HealthStatus::Probe {
            metrics::counter!("entry_probes").increment(1);
            self.agents[agent].health.probe_sent(now);
        }
        job.allocs[index].granted = 0;
        self.send_tasks(now, job, index, &selected, true);
        if used < granted {
            self.send_release(job, index, granted - used, false, "declined");
            self.agents[agent].load_delta -= i64::from(granted - used);
            // Without a pause the slots would be requested, granted and returned in a loop.
            job.allocs[index].paused_until = Some(now + DECLINE_PAUSE);
            if quota <= used {
                self.wait_for_quota(job);
            }
        }
    }

    /// Removes up to `limit` tasks that an agent can run from the unsent ones: the longest
    /// first, or the shortest that may be a probe.
    fn select_tasks(&mut self, job: &mut Job, agent: usize, limit: u32, probe: bool) -> Vec<u32> {
        let mut selected = Vec::with_capacity(limit as usize);
        let mut position = if probe { 0 } else { job.pending.len() };
        while selected.len() < limit as usize {
            if probe && position >= job.pending.len() || !probe && position == 0 {
                break;
            }
            position -= usize::from(!probe);
            let index = job.pending[position];
            let task = &job.tasks[index as usize];
            let run_time = self.expected_run(&job.team, &task.input);
            let fits = self.fits_task(job, agent, index) && task.avoid != Some(agent);
            if fits && (!probe || job.may_probe(index)) {
                job.pending.remove(position);
                self.subtract_pending(job, run_time);
                selected.push(index);
            } else {
                position += usize::from(probe);
            }
        }
        selected
    }

    /// Returns the expected response time of a job if all agents were idle: the larger of its
    /// longest task on the fastest agent and its total work spread over all slots.
    fn ideal_response_time(&self, job: &Job) -> Duration {
        let run_time = |i: &u32| self.expected_run(&job.team, &job.tasks[*i as usize].input);
        let work: Duration = job.pending.iter().map(run_time).sum();
        let longest = job.pending.last().map(run_time).unwrap_or_default();
        let kind = &job.team.kinds[0].name;
        let agents = job.allocs.iter().map(|alloc| {
            let slowness = self.run_times.slowness(alloc.agent, kind).max(MIN_SLOWNESS);
            (slowness, f64::from(self.agents[alloc.agent].capacity.slots))
        });
        let (best, speed) = agents
            .fold((f64::INFINITY, 0.0), |(best, speed), (slowness, slots)| {
                (slowness.min(best), speed + slots / slowness)
            });
        let spread = work.as_secs_f64() / speed.max(1.0);
        let single = longest.as_secs_f64() * if best.is_finite() { best } else { 1.0 };
        Duration::from_secs_f64(spread.max(single))
    }

    /// Subtracts a task that is about to be sent from the unsent tasks and the backlog.
    fn subtract_pending(&mut self, job: &Job, run_time: Duration) {
        self.backlog = self.backlog.saturating_sub(run_time);
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.pending = team.pending.saturating_sub(1);
        }
    }

    /// Sends tasks to an agent in one frame.
    fn send_tasks(
        &mut self,
        now: Instant,
        job: &mut Job,
        index: usize,
        selected: &[u32],
        granted: bool,
    ) {
        if selected.is_empty() {
            return;
        }
        let agent = job.allocs[index].agent;
        let Some(link) = self.agent_link(agent) else {
            return;
        };
        let mut specs = Vec::with_capacity(selected.len());
        let mut first_attempts = 0;
        for task_index in selected {
            let task = &mut job.tasks[*task_index as usize];
            first_attempts += u32::from(task.attempt == 0);
            task.attempt += 1;
            task.adopted = false;
            task.state = TaskState::Sent {
                agent,
                attempt: task.attempt,
                link,
            };
            let deadline = job.submitted + task.input.deadline;
            let remaining = deadline.saturating_duration_since(now).as_millis() as u64;
            specs.push(TaskSpec {
                index: *task_index,
                attempt: task.attempt,
                kind: job.team.kinds[task.input.kind].name.to_string(),
                payload: task.input.payload.clone(),
                deadline_ms: remaining.max(1),
                repeatable: task.input.repeatable,
            });
        }
        let count = selected.len() as u32;
        job.allocs[index].in_flight += count;
        job.in_flight += count;
        job.started += count;
        let target = &mut self.agents[agent];
        target.in_flight += count;
        if !granted {
            target.load_delta += i64::from(count);
        }
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.in_flight += count;
            team.retry_budget.deposit(first_attempts);
        }
        metrics::counter!("entry_starts").increment(count.into());
        let run = Run {
            key: Some((&job.key).into()),
            epoch: job.epoch,
            claimed_ms: job.claimed_ms,
            incarnation: job.allocs[index].incarnation,
            granted,
            tasks: specs,
            weight: job.team.weight,
        };
        self.send(link, Body::Run(run));
    }

    /// Requests slots for the unsent tasks from the agents that the placement policy selects.
    fn reserve(&mut self, now: Instant, job: &mut Job) {
        if job.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let waiting = job.pending.len() as u32;
        let outstanding = job.outstanding();
        // Requesting more only once half of the outstanding slots are used limits the number of
        // messages.
        if waiting <= outstanding
            || (outstanding > 0 && outstanding * 2 >= waiting.min(REFILL_TARGET))
        {
            return;
        }
        let Some(team) = self.teams.get(&job.key.team) else {
            return;
        };
        let quota = (team.share + job.in_flight).saturating_sub(team.in_flight + team.requested);
        let wanted = (waiting - outstanding).min(quota);
        if wanted == 0 {
            if outstanding == 0 {
                self.wait_for_quota(job);
            }
            return;
        }
        self.reserve_probes(now, job);
        let (agents, candidates) = self.candidates(now, job);
        if agents.is_empty() {
            if matches!(job.phase, Phase::Running) {
                self.extend_claim(now, job);
            }
            return;
        }
        // Agents cannot grant more than twice their slots before their next reports.
        let slots: u32 = candidates.iter().map(|v| v.slots).sum();
        let tasks: Vec<Duration> = job
            .pending
            .iter()
            .rev()
            .take(wanted.min(slots * 2) as usize)
            .map(|i| self.expected_run(&job.team, &job.tasks[*i as usize].input))
            .collect();
        let place = self.options.jobs.placement.place;
        let placement = place(&mut self.cursor, &candidates, &tasks);
        let mut counts = vec![0; agents.len()];
        for index in placement {
            counts[index] += 1;
        }
        for ((agent, candidate), count) in agents.iter().zip(&candidates).zip(counts) {
            self.send_reserve(now, job, *agent, count, candidate.slots);
        }
    }

    /// Requests up to `count` slots from an agent, with at most `limit` requested at a time.
    fn send_reserve(&mut self, now: Instant, job: &mut Job, agent: usize, count: u32, limit: u32) {
        let Some(link) = self.agent_link(agent) else {
            return;
        };
        let weight = job.team.weight;
        let ideal = match job.ideal_time {
            Some(ideal) => ideal,
            None => *job.ideal_time.insert(self.ideal_response_time(job)),
        };
        let Some(alloc) = job.find_allocation(agent) else {
            return;
        };
        let count = count.min(limit.saturating_sub(alloc.requested));
        if count == 0 {
            return;
        }
        alloc.requested += count;
        let incarnation = alloc.incarnation;
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.requested += count;
        }
        let reserve = Reserve {
            key: Some((&job.key).into()),
            count,
            weight,
            incarnation,
            age_ms: now.duration_since(job.submitted).as_millis() as u64,
            ideal_ms: ideal.as_millis().max(1) as u64,
        };
        self.send(link, Body::Reserve(reserve));
    }

    /// Requests a slot for a probe at each ejected agent that is due for one.
    fn reserve_probes(&mut self, now: Instant, job: &mut Job) {
        for index in 0..job.allocs.len() {
            let (agent, requested) = (job.allocs[index].agent, job.allocs[index].requested);
            let target = &self.agents[agent];
            let due = target.health.status(now) == HealthStatus::Probe && target.usable(now);
            let fits = |i: &u32| {
                job.may_probe(*i)
                    && job.tasks[*i as usize].avoid != Some(agent)
                    && self.fits_task(job, agent, *i)
            };
            if due && requested == 0 && job.pending.iter().any(fits) {
                self.send_reserve(now, job, agent, 1, 1);
            }
        }
    }

    /// Requests idle slots at agents that hold no request of the job, for tasks that wait for
    /// slots at busy agents.
    pub(super) fn reserve_idle_slots(&mut self, now: Instant, job: &mut Job) {
        if !self.options.jobs.placement.grants || job.pending.is_empty() {
            return;
        }
        let (agents, candidates) = self.candidates(now, job);
        let mut left = job.pending.len() as u32;
        for (agent, candidate) in agents.iter().zip(&candidates) {
            let idle = candidate.slots.saturating_sub(candidate.busy);
            let requested = job
                .find_allocation(*agent)
                .map_or(0, |alloc| alloc.requested);
            if idle > 0 && requested == 0 && left > 0 {
                let count = idle.min(left);
                left -= count;
                self.send_reserve(now, job, *agent, count, candidate.slots);
            }
        }
    }

    /// Sends as many tasks as the quota allows; they queue at the agents.
    fn push_tasks(&mut self, now: Instant, job: &mut Job) {
        if job.pending.is_empty() || job.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let quota = self
            .teams
            .get(&job.key.team)
            .map_or(0, TeamState::available);
        let (agents, candidates) = self.candidates(now, job);
        if agents.is_empty() {
            self.extend_claim(now, job);
            return;
        }
        let count = (quota as usize).min(job.pending.len());
        let tasks = vec![Duration::ZERO; count];
        let placement = (self.options.jobs.placement.place)(&mut self.cursor, &candidates, &tasks);
        let mut selected = vec![Vec::new(); agents.len()];
        for target in placement {
            let Some(index) = job.pending.pop() else {
                break;
            };
            let run_time = self.expected_run(&job.team, &job.tasks[index as usize].input);
            self.subtract_pending(job, run_time);
            selected[target].push(index);
        }
        for (agent, selected) in agents.iter().zip(selected) {
            if let Some(index) = job.allocs.iter().position(|alloc| alloc.agent == *agent) {
                self.send_tasks(now, job, index, &selected, false);
            }
        }
        if !job.pending.is_empty() {
            self.wait_for_quota(job);
        }
    }

    /// Appends a job to its team's list of quota waiters.
    fn wait_for_quota(&mut self, job: &mut Job) {
        if job.awaiting_quota || job.pending.is_empty() {
            return;
        }
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.quota_waiters.push_back(job.key.clone());
            job.awaiting_quota = true;
        }
    }

    fn send_release(
        &mut self,
        job: &Job,
        index: usize,
        count: u32,
        all: bool,
        reason: &'static str,
    ) {
        let Some(link) = self.agent_link(job.allocs[index].agent) else {
            return;
        };
        metrics::counter!("entry_releases", "reason" => reason).increment(1);
        let release = Release {
            key: Some((&job.key).into()),
            count,
            all,
        };
        self.send(link, Body::Release(release));
    }

    /// Returns all granted slots of a job and withdraws its slot requests.
    pub(super) fn release_all(&mut self, job: &mut Job) {
        for index in 0..job.allocs.len() {
            self.release_allocation(job, index);
        }
    }

    /// Returns the granted slots of a job at one agent and withdraws its slot requests there.
    pub(super) fn release_at(&mut self, job: &mut Job, agent: usize) {
        if let Some(index) = job.allocs.iter().position(|alloc| alloc.agent == agent) {
            self.release_allocation(job, index);
        }
    }

    fn release_allocation(&mut self, job: &mut Job, index: usize) {
        let alloc = &mut job.allocs[index];
        let requested = std::mem::take(&mut alloc.requested);
        let granted = std::mem::take(&mut alloc.granted);
        if requested + granted == 0 {
            return;
        }
        let agent = alloc.agent;
        self.agents[agent].load_delta -= i64::from(granted);
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.requested = team.requested.saturating_sub(requested);
        }
        self.send_release(job, index, granted, requested > 0, "withdrawn");
    }

    /// Clears the requested and granted slots of a job at an agent whose link is down.
    pub(super) fn clear_reservations(&mut self, job: &mut Job, agent: usize) {
        let Some(alloc) = job.find_allocation(agent) else {
            return;
        };
        let requested = std::mem::take(&mut alloc.requested);
        alloc.granted = 0;
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.requested = team.requested.saturating_sub(requested);
        }
    }

    /// Subtracts the tasks of a job in flight from the counters of agents and team.
    pub(super) fn clear_in_flight(&mut self, job: &mut Job) {
        for index in 0..job.allocs.len() {
            let count = std::mem::take(&mut job.allocs[index].in_flight);
            let agent = &mut self.agents[job.allocs[index].agent];
            agent.in_flight = agent.in_flight.saturating_sub(count);
        }
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.in_flight = team.in_flight.saturating_sub(job.in_flight);
        }
        job.in_flight = 0;
    }
}

/// Lower bound of an agent's observed slowness, which bounds its assumed speed.
const MIN_SLOWNESS: f64 = 0.01;
/// Pause before a job requests slots again from an agent to which it returned some.
const DECLINE_PAUSE: Duration = Duration::from_millis(100);
/// A job requests more slots only when fewer than half of this many are outstanding.
const REFILL_TARGET: u32 = 64;
