//! Task starts a second through one entry, and how long a large job takes to leave it.

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
use crate::measure::Times;
use crate::measure::process;
use crate::measure::session;
use crate::measure::session::SharedTally;
use crate::measure::session::Spec;
use crate::measure::session::lock;
use crate::scenario::Scenario;
use crate::workload::Job;
use crate::workload::Task;

const TASKS: u64 = 970;
/// Jobs in flight while starts are counted.
const IN_FLIGHT: usize = 16;
const AGENTS: usize = 11;
/// More than a job's tasks, so that no task waits for a slot.
const SLOTS: u32 = 1000;
/// Jobs, one at a time, whose way through the entry is timed.
const SINGLE_JOBS: u64 = 20;
const POLL: Duration = Duration::from_millis(50);
const JOIN_LIMIT: Duration = Duration::from_secs(20);

/// Measures task starts a second through one entry: once with agents that end every task
/// at once, which loads nothing but the entry, and once with real agents and stand-ins.
///
/// # Errors
///
/// Fails when the cluster does not start or a job is not answered completely.
pub async fn starts(seconds: u64, log: &Logger) -> Result<(), Error> {
    entry_alone(seconds, log).await?;
    whole_path(seconds, log).await
}

async fn entry_alone(seconds: u64, log: &Logger) -> Result<(), Error> {
    let mut plan = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    plan.workers.clear();
    plan.entries = 1;
    plan.probe = false;
    let cluster = Cluster::start(&plan, log.clone()).await?;
    let tally = SharedTally::default();
    let (stop, stopped) = watch::channel(false);
    let agents = agents(&cluster, &tally, &stopped, log)?;
    let measured = measure_alone(&cluster, &plan, &tally, seconds).await;
    stop.send_replace(true);
    for agent in agents {
        if agent.join().is_err() {
            return Err(Error::new("an agent session panicked"));
        }
    }
    finish(cluster, log).await;
    println!("{}", measured?);
    Ok(())
}

async fn whole_path(seconds: u64, log: &Logger) -> Result<(), Error> {
    let mut plan = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    plan.entries = 1;
    let cluster = Cluster::start(&plan, log.clone()).await?;
    let driver = driver(&cluster, &plan);
    let measured = throughput(&driver, Duration::from_secs(seconds)).await;
    finish(cluster, log).await;
    println!(
        "measure=starts path=whole starts_per_s={:.0}",
        measured?.per_second
    );
    Ok(())
}

async fn finish(cluster: Cluster, log: &Logger) {
    for e in cluster.stop().await {
        slog::warn!(log, "role ended with an error"; "error" => %e);
    }
}

/// Runs each agent session on a thread of its own, so that they do not slow the callers.
fn agents(
    cluster: &Cluster,
    tally: &SharedTally,
    stopped: &watch::Receiver<bool>,
    log: &Logger,
) -> Result<Vec<std::thread::JoinHandle<Result<(), Error>>>, Error> {
    let start = |nth: usize| {
        let spec = Spec {
            name: format!("agent-{nth}"),
            zone: Name::from("recife"),
            control: cluster.control().to_vec(),
            key: cluster.key(),
            slots: Some(SLOTS),
            log: log.clone(),
        };
        let (tally, mut stopped) = (SharedTally::clone(tally), stopped.clone());
        let body = move || {
            sassafras_runtime::block_on(async move {
                tokio::select! {
                    ended = session::run(spec, tally) => ended,
                    _ = stopped.wait_for(|s| *s) => Ok(()),
                }
            })
        };
        std::thread::Builder::new()
            .name(format!("agent-{nth}"))
            .spawn(body)
            .map_err(Error::from)
    };
    (0..AGENTS).map(start).collect()
}

async fn measure_alone(
    cluster: &Cluster,
    plan: &ClusterSpec,
    tally: &SharedTally,
    seconds: u64,
) -> Result<String, Error> {
    let until = Instant::now() + JOIN_LIMIT;
    while lock(tally).joined < AGENTS {
        if Instant::now() >= until {
            return Err(Error::new("the agent sessions did not join"));
        }
        tokio::time::sleep(POLL).await;
    }
    cluster.probe_entries(plan).await;
    let driver = driver(cluster, plan);
    let spread = single_jobs(&driver, tally).await?;
    let entry = process::threads("entry-0")?;
    let before = process::cpu(&entry[0])?;
    let measured = throughput(&driver, Duration::from_secs(seconds)).await?;
    let cpu = process::cpu(&entry[0])?.saturating_sub(before);
    Ok(format!(
        "measure=starts path=entry starts_per_s={:.0} entry_cpu_us_per_start={:.1} \
         first_to_last_run_ms_p50={:.2} first_to_last_run_ms_max={:.2}",
        measured.per_second,
        cpu.as_micros() as f64 / measured.tasks as f64,
        spread.ms(0.5),
        spread.ms(1.0)
    ))
}

/// Times, for jobs of 970 tasks one at a time, from the arrival of the first `Run` frame to
/// that of the last, at any agent.
async fn single_jobs(driver: &Driver, tally: &SharedTally) -> Result<Times, Error> {
    let mut times = Times::new()?;
    for nth in 0..SINGLE_JOBS {
        let job = job(&format!("single-{nth}"), nth);
        complete(driver, &job).await?;
        if let Some((first, last)) = lock(tally).runs.get(&job.name) {
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
    let begun = Instant::now();
    let mut running = JoinSet::new();
    let mut nth = 0;
    let mut tasks = 0;
    loop {
        while running.len() < IN_FLIGHT && begun.elapsed() < length {
            let (driver, name) = (driver.clone(), format!("many-{nth}"));
            running.spawn(async move { complete(&driver, &job(&name, nth)).await });
            nth += 1;
        }
        let Some(done) = running.join_next().await else {
            break;
        };
        done.map_err(Error::new)??;
        tasks += TASKS;
    }
    Ok(Throughput {
        tasks,
        per_second: tasks as f64 / begun.elapsed().as_secs_f64(),
    })
}

async fn complete(driver: &Driver, job: &Job) -> Result<(), Error> {
    let outcome = driver.submit(0, job, driver.request_body(job)).await;
    if outcome.result == JobResult::Complete {
        return Ok(());
    }
    Err(Error::new(format!("{}: {:?}", job.name, outcome.result)))
}

fn driver(cluster: &Cluster, plan: &ClusterSpec) -> Driver {
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
    Driver::new(entries, teams.collect(), kinds)
}

fn job(name: &str, nth: u64) -> Job {
    let task = |i: u64| Task {
        work: Duration::ZERO,
        number: nth * TASKS + i,
    };
    Job {
        submit_at: Duration::ZERO,
        team: 0,
        name: name.to_owned(),
        kind: 0,
        tasks: (0..TASKS).map(task).collect(),
        cancel_after: None,
    }
}
