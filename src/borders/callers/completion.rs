//! Parses the body of a completion request.

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

/// Output limit of requests without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The largest output limit that a caller may set.
const MAX_OUTPUT_TOKENS: u32 = 32_768;

/// Prompt bytes covered by one block hash.
const BLOCK_BYTES: usize = 1_024;

/// Prompt blocks that are hashed; later blocks do not count for prefix matching.
const MAX_BLOCKS: usize = 256;

/// Assumed text length of one token, for the size of a prompt given as token ids.
const BYTES_PER_TOKEN_ID: u64 = 4;

/// A parsed completion request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The part of the request that the reducer decides on.
    pub call: request::LanguageCall,
    /// The request's JSON fields, to be sent to the engine.
    pub fields: sync::Arc<engines::Fields>,
    /// The API that the caller used.
    pub api: engines::Api,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
    /// Whether the stream ends with an event that has the token counts.
    pub include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
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

/// Parses and validates a completion request.
///
/// # Errors
///
/// Fails if the body is not JSON with the API's fields or uses an unsupported option.
pub fn parse(api: engines::Api, body: &[u8]) -> Result<Completion, errors::RequestError> {
    let malformed =
        |failure: serde_json::Error| errors::RequestError::Malformed(failure.to_string());
    let parsed: RequestBody = serde_json::from_slice(body).map_err(malformed)?;
    let mut fields: engines::Fields = serde_json::from_slice(body).map_err(malformed)?;
    parsed.validate()?;
    let prompt = parsed.prompt_text(api)?;
    let output_limit_tokens = parsed.output_limit()?;
    for name in ["kv_transfer_params", "resume", "priority", "max_completion_tokens"] {
        fields.remove(name);
    }
    let limit = value::to_raw_value(&json!(output_limit_tokens)).map_err(malformed)?;
    fields.insert("max_tokens".to_string(), limit);
    Ok(Completion {
        call: request::LanguageCall {
            model: Bytes::from(parsed.model.clone()),
            prompt_bytes: prompt.bytes,
            prefix: block_hashes(prompt.text.as_bytes()),
            output_limit_tokens,
            deterministic: parsed.temperature == Some(0.0) || parsed.seed.is_some(),
        },
        fields: sync::Arc::new(fields),
        api,
        stream: parsed.stream.unwrap_or(false),
        include_usage: parsed.stream_options.unwrap_or_default().include_usage,
    })
}

/// The text of a prompt and its length; the text is empty for a prompt given as token ids.
struct PromptText {
    text: String,
    bytes: u64,
}

impl RequestBody {
    fn validate(&self) -> Result<(), errors::RequestError> {
        if self.model.is_empty() {
            return Err(invalid("model must not be empty"));
        }
        if self.n.unwrap_or(1) != 1 || self.best_of.unwrap_or(1) != 1 {
            return Err(invalid("n and best_of must be 1"));
        }
        Ok(())
    }

    fn prompt_text(&self, api: engines::Api) -> Result<PromptText, errors::RequestError> {
        let text = match (api, &self.prompt, &self.messages) {
            (engines::Api::Chat, _, Some(messages)) if !messages.is_empty() => join_text(messages),
            (engines::Api::Chat, _, _) => return Err(invalid("messages must not be empty")),
            (engines::Api::Completions, Some(Prompt::Text(text)), _) => text.clone(),
            (engines::Api::Completions, Some(Prompt::Texts(texts)), _) if texts.len() == 1 => {
                texts[0].clone()
            }
            (engines::Api::Completions, Some(Prompt::Tokens(tokens)), _) if !tokens.is_empty() => {
                let bytes = tokens.len() as u64 * BYTES_PER_TOKEN_ID;
                return Ok(PromptText { text: String::new(), bytes });
            }
            (engines::Api::Completions, _, _) => {
                return Err(invalid("prompt must be one text or one list of token ids"));
            }
        };
        Ok(PromptText { bytes: text.len() as u64, text })
    }

    fn output_limit(&self) -> Result<u32, errors::RequestError> {
        let limit = self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_OUTPUT_TOKENS);
        match limit {
            1..=MAX_OUTPUT_TOKENS => Ok(limit),
            _ => Err(invalid("max_tokens must be from 1 to 32768")),
        }
    }
}

fn invalid(problem: &str) -> errors::RequestError {
    errors::RequestError::Malformed(problem.to_string())
}

fn join_text(messages: &[Message]) -> String {
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

/// Returns the hashes of a prompt's complete blocks; each hash also covers the blocks before it.
fn block_hashes(text: &[u8]) -> Vec<ids::BlockHash> {
    let blocks = text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .scan(0, |previous, block| {
            *previous = xxh3::xxh3_64_with_seed(block, *previous);
            Some(*previous)
        })
        .collect()
}
