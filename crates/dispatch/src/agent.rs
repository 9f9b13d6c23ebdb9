//! The agent's part: runs tasks for entries on the endpoint of its host.
//!
//! The agent alone gives orders to the endpoint, so it alone guards the endpoint's room, decides
//! what starts next and renews leases. It learns how runs end from the endpoint's listings, which
//! it asks for as long as something runs.

mod answers;
pub mod call;
mod endpoint;
mod entries;
mod orders;
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
use sassafras_wire::proto::EndpointView;
use sassafras_wire::proto::task_end::Kind;

use self::call::Announcement;
use self::call::Call;
use self::endpoint::Endpoint;
use self::entries::Entry;
use self::run::Run;
use self::run::RunState;
use crate::job::Resources;
use crate::timing::PULSE;

/// Pause between two tries of an order that got no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// A run without any progress for this long is stalled, unless its expected time is so long that
/// a hundredth of it takes longer.
const STALL_AFTER: Duration = Duration::from_millis(700);

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
    /// The last view that entries were to be sent.
    shown: Option<EndpointView>,
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
            shown: None,
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
        let holds = self.endpoints.iter();
        let holds = holds.filter_map(|(key, e)| e.hold_due(self.runs_at(key)));
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
        self.stop_where(Kind::Stopped, |_, _| true);
    }

    /// Takes the announcement of an endpoint. Returns whether it describes an endpoint that is
    /// not older than one at the same address.
    pub fn announce(&mut self, now: Instant, new: Announcement) -> bool {
        self.now = now;
        let key = endpoint_key(&new);
        let newer = |e: &Endpoint| {
            let (old, of_same) = (&e.announced, e.announced.id == new.id);
            (old.address == new.address || of_same) && old.started_ms > new.started_ms
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
                "address" => %new.address, "cpu" => new.capacity.cpu, "draining" => draining);
            let endpoint = Endpoint::new(now, new, self.token);
            self.endpoints.insert(key.clone(), endpoint);
        }
        self.elect();
        if self.current.is_none() {
            self.hand_back_queued("the endpoint is draining");
        }
        self.give_orders();
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

    /// Forgets an endpoint whose process is gone, and with it all that ran there.
    fn forget_endpoint(&mut self, key: &Name, reason: &str) {
        self.endpoints.remove(key);
        let lost = self.lose_runs(key);
        warn!(self.log, "endpoint gone"; "endpoint" => %key, "reason" => reason, "runs" => lost);
        self.view_changed = true;
    }

    /// Reports the runs at an endpoint as lost, and returns their number.
    fn lose_runs(&mut self, key: &Name) -> usize {
        let there = |r: &Run| r.endpoint == *key && r.state != RunState::Queued;
        let lost: Vec<_> = self.runs.extract_if(|_, r| there(r)).collect();
        for ((entry, run), lost) in &lost {
            warn!(self.log, "run lost"; "endpoint" => %key, "entry" => %entry,
                "task" => %lost.task, "attempt" => lost.attempt);
            self.report(entry, *run, Kind::Lost, 0);
        }
        lost.len()
    }

    /// Reports whether anything runs at an endpoint, what is being stopped included.
    fn runs_at(&self, key: &Name) -> bool {
        let mut runs = self.runs.values();
        runs.any(|r| r.endpoint == *key && r.state != RunState::Queued)
    }

    /// Chooses the endpoint that takes new tasks: the last one to start that takes any.
    fn elect(&mut self) {
        let open = self.endpoints.iter();
        let open = open.filter(|(_, e)| !e.announced.draining);
        let chosen = open
            .max_by_key(|(_, e)| e.announced.started_ms)
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
        self.give_orders();
        if now >= self.pulse_at {
            self.pulse_at = now + PULSE;
            self.pulse();
        }
    }

    /// Hands back the tasks that have waited for room as long as they may.
    fn hand_back_overdue(&mut self) {
        let now = self.now;
        self.stop_where(Kind::NotRun, |_, r| {
            r.state == RunState::Queued && now >= r.until
        });
    }

    fn check_stalled(&mut self) {
        let now = self.now;
        self.stop_where(Kind::Stalled, |_, r| r.stalled(now, STALL_AFTER));
    }

    /// Gives up the runs of endpoints whose leases are over.
    fn check_lapsed(&mut self) {
        let silent = |e: &Endpoint| {
            self.now.saturating_duration_since(e.answered) > crate::TASK_LEASE && e.lapsed(self.now)
        };
        let keys = self.endpoints.iter().filter(|(_, e)| silent(e));
        let keys: Vec<Name> = keys.map(|(k, _)| k.clone()).collect();
        for key in keys {
            if self.lose_runs(&key) > 0 {
                warn!(self.log, "runs lapsed"; "endpoint" => %key);
            }
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
        let room = endpoint.announced.capacity;
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

/// Names an endpoint and its start.
fn endpoint_key(announced: &Announcement) -> Name {
    Name::from(format!("{}@{}", announced.id, announced.started_ms))
}
