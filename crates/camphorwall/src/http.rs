//! HTTP/1.1 server over compio: accepts connections, serves each in a task of its own, and joins the tasks at the end.

use std::{
    any::Any,
    cell::{Cell, RefCell},
    convert::Infallible,
    future::Future,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::{FutureExt as _, Stream, StreamExt as _, stream::FuturesUnordered};
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::{
    Request, Response, Version,
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};

use crate::read_meter::{MeteredStream, ReadMeter, ReserveMemory};

/// Boxed body of a response. An error in it breaks the connection, so that the reader detects the incomplete body.
pub type BoxedBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// Makes a body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> BoxedBody {
    Box::pin(Full::new(bytes.into()).map_err(|never: Infallible| match never {}))
}

/// Makes an empty body.
#[must_use]
pub fn empty_body() -> BoxedBody {
    full_body(Bytes::new())
}

/// Makes a body from a stream of chunks.
pub fn stream_body(stream: impl Stream<Item = io::Result<Bytes>> + 'static) -> BoxedBody {
    Box::pin(StreamBody::new(stream.map(|chunk| chunk.map(Frame::data))))
}

/// Makes a JSON response.
///
/// # Panics
/// When the status is outside 100..=999.
pub fn json_response(status: u16, value: &impl serde::Serialize) -> Response<BoxedBody> {
    let text = serde_json::to_vec(value)
        .unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}").into_bytes());
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(full_body(text))
        .expect("a status in 100..=999")
}

/// Body of a request, as the server passes it to a handler.
pub struct RequestBody {
    incoming: Incoming,
    meter: ReadMeter,
    _end: Rc<RequestEnded>,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.meter.note_body(frame.data_ref().map_or(0, Bytes::len));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Maximum time to receive a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a request body of at most `max_bytes`. Returns `None` when it is larger, incomplete or takes too long.
pub async fn collect_body(body: RequestBody, max_bytes: usize) -> Option<Bytes> {
    compio::time::timeout(BODY_TIMEOUT, collect(body, max_bytes))
        .await
        .ok()?
}

async fn collect(mut body: RequestBody, max_bytes: usize) -> Option<Bytes> {
    let mut collected = BytesMut::new();
    let keep = |data: &[u8]| {
        let has_room = collected.len() + data.len() <= max_bytes;
        if has_room {
            collected.extend_from_slice(data);
        }
        has_room
    };
    let end = read_body(&mut body, BODY_TIMEOUT, keep).await;
    (end == BodyEnd::Whole).then(|| collected.freeze())
}

/// How reading a body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// All of it was kept.
    Whole,
    /// Some bytes could not be kept.
    NotKept,
    /// The connection broke, or what came is no body.
    Broken,
    /// Nothing came for the timeout.
    Silent,
}

/// Reads a body until its end, and gives its bytes to `keep` as they arrive, until that denies some.
pub async fn read_body(
    body: &mut RequestBody,
    silence_timeout: Duration,
    mut keep: impl FnMut(&[u8]) -> bool,
) -> BodyEnd {
    loop {
        let Ok(frame) = compio::time::timeout(silence_timeout, body.frame()).await else {
            return BodyEnd::Silent;
        };
        match frame {
            None => return BodyEnd::Whole,
            Some(Err(_)) => return BodyEnd::Broken,
            Some(Ok(frame)) => {
                if frame.data_ref().is_some_and(|data| !keep(data)) {
                    return BodyEnd::NotKept;
                }
            }
        }
    }
}

/// Limits of each connection.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of header fields.
    pub max_headers: usize,
    /// Maximum idle time, and maximum time from the opening of a connection to the end of its first head.
    pub head_timeout: Duration,
    /// Maximum time from the first byte of a head to its end.
    pub head_arrival_timeout: Duration,
    /// Size of each of the kernel's two buffers of a connection; `None` leaves it to the system.
    pub socket_buffer_bytes: Option<usize>,
    /// Maximum time that a reader may leave a part of a response unread.
    pub write_timeout: Duration,
    /// Maximum number of simultaneous connections.
    pub max_connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            max_headers: 64,
            head_timeout: Duration::from_secs(30),
            head_arrival_timeout: Duration::from_secs(30),
            socket_buffer_bytes: None,
            write_timeout: Duration::from_secs(30),
            max_connections: 10_000,
        }
    }
}

