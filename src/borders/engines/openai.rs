//! The adapter for engines with an OpenAI-compatible API and `kv_transfer_params`.

use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::future;
use hyper::body;
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

/// The maximum length of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The maximum length of one event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Timeout of queries to engines, without the long poll's wait.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Consecutive events of other requests after which a stream is treated as another request's and
/// the attempt fails.
const MAX_CONSECUTIVE_FOREIGN_EVENTS: u32 = 3;

/// Wait time of a long poll for cache events, in milliseconds.
const CACHE_POLL_WAIT_MS: u64 = 1_000;

/// Timeouts of attempts at engines.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// For the response to a prefill.
    pub prefill: time::Duration,
    /// For the first event of a stream.
    pub first_token: time::Duration,
    /// For each event after the first.
    pub event_timeout: time::Duration,
}

/// The client for OpenAI-compatible engines.
#[derive(Debug, Clone)]
pub struct OpenAi {
    client: http::Client,
    timeouts: Timeouts,
}

impl OpenAi {
    /// Creates a client for engines that uses an HTTP client.
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
        let response = check_status(response).await?;
        let bytes = http::read_body(response.into_body(), MAX_RESPONSE_BYTES, limit)
            .await
            .map_err(request::Failure::maybe_run)?;
        let response_body: wire::PrefillResponse = serde_json::from_slice(&bytes)
            .map_err(|_| request::Failure::maybe_run(request::Fault::Malformed))?;
        if !wire::is_own(&response_body.id, call.request) {
            return Err(request::Failure::maybe_run(request::Fault::Crossed));
        }
        let transfer = response_body
            .kv_transfer_params
            .ok_or(request::Failure::maybe_run(request::Fault::Malformed))?;
        Ok(engines::Prefilled {
            usage: response_body.usage.into(),
            transfer: sync::Arc::from(transfer),
        })
    }

    async fn run_decode(
        &self,
        call: engines::Call,
        source: engines::Source,
    ) -> Result<Box<dyn engines::Stream>, request::Failure> {
        let limit = match source {
            engines::Source::Prompt => self.timeouts.prefill,
            _ => self.timeouts.first_token,
        };
        let body = wire::decode_body(&call, &source);
        let response = self.post(&call, body, limit).await?;
        let response = check_status(response).await?;
        let event_timeout = self.timeouts.event_timeout;
        Ok(Box::new(EventStream::new(call.request, response.into_body(), limit, event_timeout)))
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

    async fn query<A: DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        method: hyper::Method,
        path: &str,
        body: Bytes,
    ) -> Result<(hyper::StatusCode, A), engines::QueryError> {
        let unreachable = |fault| engines::QueryError::Unreachable { address, fault };
        let malformed = || engines::QueryError::Malformed { address };
        // A second copy of an earlier answer must not confirm an order or a cancellation.
        let is_read = method == hyper::Method::GET;
        let reuse = if is_read { http::Reuse::Pooled } else { http::Reuse::Never };
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, address.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(http::full(body))
            .map_err(|_| malformed())?;
        let limit = QUERY_TIMEOUT + time::Duration::from_millis(CACHE_POLL_WAIT_MS);
        let response = self
            .client
            .send(address, request, reuse, limit)
            .await
            .map_err(|failure| unreachable(failure.fault))?;
        let status = response.status();
        let bytes = http::read_body(response.into_body(), MAX_RESPONSE_BYTES, limit)
            .await
            .map_err(unreachable)?;
        let response_body = serde_json::from_slice(&bytes).map_err(|_| malformed())?;
        Ok((status, response_body))
    }

    async fn get<A: DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Result<A, engines::QueryError> {
        let (status, response_body) =
            self.query(address, hyper::Method::GET, path, Bytes::new()).await?;
        if status.is_success() {
            Ok(response_body)
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
                self.query(address, hyper::Method::POST, &path, Bytes::new()).await?;
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
            let response_body: wire::RequestsResponse = self.get(address, "/v1/requests").await?;
            Ok(response_body
                .requests
                .into_iter()
                .filter_map(wire::RequestEntry::into_held_request)
                .collect())
        })
    }

    fn load(
        &self,
        server: ids::ServerId,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<scheduler::Load, engines::QueryError>> {
        Box::pin(async move {
            let response_body: wire::LoadResponse = self.get(address, "/v1/load").await?;
            Ok(response_body.into_load(server))
        })
    }

    fn read_cache(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<placement::CacheEvent, engines::QueryError>> {
        Box::pin(async move {
            let response_body: wire::CacheResponse = self.get(address, "/v1/cache").await?;
            let blocks = wire::parse_blocks(&response_body.blocks);
            Ok(placement::CacheEvent::Snapshot { sequence: response_body.sequence, blocks })
        })
    }

    fn cache_events(
        &self,
        address: net::SocketAddr,
        from: u64,
    ) -> future::BoxFuture<'_, Result<engines::CacheEvents, engines::QueryError>> {
        Box::pin(async move {
            let path = format!("/v1/cache/events?from={from}&wait_ms={CACHE_POLL_WAIT_MS}");
            let response_body: wire::CacheEventsResponse = self.get(address, &path).await?;
            Ok(response_body.into_events())
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
            let (status, _): (_, value::Value) =
                self.query(address, hyper::Method::POST, "/v1/orders", Bytes::from(body)).await?;
            Ok(status.is_success())
        })
    }
}

