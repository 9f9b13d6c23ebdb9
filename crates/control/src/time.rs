//! The clock of the control group, which the leader advances.

use std::time::Duration;
use std::time::Instant;

/// The clock of the control group, in milliseconds.
///
/// It starts at the later of the host's wall clock and the last committed time, and then
/// advances with the monotonic clock. It therefore neither goes back nor stops when the clocks
/// of hosts differ. The time between the last commit of one leader and the start of the next
/// may be missing from it, so idle leaders commit the time regularly.
///
/// When a leader starts, the clock advances by at most `max_advance`, for which the leader
/// passes the result retention: a host whose wall clock is far ahead must not age claims past
/// their retention. This bound is sufficient after any downtime, since every earlier claim is
/// then too old for agents to start its tasks.
#[derive(Clone, Copy, Debug)]
pub struct ControlTime {
    base: u64,
    started: Instant,
}

impl ControlTime {
    /// Starts the clock of a new leader at the later of the last committed time and the host's
    /// wall clock, but at most `max_advance` after the committed time. The first leader of a
    /// group, for which `committed` is 0, starts at the wall clock.
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

    /// Returns the control time at `now`, in milliseconds.
    pub fn at(&self, now: Instant) -> u64 {
        self.base + now.saturating_duration_since(self.started).as_millis() as u64
    }

    /// Returns the control time `age` before `now`, in milliseconds.
    pub fn before(&self, now: Instant, age: Duration) -> u64 {
        self.at(now).saturating_sub(age.as_millis() as u64)
    }
}
