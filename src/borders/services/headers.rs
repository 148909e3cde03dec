//! Headers of forwarded calls, following RFC 9110, section 7.6.

use std::net;

use hyper::header;

use crate::borders::http;
use crate::core::ids;

/// Hop-by-hop headers, which apply to one connection only (RFC 9110, section 7.6.1).
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

/// Headers that are not forwarded: credentials, and address headers that only a trusted proxy
/// may set.
const NOT_FORWARDED: [&str; 7] = [
    "authorization",
    "expect",
    "forwarded",
    "x-api-key",
    "x-forwarded-host",
    "x-forwarded-port",
    "x-real-ip",
];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
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

/// Rewrites a caller's request for a backend server.
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
    for name in NOT_FORWARDED {
        headers.remove(name);
    }
    set_header(headers, "host", &server.to_string());
    set_header(headers, "x-request-id", &ids::request_text(request));
    set_header(headers, "x-forwarded-for", &caller.ip().to_string());
    set_header(headers, "x-forwarded-proto", "http");
    set_header(headers, "via", "1.1 galenayard");
}

fn set_header(headers: &mut header::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
