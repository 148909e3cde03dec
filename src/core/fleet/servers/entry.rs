//! Entries of backend servers in the store, and their changes.

use std::net;
use std::sync;

use crate::core::fleet::catalog;
use crate::core::ids;

/// The version of a server's software. What servers of two versions write does not fit together.
pub type SoftwareVersion = sync::Arc<str>;

/// The part of a language request that an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The engine prefills prompts for decode servers.
    Prefill,
    /// The engine generates answers, and prefills prompts itself if necessary.
    Decode,
}

/// The store's entry of a server.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The id of the server.
    pub id: ids::ServerId,
    /// The service that it serves.
    pub service: catalog::ServiceId,
    /// The address at which it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining; it gets no new requests then.
    pub is_draining: bool,
    /// Its stage; `None` for plain services and engines without stages.
    pub stage: Option<Stage>,
    /// The time for which the server is still slow after its start.
    pub cold_ms: u32,
    /// The start of its process, in milliseconds of its own clock; 0 if unknown.
    pub born_ms: u64,
    /// The version of its software; `None` if the peer that sent the entry does not know it.
    #[serde(skip)]
    pub software_version: Option<SoftwareVersion>,
    /// Whether the entry in the store states no cold time. Entries of peers do not tell.
    #[serde(skip)]
    pub lacks_cold_time: bool,
    /// The position of the entry in the store; of two entries, the one with the higher position is
    /// newer.
    pub offset: ids::StorePosition,
}

/// The state of the store from which changes were read.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store was reachable all the time.
    #[default]
    Steady,
    /// The store was unreachable immediately before.
    AfterOutage,
    /// The store was restored from a copy that lacks the newest changes; servers write theirs again.
    Restored,
}

/// A change of a server entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// An entry was written.
    Put(Entry),
    /// An entry was removed.
    Removed {
        /// The id of the server.
        id: ids::ServerId,
        /// The position of the removal.
        offset: ids::StorePosition,
    },
}

impl EntryChange {
    /// Returns the id of the server.
    pub fn id(&self) -> &ids::ServerId {
        match self {
            Self::Put(entry) => &entry.id,
            Self::Removed { id, .. } => id,
        }
    }

    /// Returns the position of the change.
    pub fn offset(&self) -> ids::StorePosition {
        match self {
            Self::Put(entry) => entry.offset,
            Self::Removed { offset, .. } => *offset,
        }
    }
}

/// A server that the store no longer lists, as reported between instances.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Removal {
    /// The id of the server.
    pub id: ids::ServerId,
    /// The position of the removal.
    pub offset: ids::StorePosition,
    /// Whether the removal was read after an outage of the store, so that the server may return.
    pub is_after_outage: bool,
}
