//! The response to one caller: the head is sent once, then the body frame by frame.

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

/// Body frames buffered for a slow caller.
const BODY_QUEUE_FRAMES: usize = 32;

/// The caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

type Frame = Result<body::Frame<Bytes>, http::BodyError>;

/// An item of the queue from a request's task to the connection.
enum BodyItem {
    Frame(body::Frame<Bytes>),
    /// The body is complete. A queue that closes without this item makes the body fail.
    End,
}

type BodySender = tokio_sync::mpsc::Sender<BodyItem>;

/// The sending half of a response.
pub struct Reply {
    request: ids::RequestId,
    head: Option<tokio_sync::oneshot::Sender<http::Response>>,
    body_sender: Option<BodySender>,
}

/// The half that receives the response's head, for the connection.
pub type HeadReceiver = tokio_sync::oneshot::Receiver<http::Response>;

impl Reply {
    /// Creates both halves of the response to a request.
    pub fn new(request: ids::RequestId) -> (Self, HeadReceiver) {
        let (head, receiver) = tokio_sync::oneshot::channel();
        (Self { request, head: Some(head), body_sender: None }, receiver)
    }

    /// Returns whether the response head has been sent.
    pub fn is_started(&self) -> bool {
        self.head.is_none()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&mut self) {
        if let Some(head) = &mut self.head {
            head.closed().await;
        } else if let Some(body_sender) = &self.body_sender {
            body_sender.closed().await;
        } else {
            std::future::pending().await
        }
    }

    /// Sends a complete response.
    pub fn send_response(&mut self, response: http::Response) {
        if let Some(head) = self.head.take() {
            drop(head.send(self.with_request_id(response)));
        }
    }

    /// Sends the response head; the body follows.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn start(&mut self, head: hyper::Response<()>) -> Result<(), Disconnected> {
        let Some(sender) = self.head.take() else { return Ok(()) };
        let (body_sender, receiver) = tokio_sync::mpsc::channel(BODY_QUEUE_FRAMES);
        let frames = stream::unfold(Some(receiver), next_frame);
        let body = http_body_util::StreamBody::new(frames.boxed()).boxed_unsync();
        self.body_sender = Some(body_sender);
        let response = self.with_request_id(head.map(|()| body));
        sender.send(response).map_err(|_| Disconnected)
    }

    /// Sends a body frame; waits while the queue to a slow caller is full.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn write(&mut self, frame: body::Frame<Bytes>) -> Result<(), Disconnected> {
        let Some(body_sender) = &self.body_sender else { return Err(Disconnected) };
        body_sender.send(BodyItem::Frame(frame)).await.map_err(|_| Disconnected)
    }

    /// Ends the body. Without this call, the caller sees the body fail when the reply is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn finish(&mut self) -> Result<(), Disconnected> {
        let Some(body_sender) = self.body_sender.take() else { return Err(Disconnected) };
        body_sender.send(BodyItem::End).await.map_err(|_| Disconnected)
    }

    /// Refuses the request. If the head has been sent, writes `event` and aborts the body.
    pub async fn refuse(&mut self, refusal: &request::Refusal, event: Option<Bytes>) {
        if !self.is_started() {
            self.send_response(errors::refusal(refusal));
            return;
        }
        if let Some(event) = event
            && self.write(body::Frame::data(event)).await.is_err()
        {
            log::debug!("the caller of a refused request has disconnected");
        }
        self.body_sender = None;
    }

    fn with_request_id(&self, mut response: http::Response) -> http::Response {
        let id = ids::request_text(self.request);
        if let Ok(value) = hyper::header::HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }
}

/// Returns the next frame of a body; an error if the sender was dropped before [`BodyItem::End`].
async fn next_frame(
    receiver: Option<tokio_sync::mpsc::Receiver<BodyItem>>,
) -> Option<(Frame, Option<tokio_sync::mpsc::Receiver<BodyItem>>)> {
    let mut receiver = receiver?;
    match receiver.recv().await {
        Some(BodyItem::Frame(frame)) => Some((Ok(frame), Some(receiver))),
        Some(BodyItem::End) => None,
        None => {
            let failure = http::BodyError::new("the response could not be completed");
            Some((Err(failure), None))
        }
    }
}
