//! The bodies and headers of the operators' HTTP interface, shared by the server and the command
//! line.

use serde::{Deserialize, Serialize};

use crate::core::configuration;
use crate::document::hex;
use crate::settings;

/// The version of the document in an answer.
pub const VERSION_HEADER: &str = "x-version";

/// The SHA-256 digest of the document in an answer, in hexadecimal digits.
pub const DIGEST_HEADER: &str = "x-digest";

/// Who proposes a document, or proposed the one in the answer.
pub const AUTHOR_HEADER: &str = "x-author";

/// The version that a proposed document replaces.
pub const BASE_HEADER: &str = "x-base-version";

/// The number of a proposal, in 32 hexadecimal digits.
pub const PROPOSAL_HEADER: &str = "x-proposal-id";

/// A proposal was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version from which on the document is in force.
    pub version: u64,
    /// The SHA-256 digest of the document in hexadecimal digits.
    pub digest: String,
}

/// A version that was in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: u64,
    /// The version that it replaced.
    pub base: u64,
    /// Who proposed it.
    pub author: String,
    /// Milliseconds since the Unix epoch when the log took it.
    pub time_ms: u64,
    /// The SHA-256 digest of the document in hexadecimal digits.
    pub digest: String,
    /// The number of the proposal in hexadecimal digits.
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

/// The versions that were in force, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The versions.
    pub entries: Vec<HistoryEntry>,
}

/// The level that is to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Level {
    /// The level.
    pub level: settings::LogLevel,
}

/// Why a request of an operator was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operator key is missing or wrong.
    Unauthorized,
    /// Nothing has this path, or nothing is known by this name.
    NotFound,
    /// The path has other methods.
    MethodNotAllowed,
    /// A header or the body cannot be read.
    BadRequest,
    /// The body took too long.
    Timeout,
    /// The body is too long.
    TooLarge,
    /// Another document came first.
    Conflict,
    /// The document is not valid.
    Invalid,
    /// The log did not take the proposal.
    Unavailable,
    /// The log may have taken the proposal.
    Unknown,
}

/// The body of an answer to a request that was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong, and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The kind of failure.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// What went wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// The faults of a document that is not valid.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
    /// The version in force, if another document came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
    /// Who proposed the version in force, if another document came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<String>,
}

impl ErrorDetail {
    /// Creates a description without further fields.
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
