//! Answers without a length whose connection is reset while the request is still being written.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use rstest::rstest;
use socket2::SockRef;

use crate::upstream;

/// More than the buffers of a loopback connection take.
const REQUEST_BYTES: usize = 16 * 1_024 * 1_024;

/// Reads the head of a request, answers with a part of a body without a length, and resets the connection.
fn answer_and_reset(mut stream: TcpStream, part: &[u8]) {
    let mut head = [0; 1_024];
    let _ = stream.read(&mut head);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
    let _ = stream.write_all(part);
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn start_endpoint(part: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            answer_and_reset(stream, &part);
        }
    });
    address
}

/// Guards against the part of an answer that arrived before a reset being passed on as the whole answer. The race between the
/// write and the read of a connection decides whether the reset shows, so that each size is tried several times.
#[rstest]
#[case(20)]
#[case(4_000)]
#[case(20_000)]
#[compio::test]
async fn an_answer_without_a_length_that_is_reset_during_the_upload_is_not_complete(
    #[case] part_bytes: usize,
) {
    let address = start_endpoint(vec![b'x'; part_bytes]);
    let body = Bytes::from(vec![b'x'; REQUEST_BYTES]);
    for attempt in 0..100 {
        let request = Request::post("/x").body(body.clone()).expect("a request");
        let Ok(mut answer) = upstream::send(address, request).await else {
            // The reset overtook the head.
            continue;
        };
        let collected = answer.body.read_start(|_| true).await;
        let collected = collected.map(|start| start.bytes.len());
        assert!(collected.is_err(), "attempt {attempt}: {collected:?}");
    }
}
