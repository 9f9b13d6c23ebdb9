//! Submits the jobs of a run on schedule and classifies every response.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use tokio::task::JoinSet;

use crate::http_client::HttpClient;
use crate::http_client::HttpResponse;
use crate::http_client::SendError;
use crate::workload::Job;
use crate::workload::Task;

/// Long-poll wait of a request; the maximum that the caller API accepts.
const LONG_POLL_MS: u64 = 60_000;
/// Time after which a job without a final response counts as lost.
const JOB_TIMEOUT: Duration = Duration::from_secs(90);
/// Delay before a job is submitted again after its request was interrupted.
const RESUBMIT_DELAY: Duration = Duration::from_millis(100);
/// Delay before the next entry is tried when a connection cannot be opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(1);
/// Timeout of a single request, after which the caller considers it lost and submits the job again.
/// Longer than [`LONG_POLL_MS`].
const REQUEST_TIMEOUT: Duration = Duration::from_secs(65);

/// Credentials of the callers of a team.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Name of the team.
    pub team: String,
    /// Bearer token of the team.
    pub token: String,
}

/// Result of a job, as its caller observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobResult {
    /// The response contains the result of every task.
    Complete,
    /// The response has status 200, but a result is missing or belongs to another task.
    Partial,
    /// The job failed, with the code of the response.
    Failed(String),
    /// Any other final response, such as a refusal, with its HTTP status and code.
    Refused(String),
    /// The job was cancelled by its caller.
    Cancelled,
    /// No final response arrived within 90 s.
    Lost,
}

/// Result, response time and number of requests of a job.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Result of the job.
    pub result: JobResult,
    /// Time from the first submission to the final response.
    pub response_time: Duration,
    /// Number of submissions after the first.
    pub resubmits: u64,
    /// Number of requests for the status of the job.
    pub polls: u64,
}

/// Submits jobs to the entries of a cluster.
#[derive(Clone, Debug)]
pub struct Driver {
    entries: Vec<HttpClient>,
    teams: Vec<Credentials>,
    kinds: Vec<&'static str>,
}

/// The state of the requests for one job.
struct Submission<'a> {
    driver: &'a Driver,
    path: String,
    authorization: String,
    entry: usize,
    outcome: Outcome,
}

impl Driver {
    /// Creates a driver from the entries, the credentials by team index and the names of the kinds.
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

    /// Submits every job at `start + submit_at` and returns the outcomes in the order of the jobs.
    pub async fn run(&self, start: Instant, jobs: &Arc<Vec<Job>>) -> Vec<Outcome> {
        let mut set = JoinSet::new();
        for index in 0..jobs.len() {
            let driver = self.clone();
            let jobs = Arc::clone(jobs);
            set.spawn(async move {
                let job = &jobs[index];
                // The body is encoded in advance, so that the response time does not include it.
                let encode_at = job.submit_at.saturating_sub(Duration::from_millis(50));
                tokio::time::sleep_until((start + encode_at).into()).await;
                let body = driver.request_body(job);
                tokio::time::sleep_until((start + job.submit_at).into()).await;
                (index, driver.submit(index, job, body).await)
            });
        }
        let mut outcomes = Vec::new();
        while let Some(done) = set.join_next().await {
            outcomes.extend(done.ok());
        }
        outcomes.sort_by_key(|(index, _)| *index);
        outcomes.into_iter().map(|(_, outcome)| outcome).collect()
    }

