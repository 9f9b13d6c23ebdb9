//! Entries: their links and messages, the tasks that they send, and the reports to them.

use std::time::Duration;
use std::time::Instant;

use slog::info;

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

use super::Effect;
use super::Runner;
use super::run::Run;
use super::run::RunState;
use crate::timing::ENTRY_SILENCE;
use crate::timing::PULSE;

/// Views go out no more often than this, except with the ends of tasks.
const VIEW_PAUSE: Duration = Duration::from_millis(8);
/// A change of the expected wait below this, and below a tenth of it, is not worth a message.
const SAME_WAIT_MS: u32 = 10;
/// A change of the pace below this part of it is not worth a message.
const SAME_PACE: f64 = 0.03;
/// Reports that an entry has not taken are kept for this long.
const REPORT_MEMORY: Duration = Duration::from_secs(10);

/// An entry that sends tasks.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) node: NodeRef,
    pub(super) linked: bool,
    /// Latest value of this agent's clock that the entry repeated.
    pub(super) heard_ms: u64,
    /// Last run received.
    pub(super) received: u64,
    /// Number of the last report.
    pub(super) number: u64,
    /// Reports that the entry has not taken yet.
    pub(super) untaken: Vec<(Instant, u64, Vec<TaskEnd>)>,
    /// Ends for the next report.
    pub(super) ends: Vec<TaskEnd>,
    /// Least pause between two views that the entry asked for.
    pub(super) view_pause: Duration,
    /// When the entry may be sent the next view.
    pub(super) view_due: Instant,
    /// Whether the endpoint has changed since the last view that the entry was sent.
    pub(super) outdated: bool,
}

impl Entry {
    /// Reports whether the end of a run waits to be taken by the entry.
    pub(super) fn reports(&self, run: u64) -> bool {
        let waiting = self.untaken.iter().flat_map(|u| u.2.iter());
        waiting.chain(&self.ends).any(|e| e.run == run)
    }
}

impl Runner {
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
            view_pause: VIEW_PAUSE,
            view_due: now,
            outdated: false,
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
        self.give_orders();
    }

    pub(super) fn pulsed(&mut self, name: &Name, pulse: &EntryPulse) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.heard_ms = entry.heard_ms.max(pulse.heard_ms);
            entry.view_pause = Duration::from_millis(pulse.view_pause_ms.into()).min(PULSE);
            entry.untaken.retain(|(_, number, _)| *number > pulse.taken);
        }
    }

    pub(super) fn start_tasks(&mut self, name: &Name, order: StartTasks) {
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
    pub(super) fn report(&mut self, name: &Name, run: u64, kind: Kind, ran_ms: u32) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.ends.push(TaskEnd {
                run,
                kind: kind.into(),
                ran_ms,
            });
        }
    }

    /// Stops a run, or takes it from the queue.
    pub(super) fn stop(&mut self, key: &(Name, u64), kind: Kind) {
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
    pub(super) fn cancel(&mut self, job: &str) {
        self.stop_where(Kind::Cancelled, |_, r| *r.job == *job);
    }

    /// Stops the runs that `which` selects by their entry, and returns their number.
    pub(super) fn stop_where(&mut self, kind: Kind, which: impl Fn(&Name, &Run) -> bool) -> usize {
        let chosen = self.runs.iter().filter(|((entry, _), r)| which(entry, r));
        let keys: Vec<_> = chosen.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.stop(key, kind);
        }
        keys.len()
    }

    pub(super) fn hand_back_queued(&mut self, reason: &str) {
        let tasks = self.stop_where(Kind::Stopped, |_, r| r.state == RunState::Queued);
        if tasks > 0 {
            info!(self.log, "queued tasks handed back"; "tasks" => tasks, "reason" => reason);
        }
    }

    /// Stops the tasks of an entry that has restarted, and forgets it.
    pub(super) fn drop_entry(&mut self, name: &Name) {
        self.stop_where(Kind::Stopped, |entry, _| entry == name);
        // Nobody waits for the ends of its runs.
        self.entries.remove(name);
    }

    pub(super) fn drop_silent_entries(&mut self) {
        let clock_ms = self.clock_ms();
        let limit = ENTRY_SILENCE.as_millis() as u64;
        let silent = |e: &Entry| clock_ms.saturating_sub(e.heard_ms) > limit;
        let names = self.entries.iter().filter(|(_, e)| silent(e));
        let names: Vec<Name> = names.map(|(n, _)| n.clone()).collect();
        for name in names {
            self.stop_where(Kind::Stopped, |entry, _| *entry == name);
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

    /// Sends the reports that are due, and views to the entries that lack a change and can take
    /// another one.
    pub(super) fn flush(&mut self) {
        let due = self.view_changed && self.now >= self.view_at;
        let with_ends = self.entries.values().any(|e| !e.ends.is_empty());
        if !due && !with_ends {
            return;
        }
        let view = self.view();
        if due && self.shown.as_ref().is_none_or(|s| differs(s, &view)) {
            for entry in self.entries.values_mut() {
                entry.outdated = true;
            }
            self.shown = Some(view.clone());
        }
        let clock_ms = self.clock_ms();
        for (name, entry) in &mut self.entries {
            let body = if entry.ends.is_empty() {
                if !due || !entry.outdated || self.now < entry.view_due {
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
            entry.outdated = false;
            entry.view_due = self.now + entry.view_pause;
            if entry.linked {
                self.effects.push(Effect::Send(name.clone(), body));
            }
        }
        if due {
            self.view_changed = self.entries.values().any(|e| e.linked && e.outdated);
            self.view_at = self.now + VIEW_PAUSE;
        }
    }

    /// Has every entry sent a view at once, since links must carry something now and then.
    pub(super) fn pulse(&mut self) {
        for entry in self.entries.values_mut() {
            entry.outdated = true;
            entry.view_due = self.now;
        }
        self.view_changed = true;
        self.view_at = self.now;
    }
}

/// Reports whether entries would place tasks differently by the later one of two views.
fn differs(old: &EndpointView, new: &EndpointView) -> bool {
    let wait = old.wait_ms.abs_diff(new.wait_ms);
    let pace = f64::from(old.pace.abs_diff(new.pace));
    let alike = EndpointView {
        wait_ms: old.wait_ms,
        pace: old.pace,
        ..new.clone()
    };
    alike != *old
        || wait > SAME_WAIT_MS.max(old.wait_ms / 10)
        || pace > f64::from(old.pace) * SAME_PACE
}
