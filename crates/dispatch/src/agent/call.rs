//! Calls to the endpoint, and its answers.

use std::time::Duration;

use sassafras_util::Name;

/// A call to the endpoint at an address. Times are on the endpoint's own clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifies the call in its response.
    pub id: u64,
    /// The endpoint's address.
    pub address: Name,
    /// Id of the endpoint instance that the call is meant for.
    pub instance: Name,
    /// The token that orders this agent after earlier ones.
    pub token: u64,
    /// Time allowed for the response, including the wait of a poll.
    pub timeout: Duration,
    /// What is asked.
    pub command: Command,
}

/// What an endpoint is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start a task, unless it is later than `expires_ms` on the endpoint's clock.
    Start {
        /// Name of the task.
        task: Name,
        /// Number of the run; it must exceed that of any earlier run.
        attempt: u32,
        /// Passed to the task.
        payload: std::sync::Arc<str>,
        /// End of the lease, on the endpoint's clock.
        expires_ms: u64,
    },
    /// Stop a run.
    Stop {
        /// Name of the task.
        task: Name,
        /// Number of the run.
        attempt: u32,
    },
    /// Renew the lease and report runs.
    Poll {
        /// New end of the lease, on the endpoint's clock; none leaves it as it is.
        expires_ms: Option<u64>,
        /// Ends up to this number are forgotten.
        acked: u64,
        /// Longest wait for a run to end, in milliseconds.
        wait_ms: u64,
    },
}

/// How an endpoint answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Done.
    Accepted {
        /// The endpoint's clock.
        clock_ms: u64,
    },
    /// Not done.
    Rejected {
        /// Why.
        reason: Rejection,
        /// The endpoint's clock, if it was sent.
        clock_ms: Option<u64>,
    },
    /// The runs of the endpoint.
    Runs(RunList),
    /// The call failed or timed out; the endpoint may still execute the command later.
    Failed,
}

/// Why an endpoint rejected an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// A higher token is known.
    Token,
    /// A run with this or a higher number ended there.
    Stale,
    /// The lease in the order is over.
    Late,
    /// There is no room.
    Room,
    /// The endpoint is another start than the one named.
    Replaced,
    /// The endpoint takes no work now.
    Unhealthy,
    /// The order itself is wrong.
    Invalid,
}

/// The runs that an endpoint lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunList {
    /// The endpoint's clock.
    pub clock_ms: u64,
    /// When the endpoint was started, if it says so.
    pub started_ms: Option<u64>,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// What ended and was not acknowledged, by rising number.
    pub completed: Vec<Completion>,
}

/// A run that an endpoint lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub attempt: u32,
    /// Progress in hundredths.
    pub percent: u32,
}

/// A run that an endpoint lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Sequence number of the completion at the endpoint.
    pub sequence: u64,
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub attempt: u32,
    /// How it ended.
    pub outcome: TaskOutcome,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskOutcome {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// It was stopped on an order.
    Stopped,
    /// Its lease was not renewed.
    Lapsed,
}

/// How an endpoint describes itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Name of the endpoint.
    pub id: Name,
    /// When it was started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of the announcement since the start.
    pub sequence: u64,
    /// Pool that it belongs to.
    pub pool: Name,
    /// Where it takes orders.
    pub address: Name,
    /// Kind and rack.
    pub labels: Vec<Name>,
    /// What it holds.
    pub capacity: crate::Resources,
    /// Whether it is about to leave.
    pub draining: bool,
}
