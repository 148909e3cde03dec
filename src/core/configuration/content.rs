//! The bytes of a document, either complete or as an edit that replaces one range of another
//! document.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::core::ids;
use crate::document;

/// The encoding of a document's bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The complete document.
    Full(Bytes),
    /// The difference from a base document.
    Edit {
        /// The number of bytes kept from the start of the base.
        start_bytes: u32,
        /// The number of bytes kept from the end of the base.
        end_bytes: u32,
        /// The bytes between the two.
        inserted: Bytes,
    },
}

impl Content {
    /// Encodes a document as an edit of a base.
    pub fn between(base: &Bytes, body: &Bytes) -> Content {
        let start = common_length(base.iter(), body.iter());
        let end = common_length(base[start..].iter().rev(), body[start..].iter().rev());
        let (Ok(start_bytes), Ok(end_bytes)) = (u32::try_from(start), u32::try_from(end)) else {
            return Content::Full(body.clone());
        };
        Content::Edit { start_bytes, end_bytes, inserted: body.slice(start..body.len() - end) }
    }

    /// Restores the document; `None` if the edit does not fit the base or the result is too long.
    pub fn resolve(&self, base: Option<&Bytes>) -> Option<Bytes> {
        match self {
            Content::Full(body) => (body.len() <= MAX_BYTES).then(|| body.clone()),
            Content::Edit { start_bytes, end_bytes, inserted } => {
                let base = base?;
                let (start, end) = (*start_bytes as usize, *end_bytes as usize);
                let kept_bytes = start.checked_add(end)?;
                if kept_bytes > base.len() || kept_bytes.checked_add(inserted.len())? > MAX_BYTES {
                    return None;
                }
                let mut body = BytesMut::with_capacity(kept_bytes + inserted.len());
                body.extend_from_slice(&base[..start]);
                body.extend_from_slice(inserted);
                body.extend_from_slice(&base[base.len() - end..]);
                Some(body.freeze())
            }
        }
    }
}

/// The maximum size of a document that an edit may produce.
const MAX_BYTES: usize = document::constants::MAX_DOCUMENT_BYTES;

/// Returns the length of the common start of two sequences.
fn common_length<'a>(
    one: impl Iterator<Item = &'a u8>,
    other: impl Iterator<Item = &'a u8>,
) -> usize {
    one.zip(other).take_while(|(one, other)| one == other).count()
}

/// Returns the SHA-256 digest of a document's bytes.
pub fn digest(body: &[u8]) -> ids::Digest {
    Sha256::digest(body).into()
}
