//! The event loop of an entry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

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
use sassafras_wire::proto::CancelTasks;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;

use super::MAX_EVENTS;
use super::until;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Effect;
use crate::dispatcher::Site;
use crate::dispatcher::Submission;
use crate::job::Outcome;
use crate::routes::Routes;
use crate::session::Session;
use crate::session::SessionEvent;

/// The start of the names under which agents are dialled.
const DIAL_PREFIX: &str = "agent/";
/// A balancer that asks once a second and needs two misses sends nothing new after this time.
const DEFAULT_LINGER_MS: u64 = 2_600;

/// Settings of an entry for best-effort jobs.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings that every process has.
    pub common: CommonSettings,
    /// Factor on the run time of tasks away from their data.
    pub remote: f64,
    /// The part of a processor core that the process may use.
    pub processor: f64,
    /// Longest time from the request to stop to the end of the process.
    pub drain: Duration,
    /// How long requests are taken after the request to stop, until the balancer has noticed.
    pub linger: Duration,
}

impl EntrySettings {
    /// Takes the settings of an entry.
    ///
    /// # Errors
    ///
    /// Names the file, line and key of the first fault, and what is accepted.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let common = CommonSettings::load(doc)?;
        let accepted = "a factor from 1 to 100";
        let remote = doc.take_or("dispatch", "remote_factor", accepted, 1.5, |t| {
            t.parse().ok().filter(|f| (1.0..=100.0).contains(f))
        })?;
        let accepted = "a part of a core, above 0 and up to 64";
        let processor = doc.take_or("dispatch", "processor", accepted, 1.0, |t| {
            t.parse().ok().filter(|p| *p > 0.0 && *p <= 64.0)
        })?;
        let drain = super::take_drain(doc, "entry")?;
        let linger = doc.take_ms("entry", "linger_ms", super::DRAIN_MS, DEFAULT_LINGER_MS)?;
        Ok(Self {
            common,
            remote,
            processor,
            drain,
            linger,
        })
    }
}

/// What callers ask of an entry.
#[derive(Debug)]
pub enum CallerRequest {
    /// Run a job; the answer is sent when it has ended.
    Submit(Submission, oneshot::Sender<Outcome>),
    /// The caller of a submission is gone.
    Abandon(u64),
    /// Cancel the job with this id, at whichever entry it is. Answers whether it is this one's.
    Cancel(Name, oneshot::Sender<bool>),
    /// Count the jobs of a route that wait for their first task.
    CountQueued(Name, oneshot::Sender<usize>),
}

/// What callers' connections need to know of an entry.
#[derive(Clone, Debug, Default)]
pub struct EntryStatus {
    /// The routes in force.
    pub routes: Arc<Routes>,
    /// Whether a job could be served.
    pub ready: bool,
    /// Whether the entry is about to stop.
    pub draining: bool,
}

struct Loop {
    log: slog::Logger,
    clock: Arc<dyn Clock>,
    net: Net,
    session: Session,
    dispatcher: Dispatcher,
    /// Links to agents, by the agents' names.
    links: FastMap<Name, ConnId>,
    agents: FastMap<ConnId, Name>,
    answers: FastMap<u64, oneshot::Sender<Outcome>>,
    status: watch::Sender<EntryStatus>,
}

/// Runs an entry until it is asked to stop and its jobs have ended.
///
/// # Errors
///
/// None so far; the result is what [`sassafras_runtime::main`] expects.
pub async fn run_entry(
    settings: EntrySettings,
    ctx: Context,
    mut requests: mpsc::Receiver<CallerRequest>,
    status: watch::Sender<EntryStatus>,
) -> Result<(), Error> {
    let (net, mut events, session) = super::open(&settings.common, &ctx, Role::Entry);
    let now = ctx.clock.now();
    let site = Site {
        zone: settings.common.zone.clone(),
        processor: settings.processor,
        remote: settings.remote,
    };
    let dispatcher = Dispatcher::new(now, site, random_u64(), ctx.log.clone());
    let mut entry = Loop {
        log: ctx.log.clone(),
        clock: Arc::clone(&ctx.clock),
        net,
        session,
        dispatcher,
        links: FastMap::default(),
        agents: FastMap::default(),
        answers: FastMap::default(),
        status,
    };
    let (mut stop, mut seeds) = (ctx.stop, ctx.seeds);
    let mut stopping: Option<Instant> = None;
    loop {
        let now = entry.clock.now();
        if let Some(since) = stopping {
            let lingered = now >= since + settings.linger;
            if (lingered && entry.dispatcher.pending() == 0) || now >= since + settings.drain {
                break;
            }
        }
        let deadlines = [entry.dispatcher.deadline(), entry.session.deadline()];
        tokio::select! {
            event = events.next() => {
                entry.net_event(event);
                for _ in 1..MAX_EVENTS {
                    let Some(event) = events.try_next() else { break };
                    entry.net_event(event);
                }
            }
            Some(request) = requests.recv() => entry.request(request),
            () = stop.wait(), if stopping.is_none() => {
                stopping = Some(entry.stop());
            }
            Ok(()) = seeds.changed() => {
                let seeds = seeds.borrow_and_update().clone();
                entry.session.set_seeds(seeds);
            }
            () = tokio::time::sleep(until(now, &deadlines)) => {}
        }
        entry.step();
    }
    info!(entry.log, "stopped"; "jobs" => entry.dispatcher.pending());
    Ok(())
}

