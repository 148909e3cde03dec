//! Sends batches of messages to each peer over one connection, which is replaced after a failed
//! delivery.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use tokio::sync as tokio_sync;
use tokio::time as tokio_time;
use tonic::metadata;
use tonic::transport;

use crate::borders::peers;
use crate::borders::peers::generated;
use crate::core::collections;
use crate::core::message;

/// Maximum number of messages queued for one peer.
const QUEUE_MESSAGES: usize = 4_096;

/// Maximum number of messages in one batch.
const BATCH_MESSAGES: usize = 256;

/// Timeout for connecting to a peer and for delivering a batch.
const DELIVERY_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// How long an empty queue is kept before it and its connection are dropped.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

type Queue = tokio_sync::mpsc::Sender<Bytes>;
type Client = generated::peers_client::PeersClient<transport::Channel>;

/// The gRPC client for all peers.
#[derive(Debug)]
pub struct GrpcPeers {
    identity: peers::Identity,
    queues: sync::Mutex<collections::Map<net::SocketAddr, Queue>>,
}

impl GrpcPeers {
    /// Creates a client; connections are opened when the first message for a peer is sent.
    pub fn new(identity: peers::Identity) -> Self {
        Self { identity, queues: sync::Mutex::default() }
    }

    fn queue(&self, address: net::SocketAddr) -> Queue {
        let mut queues = self.queues.lock().unwrap_or_else(sync::PoisonError::into_inner);
        queues.retain(|_, queue| !queue.is_closed());
        let queue = queues.entry(address).or_insert_with(|| {
            let (queue, messages) = tokio_sync::mpsc::channel(QUEUE_MESSAGES);
            tokio::spawn(deliver(self.identity.clone(), address, messages));
            queue
        });
        queue.clone()
    }
}

impl peers::Peers for GrpcPeers {
    fn send(&self, address: net::SocketAddr, message: &message::Message) {
        let bytes = peers::encode(message);
        metrics::counter!("galenayard_peer_sent_bytes").increment(bytes.len() as u64);
        metrics::counter!("galenayard_peer_sent_messages").increment(1);
        if self.queue(address).try_send(bytes).is_err() {
            metrics::counter!("galenayard_peer_dropped_messages").increment(1);
        }
    }
}

/// Delivers the messages for one peer until none has arrived for [`IDLE_TIMEOUT`].
async fn deliver(
    identity: peers::Identity,
    address: net::SocketAddr,
    mut messages: tokio_sync::mpsc::Receiver<Bytes>,
) {
    let mut client = None;
    loop {
        let first = match tokio_time::timeout(IDLE_TIMEOUT, messages.recv()).await {
            Ok(Some(first)) => first,
            Ok(None) | Err(_) => return,
        };
        let mut batch = vec![first];
        while batch.len() < BATCH_MESSAGES
            && let Ok(next) = messages.try_recv()
        {
            batch.push(next);
        }
        let sent = send_batch(&identity, address, &mut client, batch);
        if !matches!(tokio_time::timeout(DELIVERY_TIMEOUT, sent).await, Ok(true)) {
            client = None;
            metrics::counter!("galenayard_peer_failed_batches").increment(1);
        }
    }
}

async fn send_batch(
    identity: &peers::Identity,
    address: net::SocketAddr,
    client: &mut Option<Client>,
    messages: Vec<Bytes>,
) -> bool {
    if client.is_none() {
        *client = connect(address).await;
    }
    let Some(client) = client else { return false };
    let mut request = tonic::Request::new(generated::Batch {
        sender: identity.id.clone(),
        incarnation: identity.incarnation,
        messages,
    });
    let Ok(credential) = metadata::AsciiMetadataValue::try_from(identity.credential.as_ref())
    else {
        return false;
    };
    request.metadata_mut().insert(peers::CREDENTIAL_HEADER, credential);
    client.deliver(request).await.is_ok()
}

async fn connect(address: net::SocketAddr) -> Option<Client> {
    let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))
        .ok()?
        .connect_timeout(DELIVERY_TIMEOUT)
        .tcp_nodelay(true);
    let channel = endpoint.connect().await.ok()?;
    Some(Client::new(channel).max_decoding_message_size(peers::MAX_MESSAGE_BYTES))
}
