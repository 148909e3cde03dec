//! The adapter for engines with an OpenAI-compatible API and `kv_transfer_params`.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::future;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use serde_json::value;

use crate::borders::engines;
use crate::borders::http;
use crate::borders::timer;
use crate::core::ids;
use crate::core::placement;
use crate::core::request;
use crate::core::scheduler;

#[cfg(test)]
mod tests;
mod wire;

/// The largest answer that is read as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How long an engine may take to answer a question about itself.
const QUESTION_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Consecutive events of other requests after which a stream counts as another request's.
const MAX_CONSECUTIVE_STRAYS: u32 = 3;

/// How long a long poll for cache events waits, in milliseconds.
const CACHE_POLL_WAIT_MS: u64 = 1_000;

/// Timeouts of attempts at engines.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// For the answer to a prefill.
    pub prefill: time::Duration,
    /// For the first event of a stream.
    pub first_token: time::Duration,
    /// For each further event.
    pub event_timeout: time::Duration,
}

/// The adapter.
#[derive(Debug, Clone)]
pub struct OpenAi {
    client: http::Client,
    timeouts: Timeouts,
}

impl OpenAi {
    /// Creates an adapter over an HTTP client.
    pub fn new(client: http::Client, timeouts: Timeouts) -> Self {
        Self { client, timeouts }
    }

    async fn run_prefill(
        &self,
        call: engines::Call,
    ) -> Result<engines::Prefilled, request::Failure> {
        let limit = self.timeouts.prefill;
        let body = wire::prefill_body(&call);
        let response = self.post(&call, body, limit).await?;
        let response = accept(response).await?;
        let bytes = http::read_body(response.into_body(), MAX_ANSWER_BYTES, limit)
            .await
            .map_err(request::Failure::maybe_run)?;
        let answer: wire::PrefillAnswer = serde_json::from_slice(&bytes)
            .map_err(|_| request::Failure::maybe_run(request::Fault::Malformed))?;
        if !wire::is_own(&answer.id, call.request) {
            return Err(request::Failure::maybe_run(request::Fault::Crossed));
        }
        let transfer = answer
            .kv_transfer_params
            .ok_or(request::Failure::maybe_run(request::Fault::Malformed))?;
        Ok(engines::Prefilled { usage: answer.usage.into(), transfer: sync::Arc::from(transfer) })
    }

    async fn run_decode(
        &self,
        call: engines::Call,
        source: engines::Source,
    ) -> Result<Box<dyn engines::Stream>, request::Failure> {
        let limit = match source {
            engines::Source::Whole => self.timeouts.prefill,
            _ => self.timeouts.first_token,
        };
        let body = wire::decode_body(&call, &source);
        let response = self.post(&call, body, limit).await?;
        let response = accept(response).await?;
        Ok(Box::new(EventStream {
            request: call.request,
            events: sse_stream::SseStream::new(response.into_body()),
            timeout: limit,
            event_timeout: self.timeouts.event_timeout,
            strays: 0,
        }))
    }

    async fn post(
        &self,
        call: &engines::Call,
        body: Vec<u8>,
        limit: time::Duration,
    ) -> Result<http::Response, request::Failure> {
        let path = match call.api {
            engines::Api::Completions => "/v1/completions",
            engines::Api::Chat => "/v1/chat/completions",
        };
        let request = hyper::Request::post(path)
            .header(hyper::header::HOST, call.address.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .header("x-request-id", ids::request_text(call.request))
            .body(http::full(Bytes::from(body)))
            .map_err(|_| request::Failure::not_run(request::Fault::Malformed))?;
        self.client.send(call.address, request, http::Reuse::Never, limit).await
    }

    async fn question<A: DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        method: hyper::Method,
        path: &str,
        body: Bytes,
    ) -> Result<(hyper::StatusCode, A), engines::QueryError> {
        let unreachable = |fault| engines::QueryError::Unreachable { address, fault };
        let malformed = || engines::QueryError::Malformed { address };
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, address.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(http::full(body))
            .map_err(|_| malformed())?;
        let limit = QUESTION_TIMEOUT + time::Duration::from_millis(CACHE_POLL_WAIT_MS);
        let response = self
            .client
            .send(address, request, http::Reuse::Pooled, limit)
            .await
            .map_err(|failure| unreachable(failure.fault))?;
        let status = response.status();
        let bytes = http::read_body(response.into_body(), MAX_ANSWER_BYTES, limit)
            .await
            .map_err(unreachable)?;
        let answer = serde_json::from_slice(&bytes).map_err(|_| malformed())?;
        Ok((status, answer))
    }

    async fn ask<A: DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Result<A, engines::QueryError> {
        let (status, answer) =
            self.question(address, hyper::Method::GET, path, Bytes::new()).await?;
        if status.is_success() {
            Ok(answer)
        } else {
            Err(engines::QueryError::Malformed { address })
        }
    }
}

