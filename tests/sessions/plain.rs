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
    let answer = claims::Answer::Complete {
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
    bench.note("the next server is tried immediately");
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
        bench.pass(200);
    }
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn enquiry_is_repeated() {
    let mut bench = bench::Bench::ready();
    bench.note("an open route needs no key");
    let request = bench.call(b"", enquiry("/stock/7"));
    failed(&mut bench, request, 1, request::Fault::FirstByte, request::Ran::Unknown);
    bench.pass(100);
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
    bench.note("a third gets the same answer immediately");
    bench.call(bench::KEY, order(Some("a"), 1));
    bench.note("another body under the same key is refused");
    bench.call(bench::KEY, order(Some("a"), 2));
    bench.note("the same key of another workspace is another key");
    bench.call(b"key-2", order(Some("a"), 1));
    bench.pass(40);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn unknown_outcome_is_answered_to_callers_that_resend() {
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
        bench.pass(200);
    }
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

#[test]
fn key_withdrawn_before_the_claim_is_granted_frees_the_claim() {
    let mut bench = bench::Bench::ready();
    bench.set_log(false);
    bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(40);
    bench.note("all plain servers are leaving");
    let without = bench::DOCUMENT.replace("kind = \"plain\"", "kind = \"plain\"\nleaving = true");
    bench.set_log(true);
    bench.propose(2, 1, &without);
    bench.pass(1_000);
    bench.note("a resend is refused as not run, too, and does not wait for the first");
    bench.call(bench::KEY, order(Some("a"), 1));
    bench.pass(1_000);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn server_that_fails_repeatedly_is_ejected_and_readmitted_slowly() {
    let mut bench = bench::Bench::ready();
    bench.note("s1 fails, s2 answers");
    for _ in 0..16 {
        let request = bench.call(b"", enquiry("/stock/7"));
        for attempt in 1..=3 {
            answer_from(&mut bench, request, attempt, "s1");
        }
    }
    bench.note("after its ejection s1 gets one call at a time");
    bench.pass(1_200);
    for _ in 0..4 {
        bench.call(b"", enquiry("/stock/8"));
    }
    insta::assert_snapshot!(bench.trace());
}

/// The server of an attempt answers, unless it is the one that fails.
fn answer_from(
    bench: &mut bench::Bench,
    request: ids::RequestId,
    attempt: ids::Attempt,
    failing: &str,
) {
    let Some(server) = bench.server_of(request, attempt) else { return };
    if server == failing {
        failed(bench, request, attempt, request::Fault::FirstByte, request::Ran::Unknown);
        return bench.pass(200);
    }
    started(bench, request, attempt);
    ended(bench, request, attempt);
}

#[test]
fn retries_stay_within_their_budget() {
    let mut bench = bench::Bench::ready();
    let mut attempts = 0;
    for _ in 0..60 {
        let request = bench.call(b"", enquiry("/stock/7"));
        for attempt in 1..=3 {
            if bench.server_of(request, attempt).is_some() {
                attempts += 1;
                let ran = request::Ran::Unknown;
                failed(&mut bench, request, attempt, request::Fault::FirstByte, ran);
                bench.pass(200);
            }
        }
    }
    insta::assert_snapshot!(format!("60 calls, {attempts} attempts"));
}

#[test]
fn calls_beyond_the_slots_wait_in_a_bounded_queue() {
    let mut bench = bench::Bench::ready();
    let calls: Vec<_> = (0..42).map(|_| bench.call(bench::KEY, order(None, 1))).collect();
    bench.note("two calls wait for capacity; the first is sent when one ends");
    started(&mut bench, calls[0], 1);
    ended(&mut bench, calls[0], 1);
    bench.note("the other one is refused as not run after its wait");
    bench.pass(10_100);
    let trace = bench.trace().split("# two").nth(1).unwrap_or_default();
    insta::assert_snapshot!(trace);
}

#[test]
fn call_that_finds_the_queue_full_is_refused_as_not_run() {
    let mut bench = bench::Bench::ready();
    for _ in 0..40 + request::constants::MAX_QUEUED_PER_ROUTE {
        bench.call(bench::KEY, order(None, 1));
    }
    bench.note("the queue is full");
    bench.call(bench::KEY, order(None, 1));
    let trace = bench.trace().split("# the queue is full").nth(1).unwrap_or_default();
    insta::assert_snapshot!(trace);
}
