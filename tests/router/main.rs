//! Tests of what callers receive over sockets for given responses of servers.

use std::cell;
use std::collections::VecDeque;
use std::net;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use bytes::Bytes;
use galenayard::core::fleet;
use galenayard::core::fleet::budget;
use galenayard::core::fleet::catalog;
use galenayard::core::fleet::peers;
use galenayard::core::fleet::servers;
use galenayard::platform::headers;
use galenayard::router;
use galenayard::router::context;
use galenayard::router::meters;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

mod broken_streams;
mod credentials;
mod departures;
mod endless_answers;
mod hedging;
mod invalid_answers;
mod shutdown;

const KEY: &str = "the-key";

/// The number of requests that a server runs at a time.
const SLOTS: u32 = 4;

/// The beginning of a stream.
const FIRST_EVENT: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\n";

struct NoMetrics;

impl meters::Exposition for NoMetrics {
    fn render(&self) -> String {
        String::new()
    }
}

/// Responses of the servers, in the order in which requests arrive at any of them.
type Responses = rc::Rc<cell::RefCell<VecDeque<&'static [u8]>>>;

/// The heads of the requests that servers have received.
type ReceivedRequests = rc::Rc<cell::RefCell<Vec<String>>>;

/// Starts a server that writes the next response to each connection and closes it.
async fn server(responses: Responses, received: ReceivedRequests) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = Vec::new();
            let mut bytes = [0; 4_096];
            while !request.windows(4).any(|end| end == b"\r\n\r\n") {
                match stream.read(&mut bytes).await {
                    Ok(length) if length > 0 => request.extend_from_slice(&bytes[..length]),
                    _ => break,
                }
            }
            if request.is_empty() {
                // The router only checks whether a process listens here.
                continue;
            }
            received.borrow_mut().push(String::from_utf8_lossy(&request).into_owned());
            let response = responses.borrow_mut().pop_front().unwrap_or_default();
            // Writing fails if the router has closed the connection.
            let _ = stream.write_all(response).await;
            let _ = stream.shutdown().await;
        }
    });
    address
}

fn route(name: &str, is_stream: bool, repeat: catalog::Repeat) -> sync::Arc<catalog::Route> {
    sync::Arc::new(catalog::Route {
        name: name.to_string(),
        host: "host".to_string(),
        path_prefix: format!("/{name}/"),
        is_stream,
        repeat,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        first_event_timeout: Duration::from_secs(5),
        priority: 1,
        services: vec![("service".into(), 1)],
        attempts: 2,
        is_open: false,
    })
}

fn open_route(name: &str, is_stream: bool) -> sync::Arc<catalog::Route> {
    let mut route = route(name, is_stream, catalog::Repeat::Idempotent);
    sync::Arc::make_mut(&mut route).is_open = true;
    route
}

fn content() -> catalog::Content {
    catalog::Content {
        version: 1,
        routes: vec![
            route("order", false, catalog::Repeat::Once),
            route("query", false, catalog::Repeat::Idempotent),
            route("stream", true, catalog::Repeat::Once),
            route("resume", true, catalog::Repeat::Idempotent),
            open_route("open-query", false),
            open_route("open-resume", true),
        ],
        services: vec![catalog::Service {
            name: "service".into(),
            engine: None,
            cold_bound: Some(catalog::ColdBound::default()),
        }],
        workspaces: Some(vec![sync::Arc::new(catalog::Workspace {
            name: "pearl".into(),
            keys: vec![catalog::key_digest(&Bytes::from(KEY))],
            priority: None,
            limit: None,
        })]),
        caller_limits: catalog::CallerLimits {
            header_bytes: 16_384,
            body_bytes: 100,
            idle: Duration::from_secs(5),
        },
    }
}

fn entry(index: usize, address: net::SocketAddr) -> servers::EntryChange {
    servers::EntryChange::Put(servers::Entry {
        id: Bytes::from(format!("server-{index}")),
        service: "service".into(),
        address,
        domain: "a".to_string(),
        slots: SLOTS,
        is_draining: false,
        stage: None,
        cold_ms: 0,
        lacks_cold_time: false,
        born_ms: 1,
        software_version: Some("v1".into()),
        offset: 1,
    })
}

/// Returns a loopback address that no other instance uses in any test.
fn own_ip() -> net::Ipv4Addr {
    static NEXT: atomic::AtomicU8 = atomic::AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    net::Ipv4Addr::new(127, high | 0x80, low, NEXT.fetch_add(1, atomic::Ordering::Relaxed))
}

async fn start(addresses: &[net::SocketAddr]) -> (net::SocketAddr, rc::Rc<context::Context>) {
    start_with(addresses, 0.0).await
}

