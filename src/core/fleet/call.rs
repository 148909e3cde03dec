//! A caller's request with the properties that matter for routing.

use std::time;

use bytes::Bytes;

use crate::core::fleet::constants;
use crate::core::ids;

/// The number of a request within this instance.
pub type RequestNumber = u64;

/// The id of the last part of a prompt, which belongs to one request or session.
pub type PromptId = u64;

/// The id of a part of a prompt that requests share.
pub type PartId = u64;

/// The id of a stream: that of the caller's attempt that brought its first event.
pub type StreamId = Bytes;

/// A digest of the id of a stream, which callers choose.
pub type StreamKey = u64;

/// A digest of all that a caller sends but what is new for each attempt: method, host, path with query
/// and body.
pub type ContentDigest = u128;

/// Returns the digest of a request's parts, each of which ends before the next one begins.
pub fn content_digest(parts: &[&[u8]]) -> ContentDigest {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}

/// Returns the key of a stream.
pub fn stream_key(id: &StreamId) -> StreamKey {
    use sha2::Digest as _;
    let digest: ids::Digest = sha2::Sha256::digest(id).into();
    ids::first_u64(&digest)
}

/// The maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 4;

/// Returns the first parts of a prompt as text for a log line.
pub fn part_names(parts: &[PartId]) -> Vec<String> {
    parts.iter().take(MAX_LOGGED_PARTS).map(|part| format!("{part:x}")).collect()
}

/// The token counts of a language request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tokens {
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of generated tokens.
    pub output_tokens: u32,
    /// The number of generated tokens that the caller expects.
    pub expected_tokens: u32,
}

impl Default for Tokens {
    /// Returns the token counts that are assumed for a request without any.
    fn default() -> Self {
        Self { prompt_tokens: 200, output_tokens: 50, expected_tokens: 50 }
    }
}

impl Tokens {
    /// Returns the KV cache tokens that the request is expected to take, averaged over its run: its
    /// prompt and a part of its output.
    pub fn memory_tokens(self) -> u32 {
        let expected = f64::from(self.expected_tokens) * constants::OUTPUT_KV_CACHE_SHARE;
        self.prompt_tokens.saturating_add(expected as u32)
    }

    /// Returns the sum of the prompt tokens and the maximum output tokens.
    pub fn total_tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// A caller's request.
#[derive(Debug, Default, Clone)]
pub struct Call {
    /// The id that the caller chose for this attempt.
    pub id: Bytes,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The key of the caller's workspace, if it sent one.
    pub key: Option<Bytes>,
    /// The time that the caller waits for the answer, if it sent one.
    pub deadline: Option<time::Duration>,
    /// The token counts, if the request contains them.
    pub tokens: Option<Tokens>,
    /// The id of its prompt, if the request contains one.
    pub prompt: Option<PromptId>,
    /// The ids of the other parts of its prompt, in their order.
    pub shared_parts: Vec<PartId>,
    /// The digest of what the caller sends, if the whole request is known.
    pub content: Option<ContentDigest>,
    /// The stream that it resumes, if it does; empty if the caller does not name the stream.
    pub resumes: Option<StreamId>,
}
