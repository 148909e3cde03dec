//! Aliases for the identifiers in events, effects and messages, and the format of request ids.

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

/// A random number that identifies one process of an instance, drawn when the process starts.
pub type Incarnation = u64;

/// The position of a record in a stream of the platform's log.
pub type Offset = u64;

/// The position of a record in the platform's store: its era in the upper 24 bits and its offset in
/// the lower 40 bits, so that a record written after the store was restored from a copy is newer than
/// all records before, although offsets are given out again.
pub type StorePosition = u64;

const STORE_OFFSET_BITS: u32 = 40;

/// Builds the position of a record from the era of the store and the record's offset.
pub fn store_position(era: u64, offset: Offset) -> StorePosition {
    let max_era = u64::MAX >> STORE_OFFSET_BITS;
    let max_offset = (1 << STORE_OFFSET_BITS) - 1;
    (era.min(max_era) << STORE_OFFSET_BITS) | offset.min(max_offset)
}

/// Returns the era of the store in a position.
pub fn store_era(position: StorePosition) -> u64 {
    position >> STORE_OFFSET_BITS
}

/// Returns the offset in a position.
pub fn store_offset(position: StorePosition) -> Offset {
    position & ((1 << STORE_OFFSET_BITS) - 1)
}

/// A number that matches an append with its answer.
pub type AppendToken = u64;

/// The SHA-256 digest of a key, an idempotency key or a request body.
pub type Digest = [u8; 32];

/// Returns the first bytes of a digest as a number.
pub fn first_u64(digest: &Digest) -> u64 {
    let (first, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
    u64::from_be_bytes(*first)
}

/// The chained hash of one block of a prompt.
pub type BlockHash = u64;

/// The number of an attempt within a request to have a backend server serve it, from 1.
pub type Attempt = u16;

/// The time since the start of the process, by its monotonic clock.
pub type Timestamp = time::Duration;

/// The identifier of a request: the incarnation in the upper 64 bits, a sequence number in the
/// lower 64 bits.
pub type RequestId = u128;

/// Builds a request id from an incarnation and a sequence number.
pub fn request_id(incarnation: Incarnation, sequence: u64) -> RequestId {
    (u128::from(incarnation) << 64) | u128::from(sequence)
}

/// Returns the incarnation of the process that issued a request id.
pub fn incarnation_of(request: RequestId) -> Incarnation {
    (request >> 64) as Incarnation
}

/// Formats a request id as the 32 hexadecimal digits used in headers and logs.
pub fn request_text(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Parses a request id from 32 hexadecimal digits.
pub fn parse_request(text: &str) -> Option<RequestId> {
    if text.len() != 32 {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}
