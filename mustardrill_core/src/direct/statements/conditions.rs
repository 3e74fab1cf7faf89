//! The conditions that an incarnation of an upstream has stated, as one entry knows them.

use mustardrill_types::Moment;

use crate::direct::intake::limit::IntakeLimit;
use crate::direct::statements::rest::RestPeriod;
use crate::direct::warmup::period::WarmupPeriod;

/// What an incarnation has stated of itself. Kept apart from its registration, so that no
/// registration that is renewed, read late or lost and written again undoes it.
#[derive(Debug, Default)]
pub(crate) struct StatedConditions {
    /// The request rate that it accepts from all entries together.
    pub(crate) intake_limit: IntakeLimit,
    /// Until when it is cold.
    pub(crate) warmup: WarmupPeriod,
    /// When it first stated that it is leaving. An incarnation that leaves does not come back.
    leaving_since: Option<Moment>,
    /// For how long it wants no requests from this entry.
    pub(crate) rest: RestPeriod,
}

impl StatedConditions {
    /// Records that it is leaving; returns whether that is news.
    pub(crate) fn record_leaving(&mut self, now: Moment) -> bool {
        let is_news = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_news
    }

    /// From when on its limit and its rest let this entry send the next request; `None` if the limit
    /// lets it send nothing.
    pub(crate) fn opens_at(&self) -> Option<Moment> {
        Some(self.intake_limit.opens_at()?.max(self.rest.opens_at()))
    }

    /// Whether it has stated that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }
}
