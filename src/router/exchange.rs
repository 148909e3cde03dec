//! One exchange with a server: sends it a request and reads its answer until that is whole, or has
//! begun if it is relayed as it comes.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::http;

use crate::core::fleet;
use crate::core::fleet::call;
use crate::core::fleet::decision;
use crate::core::ids;
use crate::router::context;
use crate::router::dialect;
use crate::router::memory;
use crate::router::relay;
use crate::router::upstream;

/// Statuses that tell a caller that the request has not run: it may send it again.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The media type of a stream of events.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// The result of one attempt at a server.
pub enum Attempt {
    /// An outcome without a response for the caller.
    Outcome(fleet::Outcome),
    /// A complete response.
    Complete(http::Response<Bytes>),
    /// A complete response with a status of a failure; another server may be tried.
    Failure(http::Response<Bytes>),
    /// A stream of events whose first event has been received, or an answer that is too long to be
    /// kept.
    Stream(Box<Stream>),
}

/// What is relayed of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relayed {
    /// Whole events.
    Events,
    /// All bytes as they come.
    Bytes,
}

/// The start of an answer.
enum Start {
    /// It is whole.
    Whole(Bytes),
    /// It goes on.
    Partial(Bytes),
}

/// Why an answer could not be read.
enum ReadFault {
    /// Its connection was lost, or it ended early.
    Lost,
    /// A part of it is longer than this instance takes.
    TooLong(decision::AnswerPart, usize),
    /// All answers together take too much memory, which is no fault of this server.
    NoMemory,
}

/// A server's answer that is relayed as it comes.
pub struct Stream {
    /// The id of the server.
    pub server: ids::ServerId,
    /// What is relayed of it.
    pub relayed: Relayed,
    /// Its head.
    pub head: http::response::Parts,
    /// The rest of its body.
    pub body: Incoming,
    /// All bytes read so far; empty if the body ended without any.
    pub first: Bytes,
    /// Closes the connection when dropped, so it is held until the stream ends.
    pub connection: upstream::Connection,
}

/// A caller's request as it is sent to a server.
#[derive(Clone, Copy)]
pub struct Exchange<'a> {
    /// The state of this instance.
    pub context: &'a context::Context,
    /// The number under which events of the exchange are reported: that of the request, or of its
    /// second leg.
    pub number: call::RequestNumber,
    /// The head of the caller's request.
    pub head: &'a http::request::Parts,
    /// The body of the caller's request.
    pub body: &'a Bytes,
    /// The request as routing sees it.
    pub call: &'a call::Call,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The id of the event after which a stream is resumed.
    pub after_event: Option<&'a http::HeaderValue>,
    /// The deadline.
    pub expires: ids::Timestamp,
}

