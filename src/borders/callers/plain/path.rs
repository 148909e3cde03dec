//! Normalises the paths of plain calls for route matching.

use bytes::Bytes;

/// Returns a path with its unreserved characters decoded, by RFC 3986, section 6.2.2.2.
///
/// Returns `None` for a path that a backend server could interpret as another path: one with dot
/// segments, empty segments, encoded separators, control characters or invalid encoding.
pub fn normalise(path: &str) -> Option<Bytes> {
    let decoded = decode_unreserved(path.strip_prefix('/')?.as_bytes())?;
    let mut segments = decoded.split(|byte| *byte == b'/').collect::<Vec<_>>();
    if segments.last().is_some_and(|last| last.is_empty()) {
        segments.pop();
    }
    if segments.iter().any(|segment| is_ambiguous(segment)) {
        return None;
    }
    let mut normalised = Vec::with_capacity(decoded.len() + 1);
    normalised.push(b'/');
    normalised.extend_from_slice(&decoded);
    Some(Bytes::from(normalised))
}

/// Decodes percent-encoded unreserved characters and keeps the encoding of all others.
fn decode_unreserved(path: &[u8]) -> Option<Vec<u8>> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first == b'\\' {
            return None;
        }
        if *first != b'%' {
            decoded.push(*first);
            continue;
        }
        let (digits, after) = rest.split_at_checked(2)?;
        rest = after;
        match parse_hex_byte(digits)? {
            b'/' | b'\\' | 0..=0x1f | 0x7f => return None,
            byte if is_unreserved(byte) => decoded.push(byte),
            _ => {
                decoded.push(b'%');
                decoded.extend(digits.iter().map(u8::to_ascii_uppercase));
            }
        }
    }
    Some(decoded)
}

fn parse_hex_byte(digits: &[u8]) -> Option<u8> {
    if !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

/// Returns whether a segment, without its `;` parameters, is empty or a dot segment.
fn is_ambiguous(segment: &[u8]) -> bool {
    let name = segment.split(|byte| *byte == b';').next().unwrap_or_default();
    matches!(name, b"" | b"." | b"..")
}
