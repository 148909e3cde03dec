//! A stand-in of a plain server that records what it runs.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::http;
use crate::judge;
use crate::servers;
use crate::streams;

/// The work of a request.
const WORK: time::Duration = time::Duration::from_millis(20);

/// Requests that it runs at once; more are rejected.
const SLOTS: u32 = 12;

/// The length of the parts of an answer without end.
const ENDLESS_PART_BYTES: usize = 16 * 1_024;

/// What is wrong with a server.
#[derive(Debug, Default)]
pub struct Trouble {
    /// The requests a second that it takes from all instances, which its answers name.
    pub limit_per_s: cell::Cell<Option<f64>>,
    /// Whether its answers have no end.
    pub is_endless: cell::Cell<bool>,
    /// Whether it leaves, which its answers state.
    pub is_leaving: cell::Cell<bool>,
    /// The pause that it asks for with each request that it turns away.
    pub pause: cell::Cell<Option<time::Duration>>,
    /// Notified when a request has crashed it.
    pub crashed: tokio::sync::Notify,
}

/// The time from the start of a request that crashes its server until the server ends.
const CRASH_AFTER: time::Duration = time::Duration::from_millis(30);

/// The part of prompts that crashes servers.
pub const CRASHING_PART: &str = "dead";

/// The path of requests that crash servers.
pub const CRASHING_PATH: &str = "/query/crash";

/// Returns why a request crashes its server, if it does.
fn crash_cause(path: &str, parts: &str) -> Option<servers::Cause> {
    let mut parts = parts.split(',').filter_map(|part| part.split(':').next());
    if parts.any(|part| part == CRASHING_PART) {
        return Some(servers::Cause::Part(CRASHING_PART.to_string()));
    }
    (path == CRASHING_PATH).then(|| servers::Cause::Request(path.to_string()))
}

/// A slot that is taken until it is dropped.
struct Slot(rc::Rc<cell::Cell<u32>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The body of the answer to an attempt.
pub fn body(server: &str, attempt: &str) -> String {
    format!("{server} has run {attempt}")
}

/// Starts a server and returns its address.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn start(
    name: &str,
    version: &'static str,
    address: net::SocketAddr,
    judge: rc::Rc<judge::Judge>,
    trouble: rc::Rc<Trouble>,
) -> io::Result<net::SocketAddr> {
    let name: rc::Rc<str> = rc::Rc::from(name);
    let running = rc::Rc::new(cell::Cell::new(0_u32));
    http::serve(address, move |request| {
        let (name, judge) = (rc::Rc::clone(&name), rc::Rc::clone(&judge));
        let (running, trouble) = (rc::Rc::clone(&running), rc::Rc::clone(&trouble));
        async move {
            let attempt = header(&request, "attempt-id");
            let parts = header(&request, "prefix-hash");
            let cause = crash_cause(request.uri().path(), &parts);
            judge.note_arrival(&name, &attempt, cause);
            let is_leaving = trouble.is_leaving.get();
            let mut answer = answer(&name, version, &judge, &running, &trouble, request).await;
            let limit = trouble.limit_per_s.get().map(|limit| limit.to_string());
            if let Some(Ok(limit)) = limit.as_deref().map(hyper::header::HeaderValue::from_str) {
                answer.headers_mut().insert("server-limit", limit);
            }
            if is_leaving {
                let value = hyper::header::HeaderValue::from_static("1");
                answer.headers_mut().insert("server-leaving", value);
                judge.note_leaving(&name, &attempt);
            }
            answer
        }
    })
    .await
}

fn header(request: &hyper::Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

async fn answer(
    name: &str,
    version: &'static str,
    judge: &rc::Rc<judge::Judge>,
    running: &rc::Rc<cell::Cell<u32>>,
    trouble: &Trouble,
    request: hyper::Request<Incoming>,
) -> http::Response {
    let header = |name: &str| header(&request, name);
    let attempt = header("attempt-id");
    let workspace = header("tenant");
    let has_key = !header("authorization").is_empty();
    let expected = header("expect-instance");
    let is_other = !expected.is_empty() && expected != name;
    let last_event = header("last-event-id").parse().unwrap_or(0);
    let cause = crash_cause(request.uri().path(), &header("prefix-hash"));
    let path = request.uri().path().to_string();
    let is_stream = judge::is_stream(&path);
    // The answer does not depend on the body.
    let _ = request.into_body().collect().await;
    if is_other {
        return http::response(421, "");
    }
    let pause = trouble.pause.get();
    if running.get() >= SLOTS || pause.is_some() {
        if let Some(pause) = pause {
            judge.note_pause(name, &attempt, pause);
        }
        let mut full = http::response(503, "");
        full.headers_mut().insert("not-executed", hyper::header::HeaderValue::from_static("1"));
        let seconds = pause.map(|pause| pause.as_secs_f64().to_string());
        if let Some(Ok(seconds)) = seconds.as_deref().map(hyper::header::HeaderValue::from_str) {
            full.headers_mut().insert("retry-after", seconds);
        }
        return full;
    }
    running.set(running.get() + 1);
    judge.note_run(judge::Run {
        attempt: attempt.clone(),
        server: name.to_string(),
        workspace,
        path,
        has_key,
    });
    if let Some(cause) = cause {
        tokio::time::sleep(CRASH_AFTER).await;
        judge.note_crash(cause);
        trouble.crashed.notify_one();
        return std::future::pending().await;
    }
    let slot = Slot(rc::Rc::clone(running));
    let (judge, answered) = (rc::Rc::clone(judge), attempt.clone());
    let finish = move || {
        drop(slot);
        judge.note_answered(&answered);
    };
    let mut answer = if trouble.is_endless.get() {
        let event = streams::event(version, last_event + 1);
        endless(is_stream.then_some(event))
    } else if is_stream {
        streams::response(version, last_event, streams::Ending::draw(&attempt, name), finish)
    } else {
        tokio::time::sleep(WORK).await;
        finish();
        http::response(200, body(name, &attempt))
    };
    for (key, value) in [("attempt-id", attempt.as_str()), ("server-stamp", name)] {
        if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
            answer.headers_mut().insert(key, value);
        }
    }
    answer
}

/// Returns an answer whose body has no end, or its second event if there is a first one.
fn endless(first_event: Option<String>) -> http::Response {
    let first = first_event.map(|event| bytes::Bytes::from(event + "data: ")).into_iter();
    let part = bytes::Bytes::from(vec![b'x'; ENDLESS_PART_BYTES]);
    let parts = first.chain(std::iter::repeat(part));
    let frames = parts.map(|part| Ok(hyper::body::Frame::data(part)));
    let body = http_body_util::StreamBody::new(futures_util::stream::iter(frames));
    hyper::Response::new(body.boxed_unsync())
}
