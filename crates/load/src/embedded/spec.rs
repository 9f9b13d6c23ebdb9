//! What a cluster consists of.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use sassafras_util::Digest;

use crate::scenario;
use crate::scenario::Fault;
use crate::scenario::KindSpec;
use crate::scenario::Scenario;

/// A factor by which wrong declared run times are wrong.
const WRONG_FACTOR: u32 = 10;
/// Quotas far above what the workers can do, so that only the workers limit a run.
const QUOTA_SLOTS: u32 = 100_000;
const QUOTA_RATE: u32 = 1_000_000;
/// Deadline of the teams' tasks.
const DEADLINE: Duration = Duration::from_secs(60);

/// A worker: an endpoint stand-in and its agent.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The name, unique in the cluster.
    pub name: String,
    /// Position of the availability zone.
    pub zone: usize,
    /// The rack.
    pub rack: String,
    /// Speed relative to a standard worker.
    pub speed: f64,
    /// Tasks that run at a time.
    pub slots: u32,
    /// Connections that the endpoint accepts.
    pub connections: u32,
    /// Cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
}

/// A team and its bearer token.
#[derive(Clone, Debug)]
pub struct TeamSpec {
    /// The team's name.
    pub name: String,
    /// The bearer token of its callers.
    pub token: String,
    /// `response` or `waste`.
    pub objective: &'static str,
    /// Whether the declared run times are 10 times too long.
    pub wrong_times: bool,
}

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// The availability zones.
    pub zones: [&'static str; 3],
    /// Number of entries.
    pub entries: usize,
    /// The address of the first entry's caller API; any free port when absent.
    pub http_addr: Option<SocketAddr>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The teams.
    pub teams: Vec<TeamSpec>,
    /// The kinds of task of every team.
    pub kinds: &'static [KindSpec],
    /// The placement policy of the entries.
    pub placement: String,
    /// Whether links between zones pass through proxies, so that a zone can be cut off.
    pub proxied: bool,
    /// Whether the start waits until each entry has answered a job.
    pub probe: bool,
    /// Log level of all roles.
    pub log_level: String,
}

impl ClusterSpec {
    /// Creates the plan of a scenario.
    pub fn new(scenario: &Scenario, placement: &str) -> Self {
        let speeds = scenario::worker_speeds();
        let workers = speeds.iter().enumerate().map(|(nth, speed)| Worker {
            name: format!("w{nth}"),
            zone: scenario::zone_of(nth),
            rack: format!("r{}", scenario::rack_of(nth)),
            speed: *speed,
            slots: scenario::SLOTS_PER_WORKER,
            connections: scenario::CONNECTIONS_PER_WORKER,
            cores: scenario.cores,
            memory: scenario.memory_mb,
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
            probe: true,
            log_level: "error".to_owned(),
        }
    }
}

impl Worker {
    /// Returns the settings of the worker's stand-in.
    pub(crate) fn standin_ini(&self, agent: SocketAddr, listen: SocketAddr, level: &str) -> String {
        format!(
            "[log]\nlevel = {level}\n[standin]\nagent = {agent}\nlisten = {listen}\nslots = {}\n\
             connections = {}\ncores = {}\nmemory_mb = {}\nrack = {}\nspeed = {}\ndrain_ms = 1000\n",
            self.slots, self.connections, self.cores, self.memory, self.rack, self.speed
        )
    }
}

impl TeamSpec {
    /// Returns the declaration of the team.
    pub(crate) fn to_ini(&self, kinds: &[KindSpec]) -> String {
        let mut text = format!(
            "[team]\nname = {}\ntoken_sha256 = {}\nweight = 1\nquota_slots = {QUOTA_SLOTS}\n\
             quota_per_second = {QUOTA_RATE}\nmax_tasks = 970\ndeadline_ms = {}\nobjective = {}\n",
            self.name,
            Digest::of(self.token.as_bytes()),
            DEADLINE.as_millis(),
            self.objective
        );
        for kind in kinds {
            let factor = if self.wrong_times { WRONG_FACTOR } else { 1 };
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
