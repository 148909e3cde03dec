//! Messages between instances over gRPC; only holders of the fleet's credential are heard.

use std::net;
use std::sync;

use bytes::Bytes;
use futures_util::future;

use crate::core::ids;
use crate::core::message;

mod client;
#[allow(missing_docs, unreachable_pub, clippy::all)]
mod generated;
mod server;

pub use client::GrpcPeers;
pub use server::{Server, ServerError};

/// The largest message between instances, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// The metadata entry that carries the fleet's credential.
const CREDENTIAL_HEADER: &str = "x-galenayard-credential";

/// Who this instance is to its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its configured name.
    pub id: ids::InstanceId,
    /// Its process.
    pub incarnation: ids::Incarnation,
    /// The fleet's credential.
    pub credential: sync::Arc<str>,
}

/// The way to other instances.
pub trait Peers: Send + Sync {
    /// Queues a message; it may be lost, and is dropped if the queue to the peer is full.
    fn send(&self, address: net::SocketAddr, message: &message::Message);
}

/// Receives what peers send.
pub trait Receiver: Send + Sync + 'static {
    /// Takes one message; waits while too many are under way.
    fn receive(
        &self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        message: message::Message,
    ) -> future::BoxFuture<'_, ()>;
}

/// Encodes a message; empty if it cannot be encoded.
fn encode(message: &message::Message) -> Bytes {
    rmp_serde::to_vec(message).map(Bytes::from).unwrap_or_default()
}

/// Decodes a message; `None` for one of another version or a malformed one.
pub fn decode(bytes: &[u8]) -> Option<message::Message> {
    rmp_serde::from_slice(bytes).ok()
}
