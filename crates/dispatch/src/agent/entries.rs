//! Entries at the agent: links, incoming messages and outgoing reports.

use std::time::Duration;
use std::time::Instant;

use slog::info;

use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::AgentPulse;
use sassafras_wire::proto::CancelTasks;
use sassafras_wire::proto::EndpointView;
use sassafras_wire::proto::EntryPulse;
use sassafras_wire::proto::StartTasks;
use sassafras_wire::proto::TaskEnd;
use sassafras_wire::proto::TaskEnds;
use sassafras_wire::proto::task_end::Kind;

use super::Effect;
use super::Runner;
use super::evacuation::ZoneState;
use super::run::Run;
use super::run::RunState;
use super::run::Waiting;
use crate::timing::ENTRY_TIMEOUT;
use crate::timing::IDLE_PULSE_INTERVAL;
use crate::timing::PULSE_INTERVAL;
use crate::timing::TASK_LEASE;

/// Shortest interval between two views without ends of tasks.
const VIEW_INTERVAL: Duration = Duration::from_millis(8);
/// A change of the expected wait up to this, or up to a tenth of it, is not reported.
const MIN_WAIT_CHANGE_MS: u32 = 10;
/// A change of the pace up to this share of it is not reported.
const MIN_PACE_CHANGE: f64 = 0.03;
/// How long reports without acknowledgement are kept.
const REPORT_RETENTION: Duration = Duration::from_secs(10);

/// An entry that sends tasks.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) node: NodeRef,
    pub(super) linked: bool,
    /// Latest value of this agent's clock that the entry echoed.
    pub(super) echoed_ms: u64,
    /// Highest run number received.
    pub(super) last_received: u64,
    /// Number of the last report to this entry. Numbers rise over all entries.
    pub(super) report_number: u64,
    /// Reports that the entry has not acknowledged.
    pub(super) unacked_reports: Vec<(Instant, u64, Vec<TaskEnd>)>,
    /// Ends to send in the next report.
    pub(super) ends: Vec<TaskEnd>,
    /// Shortest interval between two views, as requested by the entry.
    pub(super) view_interval: Duration,
    /// Earliest time of the next view.
    pub(super) view_due: Instant,
    /// Whether the endpoint has changed since the last view sent.
    pub(super) view_outdated: bool,
}

impl Entry {
    /// Reports whether the entry watches this agent. The others get a view at their own interval
    /// only, whether it has changed or not.
    fn is_watching(&self) -> bool {
        self.view_interval <= PULSE_INTERVAL
    }

    /// Reports whether the end of a run is still to be acknowledged by the entry.
    pub(super) fn has_report(&self, run: u64) -> bool {
        let waiting = self.unacked_reports.iter().flat_map(|u| u.2.iter());
        waiting.chain(&self.ends).any(|e| e.run == run)
    }
}

