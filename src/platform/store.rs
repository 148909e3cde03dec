//! A client for the platform's store, whose topics hold records with keys.

use std::net;
use std::rc;
use std::time;

use bytes::Buf as _;
use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::Full;
use hyper::http;

use crate::core::ids;
use crate::platform::breaker;
use crate::router::upstream;

mod listing;

/// The timeout of a call, in addition to the requested wait: twice the response time of a slow
/// store.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// The maximum size of the records that one read returns.
const MAX_READ_BYTES: usize = 1_048_576;

/// The maximum size of a response: a page of records as text, and some more.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// Statuses with which the store turns a caller away.
const UNAVAILABLE_STATUSES: [u16; 2] = [429, 503];

/// A failed call to the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The request could not be sent, or its response was lost.
    #[error(transparent)]
    Upstream(#[from] upstream::UpstreamError),
    /// The response was not received before the timeout.
    #[error("no response before the timeout; the call may have taken effect")]
    TimedOut,
    /// The requested offset is not stored: its record has expired, or the store was restored from a
    /// copy that lacks it.
    #[error("there is no record at this offset; read the newest record of each key")]
    Deleted {
        /// The offset of the oldest stored record, if the store has returned it.
        first: Option<ids::Offset>,
    },
    /// The record at the offset of a read is shorter than its length says.
    #[error("the record at offset {offset} is truncated; skip it")]
    Truncated {
        /// The offset of the record.
        offset: ids::Offset,
    },
    /// The topic does not end at the offset of a conditional append, which was not carried out.
    #[error("the topic ends at offset {end}; read what others have written")]
    NotAtEnd {
        /// The end of the topic.
        end: ids::Offset,
    },
    /// The response comes from before the store was restored.
    #[error("the response of era {0} is outdated; era {1} was read before")]
    OutdatedEra(u64, u64),
    /// The store responded with an error status.
    #[error("the store responded with status {0}; try again later")]
    Refused(u16),
    /// The store does not continue its listing of the topic, whose oldest records have expired.
    #[error("the listing of the topic lacks keys; remove the entries whose keys are not UTF-8")]
    Incomplete,
    /// A part of the request cannot be encoded, or a part of the response cannot be decoded.
    #[error("cannot encode or decode this part of a store call: {0}; check the store's version")]
    Unreadable(&'static str),
}

/// A record of a topic with keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key of the record.
    pub key: Bytes,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// The position of the record in its topic.
    pub position: ids::StorePosition,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Records {
    /// The records, in the order in which the store returned them.
    pub records: Vec<Record>,
    /// The offset at which the next read starts.
    pub next: ids::Offset,
    /// The era of the store, which rises each time that the store is restored from a copy.
    pub era: u64,
    /// Whether the newest record of every key is included.
    pub is_complete: bool,
}

/// The response header with the era of the store.
const ERA: &str = "store-era";

/// The range of the stored records of a topic, returned for a deleted offset.
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct StoredRange {
    first_offset: ids::Offset,
}

/// The end of a topic, returned for an append at another offset.
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TopicEnd {
    end_offset: ids::Offset,
}

/// A client of the store with one connection, which is replaced after each failure.
pub struct Store {
    address: net::SocketAddr,
    connection: Option<upstream::Connection>,
    /// The highest era of a response so far.
    era: u64,
    breaker: rc::Rc<breaker::Breaker>,
    /// Whether calls are made while the breaker is open.
    ignores_breaker: bool,
}

impl Store {
    /// Creates a client, which connects at its first call. The clients of an instance share the
    /// breaker.
    pub fn new(address: net::SocketAddr, breaker: rc::Rc<breaker::Breaker>) -> Self {
        Self { address, connection: None, era: 0, breaker, ignores_breaker: false }
    }

    /// Creates a client for reads whose delay is bounded: a call of another topic that hangs must not
    /// hold them back. What they find opens and closes the breaker for the others.
    pub fn new_for_bounded_reads(
        address: net::SocketAddr,
        breaker: rc::Rc<breaker::Breaker>,
    ) -> Self {
        Self { ignores_breaker: true, ..Self::new(address, breaker) }
    }

    /// Reads the newest record of each key. If the store does not continue its listing, keys may be
    /// missing of which no record is stored any more but the newest one.
    ///
    /// # Errors
    ///
    /// Fails if a call fails or its response is invalid.
    pub async fn newest(&mut self, topic: &str) -> Result<Records, StoreError> {
        let mut listing = listing::Listing::default();
        let mut era = None;
        loop {
            let path = listing.next_path(topic);
            let page = self.call(http::Method::GET, &path, Bytes::new(), TIMEOUT).await?;
            if *era.get_or_insert(self.era) != self.era {
                // The pages come from different copies.
                return Err(StoreError::Deleted { first: None });
            }
            match listing.push(&page, self.era)? {
                listing::Progress::Continues => {}
                listing::Progress::Complete => return Ok(listing.into_records(self.era, true)),
                listing::Progress::Stalled => {
                    log::warn!(
                        "the listing of topic {topic} does not go on after key {:?}: reading its stored records instead",
                        listing.last_key()
                    );
                    let is_complete = self.replay(topic, &mut listing).await?;
                    return Ok(listing.into_records(self.era, is_complete));
                }
            }
        }
    }

    /// Adds the records that a topic still holds to a listing; returns whether none is missing.
    async fn replay(
        &mut self,
        topic: &str,
        listing: &mut listing::Listing,
    ) -> Result<bool, StoreError> {
        let era = self.era;
        let mut is_complete = true;
        let mut next = 0;
        while next < listing.end() {
            match self.read(topic, next, time::Duration::ZERO).await {
                // The listing comes from another copy.
                Ok(read) if read.era != era => return Err(StoreError::Deleted { first: None }),
                Ok(read) if read.next > next => {
                    next = read.next;
                    read.records.into_iter().for_each(|record| listing.insert(record));
                }
                // The topic ends before its end at the listing.
                Ok(_) => return Ok(false),
                Err(StoreError::Deleted { first: Some(first) }) if first > next => {
                    next = first;
                    is_complete = false;
                }
                Err(StoreError::Truncated { offset }) => {
                    next = offset + 1;
                    is_complete = false;
                }
                Err(failure) => return Err(failure),
            }
        }
        Ok(is_complete)
    }

    /// Reads records from an offset; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails if the offset is no longer stored, its record is truncated, the call fails or its response
    /// is invalid. Of records after the first one, those before a truncated one are returned.
    pub async fn read(
        &mut self,
        topic: &str,
        from: ids::Offset,
        wait: time::Duration,
    ) -> Result<Records, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!(
            "/-/log-read?Topic={topic}&part=0&Source={from}&MaxSize={MAX_READ_BYTES}&WaitMs={wait_ms}"
        );
        let body = self.call(http::Method::GET, &path, Bytes::new(), wait + TIMEOUT).await?;
        parse(body, from, self.era)
    }

    /// Appends a record; an empty value removes the key.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the append; the record may have been appended.
    pub async fn append(&mut self, topic: &str, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.append_record(topic, key, value, String::new()).await
    }

    /// Appends a record if the topic ends at an offset, so that it certainly follows the records that
    /// were read before. That holds also if the store carries the call out late.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the append; the record may have been appended.
    pub async fn append_at(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        end: ids::Offset,
    ) -> Result<(), StoreError> {
        self.append_record(topic, key, value, format!("&At={end}")).await
    }

    async fn append_record(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        condition: String,
    ) -> Result<(), StoreError> {
        let key_length =
            u8::try_from(key.len()).map_err(|_| StoreError::Unreadable("key too long"))?;
        let length = u32::try_from(1 + key.len() + value.len())
            .map_err(|_| StoreError::Unreadable("record too long"))?;
        let mut record = BytesMut::new();
        record.put_u32(length);
        record.put_u8(key_length);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        let path = format!("/-/log-append?Topic={topic}&part=0{condition}");
        self.call(http::Method::POST, &path, record.freeze(), TIMEOUT).await?;
        Ok(())
    }

    /// Notes the era of a response. A response without a valid one belongs to the era known so far.
    fn check_era(&mut self, headers: &http::HeaderMap) -> Result<(), StoreError> {
        let Some(value) = headers.get(ERA) else { return Ok(()) };
        let era = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
        let Some(era) = era else {
            log::warn!("ignoring the invalid era {value:?} of the store");
            return Ok(());
        };
        if era < self.era {
            return Err(StoreError::OutdatedEra(era, self.era));
        }
        self.era = era;
        Ok(())
    }

    /// Makes a call once the breaker admits it, and counts it.
    async fn call(
        &mut self,
        method: http::Method,
        path: &str,
        body: Bytes,
        timeout: time::Duration,
    ) -> Result<Bytes, StoreError> {
        let is_probe = !self.ignores_breaker && self.breaker.admitted().await;
        let is_read = method == http::Method::GET;
        let result = self.exchange(method, path, body, timeout).await;
        let has_answered = match &result {
            Ok(_)
            | Err(
                StoreError::Deleted { .. }
                | StoreError::OutdatedEra(..)
                | StoreError::NotAtEnd { .. },
            ) => true,
            Err(StoreError::Refused(status)) => !UNAVAILABLE_STATUSES.contains(status),
            Err(_) => false,
        };
        // A write may fail alone: its partition is busy, or its answer is lost. As a probe it has to
        // show something, as all other calls wait for it.
        if has_answered || is_read || is_probe {
            self.breaker.record(has_answered);
        }
        let call = path.split('?').next().unwrap_or_default().to_string();
        let topic = path.split("Topic=").nth(1).and_then(|it| it.split('&').next());
        let topic = topic.unwrap_or_default().to_string();
        let outcome = if has_answered { "answered" } else { "failed" };
        let labels = [("call", call), ("topic", topic), ("outcome", outcome.to_string())];
        metrics::counter!("store_calls_total", &labels).increment(1);
        result
    }

    async fn exchange(
        &mut self,
        method: http::Method,
        path: &str,
        body: Bytes,
        timeout: time::Duration,
    ) -> Result<Bytes, StoreError> {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .body(Full::new(body))
            .map_err(|_| StoreError::Unreadable("path"))?;
        // The connection is kept only after a complete response: one whose response was lost cannot
        // be used for another call.
        let idle = self.connection.take().filter(upstream::Connection::is_open);
        let exchange = async {
            let mut connection = match idle {
                Some(connection) => connection,
                None => upstream::Connection::open(self.address).await?,
            };
            let response = connection.exchange(request, MAX_RESPONSE_BYTES).await?;
            Ok::<_, upstream::UpstreamError>((connection, response))
        };
        let (connection, response) =
            tokio::time::timeout(timeout, exchange).await.map_err(|_| StoreError::TimedOut)??;
        self.connection = Some(connection);
        self.check_era(response.headers())?;
        match response.status().as_u16() {
            200 => Ok(response.into_body()),
            410 => {
                let range = serde_json::from_slice::<StoredRange>(response.body());
                Err(StoreError::Deleted { first: range.ok().map(|range| range.first_offset) })
            }
            412 => match serde_json::from_slice::<TopicEnd>(response.body()) {
                Ok(TopicEnd { end_offset: end }) => Err(StoreError::NotAtEnd { end }),
                Err(_) => Err(StoreError::Refused(412)),
            },
            status => Err(StoreError::Refused(status)),
        }
    }
}

