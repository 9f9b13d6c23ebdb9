//! The agent's part: runs tasks for entries on the endpoint of its host.
//!
//! The agent alone gives orders to the endpoint, so it alone guards the endpoint's room, decides
//! what starts next and renews leases. It learns how runs end from the endpoint's listings, which
//! it asks for as long as something runs.

pub mod call;
mod endpoint;
pub mod pace;
mod queue;
mod run;

use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;
use slog::warn;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::AgentPulse;
use sassafras_wire::proto::EndpointView;
use sassafras_wire::proto::EntryPulse;
use sassafras_wire::proto::StartTasks;
use sassafras_wire::proto::TaskEnd;
use sassafras_wire::proto::TaskEnds;
use sassafras_wire::proto::task_end::Kind;

use self::call::Announcement;
use self::call::Answer;
use self::call::Call;
use self::call::End;
use self::call::Ended;
use self::call::Order;
use self::call::Rejection;
use self::call::Runs;
use self::endpoint::Endpoint;
use self::run::Run;
use self::run::RunState;
use crate::job::Resources;
use crate::timing::ENTRY_SILENCE;
use crate::timing::PULSE;

/// Pause between two tries of an order that got no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// A run that was to be stopped and is still listed after this long keeps the lease from being
/// renewed. Together with the silence of its entry and the lease this is below the 1.3 s after
/// which callers submit a job again.
const STOP_PATIENCE: Duration = Duration::from_millis(120);
/// A run without any progress for this long is stalled, unless its declared time is so long that
/// a hundredth of it takes longer.
const STALL_AFTER: Duration = Duration::from_millis(700);
/// Views go out no more often than this, except with the ends of tasks.
const VIEW_PAUSE: Duration = Duration::from_millis(8);
/// Added to the number of a run that the endpoint rejects as stale; a job that was submitted
/// again starts counting anew.
const ATTEMPT_STEP: u32 = 16;
/// Tries with growing run numbers before the task is handed back.
const MAX_TRIES: u32 = 6;
/// How long an endpoint is left alone after it said that it takes no work.
const UNWELL_PAUSE: Duration = Duration::from_millis(500);
/// Reports that an entry has not taken are kept for this long.
const REPORT_MEMORY: Duration = Duration::from_secs(10);

/// Shortest pause between two ticks.
const MIN_TICK: Duration = Duration::from_millis(1);

/// What the runner asks its user to do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send to an entry.
    Send(Name, Body),
    /// Call the endpoint.
    Call(Call),
}

/// An entry that sends tasks.
#[derive(Debug)]
struct Entry {
    node: NodeRef,
    linked: bool,
    /// Latest value of this agent's clock that the entry repeated.
    heard_ms: u64,
    /// Last run received.
    received: u64,
    /// Number of the last report.
    number: u64,
    /// Reports that the entry has not taken yet.
    untaken: Vec<(Instant, u64, Vec<TaskEnd>)>,
    /// Ends for the next report.
    ends: Vec<TaskEnd>,
}

/// The agent's part of best-effort jobs.
#[derive(Debug)]
pub struct Runner {
    log: Logger,
    start: Instant,
    now: Instant,
    token: u64,
    entries: FastMap<Name, Entry>,
    endpoints: FastMap<Name, Endpoint>,
    /// The endpoint that takes new tasks.
    current: Option<Name>,
    runs: FastMap<(Name, u64), Run>,
    calls: FastMap<u64, Pending>,
    next_call: u64,
    leaving: bool,
    pulse_at: Instant,
    view_at: Instant,
    view_changed: bool,
    effects: Vec<Effect>,
}

/// What a call was for.
#[derive(Clone, Debug)]
enum Pending {
    Start((Name, u64)),
    Stop,
    Hold(Name),
}

impl Runner {
    /// Creates the runner of an agent. `token` orders it after earlier processes of the agent.
    pub fn new(now: Instant, token: u64, log: Logger) -> Self {
        Self {
            log,
            start: now,
            now,
            token,
            entries: FastMap::default(),
            endpoints: FastMap::default(),
            current: None,
            runs: FastMap::default(),
            calls: FastMap::default(),
            next_call: 1,
            leaving: false,
            pulse_at: now,
            view_at: now,
            view_changed: false,
            effects: Vec::new(),
        }
    }

