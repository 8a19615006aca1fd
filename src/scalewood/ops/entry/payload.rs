//! The body of a caller's request, in blocks, with the permit for their memory.
//!
//! Clones share the blocks, so that the body is in memory once however often it is sent.

use std::{
    borrow::Cow,
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{self, Frame, SizeHint};

use crate::ops::entry::{buffer::Permit, rope::Rope};

/// The body of a request, which is held until the last clone is dropped.
#[derive(Clone, Debug, Default)]
pub(super) struct Payload(Arc<Blocks>);

/// The shared data of a [`Payload`].
#[derive(Debug, Default)]
struct Blocks {
    blocks: Vec<Bytes>,
    len: usize,
    _permit: Option<Arc<Permit>>,
}

impl Payload {
    /// Returns a body that is one block.
    pub(super) fn new(block: Bytes, permit: Arc<Permit>) -> Self {
        Self(Arc::new(Blocks {
            len: block.len(),
            blocks: vec![block],
            _permit: Some(permit),
        }))
    }

    pub(super) fn len(&self) -> usize {
        self.0.len
    }

    pub(super) fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.0.blocks.iter().map(AsRef::as_ref)
    }

    /// Returns the whole body as one block; copies it if it has several.
    pub(super) fn joined(&self) -> Cow<'_, [u8]> {
        match &self.0.blocks[..] {
            [block] => Cow::Borrowed(block),
            blocks => Cow::Owned(blocks.concat()),
        }
    }

    /// Returns the body of a message that sends this payload.
    pub(super) fn body(&self) -> Body {
        Body {
            payload: self.clone(),
            sent_blocks: 0,
            left: self.len(),
        }
    }
}

impl From<Rope> for Payload {
    fn from(rope: Rope) -> Self {
        let len = rope.len();
        let (blocks, permit) = rope.into_blocks();
        Self(Arc::new(Blocks {
            blocks,
            len,
            _permit: Some(Arc::new(permit)),
        }))
    }
}

/// The body of a message that sends a [`Payload`].
#[derive(Clone, Debug)]
pub(super) struct Body {
    payload: Payload,
    sent_blocks: usize,
    /// The bytes that are left to be sent.
    left: usize,
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let block = this.payload.0.blocks.get(this.sent_blocks).cloned();
        Poll::Ready(block.map(|block| {
            this.sent_blocks += 1;
            this.left -= block.len();
            Ok(Frame::data(block))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
