//! Scenario tests of the engine: one entry, with scripted agents and a scripted control group.

#[path = "engine/harness.rs"]
mod harness;

use std::time::Duration;

use sassafras_wire::Body;
use sassafras_wire::proto;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Outcome;
use sassafras_wire::proto::TaskStatus;
use sassafras_wire::proto::claim_reply::Kind;

use crate::harness::Harness;
use crate::harness::report;

/// Guards against attempt numbers that overflow at a takeover, or that an earlier owner used: an
/// agent reports what it recorded under a number in place of starting the task.
#[test]
fn attempts_after_a_takeover_get_new_numbers_at_any_epoch() {
    for epoch in [2, 5_000_000, 5_000_001, 1 << 40] {
        let mut harness = Harness::ready(&[("w1", 2), ("w2", 1)]);
        harness.submit("j", 1, true);
        // The listed process of w1 is gone, and with it the record of what it started.
        harness.take_over(epoch, &[("w1", 1), ("w2", 1)]);
        harness.fence_reply("w2", "j", epoch, Vec::new());
        let first = harness.next_run("j");
        assert!(
            first.attempt > (epoch - 1) * 1000,
            "epoch {epoch}: {}",
            first.attempt
        );
        let failed = report(0, first.attempt, TaskStatus::Errored);
        harness.report(&first.agent, "j", epoch, failed);
        let second = harness.next_run("j");
        assert_eq!(second.attempt, first.attempt + 1, "epoch {epoch}");
    }
}

/// Guards against ignoring the result of a task that a new owner found running, because another
/// agent has recorded a later attempt of it.
#[test]
fn result_of_an_adopted_task_counts_after_a_later_attempt() {
    let started = report(0, 1, TaskStatus::Started);
    let refused = report(0, 2, TaskStatus::NotRun);
    for replies in [
        [("w1", &started), ("w2", &refused)],
        [("w2", &refused), ("w1", &started)],
    ] {
        let mut harness = Harness::ready(&[("w1", 1), ("w2", 1)]);
        harness.submit("j", 1, true);
        harness.take_over(7, &[("w1", 1), ("w2", 1)]);
        for (agent, task) in replies {
            harness.fence_reply(agent, "j", 7, vec![task.clone()]);
        }
        harness.report("w1", "j", 7, report(0, 1, TaskStatus::Done));
        assert_eq!(harness.take_finish().outcome(), Outcome::Complete);
    }
}

/// Guards against calling an attempt failed, which says that it has ended, when its outcome is
/// unknown and its endpoint may still run it.
#[test]
fn lost_attempt_stays_lost_after_a_takeover() {
    for (status, reason) in [
        (TaskStatus::Lost, "lost_attempt"),
        (TaskStatus::Errored, "task_failed"),
    ] {
        let mut harness = Harness::ready(&[("w1", 1)]);
        harness.submit("j", 1, false);
        harness.take_over(7, &[("w1", 1)]);
        harness.fence_reply("w1", "j", 7, vec![report(0, 1, status)]);
        let finish = harness.take_finish();
        assert_eq!(finish.outcome(), Outcome::Failed);
        assert_eq!(finish.reason, reason);
    }
}

/// Guards against a retry after a takeover while an agent that has not replied may run a later
/// attempt of the task: the former owner may have retried it there.
#[test]
fn nothing_is_retried_while_a_listed_agent_is_unreachable() {
    let mut harness = Harness::ready(&[("w1", 1), ("w2", 1), ("w3", 1)]);
    harness.submit("j", 1, true);
    harness.link_down("w2");
    harness.take_over(7, &[("w1", 1), ("w2", 1), ("w3", 1)]);
    harness.fence_reply("w1", "j", 7, vec![report(0, 1, TaskStatus::Errored)]);
    harness.fence_reply("w3", "j", 7, Vec::new());
    harness.advance(Duration::from_secs(11));
    assert_eq!(harness.take_finish().outcome(), Outcome::Failed);
}

/// Guards against tasks of a cancelled job that start or run on because the link was down, or
/// broke, when they were to be stopped.
#[test]
fn stops_are_repeated_after_a_lost_link() {
    for sent_before in [false, true] {
        let mut harness = Harness::ready(&[("w1", 1)]);
        harness.submit("j", 1, false);
        harness.grant_claim(7);
        harness.next_run("j");
        if !sent_before {
            harness.link_down("w1");
        }
        harness.cancel("j");
        assert_eq!(harness.take_finish().outcome(), Outcome::Cancelled);
        assert_eq!(harness.take_stops("w1"), u32::from(sent_before));
        if sent_before {
            harness.link_down("w1");
        }
        harness.link_up("w1");
        assert_eq!(harness.take_stops("w1"), 1);
    }
}

