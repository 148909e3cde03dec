//! Aliases for the identifiers that events, effects and messages carry.

use std::time;

use bytes::Bytes;

/// The configured name of an instance.
pub type InstanceId = Bytes;

/// The configured name of a failure domain.
pub type FailureDomain = Bytes;

/// The name of a workspace.
pub type WorkspaceId = Bytes;

/// The name of a backend server.
pub type ServerId = Bytes;

/// The name of a model.
pub type ModelId = Bytes;

/// The name of a route.
pub type RouteId = Bytes;

/// A number drawn at random when an instance's process starts.
pub type Incarnation = u64;

/// The position of a record in a stream of the platform's log.
pub type Offset = u64;

/// A number that ties an append to its answer.
pub type AppendToken = u64;

/// The SHA-256 digest of a key, an idempotency key or a request body.
pub type Digest = [u8; 32];

/// The chained hash of one block of a prompt.
pub type BlockHash = u64;

/// The number of an attempt at a backend server within a request, from 1.
pub type Attempt = u16;

/// Time since the start of the process on its monotonic clock.
pub type Timestamp = time::Duration;

/// The incarnation in the upper 64 bits, a sequence number in the lower ones.
pub type RequestId = u128;

/// Joins an incarnation and a sequence number to a request id.
pub fn request_id(incarnation: Incarnation, sequence: u64) -> RequestId {
    (u128::from(incarnation) << 64) | u128::from(sequence)
}

/// Returns the incarnation that issued a request id.
pub fn incarnation_of(request: RequestId) -> Incarnation {
    (request >> 64) as Incarnation
}

/// Formats a request id as the 32 hexadecimal digits used in headers and logs.
pub fn request_text(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Parses 32 hexadecimal digits to a request id.
pub fn parse_request(text: &str) -> Option<RequestId> {
    if text.len() != 32 {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}
