//! Short runs of an embedded cluster with injected faults. They check invariants that hold under
//! every fault, and no response times.

use std::sync::Mutex;
use std::sync::PoisonError;

use sassafras_load::run::RunOptions;
use sassafras_load::run::run_embedded;
use sassafras_load::summary::Summary;

/// Serializes the runs, because they share the CPU cores and the metrics of this process.
static RUN_LOCK: Mutex<()> = Mutex::new(());

fn short_run(scenario: &str) -> Summary {
    let _guard = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let options = RunOptions {
        scenario: scenario.parse().unwrap(),
        load: 0.4,
        seed: 11,
        seconds: 4,
        warmup: 1,
        log_level: "error".to_owned(),
    };
    let log = sassafras_runtime::logger(slog::Level::Error, "load-test");
    sassafras_runtime::block_on(run_embedded(&options, "expected", &log)).unwrap()
}

/// Checks the invariants that hold under every fault. Jobs may fail or be refused.
fn assert_invariants(summary: &Summary) {
    assert!(summary.jobs > 0, "{summary}");
    assert_eq!(summary.double_starts, 0, "{summary}");
    assert_eq!(summary.partial_answers, 0, "{summary}");
    assert_eq!(summary.lost_answers, 0, "{summary}");
}

/// Guards against double starts when another entry takes over the jobs of a killed one, and
/// against resubmitted jobs that never receive a response.
#[test]
fn killed_entry_causes_no_double_start_and_no_lost_answer() {
    assert_invariants(&short_run("entry-killed"));
}

/// Guards against tasks that start a second time elsewhere while their zone is partitioned.
#[test]
fn cut_zone_causes_no_double_start_and_no_lost_answer() {
    assert_invariants(&short_run("zone-cut"));
}

/// Guards against cancelled jobs that are reported as complete with only part of their results.
#[test]
fn cancelled_jobs_are_complete_or_cancelled() {
    assert_invariants(&short_run("cancel-wave"));
}
