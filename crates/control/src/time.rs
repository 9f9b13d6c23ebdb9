//! The group's clock, as the leader advances it.

use std::time::Duration;
use std::time::Instant;

/// The control group's clock in milliseconds.
///
/// It starts at the later of the host's clock and the last committed time and then advances
/// with the monotonic clock. It therefore neither goes back nor stands still when hosts'
/// clocks differ. The time between the last commit of the old leader and the start of a new
/// one may be missing from it, which is why idle leaders commit the time regularly.
///
/// A host whose clock is far ahead must not age claims past their retention, so the clock
/// advances by at most the result retention when a leader starts. That is enough after any
/// downtime: every earlier claim is then too old for agents to start its tasks.
#[derive(Clone, Copy, Debug)]
pub struct ControlTime {
    base: u64,
    started: Instant,
}

impl ControlTime {
    /// Starts the clock of a new leader from the last committed time and the host's clock,
    /// at most `jump` after the former. The first leader of a group starts at the latter.
    pub fn new(now: Instant, committed: u64, host: u64, max_advance: Duration) -> Self {
        let latest = match committed {
            0 => host,
            committed => host.min(committed + max_advance.as_millis() as u64),
        };
        Self {
            base: committed.max(latest),
            started: now,
        }
    }

    /// Returns the time in milliseconds.
    pub fn at(&self, now: Instant) -> u64 {
        self.base + now.saturating_duration_since(self.started).as_millis() as u64
    }

    /// Returns the time that lies `age` before `now`, in milliseconds.
    pub fn before(&self, now: Instant, age: Duration) -> u64 {
        self.at(now).saturating_sub(age.as_millis() as u64)
    }
}
