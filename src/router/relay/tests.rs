//! Tests that streams are split at event boundaries.

use hyper::http;
use proptest::prelude::*;

use super::EventBuffer;
use super::Position;

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

fn id(position: &Position) -> Option<&[u8]> {
    position.last_id().map(http::HeaderValue::as_bytes)
}

/// Returns all complete events of chunks.
fn push_all<'a>(events: &mut EventBuffer, chunks: impl Iterator<Item = &'a [u8]>) -> Vec<u8> {
    chunks.flat_map(|bytes| events.push(bytes)).flatten().collect()
}

#[test]
fn events_are_emitted_whole_for_any_chunk_size() {
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for size in 1..stream.len() {
        let mut events = EventBuffer::default();
        let emitted = push_all(&mut events, stream.chunks(size));
        assert_eq!(emitted, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "chunks of {size}");
        assert_eq!(id(events.position()), Some(&b"2"[..]), "chunks of {size}");
    }
}

#[test]
fn a_stream_resumes_after_the_last_complete_event() {
    let mut events = EventBuffer::default();
    events.push(b"id: 7\ndata: a\n\nid: 8\ndata: b");
    events.begin_stream();
    assert_eq!(id(events.position()), Some(&b"7"[..]));
    assert_eq!(events.push(b"id: 8\ndata: b\n\n").as_deref(), Some(&b"id: 8\ndata: b\n\n"[..]));
    assert_eq!(id(events.position()), Some(&b"8"[..]));
}

#[test]
fn a_stream_cannot_be_resumed_after_an_event_without_an_id_that_a_header_carries() {
    let positions = [
        (&b":comment\n\nretry: 5\n\n"[..], Position::Start),
        (b"data: a\n\n", Position::Unknown),
        (b"id: 1\ndata: a\n\ndata: b\n\n", Position::Unknown),
        (b"id: 1\ndata: a\n\nid: \x01\ndata: b\n\n", Position::Unknown),
        (b"id: 1\ndata: a\n\nid\ndata: b\n\n", Position::Unknown),
        (b"id: 1\ndata: a\n\nid: 2 \ndata: b\n\n", Position::Unknown),
        (b"id:1\ndata: a\n\n:ping\n\n", Position::After(http::HeaderValue::from_static("1"))),
        (b"identity: 1\ndata: a\n\n", Position::Unknown),
    ];
    for (stream, expected) in positions {
        let mut events = EventBuffer::default();
        events.push(stream);
        assert_eq!(*events.position(), expected, "{}", String::from_utf8_lossy(stream));
    }
}

#[test]
fn a_byte_order_mark_is_passed_on_at_the_beginning_only() {
    let stream = b"\xef\xbb\xbfid: 1\ndata: a\n\n";
    for size in 1..stream.len() {
        let mut events = EventBuffer::default();
        assert_eq!(push_all(&mut events, stream.chunks(size)), stream, "chunks of {size}");
        assert_eq!(id(events.position()), Some(&b"1"[..]), "chunks of {size}");
        events.begin_stream();
        assert_eq!(push_all(&mut events, stream.chunks(size)), stream[3..], "chunks of {size}");
    }
}

proptest! {
    /// Before the fix a stream with CR as the line end restarted at its first event when it was resumed.
    #[test]
    fn any_stream_that_is_broken_off_anywhere_is_joined_with_each_event_once(
        line_ends in prop::collection::vec(0..3_usize, 24),
        cut_permille in 0..1_000_usize,
        sizes in prop::collection::vec(1..9_usize, 1..20),
    ) {
        let ends: Vec<_> = line_ends.into_iter().map(|index| LINE_ENDS[index]).collect();
        let event = |number: usize| {
            let [first, second, blank] = [0, 1, 2].map(|line| ends[number * 3 + line]);
            // A CR and an LF would be one end of a line.
            let blank = if second == "\r" && blank == "\n" { "\r" } else { blank };
            format!("id: {number}{first}data: x{second}{blank}")
        };
        let all: Vec<_> = (0..8).map(event).collect();
        let whole = all.concat();
        let mut events = EventBuffer::default();
        let unbroken = push_all(&mut EventBuffer::default(), whole.as_bytes().chunks(sizes[0]));
        prop_assert_eq!(&unbroken, whole.as_bytes());
        let mut joined = Vec::new();
        let mut push = |events: &mut EventBuffer, mut rest: &[u8]| {
            for size in sizes.iter().cycle() {
                if rest.is_empty() {
                    break;
                }
                let (chunk, others) = rest.split_at((*size).min(rest.len()));
                joined.extend(events.push(chunk).into_iter().flatten());
                rest = others;
            }
        };
        push(&mut events, &whole.as_bytes()[..whole.len() * cut_permille / 1_000]);
        events.begin_stream();
        let next = id(events.position()).map_or(0, |id| usize::from(id[0] - b'0') + 1);
        push(&mut events, all[next..].concat().as_bytes());
        // An LF after the CR of an event's end may be lost with the connection, and says nothing.
        let events_of = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace("\r\n", "\r");
        prop_assert_eq!(events_of(&joined).matches("id: ").count(), 8);
        prop_assert_eq!(
            events_of(&joined).replace(['\r', '\n'], ""),
            events_of(whole.as_bytes()).replace(['\r', '\n'], "")
        );
        prop_assert!(events.partial().is_empty());
    }
}
