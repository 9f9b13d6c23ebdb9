//! Encoding of the whole state as one protobuf message.
//!
//! The message types are private to this crate, because members exchange snapshots as opaque
//! bytes.

use prost::Message;

use sassafras_util::Digest;
use sassafras_util::Error;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Outcome;

use crate::Reply;
use crate::State;
use crate::StateSnapshot;
use crate::claims::Claim;
use crate::claims::CompactClaim;
use crate::claims::Completion;
use crate::claims::KeyHash;
use crate::evacuations::Evacuations;
use crate::nodes::Node;
use crate::routing::Routing;

#[derive(Clone, PartialEq, Message)]
struct StateRecord {
    #[prost(uint64, tag = "1")]
    applied: u64,
    #[prost(uint64, tag = "2")]
    control_ms: u64,
    #[prost(uint64, tag = "3")]
    config_version: u64,
    #[prost(uint64, tag = "4")]
    config_floor: u64,
    #[prost(message, repeated, tag = "5")]
    items: Vec<proto::ConfigItem>,
    #[prost(message, repeated, tag = "6")]
    removed: Vec<RemovedRecord>,
    #[prost(uint64, tag = "7")]
    nodes_version: u64,
    #[prost(uint64, tag = "8")]
    nodes_floor: u64,
    #[prost(message, repeated, tag = "9")]
    nodes: Vec<NodeRecord>,
    #[prost(message, repeated, tag = "10")]
    claims: Vec<ClaimRecord>,
    #[prost(message, repeated, tag = "11")]
    compact: Vec<CompactRecord>,
    #[prost(message, repeated, tag = "12")]
    answers: Vec<ReplyRecord>,
    #[prost(message, repeated, tag = "13")]
    audit: Vec<proto::AuditRecord>,
    #[prost(message, optional, tag = "14")]
    routing: Option<proto::RoutingTable>,
    /// Missing in older snapshots.
    #[prost(message, optional, tag = "15")]
    evacuations: Option<proto::Evacuations>,
}

#[derive(Clone, PartialEq, Message)]
struct RemovedRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    version: u64,
}

#[derive(Clone, PartialEq, Message)]
struct NodeRecord {
    #[prost(message, optional, tag = "1")]
    member: Option<proto::Member>,
    #[prost(enumeration = "proto::NodeState", tag = "2")]
    ordered: i32,
}

