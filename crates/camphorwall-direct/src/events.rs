//! Splits the bytes of an event stream at the ends of its events.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const END: &[u8] = b"\n\n";

/// Field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// Holds the bytes of an event back until the event is whole.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    held: BytesMut,
}

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
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Events {
        let searched = self.held.len().saturating_sub(END.len() - 1);
        self.held.extend_from_slice(bytes);
        let Some(end) = last_end(&self.held[searched..]) else {
            return Events::default();
        };
        let whole = self.held.split_to(searched + end).freeze();
        let mut events = Events::default();
        for line in whole.split(|byte| *byte == b'\n') {
            match line.strip_prefix(ID_FIELD) {
                _ if line.is_empty() => events.count += 1,
                Some(id) => events.last_id = parse(id).or(events.last_id),
                None => {}
            }
        }
        // The split after the last line end yields an empty line more than there are events.
        events.count -= 1;
        events.bytes = whole;
        events
    }

    /// Bytes of an event that is not whole.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(END.len()).rposition(|window| window == END)?;
    Some(start + END.len())
}

fn parse(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
