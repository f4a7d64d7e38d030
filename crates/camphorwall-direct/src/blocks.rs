//! Bytes of a body in blocks, as they were received.

use std::{
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// A body in blocks, of which clones share the bytes. A copy into one piece would take its memory twice.
#[derive(Clone, Debug)]
pub(crate) struct Blocks {
    parts: Rc<[Bytes]>,
    /// Number of blocks that have been sent.
    sent: usize,
    left_bytes: usize,
}

impl Blocks {
    pub(crate) fn new(blocks: Vec<Bytes>) -> Self {
        Self {
            left_bytes: blocks.iter().map(Bytes::len).sum(),
            parts: blocks.into(),
            sent: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.left_bytes
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(AsRef::as_ref)
    }
}

impl From<Bytes> for Blocks {
    fn from(bytes: Bytes) -> Self {
        Self::new(if bytes.is_empty() {
            Vec::new()
        } else {
            vec![bytes]
        })
    }
}

impl Body for Blocks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.parts.get(self.sent).cloned();
        let block = block.inspect(|block| {
            self.sent += 1;
            self.left_bytes -= block.len();
        });
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes as u64)
    }
}
