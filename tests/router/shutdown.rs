//! Tests that a planned stop under load leaves no accepted request without its answer.

use std::cell;
use std::rc;
use std::time::Duration;

use galenayard::core::fleet::view;
use galenayard::router::context;
use galenayard::router::stop;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::COMPLETE_RESPONSE;
use super::FIRST_EVENT;
use super::departures::StreamingServer;
use super::request;
use super::run;
use super::send_owned;
use super::start;

/// How long the server takes for an answer.
const WORK: Duration = Duration::from_millis(40);

const GRACE: Duration = Duration::from_millis(1_500);

/// Starts a server that answers each request after a while.
async fn slow_server() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut request = [0; 4_096];
                // The request is shorter than that, and its content does not matter.
                let _ = stream.read(&mut request).await;
                tokio::time::sleep(WORK).await;
                // The router may have closed the connection.
                let _ = stream.write_all(COMPLETE_RESPONSE).await;
            });
        }
    });
    address
}

#[test]
fn a_planned_stop_under_load_answers_every_request_that_was_passed_on() {
    run(async {
        let (callers, context) = start(&[slow_server().await]).await;
        let (answered, cut) = (rc::Rc::new(cell::Cell::new(0)), rc::Rc::new(cell::Cell::new(0)));
        for _ in 0..4 {
            let (answered, cut) = (rc::Rc::clone(&answered), rc::Rc::clone(&cut));
            tokio::task::spawn_local(async move {
                // Callers keep coming until the instance refuses their connections.
                while let Ok(mut stream) = tokio::net::TcpStream::connect(callers).await {
                    let sent = stream.write_all(request("order").as_bytes()).await;
                    let mut response = Vec::new();
                    let read = stream.read_to_end(&mut response).await;
                    let is_answered = response.starts_with(b"HTTP/1.1 200");
                    answered.set(answered.get() + usize::from(is_answered));
                    // A connection that is reset was not read.
                    let is_cut = sent.is_ok() && read.is_ok() && response.is_empty();
                    cut.set(cut.get() + usize::from(is_cut));
                }
            });
        }
        stop::drain(&context, GRACE).await;
        assert_eq!(context.read(|fleet| fleet.request_count()), 0, "requests in progress");
        assert!(answered.get() > 0);
        assert_eq!(cut.get(), 0, "connections closed without an answer");
    });
}

/// Sends requests to an instance with one server until one of them is where `is_there` says, stops
/// the instance, and returns the response that the caller of that one has by then, if any.
async fn response_at_the_end<C>(begin: &'static [u8], route: &str, is_there: C) -> Option<String>
where
    C: Fn(view::InProgress) -> bool,
{
    let server = StreamingServer::start(begin).await;
    let (callers, context) = start(&[server.address]).await;
    let mut sent = Vec::new();
    while !is_there(context.read(|fleet| fleet.in_progress())) {
        sent.push(tokio::task::spawn_local(send_owned(callers, request(route))));
        while context.read(|fleet| fleet.request_count()) < sent.len() {
            tokio::task::yield_now().await;
        }
    }
    stop::drain(&context, GRACE).await;
    let last = sent.pop().filter(tokio::task::JoinHandle::is_finished)?;
    Some(last.await.expect("the response is read"))
}

/// Before the fix the process ended while the request waited, without an answer to it.
#[test]
fn a_stream_that_waits_when_the_instance_stops_is_refused_in_time() {
    run(async {
        let is_there = |it: view::InProgress| it.waiting > 0;
        let response = response_at_the_end(FIRST_EVENT, "stream", is_there).await;
        let response = response.expect("the caller has a response");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(
            response.contains("retry-after: 0.01"),
            "another instance can serve it: {response}"
        );
    });
}

/// Before the fix the process ended while the server was at work, without an answer to its caller.
#[test]
fn a_request_whose_server_outlasts_the_stop_gets_an_answer() {
    run(async {
        let is_there = |it: view::InProgress| it.at_servers > 0;
        let response = response_at_the_end(b"", "order", is_there).await;
        let response = response.expect("the caller has a response");
        assert!(response.starts_with("HTTP/1.1 502"), "it may have run: {response}");
    });
}

/// Starts an instance before a slow server, and connects to it without a request.
async fn connect_to_instance() -> (tokio::net::TcpStream, rc::Rc<context::Context>) {
    let (callers, context) = start(&[slow_server().await]).await;
    let stream = tokio::net::TcpStream::connect(callers).await.expect("it listens");
    while context.caller_connections.get() == 0 {
        tokio::task::yield_now().await;
    }
    (stream, context)
}

#[test]
fn a_caller_that_connects_just_before_the_stop_gets_its_answer() {
    run(async {
        let (mut stream, context) = connect_to_instance().await;
        context.closing.send_replace(true);
        // The request is on its way while the instance stops taking connections.
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.write_all(request("order").as_bytes()).await.expect("the connection is open");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.expect("the response ends with the connection");
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    });
}

#[test]
fn a_connection_that_stays_silent_does_not_hold_up_the_stop() {
    run(async {
        let (mut stream, context) = connect_to_instance().await;
        stop::drain(&context, GRACE).await;
        assert_eq!(context.caller_connections.get(), 0, "open connections");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.expect("the connection is closed");
        assert!(response.is_empty());
    });
}
