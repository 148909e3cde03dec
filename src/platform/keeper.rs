//! Keeps one value in the store that several instances may replace.
//!
//! The store may carry out a write seconds after it was given up. Each write is therefore appended at
//! the end of the topic as it was read, or left by the write before: a late one fails as soon as
//! another one has followed, and never takes the place of a newer value.

use bytes::Bytes;

use crate::core::ids;
use crate::platform::store;

/// The topic of one value, as this instance knows it.
pub struct Keeper {
    store: store::Store,
    topic: &'static str,
    key: &'static str,
    /// The end of the topic; `None` if it was not read yet, or since another one has written.
    end: Option<ids::Offset>,
}

impl Keeper {
    /// Creates a keeper of the value under a key, the only one of its topic.
    pub fn new(store: store::Store, topic: &'static str, key: &'static str) -> Self {
        Self { store, topic, key, end: None }
    }

    /// Reads the value; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the store does not return it.
    pub async fn read(&mut self) -> Result<Option<Bytes>, store::StoreError> {
        self.end = None;
        let listing = self.store.newest(self.topic).await?;
        let mut records = listing.records.into_iter();
        // Other keys are those of another writer.
        let record = records.find(|record| record.key == self.key);
        if record.is_none() && !listing.is_complete {
            return Err(store::StoreError::Incomplete);
        }
        self.end = Some(listing.next);
        Ok(record.and_then(|record| record.value))
    }

    /// Replaces the value that was read or written last.
    ///
    /// # Errors
    ///
    /// Fails if another write has come before, or if the store does not confirm this one, which may
    /// have been carried out.
    pub async fn write(&mut self, value: &[u8]) -> Result<(), store::StoreError> {
        let end = match self.end {
            Some(end) => end,
            None => {
                self.read().await?;
                self.end.unwrap_or_default()
            }
        };
        let result = self.store.append_at(self.topic, self.key, value, end).await;
        match result {
            Ok(()) => self.end = Some(end + 1),
            Err(store::StoreError::NotAtEnd { .. }) => self.end = None,
            // It may be carried out at the same offset, or not at all.
            Err(_) => {}
        }
        result
    }

    /// Replaces whatever value there is.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the write, which may have been carried out.
    pub async fn replace(&mut self, value: &[u8]) -> Result<(), store::StoreError> {
        match self.write(value).await {
            Err(store::StoreError::NotAtEnd { end }) => {
                self.end = Some(end);
                self.write(value).await
            }
            result => result,
        }
    }
}

#[cfg(test)]
mod tests;
