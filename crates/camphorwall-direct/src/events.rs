//! Splits the bytes of an event stream at the ends of its events.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// What ends an event: an empty line.
const ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];

/// Bytes that the longest of these has before its last one.
const MAX_BEGUN_END: usize = 2;

/// Most bytes of an event that is not whole yet. Events of tokens have some hundred bytes; a machine with 88 MB may hold
/// hundreds of streams.
const MAX_EVENT_BYTES: usize = 64 * 1_024;

/// Field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// Holds the bytes of an event back until the event is whole.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    held: BytesMut,
}

/// An event that is larger than any may be.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "an event has no end within {MAX_EVENT_BYTES} B; look at what its endpoint sends"
))]
pub(crate) struct EventTooLarge;

/// Whole events.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct Events {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many they are.
    pub count: u32,
    /// Number of the last one that has a number.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now.
    ///
    /// # Errors
    /// When what is left of them is larger than an event may be.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Events, EventTooLarge> {
        let searched = self.held.len().saturating_sub(MAX_BEGUN_END);
        self.held.extend_from_slice(bytes);
        let end = last_end(&self.held[searched..]).map(|end| searched + end);
        if self.held.len() - end.unwrap_or(0) > MAX_EVENT_BYTES {
            self.held = BytesMut::new();
            return Err(EventTooLarge);
        }
        let Some(end) = end else {
            return Ok(Events::default());
        };
        let whole = self.held.split_to(end).freeze();
        let mut events = Events::default();
        for line in whole.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            match line.strip_prefix(ID_FIELD) {
                _ if line.is_empty() => events.count += 1,
                Some(id) => events.last_id = parse(id).or(events.last_id),
                None => {}
            }
        }
        // The split after the last line end yields an empty line more than there are events.
        events.count -= 1;
        events.bytes = whole;
        Ok(events)
    }

    /// Bytes of an event that is not whole.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let last = |end: &[u8]| {
        let start = bytes.windows(end.len()).rposition(|window| window == end)?;
        Some(start + end.len())
    };
    ENDS.into_iter().filter_map(last).max()
}

fn parse(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
