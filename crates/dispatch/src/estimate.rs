//! What run time to expect of tasks, given the declared one.
//!
//! Load pattern: declared run times are off by tens of percent, alike for all tasks of a job. Of two
//! declared times of a route, the longer one is more likely too long and the shorter one too
//! short. Taken at their word, short declarations would go to slow endpoints and take longer
//! than declared there, and long ones to fast endpoints, so that endpoints look more different
//! than they are and slow ones stay unused. Each declared time therefore counts only for the part
//! by which measured times follow it, and the mean of the route for the rest.

use std::time::Duration;

/// Jobs over which the figures of a route are averaged.
const MEMORY: f64 = 200.0;
/// Weight, in jobs, of the assumption that declared times are exact.
const PRIOR: f64 = 20.0;

/// The relation of measured to declared run times of one route, in logarithms.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    jobs: f64,
    declared: f64,
    measured: f64,
    variance: f64,
    covariance: f64,
}

impl Estimator {
    /// Returns the run time to expect of tasks that are declared to take `declared`.
    pub fn expected(&self, declared: Duration) -> Duration {
        if self.jobs == 0.0 || declared.is_zero() {
            return declared;
        }
        let log = declared.as_secs_f64().ln();
        let log = self.declared + self.slope() * (log - self.declared);
        Duration::from_secs_f64(log.exp())
    }

    /// Takes the run time of a job's tasks, on an endpoint of ordinary pace. `measured` may be off
    /// by any factor that is the same for all jobs.
    pub fn learn(&mut self, declared: Duration, measured: Duration) {
        if declared.is_zero() || measured.is_zero() {
            return;
        }
        let (x, y) = (declared.as_secs_f64().ln(), measured.as_secs_f64().ln());
        self.jobs = (self.jobs + 1.0).min(MEMORY);
        let weight = 1.0 / self.jobs;
        let (dx, dy) = (x - self.declared, y - self.measured);
        self.declared += weight * dx;
        self.measured += weight * dy;
        self.variance += weight * ((1.0 - weight) * dx * dx - self.variance);
        self.covariance += weight * ((1.0 - weight) * dx * dy - self.covariance);
    }

    /// Returns the part of a difference between declared times that measured times show.
    fn slope(&self) -> f64 {
        if self.variance <= f64::EPSILON {
            return 1.0;
        }
        let slope = (self.covariance / self.variance).clamp(0.0, 1.0);
        (slope * self.jobs + PRIOR) / (self.jobs + PRIOR)
    }
}
