//! Admission control: whether a job can run at all, and when it is expected to complete.

use std::time::Duration;

use sassafras_util::Name;

/// Resources that a task requires on one worker.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Needs {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Resources announced by a worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Number of tasks that run concurrently.
    pub slots: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Accepted kinds of task; empty accepts all kinds.
    pub kinds: Vec<Name>,
}

impl Capacity {
    /// Returns whether the worker can run a task of `kind` that requires `needs`.
    pub fn fits(&self, kind: &Name, needs: &Needs) -> bool {
        self.slots > 0
            && self.cores >= needs.cores
            && self.memory >= needs.memory
            && self.accelerators >= needs.accelerators
            && (self.kinds.is_empty() || self.kinds.contains(kind))
    }
}

/// Returns the expected time until a job submitted now completes.
///
/// This is the queued work plus the job's own work, divided among `slots`, or the run time of
/// the job's longest task if that is longer.
pub fn expected_response_time(
    queued: Duration,
    own: Duration,
    longest: Duration,
    slots: u32,
) -> Duration {
    let shared = (queued + own) / slots.max(1);
    shared.max(longest)
}
