//! The HTTP face of a fake engine.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode, header};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::{Engine, Export, Refusal, Submission, Work, config, faults, ledger, output, state};
use crate::{http, network};

/// Interval at which a long poll looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest long poll.
const POLL_LIMIT_MS: u64 = 30_000;

/// Chunks between two stray ones.
const STRAY_INTERVAL_CHUNKS: usize = 5;

/// Name of the header that carries the request id.
const REQUEST_ID: &str = "x-request-id";

#[derive(Debug, Deserialize)]
struct CompletionBody {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    messages: Option<Vec<Message>>,
    #[serde(default = "default_max_tokens")]
    max_tokens: usize,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i64,
    kv_transfer_params: Option<TransferParams>,
    resume: Option<Resume>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct TransferParams {
    do_remote_decode: bool,
    do_remote_prefill: bool,
    remote_block_ids: Vec<ledger::ExecutionNumber>,
    remote_host: Option<IpAddr>,
    remote_port: u16,
}

#[derive(Debug, Deserialize)]
struct Resume {
    from_token: usize,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    #[serde(default)]
    fence: u64,
    order: Order,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Order {
    LoadModel { model: String },
    ChangeRole { role: config::Role },
}

fn default_max_tokens() -> usize {
    16
}

impl CompletionBody {
    fn prompt_text(&self) -> String {
        let Some(messages) = &self.messages else { return self.prompt.clone() };
        let contents: Vec<&str> = messages.iter().map(|message| message.content.as_str()).collect();
        contents.join("\n")
    }

    fn work(&self) -> Option<Work> {
        match &self.kv_transfer_params {
            Some(params) if params.do_remote_decode => Some(Work::Prefill),
            Some(params) if params.do_remote_prefill => Some(Work::Decode(Export {
                address: SocketAddr::new(params.remote_host?, params.remote_port),
                number: *params.remote_block_ids.first()?,
            })),
            _ => Some(Work::Whole),
        }
    }
}

/// A reader of one answer.
struct Reader {
    engine: Arc<Engine>,
    number: ledger::ExecutionNumber,
    progress: watch::Receiver<state::Progress>,
    link: Option<network::Link>,
    shape: output::Shape,
    digest: u64,
    prompt_tokens: u64,
    length: usize,
    finish_reason: &'static str,
    streamed: bool,
    stray_chunks: bool,
    exported: bool,
    next: usize,
    ended: bool,
}

impl http::Service for Engine {
    type Command = faults::Command;
    type Records = ledger::Records;

    fn records(&self) -> ledger::Records {
        self.records()
    }

    fn command(&self, command: &faults::Command) {
        self.command(command);
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> http::Reply {
        route(self, request).await
    }
}

async fn route(engine: Arc<Engine>, request: Request<Incoming>) -> http::Reply {
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let is_post = request.method() == Method::POST;
    match (is_post, segments.as_slice()) {
        (true, ["v1", "completions"]) => complete(engine, request, false).await,
        (true, ["v1", "chat", "completions"]) => complete(engine, request, true).await,
        (true, ["v1", "requests", id, "cancel"]) => {
            http::json(StatusCode::OK, &json!({"released_pieces": engine.cancel(id)}))
        }
        (false, ["v1", "requests"]) => held(&engine),
        (false, ["v1", "load"]) => load(&engine),
        (false, ["v1", "cache"]) => {
            let (sequence, blocks) = engine.state().cache.snapshot();
            http::json(StatusCode::OK, &json!({"sequence": sequence, "blocks": blocks}))
        }
        (false, ["v1", "cache", "events"]) => cache_events(&engine, &request).await,
        (true, ["v1", "orders"]) => order(&engine, request).await,
        (true, ["__kv", number, step]) => export_step(&engine, number, step),
        _ => http::error(StatusCode::NOT_FOUND, "not_found", "no such path"),
    }
}

async fn complete(engine: Arc<Engine>, request: Request<Incoming>, chat: bool) -> http::Reply {
    let link = request.extensions().get::<network::Link>().cloned();
    let id = request.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
    let id = id.unwrap_or("unnamed").to_owned();
    let body: CompletionBody = match http::read_json(request).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let Some(work) = body.work() else {
        let message = "kv_transfer_params are incomplete";
        return http::error(StatusCode::BAD_REQUEST, "invalid_request", message);
    };
    if !engine.serves(&body.model) {
        return http::error(StatusCode::NOT_FOUND, "model_not_found", "no such model here");
    }
    let prompt = body.prompt_text();
    let digest = output::digest(&prompt);
    let prompt_tokens = engine.prompt_tokens(&prompt);
    let exported = work == Work::Prefill;
    let length = output::length(digest, body.max_tokens, engine.config.early_stop);
    let finish_reason = if length < body.max_tokens { "stop" } else { "length" };
    let from_token = body.resume.as_ref().map_or(0, |resume| resume.from_token);
    let found = match &body.resume {
        Some(_) => engine.resume(&id).ok_or(None),
        None => {
            let submission = Submission {
                id: id.clone(),
                prompt,
                max_tokens: body.max_tokens,
                priority: body.priority,
                work,
            };
            engine.submit(submission).map_err(Some)
        }
    };
    let (number, progress) = match found {
        Ok(found) => found,
        Err(Some(refusal)) => return refused(refusal),
        Err(None) => {
            return http::error(StatusCode::NOT_FOUND, "unknown_request", "nothing to resume");
        }
    };
    let mut reader = Reader {
        engine,
        number,
        progress,
        link,
        shape: output::Shape { request_id: id, model: body.model, chat },
        digest,
        prompt_tokens,
        length,
        finish_reason,
        streamed: body.stream && !exported,
        stray_chunks: false,
        exported,
        next: from_token,
        ended: false,
    };
    reader.apply_faults().await;
    reader.answer().await
}

impl Engine {
    fn serves(&self, model: &str) -> bool {
        let state = self.state();
        state.models.is_empty() || state.models.iter().any(|served| served == model)
    }

