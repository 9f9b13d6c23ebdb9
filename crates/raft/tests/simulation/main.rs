//! Runs groups on a faulty network and disk. Every step checks that logs match, that a term
//! has one leader, that a committed entry is on a majority of disks and never changes, and
//! that at most one member holds a lease.

mod member;
mod network;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::network::Faults;
use crate::network::Network;

/// A seed; a smaller one would be no simpler, so it does not shrink.
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

const NETWORK: Faults = Faults {
    drop: 30,
    duplicate: 30,
    delay: 10,
    crash: 0,
    pause: 1,
    partition: 1,
    wipe: 0,
    members: 0,
    transfer: 1,
    compact: 20,
};

/// Ends all faults and checks that the group commits again and every member catches up.
fn recovers(mut network: Network) -> bool {
    network.heal();
    network.run(8000);
    let leader = network.leader().expect("a leader after the faults");
    let node = network.members[leader]
        .node
        .as_ref()
        .expect("a running leader");
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
        let mut network = Network::new(3, 3, seed.0, NETWORK);
        network.run(10_000);
        let applied = |(index, term): (&u64, &u64)| match network.terms.get(index) {
            Some(applied) => assert_eq!(applied, term, "held entry {index} was lost"),
            None => assert!(*index > network.committed, "held entry {index} is missing"),
        };
        // No member loses its memory here, so whatever a leader reported as held must stay.
        network.held.iter().for_each(applied);
        recovers(network)
    });
}

#[test]
fn no_committed_entry_is_lost_in_crashes() {
    let run = |seed: Seed| {
        let faults = Faults {
            crash: 5,
            ..NETWORK
        };
        let mut network = Network::new(3, 3, seed.0, faults);
        network.run(20_000);
        recovers(network)
    };
    check(60, run);
}

#[test]
fn members_come_and_go_without_two_majorities() {
    check(60, |seed| {
        let faults = Faults {
            crash: 2,
            members: 10,
            ..NETWORK
        };
        let mut network = Network::new(5, 3, seed.0, faults);
        network.run(20_000);
        recovers(network)
    });
}

#[test]
fn a_wiped_member_never_votes_as_the_old_one() {
    check(60, |seed| {
        let faults = Faults {
            crash: 2,
            wipe: 1,
            members: 5,
            ..NETWORK
        };
        let mut network = Network::new(5, 3, seed.0, faults);
        // Enough wipes can leave the group without a majority, so only safety is checked.
        network.run(15_000);
        true
    });
}
