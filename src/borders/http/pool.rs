//! Pool of idle HTTP/1.1 connections, which are reused for a limited time.

use std::net;
use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use hyper::body;
use hyper::client::conn::http1;
use tokio::time as tokio_time;

use crate::borders::http;
use crate::core::collections;

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// The idle connections of a client, by address.
#[derive(Debug)]
pub struct Pool {
    max_idle: time::Duration,
    idle: sync::Mutex<collections::Map<net::SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: http1::SendRequest<http::Body>,
    idle_since: tokio_time::Instant,
}

impl Pool {
    /// Creates an empty pool whose connections are not reused after being idle for `max_idle`.
    pub fn new(max_idle: time::Duration) -> Self {
        Self { max_idle, idle: sync::Mutex::default() }
    }

    /// Takes the most recently used connection to an address. If it has been idle for too long, so
    /// have all others, and all are dropped.
    pub fn take(&self, address: net::SocketAddr) -> Option<http1::SendRequest<http::Body>> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let most_recent = connections.pop()?;
        if most_recent.idle_since.elapsed() > self.max_idle {
            connections.clear();
            return None;
        }
        Some(most_recent.sender)
    }

    fn put(&self, address: net::SocketAddr, sender: http1::SendRequest<http::Body>) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() == MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection { sender, idle_since: tokio_time::Instant::now() });
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::Map<net::SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A response body that returns its connection to the pool when it has been read to its end.
pub struct PooledBody {
    body: body::Incoming,
    sender: Option<http1::SendRequest<http::Body>>,
    address: net::SocketAddr,
    pool: sync::Arc<Pool>,
}

impl PooledBody {
    /// Creates a body that owns its connection; an empty body returns it immediately.
    pub fn new(
        body: body::Incoming,
        sender: http1::SendRequest<http::Body>,
        address: net::SocketAddr,
        pool: sync::Arc<Pool>,
    ) -> Self {
        let mut pooled = Self { body, sender: Some(sender), address, pool };
        if body::Body::is_end_stream(&pooled.body) {
            pooled.return_connection();
        }
        pooled
    }

    fn return_connection(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(self.address, sender);
        }
    }
}

impl body::Body for PooledBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(context);
        match task::ready!(polled) {
            Some(Ok(frame)) => {
                if body::Body::is_end_stream(&self.body) {
                    self.return_connection();
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(failure)) => {
                self.sender = None;
                task::Poll::Ready(Some(Err(http::BodyError::new(failure))))
            }
            None => {
                self.return_connection();
                task::Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> body::SizeHint {
        body::Body::size_hint(&self.body)
    }
}
