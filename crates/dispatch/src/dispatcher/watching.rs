//! Watched agents: choosing the set, and waking others that a job needs.

use std::time::Duration;
use std::time::Instant;

use rand::seq::IteratorRandom as _;
use slog::debug;

use sassafras_util::Name;

use super::Dispatcher;
use super::Job;
use crate::host::Attention;
use crate::host::Host;
use crate::timing::PULSE_INTERVAL;
use crate::watch;
use crate::watch::Usage;

/// Interval at which the set of watched agents is chosen again while agents neither come nor go.
const SET_INTERVAL: Duration = Duration::from_millis(480);
/// How long the decision on a job waits for the views of agents that were woken for it. An agent in
/// another availability zone responds within 4 ms.
const WAKE_TIMEOUT: Duration = Duration::from_millis(10);
/// How long an agent is watched after it was woken for a job.
const WAKE_DURATION: Duration = Duration::from_millis(400);
/// Number of agents that a job can choose from, if there are so many.
const MIN_CHOICE: usize = 8;
/// Number of agents woken when the watched ones have no capacity in time.
const WIDEN_COUNT: usize = 24;
/// Shortest interval between two such wakings. While all endpoints are full, waking more of them
/// only adds work.
const WIDEN_INTERVAL: Duration = Duration::from_millis(100);
/// Processor time that an entry spends on one view, on a full core.
const VIEW_COST: Duration = Duration::from_micros(20);
/// Largest share of an entry's processor time spent on views.
const MAX_VIEW_SHARE: f64 = 0.2;

impl Dispatcher {
    /// Chooses the set of watched agents if it is due, and starts and stops watching accordingly.
    pub(super) fn update_watched(&mut self) {
        if self.set_outdated || self.now >= self.set_due {
            self.choose_set();
        }
        let now = self.now;
        let mut changed = Vec::new();
        for (name, host) in &mut self.hosts {
            let idle = host.attention == Attention::Idle;
            // Either an idle agent that has to be watched, or the reverse.
            if host.linked && idle == host.needs_watch(now) {
                host.attention = if idle {
                    Attention::Waking(now)
                } else {
                    Attention::Idle
                };
                changed.push(name.clone());
            }
        }
        let watched = self.hosts.values().filter(|h| h.is_watched()).count();
        // All views together cost at most `MAX_VIEW_SHARE` of the processor.
        let cost = VIEW_COST * watched as u32;
        let interval = cost.div_f64(MAX_VIEW_SHARE * self.config.cores);
        self.view_interval = interval.min(PULSE_INTERVAL);
        for name in changed {
            self.send_pulse(&name);
        }
    }

    fn choose_set(&mut self) {
        self.set_outdated = false;
        self.set_due = self.now + SET_INTERVAL;
        let mut usage = Usage::default();
        for host in self.hosts.values() {
            let runs = host.runs.values();
            usage.used += runs.map(|s| u64::from(s.needs.cpu)).sum::<u64>();
            if host.in_set && host.linked && host.view.pool.is_some() {
                usage.accepting += 1;
                usage.capacity += u64::from(host.view.capacity.cpu);
            }
        }
        let wanted = watch::wanted_size(usage, self.config.cores);
        let size = self.set_size.update(self.now, wanted);
        let linked = self.hosts.values().filter(|h| h.linked && !h.evacuated);
        let agents = linked.map(|h| (&h.node.name, &h.zone));
        let chosen = watch::choose(&self.config.name, agents, size);
        let mut changed = 0;
        for host in self.hosts.values_mut() {
            let in_set = chosen.contains(&host.node.name);
            changed += u32::from(in_set != host.in_set);
            host.in_set = in_set;
        }
        if changed > 0 {
            debug!(self.log, "watched agents changed"; "agents" => chosen.len(),
                "changed" => changed, "linked" => self.hosts.len(),
                "used_cpu" => usage.used, "capacity_cpu" => usage.capacity);
        }
    }

    /// Wakes the agents that a job needs in particular: those near its data, and some that can run
    /// it if few of the watched ones can. Returns whether any was idle.
    pub(super) fn wake_for(&mut self, job: &Job) -> bool {
        let mut needed = Vec::<Name>::new();
        for step in &job.spec.steps {
            let suits = |h: &&Host| h.serves(&job.route.pool) && h.can_run(step);
            if let Some(rack) = &step.rack {
                let near = self.hosts.values().filter(suits);
                let near = near.filter(|h| h.view.labels.contains(rack));
                needed.extend(near.map(|h| h.node.name.clone()));
            }
            let watched = self.hosts.values().filter(|h| h.is_watched());
            if watched.filter(suits).take(MIN_CHOICE).count() < MIN_CHOICE {
                let idle = self.hosts.values().filter(|h| !h.is_watched());
                let some = idle.filter(suits).sample(&mut self.rng, MIN_CHOICE);
                needed.extend(some.into_iter().map(|h| h.node.name.clone()));
            }
        }
        self.wake(&needed)
    }

    /// Wakes some idle agents, since the watched ones have no capacity in time. Returns whether any
    /// was idle.
    pub(super) fn wake_further(&mut self, job: &Job) -> bool {
        if self.now < self.widen_at {
            return false;
        }
        self.widen_at = self.now + WIDEN_INTERVAL;
        let idle = self.hosts.values();
        let idle = idle.filter(|h| !h.is_watched() && h.serves(&job.route.pool));
        let some = idle.sample(&mut self.rng, WIDEN_COUNT);
        let names: Vec<Name> = some.into_iter().map(|h| h.node.name.clone()).collect();
        self.wake(&names)
    }

    /// Watches agents for some time. Returns whether the view of any of them has to be awaited.
    fn wake(&mut self, names: &[Name]) -> bool {
        let mut waking = false;
        for name in names {
            let Some(host) = self.hosts.get_mut(name) else {
                continue;
            };
            host.needed_until = self.now + WAKE_DURATION;
            if host.attention == Attention::Idle {
                host.attention = Attention::Waking(self.now);
                self.send_pulse(name);
            }
            waking |= self.hosts.get(name).is_some_and(|h| h.is_waking(self.now));
        }
        waking
    }

    /// Holds a job until the woken agents have sent their views.
    pub(super) fn await_views(&mut self, number: u64, mut job: Job) {
        job.views_due = Some(self.now + WAKE_TIMEOUT);
        self.jobs.insert(number, job);
    }

    /// Decides on the jobs whose views have arrived or are overdue.
    pub(super) fn admit_waiting(&mut self) {
        if !self.jobs.values().any(|j| j.views_due.is_some()) {
            return;
        }
        let now = self.now;
        let waking = self.hosts.values().any(|h| h.is_waking(now));
        let ready = |due: Instant| !waking || now >= due;
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(_, j)| j.views_due.is_some_and(ready));
        let mut numbers: Vec<u64> = jobs.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        for number in numbers {
            if let Some(job) = self.jobs.remove(&number) {
                self.admit(number, job);
            }
        }
    }
}

impl Host {
    /// Reports whether a view was requested recently and may still arrive in time.
    fn is_waking(&self, now: Instant) -> bool {
        matches!(self.attention, Attention::Waking(since) if now < since + WAKE_TIMEOUT)
            && self.linked
    }
}
