//! Feeds the oracle a broken record for each promise, so that a check that cannot fail is found.

use sassafras_tests::Answer;
use sassafras_tests::Call;
use sassafras_tests::Evidence;
use sassafras_tests::GracefulStop;
use sassafras_tests::Leaving;
use sassafras_tests::Started;
use sassafras_tests::VersionSample;
use sassafras_tests::check;

fn call(answer: Answer) -> Call {
    Call {
        team: "bookings".to_owned(),
        job: "j1".to_owned(),
        entry: "e1".to_owned(),
        numbers: vec![7, 8],
        repeatable: false,
        sent_ms: 1000,
        answered_ms: 2000,
        answer,
    }
}

fn results(numbers: &[u64]) -> Answer {
    let result = |(i, n): (usize, &u64)| (i as u64, format!("bookings/j1/{i}/1"), *n);
    Answer::Complete(numbers.iter().enumerate().map(result).collect())
}

fn failed(reason: &str, ran: Option<bool>, results: bool) -> Answer {
    Answer::Failed {
        status: 502,
        reason: reason.to_owned(),
        ran,
        results,
    }
}

fn refused(ran: Option<bool>) -> Answer {
    Answer::Refused {
        status: 503,
        code: "draining".to_owned(),
        ran,
    }
}

fn start(index: u64, attempt: u64, start_ms: u64) -> Started {
    Started {
        endpoint: "s1".to_owned(),
        team: "bookings".to_owned(),
        job: "j1".to_owned(),
        index,
        attempt,
        start_ms,
        outcome: Some("done".to_owned()),
    }
}

fn good() -> Evidence {
    Evidence {
        calls: vec![call(results(&[7, 8]))],
        starts: vec![start(0, 1, 1100), start(1, 1, 1100)],
        ..Evidence::default()
    }
}

fn promises(evidence: &Evidence) -> Vec<&'static str> {
    check(evidence).iter().map(|v| v.promise).collect()
}

#[test]
fn sound_record_passes() {
    assert_eq!(promises(&good()), [""; 0]);
}

#[test]
fn one_attempt_started_twice_breaks_p1_and_p5() {
    let mut evidence = good();
    evidence.starts.push(start(0, 1, 1500));
    assert_eq!(promises(&evidence), ["P1", "P5"]);
}

#[test]
fn second_attempt_breaks_p5_unless_repeatable() {
    let mut evidence = good();
    evidence.starts.push(start(0, 2, 1500));
    assert_eq!(promises(&evidence), ["P5"]);
    evidence.calls[0].repeatable = true;
    assert_eq!(promises(&evidence), [""; 0]);
}

#[test]
fn missing_result_breaks_p2() {
    let mut evidence = good();
    evidence.calls[0].answer = results(&[7]);
    assert_eq!(promises(&evidence), ["P2"]);
}

#[test]
fn failure_with_results_breaks_p2() {
    let mut evidence = good();
    evidence.calls[0].answer = failed("task_failed", Some(true), true);
    assert_eq!(promises(&evidence), ["P2"]);
}

#[test]
fn answer_outside_the_interface_breaks_p2() {
    let mut evidence = good();
    evidence.calls[0].answer = Answer::Malformed("200 {}".to_owned());
    assert_eq!(promises(&evidence), ["P2"]);
}

#[test]
fn results_of_another_job_break_p3() {
    let mut evidence = good();
    evidence.calls[0].answer = results(&[7, 9]);
    assert_eq!(promises(&evidence), ["P3"]);
}

#[test]
fn results_out_of_order_break_p3() {
    let mut evidence = good();
    evidence.calls[0].answer = Answer::Complete(vec![
        (1, "bookings/j1/1/1".to_owned(), 8),
        (0, "bookings/j1/0/1".to_owned(), 7),
    ]);
    assert_eq!(promises(&evidence), ["P3", "P3"]);
}

#[test]
fn two_outcomes_of_one_job_break_p3() {
    let mut evidence = good();
    let other = failed("lost_attempt", Some(true), false);
    evidence.calls.push(call(other));
    assert_eq!(promises(&evidence), ["P3"]);
    evidence.calls[1].answer = failed("answer_expired", Some(true), false);
    assert_eq!(promises(&evidence), [""; 0]);
}

#[test]
fn start_before_a_refusal_breaks_p4() {
    let mut evidence = good();
    evidence.calls = vec![call(refused(Some(false)))];
    assert_eq!(promises(&evidence), ["P4"]);
}

#[test]
fn start_after_a_refusal_breaks_p4_unless_submitted_again() {
    let mut evidence = good();
    evidence.calls = vec![call(refused(Some(false)))];
    evidence.starts = vec![start(0, 1, 3000)];
    assert_eq!(promises(&evidence), ["P4"]);
    let mut again = call(results(&[7, 8]));
    again.sent_ms = 2500;
    evidence.calls.push(again);
    assert_eq!(promises(&evidence), [""; 0]);
}

