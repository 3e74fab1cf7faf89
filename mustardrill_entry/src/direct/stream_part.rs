//! The parts in which a stream arrives from its upstream.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::direct::event_splitter::{EventOrderError, EventSplitter};

/// What arrived of a stream, and the events that are complete with it.
pub(super) struct StreamPart {
    pub(super) data: Bytes,
    pub(super) events: Result<Option<Bytes>, EventOrderError>,
}

/// Waits for the next part of a stream: complete events or comments, or the beginning of the first
/// event. What only continues an event is no such part: it may go on without end.
pub(super) async fn next_part(
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    has_started: bool,
) -> Option<Result<StreamPart, hyper::Error>> {
    loop {
        let data = match body.frame().await? {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(error) => return Some(Err(error)),
        };
        let events = splitter.push(&data);
        let is_beginning = splitter.has_event() && !has_started;
        if is_beginning || splitter.is_complete() || !matches!(events, Ok(None)) {
            return Some(Ok(StreamPart { data, events }));
        }
    }
}
