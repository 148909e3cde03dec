//! Tests that a server's answer without end takes little memory and ends for its caller.

use std::cell;
use std::net;
use std::rc;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::request;
use super::run;
use super::send;
use super::start;

/// The bytes that a server sends at most; it counts as never ended then.
const MOST_BYTES: usize = 96 * 1_024 * 1_024;

/// The bytes of one answer that an instance may take. What is in the buffers of its sockets counts too.
const TAKEN_BYTES: usize = 48 * 1_024 * 1_024;

/// What a server sends: a start, and then a part again and again.
#[derive(Debug, Clone, Copy)]
struct Endless {
    start: &'static str,
    part: &'static str,
}

/// Starts a server that sends an answer without end to each connection, and returns the numbers of
/// bytes that were sent to each.
async fn endless_server(answer: Endless) -> (net::SocketAddr, rc::Rc<cell::RefCell<Vec<usize>>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let sent = rc::Rc::new(cell::RefCell::new(Vec::new()));
    let counts = rc::Rc::clone(&sent);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counts = rc::Rc::clone(&counts);
            tokio::task::spawn_local(async move {
                let mut request = [0; 4_096];
                // The request is shorter than that, and its content does not matter.
                let _ = stream.read(&mut request).await;
                let part = answer.part.repeat(16 * 1_024 / answer.part.len());
                let index = counts.borrow().len();
                counts.borrow_mut().push(0);
                if stream.write_all(answer.start.as_bytes()).await.is_err() {
                    return;
                }
                while counts.borrow()[index] < MOST_BYTES {
                    if stream.write_all(part.as_bytes()).await.is_err() {
                        return;
                    }
                    counts.borrow_mut()[index] += part.len();
                }
            });
        }
    });
    (address, sent)
}

const SIGNED: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\r\n";

const ANSWERS: [(&str, &str, Endless); 9] = [
    ("a head", "order", Endless { start: "HTTP/1.1 200 OK\r\n", part: "X-Field: endless\r\n" }),
    ("a field", "order", Endless { start: "HTTP/1.1 200 OK\r\nX: ", part: "x" }),
    ("no HTTP", "order", Endless { start: "", part: "\u{1}" }),
    ("interim heads", "order", Endless { start: "", part: "HTTP/1.1 100 Continue\r\n\r\n" }),
    ("a body", "order", Endless { start: SIGNED, part: "x" }),
    (
        "a chunked body",
        "order",
        Endless {
            start: "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
                    Transfer-Encoding: chunked\r\n\r\n",
            // The bound is one of bodies; the frames of short chunks would add as much again.
            part: "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n",
        },
    ),
    (
        "the body of a failure",
        "order",
        Endless {
            start: "HTTP/1.1 500 Error\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\r\n",
            part: "x",
        },
    ),
    ("the first event", "stream", Endless { start: SIGNED, part: "data: x" }),
    (
        "the second event",
        "stream",
        Endless {
            start: "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\r\n\
                    id: 1\ndata: a\n\n",
            part: "data: x",
        },
    ),
];

#[test]
fn an_answer_without_end_is_closed_and_never_complete() {
    for (name, route, answer) in ANSWERS {
        run(async {
            let (address, sent) = endless_server(answer).await;
            let (callers, _context) = start(&[address]).await;
            let got = send(callers, &request(route)).await;
            let whole = got.ends_with("\n0\n") || got.contains("content-length: ");
            let is_refused = got.starts_with("HTTP/1.1 502");
            assert!(is_refused || !whole, "{name}: {}", &got[..got.len().min(300)]);
            assert_eq!(sent.borrow().len(), 1, "{name}: it may have run");
            assert!(sent.borrow()[0] <= TAKEN_BYTES, "{name}: {} bytes taken", sent.borrow()[0]);
        });
    }
}

#[test]
fn a_stream_without_end_to_a_caller_of_http_1_0_is_closed_and_refused() {
    const EVENTS: Endless = Endless { start: SIGNED, part: "id: 1\ndata: x\n\n" };
    run(async {
        let (address, sent) = endless_server(EVENTS).await;
        let (callers, _context) = start(&[address]).await;
        let got = send(callers, &request("stream").replace("HTTP/1.1", "HTTP/1.0")).await;
        assert!(got.starts_with("HTTP/1.0 502"), "{}", &got[..got.len().min(300)]);
        assert!(sent.borrow()[0] <= TAKEN_BYTES, "{} bytes taken", sent.borrow()[0]);
    });
}

#[test]
fn an_idempotent_request_with_an_answer_without_end_is_repeated_elsewhere() {
    for index in [4, 6, 7] {
        run(async {
            let (name, route, answer) = ANSWERS[index];
            let route = if route == "stream" { "resume" } else { "query" };
            let (one, first) = endless_server(answer).await;
            let (other, second) = endless_server(answer).await;
            let (callers, _context) = start(&[one, other]).await;
            let got = send(callers, &request(route)).await;
            assert!(!got.ends_with("\n0\n"), "{name}: {}", &got[..got.len().min(300)]);
            let tried = first.borrow().len() + second.borrow().len();
            assert!(tried <= 2, "{name}: {tried} attempts");
        });
    }
}

#[test]
fn a_server_whose_answer_has_no_end_gets_no_requests_for_a_while() {
    run(async {
        let (address, sent) = endless_server(ANSWERS[4].2).await;
        let (callers, _context) = start(&[address]).await;
        send(callers, &request("order")).await;
        let got = send(callers, &request("order")).await;
        assert!(got.starts_with("HTTP/1.1 503"), "{}", &got[..got.len().min(300)]);
        assert_eq!(sent.borrow().len(), 1);
    });
}

/// A body of 12 MiB with and without a stated length.
fn large_answer(is_framed: bool) -> Vec<u8> {
    let body: Vec<u8> =
        (0..12 * 1_024 * 1_024_u32).map(|index| b'a' + (index % 23) as u8).collect();
    let length =
        if is_framed { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n{length}\r\n");
    [head.into_bytes(), body].concat()
}

#[test]
fn a_large_answer_passes_whole() {
    for is_framed in [true, false] {
        run(async {
            let answer: &'static [u8] = large_answer(is_framed).leak();
            let responses = rc::Rc::new(cell::RefCell::new([answer].into_iter().collect()));
            let address = super::server(responses, super::ReceivedRequests::default()).await;
            let (callers, _context) = start(&[address]).await;
            let got = send(callers, &request("order")).await;
            assert!(got.starts_with("HTTP/1.1 200"), "{}", &got[..got.len().min(300)]);
            let body = got.split_once("\n\n").map_or("", |(_, body)| body);
            let letters = body.bytes().filter(u8::is_ascii_lowercase).count();
            assert!(letters >= 12 * 1_024 * 1_024, "framed {is_framed}: {letters} letters");
        });
    }
}
