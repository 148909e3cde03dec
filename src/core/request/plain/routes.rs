//! The route of a plain call, and whether its method is idempotent.

use bytes::Bytes;

use crate::core::request;
use crate::document;

/// Returns the route with the longest matching prefix that allows the method.
pub fn find<'a>(
    routes: &'a [document::PlainRoute],
    call: &request::PlainCall,
) -> Result<&'a document::PlainRoute, request::Reason> {
    let matching = routes.iter().filter(|route| matches_prefix(&route.path_prefix, &call.path));
    let mut best = None;
    let mut path_is_known = false;
    for route in matching {
        path_is_known = true;
        let allowed = route.methods.is_empty() || route.methods.contains(&call.method);
        let length = route.path_prefix.len();
        let is_longer =
            best.is_none_or(|found: &document::PlainRoute| length > found.path_prefix.len());
        if allowed && is_longer {
            best = Some(route);
        }
    }
    best.ok_or(match path_is_known {
        true => request::Reason::MethodNotAllowed,
        false => request::Reason::NoRoute,
    })
}

/// Returns whether a path lies under a prefix, by whole segments.
fn matches_prefix(prefix: &Bytes, path: &Bytes) -> bool {
    let Some(rest) = path.strip_prefix(prefix.as_ref()) else { return false };
    rest.is_empty() || prefix.ends_with(b"/") || rest.starts_with(b"/")
}

/// Returns whether a method is idempotent by RFC 9110, section 9.2.2.
pub fn is_idempotent(method: &Bytes) -> bool {
    matches!(method.as_ref(), b"GET" | b"HEAD" | b"OPTIONS" | b"TRACE" | b"PUT" | b"DELETE")
}
