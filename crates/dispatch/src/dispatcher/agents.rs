//! Agents at the dispatcher: their links, views and reports.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::AgentPulse;
use sassafras_wire::proto::EndpointView;
use sassafras_wire::proto::EntryPulse;
use sassafras_wire::proto::Resume;
use sassafras_wire::proto::TaskEnds;
use sassafras_wire::proto::task_end::Kind;

use super::Dispatcher;
use super::Effect;
use crate::host::Host;
use crate::host::View;

/// A link that carried nothing for this long is closed and opened again: five pulses.
const LINK_SILENCE: Duration = Duration::from_millis(600);
/// Processor time that an entry spends on one view, on a full core.
const VIEW_COST: Duration = Duration::from_micros(20);
/// Part of an entry's processor that views may take.
const VIEW_SHARE: f64 = 0.2;

impl Dispatcher {
    /// Notes a link to an agent.
    pub fn agent_up(&mut self, now: Instant, node: NodeRef, zone: Name) {
        self.advance(now);
        let name = node.name.clone();
        info!(self.log, "agent linked"; "agent" => %name);
        let replaced = self.hosts.get(&name).is_some_and(|h| h.node != node);
        if replaced {
            // The new process does not know the runs of the earlier one, which end by
            // themselves.
            if let Some(host) = self.hosts.get_mut(&name) {
                host.replace(node.clone());
            }
        }
        let host = self.hosts.entry(name.clone());
        let host = host.or_insert_with(|| Host::new(now, node, zone));
        host.linked = true;
        host.heard = now;
        let runs = host.runs.keys().copied().collect();
        let resume = Body::Resume(Resume { runs });
        self.effects.push(Effect::Send(name.clone(), resume));
        self.pulse(&name);
    }

    /// Notes that the link to an agent is lost.
    pub fn agent_down(&mut self, now: Instant, name: &Name) {
        self.advance(now);
        if let Some(host) = self.hosts.get_mut(name) {
            host.linked = false;
            warn!(self.log, "agent link lost"; "agent" => %name, "runs" => host.runs.len(),
                "heard_ms" => now.saturating_duration_since(host.heard).as_millis() as u64);
        }
    }

    /// Forgets an agent that left the system.
    pub fn agent_gone(&mut self, now: Instant, name: &Name) {
        self.advance(now);
        let idle = |h: &Host| !h.linked && h.runs.is_empty() && h.orphans.is_empty();
        if self.hosts.get(name).is_some_and(idle) {
            info!(self.log, "agent gone"; "agent" => %name);
            self.hosts.remove(name);
        }
    }

    /// Takes a message of an agent.
    pub fn receive(&mut self, now: Instant, name: &Name, body: Body) {
        self.advance(now);
        match body {
            Body::AgentPulse(pulse) => self.pulsed(name, pulse),
            Body::TaskEnds(ends) => self.ended(name, ends),
            _ => {}
        }
    }

    fn pulsed(&mut self, name: &Name, pulse: AgentPulse) {
        let view = pulse.view.unwrap_or_default();
        self.observe(name, pulse.clock_ms, pulse.received, view);
        self.place_waiting();
    }

    fn observe(&mut self, name: &Name, clock_ms: u64, received: u64, view: EndpointView) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.heard = self.now;
        host.clock_ms = host.clock_ms.max(clock_ms);
        host.received = host.received.max(received);
        let view = View::from(view);
        if view.suspect != host.view.suspect || view.pool != host.view.pool {
            info!(self.log, "endpoint changed"; "agent" => %name, "endpoint" => %view.endpoint,
                "usable" => view.pool.is_some(), "suspect" => view.suspect, "pace" => view.pace);
        }
        host.view = view;
    }

    fn ended(&mut self, name: &Name, report: TaskEnds) {
        let view = report.view.unwrap_or_default();
        self.observe(name, report.clock_ms, report.received, view);
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if report.number != 0 && report.number <= host.taken {
            return;
        }
        host.taken = host.taken.max(report.number);
        let mut ended = Vec::new();
        for end in report.ends {
            if let Some(sent) = host.runs.remove(&end.run) {
                ended.push((sent, end.kind(), end.ran_ms));
            }
        }
        for (sent, kind, ran_ms) in ended {
            self.task_ended(name, &sent, kind, ran_ms);
        }
        self.place_waiting();
    }

    /// Returns the least pause between two views of an agent at which the views of all agents
    /// take no more than their part of the processor.
    fn view_pause(&self) -> Duration {
        let cost = VIEW_COST * self.hosts.len() as u32;
        cost.div_f64(VIEW_SHARE * self.site.processor)
    }

    pub(super) fn pulse(&mut self, name: &Name) {
        let view_pause = self.view_pause();
        let Some(host) = self.hosts.get(name).filter(|h| h.linked) else {
            return;
        };
        let pulse = EntryPulse {
            heard_ms: host.clock_ms,
            taken: host.taken,
            view_pause_ms: view_pause.as_millis() as u32,
        };
        let send = Effect::Send(name.clone(), Body::EntryPulse(pulse));
        self.effects.push(send);
    }

    /// Reopens silent links, and takes the runs at agents that were silent for long as lost.
    pub(super) fn sweep(&mut self) {
        let mut lost = Vec::new();
        for (name, host) in &mut self.hosts {
            let silence = self.now.saturating_duration_since(host.heard);
            if host.linked && silence >= LINK_SILENCE {
                warn!(self.log, "agent silent"; "agent" => %name,
                    "ms" => silence.as_millis() as u64);
                host.linked = false;
                self.effects.push(Effect::Reopen(name.clone()));
            }
            for sent in host.take_gone(self.now) {
                warn!(self.log, "run lost"; "agent" => %name, "job" => sent.job,
                    "silence_ms" => silence.as_millis() as u64);
                lost.push((name.clone(), sent));
            }
        }
        for (agent, sent) in lost {
            self.task_ended(&agent, &sent, Kind::Lost, 0);
        }
    }
}
