//! Response time beyond the ideal of one job at a time, without other load.

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
use crate::measure::Times;
use crate::scenario::Scenario;
use crate::workload::Job;
use crate::workload::Task;

const TASK: Duration = Duration::from_millis(50);
/// One task for each slot of the fastest worker.
const TASKS: u64 = 8;
/// Jobs before the counted ones.
const WARMUP_JOBS: u64 = 20;
const SYNCS: usize = 100;
/// Bytes of a synced write; about the size of a claim.
const SYNC_BYTES: usize = 512;

/// Measures response minus ideal of a job of 50 ms tasks, against direct calls of the
/// stand-ins, and what one synced write and one round trip take.
///
/// # Errors
///
/// Fails when the cluster does not start or a job is not answered completely.
pub async fn unloaded(seconds: u64, log: &Logger) -> Result<(), Error> {
    let mut plan = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    for worker in &mut plan.workers {
        worker.speed = 1.0;
    }
    let cluster = Cluster::start(&plan, log.clone()).await?;
    let measured = measure(&cluster, &plan, seconds).await;
    for e in cluster.stop().await {
        slog::warn!(log, "role ended with an error"; "error" => %e);
    }
    println!("{}", measured?);
    Ok(())
}

async fn measure(cluster: &Cluster, plan: &ClusterSpec, seconds: u64) -> Result<String, Error> {
    let direct = direct(cluster, Duration::from_secs(seconds) / 4).await?;
    let teams = plan.teams.iter().map(|t| Credentials {
        team: t.name.clone(),
        token: t.token.clone(),
    });
    let entries = cluster
        .entries()
        .iter()
        .map(|a| HttpClient::new(*a))
        .collect();
    let kinds = plan.kinds.iter().map(|k| k.name).collect();
    let driver = Driver::new(entries, teams.collect(), kinds);
    let mut times = Times::new()?;
    let mut until = Instant::now() + Duration::from_secs(seconds);
    let mut nth = 0;
    while Instant::now() < until {
        let job = job(nth);
        let body = driver.request_body(&job);
        let outcome = driver.submit(nth as usize, &job, body).await;
        if outcome.result != JobResult::Complete {
            return Err(Error::new(format!("job {nth}: {:?}", outcome.result)));
        }
        nth += 1;
        if nth <= WARMUP_JOBS {
            until = Instant::now() + Duration::from_secs(seconds);
        } else {
            times.record(outcome.response_time.saturating_sub(TASK));
        }
    }
    let (sync, trip) = (synced_write()?, round_trip(cluster).await?);
    Ok(format!(
        "measure=unloaded jobs={} tasks_per_job={TASKS} over_ideal_ms_p50={:.2} over_ideal_ms_p99={:.2} \
         direct_ms_p50={:.2} direct_ms_p99={:.2} synced_write_ms_p50={:.2} synced_write_ms_p99={:.2} \
         round_trip_ms_p50={:.2} target_ms={:.2}",
        times.count(),
        times.ms(0.5),
        times.ms(0.99),
        direct.ms(0.5),
        direct.ms(0.99),
        sync.ms(0.5),
        sync.ms(0.99),
        trip.ms(0.5),
        sync.ms(0.5) + 2.0 * trip.ms(0.5)
    ))
}

fn job(nth: u64) -> Job {
    let task = |i: u64| Task {
        work: TASK,
        number: nth * TASKS + i,
    };
    Job {
        submit_at: Duration::ZERO,
        team: 0,
        name: format!("unloaded-{nth}"),
        kind: 0,
        tasks: (0..TASKS).map(task).collect(),
        cancel_after: None,
    }
}

/// Measures the baseline: the same tasks sent straight to one stand-in, all at a time.
async fn direct(cluster: &Cluster, length: Duration) -> Result<Times, Error> {
    let caller = HttpClient::new(cluster.standins()[0]);
    let mut times = Times::new()?;
    let until = Instant::now() + length;
    let mut nth = 0;
    while Instant::now() < until {
        let begun = Instant::now();
        let mut calls = tokio::task::JoinSet::new();
        for index in 0..TASKS {
            let (caller, id) = (caller.clone(), format!("direct/{nth}/{index}/1"));
            calls.spawn(async move {
                let body = Bytes::from(format!(r#"{{"work_ms":{}}}"#, TASK.as_millis()));
                let headers = [("task-id", id.as_str())];
                caller.send(Method::POST, "/tasks", &headers, body).await
            });
        }
        while let Some(done) = calls.join_next().await {
            done.map_err(Error::new)??;
        }
        times.record(begun.elapsed().saturating_sub(TASK));
        nth += 1;
    }
    Ok(times)
}

/// Measures appending and syncing where the control members keep their data.
fn synced_write() -> Result<Times, Error> {
    let name = format!("sassafras-sync-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let mut file = std::fs::File::create(&path)?;
    let mut times = Times::new()?;
    for _ in 0..SYNCS {
        let begun = Instant::now();
        file.write_all(&[0; SYNC_BYTES])?;
        file.sync_data()?;
        times.record(begun.elapsed());
    }
    std::fs::remove_file(&path)?;
    Ok(times)
}

async fn round_trip(cluster: &Cluster) -> Result<Times, Error> {
    let caller = HttpClient::new(cluster.standins()[0]);
    let mut times = Times::new()?;
    for _ in 0..SYNCS {
        let begun = Instant::now();
        caller.get_text("/mode").await?;
        times.record(begun.elapsed());
    }
    Ok(times)
}
