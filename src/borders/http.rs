//! An HTTP/1.1 client that knows for each failure whether a byte of the request may have left.

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

/// A body broke off.
#[derive(Debug, thiserror::Error)]
#[error("the body broke off: {0}; send the request again on a new connection")]
pub struct BodyError(String);

impl BodyError {
    /// Creates an error with the reason.
    pub fn new<R: fmt::Display>(reason: R) -> Self {
        Self(reason.to_string())
    }
}

/// The body of a request or of an answer.
pub type Body = combinators::UnsyncBoxBody<Bytes, BodyError>;

/// An HTTP request with a body of any kind.
pub type Request = hyper::Request<Body>;

/// An HTTP answer whose body gives its connection back once it is read to its end.
pub type Response = hyper::Response<Body>;

/// Which connection a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A connection that has been idle for a short time, or a new one.
    Pooled,
    /// A new connection only.
    Never,
}

/// Timeouts of the client.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// For opening a connection.
    pub connect: time::Duration,
    /// How long a connection may be idle and still be used again.
    pub idle: time::Duration,
}

/// An HTTP client with a pool of idle connections for each address.
#[derive(Debug, Clone)]
pub struct Client {
    timeouts: Timeouts,
    pool: sync::Arc<pool::Pool>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(timeouts: Timeouts) -> Self {
        let pool = sync::Arc::new(pool::Pool::new(timeouts.idle));
        Self { timeouts, pool }
    }

    /// Sends a request and returns the head of the answer with its body.
    ///
    /// # Errors
    ///
    /// Fails with [`request::Ran::No`] only if no byte of the request can have left.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: Request,
        reuse: Reuse,
        first_byte: time::Duration,
    ) -> Result<Response, request::Failure> {
        let mut request = request;
        if reuse == Reuse::Pooled {
            while let Some(mut sender) = self.pool.take(address) {
                if !is_usable(&mut sender).await {
                    continue;
                }
                match self.exchange(address, sender, request, first_byte).await? {
                    Exchanged::Answered(response) => return Ok(response),
                    Exchanged::NotSent(unsent) => request = unsent,
                }
            }
        }
        let sender = self.connect(address).await?;
        match self.exchange(address, sender, request, first_byte).await? {
            Exchanged::Answered(response) => Ok(response),
            Exchanged::NotSent(_) => Err(request::Failure::not_run(request::Fault::Connect)),
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
        first_byte: time::Duration,
    ) -> Result<Exchanged, request::Failure> {
        let sending = sender.try_send_request(request);
        let answered = match timer::timeout(first_byte, sending).await {
            Ok(answered) => answered,
            Err(_) => return Err(request::Failure::maybe_run(request::Fault::FirstByte)),
        };
        match answered {
            Ok(response) => {
                let pool = self.pool.clone();
                let response = response
                    .map(|body| pool::PooledBody::new(body, sender, address, pool).boxed_unsync());
                Ok(Exchanged::Answered(response))
            }
            Err(mut failure) => match failure.take_message() {
                Some(request) => Ok(Exchanged::NotSent(request)),
                None => Err(request::Failure::maybe_run(request::Fault::Closed)),
            },
        }
    }
}

/// How an exchange on one connection ended.
enum Exchanged {
    Answered(Response),
    NotSent(Request),
}

async fn is_usable(sender: &mut http1::SendRequest<Body>) -> bool {
    !sender.is_closed() && sender.ready().await.is_ok()
}

/// Returns a body with these bytes.
pub fn full(bytes: Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body without bytes.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// Fails if the body is longer, if it breaks off, or if it pauses longer than `gap`.
pub async fn read_body(
    body: Body,
    limit_bytes: usize,
    gap: time::Duration,
) -> Result<Bytes, request::Fault> {
    let limited = http_body_util::Limited::new(body, limit_bytes);
    match timer::timeout(gap, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(failure)) if failure.is::<http_body_util::LengthLimitError>() => {
            Err(request::Fault::Malformed)
        }
        Ok(Err(_)) => Err(request::Fault::Closed),
        Err(_) => Err(request::Fault::Gap),
    }
}
