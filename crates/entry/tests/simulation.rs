//! Checks that no task starts twice and that no response is partial or wrong: simulates two
//! entries, four agents with the real agent engine and a scripted control group, while links,
//! replies, agents and entries are lost.

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

/// Seed of a simulation. It does not shrink, since a smaller seed is not a simpler simulation.
#[derive(Clone, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

/// Checks a property for [`TESTS`] seeds derived from [`SEED`].
fn check_seeds(property: fn(Seed) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(TESTS)
        .quickcheck(property);
}

/// Runs one simulation, and checks every guarantee and that every caller got a response.
fn check_guarantees(seed: u64, faults: Faults) -> bool {
    let mut world = World::new(seed, faults);
    world.run();
    world.assert_safe();
    world.assert_all_ended();
    true
}

/// Without faults, every job completes; no task starts twice and no result is lost.
#[test]
fn without_faults_every_job_completes() {
    fn property(Seed(seed): Seed) -> bool {
        let mut world = World::new(seed, Faults::none());
        world.run();
        world.assert_safe();
        world.assert_all_complete();
        true
    }
    check_seeds(property);
}

/// A lost link must not lead to a second start, a partial response or a job without outcome.
#[test]
fn lost_links_start_no_task_twice() {
    fn property(Seed(seed): Seed) -> bool {
        let faults = Faults {
            links: 20,
            ..Faults::none()
        };
        check_guarantees(seed, faults)
    }
    check_seeds(property);
}

/// A lost control request or reply must not lead to a second start or a wrong response.
#[test]
fn lost_control_messages_start_no_task_twice() {
    fn property(Seed(seed): Seed) -> bool {
        let faults = Faults {
            control_loss: 0.1,
            ..Faults::none()
        };
        check_guarantees(seed, faults)
    }
    check_seeds(property);
}

/// After a takeover from a dead or paused entry, the new owner must not start a task again.
#[test]
fn takeover_starts_no_task_twice() {
    fn property(Seed(seed): Seed) -> bool {
        let faults = Faults {
            entries: 4,
            pauses: 4,
            ..Faults::none()
        };
        check_guarantees(seed, faults)
    }
    check_seeds(property);
}

/// The guarantees hold under a mix of faults.
#[test]
fn mixed_faults_start_no_task_twice() {
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
        check_guarantees(seed, faults)
    }
    check_seeds(property);
}

/// The guarantees hold when tasks queue at the agents, as with the baseline placements.
#[test]
fn tasks_queued_at_agents_start_no_task_twice() {
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
        check_guarantees(seed, faults)
    }
    check_seeds(property);
}
