//! Tests of quotas: entries together never hold more than a quota, whichever messages are lost or
//! late.

use std::time::Duration;
use std::time::Instant;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use sassafras_control::Quota;
use sassafras_control::Shares;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::proto::Share;
use sassafras_wire::proto::ShareDemand;

const LEASE_DURATION: Duration = Duration::from_millis(2_500);
const QUOTA: Quota = Quota {
    slots: 88,
    rate: 400,
};
const ENTRIES: usize = 4;

/// After a pause an entry sends a heartbeat. The heartbeat and its answer may be delayed or lost.
#[derive(Clone, Debug)]
struct Step {
    pause_ms: u64,
    entry: usize,
    wanted: u32,
    request_ms: u64,
    reply_ms: u64,
    lost_request: bool,
    lost_reply: bool,
    new_leader: bool,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            pause_ms: u64::arbitrary(g) % 700,
            entry: usize::arbitrary(g) % ENTRIES,
            wanted: u32::arbitrary(g) % 200,
            request_ms: u64::arbitrary(g) % 900,
            reply_ms: u64::arbitrary(g) % 900,
            lost_request: u8::arbitrary(g).is_multiple_of(8),
            lost_reply: u8::arbitrary(g).is_multiple_of(4),
            new_leader: u8::arbitrary(g).is_multiple_of(16),
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Send(Step),
    Arrive {
        step: Step,
        sent: u64,
        held: u32,
    },
    Answer {
        entry: usize,
        sent: u64,
        share: Share,
    },
    NewLeader,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    sent: u64,
    share: Share,
}

impl Entry {
    fn held(&self, ms: u64) -> (u32, u32) {
        if self.share.slots > 0 && ms < self.sent + LEASE_DURATION.as_millis() as u64 {
            (self.share.slots, self.share.per_second)
        } else {
            (0, 0)
        }
    }
}

fn quotas(quota: Quota) -> FastMap<Name, Quota> {
    std::iter::once((Name::from("demo"), quota)).collect()
}

fn grant(shares: &mut Shares, now: Instant, entry: usize, held: u32, wanted: u32) -> Share {
    let team = "demo".to_owned();
    let demand = [ShareDemand { team, held, wanted }];
    let entry = Name::from(format!("e{entry}#1"));
    shares.grant(now, &entry, &demand, &quotas(QUOTA)).remove(0)
}

fn schedule(steps: Vec<Step>) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    let mut ms = 0;
    for step in steps {
        ms += step.pause_ms;
        if step.new_leader {
            events.push((ms, Event::NewLeader));
        }
        events.push((ms, Event::Send(step)));
    }
    events
}

/// Guards against a quota that is exceeded after lost or late answers, silent entries or a change
/// of leader.
#[test]
fn shares_never_exceed_the_quota() {
    fn property(steps: Vec<Step>) -> bool {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut events = schedule(steps);
        let mut shares = Shares::new(start, LEASE_DURATION);
        let mut entries = vec![Entry::default(); ENTRIES];
        while !events.is_empty() {
            let next = (0..events.len()).min_by_key(|i| events[*i].0).unwrap();
            let (ms, event) = events.remove(next);
            match event {
                Event::NewLeader => shares = Shares::new(at(ms), LEASE_DURATION),
                Event::Send(step) if !step.lost_request => {
                    let held = entries[step.entry].held(ms).0;
                    let arrival = ms + step.request_ms;
                    events.push((
                        arrival,
                        Event::Arrive {
                            step,
                            sent: ms,
                            held,
                        },
                    ));
                }
                Event::Arrive { step, sent, held } => {
                    let share = grant(&mut shares, at(ms), step.entry, held, step.wanted);
                    let entry = step.entry;
                    if !step.lost_reply {
                        let answer = Event::Answer { entry, sent, share };
                        events.push((ms + step.reply_ms, answer));
                    }
                }
                // An entry ignores answers to heartbeats older than the last answered one.
                Event::Answer { entry, sent, share } if sent >= entries[entry].sent => {
                    entries[entry] = Entry { sent, share };
                }
                Event::Send(_) | Event::Answer { .. } => {}
            }
            let held = entries.iter().map(|e| e.held(ms));
            let sum = held.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
            if sum.0 > QUOTA.slots || sum.1 > QUOTA.rate {
                return false;
            }
        }
        true
    }
    let rng = Gen::from_size_and_seed(150, 11);
    QuickCheck::new()
        .rng(rng)
        .tests(1_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a quota that stays granted to idle or silent entries while another has work.
#[test]
fn shares_follow_demand_and_return_from_silent_entries() {
    let mut now = Instant::now();
    let mut shares = Shares::new(now, LEASE_DURATION);
    now += LEASE_DURATION;
    let first: Vec<u32> = (0..3)
        .map(|e| grant(&mut shares, now, e, 0, 0).slots)
        .collect();
    assert_eq!(first[0], QUOTA.slots, "no other entry is known yet");
    for _ in 0..4 {
        now += LEASE_DURATION / 2;
        for entry in 0..3 {
            grant(&mut shares, now, entry, 0, 0);
        }
    }
    let idle: Vec<u32> = (0..3)
        .map(|e| grant(&mut shares, now, e, 0, 0).slots)
        .collect();
    assert!(idle.iter().all(|s| *s >= QUOTA.slots / 4), "{idle:?}");
    for _ in 0..4 {
        now += LEASE_DURATION / 2;
        for entry in 0..3 {
            grant(&mut shares, now, entry, 0, if entry == 0 { 88 } else { 0 });
        }
    }
    assert!(grant(&mut shares, now, 0, 0, 88).slots >= QUOTA.slots * 3 / 4);
    now += LEASE_DURATION;
    assert_eq!(grant(&mut shares, now, 2, 0, 88).slots, QUOTA.slots);
}

/// Guards against a new leader that grants shares which entries still hold from the old one.
#[test]
fn a_new_leader_only_renews_for_one_lease() {
    let now = Instant::now();
    let mut shares = Shares::new(now, LEASE_DURATION);
    assert_eq!(grant(&mut shares, now, 0, 20, 88).slots, 20);
    assert_eq!(grant(&mut shares, now, 1, 0, 88).slots, 0);
    assert_eq!(
        grant(&mut shares, now + LEASE_DURATION, 1, 0, 88).slots,
        QUOTA.slots
    );
}

/// Guards against entries that exceed a lowered quota for longer than one lease.
#[test]
fn a_lowered_quota_holds_after_one_lease() {
    let mut now = Instant::now();
    let mut shares = Shares::new(now, LEASE_DURATION);
    now += LEASE_DURATION;
    for entry in 0..3 {
        grant(&mut shares, now, entry, 0, 50);
    }
    let lowered = Quota {
        slots: 10,
        rate: 20,
    };
    for _ in 0..6 {
        now += LEASE_DURATION / 4;
        for entry in ["e0#1", "e1#1", "e2#1"] {
            shares.grant(now, &Name::from(entry), &[], &quotas(lowered));
        }
    }
    let charged = shares.charged(now, "demo");
    assert!(charged.slots <= 10 && charged.rate <= 20, "{charged:?}");
}
