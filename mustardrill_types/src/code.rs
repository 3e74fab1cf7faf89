//! Numbered result codes of requests and edits; `docs/CODES.md` describes what a caller should do
//! about each.

use derive_more::Display;

/// The result of a request or an edit. The numbers are stable, and the number of a removed code is
/// never reused.
///
/// "Not run" below means that no upstream ran the request.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
#[display("{}", self.number())]
pub enum ResultCode {
    /// The complete answer was delivered.
    Answered,
    /// The request is malformed; not run.
    BadRequest,
    /// The token belongs to no customer; not run.
    UnknownCustomer,
    /// The customer may not call this model; not run.
    NotAllowed,
    /// The catalogue has no such model or service; not run.
    UnknownModel,
    /// The customer has reached one of its limits; not run.
    OverLimit,
    /// All upstreams are at capacity, or waiting for one would exceed the deadline; not run.
    Overloaded,
    /// No upstream currently serves the pinned weights; not run.
    NoUpstream,
    /// The deadline passed before the request was run; not run.
    DeadlinePassed,
    /// The claim that lets a non-idempotent request run at most once could not be obtained; not
    /// run.
    ClaimUnavailable,
    /// The request key was used before: this request is not run, but the earlier one may have been.
    AlreadyClaimed,
    /// The instance is shutting down; not run.
    Leaving,
    /// The request was cancelled before it was run; not run.
    Withdrawn,
    /// The entry has no configuration yet, or cannot confirm that its configuration is current; not
    /// run.
    NotCurrent,
    /// Upstreams crashed each time they ran a request with some part of this one's prompt; not run.
    PartQuarantined,
    /// No upstream runs in a region in which the request may be served; not run.
    OutsideRegions,
    /// The upstream or its agent was lost, so the request may or may not have run.
    Unknown,
    /// The upstream failed while it ran the request.
    UpstreamFailed,
    /// The answer broke off and could not be resumed with the same weights.
    AnswerCut,
    /// The answer came from other weights than the pinned ones and was discarded.
    WrongWeights,
    /// Upstreams crashed each time they ran this request; it is not run again for a while.
    Quarantined,
    /// The edit was accepted.
    EditAccepted,
    /// The edit was refused and will not take effect.
    EditRefused,
    /// It is not known yet whether the edit took effect.
    EditUnknown,
    /// The caller is not authorised as an operator.
    OperatorRefused,
}

impl ResultCode {
    /// Every code, by ascending number.
    pub const ALL: [Self; 25] = [
        Self::Answered,
        Self::BadRequest,
        Self::UnknownCustomer,
        Self::NotAllowed,
        Self::UnknownModel,
        Self::OverLimit,
        Self::Overloaded,
        Self::NoUpstream,
        Self::DeadlinePassed,
        Self::ClaimUnavailable,
        Self::AlreadyClaimed,
        Self::Leaving,
        Self::Withdrawn,
        Self::NotCurrent,
        Self::PartQuarantined,
        Self::OutsideRegions,
        Self::Unknown,
        Self::UpstreamFailed,
        Self::AnswerCut,
        Self::WrongWeights,
        Self::Quarantined,
        Self::EditAccepted,
        Self::EditRefused,
        Self::EditUnknown,
        Self::OperatorRefused,
    ];

    /// The number of the code: 1xxx answered, 2xxx not run, 3xxx possibly run but
    /// without a usable answer, 4xxx edits.
    pub fn number(self) -> u16 {
        match self {
            Self::Answered => 1000,
            Self::BadRequest => 2001,
            Self::UnknownCustomer => 2002,
            Self::NotAllowed => 2003,
            Self::UnknownModel => 2004,
            Self::OverLimit => 2010,
            Self::Overloaded => 2011,
            Self::NoUpstream => 2012,
            Self::DeadlinePassed => 2013,
            Self::ClaimUnavailable => 2014,
            Self::AlreadyClaimed => 2015,
            Self::Leaving => 2016,
            Self::Withdrawn => 2017,
            Self::NotCurrent => 2018,
            Self::PartQuarantined => 2019,
            Self::OutsideRegions => 2020,
            Self::Unknown => 3001,
            Self::UpstreamFailed => 3002,
            Self::AnswerCut => 3003,
            Self::WrongWeights => 3004,
            Self::Quarantined => 3005,
            Self::EditAccepted => 4000,
            Self::EditRefused => 4001,
            Self::EditUnknown => 4002,
            Self::OperatorRefused => 4003,
        }
    }

    /// The code with this number; `None` for an unassigned number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.number() == number)
    }

    /// Whether the code guarantees that the request was not run.
    pub fn is_not_run(self) -> bool {
        (2000..3000).contains(&self.number())
    }

    /// The label that tells a caller whether the request was run: `not-run`, `has-run` or
    /// `unknown`.
    pub fn run_label(self) -> &'static str {
        match self {
            Self::Quarantined => "has-run",
            code if code.is_not_run() => "not-run",
            _ => "unknown",
        }
    }

    /// Whether the request may be sent to another upstream after this refusal.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Overloaded | Self::NoUpstream | Self::Leaving)
    }

    /// The HTTP status of responses with this code.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Answered | Self::EditAccepted => 200,
            Self::BadRequest => 400,
            Self::UnknownCustomer | Self::OperatorRefused => 401,
            Self::NotAllowed => 403,
            Self::UnknownModel => 404,
            Self::AlreadyClaimed | Self::EditRefused => 409,
            Self::OverLimit => 429,
            Self::Overloaded
            | Self::NoUpstream
            | Self::ClaimUnavailable
            | Self::Leaving
            | Self::Withdrawn
            | Self::NotCurrent
            | Self::PartQuarantined
            | Self::OutsideRegions => 503,
            Self::DeadlinePassed => 504,
            Self::Unknown
            | Self::UpstreamFailed
            | Self::AnswerCut
            | Self::WrongWeights
            | Self::Quarantined => 502,
            Self::EditUnknown => 202,
        }
    }
}
