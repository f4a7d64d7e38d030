use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{StreamExt as _, future::join, stream};

use super::{
    KvSender, SMALL_CACHE_BYTES, Segment, TransferError, collect_first_bytes, forward_segments,
};

const SEGMENTS: [&str; 2] = ["one", "two"];

fn segments() -> impl Iterator<Item = Segment> {
    SEGMENTS.into_iter().map(|text| Ok(Bytes::from(text)))
}

#[compio::test]
async fn a_complete_transfer_forwards_all_segments_in_order() {
    let (sender, receiver) = mpsc::channel(4);
    let from = stream::iter(segments());
    let (forwarded, received) =
        join(forward_segments(from, sender), receiver.collect::<Vec<_>>()).await;
    assert!(forwarded.is_ok());
    let received: Vec<Bytes> = received.into_iter().map(Result::unwrap).collect();
    assert_eq!(received, SEGMENTS);
}

#[compio::test]
async fn a_stalled_transfer_is_aborted_and_ends_with_an_error() {
    let (sender, receiver) = mpsc::channel(4);
    let from = stream::iter(segments()).chain(stream::pending());
    let (forwarded, received) =
        join(forward_segments(from, sender), receiver.collect::<Vec<_>>()).await;
    assert!(matches!(forwarded, Err(TransferError::Stalled)));
    assert!(received.last().unwrap().is_err());
}

#[test]
fn a_path_without_the_receivers_data_centre_is_rejected() {
    let path = "0193a1f0-0000-7000-8000-000000000001";
    assert!(KvSender::parse(path).is_none());
    assert!(KvSender::parse(&format!("{path}/piraeus")).is_some());
}

#[compio::test]
async fn a_small_cache_is_collected_completely_and_a_large_one_is_not() {
    let small = collect_first_bytes(&mut stream::iter(segments())).await;
    assert_eq!(small.unwrap(), "onetwo");
    let segment = || Ok(Bytes::from(vec![0; SMALL_CACHE_BYTES / 2]));
    let mut large = stream::iter((0..10).map(|_| segment()));
    let beginning = collect_first_bytes(&mut large).await.unwrap();
    assert_eq!(beginning.len(), SMALL_CACHE_BYTES);
    assert_eq!(large.count().await, 8);
}
