//! Tests that only a stated end completes a body.

use bytes::Bytes;
use http_body_util::BodyExt as _;

use super::Body;
use super::Chunk;
use crate::router::memory;

fn data() -> Chunk {
    Chunk::Data(Bytes::from_static(b"a"), memory::Memory::new(1_024).hold())
}

fn stream(chunks: Vec<Chunk>) -> Body {
    let (sender, receiver) = tokio::sync::mpsc::channel(chunks.len());
    for chunk in chunks {
        sender.try_send(chunk).expect("the channel has room");
    }
    Body::Stream(receiver)
}

#[tokio::test]
async fn a_stream_whose_sender_is_dropped_is_interrupted() {
    let dropped = stream(vec![data()]);
    assert!(dropped.collect().await.is_err());
    let ended = stream(vec![data(), Chunk::End]);
    assert_eq!(ended.collect().await.expect("the end is stated").to_bytes(), "a");
}
