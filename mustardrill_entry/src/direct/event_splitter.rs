//! Cuts an answer into whole events, so that nobody is sent half of one.

use bytes::{Bytes, BytesMut};

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// The bytes of an answer that are not yet a whole event, and the last event that is.
#[derive(Debug, Default)]
pub(crate) struct EventCutter {
    pending: BytesMut,
    last: Option<Box<str>>,
}

/// The events' ids don't follow each other: one is missing or came twice.
#[derive(Debug)]
pub(crate) struct BrokenOrder;

impl EventCutter {
    /// Takes bytes and returns the whole events among them, if any.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, BrokenOrder> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_end(&self.pending) else { return Ok(None) };
        let whole = self.pending.split_to(end).freeze();
        for id in ids(&whole) {
            if !follows(self.last.as_deref(), id) {
                return Err(BrokenOrder);
            }
            self.last = Some(id.into());
        }
        Ok(Some(whole))
    }

    /// The last whole event.
    pub(crate) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether nothing of an event is left over.
    pub(crate) fn is_whole(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops what an upstream that broke off left of an event.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let place = bytes.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
    Some(place + EVENT_END.len())
}

fn ids(events: &[u8]) -> impl Iterator<Item = &str> {
    let text = std::str::from_utf8(events).unwrap_or_default();
    text.lines().filter_map(|line| line.strip_prefix("id:")).map(str::trim)
}

/// Whether an event may come after another; ids that are no numbers can't tell.
fn follows(last: Option<&str>, next: &str) -> bool {
    let last = last.and_then(|last| last.parse::<u64>().ok());
    match (last, next.parse::<u64>()) {
        (Some(last), Ok(next)) => next == last + 1,
        _ => true,
    }
}
