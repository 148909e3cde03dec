//! HTTP responses for refused and invalid requests: status, JSON body and headers.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;

use crate::borders::http;
use crate::core::escrow;
use crate::core::request;

/// The response header that says whether a backend server may have run the refused request.
pub const RAN_HEADER: &str = "x-galenayard-ran";

#[derive(Debug, Serialize)]
struct Envelope<'a> {
    error: Error<'a>,
}

#[derive(Debug, Serialize)]
struct Error<'a> {
    r#type: &'a str,
    message: &'a str,
    remedy: &'a str,
    ran: request::Ran,
}

/// Why a request is rejected before it reaches the reducer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The body is not valid JSON or does not have the fields that the API expects.
    #[error("{0}")]
    Malformed(String),
    /// The `Content-Type` header does not declare JSON.
    #[error("the body must be JSON")]
    ContentType,
    /// The body is longer than the configured limit.
    #[error("the body is longer than {limit_bytes} bytes")]
    TooLarge {
        /// The maximum body length, in bytes.
        limit_bytes: usize,
    },
    /// The body is longer than a call with an idempotency key may have.
    #[error("the body of a call with an idempotency key must have at most {limit_bytes} bytes")]
    KeyedTooLarge {
        /// The maximum body length of such a call, in bytes.
        limit_bytes: usize,
    },
    /// The `idempotency-key` header is empty, too long, or given more than once.
    #[error("the idempotency-key header must have one value of 1 to {limit_bytes} bytes")]
    IdempotencyKey {
        /// The maximum key length, in bytes.
        limit_bytes: usize,
    },
    /// The path is ambiguous: servers may normalise it to different paths.
    #[error("the path has dot segments, empty segments, encoded separators or broken encoding")]
    InvalidPath,
    /// The body did not arrive within the body timeout.
    #[error("the body did not arrive in time")]
    Timeout,
    /// The connection failed before the whole body arrived.
    #[error("the connection failed before the whole body arrived")]
    Truncated,
    /// The path does not support the method.
    #[error("the path does not support this method")]
    Method {
        /// The supported methods, for the `Allow` header.
        allow: &'static str,
    },
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::Malformed(_)
            | RequestError::Truncated
            | RequestError::IdempotencyKey { .. }
            | RequestError::InvalidPath => StatusCode::BAD_REQUEST,
            RequestError::ContentType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            RequestError::TooLarge { .. } | RequestError::KeyedTooLarge { .. } => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            RequestError::Timeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
        }
    }

    fn remedy(&self) -> &'static str {
        match self {
            RequestError::Malformed(_) => "correct the field that the message names",
            RequestError::ContentType => "send content-type: application/json",
            RequestError::TooLarge { .. } => "send a shorter prompt",
            RequestError::KeyedTooLarge { .. } => "send a shorter body",
            RequestError::IdempotencyKey { .. } => "send one short idempotency-key header",
            RequestError::InvalidPath => "send the path in its normal form",
            RequestError::Timeout | RequestError::Truncated => {
                "send the request again on a new connection"
            }
            RequestError::Method { .. } => "use a method that the allow header names",
        }
    }

    /// Returns the HTTP response for this error.
    pub fn response(&self) -> http::Response {
        let error = Error {
            r#type: "invalid_request",
            message: &self.to_string(),
            remedy: self.remedy(),
            ran: request::Ran::No,
        };
        let mut response = respond(self.status(), error);
        if let RequestError::Method { allow } = self {
            response.headers_mut().insert(header::ALLOW, header::HeaderValue::from_static(allow));
        }
        response
    }
}

