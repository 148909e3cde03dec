//! Receives batches of messages from peers that hold the fleet's credential.

use std::net;
use std::sync;

use futures_util::Future;
use subtle::ConstantTimeEq as _;
use tokio::net as tokio_net;
use tonic::codegen::tokio_stream::wrappers;
use tonic::transport;

use crate::borders::peers;
use crate::borders::peers::generated;
use crate::borders::peers::generated::peers_server;

/// The peers' side could not be served.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The address cannot be listened on.
    #[error("cannot listen for peers on {address}: {source}; check listen.peers in the settings")]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
    /// The server ended.
    #[error("the server for peers ended: {0}; restart the instance")]
    Ended(#[from] transport::Error),
}

/// The gRPC server side.
#[derive(Debug)]
pub struct Server {
    listener: tokio_net::TcpListener,
}

impl Server {
    /// Opens the listening socket.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or not one of this machine.
    pub async fn bind(address: net::SocketAddr) -> Result<Self, ServerError> {
        let listener = tokio_net::TcpListener::bind(address)
            .await
            .map_err(|source| ServerError::Listen { address, source })?;
        Ok(Self { listener })
    }

    /// Serves peers until `stop` is ready.
    ///
    /// # Errors
    ///
    /// Fails if the transport ends by itself.
    pub async fn run<S: Future<Output = ()>>(
        self,
        credential: sync::Arc<str>,
        receiver: sync::Arc<dyn peers::Receiver>,
        stop: S,
    ) -> Result<(), ServerError> {
        let service = Service { credential, receiver };
        let service = peers_server::PeersServer::new(service)
            .max_decoding_message_size(peers::MAX_MESSAGE_BYTES);
        let incoming = wrappers::TcpListenerStream::new(self.listener);
        transport::Server::builder()
            .tcp_nodelay(true)
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stop)
            .await?;
        Ok(())
    }
}

struct Service {
    credential: sync::Arc<str>,
    receiver: sync::Arc<dyn peers::Receiver>,
}

impl Service {
    fn authenticate<T>(&self, request: &tonic::Request<T>) -> Result<(), tonic::Status> {
        let shown = request.metadata().get(peers::CREDENTIAL_HEADER);
        let shown = shown.map(|value| value.as_bytes()).unwrap_or_default();
        match bool::from(shown.ct_eq(self.credential.as_bytes())) {
            true => Ok(()),
            false => Err(tonic::Status::unauthenticated(
                "the fleet's credential is missing or wrong; set fleet.credential alike on all instances",
            )),
        }
    }
}

#[tonic::async_trait]
impl peers_server::Peers for Service {
    async fn deliver(
        &self,
        request: tonic::Request<generated::Batch>,
    ) -> Result<tonic::Response<generated::Receipt>, tonic::Status> {
        self.authenticate(&request)?;
        let batch = request.into_inner();
        for bytes in &batch.messages {
            metrics::counter!("galenayard_peer_received_bytes").increment(bytes.len() as u64);
            let Some(message) = peers::decode(bytes) else {
                metrics::counter!("galenayard_peer_undecodable_messages").increment(1);
                continue;
            };
            self.receiver.receive(batch.sender.clone(), batch.incarnation, message).await;
        }
        Ok(tonic::Response::new(generated::Receipt {}))
    }
}
