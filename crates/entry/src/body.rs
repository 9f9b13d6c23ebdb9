//! Parsing of submission bodies.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use sassafras_config::MAX_DEADLINE_MS;
use sassafras_config::Team;
use sassafras_policy::Needs;

use crate::response::Ran;
use crate::response::Rejection;
use crate::response::Response;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission<'a> {
    #[serde(borrow)]
    tasks: Vec<TaskBody<'a>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody<'a> {
    #[serde(borrow)]
    payload: &'a RawValue,
    kind: Option<&'a str>,
    repeatable: Option<bool>,
    deadline_ms: Option<u64>,
    needs: Option<NeedsBody>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NeedsBody {
    accelerators: Option<u32>,
    cores: Option<u32>,
    memory_mb: Option<u64>,
}

/// A submitted task, with the defaults of its kind and team filled in.
#[derive(Clone, Debug)]
pub(crate) struct TaskInput {
    pub payload: Bytes,
    /// Index of the kind in the team's configuration.
    pub kind: usize,
    pub repeatable: bool,
    pub deadline: Duration,
    pub needs: Needs,
}

/// Reason for rejecting the body of a submission.
#[derive(Debug)]
pub(crate) enum ParseError {
    /// The body is invalid under any configuration, so that it was never claimed.
    Malformed(Response),
    /// The body is invalid under the current configuration, but an earlier one may have
    /// accepted it.
    NotConfigured(Rejection),
}

/// Parses the tasks of a submission, of which there may be at most `max_tasks`.
pub(crate) fn parse(
    body: &Bytes,
    team: &Team,
    max_tasks: u32,
) -> Result<Vec<TaskInput>, ParseError> {
    let submission: Submission<'_> =
        serde_json::from_slice(body).map_err(|e| malformed(400, "malformed", &e.to_string()))?;
    let limit = max_tasks.min(team.max_tasks) as usize;
    if submission.tasks.is_empty() {
        return Err(malformed(422, "no_tasks", "job has no tasks"));
    }
    if submission.tasks.len() > limit {
        let detail = format!("job has more than {limit} tasks");
        return Err(ParseError::NotConfigured(Rejection::new(
            422,
            "too_many_tasks",
            detail,
        )));
    }
    let tasks = submission.tasks.iter();
    tasks.map(|task| parse_task(body, team, task)).collect()
}

fn parse_task(body: &Bytes, team: &Team, task: &TaskBody<'_>) -> Result<TaskInput, ParseError> {
    let position = match task.kind {
        None => Some(0),
        Some(name) => team.kinds.iter().position(|k| *k.name == *name),
    };
    let kind = position.and_then(|index| Some((index, team.kinds.get(index)?)));
    let Some((index, kind)) = kind else {
        let detail = "task kind is not configured for this team";
        return Err(ParseError::NotConfigured(Rejection::new(
            422,
            "unknown_kind",
            detail,
        )));
    };
    let deadline = match task.deadline_ms {
        None => team.default_deadline,
        Some(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Duration::from_millis(ms),
        Some(_) => {
            let detail = format!("deadline_ms must be 1 to {MAX_DEADLINE_MS}");
            return Err(malformed(422, "bad_deadline", &detail));
        }
    };
    let requested = task.needs.as_ref();
    let needs = Needs {
        cores: requested.and_then(|n| n.cores).unwrap_or(kind.cores),
        memory: requested
            .and_then(|n| n.memory_mb)
            .unwrap_or(kind.memory_mb),
        accelerators: requested
            .and_then(|n| n.accelerators)
            .unwrap_or(kind.accelerators),
    };
    Ok(TaskInput {
        payload: body.slice_ref(task.payload.get().as_bytes()),
        kind: index,
        repeatable: kind.repeatable && task.repeatable != Some(false),
        deadline,
        needs,
    })
}

fn malformed(status: u16, code: &str, detail: &str) -> ParseError {
    ParseError::Malformed(Response::rejected(status, code, Ran::No, detail))
}
