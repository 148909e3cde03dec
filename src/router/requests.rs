//! Serves one request: carries out what the decisions tell, and tells how it went.

use std::rc;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::http;

use crate::core::fleet;
use crate::core::fleet::call;
use crate::core::fleet::refusal;
use crate::core::ids;
use crate::router::body;
use crate::router::context;
use crate::router::relay;
use crate::router::upstream;

/// Pieces of a stream that wait for a slow caller before the server is kept waiting.
const PIECES_AHEAD: usize = 32;

/// The time in which events that were passed on leave before a broken stream's connection is closed.
const FLUSH_PAUSE: time::Duration = time::Duration::from_millis(5);

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The answer to a caller.
pub type Response = http::Response<body::Body>;

/// Ends a request when its caller leaves.
struct Presence {
    context: rc::Rc<context::Context>,
    request: call::RequestNumber,
    has_ended: bool,
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.context.close_mailbox(self.request);
        if !self.has_ended {
            self.context.apply(fleet::Event::CallerDisconnected { request: self.request });
        }
    }
}

/// What a server has answered.
enum Answer {
    /// How the request went, without anything to pass on.
    Outcome(fleet::Outcome),
    /// A whole answer.
    Whole(http::Response<Bytes>),
    /// A whole answer that says that the server failed.
    Failure(http::Response<Bytes>),
    /// A stream that has begun.
    Stream(Box<Stream>),
}

/// A stream from a server.
struct Stream {
    head: http::response::Parts,
    body: Incoming,
    first: Bytes,
    is_over: bool,
    connection: upstream::Connection,
}

struct Task {
    presence: Presence,
    mailbox: context::Mailbox,
    head: http::request::Parts,
    body: Bytes,
    call: call::Call,
    expires: ids::Timestamp,
    is_resumable: bool,
    is_stream: bool,
    kept: Option<http::Response<Bytes>>,
    events: relay::Events,
}

/// Serves a request that has been read whole.
pub async fn serve(
    context: rc::Rc<context::Context>,
    head: http::request::Parts,
    body: Bytes,
) -> Response {
    let call = match context.dialect.read_call(&head) {
        Ok(call) => call,
        Err(reason) => return context.refuse_unread(&head, reason),
    };
    let (request, mailbox) = context.open_mailbox();
    let presence = Presence { context: rc::Rc::clone(&context), request, has_ended: false };
    let task = Task {
        presence,
        mailbox,
        head,
        body,
        call: call.clone(),
        expires: ids::Timestamp::MAX,
        is_resumable: false,
        is_stream: false,
        kept: None,
        events: relay::Events::default(),
    };
    context.apply(fleet::Event::RequestArrived { request, call });
    task.run().await
}

impl Task {
    async fn run(mut self) -> Response {
        loop {
            let Some(command) = self.next_command().await else {
                return self.refused(refusal::Refusal::new(refusal::Reason::OutcomeUnknown));
            };
            match command {
                context::Command::Admit { .. } => {}
                context::Command::Refuse(refusal) => return self.refused(refusal),
                context::Command::Deliver => return self.deliver(),
                context::Command::Send(dispatch) => match self.attempt(&dispatch).await {
                    None => self.expire(),
                    Some(Answer::Outcome(outcome)) => self.progress(outcome),
                    Some(Answer::Failure(answer)) => {
                        let status = answer.status().as_u16();
                        self.kept = Some(answer);
                        self.progress(fleet::Outcome::Failed { status });
                    }
                    Some(Answer::Whole(answer)) => return self.finish(answer),
                    Some(Answer::Stream(stream)) => return self.begin_stream(*stream),
                },
            }
        }
    }

    /// Waits for a command; tells when the request's time is over.
    async fn next_command(&mut self) -> Option<context::Command> {
        loop {
            let left = self.left();
            let Ok(command) = tokio::time::timeout(left, self.mailbox.recv()).await else {
                self.expire();
                // The end is in the mailbox now.
                self.expires = ids::Timestamp::MAX;
                continue;
            };
            if let Some(context::Command::Admit { expires, is_resumable, is_stream }) = command {
                self.expires = expires;
                self.is_resumable = is_resumable;
                self.is_stream = is_stream;
                continue;
            }
            return command;
        }
    }

    fn left(&self) -> time::Duration {
        self.expires.saturating_sub(self.presence.context.now())
    }

    fn expire(&mut self) {
        self.presence
            .context
            .apply(fleet::Event::RequestExpired { request: self.presence.request });
    }

