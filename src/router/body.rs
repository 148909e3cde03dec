//! Response bodies: complete ones, and streams that may be interrupted.

use std::convert;
use std::pin;
use std::task;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;

use crate::router::memory;

/// A stream ended prematurely: the caller's connection is closed without the last chunk, so that
/// the caller does not take the body as complete.
#[derive(Debug, thiserror::Error)]
#[error("the server's stream was interrupted; the caller's connection is closed")]
pub struct StreamInterrupted;

/// A part of a stream.
#[derive(Debug)]
pub enum Chunk {
    /// Some bytes of the body, and the memory that they take until they are sent.
    Data(Bytes, memory::Held),
    /// The body is complete. A stream that closes without this part is interrupted.
    End,
}

/// The body of a response to a caller.
pub enum Body {
    /// A complete body.
    Full(Full<Bytes>),
    /// A body that is sent chunk by chunk.
    Stream(tokio::sync::mpsc::Receiver<Chunk>),
}

impl Body {
    /// Creates a complete body.
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
            Self::Stream(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
                Some(Chunk::Data(bytes, _held)) => Some(Ok(body::Frame::data(bytes))),
                Some(Chunk::End) => None,
                None => Some(Err(StreamInterrupted)),
            }),
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

#[cfg(test)]
mod tests;
