//! The platform's store: topics with keys, read by offset or by newest record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::http;

type Topics = BTreeMap<String, Vec<Vec<u8>>>;

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Starts the store.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let serving = store.clone();
        http::serve(address, move |request, stream| {
            let (status, body) = serving.respond(&request);
            http::answer(stream, status, &[("Content-Type", "application/json")], &body)
        })?;
        Ok(store)
    }

    fn topics(&self) -> MutexGuard<'_, Topics> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record as the operator or a server would; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics().entry(topic.to_string()).or_default().push(record);
        self.shared.1.notify_all();
    }

    fn respond(&self, request: &http::Request) -> (&'static str, Vec<u8>) {
        let topic = request.parameter("Topic").unwrap_or_default();
        match request.path() {
            "/-/log-newest" => ("200 OK", self.newest(topic)),
            "/-/log-read" => {
                let number = |name| request.parameter(name).and_then(|it| it.parse::<u64>().ok());
                let from = usize::try_from(number("Source").unwrap_or(0)).unwrap_or(usize::MAX);
                self.read(topic, from, number("WaitMs").unwrap_or(0))
            }
            "/-/log-append" => ("200 OK", self.append(topic, &request.body)),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Vec<u8> {
        let mut topics = self.topics();
        let records = topics.entry(topic.to_string()).or_default();
        let offset = records.len();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some(content) = rest.get(..length) else { break };
            records.push(content.to_vec());
            body = &rest[length..];
        }
        let end = records.len();
        self.shared.1.notify_all();
        format!("{{\"Offset\":{offset},\"EndOffset\":{end}}}").into_bytes()
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else { continue };
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value));
        }
        let items: Vec<_> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"HasMore\":false,\"EndOffset\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics();
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return ("200 OK", body);
            }
            let waited = self.shared.1.wait_timeout(topics, until - now);
            topics = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