    fn resume(
        &self,
        id: &str,
    ) -> Option<(ledger::ExecutionNumber, watch::Receiver<state::Progress>)> {
        let state = self.state();
        let number = *state.numbers_of(id).last()?;
        Some((number, state.held.get(&number)?.progress.subscribe()))
    }
}

impl Reader {
    async fn apply_faults(&mut self) {
        let late = {
            let mut state = self.engine.state();
            self.stray_chunks = state.faults.stray_chunks;
            if state.faults.crossed_answers > 0 {
                state.faults.crossed_answers -= 1;
                self.shape.request_id = other_id(&self.shape.request_id);
                self.digest = !self.digest;
            }
            Duration::from_millis(state.faults.late_answer_ms)
        };
        http::pause(late).await;
    }

    async fn answer(mut self) -> http::Reply {
        if !self.wait(|progress| progress.started || progress.kv_gone).await {
            return Err("the request was cancelled".into());
        }
        if self.progress.borrow().kv_gone {
            return http::error(StatusCode::CONFLICT, "kv_gone", "the KV cache is gone");
        }
        let content_type = if self.streamed { "text/event-stream" } else { "application/json" };
        let response = Response::builder()
            .header(header::CONTENT_TYPE, content_type)
            .header(REQUEST_ID, &self.shape.request_id);
        let frames = stream::unfold(self, |mut reader| async move {
            let frame = reader.next_frame().await?;
            Some((frame.map(Frame::data), reader))
        });
        Ok(response.body(StreamBody::new(frames).boxed_unsync())?)
    }

    /// The next bytes of the answer; `None` after its end.
    async fn next_frame(&mut self) -> Option<Result<Bytes, http::BoxError>> {
        if self.link.as_ref().is_some_and(network::Link::is_silent) {
            return future::pending().await;
        }
        if self.ended {
            if !self.exported {
                self.engine.read_out(self.number);
            }
            return None;
        }
        let next = self.next;
        let ready =
            move |progress: &state::Progress| progress.finished || progress.generated > next;
        let ready =
            if self.streamed { self.wait(ready).await } else { self.wait(|p| p.finished).await };
        if !ready {
            self.ended = true;
            return Some(Err("the request was cancelled".into()));
        }
        if self.link.as_ref().is_some_and(network::Link::is_silent) {
            return future::pending().await;
        }
        Some(Ok(self.frame()))
    }

    fn frame(&mut self) -> Bytes {
        let progress = *self.progress.borrow();
        if !self.streamed {
            self.ended = true;
            return Bytes::from(self.whole(progress.generated).to_string());
        }
        if self.next < progress.generated {
            let frame = self.token_frame();
            self.next += 1;
            return frame;
        }
        self.ended = true;
        let usage = self.shape.usage_chunk(self.prompt_tokens, progress.generated);
        Bytes::from(format!("data: {usage}\n\ndata: [DONE]\n\n"))
    }

