//! Scenario tests of the engine, and its properties.

#[path = "engine/harness.rs"]
mod harness;
#[path = "engine/properties.rs"]
mod properties;

use std::time::Duration;

use bytes::Bytes;

use sassafras_agent::DirectiveAction;
use sassafras_agent::Effect;
use sassafras_agent::Event;
use sassafras_agent::LinkId;
use sassafras_agent::Options;
use sassafras_agent::TaskOutcome;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::TaskStatus;

use crate::harness::Harness;
use crate::harness::INCARNATION;
use crate::harness::active_endpoint;
use crate::harness::task;

const E1: LinkId = LinkId(1);
const E2: LinkId = LinkId(2);

/// Guards against a second start when a frame arrives twice or a started task is sent under
/// another attempt number.
#[test]
fn index_starts_once() {
    let mut harness = Harness::ready(4);
    harness.run(E1, "a", 1, vec![task(0, 1)]);
    harness.run(E1, "a", 1, vec![task(0, 1)]);
    harness.run(E1, "a", 1, vec![task(0, 2)]);
    assert_eq!(harness.started, ["demo/a/0/1"]);
    assert_eq!(harness.last_report(0, 2).reason, "already_started");
    harness.complete("demo/a/0/1", &TaskOutcome::Done(Bytes::from_static(b"x")));
    harness.run(E1, "a", 2, vec![task(0, 1), task(0, 3)]);
    assert_eq!(harness.started.len(), 1);
    assert_eq!(harness.last_report(0, 1).status(), TaskStatus::Done);
    assert_eq!(harness.last_report(0, 3).status(), TaskStatus::NotRun);
}

/// Guards against starting an attempt after it was refused. The entry may have started the task
/// elsewhere in the meantime.
#[test]
fn refusal_is_final_for_the_attempt() {
    let mut harness = Harness::new(Options::default());
    harness.handle(Event::LinkUp(E1));
    harness.handle(Event::EndpointAnnounced(active_endpoint(4)));
    harness.run(E1, "a", 1, vec![task(0, 1)]);
    assert_eq!(harness.last_report(0, 1).reason, "no_lease");
    harness.renew();
    harness.run(E1, "a", 1, vec![task(0, 1)]);
    assert!(harness.started.is_empty());
    harness.run(E1, "a", 1, vec![task(0, 2)]);
    assert_eq!(harness.started, ["demo/a/0/2"]);
}

/// Guards against a start on behalf of an entry that no longer owns the job.
#[test]
fn stale_epoch_starts_nothing() {
    let mut harness = Harness::ready(4);
    harness.handle(Event::LinkUp(E2));
    let reply = harness.fence(E2, "a", 3);
    assert_eq!(
        (reply.epoch, reply.complete, reply.tasks.len()),
        (3, true, 0)
    );
    harness.run(E1, "a", 2, vec![task(0, 1)]);
    assert!(harness.started.is_empty());
    assert_eq!(harness.last_report(0, 1).reason, "stale_epoch");
    // The refusal applies only to the old epoch.
    harness.run(E2, "a", 3, vec![task(0, 1)]);
    assert_eq!(harness.started, ["demo/a/0/1"]);
    assert_eq!(harness.fence(E1, "a", 2).epoch, 3);
}

/// Guards against starting a task that was sent to an earlier process of this agent.
#[test]
fn other_incarnation_starts_nothing() {
    let mut harness = Harness::ready(4);
    harness.run_with(E1, "a", 1, 99, false, vec![task(0, 1)]);
    assert!(harness.started.is_empty());
    assert_eq!(harness.last_report(0, 1).reason, "incarnation");
}

/// Guards against starting queued tasks of the previous owner after a takeover, and against
/// reporting to the previous owner.
#[test]
fn fence_rejects_queued_tasks_and_redirects_reports() {
    let mut harness = Harness::ready(1);
    harness.handle(Event::LinkUp(E2));
    harness.run(E1, "a", 1, vec![task(0, 1), task(1, 1)]);
    let reply = harness.fence(E2, "a", 2);
    let status: Vec<_> = reply.tasks.iter().map(|t| (t.index, t.status())).collect();
    assert_eq!(status, [(0, TaskStatus::Started), (1, TaskStatus::NotRun)]);
    harness.complete("demo/a/0/1", &TaskOutcome::Done(Bytes::from_static(b"r")));
    assert_eq!(harness.started, ["demo/a/0/1"]);
    assert_eq!(harness.last_link, Some(E2));
    assert_eq!(harness.last_report(0, 1).payload, "r");
}

