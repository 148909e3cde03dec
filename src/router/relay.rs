//! Splits streams of server-sent events at event boundaries, so that a stream can be resumed at
//! another server after the last complete event.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use hyper::http;

/// The byte order mark that a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Collects bytes into complete events and passes them on unchanged. Lines may end with CR, LF or
/// CRLF.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// The bytes after the last complete event.
    partial: BytesMut,
    /// The number of bytes of `partial` that have been scanned.
    scanned_bytes: usize,
    /// Where the current line begins in `partial`.
    line_start: usize,
    /// Whether the byte before is a CR, so that an LF belongs to the same end of a line.
    is_after_cr: bool,
    /// Whether a byte order mark was looked for at the beginning of the stream.
    has_begun: bool,
    /// Whether events of another server precede the stream.
    is_joined: bool,
    /// The event in `partial`.
    event: PartialEvent,
    /// How the stream goes on after the last complete event.
    position: Position,
}

/// The fields of an event of which not all lines have been received.
#[derive(Debug, Default)]
struct PartialEvent {
    id: Option<Bytes>,
    has_data: bool,
}

/// The place in a stream from which it can go on at another server.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum Position {
    /// No event has been complete yet.
    #[default]
    Start,
    /// After the event with this id, as the value of a header.
    After(http::HeaderValue),
    /// After an event without an id, or with one that no header can carry.
    Unknown,
}

impl EventBuffer {
    /// Adds bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        if !self.has_begun && !self.skip_byte_order_mark() {
            return None;
        }
        let mut end = None;
        for index in self.scanned_bytes..self.partial.len() {
            let byte = self.partial[index];
            let is_second_byte = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
            if byte == b'\n' && is_second_byte {
                // The end of the event before includes it.
                if self.line_start == index && (index == 0 || end == Some(index)) {
                    end = Some(index + 1);
                }
                self.line_start = index + 1;
            } else if byte == b'\n' || byte == b'\r' {
                if self.end_line(index) {
                    end = Some(index + 1);
                }
                self.line_start = index + 1;
            }
        }
        self.scanned_bytes = self.partial.len();
        let end = end?;
        self.scanned_bytes -= end;
        self.line_start -= end;
        Some(self.partial.split_to(end).freeze())
    }

    /// Looks for a byte order mark, which is no part of the first line; returns `false` if more bytes
    /// are needed. Behind the events of another server it is left out.
    fn skip_byte_order_mark(&mut self) -> bool {
        if self.partial.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(&self.partial)
        {
            return false;
        }
        self.has_begun = true;
        if self.partial.starts_with(BYTE_ORDER_MARK) {
            if self.is_joined {
                self.partial.advance(BYTE_ORDER_MARK.len());
            } else {
                self.scanned_bytes = BYTE_ORDER_MARK.len();
                self.line_start = BYTE_ORDER_MARK.len();
            }
        }
        true
    }

    /// Reads the line that ends before `end`; returns whether it ends an event.
    fn end_line(&mut self, end: usize) -> bool {
        let line = &self.partial[self.line_start..end];
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            match event.id.map(|id| to_header_value(&id)) {
                Some(Some(id)) => self.position = Position::After(id),
                Some(None) => self.position = Position::Unknown,
                None if event.has_data => self.position = Position::Unknown,
                None => {}
            }
            return true;
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        let value = value.strip_prefix(b":").unwrap_or_default();
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"id" => self.event.id = Some(Bytes::copy_from_slice(value)),
            b"data" => self.event.has_data = true,
            _ => {}
        }
        false
    }

    /// Returns the place after the last complete event.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Starts the stream of another server, which goes on after the last complete event. The rest of an
    /// incomplete one will not be received.
    pub fn begin_stream(&mut self) {
        let position = std::mem::take(&mut self.position);
        let is_joined = position != Position::Start;
        *self = Self { position, is_joined, ..Self::default() };
    }

    /// Returns the bytes after the last complete event.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }
}

impl Position {
    /// Returns the id of the last event; `None` if there is none, or none that a header can carry.
    pub fn last_id(&self) -> Option<&http::HeaderValue> {
        match self {
            Self::After(id) => Some(id),
            Self::Start | Self::Unknown => None,
        }
    }
}

/// Returns an id as the value of a header, if a header carries it unchanged.
fn to_header_value(id: &[u8]) -> Option<http::HeaderValue> {
    let is_unchanged = !id.is_empty() && id.trim_ascii() == id;
    http::HeaderValue::from_bytes(id).ok().filter(|_| is_unchanged)
}

#[cfg(test)]
mod tests;
