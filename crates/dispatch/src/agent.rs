//! Execution of best-effort tasks at an agent, on the endpoint of its host.
//!
//! Only the agent sends commands to the endpoint. It therefore enforces the endpoint's capacity,
//! decides which task starts next, and renews leases. It learns the outcome of runs by polling the
//! endpoint while anything runs there.

pub mod call;
mod commands;
mod endpoint;
mod entries;
mod evacuation;
pub mod pace;
mod queue;
mod responses;
mod run;
mod shares;
mod token;

use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;
use slog::warn;

use sassafras_util::FastMap;
use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::EndpointView;
use sassafras_wire::proto::start_tasks::Order;
use sassafras_wire::proto::task_end::Kind;

use self::call::Announcement;
use self::call::Call;
use self::endpoint::Endpoint;
use self::endpoint::LEAVE_TIME;
use self::entries::Entry;
use self::evacuation::ZoneState;
use self::run::Run;
use self::run::RunState;
use self::shares::Shares;
use self::token::FencingToken;
use crate::job::Resources;
use crate::timing::PULSE_INTERVAL;

/// Interval between two attempts of a command that got no response.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// A run without progress for this long is stalled. Long runs get more time, see
/// [`Run::is_stalled`].
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// An endpoint that has announced itself within this time is taken at its word against announcements
/// that contradict it. Endpoints announce themselves every 1.5 s.
const CONTRADICTION_WINDOW: Duration = Duration::from_millis(3_200);

/// How long withdrawn endpoints are remembered, so that a delayed announcement does not bring them
/// back.
const WITHDRAWN_RETENTION: Duration = Duration::from_secs(60);

/// A command without a response may be executed up to this much later.
const LATE_EXECUTION_LIMIT: Duration = Duration::from_secs(15);

/// Largest number of announced endpoints that have not answered yet. Beyond it, the one whose
/// announcement is the oldest is dropped; an endpoint that is there answers within some milliseconds.
const MAX_CLAIMS: usize = 8;

/// Shortest interval between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// An action for the event loop to carry out.
#[derive(Debug, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "moved once; boxing would allocate for each"
)]
pub enum Effect {
    /// Send a message to the entry with this name.
    Send(Name, Body),
    /// Call the endpoint.
    Call(Call),
}

/// Runs the best-effort tasks of an agent.
#[derive(Debug)]
pub struct Runner {
    log: Logger,
    start: Instant,
    now: Instant,
    token: FencingToken,
    /// Longest lease that endpoints grant.
    max_lease: Duration,
    entries: FastMap<Name, Entry>,
    /// Number of the last report to any entry.
    last_report: u64,
    endpoints: FastMap<Name, Endpoint>,
    /// Endpoints that said that they leave: when, and the last sequence number before.
    withdrawn: FastMap<Name, (Instant, u64)>,
    /// The endpoint that receives new tasks.
    current: Option<Name>,
    runs: FastMap<(Name, u64), Run>,
    calls: FastMap<u64, PendingCall>,
    next_call: u64,
    draining: bool,
    zone_state: ZoneState,
    /// Work started by priority.
    shares: Shares,
    /// Pools that the routing table names; none before the first table.
    pools: Option<FastSet<Name>>,
    pulse_at: Instant,
    view_at: Instant,
    view_changed: bool,
    /// The last view that was announced to entries.
    last_view: Option<EndpointView>,
    effects: Vec<Effect>,
}

/// The purpose of an outstanding call.
#[derive(Clone, Debug)]
enum PendingCall {
    Start {
        run: (Name, u64),
        endpoint: Name,
        token: u64,
    },
    Stop {
        endpoint: Name,
    },
    Poll {
        endpoint: Name,
        token: u64,
        /// Sequence number up to which it acknowledges completions.
        acked: u64,
    },
}

impl Runner {
    /// Creates a runner. `token` is its first fencing token, higher than those of earlier processes
    /// of the agent. `max_lease` is the longest lease that endpoints grant; they shorten others.
    pub fn new(now: Instant, token: u64, max_lease: Duration, log: Logger) -> Self {
        Self {
            log,
            start: now,
            now,
            token: FencingToken::new(token),
            max_lease,
            entries: FastMap::default(),
            last_report: 0,
            endpoints: FastMap::default(),
            withdrawn: FastMap::default(),
            current: None,
            runs: FastMap::default(),
            calls: FastMap::default(),
            next_call: 1,
            draining: false,
            zone_state: ZoneState::default(),
            shares: Shares::new(now),
            pools: None,
            pulse_at: now,
            view_at: now,
            view_changed: false,
            last_view: None,
            effects: Vec::new(),
        }
    }

