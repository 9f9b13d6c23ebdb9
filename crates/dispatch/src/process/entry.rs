//! The event loop of an entry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use sassafras_config::DRAIN_RANGE_MS;
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
use sassafras_util::random_u64;
use sassafras_wire::Body;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;

use super::MAX_EVENT_BATCH;
use super::time_until;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::DispatcherConfig;
use crate::dispatcher::Effect;
use crate::dispatcher::Submission;
use crate::job::Outcome;
use crate::routes::Routes;
use crate::session::Session;
use crate::session::SessionEvent;

/// Accepted values of `overload`: the first come is the first served, or the highest priority.
const OVERLOAD_VALUES: &str = "arrival or priority";
/// Prefix of the names under which agents are dialled.
const DIAL_PREFIX: &str = "agent/";
/// Long enough for a load balancer that probes once a second and needs two failed probes.
const DEFAULT_LINGER_MS: u64 = 2_600;

/// Settings of an entry for best-effort jobs.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings common to all processes.
    pub common: CommonSettings,
    /// Factor on the run time of tasks away from the rack of their data.
    pub remote_factor: f64,
    /// Whether work waits and is refused by its priority and objective.
    pub by_priority: bool,
    /// Processor cores that the process may use.
    pub cores: f64,
    /// Longest time from the stop request to the end of the process.
    pub drain: Duration,
    /// How long requests are accepted after the stop request, until the load balancer has noticed.
    pub linger: Duration,
}

impl EntrySettings {
    /// Reads the settings of an entry.
    ///
    /// # Errors
    ///
    /// Fails on an invalid setting; the error names file, line, key and the accepted values.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let common = CommonSettings::load(doc)?;
        let accepted = "a factor from 1 to 100";
        let remote_factor = doc.take_or("dispatch", "remote_factor", accepted, 1.5, |t| {
            t.parse().ok().filter(|f| (1.0..=100.0).contains(f))
        })?;
        let accepted = "a part of a core, above 0 and up to 64";
        let cores = doc.take_or("dispatch", "processor", accepted, 1.0, |t| {
            t.parse().ok().filter(|p| *p > 0.0 && *p <= 64.0)
        })?;
        let by_priority = doc.take_or(
            "dispatch",
            "overload",
            OVERLOAD_VALUES,
            false,
            |t| match t {
                "arrival" => Some(false),
                "priority" => Some(true),
                _ => None,
            },
        )?;
        let drain = doc.take_drain("entry")?;
        let linger = doc.take_ms("entry", "linger_ms", DRAIN_RANGE_MS, DEFAULT_LINGER_MS)?;
        Ok(Self {
            common,
            remote_factor,
            by_priority,
            cores,
            drain,
            linger,
        })
    }
}

/// A request from a caller's connection.
#[derive(Debug)]
pub enum CallerRequest {
    /// Run a job and send its outcome.
    Submit(Submission, oneshot::Sender<Outcome>),
    /// The caller of the submission with this ticket has disconnected.
    Abandon(u64),
    /// Cancel the job with this id, at whichever entry it is. Sends whether it was pending at this one.
    Cancel(Name, oneshot::Sender<bool>),
    /// Cancel the job at this host and path if it is pending at this entry. Sends whether it was.
    CancelPending(Name, oneshot::Sender<bool>),
    /// Send the number of jobs of a route for which no task has started.
    CountQueued(Name, oneshot::Sender<usize>),
}

/// The state of an entry as needed by callers' connections.
#[derive(Clone, Debug, Default)]
pub struct EntryStatus {
    /// The routes in force.
    pub routes: Arc<Routes>,
    /// Whether jobs can be served.
    pub ready: bool,
    /// Whether the entry is stopping.
    pub draining: bool,
}

struct EventLoop {
    log: slog::Logger,
    clock: Arc<dyn Clock>,
    net: Net,
    session: Session,
    dispatcher: Dispatcher,
    /// Connections to agents, by name.
    conns: FastMap<Name, ConnId>,
    agents: FastMap<ConnId, Name>,
    /// Senders of outcomes to callers, by ticket.
    callers: FastMap<u64, oneshot::Sender<Outcome>>,
    status: watch::Sender<EntryStatus>,
}

/// Runs an entry until it is stopped and its jobs have ended or the drain time is over.
///
/// # Errors
///
/// Returns no errors at present; the type is that expected by [`sassafras_runtime::main`].
pub async fn run_entry(
    settings: EntrySettings,
    ctx: Context,
    mut requests: mpsc::Receiver<CallerRequest>,
    status: watch::Sender<EntryStatus>,
) -> Result<(), Error> {
    let (net, mut events, session) = super::connect(&settings.common, &ctx, Role::Entry);
    let now = ctx.clock.now();
    let config = DispatcherConfig {
        name: settings.common.name.clone(),
        zone: settings.common.zone.clone(),
        cores: settings.cores,
        remote_factor: settings.remote_factor,
        by_priority: settings.by_priority,
    };
    let dispatcher = Dispatcher::new(now, config, random_u64(), ctx.log.clone());
    let mut entry = EventLoop {
        log: ctx.log.clone(),
        clock: Arc::clone(&ctx.clock),
        net,
        session,
        dispatcher,
        conns: FastMap::default(),
        agents: FastMap::default(),
        callers: FastMap::default(),
        status,
    };
    let (mut stop, mut seeds) = (ctx.stop, ctx.seeds);
    let mut stopping: Option<Instant> = None;
    loop {
        let now = entry.clock.now();
        if let Some(since) = stopping {
            let lingered = now >= since + settings.linger;
            if (lingered && entry.dispatcher.pending_jobs() == 0) || now >= since + settings.drain {
                break;
            }
        }
        let deadlines = [entry.dispatcher.deadline(), entry.session.deadline()];
        tokio::select! {
            event = events.next() => {
                entry.handle_net(event);
                for _ in 1..MAX_EVENT_BATCH {
                    let Some(event) = events.try_next() else { break };
                    entry.handle_net(event);
                }
            }
            Some(request) = requests.recv() => entry.handle_request(request),
            () = stop.wait(), if stopping.is_none() => {
                stopping = Some(entry.start_draining());
            }
            Ok(()) = seeds.changed() => {
                let seeds = seeds.borrow_and_update().clone();
                entry.session.set_seeds(seeds);
            }
            () = tokio::time::sleep(time_until(now, &deadlines)) => {}
        }
        entry.step();
    }
    info!(entry.log, "stopped"; "jobs" => entry.dispatcher.pending_jobs());
    Ok(())
}

