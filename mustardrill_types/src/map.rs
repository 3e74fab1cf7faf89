//! Hash collections with a fast hasher that does not resist collision attacks.

/// A hash map. Use it only for keys that an outsider cannot choose freely: crafted keys can make
/// its hashes collide.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set, under the same restriction on keys as [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
