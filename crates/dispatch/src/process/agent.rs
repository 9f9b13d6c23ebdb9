//! The event loop of an agent.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::mpsc;

use sassafras_config::IniDoc;
use sassafras_runtime::CommonSettings;
use sassafras_runtime::ConnId;
use sassafras_runtime::Context;
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

use super::MAX_EVENTS;
use super::until;
use crate::agent::Effect;
use crate::agent::Runner;
use crate::agent::call::Announcement;
use crate::agent::call::Call;
use crate::agent::call::Response;
use crate::session::Session;

/// Part of the drain that is left for the runs that were stopped at its end to be reported.
const STOP_TIME: Duration = Duration::from_millis(400);

/// Settings of an agent for best-effort jobs.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings that every process has.
    pub common: CommonSettings,
    /// Longest time from the request to stop to the end of the process.
    pub drain: Duration,
}

impl AgentSettings {
    /// Takes the settings of an agent.
    ///
    /// # Errors
    ///
    /// Names the file, line and key of the first fault, and what is accepted.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let common = CommonSettings::load(doc)?;
        let drain = super::take_drain(doc, "agent")?;
        Ok(Self { common, drain })
    }
}

/// What an agent hears of its endpoint.
#[derive(Debug)]
pub enum AgentEvent {
    /// An endpoint announced itself.
    Announced(Announcement),
    /// The endpoint with this id leaves now.
    Left(Name),
    /// The answer to the call with this number.
    Response(u64, Response),
}

struct Loop {
    log: slog::Logger,
    clock: Arc<dyn Clock>,
    net: Net,
    session: Session,
    runner: Runner,
    /// Links from entries, by the entries' names.
    links: FastMap<Name, ConnId>,
    entries: FastMap<ConnId, Name>,
    calls: mpsc::UnboundedSender<Call>,
}

/// Runs an agent until it is asked to stop and its tasks have ended.
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
    let (net, mut events, session) = super::open(&settings.common, &ctx, Role::Agent);
    net.listen(settings.common.listen).await?;
    let mut agent = Loop {
        log: ctx.log.clone(),
        clock: Arc::clone(&ctx.clock),
        net,
        session,
        runner: Runner::new(ctx.clock.now(), ctx.clock.unix_ms(), ctx.log.clone()),
        links: FastMap::default(),
        entries: FastMap::default(),
        calls,
    };
    let (mut stop, mut seeds) = (ctx.stop, ctx.seeds);
    let mut stopping = None;
    let mut cut_short = false;
    loop {
        let now = agent.clock.now();
        if let Some(since) = stopping {
            if agent.runner.settled() || now >= since + settings.drain {
                break;
            }
            if !cut_short && now + STOP_TIME >= since + settings.drain {
                cut_short = true;
                agent.runner.stop_all(now);
            }
        }
        let deadlines = [agent.runner.deadline(), agent.session.deadline()];
        tokio::select! {
            event = events.next() => {
                agent.net_event(event);
                for _ in 1..MAX_EVENTS {
                    let Some(event) = events.try_next() else { break };
                    agent.net_event(event);
                }
            }
            Some(event) = endpoint.recv() => agent.endpoint_event(event),
            () = stop.wait(), if stopping.is_none() => {
                let now = agent.clock.now();
                info!(agent.log, "stopping"; "runs" => agent.runner.pending());
                agent.session.set_state(now, NodeState::Leaving);
                agent.runner.leave(now);
                stopping = Some(now);
            }
            Ok(()) = seeds.changed() => {
                let seeds = seeds.borrow_and_update().clone();
                agent.session.set_seeds(seeds);
            }
            () = tokio::time::sleep(until(now, &deadlines)) => {}
        }
        agent.step();
    }
    info!(agent.log, "stopped"; "runs" => agent.runner.pending());
    Ok(())
}

impl Loop {
    fn net_event(&mut self, event: NetEvent) {
        let now = self.clock.now();
        let event = match self.session.client().handle(now, event) {
            Handled::Control(news) => {
                for event in news {
                    self.session.handle(now, event);
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
                if let Some(old) = self.links.insert(name.clone(), conn) {
                    self.entries.remove(&old);
                    self.net.close(old);
                }
                self.entries.insert(conn, name);
                self.runner.entry_up(now, peer.node);
            }
            NetEvent::Down { conn } => {
                if let Some(name) = self.entries.remove(&conn) {
                    self.links.remove(&name);
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

    fn endpoint_event(&mut self, event: AgentEvent) {
        let now = self.clock.now();
        match event {
            AgentEvent::Announced(announcement) => {
                self.runner.announce(now, announcement);
            }
            AgentEvent::Left(id) => self.runner.endpoint_left(now, &id),
            AgentEvent::Response(number, answer) => self.runner.answered(now, number, answer),
        }
    }

    /// Lets time pass and carries out the effects of what happened.
    fn step(&mut self) {
        let now = self.clock.now();
        if now >= self.session.deadline() {
            for event in self.session.tick(now) {
                self.session.handle(now, event);
            }
        }
        if now >= self.runner.deadline() {
            self.runner.tick(now);
        }
        for effect in self.runner.effects() {
            match effect {
                Effect::Send(name, body) => {
                    if let Some(conn) = self.links.get(&name) {
                        let frame = Frame {
                            request: 0,
                            reply: false,
                            body: Some(body),
                        };
                        self.net.send(*conn, frame);
                    }
                }
                // The caller of the endpoint lives as long as this loop.
                Effect::Call(call) => drop(self.calls.send(call)),
            }
        }
    }
}
