//! Dispatches callers' requests by path and method.

use std::net;
use std::sync;

use bytes::Bytes;
use hyper::Method;
use hyper::body;

use crate::borders::callers;
use crate::borders::callers::discovery;
use crate::borders::callers::errors;
use crate::borders::callers::language;
use crate::borders::callers::plain;
use crate::borders::engines;
use crate::borders::http;

/// Serves one request. While the instance shuts down, HTTP/1 responses ask the caller to close the
/// connection.
pub async fn serve(
    context: sync::Arc<callers::Context>,
    caller: net::SocketAddr,
    request: hyper::Request<body::Incoming>,
) -> http::Response {
    let leaving = context.handle.published().leaving;
    let http1 = request.version() < hyper::Version::HTTP_2;
    let mut response = route(context, caller, request).await;
    if leaving && http1 {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    response
}

async fn route(
    context: sync::Arc<callers::Context>,
    caller: net::SocketAddr,
    request: hyper::Request<body::Incoming>,
) -> http::Response {
    let path = request.uri().path().to_string();
    match (path.as_str(), request.method()) {
        ("/v1/completions", &Method::POST) => {
            language::serve(context, engines::Api::Completions, request).await
        }
        ("/v1/chat/completions", &Method::POST) => {
            language::serve(context, engines::Api::Chat, request).await
        }
        ("/v1/models", &Method::GET) => discovery::models(&context, request.headers()),
        ("/v1/instances", &Method::GET) => discovery::instances(&context),
        ("/healthz", &Method::GET) => text("ok\n"),
        ("/readyz", &Method::GET) => discovery::readiness(&context),
        ("/v1/completions" | "/v1/chat/completions", _) => {
            errors::RequestError::Method { allow: "POST" }.response()
        }
        ("/v1/models" | "/v1/instances" | "/healthz" | "/readyz", _) => {
            errors::RequestError::Method { allow: "GET" }.response()
        }
        _ => plain::serve(context, caller, request).await,
    }
}

/// Returns a plain text response.
pub fn text(body: &'static str) -> http::Response {
    let mut response = hyper::Response::new(http::full(Bytes::from_static(body.as_bytes())));
    let content_type = hyper::header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
