//! Hash collections with a fast hasher.

/// A hash map for keys that no outsider chooses freely.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set for keys that no outsider chooses freely.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
