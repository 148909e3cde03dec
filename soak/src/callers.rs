//! Callers: they ask where to connect, keep connections, and come back as they are told.

use std::cell;
use std::collections::BTreeMap;
use std::hash;
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

use crate::backend;
use crate::judge;
use crate::streams;

/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// The pause between two requests of a caller.
pub const PAUSE: time::Duration = time::Duration::from_millis(60);

/// Requests on one connection.
const REQUESTS_ON_A_CONNECTION: u32 = 8;

/// How often a caller resumes a stream.
const STREAM_TRIES: u32 = 4;

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
    /// Whether a part of its prompt crashes servers.
    pub crashes: bool,
}

/// A stream that was broken off and can be resumed.
#[derive(Debug, Clone)]
struct BrokenStream {
    kind: Kind,
    /// The attempt that brought its first event.
    first_attempt: String,
    /// The whole events so far, and their number.
    text: String,
    events: u64,
    /// How often it may still be resumed.
    tries: u32,
}

/// The end of a request.
struct Ended {
    /// Whether its connection may be used again.
    is_reusable: bool,
    /// Its stream, if it was broken off and can be resumed.
    broken: Option<BrokenStream>,
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
    /// Sends requests for ever, with a pause after each.
    pub async fn run(self, pause: time::Duration) {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(self.seed);
        let mut sequence = 0_u64;
        let mut broken: Option<BrokenStream> = None;
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
                let drawn = self.kinds[rng.random_range(0..self.kinds.len())];
                let kind = broken.as_ref().map_or(drawn, |broken| broken.kind);
                let attempt = format!("{:x}-{sequence}", self.seed);
                let ended = self.send(&mut sender, instance, kind, &attempt, broken.take()).await;
                broken = ended.broken;
                if !ended.is_reusable {
                    break;
                }
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Sends one request, or resumes a stream that was broken off.
    async fn send(
        &self,
        sender: &mut http1::SendRequest<Full<Bytes>>,
        instance: net::SocketAddr,
        kind: Kind,
        attempt: &str,
        resumed: Option<BrokenStream>,
    ) -> Ended {
        let unsent = Ended { is_reusable: false, broken: None };
        let resumed = resumed.map(|broken| BrokenStream { tries: broken.tries - 1, ..broken });
        let Some(request) = request(kind, attempt, resumed.as_ref()) else { return unsent };
        if sender.ready().await.is_err() {
            return Ended { broken: resumed.filter(|broken| broken.tries > 0), ..unsent };
        }
        self.judge.note_sent(
            attempt,
            instance,
            judge::Sent {
                is_idempotent: kind.is_idempotent,
                path: kind.path.to_string(),
                workspace: kind.workspace.to_string(),
                is_resumed: resumed.is_some(),
            },
        );
        let sent = time::Instant::now();
        let mut text = resumed.as_ref().map_or(String::new(), |broken| broken.text.clone());
        let exchange = tokio::time::timeout(ANSWER_TIMEOUT, exchange(sender, request, &mut text));
        let exchanged = exchange.await;
        if judge::is_stream(kind.path) {
            self.judge.note_events(attempt, &text);
        }
        match exchanged {
            Ok(Ok(head)) => {
                let status = head.status.as_u16();
                self.judge.note_got(attempt, judge::Got::Answer { status, body: text });
                let is_reusable =
                    head.headers.get("connection").is_none_or(|value| value != "close");
                let is_refused = |broken: &BrokenStream| status == 503 && broken.tries > 0;
                Ended { is_reusable, broken: resumed.filter(is_refused) }
            }
            Ok(Err(_)) => {
                let is_planned = !self.disturbances.is_disturbed(instance, sent);
                self.judge.note_got(attempt, judge::Got::Cut { is_planned });
                Ended { broken: broken_stream(kind, attempt, resumed, &text), ..unsent }
            }
            // The caller has left by itself.
            Err(_) => unsent,
        }
    }
}

fn request(
    kind: Kind,
    attempt: &str,
    resumed: Option<&BrokenStream>,
) -> Option<hyper::Request<Full<Bytes>>> {
    let mut request = hyper::Request::post(kind.path)
        .header("host", "soak.example")
        .header("attempt-id", attempt)
        .header("deadline-ms", ANSWER_TIMEOUT.as_millis().to_string())
        .header("authorization", format!("Bearer {}", kind.key));
    if judge::is_stream(kind.path) {
        request = request.header("prefix-hash", parts(kind, attempt));
    }
    if let Some(broken) = resumed {
        request = request
            .header("last-event-id", broken.events.to_string())
            .header("resumes", &broken.first_attempt);
    }
    request.body(Full::new(Bytes::from_static(b"order"))).ok()
}

/// Returns the parts of a prompt: the first one of all, one of a few, perhaps one that crashes
/// servers, and one of its own.
fn parts(kind: Kind, attempt: &str) -> String {
    let mut hasher = hash::DefaultHasher::new();
    hash::Hash::hash(attempt, &mut hasher);
    let own = hash::Hasher::finish(&hasher);
    let crashing = match kind.crashes {
        true => format!("{}:40,", backend::CRASHING_PART),
        false => String::new(),
    };
    format!("f1:200,{:x}:50,{crashing}{own:x}:100", 16 + own % 8)
}

/// Sends a request and appends the body of a successful answer to `text` as it arrives.
async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: hyper::Request<Full<Bytes>>,
    text: &mut String,
) -> Result<hyper::http::response::Parts, hyper::Error> {
    let (head, mut body) = sender.send_request(request).await?.into_parts();
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        if let Some(data) = frame.data_ref().filter(|_| head.status.is_success()) {
            text.push_str(&String::from_utf8_lossy(data));
        }
    }
    Ok(head)
}

/// Returns the stream of a cut answer if it can be resumed.
fn broken_stream(
    kind: Kind,
    attempt: &str,
    resumed: Option<BrokenStream>,
    text: &str,
) -> Option<BrokenStream> {
    let (whole, events) = streams::whole_events(text);
    if !kind.is_idempotent || !judge::is_stream(kind.path) || events == streams::EVENTS {
        return None;
    }
    let (first_attempt, tries) = resumed
        .map_or((attempt.to_string(), STREAM_TRIES), |broken| (broken.first_attempt, broken.tries));
    let broken = BrokenStream { kind, first_attempt, text: whole.to_string(), events, tries };
    (events > 0 && tries > 0).then_some(broken)
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
