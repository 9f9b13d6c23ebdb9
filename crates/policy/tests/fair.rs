//! Tests of the fair queue.

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

/// Guards against shares that do not follow the weights while both teams have queued units.
#[test]
fn units_follow_the_weights() {
    fn property(a: u8, b: u8) -> bool {
        let (a, b) = (u32::from(a % 10) + 1, u32::from(b % 10) + 1);
        let mut queue = FairQueue::new();
        queue.push(&Name::from("a"), a, 'a', 1000, None);
        queue.push(&Name::from("b"), b, 'b', 1000, None);
        let rounds = 20 * (a + b);
        let served = (0..rounds)
            .filter(|_| queue.pop(Instant::now()) == Some('a'))
            .count() as i64;
        // Each team is within one unit of its exact share.
        (served - i64::from(20 * a)).abs() <= 1
    }
    check().quickcheck(property as fn(u8, u8) -> bool);
}

/// Guards against units that are lost or duplicated, and against a wrong length.
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

/// Guards against a team that accumulates credit while idle and then starves the others.
#[test]
fn idle_teams_accumulate_no_credit() {
    let (a, b) = (Name::from("a"), Name::from("b"));
    let mut queue = FairQueue::new();
    queue.push(&a, 1, 'a', 1000, None);
    for _ in 0..500 {
        assert_eq!(queue.pop(Instant::now()), Some('a'));
    }
    queue.push(&b, 1, 'b', 100, None);
    let served = (0..20)
        .filter(|_| queue.pop(Instant::now()) == Some('b'))
        .count();
    assert!((9..=11).contains(&served), "{served} of 20");
}

/// Guards against sharing task starts instead of slot time, which would give a team with long
/// tasks most of the slot time.
#[test]
fn teams_share_slot_time() {
    let (long, short) = (Name::from("long"), Name::from("short"));
    let mut queue = FairQueue::new();
    queue.record_run_time(&long, Duration::from_secs(1));
    queue.record_run_time(&short, Duration::from_millis(50));
    queue.push(&long, 1, 'l', 1000, None);
    queue.push(&short, 1, 's', 1000, None);
    let served = (0..210)
        .filter(|_| queue.pop(Instant::now()) == Some('l'))
        .count();
    assert!((10..=11).contains(&served), "{served} of 210");
}

/// Guards against serving a later unranked job of a team before an earlier one.
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

/// Guards against serving units of a link that has closed.
#[test]
fn retain_removes_rejected_keys() {
    let team = Name::from("a");
    let mut queue = FairQueue::new();
    queue.push(&team, 1, 1, 3, None);
    queue.push(&team, 1, 2, 2, None);
    queue.retain(|key| *key != 1);
    assert_eq!(queue.len(), 2);
    assert_eq!(queue.pop(Instant::now()), Some(2));
}

/// Guards against a short job that waits for all tasks of a long job, and against a long job that
/// is starved by a stream of short ones.
#[test]
fn highest_response_ratio_is_served_next() {
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
