//! Tests of health, budgets, learned speeds and admission.

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

fn fail(health: &mut Health, now: Instant, jobs: std::ops::Range<u64>) {
    for job in jobs {
        health.record(now, job, false, true, true);
    }
}

/// Guards against work for an agent that fails everything.
#[test]
fn failures_of_three_jobs_take_an_agent_out() {
    let now = Instant::now();
    let mut health = Health::default();
    fail(&mut health, now, 0..2);
    assert_eq!(health.status(now), HealthStatus::Healthy);
    fail(&mut health, now, 2..3);
    assert_eq!(health.status(now), HealthStatus::Ejected);
    assert_eq!(health.status(now + SECOND), HealthStatus::Probe);
}

/// Guards against taking out an agent for the faults of one bad job.
#[test]
fn a_bad_job_does_not_take_an_agent_out() {
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

/// Guards against a fleet that takes itself out.
#[test]
fn an_agent_stays_when_too_many_are_out() {
    let now = Instant::now();
    let mut health = Health::default();
    for job in 0..10 {
        assert!(!health.record(now, job, false, true, false));
    }
    assert_eq!(health.status(now), HealthStatus::Healthy);
}

/// Guards against a flood of probes, and against an agent that never returns.
#[test]
fn probes_are_single_and_their_pauses_double() {
    let mut now = Instant::now();
    let mut health = Health::default();
    fail(&mut health, now, 0..3);
    for pause in [1, 2, 4, 8, 16, 32, 60, 60] {
        assert_eq!(
            health.status(now + SECOND * pause / 10 * 9),
            HealthStatus::Ejected
        );
        now += SECOND * pause;
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

/// Guards against an agent that stays out for ever because the result of its probe got lost.
#[test]
fn a_lost_probe_is_followed_by_another() {
    let now = Instant::now();
    let mut health = Health::default();
    fail(&mut health, now, 0..3);
    health.probe_sent(now + SECOND);
    assert_eq!(health.status(now + SECOND * 60), HealthStatus::Ejected);
    assert_eq!(health.status(now + SECOND * 61), HealthStatus::Probe);
    health.probe_refused(now + SECOND * 61);
    assert_eq!(health.status(now + SECOND * 62), HealthStatus::Probe);
}

/// Guards against retries that multiply the load of a failing system.
#[test]
fn retries_are_a_tenth_of_starts() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw() {}
    budget.deposit(100);
    let retries = std::iter::from_fn(|| budget.try_withdraw().then_some(())).count();
    assert!((9..=10).contains(&retries), "{retries}");
}

/// Guards against starts beyond the quota, and against a large job that never starts.
#[test]
fn starts_keep_to_the_rate_and_large_jobs_pass() {
    let mut now = Instant::now();
    let mut rate = StartLimiter::new(now, 100);
    let mut started = 0;
    for _ in 0..1000 {
        now += Duration::from_millis(10);
        started += if rate.try_acquire(now, 30) { 30 } else { 0 };
    }
    assert!((1000..=1150).contains(&started), "{started}");
    assert!(StartLimiter::new(now, 10).try_acquire(now, 970));
    assert!(!StartLimiter::new(now, 0).try_acquire(now, 1));
}

/// Guards against a slow agent that passes for a fast one.
#[test]
fn speeds_are_learned_relative_to_the_mean() {
    let mut speeds = RunTimes::default();
    let (team, kind) = ("t".into(), "k".into());
    for _ in 0..200 {
        for agent in 0..9 {
            speeds.record(agent, &team, &kind, Duration::from_millis(50));
        }
        speeds.record(9, &team, &kind, Duration::from_millis(500));
    }
    assert!((0.7..1.3).contains(&speeds.slowness(0, &kind)));
    let ratio = speeds.slowness(9, &kind) / speeds.slowness(0, &kind);
    assert!((8.0..12.0).contains(&ratio), "{ratio}");
    let mean = speeds.mean(&team, &kind, SECOND);
    assert!(mean < Duration::from_millis(80), "{mean:?}");
    assert_eq!(speeds.mean(&team, &"other".into(), SECOND), SECOND);
    speeds.forget(9);
    assert!((speeds.slowness(9, &kind) - 1.0).abs() < f64::EPSILON);
}

/// Guards against claims of jobs that can never run.
#[test]
fn capacity_decides_what_can_ever_run() {
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
    let over = [
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
    assert!(over.iter().all(|n| !capacity.fits(&"k".into(), n)));
    assert!(!Capacity::default().fits(&"k".into(), &Needs::default()));
}

/// Guards against accepting what cannot end before its deadline.
#[test]
fn the_expected_wait_covers_work_and_the_longest_task() {
    assert_eq!(
        expected_response_time(SECOND * 8, SECOND * 8, SECOND, 8),
        SECOND * 2
    );
    assert_eq!(
        expected_response_time(Duration::ZERO, SECOND, SECOND, 8),
        SECOND
    );
}
