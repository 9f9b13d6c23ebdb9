//! Tests of the placement policies.

use std::time::Duration;

use sassafras_policy::Candidate;
use sassafras_policy::Policy;

const TASK: Duration = Duration::from_millis(100);

fn place(name: &str, candidates: &[Candidate], tasks: usize) -> Vec<usize> {
    let policy: Policy = name.parse().unwrap();
    (policy.place)(&mut 0, candidates, &vec![TASK; tasks])
}

fn counts(placed: &[usize], agents: usize) -> Vec<usize> {
    (0..agents)
        .map(|a| placed.iter().filter(|p| **p == a).count())
        .collect()
}

/// Guards against placing tasks on a slow agent when they would finish sooner by waiting for a
/// fast one.
#[test]
fn slow_agents_are_used_only_when_waiting_takes_longer() {
    let candidates = [Candidate::new(4, 1.0), Candidate::new(4, 10.0)];
    assert_eq!(counts(&place("expected", &candidates, 20), 2), [20, 0]);
    let many = counts(&place("expected", &candidates, 200), 2);
    assert!(many[1] > 0 && many[1] < 40, "{many:?}");
}

/// Guards against queuing behind other tasks while another agent has free slots.
#[test]
fn free_slots_are_preferred() {
    let mut busy = Candidate::new(4, 1.0);
    busy.busy = 4;
    let candidates = [busy, Candidate::new(4, 1.0)];
    assert_eq!(counts(&place("expected", &candidates, 4), 2), [0, 4]);
}

/// Guards against traffic between zones when a local agent is equally fast.
#[test]
fn local_zone_is_preferred_at_equal_speed() {
    let mut remote = Candidate::new(8, 0.99);
    remote.remote = true;
    let candidates = [remote, Candidate::new(8, 1.0)];
    assert_eq!(counts(&place("expected", &candidates, 8), 2), [0, 8]);
}

/// Guards against placing a job in a single rack when others are equally good.
#[test]
fn ties_are_spread_across_racks() {
    let mut candidates = [Candidate::new(1, 1.0); 4];
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.rack = index as u32 / 2;
        candidate.mean_run_time = TASK;
    }
    for cursor in 0..4 {
        let policy = Policy::default();
        let placed = (policy.place)(&mut { cursor }, &candidates, &[TASK; 4]);
        assert_eq!(counts(&placed, 4), [1; 4]);
    }
}

/// Guards against a baseline policy that skips agents or miscounts tasks in flight.
#[test]
fn baseline_policies_distribute_as_named() {
    let mut candidates = [Candidate::new(8, 1.0); 3];
    candidates[0].busy = 4;
    assert_eq!(counts(&place("round_robin", &candidates, 9), 3), [3, 3, 3]);
    assert_eq!(
        counts(&place("least_in_flight", &candidates, 8), 3),
        [0, 4, 4]
    );
    let random = counts(&place("random", &candidates, 300), 3);
    assert_eq!(random.iter().sum::<usize>(), 300);
    assert!(random.iter().all(|n| *n > 0), "{random:?}");
}

/// Guards against a panic when there are no candidates.
#[test]
fn no_candidates_yield_no_placement() {
    for name in ["expected", "random", "round_robin", "least_in_flight"] {
        assert!(place(name, &[], 3).is_empty(), "{name}");
    }
    "fastest".parse::<Policy>().unwrap_err();
}

/// Guards against preferring a free slot on a slow agent to one that becomes free soon on a fast
/// agent, and against waiting for a fast agent no matter how long its queue is.
#[test]
fn slow_slot_is_used_only_if_it_finishes_sooner() {
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
