//! The side for operators over plain HTTP: status codes, bounds, and slow senders.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use galenayard::borders::operators::Timeouts;
use galenayard::document::Environment;

use crate::site::{KEY, Site};

/// A timeout that a test lets run out.
const SHORT: Duration = Duration::from_millis(50);

/// How long a test waits for an answer that does not come.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends bytes and returns the answer's status line and body.
fn exchange(site: &Site, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(site.address).expect("a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    stream.write_all(request).expect("a request sent");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer.as_ref(), ""));
    format!("{} {body}", head.lines().next().unwrap_or("closed without an answer"))
}

fn request(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let mut bytes = announce(line, headers, body.len());
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// A request without the body that it announces.
fn announce(line: &str, headers: &str, body_bytes: usize) -> Vec<u8> {
    format!(
        "{line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {body_bytes}\r\n\
         {headers}\r\n"
    )
    .into_bytes()
}

#[test]
fn answers() {
    let site = Site::new(Environment::Production);
    let key = format!("authorization: Bearer {KEY}\r\n");
    let proposal = format!("{key}x-author: ada\r\nx-proposal-id: {}\r\n", "0".repeat(32));
    let cases = [
        ("no key", request("GET /metrics", "", "")),
        ("wrong key", request("GET /metrics", "authorization: Bearer x\r\n", "")),
        ("other scheme", request("GET /metrics", &format!("authorization: Basic {KEY}\r\n"), "")),
        ("no key for an unknown path", request("GET /nope", "", "")),
        ("metrics", request("GET /metrics", &key, "")),
        ("unknown path", request("GET /nope", &key, "")),
        ("wrong method", request("DELETE /v1/config", &key, "")),
        ("no document", request("GET /v1/config", &key, "")),
        ("bad request id", request("GET /v1/explain/7", &key, "")),
        ("bad level", request("PUT /v1/log-level", &key, "{\"level\": \"loud\"}")),
        ("long level", announce("PUT /v1/log-level", &key, 4_097)),
        ("no headers", request("POST /v1/config", &key, "")),
        ("no base", request("POST /v1/config", &proposal, "")),
        ("bad base", request("POST /v1/config", &format!("{proposal}x-base-version: x\r\n"), "")),
        (
            "long document",
            announce(
                "POST /v1/config",
                &format!("{proposal}x-base-version: 0\r\n"),
                512 * 1024 + 1,
            ),
        ),
        ("accepted", request("POST /v1/config", &format!("{proposal}x-base-version: 0\r\n"), "")),
        ("not HTTP", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec()),
        ("long header", {
            let mut bytes = request("GET /metrics", &format!("a: {}", "a".repeat(20_000)), "");
            bytes.truncate(16 * 1024);
            bytes
        }),
    ];
    let report: String = cases
        .iter()
        .map(|(name, bytes)| format!("== {name}\n{}\n", exchange(&site, bytes).trim_end()))
        .collect();
    insta::assert_snapshot!(report);
    assert!(site.runtime().metrics().num_alive_tasks() < 64);
}

#[test]
fn slow_sender_of_a_body_is_cut_off() {
    let timeouts = Timeouts { headers: READ_TIMEOUT, body: SHORT };
    let site = Site::with_timeouts(Environment::Production, timeouts);
    let key = format!("authorization: Bearer {KEY}\r\n");
    let mut bytes = request("PUT /v1/log-level", &key, "{\"level\": \"info\"}");
    bytes.truncate(bytes.len() - 3);
    insta::assert_snapshot!(exchange(&site, &bytes));
    assert_eq!(site.level(), None);
}

#[test]
fn slow_sender_of_headers_is_cut_off() {
    let timeouts = Timeouts { headers: SHORT, body: SHORT };
    let site = Site::with_timeouts(Environment::Production, timeouts);
    let mut stream = TcpStream::connect(site.address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\n").unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
}