/// Receiving side of a stop signal; clones share the signal.
#[derive(Clone)]
pub struct Stop(futures_util::future::Shared<futures_channel::oneshot::Receiver<()>>);

impl Stop {
    /// Waits until the stop is requested.
    pub async fn called(&self) {
        // An error means that the handle was dropped, which requests the stop too.
        let _ = self.0.clone().await;
    }

    /// Whether the stop was requested.
    #[must_use]
    pub fn is_called(&self) -> bool {
        self.0.clone().now_or_never().is_some()
    }
}

/// Sending side of a stop signal; dropping it requests the stop too.
pub struct StopHandle(Cell<Option<futures_channel::oneshot::Sender<()>>>);

impl StopHandle {
    /// Requests the stop. Further calls have no effect.
    pub fn stop(&self) {
        if let Some(sender) = self.0.take() {
            // All receivers may have been dropped already.
            let _ = sender.send(());
        }
    }
}

/// Makes a stop signal.
#[must_use]
pub fn stop_pair() -> (StopHandle, Stop) {
    let (sender, receiver) = futures_channel::oneshot::channel();
    (StopHandle(Cell::new(Some(sender))), Stop(receiver.shared()))
}

/// Memory that the buffers of an open connection take: 8 KiB of the HTTP library, 8 KiB for each direction below it.
pub const CONNECTION_BYTES: usize = 24 * 1024;

/// Time after which a connection that has sent nothing is closed in favour of a new one when there are too many.
const MIN_UNUSED_TIME: Duration = Duration::from_secs(1);

/// HTTP server on one listener.
pub struct HttpServer {
    /// The bound listener.
    pub listener: TcpListener,
    /// Limits of each connection.
    pub limits: HttpLimits,
}

/// What the connections of a server may hold, asked for each new one.
pub struct ConnectionBounds {
    /// Limits of a connection.
    pub limits: Box<dyn Fn() -> HttpLimits>,
    /// Reserves memory for a connection or a large head.
    pub reserve: ReserveMemory,
    /// Receives the connections that are open.
    pub open: OpenConnections,
}

/// An open connection, as the server sees it.
struct OpenConnection {
    opened_at: Instant,
    meter: ReadMeter,
    has_sent_request: Cell<bool>,
    close: StopHandle,
    is_closing: Cell<bool>,
    _memory: Box<dyn Any>,
}

/// Connections that were closed at once for lack of room, logged once a second.
#[derive(Default)]
struct Refusals {
    count: u32,
    logged_at: Option<Instant>,
}

impl Refusals {
    const LOG_PERIOD: Duration = Duration::from_secs(1);

    fn note(&mut self) {
        self.count += 1;
        let logged_at = self.logged_at;
        if logged_at.is_none_or(|logged_at| logged_at.elapsed() >= Self::LOG_PERIOD) {
            let (reason, count) = ("too_many_connections", self.count);
            tracing::warn!(event = "connection_refused", reason, count);
            *self = Self {
                count: 0,
                logged_at: Some(Instant::now()),
            };
        }
    }
}

/// The open connections of a server, the oldest first; clones share them.
#[derive(Clone, Default)]
pub struct OpenConnections(Rc<RefCell<Vec<Rc<OpenConnection>>>>);

impl OpenConnections {
    /// Number of connections with unsent bytes of an answer whose last write progress is more recent than `write_timeout`.
    #[must_use]
    pub fn unsent_answers(&self, write_timeout: Duration) -> usize {
        let open = self.0.borrow();
        let is_sending = |one: &&Rc<OpenConnection>| {
            let unsent_for = one.meter.unsent_for();
            unsent_for.is_some_and(|time| time < write_timeout)
        };
        open.iter().filter(is_sending).count()
    }

    fn count(&self) -> usize {
        let open = self.0.borrow();
        open.iter().filter(|one| !one.is_closing.get()).count()
    }

