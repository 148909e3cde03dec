//! The records of the configuration stream, changes and snapshots, and their encoding.
//!
//! A record consists of a format byte, the XXH3-64 checksum of the payload in little-endian order,
//! and the payload in MessagePack.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::core::configuration::{self, constants, content};
use crate::core::ids;
use crate::document;

/// The record format that this release writes and reads.
const FORMAT: u8 = 1;

/// The size of the format byte and the checksum.
const HEADER_BYTES: usize = 1 + size_of::<u64>();

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Puts a document in force if its base is the version in force.
    Change(Change),
    /// Repeats what is in force, so that the log may drop older records.
    Snapshot(Checkpoint),
}

/// A proposed document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The id of the proposal.
    pub proposal: u128,
    /// The version that it replaces; 0 for the first one.
    pub base: ids::Offset,
    /// The name of the operator who proposes it.
    pub author: Bytes,
    /// The environment that the document is for.
    pub environment: document::Environment,
    /// The SHA-256 digest of the document's bytes.
    pub digest: ids::Digest,
    /// The document, complete or as an edit of its base.
    pub content: content::Content,
}

/// The state at a position of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The position: all records before this offset are included.
    pub next: ids::Offset,
    /// The version in force at this position; 0 if there is none.
    pub version: ids::Offset,
    /// The document, unless the receiver has it already.
    pub document: Option<Document>,
    /// The latest entries of the history, oldest first.
    pub history: Vec<configuration::Entry>,
}

/// The document of a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The entry of the record that put it in force.
    pub entry: configuration::Entry,
    /// The version that the content is an edit of; 0 if the content is complete.
    pub edit_of: ids::Offset,
    /// The document's bytes.
    pub content: content::Content,
}

/// The reason why the bytes of a record cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The record is longer than any that this system writes.
    #[error("{0} bytes long; records have at most {max}", max = constants::MAX_RECORD_BYTES)]
    Oversized(usize),
    /// The record was written by another release.
    #[error("format {0} is unknown; run the release that wrote the record, or a later one")]
    UnknownFormat(u8),
    /// Part of the record is missing or changed.
    #[error("incomplete or damaged; find what else writes to this stream")]
    Damaged,
}

impl Record {
    /// Encodes the record.
    pub fn encode(&self) -> Bytes {
        // Encoding a value of this type to a vector never fails.
        let payload = rmp_serde::to_vec(self).unwrap_or_default();
        let mut bytes = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        bytes.put_u8(FORMAT);
        bytes.put_u64_le(xxh3::xxh3_64(&payload));
        bytes.extend_from_slice(&payload);
        bytes.freeze()
    }

    /// Decodes a record.
    pub fn decode(bytes: &Bytes) -> Result<Record, Malformed> {
        if bytes.len() > constants::MAX_RECORD_BYTES {
            return Err(Malformed::Oversized(bytes.len()));
        }
        let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(Malformed::Damaged)?;
        let (format, checksum) = header.split_first().ok_or(Malformed::Damaged)?;
        if *format != FORMAT {
            return Err(Malformed::UnknownFormat(*format));
        }
        if *checksum != xxh3::xxh3_64(payload).to_le_bytes() {
            return Err(Malformed::Damaged);
        }
        rmp_serde::from_slice(payload).map_err(|_| Malformed::Damaged)
    }
}
