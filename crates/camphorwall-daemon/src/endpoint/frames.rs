//! Streams of newline-delimited JSON.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use camphorwall::Frame;
use futures_util::{
    FutureExt as _, Stream, StreamExt as _,
    future::{Either, select},
};
use serde::de::DeserializeOwned;

use super::frame_buffer::{BufferReader, FrameRead};

/// Maximum line length in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

/// A heartbeat is sent after this long without a frame.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// Splits a stream of chunks into lines and parses each as JSON.
pub(crate) fn json_lines<T: DeserializeOwned>(
    chunks: impl Stream<Item = cyper::Result<Bytes>> + Unpin,
) -> impl Stream<Item = io::Result<T>> + Unpin {
    let state = Some((chunks, BytesMut::new()));
    Box::pin(futures_util::stream::unfold(state, |state| async move {
        let (mut chunks, mut buffer) = state?;
        loop {
            if let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1);
                let parsed = serde_json::from_slice(&line).map_err(io::Error::other);
                let rest = parsed.is_ok().then_some((chunks, buffer));
                return Some((parsed, rest));
            }
            match chunks.next().await {
                Some(Ok(chunk)) if buffer.len() + chunk.len() <= MAX_LINE_BYTES => {
                    buffer.extend_from_slice(&chunk);
                }
                Some(Ok(_)) => return Some((Err(io::Error::other("a line is too long")), None)),
                Some(Err(error)) => return Some((Err(io::Error::other(error)), None)),
                None => return None,
            }
        }
    }))
}

fn frame_line(frame: &Frame) -> Bytes {
    let mut line = serde_json::to_vec(frame).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

/// Turns frames into lines, with heartbeats in between.
pub(super) fn frame_lines(reader: BufferReader) -> impl Stream<Item = io::Result<Bytes>> + 'static {
    futures_util::stream::unfold(reader, |mut reader| async move {
        let found = {
            let next = reader.next().boxed_local();
            let pause = compio::time::sleep(HEARTBEAT_PERIOD).boxed_local();
            match select(next, pause).await {
                Either::Left((found, _)) => found,
                Either::Right(_) => FrameRead::Frame(Frame::Heartbeat),
            }
        };
        match found {
            FrameRead::Frame(frame) => Some((Ok(frame_line(&frame)), reader)),
            FrameRead::End => None,
            FrameRead::Dropped => Some((Err(io::Error::other("the frame was dropped")), reader)),
            FrameRead::Replaced => Some((
                Err(io::Error::other("a newer reader replaced this one")),
                reader,
            )),
        }
    })
}

/// A single frame as a line.
pub(super) fn single_frame(frame: &Frame) -> impl Stream<Item = io::Result<Bytes>> + 'static {
    futures_util::stream::iter([Ok(frame_line(frame))])
}
