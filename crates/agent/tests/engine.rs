//! Focused cases of the engine's rules.

#[path = "engine/bench.rs"]
mod bench;
#[path = "engine/rules.rs"]
mod rules;

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

use crate::bench::Bench;
use crate::bench::OWN;
use crate::bench::active;
use crate::bench::task;

const E1: LinkId = LinkId(1);
const E2: LinkId = LinkId(2);

/// Guards against a second start when a frame arrives twice or an attempt is numbered anew.
#[test]
fn index_starts_once() {
    let mut bench = Bench::ready(4);
    bench.run(E1, "a", 1, vec![task(0, 1)]);
    bench.run(E1, "a", 1, vec![task(0, 1)]);
    bench.run(E1, "a", 1, vec![task(0, 2)]);
    assert_eq!(bench.started, ["demo/a/0/1"]);
    assert_eq!(bench.last(0, 2).reason, "already_started");
    bench.end("demo/a/0/1", &TaskOutcome::Done(Bytes::from_static(b"x")));
    bench.run(E1, "a", 2, vec![task(0, 1), task(0, 3)]);
    assert_eq!(bench.started.len(), 1);
    assert_eq!(bench.last(0, 1).status(), TaskStatus::Done);
    assert_eq!(bench.last(0, 3).status(), TaskStatus::NotRun);
}

/// Guards against a refusal that is taken back: the entry may have started the task elsewhere.
#[test]
fn refusal_is_final_for_the_attempt() {
    let mut bench = Bench::new(Options::default());
    bench.handle(Event::LinkUp(E1));
    bench.handle(Event::EndpointAnnounced(active(4)));
    bench.run(E1, "a", 1, vec![task(0, 1)]);
    assert_eq!(bench.last(0, 1).reason, "no_lease");
    bench.renew();
    bench.run(E1, "a", 1, vec![task(0, 1)]);
    assert!(bench.started.is_empty());
    bench.run(E1, "a", 1, vec![task(0, 2)]);
    assert_eq!(bench.started, ["demo/a/0/2"]);
}

/// Guards against a start for an owner that was replaced.
#[test]
fn stale_epoch_starts_nothing() {
    let mut bench = Bench::ready(4);
    bench.handle(Event::LinkUp(E2));
    let reply = bench.fence(E2, "a", 3);
    assert_eq!(
        (reply.epoch, reply.complete, reply.tasks.len()),
        (3, true, 0)
    );
    bench.run(E1, "a", 2, vec![task(0, 1)]);
    assert!(bench.started.is_empty());
    assert_eq!(bench.last(0, 1).reason, "stale_epoch");
    // The refusal concerns the old epoch only.
    bench.run(E2, "a", 3, vec![task(0, 1)]);
    assert_eq!(bench.started, ["demo/a/0/1"]);
    assert_eq!(bench.fence(E1, "a", 2).epoch, 3);
}

/// Guards against a start of a task that was meant for an earlier start of this agent.
#[test]
fn other_incarnation_starts_nothing() {
    let mut bench = Bench::ready(4);
    bench.run_with(E1, "a", 1, 99, false, vec![task(0, 1)]);
    assert!(bench.started.is_empty());
    assert_eq!(bench.last(0, 1).reason, "incarnation");
}

/// Guards against queued tasks of an old owner that start after the takeover, and against a
/// report to the wrong owner.
#[test]
fn fence_drops_the_queue_and_turns_reports() {
    let mut bench = Bench::ready(1);
    bench.handle(Event::LinkUp(E2));
    bench.run(E1, "a", 1, vec![task(0, 1), task(1, 1)]);
    let reply = bench.fence(E2, "a", 2);
    let status: Vec<_> = reply.tasks.iter().map(|t| (t.index, t.status())).collect();
    assert_eq!(status, [(0, TaskStatus::Started), (1, TaskStatus::NotRun)]);
    bench.end("demo/a/0/1", &TaskOutcome::Done(Bytes::from_static(b"r")));
    assert_eq!(bench.started, ["demo/a/0/1"]);
    assert_eq!(bench.last_link, Some(E2));
    assert_eq!(bench.last(0, 1).payload, "r");
}

