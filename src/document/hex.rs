//! Conversion of digests and keys to and from hexadecimal digits.

use std::fmt::Write;

use crate::core::ids;

/// The error for a text that is not a SHA-256 digest in hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a SHA-256 digest; write its 64 hexadecimal digits, as `key create` prints them")]
pub struct InvalidDigest;

/// Formats bytes as lower-case hexadecimal digits.
pub fn format(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Parses 64 hexadecimal digits in either case; `None` if the text is anything else.
pub fn parse_digest(text: &str) -> Option<ids::Digest> {
    let bytes = text.as_bytes();
    if bytes.len() != 2 * size_of::<ids::Digest>() {
        return None;
    }
    let mut digest = ids::Digest::default();
    for (byte, digits) in digest.iter_mut().zip(bytes.chunks_exact(2)) {
        *byte = (parse_digit(digits[0])? << 4) | parse_digit(digits[1])?;
    }
    Some(digest)
}

fn parse_digit(character: u8) -> Option<u8> {
    char::from(character).to_digit(16).map(|value| value as u8)
}
