//! Tests of run-time estimates.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use sassafras_dispatch::Estimator;

/// Returns declared and real run times. Real ones are around 200 ms, and the logarithms of declared
/// ones are off by up to `error`.
fn jobs(error: f64) -> Vec<(Duration, Duration)> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut draw = || {
        let real: f64 = 0.2 * rng.random_range(-0.6_f64..0.6).exp();
        let declared = real * rng.random_range(-error..=error).exp();
        let duration = Duration::from_secs_f64;
        (duration(declared), duration(real))
    };
    (0..400).map(|_| draw()).collect()
}

/// Returns the mean absolute error of expected times, in logarithms.
fn error_of(expected: impl Fn(Duration) -> Duration, jobs: &[(Duration, Duration)]) -> f64 {
    let error = |(declared, real): &(Duration, Duration)| {
        (expected(*declared).as_secs_f64() / real.as_secs_f64())
            .ln()
            .abs()
    };
    jobs.iter().map(error).sum::<f64>() / jobs.len() as f64
}

/// Guards against using declared times unchanged though measured ones show that they are mostly
/// wrong.
#[test]
fn wrong_declarations_are_moved_towards_the_mean() {
    let jobs = jobs(0.6);
    let mut estimator = Estimator::default();
    for (declared, real) in &jobs[..200] {
        estimator.record(*declared, *real);
    }
    let later = &jobs[200..];
    let learned = error_of(|d| estimator.expected(d), later);
    let declared = error_of(|d| d, later);
    assert!(learned < declared * 0.85, "{learned:.3} and {declared:.3}");
}

/// Guards against correcting declared times that are exact, on endpoints of any pace.
#[test]
fn exact_declarations_are_kept() {
    let mut estimator = Estimator::default();
    for (declared, real) in jobs(0.0) {
        estimator.record(declared, real * 3);
    }
    for ms in [50, 200, 900] {
        let declared = Duration::from_millis(ms);
        let off = estimator.expected(declared).as_secs_f64() / declared.as_secs_f64();
        assert!((off - 1.0).abs() < 0.01, "{ms} ms: {off:.3}");
    }
}

/// Guards against large corrections after one or two jobs, and against changing a declared time of
/// zero or one without any samples.
#[test]
fn few_samples_change_estimates_little() {
    let declared = Duration::from_millis(200);
    let mut estimator = Estimator::default();
    assert_eq!(estimator.expected(declared), declared);
    estimator.record(Duration::from_millis(200), Duration::from_millis(700));
    estimator.record(Duration::from_millis(100), Duration::from_millis(900));
    let off = estimator.expected(declared).as_secs_f64() / declared.as_secs_f64();
    assert!((off - 1.0).abs() < 0.1, "{off:.3}");
    assert_eq!(estimator.expected(Duration::ZERO), Duration::ZERO);
}
