//! A stand-in of the platform's store: topics with keys, read by offset or by newest record.

use std::cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net;
use std::rc;
use std::time;

use base64::Engine as _;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::http;

/// The most records in a page of a listing, so that most listings have several pages.
const PAGE_RECORDS: usize = 2;

/// The bytes that a truncated record lacks, more than those of all later records.
const MISSING_BYTES: usize = 1_000_000;

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    Up,
    /// With 503.
    Busy,
    /// Not at all.
    Silent,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// The offset of the first record that can be read; listings contain older ones, too.
    first: usize,
    /// The offsets of records that are shorter than their length says.
    truncated: BTreeSet<usize>,
}

/// The store.
pub struct Store {
    topics: cell::RefCell<BTreeMap<String, Topic>>,
    mode: cell::Cell<Mode>,
    /// How often it was restored from a copy.
    era: cell::Cell<u64>,
    page_records: cell::Cell<usize>,
    appended: tokio::sync::Notify,
}

fn record(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
    record.extend_from_slice(key);
    record.extend_from_slice(value);
    record
}

impl Store {
    /// Starts the store; returns its address too.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub async fn start(address: net::SocketAddr) -> io::Result<(rc::Rc<Self>, net::SocketAddr)> {
        let store = rc::Rc::new(Self {
            topics: cell::RefCell::default(),
            mode: cell::Cell::new(Mode::Up),
            era: cell::Cell::new(1),
            page_records: cell::Cell::new(PAGE_RECORDS),
            appended: tokio::sync::Notify::new(),
        });
        let serving = rc::Rc::clone(&store);
        let bound = http::serve(address, move |request| {
            let store = rc::Rc::clone(&serving);
            async move { store.answer(request).await }
        })
        .await?;
        Ok((store, bound))
    }

    /// Changes the most records in a page of a listing.
    pub fn set_page_records(&self, records: usize) {
        self.page_records.set(records);
    }

    /// Changes how it answers.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Restores it from a copy that lacks the newest records of each topic.
    pub fn restore(&self, lost_records: usize) {
        self.era.set(self.era.get() + 1);
        for topic in self.topics.borrow_mut().values_mut() {
            let kept = topic.records.len().saturating_sub(lost_records);
            topic.records.truncate(kept);
        }
        self.appended.notify_waiters();
    }

    /// Appends a record as the operator or a server would.
    pub fn put<K: AsRef<[u8]>>(&self, topic: &str, key: K, value: &[u8]) {
        let mut topics = self.topics.borrow_mut();
        topics.entry(topic.to_string()).or_default().records.push(record(key.as_ref(), value));
        self.appended.notify_waiters();
    }

    /// Appends a record that is shorter than its length says.
    pub fn put_truncated(&self, topic: &str, key: &str, value: &[u8]) {
        let offset = self.end(topic);
        self.put(topic, key, value);
        if let Some(topic) = self.topics.borrow_mut().get_mut(topic) {
            topic.truncated.insert(offset);
        }
    }

    /// Lets all records of a topic expire but the newest one of each key.
    pub fn expire(&self, topic: &str) {
        if let Some(topic) = self.topics.borrow_mut().get_mut(topic) {
            topic.first = topic.records.len();
        }
    }

    async fn answer(&self, request: hyper::Request<Incoming>) -> http::Response {
        match self.mode.get() {
            Mode::Up => {}
            Mode::Busy => return http::response(503, ""),
            Mode::Silent => std::future::pending().await,
        }
        let mut response = self.respond(request).await;
        response.headers_mut().insert("store-era", hyper::http::HeaderValue::from(self.era.get()));
        response
    }

    async fn respond(&self, request: hyper::Request<Incoming>) -> http::Response {
        let topic = http::parameter(&request, "Topic").unwrap_or_default();
        match request.uri().path() {
            "/-/log-newest" => {
                let after = http::parameter(&request, "after");
                http::response(200, self.newest(&topic, after.as_deref()))
            }
            "/-/log-read" => {
                let from = http::parameter(&request, "Source").and_then(|it| it.parse().ok());
                let wait = http::parameter(&request, "WaitMs").and_then(|it| it.parse().ok());
                self.read(&topic, from.unwrap_or(0), wait.unwrap_or(0)).await
            }
            "/-/log-append" => {
                let at = http::parameter(&request, "At").and_then(|it| it.parse::<usize>().ok());
                let Ok(body) = request.into_body().collect().await else {
                    return http::response(400, "");
                };
                if at.is_some_and(|at| at != self.end(&topic)) {
                    let end = self.end(&topic);
                    return http::response(412, format!("{{\"EndOffset\":{end}}}"));
                }
                self.append(&topic, &body.to_bytes());
                http::response(200, "{}")
            }
            _ => http::response(404, ""),
        }
    }

    /// Returns the offset of the next record of a topic.
    fn end(&self, topic: &str) -> usize {
        self.topics.borrow().get(topic).map_or(0, |topic| topic.records.len())
    }

    fn append(&self, topic: &str, mut body: &[u8]) {
        let mut topics = self.topics.borrow_mut();
        let records = &mut topics.entry(topic.to_string()).or_default().records;
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some(content) = rest.get(..length) else { break };
            records.push(content.to_vec());
            body = &rest[length..];
        }
        self.appended.notify_waiters();
    }

    /// Returns a page of the newest record of each key, in the order of their keys.
    fn newest(&self, topic: &str, after: Option<&str>) -> Bytes {
        let topics = self.topics.borrow();
        let empty = Topic::default();
        let topic = topics.get(topic).unwrap_or(&empty);
        let mut items = BTreeMap::new();
        for (offset, record) in topic.records.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else { continue };
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            items.insert(key.to_vec(), (offset, value.to_vec()));
        }
        let mut items = items
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .filter(|(key, _)| after.is_none_or(|after| key.as_slice() > after.as_bytes()));
        let page: Vec<_> = items
            .by_ref()
            .take(self.page_records.get())
            .map(|(key, (offset, value))| {
                serde_json::json!({
                    "Key": String::from_utf8_lossy(&key),
                    "Value": base64::prelude::BASE64_STANDARD.encode(value),
                    "Offset": offset,
                })
            })
            .collect();
        let answer = serde_json::json!({
            "items": page, "HasMore": items.next().is_some(), "EndOffset": topic.records.len(),
        });
        Bytes::from(answer.to_string())
    }

    async fn read(&self, topic: &str, from: usize, wait_ms: u64) -> http::Response {
        let until = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            let appended = self.appended.notified();
            let body = match self.records(topic, from) {
                Ok(body) => body,
                Err(first) => return http::response(410, format!("{{\"FirstOffset\":{first}}}")),
            };
            let is_over = tokio::time::Instant::now() >= until;
            if body.len() > 16 || is_over {
                return http::response(200, body);
            }
            // Whether it was an append or the end of the wait, the records are looked at again.
            let _ = tokio::time::timeout_at(until, appended).await;
        }
    }

    /// Returns the records from an offset on; fails with the offset of the first record if there is no
    /// such offset.
    fn records(&self, topic: &str, from: usize) -> Result<Vec<u8>, usize> {
        let topics = self.topics.borrow();
        let empty = Topic::default();
        let Topic { records, first, truncated } = topics.get(topic).unwrap_or(&empty);
        if from < *first || from > records.len() {
            return Err(*first);
        }
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&(*first as u64).to_be_bytes());
        for (offset, record) in records.iter().enumerate().skip(from) {
            let missing = if truncated.contains(&offset) { MISSING_BYTES } else { 0 };
            body.extend_from_slice(&((record.len() + missing) as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        Ok(body)
    }
}
