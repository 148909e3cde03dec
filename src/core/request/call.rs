//! The requests of callers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids;

/// A request that has been received from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The digest of the API key in the request, if there was one.
    pub key: Option<ids::Digest>,
    /// The completion or the service that is requested.
    pub target: Target,
}

/// The completion or the service that is requested.
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
    /// The length of the prompt, in bytes.
    pub prompt_bytes: u64,
    /// The hash chain of the prompt's complete blocks.
    pub prefix: Vec<ids::BlockHash>,
    /// The most tokens that may be generated.
    pub output_limit_tokens: u32,
    /// Whether the output is the same in each run, so that a stream can be continued by another
    /// run.
    pub deterministic: bool,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCall {
    /// The HTTP method.
    pub method: Bytes,
    /// The path of the URL, without the query.
    pub path: Bytes,
    /// The idempotency key in the call's headers, if there was one.
    pub idempotency_key: Option<Bytes>,
    /// The digest of method, path, query and body; of method, path and query alone where the body
    /// is not buffered.
    pub fingerprint: ids::Digest,
    /// Whether the body is buffered, so that the call can be sent again.
    pub replayable: bool,
}
