//! Guards the measured pace of endpoints.

use std::time::Duration;
use std::time::Instant;

use sassafras_dispatch::Health;
use sassafras_dispatch::agent::pace::Pace;
use sassafras_util::Name;

fn job(n: u64) -> Name {
    Name::from(format!("j{n}"))
}

/// Guards against an endpoint that is avoided for good because of a few slow runs.
#[test]
fn idle_endpoint_drifts_back_to_the_declared_pace() {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    for n in 0..40 {
        pace.sample(start, &job(n), 7.0);
    }
    assert!(pace.factor(start) > 5.0);
    let later = start + Duration::from_secs(8);
    assert!(pace.factor(later) < 1.2);
}

/// Guards against one job with a wrong declared time that spoils the pace.
#[test]
fn tasks_of_one_job_count_little() {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    for _ in 0..8 {
        pace.sample(start, &job(1), 5.0);
    }
    assert!(pace.factor(start) < 1.6, "{}", pace.factor(start));
}

/// Guards against a slow endpoint that is noticed only after many tasks.
#[test]
fn slow_endpoint_is_noticed_within_ten_jobs() {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    for n in 0..10 {
        pace.sample(start, &job(n), 6.5);
    }
    assert!(pace.factor(start) > 3.0, "{}", pace.factor(start));
}

/// Guards against jobs that fail wherever they run and take endpoints out.
#[test]
fn one_failing_job_takes_no_endpoint_out() {
    let start = Instant::now();
    let mut health = Health::default();
    for _ in 0..10 {
        health.record(start, &job(1), false);
    }
    assert!(!health.is_suspect());
}

/// Guards against an endpoint that stays out after it works again.
#[test]
fn endpoint_is_tried_again_and_comes_back() {
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