    /// Returns the effects queued since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// Returns when [`Runner::tick`] is due.
    pub fn deadline(&self) -> Instant {
        let polls = self.endpoints.iter();
        let polls = polls.filter_map(|(key, e)| e.next_poll_due(self.runs_at(key)));
        // Stops that wait for other commands are sent when one of these is answered.
        let runs = self.runs.values().filter(|r| !self.stop_waits(r));
        let runs = runs.filter_map(Run::next_due);
        let next = polls.chain(runs).min().unwrap_or(self.pulse_at);
        let view = if self.view_changed {
            self.view_at
        } else {
            self.pulse_at
        };
        // Events are handled completely when they arrive, so nothing is due immediately.
        next.min(self.pulse_at)
            .min(view)
            .max(self.now + MIN_TICK_INTERVAL)
    }

    /// Returns the number of runs, including queued ones.
    pub fn pending_runs(&self) -> usize {
        self.runs.len()
    }

    /// Reports whether no runs are left, the endpoints know that their completions were received,
    /// and all linked entries have acknowledged their reports.
    pub fn is_drained(&self) -> bool {
        let acked = self.endpoints.values().all(|e| e.acked == e.confirmed);
        let reported = self
            .entries
            .values()
            .all(|e| !e.linked || e.unacked_reports.is_empty());
        self.runs.is_empty() && acked && reported
    }

    /// Stops accepting tasks, and returns the queued ones to their entries.
    pub fn drain(&mut self, now: Instant) {
        self.now = now;
        self.draining = true;
        self.return_queued(None, "the agent is shutting down");
        self.view_changed = true;
        self.view_at = now;
    }

    /// Stops starting tasks and returns the queued ones to their entries while the agent's zone is
    /// evacuated. What runs, ends.
    pub fn set_evacuated(&mut self, now: Instant, evacuated: bool) {
        self.now = now;
        let state = self.zone_state.with_order(evacuated);
        if state == self.zone_state {
            return;
        }
        info!(self.log, "zone state changed"; "evacuated" => evacuated, "runs" => self.runs.len());
        self.zone_state = state;
        if evacuated {
            self.return_queued(None, "the zone is evacuated");
        }
        self.view_changed = true;
        self.view_at = now;
    }

    /// Stops all runs.
    pub fn stop_all(&mut self, now: Instant) {
        self.now = now;
        self.stop_where(Kind::Stopped, |_, _| true);
    }

    /// Sets the pools that the routing table names.
    pub fn set_pools(&mut self, pools: FastSet<Name>) {
        self.pools = Some(pools);
        self.select_endpoint();
    }

    /// Handles the announcement of an endpoint. Returns false if it is ignored, because it contradicts
    /// what an endpoint has announced recently, or would put one into an unknown pool.
    ///
    /// An announcement may come from another writer and proves nothing. The endpoint is used, and
    /// takes the place of others, once it has answered a poll as the announced instance.
    pub fn announce(&mut self, now: Instant, new: Announcement) -> bool {
        self.now = now;
        let key = endpoint_key(&new);
        if let Some(reason) = self.refusal(&key, &new) {
            info!(self.log, "endpoint announcement ignored"; "endpoint" => %key,
                "pool" => %new.pool, "sequence" => new.sequence, "reason" => reason);
            metrics::counter!("dispatch_announcements_ignored", "reason" => reason).increment(1);
            return false;
        }
        let rivals = self.endpoints.iter();
        let rivals = rivals.filter(|(k, e)| **k != key && e.is_related(&new));
        let rivals: Vec<Name> = rivals.map(|(k, _)| k.clone()).collect();
        for rival in &rivals {
            self.doubt_endpoint(rival, now, "another instance was announced");
        }
        let draining = new.draining;
        if let Some(known) = self.endpoints.get_mut(&key) {
            let changed = known.announced.draining != draining;
            known.announced_at = now;
            known.announced = new;
            if changed {
                info!(self.log, "endpoint draining changed"; "endpoint" => %key,
                    "draining" => draining);
            }
        } else {
            info!(self.log, "endpoint registered"; "endpoint" => %key, "pool" => %new.pool,
                "address" => %new.address, "cpu" => new.capacity.cpu, "draining" => draining);
            // Commands to an earlier instance with the same id must not be executed by this one.
            self.token.fence(self.token.get());
            self.limit_claims();
            let endpoint = Endpoint::new(now, new);
            self.endpoints.insert(key.clone(), endpoint);
        }
        self.select_endpoint();
        self.send_commands();
        true
    }