/// Returns the HTTP response for a refused request.
pub fn refusal(refusal: &request::Refusal) -> http::Response {
    let error = Error {
        r#type: refusal.reason.name(),
        message: message(&refusal.reason),
        remedy: remedy(&refusal.reason, refusal.ran),
        ran: refusal.ran,
    };
    let mut response = respond(status(&refusal.reason), error);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    if refusal.reason == request::Reason::Unauthenticated {
        let scheme = header::HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Returns the JSON text of a refusal for an event stream that has already started.
pub fn refusal_json(refusal: &request::Refusal) -> Bytes {
    let error = Error {
        r#type: refusal.reason.name(),
        message: message(&refusal.reason),
        remedy: remedy(&refusal.reason, refusal.ran),
        ran: refusal.ran,
    };
    to_json(error)
}

fn respond(status: StatusCode, error: Error<'_>) -> http::Response {
    let ran = match error.ran {
        request::Ran::No => "no",
        request::Ran::Unknown => "unknown",
    };
    let mut response = hyper::Response::new(http::full(to_json(error)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    headers.insert(RAN_HEADER, header::HeaderValue::from_static(ran));
    response
}

fn to_json(error: Error<'_>) -> Bytes {
    serde_json::to_vec(&Envelope { error }).map(Bytes::from).unwrap_or_default()
}

fn status(reason: &request::Reason) -> StatusCode {
    match reason {
        request::Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
        request::Reason::Forbidden => StatusCode::FORBIDDEN,
        request::Reason::NoRoute => StatusCode::NOT_FOUND,
        request::Reason::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        request::Reason::Limit(escrow::Refusal::OverRate | escrow::Refusal::OverBurst) => {
            StatusCode::TOO_MANY_REQUESTS
        }
        request::Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        request::Reason::ClaimHeld => StatusCode::CONFLICT,
        request::Reason::Failed(fault) => failed_status(*fault),
        request::Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        request::Reason::Limit(_)
        | request::Reason::Unplaced(_)
        | request::Reason::Stale
        | request::Reason::NoLease
        | request::Reason::TooManyRequests
        | request::Reason::Draining
        | request::Reason::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn failed_status(fault: request::Fault) -> StatusCode {
    match fault {
        request::Fault::FirstByte | request::Fault::Gap => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn message(reason: &request::Reason) -> &'static str {
    match reason {
        request::Reason::Unauthenticated => "the key is missing, unknown or revoked",
        request::Reason::Forbidden => "the workspace is not allowed to use this route",
        request::Reason::NoRoute => "no route serves this model or path",
        request::Reason::MethodNotAllowed => "the route does not support this method",
        request::Reason::Limit(escrow::Refusal::OverRate) => "the workspace has used up its tokens",
        request::Reason::Limit(escrow::Refusal::OverBurst) => {
            "the request costs more tokens than the workspace's burst"
        }
        request::Reason::Limit(_) => "the workspace's limit could not be checked in time",
        request::Reason::Unplaced(_) => "no backend server had capacity in time",
        request::Reason::Stale => "this instance's configuration is not recent enough",
        request::Reason::NoLease => "this instance has no lease",
        request::Reason::TooManyRequests => "this instance has too many open requests",
        request::Reason::Draining => "this instance is shutting down",
        request::Reason::Failed(_) => "no backend server completed the request",
        request::Reason::KeyReused => "the idempotency key was used with another request",
        request::Reason::ClaimUnavailable => "the idempotency key could not be recorded",
        request::Reason::ClaimHeld => {
            "a request with this idempotency key was accepted and its response is not available"
        }
        request::Reason::Deadline => "the request exceeded its deadline",
    }
}

fn remedy(reason: &request::Reason, ran: request::Ran) -> &'static str {
    match reason {
        request::Reason::Unauthenticated => "send a valid key as authorization: Bearer KEY",
        request::Reason::Forbidden => "ask the operator to add the workspace to the route",
        request::Reason::NoRoute => "see GET /v1/models for the models, or ask the operator",
        request::Reason::MethodNotAllowed => "use another method",
        request::Reason::Limit(escrow::Refusal::OverBurst) => {
            "shorten the prompt or lower max_tokens"
        }
        request::Reason::KeyReused => "use a new idempotency key for a new request",
        request::Reason::ClaimHeld => "find out whether the first request took effect",
        request::Reason::Stale
        | request::Reason::NoLease
        | request::Reason::Draining
        | request::Reason::TooManyRequests => "use another instance from GET /v1/instances",
        _ if ran == request::Ran::No => "send the request again after retry-after",
        _ => "find out whether the request took effect before sending it again",
    }
}
