//! Calls to the endpoint and their responses.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;

/// Largest number of starts and stops under way at an endpoint at a time. Connections to endpoints
/// are costly, and these calls are short. The agent decides on further ones when they can be sent;
/// they do not wait behind others after the decision.
pub const MAX_COMMANDS: usize = 3;

/// A call to an endpoint. Times in the command are on the endpoint's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifies the call in its response.
    pub id: u64,
    /// Address of the endpoint.
    pub address: Name,
    /// Id of the endpoint instance that the call is meant for.
    pub instance: Name,
    /// Fencing token, which orders this agent after earlier ones.
    pub token: u64,
    /// Time allowed for the response, including the wait of a poll.
    pub timeout: Duration,
    /// Time after which the call must not be sent, since what it was decided on may no longer hold.
    /// It has to be compared with a clock that includes suspensions when the call is written.
    pub send_by: Instant,
    /// What the endpoint is to do.
    pub command: Command,
}

/// A command to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start a task, unless `expires_ms` has passed.
    Start {
        /// Name of the task.
        task: Name,
        /// Attempt number, which must exceed that of any earlier run.
        attempt: u32,
        /// Payload of the job.
        payload: std::sync::Arc<str>,
        /// End of the lease.
        expires_ms: u64,
    },
    /// Stop a run.
    Stop {
        /// Name of the task.
        task: Name,
        /// Attempt number.
        attempt: u32,
    },
    /// Renew the lease and list the runs, once a run has ended or the wait is over.
    Poll {
        /// New end of the lease; none does not renew it.
        expires_ms: Option<u64>,
        /// Completions up to this sequence number may be dropped.
        acked: u64,
        /// Longest wait for a run to end, in milliseconds.
        wait_ms: u64,
    },
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The command was executed.
    Accepted {
        /// The endpoint's clock.
        clock_ms: u64,
    },
    /// The command was rejected.
    Rejected {
        /// Reason of the rejection.
        reason: Rejection,
        /// The endpoint's clock, if the response contains it.
        clock_ms: Option<u64>,
    },
    /// The runs of the endpoint, in response to a poll.
    Runs(RunList),
    /// The call failed or timed out. The endpoint may still execute the command later.
    Failed,
    /// There was no connection for the call in time, so the endpoint does not execute it.
    NotSent,
}

/// Reason for which an endpoint rejected a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The endpoint knows a higher fencing token.
    Token,
    /// A run with this or a higher attempt number has ended.
    Stale,
    /// The lease in the command has expired.
    Late,
    /// There is not enough capacity.
    Room,
    /// Another instance serves this address.
    Replaced,
    /// The endpoint accepts no work at present.
    Unhealthy,
    /// The command is malformed.
    Invalid,
}

/// A listing of the runs of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunList {
    /// The endpoint's clock.
    pub clock_ms: u64,
    /// Start time of the endpoint, if the listing contains it.
    pub started_ms: Option<u64>,
    /// Whether the listing contains all active runs and all completions that were not acknowledged.
    pub complete: bool,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Completions that were not acknowledged, by ascending sequence number.
    pub completed: Vec<Completion>,
}

/// An active run.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// Name of the task.
    pub task: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Progress in percent.
    pub percent: u32,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Sequence number of the completion at the endpoint.
    pub sequence: u64,
    /// Name of the task.
    pub task: Name,
    /// Attempt number.
    pub attempt: u32,
    /// How the run ended.
    pub outcome: TaskOutcome,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskOutcome {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped by a command.
    Stopped,
    /// The lease expired.
    Lapsed,
}

/// An endpoint's description of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Id of the endpoint instance.
    pub id: Name,
    /// Start time of the instance, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number of the announcement since the start of the instance.
    pub sequence: u64,
    /// Pool of the endpoint.
    pub pool: Name,
    /// Address that accepts commands.
    pub address: Name,
    /// Kind and rack of the endpoint.
    pub labels: Vec<Name>,
    /// Total capacity.
    pub capacity: crate::Resources,
    /// Whether the endpoint is about to leave.
    pub draining: bool,
}