    fn token_frame(&self) -> Bytes {
        let reason = (self.next + 1 == self.length).then_some(self.finish_reason);
        let chunk = self.shape.chunk(&output::token(self.digest, self.next), reason);
        let mut text = format!("data: {chunk}\n\n");
        if self.stray_chunks && self.next.is_multiple_of(STRAY_INTERVAL_CHUNKS) {
            let mut other = self.shape.clone();
            other.request_id = other_id(&other.request_id);
            let stray = other.chunk(&output::token(!self.digest, self.next), None);
            text.push_str(&format!("data: {stray}\n\n"));
        }
        Bytes::from(text)
    }

    fn whole(&self, tokens: usize) -> Value {
        let text: String = (0..tokens).map(|index| output::token(self.digest, index)).collect();
        let mut answer = self.shape.whole(&text, self.finish_reason, self.prompt_tokens, tokens);
        if self.exported {
            let cached_tokens = self.engine.state().records.cached_tokens(self.number);
            answer["usage"]["prompt_tokens_details"] = json!({"cached_tokens": cached_tokens});
            answer["kv_transfer_params"] = json!({
                "remote_engine_id": self.engine.state().records.engine_id,
                "remote_block_ids": [self.number],
                "remote_host": self.engine.address.ip(),
                "remote_port": self.engine.address.port(),
            });
        }
        answer
    }

    /// Waits for a state of progress; false if the request is no longer held.
    async fn wait(&mut self, ready: impl FnMut(&state::Progress) -> bool) -> bool {
        self.progress.wait_for(ready).await.is_ok()
    }
}

fn held(engine: &Engine) -> http::Reply {
    let now = Instant::now();
    let state = engine.state();
    let requests: Vec<Value> = state.held.values().map(|held| held_entry(held, now)).collect();
    http::json(StatusCode::OK, &json!({"requests": requests}))
}

fn held_entry(held: &state::Held, now: Instant) -> Value {
    let age_ms = u64::try_from((now - held.since).as_millis()).unwrap_or(u64::MAX);
    json!({"id": held.id, "phase": held.phase, "pieces": held.pieces, "age_ms": age_ms})
}

fn load(engine: &Engine) -> http::Reply {
    let (load, at) = engine.state().measured;
    let mut value = serde_json::to_value(load)?;
    value["measured_age_ms"] = json!(u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX));
    http::json(StatusCode::OK, &value)
}

async fn cache_events(engine: &Engine, request: &Request<Incoming>) -> http::Reply {
    let fields = http::query(request);
    let from = http::query_number(&fields, "from", 1);
    let wait_ms = http::query_number(&fields, "wait_ms", 0).min(POLL_LIMIT_MS);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let (first, events) = engine.state().cache.events(from, Instant::now());
        if !events.is_empty() || first > from || Instant::now() >= deadline {
            let next = events.last().map_or(from.max(first), |event| event.sequence + 1);
            let answer = json!({"first": first, "next": next, "events": events});
            return http::json(StatusCode::OK, &answer);
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn order(engine: &Engine, request: Request<Incoming>) -> http::Reply {
    let body: OrderBody = match http::read_json(request).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let mut state = engine.state();
    if body.fence < state.fence {
        if !state.faults.ignore_fence {
            state.records.orders_refused += 1;
            return http::json(StatusCode::CONFLICT, &json!({"fence": state.fence}));
        }
        state.records.orders_out_of_turn += 1;
    }
    state.fence = state.fence.max(body.fence);
    match body.order {
        Order::LoadModel { model } => {
            state.models = vec![model];
            state.loading_until = Instant::now() + engine.config.load_model_time;
        }
        Order::ChangeRole { role } => state.role = role,
    }
    http::json(StatusCode::OK, &json!({"fence": state.fence}))
}

fn export_step(engine: &Engine, number: &str, step: &str) -> http::Reply {
    let done = number.parse().is_ok_and(|number| engine.export_step(number, step));
    if done {
        return http::json(StatusCode::OK, &json!({}));
    }
    http::error(StatusCode::NOT_FOUND, "kv_gone", "the KV cache is gone")
}

fn refused(refusal: Refusal) -> http::Reply {
    let (status, kind) = match refusal {
        Refusal::Full => (StatusCode::TOO_MANY_REQUESTS, "engine_full"),
        Refusal::TooLarge => (StatusCode::BAD_REQUEST, "too_large"),
        Refusal::Cancelled => (StatusCode::CONFLICT, "cancelled"),
        Refusal::Loading => (StatusCode::SERVICE_UNAVAILABLE, "loading"),
        Refusal::WrongRole => (StatusCode::BAD_REQUEST, "wrong_role"),
    };
    http::error(status, kind, &refusal.to_string())
}

/// An id that belongs to no request of this caller.
fn other_id(id: &str) -> String {
    id.chars().rev().collect::<String>() + "-other"
}
