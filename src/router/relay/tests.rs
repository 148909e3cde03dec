//! Tests that streams are split at event boundaries.

use super::EventBuffer;

#[test]
fn events_are_emitted_whole_for_any_chunk_size() {
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for size in 1..stream.len() {
        let mut events = EventBuffer::default();
        let mut emitted = Vec::new();
        for bytes in stream.chunks(size) {
            emitted.extend(events.push(bytes).into_iter().flatten());
        }
        assert_eq!(emitted, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "chunks of {size}");
        assert_eq!(events.last_id(), Some("2"), "chunks of {size}");
    }
}

#[test]
fn a_stream_resumes_after_the_last_complete_event() {
    let mut events = EventBuffer::default();
    events.push(b"id: 7\ndata: a\n\nid: 8\ndata: b");
    events.discard_partial();
    assert_eq!(events.last_id(), Some("7"));
    assert_eq!(events.push(b"id: 8\ndata: b\n\n").as_deref(), Some(&b"id: 8\ndata: b\n\n"[..]));
    assert_eq!(events.last_id(), Some("8"));
}
