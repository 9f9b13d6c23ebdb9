//! Throughput of task starts through one entry, and the time in which it sends out a large job.

use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinSet;

use sassafras_util::Error;
use sassafras_util::Name;

use crate::driver::Credentials;
use crate::driver::Driver;
use crate::driver::JobResult;
use crate::embedded::Cluster;
use crate::embedded::ClusterSpec;
use crate::http_client::HttpClient;
use crate::measure::TimeHistogram;
use crate::measure::process;
use crate::measure::simulated_agent;
use crate::measure::simulated_agent::AgentConfig;
use crate::measure::simulated_agent::SharedStats;
use crate::measure::simulated_agent::lock;
use crate::scenario::Scenario;
use crate::workload::Job;
use crate::workload::Task;

/// Number of tasks per job, the maximum that a job may have.
const TASKS_PER_JOB: u64 = 970;
/// Number of concurrent jobs while the throughput is measured.
const JOBS_IN_FLIGHT: usize = 16;
const AGENT_COUNT: usize = 11;
/// Slots of a simulated agent, more than the tasks of a job, so that no task waits for a slot.
const SLOTS_PER_AGENT: u32 = 1000;
/// Number of jobs that run one at a time to measure the spread of their `Run` frames.
const SINGLE_JOBS: u64 = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for all simulated agents to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Measures the throughput of task starts through one entry: first with simulated agents that
/// complete every task immediately, so that the entry is the bottleneck, then with real agents
/// and stand-ins.
///
/// # Errors
///
/// Fails when the cluster does not start or a job does not complete.
pub async fn starts(seconds: u64, log: &Logger) -> Result<(), Error> {
    measure_entry_path(seconds, log).await?;
    measure_whole_path(seconds, log).await
}

async fn measure_entry_path(seconds: u64, log: &Logger) -> Result<(), Error> {
    let mut spec = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    spec.workers.clear();
    spec.entries = 1;
    spec.probe_entries = false;
    let cluster = Cluster::start(&spec, log.clone()).await?;
    let stats = SharedStats::default();
    let (stop, stop_signal) = watch::channel(false);
    let agents = start_agents(&cluster, &stats, &stop_signal, log)?;
    let measured = measure_entry(&cluster, &spec, &stats, seconds).await;
    stop.send_replace(true);
    for agent in agents {
        if agent.join().is_err() {
            return Err(Error::new("thread of a simulated agent panicked"));
        }
    }
    stop_cluster(cluster, log).await;
    println!("{}", measured?);
    Ok(())
}

async fn measure_whole_path(seconds: u64, log: &Logger) -> Result<(), Error> {
    let mut spec = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    spec.entries = 1;
    let cluster = Cluster::start(&spec, log.clone()).await?;
    let driver = new_driver(&cluster, &spec);
    let measured = throughput(&driver, Duration::from_secs(seconds)).await;
    stop_cluster(cluster, log).await;
    println!(
        "measure=starts path=whole starts_per_s={:.0}",
        measured?.per_second
    );
    Ok(())
}

async fn stop_cluster(cluster: Cluster, log: &Logger) {
    for e in cluster.stop().await {
        slog::warn!(log, "role ended with an error"; "error" => %e);
    }
}

/// Starts each simulated agent on its own thread, so that the agents do not delay the callers.
fn start_agents(
    cluster: &Cluster,
    stats: &SharedStats,
    stop_signal: &watch::Receiver<bool>,
    log: &Logger,
) -> Result<Vec<std::thread::JoinHandle<Result<(), Error>>>, Error> {
    let start = |nth: usize| {
        let config = AgentConfig {
            name: format!("agent-{nth}"),
            zone: Name::from("recife"),
            control: cluster.control().to_vec(),
            key: cluster.key(),
            slots: Some(SLOTS_PER_AGENT),
            log: log.clone(),
        };
        let (stats, mut stop_signal) = (SharedStats::clone(stats), stop_signal.clone());
        let thread_main = move || {
            sassafras_runtime::block_on(async move {
                tokio::select! {
                    result = simulated_agent::run(config, stats) => result,
                    _ = stop_signal.wait_for(|s| *s) => Ok(()),
                }
            })
        };
        std::thread::Builder::new()
            .name(format!("agent-{nth}"))
            .spawn(thread_main)
            .map_err(Error::from)
    };
    (0..AGENT_COUNT).map(start).collect()
}

