//! What callers, endpoints and operators observed during a run.

use serde::Deserialize;

/// A task's result: its index, the task's name and the number from its payload.
pub type TaskResult = (u64, String, u64);

/// The response to a submission, as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobResponse {
    /// Every result, in the order of the response.
    Complete(Vec<TaskResult>),
    /// The job failed.
    Failed {
        /// The status code.
        status: u16,
        /// The `reason` member.
        reason: String,
        /// The `ran` member, if it is a boolean.
        ran: Option<bool>,
        /// Whether the response carried results.
        results: bool,
    },
    /// The job was not accepted.
    Rejected {
        /// The status code.
        status: u16,
        /// The `code` member.
        code: String,
        /// The `ran` member, if it is a boolean.
        ran: Option<bool>,
    },
    /// The job still runs.
    Running,
    /// The caller timed out.
    TimedOut,
    /// The connection could not be opened, or was lost before the response was complete.
    ConnectionFailed(String),
    /// A response that violates the caller API.
    Malformed(String),
}

impl JobResponse {
    /// Reports whether the job's outcome is known.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Complete(_) | Self::Failed { .. })
    }

    /// Returns the `ran` member, if the response has one that is a boolean.
    pub fn ran(&self) -> Option<bool> {
        match self {
            Self::Failed { ran, .. } | Self::Rejected { ran, .. } => *ran,
            _ => None,
        }
    }
}

/// One submission by a caller, and its response.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The team.
    pub team: String,
    /// The job's name.
    pub job: String,
    /// The entry that received the submission.
    pub entry: String,
    /// The unique number in the payload of each task.
    pub payload_numbers: Vec<u64>,
    /// Whether a lost attempt may be started again.
    pub repeatable: bool,
    /// When the submission was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When the response arrived or the attempt failed.
    pub received_ms: u64,
    /// The response.
    pub response: JobResponse,
}

/// A task start that an endpoint recorded.
#[derive(Clone, Debug)]
pub struct StartRecord {
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
    /// When the endpoint received the start.
    pub start_ms: u64,
    /// How the task ended, if it has ended: `done`, `failed`, `stopped` or `dropped`.
    pub outcome: Option<String>,
}

/// An endpoint that was asked to leave.
#[derive(Clone, Debug)]
pub struct LeavingEndpoint {
    /// The endpoint.
    pub endpoint: String,
    /// When it was asked to leave.
    pub requested_ms: u64,
    /// When it was started again, if it was.
    pub restarted_ms: Option<u64>,
}

/// A process that was asked to stop gracefully.
#[derive(Clone, Debug)]
pub struct GracefulStop {
    /// The process.
    pub process: String,
    /// The endpoint that the process serves, if it is an agent.
    pub endpoint: Option<String>,
    /// When it was asked to stop.
    pub requested_ms: u64,
    /// Whether it exited on its own with status 0.
    pub clean: bool,
}

/// The configuration version in force on a node, as control reported it.
#[derive(Clone, Debug)]
pub struct VersionSample {
    /// The node, or `control`.
    pub node: String,
    /// The node's incarnation.
    pub incarnation: u64,
    /// When the node reported the version.
    pub reported_ms: u64,
    /// The version; 0 while the node has no configuration and serves nothing.
    pub version: u64,
    /// Whether the node reported that it is suspended: it holds no lease and serves nothing.
    pub suspended: bool,
}

/// Everything that was observed in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All submissions, in the order in which they ended.
    pub submissions: Vec<Submission>,
    /// The start records of all endpoints.
    pub starts: Vec<StartRecord>,
    /// Endpoints that were asked to leave.
    pub leaving: Vec<LeavingEndpoint>,
    /// Graceful stops.
    pub stops: Vec<GracefulStop>,
    /// Accepted configuration versions and when they were accepted.
    pub accepted: Vec<(u64, u64)>,
    /// Sampled configuration versions.
    pub versions: Vec<VersionSample>,
    /// Whether graceful stops were the only faults of the run.
    pub only_graceful: bool,
    /// Longest delay of a timer in the test process, in milliseconds. The time bounds of the
    /// guarantees are extended by it, since a busy machine delays recorded times as much.
    pub lag_ms: u64,
}

/// A line of an endpoint's record file.
#[derive(Deserialize)]
struct Line {
    task: String,
    start_ms: u64,
    outcome: Option<String>,
}

/// Parses the record file of an endpoint: one line for each start, and another for its end.
pub(crate) fn parse_starts(endpoint: &str, text: &str) -> Vec<StartRecord> {
    let mut starts: Vec<StartRecord> = Vec::new();
    for line in text.lines() {
        // A kill can truncate the last line. It is then the end of a task whose start is already
        // recorded, or a start that the endpoint did not execute.
        let Ok(line) = serde_json::from_str::<Line>(line) else {
            continue;
        };
        let Some(record) = parse_start(endpoint, &line) else {
            continue;
        };
        if record.outcome.is_none() {
            starts.push(record);
        } else if let Some(start) = starts.iter_mut().rev().find(|s| is_end_of(&record, s)) {
            start.outcome = record.outcome;
        }
    }
    starts
}

fn is_end_of(end: &StartRecord, start: &StartRecord) -> bool {
    start.outcome.is_none()
        && (
            &start.team,
            &start.job,
            start.index,
            start.attempt,
            start.start_ms,
        ) == (&end.team, &end.job, end.index, end.attempt, end.start_ms)
}

fn parse_start(endpoint: &str, line: &Line) -> Option<StartRecord> {
    let mut parts = line.task.split('/');
    Some(StartRecord {
        endpoint: endpoint.to_owned(),
        team: parts.next()?.to_owned(),
        job: parts.next()?.to_owned(),
        index: parts.next()?.parse().ok()?,
        attempt: parts.next()?.parse().ok()?,
        start_ms: line.start_ms,
        outcome: line.outcome.clone(),
    })
}