impl Loop {
    fn stop(&mut self) -> Instant {
        let now = self.clock.now();
        info!(self.log, "stopping"; "jobs" => self.dispatcher.pending());
        self.session.set_state(now, NodeState::Leaving);
        self.status.send_modify(|s| {
            s.draining = true;
            s.ready = false;
        });
        now
    }

    fn net_event(&mut self, event: NetEvent) {
        let now = self.clock.now();
        let event = match self.session.client().handle(now, event) {
            Handled::Control(news) => {
                for event in news {
                    self.control_event(event);
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
                self.links.insert(name.clone(), conn);
                self.agents.insert(conn, name);
                self.dispatcher.agent_up(now, peer.node, peer.zone);
            }
            NetEvent::Down { conn } => {
                let Some(name) = self.agents.remove(&conn) else {
                    return;
                };
                if self.links.get(&name) == Some(&conn) {
                    self.links.remove(&name);
                    self.dispatcher.agent_down(now, &name);
                }
            }
            NetEvent::Frame { conn, frame } => {
                let name = self.agents.get(&conn);
                let current = name.filter(|n| self.links.get(*n) == Some(&conn));
                if let (Some(name), Some(body)) = (current.cloned(), frame.body) {
                    self.dispatcher.receive(now, &name, body);
                }
            }
        }
    }

    fn control_event(&mut self, event: sassafras_runtime::ControlEvent) {
        let now = self.clock.now();
        for news in self.session.handle(now, event) {
            match news {
                SessionEvent::Routing(table) => {
                    let routes = Arc::new(Routes::from(&table));
                    let names = routes.names();
                    self.dispatcher.keep_routes(|name| names.contains(name));
                    self.status.send_modify(|s| s.routes = routes);
                }
                SessionEvent::Agent(node, addr) => {
                    let name = Name::from(format!("{DIAL_PREFIX}{}", node.name));
                    if !self.links.contains_key(&node.name) {
                        self.net.dial(name, addr);
                    }
                }
                SessionEvent::AgentGone(name) => {
                    // An agent that control does not hear may still be linked.
                    if !self.links.contains_key(&name) {
                        self.net
                            .disconnect(&Name::from(format!("{DIAL_PREFIX}{name}")));
                        self.dispatcher.agent_gone(now, &name);
                    }
                }
            }
        }
    }

    fn request(&mut self, request: CallerRequest) {
        let now = self.clock.now();
        // An answer that nobody waits for any more is dropped with its channel.
        match request {
            CallerRequest::Submit(submission, answer) => {
                self.answers.insert(submission.ticket, answer);
                self.dispatcher.submit(now, submission);
            }
            CallerRequest::Abandon(ticket) => {
                self.answers.remove(&ticket);
                self.dispatcher.abandon(now, ticket);
            }
            CallerRequest::Cancel(id, answer) => {
                let own = self.dispatcher.cancel(now, &id);
                let order = Body::CancelTasks(CancelTasks {
                    job: id.to_string(),
                });
                for conn in self.links.values() {
                    self.send(*conn, order.clone());
                }
                let _ = answer.send(own);
            }
            CallerRequest::CountQueued(route, answer) => {
                let _ = answer.send(self.dispatcher.waiting(&route));
            }
        }
    }

    /// Lets time pass and carries out the effects of what happened.
    fn step(&mut self) {
        let now = self.clock.now();
        if now >= self.session.deadline() {
            for event in self.session.tick(now) {
                self.control_event(event);
            }
        }
        if now >= self.dispatcher.deadline() {
            self.dispatcher.tick(now);
        }
        for effect in self.dispatcher.effects() {
            match effect {
                Effect::Send(name, body) => {
                    if let Some(conn) = self.links.get(&name) {
                        self.send(*conn, body);
                    }
                }
                Effect::Reopen(name) => {
                    if let Some(conn) = self.links.remove(&name) {
                        self.net.close(conn);
                    }
                }
                Effect::Answer(ticket, outcome) => {
                    if let Some(answer) = self.answers.remove(&ticket) {
                        drop(answer.send(outcome));
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
            info!(self.log, "readiness changed"; "ready" => ready);
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
