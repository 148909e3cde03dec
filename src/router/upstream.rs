//! HTTP connections to servers and to the store.

use std::io;
use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body;
use hyper::client::conn::http1;
use hyper::http;
use hyper_util::rt;

/// The timeout for opening a connection: several round trips within a region.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// The idle time of a connection before the first TCP keepalive probe.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_millis(1_000);

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
    Connect(#[source] io::Error),
    /// The request was sent, but no complete response was received.
    #[error("the response is lost: {0}; the request may have run")]
    ResponseLost(#[source] hyper::Error),
}

/// An HTTP/1.1 connection, closed when dropped.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: tokio::task::AbortHandle,
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
            .map_err(|_| UpstreamError::Connect(io::ErrorKind::TimedOut.into()))?
            .map_err(UpstreamError::Connect)?;
        configure_socket(&stream).map_err(UpstreamError::Connect)?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|failure| UpstreamError::Connect(io::Error::other(failure)))?;
        let driver = tokio::task::spawn_local(async move {
            // The caller of `send` receives the same error.
            let _ = connection.await;
        });
        Ok(Self { sender, driver: driver.abort_handle() })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost before the head is received.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<body::Incoming>, UpstreamError> {
        self.sender.send_request(request).await.map_err(UpstreamError::ResponseLost)
    }

    /// Returns whether the connection is open and ready for another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Sends a request and waits for its complete response.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost before the response is complete.
    pub async fn exchange(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Bytes>, UpstreamError> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = body.collect().await.map_err(UpstreamError::ResponseLost)?.to_bytes();
        Ok(http::Response::from_parts(head, body))
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
    Connection::open(address).await?.exchange(request).await
}

/// Disables Nagle's algorithm and sets the TCP timeouts that close the connection when the other
/// side is unresponsive.
///
/// # Errors
///
/// Fails if the socket is already closed.
pub fn configure_socket(stream: &tokio::net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
