//! Links to agents, and their views and reports.

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
use sassafras_wire::proto::StopTasks;
use sassafras_wire::proto::TaskEnds;
use sassafras_wire::proto::task_end::Kind;

use super::Dispatcher;
use super::Effect;
use crate::host::Attention;
use crate::host::Host;
use crate::host::View;
use crate::timing::IDLE_PULSE_INTERVAL;

/// A link on which nothing was received for five pulse intervals is closed and opened again.
const LINK_TIMEOUT: Duration = Duration::from_millis(600);
impl Dispatcher {
    /// Handles a new link to an agent.
    pub fn agent_up(&mut self, now: Instant, node: NodeRef, zone: Name) {
        self.advance_clock(now);
        let name = node.name.clone();
        info!(self.log, "agent link up"; "agent" => %name);
        let replaced = self.hosts.get(&name).is_some_and(|h| h.node != node);
        if replaced {
            // The new process does not know the runs of the earlier one. They end when their
            // leases expire.
            if let Some(host) = self.hosts.get_mut(&name) {
                host.reset(node.clone());
            }
        }
        let host = self.hosts.entry(name.clone());
        let evacuated = self.evacuated.contains(&zone);
        let host = host.or_insert_with(|| Host::new(now, node, zone));
        host.evacuated = evacuated;
        host.linked = true;
        host.last_heard = now;
        host.attention = Attention::Waking(now);
        let runs = host.runs.keys().copied().collect();
        let resume = Body::Resume(Resume { runs });
        // Stops that were sent while the link was down are lost.
        let ended = host
            .runs
            .iter()
            .filter(|(_, r)| !self.jobs.contains_key(&r.job));
        let ended: Vec<u64> = ended.map(|(run, _)| *run).collect();
        self.effects.push(Effect::Send(name.clone(), resume));
        if !ended.is_empty() {
            info!(self.log, "stopping runs of ended jobs"; "agent" => %name, "runs" => ended.len());
            let stop = Body::StopTasks(StopTasks { runs: ended });
            self.effects.push(Effect::Send(name.clone(), stop));
        }
        self.set_outdated = true;
        self.send_pulse(&name);
    }

    /// Handles the loss of the link to an agent.
    pub fn agent_down(&mut self, now: Instant, name: &Name) {
        self.advance_clock(now);
        if let Some(host) = self.hosts.get_mut(name) {
            host.linked = false;
            self.set_outdated = true;
            warn!(self.log, "agent link down"; "agent" => %name, "runs" => host.runs.len(),
                "heard_ms" => now.saturating_duration_since(host.last_heard).as_millis() as u64);
        }
    }

    /// Removes an agent that has left the cluster, unless it is linked or may still run tasks.
    pub fn agent_removed(&mut self, now: Instant, name: &Name) {
        self.advance_clock(now);
        let idle = |h: &Host| !h.linked && h.runs.is_empty() && h.orphans.is_empty();
        if self.hosts.get(name).is_some_and(idle) {
            info!(self.log, "agent removed"; "agent" => %name);
            self.hosts.remove(name);
        }
    }

    /// Handles a message from an agent.
    pub fn receive(&mut self, now: Instant, name: &Name, body: Body) {
        self.advance_clock(now);
        match body {
            Body::AgentPulse(pulse) => self.handle_pulse(name, pulse),
            Body::TaskEnds(ends) => self.handle_ends(name, ends),
            Body::CancelTasks(message) => {
                self.cancel_here(now, &Name::from(message.job));
            }
            _ => {}
        }
    }

    fn handle_pulse(&mut self, name: &Name, pulse: AgentPulse) {
        let view = pulse.view.unwrap_or_default();
        self.update_host(name, pulse.clock_ms, pulse.received, view);
        self.admit_waiting();
        self.place_waiting();
    }

    fn update_host(&mut self, name: &Name, clock_ms: u64, received: u64, view: EndpointView) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.last_heard = self.now;
        if matches!(host.attention, Attention::Waking(_)) {
            host.attention = Attention::Watched;
        }
        host.clock_ms = host.clock_ms.max(clock_ms);
        host.last_counted = host.last_counted.max(received);
        let view = View::from(view);
        if view.suspect != host.view.suspect || view.pool != host.view.pool {
            info!(self.log, "endpoint status changed"; "agent" => %name,
                "endpoint" => %view.endpoint,
                "usable" => view.pool.is_some(), "suspect" => view.suspect, "pace" => view.pace);
        }
        host.view = view;
    }

    fn handle_ends(&mut self, name: &Name, report: TaskEnds) {
        let view = report.view.unwrap_or_default();
        self.update_host(name, report.clock_ms, report.received, view);
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if report.number != 0 && report.number <= host.last_report {
            return;
        }
        host.last_report = host.last_report.max(report.number);
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

    pub(super) fn send_pulse(&mut self, name: &Name) {
        let Some(host) = self.hosts.get_mut(name).filter(|h| h.linked) else {
            return;
        };
        host.pulsed_at = self.now;
        let view_interval = match host.attention {
            Attention::Idle => IDLE_PULSE_INTERVAL,
            _ => self.view_interval,
        };
        let pulse = EntryPulse {
            heard_ms: host.clock_ms,
            taken: host.last_report,
            view_pause_ms: view_interval.as_millis() as u32,
        };
        let send = Effect::Send(name.clone(), Body::EntryPulse(pulse));
        self.effects.push(send);
    }

    /// Closes the links of silent agents, and treats runs whose leases must have expired as lost.
    pub(super) fn check_silent_agents(&mut self) {
        let mut lost = Vec::new();
        for (name, host) in &mut self.hosts {
            let silence = self.now.saturating_duration_since(host.silent_since());
            let limit = match host.attention {
                Attention::Idle => IDLE_PULSE_INTERVAL + LINK_TIMEOUT,
                _ => LINK_TIMEOUT,
            };
            if host.linked && silence >= limit {
                warn!(self.log, "agent timed out, closing link"; "agent" => %name,
                    "ms" => silence.as_millis() as u64);
                host.linked = false;
                self.effects.push(Effect::CloseLink(name.clone()));
            }
            for sent in host.take_expired(self.now) {
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
