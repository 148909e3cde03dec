//! Builds the HTTP responses to operators.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header;
use serde::Serialize;

use crate::borders::operators::{self, api};
use crate::core::configuration;
use crate::document::hex;

/// An HTTP response to an operator.
pub type Response = hyper::Response<Full<Bytes>>;

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: hyper::StatusCode, value: &T) -> Response {
    // Serialization of the interface's types cannot fail.
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", Bytes::from(body))
}

/// Returns a response with a text body.
pub fn text(content_type: &'static str, body: String) -> Response {
    with_content_type(hyper::StatusCode::OK, content_type, Bytes::from(body))
}

fn with_content_type(
    status: hyper::StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response {
    let mut response = hyper::Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns an error response; the kind of failure determines the status.
pub fn failure(detail: api::ErrorDetail) -> Response {
    let status = match detail.kind {
        api::Kind::Unauthorized => hyper::StatusCode::UNAUTHORIZED,
        api::Kind::NotFound => hyper::StatusCode::NOT_FOUND,
        api::Kind::MethodNotAllowed => hyper::StatusCode::METHOD_NOT_ALLOWED,
        api::Kind::BadRequest => hyper::StatusCode::BAD_REQUEST,
        api::Kind::Timeout => hyper::StatusCode::REQUEST_TIMEOUT,
        api::Kind::TooLarge => hyper::StatusCode::PAYLOAD_TOO_LARGE,
        api::Kind::Conflict => hyper::StatusCode::CONFLICT,
        api::Kind::Invalid => hyper::StatusCode::UNPROCESSABLE_ENTITY,
        api::Kind::Unavailable => hyper::StatusCode::SERVICE_UNAVAILABLE,
        api::Kind::Unknown => hyper::StatusCode::GATEWAY_TIMEOUT,
    };
    json(status, &api::ErrorBody { error: detail })
}

/// Returns the document in force, with its version, digest and author in headers.
pub fn document(current: &operators::CurrentDocument) -> Response {
    let mut response =
        with_content_type(hyper::StatusCode::OK, "application/toml", current.body.clone());
    let headers = response.headers_mut();
    let entry = &current.entry;
    headers.insert(api::VERSION_HEADER, header::HeaderValue::from(entry.version));
    let texts = [
        (api::DIGEST_HEADER, hex::format(&entry.digest).into_bytes()),
        (api::AUTHOR_HEADER, entry.author.to_vec()),
    ];
    for (name, value) in texts {
        if let Ok(value) = header::HeaderValue::from_bytes(&value) {
            headers.insert(name, value);
        }
    }
    response
}

/// Returns the response to a proposal.
pub fn proposal_outcome(outcome: configuration::ProposalOutcome, digest: String) -> Response {
    match outcome {
        configuration::ProposalOutcome::Accepted { version } => {
            json(hyper::StatusCode::OK, &api::Accepted { version, digest })
        }
        configuration::ProposalOutcome::Conflict { current, author } => {
            let author = String::from_utf8_lossy(&author).into_owned();
            failure(api::ErrorDetail {
                current: Some(current),
                author: Some(author.clone()),
                ..api::ErrorDetail::new(
                    api::Kind::Conflict,
                    format!("version {current} by {author} is in force"),
                    "compare with `galenayard config diff` and propose again on that version",
                )
            })
        }
        configuration::ProposalOutcome::Invalid { faults } => failure(api::ErrorDetail {
            faults,
            ..api::ErrorDetail::new(
                api::Kind::Invalid,
                "the document is not valid",
                "correct each fault and propose again",
            )
        }),
        configuration::ProposalOutcome::Unavailable => failure(api::ErrorDetail::new(
            api::Kind::Unavailable,
            "the log did not take the proposal; nothing has changed",
            "propose again when the log can be reached",
        )),
        configuration::ProposalOutcome::Unknown => failure(api::ErrorDetail::new(
            api::Kind::Unknown,
            "the log may have taken the proposal",
            "propose again with the same proposal id",
        )),
    }
}
