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
use crate::streams;

/// The work of a request.
const WORK: time::Duration = time::Duration::from_millis(20);

/// Requests that it runs at once; more are rejected.
const SLOTS: u32 = 12;

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
) -> io::Result<net::SocketAddr> {
    let name: rc::Rc<str> = rc::Rc::from(name);
    let running = rc::Rc::new(cell::Cell::new(0_u32));
    http::serve(address, move |request| {
        let (name, judge) = (rc::Rc::clone(&name), rc::Rc::clone(&judge));
        let running = rc::Rc::clone(&running);
        async move { answer(&name, version, &judge, &running, request).await }
    })
    .await
}

async fn answer(
    name: &str,
    version: &'static str,
    judge: &rc::Rc<judge::Judge>,
    running: &rc::Rc<cell::Cell<u32>>,
    request: hyper::Request<Incoming>,
) -> http::Response {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_string)
    };
    let attempt = header("attempt-id").unwrap_or_default();
    let workspace = header("tenant").unwrap_or_default();
    let has_key = header("authorization").is_some();
    let is_other = header("expect-instance").is_some_and(|expected| expected != name);
    let last_event = header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let path = request.uri().path().to_string();
    let is_stream = judge::is_stream(&path);
    // The answer does not depend on the body.
    let _ = request.into_body().collect().await;
    if is_other {
        return http::response(421, "");
    }
    if running.get() >= SLOTS {
        let mut full = http::response(503, "");
        full.headers_mut().insert("not-executed", hyper::header::HeaderValue::from_static("1"));
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
    let slot = Slot(rc::Rc::clone(running));
    let (judge, answered) = (rc::Rc::clone(judge), attempt.clone());
    let finish = move || {
        drop(slot);
        judge.note_answered(&answered);
    };
    let mut answer = if is_stream {
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