    fn progress(&self, outcome: fleet::Outcome) {
        let request = self.presence.request;
        self.presence.context.apply(fleet::Event::RequestProgressed { request, outcome });
    }

    /// Sends the request to a server; `None` if its time is over first.
    async fn attempt(&mut self, dispatch: &fleet::Dispatch) -> Option<Answer> {
        let left = self.left();
        let response_timeout =
            dispatch.response_timeout.filter(|response_timeout| *response_timeout < left);
        match tokio::time::timeout(response_timeout.unwrap_or(left), self.exchange(dispatch, left))
            .await
        {
            Ok(answer) => Some(answer),
            Err(_) => response_timeout.map(|_| Answer::Outcome(fleet::Outcome::Unresponsive)),
        }
    }

    async fn exchange(&self, dispatch: &fleet::Dispatch, left: time::Duration) -> Answer {
        let dialect = &self.presence.context.dialect;
        let mut connection = match upstream::Connection::open(dispatch.address).await {
            Ok(connection) => connection,
            Err(failure) => {
                log::debug!("{}: {failure}", dispatch.address);
                return Answer::Outcome(fleet::Outcome::Unsent);
            }
        };
        let after_event = self.events.last_id();
        let request =
            dialect.write_request(&self.head, self.body.clone(), dispatch, left, after_event);
        let broken = Answer::Outcome(fleet::Outcome::ConnectionLost);
        let Ok(response) = connection.send(request).await else { return broken };
        let (head, mut body) = response.into_parts();
        let said = dialect.read_answer(&head, &self.call);
        if said.is_other_server {
            return Answer::Outcome(fleet::Outcome::Misdirected);
        }
        if said.is_rejection {
            return Answer::Outcome(fleet::Outcome::Rejected);
        }
        let is_prefill = dispatch.step == fleet::Step::Prefill;
        let is_success = head.status.is_success();
        if !is_prefill && (!said.is_own || (is_success && !said.is_signed)) {
            return broken;
        }
        if self.is_stream && is_success && !is_prefill {
            let mut events = relay::Events::default();
            return match first_events(&mut body, &mut events).await {
                Some((first, is_over)) => {
                    Answer::Stream(Box::new(Stream { head, body, first, is_over, connection }))
                }
                None => broken,
            };
        }
        let Ok(body) = body.collect().await else { return broken };
        let body = body.to_bytes();
        if is_prefill {
            return Answer::Outcome(match dialect.read_prefilled(&body) {
                Some(handle) if is_success => fleet::Outcome::Prefilled { handle },
                _ => fleet::Outcome::ConnectionLost,
            });
        }
        let is_failure = head.status.is_server_error() || PROMISES.contains(&head.status.as_u16());
        let answer = http::Response::from_parts(head, body);
        if is_failure { Answer::Failure(answer) } else { Answer::Whole(answer) }
    }

    fn refused(mut self, refusal: refusal::Refusal) -> Response {
        self.presence.has_ended = true;
        self.presence.context.dialect.write_refusal(refusal)
    }

    /// Passes on a failed answer; one whose status would promise that the request has not run,
    /// which the server has not stated, becomes an unknown outcome.
    fn deliver(mut self) -> Response {
        let kept = self.kept.take().filter(|kept| !PROMISES.contains(&kept.status().as_u16()));
        match kept {
            Some(answer) => {
                self.presence.has_ended = true;
                self.whole(answer)
            }
            None => self.refused(refusal::Refusal::new(refusal::Reason::OutcomeUnknown)),
        }
    }

    fn finish(mut self, answer: http::Response<Bytes>) -> Response {
        self.progress(fleet::Outcome::Finished { status: answer.status().as_u16() });
        self.presence.has_ended = true;
        self.whole(answer)
    }

    fn whole(&self, answer: http::Response<Bytes>) -> Response {
        let (mut head, body) = answer.into_parts();
        self.presence.context.dialect.clean_answer(&mut head);
        http::Response::from_parts(head, body::Body::whole(body))
    }

    /// Answers with the head of a stream and relays its events from a task of its own.
    fn begin_stream(self, stream: Stream) -> Response {
        let mut head = stream.head.clone();
        self.presence.context.dialect.clean_answer(&mut head);
        let (pieces, receiver) = tokio::sync::mpsc::channel(PIECES_AHEAD);
        tokio::task::spawn_local(self.relay(stream, pieces));
        http::Response::from_parts(head, body::Body::Stream(receiver))
    }

