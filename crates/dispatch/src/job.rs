//! Jobs as callers submit them, and how they end.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;

use sassafras_util::Name;
use sassafras_wire::proto;

/// What a task needs while it runs, or what an endpoint holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Reports whether `other` fits into this.
    pub fn holds(&self, other: &Self) -> bool {
        self.cpu >= other.cpu
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Returns the sum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what is left without `other`, at least nothing.
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
    /// The steps, in the order in which they are numbered.
    pub steps: Vec<Step>,
}

/// Tasks of a job that are alike.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub needs: Resources,
    /// Declared run time of a task.
    pub estimate: Duration,
    /// Steps that must be done before, by number.
    pub depends_on: Vec<usize>,
    /// A label that the endpoint must have.
    pub label: Option<Name>,
    /// The rack where the data is.
    pub rack: Option<Name>,
    /// Most tasks of the step that run on one endpoint at a time; 0 sets no limit.
    pub endpoint_limit: u32,
}

/// The route that a job came by.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Endpoints that may run the tasks.
    pub pool: Name,
    /// 0 is the most important.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Factor on the longest chain of tasks in the response-time objective.
    pub slack: f64,
    /// Part of the response-time objective that does not depend on the work.
    pub target: Duration,
}

impl Route {
    /// Returns the response-time objective of a job whose longest chain takes `chain`.
    pub fn objective(&self, chain: Duration) -> Duration {
        chain.mul_f64(self.slack) + self.target
    }
}

/// How a job ended.
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
    /// No endpoint has room in time.
    #[displaydoc("the expected wait of {wait_ms} ms leaves no time for the work")]
    Overloaded {
        /// Expected wait for room, in milliseconds.
        wait_ms: u64,
    },
    /// no endpoint takes tasks of this route now
    NoEndpoint,
    /// no endpoint is large enough for a task
    Unsatisfiable,
    /// this entry was suspended and does not know the endpoints
    Stalled,
}

impl JobSpec {
    /// Returns the run time of the longest chain of steps, when the tasks of each step take as
    /// long as `expected` says.
    pub fn critical_path(&self, expected: &[Duration]) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (step, time) in self.steps.iter().zip(expected) {
            let start = step.depends_on.iter().filter_map(|s| ends.get(*s)).max();
            ends.push(start.copied().unwrap_or_default() + *time);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