#[test]
fn failure_that_claims_not_run_breaks_p4() {
    let mut evidence = good();
    evidence.calls[0].answer = failed("lost_attempt", Some(false), false);
    assert_eq!(promises(&evidence), ["P4"]);
}

#[test]
fn unknown_whether_it_ran_breaks_nothing() {
    let mut evidence = good();
    evidence.calls[0].answer = refused(None);
    assert_eq!(promises(&evidence), [""; 0]);
}

#[test]
fn late_start_on_a_leaving_endpoint_breaks_p6() {
    let mut evidence = good();
    evidence.leaving.push(Leaving {
        endpoint: "s1".to_owned(),
        at_ms: 1000,
        until_ms: None,
    });
    evidence.starts.push(start(2, 1, 3000));
    assert_eq!(promises(&evidence), [""; 0]);
    evidence.starts.push(start(3, 1, 3001));
    assert_eq!(promises(&evidence), ["P6"]);
    evidence.lag_ms = 1;
    assert_eq!(promises(&evidence), [""; 0]);
}

#[test]
fn endpoint_started_again_may_receive_work() {
    let mut evidence = good();
    evidence.leaving.push(Leaving {
        endpoint: "s1".to_owned(),
        at_ms: 1000,
        until_ms: Some(5000),
    });
    evidence.starts.push(start(2, 1, 5000));
    assert_eq!(promises(&evidence), [""; 0]);
    evidence.starts.push(start(3, 1, 4999));
    assert_eq!(promises(&evidence), ["P6"]);
}

fn stop(process: &str, clean: bool) -> GracefulStop {
    GracefulStop {
        process: process.to_owned(),
        endpoint: process.strip_prefix('a').map(|n| format!("s{n}")),
        at_ms: 1500,
        clean,
    }
}

#[test]
fn forced_end_breaks_p7() {
    let mut evidence = good();
    evidence.stops.push(stop("e1", false));
    assert_eq!(promises(&evidence), ["P7"]);
}

#[test]
fn caller_cut_off_by_a_graceful_stop_breaks_p7() {
    let mut evidence = good();
    evidence.stops.push(stop("e1", true));
    evidence.calls[0].answer = Answer::Broken("reset".to_owned());
    assert_eq!(promises(&evidence), ["P7"]);
}

#[test]
fn task_cut_off_by_a_graceful_stop_breaks_p7() {
    let mut evidence = good();
    evidence.stops.push(stop("a1", true));
    evidence.starts[0].outcome = None;
    assert_eq!(promises(&evidence), ["P7"]);
}

#[test]
fn failure_with_only_graceful_stops_breaks_p7() {
    let mut evidence = good();
    evidence.only_graceful = true;
    evidence.calls[0].answer = failed("lost_attempt", Some(true), false);
    assert_eq!(promises(&evidence), ["P7"]);
}

fn sample(at_ms: u64, version: u64) -> VersionSample {
    VersionSample {
        node: "e1".to_owned(),
        incarnation: 1,
        at_ms,
        version,
        suspended: false,
    }
}

#[test]
fn version_that_goes_back_breaks_p8() {
    let mut evidence = good();
    evidence.versions = vec![sample(1000, 5), sample(1100, 4)];
    assert_eq!(promises(&evidence), ["P8"]);
}

#[test]
fn old_version_after_the_bound_breaks_p8() {
    let mut evidence = good();
    evidence.accepted.push((6, 1000));
    evidence.versions = vec![sample(3000, 5), sample(4000, 5)];
    assert_eq!(promises(&evidence), [""; 0]);
    evidence.versions = vec![sample(3000, 5), sample(4001, 5)];
    assert_eq!(promises(&evidence), ["P8"]);
    evidence.versions = vec![sample(3000, 5), sample(4001, 6)];
    assert_eq!(promises(&evidence), [""; 0]);
}

#[test]
fn old_version_breaks_p8_from_the_second_report_after_an_outage() {
    let mut evidence = good();
    evidence.accepted.push((6, 1000));
    evidence.versions = vec![sample(1000, 5), sample(6000, 5)];
    assert_eq!(promises(&evidence), [""; 0]);
    evidence.versions.push(sample(6100, 5));
    assert_eq!(promises(&evidence), ["P8"]);
}

/// Guards against taking the repeated heartbeats of an entry without a lease, which serves
/// nothing, for an old version in force.
#[test]
fn old_version_of_a_suspended_entry_breaks_p8_once_it_serves() {
    let mut evidence = good();
    evidence.accepted.push((6, 1000));
    let suspended = |at_ms, version| VersionSample {
        suspended: true,
        ..sample(at_ms, version)
    };
    evidence.versions = vec![sample(1000, 5), suspended(6000, 5), suspended(6100, 5)];
    assert_eq!(promises(&evidence), [""; 0]);
    evidence.versions.push(suspended(6150, 4));
    assert_eq!(promises(&evidence), ["P8"]);
    evidence.versions.pop();
    evidence.versions.push(sample(6200, 5));
    assert_eq!(promises(&evidence), ["P8"]);
}
