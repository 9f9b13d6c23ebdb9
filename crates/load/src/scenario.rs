//! The workloads and the faults that a run can exercise.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use sassafras_util::Error;

/// Workers of both deployments.
pub const WORKERS: usize = 11;
/// Workers that share a rack.
pub const RACK_WORKERS: usize = 3;
/// Tasks that run at a time on one worker.
pub const SLOTS: u32 = 8;
/// Connections of one worker.
pub const CONNECTIONS: u32 = 64;
/// Speed of the slowest worker, in work seconds per second and slot.
const MIN_SPEED: f64 = 0.5;
/// The fastest worker is this many times as fast as the slowest.
const SPEED_SPREAD: f64 = 4.0;

/// A fault that is injected while load runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// One worker fails everything it starts.
    OneFailsAll,
    /// Two workers become 10 times slower.
    TwoSlow,
    /// The first team's declared run times are wrong by a factor of 10.
    WrongRunTimes,
    /// The first team submits 5 times the load for 10 s.
    Burst,
    /// The first team cancels half of its jobs.
    CancelWave,
    /// One entry is killed.
    EntryKilled,
    /// One availability zone is cut off.
    ZoneCut,
}

/// A kind of task in a workload.
#[derive(Clone, Copy, Debug)]
pub struct KindSpec {
    /// The kind's name.
    pub name: &'static str,
    /// Factor on the drawn task times.
    pub scale: f64,
    /// Share of the jobs that use the kind.
    pub share: f64,
    /// The declared run time.
    pub declared: Duration,
}

/// A named scenario: a workload, and possibly a fault.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name on the command line.
    pub name: &'static str,
    /// The availability zones.
    pub zones: [&'static str; 3],
    /// Cores of a worker.
    pub cores: u32,
    /// Memory of a worker, in MiB.
    pub memory: u64,
    /// The teams' objective: `response` or `waste`.
    pub objective: &'static str,
    /// The kinds of task, the default one first.
    pub kinds: &'static [KindSpec],
    /// The fault, if any.
    pub fault: Option<Fault>,
}

const BOOKING_KINDS: [KindSpec; 1] = [KindSpec {
    name: "booking",
    scale: 1.0,
    share: 1.0,
    declared: Duration::from_millis(350),
}];

const DRIVER_KINDS: [KindSpec; 3] = [
    KindSpec {
        name: "licence-lookup",
        scale: 0.5,
        share: 0.5,
        declared: Duration::from_millis(175),
    },
    KindSpec {
        name: "permit-matching",
        scale: 1.0,
        share: 0.3,
        declared: Duration::from_millis(350),
    },
    KindSpec {
        name: "background-screen",
        scale: 1.5,
        share: 0.2,
        declared: Duration::from_millis(525),
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
    /// The bookings workload of Baia Serena, without a fault.
    pub fn baia_serena() -> Self {
        Self {
            name: "baia-serena",
            zones: ["recife", "fortaleza", "salvador"],
            cores: 16,
            memory: 32_768,
            objective: "response",
            kinds: &BOOKING_KINDS,
            fault: None,
        }
    }

    /// The driver checks of PPGS, without a fault.
    pub fn ppgs() -> Self {
        Self {
            name: "ppgs",
            zones: ["shah-alam", "cyberjaya", "petaling"],
            cores: 64,
            memory: 131_072,
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

/// Returns the speed of each worker: a geometric spread in a fixed mixed order, so that
/// racks and zones hold fast and slow workers.
pub fn speeds() -> Vec<f64> {
    let last = (WORKERS - 1) as f64;
    let at = |i: usize| MIN_SPEED * SPEED_SPREAD.powf(((i * 4) % WORKERS) as f64 / last);
    (0..WORKERS).map(at).collect()
}

/// Returns the number of a worker's rack.
pub fn rack_of(worker: usize) -> usize {
    worker / RACK_WORKERS
}

/// Returns the number of a worker's availability zone; a rack lies within one zone.
pub fn zone_of(worker: usize) -> usize {
    rack_of(worker) % 3
}
