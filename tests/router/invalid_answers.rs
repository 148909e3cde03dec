//! Tests that answers that are no HTTP, and answers that break off, never reach a caller as whole ones.

use std::net;
use std::rc;
use std::sync;
use std::time::Duration;

use galenayard::core::fleet;
use galenayard::core::fleet::catalog;
use galenayard::router::context;
use standins::answers;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::COMPLETE_RESPONSE;
use super::KEY;
use super::content;
use super::request;
use super::run;
use super::run_request;
use super::send;
use super::start;

const SIGNATURE: &str = "Attempt-Id: a1\r\nServer-Stamp: s\r\n";

/// The length of an upload: more than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 7 * 1_024 * 1_024;

/// The time from the beginning of an answer to the reset of its connection.
const RESET_AFTER_MS: [u64; 5] = [0, 1, 20, 100, 300];

async fn server(answer: Vec<u8>, resets_after: Option<Duration>) -> answers::Handle {
    let wait = resets_after.unwrap_or_default();
    let behaviour = answers::Behaviour { answer, wait, resets: resets_after.is_some() };
    answers::spawn(behaviour).await.expect("a port is free")
}

#[test]
fn an_answer_with_an_invalid_status_or_field_is_not_passed_on() {
    for (name, answer) in answers::invalid(SIGNATURE, "good") {
        let answer: &'static [u8] = answer.leak();
        for route in ["order", "stream"] {
            run(async {
                let (got, arrivals) = run_request(route, &[answer, COMPLETE_RESPONSE]).await;
                assert!(got.starts_with("HTTP/1.1 502"), "{route}, {name:?}: {got}");
                assert!(!got.contains("good") && !got.contains("server-stamp"), "{name:?}: {got}");
                assert_eq!(arrivals.len(), 1, "{route}, {name:?}: it may have run");
            });
        }
        run(async {
            let (got, arrivals) = run_request("query", &[answer, COMPLETE_RESPONSE]).await;
            assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("good"), "{name:?}: {got}");
            assert_eq!(arrivals.len(), 2, "{name:?}");
        });
    }
}

/// Starts an instance that takes long uploads.
async fn start_for_uploads(
    addresses: &[net::SocketAddr],
) -> (net::SocketAddr, rc::Rc<context::Context>) {
    let (callers, context) = start(addresses).await;
    let mut content = content();
    content.version += 1;
    content.caller_limits.body_bytes = UPLOAD_BYTES;
    let catalog = sync::Arc::new(catalog::Catalog::new(content));
    context.apply(fleet::Event::Configured(catalog));
    (callers, context)
}

async fn upload(to: net::SocketAddr, route: &str) -> String {
    let head = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: host\r\nAttempt-Id: a1\r\nDeadline-Ms: 3000\r\n\
         Authorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let mut stream = tokio::net::TcpStream::connect(to).await.expect("the instance listens");
    stream.write_all(head.as_bytes()).await.expect("the head leaves");
    stream.write_all(&vec![b'x'; UPLOAD_BYTES]).await.expect("the body leaves");
    let mut response = Vec::new();
    // An incomplete response may end with a connection reset.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns whether a response ends as its head says.
fn is_whole(response: &str) -> bool {
    response.ends_with("\r\n0\r\n\r\n") || response.contains("content-length: ")
}

#[test]
fn a_part_of_an_answer_whose_connection_is_reset_during_an_upload_is_not_a_whole_one() {
    for (route, part) in [("order", "part"), ("query", "part"), ("stream", "id: 1\ndata: a\n\n")] {
        for after_ms in RESET_AFTER_MS {
            run(async {
                let answer = format!("HTTP/1.1 200 OK\r\n{SIGNATURE}\r\n{part}").into_bytes();
                let resets_after = Some(Duration::from_millis(after_ms));
                let mut server = server(answer, resets_after).await;
                let (callers, _context) = start_for_uploads(&[server.address]).await;
                let got = upload(callers, route).await;
                let is_success = got.starts_with("HTTP/1.1 200") && is_whole(&got);
                assert!(!is_success, "{route}, reset after {after_ms} ms: {got}");
                server.requests.recv().await.expect("the request has reached the server");
            });
        }
    }
}

#[test]
fn an_answer_without_length_that_its_server_closes_is_whole() {
    run(async {
        let answer = format!("HTTP/1.1 200 OK\r\n{SIGNATURE}\r\ngood").into_bytes();
        let server = server(answer, None).await;
        let (callers, _context) = start(&[server.address]).await;
        let got = send(callers, &request("order")).await;
        assert!(got.starts_with("HTTP/1.1 200") && got.contains("good"), "{got}");
    });
}
