//! Job claims, which record the owner and the outcome of each job.
//!
//! A claim is stored in full while its job runs and until the result retention period has
//! passed, and then as a compact record. The epoch of a claim is the log index of the command
//! that assigned the current owner. Epochs therefore increase with every change of owner, even
//! when a job name is reused after its earlier claim was deleted.

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
use crate::sharded::ShardedMap;

/// First half of the SHA-256 digest of a job key. Compact claims store it instead of the key.
pub(crate) type KeyHash = [u8; 16];

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Claim {
    pub(crate) digest: Digest,
    pub(crate) owner: NodeRef,
    pub(crate) epoch: u64,
    pub(crate) claimed_ms: u64,
    /// When the current owner claimed the job. Its retention counts from then.
    pub(crate) owned_ms: u64,
    pub(crate) tasks: u32,
    pub(crate) agents: Vec<NodeRef>,
}

/// The outcome of a finished job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Completion {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Box<str>,
    pub(crate) never_started: bool,
    pub(crate) finished_ms: u64,
    /// Log index of the command that finished the job, which gives the order of completion.
    pub(crate) index: u64,
}

/// The record of a finished job after the result retention period.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompactClaim {
    pub(crate) digest: Digest,
    pub(crate) outcome: Outcome,
    pub(crate) never_started: bool,
    pub(crate) epoch: u64,
    pub(crate) claimed_ms: u64,
    pub(crate) finished_ms: u64,
    pub(crate) index: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Claims {
    pub(crate) running: ShardedMap<JobKey, Claim>,
    pub(crate) finished: ShardedMap<JobKey, (Claim, Completion)>,
    pub(crate) compact: ShardedMap<KeyHash, CompactClaim>,
    /// Keys of `finished`, in the order in which the jobs finished.
    pub(crate) finished_order: VecDeque<JobKey>,
    /// Keys of `compact`, in the order in which the jobs finished.
    pub(crate) compact_order: VecDeque<KeyHash>,
}

/// The effect of a claim request.
enum Decision {
    /// Replies without changing the state.
    Reply(ClaimReply),
    /// Creates the first claim of a job.
    Insert(JobKey, Claim),
    /// Adds agents to a claim of the same owner.
    AddAgents(JobKey, Vec<NodeRef>),
    /// Changes the owner and adds agents.
    TakeOver(JobKey, NodeRef, Vec<NodeRef>),
}

impl Claims {
    pub(crate) fn len(&self) -> usize {
        self.running.len() + self.finished.len() + self.compact.len()
    }

    /// Returns a copy for encoding. It omits the order queues, which decoding rebuilds.
    pub(crate) fn snapshot(&self) -> Self {
        Self {
            running: self.running.clone(),
            finished: self.finished.clone(),
            compact: self.compact.clone(),
            finished_order: VecDeque::new(),
            compact_order: VecDeque::new(),
        }
    }

