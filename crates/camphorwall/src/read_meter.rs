//! Bounds what reading one connection costs the process, whatever its peer sends.
//!
//! The HTTP library reads within one poll for as long as the socket has bytes, and skips some of them without a limit, such as
//! interim heads and the blanks behind a chunk's size. All tasks of a process share one thread, so that such a peer would
//! stop them all. Heads that are still arriving count towards the process's memory, and writes are limited too, since the
//! stream below copies all that it is given.

use std::{
    any::Any,
    cell::{Cell, RefCell},
    fmt, io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBufCursor, Write};

/// Number of bytes after which a task that reads yields to the others, even if there are more.
const TURN_BYTES: usize = 8 * 1024;

/// Maximum number of bytes that one read returns.
const READ_BYTES: usize = 8 * 1024;

/// Maximum number of bytes that one write takes. The stream's buffer grows to what it is given and never shrinks.
const WRITE_BYTES: usize = 8 * 1024;

/// Size of a head up to which it fits into the buffers that each connection has.
const USUAL_HEAD_BYTES: usize = 4 * 1024;

/// Memory that a longer head takes: the HTTP library reads up to 32 KiB of it and doubles its buffer on the way.
const LARGE_HEAD_BYTES: usize = 48 * 1024;

/// Reserves memory of the process, which is free again once the result is dropped; `None` if there is too little.
pub type ReserveMemory = Rc<dyn Fn(usize) -> Option<Box<dyn Any>>>;

/// Bytes of a message that may be received beyond twice its body: framing of chunks, and what was read ahead.
const MAX_EXTRA_BYTES: usize = 128 * 1024;

/// Bytes that may be received before the end of an answer's head, interim heads included.
const MAX_HEADS_BYTES: usize = 40 * 1024;

/// Bytes of the message that is being received on a connection; clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct ReadMeter(Rc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    received_bytes: Cell<usize>,
    body_bytes: Cell<usize>,
    /// Whether an answer's head is still to come.
    awaits_head: Cell<bool>,
    /// Bytes received since the reading task last yielded.
    turn_bytes: Cell<usize>,
    /// Whether bytes that were to be written have not reached the socket, or could not be written.
    has_unsent_bytes: Cell<bool>,
    /// When the socket last took some of them, or the first were to be written.
    written_at: Cell<Option<Instant>>,
    heads: Option<Heads>,
}

/// Heads of the requests that a connection receives.
struct Heads {
    reserve: ReserveMemory,
    /// Memory of a large head.
    memory: RefCell<Option<Box<dyn Any>>>,
    /// Bytes of the head that is arriving.
    bytes: Cell<usize>,
    /// When its first byte came; `None` before.
    began_at: Cell<Option<Instant>>,
    /// Whether a request is being served.
    is_serving: Cell<bool>,
    /// Whether there was no memory for a head.
    is_refused: Cell<bool>,
}

impl fmt::Debug for Heads {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Heads").finish_non_exhaustive()
    }
}

impl Heads {
    fn note_received(&self, bytes: usize) {
        if self.is_serving.get() {
            return;
        }
        self.bytes.set(self.bytes.get() + bytes);
        if self.began_at.get().is_none() {
            self.began_at.set(Some(Instant::now()));
        }
        let is_large = self.bytes.get() > USUAL_HEAD_BYTES;
        if is_large && self.memory.borrow().is_none() {
            let memory = (self.reserve)(LARGE_HEAD_BYTES);
            self.is_refused.set(memory.is_none());
            self.memory.replace(memory);
        }
    }

    fn begin_request(&self) {
        self.is_serving.set(true);
        // A head that was whole before it was refused is served: its connection must not fail under the request.
        self.is_refused.set(false);
        self.bytes.set(0);
        self.began_at.set(None);
    }
}

impl ReadMeter {
    /// Counts the bytes of an answer, whose head is still to come.
    #[must_use]
    pub fn of_answer() -> Self {
        let meter = Self::default();
        meter.0.awaits_head.set(true);
        meter
    }

    /// Counts the bytes of requests, and reserves memory for large heads.
    #[must_use]
    pub fn of_requests(reserve: ReserveMemory) -> Self {
        Self(Rc::new(Counters {
            heads: Some(Heads {
                reserve,
                memory: RefCell::default(),
                bytes: Cell::default(),
                began_at: Cell::default(),
                is_serving: Cell::default(),
                is_refused: Cell::default(),
            }),
            ..Counters::default()
        }))
    }

    /// When the first byte of the head came that is arriving; `None` if none is.
    #[must_use]
    pub fn head_began_at(&self) -> Option<Instant> {
        self.0.heads.as_ref()?.began_at.get()
    }

