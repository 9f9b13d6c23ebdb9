//! Members of a group.

use std::sync::Arc;

use sassafras_util::Name;
use sassafras_wire::WireError;
use sassafras_wire::proto;

/// Name, address and identity of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the member.
    pub name: Name,
    /// Address at which other processes reach the member.
    pub address: Arc<str>,
    /// Identity of the member's data folder, or 0 if it is not known yet.
    pub identity: u64,
}

impl Peer {
    /// Creates a peer whose identity is not known yet.
    pub fn new(name: Name, address: &str) -> Self {
        Self {
            name,
            address: address.into(),
            identity: 0,
        }
    }
}

/// The member set of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    /// Members that vote and count towards the quorum.
    pub voters: Vec<Peer>,
    /// Members that receive the log but do not vote.
    pub learners: Vec<Peer>,
}

impl Members {
    /// Returns the voter with the given name.
    pub fn voter(&self, name: &str) -> Option<&Peer> {
        self.voters.iter().find(|p| p.name.as_str() == name)
    }

    /// Returns the learner with the given name.
    pub fn learner(&self, name: &str) -> Option<&Peer> {
        self.learners.iter().find(|p| p.name.as_str() == name)
    }

    /// Returns the voter or learner with the given name.
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.voter(name).or_else(|| self.learner(name))
    }

    /// Iterates over voters and learners.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// A change of the member set. At most one voter is added or removed at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Adds a learner.
    AddLearner(Peer),
    /// Makes a learner that has caught up a voter.
    Promote(Name),
    /// Removes a voter or learner.
    Remove(Name),
}

impl From<&Peer> for proto::MemberAddress {
    fn from(peer: &Peer) -> Self {
        Self {
            name: peer.name.to_string(),
            address: peer.address.to_string(),
            identity: peer.identity,
        }
    }
}

impl TryFrom<proto::MemberAddress> for Peer {
    type Error = WireError;

    fn try_from(peer: proto::MemberAddress) -> Result<Self, WireError> {
        Ok(Self {
            name: Name::checked(&peer.name).ok_or(WireError::InvalidName("member"))?,
            address: peer.address.into(),
            identity: peer.identity,
        })
    }
}

impl From<&Members> for proto::MemberSet {
    fn from(members: &Members) -> Self {
        Self {
            voters: members.voters.iter().map(Into::into).collect(),
            learners: members.learners.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::MemberSet> for Members {
    type Error = WireError;

    fn try_from(set: proto::MemberSet) -> Result<Self, WireError> {
        let convert = |peers: Vec<proto::MemberAddress>| {
            let peers = peers.into_iter().map(Peer::try_from);
            peers.collect::<Result<Vec<_>, _>>()
        };
        Ok(Self {
            voters: convert(set.voters)?,
            learners: convert(set.learners)?,
        })
    }
}
