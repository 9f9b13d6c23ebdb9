//! The routing table, whose version numbers are chosen by operators.

use std::sync::Arc;

use sassafras_wire::proto::RoutingReply;
use sassafras_wire::proto::RoutingTable;

/// The current routing table, or none until the first one is accepted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// The table as submitted, including the document.
    pub(crate) table: Option<Arc<RoutingTable>>,
    /// The table without the document, which only operators read.
    stripped: Option<Arc<RoutingTable>>,
}

impl Routing {
    pub(crate) fn new(table: Option<RoutingTable>) -> Self {
        let stripped = table.as_ref().map(|t| RoutingTable {
            document: bytes::Bytes::new(),
            ..t.clone()
        });
        Self {
            table: table.map(Arc::new),
            stripped: stripped.map(Arc::new),
        }
    }

    /// Returns the current version, or 0 if there is no table.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.version)
    }

    /// Returns the table as submitted, including the document.
    pub fn table(&self) -> Option<&RoutingTable> {
        self.table.as_deref()
    }

    /// Returns the table without the document if it is newer than `version`.
    pub fn newer(&self, version: u64) -> Option<&RoutingTable> {
        self.stripped.as_deref().filter(|t| t.version > version)
    }

    /// Replaces the current table if `table` has a higher version or is the first one.
    pub(crate) fn apply(&mut self, table: &RoutingTable) -> RoutingReply {
        let changed = table.version > self.version() || self.table.is_none();
        if changed {
            *self = Self::new(Some(table.clone()));
        }
        RoutingReply {
            table: self.stripped.as_deref().cloned(),
            changed,
        }
    }
}
