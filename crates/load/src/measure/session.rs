//! A lightweight agent: heartbeats to control and, on request, tasks that take no time.

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

const BEAT: Duration = Duration::from_secs(1);
const BEAT_LIMIT: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(20);
/// Bytes that frame a message on a link.
const FRAME_BYTES: u64 = 4;

/// What all sessions of a measurement report to.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Sessions that have had an answer from control.
    pub joined: usize,
    /// Bytes of the messages to and from control.
    pub control_bytes: u64,
    /// When each session first had each configuration version.
    pub in_force: Vec<(u64, Instant)>,
    /// Tasks that were run.
    pub tasks: u64,
    /// Arrival of the first and the last `Run` frame of each job.
    pub runs: FastMap<String, (Instant, Instant)>,
}

/// Shared by the sessions of a measurement and the code that reads it.
pub(super) type SharedTally = Arc<Mutex<Tally>>;

pub(super) fn lock(tally: &SharedTally) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a session needs.
#[derive(Clone, Debug)]
pub(super) struct Spec {
    pub name: String,
    pub zone: Name,
    pub control: Vec<(Name, SocketAddr)>,
    pub key: ClusterKey,
    /// Slots to announce; none for a session that takes no tasks.
    pub slots: Option<u32>,
    pub log: Logger,
}

struct Session {
    spec: Spec,
    node: NodeRef,
    address: String,
    net: Net,
    client: ControlClient,
    tally: SharedTally,
    version: u64,
    joined: bool,
}

/// Runs a session until it is dropped.
///
/// # Errors
///
/// Fails when the session cannot listen on loopback.
pub(super) async fn run(spec: Spec, tally: SharedTally) -> Result<(), Error> {
    let node = NodeRef {
        name: Name::from(spec.name.as_str()),
        incarnation: SystemClock.unix_ms(),
    };
    let (net, mut events) = Net::new(
        node.clone(),
        Role::Agent,
        spec.zone.clone(),
        spec.key.clone(),
        spec.log.clone(),
    );
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let address = net.listen(any).await?.to_string();
    let client = ControlClient::new(net.clone(), spec.control.clone());
    let mut session = Session {
        spec,
        node,
        address,
        net,
        client,
        tally,
        version: 0,
        joined: false,
    };
    let mut beats = tokio::time::interval(BEAT);
    let mut ticks = tokio::time::interval(TICK);
    loop {
        let news = tokio::select! {
            event = events.next() => session.event(event),
            _ = beats.tick() => {
                session.beat();
                Vec::new()
            }
            _ = ticks.tick() => session.client.tick(Instant::now()),
        };
        for event in news {
            session.control(event);
        }
    }
}

impl Session {
    fn beat(&mut self) {
        let slots = self.spec.slots;
        let beat = Heartbeat {
            routing_version: 0,
            suspended: false,
            node: Some((&self.node).into()),
            role: Role::Agent.into(),
            zone: self.spec.zone.to_string(),
            address: self.address.clone(),
            state: NodeState::Active.into(),
            config_version: self.version,
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
        let body = Body::Heartbeat(beat);
        self.count(&body);
        self.client.request(Instant::now(), BEAT_LIMIT, body);
    }

    fn load(&self) -> Load {
        Load {
            slots: self.spec.slots.unwrap_or(8),
            ..Load::default()
        }
    }

    fn count(&self, body: &Body) {
        let frame = Frame {
            request: 1,
            reply: false,
            body: Some(body.clone()),
        };
        lock(&self.tally).control_bytes += frame.encoded_len() as u64 + FRAME_BYTES;
    }

    fn event(&mut self, event: NetEvent) -> Vec<ControlEvent> {
        let body = match &event {
            NetEvent::Frame { frame, .. } => frame.body.clone(),
            _ => None,
        };
        match self.client.handle(Instant::now(), event) {
            Handled::Control(news) => {
                if let Some(body) = body {
                    self.count(&body);
                }
                news
            }
            Handled::Other(NetEvent::Frame { conn, frame }) => {
                self.entry_frame(conn, frame);
                Vec::new()
            }
            Handled::Other(_) => Vec::new(),
        }
    }

    fn control(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Answer(_, Body::HeartbeatReply(reply)) => {
                if !self.joined {
                    self.joined = true;
                    lock(&self.tally).joined += 1;
                }
                self.config(reply.config);
            }
            ControlEvent::Push(push) => self.config(push.config),
            _ => {}
        }
    }

    fn config(&mut self, delta: Option<ConfigDelta>) {
        let Some(delta) = delta else { return };
        if delta.to > self.version {
            self.version = delta.to;
            lock(&self.tally).in_force.push((delta.to, Instant::now()));
        }
    }

    /// Grants every slot that is asked for and ends every task at once.
    fn entry_frame(&mut self, conn: ConnId, frame: Frame) {
        let part = match frame.body {
            Some(Body::Reserve(reserve)) => JobReport {
                key: reserve.key,
                granted: reserve.count,
                ..JobReport::default()
            },
            Some(Body::Run(run)) => {
                self.note(&run);
                JobReport {
                    key: run.key,
                    epoch: run.epoch,
                    tasks: run.tasks.iter().map(done).collect(),
                    granted: 0,
                }
            }
            _ => return,
        };
        let report = Report {
            jobs: vec![part],
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

    fn note(&self, run: &proto::Run) {
        let now = Instant::now();
        let mut tally = lock(&self.tally);
        tally.tasks += run.tasks.len() as u64;
        let job = run.key.as_ref().map_or("", |k| k.job.as_str());
        let seen = tally.runs.entry(job.to_owned()).or_insert((now, now));
        seen.1 = now;
    }
}

fn done(task: &proto::TaskSpec) -> TaskReport {
    TaskReport {
        index: task.index,
        attempt: task.attempt,
        status: TaskStatus::Done.into(),
        payload: echo(&task.payload),
        reason: String::new(),
        service_us: 1,
        wait_us: 0,
    }
}

/// Wraps a payload as the stand-in does, so that callers can check their answers.
fn echo(payload: &Bytes) -> Bytes {
    let parts = [&br#"{"payload":"#[..], payload, b"}"];
    parts.concat().into()
}
