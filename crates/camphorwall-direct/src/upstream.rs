//! Sends requests to endpoints and the store, each over a new connection.
//!
//! No connection is reused: a late or extra answer can't be taken for that of the next request, and no request is lost
//! on a connection that was closed or became unreachable while idle.

use std::{
    cell::Cell,
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use camphorwall::{MeteredStream, ReadMeter, set_socket_buffers};
use compio::{net::TcpStream, runtime::JoinHandle};
use http::header;
use http_body_util::BodyExt as _;
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming, SizeHint},
    client::conn::http1,
};
use snafu::Snafu;

use crate::{blocks::Blocks, memory_pool::MemoryShare};

/// Timeout of setting up a connection; with a reachable endpoint this takes one or two round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of an answer's head, and of what is read ahead of a body.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Highest status that HTTP defines. The HTTP library rejects statuses below 100 and accepts any other of three digits.
const MAX_STATUS: u16 = 599;

/// Size of each of the kernel's two buffers of a connection. They hold what an endpoint sends while the caller does not
/// read; with the system's sizes that is up to 6 MiB for each answer.
const SOCKET_BUFFER_BYTES: usize = 32 * 1024;

/// Size up to which an answer that must be whole is read even if the memory is full: its request is admitted, and the memory
/// of that covers it.
const USUAL_ANSWER_BYTES: usize = 4 * 1024;

/// A request that got no answer.
#[derive(Debug, Snafu)]
pub(crate) enum SendError {
    /// No connection; the request has not run.
    #[snafu(display("no connection to {address}: {message}; check that the endpoint runs"))]
    NotSent {
        address: SocketAddr,
        message: String,
    },
    /// The connection broke after something was sent; the request may have run.
    #[snafu(display("the connection to {address} broke: {message}; the request may have run"))]
    Broken {
        address: SocketAddr,
        message: String,
    },
}

/// How an answer announces the end of its body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// By a length, or by a status that allows no body.
    Length,
    /// By a last chunk.
    Chunked,
    /// Only by the end of the connection.
    Connection,
}

/// An answer whose body is still to be read. Dropping it closes the connection.
pub(crate) struct Answer {
    pub(crate) parts: http::response::Parts,
    pub(crate) body: AnswerBody,
}

/// The unread rest of an answer, with its connection.
pub(crate) struct AnswerBody {
    incoming: Incoming,
    meter: ReadMeter,
    framing: Framing,
    /// Whether the HTTP library has taken the whole body of the request.
    is_request_taken: Rc<Cell<bool>>,
    /// Dropping the handle ends the task, which closes the connection.
    _connection: JoinHandle<()>,
}

impl AnswerBody {
    pub(crate) const fn framing(&self) -> Framing {
        self.framing
    }

    /// The next bytes; `None` once the answer is complete.
    ///
    /// If the connection is reset while the request is being written, the write takes the error from the socket, and the next
    /// read returns an orderly end. A body that ends with its connection is therefore complete only if the request was sent.
    pub(crate) async fn next(&mut self) -> io::Result<Option<Bytes>> {
        while let Some(frame) = self.incoming.frame().await {
            if let Ok(data) = frame.map_err(io::Error::other)?.into_data() {
                self.meter.note_body(data.len());
                return Ok(Some(data));
            }
        }
        let is_sent = self.is_request_taken.get() && self.meter.has_sent_all();
        if self.framing == Framing::Connection && !is_sent {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the connection ended before the request was sent; the answer may be incomplete",
            ));
        }
        Ok(None)
    }

    /// Reads up to the end, or until `may_hold` denies the number of bytes that have been read.
    pub(crate) async fn read_start(
        &mut self,
        mut may_hold: impl FnMut(usize) -> bool,
    ) -> io::Result<BodyStart> {
        let mut collected = BytesMut::new();
        let is_complete = loop {
            let Some(data) = self.next().await? else {
                break true;
            };
            collected.extend_from_slice(&data);
            if !may_hold(collected.len()) {
                break false;
            }
        };
        Ok(BodyStart {
            bytes: collected.freeze(),
            is_complete,
        })
    }

    /// Reads the rest; fails if it has more than `max_bytes` or there is no memory for it.
    pub(crate) async fn collect(
        &mut self,
        max_bytes: usize,
        memory: &mut MemoryShare,
    ) -> io::Result<Bytes> {
        let start = self
            .read_start(|bytes| {
                let is_usual = bytes <= USUAL_ANSWER_BYTES;
                bytes <= max_bytes && (is_usual || memory.grow_answer_to(bytes))
            })
            .await?;
        if start.is_complete {
            Ok(start.bytes)
        } else {
            Err(io::Error::other(
                "the answer is larger than its call or the memory allows",
            ))
        }
    }
}

