//! Tests of the checks of a run: double starts, complete responses and wasted messages.

use std::time::Duration;

use sassafras_load::driver::is_complete;
use sassafras_load::records::StartCounts;
use sassafras_load::records::WastedMessages;
use sassafras_load::records::count_starts;
use sassafras_load::workload::Task;

fn start_records(tasks: &[&str]) -> String {
    let line = |t: &&str| format!("{{\"task\":\"{t}\",\"start_ms\":1,\"end_ms\":null}}\n");
    tasks.iter().map(line).collect()
}

/// Guards against a second start that is not counted because it occurred on another stand-in or
/// with another attempt number.
#[test]
fn second_starts_are_counted_across_stand_ins_and_attempts() {
    let records = [
        start_records(&["a/j1-0/0/1", "a/j1-0/1/1"]),
        start_records(&["a/j1-0/1/2", "b/j1-0/1/1", "a/other/0/1"]),
    ];
    let counts = count_starts(&records, |job| job.starts_with("j1-")).unwrap();
    let expected = StartCounts {
        starts: 4,
        tasks: 3,
        double_starts: 1,
    };
    assert_eq!(counts, expected);
}

/// Guards against malformed start records that are silently skipped.
#[test]
fn malformed_records_are_errors() {
    count_starts(&["nonsense\n".to_owned()], |_| true).unwrap_err();
    count_starts(&[start_records(&["a/j/0"])], |_| true).unwrap_err();
}

fn response(numbers: &[u64]) -> String {
    let results: Vec<String> = numbers
        .iter()
        .enumerate()
        .map(|(i, n)| {
            format!(
                r#"{{"index":{i},"payload":{{"task":"t","payload":{{"work_ms":1,"number":{n}}}}}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"outcome":"complete","job":"j","results":[{}]}}"#,
        results.join(",")
    )
}

/// Guards against a response that is accepted as complete although it lacks a result or contains
/// the result of another task.
#[test]
fn missing_and_mismatched_results_are_not_complete() {
    let task = |number| Task {
        work: Duration::from_millis(1),
        number,
    };
    let tasks = [task(7), task(8)];
    assert!(is_complete(&tasks, response(&[7, 8]).as_bytes()));
    assert!(!is_complete(&tasks, response(&[7]).as_bytes()));
    assert!(!is_complete(&tasks, response(&[8, 7]).as_bytes()));
    assert!(!is_complete(&tasks, response(&[7, 8, 9]).as_bytes()));
    assert!(!is_complete(&tasks, b"{}"));
}

/// Guards against counts from similarly named metrics and against waste from before the run.
#[test]
fn waste_is_counted_by_reason_since_an_earlier_page() {
    let page = |refused: u64| {
        format!(
            "# TYPE wasted_messages counter\nwasted_messages{{reason=\"probe\"}} 2\n\
             entry_refused_starts {refused}\nentry_refused_starts_other 9\nentry_late_reports 1\n"
        )
    };
    let earlier = WastedMessages::from_pages(&[page(3)]);
    assert_eq!(earlier.total(), 6);
    let later = WastedMessages::from_pages(&[page(8)]).since(&earlier);
    assert_eq!(later.total(), 5);
    assert_eq!(later.0.get("refused_start"), Some(&5));
}
