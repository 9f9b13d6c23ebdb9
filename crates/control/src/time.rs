//! The group's clock, as the leader advances it.

use std::time::Duration;
use std::time::Instant;

/// The control group's clock in milliseconds.
///
/// It starts at the later of the host's clock and the last committed time and then advances
/// with the monotonic clock. It therefore neither goes back nor stands still when hosts'
/// clocks differ. The time between the last commit of the old leader and the start of a new
/// one may be missing from it, which is why idle leaders commit the time regularly.
#[derive(Clone, Copy, Debug)]
pub struct ControlTime {
    base: u64,
    start: Instant,
}

impl ControlTime {
    /// Starts the clock of a new leader.
    pub fn new(now: Instant, committed: u64, host: u64) -> Self {
        Self {
            base: committed.max(host),
            start: now,
        }
    }

    /// Returns the time in milliseconds.
    pub fn at(&self, now: Instant) -> u64 {
        self.base + now.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Returns the time that lies `age` before `now`, in milliseconds.
    pub fn before(&self, now: Instant, age: Duration) -> u64 {
        self.at(now).saturating_sub(age.as_millis() as u64)
    }
}
