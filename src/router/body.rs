//! Bodies of answers: whole ones, and streams that may break off.

use std::convert;
use std::pin;
use std::task;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;

/// The answer broke off: its connection is closed without the end of the body.
#[derive(Debug, thiserror::Error)]
#[error("the server's answer broke off; the caller sees a closed connection")]
pub struct StreamInterrupted;

/// What a stream passes to its body.
pub type Chunk = Result<Bytes, StreamInterrupted>;

/// The body of an answer.
pub enum Body {
    /// It is there whole.
    Full(Full<Bytes>),
    /// It comes in chunks.
    Stream(tokio::sync::mpsc::Receiver<Chunk>),
}

impl Body {
    /// A whole body.
    pub fn full<B: Into<Bytes>>(bytes: B) -> Self {
        Self::Full(Full::new(bytes.into()))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, StreamInterrupted>>> {
        match self.get_mut() {
            Self::Full(full) => pin::Pin::new(full)
                .poll_frame(context)
                .map_err(|never: convert::Infallible| match never {}),
            Self::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(body::Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}
