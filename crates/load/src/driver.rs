//! Submits the jobs of a run at their times and judges every answer.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use tokio::task::JoinSet;

use crate::http_client::HttpClient;
use crate::http_client::Reply;
use crate::http_client::SendError;
use crate::workload::Job;
use crate::workload::Task;

/// Longest wait that the caller API accepts, in milliseconds.
const WAIT_MS: u64 = 60_000;
/// A job without an answer for this long is lost.
const GIVE_UP: Duration = Duration::from_secs(90);
/// Pause before a job whose connection broke is submitted again.
const RESUBMIT_PAUSE: Duration = Duration::from_millis(100);
/// Pause before another entry is tried when one cannot be connected to.
const RECONNECT_PAUSE: Duration = Duration::from_millis(1);
/// Time for one request; a caller then believes that it was lost.
const REQUEST_LIMIT: Duration = Duration::from_secs(65);

/// How callers of one team identify themselves.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// The team's name.
    pub team: String,
    /// The bearer token.
    pub token: String,
}

/// What became of a job, as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobResult {
    /// Every result arrived, each for its own task.
    Complete,
    /// An answer that says complete but lacks a result or holds another task's.
    Partial,
    /// A failed outcome with its code.
    Failed(String),
    /// A refusal with its code.
    Refused(String),
    /// Cancelled, as its caller asked.
    Cancelled,
    /// No answer.
    Lost,
}

/// One job after its run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What became of it.
    pub result: JobResult,
    /// Time from the submission to the answer.
    pub response: Duration,
    /// Submissions beyond the first.
    pub resubmits: u64,
    /// Requests for the state of the job.
    pub polls: u64,
}

/// Submits jobs to a set of entries.
#[derive(Clone, Debug)]
pub struct Driver {
    entries: Vec<HttpClient>,
    teams: Vec<Credentials>,
    kinds: Vec<&'static str>,
}

/// The requests of one job.
struct Attempt<'a> {
    driver: &'a Driver,
    path: String,
    bearer: String,
    entry: usize,
    outcome: Outcome,
}

impl Driver {
    /// Creates a driver.
    pub fn new(
        entries: Vec<HttpClient>,
        teams: Vec<Credentials>,
        kinds: Vec<&'static str>,
    ) -> Self {
        Self {
            entries,
            teams,
            kinds,
        }
    }

    /// Submits every job at its time after `start` and returns the outcomes in job order.
    pub async fn run(&self, start: Instant, jobs: &Arc<Vec<Job>>) -> Vec<Outcome> {
        let mut set = JoinSet::new();
        for nth in 0..jobs.len() {
            let driver = self.clone();
            let jobs = Arc::clone(jobs);
            set.spawn(async move {
                let job = &jobs[nth];
                // The body is made ahead of time, so that its cost is not part of the response.
                let early = job.submit_at.saturating_sub(Duration::from_millis(50));
                tokio::time::sleep_until((start + early).into()).await;
                let body = driver.request_body(job);
                tokio::time::sleep_until((start + job.submit_at).into()).await;
                (nth, driver.submit(nth, job, body).await)
            });
        }
        let mut outcomes = Vec::new();
        while let Some(done) = set.join_next().await {
            outcomes.extend(done.ok());
        }
        outcomes.sort_by_key(|(nth, _)| *nth);
        outcomes.into_iter().map(|(_, outcome)| outcome).collect()
    }

    /// Submits one job through the entry that its number selects.
    pub async fn submit(&self, nth: usize, job: &Job, body: Bytes) -> Outcome {
        let team = &self.teams[job.team];
        let mut attempt = Attempt {
            driver: self,
            path: format!("/v1/teams/{}/jobs/{}", team.team, job.name),
            bearer: format!("Bearer {}", team.token),
            entry: nth % self.entries.len(),
            outcome: Outcome {
                result: JobResult::Lost,
                response: Duration::ZERO,
                resubmits: 0,
                polls: 0,
            },
        };
        let begun = Instant::now();
        let cancel = job.cancel_after.map(|after| {
            let (entry, path) = (self.entries[attempt.entry].clone(), attempt.path.clone());
            let bearer = attempt.bearer.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                let headers = [("authorization", bearer.as_str())];
                // The answer to the submission tells whether the cancellation came in time.
                drop(
                    entry
                        .send(Method::DELETE, &path, &headers, Bytes::new())
                        .await,
                );
            })
        });
        let verdict = tokio::time::timeout(GIVE_UP, attempt.finish(job, body)).await;
        attempt.outcome.result = verdict.unwrap_or(JobResult::Lost);
        attempt.outcome.response = begun.elapsed();
        if let Some(cancel) = cancel {
            // Ends by itself; a panic in it would only lose the cancellation.
            drop(cancel.await);
        }
        attempt.outcome
    }

    /// Returns the body of a submission.
    pub fn request_body(&self, job: &Job) -> Bytes {
        let mut text = String::from(r#"{"tasks":["#);
        for (nth, task) in job.tasks.iter().enumerate() {
            let comma = if nth == 0 { "" } else { "," };
            let (work, number) = (task.work.as_millis(), task.number);
            let kind = self.kinds[job.kind];
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                r#"{comma}{{"kind":"{kind}","payload":{{"work_ms":{work},"number":{number}}}}}"#
            );
        }
        text.push_str("]}");
        text.into()
    }
}

