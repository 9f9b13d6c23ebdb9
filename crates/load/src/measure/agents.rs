//! Load that agents put on the control group, and propagation time of configuration changes.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use tokio::task::JoinSet;

use sassafras_util::Error;
use sassafras_util::Name;

use crate::embedded::Cluster;
use crate::embedded::ClusterSpec;
use crate::measure::TimeHistogram;
use crate::measure::process;
use crate::measure::simulated_agent;
use crate::measure::simulated_agent::AgentConfig;
use crate::measure::simulated_agent::SharedStats;
use crate::measure::simulated_agent::lock;
use crate::scenario::Scenario;

/// Numbers of agents that are measured.
const AGENT_COUNTS: [usize; 3] = [50, 200, 400];
/// Number of configuration changes per number of agents.
const CONFIG_CHANGES: u32 = 5;
/// Timeout for all agents to join, and for a configuration change to reach all agents.
const JOIN_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after the last join, so that all joins are committed when the measurement starts.
const SETTLE_DELAY: Duration = Duration::from_secs(2);

/// Measures the CPU time of control, the memory of the process, the bytes that control exchanges
/// with each agent, and the time until a configuration change has reached all agents, with 50, 200
/// and 400 agents.
///
/// # Errors
///
/// Fails when the group does not start, the agents do not join, or a configuration change does not
/// reach all agents in time.
pub async fn agents(seconds: u64, log: &Logger) -> Result<(), Error> {
    for count in AGENT_COUNTS {
        let mut spec = ClusterSpec::new(&Scenario::baia_serena(), "expected");
        spec.workers.clear();
        spec.teams.clear();
        spec.entries = 0;
        let cluster = Cluster::start(&spec, log.clone()).await?;
        let stats = SharedStats::default();
        let mut agents = JoinSet::new();
        for nth in 0..count {
            let config = AgentConfig {
                name: format!("agent-{nth}"),
                zone: Name::from(spec.zones[nth % 3]),
                control: cluster.control().to_vec(),
                key: cluster.key(),
                slots: None,
                log: log.clone(),
            };
            agents.spawn(simulated_agent::run(config, SharedStats::clone(&stats)));
        }
        let result = measure(&cluster, &stats, count, seconds).await;
        agents.shutdown().await;
        for e in cluster.stop().await {
            slog::warn!(log, "role ended with an error"; "error" => %e);
        }
        println!("{}", result?);
    }
    Ok(())
}

async fn measure(
    cluster: &Cluster,
    stats: &SharedStats,
    count: usize,
    seconds: u64,
) -> Result<String, Error> {
    let deadline = Instant::now() + JOIN_TIMEOUT;
    while lock(stats).joined < count {
        if Instant::now() >= deadline {
            let joined = lock(stats).joined;
            return Err(Error::new(format!(
                "only {joined} of {count} agents joined before the timeout"
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(SETTLE_DELAY).await;
    let threads = process::thread_dirs("control-")?;
    let (cpu, bytes) = (total_cpu(&threads)?, lock(stats).control_bytes);
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let length = started.elapsed().as_secs_f64();
    let cpu = total_cpu(&threads)?.saturating_sub(cpu).as_secs_f64() / length;
    let bytes = (lock(stats).control_bytes - bytes) as f64 / length;
    let memory = process::memory_mb(std::path::Path::new("/proc/self"))?;
    let times = measure_config_changes(cluster, stats, count).await?;
    Ok(format!(
        "measure=agents agents={count} control_cpu_percent={:.2} control_cpu_percent_per_agent={:.4} \
         bytes_per_s_per_agent={:.0} process_memory_mb={memory:.0} changes={} in_force_ms_p50={:.1} in_force_ms_max={:.1}",
        cpu * 100.0,
        cpu * 100.0 / count as f64,
        bytes / count as f64,
        times.count(),
        times.quantile_ms(0.5),
        times.quantile_ms(1.0)
    ))
}

fn total_cpu(threads: &[PathBuf]) -> Result<Duration, Error> {
    threads.iter().map(|t| process::cpu_time(t)).sum()
}

/// Measures the time from sending a configuration change until the last agent has received it.
async fn measure_config_changes(
    cluster: &Cluster,
    stats: &SharedStats,
    count: usize,
) -> Result<TimeHistogram, Error> {
    let mut operator = cluster.operator();
    operator.status(false, false).await?;
    let mut times = TimeHistogram::new()?;
    for nth in 0..CONFIG_CHANGES {
        let team = crate::embedded::TeamSpec {
            name: format!("team-{nth}"),
            token: "t".to_owned(),
            objective: "waste",
            wrong_times: false,
        };
        let kinds = Scenario::ppgs().kinds;
        let item = (format!("team/team-{nth}"), team.to_ini(kinds));
        let started = Instant::now();
        let version = operator.apply_config(&[item]).await?;
        let deadline = started + JOIN_TIMEOUT;
        loop {
            let applied: Vec<Instant> = lock(stats)
                .config_applied
                .iter()
                .filter(|(v, _)| *v >= version)
                .map(|(_, at)| *at)
                .collect();
            if applied.len() >= count {
                let last = applied.into_iter().max().unwrap_or(started);
                times.record(last.saturating_duration_since(started));
                break;
            }
            if Instant::now() >= deadline {
                return Err(Error::new(format!(
                    "configuration change reached only {} of {count} agents before the timeout",
                    applied.len()
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(times)
}
