//! The audit log of configuration, membership and leadership changes.

use std::collections::VecDeque;
use std::sync::Arc;

use sassafras_wire::proto::AuditRecord;

/// Maximum number of audit records kept.
pub const MAX_AUDIT_RECORDS: usize = 100_000;

/// The most recent audit records, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct AuditLog(VecDeque<Arc<AuditRecord>>);

impl AuditLog {
    pub(crate) fn push(&mut self, record: AuditRecord) {
        self.0.push_back(Arc::new(record));
        if self.0.len() > MAX_AUDIT_RECORDS {
            self.0.pop_front();
        }
    }

    pub(crate) fn after(&self, after: u64, limit: usize) -> Vec<AuditRecord> {
        let start = self.0.partition_point(|r| r.index <= after);
        let records = self.0.iter().skip(start).take(limit);
        records.map(|r| AuditRecord::clone(r)).collect()
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.0.back().map_or(0, |r| r.index)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &AuditRecord> {
        self.0.iter().map(AsRef::as_ref)
    }
}
