use std::io;

use bytes::Bytes;
use camphorwall::{
    HttpLimits, HttpServer, RequestBody, StopHandle, TaskGroup, stop_pair, stream_body,
};
use compio::net::TcpListener;
use futures_util::stream;
use hyper::{Request, Response};

use super::*;

/// Starts a service that sends a body in ten parts with a pause before each.
async fn slow_service(pause: Duration) -> (SocketAddr, StopHandle, TaskGroup) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = HttpServer {
        listener,
        limits: HttpLimits::default(),
    };
    let (stop, stopped) = stop_pair();
    let handler = move |_: Request<RequestBody>| {
        let parts = stream::iter(0..10).then(move |_| async move {
            compio::time::sleep(pause).await;
            Ok::<_, io::Error>(Bytes::from_static(b"part"))
        });
        std::future::ready(Response::new(stream_body(parts)))
    };
    let tasks = TaskGroup::default();
    tasks.spawn(server.serve(handler, stopped));
    (address, stop, tasks)
}

const TIMEOUTS: AnswerTimeouts = AnswerTimeouts {
    head: Duration::from_secs(1),
    silence: Duration::from_secs(1),
};

#[compio::test]
async fn an_answer_that_takes_longer_than_any_single_limit_is_read_to_its_end() {
    let (address, _stop, _tasks) = slow_service(Duration::from_millis(250)).await;
    let bytes = read_answer(&RpcClient::new(), address, "/", TIMEOUTS).await;
    assert_eq!(bytes.map(|bytes| bytes.len()), Ok(40));
}

#[compio::test]
async fn an_answer_that_stops_is_given_up() {
    let (address, _stop, _tasks) = slow_service(Duration::from_secs(60)).await;
    let read = read_answer(&RpcClient::new(), address, "/", TIMEOUTS).await;
    assert_eq!(
        read,
        Err("the configuration service stopped sending after 0 bytes".to_owned())
    );
}

/// An answer may stay in the buffers of a paused process for long. Counting it from the time at which it was read would
/// make the configuration look more recent than it is.
#[test]
fn an_answer_counts_from_the_earliest_time_at_which_the_service_can_have_made_it() {
    let queried_at = Instant::now();
    let long = Duration::from_secs(60);
    assert_eq!(
        earliest_answer_time(queried_at, true, long),
        queried_at + WATCH_WAIT
    );
    assert_eq!(earliest_answer_time(queried_at, false, long), queried_at);
    assert_eq!(
        earliest_answer_time(queried_at, true, WATCH_WAIT / 2),
        queried_at
    );
}
