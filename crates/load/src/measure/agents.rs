//! What agents cost the control group, and how fast a configuration change is in force.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use tokio::task::JoinSet;

use sassafras_util::Error;
use sassafras_util::Name;

use crate::embedded::Cluster;
use crate::embedded::ClusterSpec;
use crate::measure::Times;
use crate::measure::process;
use crate::measure::session;
use crate::measure::session::SharedTally;
use crate::measure::session::Spec;
use crate::measure::session::lock;
use crate::scenario::Scenario;

const COUNTS: [usize; 3] = [50, 200, 400];
/// Configuration changes for each count of agents.
const CHANGES: u32 = 5;
const JOIN_LIMIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
/// Time for joins to be committed before anything is measured.
const SETTLE: Duration = Duration::from_secs(2);

/// Measures CPU, memory and bytes per agent for control, and the time until a configuration
/// change is in force on all agents, with 50, 200 and 400 agents.
///
/// # Errors
///
/// Fails when the group does not start or the sessions do not join.
pub async fn agents(seconds: u64, log: &Logger) -> Result<(), Error> {
    for count in COUNTS {
        let mut plan = ClusterSpec::new(&Scenario::baia_serena(), "expected");
        plan.workers.clear();
        plan.teams.clear();
        plan.entries = 0;
        let cluster = Cluster::start(&plan, log.clone()).await?;
        let tally = SharedTally::default();
        let mut sessions = JoinSet::new();
        for nth in 0..count {
            let spec = Spec {
                name: format!("agent-{nth}"),
                zone: Name::from(plan.zones[nth % 3]),
                control: cluster.control().to_vec(),
                key: cluster.key(),
                slots: None,
                log: log.clone(),
            };
            sessions.spawn(session::run(spec, SharedTally::clone(&tally)));
        }
        let measured = measure(&cluster, &tally, count, seconds).await;
        sessions.shutdown().await;
        for e in cluster.stop().await {
            slog::warn!(log, "role ended with an error"; "error" => %e);
        }
        println!("{}", measured?);
    }
    Ok(())
}

async fn measure(
    cluster: &Cluster,
    tally: &SharedTally,
    count: usize,
    seconds: u64,
) -> Result<String, Error> {
    let until = Instant::now() + JOIN_LIMIT;
    while lock(tally).joined < count {
        if Instant::now() >= until {
            let joined = lock(tally).joined;
            return Err(Error::new(format!(
                "only {joined} of {count} agents joined"
            )));
        }
        tokio::time::sleep(POLL).await;
    }
    tokio::time::sleep(SETTLE).await;
    let threads = process::threads("control-")?;
    let (cpu, bytes) = (total_cpu(&threads)?, lock(tally).control_bytes);
    let begun = Instant::now();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let length = begun.elapsed().as_secs_f64();
    let cpu = total_cpu(&threads)?.saturating_sub(cpu).as_secs_f64() / length;
    let bytes = (lock(tally).control_bytes - bytes) as f64 / length;
    let memory = process::memory_mb(std::path::Path::new("/proc/self"))?;
    let times = changes(cluster, tally, count).await?;
    Ok(format!(
        "measure=agents agents={count} control_cpu_percent={:.2} control_cpu_percent_per_agent={:.4} \
         bytes_per_s_per_agent={:.0} process_memory_mb={memory:.0} changes={} in_force_ms_p50={:.1} in_force_ms_max={:.1}",
        cpu * 100.0,
        cpu * 100.0 / count as f64,
        bytes / count as f64,
        times.count(),
        times.ms(0.5),
        times.ms(1.0)
    ))
}

fn total_cpu(threads: &[PathBuf]) -> Result<Duration, Error> {
    threads.iter().map(|t| process::cpu(t)).sum()
}

/// Measures, from the sending of a change, when the last agent has it.
async fn changes(cluster: &Cluster, tally: &SharedTally, count: usize) -> Result<Times, Error> {
    let mut operator = cluster.operator();
    operator.status(false, false).await?;
    let mut times = Times::new()?;
    for nth in 0..CHANGES {
        let team = crate::embedded::TeamSpec {
            name: format!("team-{nth}"),
            token: "t".to_owned(),
            objective: "waste",
            wrong_times: false,
        };
        let kinds = Scenario::ppgs().kinds;
        let item = (format!("team/team-{nth}"), team.to_ini(kinds));
        let begun = Instant::now();
        let version = operator.apply(&[item]).await?;
        let until = begun + JOIN_LIMIT;
        loop {
            let having: Vec<Instant> = lock(tally)
                .in_force
                .iter()
                .filter(|(v, _)| *v >= version)
                .map(|(_, at)| *at)
                .collect();
            if having.len() >= count {
                let last = having.into_iter().max().unwrap_or(begun);
                times.record(last.saturating_duration_since(begun));
                break;
            }
            if Instant::now() >= until {
                return Err(Error::new(format!(
                    "change in force on only {} of {count} agents",
                    having.len()
                )));
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(times)
}
