//! Sessions of language requests.

use galenayard::core::ids;
use galenayard::core::request;

use crate::bench;

fn prefilled(bench: &mut bench::Bench, request: ids::RequestId, attempt: ids::Attempt) {
    let usage = bench::usage(1_000, 0);
    bench.request(request::Event::Prefilled { request, attempt, usage });
}

fn started(bench: &mut bench::Bench, request: ids::RequestId, attempt: ids::Attempt) {
    bench.request(request::Event::Started { request, attempt });
}

fn relayed(
    bench: &mut bench::Bench,
    request: ids::RequestId,
    attempt: ids::Attempt,
    relayed_tokens: u32,
) {
    bench.request(request::Event::Progressed { request, attempt, relayed_tokens });
}

fn ended(bench: &mut bench::Bench, request: ids::RequestId, attempt: ids::Attempt) {
    let usage = bench::usage(1_000, 50);
    bench.request(request::Event::Ended { request, attempt, usage, answer: None });
}

fn failed(
    bench: &mut bench::Bench,
    request: ids::RequestId,
    attempt: ids::Attempt,
    fault: request::Fault,
) {
    let failure = bench::failure(fault);
    bench.request(request::Event::Failed { request, attempt, failure });
}

#[test]
fn answered() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(200);
    prefilled(&mut bench, request, 1);
    bench.pass(40);
    started(&mut bench, request, 2);
    bench.pass(2_000);
    ended(&mut bench, request, 2);
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn refused_for_key() {
    let mut bench = bench::Bench::ready();
    bench.complete(b"unknown", 50, true);
    bench.complete(b"", 50, true);
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn refused_for_rate() {
    let mut bench = bench::Bench::ready();
    bench.note("a burst of 5000 tokens holds four requests of 1150");
    for _ in 0..5 {
        bench.complete(bench::KEY, 150, true);
    }
    bench.pass(1_000);
    bench.note("another workspace is not affected");
    bench.complete(b"key-2", 150, true);
    bench.pass(100);
    bench.note("a request above the burst never fits");
    bench.complete(b"key-2", 5_000, true);
    bench.pass(1_000);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn caller_disconnected_while_prefilling() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    bench.request(request::Event::Disconnected { request });
    bench.note("a late answer is ignored");
    prefilled(&mut bench, request, 1);
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn caller_disconnected_before_the_kv_cache_is_imported() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    prefilled(&mut bench, request, 1);
    bench.request(request::Event::Disconnected { request });
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn caller_disconnected_in_mid_stream() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    prefilled(&mut bench, request, 1);
    started(&mut bench, request, 2);
    relayed(&mut bench, request, 2, 16);
    bench.request(request::Event::Disconnected { request });
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn prefill_server_lost() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    failed(&mut bench, request, 1, request::Fault::Closed);
    bench.pass(100);
    prefilled(&mut bench, request, 2);
    started(&mut bench, request, 3);
    ended(&mut bench, request, 3);
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn decode_server_lost_in_mid_stream() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    prefilled(&mut bench, request, 1);
    started(&mut bench, request, 2);
    relayed(&mut bench, request, 2, 20);
    bench.note("the server may still hold the stream: resume over a new connection");
    failed(&mut bench, request, 2, request::Fault::Closed);
    bench.note("the server is lost: run again on another one");
    failed(&mut bench, request, 3, request::Fault::Connect);
    bench.pass(100);
    prefilled(&mut bench, request, 4);
    started(&mut bench, request, 5);
    ended(&mut bench, request, 5);
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn decode_server_lost_and_output_not_repeatable() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, false);
    bench.pass(100);
    prefilled(&mut bench, request, 1);
    started(&mut bench, request, 2);
    relayed(&mut bench, request, 2, 20);
    failed(&mut bench, request, 2, request::Fault::Gap);
    failed(&mut bench, request, 3, request::Fault::UnknownRequest);
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn kv_cache_evicted_on_arrival() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    prefilled(&mut bench, request, 1);
    failed(&mut bench, request, 2, request::Fault::KvGone);
    bench.pass(100);
    prefilled(&mut bench, request, 3);
    started(&mut bench, request, 4);
    ended(&mut bench, request, 4);
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn transfer_stalled() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    prefilled(&mut bench, request, 1);
    bench.pass(700);
    failed(&mut bench, request, 2, request::Fault::FirstByte);
    bench.pass(100);
    prefilled(&mut bench, request, 3);
    started(&mut bench, request, 4);
    ended(&mut bench, request, 4);
    bench.pass(200);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn answers_late_and_crossed() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    failed(&mut bench, request, 1, request::Fault::Crossed);
    bench.pass(100);
    bench.note("the answer of the first attempt comes late and is ignored");
    prefilled(&mut bench, request, 1);
    bench.note("the answer of the second attempt counts");
    prefilled(&mut bench, request, 2);
    started(&mut bench, request, 3);
    relayed(&mut bench, request, 3, 5);
    failed(&mut bench, request, 3, request::Fault::Crossed);
    started(&mut bench, request, 4);
    ended(&mut bench, request, 4);
    bench.note("a second end is ignored");
    ended(&mut bench, request, 4);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn key_withdrawn_while_the_request_waits() {
    let mut bench = bench::Bench::ready();
    bench.note("all reservations of the prefill servers are held");
    let mut requests = Vec::new();
    for _ in 0..4 {
        requests.push(bench.complete(bench::KEY, 50, true));
    }
    bench.pass(100);
    let without_key = bench::DOCUMENT.replacen("[[workspaces.keys]]\nid = \"k1\"\n", "#", 1);
    let without_key = without_key.replacen("#sha256", "# sha256", 1);
    bench.propose(2, 1, &without_key);
    bench.pass(100);
    bench.note("the key is refused immediately");
    bench.complete(bench::KEY, 50, true);
    bench.note("a request that has begun is finished");
    prefilled(&mut bench, requests[0], 1);
    started(&mut bench, requests[0], 2);
    ended(&mut bench, requests[0], 2);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn paused_beyond_the_freshness_of_keys() {
    let mut bench = bench::Bench::ready();
    bench.pause(30_000);
    bench.note("no request is accepted until the log or a peer was reached again");
    bench.complete(bench::KEY, 50, true);
    bench.pass(2_000);
    bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn log_out_for_ten_seconds() {
    let mut bench = bench::Bench::ready();
    bench.set_log(false);
    bench.pass(2_000);
    bench.complete(bench::KEY, 50, true);
    bench.pass(8_000);
    bench.note("an instance alone without log and peers accepts no keys");
    bench.complete(bench::KEY, 50, true);
    bench.set_log(true);
    bench.pass(1_000);
    bench.complete(bench::KEY, 50, true);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn drained() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    bench.apply(galenayard::core::event::Event::Announce);
    bench.pass(100);
    bench.apply(galenayard::core::event::Event::Drain);
    bench.complete(bench::KEY, 50, true);
    prefilled(&mut bench, request, 1);
    started(&mut bench, request, 2);
    ended(&mut bench, request, 2);
    bench.apply(galenayard::core::event::Event::Leave);
    bench.pass(5_000);
    insta::assert_snapshot!(bench.trace());
}

#[test]
fn stream_lost_during_a_pause_is_run_again() {
    let mut bench = bench::Bench::ready();
    let request = bench.complete(bench::KEY, 50, true);
    bench.pass(100);
    prefilled(&mut bench, request, 1);
    started(&mut bench, request, 2);
    relayed(&mut bench, request, 2, 20);
    bench.set_log(false);
    bench.pause(30_000);
    bench.note("the server was told to cancel the request of a lost instance");
    failed(&mut bench, request, 2, request::Fault::Closed);
    failed(&mut bench, request, 3, request::Fault::UnknownRequest);
    bench.pass(2_000);
    bench.note("the request runs again and skips what was relayed");
    bench.set_log(true);
    bench.pass(2_000);
    prefilled(&mut bench, request, 4);
    started(&mut bench, request, 5);
    ended(&mut bench, request, 5);
    insta::assert_snapshot!(bench.trace());
}
