//! Commands to the endpoint: starts within its capacity, stops, and polls that renew leases.

use std::time::Duration;
use std::time::Instant;

use slog::info;

use sassafras_util::Name;

use super::Effect;
use super::PendingCall;
use super::RETRY_INTERVAL;
use super::Runner;
use super::call::Call;
use super::call::Command;
use super::call::MAX_COMMANDS;
use super::endpoint::Endpoint;
use super::evacuation::ZoneState;
use super::queue;
use super::run::Run;
use super::run::RunState;
use crate::job::Resources;

/// If a stopped run is still listed after this long, the leases of the endpoint are not renewed.
/// Together with `ENTRY_TIMEOUT` and `TASK_LEASE` this is below the 1.3 s after which callers
/// submit a job again.
const STOP_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time from the decision on a call until it is sent, which usually takes less than 1 ms. As
/// long as the response of an endpoint may take, so that an agent that only gets little processor
/// time still sends its calls.
const SEND_TIMEOUT: Duration = Duration::from_millis(100);

impl Runner {
    /// Sends the commands that are due.
    pub(super) fn send_commands(&mut self) {
        self.send_stops();
        self.start_queued();
        self.send_polls();
    }

    /// Sends the polls that are due.
    pub(super) fn send_polls(&mut self) {
        let keys: Vec<Name> = self.endpoints.keys().cloned().collect();
        for key in keys {
            let running = self.runs_at(&key);
            let limit = self.lease_limit(&key);
            let shared = self.may_be_replaced(&key);
            let Some(endpoint) = self.endpoints.get_mut(&key) else {
                continue;
            };
            if endpoint
                .next_poll_due(running)
                .is_none_or(|due| self.now < due)
            {
                continue;
            }
            let command = endpoint.next_poll_command(self.now, limit, shared);
            let pending = PendingCall::Poll {
                endpoint: key.clone(),
                token: self.token.get(),
                acked: endpoint.acknowledged(shared),
            };
            let id = self.call(&key, command, pending);
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.pending_poll = Some((id, self.now));
            }
        }
    }

    /// Reports whether another instance may have taken the place of an endpoint and its id. It would
    /// execute the calls for this one, since they name the id only.
    fn may_be_replaced(&self, key: &Name) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let mut others = self.endpoints.iter().filter(|(k, _)| *k != key);
        let announced = others.any(|(_, e)| e.announced.id == endpoint.announced.id);
        endpoint.replaced || (announced && endpoint.doubted.is_some())
    }

    /// Sends the stops that are due, as far as the limit of commands allows, and suspends the renewal
    /// of leases where stops have no effect.
    pub(super) fn send_stops(&mut self) {
        let mut due = Vec::new();
        let mut suspend_renewal = Vec::new();
        for (id, run) in &self.runs {
            let RunState::Stopping {
                since, retry_at, ..
            } = run.state
            else {
                continue;
            };
            if self.now >= retry_at {
                due.push((retry_at, id.clone()));
            }
            if self.now.saturating_duration_since(since) > STOP_TIMEOUT {
                suspend_renewal.push(run.endpoint.clone());
            }
        }
        // The stop that has been due for the longest time comes first.
        due.sort_unstable();
        for (_, id) in due {
            let Some(run) = self.runs.get(&id).filter(|r| self.may_send(&r.endpoint)) else {
                continue;
            };
            let (key, task, attempt) = (run.endpoint.clone(), run.task.clone(), run.attempt);
            self.send_stop(&key, task, attempt);
            let retry = self.now + RETRY_INTERVAL;
            if let Some(run) = self.runs.get_mut(&id)
                && let RunState::Stopping { retry_at, .. } = &mut run.state
            {
                *retry_at = retry;
            }
        }
        let mut unknown = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            endpoint.suspend_renewal = suspend_renewal.contains(key);
            let due = |at: Instant| self.now.saturating_duration_since(at) >= RETRY_INTERVAL;
            let stops = endpoint.unknown.iter();
            let stops = stops.filter(|(_, last_stop)| last_stop.is_none_or(due));
            unknown.extend(stops.map(|(row, _)| (key.clone(), row.clone())));
        }
        for (key, row) in unknown {
            if !self.may_send(&key) {
                continue;
            }
            self.send_stop(&key, row.0.clone(), row.1);
            let endpoint = self.endpoints.get_mut(&key);
            if let Some(last_stop) = endpoint.and_then(|e| e.unknown.get_mut(&row)) {
                *last_stop = Some(self.now);
            }
        }
    }

    fn send_stop(&mut self, key: &Name, task: Name, attempt: u32) {
        let command = Command::Stop { task, attempt };
        let pending = PendingCall::Stop {
            endpoint: key.clone(),
        };
        self.call(key, command, pending);
    }

    /// Reports whether a start or a stop may be sent to an endpoint now.
    fn may_send(&self, key: &Name) -> bool {
        let under_way = self.calls.values().filter(|c| match c {
            PendingCall::Start { endpoint, .. } | PendingCall::Stop { endpoint } => endpoint == key,
            PendingCall::Poll { .. } => false,
        });
        under_way.count() < MAX_COMMANDS
    }

    /// Reports whether a run has a stop that cannot be sent before another command is answered.
    pub(super) fn stop_waits(&self, run: &Run) -> bool {
        matches!(run.state, RunState::Stopping { .. }) && !self.may_send(&run.endpoint)
    }

    /// Starts queued tasks while they fit and the limit of commands allows, and returns those that were
    /// placed at another endpoint than the one that takes tasks now.
    pub(super) fn start_queued(&mut self) {
        let current = self.current.clone();
        self.return_queued(current.as_ref(), "their endpoint takes no more tasks");
        let Some(key) = current else {
            return;
        };
        if self.zone_state == ZoneState::Evacuated {
            // A start without connection is queued again.
            return self.return_queued(None, "the zone is evacuated");
        }
        let accepts = |e: &Endpoint| e.accepts_tasks(self.now);
        if !self.endpoints.get(&key).is_some_and(accepts) {
            return;
        }
        let mut used = self.used_resources(&key);
        for id in queue::start_order(&self.runs) {
            if !self.may_send(&key) {
                break;
            }
            if !self.is_heard(&id.0) {
                continue;
            }
            let Some(endpoint) = self.endpoints.get_mut(&key) else {
                return;
            };
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            // One task runs at a time even if it needs more than a returning endpoint offers.
            let capacity = if used == Resources::default() {
                endpoint.announced.capacity
            } else {
                self.zone_state.offered(endpoint.announced.capacity)
            };
            if !capacity.holds(&used.plus(run.needs)) {
                // Starting smaller tasks first could starve this one.
                break;
            }
            used = used.plus(run.needs);
            run.endpoint = key.clone();
            let waited = self.now.saturating_duration_since(run.received);
            info!(self.log, "starting task"; "task" => %run.task, "attempt" => run.attempt,
                "entry" => %id.0, "waited_ms" => waited.as_millis() as u64,
                "free_cpu" => capacity.minus(used).cpu);
            metrics::histogram!("agent_start_wait_seconds").record(waited.as_secs_f64());
            let time = run.estimate.mul_f64(endpoint.pace.factor(self.now));
            let work = f64::from(run.needs.cpu) / 1000.0 * time.as_secs_f64();
            self.shares.add(self.now, run.priority, work);
            self.send_start(&id);
            self.view_changed = true;
        }
    }

    /// Sends a run to the endpoint that was chosen for it.
    pub(super) fn send_start(&mut self, id: &(Name, u64)) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        let Some(expires_ms) = endpoint.start_lease_end(self.now) else {
            return;
        };
        run.start_answered = None;
        let since = match run.state {
            RunState::Starting { since, .. } => since,
            _ => self.now,
        };
        run.state = RunState::Starting { expires_ms, since };
        let command = Command::Start {
            task: run.task.clone(),
            attempt: run.attempt,
            payload: std::sync::Arc::clone(&run.payload),
            expires_ms,
        };
        let pending = PendingCall::Start {
            run: id.clone(),
            endpoint: run.endpoint.clone(),
            token: self.token.get(),
        };
        let key = run.endpoint.clone();
        self.call(&key, command, pending);
    }

    /// Returns the resources of the runs at an endpoint, including those being stopped.
    pub(super) fn used_resources(&self, key: &Name) -> Resources {
        let at_endpoint = |r: &&Run| r.endpoint == *key && r.state != RunState::Queued;
        let runs = self.runs.values().filter(at_endpoint);
        runs.fold(Resources::default(), |sum, r| sum.plus(r.needs))
    }

    /// Calls an endpoint, and returns the id of the call.
    pub(super) fn call(&mut self, key: &Name, command: Command, pending: PendingCall) -> u64 {
        let id = self.next_call;
        self.next_call += 1;
        let send_by = self.send_limit(&pending);
        if let Some(endpoint) = self.endpoints.get(key) {
            self.calls.insert(id, pending);
            self.effects.push(Effect::Call(Call {
                id,
                address: endpoint.announced.address.clone(),
                instance: endpoint.announced.id.clone(),
                token: self.token.get(),
                timeout: endpoint.response_timeout(self.now, &command),
                send_by,
                command,
            }));
        }
        id
    }

    /// Returns the time after which a call must not be sent. A start must not be sent after its entry
    /// counts as silent either.
    fn send_limit(&self, pending: &PendingCall) -> Instant {
        let limit = self.now + SEND_TIMEOUT;
        let entry = match pending {
            PendingCall::Start { run, .. } => self.entries.get(&run.0),
            _ => None,
        };
        entry.map_or(limit, |e| limit.min(self.silent_from(e)))
    }
}
