//! What callers, endpoints and operators saw.

use serde::Deserialize;

/// A task's result, as its index, the task's name and the payload's number.
pub type TaskResult = (u64, String, u64);

/// What a caller heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Every result, in the order of the answer.
    Complete(Vec<TaskResult>),
    /// The job failed; `results` tells whether results came with it.
    Failed {
        /// The status code.
        status: u16,
        /// The reason given.
        reason: String,
        /// The `ran` member, when it is a boolean.
        ran: Option<bool>,
        /// Whether the answer carried results.
        results: bool,
    },
    /// The job was not accepted.
    Refused {
        /// The status code.
        status: u16,
        /// The code given.
        code: String,
        /// The `ran` member, when it is a boolean.
        ran: Option<bool>,
    },
    /// The job still runs.
    Running,
    /// The caller stopped waiting.
    GaveUp,
    /// The connection could not be opened, or broke.
    Broken(String),
    /// An answer that the interface does not allow.
    Malformed(String),
}

impl Answer {
    /// Reports whether the job's outcome is known.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Complete(_) | Self::Failed { .. })
    }

    /// Returns the `ran` member, when it is a boolean.
    pub fn ran(&self) -> Option<bool> {
        match self {
            Self::Failed { ran, .. } | Self::Refused { ran, .. } => *ran,
            _ => None,
        }
    }
}

/// One submission by a caller, and its answer.
#[derive(Clone, Debug)]
pub struct Call {
    /// The team.
    pub team: String,
    /// The job's name.
    pub job: String,
    /// The entry that was asked.
    pub entry: String,
    /// The unique number in the payload of each task.
    pub numbers: Vec<u64>,
    /// Whether a lost attempt may be started again.
    pub repeatable: bool,
    /// When the submission was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When the answer arrived.
    pub answered_ms: u64,
    /// The answer.
    pub answer: Answer,
}

/// One start in an endpoint's own record.
#[derive(Clone, Debug)]
pub struct Started {
    /// The endpoint.
    pub endpoint: String,
    /// The team.
    pub team: String,
    /// The job's name.
    pub job: String,
    /// The task's index.
    pub index: u64,
    /// The attempt.
    pub attempt: u64,
    /// When the start reached the endpoint.
    pub start_ms: u64,
    /// How the task ended, if it did: `done`, `failed`, `stopped` or `dropped`.
    pub outcome: Option<String>,
}

/// An endpoint that announced that it leaves.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The endpoint.
    pub endpoint: String,
    /// When it was asked to leave.
    pub at_ms: u64,
    /// When it was started again, if it was.
    pub until_ms: Option<u64>,
}

/// A process that was asked to stop gracefully.
#[derive(Clone, Debug)]
pub struct GracefulStop {
    /// The process.
    pub process: String,
    /// The endpoint behind the process, for agents.
    pub endpoint: Option<String>,
    /// When it was asked.
    pub at_ms: u64,
    /// Whether it ended by itself with success.
    pub clean: bool,
}

/// The configuration version in force on a node, as control knew it.
#[derive(Clone, Debug)]
pub struct VersionSample {
    /// The node, or `control`.
    pub node: String,
    /// The node's incarnation.
    pub incarnation: u64,
    /// When the node reported the version.
    pub at_ms: u64,
    /// The version; 0 while the node has no configuration and serves nothing.
    pub version: u64,
    /// Whether the node reported that it serves nothing, since it holds no lease.
    pub suspended: bool,
}

/// Everything that was recorded in one run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The callers' record.
    pub calls: Vec<Call>,
    /// The endpoints' records.
    pub starts: Vec<Started>,
    /// Endpoints that left.
    pub leaving: Vec<Leaving>,
    /// Graceful stops.
    pub stops: Vec<GracefulStop>,
    /// Accepted configuration versions and the time of their acceptance.
    pub accepted: Vec<(u64, u64)>,
    /// Versions in force.
    pub versions: Vec<VersionSample>,
    /// Whether graceful stops were the only disturbance.
    pub only_graceful: bool,
    /// Longest delay of a due timer in the test process, in milliseconds. The time bounds of
    /// the promises are extended by it, since a busy machine delays the records as much.
    pub lag_ms: u64,
}

#[derive(Deserialize)]
struct Line {
    task: String,
    start_ms: u64,
    outcome: Option<String>,
}

/// Reads the record of an endpoint: a line for each start, and a second one for its end.
pub(crate) fn parse_starts(endpoint: &str, text: &str) -> Vec<Started> {
    let mut starts: Vec<Started> = Vec::new();
    for line in text.lines() {
        // A line cut short by a kill is the end of a task whose start is on a line of its own,
        // or a start that the endpoint did not act upon.
        let Ok(line) = serde_json::from_str::<Line>(line) else {
            continue;
        };
        let Some(started) = parse_start(endpoint, &line) else {
            continue;
        };
        if started.outcome.is_none() {
            starts.push(started);
        } else if let Some(open) = starts.iter_mut().rev().find(|s| same(s, &started)) {
            open.outcome = started.outcome;
        }
    }
    starts
}

fn same(open: &Started, end: &Started) -> bool {
    open.outcome.is_none()
        && (
            &open.team,
            &open.job,
            open.index,
            open.attempt,
            open.start_ms,
        ) == (&end.team, &end.job, end.index, end.attempt, end.start_ms)
}

fn parse_start(endpoint: &str, line: &Line) -> Option<Started> {
    let mut parts = line.task.split('/');
    Some(Started {
        endpoint: endpoint.to_owned(),
        team: parts.next()?.to_owned(),
        job: parts.next()?.to_owned(),
        index: parts.next()?.parse().ok()?,
        attempt: parts.next()?.parse().ok()?,
        start_ms: line.start_ms,
        outcome: line.outcome.clone(),
    })
}