/// A body that fails when one event is longer than [`MAX_EVENT_BYTES`].
struct EventBound {
    body: http::Body,
    /// The bytes that were read since the last event.
    event_bytes: sync::Arc<atomic::AtomicUsize>,
}

impl body::Body for EventBound {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, http::BodyError>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(context);
        let task::Poll::Ready(Some(Ok(frame))) = &polled else { return polled };
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        let before = self.event_bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
        if before + bytes > MAX_EVENT_BYTES {
            return task::Poll::Ready(Some(Err(http::BodyError::new("an event is too long"))));
        }
        polled
    }
}

/// The server-sent events of one decode attempt.
struct EventStream {
    request: ids::RequestId,
    events: sse_stream::SseStream<EventBound>,
    event_bytes: sync::Arc<atomic::AtomicUsize>,
    timeout: time::Duration,
    event_timeout: time::Duration,
    consecutive_foreign_events: u32,
}

impl EventStream {
    fn new(
        request: ids::RequestId,
        body: http::Body,
        timeout: time::Duration,
        event_timeout: time::Duration,
    ) -> Self {
        let event_bytes = sync::Arc::new(atomic::AtomicUsize::new(0));
        let body = EventBound { body, event_bytes: sync::Arc::clone(&event_bytes) };
        Self {
            request,
            events: sse_stream::SseStream::new(body),
            event_bytes,
            timeout,
            event_timeout,
            consecutive_foreign_events: 0,
        }
    }

    /// Counts an event of another request, which is dropped.
    fn count_foreign_event(&mut self) {
        self.consecutive_foreign_events += 1;
        metrics::counter!("galenayard_stray_events_total").increment(1);
    }

    async fn next_chunk(&mut self) -> Result<Option<engines::Chunk>, request::Failure> {
        // Events without data, and those of other requests, do not extend the wait.
        let deadline = tokio::time::Instant::now() + self.timeout;
        loop {
            let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
            let event = match timer::timeout(remaining, self.events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(_)) | None) => {
                    return Err(request::Failure::maybe_run(request::Fault::Closed));
                }
                Err(_) => return Err(request::Failure::maybe_run(request::Fault::Gap)),
            };
            self.event_bytes.store(0, atomic::Ordering::Relaxed);
            self.timeout = self.event_timeout;
            let Some(data) = event.data else { continue };
            if data == "[DONE]" {
                return Ok(None);
            }
            match wire::parse_chunk(data, self.request) {
                Ok(chunk) => {
                    self.consecutive_foreign_events = 0;
                    return Ok(Some(chunk));
                }
                Err(request::Fault::Crossed)
                    if self.consecutive_foreign_events < MAX_CONSECUTIVE_FOREIGN_EVENTS =>
                {
                    self.count_foreign_event();
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

/// The body of an engine's error response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ErrorResponse {
    error: EngineError,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EngineError {
    #[serde(rename = "type")]
    kind: String,
}

/// Returns a response with status 200 and maps any other to a failure.
async fn check_status(response: http::Response) -> Result<http::Response, request::Failure> {
    let status = response.status();
    if status == hyper::StatusCode::OK {
        return Ok(response);
    }
    let bytes = http::read_body(response.into_body(), MAX_RESPONSE_BYTES, QUERY_TIMEOUT)
        .await
        .unwrap_or_default();
    let error_response: ErrorResponse = serde_json::from_slice(&bytes).unwrap_or_default();
    Err(match error_response.error.kind.as_str() {
        "engine_full" | "loading" => request::Failure::not_run(request::Fault::Full),
        "kv_gone" => request::Failure::not_run(request::Fault::KvGone),
        "unknown_request" => request::Failure::maybe_run(request::Fault::UnknownRequest),
        _ => request::Failure::maybe_run(request::Fault::Status(status.as_u16())),
    })
}
