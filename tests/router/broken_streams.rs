//! Tests that an answer that was broken off never reaches its caller as complete.

use std::cell;
use std::rc;

use super::COMPLETE_RESPONSE;
use super::ReceivedRequests;
use super::request;
use super::run;
use super::run_request;
use super::send;
use super::server;
use super::start;

/// Streams that end inside their second event.
const BROKEN_OFF: [(&str, &[u8]); 3] = [
    (
        "unframed",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
          Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndat",
    ),
    (
        "with a length",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 25\r\n\
          Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n",
    ),
    (
        "with a last chunk",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\
          Content-Type: text/event-stream\r\n\r\n19\r\nid: 1\ndata: a\n\nid: 2\ndat\r\n0\r\n\r\n",
    ),
];

const UNFRAMED_WITHOUT_EVENT: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
    Content-Type: text/event-stream\r\n\r\n";

const UNFRAMED_REMAINDER: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: t\r\n\
    Content-Type: text/event-stream\r\n\r\nid: 2\ndata: b\n\n";

fn is_framed_as_complete(response: &str) -> bool {
    response.ends_with("\n0\n") || response.contains("content-length")
}

#[test]
fn a_stream_broken_off_inside_an_event_does_not_end_as_complete() {
    for (framing, response) in BROKEN_OFF {
        run(async {
            let (got, arrivals) = run_request("stream", &[response, COMPLETE_RESPONSE]).await;
            assert!(got.starts_with("HTTP/1.1 200"), "{framing}: {got}");
            assert!(got.contains("id: 1"), "{framing}: the whole event before: {got}");
            assert!(!is_framed_as_complete(&got), "{framing}: {got}");
            assert!(!got.contains("id: 2"), "{framing}: an incomplete event: {got}");
            assert_eq!(arrivals.len(), 1, "{framing}");
        });
    }
}

#[test]
fn a_resumable_stream_broken_off_inside_an_event_is_resumed_after_the_event_before() {
    for (framing, response) in BROKEN_OFF {
        run(async {
            let (got, requests) = run_request("resume", &[response, UNFRAMED_REMAINDER]).await;
            assert_eq!(requests.len(), 2, "{framing}");
            assert!(requests[1].contains("last-event-id: 1"), "{framing}: {}", requests[1]);
            assert_eq!(got.matches("id: 2").count(), 1, "{framing}: {got}");
            assert!(is_framed_as_complete(&got), "{framing}: {got}");
        });
    }
}

#[test]
fn an_unframed_stream_without_an_event_is_not_a_complete_answer() {
    run(async {
        let (got, arrivals) =
            run_request("stream", &[UNFRAMED_WITHOUT_EVENT, COMPLETE_RESPONSE]).await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
        assert_eq!(arrivals.len(), 1);
    });
    run(async {
        let (got, arrivals) =
            run_request("resume", &[UNFRAMED_WITHOUT_EVENT, UNFRAMED_REMAINDER]).await;
        assert!(got.contains("id: 2") && is_framed_as_complete(&got), "{got}");
        assert_eq!(arrivals.len(), 2);
    });
}

#[test]
fn a_whole_unframed_stream_ends_as_complete() {
    run(async {
        let (got, _) = run_request("stream", &[UNFRAMED_REMAINDER]).await;
        assert!(got.contains("id: 2") && is_framed_as_complete(&got), "{got}");
    });
}

#[test]
fn a_whole_unframed_answer_is_relayed() {
    const UNFRAMED_ANSWER: &[u8] =
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\r\ngood";
    run(async {
        let (got, _) = run_request("order", &[UNFRAMED_ANSWER]).await;
        assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("good"), "{got}");
    });
}

#[test]
fn an_answer_of_another_type_on_the_route_of_a_stream_is_relayed_only_if_its_end_is_marked() {
    const MARKED: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
        Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    const UNMARKED: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
        Content-Type: application/json\r\n\r\n{}";
    run(async {
        let (got, _) = run_request("stream", &[MARKED]).await;
        assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("{}"), "{got}");
    });
    run(async {
        let (got, _) = run_request("stream", &[UNMARKED]).await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
    });
}

#[test]
fn a_stream_to_a_caller_of_http_1_0_is_delivered_whole_or_not_at_all() {
    for (response, status) in [(BROKEN_OFF[0].1, "502"), (UNFRAMED_REMAINDER, "200")] {
        run(async {
            let responses = rc::Rc::new(cell::RefCell::new([response].into_iter().collect()));
            let address = server(responses, ReceivedRequests::default()).await;
            let (callers, _context) = start(&[address]).await;
            let got = send(callers, &request("stream").replace("HTTP/1.1", "HTTP/1.0")).await;
            assert!(got.starts_with(&format!("HTTP/1.0 {status}")), "{got}");
            assert!(got.contains("content-length: "), "{got}");
        });
    }
}

/// Before the fix the second server restarted the stream, and its caller got the first event twice.
#[test]
fn a_stream_whose_lines_end_with_cr_is_resumed_after_its_last_event() {
    const BROKEN_OFF: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
        Content-Type: text/event-stream\r\n\r\nid: 1\rdata: a\r\rid: 2\rdat";
    const REMAINDER: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: t\r\n\
        Content-Type: text/event-stream\r\n\r\nid: 2\rdata: b\r\r";
    run(async {
        let (got, requests) = run_request("resume", &[BROKEN_OFF, REMAINDER]).await;
        assert_eq!(requests.len(), 2);
        assert!(requests[1].contains("last-event-id: 1"), "{}", requests[1]);
        assert!(got.contains("id: 1\rdata: a\r\r") && got.contains("id: 2\rdata: b\r\r"), "{got}");
        assert!(is_framed_as_complete(&got), "{got}");
    });
}

/// Before the fix the second server restarted the stream behind the events before.
#[test]
fn a_stream_is_not_resumed_after_an_event_that_no_header_can_name() {
    for event in ["data: a\n\n", "id: \u{1}\ndata: a\n\n"] {
        let response = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
             Content-Type: text/event-stream\r\n\r\n{event}id: 2\ndat"
        );
        let response: &'static [u8] = response.into_bytes().leak();
        run(async move {
            let (got, arrivals) = run_request("resume", &[response, UNFRAMED_REMAINDER]).await;
            assert!(got.contains("data: a") && !got.contains("data: b"), "{got}");
            assert!(!is_framed_as_complete(&got), "{got}");
            assert_eq!(arrivals.len(), 1);
        });
    }
}