    /// Submits a job, first to the entry at `index` modulo the number of entries.
    pub async fn submit(&self, index: usize, job: &Job, body: Bytes) -> Outcome {
        let team = &self.teams[job.team];
        let mut submission = Submission {
            driver: self,
            path: format!("/v1/teams/{}/jobs/{}", team.team, job.name),
            authorization: format!("Bearer {}", team.token),
            entry: index % self.entries.len(),
            outcome: Outcome {
                result: JobResult::Lost,
                response_time: Duration::ZERO,
                resubmits: 0,
                polls: 0,
            },
        };
        let started = Instant::now();
        let cancel = job.cancel_after.map(|after| {
            let (entry, path) = (
                self.entries[submission.entry].clone(),
                submission.path.clone(),
            );
            let authorization = submission.authorization.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                let headers = [("authorization", authorization.as_str())];
                // The response to the submission shows whether the job was cancelled.
                drop(
                    entry
                        .send(Method::DELETE, &path, &headers, Bytes::new())
                        .await,
                );
            })
        });
        let result = tokio::time::timeout(JOB_TIMEOUT, submission.run(job, body)).await;
        submission.outcome.result = result.unwrap_or(JobResult::Lost);
        submission.outcome.response_time = started.elapsed();
        if let Some(cancel) = cancel {
            // A panic of the cancellation task has no effect on the outcome.
            drop(cancel.await);
        }
        submission.outcome
    }

    /// Encodes the request body of a submission.
    pub fn request_body(&self, job: &Job) -> Bytes {
        let mut text = String::from(r#"{"tasks":["#);
        for (index, task) in job.tasks.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
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

impl Submission<'_> {
    /// Submits the job, then polls its status or submits it again until a final response arrives.
    async fn run(&mut self, job: &Job, body: Bytes) -> JobResult {
        let mut method = Method::PUT;
        loop {
            let body = if method == Method::PUT {
                body.clone()
            } else {
                Bytes::new()
            };
            let request = self.request(method.clone(), body);
            let exchange = tokio::time::timeout(REQUEST_TIMEOUT, request).await;
            if let Ok(Err(e)) = &exchange
                && !e.request_sent
            {
                // The request was not sent, so trying another entry wastes no message.
                self.next_entry();
                method = Method::PUT;
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            }
            let Ok(Ok(response)) = exchange else {
                self.resubmit().await;
                method = Method::PUT;
                continue;
            };
            if response.status == 202 {
                self.outcome.polls += 1;
                method = Method::GET;
                continue;
            }
            let problem = Problem::parse(&response);
            if problem.ran.as_str() == Some("unknown") {
                self.resubmit().await;
                method = Method::PUT;
                continue;
            }
            return classify(job, &response, problem);
        }
    }

    async fn request(&self, method: Method, body: Bytes) -> Result<HttpResponse, SendError> {
        let headers = [
            ("authorization", self.authorization.as_str()),
            ("content-type", "application/json"),
        ];
        let path = format!("{}?wait_ms={LONG_POLL_MS}", self.path);
        self.driver.entries[self.entry]
            .send(method, &path, &headers, body)
            .await
    }

    fn next_entry(&mut self) {
        self.entry = (self.entry + 1) % self.driver.entries.len();
    }

    /// Selects the next entry after a delay, as a client does that considers its request lost.
    async fn resubmit(&mut self) {
        self.outcome.resubmits += 1;
        self.next_entry();
        tokio::time::sleep(RESUBMIT_DELAY).await;
    }
}

/// The fields of an `application/problem+json` response that classification uses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: String,
    ran: serde_json::Value,
    outcome: String,
}

impl Problem {
    fn parse(response: &HttpResponse) -> Self {
        if response.status < 400 {
            return Self::default();
        }
        serde_json::from_slice(&response.body).unwrap_or_default()
    }
}

#[derive(Deserialize)]
struct JobResponse {
    outcome: String,
    results: Vec<TaskResult>,
}

#[derive(Deserialize)]
struct TaskResult {
    index: usize,
    payload: StandinResult,
}

/// Result of a task: the stand-in echoes the payload of the task.
#[derive(Deserialize)]
struct StandinResult {
    payload: Payload,
}

#[derive(Deserialize)]
struct Payload {
    number: u64,
}

fn classify(job: &Job, response: &HttpResponse, problem: Problem) -> JobResult {
    if response.status == 200 {
        return if is_complete(&job.tasks, &response.body) {
            JobResult::Complete
        } else {
            JobResult::Partial
        };
    }
    if response.status == 410 && job.cancel_after.is_some() {
        return JobResult::Cancelled;
    }
    if problem.outcome == "failed" {
        return JobResult::Failed(problem.code);
    }
    JobResult::Refused(format!("{}-{}", response.status, problem.code))
}

/// Checks that a response contains the result of every task, in order.
///
/// The task number in each payload identifies the task that the result belongs to.
pub fn is_complete(tasks: &[Task], body: &[u8]) -> bool {
    let Ok(response) = serde_json::from_slice::<JobResponse>(body) else {
        return false;
    };
    response.outcome == "complete"
        && response.results.len() == tasks.len()
        && response
            .results
            .iter()
            .zip(tasks)
            .enumerate()
            .all(|(index, (result, task))| {
                result.index == index && result.payload.payload.number == task.number
            })
}
