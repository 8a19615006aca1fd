//! The body of an answer, the beginning of which may be read before the answer is chosen.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{self, Frame, Incoming, SizeHint};

use crate::ops::entry::{routed::stream, upstream::Failure};

/// A body that is being received.
#[derive(Debug)]
pub(super) struct Body {
    /// Frames that were read ahead.
    ahead: VecDeque<Frame<Bytes>>,
    rest: Incoming,
}

impl From<Incoming> for Body {
    fn from(rest: Incoming) -> Self {
        let ahead = VecDeque::new();
        Self { ahead, rest }
    }
}

impl Body {
    /// Waits for the first whole event of a stream, or the first bytes of another body, or the regular end.
    /// Nothing is lost if the future is dropped.
    pub(super) async fn begin(&mut self, is_stream: bool) -> Result<(), Failure> {
        let mut begun = BytesMut::new();
        for data in self.ahead.iter().filter_map(Frame::data_ref) {
            begun.extend_from_slice(data);
        }
        loop {
            let Some(frame) = self.rest.frame().await else {
                let is_whole = !is_stream || begun.iter().all(u8::is_ascii_whitespace);
                return is_whole.then_some(()).ok_or(Failure::BROKEN);
            };
            let frame = frame.map_err(|_| Failure::BROKEN)?;
            if let Some(data) = frame.data_ref() {
                begun.extend_from_slice(data);
            }
            self.ahead.push_back(frame);
            let has_begun = if is_stream {
                stream::end_of_events(&begun).is_some()
            } else {
                !begun.is_empty()
            };
            if has_begun {
                return Ok(());
            }
        }
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.ahead.pop_front() {
            Some(frame) => Poll::Ready(Some(Ok(frame))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ahead.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