impl Exchange<'_> {
    /// Sends the request to a server; returns `None` if the request's deadline passes first.
    pub async fn attempt(&self, dispatch: &fleet::Dispatch) -> Option<Attempt> {
        let remaining = self.expires.saturating_sub(self.context.now());
        let response_timeout =
            dispatch.response_timeout.filter(|response_timeout| *response_timeout < remaining);
        match tokio::time::timeout(
            response_timeout.unwrap_or(remaining),
            self.exchange(dispatch, remaining),
        )
        .await
        {
            Ok(response) => Some(response),
            Err(_) => response_timeout.map(|_| Attempt::Outcome(fleet::Outcome::Unresponsive)),
        }
    }

    async fn exchange(&self, dispatch: &fleet::Dispatch, remaining: time::Duration) -> Attempt {
        let dialect = &self.context.dialect;
        let mut connection = match upstream::Connection::open(dispatch.address).await {
            Ok(connection) => connection,
            Err(failure) => {
                log::debug!("server at {}: {failure}", dispatch.address);
                return Attempt::Outcome(fleet::Outcome::Unsent);
            }
        };
        let body = self.body.clone();
        let request = dialect.write_request(self.head, body, dispatch, remaining, self.after_event);
        let lost = Attempt::Outcome(fleet::Outcome::ConnectionLost);
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(upstream::UpstreamError::ResponseTooLong(bytes)) => {
                let fault = ReadFault::TooLong(decision::AnswerPart::Head, bytes);
                return self.unreadable(dispatch, fault);
            }
            Err(failure) => {
                log::debug!("server at {}: {failure}", dispatch.address);
                return lost;
            }
        };
        let (head, mut body) = response.into_parts();
        let response_head = dialect.read_response_head(&head, self.call);
        self.report_limit(dispatch, &head, response_head);
        if response_head.is_foreign {
            return lost;
        }
        if response_head.is_misdirected {
            return Attempt::Outcome(fleet::Outcome::Misdirected);
        }
        if response_head.is_rejection {
            return Attempt::Outcome(fleet::Outcome::Rejected);
        }
        let is_prefill = dispatch.step == fleet::Step::Prefill;
        let is_success = head.status.is_success();
        if !is_prefill
            && (!response_head.matches_request || (is_success && !response_head.is_signed))
        {
            return lost;
        }
        if self.is_stream && is_success && !is_prefill && is_event_stream(&head) {
            let first = match self.read_first_event(&mut body).await {
                Ok(first) => first,
                Err(fault) => return self.unreadable(dispatch, fault),
            };
            if first.is_empty() && framing(&head.headers) == decision::Framing::ConnectionClose {
                return lost;
            }
            let (server, relayed) = (dispatch.server.clone(), Relayed::Events);
            let stream = Stream { server, relayed, head, body, first, connection };
            return Attempt::Stream(Box::new(stream));
        }
        if is_prefill {
            let max_bytes = memory::MAX_INTERNAL_ANSWER_BYTES;
            let body = match upstream::read_whole(body, max_bytes).await {
                Ok(body) => body,
                Err(upstream::UpstreamError::ResponseTooLong(bytes)) => {
                    let fault = ReadFault::TooLong(decision::AnswerPart::Body, bytes);
                    return self.unreadable(dispatch, fault);
                }
                Err(_) => return lost,
            };
            return Attempt::Outcome(match dialect.read_prefill_response(&body) {
                Some(handle) if is_success => fleet::Outcome::Prefilled { handle },
                _ => fleet::Outcome::ConnectionLost,
            });
        }
        let is_failure =
            head.status.is_server_error() || NOT_RUN_STATUSES.contains(&head.status.as_u16());
        let body_start = match self.read_start(&mut body).await {
            Ok(body_start) => body_start,
            Err(fault) => return self.unreadable(dispatch, fault),
        };
        match body_start {
            Start::Whole(body) => {
                let response = http::Response::from_parts(head, body);
                if is_failure { Attempt::Failure(response) } else { Attempt::Complete(response) }
            }
            // A failure is kept while other servers are tried, and a stream cannot go on inside it.
            Start::Partial(first) if is_failure || self.is_stream => {
                let max_bytes = self.context.memory.max_buffered_bytes();
                let fault = if first.len() > max_bytes {
                    ReadFault::TooLong(decision::AnswerPart::Body, max_bytes)
                } else {
                    ReadFault::NoMemory
                };
                self.unreadable(dispatch, fault)
            }
            Start::Partial(first) => {
                let (server, relayed) = (dispatch.server.clone(), Relayed::Bytes);
                let stream = Stream { server, relayed, head, body, first, connection };
                Attempt::Stream(Box::new(stream))
            }
        }
    }

    /// Returns the outcome of an answer that could not be read.
    fn unreadable(&self, dispatch: &fleet::Dispatch, fault: ReadFault) -> Attempt {
        Attempt::Outcome(match fault {
            ReadFault::Lost => fleet::Outcome::ConnectionLost,
            ReadFault::NoMemory => {
                let held_bytes = self.context.memory.held_bytes();
                log::warn!("dropping an answer, as all answers take {held_bytes} bytes");
                fleet::Outcome::ConnectionLost
            }
            ReadFault::TooLong(part, limit_bytes) => {
                log_too_long(self.context, self.call, &dispatch.server, part, limit_bytes);
                fleet::Outcome::Endless
            }
        })
    }

    /// Reads a body until it is whole, or longer than what is kept of it.
    async fn read_start(&self, body: &mut Incoming) -> Result<Start, ReadFault> {
        let memory = &self.context.memory;
        let mut held = memory.hold();
        let mut bytes = bytes::BytesMut::new();
        loop {
            let Some(frame) = body.frame().await else { return Ok(Start::Whole(bytes.freeze())) };
            let frame = frame.map_err(|_| ReadFault::Lost)?;
            let Some(data) = frame.data_ref() else { continue };
            let has_room = held.grow(data.len());
            bytes.extend_from_slice(data);
            if !has_room || bytes.len() > memory.max_buffered_bytes() {
                return Ok(Start::Partial(bytes.freeze()));
            }
        }
    }

    /// Reads until the first event is complete and returns all bytes read; none if the body ends
    /// without any.
    async fn read_first_event(&self, body: &mut Incoming) -> Result<Bytes, ReadFault> {
        let mut held = self.context.memory.hold();
        let mut events = relay::EventBuffer::default();
        let mut bytes = bytes::BytesMut::new();
        loop {
            let Some(frame) = body.frame().await else {
                return if bytes.is_empty() { Ok(Bytes::new()) } else { Err(ReadFault::Lost) };
            };
            let frame = frame.map_err(|_| ReadFault::Lost)?;
            let Some(data) = frame.data_ref() else { continue };
            bytes.extend_from_slice(data);
            if events.push(data).is_some() {
                return Ok(bytes.freeze());
            }
            if bytes.len() > memory::MAX_EVENT_BYTES {
                let part = decision::AnswerPart::Event;
                return Err(ReadFault::TooLong(part, memory::MAX_EVENT_BYTES));
            }
            if !held.grow(data.len()) {
                return Err(ReadFault::NoMemory);
            }
        }
    }

    /// Reports what an answer states about the limit of its server, unless it is that of another
    /// server or of another request.
    fn report_limit(
        &self,
        dispatch: &fleet::Dispatch,
        head: &http::response::Parts,
        response_head: dialect::ResponseHead,
    ) {
        if response_head.is_misdirected || response_head.is_foreign {
            return;
        }
        // Answers to a prefill bear no signature.
        let is_prefilled = dispatch.step == fleet::Step::Prefill && head.status.is_success();
        let is_authentic = response_head.matches_request && response_head.is_signed || is_prefilled;
        self.context.apply(fleet::Event::AnswerReceived {
            request: self.number,
            limit: response_head.limit,
            notice: response_head.notice,
            load: response_head.load,
            is_authentic,
        });
    }
}

/// Logs that an answer is longer than this instance takes.
pub fn log_too_long(
    context: &context::Context,
    call: &call::Call,
    server: &ids::ServerId,
    part: decision::AnswerPart,
    limit_bytes: usize,
) {
    context.log(&decision::Decision::AnswerTooLong {
        request: String::from_utf8_lossy(&call.id).into_owned(),
        server: String::from_utf8_lossy(server).into_owned(),
        part,
        limit_bytes,
        held_bytes: context.memory.held_bytes(),
    });
}

/// Returns whether a response on the route of a stream must end at an event boundary: unless it is
/// of another type and its end is marked.
fn is_event_stream(head: &http::response::Parts) -> bool {
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    content_type.is_none_or(|it| it.as_bytes().starts_with(EVENT_STREAM_TYPE))
        || framing(&head.headers) == decision::Framing::ConnectionClose
}

/// Returns how the server marks the end of a response.
pub fn framing(headers: &http::HeaderMap) -> decision::Framing {
    if headers.contains_key(http::header::TRANSFER_ENCODING) {
        decision::Framing::Chunked
    } else if headers.contains_key(http::header::CONTENT_LENGTH) {
        decision::Framing::Length
    } else {
        decision::Framing::ConnectionClose
    }
}