/// Guards against starts without a lease: after a takeover, such a task could start a second time
/// elsewhere.
#[test]
fn queued_tasks_wait_without_a_lease() {
    let mut harness = Harness::ready(1);
    harness.run(E1, "a", 1, vec![task(0, 1), task(1, 1)]);
    harness.advance(Duration::from_millis(2500));
    harness.handle(Event::EndpointAnnounced(active_endpoint(1)));
    harness.complete("demo/a/0/1", &TaskOutcome::Done(Bytes::new()));
    assert_eq!(harness.started.len(), 1);
    harness.renew();
    assert_eq!(harness.started, ["demo/a/0/1", "demo/a/1/1"]);
}

/// Guards against a lease that starts at the heartbeat reply instead of at the heartbeat.
#[test]
fn lease_starts_when_the_heartbeat_is_sent() {
    let mut harness = Harness::new(Options::default());
    harness.handle(Event::LinkUp(E1));
    let sent = harness.now;
    harness.advance(Duration::from_millis(2400));
    harness.handle(Event::EndpointAnnounced(active_endpoint(4)));
    harness.renew_sent_at(sent);
    harness.run(E1, "a", 1, vec![task(0, 1)]);
    harness.advance(Duration::from_millis(100));
    harness.run(E1, "a", 1, vec![task(1, 1)]);
    assert_eq!(harness.started, ["demo/a/0/1"]);
}

/// Guards against a start after the record of a fence has expired: a claim older than half the
/// retention period starts nothing.
#[test]
fn expired_claim_starts_nothing() {
    let mut harness = Harness::ready(4);
    harness.claimed_ms = harness.control_ms() - 299_000;
    harness.run(E1, "young", 1, vec![task(0, 1)]);
    harness.claimed_ms = harness.control_ms() - 301_000;
    harness.run(E1, "old", 1, vec![task(0, 1)]);
    assert_eq!(harness.started, ["demo/young/0/1"]);
    assert_eq!(harness.last_report(0, 1).reason, "claim_expired");
    // A record of a job this old may have expired.
    harness.claimed_ms = harness.control_ms() - 600_000;
    assert!(!harness.fence(E1, "ancient", 2).complete);
}

/// Guards against more running tasks than slots when an entry sends tasks without grants, and
/// against slots that stay occupied after their grants expire.
#[test]
fn grants_and_tasks_share_the_slots() {
    let mut harness = Harness::ready(3);
    harness.reserve(E1, "a", 2);
    assert_eq!(harness.granted, 2);
    harness.run(E1, "b", 1, (0..5).map(|i| task(i, 1)).collect());
    assert_eq!(harness.started.len(), 1);
    harness.run_with(E1, "a", 1, INCARNATION, true, vec![task(0, 1)]);
    assert_eq!(harness.started.len(), 2);
    harness.advance(Duration::from_secs(1));
    harness.handle(Event::Tick);
    assert_eq!(
        harness.started.len(),
        3,
        "the slot of the unused grant goes to a queued task"
    );
    let load = harness.engine.load(harness.now);
    assert_eq!((load.running, load.granted, load.queued), (3, 0, 3));
}

/// Guards against grants and reservations that remain after the entry released them or its link
/// was closed.
#[test]
fn grants_are_freed_on_release_and_link_loss() {
    let mut harness = Harness::ready(2);
    harness.handle(Event::LinkUp(E2));
    harness.reserve(E1, "a", 5);
    harness.reserve(E2, "b", 1);
    assert_eq!(harness.granted, 2);
    harness.release(E1, "a", 1, true);
    assert_eq!(harness.granted, 3, "the slot goes to the other entry's job");
    harness.handle(Event::LinkDown(E1));
    let load = harness.engine.load(harness.now);
    assert_eq!((load.granted, load.queued), (1, 0));
}

/// Guards against a team that gets more than its weighted share of the freed slots.
#[test]
fn grants_follow_the_weights() {
    let mut harness = Harness::ready(1);
    harness.handle(Event::LinkUp(E2));
    harness.reserve_for(E1, "heavy", "a", 60, 3);
    harness.reserve_for(E2, "light", "b", 60, 1);
    // The only slot changes between the teams. Releasing a slot that is not held has no effect.
    while harness.granted < 40 {
        harness.release_for(E1, "heavy", "a", 1, false);
        if harness.granted < 40 {
            harness.release_for(E2, "light", "b", 1, false);
        }
    }
    let heavy = harness.granted_to("heavy");
    assert!((29..=31).contains(&heavy), "{heavy} of 40");
}

/// Guards against starting a queued task after its deadline.
#[test]
fn queued_task_ends_at_its_deadline() {
    let mut harness = Harness::ready(1);
    let mut late = task(1, 1);
    late.deadline_ms = 100;
    harness.run(E1, "a", 1, vec![task(0, 1), late]);
    harness.advance(Duration::from_millis(100));
    harness.handle(Event::Tick);
    assert_eq!(harness.last_report(1, 1).reason, "deadline");
    harness.complete("demo/a/0/1", &TaskOutcome::Done(Bytes::new()));
    assert_eq!(harness.started.len(), 1);
}

