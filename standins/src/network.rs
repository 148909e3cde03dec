//! The network side of a stand-in: accepted connections, and the faults that strike them.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Time after which binding an address again is retried once a crash is over.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// A crash: all connections are dropped and new ones are refused for a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crash {
    /// Number of crashes so far.
    pub count: u64,
    /// Time for which connections are refused.
    pub down: Duration,
}

/// The switchboard of one stand-in's connections.
#[derive(Debug, Default)]
pub struct Network {
    opened: AtomicU64,
    silent_below: AtomicU64,
    authorization_seen: AtomicU64,
    crashes: watch::Sender<Crash>,
}

impl Network {
    /// Makes every connection that is open now go silent for good; new connections work.
    pub fn silence(&self) {
        self.silent_below.store(self.opened.load(Ordering::SeqCst) + 1, Ordering::SeqCst);
    }

    /// Drops all connections and refuses new ones for `down`.
    pub fn crash(&self, down: Duration) {
        self.crashes.send_modify(|crash| *crash = Crash { count: crash.count + 1, down });
    }

    /// Subscribes to crashes.
    pub fn crashes(&self) -> watch::Receiver<Crash> {
        self.crashes.subscribe()
    }

    /// Counts a request that carried an `authorization` header.
    pub fn count_authorization(&self) {
        self.authorization_seen.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of requests that carried an `authorization` header.
    pub fn authorization_seen(&self) -> u64 {
        self.authorization_seen.load(Ordering::Relaxed)
    }

    /// Registers a newly accepted connection.
    pub fn open(self: &Arc<Self>) -> Link {
        let number = self.opened.fetch_add(1, Ordering::SeqCst) + 1;
        Link { number, network: Arc::clone(self) }
    }
}

/// One accepted connection, known to its requests as an extension.
#[derive(Clone, Debug)]
pub struct Link {
    number: u64,
    network: Arc<Network>,
}

impl Link {
    /// Whether the connection has gone silent.
    pub fn is_silent(&self) -> bool {
        self.number < self.network.silent_below.load(Ordering::SeqCst)
    }

    /// Counts a request that carried an `authorization` header.
    pub fn count_authorization(&self) {
        self.network.count_authorization();
    }
}

/// A TCP stream that neither reads nor writes once its link is silent.
#[derive(Debug)]
pub struct GuardedStream {
    /// The stream itself.
    pub stream: TcpStream,
    /// The link that decides whether bytes pass.
    pub link: Link,
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.link.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.link.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Listens on `address` again after a crash.
pub async fn rebind(address: SocketAddr) -> tokio::net::TcpListener {
    loop {
        match tokio::net::TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_DELAY).await,
        }
    }
}
