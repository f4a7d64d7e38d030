use std::future::ready;

use futures_util::FutureExt as _;
use rstest::rstest;

use crate::{
    serve::completeness::{
        AnswerEnd,
        BreakReason::{self, ConnectionBroke, EndpointUnreachable, InsideEvent, NoEvent},
        StopPoint,
    },
    upstream::Framing::{self, Chunked, Connection, Length},
};

const FIRST: bool = false;
const RESUMED: bool = true;

/// Guards against taking the end of one run's bytes for the end of the whole answer. The results are those for an endpoint that
/// is still reachable, and for one that is not.
#[rstest]
#[case(Length, StopPoint::BeforeFirstEvent, FIRST, [Err(NoEvent); 2])]
#[case(Length, StopPoint::BeforeFirstEvent, RESUMED, [Ok(()); 2])]
#[case(Length, StopPoint::BetweenEvents, FIRST, [Ok(()); 2])]
#[case(Length, StopPoint::BetweenEvents, RESUMED, [Ok(()); 2])]
#[case(Length, StopPoint::InsideEvent, FIRST, [Err(InsideEvent); 2])]
#[case(Length, StopPoint::InsideEvent, RESUMED, [Err(InsideEvent); 2])]
#[case(Length, StopPoint::InBody, FIRST, [Ok(()); 2])]
#[case(Chunked, StopPoint::BeforeFirstEvent, FIRST, [Err(NoEvent); 2])]
#[case(Chunked, StopPoint::BeforeFirstEvent, RESUMED, [Ok(()); 2])]
#[case(Chunked, StopPoint::BetweenEvents, FIRST, [Ok(()); 2])]
#[case(Chunked, StopPoint::BetweenEvents, RESUMED, [Ok(()); 2])]
#[case(Chunked, StopPoint::InsideEvent, FIRST, [Err(InsideEvent); 2])]
#[case(Chunked, StopPoint::InsideEvent, RESUMED, [Err(InsideEvent); 2])]
#[case(Chunked, StopPoint::InBody, FIRST, [Ok(()); 2])]
#[case(Connection, StopPoint::BeforeFirstEvent, FIRST, [Err(NoEvent); 2])]
#[case(Connection, StopPoint::BeforeFirstEvent, RESUMED, [Ok(()), Err(EndpointUnreachable)])]
#[case(Connection, StopPoint::BetweenEvents, FIRST, [Ok(()), Err(EndpointUnreachable)])]
#[case(Connection, StopPoint::BetweenEvents, RESUMED, [Ok(()), Err(EndpointUnreachable)])]
#[case(Connection, StopPoint::InsideEvent, FIRST, [Err(InsideEvent); 2])]
#[case(Connection, StopPoint::InsideEvent, RESUMED, [Err(InsideEvent); 2])]
#[case(Connection, StopPoint::InBody, FIRST, [Ok(()), Err(EndpointUnreachable)])]
fn an_answer_is_complete_only_if_its_end_shows_it(
    #[case] framing: Framing,
    #[case] stop_point: StopPoint,
    #[case] is_resumed: bool,
    #[case] expected: [Result<(), BreakReason>; 2],
) {
    let end = AnswerEnd {
        framing,
        has_framed_end: true,
        stop_point,
        is_resumed,
    };
    let check = |end: AnswerEnd, is_reachable| {
        let checked = end.check(ready(is_reachable)).now_or_never();
        checked.expect("a result at once")
    };
    assert_eq!(
        [true, false].map(|is_reachable| check(end, is_reachable)),
        expected
    );
    let cut = AnswerEnd {
        has_framed_end: false,
        ..end
    };
    assert_eq!(check(cut, true), Err(ConnectionBroke));
}
