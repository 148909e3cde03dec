//! An HTTP/1.1 client that reports for each failure whether the server may have received any part
//! of the request.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::combinators;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net as tokio_net;

use crate::borders::timer;
use crate::core::request;

mod pool;

/// Reading or sending a body failed.
#[derive(Debug, thiserror::Error)]
#[error("the body was not transferred completely: {0}; send the request again on a new connection")]
pub struct BodyError(String);

impl BodyError {
    /// Creates an error with the reason of the failure.
    pub fn new<R: fmt::Display>(reason: R) -> Self {
        Self(reason.to_string())
    }
}

/// The body of a request or response.
pub type Body = combinators::UnsyncBoxBody<Bytes, BodyError>;

/// An HTTP request with a buffered or streamed body.
pub type Request = hyper::Request<Body>;

/// An HTTP response. Its connection returns to the pool when the body has been read to its end.
pub type Response = hyper::Response<Body>;

/// Whether a request may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Use an idle connection from the pool if there is one, else a new connection.
    Pooled,
    /// Use a new connection.
    Never,
}

/// Timeouts for connections of the client.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// How long opening a connection may take.
    pub connect: time::Duration,
    /// How long an idle connection may be reused.
    pub idle: time::Duration,
}

/// An HTTP client with a pool of idle connections for each address.
#[derive(Debug, Clone)]
pub struct Client {
    timeouts: Timeouts,
    pool: sync::Arc<pool::Pool>,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new(timeouts: Timeouts) -> Self {
        let pool = sync::Arc::new(pool::Pool::new(timeouts.idle));
        Self { timeouts, pool }
    }

    /// Sends a request and returns the response head with a streaming body. Waits at most
    /// `first_byte_timeout` for the head.
    ///
    /// # Errors
    ///
    /// Fails with [`request::Ran::No`] only if no byte of the request can have been sent.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: Request,
        reuse: Reuse,
        first_byte_timeout: time::Duration,
    ) -> Result<Response, request::Failure> {
        let mut request = request;
        if reuse == Reuse::Pooled {
            while let Some(mut sender) = self.pool.take(address) {
                if !is_usable(&mut sender).await {
                    continue;
                }
                match self.exchange(address, sender, request, first_byte_timeout).await? {
                    Exchange::Responded(response) => return Ok(response),
                    Exchange::NotSent(unsent) => request = unsent,
                }
            }
        }
        let sender = self.connect(address).await?;
        match self.exchange(address, sender, request, first_byte_timeout).await? {
            Exchange::Responded(response) => Ok(response),
            Exchange::NotSent(_) => Err(request::Failure::not_run(request::Fault::Connect)),
        }
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
    ) -> Result<http1::SendRequest<Body>, request::Failure> {
        let connecting = tokio_net::TcpStream::connect(address);
        let stream = match timer::timeout(self.timeouts.connect, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(request::Failure::not_run(request::Fault::Connect)),
        };
        if stream.set_nodelay(true).is_err() {
            return Err(request::Failure::not_run(request::Fault::Connect));
        }
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|_| request::Failure::not_run(request::Fault::Connect))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        mut sender: http1::SendRequest<Body>,
        request: Request,
        first_byte_timeout: time::Duration,
    ) -> Result<Exchange, request::Failure> {
        let sending = sender.try_send_request(request);
        let result = match timer::timeout(first_byte_timeout, sending).await {
            Ok(result) => result,
            Err(_) => return Err(request::Failure::maybe_run(request::Fault::FirstByte)),
        };
        match result {
            Ok(response) => {
                let pool = self.pool.clone();
                let response = response
                    .map(|body| pool::PooledBody::new(body, sender, address, pool).boxed_unsync());
                Ok(Exchange::Responded(response))
            }
            Err(mut failure) => match failure.take_message() {
                Some(request) => Ok(Exchange::NotSent(request)),
                None => Err(request::Failure::maybe_run(request::Fault::Closed)),
            },
        }
    }
}

/// The result of sending a request on one connection. `NotSent` returns the unsent request, which
/// can be sent on another connection.
enum Exchange {
    Responded(Response),
    NotSent(Request),
}

async fn is_usable(sender: &mut http1::SendRequest<Body>) -> bool {
    !sender.is_closed() && sender.ready().await.is_ok()
}

/// Returns a body with the given bytes.
pub fn full(bytes: Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// Fails if the body is longer, if the connection fails, or if reading takes longer than `timeout`.
pub async fn read_body(
    body: Body,
    limit_bytes: usize,
    timeout: time::Duration,
) -> Result<Bytes, request::Fault> {
    let limited = http_body_util::Limited::new(body, limit_bytes);
    match timer::timeout(timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(failure)) if failure.is::<http_body_util::LengthLimitError>() => {
            Err(request::Fault::Malformed)
        }
        Ok(Err(_)) => Err(request::Fault::Closed),
        Err(_) => Err(request::Fault::Gap),
    }
}
