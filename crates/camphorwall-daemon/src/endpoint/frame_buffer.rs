//! Buffers the frames of one attempt, so that an entry whose connection went silent can resume over a new one.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use camphorwall::Frame;
use futures_channel::oneshot;

/// Maximum number of bytes in a buffer; beyond it, frames that were read are dropped.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

#[derive(Default)]
struct State {
    frames: RefCell<VecDeque<Frame>>,
    first_position: Cell<u64>,
    read_position: Cell<u64>,
    buffered_bytes: Cell<usize>,
    reader: Cell<u64>,
    is_closed: Cell<bool>,
    is_abandoned: Cell<bool>,
    wakers: RefCell<Vec<oneshot::Sender<()>>>,
}

/// Buffered frames of one attempt; clones share them.
#[derive(Clone, Default)]
pub(super) struct FrameBuffer(Rc<State>);

/// Result of reading at a position.
#[derive(Debug, PartialEq)]
pub(super) enum FrameRead {
    /// The frame.
    Frame(Frame),
    /// The last frame was read; no more will follow.
    End,
    /// The frame is no longer buffered.
    Dropped,
    /// A newer reader has replaced this one.
    Replaced,
}

/// Reader of a buffer; the newest reader replaces the others.
pub(super) struct BufferReader {
    buffer: FrameBuffer,
    number: u64,
    next_position: u64,
}

fn size_bytes(frame: &Frame) -> usize {
    match frame {
        Frame::Token { text, .. } => text.len() + size_of::<Frame>(),
        Frame::Answer { body, .. } => body.len() + size_of::<Frame>(),
        _ => size_of::<Frame>(),
    }
}

impl FrameBuffer {
    /// A closed buffer whose frames were all discarded; readers get [`FrameRead::Dropped`].
    pub(super) fn discarded() -> Self {
        let buffer = Self::default();
        buffer.0.first_position.set(u64::MAX);
        buffer.0.read_position.set(u64::MAX);
        buffer.close();
        buffer
    }

    fn notify(&self) {
        for waker in self.0.wakers.take() {
            // The waiting task may have been dropped.
            let _ = waker.send(());
        }
    }

    async fn changed(&self) {
        let (sender, receiver) = oneshot::channel();
        self.0.wakers.borrow_mut().push(sender);
        // The sender is dropped only with the buffer.
        let _ = receiver.await;
    }

    /// Adds a frame; waits while the buffer is full of frames that have not been read.
    pub(super) async fn push(&self, frame: Frame) {
        let added_bytes = size_bytes(&frame);
        while self.0.buffered_bytes.get() + added_bytes > MAX_BUFFERED_BYTES
            && !self.0.frames.borrow().is_empty()
        {
            if !self.drop_read_frame() {
                self.changed().await;
            }
        }
        self.add(frame);
    }

    /// Adds a last frame, even when the buffer is full, and closes the buffer.
    pub(super) fn push_last(&self, frame: Frame) {
        self.add(frame);
        self.close();
    }

    fn add(&self, frame: Frame) {
        let added_bytes = size_bytes(&frame);
        self.0
            .buffered_bytes
            .set(self.0.buffered_bytes.get() + added_bytes);
        self.0.frames.borrow_mut().push_back(frame);
        self.notify();
    }

    /// Drops the oldest frame if it was read.
    fn drop_read_frame(&self) -> bool {
        let first_position = self.0.first_position.get();
        if first_position >= self.0.read_position.get() {
            return false;
        }
        let Some(frame) = self.0.frames.borrow_mut().pop_front() else {
            return false;
        };
        self.0.first_position.set(first_position + 1);
        let buffered_bytes = self.0.buffered_bytes.get();
        self.0
            .buffered_bytes
            .set(buffered_bytes.saturating_sub(size_bytes(&frame)));
        true
    }

    /// Number of frames added so far.
    pub(super) fn added_frames(&self) -> u64 {
        let buffered = self.0.frames.borrow().len() as u64;
        self.0.first_position.get().saturating_add(buffered)
    }

    /// Records that no more frames follow.
    pub(super) fn close(&self) {
        self.0.is_closed.set(true);
        self.notify();
    }

    /// Records that the entry wants no more frames.
    pub(super) fn abandon(&self) {
        self.0.is_abandoned.set(true);
    }

    /// Whether the buffer is closed and all its frames were read or are no longer wanted.
    pub(super) fn is_drained(&self) -> bool {
        let is_wanted =
            !self.0.is_abandoned.get() && self.0.read_position.get() < self.added_frames();
        self.0.is_closed.get() && !is_wanted
    }

    /// Starts reading at a position; earlier readers get [`FrameRead::Replaced`].
    pub(super) fn read_from(&self, position: u64) -> BufferReader {
        self.0.reader.set(self.0.reader.get() + 1);
        self.notify();
        BufferReader {
            buffer: self.clone(),
            number: self.0.reader.get(),
            next_position: position,
        }
    }

    fn find(&self, position: u64) -> Option<FrameRead> {
        let first_position = self.0.first_position.get();
        let Some(index) = position.checked_sub(first_position) else {
            return Some(FrameRead::Dropped);
        };
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        match self.0.frames.borrow().get(index) {
            Some(frame) => Some(FrameRead::Frame(frame.clone())),
            None if self.0.is_closed.get() => Some(FrameRead::End),
            None => None,
        }
    }
}

impl BufferReader {
    /// Next frame; waits until there is one.
    pub(super) async fn next(&mut self) -> FrameRead {
        loop {
            if self.buffer.0.reader.get() != self.number {
                return FrameRead::Replaced;
            }
            match self.buffer.find(self.next_position) {
                Some(FrameRead::Frame(frame)) => {
                    self.next_position += 1;
                    let read_position = &self.buffer.0.read_position;
                    read_position.set(read_position.get().max(self.next_position));
                    self.buffer.notify();
                    return FrameRead::Frame(frame);
                }
                Some(found) => return found,
                None => self.buffer.changed().await,
            }
        }
    }
}

#[cfg(test)]
#[path = "frame_buffer_tests.rs"]
mod tests;
