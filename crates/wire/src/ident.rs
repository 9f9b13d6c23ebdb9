//! Validated forms of the identifiers in messages.

use std::fmt;

use displaydoc::Display;
use sassafras_util::Name;

use crate::proto;

/// An identifier in a message is missing or invalid.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum WireError {
    /// field {0} is missing
    Missing(&'static str),
    /// field {0} is not a valid name
    InvalidName(&'static str),
}

impl std::error::Error for WireError {}

/// The key of a job: its team, and its name within the team.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobKey {
    /// Team that submitted the job.
    pub team: Name,
    /// Name of the job, unique within the team.
    pub job: Name,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.job)
    }
}

impl TryFrom<proto::JobKey> for JobKey {
    type Error = WireError;

    fn try_from(key: proto::JobKey) -> Result<Self, WireError> {
        Ok(Self {
            team: Name::checked(&key.team).ok_or(WireError::InvalidName("team"))?,
            job: Name::checked(&key.job).ok_or(WireError::InvalidName("job"))?,
        })
    }
}

impl TryFrom<Option<proto::JobKey>> for JobKey {
    type Error = WireError;

    fn try_from(key: Option<proto::JobKey>) -> Result<Self, WireError> {
        key.ok_or(WireError::Missing("key"))?.try_into()
    }
}

impl From<&JobKey> for proto::JobKey {
    fn from(key: &JobKey) -> Self {
        Self {
            team: key.team.to_string(),
            job: key.job.to_string(),
        }
    }
}

/// A specific incarnation of a node.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct NodeRef {
    /// Name of the node, from its settings.
    pub name: Name,
    /// Number that increases with every start of the node.
    pub incarnation: u64,
}

impl fmt::Display for NodeRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

impl TryFrom<proto::NodeRef> for NodeRef {
    type Error = WireError;

    fn try_from(node: proto::NodeRef) -> Result<Self, WireError> {
        let name = Name::checked(&node.name).ok_or(WireError::InvalidName("node"))?;
        Ok(Self {
            name,
            incarnation: node.incarnation,
        })
    }
}

impl TryFrom<Option<proto::NodeRef>> for NodeRef {
    type Error = WireError;

    fn try_from(node: Option<proto::NodeRef>) -> Result<Self, WireError> {
        node.ok_or(WireError::Missing("node"))?.try_into()
    }
}

impl From<&NodeRef> for proto::NodeRef {
    fn from(node: &NodeRef) -> Self {
        Self {
            name: node.name.to_string(),
            incarnation: node.incarnation,
        }
    }
}
