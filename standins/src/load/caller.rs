//! Callers: they find instances, send requests and check the answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use super::sample::{Kind, Outcome, Sample};
use super::workload;
use crate::{engine, http};

/// Time after which a caller gives a request up.
const GIVE_UP: Duration = Duration::from_secs(120);

/// Time after which a pooled connection is closed.
const IDLE: Duration = Duration::from_secs(10);

/// Longest wait for the list of instances.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(1);

/// Instances that a caller tries before it gives up.
const CONNECT_ATTEMPTS: usize = 4;

/// Answer of `GET /v1/instances`.
#[derive(Clone, Debug, Default, Deserialize)]
struct Listing {
    instances: Vec<Entry>,
    ttl_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Entry {
    address: SocketAddr,
    #[serde(default = "default_weight")]
    weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// All callers of a run.
pub struct Callers {
    seeds: Vec<SocketAddr>,
    keys: Vec<String>,
    model: String,
    order_path: String,
    enquiry_path: String,
    latency: Duration,
    started: Instant,
    client: http::Client,
    known: Mutex<(Listing, Instant)>,
    random: Mutex<ChaCha12Rng>,
}

impl Callers {
    /// Makes the callers, which know some instances and their workspaces' keys.
    pub fn new(
        workload: &workload::Workload,
        seeds: Vec<SocketAddr>,
        keys: Vec<String>,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        Self {
            seeds,
            keys,
            model: workload.language.model.clone(),
            order_path: workload.plain.order_path.clone(),
            enquiry_path: workload.plain.enquiry_path.clone(),
            latency: Duration::from_secs_f64(workload.client_latency_ms / 1_000.0),
            started: now,
            client: http::client(IDLE),
            known: Mutex::new((Listing::default(), now)),
            random: Mutex::new(ChaCha12Rng::seed_from_u64(!seed)),
        }
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Sends the planned requests when they are due and returns what was seen of them.
    pub async fn run(self: &Arc<Self>, plan: Vec<workload::Planned>) -> Vec<Sample> {
        let mut tasks = Vec::with_capacity(plan.len());
        for planned in plan {
            time::sleep_until(self.started + planned.at).await;
            let callers = Arc::clone(self);
            tasks.push(tokio::spawn(async move { callers.send(planned).await }));
        }
        let mut samples = Vec::with_capacity(tasks.len());
        for task in tasks {
            samples.extend(task.await.ok());
        }
        samples
    }

    async fn send(&self, planned: workload::Planned) -> Sample {
        let mut sample = self.blank(&planned);
        time::sleep(self.latency).await;
        let limit = match &planned.work {
            workload::Work::Language { cancel_after: Some(after), .. } => *after,
            _ => GIVE_UP,
        };
        let done = time::timeout(limit, self.attempt(&planned, &mut sample)).await;
        if done.is_err() {
            let gave_up = limit == GIVE_UP;
            sample.outcome = if gave_up { Outcome::Missing } else { Outcome::Cancelled };
        }
        self.retry_keyed(&planned, &mut sample).await;
        let shift = self.latency;
        sample.first = sample.first.map(|at| at + shift);
        sample.last = sample.last.map(|at| at + shift);
        sample.ended = self.elapsed() + shift;
        sample
    }

    /// Sends an order with an idempotency key once more if its outcome is unclear.
    async fn retry_keyed(&self, planned: &workload::Planned, sample: &mut Sample) {
        let first = sample.outcome;
        let is_keyed = matches!(planned.work, workload::Work::Order { keyed: true });
        if !is_keyed || !matches!(first, Outcome::Missing | Outcome::Unknown) {
            return;
        }
        let _timeout = time::timeout(GIVE_UP, self.attempt(planned, sample)).await;
        if !matches!(sample.outcome, Outcome::Answered | Outcome::Crossed) {
            sample.outcome = first;
        }
    }

    fn blank(&self, planned: &workload::Planned) -> Sample {
        let (kind, id, prompt_tokens, max_tokens) = match &planned.work {
            workload::Work::Language { prompt, max_tokens, .. } => {
                let digest = engine::output::digest(prompt).to_string();
                (Kind::Language, digest, prompt.len().div_ceil(4), *max_tokens)
            }
            workload::Work::Order { .. } => (Kind::Order, format!("o{}", planned.number), 0, 0),
            workload::Work::Enquiry => (Kind::Enquiry, format!("e{}", planned.number), 0, 0),
        };
        Sample {
            workspace: planned.workspace,
            kind,
            id,
            request_id: String::new(),
            target: None,
            outcome: Outcome::Missing,
            status: 0,
            reason: String::new(),
            sent: self.elapsed(),
            first: None,
            last: None,
            ended: Duration::ZERO,
            prompt_tokens: u64::try_from(prompt_tokens).unwrap_or(0),
            max_tokens: u64::try_from(max_tokens).unwrap_or(0),
            tokens: 0,
        }
    }

    async fn attempt(&self, planned: &workload::Planned, sample: &mut Sample) {
        let Some(response) = self.connect(planned, sample).await else {
            sample.outcome = Outcome::Missing;
            return;
        };
        let request_id = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        sample.request_id = request_id.unwrap_or_default().to_owned();
        sample.status = response.status().as_u16();
        if response.status() != StatusCode::OK {
            return self.read_refusal(response, sample).await;
        }
        match &planned.work {
            workload::Work::Language { prompt, max_tokens, .. } => {
                let expected = engine::output::answer(prompt, *max_tokens, true);
                self.read_stream(response, &expected, sample).await;
            }
            _ => self.read_plain(response, sample).await,
        }
    }

    /// Sends a request to an instance; another one is asked while none accepts the connection.
    async fn connect(
        &self,
        planned: &workload::Planned,
        sample: &mut Sample,
    ) -> Option<Response<Incoming>> {
        for _ in 0..CONNECT_ATTEMPTS {
            let target = self.target().await?;
            sample.target = Some(target);
            let request = self.request(planned, &sample.id, target)?;
            match self.client.request(request).await {
                Ok(response) => return Some(response),
                Err(error) if error.is_connect() => self.forget(target),
                Err(_) => return None,
            }
        }
        None
    }

    fn request(
        &self,
        planned: &workload::Planned,
        id: &str,
        target: SocketAddr,
    ) -> Option<Request<Full<Bytes>>> {
        let (path, body) = match &planned.work {
            workload::Work::Language { prompt, max_tokens, .. } => {
                let body = json!({"model": self.model, "prompt": prompt, "max_tokens": max_tokens,
                    "stream": true, "temperature": 0, "seed": 1});
                ("/v1/completions", body.to_string())
            }
            workload::Work::Order { .. } => {
                (self.order_path.as_str(), json!({"id": id}).to_string())
            }
            workload::Work::Enquiry => (self.enquiry_path.as_str(), String::new()),
        };
        let is_read = matches!(planned.work, workload::Work::Enquiry);
        let mut request = Request::builder()
            .method(if is_read { "GET" } else { "POST" })
            .uri(format!("http://{target}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.keys[planned.workspace]));
        if matches!(planned.work, workload::Work::Order { keyed: true }) {
            request = request.header("idempotency-key", id);
        }
        request.body(Full::new(Bytes::from(body))).ok()
    }

    async fn read_refusal(&self, response: Response<Incoming>, sample: &mut Sample) {
        let body = response.into_body().collect().await.map(http_body_util::Collected::to_bytes);
        let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null);
        let error = &body["error"];
        sample.reason = error["type"].as_str().unwrap_or("unnamed").to_owned();
        let not_run = error["ran"] == "no";
        sample.outcome = if not_run { Outcome::RefusedNotRun } else { Outcome::Unknown };
    }

    async fn read_stream(
        &self,
        mut response: Response<Incoming>,
        expected: &str,
        sample: &mut Sample,
    ) {
        let mut stream = StreamText::default();
        while let Some(Ok(frame)) = response.body_mut().frame().await {
            let Ok(data) = frame.into_data() else { continue };
            let tokens = stream.add(&data);
            if tokens > 0 {
                let now = self.elapsed();
                sample.first.get_or_insert(now);
                sample.last = Some(now);
                sample.tokens += tokens;
            }
        }
        sample.outcome = stream.outcome(expected);
        sample.reason = stream.error;
    }

    async fn read_plain(&self, response: Response<Incoming>, sample: &mut Sample) {
        let Ok(body) = response.into_body().collect().await else {
            sample.outcome = Outcome::Missing;
            return;
        };
        let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
        let is_own = match sample.kind {
            Kind::Enquiry => body["path"] == self.enquiry_path.as_str(),
            _ => body["id"] == sample.id.as_str(),
        };
        sample.outcome = if is_own { Outcome::Answered } else { Outcome::Crossed };
    }

    /// An instance by weight, from a list that is asked for again after its time to live.
    async fn target(&self) -> Option<SocketAddr> {
        let is_stale = {
            let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            known.0.instances.is_empty() || known.1 <= Instant::now()
        };
        if is_stale {
            self.discover().await;
        }
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let total: u32 = known.0.instances.iter().map(|entry| entry.weight).sum();
        if total == 0 {
            return self.seeds.first().copied();
        }
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let mut drawn = random.random_range(0..total);
        let chosen = known.0.instances.iter().find(|entry| {
            let hit = drawn < entry.weight;
            drawn = drawn.saturating_sub(entry.weight);
            hit
        });
        chosen.map(|entry| entry.address)
    }

    async fn discover(&self) {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner).0.clone();
        let known = known.instances.iter().map(|entry| entry.address);
        let candidates: Vec<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        for address in candidates {
            let url = format!("http://{address}/v1/instances");
            let Ok(answer) = http::fetch_json(&self.client, &url, DISCOVERY_LIMIT).await else {
                continue;
            };
            let Ok(listing) = serde_json::from_value::<Listing>(answer) else { continue };
            if listing.instances.is_empty() {
                continue;
            }
            let until = Instant::now() + Duration::from_millis(listing.ttl_ms);
            *self.known.lock().unwrap_or_else(PoisonError::into_inner) = (listing, until);
            return;
        }
    }

    fn forget(&self, target: SocketAddr) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.0.instances.retain(|entry| entry.address != target);
    }
}

/// The text of a stream of server-sent events.
#[derive(Debug, Default)]
struct StreamText {
    pending: Vec<u8>,
    text: String,
    is_done: bool,
    error: String,
}

impl StreamText {
    /// Adds bytes and returns the number of tokens in them.
    fn add(&mut self, data: &[u8]) -> u64 {
        self.pending.extend_from_slice(data);
        let mut tokens = 0;
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            tokens += self.add_line(&line);
        }
        tokens
    }

    fn add_line(&mut self, line: &[u8]) -> u64 {
        let Some(data) = line.strip_prefix(b"data: ") else { return 0 };
        if data.trim_ascii() == b"[DONE]" {
            self.is_done = true;
            return 0;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
        if let Some(error) = chunk["error"]["type"].as_str() {
            error.clone_into(&mut self.error);
        }
        let text = chunk["choices"][0]["text"].as_str().unwrap_or_default();
        self.text.push_str(text);
        u64::from(!text.is_empty())
    }

    fn outcome(&self, expected: &str) -> Outcome {
        if !expected.starts_with(&self.text) {
            return Outcome::Crossed;
        }
        let is_whole = self.is_done && self.text.len() == expected.len();
        if is_whole { Outcome::Answered } else { Outcome::Missing }
    }
}
