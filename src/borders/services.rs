//! Plain services: forwards calls and streams both bodies.

use std::net;
use std::time;

use futures_util::future;
use hyper::header;

use crate::borders::http;
use crate::core::ids;
use crate::core::request;

mod headers;

pub use headers::strip_hop_by_hop;

/// One attempt at a plain service.
pub struct Call {
    /// The request.
    pub request: ids::RequestId,
    /// The server's address.
    pub address: net::SocketAddr,
    /// The caller's address.
    pub caller: net::SocketAddr,
    /// The caller's request.
    pub message: http::Request,
    /// Whether only a new connection may be used.
    pub fresh: bool,
    /// How long sending the body may take beside the wait for the first byte of the answer.
    pub upload_timeout: time::Duration,
}

/// All plain services.
pub trait Services: Send + Sync {
    /// Forwards a call and returns the head of the answer with its body.
    fn forward(
        &self,
        call: Call,
    ) -> future::BoxFuture<'_, Result<http::Response, request::Failure>>;
}

/// The adapter for services over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpServices {
    client: http::Client,
    first_byte_timeout: time::Duration,
}

impl HttpServices {
    /// Creates an adapter over an HTTP client.
    pub fn new(client: http::Client, first_byte_timeout: time::Duration) -> Self {
        Self { client, first_byte_timeout }
    }

    async fn run(&self, call: Call) -> Result<http::Response, request::Failure> {
        let mut message = call.message;
        headers::prepare(&mut message, call.request, call.address, call.caller);
        let reuse = if call.fresh { http::Reuse::Never } else { http::Reuse::Pooled };
        let first_byte_timeout = self.first_byte_timeout + call.upload_timeout;
        let mut response =
            self.client.send(call.address, message, reuse, first_byte_timeout).await?;
        strip_hop_by_hop(response.headers_mut());
        response.headers_mut().remove(header::CONNECTION);
        Ok(response)
    }
}

impl Services for HttpServices {
    fn forward(
        &self,
        call: Call,
    ) -> future::BoxFuture<'_, Result<http::Response, request::Failure>> {
        Box::pin(self.run(call))
    }
}