    async fn relay(mut self, first: Stream, pieces: tokio::sync::mpsc::Sender<body::Piece>) {
        let mut stream = Some(first);
        while let Some(current) = stream.take() {
            self.progress(fleet::Outcome::Started);
            match self.pass_on(current, &pieces).await {
                Passed::Finished => {
                    self.progress(fleet::Outcome::Finished { status: 200 });
                    self.presence.has_ended = true;
                    return;
                }
                // Dropping the task tells that the caller has left.
                Passed::CallerLeft => return,
                Passed::Expired => self.expire(),
                Passed::BrokenOff => self.progress(fleet::Outcome::Truncated),
            }
            stream = self.next_stream(&pieces).await;
        }
        self.presence.has_ended = true;
        tokio::time::sleep(FLUSH_PAUSE).await;
        // A caller that has left does not miss the error.
        let _ = pieces.send(Err(body::BrokenOff)).await;
    }

    /// Waits until the stream goes on at another server; `None` if it does not.
    async fn next_stream(
        &mut self,
        pieces: &tokio::sync::mpsc::Sender<body::Piece>,
    ) -> Option<Stream> {
        loop {
            let command = tokio::select! {
                command = self.next_command() => command?,
                () = pieces.closed() => return None,
            };
            let context::Command::Send(dispatch) = command else { return None };
            let answer = tokio::select! {
                answer = self.attempt(&dispatch) => answer,
                () = pieces.closed() => return None,
            };
            match answer {
                None => self.expire(),
                Some(Answer::Outcome(outcome)) => self.progress(outcome),
                Some(Answer::Whole(_)) => self.progress(fleet::Outcome::ConnectionLost),
                Some(Answer::Failure(answer)) => {
                    let status = answer.status().as_u16();
                    self.progress(fleet::Outcome::Failed { status });
                }
                Some(Answer::Stream(stream)) => return Some(*stream),
            }
        }
    }

    async fn pass_on(
        &mut self,
        stream: Stream,
        pieces: &tokio::sync::mpsc::Sender<body::Piece>,
    ) -> Passed {
        let Stream { mut body, first, is_over, connection: _connection, .. } = stream;
        self.events.drop_rest();
        let mut next = self.events.push(&first);
        let mut is_over = is_over;
        loop {
            if let Some(events) = next.take() {
                let sent = tokio::time::timeout(self.left(), pieces.send(Ok(events))).await;
                match sent {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Passed::CallerLeft,
                    Err(_) => return Passed::Expired,
                }
            }
            if is_over {
                return self.pass_rest(pieces).await;
            }
            let frame = tokio::select! {
                frame = tokio::time::timeout(self.left(), body.frame()) => frame,
                () = pieces.closed() => return Passed::CallerLeft,
            };
            match frame {
                Err(_) => return Passed::Expired,
                Ok(None) => is_over = true,
                Ok(Some(Err(_))) => return Passed::BrokenOff,
                Ok(Some(Ok(frame))) => {
                    next = frame.data_ref().and_then(|bytes| self.events.push(bytes));
                }
            }
        }
    }

    /// Passes on what follows the last whole event of a stream that ended as complete.
    async fn pass_rest(&mut self, pieces: &tokio::sync::mpsc::Sender<body::Piece>) -> Passed {
        let rest = self.events.take_rest();
        if rest.is_empty() {
            return Passed::Finished;
        }
        if self.is_resumable {
            return Passed::BrokenOff;
        }
        match pieces.send(Ok(rest)).await {
            Ok(()) => Passed::Finished,
            Err(_) => Passed::CallerLeft,
        }
    }
}

/// How the relay of a stream ended.
enum Passed {
    /// The stream is whole.
    Finished,
    /// The caller has left.
    CallerLeft,
    /// The request's time is over.
    Expired,
    /// The server's stream broke off.
    BrokenOff,
}

/// Reads until an event is whole; returns all bytes, and whether the stream is over.
async fn first_events(body: &mut Incoming, events: &mut relay::Events) -> Option<(Bytes, bool)> {
    let mut bytes = bytes::BytesMut::new();
    loop {
        let Some(frame) = body.frame().await else { return Some((bytes.freeze(), true)) };
        let frame = frame.ok()?;
        let Some(data) = frame.data_ref() else { continue };
        bytes.extend_from_slice(data);
        if events.push(data).is_some() {
            return Some((bytes.freeze(), false));
        }
    }
}
