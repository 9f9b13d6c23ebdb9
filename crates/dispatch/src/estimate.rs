//! Expected run times of tasks, derived from declared ones.
//!
//! Designed for declared run times that are off by tens of percent, alike for all tasks of a job.
//! Of two declared times of a route, the longer one is more likely too long and the shorter one too
//! short. If they were taken as exact, short declarations would go to slow endpoints and take
//! longer there than declared, and long ones to fast endpoints. Endpoints would seem to differ more
//! than they do, and slow ones would stay unused. Each declared time is therefore moved towards the
//! mean of the route, according to the slope of a regression of measured on declared times.

use std::time::Duration;

/// Number of jobs over which the statistics of a route are averaged.
const MAX_JOBS: f64 = 200.0;
/// Weight, in jobs, of the prior that declared times are exact.
const PRIOR_JOBS: f64 = 20.0;

/// Regression of measured on declared run times of one route, in logarithms.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Number of jobs recorded, up to `MAX_JOBS`.
    jobs: f64,
    /// Mean declared run time.
    declared: f64,
    /// Mean measured run time.
    measured: f64,
    variance: f64,
    covariance: f64,
}

impl Estimator {
    /// Returns the expected run time of tasks declared to take `declared`.
    pub fn expected(&self, declared: Duration) -> Duration {
        if self.jobs == 0.0 || declared.is_zero() {
            return declared;
        }
        let log = declared.as_secs_f64().ln();
        let log = self.declared + self.slope() * (log - self.declared);
        Duration::from_secs_f64(log.exp())
    }

    /// Records the mean run time of a job's tasks, normalized by the pace of their endpoints. A
    /// constant factor on all `measured` times has no effect.
    pub fn record(&mut self, declared: Duration, measured: Duration) {
        if declared.is_zero() || measured.is_zero() {
            return;
        }
        let (x, y) = (declared.as_secs_f64().ln(), measured.as_secs_f64().ln());
        self.jobs = (self.jobs + 1.0).min(MAX_JOBS);
        let weight = 1.0 / self.jobs;
        let (dx, dy) = (x - self.declared, y - self.measured);
        self.declared += weight * dx;
        self.measured += weight * dy;
        self.variance += weight * ((1.0 - weight) * dx * dx - self.variance);
        self.covariance += weight * ((1.0 - weight) * dx * dy - self.covariance);
    }

    /// Returns the slope of the regression, from 0 to 1.
    fn slope(&self) -> f64 {
        if self.variance <= f64::EPSILON {
            return 1.0;
        }
        let slope = (self.covariance / self.variance).clamp(0.0, 1.0);
        (slope * self.jobs + PRIOR_JOBS) / (self.jobs + PRIOR_JOBS)
    }
}
