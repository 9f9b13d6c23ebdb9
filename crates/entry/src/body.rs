//! The body of a submission.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use sassafras_config::Team;
use sassafras_policy::Needs;

use crate::response::Ran;
use crate::response::Rejection;
use crate::response::Response;

/// Longest deadline that a task may state.
const MAX_DEADLINE_MS: u64 = 600_000;

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

/// A task as its caller described it, with the defaults of its kind filled in.
#[derive(Clone, Debug)]
pub(crate) struct TaskInput {
    pub payload: Bytes,
    /// Position of the kind in the team's declaration.
    pub kind: usize,
    pub repeatable: bool,
    pub deadline: Duration,
    pub needs: Needs,
}

/// Why a submission's body was not taken.
#[derive(Debug)]
pub(crate) enum ParseError {
    /// The body is not valid under any configuration, so that it was never claimed.
    Malformed(Response),
    /// The body is not valid under the present configuration; it may have been under another.
    Undeclared(Rejection),
}

/// Reads the tasks of a submission.
pub(crate) fn parse(body: &Bytes, team: &Team, most: u32) -> Result<Vec<TaskInput>, ParseError> {
    let submission: Submission<'_> =
        serde_json::from_slice(body).map_err(|e| bad(400, "malformed", &e.to_string()))?;
    let most = most.min(team.tasks) as usize;
    if submission.tasks.is_empty() {
        return Err(bad(422, "no_tasks", "a job has at least one task"));
    }
    if submission.tasks.len() > most {
        let detail = format!("a job has at most {most} tasks");
        return Err(ParseError::Undeclared(Rejection::new(
            422,
            "too_many_tasks",
            detail,
        )));
    }
    let tasks = submission.tasks.iter();
    tasks.map(|task| read_task(body, team, task)).collect()
}

fn read_task(body: &Bytes, team: &Team, task: &TaskBody<'_>) -> Result<TaskInput, ParseError> {
    let position = match task.kind {
        None => Some(0),
        Some(name) => team.kinds.iter().position(|k| *k.name == *name),
    };
    let found = position.and_then(|index| Some((index, team.kinds.get(index)?)));
    let Some((index, kind)) = found else {
        let detail = "the team declares no such kind of task";
        return Err(ParseError::Undeclared(Rejection::new(
            422,
            "unknown_kind",
            detail,
        )));
    };
    let deadline = match task.deadline_ms {
        None => team.deadline,
        Some(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Duration::from_millis(ms),
        Some(_) => {
            let detail = format!("deadline_ms is 1 to {MAX_DEADLINE_MS}");
            return Err(bad(422, "bad_deadline", &detail));
        }
    };
    let stated = task.needs.as_ref();
    let needs = Needs {
        cores: stated.and_then(|n| n.cores).unwrap_or(kind.cores),
        memory: stated.and_then(|n| n.memory_mb).unwrap_or(kind.memory),
        accelerators: stated
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

fn bad(status: u16, code: &str, detail: &str) -> ParseError {
    ParseError::Malformed(Response::rejection(status, code, Ran::No, detail))
}