    /// Returns why an announcement is ignored, if it is.
    fn refusal(&self, key: &Name, new: &Announcement) -> Option<&'static str> {
        let in_pool = |e: &Endpoint| e.announced.pool == new.pool;
        let known = self.endpoints.get(key).is_some_and(in_pool);
        let mut others = self.endpoints.values().filter(|e| e.listed);
        if !known && !self.is_named(&new.pool) && others.any(|e| e.is_related(new)) {
            return Some("its pool is not in the routing table");
        }
        let contradictions = self.endpoints.iter();
        let contradictions = contradictions.filter_map(|(k, e)| self.contradiction(k, e, key, new));
        let contradiction = contradictions.min();
        contradiction.or_else(|| self.has_left(key, new).then_some("it has left"))
    }

    /// Reports whether a pool is in the routing table. Without a table, every pool may be.
    fn is_named(&self, pool: &Name) -> bool {
        self.pools.as_ref().is_none_or(|pools| pools.contains(pool))
    }

    /// Makes room for another announced endpoint among those that have not answered yet.
    fn limit_claims(&mut self) {
        let claims = self.endpoints.iter().filter(|(_, e)| !e.listed);
        if claims.clone().count() < MAX_CLAIMS {
            return;
        }
        let oldest = claims.min_by_key(|(_, e)| e.announced_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.remove_endpoint(&key, "too many announced endpoints have not answered");
        }
    }

    /// Reports whether an announcement may have been delayed until after the endpoint's withdrawal.
    fn has_left(&self, key: &Name, new: &Announcement) -> bool {
        self.withdrawn.get(key).is_some_and(|(at, sequence)| {
            let elapsed = self.now.saturating_duration_since(*at);
            elapsed < CONTRADICTION_WINDOW || new.sequence <= *sequence
        })
    }

    /// Returns in which way an announcement contradicts a known endpoint. One that never answered, or
    /// has not announced itself recently, contradicts nothing: the odd announcement may be the
    /// earlier one.
    fn contradiction(
        &self,
        known_key: &Name,
        known: &Endpoint,
        key: &Name,
        new: &Announcement,
    ) -> Option<&'static str> {
        let old = &known.announced;
        let same_instance = known_key == key;
        let silence = self.now.saturating_duration_since(known.announced_at);
        if !known.listed || !known.is_related(new) || silence > CONTRADICTION_WINDOW {
            return None;
        }
        if old.started_ms > new.started_ms {
            return Some("a later instance is known");
        }
        if same_instance && new.sequence < old.sequence {
            return Some("a later announcement is known");
        }
        if same_instance && (new.pool != old.pool || new.address != old.address) {
            return Some("the instance has announced another pool or address");
        }
        None
    }

    /// Handles an endpoint's announcement that it is leaving, which concerns all instances with its id.
    pub fn endpoint_withdrawn(&mut self, now: Instant, id: &Name) {
        self.now = now;
        let old = |at: &Instant| now.saturating_duration_since(*at) > WITHDRAWN_RETENTION;
        self.withdrawn.retain(|_, (at, _)| !old(at));
        let found = self.endpoints.iter();
        let found = found.filter(|(_, e)| e.announced.id == *id);
        let found: Vec<_> = found
            .map(|(k, e)| (k.clone(), e.announced.sequence))
            .collect();
        for (key, sequence) in found {
            self.withdrawn.insert(key.clone(), (now, sequence));
            let reason = "it announced that it is leaving";
            if self.runs_at(&key) {
                // A withdrawal does not name the instance, and an endpoint may go on after it.
                self.doubt_endpoint(&key, now + LEAVE_TIME, reason);
            } else {
                self.remove_endpoint(&key, reason);
            }
        }
        self.select_endpoint();
        self.send_commands();
    }

    /// Takes an endpoint out of use that is said to have ended, until it answers a poll sent at
    /// `since` or later. Its runs go on until its end has proved true.
    fn doubt_endpoint(&mut self, key: &Name, since: Instant, reason: &str) {
        info!(self.log, "endpoint in doubt"; "endpoint" => %key, "reason" => reason);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.doubted = Some(since);
        }
        self.view_changed = true;
    }

    /// Removes the endpoints without runs that have not shown that they are there.
    fn remove_absent(&mut self) {
        let absent = |(key, e): (&Name, &Endpoint)| {
            let reason = e.absence(self.now).filter(|_| !self.runs_at(key))?;
            Some((key.clone(), reason))
        };
        let absent: Vec<_> = self.endpoints.iter().filter_map(absent).collect();
        for (key, reason) in absent {
            self.remove_endpoint(&key, reason);
        }
        self.select_endpoint();
    }

    /// Removes the claims that an endpoint has refuted with its answer to a poll sent at `sent`: other
    /// instances of its id or at its address that were announced before and never answered.
    fn remove_refuted(&mut self, key: &Name, sent: Instant) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let refuted = self.endpoints.iter().filter(|(k, e)| {
            let rival = *k != key && e.is_related(&endpoint.announced);
            rival && !e.listed && e.announced_at <= sent
        });
        let refuted: Vec<Name> = refuted.map(|(k, _)| k.clone()).collect();
        for claim in refuted {
            self.remove_endpoint(
                &claim,
                "another instance has answered since it was announced",
            );
        }
    }

    /// Removes an endpoint whose process has ended, together with its runs.
    fn remove_endpoint(&mut self, key: &Name, reason: &str) {
        self.endpoints.remove(key);
        let lost = self.report_lost_runs(key, |_| true);
        warn!(self.log, "endpoint removed"; "endpoint" => %key, "reason" => reason, "runs" => lost);
        self.view_changed = true;
    }

    /// Reports the runs at an endpoint that `is_lost` selects as lost, and returns their number.
    fn report_lost_runs(&mut self, key: &Name, is_lost: impl Fn(&Run) -> bool) -> usize {
        let at_endpoint = |r: &Run| r.endpoint == *key && r.state != RunState::Queued;
        let lost = self.runs.extract_if(|_, r| at_endpoint(r) && is_lost(r));
        let lost: Vec<_> = lost.collect();
        for ((entry, run), lost) in &lost {
            warn!(self.log, "run lost"; "endpoint" => %key, "entry" => %entry,
                "task" => %lost.task, "attempt" => lost.attempt);
            self.report(entry, *run, Kind::Lost, 0);
        }
        lost.len()
    }

    /// Reports whether an endpoint has runs, including those being stopped.
    fn runs_at(&self, key: &Name) -> bool {
        let mut runs = self.runs.values();
        runs.any(|r| r.endpoint == *key && r.state != RunState::Queued)
    }

    /// Selects the endpoint for new tasks: of those that have answered, belong to a known pool and
    /// are there to stay, the one started last. Those that still announce themselves go first.
    fn select_endpoint(&mut self) {
        let usable = |e: &Endpoint| e.listed && e.is_open() && self.is_named(&e.announced.pool);
        let usable = self.endpoints.iter().filter(|(_, e)| usable(e));
        let selected = usable
            .max_by_key(|(_, e)| (!e.is_silent(self.now), e.announced.started_ms))
            .map(|(k, _)| k.clone());
        if selected != self.current {
            self.current = selected;
            self.view_changed = true;
            self.view_at = self.now;
        }
    }

    /// Handles expired deadlines: pulses, polls, queued tasks, silent entries and stalled runs.
    pub fn tick(&mut self, now: Instant) {
        self.now = now;
        self.drop_silent_entries();
        self.return_overdue();
        self.stop_stalled();
        self.expire_runs();
        self.remove_absent();
        self.send_commands();
        if now >= self.pulse_at {
            self.pulse_at = now + PULSE_INTERVAL;
            self.send_pulse();
        }
    }

    /// Returns queued tasks whose queue deadline has passed.
    fn return_overdue(&mut self) {
        let now = self.now;
        self.stop_where(Kind::NotRun, |_, r| {
            r.state == RunState::Queued && now >= r.queue_deadline
        });
        self.shed_queued();
    }

    /// Returns queued tasks while more wait than can start by their queue deadlines, so that their jobs
    /// learn it at once and the others start in time.
    fn shed_queued(&mut self) {
        let queued = |r: &Run| r.state == RunState::Queued && r.order == Order::ByDeadline;
        let current = self
            .current
            .as_ref()
            .and_then(|key| self.endpoints.get(key));
        let Some(endpoint) = current else {
            return;
        };
        let capacity = self.zone_state.offered(endpoint.announced.capacity);
        let pace = endpoint.pace.factor(self.now);
        while self.runs.values().any(queued) {
            let projection = queue::project(self.now, capacity, pace, &self.runs);
            let Some(id) = queue::victim(self.now, &projection, &self.runs) else {
                return;
            };
            self.return_task(&id, "not all that wait can start in time");
        }
    }

    /// Stops the runs that make no progress.
    fn stop_stalled(&mut self) {
        let now = self.now;
        self.stop_where(Kind::Stalled, |_, r| r.is_stalled(now, STALL_TIMEOUT));
    }

    /// Reports the runs of unresponsive endpoints as lost once their leases have expired. A run whose
    /// start may still be executed is kept, since that would begin a lease of its own.
    fn expire_runs(&mut self) {
        let silent = |e: &Endpoint| {
            self.now.saturating_duration_since(e.last_response) > crate::TASK_LEASE
                && e.leases_expired(self.now)
        };
        let keys = self.endpoints.iter().filter(|(_, e)| silent(e));
        let keys: Vec<Name> = keys.map(|(k, _)| k.clone()).collect();
        for key in keys {
            let now = self.now;
            let expired = |r: &Run| !r.may_start() || now >= r.received + LATE_EXECUTION_LIMIT;
            if self.report_lost_runs(&key, expired) > 0 {
                warn!(self.log, "runs lost after lease expiry at unresponsive endpoint";
                    "endpoint" => %key);
            }
        }
    }

    /// Describes the endpoint to entries.
    fn view(&self) -> EndpointView {
        let current = self.current.as_ref().filter(|_| !self.draining);
        let found = current.and_then(|key| Some((key, self.endpoints.get(key)?)));
        let Some((key, endpoint)) = found else {
            return EndpointView::default();
        };
        let open = self.zone_state != ZoneState::Evacuated && endpoint.accepts_tasks(self.now);
        let pool = Some(&endpoint.announced.pool).filter(|_| open);
        let capacity = endpoint.announced.capacity;
        let offered = self.zone_state.offered(capacity);
        let pace = endpoint.pace.factor(self.now);
        let queued = self.runs.values().filter(|r| r.state == RunState::Queued);
        let waiting = queued.clone().count() as u32;
        let queued_needs = queued.fold(Resources::default(), |sum, r| sum.plus(r.needs));
        let free = offered.minus(self.used_resources(key)).minus(queued_needs);
        let projection = queue::project(self.now, offered, pace, &self.runs);
        let suspect = endpoint.health.is_suspect();
        let busy = self.runs.values().any(|r| r.endpoint == *key);
        let cores = f64::from(offered.cpu) / 1000.0;
        let wait_ms = |(level, wait): (usize, &Duration)| {
            let left = 1.0 - self.shares.above(self.now, level, cores);
            wait.div_f64(left).min(queue::MAX_WAIT).as_millis() as u32
        };
        EndpointView {
            pool: pool.map(ToString::to_string).unwrap_or_default(),
            endpoint: key.to_string(),
            labels: endpoint
                .announced
                .labels
                .iter()
                .map(ToString::to_string)
                .collect(),
            room: Some(capacity.into()),
            free: Some(free.into()),
            queued: waiting,
            wait_ms: queue::expected_wait(self.now, offered, pace, &self.runs),
            waits: projection.waits.iter().enumerate().map(wait_ms).collect(),
            pace: (pace * 1000.0) as u32,
            suspect,
            probe: suspect && !busy && endpoint.health.may_probe(self.now),
        }
    }

    /// Returns this agent's clock, in milliseconds since its start.
    fn clock_ms(&self) -> u64 {
        // 0 means that an entry has received nothing yet.
        1 + self.now.saturating_duration_since(self.start).as_millis() as u64
    }
}

/// Returns the key of an endpoint instance: its id and start time.
fn endpoint_key(announced: &Announcement) -> Name {
    Name::from(format!("{}@{}", announced.id, announced.started_ms))
}
