//! Jobs as submitted by callers, and their outcomes.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;

use sassafras_util::Name;
use sassafras_wire::proto;

/// Longest objective of a job, before the constant part.
const MAX_OBJECTIVE: Duration = Duration::from_secs(30 * 24 * 3600);

/// Resources that a task needs or an endpoint provides.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Reports whether `other` fits into these resources.
    pub fn holds(&self, other: &Self) -> bool {
        self.cpu >= other.cpu
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Returns the sum, saturating at the numeric bounds.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference, saturating at zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl From<proto::Resources> for Resources {
    fn from(r: proto::Resources) -> Self {
        Self {
            cpu: r.cpu,
            memory_mb: r.memory_mb,
            accelerators: r.accelerators,
        }
    }
}

impl From<Resources> for proto::Resources {
    fn from(r: Resources) -> Self {
        Self {
            cpu: r.cpu,
            memory_mb: r.memory_mb,
            accelerators: r.accelerators,
        }
    }
}

/// A job: steps of equal tasks.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// The caller's id of the job.
    pub id: Name,
    /// Passed to the endpoint with each task.
    pub payload: Arc<str>,
    /// The steps; dependencies refer to them by index.
    pub steps: Vec<Step>,
}

/// Equal tasks of a job.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Declared run time of a task.
    pub estimate: Duration,
    /// Indices of the steps that must be done first.
    pub depends_on: Vec<usize>,
    /// Label that the endpoint must have.
    pub label: Option<Name>,
    /// Rack that holds the data.
    pub rack: Option<Name>,
    /// Most tasks of the step on one endpoint at a time; 0 sets no limit.
    pub endpoint_limit: u32,
}

/// An entry of the routing table.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Pool whose endpoints run the tasks.
    pub pool: Name,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task at which its job fails.
    pub max_attempts: u32,
    /// Factor on the critical path in the response-time objective.
    pub slack: f64,
    /// Constant part of the response-time objective.
    pub target: Duration,
}

impl Route {
    /// Returns the response-time objective of a job with this critical path.
    ///
    /// A table from another build may have any factor, so the result is limited to `MAX_OBJECTIVE`.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let work = critical_path.as_secs_f64() * self.slack;
        let work = Duration::try_from_secs_f64(work).unwrap_or(MAX_OBJECTIVE);
        work.min(MAX_OBJECTIVE) + self.target
    }
}

/// Outcome of a job.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// completed
    Completed,
    /// a task failed as often as its route allows
    Failed,
    /// cancelled
    Cancelled,
    /// refused, and no task was started: {0}
    Refused(Refusal),
    /// given up after tasks may have run: {0}
    GivenUp(&'static str),
}

/// Why a job was refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Refusal {
    /// No endpoint has capacity in time.
    #[displaydoc("the expected wait of {wait_ms} ms leaves no time for the work")]
    Overloaded {
        /// Expected wait for capacity, in milliseconds.
        wait_ms: u64,
    },
    /// no endpoint takes tasks of this route now
    NoEndpoint,
    /// no endpoint is large enough for a task
    Unsatisfiable,
    /// this entry was suspended and does not know the endpoints
    Suspended,
}

impl JobSpec {
    /// Returns the length of the critical path, given the expected run time of a task by step.
    pub fn critical_path(&self, expected: &[Duration]) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (step, time) in self.steps.iter().zip(expected) {
            let start = step.depends_on.iter().filter_map(|s| ends.get(*s)).max();
            ends.push(start.copied().unwrap_or_default() + *time);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
