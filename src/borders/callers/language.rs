//! The task that serves one completion: executes the reducer's commands and reports their results.

use std::sync;
use std::time;

use hyper::body;
use tokio::time as tokio_time;

use crate::borders::callers;
use crate::borders::callers::completion;
use crate::borders::callers::errors;
use crate::borders::callers::read;
use crate::borders::callers::relay;
use crate::borders::callers::reply;
use crate::borders::callers::step;
use crate::borders::engines;
use crate::borders::http;
use crate::core::ids;
use crate::core::request;
use crate::shell::handle;

/// Relayed tokens after which progress is reported to the reducer.
const PROGRESS_TOKENS: u32 = 16;

/// The interval at which progress is reported if fewer tokens arrive.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Serves one completion request.
pub async fn serve(
    context: sync::Arc<callers::Context>,
    api: engines::Api,
    message: hyper::Request<body::Incoming>,
) -> http::Response {
    let key = read::key_digest(message.headers());
    let completion = match read_completion(&context, api, message).await {
        Ok(completion) => completion,
        Err(error) => return error.response(),
    };
    let request = context.handle.next_request_id();
    let (reply, head) = reply::Reply::new(request);
    let session = Session::new(context, request, completion, reply);
    tokio::spawn(session.run(key));
    match head.await {
        Ok(response) => response,
        Err(_) => errors::refusal(&request::Refusal {
            reason: request::Reason::Draining,
            ran: request::Ran::Unknown,
            retry_after_ms: None,
        }),
    }
}

async fn read_completion(
    context: &callers::Context,
    api: engines::Api,
    message: hyper::Request<body::Incoming>,
) -> Result<completion::Completion, errors::RequestError> {
    if !read::is_json(message.headers()) {
        return Err(errors::RequestError::ContentType);
    }
    let body = read::whole_body(message.into_body(), &context.limits).await?;
    completion::parse(api, &body)
}

/// State of the task that serves one completion.
struct Session {
    context: sync::Arc<callers::Context>,
    request: ids::RequestId,
    completion: completion::Completion,
    commands: Option<handle::Commands>,
    reply: reply::Reply,
    relay: relay::Relay,
    transfer: Option<engines::Transfer>,
}

impl Session {
    fn new(
        context: sync::Arc<callers::Context>,
        request: ids::RequestId,
        completion: completion::Completion,
        reply: reply::Reply,
    ) -> Self {
        let relay = relay::Relay::new(request, &completion);
        Self { context, request, completion, commands: None, reply, relay, transfer: None }
    }

