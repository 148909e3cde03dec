//! Tests of what servers receive of the heads of requests: never the key of a caller.

use super::COMPLETE_RESPONSE;
use super::KEY;
use super::request;
use super::run;
use super::run_request_with;

const FAILED: &[u8] =
    b"HTTP/1.1 500 Error\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nbad";
const BROKEN_OFF: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n\
    Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndat";
const REMAINDER: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: t\r\n\
    Content-Type: text/event-stream\r\n\r\nid: 2\ndata: b\n\n";

/// Before the fix servers of routes without keys received those that callers sent all the same.
#[test]
fn no_server_receives_the_key_of_a_caller_on_any_route() {
    let spellings = [
        format!("Authorization: Bearer {KEY}"),
        format!("authorization: bearer {KEY}"),
        format!("AUTHORIZATION:   Bearer   {KEY}"),
        format!("Authorization: Bearer {KEY}\r\nAuthorization: Basic {KEY}"),
        format!("Proxy-Authorization: Bearer {KEY}\r\nAuthorization: Bearer {KEY}"),
        format!("Connection: authorization\r\nAuthorization: Bearer {KEY}"),
    ];
    let own = format!("Authorization: Bearer {KEY}");
    // Each route sends the request twice: again after a failure, or on from the last event.
    let routes = [
        ("query", [FAILED, COMPLETE_RESPONSE]),
        ("open-query", [FAILED, COMPLETE_RESPONSE]),
        ("resume", [BROKEN_OFF, REMAINDER]),
        ("open-resume", [BROKEN_OFF, REMAINDER]),
    ];
    for spelling in &spellings {
        for (route, responses) in routes {
            let request = request(route).replace(&own, spelling);
            run(async move {
                let (got, requests) = run_request_with(&request, &responses).await;
                assert_eq!(requests.len(), 2, "{request}: {got}");
                for received in requests {
                    assert!(!received.contains(KEY), "{request}: {received}");
                }
            });
        }
    }
}

#[test]
fn no_server_receives_a_key_in_a_trailer() {
    let length = "Content-Length: 2\r\n\r\nhi";
    let trailer = format!(
        "Trailer: Authorization\r\nTransfer-Encoding: chunked\r\n\r\n\
         2\r\nhi\r\n0\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    let request = request("open-query").replace(length, &trailer);
    run(async move {
        let (_, requests) = run_request_with(&request, &[COMPLETE_RESPONSE]).await;
        assert_eq!(requests.len(), 1);
        assert!(!requests[0].contains(KEY), "{}", requests[0]);
    });
}

/// Shows which headers of a caller are passed on, and which are set, on a route without keys.
#[test]
fn headers_of_a_request_on_an_open_route() {
    run(async {
        let request = request("open-query");
        let (_, requests) = run_request_with(&request, &[COMPLETE_RESPONSE]).await;
        let received = requests[0].replace("server-1", "server-0");
        // The remaining time until the deadline depends on the machine's speed.
        let lines = received.lines().filter(|line| !line.starts_with("deadline-ms"));
        insta::assert_snapshot!("open_route", lines.collect::<Vec<_>>().join("\n"));
    });
}
