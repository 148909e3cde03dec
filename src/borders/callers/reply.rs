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

#[cfg(test)]
mod tests;

/// Frames of a body that wait for a slow caller.
const BODY_QUEUE_FRAMES: usize = 32;

/// The caller has gone away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone;

type Frame = Result<body::Frame<Bytes>, http::BodyError>;

/// A piece of a body on its way to the connection.
enum Piece {
    Frame(body::Frame<Bytes>),
    /// The body is whole.
    End,
}

type Pieces = tokio_sync::mpsc::Sender<Piece>;

/// The sending half of an answer.
pub struct Reply {
    request: ids::RequestId,
    head: Option<tokio_sync::oneshot::Sender<http::Response>>,
    pieces: Option<Pieces>,
}

/// The half that the connection waits on.
pub type Head = tokio_sync::oneshot::Receiver<http::Response>;

impl Reply {
    /// Creates both halves.
    pub fn new(request: ids::RequestId) -> (Self, Head) {
        let (head, receiver) = tokio_sync::oneshot::channel();
        (Self { request, head: Some(head), pieces: None }, receiver)
    }

    /// Returns whether the head has been sent.
    pub fn is_started(&self) -> bool {
        self.head.is_none()
    }

    /// Waits until the caller has gone away.
    pub async fn closed(&mut self) {
        if let Some(head) = &mut self.head {
            head.closed().await;
        } else if let Some(pieces) = &self.pieces {
            pieces.closed().await;
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
        let (pieces, receiver) = tokio_sync::mpsc::channel(BODY_QUEUE_FRAMES);
        let frames = stream::unfold(Some(receiver), next_frame);
        let body = http_body_util::StreamBody::new(frames.boxed()).boxed_unsync();
        self.pieces = Some(pieces);
        let response = self.with_id(head.map(|()| body));
        sender.send(response).map_err(|_| Gone)
    }

    /// Sends a piece of the body; waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    pub async fn write(&mut self, frame: body::Frame<Bytes>) -> Result<(), Gone> {
        let Some(pieces) = &self.pieces else { return Err(Gone) };
        pieces.send(Piece::Frame(frame)).await.map_err(|_| Gone)
    }

    /// Ends the body. A body that is dropped without its end is broken off.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    pub async fn finish(&mut self) -> Result<(), Gone> {
        let Some(pieces) = self.pieces.take() else { return Err(Gone) };
        pieces.send(Piece::End).await.map_err(|_| Gone)
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
            log::debug!("the caller of a refused request has gone away");
        }
        self.pieces = None;
    }

    fn with_id(&self, mut response: http::Response) -> http::Response {
        let id = ids::request_text(self.request);
        if let Ok(value) = hyper::header::HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }
}

/// Returns the next frame of a body, and an error if its sender is gone before the end.
async fn next_frame(
    receiver: Option<tokio_sync::mpsc::Receiver<Piece>>,
) -> Option<(Frame, Option<tokio_sync::mpsc::Receiver<Piece>>)> {
    let mut receiver = receiver?;
    match receiver.recv().await {
        Some(Piece::Frame(frame)) => Some((Ok(frame), Some(receiver))),
        Some(Piece::End) => None,
        None => {
            let failure = http::BodyError::new("the answer could not be completed");
            Some((Err(failure), None))
        }
    }
}
