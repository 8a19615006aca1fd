//! The response bodies sent to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::ops::entry::{admission::Request, buffer::Held};

/// The maximum number of pieces of a stream that are queued for a slow caller.
pub(super) const MAX_QUEUED_PIECES: usize = 32;

/// The error of a stream that ended without its end mark. hyper then closes the connection, so
/// that the caller can't take the stream for complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream was cut before its end")
    }
}

impl std::error::Error for Truncated {}

/// A piece of a stream, or the error that truncates it.
pub(super) type Piece = Result<Held, Truncated>;

/// The body of a response.
#[derive(Debug)]
pub(super) enum Answer {
    /// A complete body; `None` once it has been sent.
    Whole(Option<Held>),
    /// Pieces that are sent as they arrive.
    Stream(mpsc::Receiver<Piece>),
}

impl Answer {
    pub(super) fn whole(bytes: impl Into<Held>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for Answer {
    type Data = Held;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Held>, Truncated>>> {
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

/// The body of a response, with its request, which is open until the body was taken or dropped.
#[derive(Debug)]
pub(super) struct Tracked {
    answer: Answer,
    _request: Request,
}

impl Tracked {
    pub(super) fn new(answer: Answer, request: Request) -> Self {
        Self {
            answer,
            _request: request,
        }
    }
}

impl Body for Tracked {
    type Data = Held;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Held>, Truncated>>> {
        Pin::new(&mut self.get_mut().answer).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.answer.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.answer.size_hint()
    }
}
