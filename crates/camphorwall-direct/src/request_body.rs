//! Receives the body of a caller's request within the entry's memory.

use std::{pin::pin, rc::Rc, time::Duration};

use camphorwall::{BodyEnd, RequestBody, read_body};
use futures_util::future::{self, Either};
use http::{HeaderMap, header, request::Parts};
use hyper::body::Body as _;

use crate::{
    blocks::Blocks,
    clock::Moment,
    configuration::CallerLimits,
    entry::Entry,
    memory_pool::{ArrivingBody, MemoryShare},
};

/// Maximum time to receive a body, for callers whose deadlines are later.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a body has even if the request's deadline is sooner, as is that of a route that can't be read: other checks then
/// tell the caller what is wrong.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Buffers of a request beyond those of its caller's idle connection: those of the endpoint's connection, and what the
/// kernel keeps of both.
const REQUEST_BYTES: usize = 80 * 1024;

/// Maximum time for which the body of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory of a refused request whose body is discarded: what the kernel keeps, and the HTTP library of trailers.
const DISCARD_BYTES: usize = 40 * 1024;

/// Maximum time without bytes of a discarded body.
const DISCARD_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFault {
    /// It is larger than allowed, or did not come completely.
    TooLargeOrBroken,
    /// It was sent much slower than by a client inside the limits.
    Stalled,
    /// The memory is needed for what came earlier.
    NoMemory,
}

/// A body with its memory.
pub(crate) struct ReceivedBody {
    pub(crate) body: Blocks,
    pub(crate) memory: [MemoryShare; 2],
}

/// Receives a body. It is useless once the request's deadline has passed.
pub(crate) async fn receive(
    entry: &Rc<Entry>,
    body: &mut RequestBody,
    head: &Parts,
    limits: &CallerLimits,
    ends_at: Moment,
) -> Result<ReceivedBody, BodyFault> {
    let now = Moment::now();
    let announced = announced_bytes(&head.headers);
    if announced > limits.max_body_bytes {
        return Err(BodyFault::TooLargeOrBroken);
    }
    let buffers = entry.memory.reserve_first(REQUEST_BYTES, now);
    let buffers = buffers.ok_or(BodyFault::NoMemory)?;
    if !entry.memory.may_fit(announced) {
        return Err(BodyFault::NoMemory);
    }
    let arriving = entry.memory.begin_body(now);
    let timeout = ends_at.since(now).clamp(MIN_BODY_TIMEOUT, BODY_TIMEOUT);
    let keeping = keep(&arriving, body, limits);
    match compio::time::timeout(timeout, keeping).await {
        Ok(kept) => kept?,
        Err(_) => return Err(BodyFault::Stalled),
    }
    let (body, memory) = arriving.finish().ok_or(BodyFault::NoMemory)?;
    Ok(ReceivedBody {
        body,
        memory: [buffers, memory],
    })
}

async fn keep(
    arriving: &ArrivingBody,
    body: &mut RequestBody,
    limits: &CallerLimits,
) -> Result<(), BodyFault> {
    let mut received_bytes = 0;
    let reading = read_body(body, limits.idle_timeout, |data| {
        received_bytes += data.len();
        received_bytes <= limits.max_body_bytes && arriving.keep(data, Moment::now())
    });
    let end = match future::select(pin!(reading), pin!(arriving.yielded())).await {
        Either::Left((end, _)) => end,
        Either::Right(_) => return Err(BodyFault::NoMemory),
    };
    match end {
        BodyEnd::Whole => Ok(()),
        BodyEnd::Silent => Err(BodyFault::Stalled),
        BodyEnd::NotKept if received_bytes <= limits.max_body_bytes => Err(BodyFault::NoMemory),
        BodyEnd::NotKept | BodyEnd::Broken => Err(BodyFault::TooLargeOrBroken),
    }
}

/// Reads the rest of a refused request's body for some time, and keeps nothing of it: the caller may write all of it before
/// it reads the answer, and closing a connection with unread bytes would reset it.
pub(crate) fn discard(entry: &Entry, mut body: RequestBody, head: &HeaderMap) {
    // Reading the body of such a caller would ask for it.
    if head.contains_key(header::EXPECT) || body.is_end_stream() {
        return;
    }
    let mut memory = entry.memory.share();
    memory.grow_anyway_to(DISCARD_BYTES, Moment::now());
    entry.tasks.spawn(async move {
        let _held = memory;
        let reading = read_body(&mut body, DISCARD_SILENCE_TIMEOUT, |_| true);
        // Nothing depends on how the body ends.
        let _ = compio::time::timeout(DISCARD_TIMEOUT, reading).await;
    });
}

/// Body size that a head announces; 0 if it announces none.
fn announced_bytes(headers: &HeaderMap) -> usize {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}
