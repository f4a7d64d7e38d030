//! Decides whether an endpoint's answer is complete.
//!
//! The framing only delimits the bytes of one run. The end of a connection delimits them too, but a crash looks the same,
//! so that such an end counts only if the endpoint still runs.

use std::future::Future;

use strum::{EnumIter, IntoStaticStr};

use crate::upstream::Framing;

/// Where an answer stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopPoint {
    /// In a stream, with no complete event from this endpoint.
    BeforeFirstEvent,
    BetweenEvents,
    InsideEvent,
    /// In a body that is not a stream of events.
    InBody,
}

/// Why an answer is incomplete.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum BreakReason {
    /// The connection failed, or ended before the announced length or the last chunk.
    ConnectionBroke,
    /// The caller's deadline, or the route's timeout, passed before the end.
    DeadlinePassed,
    /// The endpoint accepts no connections after it closed the one that its answer ends with.
    EndpointUnreachable,
    EventTooLarge,
    InsideEvent,
    NoEvent,
    /// The endpoint sent nothing for too long.
    Stalled,
}

impl BreakReason {
    /// The label in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        self.into()
    }
}

/// The end of an endpoint's answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerEnd {
    pub(crate) framing: Framing,
    /// Whether the body ended as its framing announced.
    pub(crate) has_framed_end: bool,
    pub(crate) stop_point: StopPoint,
    /// Whether the answer continues after an event that the caller already has. It is empty if that was the last one.
    pub(crate) is_resumed: bool,
}

/// What the end of an answer shows by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Completeness {
    Complete,
    Broken(BreakReason),
    CompleteIfReachable,
}

impl AnswerEnd {
    fn completeness(self) -> Completeness {
        let is_empty = self.stop_point == StopPoint::BeforeFirstEvent;
        if !self.has_framed_end {
            Completeness::Broken(BreakReason::ConnectionBroke)
        } else if self.stop_point == StopPoint::InsideEvent {
            Completeness::Broken(BreakReason::InsideEvent)
        } else if is_empty && !self.is_resumed {
            Completeness::Broken(BreakReason::NoEvent)
        } else if self.framing == Framing::Connection {
            Completeness::CompleteIfReachable
        } else {
            Completeness::Complete
        }
    }

    /// Whether the answer is complete; checks that its endpoint is still reachable only if this decides.
    pub(crate) async fn check(
        self,
        is_reachable: impl Future<Output = bool>,
    ) -> Result<(), BreakReason> {
        match self.completeness() {
            Completeness::Complete => Ok(()),
            Completeness::Broken(reason) => Err(reason),
            Completeness::CompleteIfReachable if is_reachable.await => Ok(()),
            Completeness::CompleteIfReachable => Err(BreakReason::EndpointUnreachable),
        }
    }
}
