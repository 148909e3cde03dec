//! The records of the membership stream.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids;
use crate::core::membership;
use crate::core::membership::roster;

/// A record of the membership stream.
///
/// `sequence` numbers the records of one process: a record that the log took late or twice is
/// told by it from a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Makes an instance a member and replaces an older process of the same name.
    Join(MemberRecord),
    /// Replaces the member's record, its witnesses and the accusations against it.
    Renew(MemberRecord),
    /// Ends a membership. The process has stopped acting as a member before it appends this.
    Leave {
        /// The instance.
        id: ids::InstanceId,
        /// The process.
        incarnation: ids::Incarnation,
        /// The number of the record among those of the process.
        sequence: u64,
    },
    /// A witness states that its promises to some members have run out.
    Accuse {
        /// The witness.
        witness: ids::InstanceId,
        /// The offset of the witness's join record.
        joined: ids::Offset,
        /// The offset up to which the witness had read when it wrote this.
        read: ids::Offset,
        /// The accusations.
        accusations: Vec<Accusation>,
    },
    /// Lets readers start after older records were dropped from the log.
    Snapshot(Snapshot),
}

/// An instance's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance; `joined` is without meaning in a join record.
    pub member: membership::Member,
    /// The number of the record among those of the process.
    pub sequence: u64,
    /// The members that may accuse it.
    pub witnesses: Vec<ids::InstanceId>,
}

/// All that decides how records after `version` are taken in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The offset of the last record that is included.
    pub version: ids::Offset,
    /// The log's clock at that offset, in milliseconds since the Unix epoch.
    pub clock_ms: u64,
    /// The members.
    pub entries: Vec<roster::Entry>,
    /// The processes that were removed lately.
    pub tombstones: Vec<(roster::Process, roster::Tombstone)>,
}

/// An accusation against one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accusation {
    /// The accused.
    pub member: ids::InstanceId,
    /// The offset of the record of the accused that names the witnesses.
    pub record: ids::Offset,
    /// Fellow witnesses that left the roster so long ago that their promises have run out.
    pub absent: Vec<ids::InstanceId>,
}

/// Encodes a record for the log.
pub fn encode(record: &Record) -> Bytes {
    rmp_serde::to_vec(record).map(Bytes::from).unwrap_or_default()
}

/// Decodes a record; none if the bytes are not one.
pub fn decode(body: &Bytes) -> Option<Record> {
    rmp_serde::from_slice(body).ok()
}
