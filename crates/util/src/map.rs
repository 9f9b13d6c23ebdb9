//! Hash maps and sets with a fast hasher that is randomly seeded per process.

/// A hash map with a fast, randomly seeded hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set with a fast, randomly seeded hasher.
pub type FastSet<T> = std::collections::HashSet<T, ahash::RandomState>;
