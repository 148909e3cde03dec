//! The task that serves one plain call: executes the reducer's commands and relays the response.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::header;
use sha2::Digest as _;

use crate::borders::callers;
use crate::borders::callers::errors;
use crate::borders::callers::read;
use crate::borders::callers::reply;
use crate::borders::callers::step;
use crate::borders::http;
use crate::borders::services;
use crate::borders::timer;
use crate::core::claims;
use crate::core::ids;
use crate::core::request;
use crate::shell::handle;

mod path;
mod upload;

/// The request header with the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// The largest response body that is recorded for repeated calls with the same key, in bytes.
const MAX_RECORDED_ANSWER_BYTES: usize = 16 * 1024;

/// Serves one plain call.
pub async fn serve(
    context: sync::Arc<callers::Context>,
    caller: net::SocketAddr,
    message: hyper::Request<body::Incoming>,
) -> http::Response {
    let (parts, body) = message.into_parts();
    let (call, upload) = match read_call(&parts, body, &context).await {
        Ok(read) => read,
        Err(error) => return error.response(),
    };
    let key = read::key_digest(&parts.headers);
    let request = context.handle.next_request_id();
    let (reply, head) = reply::Reply::new(request);
    let session = Session {
        context,
        request,
        caller,
        parts,
        upload,
        reply,
        commands: None,
        keep_answer: false,
    };
    tokio::spawn(session.run(request::Arrival { key, target: request::Target::Plain(call) }));
    match head.await {
        Ok(response) => response,
        Err(_) => errors::refusal(&request::Refusal {
            reason: request::Reason::Draining,
            ran: request::Ran::Unknown,
            retry_after_ms: None,
        }),
    }
}

/// Validates a call and reads its body, up to the limit of buffered bodies.
async fn read_call(
    parts: &hyper::http::request::Parts,
    body: body::Incoming,
    context: &callers::Context,
) -> Result<(request::PlainCall, upload::Upload), errors::RequestError> {
    let path = path::normalise(parts.uri.path()).ok_or(errors::RequestError::InvalidPath)?;
    let idempotency_key = idempotency_key(&parts.headers)?;
    let frame_timeout = time::Duration::from_millis(context.limits.body_send_timeout_ms);
    let upload = upload::Upload::read(body, frame_timeout).await?;
    if idempotency_key.is_some() && upload.as_buffered().is_none() {
        let limit_bytes = upload::MAX_BUFFERED_BYTES;
        return Err(errors::RequestError::KeyedTooLarge { limit_bytes });
    }
    let call = request::PlainCall {
        method: Bytes::copy_from_slice(parts.method.as_str().as_bytes()),
        path,
        idempotency_key,
        fingerprint: fingerprint(parts, upload.as_buffered()),
        replayable: upload.as_buffered().is_some(),
    };
    Ok((call, upload))
}

fn idempotency_key(headers: &header::HeaderMap) -> Result<Option<Bytes>, errors::RequestError> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() || value.is_empty() || value.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let limit_bytes = MAX_IDEMPOTENCY_KEY_BYTES;
        return Err(errors::RequestError::IdempotencyKey { limit_bytes });
    }
    Ok(Some(Bytes::copy_from_slice(value.as_bytes())))
}

