//! Tests of response bodies that are completed and that are aborted.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;

use crate::borders::callers::reply;
use crate::core::request;

/// Starts a response with one frame; returns the sending half and the body.
async fn started() -> (reply::Reply, crate::borders::http::Body) {
    let (mut reply, head) = reply::Reply::new(1);
    reply.start(hyper::Response::new(())).expect("the caller waits");
    reply.write(body::Frame::data(Bytes::from_static(b"piece"))).await.expect("the caller reads");
    let response = head.await.expect("a head");
    (reply, response.into_body())
}

#[tokio::test]
async fn finished_body_is_complete() {
    let (mut reply, body) = started().await;
    reply.finish().await.expect("the caller reads");
    drop(reply);
    let whole = body.collect().await.expect("a complete body");
    assert_eq!(whole.to_bytes(), "piece");
}

#[tokio::test]
async fn body_fails_if_its_task_ends_early() {
    let (reply, body) = started().await;
    drop(reply);
    assert!(body.collect().await.is_err());
}

#[tokio::test]
async fn body_fails_if_the_request_is_refused() {
    let (mut reply, body) = started().await;
    let reason = request::Reason::Deadline;
    let refusal = request::Refusal { reason, ran: request::Ran::Unknown, retry_after_ms: None };
    reply.refuse(&refusal, None).await;
    assert!(body.collect().await.is_err());
}
