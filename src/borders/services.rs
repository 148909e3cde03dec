//! Client for plain services: forwards calls and streams request and response bodies.

use std::net;
use std::time;

use futures_util::future;
use hyper::header;

use crate::borders::http;
use crate::core::ids;
use crate::core::request;

mod headers;

pub use headers::strip_hop_by_hop;

/// One attempt to forward a call to a plain service.
pub struct Call {
    /// The id of the caller's request, sent as `x-request-id`.
    pub request: ids::RequestId,
    /// The server's address.
    pub address: net::SocketAddr,
    /// The caller's address, sent as `x-forwarded-for`.
    pub caller: net::SocketAddr,
    /// The request to forward.
    pub message: http::Request,
    /// Time for sending the body, added to the timeout for the first byte of the response.
    pub upload_timeout: time::Duration,
}

/// Client for all plain services, which are addressed by socket address.
pub trait Services: Send + Sync {
    /// Forwards a call and returns the response head with a streaming body.
    fn forward(
        &self,
        call: Call,
    ) -> future::BoxFuture<'_, Result<http::Response, request::Failure>>;
}

/// The client for services over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpServices {
    client: http::Client,
    first_byte_timeout: time::Duration,
}

impl HttpServices {
    /// Creates a client for services; `first_byte_timeout` is the time to the response head.
    pub fn new(client: http::Client, first_byte_timeout: time::Duration) -> Self {
        Self { client, first_byte_timeout }
    }

    async fn run(&self, call: Call) -> Result<http::Response, request::Failure> {
        let mut message = call.message;
        headers::prepare(&mut message, call.request, call.address, call.caller);
        // A second copy of the last answer on a kept connection looks like the next answer.
        let reuse = http::Reuse::Never;
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
