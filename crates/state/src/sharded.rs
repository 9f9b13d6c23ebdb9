//! A hash map with cheap copy-on-write clones.
//!
//! Encoding a snapshot of millions of claims would block the event loop for too long, so it is
//! done on another thread from a clone. A clone shares its shards with the live map, which
//! copies a shard before the first change to it.

use std::hash::Hash;
use std::sync::Arc;

use sassafras_util::FastMap;

/// Number of shards. With 2 million claims, copying one shard takes a few milliseconds.
const SHARDS: usize = 256;

/// A hash map split into reference-counted shards, which clones share until they change.
#[derive(Clone, Debug)]
pub(crate) struct ShardedMap<K, V> {
    shards: Vec<Arc<FastMap<K, V>>>,
    hasher: ahash::RandomState,
    len: usize,
}

impl<K, V> Default for ShardedMap<K, V> {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Arc::default()).collect(),
            hasher: ahash::RandomState::default(),
            len: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, V: Clone> ShardedMap<K, V> {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.shards[self.shard(key)].get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let shard = self.shard(key);
        // Avoids copying the shard if the key is missing.
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

impl<K: Clone + Eq + Hash, V: Clone + PartialEq> PartialEq for ShardedMap<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().all(|(k, v)| other.get(k) == Some(v))
    }
}
