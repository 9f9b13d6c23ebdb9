//! The event loop that connects HTTP, links and control to the engine.

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
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvent;
use sassafras_runtime::NetEvents;
use sassafras_runtime::RequestId;
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
use crate::http::Operation;
use crate::response::Response;
use crate::settings::Settings;

/// Most HTTP requests that wait for the event loop; a full queue delays further requests.
const CALL_QUEUE_LEN: usize = 1024;
/// Events taken from one source in a row, so that no source starves the others.
const MAX_EVENT_BATCH: usize = 64;
/// Time for the last responses to reach their callers before the server stops.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Runs an entry until it was asked to stop and its jobs have ended or the drain timeout is over.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
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
    let (calls, inbox) = mpsc::channel(CALL_QUEUE_LEN);
    let api = Api {
        calls,
        max_body: settings.jobs.max_body,
    };
    let bind_error =
        |e: &dyn std::fmt::Display| Error::new(format!("listener {}: {e}", settings.http));
    let acceptor = TcpListener::new(settings.http)
        .try_bind()
        .await
        .map_err(|e| bind_error(&e))?;
    let bound = acceptor
        .holdings()
        .first()
        .map(|h| h.local_addr.to_string());
    info!(ctx.log, "listening"; "node" => %node, "http" => bound.unwrap_or_default());
    let router = Router::with_path("{**rest}").goal(api);
    let server = tokio::spawn(Server::new(acceptor).try_serve(router));
    let options = Options {
        node,
        zone: common.zone.clone(),
        address: common.advertise.to_string(),
        jobs: settings.jobs.clone(),
    };
    let control = ControlClient::new(net.clone(), common.control.clone());
    let mut event_loop = EventLoop {
        engine: Engine::new(ctx.clock.now(), options),
        control,
        net,
        ctx,
        requests: FastMap::default(),
        conns: FastMap::default(),
        link_ids: FastMap::default(),
        callers: FastMap::default(),
        next_id: 0,
    };
    event_loop.run(events, inbox, settings.jobs.drain).await;
    tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
    server.abort();
    Ok(())
}

struct EventLoop {
    engine: Engine,
    control: ControlClient,
    net: Net,
    ctx: Context,
    /// Engine's IDs of the outstanding control requests.
    requests: FastMap<RequestId, u64>,
    /// Connections by the engine's link IDs.
    conns: FastMap<u64, ConnId>,
    /// The engine's link IDs by connection.
    link_ids: FastMap<ConnId, u64>,
    /// Response channels by HTTP request ID.
    callers: FastMap<u64, oneshot::Sender<Response>>,
    next_id: u64,
}

impl EventLoop {
    async fn run(
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
                    self.handle_net_event(event);
                    for _ in 0..MAX_EVENT_BATCH {
                        let Some(event) = events.try_next() else { break };
                        self.handle_net_event(event);
                    }
                }
                Some(call) = calls.recv() => {
                    self.handle_call(call);
                    for _ in 0..MAX_EVENT_BATCH {
                        let Ok(call) = calls.try_recv() else { break };
                        self.handle_call(call);
                    }
                }
                _ = ticks.tick() => self.handle_tick(),
                () = stop.wait(), if deadline.is_none() => {
                    deadline = Some(self.ctx.clock.now() + drain);
                    self.handle(Event::Drain);
                    info!(self.ctx.log, "shutting down, draining";
                        "jobs" => self.engine.active_jobs());
                }
            }
            if self.engine.is_drained() {
                return;
            }
            if deadline.is_some_and(|d| self.ctx.clock.now() >= d) {
                let jobs = self.engine.active_jobs();
                warn!(self.ctx.log, "drain timed out with unfinished jobs"; "jobs" => jobs);
                return;
            }
        }
    }

    fn handle_tick(&mut self) {
        let now = self.ctx.clock.now();
        for event in self.control.tick(now) {
            self.handle_control_event(event);
        }
        self.handle(Event::Tick);
    }

    fn handle_call(&mut self, call: Call) {
        self.next_id += 1;
        let id = self.next_id;
        self.callers.insert(id, call.reply);
        let request = JobRequest {
            caller: Caller::Http(id),
            key: call.key,
            token: call.token,
            body: call.body,
            wait: call.wait,
        };
        self.handle(match call.operation {
            Operation::Submit => Event::Submit(request),
            Operation::Query => Event::Query(request),
            Operation::Cancel => Event::Cancel(request),
        });
    }

    fn handle_net_event(&mut self, event: NetEvent) {
        let now = self.ctx.clock.now();
        match self.control.handle(now, event) {
            Handled::Control(events) => {
                for event in events {
                    self.handle_control_event(event);
                }
            }
            Handled::Other(NetEvent::Up { conn, peer, .. }) => {
                self.next_id += 1;
                self.conns.insert(self.next_id, conn);
                self.link_ids.insert(conn, self.next_id);
                self.handle(Event::LinkUp(self.next_id, peer));
            }
            Handled::Other(NetEvent::Frame { conn, frame }) => {
                if let Some(link) = self.link_ids.get(&conn).copied() {
                    self.handle(Event::Frame(link, frame));
                }
            }
            Handled::Other(NetEvent::Down { conn }) => {
                if let Some(link) = self.link_ids.remove(&conn) {
                    self.conns.remove(&link);
                    self.handle(Event::LinkDown(link));
                }
            }
        }
    }

    fn handle_control_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Answer(request, body) => {
                if let Some(id) = self.requests.remove(&request) {
                    self.handle(Event::ControlReply(id, Ok(body)));
                }
            }
            ControlEvent::Failed(request, failure) => {
                if let Some(id) = self.requests.remove(&request) {
                    self.handle(Event::ControlReply(id, Err(failure)));
                }
            }
            ControlEvent::Push(push) => self.handle(Event::Push(push)),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.ctx.clock.now();
        for effect in self.engine.handle(now, event) {
            match effect {
                Effect::Respond(id, response) => {
                    if let Some(sender) = self.callers.remove(&id) {
                        // Fails only when the caller has disconnected.
                        drop(sender.send(response));
                    }
                }
                Effect::ControlRequest { id, timeout, body } => {
                    let request = self.control.request(now, timeout, body);
                    self.requests.insert(request, id);
                }
                Effect::Send(link, frame) => {
                    if let Some(conn) = self.conns.get(&link) {
                        // A link that cannot queue the frame is closed, and `LinkDown` follows.
                        self.net.send(*conn, frame);
                    }
                }
                Effect::Dial(name, address) => match address.parse() {
                    Ok(addr) => self.net.dial(name, addr),
                    Err(_) => warn!(self.ctx.log, "invalid member address"; "member" => %name),
                },
                Effect::Disconnect(name) => self.net.disconnect(&name),
            }
        }
    }
}
