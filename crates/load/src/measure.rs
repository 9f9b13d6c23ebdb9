//! Measurements of single figures.

mod agents;
mod claims;
mod process;
mod session;
mod starts;
mod unloaded;

use std::time::Duration;

use hdrhistogram::Histogram;

use sassafras_util::Error;

pub use crate::measure::agents::agents;
pub use crate::measure::claims::claims;
pub use crate::measure::starts::starts;
pub use crate::measure::unloaded::unloaded;

/// Longest time that a distribution holds; a longer one counts as this.
const MAX_US: u64 = 600_000_000;

/// A distribution of times, in microseconds.
#[derive(Debug)]
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Result<Self, Error> {
        let histogram = Histogram::new_with_bounds(1, MAX_US, 3).map_err(Error::new)?;
        Ok(Self(histogram))
    }

    fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Returns the time at a quantile in milliseconds.
    fn ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn count(&self) -> u64 {
        self.0.len()
    }
}
