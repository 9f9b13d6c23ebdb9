//! One load run, from the first submission to its figures.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use slog::Logger;

use sassafras_util::Error;

use crate::driver::Credentials;
use crate::driver::Driver;
use crate::driver::Outcome;
use crate::embedded::Cluster;
use crate::embedded::ClusterSpec;
use crate::http_client::HttpClient;
use crate::records::WastedMessages;
use crate::records::count_starts;
use crate::scenario::Fault;
use crate::scenario::Scenario;
use crate::summary::Row;
use crate::summary::RunKey;
use crate::summary::Summary;
use crate::workload::Job;
use crate::workload::WorkloadParams;
use crate::workload::generate;
use crate::workload::ideal_response_time;

/// The fault starts this long after the warm-up.
const FAULT_AFTER: Duration = Duration::from_secs(2);
/// A zone is cut off for this long.
const CUT_FOR: Duration = Duration::from_secs(5);
/// Workers that the faults of workers concern.
const FAILING_WORKER: usize = 3;
const SLOW_WORKERS: [usize; 2] = [2, 5];
const SLOW_FACTOR: f64 = 10.0;
/// The zone that is cut off; no entry is in it.
const CUT_ZONE: usize = 2;
/// Pause after the last answer, for late results and counters to arrive.
const SETTLE: Duration = Duration::from_millis(1500);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The scenario.
    pub scenario: Scenario,
    /// Offered work as a share of the total speed.
    pub load: f64,
    /// Start of the random numbers.
    pub seed: u64,
    /// Length of the counted part.
    pub seconds: u64,
    /// Length of the part before it that only warms up.
    pub warmup: u64,
    /// Log level of embedded roles.
    pub log_level: String,
}

impl Options {
    fn warmup(&self) -> Duration {
        Duration::from_secs(self.warmup)
    }

    fn fault_at(&self) -> Duration {
        self.warmup() + FAULT_AFTER
    }
}

/// The running system that a load goes to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The entries' caller API.
    pub entries: Vec<HttpClient>,
    /// The stand-ins.
    pub standins: Vec<HttpClient>,
    /// The metrics pages; processes that share a page are listed once.
    pub metrics: Vec<HttpClient>,
    /// The two teams.
    pub teams: Vec<Credentials>,
    /// The policy's name, when known.
    pub policy: String,
}

/// The availability of one endpoint from some time on.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    speed: f64,
    slots: u32,
}

#[derive(Deserialize)]
struct ModeReply {
    speed: f64,
}

/// Starts a cluster in this process, runs a load on it and stops it.
///
/// # Errors
///
/// Fails when the cluster does not start or its records cannot be read.
pub async fn run_embedded(options: &Options, policy: &str, log: &Logger) -> Result<Summary, Error> {
    let mut plan = ClusterSpec::new(&options.scenario, policy);
    plan.log_level.clone_from(&options.log_level);
    let cluster = Cluster::start(&plan, log.clone()).await?;
    let target = Target::embedded(&cluster, &plan);
    let mut cluster = Some(cluster);
    let summary = run(options, &target, &mut cluster).await;
    if let Some(cluster) = cluster {
        for e in cluster.stop().await {
            slog::warn!(log, "role ended with an error"; "error" => %e);
        }
    }
    summary
}

impl Target {
    /// Describes a cluster of this process.
    pub fn embedded(cluster: &Cluster, plan: &ClusterSpec) -> Self {
        let teams = plan.teams.iter().map(|t| Credentials {
            team: t.name.clone(),
            token: t.token.clone(),
        });
        Self {
            entries: cluster
                .entries()
                .iter()
                .map(|a| HttpClient::new(*a))
                .collect(),
            standins: cluster
                .standins()
                .iter()
                .map(|a| HttpClient::new(*a))
                .collect(),
            metrics: vec![HttpClient::new(cluster.metrics())],
            teams: teams.collect(),
            policy: plan.placement.clone(),
        }
    }

    /// Reads the speed of each stand-in; slots are as in the workloads.
    async fn endpoints(&self) -> Result<Vec<Endpoint>, Error> {
        let mut endpoints = Vec::new();
        for standin in &self.standins {
            let mode: ModeReply =
                serde_json::from_str(&standin.get_text("/mode").await?).map_err(Error::new)?;
            endpoints.push(Endpoint {
                speed: mode.speed,
                slots: crate::scenario::SLOTS_PER_WORKER,
            });
        }
        Ok(endpoints)
    }

    async fn waste(&self) -> Result<WastedMessages, Error> {
        let mut pages = Vec::new();
        for page in &self.metrics {
            // A killed process has no page any more; its counts are lost with it.
            pages.extend(page.get_text("/metrics").await.ok());
        }
        Ok(WastedMessages::from_pages(&pages))
    }

    async fn records(&self) -> Result<Vec<String>, Error> {
        let mut records = Vec::new();
        for standin in &self.standins {
            records.push(standin.get_text("/starts").await?);
        }
        Ok(records)
    }

    async fn set_mode(&self, worker: usize, mode: serde_json::Value) -> Result<(), Error> {
        let body = Bytes::from(mode.to_string());
        let reply = self.standins[worker]
            .send(Method::PUT, "/mode", &[], body)
            .await?;
        if reply.status >= 300 {
            return Err(Error::new(format!(
                "mode of stand-in {worker}: status {}",
                reply.status
            )));
        }
        Ok(())
    }
}