/// Guards against starts without a lease, which a takeover could repeat elsewhere.
#[test]
fn queue_stands_still_without_a_lease() {
    let mut bench = Bench::ready(1);
    bench.run(E1, "a", 1, vec![task(0, 1), task(1, 1)]);
    bench.advance(Duration::from_millis(2500));
    bench.handle(Event::EndpointAnnounced(active(1)));
    bench.end("demo/a/0/1", &TaskOutcome::Done(Bytes::new()));
    assert_eq!(bench.started.len(), 1);
    bench.renew();
    assert_eq!(bench.started, ["demo/a/0/1", "demo/a/1/1"]);
}

/// Guards against a lease that is counted from the answer instead of the sending.
#[test]
fn lease_counts_from_the_sending() {
    let mut bench = Bench::new(Options::default());
    bench.handle(Event::LinkUp(E1));
    let sent = bench.now;
    bench.advance(Duration::from_millis(2400));
    bench.handle(Event::EndpointAnnounced(active(4)));
    bench.renew_sent(sent);
    bench.run(E1, "a", 1, vec![task(0, 1)]);
    bench.advance(Duration::from_millis(100));
    bench.run(E1, "a", 1, vec![task(1, 1)]);
    assert_eq!(bench.started, ["demo/a/0/1"]);
}

/// Guards against a forgotten fence: a claim older than half the retention starts nothing.
#[test]
fn old_claim_starts_nothing() {
    let mut bench = Bench::ready(4);
    bench.claimed = bench.control_ms() - 299_000;
    bench.run(E1, "young", 1, vec![task(0, 1)]);
    bench.claimed = bench.control_ms() - 301_000;
    bench.run(E1, "old", 1, vec![task(0, 1)]);
    assert_eq!(bench.started, ["demo/young/0/1"]);
    assert_eq!(bench.last(0, 1).reason, "claim_expired");
    // Whether the job was seen before can no longer be told.
    bench.claimed = bench.control_ms() - 600_000;
    assert!(!bench.fence(E1, "ancient", 2).complete);
}

/// Guards against more running tasks than slots when an entry runs without grants, and against
/// slots that are lost when grants expire.
#[test]
fn grants_and_tasks_share_the_slots() {
    let mut bench = Bench::ready(3);
    bench.reserve(E1, "a", 2);
    assert_eq!(bench.granted, 2);
    bench.run(E1, "b", 1, (0..5).map(|i| task(i, 1)).collect());
    assert_eq!(bench.started.len(), 1);
    bench.run_with(E1, "a", 1, OWN, true, vec![task(0, 1)]);
    assert_eq!(bench.started.len(), 2);
    bench.advance(Duration::from_secs(1));
    bench.handle(Event::Tick);
    assert_eq!(bench.started.len(), 3, "the unused grant went to the queue");
    let load = bench.engine.load(bench.now);
    assert_eq!((load.running, load.granted, load.queued), (3, 0, 3));
}

/// Guards against grants and reservations that outlive their entry or its wish.
#[test]
fn grants_return_on_release_and_link_loss() {
    let mut bench = Bench::ready(2);
    bench.handle(Event::LinkUp(E2));
    bench.reserve(E1, "a", 5);
    bench.reserve(E2, "b", 1);
    assert_eq!(bench.granted, 2);
    bench.release(E1, "a", 1, true);
    assert_eq!(bench.granted, 3, "the other entry's job got the slot");
    bench.handle(Event::LinkDown(E1));
    let load = bench.engine.load(bench.now);
    assert_eq!((load.granted, load.queued), (1, 0));
}

/// Guards against a team that takes more than its share of the freed slots.
#[test]
fn grants_follow_the_weights() {
    let mut bench = Bench::ready(1);
    bench.handle(Event::LinkUp(E2));
    bench.reserve_as(E1, "heavy", "a", 60, 3);
    bench.reserve_as(E2, "light", "b", 60, 1);
    // The only slot goes back and forth; giving back a slot that is not held changes nothing.
    while bench.granted < 40 {
        bench.release_as(E1, "heavy", "a", 1, false);
        if bench.granted < 40 {
            bench.release_as(E2, "light", "b", 1, false);
        }
    }
    let heavy = bench.granted_to("heavy");
    assert!((29..=31).contains(&heavy), "{heavy} of 40");
}

