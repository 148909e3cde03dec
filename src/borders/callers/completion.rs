//! Reads the body of a completion request.

use std::sync;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use serde_json::value;
use xxhash_rust::xxh3;

use crate::borders::callers::errors;
use crate::borders::engines;
use crate::core::ids;
use crate::core::request;

/// Tokens generated where the caller names no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The most tokens that a caller may ask for.
const MAX_OUTPUT_TOKENS: u32 = 32_768;

/// Bytes of a prompt that one block hash covers.
const BLOCK_BYTES: usize = 1_024;

/// Blocks of a prompt that are hashed.
const MAX_BLOCKS: usize = 256;

/// Bytes that stand for one token id in a prompt given as token ids.
const BYTES_PER_TOKEN_ID: u64 = 4;

/// A completion request that has been read.
#[derive(Debug, Clone)]
pub struct Completion {
    /// What the reducer needs to know.
    pub call: request::LanguageCall,
    /// The fields for the engine.
    pub fields: sync::Arc<engines::Fields>,
    /// The API.
    pub api: engines::Api,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the stream ends with the engine's count.
    pub include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Known {
    model: String,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    temperature: Option<f64>,
    #[serde(default)]
    seed: Option<i64>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    best_of: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Texts(Vec<String>),
    Tokens(Vec<u32>),
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Reads a completion request.
///
/// # Errors
///
/// Fails if the body is not JSON of the API's shape or asks for what is not offered.
pub fn parse(api: engines::Api, body: &[u8]) -> Result<Completion, errors::Unreadable> {
    let malformed = |failure: serde_json::Error| errors::Unreadable::Malformed(failure.to_string());
    let known: Known = serde_json::from_slice(body).map_err(malformed)?;
    let mut fields: engines::Fields = serde_json::from_slice(body).map_err(malformed)?;
    known.check()?;
    let text = known.prompt_text(api)?;
    let output_limit_tokens = known.output_limit()?;
    for name in ["kv_transfer_params", "resume", "priority", "max_completion_tokens"] {
        fields.remove(name);
    }
    let limit = value::to_raw_value(&json!(output_limit_tokens)).map_err(malformed)?;
    fields.insert("max_tokens".to_string(), limit);
    Ok(Completion {
        call: request::LanguageCall {
            model: Bytes::from(known.model.clone()),
            prompt_bytes: text.bytes,
            prefix: block_hashes(text.text.as_bytes()),
            output_limit_tokens,
            deterministic: known.temperature == Some(0.0) || known.seed.is_some(),
        },
        fields: sync::Arc::new(fields),
        api,
        stream: known.stream.unwrap_or(false),
        include_usage: known.stream_options.unwrap_or_default().include_usage,
    })
}

/// The text of a prompt and its length.
struct PromptText {
    text: String,
    bytes: u64,
}

impl Known {
    fn check(&self) -> Result<(), errors::Unreadable> {
        if self.model.is_empty() {
            return Err(refuse("model must not be empty"));
        }
        if self.n.unwrap_or(1) != 1 || self.best_of.unwrap_or(1) != 1 {
            return Err(refuse("n and best_of must be 1"));
        }
        Ok(())
    }

    fn prompt_text(&self, api: engines::Api) -> Result<PromptText, errors::Unreadable> {
        let text = match (api, &self.prompt, &self.messages) {
            (engines::Api::Chat, _, Some(messages)) if !messages.is_empty() => join(messages),
            (engines::Api::Chat, _, _) => return Err(refuse("messages must not be empty")),
            (engines::Api::Completions, Some(Prompt::Text(text)), _) => text.clone(),
            (engines::Api::Completions, Some(Prompt::Texts(texts)), _) if texts.len() == 1 => {
                texts[0].clone()
            }
            (engines::Api::Completions, Some(Prompt::Tokens(tokens)), _) if !tokens.is_empty() => {
                let bytes = tokens.len() as u64 * BYTES_PER_TOKEN_ID;
                return Ok(PromptText { text: String::new(), bytes });
            }
            (engines::Api::Completions, _, _) => {
                return Err(refuse("prompt must be one text or one list of token ids"));
            }
        };
        Ok(PromptText { bytes: text.len() as u64, text })
    }

    fn output_limit(&self) -> Result<u32, errors::Unreadable> {
        let limit = self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_OUTPUT_TOKENS);
        match limit {
            1..=MAX_OUTPUT_TOKENS => Ok(limit),
            _ => Err(refuse("max_tokens must be from 1 to 32768")),
        }
    }
}

fn refuse(problem: &str) -> errors::Unreadable {
    errors::Unreadable::Malformed(problem.to_string())
}

fn join(messages: &[Message]) -> String {
    let contents = messages.iter().filter_map(|message| message.content.as_ref());
    let texts: Vec<String> = contents.map(Content::to_text).collect();
    texts.join("\n")
}

impl Content {
    fn to_text(&self) -> String {
        match self {
            Content::Text(text) => text.clone(),
            Content::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

/// Returns the chain of hashes of a prompt's whole blocks.
fn block_hashes(text: &[u8]) -> Vec<ids::BlockHash> {
    let blocks = text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .scan(0, |previous, block| {
            *previous = xxh3::xxh3_64_with_seed(block, *previous);
            Some(*previous)
        })
        .collect()
}