/// Guards against a task that runs on at an agent that comes back after its job has failed without
/// it: the caller may have submitted the work again under another name.
#[test]
fn lost_attempts_are_stopped_when_their_agent_returns() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    harness.submit("j", 1, false);
    harness.grant_claim(7);
    harness.next_run("j");
    harness.link_down("w1");
    harness.advance(Duration::from_secs(11));
    assert_eq!(harness.take_finish().reason, "lost_attempt");
    harness.link_up("w1");
    assert_eq!(harness.take_stops("w1"), 1);
}

/// Guards against tasks that run on at an agent that a new owner could not reach and which comes
/// back after the job has failed.
#[test]
fn unreachable_agents_of_a_takeover_are_stopped_when_they_return() {
    let mut harness = Harness::ready(&[("w1", 1), ("w2", 1)]);
    harness.submit("j", 1, false);
    harness.link_down("w2");
    harness.take_over(7, &[("w1", 1), ("w2", 1)]);
    harness.fence_reply("w1", "j", 7, Vec::new());
    harness.advance(Duration::from_secs(11));
    assert_eq!(harness.take_finish().reason, "lost_attempt");
    harness.link_up("w2");
    assert_eq!(harness.take_stops("w2"), 1);
    assert_eq!(harness.take_stops("w1"), 0);
}

/// Guards against stopping tasks on behalf of an owner that has lost the job: the new owner waits
/// for them.
#[test]
fn stops_are_withdrawn_when_another_entry_owns_the_job() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    harness.submit("j", 1, false);
    harness.grant_claim(7);
    harness.next_run("j");
    harness.link_down("w1");
    harness.cancel("j");
    let (id, _) = harness.take_request();
    let refused = proto::FinishReply {
        accepted: false,
        outcome: Outcome::Running.into(),
        epoch: 8,
        ..proto::FinishReply::default()
    };
    harness.reply(id, Body::FinishReply(refused));
    harness.link_up("w1");
    assert_eq!(harness.take_stops("w1"), 0);
}

/// Guards against stops that are repeated for ever, or sent to a later process of the agent.
#[test]
fn stops_end_with_the_deadline_and_the_process() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    harness.submit("j", 1, false);
    harness.grant_claim(7);
    harness.next_run("j");
    harness.cancel("j");
    harness.link_down("w1");
    harness.restart("w1");
    harness.link_up("w1");
    assert_eq!(harness.take_stops("w1"), 1, "the one before the restart");
    harness.submit("k", 1, false);
    harness.take_finish();
    harness.grant_claim(8);
    harness.next_run("k");
    harness.cancel("k");
    assert_eq!(harness.take_stops("w1"), 1);
    harness.advance(Duration::from_secs(61));
    harness.link_down("w1");
    harness.link_up("w1");
    assert_eq!(harness.take_stops("w1"), 0);
}

/// Guards against sending a task again that is still queued at an agent. An agent keeps its queue
/// when the owner fences it under the epoch that it knows.
#[test]
fn queued_tasks_are_adopted_and_not_sent_again() {
    let mut harness = Harness::ready(&[("w1", 1), ("w2", 1)]);
    harness.submit("j", 1, false);
    harness.take_over(7, &[("w1", 1), ("w2", 1)]);
    // The requests made while the first claim was open have been withdrawn.
    harness.frames.clear();
    harness.fence_reply("w1", "j", 7, vec![report(0, 1, TaskStatus::Queued)]);
    harness.fence_reply("w2", "j", 7, Vec::new());
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.requested_slots(), 0);
    harness.report("w1", "j", 7, report(0, 1, TaskStatus::Done));
    assert_eq!(harness.take_finish().outcome(), Outcome::Complete);
}

/// Guards against giving up a job because of a late reply to a request of an earlier ownership.
/// The job is then fenced and resumed while its tasks run.
#[test]
fn late_extend_reply_does_not_end_a_later_ownership() {
    let mut harness = Harness::ready(&[("w1", 1), ("w2", 1)]);
    harness.link_down("w2");
    harness.submit("j", 2, false);
    harness.grant_claim(5);
    harness.link_up("w2");
    let sent = harness.next_run("j");
    let refused = report(sent.index, sent.attempt, TaskStatus::NotRun);
    harness.report("w1", "j", 5, refused);
    let (extend, body) = harness.take_request();
    assert!(matches!(body, Body::Extend(_)), "{body:?}");
    // Another entry takes the job over, which this one learns from an agent, and dies.
    harness.link_down("w1");
    harness.link_up("w1");
    harness.fence_reply("w1", "j", 6, Vec::new());
    harness.tick();
    harness.take_over(7, &[("w1", 1)]);
    harness.fence_reply("w1", "j", 7, Vec::new());
    let late = proto::ExtendReply {
        accepted: false,
        epoch: 6,
    };
    harness.reply(extend, Body::ExtendReply(late));
    harness.tick();
    let claimed = harness
        .requests
        .iter()
        .any(|(_, body)| matches!(body, Body::Claim(_)));
    assert!(!claimed, "{:?}", harness.requests);
}

