//! The sample cluster and its sample job.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use sassafras_load::Scenario;
use sassafras_load::driver::Credentials;
use sassafras_load::driver::Driver;
use sassafras_load::driver::JobResult;
use sassafras_load::driver::Outcome;
use sassafras_load::embedded::Cluster;
use sassafras_load::embedded::ClusterSpec;
use sassafras_load::embedded::TeamSpec;
use sassafras_load::http_client::HttpClient;
use sassafras_load::records::WastedMessages;
use sassafras_load::workload::Job;
use sassafras_load::workload::Task;
use sassafras_load::workload::ideal_response_time;
use sassafras_util::Error;

use crate::args::Args;

/// Number of tasks of the sample job: the maximum for a job.
const TASK_COUNT: u64 = 970;
/// Run times of the sample tasks on a worker of speed 1, in milliseconds.
const RUN_TIME_MS: std::ops::Range<u64> = 50..250;
/// Name and bearer token of the team.
const TEAM: &str = "demo";

/// Returns the plan of the sample cluster. The caller API listens on `http`, if given.
pub fn cluster_plan(http: Option<SocketAddr>) -> ClusterSpec {
    let mut plan = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    plan.http_addr = http;
    plan.teams = vec![TeamSpec {
        name: TEAM.to_owned(),
        token: TEAM.to_owned(),
        objective: "response",
        wrong_times: false,
    }];
    plan
}

/// Starts the cluster, submits the sample job and prints one line with its results. With
/// `--serve`, keeps the cluster running until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the cluster does not start, a role ends with an error, or the sample job
/// does not complete.
pub async fn run(args: &Args) -> Result<(), Error> {
    let level = args.log_level.parse();
    let level =
        level.map_err(|()| Error::new(format!("unknown log level {:?}", args.log_level)))?;
    let log = sassafras_runtime::logger(level, "sassafras-quickstart");
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    let mut plan = cluster_plan(args.serve);
    plan.log_level.clone_from(&args.log_level);
    let cluster = Cluster::start(&plan, log).await?;
    let result = submit_sample(&cluster, &plan).await;
    if let (Ok(JobResult::Complete), Some(_)) = (&result, args.serve) {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = sigint.recv() => {}
        }
    }
    let errors = cluster.stop().await;
    match result? {
        JobResult::Complete => errors.into_iter().next().map_or(Ok(()), Err),
        other => Err(Error::new(format!("sample job: {other:?}"))),
    }
}

/// Submits the sample job and prints its results.
async fn submit_sample(cluster: &Cluster, plan: &ClusterSpec) -> Result<JobResult, Error> {
    let metrics = HttpClient::new(cluster.metrics());
    let waste_before = WastedMessages::from_pages(&[metrics.get_text("/metrics").await?]);
    let credentials = Credentials {
        team: TEAM.to_owned(),
        token: TEAM.to_owned(),
    };
    let entries = cluster
        .entries()
        .iter()
        .map(|a| HttpClient::new(*a))
        .collect();
    let kinds = plan.kinds.iter().map(|k| k.name).collect();
    let driver = Driver::new(entries, vec![credentials], kinds);
    let job = sample_job();
    let started = Instant::now();
    let outcome = driver.submit(0, &job, driver.request_body(&job)).await;
    let response_time = started.elapsed();
    let waste =
        WastedMessages::from_pages(&[metrics.get_text("/metrics").await?]).since(&waste_before);
    let workers = plan.workers.iter().map(|w| (w.speed, w.slots));
    let ideal = ideal_response_time(&job.tasks, &workers.collect::<Vec<_>>());
    println!(
        "outcome={} tasks={TASK_COUNT} response_ms={} ideal_ms={} wasted={}",
        outcome_name(&outcome),
        response_time.as_millis(),
        ideal.as_millis(),
        waste.total() + outcome.resubmits + outcome.polls
    );
    Ok(outcome.result)
}

fn sample_job() -> Job {
    let span = RUN_TIME_MS.end - RUN_TIME_MS.start;
    let task = |number: u64| Task {
        // 37 is coprime to the span, so the run times cover it evenly.
        work: Duration::from_millis(RUN_TIME_MS.start + (number * 37) % span),
        number,
    };
    Job {
        submit_at: Duration::ZERO,
        team: 0,
        name: "sample".to_owned(),
        kind: 0,
        tasks: (0..TASK_COUNT).map(task).collect(),
        cancel_after: None,
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome.result {
        JobResult::Complete => "complete",
        JobResult::Partial => "partial",
        JobResult::Failed(_) => "failed",
        JobResult::Refused(_) => "refused",
        JobResult::Cancelled => "cancelled",
        JobResult::Lost => "lost",
    }
}
