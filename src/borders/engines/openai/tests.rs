//! Tests of streams that contain events of other requests, and of answers that are no HTTP.

use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use standins::answers;

use crate::borders::engines;
use crate::borders::engines::Engines as _;
use crate::borders::engines::Stream as _;
use crate::borders::engines::openai;
use crate::borders::http;
use crate::core::ids;
use crate::core::request;

const OWN: ids::RequestId = 1;
const OTHER: ids::RequestId = 2;
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Returns a stream with one token for each of the requests, in order, and the end marker.
fn stream(requests: &[ids::RequestId]) -> openai::EventStream {
    let mut body = String::new();
    for (index, request) in requests.iter().enumerate() {
        let id = ids::request_text(*request);
        let text = format!("{{\"id\":\"cmpl-{id}\",\"choices\":[{{\"text\":\"t{index}\"}}]}}");
        body.push_str(&format!("data: {text}\n\n"));
    }
    body.push_str("data: [DONE]\n\n");
    stream_of(http::full(Bytes::from(body)))
}

fn stream_of(body: http::Body) -> openai::EventStream {
    openai::EventStream::new(OWN, body, TIMEOUT, TIMEOUT)
}

/// Reads a stream to its end; returns the token texts and the fault with which it ended, if any.
async fn read(mut stream: openai::EventStream) -> (Vec<String>, Result<(), request::Fault>) {
    let mut texts = Vec::new();
    loop {
        match stream.next().await {
            Ok(Some(chunk)) => {
                if let engines::Content::Token { text, .. } = chunk.content {
                    texts.push(text);
                }
            }
            Ok(None) => return (texts, Ok(())),
            Err(failure) => return (texts, Err(failure.fault)),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn events_of_other_requests_are_dropped() {
    let outcome = read(stream(&[OTHER, OWN, OTHER, OTHER, OWN, OTHER])).await;
    assert_eq!(outcome, (vec!["t1".to_string(), "t4".to_string()], Ok(())));
}

#[tokio::test(start_paused = true)]
async fn stream_of_another_request_fails_after_a_few_events() {
    let outcome = read(stream(&[OTHER; 8])).await;
    assert_eq!(outcome, (Vec::new(), Err(request::Fault::Crossed)));
}

#[tokio::test(start_paused = true)]
async fn a_stalled_stream_that_sends_a_few_bytes_now_and_then_ends() {
    // Events without data, 400 ms apart.
    let events = futures_util::stream::unfold((), |()| async {
        tokio::time::sleep(time::Duration::from_millis(400)).await;
        Some((Ok(hyper::body::Frame::data(Bytes::from_static(b"id: 1\n\n"))), ()))
    });
    let body = http_body_util::StreamBody::new(Box::pin(events)).boxed_unsync();
    let ended = tokio::time::timeout(TIMEOUT * 60, read(stream_of(body))).await;
    assert_eq!(ended, Ok((Vec::new(), Err(request::Fault::Gap))));
}

#[tokio::test(start_paused = true)]
async fn an_event_without_end_is_not_collected() {
    const MOST_PARTS: usize = 1_024;
    let parts = std::iter::repeat_n(Bytes::from(vec![b'x'; 16 * 1_024]), MOST_PARTS);
    let taken = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counted = sync::Arc::clone(&taken);
    let frames = parts.map(move |part| {
        counted.fetch_add(1, atomic::Ordering::Relaxed);
        Ok(hyper::body::Frame::data(part))
    });
    let body = http_body_util::StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync();
    let outcome = read(stream_of(body)).await;
    assert_eq!(outcome, (Vec::new(), Err(request::Fault::Closed)));
    let taken = taken.load(atomic::Ordering::Relaxed);
    assert!(taken < MOST_PARTS / 8, "{taken} of {MOST_PARTS} parts");
}

#[tokio::test]
async fn an_answer_with_an_invalid_status_or_field_is_a_failure_after_which_the_request_may_have_run()
 {
    let id = ids::request_text(OWN);
    let body =
        format!(r#"{{"id":"cmpl-{id}","usage":{{"prompt_tokens":1}},"kv_transfer_params":{{}}}}"#);
    for (name, answer) in answers::invalid("content-type: application/json\r\n", &body) {
        let behaviour = answers::Behaviour { answer, wait: time::Duration::ZERO, resets: false };
        let engine = answers::spawn(behaviour).await.expect("a free port");
        let timeouts =
            openai::Timeouts { prefill: TIMEOUT, first_token: TIMEOUT, event_timeout: TIMEOUT };
        let client = http::Client::new(http::Timeouts { connect: TIMEOUT, idle: TIMEOUT });
        let engines = openai::OpenAi::new(client, timeouts);
        let call = engines::Call {
            request: OWN,
            address: engine.address,
            priority: 0,
            api: engines::Api::Completions,
            fields: sync::Arc::default(),
        };
        let prefilled = engines.prefill(call.clone()).await.map(|_| ());
        assert_eq!(prefilled, Err(request::Failure::maybe_run(request::Fault::Closed)), "{name:?}");
        let decoding = engines.decode(call, engines::Source::Prompt).await.map(|_| ());
        assert_eq!(decoding, Err(request::Failure::maybe_run(request::Fault::Closed)), "{name:?}");
    }
}
