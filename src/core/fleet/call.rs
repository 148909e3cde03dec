//! A caller's request as the decisions see it.

use std::time;

use bytes::Bytes;

use crate::core::fleet::constants;

/// The number of a request within this instance.
pub type RequestNumber = u64;

/// The tokens of a language request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that are generated at most.
    pub output_tokens: u32,
    /// Tokens that the caller expects to be generated.
    pub expected_tokens: u32,
}

impl Default for Tokens {
    /// The tokens of a request that names none.
    fn default() -> Self {
        Self { prompt_tokens: 200, output_tokens: 50, expected_tokens: 50 }
    }
}

impl Tokens {
    /// Returns the memory that the request is expected to take, averaged over its run: its prompt
    /// and a part of its output.
    pub fn memory_tokens(self) -> u32 {
        let expected = f64::from(self.expected_tokens) * constants::OUTPUT_KV_CACHE_SHARE;
        self.prompt_tokens.saturating_add(expected as u32)
    }

    /// Returns the prompt and the longest output together.
    pub fn total_tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// A request.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id that the caller chose for this attempt.
    pub id: Bytes,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The key, if one was shown.
    pub key: Option<Bytes>,
    /// How long the caller waits.
    pub deadline: Option<time::Duration>,
    /// The tokens, if it names them.
    pub tokens: Option<Tokens>,
}
