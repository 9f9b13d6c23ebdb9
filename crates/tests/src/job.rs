//! Jobs as callers submit them, and the parsing of responses.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

use crate::history::JobResponse;
use crate::history::Submission;
use crate::http;
use crate::http::Response;
use crate::wait::unix_ms;

/// Next payload number; numbers are unique across all jobs of a test process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

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
    pub payload_numbers: Vec<u64>,
    /// How long each task runs, in milliseconds.
    pub work_ms: u64,
    /// Whether a lost attempt may be started again.
    pub repeatable: bool,
    /// How long an entry may hold a submission before it responds, in milliseconds.
    pub wait_ms: u64,
}

impl Job {
    /// Creates a job of the test team that is not repeatable.
    pub fn new(name: &str, tasks: u64, work_ms: u64) -> Self {
        let first = NEXT_NUMBER.fetch_add(tasks, Ordering::Relaxed);
        Self {
            team: crate::settings::TEAM_NAME.to_owned(),
            name: name.to_owned(),
            token: crate::settings::TEAM_TOKEN.to_owned(),
            payload_numbers: (first..first + tasks).collect(),
            work_ms,
            repeatable: false,
            wait_ms: 30_000,
        }
    }

    /// Returns the path of the job's resource.
    pub fn path(&self) -> String {
        format!("/v1/teams/{}/jobs/{}", self.team, self.name)
    }

    /// Returns the JSON body of the submission.
    pub fn request_body(&self) -> String {
        let task = |n: &u64| {
            let mut task = json!({"payload": {"number": n, "work_ms": self.work_ms}});
            if self.repeatable {
                task["kind"] = json!(crate::settings::REPEATABLE_KIND);
            } else {
                task["repeatable"] = json!(false);
            }
            task
        };
        let tasks: Vec<Value> = self.payload_numbers.iter().map(task).collect();
        json!({ "tasks": tasks }).to_string()
    }

    /// Submits the job once.
    pub async fn submit(&self, entry: &str, addr: SocketAddr) -> Submission {
        let path = format!("{}?wait_ms={}", self.path(), self.wait_ms);
        let sent_ms = unix_ms();
        let response = http::request(addr, "PUT", &path, &self.token, self.request_body()).await;
        Submission {
            team: self.team.clone(),
            job: self.name.clone(),
            entry: entry.to_owned(),
            payload_numbers: self.payload_numbers.clone(),
            repeatable: self.repeatable,
            sent_ms,
            received_ms: unix_ms(),
            response: response.map_or_else(JobResponse::ConnectionFailed, |r| parse_response(&r)),
        }
    }
}

/// Classifies a response by the caller API.
fn parse_response(response: &Response) -> JobResponse {
    let json = response.json();
    let outcome = json["outcome"].as_str().unwrap_or_default();
    let ran = json["ran"].as_bool();
    let text = |member: &str| json[member].as_str().unwrap_or_default().to_owned();
    match (response.status, outcome) {
        (200, "complete") => parse_complete(&json),
        (202, "running") => JobResponse::Running,
        (410 | 502 | 504, "failed") => JobResponse::Failed {
            status: response.status,
            reason: text("reason"),
            ran,
            results: !json["results"].is_null(),
        },
        (400..=599, "") if json["code"].is_string() => JobResponse::Rejected {
            status: response.status,
            code: text("code"),
            ran,
        },
        (status, _) => {
            let body = String::from_utf8_lossy(&response.body);
            let start: String = body.chars().take(200).collect();
            JobResponse::Malformed(format!("{status} {start}"))
        }
    }
}

fn parse_complete(json: &Value) -> JobResponse {
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
        Some(results) => JobResponse::Complete(results),
        None => JobResponse::Malformed(format!("complete with {}", json["results"])),
    }
}
