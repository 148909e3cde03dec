//! Callers: they ask where to connect, keep connections, and come back as they are told.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::judge;

/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// The pause between two requests of a caller.
const PAUSE: time::Duration = time::Duration::from_millis(60);

/// Requests on one connection.
const REQUESTS_ON_A_CONNECTION: u32 = 8;

/// Which instances have met more than planned work lately.
#[derive(Debug, Default)]
pub struct Disturbances(cell::RefCell<BTreeMap<net::SocketAddr, time::Instant>>);

impl Disturbances {
    /// Notes unplanned trouble at an instance until a moment.
    pub fn note(&self, instance: net::SocketAddr, until: time::Instant) {
        let mut known = self.0.borrow_mut();
        let end = known.entry(instance).or_insert(until);
        *end = (*end).max(until);
    }

    fn is_disturbed(&self, instance: net::SocketAddr, since: time::Instant) -> bool {
        self.0.borrow().get(&instance).is_some_and(|until| *until >= since)
    }
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// The path.
    pub path: &'static str,
    /// The key.
    pub key: &'static str,
    /// The workspace of the key.
    pub workspace: &'static str,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// A caller that sends until it is dropped.
pub struct Caller {
    /// Draws its choices.
    pub seed: u64,
    /// What it sends.
    pub kinds: &'static [Kind],
    /// Where it asks for addresses.
    pub directories: Vec<net::SocketAddr>,
    /// Collects what it sees.
    pub judge: rc::Rc<judge::Judge>,
    /// Excuses cuts.
    pub disturbances: rc::Rc<Disturbances>,
}

impl Caller {
    /// Sends requests for ever.
    pub async fn run(self) {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(self.seed);
        let mut sequence = 0_u64;
        loop {
            let index = rng.random_range(0..self.directories.len());
            let Some(addresses) = addresses(self.directories[index]).await else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            if addresses.is_empty() {
                continue;
            }
            let instance = addresses[rng.random_range(0..addresses.len())];
            let Some(mut sender) = connect(instance).await else { continue };
            for _ in 0..REQUESTS_ON_A_CONNECTION {
                sequence += 1;
                let kind = self.kinds[rng.random_range(0..self.kinds.len())];
                let attempt = format!("{:x}-{sequence}", self.seed);
                if !self.send(&mut sender, instance, kind, &attempt).await {
                    break;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Sends one request; returns whether the connection may be used again.
    async fn send(
        &self,
        sender: &mut http1::SendRequest<Full<Bytes>>,
        instance: net::SocketAddr,
        kind: Kind,
        attempt: &str,
    ) -> bool {
        let request = hyper::Request::post(kind.path)
            .header("host", "soak.example")
            .header("attempt-id", attempt)
            .header("deadline-ms", ANSWER_TIMEOUT.as_millis().to_string())
            .header("authorization", format!("Bearer {}", kind.key))
            .body(Full::new(Bytes::from_static(b"order")));
        let Ok(request) = request else { return false };
        if sender.ready().await.is_err() {
            return false;
        }
        self.judge.note_sent(
            attempt,
            judge::Sent {
                is_idempotent: kind.is_idempotent,
                path: kind.path.to_string(),
                workspace: kind.workspace.to_string(),
            },
        );
        let sent = time::Instant::now();
        let exchange = async {
            let (head, body) = sender.send_request(request).await?.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>((head, body))
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok((head, body))) => {
                let status = head.status.as_u16();
                let body = String::from_utf8_lossy(&body).into_owned();
                self.judge.note_got(attempt, judge::Got::Answer { status, body });
                head.headers.get("connection").is_none_or(|value| value != "close")
            }
            Ok(Err(_)) => {
                let is_planned = !self.disturbances.is_disturbed(instance, sent);
                self.judge.note_got(attempt, judge::Got::Cut { is_planned });
                false
            }
            // The caller has left by itself.
            Err(_) => false,
        }
    }
}

async fn connect(address: net::SocketAddr) -> Option<http1::SendRequest<Full<Bytes>>> {
    let connecting = tokio::net::TcpStream::connect(address);
    let stream = tokio::time::timeout(time::Duration::from_secs(1), connecting).await.ok()?.ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        // The request that uses the connection reports its failure.
        let _ = connection.await;
    });
    Some(sender)
}

async fn addresses(directory: net::SocketAddr) -> Option<Vec<net::SocketAddr>> {
    let mut sender = connect(directory).await?;
    let request = hyper::Request::get("/-/resolve?Name=soak.example&Region=r&Zone=z")
        .header("host", "directory")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let answer = tokio::time::timeout(time::Duration::from_secs(1), sender.send_request(request));
    let body = answer.await.ok()?.ok()?.into_body().collect().await.ok()?.to_bytes();
    let read: serde_json::Value = serde_json::from_slice(&body).ok()?;
    let listed = read.get("Addresses")?.as_array()?;
    Some(listed.iter().filter_map(|address| address.as_str()?.parse().ok()).collect())
}