/// Decodes the records of a read from offset `from` of an era.
fn parse(mut body: Bytes, from: ids::Offset, era: u64) -> Result<Records, StoreError> {
    if body.len() < 16 {
        return Err(StoreError::Unreadable("offsets"));
    }
    let _end = body.get_u64();
    let _first = body.get_u64();
    let mut records = Vec::new();
    let mut next = from;
    while !body.is_empty() {
        let Some(mut record) = split_record(&mut body) else {
            // Where the next record begins is unknown. Those before it are whole.
            if records.is_empty() && next == from {
                return Err(StoreError::Truncated { offset: from });
            }
            break;
        };
        let offset = next;
        next += 1;
        if record.is_empty() {
            continue;
        }
        let key_length = usize::from(record.get_u8());
        if record.len() < key_length {
            log::warn!("ignoring the truncated record at offset {offset}");
            continue;
        }
        let key = record.split_to(key_length);
        let value = (!record.is_empty()).then_some(record);
        records.push(Record { key, value, position: ids::store_position(era, offset) });
    }
    Ok(Records { records, next, era, is_complete: false })
}

/// Splits a record off the records of a read; `None` if it is shorter than its length says.
fn split_record(records: &mut Bytes) -> Option<Bytes> {
    let length = records.try_get_u32().ok()? as usize;
    (length <= records.len()).then(|| records.split_to(length))
}

#[cfg(test)]
mod tests;
