//! The clock interface, with implementations for the system clock and for tests.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A source of monotonic and wall-clock time.
pub trait Clock: Debug + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time.
    fn system_time(&self) -> SystemTime;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        self.system_time()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }
}

/// The clocks of the operating system.
///
/// The monotonic time includes time during which the host was suspended, so that leases expire
/// during suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

/// An instant and the corresponding time since boot.
static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let (origin, origin_since_boot) = *ORIGIN.get_or_init(|| (Instant::now(), since_boot()));
        origin + since_boot().saturating_sub(origin_since_boot)
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that only advances on request. Clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Creates a clock that starts at the current monotonic time and the Unix epoch.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Arc::default(),
        }
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
