//! Hash collections with a fast hasher whose iteration order is the same in every run.
//!
//! The hasher is not resistant to crafted keys: anything that a caller chooses is digested before
//! it becomes a key.

/// A hash map with the crate's hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the crate's hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
