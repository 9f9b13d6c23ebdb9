//! The snapshot of the whole state as one protobuf message.
//!
//! Its messages are private to this crate, since snapshots are exchanged only between
//! members as opaque bytes.

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
use crate::claims::Compact;
use crate::claims::End;
use crate::claims::KeyHash;
use crate::nodes::Node;
use crate::routing::Routing;

#[derive(Clone, PartialEq, Message)]
struct Image {
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
    removed: Vec<RemovedImage>,
    #[prost(uint64, tag = "7")]
    nodes_version: u64,
    #[prost(uint64, tag = "8")]
    nodes_floor: u64,
    #[prost(message, repeated, tag = "9")]
    nodes: Vec<NodeImage>,
    #[prost(message, repeated, tag = "10")]
    claims: Vec<ClaimImage>,
    #[prost(message, repeated, tag = "11")]
    compact: Vec<CompactImage>,
    #[prost(message, repeated, tag = "12")]
    answers: Vec<AnswerImage>,
    #[prost(message, repeated, tag = "13")]
    audit: Vec<proto::AuditRecord>,
    #[prost(message, optional, tag = "14")]
    routing: Option<proto::RoutingTable>,
}

#[derive(Clone, PartialEq, Message)]
struct RemovedImage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    version: u64,
}

#[derive(Clone, PartialEq, Message)]
struct NodeImage {
    #[prost(message, optional, tag = "1")]
    member: Option<proto::Member>,
    #[prost(enumeration = "proto::NodeState", tag = "2")]
    ordered: i32,
}

#[derive(Clone, PartialEq, Message)]
struct ClaimImage {
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
}

#[derive(Clone, PartialEq, Message)]
struct CompactImage {
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
struct AnswerImage {
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
    /// Encodes the whole state. Use [`State::snapshot`] where this would take too long.
    pub fn encode(&self) -> Vec<u8> {
        let removed = self.items.removed.iter();
        let image = Image {
            applied: self.applied,
            control_ms: self.control_ms,
            config_version: self.items.version,
            config_floor: self.items.floor,
            items: self.items.iter().cloned().collect(),
            removed: removed
                .map(|(name, version)| RemovedImage {
                    name: name.clone(),
                    version: *version,
                })
                .collect(),
            nodes_version: self.nodes.version,
            nodes_floor: self.nodes.floor,
            nodes: self.nodes.iter().map(NodeImage::from).collect(),
            claims: self.claim_images(),
            compact: self.compact_images(),
            answers: self
                .answers
                .iter()
                .map(|((operator, request), reply)| AnswerImage::new(operator, request, reply))
                .collect(),
            audit: self.audit.iter().cloned().collect(),
            routing: self.routing.table().cloned(),
        };
        image.encode_to_vec()
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let image = Image::decode(bytes).map_err(|e| Error::new(e).context("snapshot"))?;
        let mut state = Self {
            applied: image.applied,
            control_ms: image.control_ms,
            routing: Routing::new(image.routing),
            ..Self::default()
        };
        state.items.version = image.config_version;
        state.items.floor = image.config_floor;
        let items = image.items.into_iter();
        state.items.by_name = items.map(|i| (i.name.clone(), i)).collect();
        let removed = image.removed.into_iter();
        state.items.removed = removed.map(|r| (r.name, r.version)).collect();
        state.nodes.version = image.nodes_version;
        state.nodes.floor = image.nodes_floor;
        for node in image.nodes {
            let node = Node::try_from(node)?;
            state.nodes.by_name.insert(node.node.name.clone(), node);
        }
        for claim in image.claims {
            state.insert_claim(claim)?;
        }
        for compact in image.compact {
            let (hash, compact) = compact.try_into()?;
            state.claims.compact.insert(hash, compact);
        }
        state.claims.rebuild_queues();
        for answer in image.answers {
            let reply = answer.config.map(Reply::Config);
            let reply = reply.or(answer.node.map(Reply::Node));
            let reply = reply.ok_or_else(|| damaged("answer"))?;
            state
                .answers
                .insert(&answer.operator, &answer.request, reply);
        }
        for record in image.audit {
            state.audit.push(record);
        }
        Ok(state)
    }