/// Guards against giving up tasks, and repeating them, because control does not hear their agent,
/// while the link to it is open and it will report how they end.
#[test]
fn agent_that_control_does_not_hear_keeps_its_tasks() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    harness.submit("j", 1, false);
    harness.grant_claim(7);
    let sent = harness.next_run("j");
    harness.list_agent("w1", NodeState::Gone);
    harness.advance(Duration::from_secs(11));
    harness.report("w1", "j", 7, report(0, sent.attempt, TaskStatus::Done));
    assert_eq!(harness.take_finish().outcome(), Outcome::Complete);
}

/// Guards against connection attempts to agents that are gone, and against none to those that are
/// back.
#[test]
fn gone_agents_are_dialled_once_they_are_back() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    assert_eq!(harness.dialled, ["agent/w1"]);
    harness.list_agent("w1", NodeState::Gone);
    harness.list_agent("w1", NodeState::Active);
    assert_eq!(harness.dialled, ["agent/w1"], "the link is open");
    harness.list_agent("w1", NodeState::Gone);
    harness.link_down("w1");
    assert!(harness.dialled.is_empty());
    harness.list_agent("w1", NodeState::Active);
    assert_eq!(harness.dialled, ["agent/w1"]);
    harness.list_agent("w1", NodeState::Gone);
    assert!(harness.dialled.is_empty());
}

