//! Tests of placement.

use std::time::Duration;

use sassafras_policy::Candidate;
use sassafras_policy::Policy;

const TASK: Duration = Duration::from_millis(100);

fn place(name: &str, views: &[Candidate], tasks: usize) -> Vec<usize> {
    let policy: Policy = name.parse().unwrap();
    (policy.place)(&mut 0, views, &vec![TASK; tasks])
}

fn counts(placed: &[usize], agents: usize) -> Vec<usize> {
    (0..agents)
        .map(|a| placed.iter().filter(|p| **p == a).count())
        .collect()
}

/// Guards against tasks on a slow agent while waiting for a fast one ends sooner.
#[test]
fn slow_agents_get_nothing_until_waiting_takes_longer() {
    let views = [Candidate::new(4, 1.0), Candidate::new(4, 10.0)];
    assert_eq!(counts(&place("expected", &views, 20), 2), [20, 0]);
    let many = counts(&place("expected", &views, 200), 2);
    assert!(many[1] > 0 && many[1] < 40, "{many:?}");
}

/// Guards against waiting behind other work while slots are free elsewhere.
#[test]
fn free_slots_come_before_busy_ones() {
    let mut busy = Candidate::new(4, 1.0);
    busy.busy = 4;
    let views = [busy, Candidate::new(4, 1.0)];
    assert_eq!(counts(&place("expected", &views, 4), 2), [0, 4]);
}

/// Guards against traffic between zones where the local zone is as good.
#[test]
fn the_local_zone_wins_among_equal_speeds() {
    let mut remote = Candidate::new(8, 0.99);
    remote.remote = true;
    let views = [remote, Candidate::new(8, 1.0)];
    assert_eq!(counts(&place("expected", &views, 8), 2), [0, 8]);
}

/// Guards against a job that depends on one rack although others are as good.
#[test]
fn ties_spread_over_racks() {
    let mut views = [Candidate::new(1, 1.0); 4];
    for (index, view) in views.iter_mut().enumerate() {
        view.rack = index as u32 / 2;
        view.mean_run_time = TASK;
    }
    for cursor in 0..4 {
        let policy = Policy::default();
        let placed = (policy.place)(&mut { cursor }, &views, &[TASK; 4]);
        assert_eq!(counts(&placed, 4), [1; 4]);
    }
}

/// Guards against a baseline that skips agents or counts work wrongly.
#[test]
fn baselines_place_as_their_names_say() {
    let mut views = [Candidate::new(8, 1.0); 3];
    views[0].busy = 4;
    assert_eq!(counts(&place("round_robin", &views, 9), 3), [3, 3, 3]);
    assert_eq!(counts(&place("least_in_flight", &views, 8), 3), [0, 4, 4]);
    let random = counts(&place("random", &views, 300), 3);
    assert_eq!(random.iter().sum::<usize>(), 300);
    assert!(random.iter().all(|n| *n > 0), "{random:?}");
}

/// Guards against a panic while no agent is usable.
#[test]
fn without_agents_nothing_is_placed() {
    for name in ["expected", "random", "round_robin", "least_in_flight"] {
        assert!(place(name, &[], 3).is_empty(), "{name}");
    }
    "fastest".parse::<Policy>().unwrap_err();
}

/// Guards against a free slow slot that is preferred to a fast one that is free soon, and
/// against a fast agent that is waited for however much work is ahead of the task there.
#[test]
fn a_slow_slot_is_used_only_where_it_ends_sooner() {
    let place = Policy::default().place;
    let slow = Candidate::new(8, 10.0);
    let fast = |busy| Candidate {
        busy,
        mean_run_time: TASK,
        ..Candidate::new(8, 1.0)
    };
    assert_eq!(place(&mut 0, &[slow, fast(8)], &[TASK]), [1]);
    assert_eq!(place(&mut 0, &[slow, fast(200)], &[TASK]), [0]);
}