    /// Closes the oldest connection that has sent no request for some time; returns whether there was one. A client inside
    /// the limits sends its request sooner, and loses nothing but a connection.
    fn close_unused(&self) -> bool {
        let open = self.0.borrow();
        let unused = open.iter().find(|one| {
            !one.is_closing.get()
                && !one.has_sent_request.get()
                && one.opened_at.elapsed() >= MIN_UNUSED_TIME
        });
        if let Some(unused) = unused {
            unused.is_closing.set(true);
            unused.close.stop();
        }
        unused.is_some()
    }

    fn remove(&self, connection: &Rc<OpenConnection>) {
        let mut open = self.0.borrow_mut();
        open.retain(|one| !Rc::ptr_eq(one, connection));
    }
}

impl HttpServer {
    /// Serves until the stop is requested, then closes each connection after its running request.
    pub async fn serve<H, F>(self, handler: H, stop: Stop)
    where
        H: Fn(Request<RequestBody>) -> F + 'static,
        F: Future<Output = Response<BoxedBody>> + 'static,
    {
        let limits = self.limits;
        let bounds = ConnectionBounds {
            limits: Box::new(move || limits),
            reserve: Rc::new(|_| Some(Box::new(()))),
            open: OpenConnections::default(),
        };
        self.serve_within(handler, stop, bounds).await;
    }

    /// Serves as [`Self::serve`] does, within bounds that may change.
    pub async fn serve_within<H, F>(self, handler: H, stop: Stop, bounds: ConnectionBounds)
    where
        H: Fn(Request<RequestBody>) -> F + 'static,
        F: Future<Output = Response<BoxedBody>> + 'static,
    {
        let handler = Rc::new(handler);
        let open = bounds.open.clone();
        let mut connections = FuturesUnordered::new();
        let mut incoming = self.listener.incoming().fuse();
        let mut stopped = pin!(stop.called().fuse());
        let mut refusals = Refusals::default();
        loop {
            let accepted = futures_util::select! {
                accepted = incoming.next() => accepted,
                _ = connections.select_next_some() => continue,
                () = stopped => break,
            };
            match accepted {
                Some(Ok(stream)) => {
                    let limits = (bounds.limits)();
                    let has_room = open.count() < limits.max_connections || open.close_unused();
                    let memory = has_room.then(|| (bounds.reserve)(CONNECTION_BYTES));
                    let Some(memory) = memory.flatten() else {
                        refusals.note();
                        continue;
                    };
                    let (close, closing) = stop_pair();
                    let connection = Rc::new(OpenConnection {
                        opened_at: Instant::now(),
                        meter: ReadMeter::of_requests(Rc::clone(&bounds.reserve)),
                        has_sent_request: Cell::new(false),
                        close,
                        is_closing: Cell::new(false),
                        _memory: memory,
                    });
                    open.0.borrow_mut().push(Rc::clone(&connection));
                    let (handler, stop) = (Rc::clone(&handler), stop.clone());
                    let open = open.clone();
                    connections.push(compio::runtime::spawn(async move {
                        serve_connection(stream, &connection, handler, limits, [stop, closing])
                            .await;
                        open.remove(&connection);
                    }));
                }
                Some(Err(error)) => tracing::warn!(event = "accept_failed", %error),
                None => break,
            }
        }
        drop(incoming);
        while connections.next().await.is_some() {}
    }
}

/// Sets the sizes of a connection's buffers in the kernel. Without them the kernel keeps megabytes for a peer that sends
/// faster than the process reads, or reads slower than it writes.
pub fn set_socket_buffers(stream: &TcpStream, bytes: usize) {
    let socket = socket2::SockRef::from(stream);
    // The sizes only bound memory; the connection works without them.
    let _ = socket.set_recv_buffer_size(bytes);
    let _ = socket.set_send_buffer_size(bytes);
}