/// Guards against a running task that continues after its deadline or after a cancellation,
/// although the endpoint can stop it.
#[test]
fn running_tasks_are_stopped_where_supported() {
    let mut harness = Harness::ready(2);
    let mut late = task(0, 1);
    late.deadline_ms = 100;
    harness.run(E1, "a", 1, vec![late, task(1, 1), task(2, 1)]);
    harness.advance(Duration::from_millis(100));
    let effects = harness.handle(Event::Tick);
    assert_eq!(stopped_tasks(&effects), ["demo/a/0/1"]);
    let effects = harness.cancel(E1, "a", 1);
    assert_eq!(stopped_tasks(&effects), ["demo/a/0/1", "demo/a/1/1"]);
    assert_eq!(harness.last_report(2, 1).reason, "cancelled");
    harness.run(E1, "a", 1, vec![task(3, 1)]);
    assert_eq!(harness.last_report(3, 1).reason, "cancelled");
    assert_eq!(harness.started.len(), 2);
}

/// Guards against a cancellation by an entry that no longer owns the job.
#[test]
fn stale_cancel_changes_nothing() {
    let mut harness = Harness::ready(1);
    harness.run(E1, "a", 2, vec![task(0, 1), task(1, 1)]);
    assert!(stopped_tasks(&harness.cancel(E1, "a", 1)).is_empty());
    harness.complete("demo/a/0/1", &TaskOutcome::Done(Bytes::new()));
    assert_eq!(harness.started.len(), 2);
}

/// Guards against tasks that fail to start because another program announced an address at which there
/// is no endpoint.
#[test]
fn announcement_of_another_address_takes_no_endpoint_out_of_use() {
    let mut harness = Harness::ready(1);
    let mut odd = active_endpoint(5);
    odd.address.set_port(odd.address.port() + 1);
    harness.handle(Event::EndpointAnnounced(odd.clone()));
    let used = harness.engine.endpoint_info(harness.now).unwrap();
    assert_eq!(used.slots, 1);
    harness.advance(Duration::from_secs(3));
    assert!(harness.engine.accepts_announcement(harness.now, &odd));
}

/// Guards against starting tasks on an endpoint that no longer announces itself, and against
/// tasks that stay queued for it.
#[test]
fn silent_endpoint_gets_no_tasks() {
    let mut harness = Harness::ready(1);
    harness.run(E1, "a", 1, vec![task(0, 1), task(1, 1)]);
    harness.advance(Duration::from_secs(3));
    harness.renew();
    assert_eq!(harness.last_report(1, 1).reason, "no_endpoint");
    assert!(harness.engine.endpoint_info(harness.now).is_none());
    harness.run(E1, "a", 1, vec![task(2, 1)]);
    assert_eq!(harness.started.len(), 1);
    assert_eq!(harness.engine.running(), 1, "the running task is kept");
}

/// Guards against an agent that accepts tasks during shutdown, or counts as drained before its
/// results are reported.
#[test]
fn shutdown_refuses_tasks_and_drains() {
    let mut harness = Harness::ready(1);
    harness.run(E1, "a", 1, vec![task(0, 1), task(1, 1)]);
    harness.handle(Event::Shutdown);
    assert_eq!(harness.state, NodeState::Leaving);
    assert_eq!(harness.last_report(1, 1).reason, "leaving");
    assert!(!harness.engine.is_drained());
    harness.handle(Event::LinkDown(E1));
    harness.complete("demo/a/0/1", &TaskOutcome::Done(Bytes::new()));
    assert!(
        !harness.engine.is_drained(),
        "the result is not reported yet"
    );
    harness.handle(Event::LinkUp(E2));
    let reply = harness.fence(E2, "a", 1);
    assert_eq!(reply.tasks.len(), 2);
    assert!(harness.engine.is_drained());
}

/// Guards against an agent that ignores an operator's pause or stays paused after it is lifted.
#[test]
fn paused_agent_grants_nothing() {
    let mut harness = Harness::ready(2);
    harness.renew_with_state(NodeState::Paused);
    assert_eq!(harness.state, NodeState::Paused);
    harness.reserve(E1, "a", 1);
    harness.run(E1, "b", 1, vec![task(0, 1)]);
    assert_eq!((harness.granted, harness.started.len()), (0, 0));
    assert_eq!(harness.engine.local_state(harness.now), NodeState::Active);
    harness.renew();
    assert_eq!(harness.granted, 1);
}

