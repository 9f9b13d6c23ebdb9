//! Slots for jobs: asking agents for them, and sending tasks to those granted.

use std::time::Duration;
use std::time::Instant;

use sassafras_policy::Verdict;
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
    /// Sends what can be sent of a job, and asks for slots for the rest.
    pub(super) fn dispatch(&mut self, now: Instant, job: &mut Job) {
        match job.phase {
            Phase::Running if !self.options.jobs.placement.grants => self.push_tasks(now, job),
            Phase::Running => {
                for index in 0..job.allocations.len() {
                    if job.allocations[index].granted > 0 {
                        self.use_grants(now, job, index);
                    }
                }
                if job.pending.is_empty() {
                    self.release_all(job);
                } else {
                    self.reserve_slots(now, job);
                }
            }
            Phase::Claiming { .. } if self.options.jobs.placement.grants => {
                self.reserve_slots(now, job)
            }
            _ => {}
        }
    }

    /// Uses the slots granted at one agent, and gives back those that nothing is sent to.
    fn use_grants(&mut self, now: Instant, job: &mut Job, index: usize) {
        let at = &job.allocations[index];
        let (agent, grants) = (at.agent, at.granted);
        let room = self
            .teams
            .get(&job.key.team)
            .map_or(0, TeamState::available);
        let verdict = self.agents[agent].health.verdict(now);
        let limit = match verdict {
            Verdict::Usable => grants.min(room),
            Verdict::Probe => room.min(1),
            Verdict::Out => 0,
        };
        let same = self.agents[agent].incarnation == at.incarnation;
        let chosen = if same && self.agents[agent].usable(now) {
            self.select_tasks(job, agent, limit, verdict == Verdict::Probe)
        } else {
            Vec::new()
        };
        let used = chosen.len() as u32;
        if used > 0 && verdict == Verdict::Probe {
            metrics::counter!("entry_probes").increment(1);
            self.agents[agent].health.probe_sent(now);
        }
        job.allocations[index].granted = 0;
        self.send_tasks(now, job, index, &chosen, true);
        if used < grants {
            self.send_release(job, index, grants - used, false, "declined");
            self.agents[agent].load_delta -= i64::from(grants - used);
            // Asking again at once would be granted and given back in an endless round.
            job.allocations[index].paused_until = Some(now + DECLINE_PAUSE);
            if room <= used {
                self.wait_for_quota(job);
            }
        }
    }

    /// Takes up to `limit` tasks that fit an agent, the longest first; a probe is the shortest
    /// task.
    fn select_tasks(&mut self, job: &mut Job, agent: usize, limit: u32, probe: bool) -> Vec<u32> {
        let mut chosen = Vec::with_capacity(limit as usize);
        let mut position = if probe { 0 } else { job.pending.len() };
        while chosen.len() < limit as usize {
            if probe && position >= job.pending.len() || !probe && position == 0 {
                break;
            }
            position -= usize::from(!probe);
            let index = job.pending[position];
            let task = &job.tasks[index as usize];
            let kind = &job.team.kinds[task.input.kind].name;
            let mean = self.expected_run(&job.team, &task.input);
            let fits = self.agents[agent].capacity.fits(kind, &task.input.needs)
                && task.avoid != Some(agent);
            if fits {
                job.pending.remove(position);
                self.subtract_pending(job, mean);
                chosen.push(index);
            } else {
                position += usize::from(probe);
            }
        }
        chosen
    }

    /// Returns the response time that a job would have in an idle fleet: its longest task on
    /// the fastest agent, or all its work over the speed of all slots, whichever is longer.
    fn ideal_response_time(&self, job: &Job) -> Duration {
        let estimate = |i: &u32| self.expected_run(&job.team, &job.tasks[*i as usize].input);
        let work: Duration = job.pending.iter().map(estimate).sum();
        let longest = job.pending.last().map(estimate).unwrap_or_default();
        let kind = &job.team.kinds[0].name;
        let known = job.allocations.iter().map(|at| {
            let slowness = self.speeds.slowness(at.agent, kind).max(MIN_SLOWNESS);
            (slowness, f64::from(self.agents[at.agent].capacity.slots))
        });
        let (best, speed) = known.fold((f64::INFINITY, 0.0), |(best, speed), (slowness, slots)| {
            (slowness.min(best), speed + slots / slowness)
        });
        let shared = work.as_secs_f64() / speed.max(1.0);
        let alone = longest.as_secs_f64() * if best.is_finite() { best } else { 1.0 };
        Duration::from_secs_f64(shared.max(alone))
    }

    /// Counts a task that no longer waits.
    fn subtract_pending(&mut self, job: &Job, mean: Duration) {
        self.backlog = self.backlog.saturating_sub(mean);
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
        chosen: &[u32],
        granted: bool,
    ) {
        if chosen.is_empty() {
            return;
        }
        let agent = job.allocations[index].agent;
        let Some(link) = self.agent_link(agent) else {
            return;
        };
        let mut specs = Vec::with_capacity(chosen.len());
        let mut first = 0;
        for task_index in chosen {
            let task = &mut job.tasks[*task_index as usize];
            first += u32::from(task.attempt == 0);
            task.attempt += 1;
            task.adopted = false;
            task.state = TaskState::Sent(agent);
            let deadline = job.submitted + task.input.deadline;
            let left = deadline.saturating_duration_since(now).as_millis() as u64;
            specs.push(TaskSpec {
                index: *task_index,
                attempt: task.attempt,
                kind: job.team.kinds[task.input.kind].name.to_string(),
                payload: task.input.payload.clone(),
                deadline_ms: left.max(1),
                repeatable: task.input.repeatable,
            });
        }
        let count = chosen.len() as u32;
        job.allocations[index].in_flight += count;
        job.in_flight += count;
        job.started += count;
        let known = &mut self.agents[agent];
        known.in_flight += count;
        if !granted {
            known.load_delta += i64::from(count);
        }
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.in_flight += count;
            team.retry_budget.earn(first);
        }
        metrics::counter!("entry_starts").increment(count.into());
        let run = Run {
            key: Some((&job.key).into()),
            epoch: job.epoch,
            claimed_ms: job.claimed_ms,
            incarnation: job.allocations[index].incarnation,
            granted,
            tasks: specs,
            weight: job.team.weight,
        };
        self.send(link, Body::Run(run));
    }

    /// Asks for slots, at the agents where the tasks that wait are expected to end soonest.
    fn reserve_slots(&mut self, now: Instant, job: &mut Job) {
        if job.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let waiting = job.pending.len() as u32;
        let outstanding = job.outstanding();
        // Asking again only when half is used up keeps the number of messages down.
        if waiting <= outstanding
            || (outstanding > 0 && outstanding * 2 >= waiting.min(REFILL_TARGET))
        {
            return;
        }
        let Some(team) = self.teams.get(&job.key.team) else {
            return;
        };
        let room = (team.share + job.in_flight).saturating_sub(team.in_flight + team.requested);
        let want = (waiting - outstanding).min(room);
        if want == 0 {
            if outstanding == 0 {
                self.wait_for_quota(job);
            }
            return;
        }
        self.reserve_probes(now, job);
        let (agents, views) = self.placement_views(now, job);
        if agents.is_empty() {
            if matches!(job.phase, Phase::Running) {
                self.extend(now, job);
            }
            return;
        }
        // More than all slots twice over cannot be granted before the next reports.
        let slots: u32 = views.iter().map(|v| v.slots).sum();
        let tasks: Vec<Duration> = job
            .pending
            .iter()
            .rev()
            .take(want.min(slots * 2) as usize)
            .map(|i| self.expected_run(&job.team, &job.tasks[*i as usize].input))
            .collect();
        let place = self.options.jobs.placement.place;
        let placed = place(&mut self.cursor, &views, &tasks);
        let mut counts = vec![0; agents.len()];
        for index in placed {
            counts[index] += 1;
        }
        for ((agent, view), count) in agents.iter().zip(&views).zip(counts) {
            self.send_reserve(now, job, *agent, count, view.slots);
        }
    }

    /// Asks an agent for up to `count` slots, with at most `most` requests waiting there.
    fn send_reserve(&mut self, now: Instant, job: &mut Job, agent: usize, count: u32, most: u32) {
        let Some(link) = self.agent_link(agent) else {
            return;
        };
        let weight = job.team.weight;
        let ideal = match job.ideal_time {
            Some(ideal) => ideal,
            None => *job.ideal_time.insert(self.ideal_response_time(job)),
        };
        let Some(at) = job.find_allocation(agent) else {
            return;
        };
        let count = count.min(most.saturating_sub(at.requested));
        if count == 0 {
            return;
        }
        at.requested += count;
        let incarnation = at.incarnation;
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

    /// Asks for a slot for a probe where an agent that was taken out is due for one.
    fn reserve_probes(&mut self, now: Instant, job: &mut Job) {
        for index in 0..job.allocations.len() {
            let (agent, asked) = (
                job.allocations[index].agent,
                job.allocations[index].requested,
            );
            let known = &self.agents[agent];
            let due = known.health.verdict(now) == Verdict::Probe && known.usable(now);
            // Probes of repeatable tasks cost nobody an answer.
            let harmless = job.tasks.iter().any(|t| t.input.repeatable) || job.tasks.len() == 1;
            if due && asked == 0 && harmless && self.fits_any(job, agent) {
                self.send_reserve(now, job, agent, 1, 1);
            }
        }
    }

    /// Asks for slots where some are free, for tasks that wait at busy agents.
    pub(super) fn reserve_idle_slots(&mut self, now: Instant, job: &mut Job) {
        if !self.options.jobs.placement.grants || job.pending.is_empty() {
            return;
        }
        let (agents, views) = self.placement_views(now, job);
        let mut left = job.pending.len() as u32;
        for (agent, view) in agents.iter().zip(&views) {
            let free = view.slots.saturating_sub(view.busy);
            let asked = job.find_allocation(*agent).map_or(0, |at| at.requested);
            if free > 0 && asked == 0 && left > 0 {
                let count = free.min(left);
                left -= count;
                self.send_reserve(now, job, *agent, count, view.slots);
            }
        }
    }

    /// Sends all tasks that the quota has room for, to queue at the agents.
    fn push_tasks(&mut self, now: Instant, job: &mut Job) {
        if job.pending.is_empty() || job.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let room = self
            .teams
            .get(&job.key.team)
            .map_or(0, TeamState::available);
        let (agents, views) = self.placement_views(now, job);
        if agents.is_empty() {
            self.extend(now, job);
            return;
        }
        let count = (room as usize).min(job.pending.len());
        let tasks = vec![Duration::ZERO; count];
        let placed = (self.options.jobs.placement.place)(&mut self.cursor, &views, &tasks);
        let mut chosen = vec![Vec::new(); agents.len()];
        for target in placed {
            let Some(index) = job.pending.pop() else {
                break;
            };
            let mean = self.expected_run(&job.team, &job.tasks[index as usize].input);
            self.subtract_pending(job, mean);
            chosen[target].push(index);
        }
        for (agent, chosen) in agents.iter().zip(chosen) {
            if let Some(index) = job.allocations.iter().position(|at| at.agent == *agent) {
                self.send_tasks(now, job, index, &chosen, false);
            }
        }
        if !job.pending.is_empty() {
            self.wait_for_quota(job);
        }
    }

    /// Lists a job among those that wait for room in the team's share.
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
        let Some(link) = self.agent_link(job.allocations[index].agent) else {
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

    /// Gives back all granted slots of a job and withdraws its requests.
    pub(super) fn release_all(&mut self, job: &mut Job) {
        for index in 0..job.allocations.len() {
            self.release_allocation(job, index);
        }
    }

    /// Gives back the granted slots of a job at one agent and withdraws its requests there.
    pub(super) fn release_at(&mut self, job: &mut Job, agent: usize) {
        if let Some(index) = job.allocations.iter().position(|at| at.agent == agent) {
            self.release_allocation(job, index);
        }
    }

    fn release_allocation(&mut self, job: &mut Job, index: usize) {
        let at = &mut job.allocations[index];
        let asked = std::mem::take(&mut at.requested);
        let grants = std::mem::take(&mut at.granted);
        if asked + grants == 0 {
            return;
        }
        let agent = at.agent;
        self.agents[agent].load_delta -= i64::from(grants);
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.requested = team.requested.saturating_sub(asked);
        }
        self.send_release(job, index, grants, asked > 0, "withdrawn");
    }

    /// Forgets what was asked for and granted over a link that is down.
    pub(super) fn clear_reservations(&mut self, job: &mut Job, agent: usize) {
        let Some(at) = job.find_allocation(agent) else {
            return;
        };
        let asked = std::mem::take(&mut at.requested);
        at.granted = 0;
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.requested = team.requested.saturating_sub(asked);
        }
    }

    /// Stops counting the tasks of a job that are still in flight.
    pub(super) fn clear_in_flight(&mut self, job: &mut Job) {
        for index in 0..job.allocations.len() {
            let count = std::mem::take(&mut job.allocations[index].in_flight);
            let agent = &mut self.agents[job.allocations[index].agent];
            agent.in_flight = agent.in_flight.saturating_sub(count);
        }
        if let Some(team) = self.teams.get_mut(&job.key.team) {
            team.in_flight = team.in_flight.saturating_sub(job.in_flight);
        }
        job.in_flight = 0;
    }
}

/// Learned slowness below this is taken as this, which bounds the speed of an agent.
const MIN_SLOWNESS: f64 = 0.01;
/// Pause before slots are asked for again where granted ones were given back.
const DECLINE_PAUSE: Duration = Duration::from_millis(100);
/// Requests for slots are refilled when fewer than half of this many are outstanding.
const REFILL_TARGET: u32 = 64;
