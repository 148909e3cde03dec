//! Hash collections with a fast hasher, whose iteration order is the same in every run.
//!
//! The hasher does not resist crafted keys, so values that a caller chooses are digested before
//! they are used as keys.

/// A hash map with the deterministic hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the deterministic hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