async fn measure_entry(
    cluster: &Cluster,
    spec: &ClusterSpec,
    stats: &SharedStats,
    seconds: u64,
) -> Result<String, Error> {
    let deadline = Instant::now() + JOIN_TIMEOUT;
    while lock(stats).joined < AGENT_COUNT {
        if Instant::now() >= deadline {
            return Err(Error::new(
                "simulated agents did not join before the timeout",
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    cluster.probe_entries(spec).await;
    let driver = new_driver(cluster, spec);
    let spread = measure_run_spread(&driver, stats).await?;
    let threads = process::thread_dirs("entry-0")?;
    let before = process::cpu_time(&threads[0])?;
    let measured = throughput(&driver, Duration::from_secs(seconds)).await?;
    let cpu = process::cpu_time(&threads[0])?.saturating_sub(before);
    Ok(format!(
        "measure=starts path=entry starts_per_s={:.0} entry_cpu_us_per_start={:.1} \
         first_to_last_run_ms_p50={:.2} first_to_last_run_ms_max={:.2}",
        measured.per_second,
        cpu.as_micros() as f64 / measured.tasks as f64,
        spread.quantile_ms(0.5),
        spread.quantile_ms(1.0)
    ))
}

/// Runs jobs of 970 tasks one at a time, and measures the time from the receipt of the first `Run`
/// frame of a job to that of the last, at any agent.
async fn measure_run_spread(driver: &Driver, stats: &SharedStats) -> Result<TimeHistogram, Error> {
    let mut times = TimeHistogram::new()?;
    for nth in 0..SINGLE_JOBS {
        let job = new_job(&format!("single-{nth}"), nth);
        run_job(driver, &job).await?;
        if let Some((first, last)) = lock(stats).run_frames.get(&job.name) {
            times.record(last.duration_since(*first));
        }
    }
    Ok(times)
}

struct Throughput {
    tasks: u64,
    per_second: f64,
}

async fn throughput(driver: &Driver, length: Duration) -> Result<Throughput, Error> {
    let started = Instant::now();
    let mut running = JoinSet::new();
    let mut nth = 0;
    let mut tasks = 0;
    loop {
        while running.len() < JOBS_IN_FLIGHT && started.elapsed() < length {
            let (driver, name) = (driver.clone(), format!("many-{nth}"));
            running.spawn(async move { run_job(&driver, &new_job(&name, nth)).await });
            nth += 1;
        }
        let Some(done) = running.join_next().await else {
            break;
        };
        done.map_err(Error::new)??;
        tasks += TASKS_PER_JOB;
    }
    Ok(Throughput {
        tasks,
        per_second: tasks as f64 / started.elapsed().as_secs_f64(),
    })
}

async fn run_job(driver: &Driver, job: &Job) -> Result<(), Error> {
    let outcome = driver.submit(0, job, driver.request_body(job)).await;
    if outcome.result == JobResult::Complete {
        return Ok(());
    }
    Err(Error::new(format!(
        "job {} did not complete: {:?}",
        job.name, outcome.result
    )))
}

fn new_driver(cluster: &Cluster, spec: &ClusterSpec) -> Driver {
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
    Driver::new(entries, teams.collect(), kinds)
}

fn new_job(name: &str, nth: u64) -> Job {
    let task = |i: u64| Task {
        work: Duration::ZERO,
        number: nth * TASKS_PER_JOB + i,
    };
    Job {
        submit_at: Duration::ZERO,
        team: 0,
        name: name.to_owned(),
        kind: 0,
        tasks: (0..TASKS_PER_JOB).map(task).collect(),
        cancel_after: None,
    }
}
