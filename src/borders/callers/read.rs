//! Reads request bodies within limits of size and time, and parses request headers.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::header;
use sha2::Digest as _;
use tokio::time as tokio_time;

use crate::borders::callers::errors;
use crate::core::ids;
use crate::settings;

/// Reads a whole request body.
///
/// # Errors
///
/// Fails if the body exceeds the size limit or the body timeout, or if the connection fails.
pub async fn whole_body(
    body: body::Incoming,
    limits: &settings::Limits,
) -> Result<Bytes, errors::RequestError> {
    let limit_bytes = limits.body_bytes;
    let declared_bytes = body::Body::size_hint(&body).lower();
    if declared_bytes > limit_bytes as u64 {
        return Err(errors::RequestError::TooLarge { limit_bytes });
    }
    let limited = http_body_util::Limited::new(body, limit_bytes);
    let timeout = time::Duration::from_millis(limits.body_send_timeout_ms);
    match tokio_time::timeout(timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(failure)) if failure.is::<http_body_util::LengthLimitError>() => {
            Err(errors::RequestError::TooLarge { limit_bytes })
        }
        Ok(Err(_)) => Err(errors::RequestError::Truncated),
        Err(_) => Err(errors::RequestError::Timeout),
    }
}

/// Returns the SHA-256 digest of the bearer token in the `Authorization` header.
pub fn key_digest(headers: &header::HeaderMap) -> Option<ids::Digest> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(7)?;
    if !scheme.eq_ignore_ascii_case(b"Bearer ") {
        return None;
    }
    Some(sha2::Sha256::digest(key.trim_ascii()).into())
}

/// Returns whether the `Content-Type` header declares JSON.
pub fn is_json(headers: &header::HeaderMap) -> bool {
    let Some(value) = headers.get(header::CONTENT_TYPE) else { return false };
    let Ok(value) = value.to_str() else { return false };
    let media_type = value.split(';').next().unwrap_or_default().trim();
    media_type.eq_ignore_ascii_case("application/json")
}
