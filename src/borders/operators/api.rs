//! Bodies and headers of the HTTP interface for operators, shared by the server and the
//! command-line client.

use serde::{Deserialize, Serialize};

use crate::core::configuration;
use crate::document::hex;
use crate::settings;

/// Response header: the version of the document.
pub const VERSION_HEADER: &str = "x-version";

/// Response header: the SHA-256 digest of the document in hexadecimal digits.
pub const DIGEST_HEADER: &str = "x-digest";

/// Request and response header: the author who proposed the document.
pub const AUTHOR_HEADER: &str = "x-author";

/// Request header: the version that the proposed document replaces.
pub const BASE_HEADER: &str = "x-base-version";

/// Request header: the id of the proposal in 32 hexadecimal digits. Proposing again with the same
/// id is idempotent.
pub const PROPOSAL_HEADER: &str = "x-proposal-id";

/// The response to an accepted proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version that the document got.
    pub version: u64,
    /// The SHA-256 digest of the document in hexadecimal digits.
    pub digest: String,
}

/// A version that is or was in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version number.
    pub version: u64,
    /// The version that this one replaced.
    pub base: u64,
    /// The author who proposed this version.
    pub author: String,
    /// When the log recorded this version, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The SHA-256 digest of the document in hexadecimal digits.
    pub digest: String,
    /// The id of the proposal in hexadecimal digits.
    pub proposal: String,
}

impl From<&configuration::Entry> for HistoryEntry {
    fn from(entry: &configuration::Entry) -> Self {
        Self {
            version: entry.version,
            base: entry.base,
            author: String::from_utf8_lossy(&entry.author).into_owned(),
            time_ms: entry.time_ms,
            digest: hex::format(&entry.digest),
            proposal: format!("{:032x}", entry.proposal),
        }
    }
}

/// The versions that are or were in force, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The versions, each with its author and digest.
    pub entries: Vec<HistoryEntry>,
}

/// The body of a request that sets the log level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Level {
    /// The least severe level that is logged.
    pub level: settings::LogLevel,
}

/// Why an operator's request failed; sent as the error's `type`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operator key is missing or wrong.
    Unauthorized,
    /// The path does not exist, or the requested item is unknown.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// A header or the body is missing or malformed.
    BadRequest,
    /// The body did not arrive within the body timeout.
    Timeout,
    /// The body is longer than allowed.
    TooLarge,
    /// The proposal is based on a version that is no longer in force.
    Conflict,
    /// The proposed document is not valid.
    Invalid,
    /// The log did not accept the proposal; nothing has changed.
    Unavailable,
    /// The log may or may not have recorded the proposal.
    Unknown,
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// An error and its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The kind of failure.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// A description of the error.
    pub message: String,
    /// What the operator can do about the error.
    pub remedy: String,
    /// The faults of an invalid document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
    /// The version in force, for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
    /// The author of the version in force, for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<String>,
}

impl ErrorDetail {
    /// Creates an error without faults or conflicting version.
    pub fn new(kind: Kind, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            remedy: remedy.into(),
            faults: Vec::new(),
            current: None,
            author: None,
        }
    }
}
