//! Refusals as callers see them: a status, a JSON body and headers.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;

use crate::borders::http;
use crate::core::escrow;
use crate::core::request;

/// The header that says whether a refused request ran.
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

/// A request that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// The body is not the JSON that the API takes.
    #[error("{0}")]
    Malformed(String),
    /// The body's type is not JSON.
    #[error("the body must be JSON")]
    MediaType,
    /// The body is too long.
    #[error("the body is longer than {limit_bytes} bytes")]
    TooLarge {
        /// The longest body that is taken, in bytes.
        limit_bytes: usize,
    },
    /// The body is too long for a call with an idempotency key.
    #[error("a call with an idempotency key takes a body of at most {limit_bytes} bytes")]
    KeyedTooLarge {
        /// The longest body that such a call takes, in bytes.
        limit_bytes: usize,
    },
    /// The idempotency key is missing its value, too long, or given twice.
    #[error("the idempotency-key header takes one value of 1 to {limit_bytes} bytes")]
    IdempotencyKey {
        /// The longest key, in bytes.
        limit_bytes: usize,
    },
    /// The path could be read in more than one way.
    #[error("the path has dot segments, empty segments, encoded separators or broken encoding")]
    Path,
    /// The body did not come in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The body broke off.
    #[error("the body broke off")]
    Broken,
    /// The path takes another method.
    #[error("the path does not take this method")]
    Method {
        /// The methods that it takes.
        allow: &'static str,
    },
}

impl Unreadable {
    fn status(&self) -> StatusCode {
        match self {
            Unreadable::Malformed(_)
            | Unreadable::Broken
            | Unreadable::IdempotencyKey { .. }
            | Unreadable::Path => StatusCode::BAD_REQUEST,
            Unreadable::MediaType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Unreadable::TooLarge { .. } | Unreadable::KeyedTooLarge { .. } => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            Unreadable::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Unreadable::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
        }
    }

    fn remedy(&self) -> &'static str {
        match self {
            Unreadable::Malformed(_) => "correct the field that the message names",
            Unreadable::MediaType => "send content-type: application/json",
            Unreadable::TooLarge { .. } => "send a shorter prompt",
            Unreadable::KeyedTooLarge { .. } => "send a shorter body",
            Unreadable::IdempotencyKey { .. } => "send one idempotency-key header with a short key",
            Unreadable::Path => "send the path in its normal form",
            Unreadable::TooSlow | Unreadable::Broken => {
                "send the request again on a new connection"
            }
            Unreadable::Method { .. } => "use a method that the allow header names",
        }
    }

    /// Returns the answer for the caller.
    pub fn response(&self) -> http::Response {
        let error = Error {
            r#type: "invalid_request",
            message: &self.to_string(),
            remedy: self.remedy(),
            ran: request::Ran::No,
        };
        let mut response = respond(self.status(), error);
        if let Unreadable::Method { allow } = self {
            response.headers_mut().insert(header::ALLOW, header::HeaderValue::from_static(allow));
        }
        response
    }
}

/// Returns the answer for a refused request.
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

/// Returns the JSON text for a refusal within a stream.
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
        request::Reason::Unauthenticated => "the key is missing, unknown or withdrawn",
        request::Reason::Forbidden => "the workspace may not use this route",
        request::Reason::NoRoute => "no route serves this model or path",
        request::Reason::MethodNotAllowed => "the route does not take this method",
        request::Reason::Limit(escrow::Refusal::OverRate) => "the workspace has used its tokens",
        request::Reason::Limit(escrow::Refusal::OverBurst) => {
            "the request costs more tokens than the workspace's burst"
        }
        request::Reason::Limit(_) => "the workspace's limit could not be checked in time",
        request::Reason::Unplaced(_) => "no backend server had room in time",
        request::Reason::Stale => "this instance's configuration is not recent enough",
        request::Reason::NoLease => "this instance has no lease",
        request::Reason::TooManyRequests => "this instance holds as many requests as it may",
        request::Reason::Draining => "this instance is shutting down",
        request::Reason::Failed(_) => "no backend server completed the request",
        request::Reason::KeyReused => "the idempotency key was used with another request",
        request::Reason::ClaimUnavailable => "the idempotency key could not be recorded",
        request::Reason::ClaimHeld => {
            "a request with this idempotency key was accepted and its answer is not to be had"
        }
        request::Reason::Deadline => "the request took longer than it may",
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
