//! Micro-benchmarks of an embedded cluster.

mod agents;
mod claims;
mod process;
mod simulated_agent;
mod starts;
mod unloaded;

use std::time::Duration;

use hdrhistogram::Histogram;

use sassafras_util::Error;

pub use crate::measure::agents::agents;
pub use crate::measure::claims::claims;
pub use crate::measure::starts::starts;
pub use crate::measure::unloaded::unloaded;

/// Longest recorded time, in microseconds. Longer times are recorded as this one.
const MAX_US: u64 = 600_000_000;

/// A histogram of times in microseconds, recorded with three significant digits.
#[derive(Debug)]
struct TimeHistogram(Histogram<u64>);

impl TimeHistogram {
    fn new() -> Result<Self, Error> {
        let histogram = Histogram::new_with_bounds(1, MAX_US, 3).map_err(Error::new)?;
        Ok(Self(histogram))
    }

    fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Returns the time at a quantile, in milliseconds.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn count(&self) -> u64 {
        self.0.len()
    }
}
