//! The jobs of this entry as a pure state machine.

mod claim;
mod config;
mod dispatch;
mod fence;
mod finish;
mod fleet;
mod job;
mod remote;
mod report;
mod submit;
mod team;
mod timer;

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use sassafras_policy::Speeds;
use sassafras_runtime::Peer;
use sassafras_util::Digest;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Failure;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::Push;
use sassafras_wire::proto::Role;

use crate::engine::fleet::Agent;
use crate::engine::job::FinishedJob;
use crate::engine::job::Job;
use crate::engine::team::TeamState;
use crate::response::Response;
use crate::settings::JobSettings;

/// Time within which control answers a request, in tries of its client.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Who the engine is and how it treats jobs.
#[derive(Clone, Debug)]
pub struct Options {
    /// This process.
    pub node: NodeRef,
    /// The availability zone of this process.
    pub zone: Name,
    /// Where peers connect to this process.
    pub address: String,
    /// Limits and times of the jobs.
    pub jobs: JobSettings,
}

impl Options {
    /// Creates options with default limits.
    pub fn new(node: NodeRef, zone: Name) -> Self {
        Self {
            node,
            zone,
            address: String::new(),
            jobs: JobSettings::default(),
        }
    }
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Caller {
    /// The HTTP request with this number.
    Http(u64),
    /// A request of another entry.
    Peer {
        /// The link it arrived on.
        link: u64,
        /// The number of the request on that link.
        request: u64,
    },
}

/// A caller's request about one job.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Who waits for the answer.
    pub caller: Caller,
    /// The job.
    pub key: JobKey,
    /// SHA-256 of the bearer token.
    pub token: Digest,
    /// The body; empty for queries.
    pub body: Bytes,
    /// How long the caller waits for an answer.
    pub wait: Duration,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A caller submitted a job.
    Submit(JobRequest),
    /// A caller asks for the state or the answer of a job.
    Query(JobRequest),
    /// A caller cancels a job.
    Cancel(JobRequest),
    /// The control group answered a request, or gave up on it.
    ControlReply(u64, Result<Body, Failure>),
    /// The control group pushed a change.
    Push(Push),
    /// A link to a process other than control is up.
    LinkUp(u64, Peer),
    /// A frame arrived on such a link.
    Frame(u64, Frame),
    /// Such a link is down.
    LinkDown(u64),
    /// Time has passed; expected every [`Engine::TICK`].
    Tick,
    /// The process was asked to stop.
    Drain,
}

/// What the adapters have to do.
#[derive(Debug)]
pub enum Effect {
    /// Answer the HTTP request with this number.
    Respond(u64, Response),
    /// Send a request to the control group.
    ControlRequest {
        /// Repeated in [`Event::ControlReply`].
        id: u64,
        /// Time after which the request is given up.
        limit: Duration,
        /// The request.
        body: Body,
    },
    /// Send a frame on a link.
    Send(u64, Frame),
    /// Keep a link to a process open.
    Dial(Name, String),
    /// Close a link that was dialled.
    Disconnect(Name),
}

/// What a request to control or to another entry was about.
#[derive(Clone, Debug)]
enum Pending {
    Heartbeat(Instant),
    Claim(JobKey),
    Extend(JobKey, Vec<NodeRef>),
    Finish(JobKey),
    Attach(JobKey, u64),
    Search(JobKey, Caller),
}

/// The process at the other end of a link.
#[derive(Clone, Debug)]
enum LinkPeer {
    Agent(usize),
    Entry(NodeRef),
}

/// The jobs of this entry and what it knows about the fleet.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    next_id: u64,
    lease_until: Option<Instant>,
    heartbeat_sent: Option<Instant>,
    /// When the latest heartbeat was sent whose answer gave the present shares.
    shares_sent: Option<Instant>,
    draining: bool,
    config_version: u64,
    members_version: u64,
    teams: FastMap<Name, TeamState>,
    agents: Vec<Agent>,
    agent_names: FastMap<Name, usize>,
    racks: FastMap<Name, u32>,
    entries: FastMap<Name, (NodeRef, String)>,
    links: FastMap<u64, LinkPeer>,
    speeds: Speeds,
    cursor: u64,
    jobs: FastMap<JobKey, Box<Job>>,
    finished: FastMap<JobKey, FinishedJob>,
    expiry_queue: VecDeque<(Instant, JobKey, u64)>,
    finished_bytes: usize,
    pending: FastMap<u64, Pending>,
    searches: FastMap<Caller, remote::Search>,
    /// Run time of all tasks that are not sent yet, at the mean speed.
    backlog: Duration,
    queued_jobs: usize,
    effects: Vec<Effect>,
}

impl Engine {
    /// Longest time between two [`Event::Tick`]s.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

    /// Creates an engine without a lease.
    pub fn new(_: Instant, options: Options) -> Self {
        Self {
            options,
            next_id: 1,
            lease_until: None,
            heartbeat_sent: None,
            shares_sent: None,
            draining: false,
            config_version: 0,
            members_version: 0,
            teams: FastMap::default(),
            agents: Vec::new(),
            agent_names: FastMap::default(),
            racks: FastMap::default(),
            entries: FastMap::default(),
            links: FastMap::default(),
            speeds: Speeds::default(),
            cursor: 0,
            jobs: FastMap::default(),
            finished: FastMap::default(),
            expiry_queue: VecDeque::new(),
            finished_bytes: 0,
            pending: FastMap::default(),
            searches: FastMap::default(),
            backlog: Duration::ZERO,
            queued_jobs: 0,
            effects: Vec::new(),
        }
    }

