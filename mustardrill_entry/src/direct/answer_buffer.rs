//! An answer that is received completely before it is passed on, in memory that is reserved for it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use hyper::body::{Body, Incoming};
use mustardrill_runtime::client_connections::{
    AnswerReservation, AnswerTooLargeError, ClientConnection,
};
use mustardrill_types::ByteSize;

/// The first reservation for an answer without a stated length; each further one is as large as all
/// before it.
const FIRST_RESERVATION: ByteSize = ByteSize(16 << 10);

/// How long an answer that holds memory waits for more: another one may wait for what this one holds.
pub(super) const GROWTH_TIMEOUT: Duration = Duration::from_secs(2);

/// Why there is no memory for an answer.
#[derive(Debug, Display, Error)]
pub(crate) enum AnswerMemoryError {
    /// There is never that much.
    #[display("{_0}; state more memory_mb")]
    TooLarge(AnswerTooLargeError),
    /// Other answers take it.
    #[display("no memory for more of an answer")]
    Occupied,
}

/// The bytes received so far.
pub(crate) struct AnswerBuffer {
    bytes: BytesMut,
    reservation: AnswerReservation,
}

impl AnswerBuffer {
    /// Waits until there is memory for the stated length of an answer, or for its first part.
    pub(crate) async fn open(
        client: &ClientConnection,
        body: &Incoming,
    ) -> Result<Self, AnswerMemoryError> {
        let size = body.size_hint().exact().map_or(FIRST_RESERVATION, ByteSize);
        let reservation = client.reserve_answer(size).await.map_err(AnswerMemoryError::TooLarge)?;
        let bytes = BytesMut::with_capacity(reservation.size().0 as usize);
        Ok(Self { bytes, reservation })
    }

    /// Adds a part, once there is memory for it.
    pub(crate) async fn push(&mut self, part: &[u8]) -> Result<(), AnswerMemoryError> {
        let length = (self.bytes.len() + part.len()) as u64;
        let reserved = self.reservation.size();
        if length > reserved.0 {
            let missing = ByteSize((length - reserved.0).max(reserved.0));
            let growth = tokio::time::timeout(GROWTH_TIMEOUT, self.reservation.grow(missing)).await;
            let growth = growth.map_err(|_| AnswerMemoryError::Occupied)?;
            growth.map_err(AnswerMemoryError::TooLarge)?;
            self.bytes.reserve(self.reservation.size().0 as usize - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The complete answer; its memory is released once it has been written.
    pub(crate) fn into_bytes(self) -> Bytes {
        self.reservation.attach(self.bytes.freeze())
    }
}
