//! Replays of load at its worst.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use sassafras_dispatch::Outcome;

use crate::world::World;

/// A job of the replayed load.
struct Arrival {
    at: u64,
    entry: usize,
    tasks: u32,
    ms: u64,
    declared: u64,
}

/// Draws arrivals for `millis`: small, middle and large jobs with declared times that are off by up
/// to 40 %, at `rate` jobs a second.
fn arrivals(seed: u64, millis: u64, rate: impl Fn(u64) -> f64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for at in 0..millis {
        if !rng.random_bool(rate(at) / 1_000.0) {
            continue;
        }
        let (tasks, mean) = match rng.random_range(0..100) {
            0..24 => (8, 60.0),
            24..28 => (4, 900.0),
            _ => (2, 200.0),
        };
        let ms = mean * rng.random_range(0.6..1.4);
        arrivals.push(Arrival {
            at,
            entry: rng.random_range(0..4),
            tasks,
            ms: ms as u64,
            declared: (ms * rng.random_range(0.7..1.4)) as u64,
        });
    }
    arrivals
}

/// Replays arrivals and returns the shares that were answered within the objective and refused.
fn replay(world: &mut World, arrivals: &[Arrival]) -> (f64, f64) {
    let mut objectives = Vec::new();
    let mut at = 0;
    for (job, arrival) in arrivals.iter().enumerate() {
        world.run(Duration::from_millis(arrival.at - at));
        at = arrival.at;
        world.submit(
            arrival.entry,
            job as u64,
            arrival.tasks,
            arrival.ms,
            arrival.declared,
        );
        objectives.push(world.now + Duration::from_millis(arrival.ms * 16 / 10 + 60));
    }
    world.run(Duration::from_secs(5));
    let (mut good, mut refused) = (0, 0);
    for (job, objective) in objectives.iter().enumerate() {
        match world.answers.get(&(job as u64)) {
            Some((at, Outcome::Completed)) if at <= objective => good += 1,
            Some((_, Outcome::Refused(_))) => refused += 1,
            _ => {}
        }
    }
    let all = arrivals.len() as f64;
    (f64::from(good) / all, f64::from(refused) / all)
}

const FLEET: [f64; 8] = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0, 1.0];

/// Guards against refusing jobs while much of the fleet's room is free: a load that the fleet
/// carries easily is served almost whole, also after some endpoints were slow for a while.
#[test]
fn free_room_is_used_after_endpoints_were_slow() {
    let mut world = World::new(20, 4, &FLEET);
    let slow = arrivals(20, 4_000, |_| 60.0);
    for endpoint in &mut world.endpoints[..3] {
        endpoint.slowness *= 7.0;
    }
    replay(&mut world, &slow);
    for endpoint in &mut world.endpoints[..3] {
        endpoint.slowness /= 7.0;
    }
    world.answers.clear();
    let mut later = arrivals(21, 6_000, |_| 90.0);
    for arrival in &mut later {
        arrival.entry = (arrival.entry + 1) % 4;
    }
    let (good, refused) = replay(&mut world, &later);
    assert!(refused <= 0.02, "{refused:.3} refused");
    assert!(good >= 0.95, "{good:.3} in time");
}

/// Guards against a burst that ruins the jobs before and after it: what is admitted is mostly
/// served in time, and the rest is refused.
#[test]
fn burst_is_refused_rather_than_served_late() {
    let mut world = World::new(22, 4, &FLEET);
    let burst = |at| {
        if (2_000..5_000).contains(&at) {
            220.0
        } else {
            70.0
        }
    };
    let load = arrivals(22, 8_000, burst);
    let (good, refused) = replay(&mut world, &load);
    let late = 1.0 - good - refused;
    assert!(good >= 0.6, "{good:.3} in time, {refused:.3} refused");
    assert!(late <= 0.15, "{late:.3} late or failed");
}

/// Guards against a fleet that loses most of its throughput when one order in ten gets no answer:
/// at half load most jobs are still served in time.
#[test]
fn unanswered_orders_cost_little_throughput() {
    let mut world = World::new(24, 4, &FLEET);
    for endpoint in &mut world.endpoints {
        endpoint.unanswered = 0.1;
    }
    let load = arrivals(24, 6_000, |_| 60.0);
    let (good, refused) = replay(&mut world, &load);
    assert!(good >= 0.8, "{good:.3} in time, {refused:.3} refused");
}
