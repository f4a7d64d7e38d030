//! HTTP handler of an instance's peer address, for probes and the system's processes.

use std::{rc::Rc, time::Instant};

use camphorwall::{BoxedBody, PeerGuard, PeerRequest, RequestBody};
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use hyper::{Request, Response};

use super::{READY_PATH, ready_response};
use crate::metrics::METRICS_PATH;

/// Creates the handler of the peer address: answers metrics and readiness without authentication, and passes requests
/// that the guard admits to `answer_peer`.
pub(crate) fn peer_handler(
    guard: PeerGuard,
    metrics: impl Fn() -> Response<BoxedBody> + 'static,
    is_ready: impl Fn() -> bool + 'static,
    answer_peer: impl Fn(PeerRequest) -> LocalBoxFuture<'static, Response<BoxedBody>> + 'static,
) -> impl Fn(Request<RequestBody>) -> LocalBoxFuture<'static, Response<BoxedBody>> + 'static {
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
