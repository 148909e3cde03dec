//! Tests of reading the store's records.

use std::rc;
use std::time::Duration;

use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;
use hyper::http;
use proptest::prelude::*;
use standins::answers;
use tokio::time;

use super::ERA;
use super::Store;
use super::StoreError;
use super::listing;
use super::parse;
use crate::platform::breaker;

/// The time after which a test fails whose listing does not end.
const HANG_GUARD: Duration = Duration::from_secs(10);

fn records(parts: &[&[u8]]) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(12);
    body.put_u64(0);
    for part in parts {
        body.put_u32(part.len() as u32);
        body.put_slice(part);
    }
    body.freeze()
}

#[test]
fn records_are_read_in_order_and_truncated_ones_are_skipped() {
    let body = records(&[b"\x03abcvalue", b"\x03abc", b"\xffshort", b""]);
    let read = parse(body, 5, 0).expect("the frame is whole");
    assert_eq!(read.next, 9);
    assert_eq!(read.records.len(), 2);
    assert_eq!(read.records[0].key, "abc");
    assert_eq!(read.records[0].value.as_deref(), Some(&b"value"[..]));
    assert_eq!((read.records[1].position, &read.records[1].value), (6, &None));
}

#[test]
fn a_truncated_response_is_an_error() {
    let body = records(&[b"\x01kv"]);
    assert!(parse(body.slice(..body.len() - 1), 0, 0).is_err());
    assert!(parse(body.slice(..15), 0, 0).is_err());
}

/// Before the fix the whole read failed, again and again.
#[test]
fn the_records_before_a_truncated_one_are_read() {
    let body = records(&[b"\x01kv", b"", b"\x01kw"]);
    let read = parse(body.slice(..body.len() - 1), 5, 0).expect("two records are whole");
    assert_eq!((read.records.len(), read.next), (1, 7));
    let read = parse(body.slice(..body.len() - 5), 5, 0).expect("two records are whole");
    assert_eq!((read.records.len(), read.next), (1, 7));
    let first = records(&[b"\x01kv"]);
    for missing in 1..=6 {
        let read = parse(first.slice(..first.len() - missing), 5, 0);
        assert!(matches!(read, Err(StoreError::Truncated { offset: 5 })), "{missing}: {read:?}");
    }
}

#[test]
fn the_era_of_the_store_only_rises() {
    let mut store = Store::new(([127, 0, 0, 1], 1).into(), breaker::Breaker::new());
    let mut check = |value: &'static str| {
        let mut headers = http::HeaderMap::new();
        headers.insert(ERA, http::HeaderValue::from_static(value));
        let is_accepted = store.check_era(&headers).is_ok();
        (is_accepted, store.era)
    };
    assert_eq!(check("3"), (true, 3));
    assert_eq!(check("3"), (true, 3));
    assert_eq!(check("7"), (true, 7), "it may rise by more than one between two calls");
    assert_eq!(check("6"), (false, 7), "a response from before the restore");
    assert_eq!(check("soon"), (true, 7), "an invalid one says nothing");
    assert_eq!(check("-1"), (true, 7));
    assert!(store.check_era(&http::HeaderMap::new()).is_ok());
}

fn run<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

async fn start_store() -> (rc::Rc<soak::store::Store>, Store) {
    let any = ([127, 0, 0, 1], 0).into();
    let (stand_in, address) = soak::store::Store::start(any).await.expect("a port is free");
    (stand_in, Store::new(address, breaker::Breaker::new()))
}

const TOPIC: &str = "keyed.topic";

/// Before the fix a listing began anew after `&`, `#` and `+`, without end, could not go on after a
/// blank and ended early after `%7E`.
#[test]
fn a_listing_goes_on_after_a_key_of_any_characters() {
    let odd =
        ["&x", "&after=z", "#x", "+x", "a b", " ", "%", "%7Ex", "%41", "?", "\"x\"", "\u{e9}"];
    let keys = [&odd[..], &["server-0", "server-0&b=1", "server-1"]].concat();
    for page_records in [1, 2, 5] {
        run(async {
            let (stand_in, mut store) = start_store().await;
            stand_in.set_page_records(page_records);
            keys.iter().for_each(|key| stand_in.put(TOPIC, key, b"value"));
            let listing = time::timeout(HANG_GUARD, store.newest(TOPIC)).await;
            let listing = listing.expect("it ends").expect("it is read");
            let mut listed: Vec<_> = listing.records.into_iter().map(|record| record.key).collect();
            listed.sort_unstable();
            let mut expected: Vec<_> = keys.iter().map(|key| Bytes::from(*key)).collect();
            expected.sort_unstable();
            assert_eq!(listed, expected, "pages of {page_records}");
        });
    }
}

