//! JSON formats of the engines' API.

use std::borrow;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use serde_json::value;

use crate::borders::engines;
use crate::core::ids;
use crate::core::placement;
use crate::core::request;
use crate::core::scheduler;
use crate::lists;

/// Prefix of the ids in responses, before the request id.
const ID_PREFIX: &str = "cmpl-";

/// The response to a prefill.
#[derive(Debug, Deserialize)]
pub struct PrefillResponse {
    /// The response id, which contains the request id.
    pub id: String,
    /// The token counts.
    pub usage: Usage,
    /// The KV cache handle.
    pub kv_transfer_params: Option<Box<value::RawValue>>,
}

/// Token counts that an engine reports.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Usage {
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

impl From<Usage> for request::Usage {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.prompt_tokens_details.unwrap_or_default().cached_tokens,
            completion_tokens: usage.completion_tokens,
        }
    }
}

#[derive(Debug, Deserialize)]
struct RawChunk<'a> {
    #[serde(borrow)]
    id: borrow::Cow<'a, str>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: Option<borrow::Cow<'a, str>>,
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default)]
    finish_reason: Option<borrow::Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<borrow::Cow<'a, str>>,
}

/// The response with the requests that an engine holds.
#[derive(Debug, Deserialize)]
pub struct RequestsResponse {
    /// The requests, those of other systems included.
    #[serde(deserialize_with = "lists::readable_entries")]
    pub requests: Vec<RequestEntry>,
}

/// One request that an engine holds.
#[derive(Debug, Deserialize)]
pub struct RequestEntry {
    id: String,
    pieces: u32,
    age_ms: u32,
}

impl RequestEntry {
    /// Converts the entry; `None` if the id was not issued by this system.
    pub fn into_held_request(self) -> Option<scheduler::HeldRequest> {
        let request = ids::parse_request(&self.id)?;
        Some(scheduler::HeldRequest { request, pieces: self.pieces, age_ms: self.age_ms })
    }
}

/// The response with an engine's load.
#[derive(Debug, Deserialize)]
pub struct LoadResponse {
    running: u32,
    queued: u32,
    pieces_free: u32,
    #[serde(default)]
    measured_age_ms: u32,
}

impl LoadResponse {
    /// Converts the response for the server that sent it.
    pub fn into_load(self, server: ids::ServerId) -> scheduler::Load {
        scheduler::Load {
            server,
            running: self.running,
            queued: self.queued,
            free_pieces: self.pieces_free,
            age_ms: self.measured_age_ms,
        }
    }
}

/// The response with a snapshot of a prefix cache.
#[derive(Debug, Deserialize)]
pub struct CacheResponse {
    /// The sequence number up to which the snapshot includes events.
    pub sequence: u64,
    /// The block hashes as decimal numbers.
    #[serde(deserialize_with = "lists::readable_entries")]
    pub blocks: Vec<String>,
}

/// The response with events of a prefix cache.
#[derive(Debug, Deserialize)]
pub struct CacheEventsResponse {
    first: u64,
    next: u64,
    #[serde(deserialize_with = "lists::readable_entries")]
    events: Vec<RawCacheEvent>,
}