/// Guards against a task that starts after its caller has given up.
#[test]
fn queued_task_ends_at_its_deadline() {
    let mut bench = Bench::ready(1);
    let mut late = task(1, 1);
    late.deadline_ms = 100;
    bench.run(E1, "a", 1, vec![task(0, 1), late]);
    bench.advance(Duration::from_millis(100));
    bench.handle(Event::Tick);
    assert_eq!(bench.last(1, 1).reason, "deadline");
    bench.end("demo/a/0/1", &TaskOutcome::Done(Bytes::new()));
    assert_eq!(bench.started.len(), 1);
}

/// Guards against a running task that goes on after its deadline or after a cancel, where the
/// endpoint can stop it.
#[test]
fn running_tasks_are_stopped_where_supported() {
    let mut bench = Bench::ready(2);
    let mut late = task(0, 1);
    late.deadline_ms = 100;
    bench.run(E1, "a", 1, vec![late, task(1, 1), task(2, 1)]);
    bench.advance(Duration::from_millis(100));
    let effects = bench.handle(Event::Tick);
    assert_eq!(stops(&effects), ["demo/a/0/1"]);
    let effects = bench.cancel(E1, "a", 1);
    assert_eq!(stops(&effects), ["demo/a/0/1", "demo/a/1/1"]);
    assert_eq!(bench.last(2, 1).reason, "cancelled");
    bench.run(E1, "a", 1, vec![task(3, 1)]);
    assert_eq!(bench.last(3, 1).reason, "cancelled");
    assert_eq!(bench.started.len(), 2);
}

/// Guards against a cancel by an owner that was replaced.
#[test]
fn stale_cancel_changes_nothing() {
    let mut bench = Bench::ready(1);
    bench.run(E1, "a", 2, vec![task(0, 1), task(1, 1)]);
    assert!(stops(&bench.cancel(E1, "a", 1)).is_empty());
    bench.end("demo/a/0/1", &TaskOutcome::Done(Bytes::new()));
    assert_eq!(bench.started.len(), 2);
}

/// Guards against work for an endpoint that is silent or leaving, and against tasks that wait
/// for it in vain.
#[test]
fn silent_endpoint_gets_nothing() {
    let mut bench = Bench::ready(1);
    bench.run(E1, "a", 1, vec![task(0, 1), task(1, 1)]);
    bench.advance(Duration::from_secs(3));
    bench.renew();
    assert_eq!(bench.last(1, 1).reason, "no_endpoint");
    assert!(bench.engine.endpoint_info(bench.now).is_none());
    bench.run(E1, "a", 1, vec![task(2, 1)]);
    assert_eq!(bench.started.len(), 1);
    assert_eq!(bench.engine.running(), 1, "the running task is waited for");
}

/// Guards against a leaving agent that takes work or ends before its results are handed in.
#[test]
fn leaving_refuses_and_drains() {
    let mut bench = Bench::ready(1);
    bench.run(E1, "a", 1, vec![task(0, 1), task(1, 1)]);
    bench.handle(Event::Shutdown);
    assert_eq!(bench.state, NodeState::Leaving);
    assert_eq!(bench.last(1, 1).reason, "leaving");
    assert!(!bench.engine.is_drained());
    bench.handle(Event::LinkDown(E1));
    bench.end("demo/a/0/1", &TaskOutcome::Done(Bytes::new()));
    assert!(!bench.engine.is_drained(), "the result waits for its entry");
    bench.handle(Event::LinkUp(E2));
    let reply = bench.fence(E2, "a", 1);
    assert_eq!(reply.tasks.len(), 2);
    assert!(bench.engine.is_drained());
}

/// Guards against an operator's pause that the agent ignores or never gives up.
#[test]
fn paused_agent_grants_nothing() {
    let mut bench = Bench::ready(2);
    bench.renew_as(NodeState::Paused);
    assert_eq!(bench.state, NodeState::Paused);
    bench.reserve(E1, "a", 1);
    bench.run(E1, "b", 1, vec![task(0, 1)]);
    assert_eq!((bench.granted, bench.started.len()), (0, 0));
    assert_eq!(bench.engine.local_state(bench.now), NodeState::Active);
    bench.renew();
    assert_eq!(bench.granted, 1);
}