/// Waits until a head has been arriving for longer than the limit.
async fn head_is_late(meter: &ReadMeter, limit: Duration) {
    loop {
        compio::time::sleep(limit / 2).await;
        let began_at = meter.head_began_at();
        if began_at.is_some_and(|began_at| began_at.elapsed() >= limit) {
            return;
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    open: &Rc<OpenConnection>,
    handler: Rc<H>,
    limits: HttpLimits,
    [stop, closing]: [Stop; 2],
) where
    H: Fn(Request<RequestBody>) -> F + 'static,
    F: Future<Output = Response<BoxedBody>> + 'static,
{
    // Nagle's algorithm would delay single tokens.
    let _ = stream.set_nodelay(true);
    if let Some(bytes) = limits.socket_buffer_bytes {
        set_socket_buffers(&stream, bytes);
    }
    let unread_since = UnreadSince::default();
    let service_unread_since = unread_since.clone();
    let meter = open.meter.clone();
    let service_meter = meter.clone();
    let connection_open = Rc::clone(open);
    let socket = stream.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        connection_open.has_sent_request.set(true);
        service_unread_since.0.set(None);
        service_meter.begin_body();
        let request_version = request.version();
        let end = Rc::new(RequestEnded(service_meter.clone()));
        let response = handler(request.map(|incoming| RequestBody {
            incoming,
            meter: service_meter.clone(),
            _end: Rc::clone(&end),
        }));
        let unread_since = service_unread_since.clone();
        let (version, socket) = (request_version, socket.clone());
        async move {
            let response = response.await;
            let unfinished = (version == Version::HTTP_10 && !has_known_length(&response))
                .then(|| ResetOnClose::begin(socket));
            let watch = |body| WatchedBody {
                body,
                unread_since,
                unfinished,
                _end: end,
            };
            Ok::<_, Infallible>(response.map(watch))
        }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(MeteredStream::new(stream, meter.clone()), service);
    let mut connection = pin!(connection);
    let mut unread = pin!(unread_since.exceeds(limits.write_timeout).fuse());
    let mut late = pin!(head_is_late(&meter, limits.head_arrival_timeout).fuse());
    let mut closing = pin!(closing.called().fuse());
    let mut stopped = pin!(stop.called().fuse());
    let ended = loop {
        futures_util::select! {
            ended = connection.as_mut().fuse() => break ended,
            () = unread => {
                tracing::info!(event = "connection_cut", reason = "response_not_read");
                return;
            }
            () = late => {
                tracing::debug!(event = "connection_cut", reason = "head_not_sent");
                return;
            }
            () = closing => {
                tracing::debug!(event = "connection_cut", reason = "too_many_connections");
                return;
            }
            () = stopped => connection.as_mut().graceful_shutdown(),
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "connection_ended", %error);
    }
}

fn has_known_length(response: &Response<BoxedBody>) -> bool {
    response
        .headers()
        .contains_key(http::header::CONTENT_LENGTH)
        || response.body().size_hint().exact().is_some()
}

/// Lets a connection be reset if it is closed before the end of its answer, also by the end of the process. HTTP/1.0 has no
/// chunks, so that an answer without a length ends with the connection, and an orderly end would look complete.
struct ResetOnClose(TcpStream);

impl ResetOnClose {
    fn begin(socket: TcpStream) -> Self {
        let reset = Self(socket);
        reset.set_linger(Some(Duration::ZERO));
        reset
    }

    fn end(self) {
        self.set_linger(None);
    }

    fn set_linger(&self, time: Option<Duration>) {
        if let Err(error) = socket2::SockRef::from(&self.0).set_linger(time) {
            tracing::warn!(event = "linger_not_set", %error);
        }
    }
}

/// Records the end of a request when its body and its answer are dropped.
struct RequestEnded(ReadMeter);

impl Drop for RequestEnded {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Moment since which the reader of a connection has left a part of a response unread; `None` if there is no such part.
#[derive(Clone, Default)]
struct UnreadSince(Rc<Cell<Option<Instant>>>);

impl UnreadSince {
    /// Waits until a part has been unread for the limit.
    async fn exceeds(&self, limit: Duration) {
        loop {
            compio::time::sleep(limit / 2).await;
            if self.0.get().is_some_and(|since| since.elapsed() >= limit) {
                return;
            }
        }
    }
}

/// A body that records when its connection takes the next part.
struct WatchedBody {
    body: BoxedBody,
    unread_since: UnreadSince,
    /// Until the end of an answer that the connection ends.
    unfinished: Option<ResetOnClose>,
    _end: Rc<RequestEnded>,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let polled = self.body.as_mut().poll_frame(context);
        let since = polled.is_ready().then(Instant::now);
        self.unread_since.0.set(since);
        let unfinished = &mut self.unfinished;
        if let Some(unfinished) = unfinished.take_if(|_| matches!(polled, Poll::Ready(None))) {
            unfinished.end();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
