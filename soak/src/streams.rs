//! Streams of events: how servers write them, and what callers must find in them.

use std::hash;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;

use crate::http;

/// The events of a whole stream.
pub const EVENTS: u64 = 12;

/// The pause between two events.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(15);

/// One in so many streams is broken off by its server.
const BREAK_RATIO: u64 = 4;

/// The software versions of the servers; what two of them write does not fit together.
pub const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Returns the event with a number, as servers of a version write it.
pub fn event(version: &str, number: u64) -> String {
    format!("id: {number}\ndata: {version} piece {number}\n\n")
}

/// Returns whether a text has all events of a stream, written by servers of one version.
pub fn is_whole(text: &str) -> bool {
    VERSIONS.iter().any(|version| {
        let events = (1..=EVENTS).map(|number| event(version, number));
        text == events.collect::<String>()
    })
}

/// Returns whether a text has events of several versions.
pub fn is_mixed(text: &str) -> bool {
    VERSIONS.iter().all(|version| text.contains(version))
}

/// Returns the whole events of a stream that may have been broken off, and their number.
pub fn whole_events(text: &str) -> (&str, u64) {
    let end = text.rfind("\n\n").map_or(0, |at| at + 2);
    (&text[..end], text[..end].matches("\n\n").count() as u64)
}

/// How a server's stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ending {
    /// Whether its end is marked; otherwise it ends with its connection.
    pub is_marked: bool,
    /// The event inside which it is broken off.
    pub breaks_in: Option<u64>,
}

impl Ending {
    /// Draws the ending of an attempt's stream at a server.
    pub fn draw(attempt: &str, server: &str) -> Self {
        let mut hasher = hash::DefaultHasher::new();
        hash::Hash::hash(&(attempt, server), &mut hasher);
        let drawn = hash::Hasher::finish(&hasher);
        let breaks_in = (drawn.is_multiple_of(BREAK_RATIO)).then_some(1 + (drawn >> 8) % EVENTS);
        Self { is_marked: (drawn >> 32).is_multiple_of(2), breaks_in }
    }
}

/// Returns a server's stream of the events after `last_event`; calls `finished` once all are written.
pub fn response<F>(
    version: &'static str,
    last_event: u64,
    ending: Ending,
    finished: F,
) -> http::Response
where
    F: FnOnce() + 'static,
{
    let (sender, receiver) = tokio::sync::mpsc::channel::<Bytes>(1);
    tokio::task::spawn_local(async move {
        for number in last_event + 1..=EVENTS {
            let mut text = event(version, number);
            let is_broken_off = ending.breaks_in == Some(number);
            if is_broken_off {
                text.truncate(text.len() / 2);
            }
            // Whoever reads the stream may leave.
            if sender.send(Bytes::from(text)).await.is_err() || is_broken_off {
                return;
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        finished();
    });
    let chunks = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok(body::Frame::data(bytes)), receiver))
    });
    let body = http_body_util::StreamBody::new(chunks).boxed_unsync();
    let mut response = hyper::Response::new(body);
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    if !ending.is_marked {
        *response.version_mut() = hyper::Version::HTTP_10;
    }
    response
}
