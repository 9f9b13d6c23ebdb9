//! Execution of a run: submissions, fault injection and the collection of its metrics.

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

/// Time from the end of the warm-up to the fault.
const FAULT_DELAY: Duration = Duration::from_secs(2);
/// Duration of the network partition of [`Fault::ZoneCut`].
const PARTITION_DURATION: Duration = Duration::from_secs(5);
/// Worker whose tasks fail under [`Fault::OneFailsAll`].
const FAILING_WORKER: usize = 3;
/// Workers that slow down under [`Fault::TwoSlow`].
const SLOW_WORKERS: [usize; 2] = [2, 5];
/// Factor by which the slow workers slow down.
const SLOW_FACTOR: f64 = 10.0;
/// Zone that [`Fault::ZoneCut`] partitions. No embedded entry is in it.
const PARTITIONED_ZONE: usize = 2;
/// Delay after the last response before records and metrics are read, so that they include late
/// results.
const SETTLE_DELAY: Duration = Duration::from_millis(1500);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Scenario to run.
    pub scenario: Scenario,
    /// Offered load, as a fraction of the total speed of all slots.
    pub load: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Duration of the measured part, in seconds.
    pub seconds: u64,
    /// Duration of the warm-up, in seconds.
    pub warmup: u64,
    /// Log level of the embedded roles.
    pub log_level: String,
}

impl RunOptions {
    fn warmup(&self) -> Duration {
        Duration::from_secs(self.warmup)
    }

    fn fault_at(&self) -> Duration {
        self.warmup() + FAULT_DELAY
    }
}

/// The running cluster that a load is applied to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Clients of the caller APIs of the entries.
    pub entries: Vec<HttpClient>,
    /// Clients of the stand-ins, by worker index.
    pub standins: Vec<HttpClient>,
    /// Clients of the metrics pages, without duplicates of a page that processes share.
    pub metrics: Vec<HttpClient>,
    /// Credentials of the two teams.
    pub teams: Vec<Credentials>,
    /// Name of the placement policy, or `-` when it is not known.
    pub policy: String,
}

/// The capacity of one endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointCapacity {
    speed: f64,
    slots: u32,
}

/// The part of the `/mode` response of a stand-in that a run uses.
#[derive(Deserialize)]
struct StandinMode {
    speed: f64,
}

