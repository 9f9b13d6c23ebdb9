//! Claims of jobs: who owns each job, and how it ended.
//!
//! A claim is kept in full while the job runs and for the result retention after that, and
//! then as a compact record. The epoch of a claim is the log index of the command that gave
//! the job to its owner, so that it grows with every change of owner, also when a name is
//! used again long after its claim was dropped.

use std::collections::VecDeque;

use sassafras_util::Digest;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::ClaimReply;
use sassafras_wire::proto::FinishReply;
use sassafras_wire::proto::Outcome;
use sassafras_wire::proto::claim_reply::Kind;

use crate::nodes::Nodes;
use crate::sharded::Sharded;

/// The first half of the SHA-256 of a job's key; compact records do not keep names.
pub(crate) type KeyHash = [u8; 16];

/// The claim of a job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Claim {
    pub(crate) digest: Digest,
    pub(crate) owner: NodeRef,
    pub(crate) epoch: u64,
    pub(crate) claimed_ms: u64,
    pub(crate) tasks: u32,
    pub(crate) agents: Vec<NodeRef>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct End {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Box<str>,
    pub(crate) never_started: bool,
    pub(crate) finished_ms: u64,
    /// Log index of the end, which orders the ends of jobs.
    pub(crate) index: u64,
}

/// What remains of a finished job after the result retention.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Compact {
    pub(crate) digest: Digest,
    pub(crate) outcome: Outcome,
    pub(crate) never_started: bool,
    pub(crate) epoch: u64,
    pub(crate) claimed_ms: u64,
    pub(crate) finished_ms: u64,
    pub(crate) index: u64,
}

/// All claims.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Claims {
    pub(crate) running: Sharded<JobKey, Claim>,
    pub(crate) finished: Sharded<JobKey, (Claim, End)>,
    pub(crate) compact: Sharded<KeyHash, Compact>,
    /// Keys of `finished` in the order in which the jobs ended.
    pub(crate) ended: VecDeque<JobKey>,
    /// Keys of `compact` in the order in which the jobs ended.
    pub(crate) kept: VecDeque<KeyHash>,
}

/// What a claim leads to.
enum Decision {
    /// An answer, and no change.
    Answer(ClaimReply),
    /// The first claim of a job.
    Insert(JobKey, Claim),
    /// A claim by the present owner that may name further agents.
    Widen(JobKey, Vec<NodeRef>),
    /// A change of owner.
    TakeOver(JobKey, NodeRef, Vec<NodeRef>),
}

impl Claims {
    pub(crate) fn len(&self) -> usize {
        self.running.len() + self.finished.len() + self.compact.len()
    }

