//! Tests of the choice of watched agents.

use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use sassafras_dispatch::watch::SetSize;
use sassafras_dispatch::watch::Usage;
use sassafras_dispatch::watch::choose;
use sassafras_dispatch::watch::wanted_size;
use sassafras_util::FastMap;
use sassafras_util::Name;

/// Returns `per_zone` agents in each of five availability zones.
fn fleet(per_zone: usize) -> Vec<(Name, Name)> {
    let agent = |i: usize| {
        let zone = i % 5;
        let name = Name::from(format!("agent-{zone}-{i}"));
        (name, Name::from(format!("zone-{zone}")))
    };
    (0..5 * per_zone).map(agent).collect()
}

fn chosen(entry: usize, agents: &[(Name, Name)], size: usize) -> Vec<Name> {
    let entry = Name::from(format!("entry-{entry}"));
    let agents = agents.iter().map(|(name, zone)| (name, zone));
    choose(&entry, agents, size)
}

/// Guards against agents that all entries watch and agents that none watches: 60 entries with 32
/// of 240 agents each watch every agent 8 times on average.
#[test]
fn sets_of_many_entries_cover_the_fleet() {
    let agents = fleet(48);
    let mut watchers = FastMap::<Name, u32>::default();
    for entry in 0..60 {
        for agent in chosen(entry, &agents, 32) {
            *watchers.entry(agent).or_default() += 1;
        }
    }
    assert_eq!(watchers.len(), 240);
    let (least, most) = (watchers.values().min(), watchers.values().max());
    assert!(
        least >= Some(&1) && most <= Some(&20),
        "{least:?} to {most:?}"
    );
}

/// Guards against sets that lose most of their agents with one availability zone.
#[test]
fn sets_come_from_all_zones_alike() {
    let agents = fleet(48);
    let zone = |agent: &Name| agents.iter().find(|(a, _)| a == agent).unwrap().1.clone();
    for entry in 0..60 {
        let mut by_zone = FastMap::<Name, usize>::default();
        for agent in chosen(entry, &agents, 32) {
            *by_zone.entry(zone(&agent)).or_default() += 1;
        }
        assert_eq!(by_zone.len(), 5);
        assert!(by_zone.values().all(|n| (6..=7).contains(n)), "{by_zone:?}");
    }
}

quickcheck! {
    /// Guards against sets that change as a whole when one agent comes or goes.
    fn one_agent_changes_one_place(entry: usize, removed: usize, size: usize) -> bool {
        let agents = fleet(20);
        let size = size % 100;
        let mut fewer = agents.clone();
        fewer.remove(removed % agents.len());
        let before = chosen(entry, &agents, size);
        let after = chosen(entry, &fewer, size);
        let new = after.iter().filter(|a| !before.contains(a)).count();
        // Zones take turns, so a zone that lost an agent may also give up its turn to another.
        before.len() == size && after.len() == size && new <= 2
    }

    /// Guards against growing a set by other agents than those after its last.
    fn a_larger_set_contains_the_smaller(entry: usize, size: usize) -> bool {
        let agents = fleet(20);
        let size = size % 90;
        let small = chosen(entry, &agents, size);
        let large = chosen(entry, &agents, size + 10);
        small.iter().all(|a| large.contains(a))
    }
}

/// Guards against a set that stays small while the callers of one entry use up its endpoints, and
/// against one that costs a small entry most of its processor.
#[test]
fn size_follows_usage_within_the_processor_share() {
    let usage = |used| Usage {
        accepting: 32,
        capacity: 32 * 16_000,
        used,
    };
    assert_eq!(wanted_size(usage(10_000), 0.6), 32);
    // 200 cores in use, at most an eighth of the set's capacity.
    assert_eq!(wanted_size(usage(200_000), 0.6), 100);
    let small = wanted_size(usage(200_000), 0.09);
    assert!((32..=80).contains(&small), "{small}");
    assert_eq!(wanted_size(Usage::default(), 0.6), 32);
}

/// Guards against a set that grows late or shrinks during short pauses of the load.
#[test]
fn size_grows_at_once_and_shrinks_after_a_delay() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut size = SetSize::new(start);
    assert_eq!(size.update(at(1), 80), 80);
    assert_eq!(size.update(at(3), 40), 80);
    assert_eq!(size.update(at(4), 90), 90);
    assert_eq!(size.update(at(8), 40), 90);
    assert_eq!(size.update(at(9), 40), 40);
}
