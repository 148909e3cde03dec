//! gRPC server that receives batches of messages from peers with the fleet's credential.

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

/// The server for peers could not start or failed.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The listening socket could not be opened.
    #[error("cannot listen for peers on {address}: {source}; check listen.peers in the settings")]
    Listen {
        /// The address of `listen.peers`.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The transport failed while serving.
    #[error("the server for peers failed: {0}; restart the instance")]
    Ended(#[from] transport::Error),
}

/// The listening socket for peers.
#[derive(Debug)]
pub struct Server {
    listener: tokio_net::TcpListener,
}

impl Server {
    /// Opens the listening socket.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or not an address of this machine.
    pub async fn bind(address: net::SocketAddr) -> Result<Self, ServerError> {
        let listener = tokio_net::TcpListener::bind(address)
            .await
            .map_err(|source| ServerError::Listen { address, source })?;
        Ok(Self { listener })
    }

    /// Serves peers until the future `stop` completes.
    ///
    /// # Errors
    ///
    /// Fails if the transport fails before that.
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
        let presented = request.metadata().get(peers::CREDENTIAL_HEADER);
        let presented = presented.map(|value| value.as_bytes()).unwrap_or_default();
        match bool::from(presented.ct_eq(self.credential.as_bytes())) {
            true => Ok(()),
            false => Err(tonic::Status::unauthenticated(
                "the fleet's credential is missing or wrong; set the same fleet.credential on all instances",
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