    /// Takes the effects that have gathered.
    pub fn effects(&mut self) -> Vec<Effect> {
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// Returns when [`Runner::tick`] is due.
    pub fn deadline(&self) -> Instant {
        let holds = self.endpoints.values().filter(|e| e.hold.is_none());
        let holds = holds.map(|e| e.next_hold);
        let waits = self.runs.values().filter_map(Run::due);
        let next = holds.chain(waits).min().unwrap_or(self.pulse_at);
        let view = if self.view_changed {
            self.view_at
        } else {
            self.pulse_at
        };
        // Nothing is due at once: what an event made due was done with it.
        next.min(self.pulse_at).min(view).max(self.now + MIN_TICK)
    }

    /// Returns the number of runs, queued ones included.
    pub fn pending(&self) -> usize {
        self.runs.len()
    }

    /// Reports whether every end was taken note of and every report was taken.
    pub fn settled(&self) -> bool {
        let acked = self.endpoints.values().all(|e| e.acked == e.confirmed);
        let taken = self
            .entries
            .values()
            .all(|e| !e.linked || e.untaken.is_empty());
        self.runs.is_empty() && acked && taken
    }

    /// Takes no new tasks from now on, and hands back those that wait.
    pub fn leave(&mut self, now: Instant) {
        self.now = now;
        self.leaving = true;
        self.hand_back_queued("the agent is leaving");
        self.view_changed = true;
        self.view_at = now;
    }

    /// Stops everything that still runs.
    pub fn stop_all(&mut self, now: Instant) {
        self.now = now;
        let keys: Vec<_> = self.runs.keys().cloned().collect();
        for key in keys {
            self.stop(&key, Kind::Stopped);
        }
    }

    /// Takes the announcement of an endpoint. Returns whether it describes an endpoint that is
    /// not older than one at the same address.
    pub fn announce(&mut self, now: Instant, new: Announcement) -> bool {
        self.now = now;
        let key = endpoint_key(&new);
        let newer = |e: &Endpoint| {
            let (old, of_same) = (&e.announced, e.announced.id == new.id);
            (old.address == new.address || of_same) && old.born > new.born
        };
        if self.endpoints.values().any(newer) {
            info!(self.log, "announcement ignored"; "endpoint" => %key, "reason" => "a later start is known");
            return false;
        }
        let replaced = self.endpoints.iter().find(|(k, e)| {
            let same = e.announced.address == new.address || e.announced.id == new.id;
            **k != key && same
        });
        if let Some(old) = replaced.map(|(k, _)| k.clone()) {
            self.forget_endpoint(&old, "a later start announced itself");
        }
        let draining = new.draining;
        if let Some(known) = self.endpoints.get_mut(&key) {
            if new.sequence < known.announced.sequence {
                return true;
            }
            let turned = known.announced.draining != draining;
            known.announced_at = now;
            known.announced = new;
            if turned {
                info!(self.log, "endpoint changed"; "endpoint" => %key, "draining" => draining);
            }
        } else {
            info!(self.log, "endpoint met"; "endpoint" => %key, "pool" => %new.pool,
                "address" => %new.address, "cpu" => new.room.cpu, "draining" => draining);
            let endpoint = Endpoint::new(now, new, self.token);
            self.endpoints.insert(key.clone(), endpoint);
        }
        self.elect();
        if self.current.is_none() {
            self.hand_back_queued("the endpoint is draining");
        }
        self.pump();
        true
    }

    /// Takes note that an endpoint has left.
    pub fn endpoint_left(&mut self, now: Instant, id: &Name) {
        self.now = now;
        let found = self.endpoints.iter().find(|(_, e)| e.announced.id == *id);
        if let Some(key) = found.map(|(k, _)| k.clone()) {
            self.forget_endpoint(&key, "it left");
            self.elect();
        }
    }

    /// Notes a link from an entry.
    pub fn entry_up(&mut self, now: Instant, node: NodeRef) {
        self.now = now;
        let name = node.name.clone();
        if self.entries.get(&name).is_some_and(|e| e.node != node) {
            info!(self.log, "entry restarted"; "entry" => %name);
            self.drop_entry(&name);
        }
        let entry = self.entries.entry(name.clone()).or_insert_with(|| Entry {
            node,
            linked: true,
            heard_ms: 0,
            received: 0,
            number: 0,
            untaken: Vec::new(),
            ends: Vec::new(),
        });
        entry.linked = true;
        info!(self.log, "entry linked"; "entry" => %name);
        let (number, received) = (entry.number, entry.received);
        let untaken: Vec<TaskEnd> = entry.untaken.iter().flat_map(|u| u.2.clone()).collect();
        let view = Some(self.view());
        let clock_ms = self.clock_ms();
        let body = if untaken.is_empty() {
            Body::AgentPulse(AgentPulse {
                clock_ms,
                view,
                received,
            })
        } else {
            Body::TaskEnds(TaskEnds {
                number,
                ends: untaken,
                view,
                received,
                clock_ms,
            })
        };
        self.effects.push(Effect::Send(name, body));
    }

    /// Notes that the link from an entry is lost. Its tasks run on until its silence is too
    /// long.
    pub fn entry_down(&mut self, now: Instant, name: &Name) {
        self.now = now;
        if let Some(entry) = self.entries.get_mut(name) {
            entry.linked = false;
            info!(self.log, "entry link lost"; "entry" => %name);
        }
    }

    /// Takes a message of an entry.
    pub fn receive(&mut self, now: Instant, name: &Name, body: Body) {
        self.now = now;
        match body {
            Body::EntryPulse(pulse) => self.pulsed(name, &pulse),
            Body::StartTasks(order) => self.start_tasks(name, order),
            Body::StopTasks(order) => {
                for run in order.runs {
                    self.stop(&(name.clone(), run), Kind::Stopped);
                }
            }
            Body::CancelTasks(order) => self.cancel(&order.job),
            Body::Resume(resume) => {
                let known = |run: &u64| {
                    let reported = self.entries.get(name).is_some_and(|e| e.reports(*run));
                    reported || self.runs.contains_key(&(name.clone(), *run))
                };
                let unknown: Vec<u64> = resume.runs.iter().copied().filter(|r| !known(r)).collect();
                for run in unknown {
                    self.report(name, run, Kind::NotRun, 0);
                }
            }
            _ => {}
        }
        self.pump();
    }

    fn pulsed(&mut self, name: &Name, pulse: &EntryPulse) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.heard_ms = entry.heard_ms.max(pulse.heard_ms);
            entry.untaken.retain(|(_, number, _)| *number > pulse.taken);
        }
    }

    fn start_tasks(&mut self, name: &Name, order: StartTasks) {
        let clock_ms = self.clock_ms();
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.heard_ms = entry.heard_ms.max(order.heard_ms);
        let last = order.tasks.iter().map(|t| t.run).max();
        entry.received = entry.received.max(last.unwrap_or(0));
        let age = clock_ms.saturating_sub(order.heard_ms);
        let stale = age > ENTRY_SILENCE.as_millis() as u64;
        let spec: std::sync::Arc<str> = order.spec.into();
        let until = self.now + Duration::from_millis(order.wait_ms.into());
        let refusal = if stale {
            Some("the order is old")
        } else if self.leaving {
            Some("the agent is leaving")
        } else if self.current.is_none() {
            Some("no endpoint takes tasks")
        } else {
            None
        };
        for start in order.tasks {
            let key = (name.clone(), start.run);
            if let Some(reason) = refusal {
                info!(self.log, "task handed back"; "task" => start.task, "entry" => %name,
                    "reason" => reason, "age_ms" => age);
                self.report(name, start.run, Kind::NotRun, 0);
                continue;
            }
            let run = Run::new(self.now, &start, &spec, order.priority, until);
            self.runs.insert(key, run);
        }
        self.view_changed = true;
    }

    /// Hands ends to an entry with the next report.
    fn report(&mut self, name: &Name, run: u64, kind: Kind, ran_ms: u32) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.ends.push(TaskEnd {
                run,
                kind: kind.into(),
                ran_ms,
            });
        }
    }

    /// Stops a run, or takes it from the queue.
    fn stop(&mut self, key: &(Name, u64), kind: Kind) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match &run.state {
            RunState::Queued => {
                self.runs.remove(key);
                let kind = match kind {
                    Kind::Cancelled => kind,
                    _ => Kind::NotRun,
                };
                self.report(&key.0, key.1, kind, 0);
            }
            RunState::Stopping { .. } => {}
            _ => {
                info!(self.log, "task stopped"; "task" => %run.task, "attempt" => run.attempt,
                    "kind" => kind.as_str_name());
                run.state = RunState::Stopping {
                    kind,
                    since: self.now,
                    order_at: self.now,
                };
                self.order_stops();
            }
        }
        self.view_changed = true;
    }

    /// Stops every run of a job.
    fn cancel(&mut self, job: &str) {
        let of_job = self.runs.iter().filter(|(_, r)| *r.job == *job);
        let keys: Vec<_> = of_job.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.stop(&key, Kind::Cancelled);
        }
    }

    fn hand_back_queued(&mut self, reason: &str) {
        let queued = self
            .runs
            .iter()
            .filter(|(_, r)| r.state == RunState::Queued);
        let keys: Vec<_> = queued.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            info!(self.log, "queued tasks handed back"; "tasks" => keys.len(), "reason" => reason);
        }
        for key in keys {
            self.stop(&key, Kind::Stopped);
        }
    }

    /// Stops the tasks of an entry that has restarted or is silent.
    fn drop_entry(&mut self, name: &Name) {
        let of_entry = self.runs.keys().filter(|(entry, _)| entry == name);
        let keys: Vec<_> = of_entry.cloned().collect();
        for key in &keys {
            self.stop(key, Kind::Stopped);
        }
        // The runs of a restarted entry are nobody's; those of a silent one are reported when
        // it is back.
        self.entries.remove(name);
    }

    /// Takes the answer to a call.
    pub fn answered(&mut self, now: Instant, number: u64, answer: Answer) {
        self.now = now;
        match self.calls.remove(&number) {
            Some(Pending::Start(key)) => self.start_answered(&key, &answer),
            Some(Pending::Hold(endpoint)) => self.hold_answered(&endpoint, number, answer),
            Some(Pending::Stop) | None => {}
        }
        self.pump();
    }

    fn start_answered(&mut self, key: &(Name, u64), answer: &Answer) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let RunState::Starting { expires_ms, .. } = run.state else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        match answer {
            Answer::Accepted { clock_ms } => {
                endpoint.note_clock(self.now, *clock_ms);
                run.started(self.now);
            }
            Answer::Rejected { reason, clock_ms } => {
                if let Some(clock_ms) = clock_ms {
                    endpoint.note_clock(self.now, *clock_ms);
                }
                let (task, attempt) = (run.task.clone(), run.attempt);
                info!(self.log, "start rejected"; "task" => %task, "attempt" => attempt,
                    "reason" => ?reason, "expires_ms" => expires_ms, "clock_ms" => clock_ms);
                run.tries += 1;
                let again = run.tries < MAX_TRIES;
                match reason {
                    Rejection::Token if again => {
                        endpoint.raise_token();
                        run.state = RunState::Queued;
                    }
                    Rejection::Stale if again => {
                        run.attempt += ATTEMPT_STEP;
                        run.state = RunState::Queued;
                    }
                    Rejection::Late if again => run.state = RunState::Queued,
                    Rejection::Invalid => {
                        self.runs.remove(key);
                        self.report(&key.0, key.1, Kind::Failed, 0);
                    }
                    reason => {
                        if *reason == Rejection::Unhealthy {
                            endpoint.unwell_until = Some(self.now + UNWELL_PAUSE);
                        }
                        if *reason == Rejection::Replaced {
                            endpoint.unwell_until = Some(self.now + PULSE);
                        }
                        self.runs.remove(key);
                        self.report(&key.0, key.1, Kind::NotRun, 0);
                        self.view_changed = true;
                    }
                }
            }
            Answer::Silent | Answer::Runs(_) => {
                warn!(self.log, "start not answered"; "task" => %run.task,
                    "attempt" => run.attempt, "tries" => run.tries);
                run.tries += 1;
                endpoint.note_silence(self.now);
                if run.tries < MAX_TRIES {
                    // An endpoint starts a run once, however often it is told to.
                    self.order_start(key);
                } else {
                    // A listing, or the end of the order's lease, tells what became of it.
                    run.state = RunState::Unsure { expires_ms };
                }
            }
        }
    }

    fn hold_answered(&mut self, key: &Name, number: u64, answer: Answer) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let Some((_, sent)) = endpoint.hold.take_if(|(n, _)| *n == number) else {
            return;
        };
        match answer {
            Answer::Runs(runs) if runs.born.is_some_and(|b| b != endpoint.announced.born) => {
                self.forget_endpoint(key, "another start answered");
                self.elect();
            }
            Answer::Runs(runs) => {
                endpoint.note_clock(now, runs.clock_ms);
                endpoint.next_hold = now;
                endpoint.confirmed = endpoint.confirmed.max(endpoint.acked);
                self.listed(key, sent, &runs);
            }
            Answer::Rejected { reason, clock_ms } => {
                warn!(self.log, "hold rejected"; "endpoint" => %key, "reason" => ?reason);
                if reason == Rejection::Token {
                    endpoint.raise_token();
                }
                if let Some(clock_ms) = clock_ms {
                    endpoint.note_clock(now, clock_ms);
                }
                endpoint.next_hold = now + RETRY_PAUSE;
            }
            Answer::Accepted { .. } | Answer::Silent => {
                warn!(self.log, "hold not answered"; "endpoint" => %key,
                    "silence_ms" => now.saturating_duration_since(endpoint.answered).as_millis() as u64);
                // An endpoint that refuses connections answers at once.
                endpoint.next_hold = now.max(sent + RETRY_PAUSE);
                endpoint.silent_since.get_or_insert(sent);
                endpoint.note_silence(now);
                self.view_changed = true;
            }
        }
    }

    /// Compares a listing that was asked for at `sent` with the runs.
    fn listed(&mut self, key: &Name, sent: Instant, runs: &Runs) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let first = !endpoint.listed;
        endpoint.listed = true;
        let ends = endpoint.take_ends(runs);
        for end in &ends {
            endpoint.unknown.remove(&(end.task.clone(), end.attempt));
        }
        let mut seen = Vec::new();
        for running in &runs.running {
            let of_row = |r: &Run| r.endpoint == *key && r.is(&running.task, running.attempt);
            if let Some((run, found)) = self.runs.iter_mut().find(|(_, r)| of_row(r)) {
                found.listed(self.now, running.percent);
                if let Some(ratio) = found.first_pace(self.now) {
                    endpoint.pace.sample(self.now, &found.job, ratio);
                }
                seen.push(run.clone());
                continue;
            }
            let row = (running.task.clone(), running.attempt);
            endpoint.unknown.entry(row).or_insert_with(|| {
                warn!(self.log, "unknown run"; "endpoint" => %key,
                    "task" => %running.task, "attempt" => running.attempt);
                None
            });
        }
        // An unknown run that is no longer listed has ended.
        let listed = |task: &Name, attempt: u32| {
            let mut rows = runs.running.iter();
            rows.any(|r| r.task == *task && r.attempt == attempt)
        };
        endpoint.unknown.retain(|(task, n), _| listed(task, *n));
        if first {
            info!(self.log, "endpoint listed"; "endpoint" => %key, "running" => runs.running.len(),
                "ends" => runs.ended.len(), "unknown" => endpoint.unknown.len());
            // The first listing says nothing about runs of this agent.
            endpoint.acked = runs
                .ended
                .iter()
                .map(|e| e.number)
                .fold(endpoint.acked, u64::max);
        }
        for end in ends {
            self.run_ended(key, &end);
        }
        self.check_missing(key, sent, runs.clock_ms, &seen);
        self.view_changed = true;
    }

    /// Judges runs that a listing does not name.
    fn check_missing(&mut self, key: &Name, sent: Instant, clock_ms: u64, seen: &[(Name, u64)]) {
        let missing = |(run, r): (&(Name, u64), &Run)| {
            let here = r.endpoint == *key && !seen.contains(run);
            (here && r.gone(sent, clock_ms)).then(|| run.clone())
        };
        let gone: Vec<_> = self.runs.iter().filter_map(missing).collect();
        for run in gone {
            let Some(r) = self.runs.remove(&run) else {
                continue;
            };
            let unsure = matches!(r.state, RunState::Unsure { .. });
            let kind = match r.state {
                RunState::Stopping { kind, .. } => kind,
                _ if unsure => Kind::NotRun,
                _ => Kind::Lost,
            };
            warn!(self.log, "run not listed"; "task" => %r.task, "attempt" => r.attempt,
                "kind" => kind.as_str_name());
            self.report(&run.0, run.1, kind, 0);
        }
    }

    fn run_ended(&mut self, key: &Name, end: &Ended) {
        let ended = |r: &Run| r.endpoint == *key && r.is(&end.task, end.attempt);
        let found = self.runs.iter().find(|(_, r)| ended(r));
        let Some(id) = found.map(|(id, _)| id.clone()) else {
            return;
        };
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let ran = run.ran(self.now);
        let kind = match (end.how, &run.state) {
            (End::Done, _) => Kind::Done,
            (End::Failed, _) => Kind::Failed,
            (End::Stopped | End::Lapsed, RunState::Stopping { kind, .. }) => *kind,
            (End::Stopped | End::Lapsed, _) => Kind::Lost,
        };
        info!(self.log, "task ended"; "task" => %run.task, "attempt" => run.attempt,
            "entry" => %id.0, "how" => ?end.how, "kind" => kind.as_str_name(),
            "ran_ms" => ran.as_millis() as u64, "estimate_ms" => run.estimate.as_millis() as u64);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let judged = match kind {
                Kind::Done => {
                    let ratio = ran.as_secs_f64() / run.estimate.as_secs_f64().max(0.001);
                    endpoint.pace.sample(self.now, &run.job, ratio);
                    Some(true)
                }
                Kind::Failed | Kind::Stalled => Some(false),
                _ => None,
            };
            let changed = judged.is_some_and(|ok| endpoint.health.record(self.now, &run.job, ok));
            if changed {
                warn!(self.log, "endpoint judged"; "endpoint" => %key,
                    "suspect" => endpoint.health.is_suspect());
            }
        }
        self.report(&id.0, id.1, kind, ran.as_millis() as u32);
    }

    /// Forgets an endpoint whose process is gone, and with it all that ran there.
    fn forget_endpoint(&mut self, key: &Name, reason: &str) {
        self.endpoints.remove(key);
        let there = |r: &Run| r.endpoint == *key && r.state != RunState::Queued;
        let lost: Vec<_> = self.runs.iter().filter(|(_, r)| there(r)).collect();
        let lost: Vec<_> = lost.into_iter().map(|(id, _)| id.clone()).collect();
        warn!(self.log, "endpoint gone"; "endpoint" => %key, "reason" => reason,
            "runs" => lost.len());
        for id in lost {
            self.runs.remove(&id);
            self.report(&id.0, id.1, Kind::Lost, 0);
        }
        self.view_changed = true;
    }

    /// Chooses the endpoint that takes new tasks: the last one to start that takes any.
    fn elect(&mut self) {
        let open = self.endpoints.iter();
        let open = open.filter(|(_, e)| !e.announced.draining);
        let chosen = open
            .max_by_key(|(_, e)| e.announced.born)
            .map(|(k, _)| k.clone());
        if chosen != self.current {
            self.current = chosen;
            self.view_changed = true;
            self.view_at = self.now;
        }
    }

    /// Lets time pass: pulses, holds, queue limits, silent entries, stalled runs.
    pub fn tick(&mut self, now: Instant) {
        self.now = now;
        self.drop_silent_entries();
        self.hand_back_overdue();
        self.check_stalled();
        self.check_lapsed();
        self.pump();
        if now >= self.pulse_at {
            self.pulse_at = now + PULSE;
            self.view_changed = true;
            self.view_at = now;
        }
    }

    fn drop_silent_entries(&mut self) {
        let clock_ms = self.clock_ms();
        let limit = ENTRY_SILENCE.as_millis() as u64;
        let silent = |e: &Entry| clock_ms.saturating_sub(e.heard_ms) > limit;
        let names = self.entries.iter().filter(|(_, e)| silent(e));
        let names: Vec<Name> = names.map(|(n, _)| n.clone()).collect();
        for name in names {
            let of_entry = self.runs.keys().filter(|(entry, _)| *entry == name);
            let keys: Vec<_> = of_entry.cloned().collect();
            if keys.is_empty() {
                continue;
            }
            for key in keys {
                self.stop(&key, Kind::Stopped);
            }
        }
        for entry in self.entries.values_mut() {
            let old = |at: &Instant| self.now.saturating_duration_since(*at) > REPORT_MEMORY;
            entry.untaken.retain(|(at, ..)| !old(at));
        }
        let forgotten = |e: &Entry| !e.linked && silent(e) && e.untaken.is_empty();
        let runs = &self.runs;
        self.entries
            .retain(|name, e| !forgotten(e) || runs.keys().any(|(entry, _)| entry == name));
    }

    /// Hands back the tasks that have waited for room as long as they may.
    fn hand_back_overdue(&mut self) {
        let overdue = |r: &Run| r.state == RunState::Queued && self.now >= r.until;
        let keys = self.runs.iter().filter(|(_, r)| overdue(r));
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.stop(&key, Kind::NotRun);
        }
    }

    fn check_stalled(&mut self) {
        let stalled = |r: &Run| r.stalled(self.now, STALL_AFTER);
        let keys = self.runs.iter().filter(|(_, r)| stalled(r));
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.stop(&key, Kind::Stalled);
        }
    }

    /// Gives up the runs of endpoints whose leases are over.
    fn check_lapsed(&mut self) {
        let silent = |e: &Endpoint| {
            self.now.saturating_duration_since(e.answered) > crate::TASK_LEASE && e.lapsed(self.now)
        };
        let keys = self.endpoints.iter().filter(|(_, e)| silent(e));
        let keys: Vec<Name> = keys.map(|(k, _)| k.clone()).collect();
        for key in keys {
            let there = |r: &Run| r.endpoint == key && r.state != RunState::Queued;
            let lost = self.runs.iter().filter(|(_, r)| there(r));
            let lost: Vec<_> = lost.map(|(id, _)| id.clone()).collect();
            for id in lost {
                warn!(self.log, "run lapsed"; "endpoint" => %key, "entry" => %id.0, "run" => id.1);
                self.runs.remove(&id);
                self.report(&id.0, id.1, Kind::Lost, 0);
            }
        }
    }

    /// Gives the orders that are due.
    fn pump(&mut self) {
        self.order_stops();
        self.order_starts();
        self.order_holds();
    }

    fn order_holds(&mut self) {
        let keys: Vec<Name> = self.endpoints.keys().cloned().collect();
        for key in keys {
            let runs = self.runs.values().filter(|r| r.state != RunState::Queued);
            let running = runs.filter(|r| r.endpoint == key).count() > 0;
            let Some(endpoint) = self.endpoints.get_mut(&key) else {
                continue;
            };
            let behind = endpoint.acked != endpoint.confirmed;
            let needed = running
                || behind
                || !endpoint.listed
                || !endpoint.unknown.is_empty()
                || endpoint.clock_is_old(self.now);
            if !needed || endpoint.hold.is_some() || self.now < endpoint.next_hold {
                continue;
            }
            let order = endpoint.next_order(self.now, running);
            let number = self.call(&key, order, Pending::Hold(key.clone()));
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.hold = Some((number, self.now));
            }
        }
    }

    /// Orders the stops that are due, and keeps the lease from being renewed where a stop has no
    /// effect.
    fn order_stops(&mut self) {
        let mut orders = Vec::new();
        let mut starve = Vec::new();
        for run in self.runs.values_mut() {
            if let RunState::Stopping {
                since, order_at, ..
            } = &mut run.state
            {
                if self.now >= *order_at {
                    *order_at = self.now + RETRY_PAUSE;
                    orders.push((run.endpoint.clone(), run.task.clone(), run.attempt));
                }
                if self.now.saturating_duration_since(*since) > STOP_PATIENCE {
                    starve.push(run.endpoint.clone());
                }
            }
        }
        for (key, endpoint) in &mut self.endpoints {
            endpoint.starve = starve.contains(key);
            for ((task, attempt), ordered) in &mut endpoint.unknown {
                let due = |at: Instant| self.now.saturating_duration_since(at) >= RETRY_PAUSE;
                if ordered.is_none_or(due) {
                    *ordered = Some(self.now);
                    orders.push((key.clone(), task.clone(), *attempt));
                }
            }
        }
        for (key, task, attempt) in orders {
            self.call(&key, Order::Stop { task, attempt }, Pending::Stop);
        }
    }

    /// Starts queued tasks while they fit.
    fn order_starts(&mut self) {
        let Some(key) = self.current.clone() else {
            return;
        };
        let takes = |e: &Endpoint| e.takes_tasks(self.now);
        if !self.endpoints.get(&key).is_some_and(takes) {
            return;
        }
        let mut used = self.used(&key);
        for id in queue::order(&self.runs) {
            let Some(endpoint) = self.endpoints.get_mut(&key) else {
                return;
            };
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            let room = endpoint.announced.room;
            if !room.holds(&used.plus(run.needs)) {
                // Smaller tasks must not pass it for ever.
                break;
            }
            used = used.plus(run.needs);
            run.endpoint = key.clone();
            let waited = self.now.saturating_duration_since(run.received);
            info!(self.log, "task started"; "task" => %run.task, "attempt" => run.attempt,
                "entry" => %id.0, "waited_ms" => waited.as_millis() as u64,
                "free_cpu" => room.minus(used).cpu);
            metrics::histogram!("agent_start_wait_seconds").record(waited.as_secs_f64());
            self.order_start(&id);
            self.view_changed = true;
        }
    }

    /// Orders the endpoint that was chosen for a run to start it.
    fn order_start(&mut self, id: &(Name, u64)) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let endpoint = self.endpoints.get_mut(&run.endpoint);
        let Some(expires_ms) = endpoint.and_then(|e| e.start_lease(self.now)) else {
            return;
        };
        let since = match run.state {
            RunState::Starting { since, .. } => since,
            _ => self.now,
        };
        run.state = RunState::Starting { expires_ms, since };
        let order = Order::Start {
            task: run.task.clone(),
            attempt: run.attempt,
            payload: std::sync::Arc::clone(&run.payload),
            expires_ms,
        };
        let key = run.endpoint.clone();
        self.call(&key, order, Pending::Start(id.clone()));
    }

    /// Returns what the runs at an endpoint take, those that are being stopped included.
    fn used(&self, key: &Name) -> Resources {
        let there = |r: &&Run| r.endpoint == *key && r.state != RunState::Queued;
        let runs = self.runs.values().filter(there);
        runs.fold(Resources::default(), |sum, r| sum.plus(r.needs))
    }

    fn call(&mut self, key: &Name, order: Order, pending: Pending) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        if let Some(endpoint) = self.endpoints.get(key) {
            self.calls.insert(number, pending);
            self.effects.push(Effect::Call(Call {
                number,
                address: endpoint.announced.address.clone(),
                endpoint: endpoint.announced.id.clone(),
                token: endpoint.token,
                limit: endpoint.limit(self.now, &order),
                order,
            }));
        }
        number
    }

    /// Sends the reports that are due, and views if they changed.
    fn flush(&mut self) {
        let due = self.view_changed && self.now >= self.view_at;
        let with_ends = self.entries.values().any(|e| !e.ends.is_empty());
        if !due && !with_ends {
            return;
        }
        let view = self.view();
        let clock_ms = self.clock_ms();
        for (name, entry) in &mut self.entries {
            let body = if entry.ends.is_empty() {
                if !due {
                    continue;
                }
                Body::AgentPulse(AgentPulse {
                    clock_ms,
                    view: Some(view.clone()),
                    received: entry.received,
                })
            } else {
                entry.number += 1;
                let ends = std::mem::take(&mut entry.ends);
                entry.untaken.push((self.now, entry.number, ends.clone()));
                Body::TaskEnds(TaskEnds {
                    number: entry.number,
                    ends,
                    view: Some(view.clone()),
                    received: entry.received,
                    clock_ms,
                })
            };
            if entry.linked {
                self.effects.push(Effect::Send(name.clone(), body));
            }
        }
        if due {
            self.view_changed = false;
            self.view_at = self.now + VIEW_PAUSE;
        }
    }

    /// Describes the endpoint to entries.
    fn view(&self) -> EndpointView {
        let current = self.current.as_ref().filter(|_| !self.leaving);
        let found = current.and_then(|key| Some((key, self.endpoints.get(key)?)));
        let Some((key, endpoint)) = found else {
            return EndpointView::default();
        };
        let pool = Some(&endpoint.announced.pool).filter(|_| endpoint.takes_tasks(self.now));
        let room = endpoint.announced.room;
        let pace = endpoint.pace.factor(self.now);
        let queued = self.runs.values().filter(|r| r.state == RunState::Queued);
        let waiting = queued.clone().count() as u32;
        let wanted = queued.fold(Resources::default(), |sum, r| sum.plus(r.needs));
        let free = room.minus(self.used(key)).minus(wanted);
        let suspect = endpoint.health.is_suspect();
        let busy = self.runs.values().any(|r| r.endpoint == *key);
        EndpointView {
            pool: pool.map(ToString::to_string).unwrap_or_default(),
            endpoint: key.to_string(),
            labels: endpoint
                .announced
                .labels
                .iter()
                .map(ToString::to_string)
                .collect(),
            room: Some(room.into()),
            free: Some(free.into()),
            queued: waiting,
            wait_ms: queue::expected_wait(self.now, room, pace, &self.runs),
            pace: (pace * 1000.0) as u32,
            suspect,
            probe: suspect && !busy && endpoint.health.may_probe(self.now),
        }
    }

    /// Returns this agent's clock, in milliseconds since its start.
    fn clock_ms(&self) -> u64 {
        // The value 0 stands for an entry that has heard nothing.
        1 + self.now.saturating_duration_since(self.start).as_millis() as u64
    }
}

impl Entry {
    /// Reports whether the end of a run waits to be taken by the entry.
    fn reports(&self, run: u64) -> bool {
        let waiting = self.untaken.iter().flat_map(|u| u.2.iter());
        waiting.chain(&self.ends).any(|e| e.run == run)
    }
}

/// Names an endpoint and its start.
fn endpoint_key(announced: &Announcement) -> Name {
    Name::from(format!("{}@{}", announced.id, announced.born))
}
