//! The bytes of a document, whole or as one replaced stretch of another document.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::core::ids;
use crate::document;

/// A document's bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// All of them.
    Full(Bytes),
    /// What differs from another document.
    Edit {
        /// Bytes kept from the start of the other document.
        start_bytes: u32,
        /// Bytes kept from its end.
        end_bytes: u32,
        /// What stands between them.
        inserted: Bytes,
    },
}

impl Content {
    /// Describes a document by its difference from another one.
    pub fn between(base: &Bytes, body: &Bytes) -> Content {
        let start = common(base.iter(), body.iter());
        let end = common(base[start..].iter().rev(), body[start..].iter().rev());
        let (Ok(start_bytes), Ok(end_bytes)) = (u32::try_from(start), u32::try_from(end)) else {
            return Content::Full(body.clone());
        };
        Content::Edit { start_bytes, end_bytes, inserted: body.slice(start..body.len() - end) }
    }

    /// Restores the document; `None` if the edit does not fit the base or the result is too long.
    pub fn resolve(&self, base: Option<&Bytes>) -> Option<Bytes> {
        match self {
            Content::Full(body) => (body.len() <= LIMIT).then(|| body.clone()),
            Content::Edit { start_bytes, end_bytes, inserted } => {
                let base = base?;
                let (start, end) = (*start_bytes as usize, *end_bytes as usize);
                let kept = start.checked_add(end)?;
                if kept > base.len() || kept.checked_add(inserted.len())? > LIMIT {
                    return None;
                }
                let mut body = BytesMut::with_capacity(kept + inserted.len());
                body.extend_from_slice(&base[..start]);
                body.extend_from_slice(inserted);
                body.extend_from_slice(&base[base.len() - end..]);
                Some(body.freeze())
            }
        }
    }
}

const LIMIT: usize = document::constants::MAX_DOCUMENT_BYTES;

fn common<'a>(one: impl Iterator<Item = &'a u8>, other: impl Iterator<Item = &'a u8>) -> usize {
    one.zip(other).take_while(|(one, other)| one == other).count()
}

/// Returns the SHA-256 digest of a document's bytes.
pub fn digest(body: &[u8]) -> ids::Digest {
    Sha256::digest(body).into()
}