/// The start of an answer's body.
pub(crate) struct BodyStart {
    pub(crate) bytes: Bytes,
    pub(crate) is_complete: bool,
}

/// Body of a request that records when the HTTP library has taken all of it.
struct TrackedBody {
    blocks: Blocks,
    is_taken: Rc<Cell<bool>>,
}

impl TrackedBody {
    fn new(blocks: Blocks, is_taken: &Rc<Cell<bool>>) -> Self {
        is_taken.set(blocks.is_end_stream());
        Self {
            blocks,
            is_taken: Rc::clone(is_taken),
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let polled = Pin::new(&mut self.blocks).poll_frame(context);
        self.is_taken.set(self.blocks.is_end_stream());
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.blocks.size_hint()
    }
}

/// An open connection on which nothing has been sent yet.
pub(crate) struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<TrackedBody>,
    meter: ReadMeter,
    task: JoinHandle<()>,
}

impl Connection {
    /// Connects to an endpoint.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let not_sent = |error: &dyn std::fmt::Display| SendError::NotSent {
            address,
            message: error.to_string(),
        };
        let connected = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(_) => return Err(not_sent(&"no answer in time")),
        };
        // With Nagle's algorithm on, a small request may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        set_socket_buffers(&stream, SOCKET_BUFFER_BYTES);
        let meter = ReadMeter::of_answer();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(MeteredStream::new(stream, meter.clone()))
            .await
            .map_err(|error| not_sent(&error))?;
        let task = compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "endpoint_connection_ended", %address, %error);
            }
        });
        Ok(Self {
            address,
            sender,
            meter,
            task,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// The connection may have ended since it was opened; a request that it didn't begin to write was not sent.
    pub(crate) async fn send(
        mut self,
        request: Request<impl Into<Blocks>>,
    ) -> Result<Answer, SendError> {
        let is_request_taken = Rc::new(Cell::new(false));
        let request = request.map(|body| TrackedBody::new(body.into(), &is_request_taken));
        let sent = self.sender.try_send_request(request).await;
        let response: Response<Incoming> = sent.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let (address, message) = (self.address, describe(error.error()));
            if is_unsent {
                SendError::NotSent { address, message }
            } else {
                SendError::Broken { address, message }
            }
        })?;
        let (parts, incoming) = response.into_parts();
        if parts.status.as_u16() > MAX_STATUS {
            let (address, status) = (self.address, parts.status.as_u16());
            let message = format!("the answer has the status {status}, which HTTP does not define");
            return Err(SendError::Broken { address, message });
        }
        self.meter.begin_body();
        let body = AnswerBody {
            framing: framing(&parts, &incoming),
            incoming,
            meter: self.meter,
            is_request_taken,
            _connection: self.task,
        };
        Ok(Answer { parts, body })
    }
}

fn framing(parts: &http::response::Parts, body: &Incoming) -> Framing {
    if body.size_hint().exact().is_some() {
        Framing::Length
    } else if parts.headers.contains_key(header::TRANSFER_ENCODING) {
        Framing::Chunked
    } else {
        Framing::Connection
    }
}

/// Connects, sends a request and waits for the head of its answer.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<Answer, SendError> {
    Connection::open(address).await?.send(request).await
}

fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