#[derive(Clone, PartialEq, Message)]
struct ClaimRecord {
    #[prost(message, optional, tag = "1")]
    claim: Option<proto::Claim>,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(uint64, tag = "3")]
    claimed_ms: u64,
    #[prost(message, optional, tag = "4")]
    finish: Option<proto::Finish>,
    #[prost(uint64, tag = "5")]
    finished_ms: u64,
    #[prost(uint64, tag = "6")]
    finish_index: u64,
    /// Missing in older snapshots.
    #[prost(uint64, tag = "7")]
    owned_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct CompactRecord {
    #[prost(bytes = "vec", tag = "1")]
    key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    digest: Vec<u8>,
    #[prost(enumeration = "proto::Outcome", tag = "3")]
    outcome: i32,
    #[prost(bool, tag = "4")]
    never_started: bool,
    #[prost(uint64, tag = "5")]
    epoch: u64,
    #[prost(uint64, tag = "6")]
    claimed_ms: u64,
    #[prost(uint64, tag = "7")]
    finished_ms: u64,
    #[prost(uint64, tag = "8")]
    finish_index: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ReplyRecord {
    #[prost(string, tag = "1")]
    operator: String,
    #[prost(string, tag = "2")]
    request: String,
    #[prost(message, optional, tag = "3")]
    config: Option<proto::ConfigReply>,
    #[prost(message, optional, tag = "4")]
    node: Option<proto::NodeCommandReply>,
}

impl StateSnapshot {
    /// Encodes the whole state.
    pub fn encode(&self) -> Vec<u8> {
        self.0.encode()
    }
}

impl State {
    /// Encodes the whole state. Use [`State::snapshot`] to encode on another thread where this
    /// would block for too long.
    pub fn encode(&self) -> Vec<u8> {
        let removed = self.items.removed.iter();
        let record = StateRecord {
            applied: self.applied,
            control_ms: self.control_ms,
            config_version: self.items.version,
            config_floor: self.items.delta_floor,
            items: self.items.iter().cloned().collect(),
            removed: removed
                .map(|(name, version)| RemovedRecord {
                    name: name.clone(),
                    version: *version,
                })
                .collect(),
            nodes_version: self.nodes.version,
            nodes_floor: self.nodes.delta_floor,
            nodes: self.nodes.iter().map(NodeRecord::from).collect(),
            claims: self.claim_records(),
            compact: self.compact_records(),
            answers: self
                .replies
                .iter()
                .map(|((operator, request), reply)| ReplyRecord::new(operator, request, reply))
                .collect(),
            audit: self.audit.iter().cloned().collect(),
            routing: self.routing.table().cloned(),
            evacuations: Some((&self.evacuations).into()),
        };
        record.encode_to_vec()
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let record = StateRecord::decode(bytes).map_err(|e| Error::new(e).context("snapshot"))?;
        let mut state = Self {
            applied: record.applied,
            control_ms: record.control_ms,
            routing: Routing::new(record.routing),
            evacuations: record
                .evacuations
                .map(Evacuations::from)
                .unwrap_or_default(),
            ..Self::default()
        };
        state.items.version = record.config_version;
        state.items.delta_floor = record.config_floor;
        let items = record.items.into_iter();
        state.items.by_name = items.map(|i| (i.name.clone(), i)).collect();
        let removed = record.removed.into_iter();
        state.items.removed = removed.map(|r| (r.name, r.version)).collect();
        state.nodes.version = record.nodes_version;
        state.nodes.delta_floor = record.nodes_floor;
        for node in record.nodes {
            let node = Node::try_from(node)?;
            state.nodes.by_name.insert(node.node.name.clone(), node);
        }
        for claim in record.claims {
            state.insert_claim(claim)?;
        }
        for compact in record.compact {
            let (hash, compact) = compact.try_into()?;
            state.claims.compact.insert(hash, compact);
        }
        state.claims.rebuild_order();
        for answer in record.answers {
            let reply = answer.config.map(Reply::Config);
            let reply = reply.or(answer.node.map(Reply::Node));
            let reply = reply.ok_or_else(|| missing_field("answer"))?;
            state
                .replies
                .insert(&answer.operator, &answer.request, reply);
        }
        for entry in record.audit {
            state.audit.push(entry);
        }
        Ok(state)
    }

    /// Returns the running claims by key, then the finished claims in the order of completion.
    fn claim_records(&self) -> Vec<ClaimRecord> {
        let mut running: Vec<_> = self.claims.running.iter().collect();
        running.sort_unstable_by_key(|(key, _)| *key);
        let mut finished: Vec<_> = self.claims.finished.iter().collect();
        finished.sort_unstable_by_key(|(_, (_, end))| end.index);
        let running = running
            .into_iter()
            .map(|(key, claim)| ClaimRecord::new(key, claim, None));
        let finished = finished
            .into_iter()
            .map(|(key, (claim, end))| ClaimRecord::new(key, claim, Some(end)));
        running.chain(finished).collect()
    }

    /// Returns the compact claims in the order of completion.
    fn compact_records(&self) -> Vec<CompactRecord> {
        let mut records: Vec<_> = self.claims.compact.iter().collect();
        records.sort_unstable_by_key(|(_, compact)| compact.index);
        records
            .into_iter()
            .map(|(hash, compact)| CompactRecord {
                key: hash.to_vec(),
                digest: compact.digest.as_bytes().to_vec(),
                outcome: compact.outcome.into(),
                never_started: compact.never_started,
                epoch: compact.epoch,
                claimed_ms: compact.claimed_ms,
                finished_ms: compact.finished_ms,
                finish_index: compact.index,
            })
            .collect()
    }

    fn insert_claim(&mut self, record: ClaimRecord) -> Result<(), Error> {
        let proto = record.claim.ok_or_else(|| missing_field("claim"))?;
        let key = JobKey::try_from(proto.key).map_err(Error::new)?;
        let digest = Digest::try_from(proto.digest.as_ref()).map_err(Error::new)?;
        let owner = NodeRef::try_from(proto.owner).map_err(Error::new)?;
        let agents = proto.agents.into_iter();
        let agents = agents.map(|a| NodeRef::try_from(a).map(|a| self.nodes.intern(a)));
        let claim = Claim {
            digest,
            owner: self.nodes.intern(owner),
            epoch: record.epoch,
            claimed_ms: record.claimed_ms,
            owned_ms: record.owned_ms.max(record.claimed_ms),
            tasks: proto.tasks,
            agents: agents.collect::<Result<_, _>>().map_err(Error::new)?,
        };
        let Some(finish) = record.finish else {
            self.claims.running.insert(key, claim);
            return Ok(());
        };
        let end = Completion {
            outcome: finish.outcome(),
            reason: finish.reason.into(),
            never_started: finish.never_started,
            finished_ms: record.finished_ms,
            index: record.finish_index,
        };
        self.claims.finished.insert(key, (claim, end));
        Ok(())
    }
}

impl ClaimRecord {
    fn new(key: &JobKey, claim: &Claim, end: Option<&Completion>) -> Self {
        Self {
            claim: Some(proto::Claim {
                key: Some(key.into()),
                digest: claim.digest.as_bytes().to_vec().into(),
                owner: Some((&claim.owner).into()),
                tasks: claim.tasks,
                agents: claim.agents.iter().map(Into::into).collect(),
                ..proto::Claim::default()
            }),
            epoch: claim.epoch,
            claimed_ms: claim.claimed_ms,
            owned_ms: claim.owned_ms,
            finish: end.map(|end| proto::Finish {
                outcome: end.outcome.into(),
                reason: end.reason.to_string(),
                never_started: end.never_started,
                ..proto::Finish::default()
            }),
            finished_ms: end.map_or(0, |end| end.finished_ms),
            finish_index: end.map_or(0, |end| end.index),
        }
    }
}

impl ReplyRecord {
    fn new(operator: &str, request: &str, reply: &Reply) -> Self {
        let (config, node) = match reply {
            Reply::Config(reply) => (Some(reply.clone()), None),
            Reply::Node(reply) => (None, Some(reply.clone())),
            // No other replies are cached.
            _ => (None, None),
        };
        Self {
            operator: operator.to_owned(),
            request: request.to_owned(),
            config,
            node,
        }
    }
}

impl TryFrom<CompactRecord> for (KeyHash, CompactClaim) {
    type Error = Error;

    fn try_from(record: CompactRecord) -> Result<Self, Error> {
        let hash = KeyHash::try_from(record.key.as_slice()).map_err(Error::new)?;
        let compact = CompactClaim {
            digest: Digest::try_from(record.digest.as_slice()).map_err(Error::new)?,
            outcome: Outcome::try_from(record.outcome).map_err(Error::new)?,
            never_started: record.never_started,
            epoch: record.epoch,
            claimed_ms: record.claimed_ms,
            finished_ms: record.finished_ms,
            index: record.finish_index,
        };
        Ok((hash, compact))
    }
}

impl From<&Node> for NodeRecord {
    fn from(node: &Node) -> Self {
        Self {
            member: Some(node.member.clone()),
            ordered: node.ordered_state.into(),
        }
    }
}

impl TryFrom<NodeRecord> for Node {
    type Error = Error;

    fn try_from(record: NodeRecord) -> Result<Self, Error> {
        let member = record.member.ok_or_else(|| missing_field("member"))?;
        Ok(Self {
            node: NodeRef::try_from(member.node.clone()).map_err(Error::new)?,
            member,
            ordered_state: NodeState::try_from(record.ordered).map_err(Error::new)?,
        })
    }
}

fn missing_field(field: &str) -> Error {
    Error::new(format!("snapshot: {field} is missing"))
}
