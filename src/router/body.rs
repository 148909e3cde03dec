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
pub struct BrokenOff;

/// What a stream passes to its body.
pub type Piece = Result<Bytes, BrokenOff>;

/// The body of an answer.
pub enum Body {
    /// It is there whole.
    Whole(Full<Bytes>),
    /// It comes in pieces.
    Stream(tokio::sync::mpsc::Receiver<Piece>),
}

impl Body {
    /// A whole body.
    pub fn whole<B: Into<Bytes>>(bytes: B) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(full) => pin::Pin::new(full)
                .poll_frame(context)
                .map_err(|never: convert::Infallible| match never {}),
            Self::Stream(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(body::Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}
