//! Property tests of the replicated state with arbitrary command sequences.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes the arguments of a property by value"
)]

use std::collections::HashMap;
use std::collections::HashSet;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use sassafras_state::Reply;
use sassafras_state::State;
use sassafras_util::Digest;
use sassafras_wire::proto;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Outcome;
use sassafras_wire::proto::claim_reply;
use sassafras_wire::proto::command::Body;
use sassafras_wire::proto::config_reply;

const STEP_MS: u64 = 10;

#[derive(Clone, Debug)]
struct Step(Body);

fn node(name: u8, incarnation: u64) -> proto::NodeRef {
    let name = format!("n{name}");
    proto::NodeRef { name, incarnation }
}

fn key(g: &mut Gen) -> proto::JobKey {
    let job = format!("j{}", below(g, 3));
    let team = "t".to_owned();
    proto::JobKey { team, job }
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(match below(g, 6) {
            0 => Body::Claim(proto::Claim {
                key: Some(key(g)),
                digest: Digest::of(&[below(g, 8).min(1) as u8])
                    .as_bytes()
                    .to_vec()
                    .into(),
                owner: Some(node(below(g, 3) as u8, 1 + below(g, 3))),
                tasks: 1,
                agents: vec![node(below(g, 5) as u8, 1)],
                takeover: below(g, 30),
                query: false,
            }),
            1 => Body::Extend(proto::Extend {
                key: Some(key(g)),
                epoch: below(g, 30),
                agents: vec![node(below(g, 5) as u8, 1)],
            }),
            2 => Body::Finish(proto::Finish {
                key: Some(key(g)),
                epoch: below(g, 30),
                outcome: 2 + below(g, 3) as i32,
                ..proto::Finish::default()
            }),
            3 => Body::Config(proto::ConfigChange {
                base: below(g, 5),
                request_id: format!("r{}", below(g, 20)),
                operator: format!("o{}", below(g, 2)),
                upserts: vec![proto::ConfigItem {
                    name: format!("i{}", below(g, 3)),
                    text: below(g, 100).to_string(),
                    version: 0,
                }],
                removals: vec![format!("i{}", below(g, 4))],
                ..proto::ConfigChange::default()
            }),
            4 => Body::Node(proto::NodeEvent {
                member: Some(proto::Member {
                    node: Some(node(below(g, 3) as u8, 1 + below(g, 3))),
                    state: 1 + below(g, 5) as i32,
                    ..proto::Member::default()
                }),
                request_id: format!("n{}", below(g, 20)),
                actor: if bool::arbitrary(g) { "ana" } else { "" }.to_owned(),
                ..proto::NodeEvent::default()
            }),
            _ => {
                let before_ms = below(g, 400);
                let compact_ms = before_ms + below(g, 200);
                Body::Expire(proto::Expire {
                    before_ms,
                    compact_ms,
                })
            }
        })
    }
}

fn command(index: u64, body: &Body) -> proto::Command {
    proto::Command {
        control_ms: index * STEP_MS,
        body: Some(body.clone()),
    }
}

/// Creates a state with three nodes, so that claims by their first incarnation are accepted.
fn initial_state() -> State {
    let mut state = State::default();
    for name in 0..3 {
        let member = proto::Member {
            node: Some(node(name, 1)),
            state: NodeState::Active.into(),
            ..proto::Member::default()
        };
        let event = proto::NodeEvent {
            member: Some(member),
            ..proto::NodeEvent::default()
        };
        let index = state.applied() + 1;
        state.apply(index, &command(index, &Body::Node(event)));
    }
    state
}

fn run(state: &mut State, steps: &[Step]) -> Vec<Reply> {
    let mut replies = Vec::new();
    for step in steps {
        let index = state.applied() + 1;
        replies.push(state.apply(index, &command(index, &step.0)));
    }
    replies
}

/// Replaces two thirds of the epochs by the current one, because random epochs rarely match.
fn set_current_epoch(state: &State, step: &mut Step) {
    let (key, epoch) = match &mut step.0 {
        Body::Claim(claim) => (&claim.key, &mut claim.takeover),
        Body::Extend(extend) => (&extend.key, &mut extend.epoch),
        Body::Finish(finish) => (&finish.key, &mut finish.epoch),
        _ => return,
    };
    let key = key.clone().try_into().unwrap();
    if let Some((_, current)) = state.owner(&key)
        && !(*epoch).is_multiple_of(3)
    {
        *epoch = current;
    }
}

