//! Short whole runs of a cluster in this process. They check what must hold under faults
//! and no time.

use std::sync::Mutex;
use std::sync::PoisonError;

use sassafras_load::run::Options;
use sassafras_load::run::run_embedded;
use sassafras_load::summary::Summary;

/// Runs share the machine's slots and this process's metrics, so only one runs at a time.
static ONE_RUN: Mutex<()> = Mutex::new(());

fn short_run(scenario: &str) -> Summary {
    let _guard = ONE_RUN.lock().unwrap_or_else(PoisonError::into_inner);
    let options = Options {
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

/// Checks what holds under every fault; failed and refused jobs are allowed answers.
fn check(summary: &Summary) {
    assert!(summary.jobs > 0, "{summary}");
    assert_eq!(summary.double_starts, 0, "{summary}");
    assert_eq!(summary.partial_answers, 0, "{summary}");
    assert_eq!(summary.lost_answers, 0, "{summary}");
}

/// Guards against double starts by the takeover of the jobs of a killed entry, and against
/// resubmissions that never get an answer.
#[test]
fn killed_entry_causes_no_double_start_and_no_lost_answer() {
    check(&short_run("entry-killed"));
}

/// Guards against tasks that start again elsewhere while a zone is cut off.
#[test]
fn cut_zone_causes_no_double_start_and_no_lost_answer() {
    check(&short_run("zone-cut"));
}

/// Guards against cancelled jobs that are answered in part.
#[test]
fn cancelled_jobs_are_whole_or_cancelled() {
    check(&short_run("cancel-wave"));
}