/// Starts an instance that may hedge a share of requests.
async fn start_with(
    addresses: &[net::SocketAddr],
    hedge_share: f64,
) -> (net::SocketAddr, rc::Rc<context::Context>) {
    let ip = own_ip();
    let callers = net::SocketAddr::from((ip, 8_360));
    let peer_address = net::SocketAddr::from((ip, 7_500));
    let own = peers::Member {
        name: "instance".to_string(),
        incarnation: 1,
        peer_address,
        caller_address: callers,
        is_ready: false,
        capacity_cores: 1.0,
        started_unix_ms: 0,
    };
    let options = router::Options {
        fleet: fleet::Options {
            seeds: Vec::new(),
            own,
            domain: "a".to_string(),
            is_first_start: true,
            quota_window: Duration::from_secs(8),
            retries: budget::RetryBounds {
                ratio: 0.2,
                slack: 50.0,
                window: Duration::from_secs(10),
            },
            hedge_share,
            seed: 1,
        },
        callers,
        discovery: Vec::new(),
        peers: peer_address,
        metrics: None,
        memory_bytes: 128 * 1_024 * 1_024,
        grace: Duration::from_secs(1),
    };
    let dialect = rc::Rc::new(headers::PlatformDialect);
    let context =
        router::serve(options, dialect, rc::Rc::new(NoMetrics)).await.expect("the sockets bind");
    if !addresses.is_empty() {
        configure(&context, addresses);
    }
    (callers, context)
}

fn configure(context: &context::Context, addresses: &[net::SocketAddr]) {
    let catalog = sync::Arc::new(catalog::Catalog::new(content()));
    context.apply(fleet::Event::Configured(catalog));
    let changes = addresses.iter().enumerate().map(|(index, at)| entry(index, *at)).collect();
    context.apply(fleet::Event::ServersChanged {
        changes,
        complete: None,
        source: servers::Source::Steady,
        sender_position: None,
    });
}

async fn send(to: net::SocketAddr, request: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(to).await.expect("the instance listens");
    stream.write_all(request.as_bytes()).await.expect("the request leaves");
    let mut response = Vec::new();
    // An incomplete response may end with a connection reset.
    let _ = stream.read_to_end(&mut response).await;
    let text = String::from_utf8_lossy(&response).into_owned();
    text.lines().filter(|line| !line.starts_with("date:")).collect::<Vec<_>>().join("\n")
}

async fn send_owned(to: net::SocketAddr, request: String) -> String {
    send(to, &request).await
}

fn request(route: &str) -> String {
    format!(
        "POST /{route}/x?y=1 HTTP/1.1\r\nHost: host\r\nAttempt-Id: a1\r\nDeadline-Ms: 3000\r\n\
         Authorization: Bearer {KEY}\r\nTenant: forged\r\nKv-Hold: forged\r\nX-Own: kept\r\n\
         Connection: close\r\nContent-Length: 2\r\n\r\nhi"
    )
}

