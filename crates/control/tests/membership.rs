//! Guards the member set: who is added, promoted and removed without an operator.

use std::time::Duration;
use std::time::Instant;

use sassafras_control::Joiners;
use sassafras_raft::MemberChange;
use sassafras_raft::Members;
use sassafras_raft::Peer;
use sassafras_util::Name;

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

fn ask(joiners: &mut Joiners, name: &str, identity: u64) {
    let address = format!("{name}:7000");
    joiners.ask(Instant::now(), Name::from(name), &address, identity);
}

fn next(joiners: &Joiners, members: &Members, silent: &[&str]) -> Option<MemberChange> {
    next_tolerating(1, joiners, members, silent)
}

fn next_tolerating(
    losses: usize,
    joiners: &Joiners,
    members: &Members,
    silent: &[&str],
) -> Option<MemberChange> {
    let silence = |name: &Name| {
        let silent = silent.contains(&name.as_str());
        Duration::from_secs(if silent { 6 } else { 0 })
    };
    joiners.next_change(&Name::from("a"), members, losses, silence)
}

const THREE: [(&str, u64); 3] = [("a", 1), ("b", 2), ("c", 3)];

/// Guards against a host that lost its disk and is counted on with what it acknowledged before.
#[test]
fn member_with_another_disk_is_removed_then_added() {
    let mut joiners = Joiners::default();
    ask(&mut joiners, "b", 9);
    let all = members(&THREE, &[]);
    assert_eq!(
        next(&joiners, &all, &[]),
        Some(MemberChange::Remove("b".into()))
    );
    let without = members(&[("a", 1), ("c", 3)], &[]);
    assert_eq!(
        next(&joiners, &without, &[]),
        Some(MemberChange::AddLearner(peer("b", 9)))
    );
    let learning = members(&[("a", 1), ("c", 3)], &[("b", 9)]);
    assert_eq!(
        next(&joiners, &learning, &[]),
        Some(MemberChange::Promote("b".into()))
    );
    let done = members(&[("a", 1), ("c", 3), ("b", 9)], &[]);
    assert_eq!(next(&joiners, &done, &[]), None);
}

/// Guards against a group that shrinks below three voters because hosts are down for a while.
#[test]
fn silent_voters_stay_while_there_are_only_three() {
    let joiners = Joiners::default();
    assert_eq!(next(&joiners, &members(&THREE, &[]), &["b", "c"]), None);
}

/// Guards against a group that shrinks so far that the loss of two hosts, which it has to bear,
/// leaves no majority.
#[test]
fn voters_stay_as_many_as_the_tolerated_losses_need() {
    let joiners = Joiners::default();
    let five = [("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5)];
    let six = members(&[&five[..], &[("f", 6)]].concat(), &[]);
    let remove = |name: &str| Some(MemberChange::Remove(name.into()));
    assert_eq!(next_tolerating(2, &joiners, &six, &["b", "c"]), remove("b"));
    let five = members(&five, &[]);
    assert_eq!(next_tolerating(2, &joiners, &five, &["b", "c"]), None);
    assert_eq!(next(&joiners, &five, &["b", "c"]), remove("b"));
    let three = members(&THREE, &[]);
    assert_eq!(next_tolerating(0, &joiners, &three, &["b", "c"]), None);
}

/// Guards against a group that never gets rid of a host that was replaced by another one.
#[test]
fn replaced_voter_is_removed() {
    let joiners = Joiners::default();
    let four = members(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)], &[]);
    assert_eq!(
        next(&joiners, &four, &["c"]),
        Some(MemberChange::Remove("c".into()))
    );
    assert_eq!(next(&joiners, &four, &[]), None);
}

/// Guards against a leader that removes itself.
#[test]
fn leader_does_not_remove_itself() {
    let joiners = Joiners::default();
    let four = members(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)], &[]);
    assert_eq!(next(&joiners, &four, &["a"]), None);
}

/// Guards against changes for hosts that no longer ask.
#[test]
fn requests_that_are_not_repeated_are_forgotten() {
    let mut joiners = Joiners::default();
    ask(&mut joiners, "d", 4);
    joiners.forget(Instant::now() + Duration::from_secs(3));
    assert_eq!(next(&joiners, &members(&THREE, &[]), &[]), None);
}