/// Returns a digest of the method, path, query and, if it is buffered, the body.
fn fingerprint(parts: &hyper::http::request::Parts, body: Option<&Bytes>) -> ids::Digest {
    let mut hasher = sha2::Sha256::new();
    let target = parts.uri.path_and_query().map(|target| target.as_str()).unwrap_or_default();
    let body = body.map(|body| body.as_ref()).unwrap_or_default();
    for part in [parts.method.as_str().as_bytes(), target.as_bytes(), body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

struct Session {
    context: sync::Arc<callers::Context>,
    request: ids::RequestId,
    caller: net::SocketAddr,
    parts: hyper::http::request::Parts,
    upload: upload::Upload,
    reply: reply::Reply,
    commands: Option<handle::Commands>,
    /// Whether the response of the current attempt is recorded for repeated calls with the same
    /// idempotency key. The attempt then continues after the caller disconnects.
    keep_answer: bool,
}

impl Session {
    async fn run(mut self, arrival: request::Arrival) {
        let handle = self.context.handle.clone();
        self.commands = Some(handle.open(self.request, arrival).await);
        let mut next = step::Step::Wait;
        loop {
            next = match next {
                step::Step::Wait => self.next_step().await,
                step::Step::Command(command) => self.execute(command).await,
                step::Step::CallerDisconnected => {
                    handle
                        .request_event(request::Event::Disconnected { request: self.request })
                        .await;
                    return;
                }
                step::Step::Done => return,
            };
        }
    }

    async fn next_step(&mut self) -> step::Step {
        step::next(self.commands.as_mut(), &mut self.reply, !self.keep_answer).await
    }

    async fn execute(&mut self, command: request::Command) -> step::Step {
        match command {
            request::Command::Forward { attempt, send_before, .. }
                if send_before.is_some_and(|before| self.context.handle.now() >= before) =>
            {
                self.fail(attempt, request::Failure::not_run(request::Fault::Connect)).await
            }
            request::Command::Forward { attempt, address, keep_answer, .. } => {
                self.keep_answer = keep_answer;
                self.forward(attempt, address).await
            }
            request::Command::Replay { answer, .. } => {
                self.reply.send_response(replay_response(answer));
                step::Step::Done
            }
            request::Command::Refuse(refusal) => {
                self.reply.refuse(&refusal, None).await;
                step::Step::Done
            }
            request::Command::Prefill { .. } | request::Command::Decode { .. } => step::Step::Wait,
        }
    }

    async fn forward(&mut self, attempt: ids::Attempt, address: net::SocketAddr) -> step::Step {
        let Some(body) = self.upload.take() else {
            return self.fail(attempt, request::Failure::not_run(request::Fault::Closed)).await;
        };
        let message = hyper::Request::from_parts(self.parts.clone(), body);
        let upload_timeout = self.upload_timeout();
        let (request, caller) = (self.request, self.caller);
        let call = services::Call { request, address, caller, message, upload_timeout };
        let context = sync::Arc::clone(&self.context);
        let result = tokio::select! {
            result = context.services.forward(call) => result,
            next = self.next_step() => return next,
        };
        match result {
            Ok(response) => {
                let event = request::Event::Started { request: self.request, attempt };
                context.handle.request_event(event).await;
                self.relay(attempt, response).await
            }
            Err(failure) => self.fail(attempt, failure).await,
        }
    }

    /// Returns the extra time for a streamed body, which the caller is still sending; a buffered
    /// body needs none.
    fn upload_timeout(&self) -> time::Duration {
        match self.upload.as_buffered() {
            Some(_) => time::Duration::ZERO,
            None => time::Duration::from_millis(self.context.limits.body_send_timeout_ms),
        }
    }

    /// Relays a response. One that is recorded is read to its end even if the caller disconnects.
    async fn relay(&mut self, attempt: ids::Attempt, response: http::Response) -> step::Step {
        let (parts, mut body) = response.into_parts();
        let mut recorded = self.keep_answer.then(|| RecordedAnswer::new(&parts));
        let started = self.reply.start(hyper::Response::from_parts(parts, ()));
        if started.is_err() && recorded.is_none() {
            return step::Step::CallerDisconnected;
        }
        loop {
            let timeout = self.context.frame_timeout;
            let next = tokio::select! {
                next = timer::timeout(timeout, body.frame()) => next,
                next = self.next_step() => return next,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Ok(Some(Err(_))) => {
                    return self
                        .fail(attempt, request::Failure::maybe_run(request::Fault::Closed))
                        .await;
                }
                Err(_) => {
                    return self
                        .fail(attempt, request::Failure::maybe_run(request::Fault::Gap))
                        .await;
                }
            };
            if let (Some(recorded), Some(data)) = (&mut recorded, frame.data_ref()) {
                recorded.push(data);
            }
            if self.reply.write(frame).await.is_err() && recorded.is_none() {
                return step::Step::CallerDisconnected;
            }
        }
        let event = request::Event::Ended {
            request: self.request,
            attempt,
            usage: request::Usage::default(),
            answer: recorded.map(RecordedAnswer::into_answer),
        };
        self.context.handle.request_event(event).await;
        if self.reply.finish().await.is_err() {
            log::debug!("the caller disconnected before its response was complete");
        }
        step::Step::Done
    }

    async fn fail(&mut self, attempt: ids::Attempt, failure: request::Failure) -> step::Step {
        let event = request::Event::Failed { request: self.request, attempt, failure };
        self.context.handle.request_event(event).await;
        step::Step::Wait
    }
}

/// A response that is recorded for repeated calls with the same idempotency key.
struct RecordedAnswer {
    status: u16,
    content_type: Bytes,
    body: Vec<u8>,
    too_large: bool,
}

impl RecordedAnswer {
    fn new(parts: &hyper::http::response::Parts) -> Self {
        let content_type = parts.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.map(|value| value.as_bytes()).unwrap_or_default();
        Self {
            status: parts.status.as_u16(),
            content_type: Bytes::copy_from_slice(content_type),
            body: Vec::new(),
            too_large: false,
        }
    }

    fn push(&mut self, data: &Bytes) {
        self.too_large |= self.body.len() + data.len() > MAX_RECORDED_ANSWER_BYTES;
        if !self.too_large {
            self.body.extend_from_slice(data);
        }
    }

    fn into_answer(self) -> claims::Answer {
        if self.too_large {
            return claims::Answer::TooLarge { status: self.status };
        }
        claims::Answer::Complete {
            status: self.status,
            content_type: self.content_type,
            body: Bytes::from(self.body),
        }
    }
}

/// Returns the response for a repeated call with the same idempotency key.
fn replay_response(answer: claims::Answer) -> http::Response {
    let refuse =
        |reason, ran| errors::refusal(&request::Refusal { reason, ran, retry_after_ms: None });
    match answer {
        claims::Answer::Complete { status, content_type, body } => {
            let mut response = hyper::Response::new(http::full(body));
            *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
            if let Ok(value) = header::HeaderValue::from_bytes(&content_type) {
                response.headers_mut().insert(header::CONTENT_TYPE, value);
            }
            let replayed = header::HeaderValue::from_static("true");
            response.headers_mut().insert("idempotency-replayed", replayed);
            response
        }
        claims::Answer::TooLarge { .. } | claims::Answer::Unknown => {
            refuse(request::Reason::ClaimHeld, request::Ran::Unknown)
        }
        claims::Answer::NotRun => refuse(request::Reason::ClaimHeld, request::Ran::No),
    }
}
