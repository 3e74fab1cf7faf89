//! What processes report to each other about requests that were running when upstreams crashed.

use derive_more::{Display, From};
use mustardrill_types::{InstanceId, Millis, Moment, PartSet, RequestDigest, StartStamp};

use crate::quarantine::QUARANTINE_SPAN;

/// A run of a request during which its upstream crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Identifies the request by its content.
    pub digest: RequestDigest,
    /// The shared parts of its prompt that may be the cause, as far as the reporter knows.
    pub parts: PartSet,
    /// The upstream that crashed.
    pub upstream: InstanceId,
    /// The incarnation of the upstream.
    pub start: StartStamp,
    /// When the request was sent to the upstream.
    pub sent: Moment,
    /// When the upstream crashed.
    pub ended: Moment,
}

/// Which requests are quarantined.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, From)]
pub enum QuarantineSubject {
    /// Those with this content.
    #[display("{_0}")]
    Content(RequestDigest),
    /// Those whose prompt has all of these parts.
    #[display("parts={_0}")]
    Parts(PartSet),
}

impl QuarantineSubject {
    /// How long the store keeps the record of a quarantine. That of parts outlasts its span, so
    /// that entries that start later still try one request before they send others.
    pub fn record_lifetime(&self, span: Millis) -> Millis {
        match self {
            Self::Content(_) => span,
            Self::Parts(_) => QUARANTINE_SPAN,
        }
    }
}

/// Where a verdict was read.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum VerdictSource {
    /// A report of another entry.
    #[display("entry")]
    Peer,
    /// A record in the store.
    #[display("store")]
    Store,
}

/// An observation or a verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashReport {
    /// An upstream crashed while it ran the request.
    Crashed(CrashedRun),
    /// The request was answered completely at that moment, so no earlier crash counts against it.
    Sound(RequestDigest, Moment),
    /// A request with these parts was answered completely at that moment.
    PartsSound(PartSet, Moment),
    /// Requests are quarantined for the remaining time given.
    Quarantined(QuarantineSubject, Millis),
}

impl CrashReport {
    /// The report as it is to be sent after a delay.
    pub(crate) fn after(&self, delay: Millis) -> Self {
        match self {
            Self::Quarantined(subject, left) => {
                let left = Millis(left.0.saturating_sub(delay.0));
                Self::Quarantined(subject.clone(), left)
            }
            other => other.clone(),
        }
    }

    /// Whether it reports a crash that a complete answer to the request at `at` has cleared.
    pub(crate) fn is_cleared_crash(&self, digest: RequestDigest, at: Moment) -> bool {
        matches!(self, Self::Crashed(run) if run.digest == digest && run.ended <= at)
    }

    /// Whether both report the same event. Times are ignored, as they differ a little with the path
    /// taken.
    pub fn is_same_event(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Crashed(one), Self::Crashed(other)) => {
                one.digest == other.digest && one.is_same_crash(other)
            }
            (Self::Sound(one, _), Self::Sound(other, _)) => one == other,
            (Self::PartsSound(one, _), Self::PartsSound(other, _)) => one == other,
            (Self::Quarantined(one, _), Self::Quarantined(other, _)) => one == other,
            _ => false,
        }
    }
}

impl CrashedRun {
    /// Whether both runs ended with the same incarnation of the same upstream.
    pub(crate) fn is_same_crash(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.start == other.start
    }
}