impl EventLoop {
    fn start_draining(&mut self) -> Instant {
        let now = self.clock.now();
        info!(self.log, "shutting down, draining"; "jobs" => self.dispatcher.pending_jobs());
        self.session.set_state(now, NodeState::Leaving);
        self.status.send_modify(|s| {
            s.draining = true;
            s.ready = false;
        });
        now
    }

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
            NetEvent::Up {
                conn,
                peer,
                dialled,
            } => {
                let expected = dialled.as_ref().and_then(|d| d.strip_prefix(DIAL_PREFIX));
                if peer.role != Role::Agent || expected != Some(&*peer.node.name) {
                    return self.net.close(conn);
                }
                let name = peer.node.name.clone();
                self.conns.insert(name.clone(), conn);
                self.agents.insert(conn, name);
                self.dispatcher.agent_up(now, peer.node, peer.zone);
            }
            NetEvent::Down { conn } => {
                let Some(name) = self.agents.remove(&conn) else {
                    return;
                };
                if self.conns.get(&name) == Some(&conn) {
                    self.conns.remove(&name);
                    self.dispatcher.agent_down(now, &name);
                }
            }
            NetEvent::Frame { conn, frame } => {
                let name = self.agents.get(&conn);
                let current = name.filter(|n| self.conns.get(*n) == Some(&conn));
                if let (Some(name), Some(body)) = (current.cloned(), frame.body) {
                    self.dispatcher.receive(now, &name, body);
                }
            }
        }
    }

    fn handle_control(&mut self, event: sassafras_runtime::ControlEvent) {
        let now = self.clock.now();
        for event in self.session.handle(now, event) {
            match event {
                SessionEvent::Routing(table) => {
                    let earlier = Arc::clone(&self.status.borrow().routes);
                    let routes = Arc::new(earlier.succeeded_by(&table, now));
                    let names = routes.names();
                    self.dispatcher.retain_routes(|name| names.contains(name));
                    self.status.send_modify(|s| s.routes = routes);
                }
                SessionEvent::Evacuated(zones) => self.dispatcher.set_evacuated(now, zones),
                SessionEvent::Agent(node, addr) => {
                    let name = Name::from(format!("{DIAL_PREFIX}{}", node.name));
                    if !self.conns.contains_key(&node.name) {
                        self.net.dial(name, addr);
                    }
                }
                SessionEvent::AgentGone(name) => {
                    // The control group may have removed an agent that is still linked.
                    if !self.conns.contains_key(&name) {
                        self.net
                            .disconnect(&Name::from(format!("{DIAL_PREFIX}{name}")));
                        self.dispatcher.agent_removed(now, &name);
                    }
                }
            }
        }
    }

    fn handle_request(&mut self, request: CallerRequest) {
        let now = self.clock.now();
        // Sends fail only if the caller no longer waits.
        match request {
            CallerRequest::Submit(submission, sender) => {
                self.callers.insert(submission.ticket, sender);
                self.dispatcher.submit(now, submission);
            }
            CallerRequest::Abandon(ticket) => {
                self.callers.remove(&ticket);
                self.dispatcher.abandon(now, ticket);
            }
            CallerRequest::Cancel(id, sender) => {
                let _ = sender.send(self.dispatcher.cancel(now, &id));
            }
            CallerRequest::CancelPending(address, sender) => {
                let id = self.dispatcher.job_at(&address);
                let _ = sender.send(id.is_some_and(|id| self.dispatcher.cancel(now, &id)));
            }
            CallerRequest::CountQueued(route, sender) => {
                let _ = sender.send(self.dispatcher.queued_jobs(&route));
            }
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
        if now >= self.dispatcher.deadline() {
            self.dispatcher.tick(now);
        }
        for effect in self.dispatcher.take_effects() {
            match effect {
                Effect::Send(name, body) => {
                    if let Some(conn) = self.conns.get(&name) {
                        self.send(*conn, body);
                    }
                }
                Effect::CloseLink(name) => {
                    if let Some(conn) = self.conns.remove(&name) {
                        self.net.close(conn);
                    }
                }
                Effect::Respond(ticket, outcome) => {
                    if let Some(sender) = self.callers.remove(&ticket) {
                        drop(sender.send(outcome));
                    }
                }
            }
        }
        let ready = self.dispatcher.ready();
        let status = self.status.borrow();
        let ready = ready && status.routes.version() > 0 && !status.draining;
        let changed = status.ready != ready;
        drop(status);
        if changed {
            info!(self.log, "entry readiness changed"; "ready" => ready);
            self.status.send_modify(|s| s.ready = ready);
        }
    }

    fn send(&self, conn: ConnId, body: Body) {
        let frame = Frame {
            request: 0,
            reply: false,
            body: Some(body),
        };
        self.net.send(conn, frame);
    }
}
