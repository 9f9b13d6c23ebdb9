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

/// Tasks of the sample job, the most that a job may have.
const TASKS: u64 = 970;
/// Run times of the sample tasks on a worker of speed 1, in milliseconds.
const TASK_MS: std::ops::Range<u64> = 50..250;
const TEAM: &str = "demo";

/// Returns the plan of the sample cluster.
pub fn plan(http: Option<SocketAddr>) -> ClusterSpec {
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

/// Starts the cluster, submits the sample job, prints one line, and with `--serve` keeps
/// the cluster up until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the cluster does not start, a role ends with an error, or the sample job is
/// not answered completely.
pub async fn run(args: &Args) -> Result<(), Error> {
    let level = args.log_level.parse();
    let level =
        level.map_err(|()| Error::new(format!("unknown log level {:?}", args.log_level)))?;
    let log = sassafras_runtime::logger(level, "sassafras-quickstart");
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut plan = plan(args.serve);
    plan.log_level.clone_from(&args.log_level);
    let cluster = Cluster::start(&plan, log).await?;
    let sample = submit_sample(&cluster, &plan).await;
    if let (Ok(JobResult::Complete), Some(_)) = (&sample, args.serve) {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    }
    let errors = cluster.stop().await;
    match sample? {
        JobResult::Complete => errors.into_iter().next().map_or(Ok(()), Err),
        other => Err(Error::new(format!("sample job: {other:?}"))),
    }
}

/// Submits the sample job and prints its figures.
async fn submit_sample(cluster: &Cluster, plan: &ClusterSpec) -> Result<JobResult, Error> {
    let page = HttpClient::new(cluster.metrics());
    let earlier = WastedMessages::from_pages(&[page.get_text("/metrics").await?]);
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
    let begun = Instant::now();
    let outcome = driver.submit(0, &job, driver.request_body(&job)).await;
    let response = begun.elapsed();
    let waste = WastedMessages::from_pages(&[page.get_text("/metrics").await?]).since(&earlier);
    let speeds = plan.workers.iter().map(|w| (w.speed, w.slots));
    let ideal = ideal_response_time(&job.tasks, &speeds.collect::<Vec<_>>());
    println!(
        "outcome={} tasks={TASKS} response_ms={} ideal_ms={} wasted={}",
        outcome_name(&outcome),
        response.as_millis(),
        ideal.as_millis(),
        waste.total() + outcome.resubmits + outcome.polls
    );
    Ok(outcome.result)
}

fn sample_job() -> Job {
    let span = TASK_MS.end - TASK_MS.start;
    let task = |number: u64| Task {
        // A multiplier that is prime to the span spreads the run times evenly over it.
        work: Duration::from_millis(TASK_MS.start + (number * 37) % span),
        number,
    };
    Job {
        submit_at: Duration::ZERO,
        team: 0,
        name: "sample".to_owned(),
        kind: 0,
        tasks: (0..TASKS).map(task).collect(),
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