#[derive(Debug, Deserialize)]
struct RawCacheEvent {
    sequence: u64,
    kind: CacheEventKind,
    blocks: Vec<String>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CacheEventKind {
    Stored,
    Evicted,
}

impl CacheEventsResponse {
    /// Converts the response.
    pub fn into_events(self) -> engines::CacheEvents {
        let events = self.events.into_iter().map(RawCacheEvent::into_event).collect();
        engines::CacheEvents { first: self.first, next: self.next, events }
    }
}

impl RawCacheEvent {
    fn into_event(self) -> placement::CacheEvent {
        let sequence = self.sequence;
        let blocks = parse_blocks(&self.blocks);
        match self.kind {
            CacheEventKind::Stored => placement::CacheEvent::Stored { sequence, blocks },
            CacheEventKind::Evicted => placement::CacheEvent::Evicted { sequence, blocks },
        }
    }
}

/// Parses block hashes; skips those that are not decimal numbers.
pub fn parse_blocks(blocks: &[String]) -> Vec<ids::BlockHash> {
    blocks.iter().filter_map(|block| block.parse().ok()).collect()
}

/// Returns whether a response id belongs to the request.
pub fn is_own(id: &str, request: ids::RequestId) -> bool {
    id.strip_prefix(ID_PREFIX).and_then(ids::parse_request) == Some(request)
}

/// Returns the body of a prefill request: one output token, with the KV cache kept for transfer.
pub fn prefill_body(call: &engines::Call) -> Vec<u8> {
    let mut fields = (*call.fields).clone();
    set_field(&mut fields, "max_tokens", json!(1));
    set_field(&mut fields, "stream", json!(false));
    set_field(&mut fields, "priority", json!(call.priority));
    set_field(&mut fields, "kv_transfer_params", json!({ "do_remote_decode": true }));
    fields.remove("stream_options");
    fields.remove("max_completion_tokens");
    to_json(&fields)
}

/// Returns the body of a decode request.
pub fn decode_body(call: &engines::Call, source: &engines::Source) -> Vec<u8> {
    let mut fields = (*call.fields).clone();
    set_field(&mut fields, "stream", json!(true));
    set_field(&mut fields, "stream_options", json!({ "include_usage": true }));
    set_field(&mut fields, "priority", json!(call.priority));
    match source {
        engines::Source::Import(transfer) => {
            let mut params: value::Map<String, value::Value> =
                serde_json::from_str(transfer.get()).unwrap_or_default();
            params.insert("do_remote_prefill".to_string(), json!(true));
            set_field(&mut fields, "kv_transfer_params", value::Value::Object(params));
        }
        engines::Source::Prompt => {}
        engines::Source::Resume { from_token } => {
            set_field(&mut fields, "resume", json!({ "from_token": from_token }));
        }
    }
    to_json(&fields)
}

/// Returns the JSON form of an order.
pub fn order_body(order: &engines::Order) -> value::Value {
    match order {
        engines::Order::LoadModel(model) => {
            json!({ "kind": "load_model", "model": String::from_utf8_lossy(model) })
        }
        engines::Order::ChangeRole(scheduler::Phase::Prefill) => {
            json!({ "kind": "change_role", "role": "prefill" })
        }
        engines::Order::ChangeRole(scheduler::Phase::Decode) => {
            json!({ "kind": "change_role", "role": "decode" })
        }
    }
}

/// Parses one event of a stream and checks that it belongs to the request.
///
/// # Errors
///
/// Fails with [`request::Fault::Crossed`] if the event carries another request's id.
pub fn parse_chunk(
    data: String,
    request: ids::RequestId,
) -> Result<engines::Chunk, request::Fault> {
    let chunk: RawChunk<'_> = serde_json::from_str(&data).map_err(|_| request::Fault::Malformed)?;
    if !is_own(&chunk.id, request) {
        return Err(request::Fault::Crossed);
    }
    let content = match (chunk.choices.into_iter().next(), chunk.usage) {
        (Some(choice), _) => choice.into_content(),
        (None, Some(usage)) => engines::Content::Usage(usage.into()),
        (None, None) => engines::Content::Other,
    };
    Ok(engines::Chunk { content, data: Bytes::from(data) })
}

impl Choice<'_> {
    fn into_content(self) -> engines::Content {
        let delta = self.delta.and_then(|delta| delta.content);
        let finish_reason = self.finish_reason.map(borrow::Cow::into_owned);
        match self.text.or(delta) {
            Some(text) => engines::Content::Token { text: text.into_owned(), finish_reason },
            None => engines::Content::Other,
        }
    }
}

fn set_field(fields: &mut engines::Fields, name: &str, value: value::Value) {
    if let Ok(raw) = value::to_raw_value(&value) {
        fields.insert(name.to_string(), raw);
    }
}

fn to_json(fields: &engines::Fields) -> Vec<u8> {
    serde_json::to_vec(fields).unwrap_or_default()
}
