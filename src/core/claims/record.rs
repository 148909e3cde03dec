//! Records of the claims stream: what one instance has claimed and released since its last one.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids;

/// Claims and releases of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The process.
    pub incarnation: ids::Incarnation,
    /// Requests that give their claims up; these come before the claims.
    pub releases: Vec<u64>,
    /// Requests that claim a key.
    pub claims: Vec<Claim>,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request's number within its process.
    pub sequence: u64,
    /// The digest of workspace and idempotency key.
    pub key: ids::Digest,
    /// The digest of the request.
    pub fingerprint: ids::Digest,
}

impl Record {
    /// Encodes the record.
    pub fn encode(&self) -> Bytes {
        rmp_serde::to_vec(self).map(Bytes::from).unwrap_or_default()
    }

    /// Decodes a record; `None` if it is not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
