//! Tests of high load, with generated arrivals.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use sassafras_dispatch::Outcome;

use crate::world::World;

/// A job of the replayed load.
struct Arrival {
    at_ms: u64,
    entry: usize,
    tasks: u32,
    run_ms: u64,
    declared_ms: u64,
}

/// Draws the arrivals of `millis` milliseconds at `rate` jobs per second: small, medium and large
/// jobs with declared times that are off by up to 40 %.
fn arrivals(seed: u64, millis: u64, rate: impl Fn(u64) -> f64) -> Vec<Arrival> {
    arrivals_at(4, seed, millis, rate)
}

fn arrivals_at(entries: usize, seed: u64, millis: u64, rate: impl Fn(u64) -> f64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    // Several draws per millisecond keep the probability of each at most 1.
    let draws = |at| {
        let expected = rate(at) / 1_000.0;
        let draws = expected.ceil();
        (0..draws as u32).map(move |_| (at, expected / draws))
    };
    for (at, probability) in (0..millis).flat_map(draws) {
        if !rng.random_bool(probability) {
            continue;
        }
        let (tasks, mean) = match rng.random_range(0..100) {
            0..24 => (8, 60.0),
            24..28 => (4, 900.0),
            _ => (2, 200.0),
        };
        let ms = mean * rng.random_range(0.6..1.4);
        arrivals.push(Arrival {
            at_ms: at,
            entry: rng.random_range(0..entries),
            tasks,
            run_ms: ms as u64,
            declared_ms: (ms * rng.random_range(0.7..1.4)) as u64,
        });
    }
    arrivals
}

/// Replays arrivals. Returns the share of jobs completed within their objective, and the share
/// refused.
fn replay(world: &mut World, arrivals: &[Arrival]) -> (f64, f64) {
    let mut objectives = Vec::new();
    let mut at = 0;
    for (job, arrival) in arrivals.iter().enumerate() {
        world.run(Duration::from_millis(arrival.at_ms - at));
        at = arrival.at_ms;
        world.submit(
            arrival.entry,
            job as u64,
            arrival.tasks,
            arrival.run_ms,
            arrival.declared_ms,
        );
        objectives.push(world.now + Duration::from_millis(arrival.run_ms * 16 / 10 + 60));
    }
    world.run(Duration::from_secs(5));
    let (mut on_time, mut refused) = (0, 0);
    for (job, objective) in objectives.iter().enumerate() {
        match world.outcomes.get(&(job as u64)) {
            Some((at, Outcome::Completed)) if at <= objective => on_time += 1,
            Some((_, Outcome::Refused(_))) => refused += 1,
            _ => {}
        }
    }
    let all = arrivals.len() as f64;
    (f64::from(on_time) / all, f64::from(refused) / all)
}

/// Guards against views of a large fleet that use up the processor of a small entry: they may take
/// a fifth of it, at 20 us per view.
#[test]
fn views_sent_to_a_small_entry_are_limited() {
    let fleet = [1.0; 60];
    let mut world = World::with_entry_cores(30, &[0.5, 0.5, 0.5, 0.1], &fleet);
    let mut load = arrivals(30, 3_000, |_| 600.0);
    for arrival in &mut load {
        arrival.entry %= 3;
    }
    let before = world.entries[3].received;
    replay(&mut world, &load);
    let per_second = (world.entries[3].received - before) / 8;
    assert!(per_second <= 1_000, "{per_second} views a second");
}

const FLEET: [f64; 8] = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0, 1.0];

/// Guards against refusing jobs while much of the fleet's capacity is free: a load well below it is
/// served almost entirely, also after some endpoints were slow for a while.
#[test]
fn free_capacity_is_used_after_endpoints_were_slow() {
    let mut world = World::new(20, 4, &FLEET);
    let slow = arrivals(20, 4_000, |_| 60.0);
    for endpoint in &mut world.endpoints[..3] {
        endpoint.run_factor *= 7.0;
    }
    replay(&mut world, &slow);
    for endpoint in &mut world.endpoints[..3] {
        endpoint.run_factor /= 7.0;
    }
    world.outcomes.clear();
    let mut later = arrivals(21, 6_000, |_| 90.0);
    for arrival in &mut later {
        arrival.entry = (arrival.entry + 1) % 4;
    }
    let (on_time, refused) = replay(&mut world, &later);
    assert!(refused <= 0.02, "{refused:.3} refused");
    assert!(on_time >= 0.95, "{on_time:.3} in time");
}

/// Guards against a burst that delays the jobs before and after it: most admitted jobs are served
/// in time, and the others are refused.
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
    let (on_time, refused) = replay(&mut world, &load);
    let late = 1.0 - on_time - refused;
    assert!(on_time >= 0.6, "{on_time:.3} in time, {refused:.3} refused");
    assert!(late <= 0.15, "{late:.3} late or failed");
}

