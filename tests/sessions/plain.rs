//! Sessions of calls of plain services.

use bytes::Bytes;
use galenayard::core::claims;
use galenayard::core::ids;
use galenayard::core::request;

use crate::bench;

fn order(idempotency_key: Option<&'static str>, body: u8) -> request::PlainCall {
    request::PlainCall {
        method: Bytes::from_static(b"POST"),
        path: Bytes::from_static(b"/orders"),
        idempotency_key: idempotency_key.map(|key| Bytes::from_static(key.as_bytes())),
        fingerprint: [body; 32],
        replayable: true,
    }
}

fn enquiry(path: &'static str) -> request::PlainCall {
    request::PlainCall {
        method: Bytes::from_static(b"GET"),
        path: Bytes::from_static(path.as_bytes()),
        idempotency_key: None,
        fingerprint: [0; 32],
        replayable: true,
    }
}

fn started(bench: &mut bench::Bench, request: ids::RequestId, attempt: ids::Attempt) {
    bench.request(request::Event::Started { request, attempt });
}

fn ended(bench: &mut bench::Bench, request: ids::RequestId, attempt: ids::Attempt) {
    let answer = claims::Answer::Whole {
        status: 201,
        content_type: Bytes::from_static(b"application/json"),
        body: Bytes::from_static(b"{\"order\":1}"),
    };
    let usage = request::Usage::default();
    bench.request(request::Event::Ended { request, attempt, usage, answer: Some(answer) });
}

fn failed(
    bench: &mut bench::Bench,
    request: ids::RequestId,
    attempt: ids::Attempt,
    fault: request::Fault,
    ran: request::Ran,
) {
    let failure = request::Failure { fault, ran };
    bench.request(request::Event::Failed { request, attempt, failure });
}

#[test]
fn order_without_idempotency_key_answered() {
    let mut bench = bench::Bench::ready();
    let request = bench.call(bench::KEY, order(None, 1));
    started(&mut bench, request, 1);
    ended(&mut bench, request, 1);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn order_is_sent_elsewhere_only_if_no_byte_can_have_left() {
    let mut bench = bench::Bench::ready();
    let request = bench.call(bench::KEY, order(None, 1));
    failed(&mut bench, request, 1, request::Fault::Connect, request::Ran::No);
    bench.note("the second server may have run it: the outcome is unknown");
    failed(&mut bench, request, 2, request::Fault::Closed, request::Ran::Unknown);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn order_refused_as_not_run() {
    let mut bench = bench::Bench::ready();
    let request = bench.call(bench::KEY, order(None, 1));
    for attempt in 1..=3 {
        failed(&mut bench, request, attempt, request::Fault::Connect, request::Ran::No);
    }
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn enquiry_is_repeated() {
    let mut bench = bench::Bench::ready();
    bench.note("an open route needs no key");
    let request = bench.call(b"", enquiry("/stock/7"));
    failed(&mut bench, request, 1, request::Fault::FirstByte, request::Ran::Unknown);
    started(&mut bench, request, 2);
    ended(&mut bench, request, 2);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn routes_are_matched_by_whole_segments_and_methods() {
    let mut bench = bench::Bench::ready();
    bench.call(b"", enquiry("/stocks"));
    bench.call(b"", enquiry("/nothing"));
    bench.call(bench::KEY, enquiry("/orders/1"));
    bench.call(b"", order(None, 1));
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn order_sent_twice_with_one_idempotency_key() {
    let mut bench = bench::Bench::ready();
    let first = bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(40);
    bench.note("the second waits for the first's answer");
    bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(40);
    started(&mut bench, first, 1);
    ended(&mut bench, first, 1);
    bench.note("a third gets the same answer at once");
    bench.call(bench::KEY, order(Some("a"), 1));
    bench.note("another body under the same key is refused");
    bench.call(bench::KEY, order(Some("a"), 2));
    bench.note("the same key of another workspace is another key");
    bench.call(b"key-2", order(Some("a"), 1));
    bench.pass(40);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn outcome_unknown_is_told_to_those_that_resend() {
    let mut bench = bench::Bench::ready();
    let first = bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(40);
    failed(&mut bench, first, 1, request::Fault::Closed, request::Ran::Unknown);
    bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(40);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn key_is_free_again_after_an_order_that_did_not_run() {
    let mut bench = bench::Bench::ready();
    let first = bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(40);
    for attempt in 1..=3 {
        failed(&mut bench, first, attempt, request::Fault::Connect, request::Ran::No);
    }
    bench.pass(40);
    let second = bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(40);
    started(&mut bench, second, 1);
    ended(&mut bench, second, 1);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn keyed_order_is_refused_as_not_run_while_the_log_is_down() {
    let mut bench = bench::Bench::ready();
    bench.set_log(false);
    bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(4_000);
    bench.set_log(true);
    bench.pass(1_000);
    bench.note("the key is free: the refused order never reached the log");
    bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(40);
    insta::assert_snapshot!(bench.trace());
}
