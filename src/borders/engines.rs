//! Client interface for language engines: prefill, decode, cancel, load and prefix cache.

use std::collections as std_collections;
use std::net;
use std::sync;

use bytes::Bytes;
use futures_util::future;
use serde_json::value;

use crate::core::ids;
use crate::core::placement;
use crate::core::request;
use crate::core::scheduler;

pub mod openai;

/// The JSON fields of a caller's request by name, each as its original text.
pub type Fields = std_collections::BTreeMap<String, Box<value::RawValue>>;

/// The KV cache handle (`kv_transfer_params`) that a prefill returns, passed unchanged to the
/// decode.
pub type Transfer = sync::Arc<value::RawValue>;

/// Which completions API a caller used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

/// One attempt at an engine.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id of the caller's request, sent as `x-request-id`.
    pub request: ids::RequestId,
    /// The engine's address.
    pub address: net::SocketAddr,
    /// The priority in the engine's queue; lower values run first.
    pub priority: i32,
    /// The API that the caller used.
    pub api: Api,
    /// The JSON fields of the caller's request.
    pub fields: sync::Arc<Fields>,
}

/// What a decode attempt starts from.
#[derive(Debug, Clone)]
pub enum Source {
    /// The KV cache of a prefill, imported from another engine.
    Import(Transfer),
    /// The prompt, which this engine also prefills.
    Prompt,
    /// The stream of an earlier attempt that this engine still holds.
    Resume {
        /// The index of the first output token to send, from 0.
        from_token: u32,
    },
}

/// The result of a prefill.
#[derive(Debug, Clone)]
pub struct Prefilled {
    /// The token counts that the engine reported.
    pub usage: request::Usage,
    /// The KV cache handle for the decode.
    pub transfer: Transfer,
}

/// One event of a completion's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The event's JSON text as the engine sent it.
    pub data: Bytes,
    /// The parsed content.
    pub content: Content,
}

/// The content of an event of a completion's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// An output token.
    Token {
        /// The token's text.
        text: String,
        /// The reason why generation ended; set on the last token only.
        finish_reason: Option<String>,
    },
    /// The token counts at the end of the stream.
    Usage(request::Usage),
    /// Any other event, which is not relayed.
    Other,
}

/// The stream of one decode attempt.
pub trait Stream: Send {
    /// Returns the next event; `None` after the engine's end marker (`[DONE]`).
    fn next(&mut self) -> future::BoxFuture<'_, Result<Option<Chunk>, request::Failure>>;
}

/// A query or order to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// The engine did not send a complete response in time.
    #[error(
        "the engine at {address} did not respond ({fault:?}); check that it runs and its address in the document"
    )]
    Unreachable {
        /// The engine's address.
        address: net::SocketAddr,
        /// The kind of failure.
        fault: request::Fault,
    },
    /// The response has an unexpected status or format.
    #[error(
        "the engine at {address} sent an unexpected response; check its version against docs/PROTOCOLS.md"
    )]
    Malformed {
        /// The engine's address.
        address: net::SocketAddr,
    },
}

/// Events of a prefix cache from a sequence number on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvents {
    /// The oldest sequence number that the engine still keeps.
    pub first: u64,
    /// The sequence number to request next.
    pub next: u64,
    /// The events from the requested sequence number on.
    pub events: Vec<placement::CacheEvent>,
}

/// A configuration order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    LoadModel(ids::ModelId),
    /// Change to the role of a phase.
    ChangeRole(scheduler::Phase),
}

/// Client for all language engines, which are addressed by socket address.
pub trait Engines: Send + Sync {
    /// Prefills a prompt and returns the KV cache handle.
    fn prefill(&self, call: Call) -> future::BoxFuture<'_, Result<Prefilled, request::Failure>>;

    /// Starts a decode and returns its stream.
    fn decode(
        &self,
        call: Call,
        source: Source,
    ) -> future::BoxFuture<'_, Result<Box<dyn Stream>, request::Failure>>;

    /// Cancels a request on an engine and frees its resources.
    fn cancel(
        &self,
        address: net::SocketAddr,
        request: ids::RequestId,
    ) -> future::BoxFuture<'_, Result<(), QueryError>>;

    /// Lists the requests that an engine holds.
    fn list_requests(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<Vec<scheduler::HeldRequest>, QueryError>>;

    /// Reads an engine's load; `server` is the id to report it under.
    fn load(
        &self,
        server: ids::ServerId,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<scheduler::Load, QueryError>>;

    /// Reads a snapshot of an engine's prefix cache.
    fn read_cache(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<placement::CacheEvent, QueryError>>;

    /// Long-polls for prefix cache events from a sequence number on.
    fn cache_events(
        &self,
        address: net::SocketAddr,
        from: u64,
    ) -> future::BoxFuture<'_, Result<CacheEvents, QueryError>>;

    /// Sends an order with a fencing number; returns whether the engine accepted it.
    fn send_order(
        &self,
        address: net::SocketAddr,
        fence: ids::Offset,
        order: Order,
    ) -> future::BoxFuture<'_, Result<bool, QueryError>>;
}
