//! A server whose answers are given as bytes: they may be no HTTP, break off, or contain what no sound
//! server writes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Status lines without a valid status.
const STATUS_LINES: [&str; 11] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1",
    "HTTP/9.1 200 OK",
];

/// Lines of a head that are no fields.
const FIELDS: [&str; 12] = [
    "X Y: 1",
    " X: 1",
    "X : 1",
    "X\t: 1",
    "X\u{1}Y: 1",
    "X\u{7f}: 1",
    "X\0: 1",
    "X\u{e9}: 1",
    ": 1",
    "X",
    "X: a\0b",
    "Content Length: 2",
];

/// What a server does once it has read the head of a request.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// The bytes that it sends.
    pub answer: Vec<u8>,
    /// How long it waits after that; it reads no more of the request meanwhile.
    pub wait: Duration,
    /// Whether it resets its connection after that, in place of closing it.
    pub resets: bool,
}

/// A server that runs until the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Its address.
    pub address: SocketAddr,
    /// The heads of the requests that it has received.
    pub requests: mpsc::UnboundedReceiver<String>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Answers whose status line or one field is invalid, each with a name. `fields` are the lines of a
/// valid head, each with its end.
pub fn invalid(fields: &str, body: &str) -> Vec<(String, Vec<u8>)> {
    let length = body.len();
    let end = format!("{fields}Content-Length: {length}\r\n\r\n{body}");
    let statuses = STATUS_LINES.map(|line| (line, format!("{line}\r\n{end}")));
    let heads = FIELDS.map(|field| (field, format!("HTTP/1.1 200 OK\r\n{field}\r\n{end}")));
    let answers = statuses.into_iter().chain(heads);
    answers.map(|(name, answer)| (name.to_string(), answer.into_bytes())).collect()
}

/// Starts a server that does the same with each request.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn spawn(behaviour: Behaviour) -> io::Result<Handle> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let behaviour = Arc::new(behaviour);
    let (received, requests) = mpsc::unbounded_channel();
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (behaviour, received) = (Arc::clone(&behaviour), received.clone());
            // The other side may have closed the connection.
            tokio::spawn(async move { drop(behaviour.serve(stream, received).await) });
        }
    });
    Ok(Handle { address, requests, task })
}

impl Behaviour {
    async fn serve(
        &self,
        mut stream: TcpStream,
        received: mpsc::UnboundedSender<String>,
    ) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        // The test may have ended.
        drop(received.send(String::from_utf8_lossy(&head).into_owned()));
        stream.write_all(&self.answer).await?;
        tokio::time::sleep(self.wait).await;
        if self.resets {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            return Ok(());
        }
        stream.shutdown().await
    }
}