/// Guards against telling callers that a result is gone for good while an agent that may hold it
/// cannot be reached.
#[test]
fn results_at_an_unreachable_agent_are_not_called_expired() {
    for (reachable, replaced, code) in [
        (false, false, "unknown"),
        (false, true, "answer_expired"),
        (true, false, "answer_expired"),
    ] {
        let mut harness = Harness::ready(&[("w1", 1), ("w2", 1)]);
        if !reachable {
            harness.link_down("w2");
        }
        if replaced {
            harness.restart("w2");
        }
        harness.submit("j", 1, false);
        harness.find_complete(7, &[("w1", 1), ("w2", 1)]);
        harness.fence_reply("w1", "j", 7, Vec::new());
        if reachable {
            harness.fence_reply("w2", "j", 7, Vec::new());
        }
        harness.advance(Duration::from_secs(11));
        let text = harness.responses.concat();
        assert!(text.contains(&format!(r#""code":"{code}""#)), "{text}");
    }
}

/// Guards against probing an agent that fails tasks with one that is not repeatable: its failure
/// ends a job that another agent would complete.
#[test]
fn probes_are_repeatable_tasks() {
    let mut harness = Harness::ready(&[("w1", 1), ("w2", 1), ("w3", 1), ("w4", 1)]);
    let suspect = harness.eject_agent();
    let tasks = [r#"{"payload":1}"#, r#"{"payload":2,"repeatable":false}"#];
    harness.submit_tasks("j", &tasks);
    harness.grant_claim(9);
    let mut sent = Vec::new();
    while sent.len() < 2 {
        sent.push(harness.next_run("j"));
    }
    let probes = sent.iter().filter(|s| s.agent == suspect);
    let probes: Vec<u32> = probes.map(|s| s.index).collect();
    assert_eq!(probes, [0]);
}

/// Guards against a job that waits for ever, and keeps its entry from ending, after a reply that
/// does not say who owns it.
#[test]
fn claim_without_a_readable_owner_is_answered() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    harness.submit("j", 1, false);
    let (id, _) = harness.take_request();
    let reply = proto::ClaimReply {
        kind: Kind::Owned.into(),
        epoch: 7,
        owner_alive: true,
        ..proto::ClaimReply::default()
    };
    harness.reply(id, Body::ClaimReply(reply));
    assert!(harness.responses.concat().contains(r#""ran":"unknown""#));
    assert_eq!(harness.engine.active_jobs(), 0);
}

/// Guards against taking a task for one that its agent never received because the reply to a fence
/// does not list it, although it was sent after the fence.
#[test]
fn tasks_sent_after_a_fence_are_not_missing_from_its_reply() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    harness.submit("j", 2, false);
    harness.grant_claim(7);
    harness.grant("w1", "j", 1);
    let lost = harness.next_sent();
    harness.link_down("w1");
    harness.link_up("w1");
    harness.fence_reply("w1", "j", 7, Vec::new());
    harness.advance(Duration::from_millis(4100));
    // The second fence is on its way, and the reply to it overtakes the next task.
    harness.grant("w1", "j", 1);
    let later = harness.next_sent();
    harness.fence_reply("w1", "j", 7, Vec::new());
    let done = report(later.index, later.attempt, TaskStatus::Done);
    harness.report("w1", "j", 7, done);
    let again = harness.next_run("j");
    assert_eq!((again.index, again.attempt), (lost.index, lost.attempt + 1));
    let done = report(again.index, again.attempt, TaskStatus::Done);
    harness.report("w1", "j", 7, done);
    assert_eq!(harness.take_finish().outcome(), Outcome::Complete);
}

/// Guards against the statement that no task was started, made about a job of which an attempt has
/// run, because a later attempt that the new owner found was not run.
#[test]
fn earlier_attempt_counts_as_a_start_after_a_later_one_was_not_run() {
    for status in [TaskStatus::Errored, TaskStatus::Lost, TaskStatus::Started] {
        let first = ("w1", report(0, 1, status));
        let second = ("w2", report(0, 2, TaskStatus::Started));
        for replies in [[&first, &second], [&second, &first]] {
            let mut harness = Harness::ready(&[("w1", 1), ("w2", 1)]);
            harness.submit("j", 1, true);
            harness.take_over(7, &[("w1", 1), ("w2", 1)]);
            for (agent, task) in replies {
                harness.fence_reply(agent, "j", 7, vec![task.clone()]);
            }
            harness.report("w2", "j", 7, report(0, 2, TaskStatus::NotRun));
            harness.cancel("j");
            let finish = harness.find_finish();
            assert_eq!(finish.outcome(), Outcome::Cancelled);
            let order = replies.map(|(agent, _)| agent);
            assert!(!finish.never_started, "{status:?}, {order:?}");
        }
    }
}

/// Guards against the statement that no task was started, made about a job whose first attempt may
/// have run at an agent whose record is lost.
#[test]
fn attempt_without_a_record_counts_as_a_start_after_a_later_one_was_not_run() {
    let mut harness = Harness::ready(&[("w1", 2), ("w2", 1)]);
    harness.submit("j", 1, true);
    harness.take_over(7, &[("w1", 1), ("w2", 1)]);
    harness.fence_reply("w2", "j", 7, vec![report(0, 2, TaskStatus::Started)]);
    harness.report("w2", "j", 7, report(0, 2, TaskStatus::NotRun));
    harness.cancel("j");
    assert!(!harness.find_finish().never_started);
}

/// Guards against resuming a job on the reply to a fence of an earlier ownership: the agent may
/// since have started tasks for another owner.
#[test]
fn reply_to_an_earlier_fence_does_not_show_what_was_started() {
    let mut harness = Harness::ready(&[("w1", 1), ("w2", 1)]);
    let agents = [("w1", 1), ("w2", 1)];
    harness.submit("j", 1, false);
    harness.take_over(7, &agents);
    // Another entry takes the job over, which this one learns from an agent, and dies.
    harness.fence_reply("w2", "j", 8, Vec::new());
    harness.tick();
    harness.take_over(9, &agents);
    harness.frames.clear();
    harness.fence_reply("w2", "j", 9, Vec::new());
    harness.fence_reply("w1", "j", 7, Vec::new());
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.requested_slots(), 0);
    harness.fence_reply("w1", "j", 9, vec![report(0, 1, TaskStatus::Started)]);
    harness.report("w1", "j", 9, report(0, 1, TaskStatus::Done));
    assert_eq!(harness.take_finish().outcome(), Outcome::Complete);
}

/// Guards against the statement that a job was not run, made because a job with another body waits
/// under its name: until control has replied, either of the two may be the claimed one.
#[test]
fn unclaimed_job_does_not_show_that_another_body_was_not_run() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    harness.submit("j", 1, false);
    harness.submit("j", 2, false);
    assert!(harness.responses.concat().contains(r#""ran":"unknown""#));
    harness.grant_claim(7);
    harness.responses.clear();
    harness.submit("j", 2, false);
    let text = harness.responses.concat();
    assert!(text.contains(r#""code":"conflict""#), "{text}");
    assert!(text.contains(r#""ran":false"#), "{text}");
}

/// Guards against the statement that a job was not run, made to a caller that asks for it by its
/// name alone, because this entry has submitted another body under that name.
#[test]
fn conflict_is_stated_only_to_callers_that_submitted_the_body() {
    let mut harness = Harness::ready(&[("w1", 1)]);
    harness.submit("j", 1, false);
    harness.cancel("j");
    let (id, _) = harness.take_request();
    let reply = proto::ClaimReply {
        kind: Kind::Conflict.into(),
        epoch: 7,
        ..proto::ClaimReply::default()
    };
    harness.reply(id, Body::ClaimReply(reply));
    let [submitted, cancelled] = harness.responses.as_slice() else {
        panic!("{:?}", harness.responses);
    };
    assert!(submitted.contains(r#""ran":false"#), "{submitted}");
    assert!(cancelled.contains(r#""ran":"unknown""#), "{cancelled}");
}
