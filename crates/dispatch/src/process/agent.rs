//! The event loop of an agent.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use sassafras_config::IniDoc;
use sassafras_runtime::CommonSettings;
use sassafras_runtime::ConnId;
use sassafras_runtime::Context;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvent;
use sassafras_util::Clock;
use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;

use super::MAX_EVENT_BATCH;
use super::time_until;
use crate::agent::Effect;
use crate::agent::Runner;
use crate::agent::call::Announcement;
use crate::agent::call::Call;
use crate::agent::call::Response;
use crate::session::Session;
use crate::session::SessionEvent;

/// Time left at the end of the drain to report the runs that were stopped.
const REPORT_MARGIN: Duration = Duration::from_millis(400);

/// Accepted range of `max_lease_ms`.
const MAX_LEASE_RANGE_MS: std::ops::RangeInclusive<u64> = 1..=60_000;
const DEFAULT_MAX_LEASE_MS: u64 = 1_000;

/// Settings of an agent for best-effort jobs.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings common to all processes.
    pub common: CommonSettings,
    /// Longest time from the stop request to the end of the process.
    pub drain: Duration,
    /// Longest lease that endpoints grant.
    pub max_lease: Duration,
}

impl AgentSettings {
    /// Reads the settings of an agent.
    ///
    /// # Errors
    ///
    /// Fails on an invalid setting; the error names file, line, key and the accepted values.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let common = CommonSettings::load(doc)?;
        let drain = doc.take_drain("agent")?;
        let max_lease = doc.take_ms(
            "agent",
            "max_lease_ms",
            MAX_LEASE_RANGE_MS,
            DEFAULT_MAX_LEASE_MS,
        )?;
        Ok(Self {
            common,
            drain,
            max_lease,
        })
    }
}

/// An event from the endpoint's interface.
#[derive(Debug)]
pub enum AgentEvent {
    /// An endpoint announced itself. Sends whether the announcement was accepted.
    Announced(Announcement, oneshot::Sender<bool>),
    /// The endpoint with this id is leaving.
    Left(Name),
    /// The response to the call with this id.
    Response(u64, Response),
}

struct EventLoop {
    log: slog::Logger,
    clock: Arc<dyn Clock>,
    /// Availability zone of the agent and its endpoint.
    zone: Name,
    net: Net,
    session: Session,
    runner: Runner,
    /// Connections to entries, by name.
    conns: FastMap<Name, ConnId>,
    entries: FastMap<ConnId, Name>,
    calls: mpsc::UnboundedSender<Call>,
}

/// Runs an agent until it is stopped and its tasks have ended or the drain time is over.
///
/// # Errors
///
/// Fails when its address cannot be bound.
pub async fn run_agent(
    settings: AgentSettings,
    ctx: Context,
    mut endpoint: mpsc::Receiver<AgentEvent>,
    calls: mpsc::UnboundedSender<Call>,
) -> Result<(), Error> {
    let (net, mut events, session) = super::connect(&settings.common, &ctx, Role::Agent);
    net.listen(settings.common.listen).await?;
    let mut agent = EventLoop {
        log: ctx.log.clone(),
        clock: Arc::clone(&ctx.clock),
        zone: settings.common.zone.clone(),
        net,
        session,
        runner: Runner::new(
            ctx.clock.now(),
            ctx.clock.unix_ms(),
            settings.max_lease,
            ctx.log.clone(),
        ),
        conns: FastMap::default(),
        entries: FastMap::default(),
        calls,
    };
    let (mut stop, mut seeds) = (ctx.stop, ctx.seeds);
    let mut stopping = None;
    let mut stopped_all = false;
    loop {
        let now = agent.clock.now();
        if let Some(since) = stopping {
            if agent.runner.is_drained() || now >= since + settings.drain {
                break;
            }
            if !stopped_all && now + REPORT_MARGIN >= since + settings.drain {
                stopped_all = true;
                agent.runner.stop_all(now);
            }
        }
        let deadlines = [agent.runner.deadline(), agent.session.deadline()];
        tokio::select! {
            event = events.next() => {
                agent.handle_net(event);
                for _ in 1..MAX_EVENT_BATCH {
                    let Some(event) = events.try_next() else { break };
                    agent.handle_net(event);
                }
            }
            Some(event) = endpoint.recv() => agent.handle_endpoint(event),
            () = stop.wait(), if stopping.is_none() => {
                let now = agent.clock.now();
                info!(agent.log, "shutting down, draining"; "runs" => agent.runner.pending_runs());
                agent.session.set_state(now, NodeState::Leaving);
                agent.runner.drain(now);
                stopping = Some(now);
            }
            Ok(()) = seeds.changed() => {
                let seeds = seeds.borrow_and_update().clone();
                agent.session.set_seeds(seeds);
            }
            () = tokio::time::sleep(time_until(now, &deadlines)) => {}
        }
        agent.step();
    }
    info!(agent.log, "stopped"; "runs" => agent.runner.pending_runs());
    Ok(())
}

