//! Messages between instances over gRPC. Peers without the fleet's credential are rejected.

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

/// The gRPC metadata key of the fleet's credential.
const CREDENTIAL_HEADER: &str = "x-galenayard-credential";

/// How this instance identifies itself to its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The configured name of this instance.
    pub id: ids::InstanceId,
    /// The incarnation of this process.
    pub incarnation: ids::Incarnation,
    /// The fleet's credential, which authenticates the batches sent to peers.
    pub credential: sync::Arc<str>,
}

/// Sends messages to other instances.
pub trait Peers: Send + Sync {
    /// Queues a message for a peer. Delivery is not guaranteed; the message is dropped if the
    /// peer's queue is full.
    fn send(&self, address: net::SocketAddr, message: &message::Message);
}

/// Receives messages from peers.
pub trait Receiver: Send + Sync + 'static {
    /// Handles one message; waits while too many messages are being handled.
    fn receive(
        &self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        message: message::Message,
    ) -> future::BoxFuture<'_, ()>;
}

/// Encodes a message as MessagePack; empty if it cannot be encoded.
fn encode(message: &message::Message) -> Bytes {
    rmp_serde::to_vec(message).map(Bytes::from).unwrap_or_default()
}

/// Decodes a message; `None` if it is malformed or of an incompatible version.
pub fn decode(bytes: &[u8]) -> Option<message::Message> {
    rmp_serde::from_slice(bytes).ok()
}
