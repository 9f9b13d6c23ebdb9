//! Jobs as callers submit them, and the reading of answers.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

use crate::evidence::Answer;
use crate::evidence::Call;
use crate::http;
use crate::http::Reply;
use crate::wait::unix_ms;

/// Numbers are unique over all jobs of a test process.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// A job to submit.
#[derive(Clone, Debug)]
pub struct Job {
    /// The team.
    pub team: String,
    /// The job's name.
    pub name: String,
    /// The team's bearer token.
    pub token: String,
    /// The unique number in each task's payload.
    pub numbers: Vec<u64>,
    /// How long each task runs, in milliseconds.
    pub work_ms: u64,
    /// Whether a lost attempt may be started again.
    pub repeatable: bool,
    /// How long a submission waits for the answer, in milliseconds.
    pub wait_ms: u64,
}

impl Job {
    /// Creates a job of the test team that is not repeatable.
    pub fn new(name: &str, tasks: u64, work_ms: u64) -> Self {
        let first = NEXT.fetch_add(tasks, Ordering::Relaxed);
        Self {
            team: crate::settings::TEAM.to_owned(),
            name: name.to_owned(),
            token: crate::settings::TEAM_TOKEN.to_owned(),
            numbers: (first..first + tasks).collect(),
            work_ms,
            repeatable: false,
            wait_ms: 30_000,
        }
    }

    /// Returns the path of the job's resource.
    pub fn path(&self) -> String {
        format!("/v1/teams/{}/jobs/{}", self.team, self.name)
    }

    /// Returns the body of the submission.
    pub fn body(&self) -> String {
        let task = |n: &u64| {
            let mut task = json!({"payload": {"number": n, "work_ms": self.work_ms}});
            if self.repeatable {
                task["kind"] = json!(crate::settings::REPEATABLE);
            } else {
                task["repeatable"] = json!(false);
            }
            task
        };
        let tasks: Vec<Value> = self.numbers.iter().map(task).collect();
        json!({ "tasks": tasks }).to_string()
    }

    /// Submits the job once.
    pub async fn submit(&self, entry: &str, addr: SocketAddr) -> Call {
        let path = format!("{}?wait_ms={}", self.path(), self.wait_ms);
        let sent_ms = unix_ms();
        let reply = http::request(addr, "PUT", &path, &self.token, self.body()).await;
        Call {
            team: self.team.clone(),
            job: self.name.clone(),
            entry: entry.to_owned(),
            numbers: self.numbers.clone(),
            repeatable: self.repeatable,
            sent_ms,
            answered_ms: unix_ms(),
            answer: reply.map_or_else(Answer::Broken, |r| read(&r)),
        }
    }
}

/// Reads an answer as the caller API defines it.
fn read(reply: &Reply) -> Answer {
    let json = reply.json();
    let outcome = json["outcome"].as_str().unwrap_or_default();
    let ran = json["ran"].as_bool();
    let text = |member: &str| json[member].as_str().unwrap_or_default().to_owned();
    match (reply.status, outcome) {
        (200, "complete") => complete(&json),
        (202, "running") => Answer::Running,
        (410 | 502 | 504, "failed") => Answer::Failed {
            status: reply.status,
            reason: text("reason"),
            ran,
            results: !json["results"].is_null(),
        },
        (400..=599, "") if json["code"].is_string() => Answer::Refused {
            status: reply.status,
            code: text("code"),
            ran,
        },
        (status, _) => {
            let body = String::from_utf8_lossy(&reply.body);
            let start: String = body.chars().take(200).collect();
            Answer::Malformed(format!("{status} {start}"))
        }
    }
}

fn complete(json: &Value) -> Answer {
    let result = |r: &Value| {
        let payload = &r["payload"];
        Some((
            r["index"].as_u64()?,
            payload["task"].as_str()?.to_owned(),
            payload["payload"]["number"].as_u64()?,
        ))
    };
    let results = json["results"].as_array().map(Vec::as_slice);
    match results.unwrap_or_default().iter().map(result).collect() {
        Some(results) => Answer::Complete(results),
        None => Answer::Malformed(format!("complete with {}", json["results"])),
    }
}