/// Before the fix the whole page was unreadable, so no server was known.
#[test]
fn an_item_of_a_listing_that_cannot_be_decoded_does_not_hide_the_others() {
    let odd: [&[u8]; 9] = [
        br#"{"Key":7,"Value":"dg==","Offset":1}"#,
        br#"{"Key":"b","Value":"not base64","Offset":1}"#,
        br#"{"Key":"b","Value":null,"Offset":1}"#,
        br#"{"Key":"b","Value":"dg==","Offset":-1}"#,
        br#"{"Key":"b","Value":"dg==","Offset":1e300}"#,
        br#"{"Key":"\ud800","Value":"dg==","Offset":1}"#,
        b"{\"Key\":\"\xff\",\"Value\":7,\"Offset\":1}",
        b"[]",
        b"null",
    ];
    for item in odd {
        run(async {
            let page = [
                br#"{"items":[{"Key":"a","Value":"dg==","Offset":0},"#,
                item,
                br#",{"Key":"c","Value":"dg==","Offset":2}],"HasMore":false,"EndOffset":3}"#,
            ];
            let page = page.concat();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", page.len());
            let answer = [head.as_bytes(), &page].concat();
            let behaviour = answers::Behaviour { answer, wait: Duration::ZERO, resets: false };
            let stand_in = answers::spawn(behaviour).await.expect("a port is free");
            let mut store = Store::new(stand_in.address, breaker::Breaker::new());
            let listing = store.newest(TOPIC).await;
            let shown = String::from_utf8_lossy(item);
            let records = listing.unwrap_or_else(|failure| panic!("{shown}: {failure}")).records;
            let keys: Vec<_> = records.into_iter().map(|record| record.key).collect();
            assert_eq!(keys, ["a", "c"], "{shown}");
        });
    }
}

#[test]
fn a_listing_goes_on_after_the_key_of_an_item_that_cannot_be_decoded() {
    let page = br#"{"items":[{"Key":"a&","Value":7}],"HasMore":true,"EndOffset":3}"#;
    let mut listing = listing::Listing::default();
    assert_eq!(listing.push(page, 0).expect("the page is read"), listing::Progress::Continues);
    assert_eq!(listing.next_path(TOPIC), "/-/log-newest?Topic=keyed.topic&part=0&after=a%26");
}

const NOT_UTF_8: &[u8] = b"server-\xff";

/// Before the fix such a listing began the same page anew without end.
#[test]
fn a_listing_that_the_store_does_not_continue_is_completed_from_the_stored_records() {
    run(async {
        let (stand_in, mut store) = start_store().await;
        stand_in.set_page_records(1);
        stand_in.put(TOPIC, NOT_UTF_8, b"foreign");
        stand_in.put(TOPIC, "server-0", b"before");
        stand_in.put(TOPIC, "server-1", b"value");
        stand_in.put(TOPIC, "server-\u{10ffff}", b"value");
        stand_in.put(TOPIC, "server-0", b"after");
        stand_in.put(TOPIC, "server-1", b"");
        stand_in.put(TOPIC, b"server-\xff-last", b"value");
        let listing = time::timeout(HANG_GUARD, store.newest(TOPIC)).await;
        let listing = listing.expect("it ends").expect("it is read");
        insta::assert_debug_snapshot!(listing);
    });
}

#[test]
fn a_listing_whose_records_have_expired_says_that_keys_may_be_missing() {
    run(async {
        let (stand_in, mut store) = start_store().await;
        stand_in.set_page_records(1);
        ["server-0", "server-1"].iter().for_each(|key| stand_in.put(TOPIC, key, b"value"));
        stand_in.put(TOPIC, NOT_UTF_8, b"foreign");
        stand_in.put(TOPIC, b"server-\xff-last", b"value");
        stand_in.expire(TOPIC);
        stand_in.put(TOPIC, "server-2", b"value");
        let listing = time::timeout(HANG_GUARD, store.newest(TOPIC)).await;
        let listing = listing.expect("it ends").expect("it is read");
        insta::assert_debug_snapshot!(listing);
    });
}

proptest! {
    #[test]
    fn no_input_makes_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Only a panic fails the test.
        let _ = parse(Bytes::from(bytes), 0, 0);
    }
}
