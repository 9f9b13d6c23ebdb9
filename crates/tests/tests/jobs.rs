//! Jobs on a cluster of real processes: submission, resubmission, cancellation and bad input.

use std::time::Duration;

use serde_json::json;

use sassafras_tests::Cluster;
use sassafras_tests::Job;
use sassafras_tests::JobResponse;
use sassafras_tests::Options;
use sassafras_tests::Submission;
use sassafras_tests::request;
use sassafras_tests::wait_until;

async fn cluster() -> Cluster {
    Cluster::start(Options::default()).await
}

fn assert_complete(submission: &Submission) {
    assert!(
        matches!(submission.response, JobResponse::Complete(_)),
        "{submission:?}"
    );
}

async fn wait_running(cluster: &Cluster, job: &str) {
    let started = async || cluster.history().starts.iter().any(|s| s.job == job);
    wait_until("a task runs", started).await.unwrap();
}

/// Guards against jobs that never complete, at either entry, from one task to the maximum.
#[tokio::test]
async fn submitted_jobs_complete() {
    let cluster = cluster().await;
    let jobs = [
        (Job::new("one", 1, 20), "e1"),
        (Job::new("hundred", 100, 20), "e2"),
        (Job::new("largest", 970, 1), "e1"),
    ];
    for (job, entry) in jobs {
        let submission = cluster.submit_until_final(&job, entry).await.unwrap();
        assert_complete(&submission.unwrap());
    }
    cluster.assert_guarantees();
}

/// Guards against double starts and different responses when two entries receive the same job.
#[tokio::test]
async fn same_job_at_two_entries_runs_once() {
    let cluster = cluster().await;
    for n in 0..10 {
        let job = Job::new(&format!("twice-{n}"), 5, 50);
        let first = cluster.submit_until_final(&job, "e1");
        let second = cluster.submit_until_final(&job, "e2");
        assert_complete(&first.await.unwrap().unwrap());
        assert_complete(&second.await.unwrap().unwrap());
    }
    cluster.assert_guarantees();
}

/// Guards against a lost or repeated job when the caller's connection is lost.
#[tokio::test]
async fn caller_that_lost_its_connection_gets_the_response() {
    let cluster = cluster().await;
    let job = Job::new("reset", 8, 500);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "reset").await;
    cluster.reset_connections(|from, _| from == "callers");
    assert_complete(&caller.await.unwrap().unwrap());
    cluster.assert_guarantees();
}

/// Guards against double starts after the owner of a job is killed: another entry takes over,
/// collects the tasks that were started and starts the others.
#[tokio::test]
async fn job_survives_the_kill_of_its_owner() {
    let mut cluster = cluster().await;
    let job = Job::new("killed", 64, 600);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "killed").await;
    cluster.process("e1").kill();
    assert_complete(&caller.await.unwrap().unwrap());
    cluster.assert_guarantees();
}

/// Guards against double starts and different responses from an owner that resumes after a
/// takeover.
#[tokio::test]
async fn resumed_owner_changes_nothing() {
    let mut cluster = cluster().await;
    let job = Job::new("paused", 64, 600);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "paused").await;
    cluster.process("e1").pause();
    assert_complete(&caller.await.unwrap().unwrap());
    cluster.process("e1").resume();
    let again = cluster.submit_until_final(&job, "e1");
    assert_complete(&again.await.unwrap().unwrap());
    cluster.wait_until_ready().await;
    cluster.assert_guarantees();
}

/// Guards against double starts by an owner that is partitioned from control but not from agents.
#[tokio::test]
async fn owner_partitioned_from_control_changes_nothing() {
    let cluster = cluster().await;
    let job = Job::new("cut-off", 64, 600);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "cut-off").await;
    cluster.block_traffic("e1", true, true);
    let other = cluster.submit_until_final(&job, "e2");
    let second = other.await.unwrap().unwrap();
    cluster.clear_faults();
    let first = caller.await.unwrap().unwrap();
    assert_complete(&first);
    assert_complete(&second);
    cluster.assert_guarantees();
}

/// Guards against two jobs with the same name.
#[tokio::test]
async fn different_body_under_the_same_name_conflicts() {
    let cluster = cluster().await;
    let submission = cluster
        .submit(&Job::new("name", 3, 10), "e1")
        .await
        .unwrap();
    assert_complete(&submission);
    for entry in ["e1", "e2"] {
        let other = Job::new("name", 3, 10);
        let submission = cluster.submit(&other, entry).await.unwrap();
        let conflict = matches!(
            submission.response,
            JobResponse::Rejected { status: 409, .. }
        );
        assert!(conflict, "{submission:?}");
    }
    cluster.assert_guarantees();
}

