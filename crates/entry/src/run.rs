//! The event loop: HTTP, links and control around the engine.

use std::time::Duration;

use salvo::Listener as _;
use salvo::Router;
use salvo::Server;
use salvo::conn::Acceptor as _;
use salvo::conn::TcpListener;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use sassafras_runtime::ConnId;
use sassafras_runtime::Context;
use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvent;
use sassafras_runtime::NetEvents;
use sassafras_runtime::Routed;
use sassafras_runtime::Ticket;
use sassafras_runtime::serve_metrics;
use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Role;

use crate::engine::Caller;
use crate::engine::Effect;
use crate::engine::Engine;
use crate::engine::Event;
use crate::engine::JobRequest;
use crate::engine::Options;
use crate::http::Api;
use crate::http::Call;
use crate::http::Verb;
use crate::response::Response;
use crate::settings::Settings;

/// Calls that may wait for the loop before callers' bodies are read no further.
const CALL_QUEUE: usize = 1024;
/// Events taken from one source before the others have their turn.
const EVENT_BATCH: usize = 64;
/// Time for the last answers to reach their callers.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Runs an entry until it was asked to stop and the jobs that it owns have ended.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run(settings: Settings, ctx: Context) -> Result<(), Error> {
    let common = &settings.common;
    let node = NodeRef {
        name: common.name.clone(),
        incarnation: ctx.clock.unix_ms(),
    };
    let (net, events) = Net::new(
        node.clone(),
        Role::Entry,
        common.zone.clone(),
        common.key.clone(),
        ctx.log.clone(),
    );
    net.listen(common.listen).await?;
    if let Some(addr) = common.metrics {
        serve_metrics(addr).await?;
    }
    let (calls, inbox) = mpsc::channel(CALL_QUEUE);
    let api = Api {
        calls,
        max_body: settings.jobs.max_body,
    };
    let context =
        |e: &dyn std::fmt::Display| Error::new(format!("listener {}: {e}", settings.http));
    let acceptor = TcpListener::new(settings.http)
        .try_bind()
        .await
        .map_err(|e| context(&e))?;
    let bound = acceptor
        .holdings()
        .first()
        .map(|h| h.local_addr.to_string());
    info!(ctx.log, "started"; "node" => %node, "http" => bound.unwrap_or_default());
    let router = Router::with_path("{**rest}").goal(api);
    let server = tokio::spawn(Server::new(acceptor).try_serve(router));
    let options = Options {
        node,
        zone: common.zone.clone(),
        address: common.advertise.to_string(),
        jobs: settings.jobs.clone(),
    };
    let control = ControlClient::new(net.clone(), common.control.clone());
    let mut entry = Entry {
        engine: Engine::new(ctx.clock.now(), options),
        control,
        net,
        ctx,
        tickets: FastMap::default(),
        conns: FastMap::default(),
        link_ids: FastMap::default(),
        callers: FastMap::default(),
        next_id: 0,
    };
    entry.serve(events, inbox, settings.jobs.drain).await;
    tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
    server.abort();
    Ok(())
}

struct Entry {
    engine: Engine,
    control: ControlClient,
    net: Net,
    ctx: Context,
    tickets: FastMap<Ticket, u64>,
    conns: FastMap<u64, ConnId>,
    link_ids: FastMap<ConnId, u64>,
    callers: FastMap<u64, oneshot::Sender<Response>>,
    next_id: u64,
}

