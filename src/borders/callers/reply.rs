//! The answer to one caller: its head once, then its body piece by piece.

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::sync as tokio_sync;

use crate::borders::callers::errors;
use crate::borders::http;
use crate::core::ids;
use crate::core::request;

/// Frames of a body that wait for a slow caller.
const BODY_QUEUE_FRAMES: usize = 32;

/// The caller has gone away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone;

type Frames = tokio_sync::mpsc::Sender<Result<body::Frame<Bytes>, http::BodyError>>;

/// The sending half of an answer.
pub struct Reply {
    request: ids::RequestId,
    head: Option<tokio_sync::oneshot::Sender<http::Response>>,
    frames: Option<Frames>,
}

/// The half that the connection waits on.
pub type Head = tokio_sync::oneshot::Receiver<http::Response>;

impl Reply {
    /// Creates both halves.
    pub fn new(request: ids::RequestId) -> (Self, Head) {
        let (head, receiver) = tokio_sync::oneshot::channel();
        (Self { request, head: Some(head), frames: None }, receiver)
    }

    /// Returns whether the head has been sent.
    pub fn is_started(&self) -> bool {
        self.head.is_none()
    }

    /// Waits until the caller has gone away.
    pub async fn closed(&mut self) {
        if let Some(head) = &mut self.head {
            head.closed().await;
        } else if let Some(frames) = &self.frames {
            frames.closed().await;
        } else {
            std::future::pending().await
        }
    }

    /// Sends a whole answer.
    pub fn send_whole(&mut self, response: http::Response) {
        if let Some(head) = self.head.take() {
            drop(head.send(self.with_id(response)));
        }
    }

    /// Sends the head of an answer whose body follows.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    pub fn start(&mut self, head: hyper::Response<()>) -> Result<(), Gone> {
        let Some(sender) = self.head.take() else { return Ok(()) };
        let (frames, receiver) = tokio_sync::mpsc::channel(BODY_QUEUE_FRAMES);
        let frames_of_body = stream::unfold(receiver, |mut receiver| async move {
            let frame = receiver.recv().await?;
            Some((frame, receiver))
        });
        let body = http_body_util::StreamBody::new(frames_of_body.boxed()).boxed_unsync();
        self.frames = Some(frames);
        let response = self.with_id(head.map(|()| body));
        sender.send(response).map_err(|_| Gone)
    }

    /// Sends a piece of the body; waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    pub async fn write(&mut self, frame: body::Frame<Bytes>) -> Result<(), Gone> {
        let Some(frames) = &self.frames else { return Err(Gone) };
        frames.send(Ok(frame)).await.map_err(|_| Gone)
    }

    /// Refuses the request; after the head was sent, breaks the body off.
    pub async fn refuse(&mut self, refusal: &request::Refusal, event: Option<Bytes>) {
        if !self.is_started() {
            self.send_whole(errors::refusal(refusal));
            return;
        }
        if let Some(event) = event
            && self.write(body::Frame::data(event)).await.is_err()
        {
            return;
        }
        if let Some(frames) = &self.frames {
            let failure = http::BodyError::new("the answer could not be completed");
            drop(frames.send(Err(failure)).await);
        }
    }

    fn with_id(&self, mut response: http::Response) -> http::Response {
        let id = ids::request_text(self.request);
        if let Ok(value) = hyper::header::HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }
}
