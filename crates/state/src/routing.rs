//! The routing table, whose versions are chosen by its operators.

use std::sync::Arc;

use sassafras_wire::proto::RoutingReply;
use sassafras_wire::proto::RoutingTable;

/// The routing table in force; none before the first one was accepted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// As it was sent, document included.
    pub(crate) table: Option<Arc<RoutingTable>>,
    /// Without the document, which only operators read.
    plain: Option<Arc<RoutingTable>>,
}

impl Routing {
    pub(crate) fn new(table: Option<RoutingTable>) -> Self {
        let plain = table.as_ref().map(|t| RoutingTable {
            document: bytes::Bytes::new(),
            ..t.clone()
        });
        Self {
            table: table.map(Arc::new),
            plain: plain.map(Arc::new),
        }
    }

    /// Returns the version in force, or 0.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.version)
    }

    /// Returns the table as it was sent.
    pub fn table(&self) -> Option<&RoutingTable> {
        self.table.as_deref()
    }

    /// Returns the table without its document, if it is newer than `version`.
    pub fn newer(&self, version: u64) -> Option<&RoutingTable> {
        self.plain.as_deref().filter(|t| t.version > version)
    }

    /// Puts a table in force if its version is higher than the one in force.
    pub(crate) fn change(&mut self, table: &RoutingTable) -> RoutingReply {
        let changed = table.version > self.version() || self.table.is_none();
        if changed {
            *self = Self::new(Some(table.clone()));
        }
        RoutingReply {
            table: self.plain.as_deref().cloned(),
            changed,
        }
    }
}
