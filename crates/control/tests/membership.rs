//! Tests of the member changes that the leader proposes without an operator.

use std::time::Duration;
use std::time::Instant;

use sassafras_control::JoinRequests;
use sassafras_raft::MemberChange;
use sassafras_raft::Members;
use sassafras_raft::Peer;
use sassafras_util::Name;
use sassafras_wire::proto::Join;

fn peer(name: &str, identity: u64) -> Peer {
    let mut peer = Peer::new(Name::from(name), &format!("{name}:7000"));
    peer.identity = identity;
    peer
}

fn members(voters: &[(&str, u64)], learners: &[(&str, u64)]) -> Members {
    let peers = |list: &[(&str, u64)]| list.iter().map(|(n, id)| peer(n, *id)).collect();
    Members {
        voters: peers(voters),
        learners: peers(learners),
    }
}

fn record(requests: &mut JoinRequests, name: &str, identity: u64) {
    record_request(requests, name, identity, false);
}

fn record_request(requests: &mut JoinRequests, name: &str, identity: u64, leaving: bool) {
    let join = Join {
        name: name.to_owned(),
        address: format!("{name}:7000"),
        identity,
        leaving,
    };
    requests.record(Instant::now(), Name::from(name), &join);
}

fn next_change(
    requests: &JoinRequests,
    members: &Members,
    silent: &[&str],
) -> Option<MemberChange> {
    next_change_tolerating(1, requests, members, silent)
}

fn next_change_tolerating(
    losses: usize,
    requests: &JoinRequests,
    members: &Members,
    silent: &[&str],
) -> Option<MemberChange> {
    let silence = |name: &Name| {
        let silent = silent.contains(&name.as_str());
        Duration::from_secs(if silent { 6 } else { 0 })
    };
    let changes = requests.changes(&Name::from("a"), members, losses, silence);
    changes.into_iter().next()
}

const THREE: [(&str, u64); 3] = [("a", 1), ("b", 2), ("c", 3)];

/// Guards against a host that lost its disk and is still counted as having the entries that it
/// acknowledged before.
#[test]
fn member_with_another_disk_is_removed_then_added() {
    let mut requests = JoinRequests::default();
    record(&mut requests, "b", 9);
    let all = members(&THREE, &[]);
    assert_eq!(
        next_change(&requests, &all, &[]),
        Some(MemberChange::Remove("b".into()))
    );
    let without = members(&[("a", 1), ("c", 3)], &[]);
    assert_eq!(
        next_change(&requests, &without, &[]),
        Some(MemberChange::AddLearner(peer("b", 9)))
    );
    let learning = members(&[("a", 1), ("c", 3)], &[("b", 9)]);
    assert_eq!(
        next_change(&requests, &learning, &[]),
        Some(MemberChange::Promote("b".into()))
    );
    let done = members(&[("a", 1), ("c", 3), ("b", 9)], &[]);
    assert_eq!(next_change(&requests, &done, &[]), None);
}

/// Guards against a group that shrinks below three voters because hosts are down temporarily.
#[test]
fn silent_voters_stay_while_there_are_only_three() {
    let requests = JoinRequests::default();
    assert_eq!(
        next_change(&requests, &members(&THREE, &[]), &["b", "c"]),
        None
    );
}

/// Guards against a group that shrinks so far that it has no majority after the loss of as many
/// hosts as it has to tolerate.
#[test]
fn voters_stay_as_many_as_the_tolerated_losses_need() {
    let requests = JoinRequests::default();
    let five = [("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5)];
    let six = members(&[&five[..], &[("f", 6)]].concat(), &[]);
    let remove = |name: &str| Some(MemberChange::Remove(name.into()));
    assert_eq!(
        next_change_tolerating(2, &requests, &six, &["b", "c"]),
        remove("b")
    );
    let five = members(&five, &[]);
    assert_eq!(
        next_change_tolerating(2, &requests, &five, &["b", "c"]),
        None
    );
    assert_eq!(next_change(&requests, &five, &["b", "c"]), remove("b"));
    let three = members(&THREE, &[]);
    assert_eq!(
        next_change_tolerating(0, &requests, &three, &["b", "c"]),
        None
    );
}

/// Guards against a group that never removes a host that another one replaced.
#[test]
fn replaced_voter_is_removed() {
    let requests = JoinRequests::default();
    let four = members(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)], &[]);
    assert_eq!(
        next_change(&requests, &four, &["c"]),
        Some(MemberChange::Remove("c".into()))
    );
    assert_eq!(next_change(&requests, &four, &[]), None);
}

/// Guards against a leader that removes itself.
#[test]
fn leader_does_not_remove_itself() {
    let requests = JoinRequests::default();
    let four = members(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)], &[]);
    assert_eq!(next_change(&requests, &four, &["a"]), None);
}

/// Guards against member changes for hosts that no longer send join requests.
#[test]
fn requests_that_are_not_repeated_expire() {
    let mut requests = JoinRequests::default();
    record(&mut requests, "d", 4);
    requests.expire(Instant::now() + Duration::from_secs(3));
    assert_eq!(next_change(&requests, &members(&THREE, &[]), &[]), None);
}

/// Guards against a voter that has ended and still counts, because it asked to leave and stayed. A
/// voter that the group needs stays, and so does the successor of a member that asked.
#[test]
fn a_leaving_voter_is_removed_while_enough_others_vote() {
    let mut requests = JoinRequests::default();
    record_request(&mut requests, "c", 3, true);
    assert_eq!(next_change(&requests, &members(&THREE, &[]), &[]), None);
    let four = members(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)], &[]);
    let removed = Some(MemberChange::Remove("c".into()));
    assert_eq!(next_change(&requests, &four, &[]), removed);
    assert_eq!(next_change_tolerating(2, &requests, &four, &[]), None);
    let without = members(&[("a", 1), ("b", 2), ("d", 4)], &[("c", 3)]);
    assert_eq!(next_change(&requests, &without, &[]), None);
    // The process has started again before its request to leave has expired.
    record(&mut requests, "c", 3);
    assert_eq!(next_change(&requests, &four, &[]), None);
}

/// Guards against a silent voter that stays because a learner does not catch up and its promotion is
/// proposed again and again.
#[test]
fn a_learner_does_not_hold_up_the_removal_of_a_silent_voter() {
    let mut requests = JoinRequests::default();
    record(&mut requests, "e", 5);
    let four = [("a", 1), ("b", 2), ("c", 3), ("d", 4)];
    let members = members(&four, &[("e", 5)]);
    let silence = |name: &Name| Duration::from_secs(u64::from(name.as_str() == "c"));
    let changes = requests.changes(&Name::from("a"), &members, 1, silence);
    let expected = [
        MemberChange::Remove("c".into()),
        MemberChange::Promote("e".into()),
    ];
    assert_eq!(changes, expected);
}
