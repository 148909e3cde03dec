//! Client for the platform's instance list over HTTP; docs/PROTOCOLS.md describes the protocol.

use std::net;
use std::time;

use bytes::Bytes;
use futures_util::future;
use serde::Deserialize;

use crate::borders::http;
use crate::borders::platform;
use crate::core::membership;
use crate::lists;

/// Timeout for the response head and for the body.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum length of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// The client for the instance list.
#[derive(Debug, Clone)]
pub struct HttpInstances {
    client: http::Client,
    address: net::SocketAddr,
}

#[derive(Debug, Deserialize)]
struct ListResponse {
    #[serde(deserialize_with = "lists::readable_entries")]
    instances: Vec<ListEntry>,
}

#[derive(Debug, Deserialize)]
struct ListEntry {
    id: Bytes,
    peer_address: net::SocketAddr,
}

impl HttpInstances {
    /// Creates a client for the list at an address.
    pub fn new(client: http::Client, address: net::SocketAddr) -> Self {
        Self { client, address }
    }

    async fn run_list(&self) -> Result<Vec<membership::ListedInstance>, platform::Unavailable> {
        let request = hyper::Request::get("/v1/instances")
            .header(hyper::header::HOST, self.address.to_string())
            .body(http::empty())
            .map_err(|failure| self.unavailable(failure.to_string()))?;
        let response = self
            .client
            .send(self.address, request, http::Reuse::Pooled, RESPONSE_TIMEOUT)
            .await
            .map_err(|failure| self.unavailable(format!("{:?}", failure.fault)))?;
        let body = http::read_body(response.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT)
            .await
            .map_err(|fault| self.unavailable(format!("{fault:?}")))?;
        let list: ListResponse = serde_json::from_slice(&body)
            .map_err(|failure| self.unavailable(failure.to_string()))?;
        Ok(list.instances.into_iter().map(ListEntry::into_listed).collect())
    }

    fn unavailable(&self, problem: String) -> platform::Unavailable {
        platform::Unavailable { service: "instance list", address: self.address, problem }
    }
}

impl ListEntry {
    fn into_listed(self) -> membership::ListedInstance {
        membership::ListedInstance { id: self.id, peer_address: self.peer_address }
    }
}

impl platform::Instances for HttpInstances {
    fn list(
        &self,
    ) -> future::BoxFuture<'_, Result<Vec<membership::ListedInstance>, platform::Unavailable>> {
        Box::pin(self.run_list())
    }
}