/// Guards against unbounded memory for results, and against a fence reply that counts as complete
/// after a payload was evicted.
#[test]
fn dropped_payloads_are_reported_incomplete() {
    let mut harness = Harness::with_options(
        1,
        Options {
            result_bytes: 150,
            ..Options::default()
        },
    );
    for job in ["a", "b"] {
        harness.run(E1, job, 1, vec![task(0, 1)]);
        harness.complete(
            &format!("demo/{job}/0/1"),
            &TaskOutcome::Done(Bytes::from(vec![7; 100])),
        );
    }
    let old = harness.fence(E1, "a", 1);
    assert!(!old.complete);
    assert_eq!(old.tasks[0].status(), TaskStatus::Done);
    assert!(old.tasks[0].payload.is_empty());
    let new = harness.fence(E1, "b", 1);
    assert!(new.complete);
    assert_eq!(new.tasks[0].payload.len(), 100);
    harness.run(E1, "a", 1, vec![task(0, 2)]);
    assert_eq!(harness.started.len(), 2, "the record of the start is kept");
}

/// Guards against removing records to make room. New tasks are refused instead, and stay refused
/// when there is room again.
#[test]
fn full_records_refuse_new_work() {
    let mut harness = Harness::with_options(
        4,
        Options {
            records: 4,
            retention: Duration::from_secs(10),
            ..Options::default()
        },
    );
    harness.run(
        E1,
        "a",
        1,
        vec![task(0, 1), task(1, 1), task(2, 1), task(3, 1)],
    );
    assert_eq!(harness.started.len(), 3);
    assert_eq!(harness.last_report(3, 1).reason, "records_full");
    harness.run(E1, "a", 1, vec![task(0, 1)]);
    harness.run(E1, "b", 1, vec![task(0, 1)]);
    assert_eq!(harness.started.len(), 3);
    for index in 0..3 {
        harness.complete(
            &format!("demo/a/{index}/1"),
            &TaskOutcome::Done(Bytes::new()),
        );
    }
    let claimed_ms = harness.claimed_ms;
    harness.advance(Duration::from_secs(10));
    harness.handle(Event::EndpointAnnounced(active_endpoint(4)));
    harness.renew();
    harness.handle(Event::Tick);
    harness.claimed_ms = claimed_ms;
    harness.run(E1, "b", 1, vec![task(0, 1)]);
    assert_eq!(harness.started.len(), 3, "the refused job stays refused");
    harness.claimed_ms = harness.control_ms();
    harness.run(E1, "c", 1, vec![task(0, 1)]);
    assert_eq!(harness.started.len(), 4, "jobs claimed later are accepted");
}

/// Guards against a fence reply above the frame size limit, which would close the link after each
/// reconnect.
#[test]
fn large_results_follow_the_fence_reply() {
    let mut harness = Harness::ready(8);
    let payload = Bytes::from(vec![7; 1024 * 1024]);
    for index in 0..8 {
        harness.run(E1, "a", 1, vec![task(index, 1)]);
        harness.complete(
            &format!("demo/a/{index}/1"),
            &TaskOutcome::Done(payload.clone()),
        );
    }
    harness.handle(Event::LinkDown(E1));
    harness.handle(Event::LinkUp(E2));
    harness.reports.clear();
    let reply = harness.fence(E2, "a", 1);
    let done = reply
        .tasks
        .iter()
        .filter(|t| t.status() == TaskStatus::Done)
        .count();
    assert_eq!((reply.tasks.len(), reply.complete), (8, true));
    assert!(done < 8);
    assert_eq!(done + harness.reports.len(), 8);
    assert!(
        harness.largest_frame < 8 * 1024 * 1024,
        "{}",
        harness.largest_frame
    );
}

/// Guards against sending a separate frame for each result and grant of one batch of events.
#[test]
fn results_of_a_batch_share_a_frame() {
    let mut harness = Harness::ready(4);
    harness.run(E1, "a", 1, (0..4).map(|i| task(i, 1)).collect());
    harness.reserve(E1, "b", 4);
    let before = harness.frames;
    let ids = harness.start_ids(["demo/a/0/1", "demo/a/1/1", "demo/a/2/1"]);
    harness.complete_all(ids, &TaskOutcome::Done(Bytes::new()));
    assert_eq!(harness.frames, before + 1);
    assert_eq!(harness.granted, 3);
}

/// Returns the tasks that are to be stopped, sorted.
fn stopped_tasks(effects: &[Effect]) -> Vec<String> {
    let mut tasks: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::SendDirective(d) if d.action == DirectiveAction::Stop => Some(d.task.clone()),
            _ => None,
        })
        .collect();
    tasks.sort();
    tasks
}
