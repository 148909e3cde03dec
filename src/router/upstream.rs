//! HTTP connections to servers and to the store.

use std::cell;
use std::net;
use std::pin;
use std::rc;
use std::task;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body;
use hyper::client::conn::http1;
use hyper::http;
use hyper_util::rt;
use tokio::io;

use crate::core::fleet::containment;
use crate::router::memory;

/// The timeout for opening a connection: several round trips within a region.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// The idle time of a connection before the first TCP keepalive probe.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_millis(1_000);

/// The read buffer of a connection, which also bounds the chunks of a body.
const READ_BUFFER_BYTES: usize = memory::MAX_HEAD_BYTES;

/// The interval between keepalive probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent data may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// A failed request to a server or to the store.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// The connection could not be opened; nothing of the request was sent.
    #[error("cannot connect: {0}; check that the server runs")]
    Connect(#[source] std::io::Error),
    /// The request was sent, but no complete response was received.
    #[error("the response is lost: {0}; the request may have run")]
    ResponseLost(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The request was sent, and the response has no end or is longer than allowed.
    #[error("the response is longer than {0} bytes; the request may have run; check the server")]
    ResponseTooLong(usize),
}

/// An HTTP/1.1 connection, closed when dropped.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: tokio::task::AbortHandle,
    head_bound: rc::Rc<HeadBound>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is not open within [`CONNECT_TIMEOUT`].
    pub async fn open(address: net::SocketAddr) -> Result<Self, UpstreamError> {
        let connecting = tokio::net::TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| UpstreamError::Connect(std::io::ErrorKind::TimedOut.into()))?
            .map_err(UpstreamError::Connect)?;
        configure_socket(&stream).map_err(UpstreamError::Connect)?;
        let head_bound = rc::Rc::new(HeadBound::default());
        let stream = HeadLimited { stream, bound: rc::Rc::clone(&head_bound) };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|failure| UpstreamError::Connect(std::io::Error::other(failure)))?;
        let driver = tokio::task::spawn_local(async move {
            // The caller of `send` receives the same error.
            let _ = connection.await;
        });
        Ok(Self { sender, driver: driver.abort_handle(), head_bound })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost before the head is received, or if the head is too long.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<body::Incoming>, UpstreamError> {
        self.head_bound.bytes_left.set(Some(memory::MAX_HEAD_BYTES));
        let response = self.sender.send_request(request).await;
        self.head_bound.bytes_left.set(None);
        response.map_err(|failure| {
            if self.head_bound.is_exceeded.get() || failure.is_parse_too_large() {
                return UpstreamError::ResponseTooLong(memory::MAX_HEAD_BYTES);
            }
            UpstreamError::ResponseLost(failure.into())
        })
    }

    /// Returns whether the connection is open and ready for another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Sends a request and waits for its complete response, of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost before the response is complete, or if that is too long.
    pub async fn exchange(
        &mut self,
        request: http::Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<http::Response<Bytes>, UpstreamError> {
        let (head, body) = self.send(request).await?.into_parts();
        Ok(http::Response::from_parts(head, read_whole(body, max_bytes).await?))
    }
}

/// Reads a whole body of at most `max_bytes`.
///
/// # Errors
///
/// Fails if the connection is lost before the body is complete, or if that is too long.
pub async fn read_whole(body: body::Incoming, max_bytes: usize) -> Result<Bytes, UpstreamError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(failure) if failure.is::<http_body_util::LengthLimitError>() => {
            Err(UpstreamError::ResponseTooLong(max_bytes))
        }
        Err(failure) => Err(UpstreamError::ResponseLost(failure)),
    }
}

/// The bound on the head of a response.
#[derive(Default)]
struct HeadBound {
    /// The bytes that may still be read before the head is complete; `None` while none is expected.
    bytes_left: cell::Cell<Option<usize>>,
    /// Whether the head was longer.
    is_exceeded: cell::Cell<bool>,
}

/// A stream that fails once the head of a response is longer than allowed. The bound of the read
/// buffer does not hold for interim responses, each of which is short.
struct HeadLimited {
    stream: tokio::net::TcpStream,
    bound: rc::Rc<HeadBound>,
}

impl io::AsyncRead for HeadLimited {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut io::ReadBuf<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        let this = self.get_mut();
        if this.bound.bytes_left.get() == Some(0) {
            this.bound.is_exceeded.set(true);
            return task::Poll::Ready(Err(std::io::ErrorKind::InvalidData.into()));
        }
        let filled = buffer.filled().len();
        let polled = pin::Pin::new(&mut this.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - filled;
        let bytes_left = this.bound.bytes_left.get();
        this.bound.bytes_left.set(bytes_left.map(|left| left.saturating_sub(read)));
        polled
    }
}

impl io::AsyncWrite for HeadLimited {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<std::io::Result<usize>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

/// Opens a connection, sends one request and waits for its complete response.
///
/// # Errors
///
/// Fails if the connection cannot be opened or is lost before the response is complete.
pub async fn call(
    address: net::SocketAddr,
    request: http::Request<Full<Bytes>>,
) -> Result<http::Response<Bytes>, UpstreamError> {
    let max_bytes = memory::MAX_INTERNAL_ANSWER_BYTES;
    Connection::open(address).await?.exchange(request, max_bytes).await
}

/// Opens a connection without a request, and returns how the other side answers.
pub async fn probe(address: net::SocketAddr) -> containment::Reachability {
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => containment::Reachability::Accepts,
        Ok(Err(failure)) if failure.kind() == std::io::ErrorKind::ConnectionRefused => {
            containment::Reachability::Refuses
        }
        Ok(Err(failure)) => {
            log::debug!("cannot tell whether a server listens at {address}: {failure}");
            containment::Reachability::Silent
        }
        Err(_) => containment::Reachability::Silent,
    }
}

/// Disables Nagle's algorithm and sets the TCP timeouts that close the connection when the other
/// side is unresponsive.
///
/// # Errors
///
/// Fails if the socket is already closed.
pub fn configure_socket(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
