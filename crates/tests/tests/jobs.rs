//! Jobs on a cluster of real processes: submission, resubmission, cancellation and bad input.

use std::time::Duration;

use serde_json::json;

use sassafras_tests::Answer;
use sassafras_tests::Call;
use sassafras_tests::Cluster;
use sassafras_tests::Job;
use sassafras_tests::Options;
use sassafras_tests::request;
use sassafras_tests::until;

async fn cluster() -> Cluster {
    Cluster::start(Options::default()).await
}

fn assert_complete(call: &Call) {
    assert!(matches!(call.answer, Answer::Complete(_)), "{call:?}");
}

async fn wait_running(cluster: &Cluster, job: &str) {
    let started = async || cluster.evidence().starts.iter().any(|s| s.job == job);
    until("a task runs", started).await.unwrap();
}

/// Guards against jobs that never complete, at either entry, small or of the largest size.
#[tokio::test]
async fn submitted_jobs_complete() {
    let cluster = cluster().await;
    let jobs = [
        (Job::new("one", 1, 20), "e1"),
        (Job::new("hundred", 100, 20), "e2"),
        (Job::new("largest", 970, 1), "e1"),
    ];
    for (job, entry) in jobs {
        let call = cluster.submit_until_final(&job, entry).await.unwrap();
        assert_complete(&call.unwrap());
    }
    cluster.assert_promises();
}

/// Guards against double starts and differing answers when one job arrives at two entries.
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
    cluster.assert_promises();
}

/// Guards against a lost or repeated job when the caller's connection is lost.
#[tokio::test]
async fn caller_that_lost_its_connection_gets_the_answer() {
    let cluster = cluster().await;
    let job = Job::new("reset", 8, 500);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "reset").await;
    cluster.reset(|from, _| from == "callers");
    assert_complete(&caller.await.unwrap().unwrap());
    cluster.assert_promises();
}

/// Guards against double starts after the owner of a job is killed: another entry takes over,
/// gathers what was started and starts the rest.
#[tokio::test]
async fn job_outlives_its_killed_owner() {
    let mut cluster = cluster().await;
    let job = Job::new("killed", 64, 600);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "killed").await;
    cluster.process("e1").kill();
    assert_complete(&caller.await.unwrap().unwrap());
    cluster.assert_promises();
}

/// Guards against double starts and second answers by an owner that resumes after a takeover.
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
    cluster.wait_in_service().await;
    cluster.assert_promises();
}

/// Guards against double starts by an owner that control cannot reach but agents can.
#[tokio::test]
async fn owner_cut_off_from_control_changes_nothing() {
    let cluster = cluster().await;
    let job = Job::new("cut-off", 64, 600);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "cut-off").await;
    cluster.cut("e1", true, true);
    let other = cluster.submit_until_final(&job, "e2");
    let second = other.await.unwrap().unwrap();
    cluster.heal();
    let first = caller.await.unwrap().unwrap();
    assert_complete(&first);
    assert_complete(&second);
    cluster.assert_promises();
}

/// Guards against one name standing for two jobs.
#[tokio::test]
async fn other_body_under_the_same_name_conflicts() {
    let cluster = cluster().await;
    let call = cluster
        .submit(&Job::new("name", 3, 10), "e1")
        .await
        .unwrap();
    assert_complete(&call);
    for entry in ["e1", "e2"] {
        let other = Job::new("name", 3, 10);
        let call = cluster.submit(&other, entry).await.unwrap();
        let conflict = matches!(call.answer, Answer::Refused { status: 409, .. });
        assert!(conflict, "{call:?}");
    }
    cluster.assert_promises();
}

/// Guards against cancelled jobs that go on starting tasks, or that answer otherwise later.
#[tokio::test]
async fn cancelled_job_starts_nothing_more() {
    let cluster = cluster().await;
    let job = Job::new("cancelled", 200, 400);
    let caller = cluster.submit(&job, "e1");
    wait_running(&cluster, "cancelled").await;
    let addr = cluster.entry("e1");
    let reply = request(addr, "DELETE", &job.path(), &job.token, "")
        .await
        .unwrap();
    assert!(reply.status < 500, "{reply:?}");
    let call = caller.await.unwrap();
    let cancelled = matches!(call.answer, Answer::Failed { status: 410, .. });
    assert!(cancelled, "{call:?}");
    for entry in ["e1", "e2"] {
        let again = cluster
            .submit_until_final(&job, entry)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(again.answer, call.answer);
    }
    let before = cluster.evidence().starts.len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(cluster.evidence().starts.len(), before);
    assert!(before < 200, "every task was started");
    cluster.assert_promises();
}