impl Attempt<'_> {
    /// Submits and asks again until there is an answer.
    async fn finish(&mut self, job: &Job, body: Bytes) -> JobResult {
        let mut method = Method::PUT;
        loop {
            let sent = if method == Method::PUT {
                body.clone()
            } else {
                Bytes::new()
            };
            let request = self.request(method.clone(), sent);
            let answered = tokio::time::timeout(REQUEST_LIMIT, request).await;
            if let Ok(Err(e)) = &answered
                && !e.sent
            {
                // Nothing was sent, so that going to another entry wastes no message.
                self.next_entry();
                method = Method::PUT;
                tokio::time::sleep(RECONNECT_PAUSE).await;
                continue;
            }
            let Ok(Ok(reply)) = answered else {
                self.resubmit().await;
                method = Method::PUT;
                continue;
            };
            if reply.status == 202 {
                self.outcome.polls += 1;
                method = Method::GET;
                continue;
            }
            let problem = Problem::parse(&reply);
            if problem.ran.as_str() == Some("unknown") {
                self.resubmit().await;
                method = Method::PUT;
                continue;
            }
            return judge(job, &reply, problem);
        }
    }

    async fn request(&self, method: Method, body: Bytes) -> Result<Reply, SendError> {
        let headers = [
            ("authorization", self.bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let path = format!("{}?wait_ms={WAIT_MS}", self.path);
        self.driver.entries[self.entry]
            .send(method, &path, &headers, body)
            .await
    }

    fn next_entry(&mut self) {
        self.entry = (self.entry + 1) % self.driver.entries.len();
    }

    /// Turns to the next entry after a pause, as a client does that believes a job lost.
    async fn resubmit(&mut self) {
        self.outcome.resubmits += 1;
        self.next_entry();
        tokio::time::sleep(RESUBMIT_PAUSE).await;
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: String,
    ran: serde_json::Value,
    outcome: String,
}

impl Problem {
    fn parse(reply: &Reply) -> Self {
        if reply.status < 400 {
            return Self::default();
        }
        serde_json::from_slice(&reply.body).unwrap_or_default()
    }
}

#[derive(Deserialize)]
struct Answer {
    outcome: String,
    results: Vec<TaskResult>,
}

#[derive(Deserialize)]
struct TaskResult {
    index: usize,
    payload: Echo,
}

/// What the stand-in returns: the payload that it was given.
#[derive(Deserialize)]
struct Echo {
    payload: Payload,
}

#[derive(Deserialize)]
struct Payload {
    number: u64,
}

fn judge(job: &Job, reply: &Reply, problem: Problem) -> JobResult {
    if reply.status == 200 {
        return if is_whole(&job.tasks, &reply.body) {
            JobResult::Complete
        } else {
            JobResult::Partial
        };
    }
    if reply.status == 410 && job.cancel_after.is_some() {
        return JobResult::Cancelled;
    }
    if problem.outcome == "failed" {
        return JobResult::Failed(problem.code);
    }
    JobResult::Refused(format!("{}-{}", reply.status, problem.code))
}

/// Checks that an answer holds every result in order, each for its own task.
pub fn is_whole(tasks: &[Task], body: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(body) else {
        return false;
    };
    answer.outcome == "complete"
        && answer.results.len() == tasks.len()
        && answer
            .results
            .iter()
            .zip(tasks)
            .enumerate()
            .all(|(nth, (result, task))| {
                result.index == nth && result.payload.payload.number == task.number
            })
}
