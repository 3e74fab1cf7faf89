//! The statuses with which an answer can end a call.

use derive_more::{Display, Error};
use hyper::{Response, StatusCode};

/// The status of a final answer, which RFC 9110 puts between 200 and 599. Lower ones announce that the
/// answer follows, or accept a change of the protocol, for which no call asks.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct FinalStatus(StatusCode);

/// A status that no final answer has. The request may have run.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("status {number} is not that of a final answer; expected 200 to 599")]
pub struct NotFinalError {
    /// The number that stands in place of a status.
    pub number: u32,
}

impl FinalStatus {
    /// Returns the status as HTTP libraries write it.
    pub fn code(self) -> StatusCode {
        self.0
    }
}

impl TryFrom<u32> for FinalStatus {
    type Error = NotFinalError;

    fn try_from(number: u32) -> Result<Self, NotFinalError> {
        let code = u16::try_from(number).ok().filter(|code| (200..600).contains(code));
        let status = code.and_then(|code| StatusCode::from_u16(code).ok());
        status.map(Self).ok_or(NotFinalError { number })
    }
}

impl TryFrom<StatusCode> for FinalStatus {
    type Error = NotFinalError;

    fn try_from(status: StatusCode) -> Result<Self, NotFinalError> {
        Self::try_from(u32::from(status.as_u16()))
    }
}

/// Returns an answer if it has the status of a final one.
pub fn require_final<B>(answer: Response<B>) -> Result<Response<B>, NotFinalError> {
    FinalStatus::try_from(answer.status()).map(|_| answer)
}
