//! Tests that nothing is left of a request once its caller has disconnected.

use std::cell;
use std::net;
use std::rc;
use std::time::Duration;

use galenayard::core::fleet::view;
use galenayard::router::context;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::watch;

use super::FIRST_EVENT;
use super::request;
use super::run;
use super::start;

/// Far longer than the deadline of a request: what is left then is left for good.
const PATIENCE: Duration = Duration::from_secs(10);

/// A server that begins each stream with the same bytes and breaks it off on demand.
pub struct StreamingServer {
    pub address: net::SocketAddr,
    /// The number of requests that it has received.
    arrivals: rc::Rc<cell::Cell<u32>>,
    is_cut: watch::Sender<bool>,
}

impl StreamingServer {
    pub async fn start(begin: &'static [u8]) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("an address");
        let (arrivals, is_cut) = (rc::Rc::new(cell::Cell::new(0)), watch::Sender::new(false));
        let (counter, cut) = (rc::Rc::clone(&arrivals), is_cut.subscribe());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (counter, cut) = (rc::Rc::clone(&counter), cut.clone());
                tokio::task::spawn_local(serve(stream, begin, counter, cut));
            }
        });
        Self { address, arrivals, is_cut }
    }
}

async fn serve(
    mut stream: tokio::net::TcpStream,
    begin: &'static [u8],
    arrivals: rc::Rc<cell::Cell<u32>>,
    mut cut: watch::Receiver<bool>,
) {
    let mut request = [0; 4_096];
    if !matches!(stream.read(&mut request).await, Ok(1..)) {
        // The router only checks whether a process listens here.
        return;
    }
    arrivals.set(arrivals.get() + 1);
    // The router may have closed the connection.
    let _ = stream.write_all(begin).await;
    let closed = async { while matches!(stream.read(&mut request).await, Ok(1..)) {} };
    tokio::select! {
        () = closed => {}
        _ = cut.wait_for(|is_cut| *is_cut) => {}
    }
}

/// Sends a request for a resumable stream and reads its first event.
async fn open_stream(callers: net::SocketAddr) -> tokio::net::TcpStream {
    let mut caller = tokio::net::TcpStream::connect(callers).await.expect("it listens");
    caller.write_all(request("resume").as_bytes()).await.expect("the request leaves");
    let mut response = Vec::new();
    while !response.windows(4).any(|bytes| bytes == b"id: ") {
        let read = caller.read_buf(&mut response).await.expect("the response goes on");
        assert!(read > 0, "{}", String::from_utf8_lossy(&response));
    }
    caller
}

async fn wait_until<C: FnMut() -> bool>(mut condition: C) -> bool {
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, reached).await.is_ok()
}

async fn assert_nothing_is_left(context: &context::Context) {
    let in_progress = || context.read(|fleet| fleet.in_progress());
    let has_ended = wait_until(|| in_progress() == view::InProgress::default()).await;
    assert!(has_ended, "{:?}", in_progress());
}

/// Before the fix the reservation stayed at the second server until the process ended.
#[test]
fn a_caller_that_leaves_while_its_stream_is_sent_to_another_server_frees_its_reservation() {
    run(async {
        let first = StreamingServer::start(FIRST_EVENT).await;
        let silent = StreamingServer::start(b"").await;
        let (callers, context) = start(&[first.address]).await;
        let caller = open_stream(callers).await;
        super::configure(&context, &[first.address, silent.address]);
        first.is_cut.send_replace(true);
        assert!(wait_until(|| silent.arrivals.get() == 1).await, "the stream is resumed");
        drop(caller);
        assert_nothing_is_left(&context).await;
    });
}

/// Before the fix the request was placed as soon as a server had room, though its caller had left.
#[test]
fn a_caller_that_leaves_while_its_stream_waits_for_another_server_leaves_the_queue() {
    run(async {
        let first = StreamingServer::start(FIRST_EVENT).await;
        let full = StreamingServer::start(FIRST_EVENT).await;
        let (callers, context) = start(&[first.address]).await;
        let caller = open_stream(callers).await;
        super::configure(&context, &[first.address, full.address]);
        let mut others = Vec::new();
        while full.arrivals.get() < super::SLOTS {
            others.push(open_stream(callers).await);
        }
        first.is_cut.send_replace(true);
        let has_queue = || context.read(|fleet| fleet.in_progress()).waiting > 0;
        assert!(wait_until(has_queue).await, "the stream waits for a place");
        drop(caller);
        drop(others);
        assert_nothing_is_left(&context).await;
    });
}
