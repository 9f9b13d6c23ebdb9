//! Tests of health, retry budgets, start limits, observed run times and admission.

use std::time::Duration;
use std::time::Instant;

use sassafras_policy::Capacity;
use sassafras_policy::Health;
use sassafras_policy::HealthStatus;
use sassafras_policy::Needs;
use sassafras_policy::RetryBudget;
use sassafras_policy::RunTimes;
use sassafras_policy::StartLimiter;
use sassafras_policy::expected_response_time;

const SECOND: Duration = Duration::from_secs(1);

fn record_failures(health: &mut Health, now: Instant, jobs: std::ops::Range<u64>) {
    for job in jobs {
        health.record(now, job, false, true, true);
    }
}

/// Guards against sending tasks to an agent that fails all of them.
#[test]
fn failures_of_three_jobs_eject_an_agent() {
    let now = Instant::now();
    let mut health = Health::default();
    record_failures(&mut health, now, 0..2);
    assert_eq!(health.status(now), HealthStatus::Healthy);
    record_failures(&mut health, now, 2..3);
    assert_eq!(health.status(now), HealthStatus::Ejected);
    assert_eq!(health.status(now + SECOND), HealthStatus::Probe);
}

/// Guards against ejecting an agent because of a single faulty job.
#[test]
fn a_faulty_job_does_not_eject_an_agent() {
    let now = Instant::now();
    let mut health = Health::default();
    for _ in 0..50 {
        health.record(now, 1, false, true, true);
    }
    for job in 0..50 {
        health.record(now, job, false, false, true);
    }
    assert_eq!(health.status(now), HealthStatus::Healthy);
}

/// Guards against ejecting too many agents at the same time.
#[test]
fn an_agent_is_kept_when_ejection_is_not_allowed() {
    let now = Instant::now();
    let mut health = Health::default();
    for job in 0..10 {
        assert!(!health.record(now, job, false, true, false));
    }
    assert_eq!(health.status(now), HealthStatus::Healthy);
}

/// Guards against more than one outstanding probe, and against an agent that is never readmitted.
#[test]
fn probes_are_single_with_exponential_backoff() {
    let mut now = Instant::now();
    let mut health = Health::default();
    record_failures(&mut health, now, 0..3);
    for backoff in [1, 2, 4, 8, 16, 32, 60, 60] {
        assert_eq!(
            health.status(now + SECOND * backoff / 10 * 9),
            HealthStatus::Ejected
        );
        now += SECOND * backoff;
        assert_eq!(health.status(now), HealthStatus::Probe);
        health.probe_sent(now);
        assert_eq!(health.status(now), HealthStatus::Ejected);
        health.record(now, 9, false, true, true);
    }
    now += SECOND * 60;
    health.probe_sent(now);
    health.record(now, 10, true, true, true);
    assert_eq!(health.status(now), HealthStatus::Healthy);
}

/// Guards against an agent that stays ejected forever because the result of its probe was lost.
#[test]
fn a_lost_probe_is_retried() {
    let now = Instant::now();
    let mut health = Health::default();
    record_failures(&mut health, now, 0..3);
    health.probe_sent(now + SECOND);
    assert_eq!(health.status(now + SECOND * 60), HealthStatus::Ejected);
    assert_eq!(health.status(now + SECOND * 61), HealthStatus::Probe);
    health.probe_refused(now + SECOND * 61);
    assert_eq!(health.status(now + SECOND * 62), HealthStatus::Probe);
}

/// Guards against retries that amplify the load on a failing system.
#[test]
fn retries_are_limited_to_a_tenth_of_starts() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw() {}
    budget.deposit(100);
    let retries = std::iter::from_fn(|| budget.try_withdraw().then_some(())).count();
    assert!((9..=10).contains(&retries), "{retries}");
}

/// Guards against exceeding the start rate, and against never starting a job with more tasks than
/// the rate.
#[test]
fn starts_follow_the_rate_and_large_jobs_start() {
    let mut now = Instant::now();
    let mut limiter = StartLimiter::new(now, 100);
    let mut started = 0;
    for _ in 0..1000 {
        now += Duration::from_millis(10);
        started += if limiter.try_acquire(now, 30) { 30 } else { 0 };
    }
    assert!((1000..=1150).contains(&started), "{started}");
    assert!(StartLimiter::new(now, 10).try_acquire(now, 970));
    assert!(!StartLimiter::new(now, 0).try_acquire(now, 1));
}

/// Guards against a slow agent that is not recognized as slow.
#[test]
fn slowness_is_relative_to_the_mean() {
    let mut run_times = RunTimes::default();
    let (team, kind) = ("t".into(), "k".into());
    for _ in 0..200 {
        for agent in 0..9 {
            run_times.record(agent, &team, &kind, Duration::from_millis(50));
        }
        run_times.record(9, &team, &kind, Duration::from_millis(500));
    }
    assert!((0.7..1.3).contains(&run_times.slowness(0, &kind)));
    let ratio = run_times.slowness(9, &kind) / run_times.slowness(0, &kind);
    assert!((8.0..12.0).contains(&ratio), "{ratio}");
    let mean = run_times.mean(&team, &kind, SECOND);
    assert!(mean < Duration::from_millis(80), "{mean:?}");
    assert_eq!(run_times.mean(&team, &"other".into(), SECOND), SECOND);
    run_times.forget(9);
    assert!((run_times.slowness(9, &kind) - 1.0).abs() < f64::EPSILON);
}

/// Guards against admitting jobs that no worker can run.
#[test]
fn capacity_must_cover_needs_and_kind() {
    let capacity = Capacity {
        slots: 8,
        cores: 16,
        memory: 1024,
        accelerators: 1,
        kinds: vec!["k".into()],
    };
    let needs = Needs {
        cores: 16,
        memory: 1024,
        accelerators: 1,
    };
    assert!(capacity.fits(&"k".into(), &needs));
    assert!(!capacity.fits(&"other".into(), &needs));
    let exceeding = [
        Needs { cores: 17, ..needs },
        Needs {
            memory: 1025,
            ..needs
        },
        Needs {
            accelerators: 2,
            ..needs
        },
    ];
    assert!(exceeding.iter().all(|n| !capacity.fits(&"k".into(), n)));
    assert!(!Capacity::default().fits(&"k".into(), &Needs::default()));
}

/// Guards against admitting jobs that cannot complete before their deadline.
#[test]
fn expected_response_time_covers_queued_work_and_the_longest_task() {
    assert_eq!(
        expected_response_time(SECOND * 8, SECOND * 8, SECOND, 8),
        SECOND * 2
    );
    assert_eq!(
        expected_response_time(Duration::ZERO, SECOND, SECOND, 8),
        SECOND
    );
}
