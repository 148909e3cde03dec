//! Language engines: prefill, decode, cancel, and what they publish about themselves.

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

/// The fields of a caller's request, each as the JSON text that came.
pub type Fields = std_collections::BTreeMap<String, Box<value::RawValue>>;

/// Parameters that a prefill returns and a decode takes, passed on unchanged.
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
    /// The request.
    pub request: ids::RequestId,
    /// The engine's address.
    pub address: net::SocketAddr,
    /// The engine's priority; lower runs first.
    pub priority: i32,
    /// The API that the caller used.
    pub api: Api,
    /// The caller's fields.
    pub fields: sync::Arc<Fields>,
}

/// Where the tokens of a decode attempt start from.
#[derive(Debug, Clone)]
pub enum Source {
    /// A KV cache on another engine.
    Import(Transfer),
    /// The prompt.
    Whole,
    /// The stream that the engine holds, from this token on.
    Resume {
        /// The first token that is wanted, from 0.
        from_token: u32,
    },
}

/// The answer to a prefill.
#[derive(Debug, Clone)]
pub struct Prefilled {
    /// What the engine counted.
    pub usage: request::Usage,
    /// Where the KV cache is.
    pub transfer: Transfer,
}

/// One event of a completion's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The event's JSON text as the engine sent it.
    pub data: Bytes,
    /// What it carries.
    pub content: Content,
}

/// What an event of a completion's stream carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// A token.
    Token {
        /// Its text.
        text: String,
        /// Why the stream ends here, if it does.
        finish_reason: Option<String>,
    },
    /// The engine's count at the end.
    Usage(request::Usage),
    /// Neither a token nor a count.
    Other,
}

/// The stream of one decode attempt.
pub trait Stream: Send {
    /// Returns the next event; `None` after the engine's end mark.
    fn next(&mut self) -> future::BoxFuture<'_, Result<Option<Chunk>, request::Failure>>;
}

/// An engine did not answer a question about itself.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// The engine cannot be reached.
    #[error(
        "the engine at {address} did not answer ({fault:?}); check that it runs and its address in the document"
    )]
    Unreachable {
        /// The engine's address.
        address: net::SocketAddr,
        /// How the attempt failed.
        fault: request::Fault,
    },
    /// The engine's answer has another shape than the adapter's.
    #[error(
        "the engine at {address} answered in another format; check its version against docs/PROTOCOLS.md"
    )]
    Malformed {
        /// The engine's address.
        address: net::SocketAddr,
    },
}

/// Events of a prefix cache from a sequence number on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvents {
    /// The oldest sequence number that is still to be had.
    pub first: u64,
    /// The sequence number to ask for next.
    pub next: u64,
    /// The events.
    pub events: Vec<placement::CacheEvent>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    LoadModel(ids::ModelId),
    /// Change to another role.
    ChangeRole(scheduler::Phase),
}

/// All language engines.
pub trait Engines: Send + Sync {
    /// Fills the KV cache for a prompt.
    fn prefill(&self, call: Call) -> future::BoxFuture<'_, Result<Prefilled, request::Failure>>;

    /// Generates tokens.
    fn decode(
        &self,
        call: Call,
        source: Source,
    ) -> future::BoxFuture<'_, Result<Box<dyn Stream>, request::Failure>>;

    /// Frees all that an engine holds for a request.
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

    /// Reads an engine's load.
    fn load(
        &self,
        server: ids::ServerId,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<scheduler::Load, QueryError>>;

    /// Reads the whole prefix cache of an engine.
    fn read_cache(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<placement::CacheEvent, QueryError>>;

    /// Waits for events of an engine's prefix cache.
    fn cache_events(
        &self,
        address: net::SocketAddr,
        from: u64,
    ) -> future::BoxFuture<'_, Result<CacheEvents, QueryError>>;

    /// Gives an order under a fencing number; returns whether the engine took it.
    fn send_order(
        &self,
        address: net::SocketAddr,
        fence: ids::Offset,
        order: Order,
    ) -> future::BoxFuture<'_, Result<bool, QueryError>>;
}