/// Runs a load on a target. `cluster` is the cluster behind it when that runs in this
/// process; without one, the caller injects kills and cuts.
///
/// # Errors
///
/// Fails when the target's records cannot be read or a fault cannot be injected.
pub async fn run(
    options: &Options,
    target: &Target,
    cluster: &mut Option<Cluster>,
) -> Result<Summary, Error> {
    let before = target.endpoints().await?;
    let total: f64 = before.iter().map(|e| e.speed * f64::from(e.slots)).sum();
    let params = WorkloadParams {
        load: options.load,
        duration: options.warmup() + Duration::from_secs(options.seconds),
        total_speed: total,
        seed: options.seed,
        fault_at: options.fault_at(),
    };
    let jobs = Arc::new(generate(&options.scenario, params));
    let kinds = options.scenario.kinds.iter().map(|k| k.name).collect();
    let driver = Driver::new(target.entries.clone(), target.teams.clone(), kinds);
    let earlier = target.waste().await?;
    let start = Instant::now();
    let (outcomes, injected) = tokio::join!(
        driver.run(start, &jobs),
        inject(options, target, cluster, start, &before)
    );
    injected?;
    tokio::time::sleep(SETTLE).await;
    let after = after_fault(options.scenario.fault, &before);
    let rows = rows(options, &jobs, outcomes, &before, &after);
    let mut waste = target.waste().await?.since(&earlier);
    waste.add(
        "caller_resubmit",
        rows.iter().map(|r| r.outcome.resubmits).sum(),
    );
    waste.add("caller_poll", rows.iter().map(|r| r.outcome.polls).sum());
    let prefix = format!("j{}-", options.seed);
    let starts = count_starts(&target.records().await?, |job| job.starts_with(&prefix))?;
    let key = RunKey {
        scenario: options.scenario.name.to_owned(),
        policy: target.policy.clone(),
        seed: options.seed,
        load: options.load,
    };
    let sent = jobs.iter().map(|j| j.tasks.len()).sum();
    Summary::new(key, rows, starts, &waste, sent)
}

/// Pairs the jobs after the warm-up with their outcomes and ratios.
fn rows(
    options: &Options,
    jobs: &[Job],
    outcomes: Vec<Outcome>,
    before: &[Endpoint],
    after: &[Endpoint],
) -> Vec<Row> {
    let pairs = |endpoints: &[Endpoint]| -> Vec<(f64, u32)> {
        endpoints.iter().map(|e| (e.speed, e.slots)).collect()
    };
    let (before, after) = (pairs(before), pairs(after));
    let counted = jobs.iter().zip(outcomes);
    let counted = counted.filter(|(job, _)| job.submit_at >= options.warmup());
    let row = |(job, outcome): (&Job, Outcome)| {
        let endpoints = if job.submit_at >= options.fault_at() {
            &after
        } else {
            &before
        };
        Row {
            team: job.team,
            at: job.submit_at,
            tasks: job.tasks.len(),
            ideal: ideal_response_time(&job.tasks, endpoints),
            outcome,
        }
    };
    counted.map(row).collect()
}

/// Returns the endpoints that are eligible once the fault is there, with their speeds.
fn after_fault(fault: Option<Fault>, before: &[Endpoint]) -> Vec<Endpoint> {
    let mut after = before.to_vec();
    match fault {
        Some(Fault::OneFailsAll) => after[FAILING_WORKER].slots = 0,
        Some(Fault::TwoSlow) => {
            for worker in SLOW_WORKERS {
                after[worker].speed /= SLOW_FACTOR;
            }
        }
        _ => {}
    }
    after.retain(|e| e.slots > 0);
    after
}

/// Injects the scenario's fault at its time.
async fn inject(
    options: &Options,
    target: &Target,
    cluster: &mut Option<Cluster>,
    start: Instant,
    before: &[Endpoint],
) -> Result<(), Error> {
    let Some(fault) = options.scenario.fault else {
        return Ok(());
    };
    tokio::time::sleep_until((start + options.fault_at()).into()).await;
    match fault {
        Fault::OneFailsAll => {
            let speed = before[FAILING_WORKER].speed;
            let mode = serde_json::json!({"speed": speed, "fail_rate": 1.0});
            target.set_mode(FAILING_WORKER, mode).await?;
        }
        Fault::TwoSlow => {
            for worker in SLOW_WORKERS {
                let speed = before[worker].speed / SLOW_FACTOR;
                target
                    .set_mode(worker, serde_json::json!({"speed": speed}))
                    .await?;
            }
        }
        Fault::EntryKilled => {
            if let Some(cluster) = cluster {
                cluster.kill("entry-0")?;
            }
        }
        Fault::ZoneCut => {
            if let Some(cluster) = cluster {
                cluster.cut(CUT_ZONE, true);
                tokio::time::sleep(CUT_FOR).await;
                cluster.cut(CUT_ZONE, false);
            }
        }
        Fault::WrongRunTimes | Fault::Burst | Fault::CancelWave => {}
    }
    Ok(())
}
