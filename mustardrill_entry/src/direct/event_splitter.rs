//! Splits a streamed answer into complete server-sent events, so that no caller is sent part of
//! one.

use bytes::Bytes;

/// Holds the bytes of an event that is not complete yet, the id of the last complete event, and
/// whether any byte of an event was received.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: Vec<u8>,
    /// Whether the last line so far is a comment that is not complete.
    is_in_comment: bool,
    last_id: Option<Box<str>>,
    has_event: bool,
}

/// The events' ids are not consecutive: an event is missing or was sent twice.
#[derive(Debug)]
pub(crate) struct EventOrderError;

impl EventSplitter {
    /// Adds bytes; returns the events that are complete now, if any. Comments ahead of the first event
    /// are dropped: the answer may still be withdrawn, and its head was not forwarded.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventOrderError> {
        if bytes.is_empty() {
            return Ok(None);
        }
        // Only what is new is searched, as an event may come in many parts.
        let searched = self.pending.len();
        self.pending.extend_from_slice(bytes);
        self.has_event = self.has_event || self.begins_event(bytes);
        let Some(end) = last_event_end(&self.pending, searched) else { return Ok(None) };
        // Neither part keeps the other's memory.
        let rest = self.pending.split_off(end);
        let mut events = std::mem::replace(&mut self.pending, rest);
        events.shrink_to_fit();
        let events = Bytes::from(events);
        if !self.has_event {
            return Ok(None);
        }
        for id in event_ids(&events) {
            if !may_follow(self.last_id.as_deref(), id) {
                return Err(EventOrderError);
            }
            self.last_id = Some(id.into());
        }
        Ok(Some(events))
    }

    /// Whether a line that begins in `bytes` belongs to an event, if none did before.
    fn begins_event(&mut self, bytes: &[u8]) -> bool {
        let mut lines = bytes.split(is_line_end);
        let rest = if self.is_in_comment { lines.next() } else { None };
        let last = lines.clone().next_back().or(rest);
        let begins_event = lines.any(is_event_line);
        self.is_in_comment = last.is_some_and(|line| !line.is_empty());
        begins_event
    }

    /// The bytes of the event that is not complete.
    pub(crate) fn pending_length(&self) -> usize {
        self.pending.len()
    }

    /// The memory that they take.
    pub(crate) fn pending_capacity(&self) -> usize {
        self.pending.capacity()
    }

    /// Continues a stream after the event with the id `last_id`.
    pub(crate) fn after(last_id: Option<Box<str>>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether a part of an event was received. Comments only keep a connection open.
    pub(crate) fn has_event(&self) -> bool {
        self.has_event
    }

    /// Whether the bytes so far end with a complete event.
    pub(crate) fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Whether some line belongs to an event instead of a comment.
pub(crate) fn has_event_line(bytes: &[u8]) -> bool {
    bytes.split(is_line_end).any(is_event_line)
}

fn is_event_line(line: &[u8]) -> bool {
    !line.is_empty() && !line.starts_with(b":")
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// The end of the last blank line, which ends an event, if its end is not before `searched`. Lines end
/// with LF or CR LF.
fn last_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let ends_blank_line = |end: &usize| {
        let line = bytes[..*end].strip_suffix(b"\n").unwrap_or_default();
        line.strip_suffix(b"\r").unwrap_or(line).ends_with(b"\n")
    };
    let line_ends = (searched..bytes.len()).rev().filter(|index| bytes[*index] == b'\n');
    line_ends.map(|index| index + 1).find(ends_blank_line)
}

fn event_ids(events: &[u8]) -> impl Iterator<Item = &str> {
    let text = std::str::from_utf8(events).unwrap_or_default();
    text.lines().filter_map(|line| line.strip_prefix("id:")).map(str::trim)
}

/// Whether the event `next` may follow the event `last`. Ids that are not numbers are not checked.
fn may_follow(last: Option<&str>, next: &str) -> bool {
    let last = last.and_then(|last| last.parse::<u64>().ok());
    match (last, next.parse::<u64>()) {
        (Some(last), Ok(next)) => Some(next) == last.checked_add(1),
        _ => true,
    }
}
