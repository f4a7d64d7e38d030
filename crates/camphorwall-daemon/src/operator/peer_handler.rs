//! The door of every instance for its probes and for the system's own processes.

use std::{rc::Rc, time::Instant};

use camphorwall::{BoxedBody, PeerGuard, PeerRequest};
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use hyper::{Request, Response, body::Incoming};

use super::{READY_PATH, ready_response};
use crate::metrics::METRICS_PATH;

/// Makes the handler of an instance: metrics and readiness for everyone, and `answer_peer` for what the guard admits.
pub(crate) fn peer_handler(
    guard: PeerGuard,
    metrics: impl Fn() -> Response<BoxedBody> + 'static,
    is_ready: impl Fn() -> bool + 'static,
    answer_peer: impl Fn(PeerRequest) -> LocalBoxFuture<'static, Response<BoxedBody>> + 'static,
) -> impl Fn(Request<Incoming>) -> LocalBoxFuture<'static, Response<BoxedBody>> + 'static {
    let guard = Rc::new(guard);
    move |request| {
        let answer = match request.uri().path() {
            METRICS_PATH => Err(metrics()),
            READY_PATH => Err(ready_response(is_ready())),
            _ => guard.admit(request, Instant::now()),
        };
        match answer {
            Ok(admitted) => answer_peer(admitted),
            Err(response) => std::future::ready(response).boxed_local(),
        }
    }
}
