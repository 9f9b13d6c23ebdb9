//! Tests of the checks that a run makes: double starts, whole answers and waste.

use std::time::Duration;

use sassafras_load::driver::is_whole;
use sassafras_load::records::Starts;
use sassafras_load::records::WastedMessages;
use sassafras_load::records::count_starts;
use sassafras_load::workload::Task;

fn record(tasks: &[&str]) -> String {
    let line = |t: &&str| format!("{{\"task\":\"{t}\",\"start_ms\":1,\"end_ms\":null}}\n");
    tasks.iter().map(line).collect()
}

/// Guards against a check that misses a second start on another stand-in or under another
/// attempt number.
#[test]
fn second_starts_are_found_across_stand_ins_and_attempts() {
    let records = [
        record(&["a/j1-0/0/1", "a/j1-0/1/1"]),
        record(&["a/j1-0/1/2", "b/j1-0/1/1", "a/other/0/1"]),
    ];
    let found = count_starts(&records, |job| job.starts_with("j1-")).unwrap();
    let expected = Starts {
        starts: 4,
        tasks: 3,
        doubles: 1,
    };
    assert_eq!(found, expected);
}

/// Guards against a record in an unknown form that is passed over.
#[test]
fn unreadable_records_are_errors() {
    count_starts(&["nonsense\n".to_owned()], |_| true).unwrap_err();
    count_starts(&[record(&["a/j/0"])], |_| true).unwrap_err();
}

fn answer(numbers: &[u64]) -> String {
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

/// Guards against a check that takes a short answer, or another task's result, for whole.
#[test]
fn missing_and_foreign_results_are_partial_answers() {
    let task = |number| Task {
        work: Duration::from_millis(1),
        number,
    };
    let tasks = [task(7), task(8)];
    assert!(is_whole(&tasks, answer(&[7, 8]).as_bytes()));
    assert!(!is_whole(&tasks, answer(&[7]).as_bytes()));
    assert!(!is_whole(&tasks, answer(&[8, 7]).as_bytes()));
    assert!(!is_whole(&tasks, answer(&[7, 8, 9]).as_bytes()));
    assert!(!is_whole(&tasks, b"{}"));
}

/// Guards against waste that is read from the wrong lines, or counted from before the run.
#[test]
fn waste_is_read_by_reason_and_since_a_page() {
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
