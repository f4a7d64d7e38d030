use rstest::rstest;

use crate::serve::events::EventSplitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[rstest]
#[case(1)]
#[case(2)]
#[case(7)]
#[case(15)]
#[case(16)]
#[case(1_000)]
fn only_complete_events_come_out_however_the_bytes_are_split(#[case] size: usize) {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    let mut count = 0;
    let mut last_id = None;
    for chunk in STREAM.chunks(size) {
        let events = splitter.push(chunk).expect("small events");
        assert!(events.bytes.is_empty() || events.bytes.ends_with(b"\n\n"));
        passed.extend_from_slice(&events.bytes);
        count += events.count;
        last_id = events.last_id.or(last_id);
    }
    assert_eq!(passed, STREAM);
    assert_eq!((count, last_id), (3, Some(3)));
    assert!(splitter.take_rest().is_empty());
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let events = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("events");
    assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!((events.count, events.last_id), (1, Some(1)));
    assert_eq!(&splitter.take_rest()[..], b"id: 2\nda");
}

#[test]
fn events_without_a_number_count_too() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"data: a\n\ndata: b\n\n").expect("events");
    assert_eq!((events.count, events.last_id), (2, None));
}

#[test]
fn lines_may_end_with_carriage_return_and_line_feed() {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    let mut count = 0;
    let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    for byte in stream {
        let events = splitter.push(&[*byte]).expect("small events");
        count += events.count;
        passed.extend_from_slice(&events.bytes);
    }
    assert_eq!((&passed[..], count), (&stream[..], 2));
}

#[test]
fn an_event_without_end_is_an_error_and_is_dropped() {
    let mut splitter = EventSplitter::default();
    let chunk = [b'x'; 16 * 1_024];
    let taken = (0..1_000).take_while(|_| splitter.push(&chunk).is_ok());
    assert!(taken.count() <= 4);
    assert!(splitter.take_rest().is_empty());
    // The limit doesn't apply to many complete events at once.
    let many = b"data: a\n\n".repeat(100_000);
    assert_eq!(splitter.push(&many).map(|events| events.count), Ok(100_000));
}

/// Guards against an endpoint that sends empty lines without end in place of events and counts as making progress.
#[test]
fn empty_lines_between_events_are_no_events() {
    let mut splitter = EventSplitter::default();
    let events = splitter
        .push(b"\n\n\nid: 1\ndata: a\n\n\n\r\n\n")
        .expect("small events");
    assert_eq!((events.count, events.last_id), (1, Some(1)));
    let events = splitter.push(b"\n\n\n").expect("small events");
    assert_eq!((events.count, &events.bytes[..]), (0, &b"\n\n\n"[..]));
}
