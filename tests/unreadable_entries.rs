//! Lists of outside systems in which some entries cannot be read: the others hold.

use std::net;
use std::time::Duration;

use galenayard::borders::engines::Engines as _;
use galenayard::borders::engines::openai;
use galenayard::borders::http;
use galenayard::borders::platform::Instances as _;
use galenayard::borders::platform::Log as _;
use galenayard::borders::platform::http_instances;
use galenayard::borders::platform::http_log;
use galenayard::core::log;
use standins::answers;

/// The longest that a test waits for an answer.
const LIMIT: Duration = Duration::from_secs(20);

/// A request id as it stands in lists.
const REQUEST: &str = "00000000000000000000000000000001";

/// Starts a server that answers each request with this body; each test makes one call.
async fn server(body: &str) -> answers::Handle {
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes();
    let behaviour = answers::Behaviour { answer, wait: Duration::ZERO, resets: false };
    answers::spawn(behaviour).await.expect("a free port")
}

fn client() -> http::Client {
    http::Client::new(http::Timeouts { connect: LIMIT, idle: LIMIT })
}

fn engines() -> openai::OpenAi {
    let timeouts = openai::Timeouts { prefill: LIMIT, first_token: LIMIT, event_timeout: LIMIT };
    openai::OpenAi::new(client(), timeouts)
}

/// Before the fix no instance was listed.
#[tokio::test]
async fn an_instance_list_with_unreadable_entries_lists_the_others() {
    let server = server(
        r#"{"instances":[{"id":"a","peer_address":"127.0.0.1:1"},{"id":"&x"},null,
            {"id":"b","peer_address":"nowhere"},{"id":"c","peer_address":"127.0.0.1:3"}]}"#,
    )
    .await;
    let list = http_instances::HttpInstances::new(client(), server.address).list().await;
    insta::assert_debug_snapshot!(list.expect("it is a list"));
}

/// Before the fix no record of the page was read, or the unreadable one was left out, and readers
/// waited for it without end.
#[tokio::test]
async fn a_page_of_the_log_with_unreadable_records_has_no_gap() {
    let server = server(
        r#"{"first":3,"next":10,"records":[{"offset":"x","time_ms":1,"body":"YQ=="},
            {"offset":4,"time_ms":2,"body":"Yg=="},{"offset":5,"time_ms":3,"body":"not base64"},
            {"offset":6,"time_ms":4},null,{"offset":8,"time_ms":-1,"body":"YQ=="},
            {"offset":9,"time_ms":5,"body":"Yw=="}]}"#,
    )
    .await;
    let log = http_log::HttpLog::new(client(), server.address);
    let page = log.read(log::Stream::Membership, 1, Duration::ZERO).await;
    insta::assert_debug_snapshot!(page.expect("it is a page"));
}

/// Before the fix no request was listed, so none without a caller was cancelled.
#[tokio::test]
async fn a_list_of_held_requests_with_unreadable_entries_lists_the_others() {
    let server = server(&format!(
        r#"{{"requests":[{{"id":"{REQUEST}","pieces":2,"age_ms":3}},{{"id":7}},null,
            {{"id":"{REQUEST}","pieces":-1,"age_ms":3}},{{"id":"of another system","pieces":1,"age_ms":1}}]}}"#
    ))
    .await;
    let held = engines().list_requests(server.address).await;
    insta::assert_debug_snapshot!(held.expect("it is a list"));
}

/// Before the fix the cache of such an engine stayed unknown.
#[tokio::test]
async fn a_cache_with_unreadable_blocks_and_events_is_followed() {
    let snapshot = server(r#"{"sequence":4,"blocks":["1",2,null,"x","3"]}"#).await;
    let snapshot = engines().read_cache(snapshot.address).await;
    let events = server(
        r#"{"first":5,"next":9,"events":[{"sequence":5,"kind":"stored","blocks":["1"]},
            {"sequence":6,"kind":"pinned","blocks":["1"]},{"sequence":7,"kind":"stored"},
            {"sequence":8,"kind":"evicted","blocks":["3"]}]}"#,
    )
    .await;
    let events = engines().cache_events(events.address, 5).await;
    insta::assert_debug_snapshot!((snapshot.expect("it is read"), events.expect("they are read")));
}

/// Guards against a call that is answered by something else than a list.
#[tokio::test]
async fn what_is_no_list_is_an_error() {
    for body in ["", "{}", r#"{"instances":4}"#, r#"{"instances":[{"id":"#] {
        let server = server(body).await;
        let list = http_instances::HttpInstances::new(client(), server.address).list().await;
        assert!(list.is_err(), "{body}");
    }
    let unused = net::SocketAddr::from(([127, 0, 0, 1], 1));
    assert!(http_instances::HttpInstances::new(client(), unused).list().await.is_err());
}
