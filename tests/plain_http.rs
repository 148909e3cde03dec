//! What reaches a plain service from the bytes that a caller sends, and what comes back.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use galenayard::borders::engines::openai;
use galenayard::borders::services::Services as _;
use galenayard::borders::{callers, http, services};
use galenayard::core::request;
use galenayard::settings;
use galenayard::shell::{explain, handle};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use standins::answers;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};

/// How long a test waits for an answer that does not come.
const LIMIT: Duration = Duration::from_secs(20);

/// Header values that differ from run to run.
const VARYING: [&str; 3] = ["host", "x-request-id", "date"];

type Paths = Arc<Mutex<Vec<String>>>;

/// A caller's side whose calls all go to one service, without a reducer.
struct Site {
    address: SocketAddr,
    paths: Paths,
    arrived: Arc<Notify>,
    go_on: Arc<Notify>,
    endings: mpsc::UnboundedReceiver<String>,
}

async fn start() -> Site {
    let (arrived, go_on) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let service = spawn_service(Arc::clone(&arrived), Arc::clone(&go_on)).await;
    start_with(service, arrived, go_on).await
}

/// Starts a caller's side in front of a service in trouble.
async fn start_before(behaviour: answers::Behaviour) -> (Site, answers::Handle) {
    let service = answers::spawn(behaviour).await.expect("a free port");
    let site = start_with(service.address, Arc::default(), Arc::default()).await;
    (site, service)
}

async fn start_with(service: SocketAddr, arrived: Arc<Notify>, go_on: Arc<Notify>) -> Site {
    let (ending, endings) = mpsc::unbounded_channel();
    let (inputs, receiver) = mpsc::channel(64);
    let (published, watch) = watch::channel(handle::Published::default());
    let paths = Paths::default();
    tokio::spawn(forward_all(receiver, service, Arc::clone(&paths), published, ending));
    let explanations = Arc::new(explain::Explanations::default());
    let started = std::time::Instant::now();
    let handle = handle::Handle::new(inputs, watch, explanations, 7, started);
    let timeouts = http::Timeouts { connect: LIMIT, idle: LIMIT };
    let client = http::Client::new(timeouts);
    let engine_timeouts =
        openai::Timeouts { prefill: LIMIT, first_token: LIMIT, event_timeout: LIMIT };
    let context = callers::Context {
        handle,
        engines: Arc::new(openai::OpenAi::new(client.clone(), engine_timeouts)),
        services: Arc::new(services::HttpServices::new(client, LIMIT)),
        limits: settings::Limits::default(),
        discovery_ttl: LIMIT,
        frame_timeout: LIMIT,
    };
    let server = callers::Server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let server = server.expect("a free port");
    let address = server.address().expect("a bound address");
    tokio::spawn(server.run(Arc::new(context), Arc::new(Notify::new())));
    Site { address, paths, arrived, go_on, endings }
}

/// Answers each arrival with one attempt and each failure with a refusal.
async fn forward_all(
    mut receiver: mpsc::Receiver<handle::Input>,
    service: SocketAddr,
    paths: Paths,
    published: watch::Sender<handle::Published>,
    endings: mpsc::UnboundedSender<String>,
) {
    let mut requests = BTreeMap::new();
    while let Some(input) = receiver.recv().await {
        match input {
            handle::Input::Open { request, arrival, commands } => {
                let request::Target::Plain(call) = arrival.target else { continue };
                let path = String::from_utf8_lossy(&call.path).into_owned();
                paths.lock().expect("no test panics while it holds the lock").push(path);
                let command = request::Command::Forward {
                    attempt: 1,
                    server: Bytes::from_static(b"s1"),
                    address: service,
                    keep_answer: call.idempotency_key.is_some(),
                    send_before: call.path.ends_with(b"/late").then_some(Duration::ZERO),
                };
                drop(commands.send(command));
                requests.insert(request, commands);
            }
            handle::Input::Event(galenayard::core::event::Event::Request(
                request::Event::Failed { request, failure, .. },
            )) => {
                drop(endings.send(format!("{failure:?}")));
                let refusal = request::Refusal {
                    reason: request::Reason::Failed(failure.fault),
                    ran: failure.ran,
                    retry_after_ms: None,
                };
                if let Some(commands) = requests.get(&request) {
                    drop(commands.send(request::Command::Refuse(refusal)));
                }
            }
            handle::Input::Event(galenayard::core::event::Event::Request(
                request::Event::Ended { answer, .. },
            )) => drop(endings.send(format!("{answer:?}"))),
            handle::Input::Event(galenayard::core::event::Event::Request(
                request::Event::Disconnected { .. },
            )) => drop(endings.send("caller gone".to_string())),
            _ => {}
        }
    }
    drop(published);
}

