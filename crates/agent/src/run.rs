//! Connects the engine to the links, to control and to the endpoint.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
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
use sassafras_util::Clock;
use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::HeartbeatReply;
use sassafras_wire::proto::Role;

use crate::announce;
use crate::announce::Announcement;
use crate::engine::Effect;
use crate::engine::Ended;
use crate::engine::Engine;
use crate::engine::Event;
use crate::engine::Link;
use crate::engine::Renewal;
use crate::engine::Target;
use crate::http::Pool;
use crate::settings::Settings;

const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
/// A heartbeat is resent until this time has passed; its lease would be nearly over then.
const HEARTBEAT_LIMIT: Duration = Duration::from_millis(2500);
const TICK: Duration = Duration::from_millis(20);
/// Events handled in one turn before reports are sent.
const TURN_EVENTS: usize = 256;
const ANNOUNCEMENTS: usize = 16;
/// Time for the last frames to reach the sockets before the process ends.
const LINGER: Duration = Duration::from_millis(300);

/// Runs the agent until a stop is asked for, what runs has ended and the results are handed in.
///
/// # Errors
///
/// Fails when a listener cannot be opened.
pub async fn run(settings: Settings, ctx: Context) -> Result<(), Error> {
    let common = settings.common.clone();
    let node = NodeRef {
        name: common.name.clone(),
        incarnation: ctx.clock.unix_ms(),
    };
    let (net, mut events) = Net::new(
        node.clone(),
        Role::Agent,
        common.zone.clone(),
        common.key.clone(),
        ctx.log.clone(),
    );
    let listen = net.listen(common.listen).await?;
    let (tx, mut announcements) = mpsc::channel(ANNOUNCEMENTS);
    let endpoint = announce::serve(settings.endpoint, tx).await?;
    if let Some(addr) = common.metrics {
        serve_metrics(addr).await?;
    }
    info!(ctx.log, "agent started"; "node" => %node, "listen" => %listen, "endpoint" => %endpoint);
    let control = ControlClient::new(net.clone(), common.control.clone());
    let (ended_tx, mut ended) = mpsc::unbounded_channel();
    let mut agent = Agent {
        engine: Engine::new(node.incarnation, settings.options.clone()),
        node,
        settings,
        net,
        control,
        clock: Arc::clone(&ctx.clock),
        log: ctx.log.clone(),
        links: FastMap::default(),
        conns: FastMap::default(),
        entries: FastMap::default(),
        next: 0,
        heartbeats: FastMap::default(),
        due: ctx.clock.now(),
        version: 0,
        pool: None,
        ended: ended_tx,
    };
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stop = ctx.stop.clone();
    let mut until: Option<Instant> = None;
    let mut drained: Option<Instant> = None;
    loop {
        tokio::select! {
            event = events.next() => agent.net_event(event),
            Some(end) = ended.recv() => agent.feed(Event::Ended(end)),
            Some(info) = announcements.recv() => agent.announced(info),
            _ = tick.tick() => agent.tick(),
            () = stop.wait(), if until.is_none() => {
                info!(agent.log, "leaving"; "running" => agent.engine.running());
                until = Some(agent.clock.now() + agent.settings.drain);
                agent.feed(Event::Leave);
            }
        }
        agent.turn(&mut events, &mut ended);
        if let Some(until) = until {
            // Tasks that entries sent before they heard of the leaving are refused, not ignored.
            let now = agent.clock.now();
            let since = drained.filter(|_| agent.engine.is_drained()).unwrap_or(now);
            drained = Some(since);
            if now >= until || now >= since + LINGER {
                agent.finish().await;
                return Ok(());
            }
        }
    }
}

struct Agent {
    engine: Engine,
    node: NodeRef,
    settings: Settings,
    net: Net,
    control: ControlClient,
    clock: Arc<dyn Clock>,
    log: Logger,
    links: FastMap<ConnId, Link>,
    conns: FastMap<Link, ConnId>,
    entries: FastMap<ConnId, NodeRef>,
    next: u64,
    heartbeats: FastMap<RequestId, Instant>,
    due: Instant,
    version: u64,
    pool: Option<(Target, Pool)>,
    ended: mpsc::UnboundedSender<Ended>,
}

impl Agent {
    /// Handles what else is there already, then sends the reports of the turn.
    fn turn(&mut self, events: &mut NetEvents, ended: &mut mpsc::UnboundedReceiver<Ended>) {
        for _ in 0..TURN_EVENTS {
            if let Ok(end) = ended.try_recv() {
                self.feed(Event::Ended(end));
            } else if let Some(event) = events.try_next() {
                self.net_event(event);
            } else {
                break;
            }
        }
        let reports = self.engine.flush(self.clock.now());
        self.apply(reports);
    }

    fn feed(&mut self, event: Event) {
        let effects = self.engine.handle(self.clock.now(), event);
        self.apply(effects);
    }

    fn announced(&mut self, info: Announcement) {
        if self.engine.endpoint_info(self.clock.now()).is_none() {
            info!(self.log, "endpoint announced"; "address" => %info.address, "slots" => info.slots);
        }
        self.feed(Event::Announced(info));
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let news = self.control.tick(now);
        self.control_events(news);
        if now >= self.due {
            self.heartbeat();
        }
        self.feed(Event::Tick);
        let load = self.engine.load(now);
        metrics::gauge!("agent_running").set(f64::from(load.running));
        metrics::gauge!("agent_waiting").set(f64::from(load.queued));
    }

