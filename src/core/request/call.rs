//! What callers ask for.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids;

/// A request that an instance has read from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The digest of the key that came with it.
    pub key: Option<ids::Digest>,
    /// What it asks for.
    pub target: Target,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A completion.
    Language(LanguageCall),
    /// A call of a plain service.
    Plain(PlainCall),
}

/// A request for a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LanguageCall {
    /// The model that the caller names.
    pub model: ids::ModelId,
    /// The length of the prompt.
    pub prompt_bytes: u64,
    /// The chain of hashes of the prompt's whole blocks.
    pub prefix: Vec<ids::BlockHash>,
    /// The most tokens that may be generated.
    pub output_limit_tokens: u32,
    /// Whether a second run gives the same output.
    pub deterministic: bool,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCall {
    /// The method.
    pub method: Bytes,
    /// The path, without the query.
    pub path: Bytes,
    /// The idempotency key, if one came with the call.
    pub idempotency_key: Option<Bytes>,
    /// The digest of method, path, query and body; of method, path and query alone where the body
    /// is not buffered.
    pub fingerprint: ids::Digest,
    /// Whether the body is buffered, so that the call can be sent again.
    pub replayable: bool,
}
