//! Frames of one attempt, kept so that an entry whose connection went silent reads on over a new one.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use camphorwall::Frame;
use futures_channel::oneshot;

/// Most bytes of text that an outbox keeps before it drops frames that were read.
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

/// Frames of one attempt; clones share them.
#[derive(Clone, Default)]
pub(super) struct FrameBuffer(Rc<State>);

/// What a reader finds at a position.
#[derive(Debug, PartialEq)]
pub(super) enum FrameRead {
    /// The frame.
    Frame(Frame),
    /// There is none and none will come.
    End,
    /// The frame was dropped for lack of room.
    Dropped,
    /// Another reader took over.
    Replaced,
}

/// Right to read an outbox; the newest reader replaces the others.
pub(super) struct FrameReader {
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
    /// The remains of an outbox whose frames are forgotten; a reader finds them dropped.
    pub(super) fn discarded() -> Self {
        let buffer = Self::default();
        buffer.0.first_position.set(u64::MAX);
        buffer.0.read_position.set(u64::MAX);
        buffer.close();
        buffer
    }

    fn notify(&self) {
        for waker in self.0.wakers.take() {
            // The one who waited may be gone.
            let _ = waker.send(());
        }
    }

    async fn changed(&self) {
        let (sender, receiver) = oneshot::channel();
        self.0.wakers.borrow_mut().push(sender);
        // The sender goes only with the outbox.
        let _ = receiver.await;
    }

    /// Adds a frame; waits while the outbox is full of frames that nobody has read.
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

    /// Adds a last frame, also when the outbox is full.
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

    /// Frames that were added so far.
    pub(super) fn added_frames(&self) -> u64 {
        let buffered = self.0.frames.borrow().len() as u64;
        self.0.first_position.get().saturating_add(buffered)
    }

    /// Notes that no more frames come.
    pub(super) fn close(&self) {
        self.0.is_closed.set(true);
        self.notify();
    }

    /// Notes that the entry wants no more frames.
    pub(super) fn abandon(&self) {
        self.0.is_abandoned.set(true);
    }

    /// Whether no more frames come and every one was handed to a reader, or none is wanted.
    pub(super) fn is_drained(&self) -> bool {
        let is_wanted =
            !self.0.is_abandoned.get() && self.0.read_position.get() < self.added_frames();
        self.0.is_closed.get() && !is_wanted
    }

    /// Starts reading at a position; an earlier reader finds itself replaced.
    pub(super) fn read_from(&self, position: u64) -> FrameReader {
        self.0.reader.set(self.0.reader.get() + 1);
        self.notify();
        FrameReader {
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

impl FrameReader {
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
