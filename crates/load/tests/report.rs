//! Tests of the summary of a run and of report files.

use std::time::Duration;

use sassafras_load::driver::JobResult;
use sassafras_load::driver::Outcome;
use sassafras_load::records::StartCounts;
use sassafras_load::records::WastedMessages;
use sassafras_load::report;
use sassafras_load::summary::Row;
use sassafras_load::summary::RunKey;
use sassafras_load::summary::Summary;

fn row(team: usize, tasks: usize, ratio: f64, result: JobResult) -> Row {
    Row {
        team,
        at: Duration::ZERO,
        tasks,
        ideal: Duration::from_millis(100),
        outcome: Outcome {
            result,
            response_time: Duration::from_millis(100).mul_f64(ratio),
            resubmits: 0,
            polls: 0,
        },
    }
}

fn summary() -> Summary {
    let key = RunKey {
        scenario: "ppgs".to_owned(),
        policy: "expected".to_owned(),
        seed: 1,
        load: 0.7,
    };
    let rows = [
        row(0, 1, 1.0, JobResult::Complete),
        row(1, 100, 1.2, JobResult::Complete),
        row(0, 101, 4.0, JobResult::Complete),
        row(0, 5, 9.0, JobResult::Partial),
        row(0, 5, 9.0, JobResult::Lost),
        row(1, 5, 9.0, JobResult::Failed("task_failed".to_owned())),
    ];
    let mut waste = WastedMessages::default();
    waste.add("late_result", 5);
    Summary::new(key, rows.to_vec(), StartCounts::default(), &waste, 1000).unwrap()
}

/// Guards against failed, partial, lost or large jobs that are included in the ratio of small jobs.
#[test]
fn only_complete_small_jobs_count_for_the_ratio() {
    let line = summary().to_string();
    for part in [
        "partial_answers=1",
        "lost_answers=1",
        "failed=1",
        "ratio_p99=1.2",
        "all_p99=4.0",
        "other_p99=1.2",
        "wasted_per_1000=5.0",
        "failed_task_failed=1",
        "waste_late_result=5",
    ] {
        assert!(line.contains(part), "{part} not in {line}");
    }
    assert!(!line.contains('\n'));
}

/// Guards against plots that depend on a system font and therefore fail on hosts without one.
#[test]
fn report_writes_table_and_plots() {
    let name = format!("sassafras-report-test-{}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).unwrap();
    report::write(&dir, &[summary()]).unwrap();
    let table = std::fs::read_to_string(dir.join("runs.md")).unwrap();
    let ratio = std::fs::read_to_string(dir.join("ratio.svg")).unwrap();
    let waste = std::fs::read_to_string(dir.join("waste.svg")).unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    assert!(table.contains("| ppgs | expected | 1 | 0.7 | 6 |"));
    assert!(ratio.contains("offered load"));
    assert!(waste.contains("late_result"));
}
