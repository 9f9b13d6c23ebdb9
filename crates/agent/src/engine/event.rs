//! What the engine is told and what it asks for.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use sassafras_util::Name;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::NodeState;

use crate::announce::Announcement;
use crate::engine::record::Reason;

/// A link to an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u64);

/// Bounds of the engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long job records and results are kept; claims older than half of it are refused.
    pub retention: Duration,
    /// Bytes of results kept at a time.
    pub result_bytes: usize,
    /// Records of jobs and attempts kept at a time.
    pub records: usize,
    /// Tasks that may wait for a slot.
    pub queue: usize,
    /// Payload bytes of the tasks that wait for a slot.
    pub queue_bytes: usize,
}

impl Default for Options {
    /// 10 minutes, 256 MiB of results, 500,000 records, 1,024 queued tasks of up to 64 MiB.
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            result_bytes: 256 * 1024 * 1024,
            records: 500_000,
            queue: 1024,
            queue_bytes: 64 * 1024 * 1024,
        }
    }
}

/// What control answered to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// When the heartbeat was sent; the lease counts from here.
    pub sent: Instant,
    /// How long the lease lasts.
    pub lease: Duration,
    /// The control group's clock, in milliseconds.
    pub control_ms: u64,
    /// The state that control holds for this node.
    pub state: NodeState,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry opened a link.
    LinkUp(LinkId),
    /// A link is closed.
    LinkDown(LinkId),
    /// A frame arrived from an entry.
    Frame(LinkId, Frame),
    /// The endpoint announced itself.
    EndpointAnnounced(Announcement),
    /// Control answered a heartbeat.
    LeaseRenewed(LeaseRenewal),
    /// A started task has ended.
    Completed(Completion),
    /// The process was asked to stop.
    Leave,
    /// Some time has passed; expected every 50 ms or less.
    Tick,
}

/// Where the endpoint takes tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// Path of the task resource.
    pub path: Name,
    /// Connections that may be open at a time.
    pub connections: u32,
}

/// A task to start on the endpoint.
#[derive(Clone, Debug)]
pub struct Start {
    /// Names the start in [`Ended`].
    pub id: u64,
    /// Where to start it.
    pub target: Target,
    /// Team, job, index and attempt, separated by slashes.
    pub task: String,
    /// The kind of task.
    pub kind: Name,
    /// Time left until the deadline, if there is one.
    pub deadline: Option<Duration>,
    /// The request's body.
    pub payload: Bytes,
}

/// How a started task ended.
#[derive(Clone, Debug)]
pub enum TaskOutcome {
    /// The endpoint returned this result.
    Done(Bytes),
    /// The endpoint ran the task and reported a failure.
    Errored(Reason),
    /// It may have run, and its end cannot be established.
    Lost(Reason),
    /// It certainly did not run.
    NotRun(Reason),
}

/// The outcome of a started task and how long the endpoint took.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The id of the [`Start`].
    pub id: u64,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// Time from the sending of the request to the end of the response.
    pub service_time: Duration,
}

/// What an endpoint is told about a running task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verb {
    /// Stop it.
    Stop,
    /// Write a checkpoint.
    Checkpoint,
    /// Run more slowly.
    Throttle,
}

/// A directive to the endpoint.
#[derive(Clone, Debug)]
pub struct Directed {
    /// Where the task runs.
    pub target: Target,
    /// Team, job, index and attempt, separated by slashes.
    pub task: String,
    /// What to do.
    pub verb: Verb,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a frame to an entry.
    Send {
        /// The entry's link.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// Starts a task.
    Start(Start),
    /// Carries a directive.
    Direct(Directed),
    /// Sends a heartbeat at once, since the node's state or its endpoint has changed.
    Heartbeat,
}
