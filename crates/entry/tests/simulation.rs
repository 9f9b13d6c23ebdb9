//! Guards against double starts, partial answers and wrong refusals: two entries, four agents
//! with the real agent engine and a scripted control group, under losses of links, replies,
//! agents and entries.

mod simulation {
    pub mod checks;
    pub mod control;
    pub mod faults;
    pub mod world;
}

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::simulation::world::Faults;
use crate::simulation::world::World;

const TESTS: u64 = 60;
const SEED: u64 = 0x5a55_afa5;

/// A seed of the world. It does not shrink, since a smaller seed is not a simpler world.
#[derive(Clone, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

/// Runs the property for fixed seeds.
fn check(property: fn(Seed) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(TESTS)
        .quickcheck(property);
}

/// Runs one simulation and checks every guarantee, and that every caller was answered.
fn holds_under(seed: u64, faults: Faults) -> bool {
    let mut world = World::new(seed, faults);
    world.run();
    world.assert_safe();
    world.assert_all_answered();
    true
}

/// Fails when a job does not complete although nothing goes wrong, or when a task starts
/// twice or a result gets lost on the way.
#[test]
fn without_faults_every_job_completes() {
    fn property(Seed(seed): Seed) -> bool {
        let mut world = World::new(seed, Faults::none());
        world.run();
        world.assert_safe();
        world.assert_all_complete();
        true
    }
    check(property);
}

/// Fails when a lost link leads to a second start, a partial answer or a stuck job.
#[test]
fn lost_links_start_nothing_twice() {
    fn property(Seed(seed): Seed) -> bool {
        let faults = Faults {
            links: 20,
            ..Faults::none()
        };
        holds_under(seed, faults)
    }
    check(property);
}

/// Fails when a lost request or reply of control leads to a second start or a wrong answer.
#[test]
fn lost_control_messages_start_nothing_twice() {
    fn property(Seed(seed): Seed) -> bool {
        let faults = Faults {
            control_loss: 0.1,
            ..Faults::none()
        };
        holds_under(seed, faults)
    }
    check(property);
}

/// Fails when the next owner of a dead or paused entry's jobs starts a task again.
#[test]
fn takeover_starts_nothing_twice() {
    fn property(Seed(seed): Seed) -> bool {
        let faults = Faults {
            entries: 4,
            pauses: 4,
            ..Faults::none()
        };
        holds_under(seed, faults)
    }
    check(property);
}

/// Fails when any mix of faults breaks a guarantee.
#[test]
fn mixed_faults_start_nothing_twice() {
    fn property(Seed(seed): Seed) -> bool {
        let faults = Faults {
            links: 10,
            control_loss: 0.05,
            entries: 3,
            pauses: 3,
            agents: 3,
            duplicates: 0.05,
            cancels: 5,
            ..Faults::none()
        };
        holds_under(seed, faults)
    }
    check(property);
}

/// Fails when tasks that queue at the agents, as with the baselines, break a guarantee.
#[test]
fn tasks_queued_at_agents_start_nothing_twice() {
    fn property(Seed(seed): Seed) -> bool {
        let placements = ["random", "round_robin", "least_in_flight"];
        let faults = Faults {
            links: 10,
            control_loss: 0.05,
            entries: 3,
            pauses: 3,
            agents: 3,
            placement: placements[(seed % 3) as usize],
            ..Faults::none()
        };
        holds_under(seed, faults)
    }
    check(property);
}
