//! What an entry has lately seen of the demand for a service, by urgency, and of its room.

use std::collections::BTreeMap;

use mustardrill_types::{Millis, Moment};

use crate::direct::admission::rate_window::RateWindow;
use crate::direct::admission::urgency::Urgency;

/// How long a lack of room for urgent requests counts.
///
/// Less urgent requests of all entries leave them room meanwhile. Slots become free within this
/// time, so that the lack shows again if it lasts.
const LACK_SPAN: Millis = Millis(1_000);

/// How long requests must have been waiting until the rate at which they are sent shows the room.
const BACKLOG_SPAN: Millis = Millis(500);

/// The demand for one service at this entry, and the room for it.
#[derive(Debug, Default)]
pub(crate) struct ServiceDemand {
    arrivals: BTreeMap<Urgency, RateWindow>,
    sends: RateWindow,
    /// When requests of each urgency last found too little room.
    lacks: BTreeMap<Urgency, Moment>,
    /// Since when requests have been waiting without a pause.
    backlogged_since: Option<Moment>,
}

impl ServiceDemand {
    /// Records that a request arrived.
    pub(crate) fn record_arrival(&mut self, now: Moment, urgency: Urgency) {
        self.arrivals.entry(urgency).or_default().record(now);
    }

    /// Records that a request was sent to an upstream.
    pub(crate) fn record_sent(&mut self, now: Moment) {
        self.sends.record(now);
    }

    /// Records whether requests wait.
    pub(crate) fn record_backlog(&mut self, now: Moment, is_backlogged: bool) {
        self.backlogged_since =
            if is_backlogged { self.backlogged_since.or(Some(now)) } else { None };
    }

    /// Records that a request waited too long for room, or found none.
    pub(crate) fn record_lack(&mut self, now: Moment, urgency: Urgency) {
        self.lacks.insert(urgency, now);
    }

    /// How many kinds more urgent than `urgency` lately found too little room.
    pub(crate) fn lacking_above(&self, now: Moment, urgency: Urgency) -> u32 {
        let above = self.lacks.range(..urgency);
        above.filter(|(_, at)| now.since(**at) < LACK_SPAN).count() as u32
    }

    /// The requests per second that arrive here and are more urgent than `urgency`.
    pub(crate) fn arrivals_above(&self, now: Moment, urgency: Urgency) -> f64 {
        let above = self.arrivals.range(..urgency);
        above.map(|(_, window)| window.per_second(now)).sum()
    }

    /// The requests per second that find room, as seen here; `None` where too few have been waiting
    /// to tell.
    pub(crate) fn observed_rate(&self, now: Moment) -> Option<f64> {
        let since = self.backlogged_since?;
        (now.since(since) >= BACKLOG_SPAN).then(|| self.sends.per_second(now))
    }
}