    /// Takes an event and returns what has to be done, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::Submit(submit) => self.submit(now, submit),
            Event::Query(query) => self.query(now, query, false),
            Event::Cancel(query) => self.query(now, query, true),
            Event::ControlReply(id, response) => self.control_reply(now, id, response),
            Event::Push(push) => {
                if let Some(delta) = push.config {
                    self.apply_config(now, &delta);
                }
                if let Some(delta) = push.members {
                    self.apply_members(now, delta);
                }
            }
            Event::LinkUp(link, peer) => self.link_up(now, link, &peer),
            Event::Frame(link, frame) => self.handle_frame(now, link, frame),
            Event::LinkDown(link) => self.link_down(now, link),
            Event::Tick => self.tick(now),
            Event::Drain => self.draining = true,
        }
        std::mem::take(&mut self.effects)
    }

    /// Tells whether a drain was asked for and no job is left that this entry owns.
    pub fn drained(&self) -> bool {
        self.draining && self.jobs.is_empty()
    }

    /// Returns the number of jobs that have no answer yet.
    pub fn live_jobs(&self) -> usize {
        self.jobs.len()
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn request_control(&mut self, about: Pending, limit: Duration, body: Body) -> u64 {
        let id = self.next_id();
        self.pending.insert(id, about);
        self.effects
            .push(Effect::ControlRequest { id, limit, body });
        id
    }

    fn send(&mut self, link: u64, body: Body) {
        self.send_frame(link, 0, false, body);
    }

    fn send_frame(&mut self, link: u64, request: u64, reply: bool, body: Body) {
        let frame = Frame {
            request,
            reply,
            body: Some(body),
        };
        self.effects.push(Effect::Send(link, frame));
    }

    fn control_reply(&mut self, now: Instant, id: u64, response: Result<Body, Failure>) {
        let Some(about) = self.pending.remove(&id) else {
            return;
        };
        match (about, response) {
            (Pending::Heartbeat(sent), Ok(Body::HeartbeatReply(reply))) => {
                self.heartbeat_reply(now, sent, reply);
            }
            (Pending::Claim(key), Ok(Body::ClaimReply(reply))) => {
                self.with_job(&key, |engine, job| {
                    engine.claim_reply(now, job, id, &reply);
                });
            }
            (Pending::Claim(key), Err(failure)) => {
                self.with_job(&key, |engine, job| {
                    engine.claim_failed(now, job, id, &failure);
                });
            }
            (Pending::Extend(key, agents), reply) => {
                self.with_job(&key, |engine, job| {
                    engine.extend_reply(now, job, &agents, &reply);
                });
            }
            (Pending::Finish(key), Ok(Body::FinishReply(reply))) => {
                self.with_job(&key, |engine, job| {
                    engine.finish_reply(now, job, id, &reply);
                });
            }
            (Pending::Finish(key), _) => {
                self.with_job(&key, |engine, job| engine.retry_finish(job, id));
            }
            _ => {}
        }
    }

    fn handle_frame(&mut self, now: Instant, link: u64, frame: Frame) {
        let Some(peer) = self.links.get(&link) else {
            return;
        };
        match (peer, frame.body) {
            (LinkPeer::Agent(agent), Some(Body::Report(report))) => {
                let agent = *agent;
                self.handle_report(now, agent, report);
            }
            (LinkPeer::Agent(agent), Some(Body::FenceReply(reply))) => {
                let agent = *agent;
                self.fence_reply(now, agent, reply);
            }
            (LinkPeer::Entry(_), Some(Body::Attach(attach))) => {
                self.handle_attach(now, link, frame.request, attach);
            }
            (LinkPeer::Entry(_), Some(Body::AttachReply(reply))) => {
                self.handle_attach_reply(now, frame.request, reply);
            }
            _ => metrics::counter!("entry_unexpected_frames").increment(1),
        }
    }

    fn link_up(&mut self, now: Instant, link: u64, peer: &Peer) {
        match peer.role {
            Role::Agent => self.agent_link_up(now, link, peer),
            Role::Entry => {
                self.links.insert(link, LinkPeer::Entry(peer.node.clone()));
            }
            _ => {}
        }
    }

    fn link_down(&mut self, now: Instant, link: u64) {
        match self.links.remove(&link) {
            Some(LinkPeer::Agent(agent)) => self.agent_link_down(now, agent, link),
            Some(LinkPeer::Entry(_)) => self.entry_link_down(link),
            None => {}
        }
    }

    /// Calls `f` with a job taken out of the map, and puts the job back unless it ended.
    fn with_job(&mut self, key: &JobKey, f: impl FnOnce(&mut Self, &mut Job)) {
        let Some(mut job) = self.jobs.remove(key) else {
            return;
        };
        f(self, &mut job);
        if job.ended {
            self.clear_counts(&mut job);
        } else {
            self.jobs.insert(job.key.clone(), job);
        }
    }
}