/// A service that answers with what it was sent.
async fn spawn_service(arrived: Arc<Notify>, go_on: Arc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (arrived, go_on) = (Arc::clone(&arrived), Arc::clone(&go_on));
            let service = service_fn(move |request| {
                let (arrived, go_on) = (Arc::clone(&arrived), Arc::clone(&go_on));
                async move { Ok::<_, Infallible>(answer(request, &arrived, &go_on).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

/// Answers slowly, in part, or with what was sent, as the path says.
async fn answer(
    request: Request<Incoming>,
    arrived: &Notify,
    go_on: &Arc<Notify>,
) -> Response<http::Body> {
    match request.uri().path() {
        "/orders/slow" => {
            arrived.notify_one();
            go_on.notified().await;
            Response::new(http::full(Bytes::from_static(b"done")))
        }
        "/orders/cut" => {
            let go_on = Arc::clone(go_on);
            let first = stream::iter([Ok(Frame::data(Bytes::from_static(b"half")))]);
            let rest = stream::once(async move {
                go_on.notified().await;
                Err(http::BodyError::new("the service died"))
            });
            Response::new(StreamBody::new(first.chain(rest).boxed()).boxed_unsync())
        }
        _ => echo(request).await,
    }
}

async fn echo(request: Request<Incoming>) -> Response<http::Body> {
    let (parts, body) = request.into_parts();
    let mut text = format!("{} {}\n", parts.method, parts.uri);
    let mut lines: Vec<String> = Vec::new();
    for (name, value) in &parts.headers {
        let shown = if VARYING.contains(&name.as_str()) { "..." } else { text_of(value) };
        lines.push(format!("{name}: {shown}\n"));
    }
    lines.sort();
    text.extend(lines);
    let body = body.collect().await.map(|body| body.to_bytes());
    let _ = match body {
        Ok(body) if body.len() > 100 => writeln!(text, "body of {} bytes", body.len()),
        Ok(body) => writeln!(text, "body {:?}", String::from_utf8_lossy(&body)),
        Err(_) => writeln!(text, "body broken off"),
    };
    Response::new(http::full(Bytes::from(text)))
}

fn text_of(value: &hyper::header::HeaderValue) -> &str {
    value.to_str().unwrap_or("not text")
}

/// Sends bytes, ends the sending half and returns all that comes back.
async fn exchange(site: &Site, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(site.address).await.expect("a connection");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(LIMIT, stream.read_to_end(&mut answer)).await;
    read.expect("the connection is closed in time").ok();
    let answer = String::from_utf8_lossy(&answer).replace('\r', "");
    let lines = answer.lines().map(|line| match line.split_once(": ") {
        Some((name, _)) if VARYING.contains(&name) => format!("{name}: ..."),
        _ => line.to_string(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn message(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let head = format!("{line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}\r\n{body}");
    head.into_bytes()
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

#[tokio::test]
async fn framing_and_headers() {
    let site = start().await;
    let cases = [
        ("plain", message("POST /orders?a=1", "content-length: 2\r\n", "ab")),
        ("chunked", message("POST /orders", CHUNKED, "2\r\nab\r\n0\r\n\r\n")),
        (
            "chunk extension",
            message("POST /orders", CHUNKED, "2;x=\"y\"\r\nab\r\n0\r\n\r\n"),
        ),
        (
            "request trailers",
            message("POST /orders", CHUNKED, "2\r\nab\r\n0\r\nx-sum: 1\r\n\r\n"),
        ),
        (
            "both lengths",
            message(
                "POST /orders",
                "content-length: 2\r\ntransfer-encoding: chunked\r\n",
                "2\r\nab\r\n0\r\n\r\nGET /stolen HTTP/1.1\r\nhost: a\r\n\r\n",
            ),
        ),
        (
            "two equal lengths",
            message("POST /orders", "content-length: 2\r\ncontent-length: 2\r\n", "ab"),
        ),
        (
            "two lengths",
            message("POST /orders", "content-length: 2\r\ncontent-length: 3\r\n", "abc"),
        ),
        ("length with a sign", message("POST /orders", "content-length: +2\r\n", "ab")),
        (
            "chunked twice",
            message("POST /orders", "transfer-encoding: chunked, chunked\r\n", "0\r\n\r\n"),
        ),
        (
            "coding after chunked",
            message("POST /orders", "transfer-encoding: chunked, gzip\r\n", "0\r\n\r\n"),
        ),
        ("folded header", message("GET /stock", "x-a: b\r\n c\r\n", "")),
        ("blank before colon", message("GET /stock", "x-a : b\r\n", "")),
        ("bare line feeds", b"GET /stock HTTP/1.1\nhost: a\nconnection: close\n\n".to_vec()),
        ("bare carriage return", message("GET /stock", "x-a: b\rc\r\n", "")),
        ("absolute form", message("GET http://other/stock", "", "")),
        ("authority form", message("CONNECT other:80", "", "")),
        (
            "nominated headers",
            b"GET /stock HTTP/1.1\r\nhost: a\r\nconnection: close, authorization, x-a, x-forwarded-for\r\n\
              authorization: Bearer k\r\nx-a: b\r\nx-b: c\r\n\r\n"
                .to_vec(),
        ),
        (
            "keys and forged origins",
            message(
                "GET /stock",
                "authorization: Bearer k\r\nx-api-key: k\r\nx-forwarded-for: 10.0.0.1\r\n\
                 forwarded: for=10.0.0.1\r\nx-real-ip: 10.0.0.1\r\nx-forwarded-host: b\r\n\
                 x-forwarded-proto: https\r\nvia: 1.1 b\r\n",
                "",
            ),
        ),
        (
            "upgrade",
            b"GET /stock HTTP/1.1\r\nhost: a\r\nconnection: close, upgrade\r\nupgrade: websocket\r\n\r\n"
                .to_vec(),
        ),
        (
            "expect",
            message("POST /orders", "expect: 100-continue\r\ncontent-length: 2\r\n", "ab"),
        ),
        (
            "idempotency key twice",
            message("POST /orders", "idempotency-key: a\r\nidempotency-key: b\r\n", ""),
        ),
        ("head", message("HEAD /stock", "", "")),
    ];
    let mut shown = String::new();
    for (name, bytes) in cases {
        let _ = writeln!(shown, "== {name}\n{}\n", exchange(&site, &bytes).await);
    }
    insta::assert_snapshot!(shown);
}

#[tokio::test]
async fn paths() {
    let site = start().await;
    let paths = [
        "/orders/1",
        "/orders/",
        "/%6Frders",
        "/orders/%7e",
        "/orders/a%20b",
        "/orders/%c3%a9",
        "/stock/../orders",
        "/stock/%2e%2e/orders",
        "/stock/.%2E/orders",
        "/stock/..;x/orders",
        "/stock/./a",
        "//orders",
        "/stock//orders",
        "/stock%2forders",
        "/stock\\..\\orders",
        "/stock/%5c",
        "/stock/%00",
        "/stock/%0d%0a",
        "/stock/%zz",
        "/stock/%2",
        "/stock/%252e",
        "/v1/models/..",
        "/%761/models",
        "*",
    ];
    let mut shown = String::new();
    for path in paths {
        let answer = exchange(&site, &message(&format!("GET {path}"), "", "")).await;
        let status = answer.lines().next().unwrap_or("closed").to_string();
        let known = site.paths.lock().expect("no test panics while it holds the lock").pop();
        let sent = answer.lines().find(|line| line.starts_with("GET "));
        let _ = writeln!(shown, "{path}: {status}, route path {known:?}, sent {sent:?}");
    }
    insta::assert_snapshot!(shown);
}

#[tokio::test]
async fn large_bodies() {
    let site = start().await;
    let body = "x".repeat(300_000);
    let length = format!("content-length: {}\r\n", body.len());
    let keyed = format!("{length}idempotency-key: a\r\n");
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let cases = [
        ("announced", message("POST /orders", &length, &body)),
        ("chunked", message("POST /orders", CHUNKED, &chunk)),
        ("keyed", message("POST /orders", &keyed, &body)),
    ];
    let mut shown = String::new();
    for (name, bytes) in cases {
        let _ = writeln!(shown, "== {name}\n{}\n", exchange(&site, &bytes).await);
    }
    insta::assert_snapshot!(shown);
}

#[tokio::test]
async fn keyed_call_is_read_to_its_end_after_its_caller_has_gone() {
    let mut site = start().await;
    for headers in ["idempotency-key: a\r\n", ""] {
        let mut stream = TcpStream::connect(site.address).await.expect("a connection");
        let bytes = message("POST /orders/slow", headers, "");
        stream.write_all(&bytes).await.expect("the call is sent");
        site.arrived.notified().await;
    }
    let first = site.endings.recv().await;
    site.go_on.notify_one();
    let second = site.endings.recv().await;
    insta::assert_snapshot!(format!("{first:?}\n{second:?}"));
}

#[tokio::test]
async fn answer_that_breaks_off_is_not_kept() {
    let mut site = start().await;
    let mut stream = TcpStream::connect(site.address).await.expect("a connection");
    let bytes = message("POST /orders/cut", "idempotency-key: a\r\n", "");
    stream.write_all(&bytes).await.expect("the call is sent");
    let mut answer = Vec::new();
    while !answer.windows(4).any(|part| part == b"half") {
        let read = tokio::time::timeout(LIMIT, stream.read_buf(&mut answer)).await;
        assert_ne!(read.expect("an answer in time").expect("an answer"), 0);
    }
    site.go_on.notify_one();
    let ending = site.endings.recv().await;
    tokio::time::timeout(LIMIT, stream.read_to_end(&mut answer)).await.expect("an end").ok();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
    insta::assert_snapshot!(format!("{body:?}\n{ending:?}"));
}

#[tokio::test]
async fn call_is_not_sent_after_its_claim_may_have_run_out() {
    let mut site = start().await;
    let bytes = message("POST /orders/late", "idempotency-key: a\r\n", "");
    let answer = exchange(&site, &bytes).await;
    let ending = site.endings.recv().await;
    insta::assert_snapshot!(format!("{answer}\n\n{ending:?}"));
}

/// A server that sends its last answer once more as soon as another request arrives on a connection.
async fn spawn_repeating_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let mut last = String::new();
                while let Ok(length @ 1..) = stream.read(&mut request).await {
                    let text = String::from_utf8_lossy(&request[..length]).into_owned();
                    let path = text.split(' ').nth(1).unwrap_or_default();
                    let own =
                        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}", path.len());
                    // The other side may have closed the connection.
                    drop(stream.write_all(format!("{last}{own}").as_bytes()).await);
                    last = own;
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn a_second_copy_of_an_answer_never_answers_the_next_call() {
    let address = spawn_repeating_service().await;
    let timeouts = http::Timeouts { connect: LIMIT, idle: LIMIT };
    let services = services::HttpServices::new(http::Client::new(timeouts), LIMIT);
    for path in ["/first", "/second", "/third"] {
        let message = Request::get(path).body(http::empty()).expect("a valid request");
        let caller = SocketAddr::from(([127, 0, 0, 1], 1));
        let upload_timeout = Duration::ZERO;
        let call = services::Call { request: 1, address, caller, message, upload_timeout };
        let response = services.forward(call).await.expect("the service answers");
        let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
        assert_eq!(body, path);
    }
}

#[tokio::test]
async fn an_answer_with_an_invalid_status_or_field_is_not_passed_on() {
    for (name, answer) in answers::invalid("x-own: kept\r\n", "good") {
        let behaviour = answers::Behaviour { answer, wait: Duration::ZERO, resets: false };
        let (mut site, mut service) = start_before(behaviour).await;
        let got = exchange(&site, &message("POST /orders", "content-length: 2\r\n", "ab")).await;
        assert!(got.starts_with("HTTP/1.1 502"), "{name:?}: {got}");
        assert!(!got.contains("good") && !got.contains("x-own"), "{name:?}: {got}");
        service.requests.recv().await.expect("the call has reached the service");
        let ending = site.endings.recv().await.expect("the call has ended");
        assert!(ending.contains("ran: Unknown"), "{name:?}: {ending}");
    }
}

/// Sends a call with a long body while its answer is read; returns the answer.
async fn upload(site: &Site, body_bytes: usize) -> String {
    let headers = format!("content-length: {body_bytes}\r\n");
    let bytes = message("POST /orders", &headers, &"x".repeat(body_bytes));
    let stream = TcpStream::connect(site.address).await.expect("a connection");
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        // The answer may come, and the connection end, before the body has left.
        drop(writer.write_all(&bytes).await);
        writer
    });
    let mut answer = Vec::new();
    let read = tokio::time::timeout(LIMIT, reader.read_to_end(&mut answer)).await;
    read.expect("the connection is closed in time").ok();
    writing.abort();
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn a_part_of_an_answer_whose_connection_is_reset_during_an_upload_is_not_a_whole_one() {
    for body_bytes in [60_000, 300_000, 7_000_000] {
        for after_ms in [0, 1, 20, 100, 300] {
            let behaviour = answers::Behaviour {
                answer: b"HTTP/1.1 200 OK\r\nx-own: kept\r\n\r\npart".to_vec(),
                wait: Duration::from_millis(after_ms),
                resets: true,
            };
            let (site, mut service) = start_before(behaviour).await;
            let got = upload(&site, body_bytes).await;
            let is_whole = got.ends_with("\r\n0\r\n\r\n") || got.contains("content-length: ");
            let is_success = got.starts_with("HTTP/1.1 200") && is_whole;
            assert!(!is_success, "{body_bytes} bytes, reset after {after_ms} ms: {got}");
            service.requests.recv().await.expect("the call has reached the service");
        }
    }
}

#[tokio::test]
async fn an_answer_without_length_that_its_service_closes_is_whole() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\ngood".to_vec();
    let behaviour = answers::Behaviour { answer, wait: Duration::ZERO, resets: false };
    let (site, _service) = start_before(behaviour).await;
    let got = exchange(&site, &message("GET /stock", "", "")).await;
    assert!(got.starts_with("HTTP/1.1 200") && got.contains("good"), "{got}");
}
