//! The records of the membership stream and their encoding.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids;
use crate::core::membership;
use crate::core::membership::roster;

/// A record of the membership stream.
///
/// `sequence` numbers the records of one process, so that a record that was appended late or twice
/// is recognized as older.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Makes an instance a member and replaces an older process of the same name.
    Join(MemberRecord),
    /// Replaces the member's record and its witnesses, and voids the accusations against it.
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
    /// A witness states that its promises to some members have expired.
    Accuse {
        /// The witness.
        witness: ids::InstanceId,
        /// The offset of the witness's join record.
        joined: ids::Offset,
        /// The next offset that the witness had to read when it wrote this.
        read: ids::Offset,
        /// One accusation for each member.
        #[serde(rename = "charges")]
        accusations: Vec<Accusation>,
    },
    /// Lets new readers start after the log has dropped older records.
    Snapshot(Snapshot),
}

/// What an instance states about itself in a join or renewal record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance; readers ignore `joined` in a join record.
    pub member: membership::Member,
    /// The number of the record among those of the process.
    pub sequence: u64,
    /// The members that may accuse this one.
    pub witnesses: Vec<ids::InstanceId>,
}

/// The state of a roster that decides how records after `version` are applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The offset of the last record that the snapshot includes.
    pub version: ids::Offset,
    /// The log's clock at that offset, in milliseconds since the Unix epoch.
    pub clock_ms: u64,
    /// The members.
    pub entries: Vec<roster::Entry>,
    /// The processes that were removed and whose tombstones have not expired.
    pub tombstones: Vec<(roster::Process, roster::Tombstone)>,
}

/// An accusation against one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accusation {
    /// The accused member.
    pub member: ids::InstanceId,
    /// The offset of the accused member's record that names the witnesses.
    pub record: ids::Offset,
    /// Other witnesses of the member that have been out of the roster for so long that their
    /// promises have expired.
    pub absent: Vec<ids::InstanceId>,
}

/// Encodes a record for the log.
pub fn encode(record: &Record) -> Bytes {
    rmp_serde::to_vec(record).map(Bytes::from).unwrap_or_default()
}

/// Decodes a record; `None` if the bytes are not a valid record.
pub fn decode(body: &Bytes) -> Option<Record> {
    rmp_serde::from_slice(body).ok()
}
