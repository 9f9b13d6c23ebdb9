//! Tests of the pace and the health of endpoints.

use std::time::Duration;
use std::time::Instant;

use sassafras_dispatch::Health;
use sassafras_dispatch::agent::pace::Pace;
use sassafras_util::Name;

fn job(n: u64) -> Name {
    Name::from(format!("j{n}"))
}

/// Guards against avoiding an endpoint for good because of a few slow runs.
#[test]
fn idle_endpoint_returns_to_the_expected_pace() {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    for n in 0..40 {
        pace.sample(start, &job(n), 7.0);
    }
    assert!(pace.factor(start) > 5.0);
    let later = start + Duration::from_secs(8);
    assert!(pace.factor(later) < 1.2);
}

/// Guards against one job with a wrong declared time that distorts the pace.
#[test]
fn tasks_of_one_job_have_little_weight() {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    for _ in 0..8 {
        pace.sample(start, &job(1), 5.0);
    }
    assert!(pace.factor(start) < 1.6, "{}", pace.factor(start));
}

/// Guards against detecting a slow endpoint only after many tasks.
#[test]
fn slow_endpoint_is_detected_within_ten_jobs() {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    for n in 0..10 {
        pace.sample(start, &job(n), 6.5);
    }
    assert!(pace.factor(start) > 3.0, "{}", pace.factor(start));
}

/// Guards against a job that fails everywhere and makes endpoints suspect.
#[test]
fn one_failing_job_makes_no_endpoint_suspect() {
    let start = Instant::now();
    let mut health = Health::default();
    for _ in 0..10 {
        health.record(start, &job(1), false);
    }
    assert!(!health.is_suspect());
}

/// Guards against an endpoint that stays suspect after it works again.
#[test]
fn suspect_endpoint_is_probed_and_trusted_again() {
    let start = Instant::now();
    let mut health = Health::default();
    for n in 0..4 {
        health.record(start, &job(n), false);
    }
    assert!(health.is_suspect());
    assert!(!health.may_probe(start));
    let later = start + Duration::from_secs(1);
    assert!(health.may_probe(later));
    health.record(later, &job(9), true);
    assert!(!health.is_suspect());
}
