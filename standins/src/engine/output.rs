//! The deterministic answers of a fake engine, which callers can work out by themselves.

use serde_json::{Value, json};
use xxhash_rust::xxh3;

/// Bytes of prompt text in one prefix block.
pub const BLOCK_BYTES: usize = 1_024;

/// Digest of a prompt.
pub fn digest(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// Token number `index` of the answer to the prompt with this digest.
pub fn token(digest: u64, index: usize) -> String {
    format!("t{index}-{:04x} ", digest & 0xffff)
}

/// Number of tokens in the answer.
pub fn length(digest: u64, max_tokens: usize, early_stop: bool) -> usize {
    if !early_stop || max_tokens < 2 {
        return max_tokens;
    }
    let half = max_tokens / 2;
    let spread = u64::try_from(max_tokens - half + 1).unwrap_or(1);
    half + usize::try_from(digest % spread).unwrap_or(0)
}

/// The whole answer to a prompt.
pub fn answer(prompt: &str, max_tokens: usize, early_stop: bool) -> String {
    let digest = digest(prompt);
    (0..length(digest, max_tokens, early_stop)).map(|index| token(digest, index)).collect()
}

/// Chained hashes of the complete prefix blocks of a prompt.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let chain = prompt.as_bytes().chunks_exact(BLOCK_BYTES).scan(0, |seed, block| {
        *seed = xxh3::xxh3_64_with_seed(block, *seed);
        Some(*seed)
    });
    chain.collect()
}

/// Shape and identity of the chunks of one answer.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Id of the request that the answer claims to belong to.
    pub request_id: String,
    /// Model named in the answer.
    pub model: String,
    /// Whether the answer has the shape of a chat completion.
    pub chat: bool,
}

impl Shape {
    /// A streamed chunk with a text.
    pub fn chunk(&self, text: &str, finish_reason: Option<&str>) -> Value {
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason})
        } else {
            json!({"index": 0, "text": text, "finish_reason": finish_reason})
        };
        self.envelope(vec![choice], true)
    }

    /// The streamed chunk with the usage.
    pub fn usage_chunk(&self, prompt_tokens: u64, completion_tokens: usize) -> Value {
        let mut chunk = self.envelope(Vec::new(), true);
        chunk["usage"] = usage(prompt_tokens, completion_tokens);
        chunk
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, reason: &str, prompt_tokens: u64, tokens: usize) -> Value {
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": reason})
        } else {
            json!({"index": 0, "text": text, "finish_reason": reason})
        };
        let mut answer = self.envelope(vec![choice], false);
        answer["usage"] = usage(prompt_tokens, tokens);
        answer
    }

    fn envelope(&self, choices: Vec<Value>, chunked: bool) -> Value {
        let object = match (self.chat, chunked) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        let id = format!("cmpl-{}", self.request_id);
        json!({"id": id, "object": object, "created": 0, "model": self.model, "choices": choices})
    }
}

fn usage(prompt_tokens: u64, completion_tokens: usize) -> Value {
    let total = prompt_tokens + u64::try_from(completion_tokens).unwrap_or(0);
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": total,
    })
}
