//! Records: a format of streamed answers in which each part is bound to its call and its position in the stream.
//!
//! A record consists of its length (4 bytes, little-endian), a MAC of 16 bytes and the content. The MAC covers the MAC
//! of the call, the number of the record and the content. The last record is empty, so that a truncated stream is
//! detected. A part that was changed, inserted, left out, moved or copied from another answer ends the stream with an
//! error.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use hyper::body::{Body, Frame};

use super::{CallHeader, PeerAuth, header::MAC_LENGTH_BYTES};
use crate::BoxedBody;

/// Domain of the MAC of a record.
const DOMAIN_RECORD: &[u8] = b"camphorwall record 1";

/// Length of a record's head (length and MAC) in bytes.
const HEAD_LENGTH_BYTES: usize = 4 + MAC_LENGTH_BYTES;

/// Maximum length of one record's content in bytes.
const MAX_CONTENT_BYTES: usize = 256 * 1024;

/// Content up to this size is copied behind its head, so that both are sent in one write.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Numbers the records of one answer and computes their MACs.
struct Chain {
    auth: PeerAuth,
    call: CallHeader,
    next_number: u64,
}

impl Chain {
    fn fields<'a>(&'a self, number: &'a [u8; 8], content: &'a [u8]) -> [&'a [u8]; 4] {
        [DOMAIN_RECORD, &self.call.mac, number, content]
    }

    fn sign(&mut self, content: &[u8]) -> [u8; MAC_LENGTH_BYTES] {
        let number = self.next_number.to_le_bytes();
        self.next_number += 1;
        // A chain is made only where a secret is set, so that there always is a MAC.
        self.auth
            .sign(&self.fields(&number, content))
            .unwrap_or_default()
    }

    fn verify_next(&mut self, content: &[u8], mac: &[u8; MAC_LENGTH_BYTES]) -> bool {
        let number = self.next_number.to_le_bytes();
        self.next_number += 1;
        self.auth.verifies(&self.fields(&number, content), mac)
    }
}

/// Turns the parts of an answer into records.
pub(super) struct RecordSealer(Chain);

impl RecordSealer {
    pub(super) const fn new(auth: PeerAuth, call: CallHeader) -> Self {
        Self(Chain {
            auth,
            call,
            next_number: 0,
        })
    }

    /// Appends the records of one part to `out`; an empty part ends the stream.
    fn seal(&mut self, mut part: Bytes, out: &mut VecDeque<Bytes>) {
        loop {
            let content = part.split_to(part.len().min(MAX_CONTENT_BYTES));
            let mac = self.0.sign(&content);
            let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
            let mut head = BytesMut::with_capacity(HEAD_LENGTH_BYTES + MAX_COPIED_BYTES);
            head.put_u32_le(length);
            head.put_slice(&mac);
            if content.len() <= MAX_COPIED_BYTES {
                head.put_slice(&content);
                out.push_back(head.freeze());
            } else {
                out.extend([head.freeze(), content]);
            }
            if part.is_empty() {
                return;
            }
        }
    }
}

/// A body whose parts are sent as records.
pub(super) struct SealedBody {
    body: BoxedBody,
    sealer: RecordSealer,
    ready: VecDeque<Bytes>,
    has_ended: bool,
}

impl SealedBody {
    pub(super) const fn new(body: BoxedBody, sealer: RecordSealer) -> Self {
        Self {
            body,
            sealer,
            ready: VecDeque::new(),
            has_ended: false,
        }
    }
}

impl Body for SealedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = self.get_mut();
        loop {
            if let Some(bytes) = this.ready.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            if this.has_ended {
                return Poll::Ready(None);
            }
            let part = match ready!(this.body.as_mut().poll_frame(context)) {
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                None => {
                    this.has_ended = true;
                    Bytes::new()
                }
            };
            // An empty record marks the end of the stream, so empty parts are left out.
            if this.has_ended || !part.is_empty() {
                this.sealer.seal(part, &mut this.ready);
            }
        }
    }
}

/// Verifies the records of a streamed answer.
pub(crate) struct RecordOpener {
    chain: Chain,
    buffer: BytesMut,
    has_ended: bool,
}

fn broken(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

impl RecordOpener {
    /// Makes the opener for the answer to a call.
    pub(crate) fn new(auth: PeerAuth, call: CallHeader) -> Self {
        let chain = Chain {
            auth,
            call,
            next_number: 0,
        };
        Self {
            chain,
            buffer: BytesMut::new(),
            has_ended: false,
        }
    }

    /// Adds received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the content of the next complete record; `None` at the end, or when more bytes are needed.
    ///
    /// # Errors
    /// When a record is too long, follows the end, or is not the one that a holder of a secret made for this position.
    pub(crate) fn next_content(&mut self) -> io::Result<Option<Bytes>> {
        let Some(length) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        match () {
            () if self.has_ended => return Err(broken("bytes after the end of the stream")),
            () if length > MAX_CONTENT_BYTES => return Err(broken("a record is too long")),
            () if self.buffer.len() < HEAD_LENGTH_BYTES + length => return Ok(None),
            () => {}
        }
        self.buffer.advance(4);
        let mut mac = [0; MAC_LENGTH_BYTES];
        self.buffer.copy_to_slice(&mut mac);
        let content = self.buffer.split_to(length).freeze();
        if !self.chain.verify_next(&content, &mac) {
            return Err(broken("a record was not made by a holder of the secret"));
        }
        self.has_ended = content.is_empty();
        Ok(Some(content).filter(|content| !content.is_empty()))
    }

    /// Checks that the stream is complete.
    ///
    /// # Errors
    /// When the stream was truncated.
    pub(crate) fn finish(&self) -> io::Result<()> {
        if self.has_ended && self.buffer.is_empty() {
            Ok(())
        } else {
            Err(broken("the stream was cut"))
        }
    }
}

#[cfg(test)]
#[path = "records_tests.rs"]
mod tests;
