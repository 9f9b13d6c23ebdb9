//! Specification of an embedded cluster.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use sassafras_util::Digest;

use crate::scenario;
use crate::scenario::Fault;
use crate::scenario::KindSpec;
use crate::scenario::Scenario;

/// Factor by which declared run times are too long with [`TeamSpec::wrong_times`].
const WRONG_TIME_FACTOR: u32 = 10;
/// Quota of a team in slots, far above the capacity of the workers, so that quotas do not limit a
/// run.
const QUOTA_SLOTS: u32 = 100_000;
/// Quota of a team in tasks per second, far above the capacity for the same reason.
const QUOTA_PER_SECOND: u32 = 1_000_000;
/// Deadline of the teams' tasks.
const TASK_DEADLINE: Duration = Duration::from_secs(60);

/// Specification of a worker, which runs a stand-in as its endpoint and an agent.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name, unique in the cluster.
    pub name: String,
    /// Index of the availability zone in [`ClusterSpec::zones`].
    pub zone: usize,
    /// Name of the rack.
    pub rack: String,
    /// Speed, as seconds of work per second and slot.
    pub speed: f64,
    /// Number of tasks that run concurrently.
    pub slots: u32,
    /// Number of connections that the endpoint accepts.
    pub connections: u32,
    /// Number of CPU cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mb: u64,
}

/// Specification of a team.
#[derive(Clone, Debug)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: String,
    /// Bearer token of its callers.
    pub token: String,
    /// Objective: `response` or `waste`.
    pub objective: &'static str,
    /// Whether the declared run times are 10 times too long.
    pub wrong_times: bool,
}

/// Specification of an embedded cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Names of the availability zones.
    pub zones: [&'static str; 3],
    /// Number of entries.
    pub entries: usize,
    /// Address of the caller API of the first entry; a free port on loopback by default.
    pub http_addr: Option<SocketAddr>,
    /// Workers.
    pub workers: Vec<WorkerSpec>,
    /// Teams.
    pub teams: Vec<TeamSpec>,
    /// Kinds of task that every team declares.
    pub kinds: &'static [KindSpec],
    /// Placement policy of the entries.
    pub placement: String,
    /// Whether links between zones pass through proxies, so that a zone can be partitioned.
    pub proxied: bool,
    /// Whether the start waits until each entry has completed a job.
    pub probe_entries: bool,
    /// Log level of all roles.
    pub log_level: String,
}

impl ClusterSpec {
    /// Creates the specification of the cluster of a scenario.
    pub fn new(scenario: &Scenario, placement: &str) -> Self {
        let speeds = scenario::worker_speeds();
        let workers = speeds.iter().enumerate().map(|(index, speed)| WorkerSpec {
            name: format!("w{index}"),
            zone: scenario::zone_of(index),
            rack: format!("r{}", scenario::rack_of(index)),
            speed: *speed,
            slots: scenario::SLOTS_PER_WORKER,
            connections: scenario::CONNECTIONS_PER_WORKER,
            cores: scenario.cores,
            memory_mb: scenario.memory_mb,
        });
        let wrong = scenario.fault == Some(Fault::WrongRunTimes);
        let team = |name: &str, wrong_times| TeamSpec {
            name: name.to_owned(),
            token: format!("{name}-token"),
            objective: scenario.objective,
            wrong_times,
        };
        Self {
            zones: scenario.zones,
            entries: 2,
            http_addr: None,
            workers: workers.collect(),
            teams: vec![team("team-a", wrong), team("team-b", false)],
            kinds: scenario.kinds,
            placement: placement.to_owned(),
            proxied: scenario.fault == Some(Fault::ZoneCut),
            probe_entries: true,
            log_level: "error".to_owned(),
        }
    }
}

impl WorkerSpec {
    /// Returns the settings of the worker's stand-in in INI format.
    pub(crate) fn standin_ini(
        &self,
        agent: SocketAddr,
        listen: SocketAddr,
        log_level: &str,
    ) -> String {
        format!(
            "[log]\nlevel = {log_level}\n[standin]\nagent = {agent}\nlisten = {listen}\nslots = {}\n\
             connections = {}\ncores = {}\nmemory_mb = {}\nrack = {}\nspeed = {}\ndrain_ms = 1000\n",
            self.slots, self.connections, self.cores, self.memory_mb, self.rack, self.speed
        )
    }
}

impl TeamSpec {
    /// Returns the declaration of the team in INI format.
    pub(crate) fn to_ini(&self, kinds: &[KindSpec]) -> String {
        let mut text = format!(
            "[team]\nname = {}\ntoken_sha256 = {}\nweight = 1\nquota_slots = {QUOTA_SLOTS}\n\
             quota_per_second = {QUOTA_PER_SECOND}\nmax_tasks = 970\ndeadline_ms = {}\nobjective = {}\n",
            self.name,
            Digest::of(self.token.as_bytes()),
            TASK_DEADLINE.as_millis(),
            self.objective
        );
        for kind in kinds {
            let factor = if self.wrong_times {
                WRONG_TIME_FACTOR
            } else {
                1
            };
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "\n[kind {}]\nrun_ms = {}\nrepeatable = false\ncores = 0\nmemory_mb = 0\naccelerators = 0\n",
                kind.name,
                (kind.declared_time * factor).as_millis()
            );
        }
        text
    }
}
