//! Splits streams of server-sent events at event boundaries, so that a stream can be resumed at
//! another server after the last complete event.

use bytes::Bytes;
use bytes::BytesMut;

/// The blank line that ends an event, with each kind of line break.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\r\n\r\n", b"\r\r"];

/// Collects bytes into complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// The bytes after the last complete event.
    partial: BytesMut,
    /// The id of the last complete event that has one.
    last_id: Option<String>,
}

impl EventBuffer {
    /// Adds bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial[search_start..])? + search_start;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards an incomplete event, whose remainder will not be received.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the bytes after the last complete event.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = EVENT_ENDS.iter().filter_map(|end| {
        let start = bytes.windows(end.len()).rposition(|window| window == *end)?;
        Some(start + end.len())
    });
    ends.max()
}

fn last_event_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .map(|id| String::from_utf8_lossy(id).trim().to_string())
}

#[cfg(test)]
mod tests;
