//! Hash maps that are cheap to freeze while they keep changing.
//!
//! A snapshot of millions of claims takes far longer to encode than an event loop may stall.
//! A frozen copy shares its shards with the live map, which copies a shard only when it next
//! changes it.

use std::hash::Hash;
use std::sync::Arc;

use sassafras_util::FastMap;

/// Shards of a map. With 2 million claims, copying one of them takes a few milliseconds.
const SHARDS: usize = 256;

/// A hash map in shards that clones share until they change.
#[derive(Clone, Debug)]
pub(crate) struct Sharded<K, V> {
    shards: Vec<Arc<FastMap<K, V>>>,
    hasher: ahash::RandomState,
    len: usize,
}

impl<K, V> Default for Sharded<K, V> {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Arc::default()).collect(),
            hasher: ahash::RandomState::default(),
            len: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, V: Clone> Sharded<K, V> {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.shards[self.shard(key)].get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let shard = self.shard(key);
        // A missing key must not copy the shard.
        self.shards[shard].get(key)?;
        Arc::make_mut(&mut self.shards[shard]).get_mut(key)
    }

    pub(crate) fn insert(&mut self, key: K, value: V) {
        let shard = self.shard(&key);
        let replaced = Arc::make_mut(&mut self.shards[shard]).insert(key, value);
        self.len += usize::from(replaced.is_none());
    }

    pub(crate) fn remove(&mut self, key: &K) -> Option<V> {
        let shard = self.shard(key);
        self.shards[shard].get(key)?;
        let removed = Arc::make_mut(&mut self.shards[shard]).remove(key);
        self.len -= usize::from(removed.is_some());
        removed
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.shards.iter().flat_map(|shard| shard.iter())
    }

    fn shard(&self, key: &K) -> usize {
        self.hasher.hash_one(key) as usize % SHARDS
    }
}

impl<K: Clone + Eq + Hash, V: Clone + PartialEq> PartialEq for Sharded<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().all(|(k, v)| other.get(k) == Some(v))
    }
}
