//! Authenticates operators and dispatches their requests.

use std::str;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::header;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;
use tokio::time as tokio_time;

use crate::borders::operators::{self, api, constants, reply};
use crate::core::configuration;
use crate::core::configuration::content;
use crate::core::ids;
use crate::document;
use crate::document::hex;

type Request = hyper::Request<body::Incoming>;

/// The content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Authenticates and serves one request.
pub(super) async fn serve(context: &operators::Context, request: Request) -> reply::Response {
    if !is_operator(request.headers(), &context.key_digest) {
        let mut response = reply::failure(api::ErrorDetail::new(
            api::Kind::Unauthorized,
            "the operator key is missing or wrong",
            "send it as `Authorization: Bearer KEY`",
        ));
        let scheme = header::HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        return response;
    }
    match dispatch(context, request).await {
        Ok(response) => response,
        Err(detail) => reply::failure(detail),
    }
}

/// Returns whether the request has the operator key; compares the digests in constant time.
fn is_operator(headers: &header::HeaderMap, digest: &ids::Digest) -> bool {
    let Some(value) = headers.get(header::AUTHORIZATION) else { return false };
    let Some((scheme, key)) = value.as_bytes().split_at_checked(7) else { return false };
    let presented: ids::Digest = sha2::Sha256::digest(key.trim_ascii()).into();
    scheme.eq_ignore_ascii_case(b"Bearer ") && bool::from(presented.ct_eq(digest))
}

async fn dispatch(
    context: &operators::Context,
    request: Request,
) -> Result<reply::Response, api::ErrorDetail> {
    let operations = context.operations.as_ref();
    let path = request.uri().path().to_string();
    let method = request.method().clone();
    let is_get = method == hyper::Method::GET;
    match path.as_str() {
        "/metrics" if is_get => Ok(reply::text(METRICS_CONTENT_TYPE, operations.metrics())),
        "/v1/status" if is_get => Ok(json_ok(&operations.status().await)),
        "/v1/instances" if is_get => Ok(json_ok(&operations.instances().await)),
        "/v1/config" if is_get => get_document(operations).await,
        "/v1/config" if method == hyper::Method::POST => propose(context, request).await,
        "/v1/config/history" if is_get => Ok(json_ok(&history(operations).await)),
        "/v1/log-level" if method == hyper::Method::PUT => set_log_level(context, request).await,
        "/metrics" | "/v1/status" | "/v1/instances" | "/v1/config/history" => {
            Err(not_allowed("GET"))
        }
        "/v1/config" => Err(not_allowed("GET or POST")),
        "/v1/log-level" => Err(not_allowed("PUT")),
        path => match path.strip_prefix("/v1/explain/") {
            Some(id) if is_get => explain(operations, id).await,
            Some(_) => Err(not_allowed("GET")),
            None => Err(api::ErrorDetail::new(
                api::Kind::NotFound,
                "nothing has this path",
                "see docs/CLI.md for the paths",
            )),
        },
    }
}

fn json_ok<T: serde::Serialize>(value: &T) -> reply::Response {
    reply::json(hyper::StatusCode::OK, value)
}

fn not_allowed(methods: &str) -> api::ErrorDetail {
    api::ErrorDetail::new(
        api::Kind::MethodNotAllowed,
        "this path has other methods",
        format!("use {methods}"),
    )
}

async fn get_document(
    operations: &dyn operators::Operations,
) -> Result<reply::Response, api::ErrorDetail> {
    match operations.current().await {
        Some(current) => Ok(reply::document(&current)),
        None => Err(api::ErrorDetail::new(
            api::Kind::NotFound,
            "no document is in force",
            "propose the first one on version 0",
        )),
    }
}

async fn history(operations: &dyn operators::Operations) -> api::History {
    let entries = operations.history().await;
    api::History { entries: entries.iter().map(api::HistoryEntry::from).collect() }
}

async fn explain(
    operations: &dyn operators::Operations,
    id: &str,
) -> Result<reply::Response, api::ErrorDetail> {
    let request = ids::parse_request(id).ok_or_else(|| {
        bad_request("not a request id", "use the 32 hexadecimal digits of `x-request-id`")
    })?;
    let decisions = operations.explain(request).await.ok_or_else(|| {
        api::ErrorDetail::new(
            api::Kind::NotFound,
            "no decision on this request is kept here",
            "ask the instance that took the request, soon after it",
        )
    })?;
    Ok(json_ok(&decisions))
}

async fn set_log_level(
    context: &operators::Context,
    request: Request,
) -> Result<reply::Response, api::ErrorDetail> {
    let body = read_body(context, request.into_body(), constants::MAX_SMALL_BODY_BYTES).await?;
    let level: api::Level = serde_json::from_slice(&body).map_err(|error| {
        bad_request(error.to_string(), "send {\"level\": \"info\"} or another level")
    })?;
    context.operations.set_log_level(level.level);
    Ok(json_ok(&level))
}

async fn propose(
    context: &operators::Context,
    request: Request,
) -> Result<reply::Response, api::ErrorDetail> {
    let headers = request.headers();
    let base = header_text(headers, api::BASE_HEADER)?
        .parse()
        .map_err(|_| bad_header(api::BASE_HEADER, "a version number"))?;
    let id = ids::parse_request(header_text(headers, api::PROPOSAL_HEADER)?)
        .ok_or_else(|| bad_header(api::PROPOSAL_HEADER, "32 hexadecimal digits"))?;
    let author = header_text(headers, api::AUTHOR_HEADER)?;
    let author = Bytes::copy_from_slice(author.as_bytes());
    let body =
        read_body(context, request.into_body(), document::constants::MAX_DOCUMENT_BYTES).await?;
    let digest = hex::format(&content::digest(&body));
    let proposal = configuration::Proposal { id, base, author, body };
    let outcome = context.operations.propose(proposal).await;
    Ok(reply::proposal_outcome(outcome, digest))
}

fn header_text<'a>(
    headers: &'a header::HeaderMap,
    name: &str,
) -> Result<&'a str, api::ErrorDetail> {
    headers
        .get(name)
        .and_then(|value| str::from_utf8(value.as_bytes()).ok())
        .filter(|value| !value.is_empty())
        .ok_or_else(|| bad_header(name, "a text"))
}

fn bad_header(name: &str, expected: &str) -> api::ErrorDetail {
    bad_request(format!("the header {name} is missing or wrong"), format!("set it to {expected}"))
}

fn bad_request(message: impl Into<String>, remedy: impl Into<String>) -> api::ErrorDetail {
    api::ErrorDetail::new(api::Kind::BadRequest, message, remedy)
}

/// Reads a body of at most `limit_bytes` within the body timeout.
async fn read_body(
    context: &operators::Context,
    body: body::Incoming,
    limit_bytes: usize,
) -> Result<Bytes, api::ErrorDetail> {
    let too_large = || {
        let remedy = format!("send at most {limit_bytes} bytes");
        api::ErrorDetail::new(api::Kind::TooLarge, "the body is too long", remedy)
    };
    if body::Body::size_hint(&body).lower() > limit_bytes as u64 {
        return Err(too_large());
    }
    let limited = http_body_util::Limited::new(body, limit_bytes);
    match tokio_time::timeout(context.timeouts.body, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(failure)) if failure.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(bad_request("the body is incomplete", "send the whole body")),
        Err(_) => Err(api::ErrorDetail::new(
            api::Kind::Timeout,
            "the body took too long",
            format!("send it within {} ms", context.timeouts.body.as_millis()),
        )),
    }
}
