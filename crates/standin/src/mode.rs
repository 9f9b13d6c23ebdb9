//! How the stand-in behaves; may change at run time.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How the stand-in behaves. Rates are shares of the tasks, from 0 to 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Work done in a second, in seconds of a standard worker.
    pub speed: f64,
    /// Share of tasks that fail at once with status 500.
    pub fail_rate: f64,
    /// Share of tasks refused with status 503 and `Task-Ran: false`.
    pub refuse_rate: f64,
    /// Share of tasks that start and never end.
    pub hang_rate: f64,
    /// Share of tasks whose connection is closed after the start.
    pub drop_rate: f64,
    /// From this time after the stand-in's start on, it is `slow_by` times slower.
    pub slow_after_ms: Option<u64>,
    /// The factor that applies from `slow_after_ms` on.
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
    /// Checks that rates are shares and that factors are positive.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn check(&self) -> Result<(), String> {
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

    /// Returns how long `work` takes at `age` after the stand-in's start.
    pub fn run_time(&self, work: Duration, age: Duration) -> Duration {
        let slow = self
            .slow_after_ms
            .is_some_and(|from| age >= Duration::from_millis(from));
        let speed = if slow {
            self.speed / self.slow_by
        } else {
            self.speed
        };
        work.div_f64(speed)
    }
}
