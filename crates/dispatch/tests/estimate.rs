//! Guards what is learned about declared run times.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use sassafras_dispatch::Estimator;

/// Run times around 200 ms with declared ones that are off by up to `error`, either way.
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

/// Returns the mean error of expected times, in logarithms.
fn error_of(expected: impl Fn(Duration) -> Duration, jobs: &[(Duration, Duration)]) -> f64 {
    let error = |(declared, real): &(Duration, Duration)| {
        (expected(*declared).as_secs_f64() / real.as_secs_f64())
            .ln()
            .abs()
    };
    jobs.iter().map(error).sum::<f64>() / jobs.len() as f64
}

/// Guards against declared times that are taken at their word though measured ones show that
/// they are mostly wrong.
#[test]
fn wrong_declarations_are_drawn_towards_the_mean() {
    let jobs = jobs(0.6);
    let mut estimator = Estimator::default();
    for (declared, real) in &jobs[..200] {
        estimator.learn(*declared, *real);
    }
    let later = &jobs[200..];
    let learned = error_of(|d| estimator.expected(d), later);
    let declared = error_of(|d| d, later);
    assert!(learned < declared * 0.85, "{learned:.3} and {declared:.3}");
}

/// Guards against correcting declared times that are right, on endpoints of any pace.
#[test]
fn right_declarations_stay() {
    let mut estimator = Estimator::default();
    for (declared, real) in jobs(0.0) {
        estimator.learn(declared, real * 3);
    }
    for ms in [50, 200, 900] {
        let declared = Duration::from_millis(ms);
        let off = estimator.expected(declared).as_secs_f64() / declared.as_secs_f64();
        assert!((off - 1.0).abs() < 0.01, "{ms} ms: {off:.3}");
    }
}

/// Guards against conclusions from one declared time, from none, and from a few jobs.
#[test]
fn little_knowledge_changes_little() {
    let declared = Duration::from_millis(200);
    let mut estimator = Estimator::default();
    assert_eq!(estimator.expected(declared), declared);
    estimator.learn(Duration::from_millis(200), Duration::from_millis(700));
    estimator.learn(Duration::from_millis(100), Duration::from_millis(900));
    let off = estimator.expected(declared).as_secs_f64() / declared.as_secs_f64();
    assert!((off - 1.0).abs() < 0.1, "{off:.3}");
    assert_eq!(estimator.expected(Duration::ZERO), Duration::ZERO);
}
