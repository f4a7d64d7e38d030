//! Splits the bytes of an event stream at the ends of its events.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// An event ends with an empty line.
const EVENT_TERMINATORS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];

/// Length of the longest terminator without its last byte.
const MAX_PARTIAL_TERMINATOR_BYTES: usize = 2;

/// Maximum size of an incomplete event. Token events have some hundred bytes; a machine with 88 MB may relay hundreds
/// of streams.
const MAX_EVENT_BYTES: usize = 64 * 1_024;

/// Start of a line that is a comment.
const COMMENT: &[u8] = b":";

/// Field with an event's number.
const ID_FIELD: &[u8] = b"id:";

/// Holds back the bytes of an event until it is complete.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    held: BytesMut,
}

/// An event that exceeds the maximum size.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("an event has no end within {MAX_EVENT_BYTES} B; check what its endpoint sends"))]
pub(crate) struct EventTooLarge;

/// Complete events.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct Events {
    /// Bytes of the events.
    pub bytes: Bytes,
    /// Number of events. Further empty lines and comments between them are none.
    pub count: u32,
    /// Number of the last event that has one.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that are now complete.
    ///
    /// # Errors
    /// When the incomplete event at the end exceeds the maximum size.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Events, EventTooLarge> {
        let searched = self.held.len().saturating_sub(MAX_PARTIAL_TERMINATOR_BYTES);
        self.held.extend_from_slice(bytes);
        let end = last_event_end(&self.held[searched..]).map(|end| searched + end);
        if self.held.len() - end.unwrap_or(0) > MAX_EVENT_BYTES {
            self.held = BytesMut::new();
            return Err(EventTooLarge);
        }
        let Some(end) = end else {
            return Ok(Events::default());
        };
        let complete = self.held.split_to(end).freeze();
        let mut events = Events::default();
        let mut has_fields = false;
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            match line.strip_prefix(ID_FIELD) {
                _ if line.is_empty() => events.count += u32::from(has_fields),
                Some(id) => events.last_id = parse(id).or(events.last_id),
                None => {}
            }
            has_fields = !line.is_empty() && (has_fields || !line.starts_with(COMMENT));
        }
        events.bytes = complete;
        Ok(events)
    }

    /// Number of bytes of the incomplete event.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Whether the bytes so far end inside an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.held.trim_ascii().is_empty()
    }

    /// Takes the bytes of the incomplete event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let last = |end: &[u8]| {
        let start = bytes.windows(end.len()).rposition(|window| window == end)?;
        Some(start + end.len())
    };
    EVENT_TERMINATORS.into_iter().filter_map(last).max()
}

fn parse(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