    /// Whether a request is being served.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        let heads = self.0.heads.as_ref();
        heads.is_some_and(|heads| heads.is_serving.get())
    }

    /// Records that the answer to a request has ended.
    pub fn end_request(&self) {
        if let Some(heads) = &self.0.heads {
            heads.is_serving.set(false);
            heads.memory.take();
        }
    }

    /// Starts to count the body of another message, whose head has come.
    pub fn begin_body(&self) {
        self.0.received_bytes.set(0);
        self.0.body_bytes.set(0);
        self.0.awaits_head.set(false);
        if let Some(heads) = &self.0.heads {
            heads.begin_request();
        }
    }

    /// Records bytes of the message's body that the reader has taken.
    pub fn note_body(&self, bytes: usize) {
        self.0.body_bytes.set(self.0.body_bytes.get() + bytes);
    }

    /// Whether all that was written so far has reached the socket without an error.
    #[must_use]
    pub fn has_sent_all(&self) -> bool {
        !self.0.has_unsent_bytes.get()
    }

    /// Time since the socket last took some of the bytes that are to be written; `None` if it has taken them all.
    #[must_use]
    pub fn unsent_for(&self) -> Option<Duration> {
        let written_at = self.0.written_at.get()?;
        (!self.has_sent_all()).then(|| written_at.elapsed())
    }

    fn note_received(&self, bytes: usize) {
        let counters = &self.0;
        counters
            .received_bytes
            .set(counters.received_bytes.get() + bytes);
        counters.turn_bytes.set(counters.turn_bytes.get() + bytes);
        if let Some(heads) = &counters.heads {
            heads.note_received(bytes);
        }
    }

    fn has_used_turn(&self) -> bool {
        self.0.turn_bytes.get() >= TURN_BYTES
    }

    fn end_turn(&self) {
        self.0.turn_bytes.set(0);
    }

    /// Fails once too few of the received bytes turn out to be a body.
    fn check(&self) -> io::Result<()> {
        let heads = self.0.heads.as_ref();
        if heads.is_some_and(|heads| heads.is_refused.get()) {
            let message = "there is no memory for a large head; the caller can send it again";
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, message));
        }
        let (received, body) = (self.0.received_bytes.get(), self.0.body_bytes.get());
        let message = if self.0.awaits_head.get() {
            if received <= MAX_HEADS_BYTES {
                return Ok(());
            }
            format!(
                "the peer sent {received} bytes without the head of an answer, {MAX_HEADS_BYTES} are allowed; check what it \
                 sends"
            )
        } else {
            if received <= MAX_EXTRA_BYTES + 2 * body {
                return Ok(());
            }
            format!(
                "the peer sent {received} bytes for a body of {body} so far, more than twice as many and {MAX_EXTRA_BYTES} \
                 beyond; check what it sends"
            )
        };
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }
}

/// A connection whose reader yields after each [`TURN_BYTES`] bytes and fails when its peer sends bytes that lead to no body.
pub struct MeteredStream {
    stream: HyperStream<TcpStream>,
    meter: ReadMeter,
}

impl MeteredStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream, meter: ReadMeter) -> Self {
        Self {
            stream: HyperStream::new_plain(stream),
            meter,
        }
    }
}

impl Read for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.meter.check()?;
        if self.meter.has_used_turn() {
            self.meter.end_turn();
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut bytes = [0; READ_BYTES];
        let room = buffer.remaining().min(READ_BYTES);
        let stream = Pin::new(&mut self.stream);
        let polled = futures_util::AsyncRead::poll_read(stream, context, &mut bytes[..room]);
        if polled.is_pending() {
            self.meter.end_turn();
        }
        let count = ready!(polled)?;
        buffer.put_slice(&bytes[..count]);
        self.meter.note_received(count);
        Poll::Ready(Ok(()))
    }
}

impl Write for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let had_unsent_bytes = self.meter.0.has_unsent_bytes.replace(true);
        let bytes = &bytes[..bytes.len().min(WRITE_BYTES)];
        let polled = Write::poll_write(Pin::new(&mut self.stream), context, bytes);
        if polled.is_ready() || !had_unsent_bytes {
            self.meter.0.written_at.set(Some(Instant::now()));
        }
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = buffers.iter().find(|buffer| !buffer.is_empty());
        self.poll_write(context, first.map_or(&[], |buffer| buffer))
    }

    fn is_write_vectored(&self) -> bool {
        Write::is_write_vectored(&self.stream)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Write::poll_flush(Pin::new(&mut self.stream), context);
        if let Poll::Ready(Ok(())) = &polled {
            self.meter.0.has_unsent_bytes.set(false);
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.stream), context)
    }
}
