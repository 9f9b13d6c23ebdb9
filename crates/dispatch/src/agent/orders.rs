//! Orders to the endpoint: starts within its room, stops, and holds that renew the lease.

use std::time::Duration;
use std::time::Instant;

use slog::info;

use sassafras_util::Name;

use super::Effect;
use super::Pending;
use super::RETRY_PAUSE;
use super::Runner;
use super::call::Call;
use super::call::Command;
use super::endpoint::Endpoint;
use super::queue;
use super::run::Run;
use super::run::RunState;
use crate::job::Resources;

/// A run that was to be stopped and is still listed after this long keeps the lease from being
/// renewed. Together with the silence of its entry and the lease this is below the 1.3 s after
/// which callers submit a job again.
const STOP_PATIENCE: Duration = Duration::from_millis(120);

impl Runner {
    /// Gives the orders that are due.
    pub(super) fn give_orders(&mut self) {
        self.order_stops();
        self.order_starts();
        self.order_holds();
    }

    pub(super) fn order_holds(&mut self) {
        let keys: Vec<Name> = self.endpoints.keys().cloned().collect();
        for key in keys {
            let running = self.runs_at(&key);
            let Some(endpoint) = self.endpoints.get_mut(&key) else {
                continue;
            };
            if endpoint.hold_due(running).is_none_or(|due| self.now < due) {
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
    pub(super) fn order_stops(&mut self) {
        let mut orders = Vec::new();
        let mut withhold = Vec::new();
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
                    withhold.push(run.endpoint.clone());
                }
            }
        }
        for (key, endpoint) in &mut self.endpoints {
            endpoint.withhold = withhold.contains(key);
            for ((task, attempt), ordered) in &mut endpoint.unknown {
                let due = |at: Instant| self.now.saturating_duration_since(at) >= RETRY_PAUSE;
                if ordered.is_none_or(due) {
                    *ordered = Some(self.now);
                    orders.push((key.clone(), task.clone(), *attempt));
                }
            }
        }
        for (key, task, attempt) in orders {
            self.call(&key, Command::Stop { task, attempt }, Pending::Stop);
        }
    }

    /// Starts queued tasks while they fit.
    pub(super) fn order_starts(&mut self) {
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
            let room = endpoint.announced.capacity;
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
    pub(super) fn order_start(&mut self, id: &(Name, u64)) {
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
        let order = Command::Start {
            task: run.task.clone(),
            attempt: run.attempt,
            payload: std::sync::Arc::clone(&run.payload),
            expires_ms,
        };
        let key = run.endpoint.clone();
        self.call(&key, order, Pending::Start(id.clone()));
    }

    /// Returns what the runs at an endpoint take, those that are being stopped included.
    pub(super) fn used(&self, key: &Name) -> Resources {
        let there = |r: &&Run| r.endpoint == *key && r.state != RunState::Queued;
        let runs = self.runs.values().filter(there);
        runs.fold(Resources::default(), |sum, r| sum.plus(r.needs))
    }

    pub(super) fn call(&mut self, key: &Name, order: Command, pending: Pending) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        if let Some(endpoint) = self.endpoints.get(key) {
            self.calls.insert(number, pending);
            self.effects.push(Effect::Call(Call {
                id: number,
                address: endpoint.announced.address.clone(),
                instance: endpoint.announced.id.clone(),
                token: endpoint.token,
                timeout: endpoint.limit(self.now, &order),
                command: order,
            }));
        }
        number
    }
}
