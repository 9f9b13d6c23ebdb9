//! Whether a job can run at all, and whether it can end before its deadline.

use std::time::Duration;

use sassafras_util::Name;

/// What a task needs on one worker.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Needs {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u32,
}

/// What a worker announced.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Tasks that run at a time.
    pub slots: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Kinds of task that are accepted; all kinds when empty.
    pub kinds: Vec<Name>,
}

impl Capacity {
    /// Tells whether a task of a kind with the given needs can ever run here.
    pub fn fits(&self, kind: &Name, needs: &Needs) -> bool {
        self.slots > 0
            && self.cores >= needs.cores
            && self.memory >= needs.memory
            && self.accelerators >= needs.accelerators
            && (self.kinds.is_empty() || self.kinds.contains(kind))
    }
}

/// Returns the time until a job submitted now is expected to end: after the work that waits
/// already and its own, spread over `slots`, but not before its longest task.
pub fn expected_response_time(
    waiting: Duration,
    own: Duration,
    longest: Duration,
    slots: u32,
) -> Duration {
    let shared = (waiting + own) / slots.max(1);
    shared.max(longest)
}
