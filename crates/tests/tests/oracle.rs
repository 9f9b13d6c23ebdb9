//! Histories that violate each guarantee, which guard against a check that cannot fail.

use sassafras_tests::GracefulStop;
use sassafras_tests::History;
use sassafras_tests::JobResponse;
use sassafras_tests::LeavingEndpoint;
use sassafras_tests::StartRecord;
use sassafras_tests::Submission;
use sassafras_tests::VersionSample;
use sassafras_tests::check;

fn submission(response: JobResponse) -> Submission {
    Submission {
        team: "bookings".to_owned(),
        job: "j1".to_owned(),
        entry: "e1".to_owned(),
        payload_numbers: vec![7, 8],
        repeatable: false,
        sent_ms: 1000,
        received_ms: 2000,
        response,
    }
}

fn results(payload_numbers: &[u64]) -> JobResponse {
    let result = |(i, n): (usize, &u64)| (i as u64, format!("bookings/j1/{i}/1"), *n);
    JobResponse::Complete(payload_numbers.iter().enumerate().map(result).collect())
}

fn failed(reason: &str, ran: Option<bool>, results: bool) -> JobResponse {
    JobResponse::Failed {
        status: 502,
        reason: reason.to_owned(),
        ran,
        results,
    }
}

fn rejected(ran: Option<bool>) -> JobResponse {
    JobResponse::Rejected {
        status: 503,
        code: "draining".to_owned(),
        ran,
    }
}

fn start(index: u64, attempt: u64, start_ms: u64) -> StartRecord {
    StartRecord {
        endpoint: "s1".to_owned(),
        team: "bookings".to_owned(),
        job: "j1".to_owned(),
        index,
        attempt,
        start_ms,
        outcome: Some("done".to_owned()),
    }
}

fn valid_history() -> History {
    History {
        submissions: vec![submission(results(&[7, 8]))],
        starts: vec![start(0, 1, 1100), start(1, 1, 1100)],
        ..History::default()
    }
}

fn violated(history: &History) -> Vec<&'static str> {
    check(history).iter().map(|v| v.guarantee).collect()
}

#[test]
fn valid_history_passes() {
    assert_eq!(violated(&valid_history()), [""; 0]);
}

#[test]
fn one_attempt_started_twice_violates_p1_and_p5() {
    let mut history = valid_history();
    history.starts.push(start(0, 1, 1500));
    assert_eq!(violated(&history), ["P1", "P5"]);
}

#[test]
fn second_attempt_violates_p5_unless_repeatable() {
    let mut history = valid_history();
    history.starts.push(start(0, 2, 1500));
    assert_eq!(violated(&history), ["P5"]);
    history.submissions[0].repeatable = true;
    assert_eq!(violated(&history), [""; 0]);
}

#[test]
fn missing_result_violates_p2() {
    let mut history = valid_history();
    history.submissions[0].response = results(&[7]);
    assert_eq!(violated(&history), ["P2"]);
}

#[test]
fn failure_with_results_violates_p2() {
    let mut history = valid_history();
    history.submissions[0].response = failed("task_failed", Some(true), true);
    assert_eq!(violated(&history), ["P2"]);
}

#[test]
fn malformed_response_violates_p2() {
    let mut history = valid_history();
    history.submissions[0].response = JobResponse::Malformed("200 {}".to_owned());
    assert_eq!(violated(&history), ["P2"]);
}

#[test]
fn results_of_another_job_violate_p3() {
    let mut history = valid_history();
    history.submissions[0].response = results(&[7, 9]);
    assert_eq!(violated(&history), ["P3"]);
}

#[test]
fn results_out_of_order_violate_p3() {
    let mut history = valid_history();
    history.submissions[0].response = JobResponse::Complete(vec![
        (1, "bookings/j1/1/1".to_owned(), 8),
        (0, "bookings/j1/0/1".to_owned(), 7),
    ]);
    assert_eq!(violated(&history), ["P3", "P3"]);
}

#[test]
fn two_outcomes_of_one_job_violate_p3() {
    let mut history = valid_history();
    let other = failed("lost_attempt", Some(true), false);
    history.submissions.push(submission(other));
    assert_eq!(violated(&history), ["P3"]);
    history.submissions[1].response = failed("answer_expired", Some(true), false);
    assert_eq!(violated(&history), [""; 0]);
}

#[test]
fn start_before_a_rejection_violates_p4() {
    let mut history = valid_history();
    history.submissions = vec![submission(rejected(Some(false)))];
    assert_eq!(violated(&history), ["P4"]);
}

#[test]
fn start_after_a_rejection_violates_p4_unless_submitted_again() {
    let mut history = valid_history();
    history.submissions = vec![submission(rejected(Some(false)))];
    history.starts = vec![start(0, 1, 3000)];
    assert_eq!(violated(&history), ["P4"]);
    let mut again = submission(results(&[7, 8]));
    again.sent_ms = 2500;
    history.submissions.push(again);
    assert_eq!(violated(&history), [""; 0]);
}

