//! What callers and servers speak, as far as the router has to know it.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http;

use crate::core::fleet;
use crate::core::fleet::call;
use crate::router::body;

/// What the head of a server's answer says besides its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// The server states that it has not run the request.
    pub is_rejection: bool,
    /// Another server answers than the one that was meant.
    pub is_misdirected: bool,
    /// The answer belongs to the request that was sent.
    pub matches_request: bool,
    /// The answer bears the server's signature.
    pub is_signed: bool,
}

/// A question of a caller or of the operator's checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryQuery {
    /// Whether this instance takes requests.
    Readiness,
    /// Where callers may connect.
    CallerAddresses,
    /// Neither.
    Unknown,
}

/// The translation between messages and the product's types.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Tells why the head cannot be read.
    fn read_call(&self, head: &http::request::Parts) -> Result<call::Call, fleet::refusal::Reason>;

    /// Reads the caller's id of a request; empty if it has none.
    fn read_id(&self, head: &http::request::Parts) -> Bytes;

    /// Writes the request that a server is sent; `after_event` resumes a stream.
    fn write_request(
        &self,
        head: &http::request::Parts,
        body: Bytes,
        dispatch: &fleet::Dispatch,
        remaining: time::Duration,
        after_event: Option<&str>,
    ) -> http::Request<Full<Bytes>>;

    /// Reads the head of a server's answer.
    fn read_response_head(&self, head: &http::response::Parts, call: &call::Call) -> ResponseHead;

    /// Removes what concerns one connection only from a server's answer.
    fn clean_response_head(&self, head: &mut http::response::Parts);

    /// Reads the answer of a server that has read a prompt.
    fn read_prefill_response(&self, body: &[u8]) -> Option<fleet::HandleId>;

    /// Writes the request that frees a prompt's memory.
    fn write_release(&self, server: net::SocketAddr, handle: &str) -> http::Request<Full<Bytes>>;

    /// Reads a question.
    fn read_discovery_query(&self, head: &http::request::Parts) -> DiscoveryQuery;

    /// Writes where callers may connect.
    fn write_caller_addresses(&self, addresses: &[net::SocketAddr]) -> http::Response<body::Body>;

    /// Writes a refusal.
    fn write_refusal(&self, refusal: fleet::refusal::Refusal) -> http::Response<body::Body>;
}