/// Guards against unbounded results, and against a dropped result that passes as whole.
#[test]
fn dropped_payloads_are_reported_incomplete() {
    let mut bench = Bench::with(
        1,
        Options {
            result_bytes: 150,
            ..Options::default()
        },
    );
    for job in ["a", "b"] {
        bench.run(E1, job, 1, vec![task(0, 1)]);
        bench.end(
            &format!("demo/{job}/0/1"),
            &TaskOutcome::Done(Bytes::from(vec![7; 100])),
        );
    }
    let old = bench.fence(E1, "a", 1);
    assert!(!old.complete);
    assert_eq!(old.tasks[0].status(), TaskStatus::Done);
    assert!(old.tasks[0].payload.is_empty());
    let new = bench.fence(E1, "b", 1);
    assert!(new.complete);
    assert_eq!(new.tasks[0].payload.len(), 100);
    bench.run(E1, "a", 1, vec![task(0, 2)]);
    assert_eq!(bench.started.len(), 2, "the start is remembered");
}

/// Guards against records that are dropped to make room: new work is refused instead, and the
/// refusal holds when there is room again.
#[test]
fn full_records_refuse_new_work() {
    let mut bench = Bench::with(
        4,
        Options {
            records: 4,
            retention: Duration::from_secs(10),
            ..Options::default()
        },
    );
    bench.run(
        E1,
        "a",
        1,
        vec![task(0, 1), task(1, 1), task(2, 1), task(3, 1)],
    );
    assert_eq!(bench.started.len(), 3);
    assert_eq!(bench.last(3, 1).reason, "records_full");
    bench.run(E1, "a", 1, vec![task(0, 1)]);
    bench.run(E1, "b", 1, vec![task(0, 1)]);
    assert_eq!(bench.started.len(), 3);
    for index in 0..3 {
        bench.end(
            &format!("demo/a/{index}/1"),
            &TaskOutcome::Done(Bytes::new()),
        );
    }
    let claimed = bench.claimed;
    bench.advance(Duration::from_secs(10));
    bench.handle(Event::EndpointAnnounced(active(4)));
    bench.renew();
    bench.handle(Event::Tick);
    bench.claimed = claimed;
    bench.run(E1, "b", 1, vec![task(0, 1)]);
    assert_eq!(bench.started.len(), 3, "refused before");
    bench.claimed = bench.control_ms();
    bench.run(E1, "c", 1, vec![task(0, 1)]);
    assert_eq!(bench.started.len(), 4, "there is room for newer jobs");
}

/// Guards against a reply larger than a frame, which would close the link again and again.
#[test]
fn large_results_follow_the_fence_reply() {
    let mut bench = Bench::ready(8);
    let whole = Bytes::from(vec![7; 1024 * 1024]);
    for index in 0..8 {
        bench.run(E1, "a", 1, vec![task(index, 1)]);
        bench.end(
            &format!("demo/a/{index}/1"),
            &TaskOutcome::Done(whole.clone()),
        );
    }
    bench.handle(Event::LinkDown(E1));
    bench.handle(Event::LinkUp(E2));
    bench.reports.clear();
    let reply = bench.fence(E2, "a", 1);
    let done = reply
        .tasks
        .iter()
        .filter(|t| t.status() == TaskStatus::Done)
        .count();
    assert_eq!((reply.tasks.len(), reply.complete), (8, true));
    assert!(done < 8);
    assert_eq!(done + bench.reports.len(), 8);
    assert!(
        bench.largest_frame < 8 * 1024 * 1024,
        "{}",
        bench.largest_frame
    );
}

/// Guards against a separate frame for each result and grant of a turn.
#[test]
fn results_of_a_turn_share_a_frame() {
    let mut bench = Bench::ready(4);
    bench.run(E1, "a", 1, (0..4).map(|i| task(i, 1)).collect());
    bench.reserve(E1, "b", 4);
    let before = bench.frames;
    let ids = bench.ids(["demo/a/0/1", "demo/a/1/1", "demo/a/2/1"]);
    bench.turn(ids, &TaskOutcome::Done(Bytes::new()));
    assert_eq!(bench.frames, before + 1);
    assert_eq!(bench.granted, 3);
}

fn stops(effects: &[Effect]) -> Vec<String> {
    let mut stops: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::SendDirective(d) if d.action == DirectiveAction::Stop => Some(d.task.clone()),
            _ => None,
        })
        .collect();
    stops.sort();
    stops
}
