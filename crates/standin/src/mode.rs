//! Speed and failure modes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Behaviour of the stand-in, changeable at run time. Rates are probabilities per task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Speed relative to a standard worker: seconds of its work done per second.
    pub speed: f64,
    /// Probability that a task fails at once with status 500.
    pub fail_rate: f64,
    /// Probability that a task is refused with status 503 and `Task-Ran: false`.
    pub refuse_rate: f64,
    /// Probability that a task starts and runs until it is stopped.
    pub hang_rate: f64,
    /// Probability that the connection of a task is closed after the start.
    pub drop_rate: f64,
    /// Time after the start of the stand-in from which it is `slow_by` times slower.
    pub slow_after_ms: Option<u64>,
    /// Factor by which `speed` is divided from `slow_after_ms` on.
    pub slow_by: f64,
}

impl Default for Mode {
    fn default() -> Self {
        Self {
            speed: 1.0,
            fail_rate: 0.0,
            refuse_rate: 0.0,
            hang_rate: 0.0,
            drop_rate: 0.0,
            slow_after_ms: None,
            slow_by: 10.0,
        }
    }
}

impl Mode {
    /// Checks the ranges of rates (0 to 1) and factors (0.0001 to 10000).
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range, with its accepted range.
    pub fn validate(&self) -> Result<(), String> {
        let rates = [
            ("fail_rate", self.fail_rate),
            ("refuse_rate", self.refuse_rate),
            ("hang_rate", self.hang_rate),
            ("drop_rate", self.drop_rate),
        ];
        if let Some((name, _)) = rates.iter().find(|(_, r)| !(0.0..=1.0).contains(r)) {
            return Err(format!("{name}: accepted: 0 to 1"));
        }
        let factors = [("speed", self.speed), ("slow_by", self.slow_by)];
        if let Some((name, _)) = factors
            .iter()
            .find(|(_, f)| !(0.0001..=10_000.0).contains(f))
        {
            return Err(format!("{name}: accepted: 0.0001 to 10000"));
        }
        Ok(())
    }

    /// Returns the run time of `work` that starts at `uptime` after the stand-in's start.
    pub fn run_time(&self, work: Duration, uptime: Duration) -> Duration {
        let slow = self
            .slow_after_ms
            .is_some_and(|from| uptime >= Duration::from_millis(from));
        let speed = if slow {
            self.speed / self.slow_by
        } else {
            self.speed
        };
        work.div_f64(speed)
    }
}
