//! Headers of forwarded calls, by RFC 9110, section 7.6.

use std::net;

use hyper::header;

use crate::borders::http;
use crate::core::ids;

/// Headers that concern one connection only, by RFC 9110, section 7.6.1.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Headers that must not reach a backend server: keys, and claims of a caller about its own
/// address that only a proxy may make.
const PRIVATE: [&str; 7] = [
    "authorization",
    "expect",
    "forwarded",
    "x-api-key",
    "x-forwarded-host",
    "x-forwarded-port",
    "x-real-ip",
];

/// Removes the headers that concern one connection only, those that `Connection` names included.
pub fn strip_hop_by_hop(headers: &mut header::HeaderMap) {
    let named: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Makes a caller's request one for a backend server.
pub fn prepare(
    message: &mut http::Request,
    request: ids::RequestId,
    server: net::SocketAddr,
    caller: net::SocketAddr,
) {
    let path = message.uri().path_and_query().cloned();
    *message.uri_mut() = path.map(hyper::Uri::from).unwrap_or_default();
    *message.version_mut() = hyper::Version::HTTP_11;
    let headers = message.headers_mut();
    strip_hop_by_hop(headers);
    for name in PRIVATE {
        headers.remove(name);
    }
    set(headers, "host", &server.to_string());
    set(headers, "x-request-id", &ids::request_text(request));
    set(headers, "x-forwarded-for", &caller.ip().to_string());
    set(headers, "x-forwarded-proto", "http");
    set(headers, "via", "1.1 galenayard");
}

fn set(headers: &mut header::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
