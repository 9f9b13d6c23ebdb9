//! Runs the engine on the links to entries, the control client and the endpoint's HTTP client.

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
use crate::engine::Completion;
use crate::engine::Effect;
use crate::engine::Engine;
use crate::engine::Event;
use crate::engine::LeaseRenewal;
use crate::engine::LinkId;
use crate::engine::Target;
use crate::http::Pool;
use crate::settings::Settings;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a heartbeat is resent. A lease starts when its heartbeat is first sent and lasts 2.5 s,
/// so a later reply would grant a lease that has already expired.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of events handled before reports are sent.
const MAX_BATCH_EVENTS: usize = 256;
/// Capacity of the channel for endpoint announcements.
const ANNOUNCEMENT_CAPACITY: usize = 16;
/// Time for which a drained agent goes on refusing tasks, and then the time for the last frames to
/// be written to the sockets before the process exits.
const LINGER: Duration = Duration::from_millis(300);

/// Runs the agent until a shutdown is requested and then either all running tasks have ended and
/// their results were reported, or the drain timeout has passed.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened.
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
    let (tx, mut announcements) = mpsc::channel(ANNOUNCEMENT_CAPACITY);
    let endpoint = announce::serve(settings.endpoint_listen, tx).await?;
    if let Some(addr) = common.metrics {
        serve_metrics(addr).await?;
    }
    info!(ctx.log, "listening"; "node" => %node, "listen" => %listen, "endpoint" => %endpoint);
    let control = ControlClient::new(net.clone(), common.control.clone());
    let (completion_tx, mut completions) = mpsc::unbounded_channel();
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
        last_link: 0,
        heartbeats: FastMap::default(),
        next_heartbeat: ctx.clock.now(),
        config_version: 0,
        pool: None,
        completions: completion_tx,
    };
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stop = ctx.stop.clone();
    let mut drain_until: Option<Instant> = None;
    let mut drained_since: Option<Instant> = None;
    loop {
        tokio::select! {
            event = events.next() => agent.net_event(event),
            Some(completion) = completions.recv() => agent.handle_event(Event::Completed(completion)),
            Some((info, accepted)) = announcements.recv() => {
                // Fails only if the endpoint no longer waits.
                let _ = accepted.send(agent.endpoint_announced(info));
            }
            _ = tick.tick() => agent.tick(),
            () = stop.wait(), if drain_until.is_none() => {
                info!(agent.log, "shutting down, draining"; "running" => agent.engine.running());
                drain_until = Some(agent.clock.now() + agent.settings.drain_timeout);
                agent.handle_event(Event::Shutdown);
            }
        }
        agent.finish_batch(&mut events, &mut completions);
        if let Some(drain_until) = drain_until {
            // The loop goes on for a while after the last result, so that tasks from entries that
            // have not yet seen the `LEAVING` state are refused and not ignored.
            let now = agent.clock.now();
            let since = drained_since
                .filter(|_| agent.engine.is_drained())
                .unwrap_or(now);
            drained_since = Some(since);
            if now >= drain_until || now >= since + LINGER {
                agent.linger().await;
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
    links: FastMap<ConnId, LinkId>,
    conns: FastMap<LinkId, ConnId>,
    entries: FastMap<ConnId, NodeRef>,
    last_link: u64,
    /// When each unanswered heartbeat was sent.
    heartbeats: FastMap<RequestId, Instant>,
    next_heartbeat: Instant,
    config_version: u64,
    pool: Option<(Target, Pool)>,
    completions: mpsc::UnboundedSender<Completion>,
}

impl Agent {
    /// Handles the events that are already available, then sends the reports of the batch.
    fn finish_batch(
        &mut self,
        events: &mut NetEvents,
        completions: &mut mpsc::UnboundedReceiver<Completion>,
    ) {
        for _ in 0..MAX_BATCH_EVENTS {
            if let Ok(completion) = completions.try_recv() {
                self.handle_event(Event::Completed(completion));
            } else if let Some(event) = events.try_next() {
                self.net_event(event);
            } else {
                break;
            }
        }
        let reports = self.engine.flush(self.clock.now());
        self.apply_effects(reports);
    }

    fn handle_event(&mut self, event: Event) {
        let effects = self.engine.handle(self.clock.now(), event);
        self.apply_effects(effects);
    }

    /// Handles an announcement, and returns whether it is accepted.
    fn endpoint_announced(&mut self, info: Announcement) -> bool {
        let now = self.clock.now();
        if !self.engine.accepts_announcement(now, &info) {
            info!(self.log, "endpoint announcement ignored"; "address" => %info.address,
                "reason" => "an endpoint with another address is in use");
            return false;
        }
        if self.engine.endpoint_info(now).is_none() {
            info!(self.log, "endpoint registered"; "address" => %info.address,
                "slots" => info.slots);
        }
        self.handle_event(Event::EndpointAnnounced(info));
        true
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let events = self.control.tick(now);
        self.control_events(events);
        if now >= self.next_heartbeat {
            self.send_heartbeat();
        }
        self.handle_event(Event::Tick);
        let load = self.engine.load(now);
        metrics::gauge!("agent_running").set(f64::from(load.running));
        metrics::gauge!("agent_waiting").set(f64::from(load.queued));
    }

    fn net_event(&mut self, event: NetEvent) {
        let now = self.clock.now();
        match self.control.handle(now, event) {
            Handled::Control(events) => self.control_events(events),
            Handled::Other(event) => self.link_event(event),
        }
    }

    fn link_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Up { conn, peer, .. } if peer.role == Role::Entry => {
                self.replace_link(conn, peer.node);
                self.last_link += 1;
                let link = LinkId(self.last_link);
                self.links.insert(conn, link);
                self.conns.insert(link, conn);
                self.handle_event(Event::LinkUp(link));
            }
            NetEvent::Up { conn, peer, .. } => {
                warn!(self.log, "link refused"; "peer" => %peer.node, "reason" => "peer is not an entry");
                self.net.close(conn);
            }
            NetEvent::Down { conn } => self.drop_link(conn),
            NetEvent::Frame { conn, frame } => {
                if let Some(link) = self.links.get(&conn) {
                    self.handle_event(Event::Frame(*link, frame));
                }
            }
        }
    }

    /// Closes earlier links of the same entry. Frames that still arrive on them were sent before
    /// the new link was opened. If a `Run` among them were read after a fence on the new link, it
    /// could start a task that the entry has since started elsewhere.
    fn replace_link(&mut self, conn: ConnId, entry: NodeRef) {
        let is_same_entry = |(_, known): &(&ConnId, &NodeRef)| {
            known.name == entry.name && known.incarnation <= entry.incarnation
        };
        let old: Vec<ConnId> = self
            .entries
            .iter()
            .filter(is_same_entry)
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
            self.handle_event(Event::LinkDown(link));
        }
    }

    fn control_events(&mut self, events: Vec<ControlEvent>) {
        for event in events {
            match event {
                ControlEvent::Answer(request, Body::HeartbeatReply(reply)) => {
                    if let Some(sent) = self.heartbeats.remove(&request) {
                        self.renew_lease(sent, &reply);
                    }
                }
                ControlEvent::Answer(request, _) => {
                    self.heartbeats.remove(&request);
                }
                ControlEvent::Failed(request, failure) => {
                    self.heartbeats.remove(&request);
                    warn!(self.log, "heartbeat to control group failed";
                        "detail" => failure.detail);
                }
                ControlEvent::Push(push) => {
                    let to = push.config.map_or(0, |c| c.to);
                    self.config_version = self.config_version.max(to);
                }
            }
        }
    }

    fn renew_lease(&mut self, sent: Instant, reply: &HeartbeatReply) {
        let to = reply.config.as_ref().map_or(0, |c| c.to);
        self.config_version = self.config_version.max(to);
        self.handle_event(Event::LeaseRenewed(LeaseRenewal {
            sent,
            lease: Duration::from_millis(reply.lease_ms),
            control_ms: reply.control_ms,
            state: reply.state(),
        }));
    }

    fn send_heartbeat(&mut self) {
        let now = self.clock.now();
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let heartbeat = Heartbeat {
            routing_version: 0,
            evacuations_version: 0,
            node: Some(proto::NodeRef::from(&self.node)),
            role: Role::Agent.into(),
            zone: self.settings.common.zone.to_string(),
            address: self.settings.common.advertise.to_string(),
            state: self.engine.local_state(now).into(),
            config_version: self.config_version,
            members_version: 0,
            endpoint: self.engine.endpoint_info(now),
            demand: Vec::new(),
            load: Some(self.engine.load(now)),
            suspended: !self.engine.has_lease(now),
        };
        let request = self
            .control
            .request(now, HEARTBEAT_TIMEOUT, Body::Heartbeat(heartbeat));
        self.heartbeats.insert(request, now);
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { link, frame } => {
                    // A frame for a closed link may be dropped: the entry fences the job after it
                    // reconnects and then gets all results.
                    if let Some(conn) = self.conns.get(&link) {
                        self.net.send(*conn, frame);
                    }
                }
                Effect::Start(start) => {
                    let pool = self.start_pool(&start.target);
                    let completions = self.completions.clone();
                    tokio::spawn(async move {
                        // Fails only after the event loop has ended.
                        drop(completions.send(pool.start(start).await));
                    });
                }
                Effect::SendDirective(directive) => {
                    let pool = self.directive_pool(&directive.target);
                    tokio::spawn(async move { pool.send_directive(directive).await });
                }
                Effect::Heartbeat => self.send_heartbeat(),
            }
        }
    }

    /// Returns the pool for new tasks, adapted to the endpoint's latest announcement.
    fn start_pool(&mut self, target: &Target) -> Pool {
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

    /// Returns a pool for directives about a running task, whose endpoint may have been replaced
    /// since the task started.
    fn directive_pool(&self, target: &Target) -> Pool {
        match &self.pool {
            Some((current, pool)) if current.address == target.address => pool.clone(),
            _ => Pool::new(target.address, 1),
        }
    }

    /// Leaves time for the last frames to be written to the sockets. The control group keeps the
    /// node as `LEAVING` until its heartbeats stop, and then marks it as gone.
    async fn linger(&mut self) {
        tokio::time::sleep(LINGER).await;
        info!(self.log, "stopped"; "running" => self.engine.running());
    }
}
