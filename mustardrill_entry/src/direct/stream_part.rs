//! The parts in which a stream arrives from its upstream, in memory that is reserved for them.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mustardrill_runtime::client_connections::{AnswerReservation, ClientConnection};
use mustardrill_types::ByteSize;

use crate::direct::answer_buffer::{AnswerMemoryError, GROWTH_TIMEOUT};
use crate::direct::event_splitter::{EventOrderError, EventSplitter};

/// What arrived of a stream.
pub(super) enum StreamPart {
    /// Bytes, and the events that are complete with them; these keep their memory reserved.
    Received(Bytes, Result<Option<Bytes>, EventOrderError>),
    /// Bytes for which there is no memory now; the reader holds them.
    Unreserved,
}

/// Reads a stream and splits it into events.
pub(super) struct StreamReader {
    body: Incoming,
    pub(super) splitter: EventSplitter,
    /// For the event that is not complete.
    reservation: AnswerReservation,
    /// Bytes that are not split yet, as there was no memory for them.
    unsplit: Option<Bytes>,
}

impl StreamReader {
    /// Reads a stream that continues after the event with the id `last_event`.
    pub(super) fn open(
        body: Incoming,
        client: &ClientConnection,
        last_event: Option<Box<str>>,
    ) -> Self {
        let splitter = EventSplitter::after(last_event);
        Self { body, splitter, reservation: client.reserve_nothing(), unsplit: None }
    }

    /// Waits for the next part of a stream: complete events or comments, or the beginning of the
    /// first event. What only continues an event is no such part: it may go on without end.
    pub(super) async fn next_part(
        &mut self,
        has_started: bool,
    ) -> Option<Result<StreamPart, hyper::Error>> {
        loop {
            let data = match self.unsplit.take() {
                Some(data) => data,
                None => match self.body.frame().await? {
                    Ok(frame) => frame.into_data().unwrap_or_default(),
                    Err(error) => return Some(Err(error)),
                },
            };
            let missing = self.missing_for(&data);
            // `wait_for_memory` tells where there is never enough.
            if !matches!(self.reservation.try_grow(missing), Ok(true)) {
                self.unsplit = Some(data);
                return Some(Ok(StreamPart::Unreserved));
            }
            let events = self.split(&data);
            let is_beginning = self.splitter.has_event() && !has_started;
            if is_beginning || self.splitter.is_complete() || !matches!(events, Ok(None)) {
                return Some(Ok(StreamPart::Received(data, events)));
            }
        }
    }

    /// Waits for the memory of the bytes that are not split yet.
    pub(super) async fn wait_for_memory(&mut self) -> Result<(), AnswerMemoryError> {
        let Some(data) = &self.unsplit else { return Ok(()) };
        let missing = self.missing_for(data);
        if self.reservation.size().0 == 0 {
            return self.reservation.grow(missing).await.map_err(AnswerMemoryError::TooLarge);
        }
        let growth = tokio::time::timeout(GROWTH_TIMEOUT, self.reservation.grow(missing)).await;
        growth.map_err(|_| AnswerMemoryError::Occupied)?.map_err(AnswerMemoryError::TooLarge)
    }

    /// What is to be reserved before `data` is added; at least as much as a full buffer grows by.
    fn missing_for(&self, data: &[u8]) -> ByteSize {
        let (length, reserved) =
            (self.splitter.pending_length() + data.len(), self.reservation.size());
        let missing = (length as u64).saturating_sub(reserved.0);
        ByteSize(if missing == 0 { 0 } else { missing.max(reserved.0) })
    }

    fn split(&mut self, data: &[u8]) -> Result<Option<Bytes>, EventOrderError> {
        let events = self.splitter.push(data)?;
        let events = events.map(|events| {
            let size = ByteSize(events.len() as u64);
            self.reservation.split(size).attach(events)
        });
        self.reservation.shrink_to(ByteSize(self.splitter.pending_capacity() as u64));
        Ok(events)
    }
}
