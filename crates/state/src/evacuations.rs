//! The availability zones that operators have evacuated.

use std::collections::BTreeSet;

use sassafras_wire::proto;

/// Largest number of evacuated zones. Names of zones that do not exist are accepted, since a zone
/// may get its first host later.
const MAX_ZONES: usize = 64;

/// The evacuated zones, and the version of this set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuations {
    version: u64,
    zones: BTreeSet<String>,
}

impl Evacuations {
    /// Returns the version, which increases with every change; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over the evacuated zones in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    /// Returns the wire form if it is newer than `version`.
    pub fn newer(&self, version: u64) -> Option<proto::Evacuations> {
        (self.version > version).then(|| self.into())
    }

    /// Applies a change, unless it is based on another version or has no effect.
    pub(crate) fn apply(&mut self, change: &proto::EvacuationChange) -> proto::EvacuationReply {
        let known = self.zones.contains(&change.zone);
        let full = change.evacuated && self.zones.len() >= MAX_ZONES;
        let changed = change.base == self.version && known != change.evacuated && !full;
        if changed {
            self.version += 1;
            if change.evacuated {
                self.zones.insert(change.zone.clone());
            } else {
                self.zones.remove(&change.zone);
            }
        }
        proto::EvacuationReply {
            evacuations: Some((&*self).into()),
            changed,
        }
    }
}

impl From<&Evacuations> for proto::Evacuations {
    fn from(evacuations: &Evacuations) -> Self {
        Self {
            version: evacuations.version,
            zones: evacuations.zones.iter().cloned().collect(),
        }
    }
}

impl From<proto::Evacuations> for Evacuations {
    fn from(record: proto::Evacuations) -> Self {
        Self {
            version: record.version,
            zones: record.zones.into_iter().collect(),
        }
    }
}
