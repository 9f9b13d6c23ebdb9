//! Versioned configuration items.

use std::collections::BTreeMap;

use sassafras_wire::proto::ConfigChange;
use sassafras_wire::proto::ConfigDelta;
use sassafras_wire::proto::ConfigItem;
use sassafras_wire::proto::ConfigReply;
use sassafras_wire::proto::config_reply::Kind;

/// Number of removed names kept for deltas. A node whose version is older than an evicted
/// removal receives the full configuration.
const MAX_REMOVED_ITEMS: usize = 10_000;

/// The current configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigItems {
    pub(crate) version: u64,
    pub(crate) by_name: BTreeMap<String, ConfigItem>,
    pub(crate) removed: BTreeMap<String, u64>,
    /// Lowest version from which a delta is complete. Deltas from lower versions would miss
    /// evicted removals.
    pub(crate) delta_floor: u64,
}

impl ConfigItems {
    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an item by name.
    pub fn get(&self, name: &str) -> Option<&ConfigItem> {
        self.by_name.get(name)
    }

    /// Returns all items, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigItem> {
        self.by_name.values()
    }

    /// Returns the changes after version `from`, or `None` if `from` is current.
    pub fn delta(&self, from: u64) -> Option<ConfigDelta> {
        if from == self.version {
            return None;
        }
        let from = if from < self.delta_floor || from > self.version {
            0
        } else {
            from
        };
        let upserts = self.by_name.values().filter(|i| i.version > from);
        let removals = self.removed.iter().filter(|(_, v)| from > 0 && **v > from);
        Some(ConfigDelta {
            from,
            to: self.version,
            upserts: upserts.cloned().collect(),
            removals: removals.map(|(n, _)| n.clone()).collect(),
        })
    }

    /// Applies a change if it is based on the current version, and reports a conflict otherwise.
    pub(crate) fn apply(&mut self, change: &ConfigChange) -> ConfigReply {
        if change.base != self.version {
            return self.conflict(change);
        }
        self.version += 1;
        for item in &change.upserts {
            let item = ConfigItem {
                version: self.version,
                ..item.clone()
            };
            self.removed.remove(&item.name);
            self.by_name.insert(item.name.clone(), item);
        }
        for name in &change.removals {
            if self.by_name.remove(name).is_some() {
                self.removed.insert(name.clone(), self.version);
            }
        }
        self.evict_removed();
        ConfigReply {
            kind: Kind::Accepted.into(),
            version: self.version,
            ..ConfigReply::default()
        }
    }

    fn conflict(&self, change: &ConfigChange) -> ConfigReply {
        let upserts = change.upserts.iter().map(|i| &i.name);
        let names = upserts.chain(&change.removals);
        ConfigReply {
            kind: Kind::Conflict.into(),
            version: self.version,
            detail: format!(
                "based on version {}, version {} is in force",
                change.base, self.version
            ),
            in_force: names.filter_map(|n| self.by_name.get(n)).cloned().collect(),
        }
    }

    fn evict_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED_ITEMS {
            let oldest = self.removed.iter().min_by_key(|(_, v)| **v);
            let Some((name, version)) = oldest.map(|(n, v)| (n.clone(), *v)) else {
                return;
            };
            self.removed.remove(&name);
            self.delta_floor = version;
        }
    }
}
