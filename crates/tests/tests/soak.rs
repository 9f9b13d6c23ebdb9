//! A short soak run, and the seeds that failed in the past.

use std::time::Duration;

use sassafras_tests::soak;

/// Time during which faults start.
const DURATION: Duration = Duration::from_secs(8);

/// Guards against violated guarantees under overlapping faults. Heartbeats of an agent that a
/// partition delayed stated an old version after it.
#[tokio::test]
async fn guarantees_hold_under_random_faults() {
    soak::run(1, DURATION).await.unwrap();
}

/// Guards against the same failure, for the same cause, under other faults.
#[tokio::test]
async fn guarantees_hold_on_seed_2() {
    soak::run(2, DURATION).await.unwrap();
}

/// Guards against the same failure, for the same cause, under other faults.
#[tokio::test]
async fn guarantees_hold_on_seed_3() {
    soak::run(3, DURATION).await.unwrap();
}

/// Guards against plans that are not reproducible from their seed, and against plans with two
/// faulty control members at a time, which a group of three does not tolerate.
#[test]
fn plans_follow_from_their_seeds() {
    for seed in 0..200 {
        let plan = soak::plan(seed, DURATION);
        assert_eq!(plan, soak::plan(seed, DURATION));
        let control = plan.iter().filter(|e| e.target.starts_with('c'));
        let control: Vec<_> = control.collect();
        for pair in control.windows(2) {
            assert!(pair[0].until < pair[1].at, "seed {seed}: {pair:?}");
        }
    }
}
