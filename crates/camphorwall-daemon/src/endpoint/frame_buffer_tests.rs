use camphorwall::Frame;
use futures_util::FutureExt as _;

use super::{FrameBuffer, FrameRead, MAX_BUFFERED_BYTES};

fn token(offset: u64, text: &str) -> Frame {
    Frame::Token {
        offset,
        text: text.into(),
    }
}

#[compio::test]
async fn a_new_reader_may_start_at_any_position_and_replaces_the_old_one() {
    let buffer = FrameBuffer::default();
    buffer.push(token(0, "a")).await;
    buffer.push(token(1, "b")).await;
    let mut first = buffer.read_from(0);
    assert_eq!(first.next().await, FrameRead::Frame(token(0, "a")));
    let mut second = buffer.read_from(1);
    assert_eq!(first.next().await, FrameRead::Replaced);
    assert_eq!(second.next().await, FrameRead::Frame(token(1, "b")));
    assert!(!buffer.is_drained());
    buffer.close();
    assert_eq!(second.next().await, FrameRead::End);
    assert!(buffer.is_drained());
}

#[compio::test]
async fn a_full_buffer_drops_only_frames_that_were_read() {
    let buffer = FrameBuffer::default();
    let text = "x".repeat(MAX_BUFFERED_BYTES / 2);
    buffer.push(token(0, &text)).await;
    assert!(buffer.push(token(1, &text)).now_or_never().is_none());
    let mut reader = buffer.read_from(0);
    assert!(matches!(reader.next().await, FrameRead::Frame(_)));
    buffer.push(token(1, &text)).await;
    assert_eq!(reader.next().await, FrameRead::Frame(token(1, &text)));
    assert_eq!(buffer.read_from(0).next().await, FrameRead::Dropped);
}

#[compio::test]
async fn a_full_buffer_still_takes_the_last_frame() {
    let buffer = FrameBuffer::default();
    buffer.push(token(0, &"x".repeat(MAX_BUFFERED_BYTES))).await;
    buffer.push_last(Frame::Heartbeat);
    let mut reader = buffer.read_from(1);
    assert_eq!(reader.next().await, FrameRead::Frame(Frame::Heartbeat));
    assert_eq!(reader.next().await, FrameRead::End);
}