/// A request that must be refused.
struct Bad {
    case: &'static str,
    method: &'static str,
    path: String,
    body: String,
    /// The status that must be answered; 0 for any 4xx.
    status: u16,
}

impl Bad {
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

fn bad_requests(good: &Job) -> Vec<Bad> {
    let path = good.path();
    let task = json!({"payload": 1});
    let tasks = |tasks: serde_json::Value| json!({ "tasks": tasks }).to_string();
    let name = |name: &str| format!("/v1/teams/bookings/jobs/{name}");
    let mut bad = vec![
        Bad::put("no tasks", &path, tasks(json!([]))),
        Bad::put("no object", &path, "[]"),
        Bad::put("not JSON", &path, "{\"tasks\":[{"),
        Bad::put("empty", &path, ""),
        Bad::put(
            "unknown field",
            &path,
            json!({"tasks": [task], "x": 1}).to_string(),
        ),
        Bad::put(
            "unknown kind",
            &path,
            tasks(json!([{"payload": 1, "kind": "x"}])),
        ),
        Bad::put("no payload", &path, tasks(json!([{}]))),
        Bad::put("too many tasks", &path, tasks(json!(vec![task; 971]))),
        Bad::put("too large", &path, format!("\"{}\"", "x".repeat(9 << 20))),
        Bad::put("bad wait", &format!("{path}?wait_ms=soon"), good.body()),
        Bad::put("name is not UTF-8", &name("%ff"), good.body()),
        Bad::put("slash in a name", &name("a%2fb"), good.body()),
        Bad::put("long name", &name(&"n".repeat(129)), good.body()),
        Bad::put("unknown team", "/v1/teams/nobody/jobs/bad", good.body()),
        Bad::put("wrong method", &path, good.body()),
        Bad::put("unknown job", &path, ""),
        Bad::put("unknown path", "/v2", ""),
    ];
    for (case, method, status) in [
        ("unknown team", "PUT", 401),
        ("wrong method", "POST", 0),
        ("unknown job", "GET", 404),
        ("unknown path", "GET", 404),
    ] {
        let found = bad.iter_mut().find(|b| b.case == case);
        let found = found.expect("the case is in the table");
        (found.method, found.status) = (method, status);
    }
    bad
}

/// Guards against bad input that is accepted, recorded, or answered other than with a 4xx.
#[tokio::test]
async fn bad_input_is_refused_and_not_recorded() {
    let mut cluster = cluster().await;
    let claims = cluster.operator.status().await.unwrap().claims;
    let addr = cluster.entry("e1");
    let good = Job::new("bad", 1, 1);
    for bad in bad_requests(&good) {
        // An entry may close the connection of an oversized body before reading all of it.
        let Ok(reply) = request(addr, bad.method, &bad.path, &good.token, bad.body).await else {
            assert_eq!(bad.case, "too large", "the connection broke");
            continue;
        };
        let expected = if bad.status == 0 {
            400..500
        } else {
            bad.status..bad.status + 1
        };
        assert!(expected.contains(&reply.status), "{}: {reply:?}", bad.case);
    }
    let wrong = request(addr, "PUT", &good.path(), "wrong", good.body()).await;
    let unknown = request(
        addr,
        "PUT",
        "/v1/teams/nobody/jobs/bad",
        "wrong",
        good.body(),
    )
    .await;
    // A caller must not learn which teams exist.
    let (wrong, unknown) = (wrong.unwrap(), unknown.unwrap());
    assert_eq!((wrong.status, wrong.body), (401, unknown.body));
    assert_eq!(cluster.operator.status().await.unwrap().claims, claims);
    assert_complete(&cluster.submit(&good, "e1").await.unwrap());
    cluster.assert_promises();
}