fn run<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Sends one request to an instance with two servers that give these responses one after another;
/// returns the caller's response and the requests that reached a server.
async fn run_request(route: &str, responses: &[&'static [u8]]) -> (String, Vec<String>) {
    run_request_with(&request(route), responses).await
}

async fn run_request_with(request: &str, responses: &[&'static [u8]]) -> (String, Vec<String>) {
    let responses = rc::Rc::new(cell::RefCell::new(responses.iter().copied().collect()));
    let received = ReceivedRequests::default();
    let one = server(rc::Rc::clone(&responses), rc::Rc::clone(&received)).await;
    let other = server(responses, rc::Rc::clone(&received)).await;
    let (callers, _context) = start(&[one, other]).await;
    let response = send(callers, request).await;
    let requests = received.borrow().clone();
    (response, requests)
}

const COMPLETE_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\ngood";

#[test]
fn a_servers_response_is_relayed_and_reserved_headers_are_removed() {
    run(async {
        let (got, requests) = run_request("order", &[COMPLETE_RESPONSE]).await;
        insta::assert_snapshot!("whole_answer", got);
        let request = requests[0].replace("server-1", "server-0");
        // The remaining time until the deadline depends on the machine's speed.
        let lines = request.lines().filter(|line| !line.starts_with("deadline-ms"));
        insta::assert_snapshot!("cleaned_request", lines.collect::<Vec<_>>().join("\n"));
    });
}

#[test]
fn invalid_responses_to_an_order_become_an_unknown_outcome_without_a_retry() {
    let faulty: [(&str, &'static [u8]); 7] = [
        ("truncated head", b"HTTP/1.1 200 O"),
        ("no response", b""),
        ("not HTTP", b"\x00\x01garbage\r\n\r\n"),
        (
            "truncated body",
            b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\ncut",
        ),
        (
            "another request's response",
            b"HTTP/1.1 200 OK\r\nAttempt-Id: zz\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nelse",
        ),
        (
            "no signature",
            b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 4\r\n\r\nfake",
        ),
        (
            "a status that implies no execution, without the server's statement",
            b"HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
        ),
    ];
    for (name, response) in faulty {
        run(async {
            let (got, arrivals) = run_request("order", &[response, COMPLETE_RESPONSE]).await;
            assert!(got.starts_with("HTTP/1.1 502"), "{name}: {got}");
            assert!(!got.contains("server-stamp"), "{name}: {got}");
            assert_eq!(arrivals.len(), 1, "{name}");
        });
    }
}

#[test]
fn an_idempotent_request_is_retried_once_at_another_server() {
    run(async {
        let (got, arrivals) = run_request("query", &[b"", b"", COMPLETE_RESPONSE]).await;
        assert!(got.starts_with("HTTP/1.1 502"), "both servers closed the connection: {got}");
        assert_eq!(arrivals.len(), 2);
    });
    run(async {
        let failed: &[u8] =
            b"HTTP/1.1 500 Error\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nbad";
        let (got, arrivals) = run_request("query", &[failed, failed, COMPLETE_RESPONSE]).await;
        assert!(got.starts_with("HTTP/1.1 500"), "the server's own failure: {got}");
        assert!(got.contains("server-stamp: s") && got.ends_with("bad"), "{got}");
        assert_eq!(arrivals.len(), 2);
    });
}

#[test]
fn a_rejected_order_is_retried_at_another_server() {
    let rejected: &[u8] = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let misdirected: &[u8] =
        b"HTTP/1.1 421 Other\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n";
    for response in [rejected, misdirected] {
        run(async {
            let (got, arrivals) = run_request("order", &[response, response]).await;
            assert!(got.starts_with("HTTP/1.1 503"), "{got}");
            assert!(got.contains("retry-after: "), "{got}");
            assert_eq!(arrivals.len(), 2);
        });
    }
}

#[test]
fn a_rejection_of_another_request_does_not_promise_that_this_one_has_not_run() {
    let rejected: &[u8] = b"HTTP/1.1 503 Full\r\nAttempt-Id: zz\r\nNot-Executed: 1\r\n\
        Content-Length: 0\r\n\r\n";
    let misdirected: &[u8] = b"HTTP/1.1 421 Other\r\nAttempt-Id: zz\r\nContent-Length: 0\r\n\r\n";
    for response in [rejected, misdirected] {
        run(async {
            let (got, arrivals) = run_request("order", &[response, COMPLETE_RESPONSE]).await;
            assert!(got.starts_with("HTTP/1.1 502"), "{got}");
            assert_eq!(arrivals.len(), 1);
        });
    }
}

const INTERRUPTED_STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
    19\r\nid: 1\ndata: a\n\nid: 2\ndat\r\n";

#[test]
fn an_interrupted_stream_does_not_end_as_complete() {
    run(async {
        let (got, arrivals) =
            run_request("stream", &[INTERRUPTED_STREAM, INTERRUPTED_STREAM]).await;
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        assert!(got.contains("id: 1"), "{got}");
        assert!(!got.ends_with("\n0\n"), "no last chunk: {got}");
        assert!(!got.contains("id: 2"), "an incomplete event: {got}");
        assert_eq!(arrivals.len(), 1);
    });
}

#[test]
fn a_resumable_stream_is_resumed_at_another_server_after_its_last_complete_event() {
    const RESUMED_STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: t\r\n\
        Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
        f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
    run(async {
        let (got, requests) = run_request("resume", &[INTERRUPTED_STREAM, RESUMED_STREAM]).await;
        assert_eq!(requests.len(), 2);
        assert!(!requests[0].contains("last-event-id"), "{}", requests[0]);
        assert!(requests[1].contains("last-event-id: 1"), "{}", requests[1]);
        assert!(got.contains("id: 1") && got.contains("id: 2"), "{got}");
        assert!(!got.contains("id: 2\ndat\n"), "an incomplete event: {got}");
        assert!(got.contains("server-stamp: s"), "the first server's signature: {got}");
        assert!(got.ends_with("\n0\n"), "the stream is whole: {got}");
    });
}

#[test]
fn a_request_at_the_start_waits_for_the_configuration() {
    run(async {
        let response: &[u8] =
            b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
        let responses = rc::Rc::new(cell::RefCell::new([response].into_iter().collect()));
        let address = server(responses, ReceivedRequests::default()).await;
        let (callers, context) = start(&[]).await;
        let sending = tokio::task::spawn_local(send_owned(callers, request("order")));
        // Enough turns of the event loop for an instance that accepts at once to refuse.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        configure(&context, &[address]);
        let got = sending.await.expect("the request is sent");
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
    });
}

#[test]
fn requests_that_cannot_be_served_are_refused() {
    run(async {
        let (callers, _context) = start(&[]).await;
        let got = send(callers, &request("order")).await;
        assert!(got.starts_with("HTTP/1.1 503"), "without a configuration: {got}");
    });
    run(async {
        let received = ReceivedRequests::default();
        let address = server(Responses::default(), rc::Rc::clone(&received)).await;
        let (callers, _context) = start(&[address]).await;
        let unknown = request("order").replace(KEY, "another");
        assert!(send(callers, &unknown).await.starts_with("HTTP/1.1 401"));
        let elsewhere = request("nowhere");
        assert!(send(callers, &elsewhere).await.starts_with("HTTP/1.1 404"));
        let long = request("order").replace("Content-Length: 2", "Content-Length: 200");
        let long = format!("{long}{}", "x".repeat(198));
        assert!(send(callers, &long).await.starts_with("HTTP/1.1 413"));
        assert!(received.borrow().is_empty());
    });
}
