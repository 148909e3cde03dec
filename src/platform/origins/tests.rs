//! Tests that origins are read from a store whose records expire.

use std::net;
use std::time;

use bytes::BufMut as _;
use bytes::BytesMut;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::*;
use crate::platform::breaker;

fn origin(stream: u64) -> streams::Origin {
    streams::Origin { stream, service: "llm".into(), software_version: "v1".into() }
}

/// A response with records from some offset on.
fn records(records: &[Vec<u8>]) -> Vec<u8> {
    response("200 OK", &records_body(records))
}

/// A response with records from some offset on, of which the last one is truncated.
fn truncated_records(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records_body(records);
    response("200 OK", &body[..body.len() - 1])
}

fn records_body(records: &[Vec<u8>]) -> BytesMut {
    let mut body = BytesMut::new();
    body.put_u64(0);
    body.put_u64(0);
    for record in records {
        body.put_u32(1 + record.len() as u32);
        body.put_u8(0);
        body.put_slice(record);
    }
    body
}

fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Starts a store that gives these responses; returns its address and the offsets that are read.
async fn store(responses: Vec<Vec<u8>>) -> (net::SocketAddr, tokio::task::JoinHandle<Vec<String>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let serving = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut offsets = Vec::new();
        for response in responses {
            let mut bytes = [0; 4_096];
            let length = stream.read(&mut bytes).await.expect("a request arrives");
            let request = String::from_utf8_lossy(&bytes[..length]).into_owned();
            let offset = request.split("Source=").nth(1).and_then(|rest| rest.split('&').next());
            offsets.push(offset.unwrap_or_default().to_string());
            stream.write_all(&response).await.expect("the response is sent");
        }
        offsets
    });
    (address, serving)
}

fn record(streams: &[u64]) -> Vec<u8> {
    let origins: Vec<_> = streams.iter().map(|stream| origin(*stream)).collect();
    rmp_serde::to_vec(&origins).expect("it is encoded")
}

/// Reads all origins from a store that gives these responses; returns them and the offsets that were
/// read.
fn read_all(responses: Vec<Vec<u8>>) -> (Vec<streams::Origin>, Vec<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let reading = async {
        let (address, serving) = store(responses).await;
        let mut reader = Reader {
            store: store::Store::new(address, breaker::Breaker::new()),
            next: 0,
            era: None,
        };
        let reading = tokio::time::timeout(time::Duration::from_secs(30), reader.read());
        let read = reading.await.expect("the store answers").expect("the origins are read");
        (read, serving.await.expect("the store has answered"))
    };
    tokio::task::LocalSet::new().block_on(&runtime.expect("the runtime starts"), reading)
}

#[test]
fn origins_are_read_from_the_oldest_record_that_has_not_expired() {
    let (read, offsets) = read_all(vec![
        response("410 Gone", br#"{"FirstOffset":7}"#),
        records(&[record(&[1, 2]), b"forged".to_vec(), record(&[3])]),
        records(&[]),
    ]);
    assert_eq!(read, [origin(1), origin(2), origin(3)]);
    assert_eq!(offsets, ["0", "7", "10"]);
}

/// Before the fix no origin was read any more, so streams of unknown origin were refused.
#[test]
fn origins_behind_a_truncated_record_are_read() {
    let (read, offsets) = read_all(vec![
        truncated_records(&[record(&[1]), record(&[2])]),
        truncated_records(&[record(&[2])]),
        records(&[record(&[3])]),
        records(&[]),
    ]);
    assert_eq!(read, [origin(1), origin(3)]);
    assert_eq!(offsets, ["0", "1", "2", "3"]);
}
