//! Inputs and outputs of the engine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use sassafras_util::Name;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::NodeState;

use crate::announce::Announcement;
use crate::engine::record::Reason;

/// Identifies a link to an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u64);

/// Limits of the engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long job records and results are kept. Claims older than half of this are refused.
    pub retention: Duration,
    /// Maximum total size of kept results, in bytes.
    pub result_bytes: usize,
    /// Maximum number of kept job and attempt records.
    pub records: usize,
    /// Maximum number of tasks waiting for a slot.
    pub queue: usize,
    /// Maximum total payload size of the tasks waiting for a slot, in bytes.
    pub queue_bytes: usize,
}

impl Default for Options {
    /// 10 minutes, 256 MiB of results, 500,000 records, 1,024 queued tasks of 64 MiB in total.
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

/// The lease and control state from a heartbeat reply.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// When the heartbeat was sent. The lease starts at this time.
    pub sent: Instant,
    /// Duration of the lease.
    pub lease: Duration,
    /// The control group's clock in milliseconds.
    pub control_ms: u64,
    /// The state that the control group holds for this node.
    pub state: NodeState,
}

/// An input to the engine.
#[derive(Clone, Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "moved once; boxing would allocate for each"
)]
pub enum Event {
    /// An entry opened a link.
    LinkUp(LinkId),
    /// A link was closed.
    LinkDown(LinkId),
    /// A frame arrived from an entry.
    Frame(LinkId, Frame),
    /// The endpoint announced itself.
    EndpointAnnounced(Announcement),
    /// The control group replied to a heartbeat.
    LeaseRenewed(LeaseRenewal),
    /// A started task ended.
    Completed(Completion),
    /// A graceful shutdown was requested.
    Shutdown,
    /// Periodic tick, due at least every 50 ms.
    Tick,
}

/// Where the endpoint accepts tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Path of the task resource.
    pub path: Name,
    /// Maximum number of open connections.
    pub connections: u32,
}

/// A task to start on the endpoint.
#[derive(Clone, Debug)]
pub struct Start {
    /// Identifies the start in its [`Completion`].
    pub id: u64,
    /// Where to start it.
    pub target: Target,
    /// Team, job, index and attempt, separated by slashes.
    pub task: String,
    /// The kind of task.
    pub kind: Name,
    /// Time left until the deadline, if any.
    pub deadline: Option<Duration>,
    /// Body of the request.
    pub payload: Bytes,
}

/// Outcome of a started task.
#[derive(Clone, Debug)]
pub enum TaskOutcome {
    /// The endpoint returned this result.
    Done(Bytes),
    /// The endpoint ran the task and reported a failure.
    Errored(Reason),
    /// The task may have run, and its outcome is unknown.
    Lost(Reason),
    /// The task did not run.
    NotRun(Reason),
}

/// The outcome of a started task and its service time.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The id of the [`Start`].
    pub id: u64,
    /// Outcome of the task.
    pub outcome: TaskOutcome,
    /// Time from sending the request to the end of the response.
    pub service_time: Duration,
}

/// Action that a directive requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectiveAction {
    /// Stop the task.
    Stop,
    /// Write a checkpoint.
    Checkpoint,
    /// Slow the task down.
    Throttle,
}

/// A directive to the endpoint about a running task.
#[derive(Clone, Debug)]
pub struct TaskDirective {
    /// Where the task runs.
    pub target: Target,
    /// Team, job, index and attempt, separated by slashes.
    pub task: String,
    /// The requested action.
    pub action: DirectiveAction,
}

/// An output of the engine, to be carried out by the caller.
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
    /// Sends a directive to the endpoint.
    SendDirective(TaskDirective),
    /// Sends a heartbeat immediately because the state of the node or its endpoint changed.
    Heartbeat,
}