    /// Rebuilds the order queues after decoding.
    pub(crate) fn rebuild_order(&mut self) {
        let finished = self
            .finished
            .iter()
            .map(|(key, (_, end))| (end.index, key.clone()));
        let mut finished: Vec<(u64, JobKey)> = finished.collect();
        finished.sort_unstable();
        self.finished_order = finished.into_iter().map(|(_, key)| key).collect();
        let compact = self.compact.iter().map(|(hash, c)| (c.index, *hash));
        let mut compact: Vec<(u64, KeyHash)> = compact.collect();
        compact.sort_unstable();
        self.compact_order = compact.into_iter().map(|(_, hash)| hash).collect();
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn owner(&self, key: &JobKey) -> Option<(&NodeRef, u64)> {
        self.running.get(key).map(|c| (&c.owner, c.epoch))
    }

    /// Returns the reply to a claim request if applying it would not change the state.
    pub(crate) fn peek(&self, nodes: &Nodes, claim: &proto::Claim) -> Option<ClaimReply> {
        match self.decide(nodes, claim) {
            Decision::Reply(reply) => Some(reply),
            Decision::AddAgents(key, agents) => {
                let current = self.running.get(&key)?;
                let adds_agents = agents.iter().any(|a| !current.agents.contains(a));
                (!adds_agents).then(|| current.reply(nodes, Kind::Granted))
            }
            _ => None,
        }
    }

    /// Applies the claim request at log index `index`.
    pub(crate) fn claim(
        &mut self,
        index: u64,
        control_ms: u64,
        nodes: &Nodes,
        claim: &proto::Claim,
    ) -> ClaimReply {
        let (key, agents) = match self.decide(nodes, claim) {
            Decision::Reply(reply) => return reply,
            Decision::Insert(key, mut claim) => {
                claim.epoch = index;
                claim.claimed_ms = control_ms;
                claim.owned_ms = control_ms;
                self.running.insert(key.clone(), claim);
                (key, Vec::new())
            }
            Decision::AddAgents(key, agents) => (key, agents),
            Decision::TakeOver(key, owner, agents) => {
                if let Some(current) = self.running.get_mut(&key) {
                    current.owner = owner;
                    current.epoch = index;
                    current.owned_ms = control_ms;
                }
                (key, agents)
            }
        };
        let Some(current) = self.running.get_mut(&key) else {
            return refused("no such claim");
        };
        current.add_agents(agents);
        current.reply(nodes, Kind::Granted)
    }

    /// Adds agents to the claim of a running job.
    pub(crate) fn extend(&mut self, nodes: &Nodes, extend: &proto::Extend) -> proto::ExtendReply {
        let current = JobKey::try_from(extend.key.clone())
            .ok()
            .and_then(|key| self.running.get_mut(&key));
        let (Some(current), Some(agents)) = (current, node_refs(nodes, &extend.agents)) else {
            return proto::ExtendReply::default();
        };
        let accepted = current.epoch == extend.epoch;
        if accepted {
            current.add_agents(agents);
        }
        proto::ExtendReply {
            accepted,
            epoch: current.epoch,
        }
    }

    /// Records the outcome of a job.
    pub(crate) fn finish(
        &mut self,
        index: u64,
        control_ms: u64,
        finish: &proto::Finish,
    ) -> FinishReply {
        let (reply, finished) = self.decide_finish(finish);
        if let Some(key) = finished
            && let Some(claim) = self.running.remove(&key)
        {
            let end = Completion {
                outcome: finish.outcome(),
                reason: finish.reason.as_str().into(),
                never_started: finish.never_started,
                finished_ms: control_ms,
                index,
            };
            self.finished_order.push_back(key.clone());
            self.finished.insert(key, (claim, end));
        }
        reply
    }

    /// Returns the reply to a finish request, and the job's key if the request finishes the job.
    pub(crate) fn decide_finish(&self, finish: &proto::Finish) -> (FinishReply, Option<JobKey>) {
        let Ok(key) = JobKey::try_from(finish.key.clone()) else {
            return (FinishReply::default(), None);
        };
        if let Some(claim) = self.running.get(&key) {
            let terminal = matches!(
                finish.outcome(),
                Outcome::Complete | Outcome::Failed | Outcome::Cancelled
            );
            let accepted = terminal && claim.epoch == finish.epoch;
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
        let Some(compact) = self.compact.get(&key_hash(&key)) else {
            return (FinishReply::default(), None);
        };
        let resent = compact.epoch == finish.epoch && compact.outcome == finish.outcome();
        (
            finish_reply(resent, compact.outcome, "", compact.epoch),
            None,
        )
    }

    /// Compacts finished claims after the result retention period, and deletes them after the claim
    /// retention period. Both count from the end of the job.
    ///
    /// The claim of an unfinished job is deleted when the claim retention period has passed since
    /// its owner claimed the job. By then the owner is gone, no client has asked for the job since,
    /// and the agents refuse its tasks.
    pub(crate) fn expire(&mut self, expire: &proto::Expire) {
        while let Some(key) = self.finished_order.front() {
            let expired = |(_, end): &(Claim, Completion)| end.finished_ms < expire.compact_ms;
            if !self.finished.get(key).is_none_or(expired) {
                break;
            }
            let Some(key) = self.finished_order.pop_front() else {
                break;
            };
            if let Some((claim, end)) = self.finished.remove(&key) {
                let hash = key_hash(&key);
                self.compact_order.push_back(hash);
                self.compact.insert(hash, CompactClaim::new(&claim, &end));
            }
        }
        while let Some(hash) = self.compact_order.front() {
            let expired = |c: &CompactClaim| c.finished_ms < expire.before_ms;
            if !self.compact.get(hash).is_none_or(expired) {
                break;
            }
            if let Some(hash) = self.compact_order.pop_front() {
                self.compact.remove(&hash);
            }
        }
        let expired = |claim: &Claim| claim.owned_ms < expire.before_ms;
        let expired = self.running.iter().filter(|(_, claim)| expired(claim));
        let expired: Vec<JobKey> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
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
            return Decision::Reply(refused("malformed claim"));
        };
        let owner = nodes.intern(owner);
        if nodes
            .get(&owner.name)
            .is_none_or(|n| n.node.incarnation != owner.incarnation)
        {
            return Decision::Reply(refused("the owner is not a member in this incarnation"));
        }
        if let Some(current) = self.running.get(&key) {
            return decide_running(nodes, current, key, (digest, owner, agents), claim.takeover);
        }
        if let Some(reply) = self.finished_reply(nodes, &key, &digest) {
            return Decision::Reply(reply);
        }
        if claim.takeover != 0 {
            return Decision::Reply(refused("no such claim"));
        }
        let claim = Claim {
            digest,
            owner,
            epoch: 0,
            claimed_ms: 0,
            owned_ms: 0,
            tasks: claim.tasks,
            agents,
        };
        Decision::Insert(key, claim)
    }

    /// Returns the reply to a claim request for a finished job.
    fn finished_reply(&self, nodes: &Nodes, key: &JobKey, digest: &Digest) -> Option<ClaimReply> {
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
        let compact = self.compact.get(&key_hash(key))?;
        let kind = if compact.digest == *digest {
            Kind::Expired
        } else {
            Kind::Conflict
        };
        Some(ClaimReply {
            kind: kind.into(),
            epoch: compact.epoch,
            claimed_ms: compact.claimed_ms,
            outcome: compact.outcome.into(),
            never_started: compact.never_started,
            ..ClaimReply::default()
        })
    }
}

/// Returns the effect of a claim request for a job that has not finished.
fn decide_running(
    nodes: &Nodes,
    current: &Claim,
    key: JobKey,
    (digest, owner, agents): (Digest, NodeRef, Vec<NodeRef>),
    takeover: u64,
) -> Decision {
    if current.digest != digest {
        Decision::Reply(current.reply(nodes, Kind::Conflict))
    } else if current.owner == owner {
        Decision::AddAgents(key, agents)
    } else if takeover == current.epoch {
        Decision::TakeOver(key, owner, agents)
    } else {
        Decision::Reply(current.reply(nodes, Kind::Owned))
    }
}

impl Claim {
    fn add_agents(&mut self, agents: Vec<NodeRef>) {
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

impl CompactClaim {
    fn new(claim: &Claim, end: &Completion) -> Self {
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

/// Converts and deduplicates a list of agents, or returns `None` if one of them is malformed.
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