    async fn run(mut self, key: Option<ids::Digest>) {
        let target = request::Target::Language(self.completion.call.clone());
        let arrival = request::Arrival { key, target };
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

    /// Waits for the next command or until the caller disconnects.
    async fn next_step(&mut self) -> step::Step {
        step::next(self.commands.as_mut(), &mut self.reply, true).await
    }

    async fn execute(&mut self, command: request::Command) -> step::Step {
        match command {
            request::Command::Prefill { attempt, address, priority, .. } => {
                let call = self.call(address, priority);
                self.prefill(attempt, call).await
            }
            request::Command::Decode { attempt, address, priority, start, .. } => {
                let call = self.call(address, priority);
                self.decode(attempt, call, start).await
            }
            request::Command::Refuse(refusal) => {
                let event = self.relay.error_event(&refusal);
                self.reply.refuse(&refusal, event).await;
                step::Step::Done
            }
            request::Command::Forward { .. } | request::Command::Replay { .. } => step::Step::Wait,
        }
    }

    fn call(&self, address: std::net::SocketAddr, priority: i32) -> engines::Call {
        engines::Call {
            request: self.request,
            address,
            priority,
            api: self.completion.api,
            fields: sync::Arc::clone(&self.completion.fields),
        }
    }

    async fn prefill(&mut self, attempt: ids::Attempt, call: engines::Call) -> step::Step {
        let context = sync::Arc::clone(&self.context);
        let prefill = context.engines.prefill(call);
        let result = tokio::select! {
            result = prefill => result,
            next = self.next_step() => return next,
        };
        let request = self.request;
        let event = match result {
            Ok(prefilled) => {
                self.transfer = Some(prefilled.transfer);
                request::Event::Prefilled { request, attempt, usage: prefilled.usage }
            }
            Err(failure) => request::Event::Failed { request, attempt, failure },
        };
        context.handle.request_event(event).await;
        step::Step::Wait
    }

    async fn decode(
        &mut self,
        attempt: ids::Attempt,
        call: engines::Call,
        start: request::Start,
    ) -> step::Step {
        let source = match (start, &self.transfer) {
            (request::Start::Import, Some(transfer)) => engines::Source::Import(transfer.clone()),
            (request::Start::Resume, _) => {
                engines::Source::Resume { from_token: self.relay.relayed_tokens() }
            }
            _ => engines::Source::Prompt,
        };
        let context = sync::Arc::clone(&self.context);
        let decode = context.engines.decode(call, source);
        let result = tokio::select! {
            result = decode => result,
            next = self.next_step() => return next,
        };
        match result {
            Ok(stream) => self.relay_stream(attempt, stream, start).await,
            Err(failure) => self.fail(attempt, failure).await,
        }
    }

    /// Relays an engine's stream to the caller until it ends, reporting progress to the reducer.
    async fn relay_stream(
        &mut self,
        attempt: ids::Attempt,
        mut stream: Box<dyn engines::Stream>,
        start: request::Start,
    ) -> step::Step {
        self.relay.begin_attempt(start);
        let mut started = false;
        let mut reported_tokens = self.relay.relayed_tokens();
        let mut reported_at = tokio_time::Instant::now();
        loop {
            let next = tokio::select! {
                next = stream.next() => next,
                next = self.next_step() => return next,
            };
            let chunk = match next {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return self.finish(attempt).await,
                Err(failure) => return self.fail(attempt, failure).await,
            };
            if !started {
                started = true;
                let event = request::Event::Started { request: self.request, attempt };
                self.context.handle.request_event(event).await;
            }
            if self.relay.relay_chunk(chunk, &mut self.reply).await.is_err() {
                return step::Step::CallerDisconnected;
            }
            let relayed_tokens = self.relay.relayed_tokens();
            let is_due = reported_at.elapsed() >= PROGRESS_INTERVAL;
            if relayed_tokens >= reported_tokens + PROGRESS_TOKENS || is_due {
                reported_tokens = relayed_tokens;
                reported_at = tokio_time::Instant::now();
                self.report_progress(attempt).await;
            }
        }
    }

    async fn finish(&mut self, attempt: ids::Attempt) -> step::Step {
        if !self.relay.is_complete() {
            let fault = match self.relay.is_finished() {
                true => request::Fault::Malformed,
                false => request::Fault::Closed,
            };
            let failure = request::Failure { fault, ran: request::Ran::Unknown };
            return self.fail(attempt, failure).await;
        }
        if self.relay.finish(&mut self.reply).await.is_err() {
            return step::Step::CallerDisconnected;
        }
        let event = request::Event::Ended {
            request: self.request,
            attempt,
            usage: self.relay.usage(),
            answer: None,
        };
        self.context.handle.request_event(event).await;
        step::Step::Done
    }

    async fn fail(&mut self, attempt: ids::Attempt, failure: request::Failure) -> step::Step {
        self.report_progress(attempt).await;
        let event = request::Event::Failed { request: self.request, attempt, failure };
        self.context.handle.request_event(event).await;
        step::Step::Wait
    }

    async fn report_progress(&self, attempt: ids::Attempt) {
        let relayed_tokens = self.relay.relayed_tokens();
        let request = self.request;
        let event = request::Event::Progressed { request, attempt, relayed_tokens };
        self.context.handle.request_event(event).await;
    }
}