impl Runner {
    /// Handles a new link from an entry.
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
            echoed_ms: 0,
            last_received: 0,
            // An entry ignores numbers up to the last one that it has received, also if this agent
            // has removed it meanwhile.
            report_number: self.last_report,
            unacked_reports: Vec::new(),
            ends: Vec::new(),
            view_interval: VIEW_INTERVAL,
            view_due: now,
            view_outdated: false,
        });
        entry.linked = true;
        info!(self.log, "entry link up"; "entry" => %name);
        let (number, received) = (entry.report_number, entry.last_received);
        let unacked_reports: Vec<TaskEnd> = entry
            .unacked_reports
            .iter()
            .flat_map(|u| u.2.clone())
            .collect();
        let view = Some(self.view());
        let clock_ms = self.clock_ms();
        let body = if unacked_reports.is_empty() {
            Body::AgentPulse(AgentPulse {
                clock_ms,
                view,
                received,
            })
        } else {
            Body::TaskEnds(TaskEnds {
                number,
                ends: unacked_reports,
                view,
                received,
                clock_ms,
            })
        };
        self.effects.push(Effect::Send(name, body));
    }

    /// Handles the loss of the link from an entry. Its tasks keep running until the entry has
    /// been silent for [`ENTRY_TIMEOUT`].
    pub fn entry_down(&mut self, now: Instant, name: &Name) {
        self.now = now;
        if let Some(entry) = self.entries.get_mut(name) {
            entry.linked = false;
            info!(self.log, "entry link down"; "entry" => %name);
        }
    }

    /// Handles a message from an entry.
    pub fn receive(&mut self, now: Instant, name: &Name, body: Body) {
        self.now = now;
        match body {
            Body::EntryPulse(pulse) => self.handle_pulse(name, &pulse),
            Body::StartTasks(message) => self.queue_tasks(name, message),
            Body::StopTasks(message) => {
                for run in message.runs {
                    self.stop(&(name.clone(), run), Kind::Stopped);
                }
            }
            Body::CancelTasks(message) => {
                self.cancel(&message.job);
                if message.relay {
                    self.relay_cancellation(name, message.job);
                }
            }
            Body::Resume(resume) => {
                let known = |run: &u64| {
                    let reported = self.entries.get(name).is_some_and(|e| e.has_report(*run));
                    reported || self.runs.contains_key(&(name.clone(), *run))
                };
                let unknown: Vec<u64> = resume.runs.iter().copied().filter(|r| !known(r)).collect();
                for run in unknown {
                    info!(self.log, "task returned as not run"; "entry" => %name, "run" => run,
                        "reason" => "it was not received");
                    self.report(name, run, Kind::NotRun, 0);
                }
            }
            _ => {}
        }
        self.send_commands();
    }

    /// Records what an entry has received, and the view interval that it asks for.
    pub(super) fn handle_pulse(&mut self, name: &Name, pulse: &EntryPulse) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.echoed_ms = entry.echoed_ms.max(pulse.heard_ms);
            let watching = entry.is_watching();
            entry.view_interval =
                Duration::from_millis(pulse.view_pause_ms.into()).min(IDLE_PULSE_INTERVAL);
            if entry.is_watching() && !watching {
                // The entry has a job for which it needs the view now.
                entry.view_outdated = true;
                entry.view_due = self.now;
                self.view_changed = true;
                self.view_at = self.now;
            }
            entry
                .unacked_reports
                .retain(|(_, number, _)| *number > pulse.taken);
        }
    }

    /// Queues the tasks of a message, or returns them if they cannot be run here.
    pub(super) fn queue_tasks(&mut self, name: &Name, message: StartTasks) {
        let clock_ms = self.clock_ms();
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.echoed_ms = entry.echoed_ms.max(message.heard_ms);
        let last = message.tasks.iter().map(|t| t.run).max();
        entry.last_received = entry.last_received.max(last.unwrap_or(0));
        let age = clock_ms.saturating_sub(message.heard_ms);
        let stale = age > ENTRY_TIMEOUT.as_millis() as u64;
        let order = message.order();
        let spec: std::sync::Arc<str> = message.spec.into();
        let waiting = Waiting {
            priority: message.priority,
            order,
            deadline: self.now + Duration::from_millis(message.wait_ms.into()),
        };
        let placed_at = Name::from(message.endpoint);
        let refusal = if stale {
            Some("the start message arrived too late")
        } else if self.draining {
            Some("the agent is shutting down")
        } else if self.zone_state == ZoneState::Evacuated {
            Some("the zone is evacuated")
        } else if self.current.is_none() {
            Some("no endpoint accepts tasks")
        } else if self.current.as_ref() != Some(&placed_at) {
            Some("another endpoint has taken the place of the one chosen")
        } else {
            None
        };
        for start in message.tasks {
            let key = (name.clone(), start.run);
            if let Some(reason) = refusal {
                info!(self.log, "task rejected"; "task" => start.task, "entry" => %name,
                    "reason" => reason, "age_ms" => age);
                self.report(name, start.run, Kind::NotRun, 0);
                continue;
            }
            let run = Run::new(self.now, &start, &placed_at, &spec, waiting);
            self.runs.insert(key, run);
        }
        self.view_changed = true;
    }

    /// Adds the end of a run to the next report to an entry.
    pub(super) fn report(&mut self, name: &Name, run: u64, kind: Kind, ran_ms: u32) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.ends.push(TaskEnd {
                run,
                kind: kind.into(),
                ran_ms,
            });
        }
    }

    /// Removes a run and returns its task to the entry as not run.
    pub(super) fn return_task(&mut self, key: &(Name, u64), reason: &str) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let waited = self.now.saturating_duration_since(run.received);
        info!(self.log, "task returned as not run"; "task" => %run.task, "entry" => %key.0,
            "run" => key.1, "attempt" => run.attempt, "reason" => reason, "tries" => run.tries,
            "waited_ms" => waited.as_millis() as u64);
        metrics::counter!("agent_returned", "reason" => reason.to_owned()).increment(1);
        self.report(&key.0, key.1, Kind::NotRun, 0);
        self.view_changed = true;
    }

    /// Stops a run, or removes it from the queue.
    pub(super) fn stop(&mut self, key: &(Name, u64), kind: Kind) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match &run.state {
            RunState::Queued => {
                if kind == Kind::Cancelled {
                    self.runs.remove(key);
                    self.report(&key.0, key.1, kind, 0);
                } else {
                    self.return_task(key, "it was still queued");
                }
            }
            RunState::Stopping { .. } => {}
            _ => {
                info!(self.log, "stopping task"; "task" => %run.task, "attempt" => run.attempt,
                    "kind" => kind.as_str_name());
                run.state = RunState::Stopping {
                    kind,
                    since: self.now,
                    retry_at: self.now,
                };
                self.send_stops();
            }
        }
        self.view_changed = true;
    }

    /// Stops all runs of a job.
    pub(super) fn cancel(&mut self, job: &str) {
        self.stop_where(Kind::Cancelled, |_, r| *r.job == *job);
    }

    /// Passes the cancellation of a job on to the other entries.
    fn relay_cancellation(&mut self, from: &Name, job: String) {
        let message = Body::CancelTasks(CancelTasks { job, relay: false });
        let others = self.entries.iter();
        let others = others.filter(|(name, e)| e.linked && *name != from);
        for (name, _) in others {
            let send = Effect::Send(name.clone(), message.clone());
            self.effects.push(send);
        }
    }

    /// Stops the runs selected by `predicate`, and returns their number.
    pub(super) fn stop_where(
        &mut self,
        kind: Kind,
        predicate: impl Fn(&Name, &Run) -> bool,
    ) -> usize {
        let selected = self
            .runs
            .iter()
            .filter(|((entry, _), r)| predicate(entry, r));
        let keys: Vec<_> = selected.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.stop(key, kind);
        }
        keys.len()
    }

    /// Returns the queued tasks to their entries that were not placed at `endpoint`.
    pub(super) fn return_queued(&mut self, endpoint: Option<&Name>, reason: &str) {
        let elsewhere = |r: &Run| endpoint != Some(&r.placed_at);
        let tasks = self.stop_where(Kind::Stopped, |_, r| {
            r.state == RunState::Queued && elsewhere(r)
        });
        if tasks > 0 {
            info!(self.log, "queued tasks returned to entries"; "tasks" => tasks,
                "reason" => reason);
        }
    }

    /// Stops the tasks of an entry that has restarted, and removes it.
    pub(super) fn drop_entry(&mut self, name: &Name) {
        self.stop_where(Kind::Stopped, |entry, _| entry == name);
        // The new process does not know these runs, so their ends are not reported.
        self.entries.remove(name);
    }

    /// Returns the time after which an entry counts as silent unless it echoes a later clock value.
    pub(super) fn silent_from(&self, entry: &Entry) -> Instant {
        let echoed = Duration::from_millis(entry.echoed_ms.saturating_sub(1));
        self.start + echoed + ENTRY_TIMEOUT
    }

    /// Reports whether an entry may still wait for the tasks that it has sent. Another run of them
    /// may have been started elsewhere if it is silent, also if no timer has noticed it yet.
    pub(super) fn is_heard(&self, name: &Name) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|e| self.now <= self.silent_from(e))
    }

    /// Returns how far the leases of an endpoint may reach: `TASK_LEASE` beyond the time at which
    /// the first of its runs has to be stopped. Entries rely on it, see [`crate::RUN_EXPIRY`].
    pub(super) fn lease_limit(&self, key: &Name) -> Option<Instant> {
        let at_endpoint = |r: &Run| r.endpoint == *key && r.state != RunState::Queued;
        let runs = self.runs.iter().filter(|(_, r)| at_endpoint(r));
        let stop = runs.map(|((entry, _), r)| match r.state {
            RunState::Stopping { since, .. } => since,
            _ => self
                .entries
                .get(entry)
                .map_or(self.now, |e| self.silent_from(e)),
        });
        stop.min().map(|at| at + TASK_LEASE)
    }

    /// Stops the tasks of silent entries, and drops reports older than `REPORT_RETENTION`. Removes
    /// silent entries that have no link, no runs and no reports that are due or unacknowledged.
    pub(super) fn drop_silent_entries(&mut self) {
        let names = self.entries.keys().filter(|n| !self.is_heard(n));
        let silent: FastSet<Name> = names.cloned().collect();
        self.stop_where(Kind::Stopped, |entry, _| silent.contains(entry));
        for entry in self.entries.values_mut() {
            let old = |at: &Instant| self.now.saturating_duration_since(*at) > REPORT_RETENTION;
            entry.unacked_reports.retain(|(at, ..)| !old(at));
        }
        let runs = &self.runs;
        self.entries.retain(|name, e| {
            let reported = e.ends.is_empty() && e.unacked_reports.is_empty();
            let removable = !e.linked && silent.contains(name) && reported;
            !removable || runs.keys().any(|(entry, _)| entry == name)
        });
    }

    /// Sends the reports that are due, and the view to entries that have an outdated one and whose
    /// view interval has passed.
    pub(super) fn flush(&mut self) {
        let due = self.view_changed && self.now >= self.view_at;
        let with_ends = self.entries.values().any(|e| !e.ends.is_empty());
        if !due && !with_ends {
            return;
        }
        let view = self.view();
        if due
            && self
                .last_view
                .as_ref()
                .is_none_or(|s| differ_significantly(s, &view))
        {
            for entry in self.entries.values_mut() {
                entry.view_outdated = true;
            }
            self.last_view = Some(view.clone());
        }
        let clock_ms = self.clock_ms();
        for (name, entry) in &mut self.entries {
            let body = if entry.ends.is_empty() {
                if !due || !entry.view_outdated || self.now < entry.view_due {
                    continue;
                }
                Body::AgentPulse(AgentPulse {
                    clock_ms,
                    view: Some(view.clone()),
                    received: entry.last_received,
                })
            } else {
                self.last_report += 1;
                entry.report_number = self.last_report;
                let ends = std::mem::take(&mut entry.ends);
                entry
                    .unacked_reports
                    .push((self.now, entry.report_number, ends.clone()));
                Body::TaskEnds(TaskEnds {
                    number: entry.report_number,
                    ends,
                    view: Some(view.clone()),
                    received: entry.last_received,
                    clock_ms,
                })
            };
            entry.view_outdated = false;
            entry.view_due = self.now + entry.view_interval;
            if entry.linked {
                self.effects.push(Effect::Send(name.clone(), body));
            }
        }
        if due {
            let outdated = |e: &Entry| e.linked && e.is_watching() && e.view_outdated;
            self.view_changed = self.entries.values().any(outdated);
            self.view_at = self.now + VIEW_INTERVAL;
        }
    }

    /// Sends the view to the watching entries, and to others at their interval, as the pulse that
    /// shows that the link works.
    pub(super) fn send_pulse(&mut self) {
        let now = self.now;
        let entries = self.entries.values_mut();
        for entry in entries.filter(|e| e.is_watching() || now >= e.view_due) {
            entry.view_outdated = true;
            entry.view_due = self.now;
        }
        self.view_changed = true;
        self.view_at = self.now;
    }
}

/// Reports whether two views differ enough to change placement.
fn differ_significantly(old: &EndpointView, new: &EndpointView) -> bool {
    let wait = old.wait_ms.abs_diff(new.wait_ms);
    let pace = f64::from(old.pace.abs_diff(new.pace));
    let same = EndpointView {
        wait_ms: old.wait_ms,
        waits: old.waits.clone(),
        pace: old.pace,
        ..new.clone()
    };
    let waits_differ = (0..old.waits.len().max(new.waits.len())).any(|level| {
        let (old, new) = (wait_at(&old.waits, level), wait_at(&new.waits, level));
        old.abs_diff(new) > MIN_WAIT_CHANGE_MS.max(old / 10)
    });
    same != *old
        || waits_differ
        || wait > MIN_WAIT_CHANGE_MS.max(old.wait_ms / 10)
        || pace > f64::from(old.pace) * MIN_PACE_CHANGE
}

/// Returns the expected wait at a priority. The last wait holds for lower priorities too.
fn wait_at(waits: &[u32], level: usize) -> u32 {
    waits.get(level).or(waits.last()).copied().unwrap_or(0)
}
