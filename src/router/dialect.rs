//! The translation of HTTP messages that a platform provides to the router.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http;

use crate::core::fleet;
use crate::core::fleet::call;
use crate::core::fleet::notices;
use crate::core::fleet::server_limits;
use crate::core::fleet::server_load;
use crate::core::ids;
use crate::router::body;

/// What the head of a server's response states besides its status.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseHead {
    /// The server states that it has not run the request.
    pub is_rejection: bool,
    /// A server other than the addressed one responded, and has not run the request.
    pub is_misdirected: bool,
    /// The response carries the id of the request that was sent.
    pub matches_request: bool,
    /// The response carries the id of another request.
    pub is_foreign: bool,
    /// The response carries the server's signature.
    pub is_signed: bool,
    /// What the response states about the rate limit of its server.
    pub limit: server_limits::Statement,
    /// What the response states about further requests to its server.
    pub notice: notices::Notice,
    /// What the response states about the load of its server.
    pub load: server_load::Reading,
}

/// A request to the readiness and discovery listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryQuery {
    /// Whether this instance accepts requests.
    Readiness,
    /// The addresses to which callers may connect.
    CallerAddresses,
    /// Any other path.
    Unknown,
}

/// Translates between HTTP messages and the types of the fleet state.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal if the head is malformed.
    fn read_call(&self, head: &http::request::Parts) -> Result<call::Call, fleet::refusal::Reason>;

    /// Reads the id that the caller gave a request; empty if it has none.
    fn read_id(&self, head: &http::request::Parts) -> Bytes;

    /// Writes the request for a server. `remaining` is the time until the request's deadline;
    /// `after_event` is the id of the event after which a stream is resumed.
    fn write_request(
        &self,
        head: &http::request::Parts,
        body: Bytes,
        dispatch: &fleet::Dispatch,
        remaining: time::Duration,
        after_event: Option<&http::HeaderValue>,
    ) -> http::Request<Full<Bytes>>;

    /// Reads the head of a server's response to a call.
    fn read_response_head(&self, head: &http::response::Parts, call: &call::Call) -> ResponseHead;

    /// Removes headers that the caller must not receive from the head of a server's response.
    fn clean_response_head(&self, head: &mut http::response::Parts);

    /// Reads the KV cache handle from a server's response to a prefill; `None` if it has none.
    fn read_prefill_response(&self, body: &[u8]) -> Option<fleet::HandleId>;

    /// Writes the request that releases a KV cache handle at a server.
    fn write_release(&self, server: net::SocketAddr, handle: &str) -> http::Request<Full<Bytes>>;

    /// Writes the query for the prompts whose KV cache a server holds.
    fn write_prompt_list_query(
        &self,
        server: &ids::ServerId,
        address: net::SocketAddr,
    ) -> http::Request<Full<Bytes>>;

    /// Reads the response to that query.
    ///
    /// # Errors
    ///
    /// Fails if the response is malformed.
    fn read_prompt_list(&self, body: &[u8]) -> Result<Vec<call::PromptId>, serde_json::Error>;

    /// Reads a request to the readiness and discovery listener.
    fn read_discovery_query(&self, head: &http::request::Parts) -> DiscoveryQuery;

    /// Writes the response with the addresses to which callers may connect.
    fn write_caller_addresses(&self, addresses: &[net::SocketAddr]) -> http::Response<body::Body>;

    /// Writes the response for a refused request.
    fn write_refusal(&self, refusal: fleet::refusal::Refusal) -> http::Response<body::Body>;
}