#[test]
fn failure_with_ran_false_violates_p4() {
    let mut history = valid_history();
    history.submissions[0].response = failed("lost_attempt", Some(false), false);
    assert_eq!(violated(&history), ["P4"]);
}

#[test]
fn rejection_with_unknown_ran_violates_nothing() {
    let mut history = valid_history();
    history.submissions[0].response = rejected(None);
    assert_eq!(violated(&history), [""; 0]);
}

#[test]
fn late_start_on_a_leaving_endpoint_violates_p6() {
    let mut history = valid_history();
    history.leaving.push(LeavingEndpoint {
        endpoint: "s1".to_owned(),
        requested_ms: 1000,
        restarted_ms: None,
    });
    history.starts.push(start(2, 1, 3000));
    assert_eq!(violated(&history), [""; 0]);
    history.starts.push(start(3, 1, 3001));
    assert_eq!(violated(&history), ["P6"]);
    history.lag_ms = 1;
    assert_eq!(violated(&history), [""; 0]);
}

#[test]
fn restarted_endpoint_may_receive_work() {
    let mut history = valid_history();
    history.leaving.push(LeavingEndpoint {
        endpoint: "s1".to_owned(),
        requested_ms: 1000,
        restarted_ms: Some(5000),
    });
    history.starts.push(start(2, 1, 5000));
    assert_eq!(violated(&history), [""; 0]);
    history.starts.push(start(3, 1, 4999));
    assert_eq!(violated(&history), ["P6"]);
}

fn stop(process: &str, clean: bool) -> GracefulStop {
    GracefulStop {
        process: process.to_owned(),
        endpoint: process.strip_prefix('a').map(|n| format!("s{n}")),
        requested_ms: 1500,
        clean,
    }
}

#[test]
fn forced_exit_violates_p7() {
    let mut history = valid_history();
    history.stops.push(stop("e1", false));
    assert_eq!(violated(&history), ["P7"]);
}

#[test]
fn caller_interrupted_by_a_graceful_stop_violates_p7() {
    let mut history = valid_history();
    history.stops.push(stop("e1", true));
    history.submissions[0].response = JobResponse::ConnectionFailed("reset".to_owned());
    assert_eq!(violated(&history), ["P7"]);
}

#[test]
fn task_interrupted_by_a_graceful_stop_violates_p7() {
    let mut history = valid_history();
    history.stops.push(stop("a1", true));
    history.starts[0].outcome = None;
    assert_eq!(violated(&history), ["P7"]);
}

#[test]
fn failure_with_only_graceful_stops_violates_p7() {
    let mut history = valid_history();
    history.only_graceful = true;
    history.submissions[0].response = failed("lost_attempt", Some(true), false);
    assert_eq!(violated(&history), ["P7"]);
}

fn sample(reported_ms: u64, version: u64) -> VersionSample {
    VersionSample {
        node: "e1".to_owned(),
        incarnation: 1,
        reported_ms,
        version,
        suspended: false,
    }
}

#[test]
fn decreasing_version_violates_p8() {
    let mut history = valid_history();
    history.versions = vec![sample(1000, 5), sample(1100, 4)];
    assert_eq!(violated(&history), ["P8"]);
}

#[test]
fn old_version_after_the_bound_violates_p8() {
    let mut history = valid_history();
    history.accepted.push((6, 1000));
    history.versions = vec![sample(3000, 5), sample(4000, 5)];
    assert_eq!(violated(&history), [""; 0]);
    history.versions = vec![sample(3000, 5), sample(4001, 5)];
    assert_eq!(violated(&history), ["P8"]);
    history.versions = vec![sample(3000, 5), sample(4001, 6)];
    assert_eq!(violated(&history), [""; 0]);
}

#[test]
fn old_version_violates_p8_from_the_second_report_after_an_outage() {
    let mut history = valid_history();
    history.accepted.push((6, 1000));
    history.versions = vec![sample(1000, 5), sample(6000, 5)];
    assert_eq!(violated(&history), [""; 0]);
    history.versions.push(sample(6100, 5));
    assert_eq!(violated(&history), ["P8"]);
}

/// Guards against a false violation: an entry without a lease reports its old version in repeated
/// heartbeats, but serves nothing.
#[test]
fn old_version_of_a_suspended_entry_violates_p8_once_it_serves() {
    let mut history = valid_history();
    history.accepted.push((6, 1000));
    let suspended = |reported_ms, version| VersionSample {
        suspended: true,
        ..sample(reported_ms, version)
    };
    history.versions = vec![sample(1000, 5), suspended(6000, 5), suspended(6100, 5)];
    assert_eq!(violated(&history), [""; 0]);
    history.versions.push(suspended(6150, 4));
    assert_eq!(violated(&history), ["P8"]);
    history.versions.pop();
    history.versions.push(sample(6200, 5));
    assert_eq!(violated(&history), ["P8"]);
}
