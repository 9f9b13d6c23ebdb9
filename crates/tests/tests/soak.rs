//! A short run of random faults, and the seeds that failed before.

use std::time::Duration;

use sassafras_tests::soak;

/// Faults begin for this long.
const LENGTH: Duration = Duration::from_secs(8);

/// Guards against broken promises under overlapping faults. An agent whose heartbeats waited
/// during a cut named an old version after it.
#[tokio::test]
async fn promises_hold_under_random_faults() {
    soak::run(1, LENGTH).await.unwrap();
}

/// Guards against the same with other faults, which failed for the same cause.
#[tokio::test]
async fn promises_hold_on_seed_2() {
    soak::run(2, LENGTH).await.unwrap();
}

/// Guards against the same with other faults, which failed for the same cause.
#[tokio::test]
async fn promises_hold_on_seed_3() {
    soak::run(3, LENGTH).await.unwrap();
}

/// Guards against plans that differ between runs of one seed, and against plans that hit two
/// control members at a time, which a group of three cannot bear.
#[test]
fn plans_follow_from_their_seeds() {
    for seed in 0..200 {
        let plan = soak::plan(seed, LENGTH);
        assert_eq!(plan, soak::plan(seed, LENGTH));
        let control = plan.iter().filter(|e| e.target.starts_with('c'));
        let control: Vec<_> = control.collect();
        for pair in control.windows(2) {
            assert!(pair[0].until < pair[1].at, "seed {seed}: {pair:?}");
        }
    }
}
