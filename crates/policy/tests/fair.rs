//! Weighted fair queuing.

use std::time::Duration;
use std::time::Instant;

use quickcheck::Gen;
use quickcheck::QuickCheck;

use sassafras_policy::FairQueue;
use sassafras_policy::Rank;
use sassafras_util::Name;

const SEED: u64 = 0x5a55_af01;

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
}

/// Guards against a share that ignores the weights while both teams wait.
#[test]
fn units_follow_the_weights() {
    fn property(a: u8, b: u8) -> bool {
        let (a, b) = (u32::from(a % 10) + 1, u32::from(b % 10) + 1);
        let mut queue = FairQueue::new();
        queue.push(&Name::from("a"), a, 'a', 1000, None);
        queue.push(&Name::from("b"), b, 'b', 1000, None);
        let rounds = 20 * (a + b);
        let taken = (0..rounds)
            .filter(|_| queue.pop(Instant::now()) == Some('a'))
            .count() as i64;
        // Each team is at most one unit away from its exact share.
        (taken - i64::from(20 * a)).abs() <= 1
    }
    check().quickcheck(property as fn(u8, u8) -> bool);
}

/// Guards against units that appear or vanish, and against a wrong length.
#[test]
fn units_are_conserved() {
    fn property(ops: Vec<(u8, u8, u8)>) -> bool {
        let mut queue = FairQueue::new();
        let mut expected = 0usize;
        for (kind, team, count) in ops {
            let name = Name::from(format!("t{}", team % 4));
            let key = (team, count % 3);
            match kind % 4 {
                0 | 1 => {
                    queue.push(&name, u32::from(team), key, u32::from(count % 5), None);
                    expected += usize::from(count % 5);
                }
                2 => expected -= queue.remove(&name, &key, u32::from(count)) as usize,
                _ => expected -= usize::from(queue.pop(Instant::now()).is_some()),
            }
            if queue.len() != expected {
                return false;
            }
        }
        std::iter::from_fn(|| queue.pop(Instant::now())).count() == expected && queue.is_empty()
    }
    check().quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against an idle team that saves up credit and then shuts the others out.
#[test]
fn idleness_earns_no_credit() {
    let (a, b) = (Name::from("a"), Name::from("b"));
    let mut queue = FairQueue::new();
    queue.push(&a, 1, 'a', 1000, None);
    for _ in 0..500 {
        assert_eq!(queue.pop(Instant::now()), Some('a'));
    }
    queue.push(&b, 1, 'b', 100, None);
    let taken = (0..20)
        .filter(|_| queue.pop(Instant::now()) == Some('b'))
        .count();
    assert!((9..=11).contains(&taken), "{taken} of 20");
}

/// Guards against a team of long tasks that takes most of the slot time with its share of starts.
#[test]
fn long_tasks_cost_more() {
    let (long, short) = (Name::from("long"), Name::from("short"));
    let mut queue = FairQueue::new();
    queue.record_run_time(&long, Duration::from_secs(1));
    queue.record_run_time(&short, Duration::from_millis(50));
    queue.push(&long, 1, 'l', 1000, None);
    queue.push(&short, 1, 's', 1000, None);
    let taken = (0..210)
        .filter(|_| queue.pop(Instant::now()) == Some('l'))
        .count();
    assert!((10..=11).contains(&taken), "{taken} of 210");
}

/// Guards against a later job of a team that overtakes an earlier one.
#[test]
fn jobs_of_a_team_are_served_in_order() {
    let team = Name::from("a");
    let mut queue = FairQueue::new();
    queue.push(&team, 1, "first", 2, None);
    queue.push(&team, 1, "second", 1, None);
    queue.push(&team, 1, "first", 1, None);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(Instant::now())).collect();
    assert_eq!(order, ["first", "first", "first", "second"]);
}

/// Guards against units of a closed link that are still served.
#[test]
fn rejected_keys_are_dropped() {
    let team = Name::from("a");
    let mut queue = FairQueue::new();
    queue.push(&team, 1, 1, 3, None);
    queue.push(&team, 1, 2, 2, None);
    queue.retain(|key| *key != 1);
    assert_eq!(queue.len(), 2);
    assert_eq!(queue.pop(Instant::now()), Some(2));
}

/// Guards against a short job that waits behind all of a long one, and against a long job that
/// starves behind a stream of short ones.
#[test]
fn the_highest_response_ratio_is_next() {
    let team = Name::from("a");
    let start = Instant::now();
    let rank = |submitted, ideal| {
        Some(Rank {
            submitted,
            ideal: Duration::from_millis(ideal),
        })
    };
    let mut queue = FairQueue::new();
    queue.push(&team, 1, "long", 100, rank(start, 10_000));
    let later = start + Duration::from_millis(500);
    queue.push(&team, 1, "short", 1, rank(later, 100));
    assert_eq!(queue.pop(later + Duration::from_millis(50)), Some("short"));
    let much_later = start + Duration::from_secs(60);
    queue.push(&team, 1, "newer", 1, rank(much_later, 100));
    assert_eq!(
        queue.pop(much_later + Duration::from_millis(50)),
        Some("long")
    );
}