/// Starts an embedded cluster, applies a load to it and stops it.
///
/// # Errors
///
/// Fails when the cluster does not start, its records cannot be read or the fault cannot be
/// injected.
pub async fn run_embedded(
    options: &RunOptions,
    policy: &str,
    log: &Logger,
) -> Result<Summary, Error> {
    let mut spec = ClusterSpec::new(&options.scenario, policy);
    spec.log_level.clone_from(&options.log_level);
    let cluster = Cluster::start(&spec, log.clone()).await?;
    let target = Target::embedded(&cluster, &spec);
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
    /// Creates the target for an embedded cluster.
    pub fn embedded(cluster: &Cluster, spec: &ClusterSpec) -> Self {
        let teams = spec.teams.iter().map(|t| Credentials {
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
            policy: spec.placement.clone(),
        }
    }

    /// Reads the speed of each stand-in. The number of slots is that of the scenarios.
    async fn endpoint_capacities(&self) -> Result<Vec<EndpointCapacity>, Error> {
        let mut endpoints = Vec::new();
        for standin in &self.standins {
            let mode: StandinMode =
                serde_json::from_str(&standin.get_text("/mode").await?).map_err(Error::new)?;
            endpoints.push(EndpointCapacity {
                speed: mode.speed,
                slots: crate::scenario::SLOTS_PER_WORKER,
            });
        }
        Ok(endpoints)
    }

    async fn wasted_messages(&self) -> Result<WastedMessages, Error> {
        let mut pages = Vec::new();
        for page in &self.metrics {
            // The page of a killed process is not available, so its counts are missing.
            pages.extend(page.get_text("/metrics").await.ok());
        }
        Ok(WastedMessages::from_pages(&pages))
    }

    async fn start_records(&self) -> Result<Vec<String>, Error> {
        let mut records = Vec::new();
        for standin in &self.standins {
            records.push(standin.get_text("/starts").await?);
        }
        Ok(records)
    }

    async fn set_mode(&self, worker: usize, mode: serde_json::Value) -> Result<(), Error> {
        let body = Bytes::from(mode.to_string());
        let response = self.standins[worker]
            .send(Method::PUT, "/mode", &[], body)
            .await?;
        if response.status >= 300 {
            return Err(Error::new(format!(
                "PUT /mode of stand-in {worker}: unexpected HTTP status {}",
                response.status
            )));
        }
        Ok(())
    }
}

/// Applies a load to a target. `cluster` is the target's cluster when it is embedded. Without it,
/// [`Fault::EntryKilled`] and [`Fault::ZoneCut`] have to be injected from outside.
///
/// # Errors
///
/// Fails when the target's records cannot be read or a fault cannot be injected.
pub async fn run(
    options: &RunOptions,
    target: &Target,
    cluster: &mut Option<Cluster>,
) -> Result<Summary, Error> {
    let before = target.endpoint_capacities().await?;
    let total_speed: f64 = before.iter().map(|e| e.speed * f64::from(e.slots)).sum();
    let params = WorkloadParams {
        load: options.load,
        duration: options.warmup() + Duration::from_secs(options.seconds),
        total_speed,
        seed: options.seed,
        fault_at: options.fault_at(),
    };
    let jobs = Arc::new(generate(&options.scenario, params));
    let kinds = options.scenario.kinds.iter().map(|k| k.name).collect();
    let driver = Driver::new(target.entries.clone(), target.teams.clone(), kinds);
    let waste_before = target.wasted_messages().await?;
    let start = Instant::now();
    let (outcomes, injected) = tokio::join!(
        driver.run(start, &jobs),
        inject_fault(options, target, cluster, start, &before)
    );
    injected?;
    tokio::time::sleep(SETTLE_DELAY).await;
    let after = capacities_after_fault(options.scenario.fault, &before);
    let rows = measured_rows(options, &jobs, outcomes, &before, &after);
    let mut waste = target.wasted_messages().await?.since(&waste_before);
    waste.add(
        "caller_resubmit",
        rows.iter().map(|r| r.outcome.resubmits).sum(),
    );
    waste.add("caller_poll", rows.iter().map(|r| r.outcome.polls).sum());
    let prefix = format!("j{}-", options.seed);
    let starts = count_starts(&target.start_records().await?, |job| {
        job.starts_with(&prefix)
    })?;
    let key = RunKey {
        scenario: options.scenario.name.to_owned(),
        policy: target.policy.clone(),
        seed: options.seed,
        load: options.load,
    };
    let task_count = jobs.iter().map(|j| j.tasks.len()).sum();
    Summary::new(key, rows, starts, &waste, task_count)
}

/// Combines the jobs after the warm-up with their outcomes and ideal response times. The ideal of
/// a job that is submitted after the fault is computed from the capacities after it.
fn measured_rows(
    options: &RunOptions,
    jobs: &[Job],
    outcomes: Vec<Outcome>,
    before: &[EndpointCapacity],
    after: &[EndpointCapacity],
) -> Vec<Row> {
    let speeds_and_slots = |endpoints: &[EndpointCapacity]| -> Vec<(f64, u32)> {
        endpoints.iter().map(|e| (e.speed, e.slots)).collect()
    };
    let (before, after) = (speeds_and_slots(before), speeds_and_slots(after));
    let measured = jobs.iter().zip(outcomes);
    let measured = measured.filter(|(job, _)| job.submit_at >= options.warmup());
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
    measured.map(row).collect()
}

/// Returns the capacities of the endpoints that remain eligible after the fault.
fn capacities_after_fault(
    fault: Option<Fault>,
    before: &[EndpointCapacity],
) -> Vec<EndpointCapacity> {
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

/// Injects the scenario's fault, if any, at [`RunOptions::fault_at`].
async fn inject_fault(
    options: &RunOptions,
    target: &Target,
    cluster: &mut Option<Cluster>,
    start: Instant,
    before: &[EndpointCapacity],
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
                cluster.set_partitioned(PARTITIONED_ZONE, true);
                tokio::time::sleep(PARTITION_DURATION).await;
                cluster.set_partitioned(PARTITIONED_ZONE, false);
            }
        }
        Fault::WrongRunTimes | Fault::Burst | Fault::CancelWave => {}
    }
    Ok(())
}