/// Guards against cancelled jobs that continue to start tasks, or whose outcome changes later.
#[tokio::test]
async fn cancelled_job_starts_nothing_more() {
    let cluster = cluster().await;
    let job = Job::new("cancelled", 200, 400);
    let caller = cluster.submit(&job, "e1");
    wait_running(&cluster, "cancelled").await;
    let addr = cluster.entry_addr("e1");
    let response = request(addr, "DELETE", &job.path(), &job.token, "")
        .await
        .unwrap();
    assert!(response.status < 500, "{response:?}");
    let submission = caller.await.unwrap();
    let cancelled = matches!(submission.response, JobResponse::Failed { status: 410, .. });
    assert!(cancelled, "{submission:?}");
    for entry in ["e1", "e2"] {
        let again = cluster
            .submit_until_final(&job, entry)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(again.response, submission.response);
    }
    let before = cluster.history().starts.len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(cluster.history().starts.len(), before);
    assert!(before < 200, "every task was started");
    cluster.assert_guarantees();
}

/// A request that must be rejected.
struct BadRequest {
    case: &'static str,
    method: &'static str,
    path: String,
    body: String,
    /// The expected status; 0 for any 4xx.
    status: u16,
}

impl BadRequest {
    fn put(case: &'static str, path: &str, body: impl Into<String>) -> Self {
        Self {
            case,
            method: "PUT",
            path: path.to_owned(),
            body: body.into(),
            status: 0,
        }
    }
}

fn bad_requests(good: &Job) -> Vec<BadRequest> {
    let path = good.path();
    let task = json!({"payload": 1});
    let tasks = |tasks: serde_json::Value| json!({ "tasks": tasks }).to_string();
    let name = |name: &str| format!("/v1/teams/bookings/jobs/{name}");
    let mut bad = vec![
        BadRequest::put("no tasks", &path, tasks(json!([]))),
        BadRequest::put("no object", &path, "[]"),
        BadRequest::put("not JSON", &path, "{\"tasks\":[{"),
        BadRequest::put("empty", &path, ""),
        BadRequest::put(
            "unknown field",
            &path,
            json!({"tasks": [task], "x": 1}).to_string(),
        ),
        BadRequest::put(
            "unknown kind",
            &path,
            tasks(json!([{"payload": 1, "kind": "x"}])),
        ),
        BadRequest::put("no payload", &path, tasks(json!([{}]))),
        BadRequest::put("too many tasks", &path, tasks(json!(vec![task; 971]))),
        BadRequest::put("too large", &path, format!("\"{}\"", "x".repeat(9 << 20))),
        BadRequest::put(
            "bad wait",
            &format!("{path}?wait_ms=soon"),
            good.request_body(),
        ),
        BadRequest::put("name is not UTF-8", &name("%ff"), good.request_body()),
        BadRequest::put("slash in a name", &name("a%2fb"), good.request_body()),
        BadRequest::put("long name", &name(&"n".repeat(129)), good.request_body()),
        BadRequest::put(
            "unknown team",
            "/v1/teams/nobody/jobs/bad",
            good.request_body(),
        ),
        BadRequest::put("wrong method", &path, good.request_body()),
        BadRequest::put("unknown job", &path, ""),
        BadRequest::put("unknown path", "/v2", ""),
    ];
    for (case, method, status) in [
        ("unknown team", "PUT", 401),
        ("wrong method", "POST", 0),
        ("unknown job", "GET", 404),
        ("unknown path", "GET", 404),
    ] {
        let request = bad.iter_mut().find(|b| b.case == case);
        let request = request.expect("the case is in the table");
        (request.method, request.status) = (method, status);
    }
    bad
}

/// Guards against bad input that is accepted or claimed, or whose response is not a 4xx.
#[tokio::test]
async fn bad_input_is_rejected_and_not_claimed() {
    let mut cluster = cluster().await;
    let claims = cluster.operator.status().await.unwrap().claims;
    let addr = cluster.entry_addr("e1");
    let good = Job::new("bad", 1, 1);
    for bad in bad_requests(&good) {
        // An entry may close the connection of an oversized body before reading all of it.
        let Ok(response) = request(addr, bad.method, &bad.path, &good.token, bad.body).await else {
            assert_eq!(bad.case, "too large", "the connection failed");
            continue;
        };
        let expected = if bad.status == 0 {
            400..500
        } else {
            bad.status..bad.status + 1
        };
        assert!(
            expected.contains(&response.status),
            "{}: {response:?}",
            bad.case
        );
    }
    let wrong = request(addr, "PUT", &good.path(), "wrong", good.request_body()).await;
    let unknown = request(
        addr,
        "PUT",
        "/v1/teams/nobody/jobs/bad",
        "wrong",
        good.request_body(),
    )
    .await;
    // A caller must not learn which teams exist.
    let (wrong, unknown) = (wrong.unwrap(), unknown.unwrap());
    assert_eq!((wrong.status, wrong.body), (401, unknown.body));
    assert_eq!(cluster.operator.status().await.unwrap().claims, claims);
    assert_complete(&cluster.submit(&good, "e1").await.unwrap());
    cluster.assert_guarantees();
}