impl Entry {
    async fn serve(
        &mut self,
        mut events: NetEvents,
        mut calls: mpsc::Receiver<Call>,
        drain: Duration,
    ) {
        let mut ticks = tokio::time::interval(Engine::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = self.ctx.stop.clone();
        let mut deadline = None;
        loop {
            tokio::select! {
                event = events.next() => {
                    self.net_event(event);
                    for _ in 0..EVENT_BATCH {
                        let Some(event) = events.try_next() else { break };
                        self.net_event(event);
                    }
                }
                Some(call) = calls.recv() => {
                    self.call(call);
                    for _ in 0..EVENT_BATCH {
                        let Ok(call) = calls.try_recv() else { break };
                        self.call(call);
                    }
                }
                _ = ticks.tick() => self.tick(),
                () = stop.wait(), if deadline.is_none() => {
                    deadline = Some(self.ctx.clock.now() + drain);
                    self.event(Event::Drain);
                    info!(self.ctx.log, "draining"; "jobs" => self.engine.live_jobs());
                }
            }
            if self.engine.drained() {
                return;
            }
            if deadline.is_some_and(|d| self.ctx.clock.now() >= d) {
                let jobs = self.engine.live_jobs();
                warn!(self.ctx.log, "stopped with unfinished jobs"; "jobs" => jobs);
                return;
            }
        }
    }

    fn tick(&mut self) {
        let now = self.ctx.clock.now();
        for event in self.control.tick(now) {
            self.control_event(event);
        }
        self.event(Event::Tick);
    }

    fn call(&mut self, call: Call) {
        self.next_id += 1;
        let id = self.next_id;
        self.callers.insert(id, call.reply);
        let submit = JobRequest {
            caller: Caller::Http(id),
            key: call.key,
            token: call.token,
            body: call.body,
            wait: call.wait,
        };
        self.event(match call.verb {
            Verb::Submit => Event::Submit(submit),
            Verb::Query => Event::Query(submit),
            Verb::Cancel => Event::Cancel(submit),
        });
    }

    fn net_event(&mut self, event: NetEvent) {
        let now = self.ctx.clock.now();
        match self.control.handle(now, event) {
            Routed::Control(events) => {
                for event in events {
                    self.control_event(event);
                }
            }
            Routed::Other(NetEvent::Up { conn, peer, .. }) => {
                self.next_id += 1;
                self.conns.insert(self.next_id, conn);
                self.link_ids.insert(conn, self.next_id);
                self.event(Event::LinkUp(self.next_id, peer));
            }
            Routed::Other(NetEvent::Frame { conn, frame }) => {
                if let Some(link) = self.link_ids.get(&conn).copied() {
                    self.event(Event::Frame(link, frame));
                }
            }
            Routed::Other(NetEvent::Down { conn }) => {
                if let Some(link) = self.link_ids.remove(&conn) {
                    self.conns.remove(&link);
                    self.event(Event::LinkDown(link));
                }
            }
        }
    }

    fn control_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Answer(ticket, body) => {
                if let Some(id) = self.tickets.remove(&ticket) {
                    self.event(Event::ControlReply(id, Ok(body)));
                }
            }
            ControlEvent::Failed(ticket, failure) => {
                if let Some(id) = self.tickets.remove(&ticket) {
                    self.event(Event::ControlReply(id, Err(failure)));
                }
            }
            ControlEvent::Push(push) => self.event(Event::Push(push)),
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.ctx.clock.now();
        for effect in self.engine.handle(now, event) {
            match effect {
                Effect::Respond(id, response) => {
                    if let Some(caller) = self.callers.remove(&id) {
                        // Fails only when the caller has gone away.
                        drop(caller.send(response));
                    }
                }
                Effect::ControlRequest { id, limit, body } => {
                    let ticket = self.control.request(now, limit, body);
                    self.tickets.insert(ticket, id);
                }
                Effect::Send(link, frame) => {
                    if let Some(conn) = self.conns.get(&link) {
                        // A link that cannot take the frame is closed, and its `Down` follows.
                        self.net.send(*conn, frame);
                    }
                }
                Effect::Dial(name, address) => match address.parse() {
                    Ok(addr) => self.net.dial(name, addr),
                    Err(_) => warn!(self.ctx.log, "bad member address"; "member" => %name),
                },
                Effect::Disconnect(name) => self.net.hang_up(&name),
            }
        }
    }
}