impl engines::Engines for OpenAi {
    fn prefill(
        &self,
        call: engines::Call,
    ) -> future::BoxFuture<'_, Result<engines::Prefilled, request::Failure>> {
        Box::pin(self.run_prefill(call))
    }

    fn decode(
        &self,
        call: engines::Call,
        source: engines::Source,
    ) -> future::BoxFuture<'_, Result<Box<dyn engines::Stream>, request::Failure>> {
        Box::pin(self.run_decode(call, source))
    }

    fn cancel(
        &self,
        address: net::SocketAddr,
        request: ids::RequestId,
    ) -> future::BoxFuture<'_, Result<(), engines::QueryError>> {
        Box::pin(async move {
            let path = format!("/v1/requests/{}/cancel", ids::request_text(request));
            let (status, _): (_, value::Value) =
                self.question(address, hyper::Method::POST, &path, Bytes::new()).await?;
            match status.is_success() {
                true => Ok(()),
                false => Err(engines::QueryError::Malformed { address }),
            }
        })
    }

    fn list_requests(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<Vec<scheduler::HeldRequest>, engines::QueryError>> {
        Box::pin(async move {
            let answer: wire::HeldAnswer = self.ask(address, "/v1/requests").await?;
            Ok(answer.requests.into_iter().filter_map(wire::HeldEntry::into_held).collect())
        })
    }

    fn load(
        &self,
        server: ids::ServerId,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<scheduler::Load, engines::QueryError>> {
        Box::pin(async move {
            let answer: wire::LoadAnswer = self.ask(address, "/v1/load").await?;
            Ok(answer.into_load(server))
        })
    }

    fn read_cache(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<placement::CacheEvent, engines::QueryError>> {
        Box::pin(async move {
            let answer: wire::CacheAnswer = self.ask(address, "/v1/cache").await?;
            let blocks = wire::parse_blocks(&answer.blocks);
            Ok(placement::CacheEvent::Snapshot { sequence: answer.sequence, blocks })
        })
    }

    fn cache_events(
        &self,
        address: net::SocketAddr,
        from: u64,
    ) -> future::BoxFuture<'_, Result<engines::CacheEvents, engines::QueryError>> {
        Box::pin(async move {
            let path = format!("/v1/cache/events?from={from}&wait_ms={CACHE_POLL_WAIT_MS}");
            let answer: wire::CacheEventsAnswer = self.ask(address, &path).await?;
            Ok(answer.into_events())
        })
    }

    fn send_order(
        &self,
        address: net::SocketAddr,
        fence: ids::Offset,
        order: engines::Order,
    ) -> future::BoxFuture<'_, Result<bool, engines::QueryError>> {
        Box::pin(async move {
            let order = wire::order_body(&order);
            let body = json!({ "fence": fence, "order": order }).to_string();
            let (status, _): (_, value::Value) = self
                .question(address, hyper::Method::POST, "/v1/orders", Bytes::from(body))
                .await?;
            Ok(status.is_success())
        })
    }
}

/// The server-sent events of one decode attempt.
struct EventStream {
    request: ids::RequestId,
    events: sse_stream::SseStream<http::Body>,
    timeout: time::Duration,
    event_timeout: time::Duration,
    strays: u32,
}

impl EventStream {
    /// Drops an event that belongs to another request.
    fn drop_stray(&mut self) {
        self.strays += 1;
        metrics::counter!("galenayard_stray_events_total").increment(1);
    }

    async fn next_chunk(&mut self) -> Result<Option<engines::Chunk>, request::Failure> {
        loop {
            let event = match timer::timeout(self.timeout, self.events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(_)) | None) => {
                    return Err(request::Failure::maybe_run(request::Fault::Closed));
                }
                Err(_) => return Err(request::Failure::maybe_run(request::Fault::Gap)),
            };
            self.timeout = self.event_timeout;
            let Some(data) = event.data else { continue };
            if data == "[DONE]" {
                return Ok(None);
            }
            match wire::parse_chunk(data, self.request) {
                Ok(chunk) => {
                    self.strays = 0;
                    return Ok(Some(chunk));
                }
                Err(request::Fault::Crossed) if self.strays < MAX_CONSECUTIVE_STRAYS => {
                    self.drop_stray();
                }
                Err(fault) => return Err(request::Failure::maybe_run(fault)),
            }
        }
    }
}

impl engines::Stream for EventStream {
    fn next(&mut self) -> future::BoxFuture<'_, Result<Option<engines::Chunk>, request::Failure>> {
        Box::pin(self.next_chunk())
    }
}

/// The body of an engine's refusal.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Refused {
    error: RefusedError,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RefusedError {
    #[serde(rename = "type")]
    kind: String,
}

/// Passes on an answer with status 200 and turns any other into a failure.
async fn accept(response: http::Response) -> Result<http::Response, request::Failure> {
    let status = response.status();
    if status == hyper::StatusCode::OK {
        return Ok(response);
    }
    let bytes = http::read_body(response.into_body(), MAX_ANSWER_BYTES, QUESTION_TIMEOUT)
        .await
        .unwrap_or_default();
    let refused: Refused = serde_json::from_slice(&bytes).unwrap_or_default();
    Err(match refused.error.kind.as_str() {
        "engine_full" | "loading" => request::Failure::not_run(request::Fault::Full),
        "kv_gone" => request::Failure::not_run(request::Fault::KvGone),
        "unknown_request" => request::Failure::maybe_run(request::Fault::UnknownRequest),
        _ => request::Failure::maybe_run(request::Fault::Status(status.as_u16())),
    })
}
