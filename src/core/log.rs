//! Records of the platform's log and the outcome of appends.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids;

/// The streams of the platform's log that this system uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stream {
    /// Joins, renewals, leaves, accusations and snapshots of the membership.
    Membership,
    /// Changes of the document, and snapshots of it.
    Configuration,
    /// Claims on idempotency keys and on the right to send orders to a server.
    Claims,
}

impl Stream {
    /// All streams, in a fixed order.
    pub const ALL: [Stream; 3] = [Stream::Membership, Stream::Configuration, Stream::Claims];

    /// Returns the stream's name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Stream::Membership => "membership",
            Stream::Configuration => "configuration",
            Stream::Claims => "claims",
        }
    }
}

/// A record of the log as a reader receives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The position of the record in its stream.
    pub offset: ids::Offset,
    /// When the log received the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The record's content, as it was appended.
    pub body: Bytes,
}

/// A batch of records and the bounds of the stream when it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// When this instance sent the read request.
    pub requested_at: ids::Timestamp,
    /// The oldest offset that the log retains.
    pub first: ids::Offset,
    /// The offset after the newest record when the log answered.
    pub next: ids::Offset,
    /// The records from the requested offset on.
    pub records: Vec<Record>,
}

/// The outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The record is in the stream at this offset.
    At(ids::Offset),
    /// The log refused the record; it is not in the stream.
    Refused,
    /// No answer came; the record may be in the stream.
    Unknown,
}
