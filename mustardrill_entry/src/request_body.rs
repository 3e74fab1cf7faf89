//! Reads the bodies of callers' requests.

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use mustardrill_core::direct::RefusalPlan;
use mustardrill_runtime::body_memory::{BodyMemory, BodyReservation};
use mustardrill_types::{ByteSize, Millis, ResultCode};

/// When a caller may retry for whose body there was no memory: some requests have ended by then.
const BODY_RETRY: Millis = Millis(500);

/// Why a body was not read.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// Other bodies take the memory.
    #[display("no memory for the body")]
    NoMemory,
    /// It was not complete in time.
    #[display("the request body is incomplete after {_0}")]
    TooSlow(Millis),
    /// It ended early or is larger than the limit.
    #[display("the request body is incomplete or larger than {_0}")]
    Invalid(ByteSize),
}

impl BodyError {
    /// The refusal of a request whose body was not read; it has not run.
    pub(crate) fn refusal(&self) -> RefusalPlan {
        let (code, retry_after) = match self {
            Self::NoMemory => (ResultCode::Overloaded, BODY_RETRY),
            Self::TooSlow(_) => (ResultCode::DeadlinePassed, Millis(0)),
            Self::Invalid(_) => (ResultCode::BadRequest, Millis(0)),
        };
        RefusalPlan { code, retry_after }
    }
}

/// Reads a body of at most `limit` bytes within `time_limit`, in memory that is reserved for it.
pub(crate) async fn read_body(
    memory: &BodyMemory,
    body: Incoming,
    limit: ByteSize,
    time_limit: Millis,
) -> Result<(Bytes, BodyReservation), BodyError> {
    // A body without a stated length may be as large as the limit.
    let stated = body.size_hint().upper().map_or(limit, ByteSize);
    let Some(mut reservation) = memory.reserve(stated.min(limit)) else {
        tokio::spawn(tokio::time::timeout(time_limit.to_std(), discard(body)));
        return Err(BodyError::NoMemory);
    };
    let read = tokio::time::timeout(time_limit.to_std(), collect(body, limit)).await;
    let read = read.map_err(|_| BodyError::TooSlow(time_limit))?;
    let body = read.ok_or(BodyError::Invalid(limit))?;
    reservation.shrink_to(ByteSize(body.len() as u64));
    Ok((body, reservation))
}

/// Copies a body into one buffer: its parts may be far smaller than the memory that each of them
/// holds. Returns `None` if it ends early or is larger than `limit`.
async fn collect(body: Incoming, limit: ByteSize) -> Option<Bytes> {
    let stated = body.size_hint().exact().unwrap_or(0).min(limit.0);
    let mut bytes = Vec::with_capacity(stated as usize);
    let mut body = Limited::new(body, limit.0 as usize);
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&part);
        }
    }
    bytes.shrink_to_fit();
    Some(bytes.into())
}

/// Reads a body and drops it: a connection that is closed with unread bytes is reset, and the caller
/// might lose the answer.
async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
