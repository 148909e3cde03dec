//! Tests of two exchanges for one request: the first whole answer wins, and nothing of the other one
//! reaches the caller.

use std::cell;
use std::net;
use std::rc;
use std::time::Duration;

use galenayard::router::context;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync;

use super::COMPLETE_RESPONSE;
use super::request;
use super::run;
use super::send_owned;
use super::start_with;

/// The share of requests that may be hedged, the largest one that the budget of retries allows.
const SHARE: f64 = 0.1;

/// The requests that are answered at once before each test: they are enough times for a quantile, and
/// earn two hedges.
const WARM_UP: usize = 21;

/// The wait for a request at a server after which a test ends as failed instead of never.
const HANG_GUARD: Duration = Duration::from_secs(20);

const SECOND_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: t\r\nContent-Length: 6\r\n\r\nsecond";

const FAILED_RESPONSE: &[u8] =
    b"HTTP/1.1 500 Error\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nbad";

const INVALID_RESPONSE: &[u8] =
    b"HTTP/1.1 000 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nbad";

const STREAM_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// A request at a server, which answers when it is told to.
struct Held {
    stream: tokio::net::TcpStream,
}

impl Held {
    async fn answer(mut self, response: &[u8]) {
        // The router may have closed the connection.
        let _ = self.stream.write_all(response).await;
        let _ = self.stream.shutdown().await;
    }

    /// Waits until the router closes the connection.
    async fn wait_for_close(&mut self) {
        let mut bytes = [0; 16];
        while self.stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
    }
}

/// Two servers that answer at once until they are told to hold their requests.
struct Servers {
    holds: rc::Rc<cell::Cell<bool>>,
    held: sync::mpsc::UnboundedReceiver<Held>,
    context: rc::Rc<context::Context>,
    callers: net::SocketAddr,
}

impl Servers {
    /// Starts them and an instance that knows how long requests of this route take.
    async fn start(route: &str, response: &'static [u8]) -> Self {
        let (sender, held) = sync::mpsc::unbounded_channel();
        let holds = rc::Rc::new(cell::Cell::new(false));
        let mut addresses = Vec::new();
        for _ in 0..2 {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            addresses.push(listener.local_addr().expect("an address"));
            let (sender, holds) = (sender.clone(), rc::Rc::clone(&holds));
            tokio::task::spawn_local(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    let mut request = [0; 4_096];
                    // The request is shorter than that; a mere check of the port sends nothing.
                    if !stream.read(&mut request).await.is_ok_and(|length| length > 0) {
                        continue;
                    }
                    let held = Held { stream };
                    if holds.get() {
                        sender.send(held).unwrap_or_else(|_| panic!("the test still runs"));
                    } else {
                        held.answer(response).await;
                    }
                }
            });
        }
        let (callers, context) = start_with(&addresses, SHARE).await;
        for _ in 0..WARM_UP {
            let got = send_owned(callers, request(route)).await;
            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        }
        // No hedge is sent in the first second.
        while context.now() < Duration::from_secs(1) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        holds.set(true);
        Self { holds, held, context, callers }
    }

    async fn next(&mut self) -> Held {
        let next = tokio::time::timeout(HANG_GUARD, self.held.recv()).await;
        next.expect("a request reaches a server").expect("the servers run")
    }

    /// Waits until a request is at both servers at the same time.
    async fn next_two(&mut self) -> (Held, Held) {
        let mut first = self.next().await;
        let second = self.next().await;
        // A retry closes the first connection before it opens the second one.
        let mut byte = [0];
        let read = tokio::time::timeout(Duration::from_millis(20), first.stream.read(&mut byte));
        assert!(read.await.is_err(), "the first connection is open");
        (first, second)
    }

    fn send(&self, route: &str) -> tokio::task::JoinHandle<String> {
        tokio::task::spawn_local(send_owned(self.callers, request(route)))
    }

    /// Waits until no request is in progress.
    async fn wait_for_end(&self) {
        while self.context.read(|fleet| fleet.request_count()) > 0 {
            tokio::task::yield_now().await;
        }
    }
}

