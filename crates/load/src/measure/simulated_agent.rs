//! A simulated agent, which sends heartbeats to control and completes tasks immediately.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use prost::Message as _;
use slog::Logger;

use sassafras_runtime::ConnId;
use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvent;
use sassafras_util::Clock as _;
use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_util::SystemClock;
use sassafras_wire::Body;
use sassafras_wire::ClusterKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::ConfigDelta;
use sassafras_wire::proto::EndpointInfo;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::JobReport;
use sassafras_wire::proto::Load;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Report;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of calls to [`ControlClient::tick`], which resends requests.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Framing overhead of a message on a link, in bytes.
const FRAME_OVERHEAD_BYTES: u64 = 4;

/// Statistics of all simulated agents of a measurement.
#[derive(Debug, Default)]
pub(super) struct AgentStats {
    /// Number of agents that have received a heartbeat reply.
    pub joined: usize,
    /// Size of the messages to and from control, in bytes.
    pub control_bytes: u64,
    /// Configuration versions that agents received, with the time of receipt.
    pub config_applied: Vec<(u64, Instant)>,
    /// Number of tasks that were run.
    pub tasks: u64,
    /// Times of receipt of the first and the last `Run` frame of each job.
    pub run_frames: FastMap<String, (Instant, Instant)>,
}

/// Statistics that the simulated agents share with the measurement.
pub(super) type SharedStats = Arc<Mutex<AgentStats>>;

pub(super) fn lock(stats: &SharedStats) -> MutexGuard<'_, AgentStats> {
    stats.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Parameters of a simulated agent.
#[derive(Clone, Debug)]
pub(super) struct AgentConfig {
    pub name: String,
    pub zone: Name,
    pub control: Vec<(Name, SocketAddr)>,
    pub key: ClusterKey,
    /// Number of slots and of connections to announce. `None` for an agent that receives no tasks;
    /// it announces 8 slots and 64 connections.
    pub slots: Option<u32>,
    pub log: Logger,
}

struct SimulatedAgent {
    config: AgentConfig,
    node: NodeRef,
    address: String,
    net: Net,
    client: ControlClient,
    stats: SharedStats,
    config_version: u64,
    joined: bool,
}

/// Runs a simulated agent until the future is dropped.
///
/// # Errors
///
/// Fails when the agent cannot listen on loopback.
pub(super) async fn run(config: AgentConfig, stats: SharedStats) -> Result<(), Error> {
    let node = NodeRef {
        name: Name::from(config.name.as_str()),
        incarnation: SystemClock.unix_ms(),
    };
    let (net, mut events) = Net::new(
        node.clone(),
        Role::Agent,
        config.zone.clone(),
        config.key.clone(),
        config.log.clone(),
    );
    let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let address = net.listen(ephemeral).await?.to_string();
    let client = ControlClient::new(net.clone(), config.control.clone());
    let mut agent = SimulatedAgent {
        config,
        node,
        address,
        net,
        client,
        stats,
        config_version: 0,
        joined: false,
    };
    let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        let events = tokio::select! {
            event = events.next() => agent.handle_event(event),
            _ = heartbeats.tick() => {
                agent.send_heartbeat();
                Vec::new()
            }
            _ = ticks.tick() => agent.client.tick(Instant::now()),
        };
        for event in events {
            agent.handle_control_event(event);
        }
    }
}

impl SimulatedAgent {
    fn send_heartbeat(&mut self) {
        let slots = self.config.slots;
        let heartbeat = Heartbeat {
            routing_version: 0,
            evacuations_version: 0,
            suspended: false,
            node: Some((&self.node).into()),
            role: Role::Agent.into(),
            zone: self.config.zone.to_string(),
            address: self.address.clone(),
            state: NodeState::Active.into(),
            config_version: self.config_version,
            members_version: 0,
            endpoint: Some(EndpointInfo {
                slots: slots.unwrap_or(8),
                connections: slots.unwrap_or(64),
                cores: 16,
                memory_mb: 32_768,
                accelerators: 0,
                kinds: Vec::new(),
                rack: "r0".to_owned(),
            }),
            demand: Vec::new(),
            load: Some(self.load()),
        };
        let body = Body::Heartbeat(heartbeat);
        self.count_bytes(&body);
        self.client.request(Instant::now(), HEARTBEAT_TIMEOUT, body);
    }

