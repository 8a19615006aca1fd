//! The bodies that callers get.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Pieces of a stream that wait for a slow caller, at most.
pub(super) const WAITING: usize = 32;

/// A stream that ended without its end mark; the connection is cut, so that the
/// caller can't take it for whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream was cut before its end")
    }
}

impl std::error::Error for Cut {}

/// A piece of a stream, or its cut.
pub(super) type Piece = Result<Bytes, Cut>;

/// The body of an answer.
#[derive(Debug)]
pub(super) enum Answer {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Stream(mpsc::Receiver<Piece>),
}

impl Answer {
    pub(super) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Answer::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Answer::Stream(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Answer::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Answer::Stream(_) => SizeHint::default(),
        }
    }
}