    /// Returns running claims by key, then finished ones in the order in which they ended.
    fn claim_images(&self) -> Vec<ClaimImage> {
        let mut running: Vec<_> = self.claims.running.iter().collect();
        running.sort_unstable_by_key(|(key, _)| *key);
        let mut ended: Vec<_> = self.claims.finished.iter().collect();
        ended.sort_unstable_by_key(|(_, (_, end))| end.index);
        let running = running
            .into_iter()
            .map(|(key, claim)| ClaimImage::new(key, claim, None));
        let ended = ended
            .into_iter()
            .map(|(key, (claim, end))| ClaimImage::new(key, claim, Some(end)));
        running.chain(ended).collect()
    }

    /// Returns compact records in the order in which their jobs ended.
    fn compact_images(&self) -> Vec<CompactImage> {
        let mut kept: Vec<_> = self.claims.compact.iter().collect();
        kept.sort_unstable_by_key(|(_, compact)| compact.index);
        kept.into_iter()
            .map(|(hash, compact)| CompactImage {
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

    fn insert_claim(&mut self, image: ClaimImage) -> Result<(), Error> {
        let proto = image.claim.ok_or_else(|| damaged("claim"))?;
        let key = JobKey::try_from(proto.key).map_err(Error::new)?;
        let digest = Digest::try_from(proto.digest.as_ref()).map_err(Error::new)?;
        let owner = NodeRef::try_from(proto.owner).map_err(Error::new)?;
        let agents = proto.agents.into_iter();
        let agents = agents.map(|a| NodeRef::try_from(a).map(|a| self.nodes.intern(a)));
        let claim = Claim {
            digest,
            owner: self.nodes.intern(owner),
            epoch: image.epoch,
            claimed_ms: image.claimed_ms,
            tasks: proto.tasks,
            agents: agents.collect::<Result<_, _>>().map_err(Error::new)?,
        };
        let Some(finish) = image.finish else {
            self.claims.running.insert(key, claim);
            return Ok(());
        };
        let end = End {
            outcome: finish.outcome(),
            reason: finish.reason.into(),
            never_started: finish.never_started,
            finished_ms: image.finished_ms,
            index: image.finish_index,
        };
        self.claims.finished.insert(key, (claim, end));
        Ok(())
    }
}

impl ClaimImage {
    fn new(key: &JobKey, claim: &Claim, end: Option<&End>) -> Self {
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

impl AnswerImage {
    fn new(operator: &str, request: &str, reply: &Reply) -> Self {
        let (config, node) = match reply {
            Reply::Config(reply) => (Some(reply.clone()), None),
            Reply::Node(reply) => (None, Some(reply.clone())),
            // No other reply is remembered.
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

impl TryFrom<CompactImage> for (KeyHash, Compact) {
    type Error = Error;

    fn try_from(image: CompactImage) -> Result<Self, Error> {
        let hash = KeyHash::try_from(image.key.as_slice()).map_err(Error::new)?;
        let compact = Compact {
            digest: Digest::try_from(image.digest.as_slice()).map_err(Error::new)?,
            outcome: Outcome::try_from(image.outcome).map_err(Error::new)?,
            never_started: image.never_started,
            epoch: image.epoch,
            claimed_ms: image.claimed_ms,
            finished_ms: image.finished_ms,
            index: image.finish_index,
        };
        Ok((hash, compact))
    }
}

impl From<&Node> for NodeImage {
    fn from(node: &Node) -> Self {
        Self {
            member: Some(node.member.clone()),
            ordered: node.ordered_state.into(),
        }
    }
}

impl TryFrom<NodeImage> for Node {
    type Error = Error;

    fn try_from(image: NodeImage) -> Result<Self, Error> {
        let member = image.member.ok_or_else(|| damaged("member"))?;
        Ok(Self {
            node: NodeRef::try_from(member.node.clone()).map_err(Error::new)?,
            member,
            ordered_state: NodeState::try_from(image.ordered).map_err(Error::new)?,
        })
    }
}

fn damaged(field: &str) -> Error {
    Error::new(format!("snapshot: {field} is missing"))
}
