//! Client for the platform's log over HTTP; docs/PROTOCOLS.md describes the protocol.

use std::net;
use std::time;

use base64::Engine as _;
use base64::prelude;
use bytes::Bytes;
use futures_util::future;
use serde::Deserialize;
use serde_json::value;

use crate::borders::http;
use crate::borders::platform;
use crate::core::ids;
use crate::core::log;
use crate::core::request;

/// Timeout of requests to the log, without the wait time of a long-polling read.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum length of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of records requested by one read.
const MAX_RECORDS_PER_READ: usize = 1_000;

/// The client for the log.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: http::Client,
    address: net::SocketAddr,
}

#[derive(Debug, Deserialize)]
struct AppendResponse {
    offset: ids::Offset,
}

#[derive(Debug, Deserialize)]
struct ReadResponse {
    first: ids::Offset,
    next: ids::Offset,
    records: Vec<Box<value::RawValue>>,
}

#[derive(Debug, Deserialize)]
struct ReadRecord {
    offset: ids::Offset,
    time_ms: u64,
    body: String,
}

impl HttpLog {
    /// Creates a client for the log service at an address.
    pub fn new(client: http::Client, address: net::SocketAddr) -> Self {
        Self { client, address }
    }

    async fn run_append(&self, stream: log::Stream, body: Bytes) -> log::AppendOutcome {
        let path = format!("/v1/streams/{}/records", stream.as_str());
        let request = hyper::Request::post(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(http::full(body));
        let Ok(request) = request else { return log::AppendOutcome::Refused };
        let sent =
            self.client.send(self.address, request, http::Reuse::Never, RESPONSE_TIMEOUT).await;
        let response = match sent {
            Ok(response) => response,
            Err(failure) if failure.ran == request::Ran::No => return log::AppendOutcome::Refused,
            Err(_) => return log::AppendOutcome::Unknown,
        };
        let status = response.status();
        let body =
            http::read_body(response.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT).await;
        let appended =
            body.ok().and_then(|body| serde_json::from_slice::<AppendResponse>(&body).ok());
        match appended {
            Some(appended) if status.is_success() => log::AppendOutcome::At(appended.offset),
            _ if is_refused(status) => log::AppendOutcome::Refused,
            _ => log::AppendOutcome::Unknown,
        }
    }

    async fn run_read(
        &self,
        stream: log::Stream,
        from: ids::Offset,
        wait: time::Duration,
    ) -> Result<platform::Page, platform::Unavailable> {
        let path = format!(
            "/v1/streams/{}/records?from={from}&max={MAX_RECORDS_PER_READ}&wait_ms={}",
            stream.as_str(),
            wait.as_millis()
        );
        let request = hyper::Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(http::empty())
            .map_err(|failure| self.unavailable(failure.to_string()))?;
        let limit = wait + RESPONSE_TIMEOUT;
        let response = self
            .client
            .send(self.address, request, http::Reuse::Pooled, limit)
            .await
            .map_err(|failure| self.unavailable(format!("{:?}", failure.fault)))?;
        let status = response.status();
        let body = http::read_body(response.into_body(), MAX_RESPONSE_BYTES, limit)
            .await
            .map_err(|fault| self.unavailable(format!("{fault:?}")))?;
        if !status.is_success() {
            return Err(self.unavailable(format!("status {status}")));
        }
        let response: ReadResponse = serde_json::from_slice(&body)
            .map_err(|failure| self.unavailable(failure.to_string()))?;
        Ok(response.into_page(from))
    }

    fn unavailable(&self, problem: String) -> platform::Unavailable {
        platform::Unavailable { service: "log", address: self.address, problem }
    }
}

/// Why a record cannot be decoded.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("its body is not base64: {0}")]
    Base64(#[from] base64::DecodeError),
}

impl ReadResponse {
    /// Decodes the records of a read from an offset. One that cannot be decoded is empty: readers fold
    /// the records without a gap.
    fn into_page(self, from: ids::Offset) -> platform::Page {
        let mut offset = from.max(self.first);
        let mut records = Vec::with_capacity(self.records.len());
        for record in &self.records {
            let record = read_record(record).unwrap_or_else(|failure| {
                ::log::warn!(offset; "ignoring an unreadable record of the log: {failure}");
                log::Record { offset, time_ms: 0, body: Bytes::new() }
            });
            offset = record.offset.saturating_add(1);
            records.push(record);
        }
        platform::Page { first: self.first, next: self.next, records }
    }
}

fn read_record(record: &value::RawValue) -> Result<log::Record, RecordError> {
    let ReadRecord { offset, time_ms, body } = serde_json::from_str(record.get())?;
    let body = prelude::BASE64_STANDARD.decode(body)?;
    Ok(log::Record { offset, time_ms, body: Bytes::from(body) })
}

/// Returns whether a status means that the log did not append the record.
fn is_refused(status: hyper::StatusCode) -> bool {
    status.is_client_error() || status == hyper::StatusCode::SERVICE_UNAVAILABLE
}

impl platform::Log for HttpLog {
    fn append(
        &self,
        stream: log::Stream,
        body: Bytes,
    ) -> future::BoxFuture<'_, log::AppendOutcome> {
        Box::pin(self.run_append(stream, body))
    }

    fn read(
        &self,
        stream: log::Stream,
        from: ids::Offset,
        wait: time::Duration,
    ) -> future::BoxFuture<'_, Result<platform::Page, platform::Unavailable>> {
        Box::pin(self.run_read(stream, from, wait))
    }
}