    fn net_event(&mut self, event: NetEvent) {
        let now = self.clock.now();
        match self.control.handle(now, event) {
            Handled::Control(news) => self.control_events(news),
            Handled::Other(event) => self.link_event(event),
        }
    }

    fn link_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Up { conn, peer, .. } if peer.role == Role::Entry => {
                self.replace_link(conn, peer.node);
                self.next += 1;
                let link = Link(self.next);
                self.links.insert(conn, link);
                self.conns.insert(link, conn);
                self.feed(Event::LinkUp(link));
            }
            NetEvent::Up { conn, peer, .. } => {
                warn!(self.log, "link refused"; "peer" => %peer.node, "reason" => "not an entry");
                self.net.close(conn);
            }
            NetEvent::Down { conn } => self.drop_link(conn),
            NetEvent::Frame { conn, frame } => {
                if let Some(link) = self.links.get(&conn) {
                    self.feed(Event::Frame(*link, frame));
                }
            }
        }
    }

    /// Closes an earlier link of the same entry. Frames that still arrive on it were sent before
    /// the new link was opened; a `Run` among them that was read after a fence on the new link
    /// could start a task that the entry has since started elsewhere.
    fn replace_link(&mut self, conn: ConnId, entry: NodeRef) {
        let earlier = |(_, known): &(&ConnId, &NodeRef)| {
            known.name == entry.name && known.incarnation <= entry.incarnation
        };
        let old: Vec<ConnId> = self
            .entries
            .iter()
            .filter(earlier)
            .map(|(c, _)| *c)
            .collect();
        for old in old {
            metrics::counter!("agent_links_replaced").increment(1);
            self.net.close(old);
            self.drop_link(old);
        }
        self.entries.insert(conn, entry);
    }

    fn drop_link(&mut self, conn: ConnId) {
        self.entries.remove(&conn);
        if let Some(link) = self.links.remove(&conn) {
            self.conns.remove(&link);
            self.feed(Event::LinkDown(link));
        }
    }

    fn control_events(&mut self, news: Vec<ControlEvent>) {
        for event in news {
            match event {
                ControlEvent::Answer(ticket, Body::HeartbeatReply(reply)) => {
                    if let Some(sent) = self.heartbeats.remove(&ticket) {
                        self.renew(sent, &reply);
                    }
                }
                ControlEvent::Answer(ticket, _) => {
                    self.heartbeats.remove(&ticket);
                }
                ControlEvent::Failed(ticket, failure) => {
                    self.heartbeats.remove(&ticket);
                    warn!(self.log, "heartbeat failed"; "detail" => failure.detail);
                }
                ControlEvent::Push(push) => {
                    let to = push.config.map_or(0, |c| c.to);
                    self.version = self.version.max(to);
                }
            }
        }
    }

    fn renew(&mut self, sent: Instant, reply: &HeartbeatReply) {
        let to = reply.config.as_ref().map_or(0, |c| c.to);
        self.version = self.version.max(to);
        self.feed(Event::Renewed(Renewal {
            sent,
            lease: Duration::from_millis(reply.lease_ms),
            control_ms: reply.control_ms,
            state: reply.state(),
        }));
    }

    fn heartbeat(&mut self) {
        let now = self.clock.now();
        self.due = now + HEARTBEAT_EVERY;
        let heartbeat = Heartbeat {
            routing_version: 0,
            node: Some(proto::NodeRef::from(&self.node)),
            role: Role::Agent.into(),
            zone: self.settings.common.zone.to_string(),
            address: self.settings.common.advertise.to_string(),
            state: self.engine.own_state(now).into(),
            config_version: self.version,
            members_version: 0,
            endpoint: self.engine.endpoint_info(now),
            demand: Vec::new(),
            load: Some(self.engine.load(now)),
            suspended: !self.engine.has_lease(now),
        };
        let ticket = self
            .control
            .request(now, HEARTBEAT_LIMIT, Body::Heartbeat(heartbeat));
        self.heartbeats.insert(ticket, now);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { link, frame } => {
                    // A frame for a closed link is not lost: the entry fences after a reconnect.
                    if let Some(conn) = self.conns.get(&link) {
                        self.net.send(*conn, frame);
                    }
                }
                Effect::Start(start) => {
                    let pool = self.pool(&start.target);
                    let ended = self.ended.clone();
                    tokio::spawn(async move {
                        // Fails only when the loop has ended.
                        drop(ended.send(pool.start(start).await));
                    });
                }
                Effect::Direct(directed) => {
                    let pool = self.directive_pool(&directed.target);
                    tokio::spawn(async move { pool.direct(directed).await });
                }
                Effect::Heartbeat => self.heartbeat(),
            }
        }
    }

    fn pool(&mut self, target: &Target) -> Pool {
        match &self.pool {
            Some((current, pool)) if current.address == target.address => {
                pool.resize(target.connections);
                pool.clone()
            }
            _ => {
                let pool = Pool::new(target.address, target.connections);
                self.pool = Some((target.clone(), pool.clone()));
                pool
            }
        }
    }

    /// Returns the pool of the endpoint that runs a task, which may have been replaced since.
    fn directive_pool(&self, target: &Target) -> Pool {
        match &self.pool {
            Some((current, pool)) if current.address == target.address => pool.clone(),
            _ => Pool::new(target.address, 1),
        }
    }

    /// Lets the last frames reach the sockets. Control marks the node as gone when its
    /// heartbeats end; until then it stays `LEAVING`.
    async fn finish(&mut self) {
        tokio::time::sleep(LINGER).await;
        info!(self.log, "left"; "running" => self.engine.running());
    }
}
