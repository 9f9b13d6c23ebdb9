//! Tests of a real agent and stand-in endpoint on loopback, with a scripted entry and control peer.

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

/// Guards against a fault anywhere on the path from a `Run` frame through the endpoint to the
/// `Report`.
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
    cluster.wait_until(|received| received.granted == 2).await;
    let run = cluster.run(
        "a",
        1,
        true,
        vec![task(0, r#"{"work_ms":1}"#), task(1, "{}")],
    );
    cluster.send(Body::Run(run.clone()));
    cluster
        .wait_until(|received| received.finished() == 2)
        .await;
    let first = cluster.received.report(0, 1);
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

    // A duplicate of the frame must not start anything.
    cluster.send(Body::Run(run));
    cluster
        .wait_until(|received| received.finished() == 4)
        .await;
    assert_eq!(cluster.starts().await, ["demo/a/0/1", "demo/a/1/1"]);
    cluster.stop().await;
}

/// Guards against a takeover that loses results or lets the previous owner start tasks.
#[tokio::test]
async fn fence_hands_over_results_and_stops_the_old_owner() {
    let mut cluster = Cluster::start().await;
    let run = cluster.run("b", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    cluster
        .wait_until(|received| received.finished() == 1)
        .await;
    let fence = Fence {
        key: Some(key("b")),
        epoch: 2,
        claimed_ms: control_ms(),
    };
    cluster.request(7, Body::Fence(fence));
    cluster
        .wait_until(|received| received.fences.len() == 1)
        .await;
    let reply = cluster.received.fences[0].clone();
    assert_eq!((reply.epoch, reply.complete), (2, true));
    assert_eq!(reply.tasks.len(), 1);
    assert_eq!(reply.tasks[0].status(), TaskStatus::Done);
    let late = cluster.run("b", 1, false, vec![task(1, "{}")]);
    cluster.send(Body::Run(late));
    cluster
        .wait_until(|received| received.finished() == 2)
        .await;
    assert_eq!(cluster.received.report(1, 1).status(), TaskStatus::NotRun);
    assert_eq!(cluster.received.report(1, 1).reason, "stale_epoch");
    assert_eq!(cluster.starts().await, ["demo/b/0/1"]);
    cluster.stop().await;
}

/// Guards against mapping a failure of the endpoint to the wrong status: a refusal is `NOT_RUN`, an
/// error is `ERRORED`, and a dropped connection is `LOST`.
#[tokio::test]
async fn endpoint_failures_map_to_statuses() {
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
            .wait_until(|received| received.finished() == index as usize + 1)
            .await;
        assert_eq!(cluster.received.report(index, 1).status(), status, "{mode}");
    }
    let oversized = cluster.run("c", 1, false, vec![task(9, r#"{"result_bytes":1100000}"#)]);
    cluster.send(Body::Run(oversized));
    cluster
        .wait_until(|received| received.finished() == 5)
        .await;
    assert_eq!(cluster.received.report(9, 1).status(), TaskStatus::Errored);
    cluster.stop().await;
}

/// Guards against running more tasks than the endpoint has slots, and against losing tasks of a
/// long queue.
#[tokio::test]
async fn queue_respects_the_slot_limit() {
    let mut cluster = Cluster::start().await;
    let tasks = (0..40).map(|i| task(i, r#"{"work_ms":2}"#)).collect();
    let run = cluster.run("d", 1, false, tasks);
    cluster.send(Body::Run(run));
    cluster
        .wait_until(|received| received.finished() == 40)
        .await;
    let stats = cluster.get("/stats").await;
    assert!(stats.contains(r#""starts":40"#), "{stats}");
    let peak = stats
        .split("\"peak\":")
        .nth(1)
        .and_then(|t| t.trim_end_matches('}').parse().ok());
    assert!(peak.is_some_and(|p: u32| p <= cluster.slots), "{stats}");
    cluster.stop().await;
}

/// Guards against a graceful shutdown that aborts a running task or accepts new ones, and against
/// heartbeats during the shutdown that report the node as active.
#[tokio::test]
async fn shutdown_finishes_running_tasks() {
    let mut cluster = Cluster::start().await;
    let run = cluster.run("e", 1, false, vec![task(0, r#"{"work_ms":300}"#)]);
    cluster.send(Body::Run(run));
    cluster.wait_running().await;
    cluster.request_stop();
    cluster
        .wait_until(|received| received.state == NodeState::Leaving)
        .await;
    let late = cluster.run("e", 1, false, vec![task(1, "{}")]);
    cluster.send(Body::Run(late));
    cluster
        .wait_until(|received| received.finished() == 2)
        .await;
    assert_eq!(cluster.received.report(0, 1).status(), TaskStatus::Done);
    assert_eq!(cluster.received.report(1, 1).reason, "leaving");
    let heartbeat_states = std::sync::Arc::clone(&cluster.heartbeat_states);
    cluster.stop().await;
    let heartbeat_states = heartbeat_states.lock().expect("not poisoned");
    let mut after_stop = heartbeat_states
        .iter()
        .skip_while(|s| **s != NodeState::Leaving);
    assert!(after_stop.next().is_some(), "{heartbeat_states:?}");
    assert!(
        after_stop.all(|s| *s == NodeState::Leaving),
        "{heartbeat_states:?}"
    );
}

/// Guards against starting tasks on an endpoint that is leaving.
#[tokio::test]
async fn leaving_endpoint_gets_no_new_tasks() {
    let mut cluster = Cluster::start().await;
    cluster.stop_endpoint();
    cluster
        .wait_until(|received| received.state == NodeState::Leaving)
        .await;
    let late = cluster.run("f", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(late));
    cluster
        .wait_until(|received| received.finished() == 1)
        .await;
    assert_eq!(cluster.received.report(0, 1).status(), TaskStatus::NotRun);
    cluster.stop().await;
}

/// Guards against starts on an agent that is cut off from the control group, which would lead to
/// double starts after a partition.
#[tokio::test]
async fn nothing_starts_after_the_lease_expires() {
    let mut cluster = Cluster::start().await;
    cluster.stop_heartbeat_replies();
    tokio::time::sleep(cluster::LEASE + Duration::from_millis(300)).await;
    let run = cluster.run("g", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    cluster
        .wait_until(|received| received.finished() == 1)
        .await;
    assert_eq!(cluster.received.report(0, 1).reason, "no_lease");
    assert!(cluster.starts().await.is_empty());
    cluster.stop().await;
}

/// Guards against a start caused by a frame from an earlier link that is read after a fence on the
/// next link. The entry may have started the task elsewhere by then.
#[tokio::test]
async fn new_link_of_an_entry_closes_the_old_one() {
    let mut cluster = Cluster::start().await;
    let mut second = cluster.open_second_link();
    cluster::wait_link_up(&mut second).await;
    cluster.wait_link_closed().await;
    cluster.stop().await;
}

/// Guards against losing results whose link is closed before they are reported.
#[tokio::test]
async fn results_survive_a_lost_link() {
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
    cluster
        .wait_until(|received| received.fences.len() == 1)
        .await;
    assert_eq!(
        cluster.received.fences[0].tasks[0].status(),
        TaskStatus::Done
    );
    // The job holds no grants, so this has no effect.
    cluster.send(Body::Release(Release {
        key: Some(key("h")),
        count: 5,
        all: true,
    }));
    cluster.stop().await;
}
