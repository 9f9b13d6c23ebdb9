//! The entry's job state machine, free of I/O.

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
use sassafras_policy::RunTimes;
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

/// Timeout of a request to the control group, including the client's retries.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Identity and limits of an [`Engine`].
#[derive(Clone, Debug)]
pub struct Options {
    /// This process.
    pub node: NodeRef,
    /// Availability zone of this process.
    pub zone: Name,
    /// Address at which peers connect to this process.
    pub address: String,
    /// Job limits and timeouts.
    pub jobs: JobSettings,
}

impl Options {
    /// Creates options with default job settings and no address.
    pub fn new(node: NodeRef, zone: Name) -> Self {
        Self {
            node,
            zone,
            address: String::new(),
            jobs: JobSettings::default(),
        }
    }
}

/// Receiver of a response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Caller {
    /// An HTTP request, by ID.
    Http(u64),
    /// A request from another entry.
    Peer {
        /// Link on which the request arrived.
        link: u64,
        /// ID of the request on that link.
        request: u64,
    },
}

/// A caller's request to submit, query or cancel a job.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Receiver of the response.
    pub caller: Caller,
    /// Team and name of the job.
    pub key: JobKey,
    /// SHA-256 digest of the bearer token.
    pub token: Digest,
    /// Request body; empty for queries and cancellations.
    pub body: Bytes,
    /// Longest time to wait for the job to end before responding.
    pub wait: Duration,
}

/// An input of the engine.
#[derive(Debug)]
pub enum Event {
    /// A caller submitted a job.
    Submit(JobRequest),
    /// A caller asks for the state or the result of a job.
    Query(JobRequest),
    /// A caller cancels a job.
    Cancel(JobRequest),
    /// A control request, by ID, received a reply or failed.
    ControlReply(u64, Result<Body, Failure>),
    /// The control group pushed a change of the configuration or the membership.
    Push(Push),
    /// A link to an agent or another entry was established.
    LinkUp(u64, Peer),
    /// A frame arrived on such a link.
    Frame(u64, Frame),
    /// Such a link was closed.
    LinkDown(u64),
    /// Timer tick, expected every [`Engine::TICK_INTERVAL`].
    Tick,
    /// The process was asked to shut down: accept no new jobs.
    Drain,
}

/// An action for the caller of [`Engine::handle`] to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Respond to the HTTP request with this ID.
    Respond(u64, Response),
    /// Send a request to the control group.
    ControlRequest {
        /// ID that [`Event::ControlReply`] repeats.
        id: u64,
        /// Time after which the request fails.
        timeout: Duration,
        /// Body of the request.
        body: Body,
    },
    /// Send a frame on a link.
    Send(u64, Frame),
    /// Connect to the named process at an address, and reconnect whenever the link closes.
    Dial(Name, String),
    /// Close the link to the named process and stop reconnecting.
    Disconnect(Name),
}

/// Subject of an outstanding request to control or to another entry.
#[derive(Clone, Debug)]
enum Pending {
    Heartbeat(Instant),
    Claim(JobKey),
    /// Extension of the claim with this epoch by these agents.
    Extend(JobKey, u64, Vec<NodeRef>),
    Finish(JobKey),
    Attach(JobKey, u64),
    Search(JobKey, Caller),
}

/// Process at the other end of a link; agents by index.
#[derive(Clone, Debug)]
enum LinkPeer {
    Agent(usize),
    Entry(NodeRef),
}

/// State of this entry's jobs, and its view of the agents and other entries.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    next_id: u64,
    lease_until: Option<Instant>,
    heartbeat_sent: Option<Instant>,
    /// When the heartbeat was sent whose reply assigned the current shares.
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
    run_times: RunTimes,
    /// Position of the round-robin placement.
    cursor: u64,
    jobs: FastMap<JobKey, Box<Job>>,
    /// Ended jobs whose response is retained.
    finished: FastMap<JobKey, FinishedJob>,
    /// Retained responses by expiry time, with the ID of their job.
    expiry_queue: VecDeque<(Instant, JobKey, u64)>,
    /// Total size of the retained responses.
    finished_bytes: usize,
    pending: FastMap<u64, Pending>,
    searches: FastMap<Caller, remote::Search>,
    /// Sum of the expected run times of all unsent tasks on an average agent.
    backlog: Duration,
    /// Unclaimed jobs in the queues of all teams.
    queued_jobs: usize,
    effects: Vec<Effect>,
}

impl Engine {
    /// Longest interval between two [`Event::Tick`]s.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

    /// Creates an engine that has no lease and no configuration.
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
            run_times: RunTimes::default(),
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

    /// Applies an event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::Submit(request) => self.submit(now, request),
            Event::Query(request) => self.query_or_cancel(now, request, false),
            Event::Cancel(request) => self.query_or_cancel(now, request, true),
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

    /// Returns whether a drain was requested and no job is left.
    pub fn is_drained(&self) -> bool {
        self.draining && self.jobs.is_empty()
    }

    /// Returns the number of jobs that have not ended.
    pub fn active_jobs(&self) -> usize {
        self.jobs.len()
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn request_control(&mut self, subject: Pending, timeout: Duration, body: Body) -> u64 {
        let id = self.next_id();
        self.pending.insert(id, subject);
        self.effects
            .push(Effect::ControlRequest { id, timeout, body });
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

    fn control_reply(&mut self, now: Instant, id: u64, reply: Result<Body, Failure>) {
        let Some(subject) = self.pending.remove(&id) else {
            return;
        };
        match (subject, reply) {
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
            (Pending::Extend(key, epoch, agents), reply) => {
                self.with_job(&key, |engine, job| {
                    // A late reply says nothing about a later claim.
                    if epoch == job.epoch {
                        engine.extend_reply(now, job, &agents, &reply);
                    }
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
                self.handle_fence_reply(now, agent, reply);
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

    /// Calls `f` with a job removed from the map, and reinserts the job unless it ended.
    fn with_job(&mut self, key: &JobKey, f: impl FnOnce(&mut Self, &mut Job)) {
        let Some(mut job) = self.jobs.remove(key) else {
            return;
        };
        f(self, &mut job);
        if job.ended {
            self.release_job(&mut job);
        } else {
            self.jobs.insert(job.key.clone(), job);
        }
    }
}
