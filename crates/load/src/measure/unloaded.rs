//! Excess of the response time over the ideal, for one job at a time without other load.

use std::io::Write as _;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use slog::Logger;

use sassafras_util::Error;

use crate::driver::Credentials;
use crate::driver::Driver;
use crate::driver::JobResult;
use crate::embedded::Cluster;
use crate::embedded::ClusterSpec;
use crate::http_client::HttpClient;
use crate::measure::TimeHistogram;
use crate::scenario::Scenario;
use crate::workload::Job;
use crate::workload::Task;

/// Work of a task, which is also the ideal response time of a job.
const TASK_WORK: Duration = Duration::from_millis(50);
/// Number of tasks per job, one for each slot of a worker.
const TASKS_PER_JOB: u64 = 8;
/// Number of jobs before the measured ones.
const WARMUP_JOBS: u64 = 20;
/// Number of synced writes and of round trips that are measured.
const SAMPLES: usize = 100;
/// Size of a synced write, in bytes; about the size of a claim.
const WRITE_BYTES: usize = 512;

/// Measures the response time of a job of 50 ms tasks minus its ideal, the same for direct calls of
/// a stand-in, and the duration of a synced write and of a round trip.
///
/// # Errors
///
/// Fails when the cluster does not start or a job does not complete.
pub async fn unloaded(seconds: u64, log: &Logger) -> Result<(), Error> {
    let mut spec = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    for worker in &mut spec.workers {
        worker.speed = 1.0;
    }
    let cluster = Cluster::start(&spec, log.clone()).await?;
    let measured = measure(&cluster, &spec, seconds).await;
    for e in cluster.stop().await {
        slog::warn!(log, "role ended with an error"; "error" => %e);
    }
    println!("{}", measured?);
    Ok(())
}

async fn measure(cluster: &Cluster, spec: &ClusterSpec, seconds: u64) -> Result<String, Error> {
    let direct = measure_direct(cluster, Duration::from_secs(seconds) / 4).await?;
    let teams = spec.teams.iter().map(|t| Credentials {
        team: t.name.clone(),
        token: t.token.clone(),
    });
    let entries = cluster
        .entries()
        .iter()
        .map(|a| HttpClient::new(*a))
        .collect();
    let kinds = spec.kinds.iter().map(|k| k.name).collect();
    let driver = Driver::new(entries, teams.collect(), kinds);
    let mut times = TimeHistogram::new()?;
    let mut deadline = Instant::now() + Duration::from_secs(seconds);
    let mut nth = 0;
    while Instant::now() < deadline {
        let job = new_job(nth);
        let body = driver.request_body(&job);
        let outcome = driver.submit(nth as usize, &job, body).await;
        if outcome.result != JobResult::Complete {
            return Err(Error::new(format!(
                "job {nth} did not complete: {:?}",
                outcome.result
            )));
        }
        nth += 1;
        if nth <= WARMUP_JOBS {
            deadline = Instant::now() + Duration::from_secs(seconds);
        } else {
            times.record(outcome.response_time.saturating_sub(TASK_WORK));
        }
    }
    let (sync, round_trip) = (measure_synced_write()?, measure_round_trip(cluster).await?);
    Ok(format!(
        "measure=unloaded jobs={} tasks_per_job={TASKS_PER_JOB} over_ideal_ms_p50={:.2} over_ideal_ms_p99={:.2} \
         direct_ms_p50={:.2} direct_ms_p99={:.2} synced_write_ms_p50={:.2} synced_write_ms_p99={:.2} \
         round_trip_ms_p50={:.2} target_ms={:.2}",
        times.count(),
        times.quantile_ms(0.5),
        times.quantile_ms(0.99),
        direct.quantile_ms(0.5),
        direct.quantile_ms(0.99),
        sync.quantile_ms(0.5),
        sync.quantile_ms(0.99),
        round_trip.quantile_ms(0.5),
        sync.quantile_ms(0.5) + 2.0 * round_trip.quantile_ms(0.5)
    ))
}

fn new_job(nth: u64) -> Job {
    let task = |i: u64| Task {
        work: TASK_WORK,
        number: nth * TASKS_PER_JOB + i,
    };
    Job {
        submit_at: Duration::ZERO,
        team: 0,
        name: format!("unloaded-{nth}"),
        kind: 0,
        tasks: (0..TASKS_PER_JOB).map(task).collect(),
        cancel_after: None,
    }
}

/// Measures the baseline: the tasks of a job, sent concurrently and directly to one stand-in.
async fn measure_direct(cluster: &Cluster, length: Duration) -> Result<TimeHistogram, Error> {
    let client = HttpClient::new(cluster.standins()[0]);
    let mut times = TimeHistogram::new()?;
    let deadline = Instant::now() + length;
    let mut nth = 0;
    while Instant::now() < deadline {
        let started = Instant::now();
        let mut calls = tokio::task::JoinSet::new();
        for index in 0..TASKS_PER_JOB {
            let (client, id) = (client.clone(), format!("direct/{nth}/{index}/1"));
            calls.spawn(async move {
                let body = Bytes::from(format!(r#"{{"work_ms":{}}}"#, TASK_WORK.as_millis()));
                let headers = [("task-id", id.as_str())];
                client.send(Method::POST, "/tasks", &headers, body).await
            });
        }
        while let Some(done) = calls.join_next().await {
            done.map_err(Error::new)??;
        }
        times.record(started.elapsed().saturating_sub(TASK_WORK));
        nth += 1;
    }
    Ok(times)
}

/// Measures an append followed by a sync, on the file system on which the control members store
/// their data.
fn measure_synced_write() -> Result<TimeHistogram, Error> {
    let name = format!("sassafras-sync-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let mut file = std::fs::File::create(&path)?;
    let mut times = TimeHistogram::new()?;
    for _ in 0..SAMPLES {
        let started = Instant::now();
        file.write_all(&[0; WRITE_BYTES])?;
        file.sync_data()?;
        times.record(started.elapsed());
    }
    std::fs::remove_file(&path)?;
    Ok(times)
}

/// Measures an HTTP round trip to a stand-in, with a request that starts no task.
async fn measure_round_trip(cluster: &Cluster) -> Result<TimeHistogram, Error> {
    let client = HttpClient::new(cluster.standins()[0]);
    let mut times = TimeHistogram::new()?;
    for _ in 0..SAMPLES {
        let started = Instant::now();
        client.get_text("/mode").await?;
        times.record(started.elapsed());
    }
    Ok(times)
}
