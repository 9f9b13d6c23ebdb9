//! A real agent and stand-in on loopback, with a scripted entry and control peer.

#[path = "loopback/cluster.rs"]
mod cluster;
#[path = "loopback/endpoint.rs"]
mod endpoint;

use std::time::Duration;

use sassafras_wire::Body;
use sassafras_wire::proto::Fence;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Release;
use sassafras_wire::proto::Reserve;
use sassafras_wire::proto::TaskStatus;

use crate::cluster::Cluster;
use crate::cluster::control_ms;
use crate::cluster::key;
use crate::cluster::task;

/// Guards against a broken path from a `Run` frame over the endpoint to its `Report`.
#[tokio::test]
async fn granted_task_runs_once_and_reports_its_result() {
    let mut cluster = Cluster::start().await;
    let reserve = Reserve {
        key: Some(key("a")),
        count: 2,
        weight: 1,
        incarnation: cluster.incarnation,
        ..Reserve::default()
    };
    cluster.send(Body::Reserve(reserve));
    cluster.until(|seen| seen.granted == 2).await;
    let run = cluster.run(
        "a",
        1,
        true,
        vec![task(0, r#"{"work_ms":1}"#), task(1, "{}")],
    );
    cluster.send(Body::Run(run.clone()));
    cluster.until(|seen| seen.ended() == 2).await;
    let first = cluster.seen.report(0, 1);
    assert_eq!(first.status(), TaskStatus::Done);
    let text = String::from_utf8(first.payload.to_vec()).expect("the stand-in returns text");
    assert!(
        text.contains("demo/a/0/1") && text.contains("work_ms"),
        "{text}"
    );
    assert!(
        first.service_us >= 1000,
        "service time {}",
        first.service_us
    );

    // The same frame again must not start anything.
    cluster.send(Body::Run(run));
    cluster.until(|seen| seen.ended() == 4).await;
    assert_eq!(cluster.starts().await, ["demo/a/0/1", "demo/a/1/1"]);
    cluster.stop().await;
}

/// Guards against a takeover that loses results or lets the old owner start more.
#[tokio::test]
async fn fence_hands_over_results_and_stops_the_old_owner() {
    let mut cluster = Cluster::start().await;
    let run = cluster.run("b", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    cluster.until(|seen| seen.ended() == 1).await;
    let fence = Fence {
        key: Some(key("b")),
        epoch: 2,
        claimed_ms: control_ms(),
    };
    cluster.request(7, Body::Fence(fence));
    cluster.until(|seen| seen.fences.len() == 1).await;
    let reply = cluster.seen.fences[0].clone();
    assert_eq!((reply.epoch, reply.complete), (2, true));
    assert_eq!(reply.tasks.len(), 1);
    assert_eq!(reply.tasks[0].status(), TaskStatus::Done);
    let late = cluster.run("b", 1, false, vec![task(1, "{}")]);
    cluster.send(Body::Run(late));
    cluster.until(|seen| seen.ended() == 2).await;
    assert_eq!(cluster.seen.report(1, 1).status(), TaskStatus::NotRun);
    assert_eq!(cluster.seen.report(1, 1).reason, "stale_epoch");
    assert_eq!(cluster.starts().await, ["demo/b/0/1"]);
    cluster.stop().await;
}

/// Guards against outcomes that the endpoint's failures are mistaken for: a refusal that ran,
/// a failure that looks lost, or a broken connection that looks harmless.
#[tokio::test]
async fn endpoint_failures_keep_their_meaning() {
    let mut cluster = Cluster::start().await;
    let cases = [
        (r#"{"refuse_rate":1.0}"#, TaskStatus::NotRun),
        (r#"{"fail_rate":1.0}"#, TaskStatus::Errored),
        (r#"{"drop_rate":1.0}"#, TaskStatus::Lost),
        ("{}", TaskStatus::Done),
    ];
    for (index, (mode, status)) in (0..).zip(cases) {
        cluster.set_mode(mode).await;
        let run = cluster.run("c", 1, false, vec![task(index, "{}")]);
        cluster.send(Body::Run(run));
        cluster
            .until(|seen| seen.ended() == index as usize + 1)
            .await;
        assert_eq!(cluster.seen.report(index, 1).status(), status, "{mode}");
    }
    let oversized = cluster.run("c", 1, false, vec![task(9, r#"{"result_bytes":1100000}"#)]);
    cluster.send(Body::Run(oversized));
    cluster.until(|seen| seen.ended() == 5).await;
    assert_eq!(cluster.seen.report(9, 1).status(), TaskStatus::Errored);
    cluster.stop().await;
}

/// Guards against more tasks on the endpoint than it has slots, and against lost tasks in a
/// long queue.
#[tokio::test]
async fn queue_keeps_to_the_slots() {
    let mut cluster = Cluster::start().await;
    let tasks = (0..40).map(|i| task(i, r#"{"work_ms":2}"#)).collect();
    let run = cluster.run("d", 1, false, tasks);
    cluster.send(Body::Run(run));
    cluster.until(|seen| seen.ended() == 40).await;
    let stats = cluster.get("/stats").await;
    assert!(stats.contains(r#""starts":40"#), "{stats}");
    let peak = stats
        .split("\"peak\":")
        .nth(1)
        .and_then(|t| t.trim_end_matches('}').parse().ok());
    assert!(peak.is_some_and(|p: u32| p <= cluster.slots), "{stats}");
    cluster.stop().await;
}

/// Guards against a graceful stop that cuts a running task off or takes new work, and against
/// a heartbeat on the way out that control takes for a node in service.
#[tokio::test]
async fn leaving_finishes_what_runs() {
    let mut cluster = Cluster::start().await;
    let run = cluster.run("e", 1, false, vec![task(0, r#"{"work_ms":300}"#)]);
    cluster.send(Body::Run(run));
    cluster.wait_running().await;
    cluster.ask_to_stop();
    cluster.until(|seen| seen.state == NodeState::Leaving).await;
    let late = cluster.run("e", 1, false, vec![task(1, "{}")]);
    cluster.send(Body::Run(late));
    cluster.until(|seen| seen.ended() == 2).await;
    assert_eq!(cluster.seen.report(0, 1).status(), TaskStatus::Done);
    assert_eq!(cluster.seen.report(1, 1).reason, "leaving");
    let heard = std::sync::Arc::clone(&cluster.heard);
    cluster.stop().await;
    let heard = heard.lock().expect("not poisoned");
    let mut since = heard.iter().skip_while(|s| **s != NodeState::Leaving);
    assert!(since.next().is_some(), "{heard:?}");
    assert!(since.all(|s| *s == NodeState::Leaving), "{heard:?}");
}

/// Guards against an endpoint that leaves and still gets work.
#[tokio::test]
async fn leaving_endpoint_gets_nothing_new() {
    let mut cluster = Cluster::start().await;
    cluster.stop_endpoint();
    cluster.until(|seen| seen.state == NodeState::Leaving).await;
    let late = cluster.run("f", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(late));
    cluster.until(|seen| seen.ended() == 1).await;
    assert_eq!(cluster.seen.report(0, 1).status(), TaskStatus::NotRun);
    cluster.stop().await;
}

/// Guards against starts on an agent that control no longer hears, the cause of double
/// starts after a partition.
#[tokio::test]
async fn nothing_starts_after_the_lease_is_over() {
    let mut cluster = Cluster::start().await;
    cluster.silence_control();
    tokio::time::sleep(cluster::LEASE + Duration::from_millis(300)).await;
    let run = cluster.run("g", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    cluster.until(|seen| seen.ended() == 1).await;
    assert_eq!(cluster.seen.report(0, 1).reason, "no_lease");
    assert!(cluster.starts().await.is_empty());
    cluster.stop().await;
}

/// Guards against a start by a frame that was sent on an earlier link and is read after a fence
/// on the next one: the entry may have started the task elsewhere by then.
#[tokio::test]
async fn new_link_of_an_entry_closes_the_old_one() {
    let mut cluster = Cluster::start().await;
    let mut second = cluster.second_link();
    cluster::up(&mut second).await;
    cluster.until_closed().await;
    cluster.stop().await;
}

/// Guards against results that vanish with the link they were meant for.
#[tokio::test]
async fn results_wait_for_a_lost_link() {
    let mut cluster = Cluster::start().await;
    let run = cluster.run("h", 1, false, vec![task(0, r#"{"work_ms":100}"#)]);
    cluster.send(Body::Run(run));
    cluster.wait_running().await;
    cluster.reconnect().await;
    cluster.wait_idle().await;
    let fence = Fence {
        key: Some(key("h")),
        epoch: 1,
        claimed_ms: control_ms(),
    };
    cluster.request(9, Body::Fence(fence));
    cluster.until(|seen| seen.fences.len() == 1).await;
    assert_eq!(cluster.seen.fences[0].tasks[0].status(), TaskStatus::Done);
    // Nothing else was granted to the job, so this changes nothing.
    cluster.send(Body::Release(Release {
        key: Some(key("h")),
        count: 5,
        all: true,
    }));
    cluster.stop().await;
}