/// Guards against an answer of the slower server, and a connection to it that stays open.
#[test]
fn the_first_whole_answer_wins_and_the_other_connection_is_closed() {
    for is_second_faster in [false, true] {
        run(async {
            let mut servers = Servers::start("query", COMPLETE_RESPONSE).await;
            let caller = servers.send("query");
            let (first, second) = servers.next_two().await;
            let (winner, mut loser) =
                if is_second_faster { (second, first) } else { (first, second) };
            winner.answer(SECOND_RESPONSE).await;
            loser.wait_for_close().await;
            // A late answer finds a closed connection.
            loser.answer(COMPLETE_RESPONSE).await;
            let got = caller.await.expect("the caller is answered");
            assert!(got.ends_with("second"), "{got}");
            servers.wait_for_end().await;
            servers.holds.set(false);
            let next = servers.send("query").await.expect("the caller is answered");
            assert!(next.ends_with("good"), "no answer of another request: {next}");
        });
    }
}

/// Guards against a failure that reaches the caller while the other server may still answer.
#[test]
fn a_failure_of_one_server_leaves_the_other_one_running() {
    let failures = [FAILED_RESPONSE, INVALID_RESPONSE, b""];
    for (is_second_failed, failure) in failures.into_iter().flat_map(|it| [(false, it), (true, it)])
    {
        run(async {
            let mut servers = Servers::start("query", COMPLETE_RESPONSE).await;
            let caller = servers.send("query");
            let (first, second) = servers.next_two().await;
            let (failed, other) = if is_second_failed { (second, first) } else { (first, second) };
            failed.answer(failure).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            assert!(!caller.is_finished(), "the failure is not delivered");
            other.answer(SECOND_RESPONSE).await;
            let got = caller.await.expect("the caller is answered");
            assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("second"), "{got}");
            servers.wait_for_end().await;
        });
    }
}

/// Guards against a third send, and against a caller without an answer.
#[test]
fn the_last_failure_is_delivered_if_both_servers_fail() {
    run(async {
        let mut servers = Servers::start("query", COMPLETE_RESPONSE).await;
        let caller = servers.send("query");
        let (first, second) = servers.next_two().await;
        first.answer(b"").await;
        second.answer(FAILED_RESPONSE).await;
        let got = caller.await.expect("the caller is answered");
        assert!(got.starts_with("HTTP/1.1 500") && got.ends_with("bad"), "{got}");
        servers.wait_for_end().await;
        assert!(servers.held.try_recv().is_err(), "no third send");
    });
}

/// Guards against work for a caller that is gone.
#[test]
fn a_caller_that_disconnects_closes_both_connections() {
    run(async {
        let mut servers = Servers::start("query", COMPLETE_RESPONSE).await;
        let mut caller =
            tokio::net::TcpStream::connect(servers.callers).await.expect("the instance listens");
        caller.write_all(request("query").as_bytes()).await.expect("the request leaves");
        let (mut first, mut second) = servers.next_two().await;
        drop(caller);
        first.wait_for_close().await;
        second.wait_for_close().await;
        servers.wait_for_end().await;
    });
}

/// Guards against a second send of a request that may run once.
#[test]
fn a_request_that_may_run_once_is_sent_once() {
    run(async {
        let mut servers = Servers::start("order", COMPLETE_RESPONSE).await;
        let caller = servers.send("order");
        let first = servers.next().await;
        // Far longer than the requests before took.
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(servers.held.try_recv().is_err(), "no second send");
        first.answer(COMPLETE_RESPONSE).await;
        let got = caller.await.expect("the caller is answered");
        assert!(got.ends_with("good"), "{got}");
    });
}

/// Guards against events of both servers in one stream.
#[test]
fn the_first_event_of_a_resumable_stream_decides_which_server_goes_on() {
    run(async {
        let mut servers = Servers::start("resume", STREAM_RESPONSE).await;
        let caller = servers.send("resume");
        let (mut first, second) = servers.next_two().await;
        second.answer(STREAM_RESPONSE).await;
        first.wait_for_close().await;
        first.answer(STREAM_RESPONSE).await;
        let got = caller.await.expect("the caller is answered");
        assert_eq!(got.matches("id: 1").count(), 1, "{got}");
        assert!(got.ends_with("\n0\n"), "the stream is whole: {got}");
        servers.wait_for_end().await;
    });
}
