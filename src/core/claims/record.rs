//! Records of the claims stream: the claims and releases of one process since its last record.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids;

/// A batch of claims and releases of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The incarnation of the process.
    pub incarnation: ids::Incarnation,
    /// Sequence numbers of requests that release their claims; applied before `claims`.
    pub releases: Vec<u64>,
    /// Claims of keys, in the order in which they are applied.
    pub claims: Vec<Claim>,
}

/// The claim of a key by one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The sequence number of the request within its process.
    pub sequence: u64,
    /// The digest of workspace and idempotency key.
    pub key: ids::Digest,
    /// The digest of method, path and body of the request.
    pub fingerprint: ids::Digest,
}

impl Record {
    /// Encodes the record as MessagePack.
    pub fn encode(&self) -> Bytes {
        rmp_serde::to_vec(self).map(Bytes::from).unwrap_or_default()
    }

    /// Decodes a record; `None` if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
