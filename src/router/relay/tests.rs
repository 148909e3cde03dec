//! Tests of the cutting of streams.

use super::Events;

#[test]
fn events_are_passed_on_whole_however_their_bytes_arrive() {
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for size in 1..stream.len() {
        let mut events = Events::default();
        let mut passed = Vec::new();
        for bytes in stream.chunks(size) {
            passed.extend(events.push(bytes).into_iter().flatten());
        }
        assert_eq!(passed, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "pieces of {size}");
        assert_eq!(events.last_id(), Some("2"), "pieces of {size}");
    }
}

#[test]
fn a_stream_goes_on_after_the_last_whole_event() {
    let mut events = Events::default();
    events.push(b"id: 7\ndata: a\n\nid: 8\ndata: b");
    events.drop_rest();
    assert_eq!(events.last_id(), Some("7"));
    assert_eq!(events.push(b"id: 8\ndata: b\n\n").as_deref(), Some(&b"id: 8\ndata: b\n\n"[..]));
    assert_eq!(events.last_id(), Some("8"));
}