fn check(property: fn(Vec<Step>) -> bool) {
    // The seed is fixed so that test runs are reproducible.
    let rng = Gen::from_size_and_seed(120, 7);
    QuickCheck::new()
        .rng(rng)
        .tests(400)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a member that diverges from the others after restoring a snapshot.
#[test]
fn snapshots_restore_the_same_state() {
    fn property(steps: Vec<Step>) -> bool {
        let mut state = initial_state();
        let (before, after) = steps.split_at(steps.len() / 2);
        run(&mut state, before);
        let bytes = state.encode();
        let mut ahead = state.clone();
        let snapshot = ahead.snapshot();
        run(&mut ahead, after);
        // The snapshot must not contain commands that were applied after it was taken.
        if snapshot.encode() != bytes {
            return false;
        }
        let mut restored = State::decode(&bytes).unwrap();
        let same = restored == state && restored.encode() == bytes;
        same && run(&mut restored, after) == run(&mut state, after) && restored == state
    }
    check(property);
}

/// Guards against a version that decreases, and against accepting two changes with the same base.
#[test]
fn versions_increase_and_one_change_per_base_is_accepted() {
    fn property(steps: Vec<Step>) -> bool {
        let mut state = initial_state();
        let (mut seen_requests, mut accepted_bases) = (HashSet::new(), HashSet::new());
        for step in steps {
            let (config, members) = (state.config().version(), state.nodes().version());
            let reply = run(&mut state, std::slice::from_ref(&step)).remove(0);
            if state.config().version() < config || state.nodes().version() < members {
                return false;
            }
            let (Reply::Config(reply), Body::Config(change)) = (reply, step.0) else {
                continue;
            };
            let first = seen_requests.insert((change.operator, change.request_id));
            let accepted = reply.kind() == config_reply::Kind::Accepted;
            let correct = if first {
                let mut advanced = || accepted_bases.insert(change.base) && reply.version > config;
                accepted == (change.base == config) && (!accepted || advanced())
            } else {
                state.config().version() == config
            };
            if !correct {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Guards against deltas that leave a node with a different configuration than control.
#[test]
fn deltas_reproduce_the_current_configuration() {
    fn property(steps: Vec<Step>) -> bool {
        let mut state = initial_state();
        let mut version = 0;
        let mut copy = std::collections::BTreeMap::new();
        for (n, step) in steps.iter().enumerate() {
            run(&mut state, std::slice::from_ref(step));
            if n % 3 != 0 {
                continue;
            }
            if let Some(delta) = state.config().delta(version) {
                for item in delta.upserts {
                    copy.insert(item.name.clone(), item);
                }
                for name in &delta.removals {
                    copy.remove(name);
                }
                version = delta.to;
            }
            if !copy.values().eq(state.config().iter()) {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Guards against treating a resent operator request as a new change.
#[test]
fn resent_requests_return_the_first_reply() {
    fn property(steps: Vec<Step>) -> bool {
        let mut state = initial_state();
        let mut first = HashMap::new();
        for step in steps {
            let Body::Config(change) = &step.0 else {
                run(&mut state, &[step]);
                continue;
            };
            let request = (change.operator.clone(), change.request_id.clone());
            let reply = run(&mut state, std::slice::from_ref(&step)).remove(0);
            if *first.entry(request).or_insert_with(|| reply.clone()) != reply {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Guards against two owners of one job, epochs that do not increase, a claim that loses an
/// agent that may have started a task, and an outcome that changes.
#[test]
fn jobs_have_one_owner_and_one_outcome() {
    #[derive(Clone, Default)]
    struct History {
        epoch: u64,
        owner: Option<proto::NodeRef>,
        agents: Vec<proto::NodeRef>,
        outcome: Option<Outcome>,
        claimed: u64,
    }
    fn check_claim(history: &mut History, claim: &proto::Claim, reply: &proto::ClaimReply) -> bool {
        match reply.kind() {
            claim_reply::Kind::Granted => {
                if reply.claimed_ms != history.claimed {
                    // The earlier claim of this name was deleted after the retention period.
                    let epoch = history.epoch;
                    *history = History {
                        claimed: reply.claimed_ms,
                        ..History::default()
                    };
                    history.epoch = epoch;
                }
                let same = history.owner == claim.owner && history.epoch == reply.epoch;
                let increased = reply.epoch > history.epoch;
                let agents_kept = history.agents.iter().all(|a| reply.agents.contains(a));
                let unfinished = history.outcome.is_none();
                history.epoch = reply.epoch;
                history.owner.clone_from(&claim.owner);
                history.agents.clone_from(&reply.agents);
                (same || increased)
                    && agents_kept
                    && unfinished
                    && claim.agents.iter().all(|a| reply.agents.contains(a))
            }
            claim_reply::Kind::Owned => {
                reply.owner == history.owner && reply.epoch == history.epoch
            }
            claim_reply::Kind::Finished => Some(reply.outcome()) == history.outcome,
            _ => true,
        }
    }
    fn property(steps: Vec<Step>) -> bool {
        let mut state = initial_state();
        let mut jobs = HashMap::<proto::JobKey, History>::new();
        for mut step in steps {
            set_current_epoch(&state, &mut step);
            let predicted = match &step.0 {
                Body::Finish(finish) => Some(state.peek_finish(finish)),
                _ => None,
            };
            let peeked = match &step.0 {
                Body::Claim(claim) => state.peek_claim(claim),
                _ => None,
            };
            let reply = run(&mut state, std::slice::from_ref(&step)).remove(0);
            let correct = match (&step.0, &reply) {
                (Body::Claim(claim), Reply::Claim(reply)) => {
                    let history = jobs.entry(claim.key.clone().unwrap()).or_default();
                    peeked.is_none_or(|p| p == *reply) && check_claim(history, claim, reply)
                }
                (Body::Extend(extend), Reply::Extend(reply)) if reply.accepted => {
                    let history = jobs.entry(extend.key.clone().unwrap()).or_default();
                    let known = history.epoch == extend.epoch;
                    history.agents.extend(extend.agents.iter().cloned());
                    known
                }
                (Body::Finish(finish), Reply::Finish(reply)) => {
                    let history = jobs.entry(finish.key.clone().unwrap()).or_default();
                    let first = history.outcome.is_none_or(|o| o == finish.outcome());
                    if reply.accepted {
                        history.outcome = Some(finish.outcome());
                    }
                    predicted.is_some_and(|p| p == *reply)
                        && (!reply.accepted || (first && history.epoch == finish.epoch))
                }
                _ => true,
            };
            if !correct {
                return false;
            }
        }
        true
    }
    check(property);
}
