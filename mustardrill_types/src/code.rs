//! The numbered result codes; `docs/CODES.md` says what a caller does about each.

use derive_more::Display;

/// What became of a request or an edit. The numbers are stable and never used again.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
#[display("{}", self.number())]
pub enum ResultCode {
    /// The whole answer was given.
    Answered,
    /// The request itself is wrong; not run.
    BadRequest,
    /// No customer is known by this token; not run.
    UnknownCustomer,
    /// The customer may not call this model; not run.
    NotAllowed,
    /// The catalogue has no such model or service; not run.
    UnknownModel,
    /// The customer is over its limit; not run.
    OverLimit,
    /// Every upstream is full or the wait would pass the deadline; not run.
    Overloaded,
    /// No upstream serves the pinned weights now; not run.
    NoUpstream,
    /// The deadline passed before the request was run; not run.
    DeadlinePassed,
    /// The claim of a non-idempotent request can't be agreed now; not run.
    ClaimUnavailable,
    /// This request key was sent before: this sending is not run, the earlier one may have been.
    AlreadyClaimed,
    /// The instance is leaving; not run.
    Leaving,
    /// The request was withdrawn before it was run; not run.
    Withdrawn,
    /// The entry has no configuration yet, or can't prove that the one it has is current; not run.
    NotCurrent,
    /// The request may or may not have run: its upstream or agent was lost.
    Unknown,
    /// The upstream ran the request and failed.
    UpstreamFailed,
    /// The answer was cut and could not be resumed under the same weights.
    AnswerCut,
    /// The answer was made from other weights than those pinned; dropped.
    WrongWeights,
    /// Upstreams ended each time that they ran this request; for a while it is run no more.
    Quarantined,
    /// The edit was accepted.
    EditAccepted,
    /// The edit was refused and will not take effect.
    EditRefused,
    /// Whether the edit took effect is not known yet.
    EditUnknown,
    /// The operator is not allowed.
    OperatorRefused,
}

impl ResultCode {
    /// Every code, in the order of the numbers.
    pub const ALL: [Self; 23] = [
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

    /// The stable number of the code.
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

    /// The code with this number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.number() == number)
    }

    /// Whether the code is a promise that the request was not run.
    pub fn is_not_run(self) -> bool {
        (2000..3000).contains(&self.number())
    }

    /// What callers are told of whether the request was run.
    pub fn run_label(self) -> &'static str {
        match self {
            Self::Quarantined => "has-run",
            code if code.is_not_run() => "not-run",
            _ => "unknown",
        }
    }

    /// Whether another upstream may be tried after this refusal.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Overloaded | Self::NoUpstream | Self::Leaving)
    }

    /// The HTTP status a caller sees with the code.
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
            | Self::NotCurrent => 503,
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