impl EventLoop {
    fn handle_net(&mut self, event: NetEvent) {
        let now = self.clock.now();
        let event = match self.session.client().handle(now, event) {
            Handled::Control(events) => {
                for event in events {
                    self.handle_control(event);
                }
                return;
            }
            Handled::Other(event) => event,
        };
        match event {
            NetEvent::Up { conn, peer, .. } => {
                if peer.role != Role::Entry {
                    return self.net.close(conn);
                }
                let name = peer.node.name.clone();
                if let Some(old) = self.conns.insert(name.clone(), conn) {
                    self.entries.remove(&old);
                    self.net.close(old);
                }
                self.entries.insert(conn, name);
                self.runner.entry_up(now, peer.node);
            }
            NetEvent::Down { conn } => {
                if let Some(name) = self.entries.remove(&conn) {
                    self.conns.remove(&name);
                    self.runner.entry_down(now, &name);
                }
            }
            NetEvent::Frame { conn, frame } => {
                if let (Some(name), Some(body)) = (self.entries.get(&conn).cloned(), frame.body) {
                    self.runner.receive(now, &name, body);
                }
            }
        }
    }

    fn handle_control(&mut self, event: ControlEvent) {
        for event in self.session.handle(self.clock.now(), event) {
            match event {
                SessionEvent::Routing(table) => {
                    let pools = table.pools.iter().map(|p| Name::from(p.name.as_str()));
                    self.runner.set_pools(pools.collect());
                }
                SessionEvent::Evacuated(zones) => {
                    let evacuated = zones.contains(&self.zone);
                    self.runner.set_evacuated(self.clock.now(), evacuated);
                }
                SessionEvent::Agent(..) | SessionEvent::AgentGone(_) => {}
            }
        }
    }

    fn handle_endpoint(&mut self, event: AgentEvent) {
        let now = self.clock.now();
        match event {
            AgentEvent::Announced(announcement, sender) => {
                let accepted = self.runner.announce(now, announcement);
                // Fails only if the endpoint no longer waits.
                let _ = sender.send(accepted);
            }
            AgentEvent::Left(id) => self.runner.endpoint_withdrawn(now, &id),
            AgentEvent::Response(id, response) => self.runner.handle_response(now, id, response),
        }
    }

    /// Runs the timers that are due and carries out the effects.
    fn step(&mut self) {
        let now = self.clock.now();
        if now >= self.session.deadline() {
            for event in self.session.tick(now) {
                self.handle_control(event);
            }
        }
        if now >= self.runner.deadline() {
            self.runner.tick(now);
        }
        for effect in self.runner.take_effects() {
            match effect {
                Effect::Send(name, body) => {
                    if let Some(conn) = self.conns.get(&name) {
                        let frame = Frame {
                            request: 0,
                            reply: false,
                            body: Some(body),
                        };
                        self.net.send(*conn, frame);
                    }
                }
                // The receiver lives as long as this loop, so the send cannot fail.
                Effect::Call(call) => drop(self.calls.send(call)),
            }
        }
    }
}
