//! Named workloads and the faults that are injected into them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use sassafras_util::Error;

/// Number of workers in the cluster of either workload.
pub const WORKERS: usize = 11;
/// Number of workers in a rack.
pub const WORKERS_PER_RACK: usize = 3;
/// Tasks that a worker runs concurrently.
pub const SLOTS_PER_WORKER: u32 = 8;
/// Connections that a worker's endpoint accepts.
pub const CONNECTIONS_PER_WORKER: u32 = 64;
/// Speed of the slowest worker, in seconds of work per second and slot.
const MIN_SPEED: f64 = 0.5;
/// Ratio of the speed of the fastest worker to that of the slowest.
const SPEED_RATIO: f64 = 4.0;

/// A fault that is injected during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// One worker fails every task that it starts.
    OneFailsAll,
    /// Two workers slow down by a factor of 10.
    TwoSlow,
    /// The first team declares run times that are 10 times too long.
    WrongRunTimes,
    /// Additional jobs of the first team raise the offered load to 5 times for 10 s.
    Burst,
    /// The first team cancels half of its jobs.
    CancelWave,
    /// One entry is killed.
    EntryKilled,
    /// One availability zone is partitioned from the others.
    ZoneCut,
}

/// A kind of task in a workload.
#[derive(Clone, Copy, Debug)]
pub struct KindSpec {
    /// The kind's name.
    pub name: &'static str,
    /// Factor applied to the generated run times.
    pub scale: f64,
    /// Share of the jobs whose tasks are of this kind.
    pub share: f64,
    /// Run time that the teams declare for the kind.
    pub declared_time: Duration,
}

/// A named scenario: a workload, and possibly a fault.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Value of `--scenario`.
    pub name: &'static str,
    /// The availability zones.
    pub zones: [&'static str; 3],
    /// CPU cores of a worker.
    pub cores: u32,
    /// Memory of a worker, in MiB.
    pub memory_mb: u64,
    /// Objective of the teams: `response` or `waste`.
    pub objective: &'static str,
    /// Kinds of task; the first is the default.
    pub kinds: &'static [KindSpec],
    /// Fault to inject during the run.
    pub fault: Option<Fault>,
}

const BOOKING_KINDS: [KindSpec; 1] = [KindSpec {
    name: "booking",
    scale: 1.0,
    share: 1.0,
    declared_time: Duration::from_millis(350),
}];

const DRIVER_KINDS: [KindSpec; 3] = [
    KindSpec {
        name: "licence-lookup",
        scale: 0.5,
        share: 0.5,
        declared_time: Duration::from_millis(175),
    },
    KindSpec {
        name: "permit-matching",
        scale: 1.0,
        share: 0.3,
        declared_time: Duration::from_millis(350),
    },
    KindSpec {
        name: "background-screen",
        scale: 1.5,
        share: 0.2,
        declared_time: Duration::from_millis(525),
    },
];

const FAULTS: [(&str, Fault); 7] = [
    ("one-fails-all", Fault::OneFailsAll),
    ("two-slow", Fault::TwoSlow),
    ("wrong-run-times", Fault::WrongRunTimes),
    ("burst", Fault::Burst),
    ("cancel-wave", Fault::CancelWave),
    ("entry-killed", Fault::EntryKilled),
    ("zone-cut", Fault::ZoneCut),
];

impl Scenario {
    /// Returns the booking workload of Baia Serena, without a fault.
    pub fn baia_serena() -> Self {
        Self {
            name: "baia-serena",
            zones: ["recife", "fortaleza", "salvador"],
            cores: 16,
            memory_mb: 32_768,
            objective: "response",
            kinds: &BOOKING_KINDS,
            fault: None,
        }
    }

    /// Returns the driver-check workload of PPGS, without a fault.
    pub fn ppgs() -> Self {
        Self {
            name: "ppgs",
            zones: ["shah-alam", "cyberjaya", "petaling"],
            cores: 64,
            memory_mb: 131_072,
            objective: "waste",
            kinds: &DRIVER_KINDS,
            fault: None,
        }
    }

    /// Returns the names of all scenarios.
    pub fn names() -> Vec<&'static str> {
        let faults = FAULTS.iter().map(|(name, _)| *name);
        ["baia-serena", "ppgs"].into_iter().chain(faults).collect()
    }
}

impl FromStr for Scenario {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "baia-serena" => return Ok(Self::baia_serena()),
            "ppgs" => return Ok(Self::ppgs()),
            _ => {}
        }
        let found = FAULTS.iter().find(|(name, _)| *name == text);
        let (name, fault) = found.ok_or_else(|| {
            let known = Self::names().join(", ");
            Error::new(format!("unknown scenario {text:?}; known: {known}"))
        })?;
        Ok(Self {
            name,
            fault: Some(*fault),
            ..Self::baia_serena()
        })
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)
    }
}

/// Returns the speed of each worker: a geometric series in a fixed permutation, so that every
/// rack and zone contains both fast and slow workers.
pub fn worker_speeds() -> Vec<f64> {
    let last = (WORKERS - 1) as f64;
    let speed =
        |worker: usize| MIN_SPEED * SPEED_RATIO.powf(((worker * 4) % WORKERS) as f64 / last);
    (0..WORKERS).map(speed).collect()
}

/// Returns the index of a worker's rack.
pub fn rack_of(worker: usize) -> usize {
    worker / WORKERS_PER_RACK
}

/// Returns the index of a worker's availability zone. All workers of a rack are in the same zone.
pub fn zone_of(worker: usize) -> usize {
    rack_of(worker) % 3
}