/// Guards against losing most of the throughput when one command in ten gets no response: at half
/// load most jobs are still served in time.
#[test]
fn unanswered_commands_cost_little_throughput() {
    let mut world = World::new(24, 4, &FLEET);
    for endpoint in &mut world.endpoints {
        endpoint.late_share = 0.1;
    }
    let load = arrivals(24, 6_000, |_| 60.0);
    let (on_time, refused) = replay(&mut world, &load);
    assert!(on_time >= 0.8, "{on_time:.3} in time, {refused:.3} refused");
}

/// Returns the run-time factors of a fleet of `n` endpoints.
fn fleet(n: usize) -> Vec<f64> {
    (0..n).map(|i| [0.625, 1.0, 1.67][i % 3]).collect()
}

/// Replays 80 %, then 90 % of the maximum load of a fleet, and returns the shares as [`replay`].
fn replay_high_load(entry_cores: &[f64], endpoints: usize) -> (f64, f64) {
    let mut world = World::with_entry_cores(40, entry_cores, &fleet(endpoints));
    // A job takes 0.55 s on an endpoint with a factor of one, which runs ten tasks at a time.
    let max_rate = endpoints as f64 / 3.0 * (1.6 + 1.0 + 0.6) * 10.0 / 0.55;
    let rate = |at| {
        if at < 2_000 {
            0.8 * max_rate
        } else {
            0.9 * max_rate
        }
    };
    let load = arrivals_at(entry_cores.len(), 41, 7_000, rate);
    replay(&mut world, &load)
}

/// Guards against entries that send tasks to the same few endpoints at the same moment: near the
/// maximum load of a large fleet, 95 % of the jobs are served in time.
#[test]
fn many_entries_spread_over_a_large_fleet() {
    let mut entry_cores = vec![0.4; 6];
    entry_cores.extend([0.11; 10]);
    let (on_time, refused) = replay_high_load(&entry_cores, 62);
    assert!(
        on_time >= 0.95,
        "{on_time:.3} in time, {refused:.3} refused"
    );
}

/// Guards against entries that send tasks to the same endpoints at the same moment in a small fleet,
/// where a burst has more effect.
#[test]
fn entries_spread_over_a_small_fleet() {
    let (on_time, refused) = replay_high_load(&[0.5, 0.5, 0.5, 0.25, 0.25, 0.25, 0.25], 11);
    assert!(on_time >= 0.9, "{on_time:.3} in time, {refused:.3} refused");
}

/// Guards against pulses and views of all agents of a large fleet at every entry: 5 entries without
/// jobs receive views of the agents that they watch, and rare ones of the others.
#[test]
fn idle_entries_watch_a_part_of_a_large_fleet() {
    let mut world = World::new(42, 5, &fleet(240));
    world.run(Duration::from_secs(2));
    let before: Vec<u32> = world.entries.iter().map(|e| e.received).collect();
    world.run(Duration::from_secs(4));
    for (entry, before) in world.entries.iter().zip(before) {
        // 32 agents every 120 ms and 208 every 2 s are 371 a second.
        let per_second = (entry.received - before) / 4;
        assert!(per_second <= 450, "{per_second} views a second");
    }
}

/// Guards against a job that waits for capacity at watched endpoints, or runs away from its data,
/// because the endpoints near its data are not watched.
#[test]
fn jobs_reach_the_rack_of_their_data_in_a_large_fleet() {
    let mut world = World::new(43, 5, &[1.0; 240]);
    for index in 0..240 {
        world.endpoints[index].announced.labels = vec![format!("r{}", index / 12).into()];
        world.announce(index);
    }
    world.run(Duration::from_secs(3));
    for job in 0..60 {
        let rack = format!("r{}", job % 20);
        world.submit_near((job % 5) as usize, job, 8, 60, 60, Some(&rack));
        world.run(Duration::from_millis(35));
    }
    world.run(Duration::from_millis(200));
    assert_eq!(world.completed(), 60);
    for rack in 0..20 {
        let starts = world.endpoints[rack * 12..][..12].iter().map(|e| e.starts);
        assert_eq!(starts.sum::<u32>(), 24, "rack {rack}");
    }
}

/// Guards against refusing the jobs of an entry with many callers while most of the fleet is free:
/// 95 % of them are served in time though they need more than the smallest set of endpoints has.
#[test]
fn one_busy_entry_uses_more_of_a_large_fleet() {
    let mut world = World::with_entry_cores(44, &[0.5, 0.1], &fleet(240));
    let load = arrivals_at(1, 44, 4_000, |_| 700.0);
    let (on_time, refused) = replay(&mut world, &load);
    assert!(refused <= 0.02, "{refused:.3} refused");
    assert!(on_time >= 0.95, "{on_time:.3} in time");
}
