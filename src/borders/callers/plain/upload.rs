//! The request body of a plain call: buffered if it is short, else streamed with back-pressure.

use std::time;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::time as tokio_time;

use crate::borders::callers::errors;
use crate::borders::http;

/// The longest body that is buffered, in bytes; longer bodies are streamed.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A request body to be sent to a backend server.
pub enum Upload {
    /// A buffered body, which can be sent to several servers.
    Buffered(Bytes),
    /// A streamed body, which can be sent once; `None` after that.
    Streamed(Option<http::Body>),
}

impl Upload {
    /// Reads a body to its end, or until it exceeds [`MAX_BUFFERED_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or no frame arrives for `frame_timeout`.
    pub async fn read(
        mut body: body::Incoming,
        frame_timeout: time::Duration,
    ) -> Result<Self, errors::RequestError> {
        let mut buffered = Vec::new();
        let declared_bytes = body::Body::size_hint(&body).lower();
        if declared_bytes > MAX_BUFFERED_BYTES as u64 {
            return Ok(Self::stream(buffered, body, frame_timeout));
        }
        loop {
            let next = tokio_time::timeout(frame_timeout, body.frame()).await;
            let frame = match next.map_err(|_| errors::RequestError::Timeout)? {
                Some(frame) => frame.map_err(|_| errors::RequestError::Truncated)?,
                None => return Ok(Self::Buffered(Bytes::from(buffered))),
            };
            let Ok(data) = frame.into_data() else { continue };
            buffered.extend_from_slice(&data);
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Ok(Self::stream(buffered, body, frame_timeout));
            }
        }
    }

    /// Returns the body if it is buffered.
    pub fn as_buffered(&self) -> Option<&Bytes> {
        match self {
            Upload::Buffered(bytes) => Some(bytes),
            Upload::Streamed(_) => None,
        }
    }

    /// Returns the body for an attempt; `None` if it is a stream that has already been taken.
    pub fn take(&mut self) -> Option<http::Body> {
        match self {
            Upload::Buffered(bytes) => Some(http::full(bytes.clone())),
            Upload::Streamed(body) => body.take(),
        }
    }

    fn stream(buffered: Vec<u8>, body: body::Incoming, frame_timeout: time::Duration) -> Self {
        let first = (!buffered.is_empty()).then(|| Ok(body::Frame::data(Bytes::from(buffered))));
        let rest = stream::unfold(Some(body), move |body| next_frame(body, frame_timeout));
        let frames = stream::iter(first).chain(rest);
        let body = http_body_util::StreamBody::new(frames.boxed()).boxed_unsync();
        Self::Streamed(Some(body))
    }
}

type Item = Result<body::Frame<Bytes>, http::BodyError>;

/// Reads the next frame; the stream ends after a failure.
async fn next_frame(
    body: Option<body::Incoming>,
    frame_timeout: time::Duration,
) -> Option<(Item, Option<body::Incoming>)> {
    let mut body = body?;
    match tokio_time::timeout(frame_timeout, body.frame()).await {
        Ok(Some(Ok(frame))) => Some((Ok(frame), Some(body))),
        Ok(Some(Err(failure))) => Some((Err(http::BodyError::new(failure)), None)),
        Ok(None) => None,
        Err(_) => Some((Err(http::BodyError::new("the caller sent no body frame in time")), None)),
    }
}
