//! HTTP/1.1 server over compio: accepts connections, serves each in a task of its own, and joins the tasks at the end.

use std::{
    cell::Cell,
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
    Request, Response,
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};

use crate::read_meter::{MeteredStream, ReadMeter};

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
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_bytes {
            return None;
        }
        collected.extend_from_slice(&data);
    }
    Some(collected.freeze())
}

/// Limits of each connection.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of header fields.
    pub max_headers: usize,
    /// Maximum time to receive a head, which is also the maximum idle time.
    pub head_timeout: Duration,
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

/// HTTP server on one listener.
pub struct HttpServer {
    /// The bound listener.
    pub listener: TcpListener,
    /// Limits of each connection.
    pub limits: HttpLimits,
}

impl HttpServer {
    /// Serves until the stop is requested, then closes each connection after its running request.
    pub async fn serve<H, F>(self, handler: H, stop: Stop)
    where
        H: Fn(Request<RequestBody>) -> F + 'static,
        F: Future<Output = Response<BoxedBody>> + 'static,
    {
        let handler = Rc::new(handler);
        let limits = self.limits;
        let mut connections = FuturesUnordered::new();
        let mut incoming = self.listener.incoming().fuse();
        let mut stopped = pin!(stop.called().fuse());
        loop {
            let accepted = futures_util::select! {
                accepted = incoming.next() => accepted,
                _ = connections.select_next_some() => continue,
                () = stopped => break,
            };
            match accepted {
                Some(Ok(stream)) if connections.len() < limits.max_connections => {
                    let connection =
                        serve_connection(stream, Rc::clone(&handler), limits, stop.clone());
                    connections.push(compio::runtime::spawn(connection));
                }
                Some(Ok(_)) => tracing::warn!(
                    event = "connection_refused",
                    reason = "too_many_connections"
                ),
                Some(Err(error)) => tracing::warn!(event = "accept_failed", %error),
                None => break,
            }
        }
        drop(incoming);
        while connections.next().await.is_some() {}
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Rc<H>, limits: HttpLimits, stop: Stop)
where
    H: Fn(Request<RequestBody>) -> F + 'static,
    F: Future<Output = Response<BoxedBody>> + 'static,
{
    // Nagle's algorithm would delay single tokens.
    let _ = stream.set_nodelay(true);
    let unread_since = UnreadSince::default();
    let service_unread_since = unread_since.clone();
    let meter = ReadMeter::default();
    let service_meter = meter.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        service_unread_since.0.set(None);
        service_meter.begin_body();
        let response = handler(request.map(|incoming| RequestBody {
            incoming,
            meter: service_meter.clone(),
        }));
        let unread_since = service_unread_since.clone();
        async move {
            let watch = |body| WatchedBody { body, unread_since };
            Ok::<_, Infallible>(response.await.map(watch))
        }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(MeteredStream::new(stream, meter), service);
    let mut connection = pin!(connection);
    let mut unread = pin!(unread_since.exceeds(limits.write_timeout).fuse());
    let mut stopped = pin!(stop.called().fuse());
    let ended = loop {
        futures_util::select! {
            ended = connection.as_mut().fuse() => break ended,
            () = unread => {
                tracing::info!(event = "connection_cut", reason = "response_not_read");
                return;
            }
            () = stopped => connection.as_mut().graceful_shutdown(),
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "connection_ended", %error);
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
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