    fn load(&self) -> Load {
        Load {
            slots: self.config.slots.unwrap_or(8),
            ..Load::default()
        }
    }

    fn count_bytes(&self, body: &Body) {
        let frame = Frame {
            request: 1,
            reply: false,
            body: Some(body.clone()),
        };
        lock(&self.stats).control_bytes += frame.encoded_len() as u64 + FRAME_OVERHEAD_BYTES;
    }

    fn handle_event(&mut self, event: NetEvent) -> Vec<ControlEvent> {
        let body = match &event {
            NetEvent::Frame { frame, .. } => frame.body.clone(),
            _ => None,
        };
        match self.client.handle(Instant::now(), event) {
            Handled::Control(events) => {
                if let Some(body) = body {
                    self.count_bytes(&body);
                }
                events
            }
            Handled::Other(NetEvent::Frame { conn, frame }) => {
                self.handle_entry_frame(conn, frame);
                Vec::new()
            }
            Handled::Other(_) => Vec::new(),
        }
    }

    fn handle_control_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Answer(_, Body::HeartbeatReply(reply)) => {
                if !self.joined {
                    self.joined = true;
                    lock(&self.stats).joined += 1;
                }
                self.record_config_version(reply.config);
            }
            ControlEvent::Push(push) => self.record_config_version(push.config),
            _ => {}
        }
    }

    fn record_config_version(&mut self, delta: Option<ConfigDelta>) {
        let Some(delta) = delta else { return };
        if delta.to > self.config_version {
            self.config_version = delta.to;
            lock(&self.stats)
                .config_applied
                .push((delta.to, Instant::now()));
        }
    }

    /// Grants every requested slot and completes every task immediately.
    fn handle_entry_frame(&mut self, conn: ConnId, frame: Frame) {
        let job_report = match frame.body {
            Some(Body::Reserve(reserve)) => JobReport {
                key: reserve.key,
                granted: reserve.count,
                ..JobReport::default()
            },
            Some(Body::Run(run)) => {
                self.record_run(&run);
                JobReport {
                    key: run.key,
                    epoch: run.epoch,
                    tasks: run.tasks.iter().map(done_report).collect(),
                    granted: 0,
                }
            }
            _ => return,
        };
        let report = Report {
            jobs: vec![job_report],
            load: Some(self.load()),
            incarnation: self.node.incarnation,
            state: NodeState::Active.into(),
        };
        let frame = Frame {
            request: 0,
            reply: false,
            body: Some(Body::Report(report)),
        };
        self.net.send(conn, frame);
    }

    fn record_run(&self, run: &proto::Run) {
        let now = Instant::now();
        let mut stats = lock(&self.stats);
        stats.tasks += run.tasks.len() as u64;
        let job = run.key.as_ref().map_or("", |k| k.job.as_str());
        let interval = stats.run_frames.entry(job.to_owned()).or_insert((now, now));
        interval.1 = now;
    }
}

fn done_report(task: &proto::TaskSpec) -> TaskReport {
    TaskReport {
        index: task.index,
        attempt: task.attempt,
        status: TaskStatus::Done.into(),
        payload: echo_payload(&task.payload),
        reason: String::new(),
        service_us: 1,
        wait_us: 0,
    }
}

/// Wraps a payload as the stand-in does, so that callers can check the results.
fn echo_payload(payload: &Bytes) -> Bytes {
    let parts = [&br#"{"payload":"#[..], payload, b"}"];
    parts.concat().into()
}
