//! Configuration items with versions.

use std::collections::BTreeMap;

use sassafras_wire::proto::ConfigChange;
use sassafras_wire::proto::ConfigDelta;
use sassafras_wire::proto::ConfigItem;
use sassafras_wire::proto::ConfigReply;
use sassafras_wire::proto::config_reply::Kind;

/// Removed names that are remembered for deltas. A node that is further behind gets the
/// whole configuration.
const MAX_REMOVED: usize = 10_000;

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigItems {
    pub(crate) version: u64,
    pub(crate) by_name: BTreeMap<String, ConfigItem>,
    pub(crate) removed: BTreeMap<String, u64>,
    /// Deltas from versions below this one lack forgotten removals.
    pub(crate) floor: u64,
}

impl ConfigItems {
    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an item in force.
    pub fn get(&self, name: &str) -> Option<&ConfigItem> {
        self.by_name.get(name)
    }

    /// Returns all items in force, by name.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigItem> {
        self.by_name.values()
    }

    /// Returns what changed after version `from`, or `None` when nothing did.
    pub fn delta(&self, from: u64) -> Option<ConfigDelta> {
        if from == self.version {
            return None;
        }
        let from = if from < self.floor || from > self.version {
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

    /// Makes a change that was based on the version in force; any other is a conflict.
    pub(crate) fn change(&mut self, change: &ConfigChange) -> ConfigReply {
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
        self.forget_removed();
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

    fn forget_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, v)| **v);
            let Some((name, version)) = oldest.map(|(n, v)| (n.clone(), *v)) else {
                return;
            };
            self.removed.remove(&name);
            self.floor = version;
        }
    }
}
