//! Listings of the newest record of each key, which the store returns in pages.

use std::collections::BTreeMap;

use base64::Engine as _;
use bytes::Bytes;
use serde_json::value;

use crate::core::collections;
use crate::core::ids;
use crate::platform::store;

/// The bytes of a key that a query contains unencoded (RFC 3986, section 2.3). Any writer may choose
/// the key of an entry.
const UNRESERVED: &percent_encoding::AsciiSet =
    &percent_encoding::NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Page<'a> {
    /// Items are decoded one by one, so that one that cannot be decoded does not hide the others.
    #[serde(rename = "items", borrow)]
    items: Vec<&'a value::RawValue>,
    #[serde(default)]
    has_more: bool,
    end_offset: ids::Offset,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ItemKey {
    key: String,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ItemContent {
    value: String,
    offset: ids::Offset,
}

/// Why an item cannot be decoded.
#[derive(Debug, thiserror::Error)]
enum ItemError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("its value is not base64: {0}")]
    Base64(#[from] base64::DecodeError),
}

/// Whether a listing goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// There is another page.
    Continues,
    /// The page was the last one.
    Complete,
    /// There is another page, but the call for it was made before: the text that the store returns for
    /// a key that is not UTF-8 is not that key.
    Stalled,
}

/// The pages of a listing that were read so far.
#[derive(Debug, Default)]
pub struct Listing {
    /// The records by key.
    records: BTreeMap<Bytes, store::Record>,
    /// The last key that was listed.
    last_key: Option<String>,
    /// The keys after which pages were read.
    read_after: collections::Set<Option<String>>,
    /// The end of the topic at the first page.
    end: Option<ids::Offset>,
}

impl Listing {
    /// Returns the path of the call for the next page.
    pub fn next_path(&self, topic: &str) -> String {
        let after = self.last_key.as_ref().map_or(String::new(), |key| {
            let encoded = percent_encoding::utf8_percent_encode(key, UNRESERVED);
            format!("&after={encoded}")
        });
        format!("/-/log-newest?Topic={topic}&part=0{after}")
    }

    /// Adds a page; returns whether the listing goes on.
    ///
    /// # Errors
    ///
    /// Fails if the page cannot be decoded. An item that cannot is skipped.
    pub fn push(&mut self, page: &[u8], era: u64) -> Result<Progress, store::StoreError> {
        // Bytes that are not UTF-8 make a single item unreadable.
        let page = String::from_utf8_lossy(page);
        let page: Page<'_> =
            serde_json::from_str(&page).map_err(|_| store::StoreError::Unreadable("newest"))?;
        // Pages are not a snapshot: the next read starts at the end offset of the first page, so that
        // it returns all later changes.
        self.end.get_or_insert(page.end_offset);
        self.read_after.insert(self.last_key.clone());
        for item in page.items {
            if let Err(failure) = self.push_item(item, era) {
                log::warn!("ignoring an item of a listing of the store: {failure}");
            }
        }
        Ok(if !page.has_more {
            Progress::Complete
        } else if self.read_after.contains(&self.last_key) {
            Progress::Stalled
        } else {
            Progress::Continues
        })
    }

    fn push_item(&mut self, item: &value::RawValue, era: u64) -> Result<(), ItemError> {
        let ItemKey { key } = serde_json::from_str(item.get())?;
        // The listing goes on after this key, whatever its value is.
        self.last_key = Some(key.clone());
        let content: ItemContent = serde_json::from_str(item.get())?;
        let value = base64::prelude::BASE64_STANDARD.decode(content.value)?;
        let value = (!value.is_empty()).then(|| Bytes::from(value));
        let position = ids::store_position(era, content.offset);
        self.insert(store::Record { key: key.into(), value, position });
        Ok(())
    }

    /// Adds a record unless a newer one of its key is known.
    pub fn insert(&mut self, record: store::Record) {
        let known = self.records.get(&record.key);
        if known.is_none_or(|known| known.position <= record.position) {
            self.records.insert(record.key.clone(), record);
        }
    }

    /// Returns the end of the topic when the listing began.
    pub fn end(&self) -> ids::Offset {
        self.end.unwrap_or_default()
    }

    /// Returns the key after which the listing goes on, for a log line.
    pub fn last_key(&self) -> &str {
        self.last_key.as_deref().unwrap_or_default()
    }

    /// Returns the records, in the order of their keys. `is_complete` states whether they include the
    /// newest record of every key.
    pub fn into_records(self, era: u64, is_complete: bool) -> store::Records {
        let next = self.end();
        let records = self.records.into_values().collect();
        store::Records { records, next, era, is_complete }
    }
}