    /// Returns a copy for encoding, without the queues: they follow from the rest.
    pub(crate) fn freeze(&self) -> Self {
        Self {
            running: self.running.clone(),
            finished: self.finished.clone(),
            compact: self.compact.clone(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
        }
    }

    /// Rebuilds the queues of a decoded copy.
    pub(crate) fn rebuild_queues(&mut self) {
        let ended = self
            .finished
            .iter()
            .map(|(key, (_, end))| (end.index, key.clone()));
        let mut ended: Vec<(u64, JobKey)> = ended.collect();
        ended.sort_unstable();
        self.ended = ended.into_iter().map(|(_, key)| key).collect();
        let kept = self.compact.iter().map(|(hash, kept)| (kept.index, *hash));
        let mut kept: Vec<(u64, KeyHash)> = kept.collect();
        kept.sort_unstable();
        self.kept = kept.into_iter().map(|(_, hash)| hash).collect();
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn owner(&self, key: &JobKey) -> Option<(&NodeRef, u64)> {
        self.running.get(key).map(|c| (&c.owner, c.epoch))
    }

    /// Returns the answer to a claim that would change nothing.
    pub(crate) fn peek(&self, nodes: &Nodes, claim: &proto::Claim) -> Option<ClaimReply> {
        match self.decide(nodes, claim) {
            Decision::Answer(reply) => Some(reply),
            Decision::Widen(key, agents) => {
                let known = self.running.get(&key)?;
                let widened = agents.iter().any(|a| !known.agents.contains(a));
                (!widened).then(|| known.reply(nodes, Kind::Granted))
            }
            _ => None,
        }
    }

    /// Applies a claim at a log index.
    pub(crate) fn claim(
        &mut self,
        index: u64,
        control_ms: u64,
        nodes: &Nodes,
        claim: &proto::Claim,
    ) -> ClaimReply {
        let (key, agents) = match self.decide(nodes, claim) {
            Decision::Answer(reply) => return reply,
            Decision::Insert(key, mut claim) => {
                claim.epoch = index;
                claim.claimed_ms = control_ms;
                self.running.insert(key.clone(), claim);
                (key, Vec::new())
            }
            Decision::Widen(key, agents) => (key, agents),
            Decision::TakeOver(key, owner, agents) => {
                if let Some(known) = self.running.get_mut(&key) {
                    known.owner = owner;
                    known.epoch = index;
                }
                (key, agents)
            }
        };
        let Some(known) = self.running.get_mut(&key) else {
            return refused("no such claim");
        };
        known.widen(agents);
        known.reply(nodes, Kind::Granted)
    }

    /// Adds agents to the claim of a running job.
    pub(crate) fn extend(&mut self, nodes: &Nodes, extend: &proto::Extend) -> proto::ExtendReply {
        let known = JobKey::try_from(extend.key.clone())
            .ok()
            .and_then(|key| self.running.get_mut(&key));
        let (Some(known), Some(agents)) = (known, node_refs(nodes, &extend.agents)) else {
            return proto::ExtendReply::default();
        };
        let accepted = known.epoch == extend.epoch;
        if accepted {
            known.widen(agents);
        }
        proto::ExtendReply {
            accepted,
            epoch: known.epoch,
        }
    }

    /// Records the end of a job.
    pub(crate) fn finish(
        &mut self,
        index: u64,
        control_ms: u64,
        finish: &proto::Finish,
    ) -> FinishReply {
        let (reply, ends) = self.decide_finish(finish);
        if let Some(key) = ends
            && let Some(claim) = self.running.remove(&key)
        {
            let end = End {
                outcome: finish.outcome(),
                reason: finish.reason.as_str().into(),
                never_started: finish.never_started,
                finished_ms: control_ms,
                index,
            };
            self.ended.push_back(key.clone());
            self.finished.insert(key, (claim, end));
        }
        reply
    }

    /// Returns the answer to the end of a job, and the job's key if it ends thereby.
    pub(crate) fn decide_finish(&self, finish: &proto::Finish) -> (FinishReply, Option<JobKey>) {
        let Ok(key) = JobKey::try_from(finish.key.clone()) else {
            return (FinishReply::default(), None);
        };
        if let Some(claim) = self.running.get(&key) {
            let ended = matches!(
                finish.outcome(),
                Outcome::Complete | Outcome::Failed | Outcome::Cancelled
            );
            let accepted = ended && claim.epoch == finish.epoch;
            let (outcome, reason) = if accepted {
                (finish.outcome(), finish.reason.as_str())
            } else {
                (Outcome::Running, "")
            };
            let reply = finish_reply(accepted, outcome, reason, claim.epoch);
            return (reply, accepted.then_some(key));
        }
        if let Some((claim, end)) = self.finished.get(&key) {
            let resent = claim.epoch == finish.epoch && end.outcome == finish.outcome();
            let reply = finish_reply(resent, end.outcome, &end.reason, claim.epoch);
            return (reply, None);
        }
        let Some(kept) = self.compact.get(&key_hash(&key)) else {
            return (FinishReply::default(), None);
        };
        let resent = kept.epoch == finish.epoch && kept.outcome == finish.outcome();
        (finish_reply(resent, kept.outcome, "", kept.epoch), None)
    }

    /// Shortens and drops claims by age.
    ///
    /// A running claim is dropped as well once it is older than the claim retention: its
    /// owner is gone, nobody asked for the job since, and its agents refuse its tasks.
    pub(crate) fn expire(&mut self, expire: &proto::Expire) {
        while let Some(key) = self.ended.front() {
            let over = |(_, end): &(Claim, End)| end.finished_ms < expire.compact_ms;
            if !self.finished.get(key).is_none_or(over) {
                break;
            }
            let Some(key) = self.ended.pop_front() else {
                break;
            };
            if let Some((claim, end)) = self.finished.remove(&key) {
                let hash = key_hash(&key);
                self.kept.push_back(hash);
                self.compact.insert(hash, Compact::new(&claim, &end));
            }
        }
        while let Some(hash) = self.kept.front() {
            let over = |c: &Compact| c.finished_ms < expire.before_ms;
            if !self.compact.get(hash).is_none_or(over) {
                break;
            }
            if let Some(hash) = self.kept.pop_front() {
                self.compact.remove(&hash);
            }
        }
        let old = |claim: &Claim| claim.claimed_ms < expire.before_ms;
        let old = self.running.iter().filter(|(_, claim)| old(claim));
        let old: Vec<JobKey> = old.map(|(key, _)| key.clone()).collect();
        for key in old {
            self.running.remove(&key);
        }
    }

    fn decide(&self, nodes: &Nodes, claim: &proto::Claim) -> Decision {
        let parsed = JobKey::try_from(claim.key.clone()).ok().zip(
            Digest::try_from(claim.digest.as_ref())
                .ok()
                .zip(node_refs(nodes, &claim.agents)),
        );
        let owner = NodeRef::try_from(claim.owner.clone());
        let (Some((key, (digest, agents))), Ok(owner)) = (parsed, owner) else {
            return Decision::Answer(refused("malformed claim"));
        };
        let owner = nodes.intern(owner);
        if nodes
            .get(&owner.name)
            .is_none_or(|n| n.node.incarnation != owner.incarnation)
        {
            return Decision::Answer(refused("the owner is not a member in this incarnation"));
        }
        if let Some(known) = self.running.get(&key) {
            return decide_running(nodes, known, key, (digest, owner, agents), claim.takeover);
        }
        if let Some(reply) = self.ended_reply(nodes, &key, &digest) {
            return Decision::Answer(reply);
        }
        if claim.takeover != 0 {
            return Decision::Answer(refused("no such claim"));
        }
        let claim = Claim {
            digest,
            owner,
            epoch: 0,
            claimed_ms: 0,
            tasks: claim.tasks,
            agents,
        };
        Decision::Insert(key, claim)
    }

    /// Returns the answer to a claim of a job that has ended.
    fn ended_reply(&self, nodes: &Nodes, key: &JobKey, digest: &Digest) -> Option<ClaimReply> {
        if let Some((claim, end)) = self.finished.get(key) {
            if claim.digest != *digest {
                return Some(claim.reply(nodes, Kind::Conflict));
            }
            return Some(ClaimReply {
                outcome: end.outcome.into(),
                reason: end.reason.to_string(),
                never_started: end.never_started,
                ..claim.reply(nodes, Kind::Finished)
            });
        }
        let kept = self.compact.get(&key_hash(key))?;
        let kind = if kept.digest == *digest {
            Kind::Expired
        } else {
            Kind::Conflict
        };
        Some(ClaimReply {
            kind: kind.into(),
            epoch: kept.epoch,
            claimed_ms: kept.claimed_ms,
            outcome: kept.outcome.into(),
            never_started: kept.never_started,
            ..ClaimReply::default()
        })
    }
}

/// Decides on a claim of a job that runs.
fn decide_running(
    nodes: &Nodes,
    known: &Claim,
    key: JobKey,
    (digest, owner, agents): (Digest, NodeRef, Vec<NodeRef>),
    takeover: u64,
) -> Decision {
    if known.digest != digest {
        Decision::Answer(known.reply(nodes, Kind::Conflict))
    } else if known.owner == owner {
        Decision::Widen(key, agents)
    } else if takeover == known.epoch {
        Decision::TakeOver(key, owner, agents)
    } else {
        Decision::Answer(known.reply(nodes, Kind::Owned))
    }
}

impl Claim {
    fn widen(&mut self, agents: Vec<NodeRef>) {
        for agent in agents {
            if !self.agents.contains(&agent) {
                self.agents.push(agent);
            }
        }
    }

    fn reply(&self, nodes: &Nodes, kind: Kind) -> ClaimReply {
        let owner = nodes.get(&self.owner.name);
        let address = owner.map_or("", |n| n.member.address.as_str());
        ClaimReply {
            kind: kind.into(),
            epoch: self.epoch,
            claimed_ms: self.claimed_ms,
            owner: Some((&self.owner).into()),
            owner_address: address.to_owned(),
            agents: self.agents.iter().map(Into::into).collect(),
            outcome: Outcome::Running.into(),
            ..ClaimReply::default()
        }
    }
}

impl Compact {
    fn new(claim: &Claim, end: &End) -> Self {
        Self {
            digest: claim.digest,
            outcome: end.outcome,
            never_started: end.never_started,
            epoch: claim.epoch,
            claimed_ms: claim.claimed_ms,
            finished_ms: end.finished_ms,
            index: end.index,
        }
    }
}

pub(crate) fn key_hash(key: &JobKey) -> KeyHash {
    let digest = Digest::of(key.to_string().as_bytes());
    let mut hash = KeyHash::default();
    hash.copy_from_slice(&digest.as_bytes()[..16]);
    hash
}

/// Converts a list of agents, or returns `None` when one of them is malformed.
fn node_refs(nodes: &Nodes, agents: &[proto::NodeRef]) -> Option<Vec<NodeRef>> {
    let mut refs = Vec::<NodeRef>::with_capacity(agents.len());
    for agent in agents {
        let agent = nodes.intern(NodeRef::try_from(agent.clone()).ok()?);
        if !refs.contains(&agent) {
            refs.push(agent);
        }
    }
    Some(refs)
}

fn refused(reason: &str) -> ClaimReply {
    ClaimReply {
        kind: Kind::Refused.into(),
        reason: reason.to_owned(),
        ..ClaimReply::default()
    }
}

fn finish_reply(accepted: bool, outcome: Outcome, reason: &str, epoch: u64) -> FinishReply {
    FinishReply {
        accepted,
        outcome: outcome.into(),
        reason: reason.to_owned(),
        epoch,
    }
}
