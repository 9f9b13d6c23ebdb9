//! Simulates groups with network and disk faults. Every step checks that logs match, that a term
//! has at most one leader, that a committed entry is on a majority of disks and never changes, and
//! that at most one member holds a lease.

mod member;
mod network;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::network::Faults;
use crate::network::Network;

/// A seed of the simulation. It does not shrink, since a smaller seed gives no simpler run.
#[derive(Clone, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn check(tests: u64, run: fn(Seed) -> bool) {
    let seeds = Gen::from_size_and_seed(100, 0x5eed);
    QuickCheck::new().rng(seeds).tests(tests).quickcheck(run);
}

const NETWORK_FAULTS: Faults = Faults {
    drop: 30,
    duplicate: 30,
    delay: 10,
    crash: 0,
    pause: 1,
    partition: 1,
    wipe: 0,
    member_changes: 0,
    transfer: 1,
    compact: 20,
};

/// Stops all faults and checks that the group commits again and that every member catches up to
/// within 200 entries.
fn check_recovery(mut network: Network) -> bool {
    network.heal();
    network.run(8000);
    let leader = network
        .leader()
        .expect("no leader after the faults stopped");
    let node = network.members[leader]
        .node
        .as_ref()
        .expect("the leader is not running");
    let (commit, members) = (node.commit(), node.members());
    assert!(
        commit > network.committed / 2 && commit > 1,
        "nothing was committed"
    );
    for member in &network.members {
        let known = members.get(&member.name).map(|p| p.identity);
        if known == Some(member.identity) {
            let behind = commit.saturating_sub(member.applied.0);
            assert!(behind < 200, "{} is {behind} entries behind", member.name);
        }
    }
    true
}

#[test]
fn three_members_agree_on_a_faulty_network() {
    check(40, |seed| {
        let mut network = Network::new(3, 3, seed.0, NETWORK_FAULTS);
        network.run(10_000);
        let applied = |(index, term): (&u64, &u64)| match network.terms.get(index) {
            Some(applied) => assert_eq!(applied, term, "held entry {index} was lost"),
            None => assert!(*index > network.committed, "held entry {index} is missing"),
        };
        // No member crashes here, so the entries that a leader reported as held must not be lost.
        network.held.iter().for_each(applied);
        check_recovery(network)
    });
}

#[test]
fn no_committed_entry_is_lost_in_crashes() {
    let run = |seed: Seed| {
        let faults = Faults {
            crash: 5,
            ..NETWORK_FAULTS
        };
        let mut network = Network::new(3, 3, seed.0, faults);
        network.run(20_000);
        check_recovery(network)
    };
    check(60, run);
}

#[test]
fn member_changes_never_form_two_majorities() {
    check(60, |seed| {
        let faults = Faults {
            crash: 2,
            member_changes: 10,
            ..NETWORK_FAULTS
        };
        let mut network = Network::new(5, 3, seed.0, faults);
        network.run(20_000);
        check_recovery(network)
    });
}

#[test]
fn a_wiped_member_never_votes_under_its_old_identity() {
    check(60, |seed| {
        let faults = Faults {
            crash: 2,
            wipe: 1,
            member_changes: 5,
            ..NETWORK_FAULTS
        };
        let mut network = Network::new(5, 3, seed.0, faults);
        // The group may lose its majority when several members are wiped, so only safety is checked.
        network.run(15_000);
        true
    });
}
