//! Since when a version counts that the store shows, and when the other entries are asked for that.
//!
//! Load pattern: an entry is cut off from the store, or stands still, while a version is named. The
//! platform counts the time of the older one from the naming, and anew only where the store itself was
//! away. What the entry has seen tells neither; the others may know.

use log::info;
use mustardrill_types::{Millis, ModelName, Moment, WeightVersion};

use crate::direct::reducer::DirectReducer;
use crate::direct::versions::table::{NamingTime, NamingWord};

/// Where the store answered no entry for less than this, the platform may not have counted it as
/// away: single calls fail also where neither the store nor a link is down.
const SHORT_OUTAGE: Millis = Millis(4_000);

/// How long the others are asked once an entry has learned of a version: one that they have not heard
/// of at the first question they have a moment later.
const ASK_SPAN: Millis = Millis(1_000);

/// How long they have to tell whether the store answered them, before versions count anew. They are
/// asked again and again within it.
const WORD_PATIENCE: Millis = Millis(200);

/// The questions to the other entries about versions that were learned of lately.
#[derive(Debug, Default)]
pub(crate) struct NamingInquiry {
    asked_until: Moment,
    /// While none of them has answered, they are asked until then.
    unanswered_until: Moment,
    /// When it is decided whether versions count anew.
    settle_at: Option<Moment>,
}

impl NamingInquiry {
    /// Begins to ask for a version that was learned of at `now`. Its older one may be used for `bound`.
    /// `is_exact` tells whether the store showed it at once.
    fn begin(&mut self, now: Moment, bound: Millis, is_exact: bool) {
        self.asked_until = now + ASK_SPAN;
        self.unanswered_until = now + bound;
        if !is_exact {
            self.settle_at = Some(now + WORD_PATIENCE);
        }
    }

    /// Notes that another entry has answered.
    pub(crate) fn answered(&mut self) {
        self.unanswered_until = Moment(0);
    }

    /// Whether others' answers decide now which requests are sent.
    pub(crate) fn is_urgent(&self) -> bool {
        self.settle_at.is_some()
    }

    /// Whether the others are to be asked.
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        now < self.asked_until.max(self.unanswered_until)
    }

    /// When something is to be decided.
    pub(crate) fn next_decision(&self) -> Option<Moment> {
        self.settle_at
    }

    /// Whether it is to be decided now whether versions count anew, where there are `others` to ask.
    fn take_due(&mut self, now: Moment, others: bool) -> bool {
        let Some(settle_at) = self.settle_at else { return false };
        if others && now < settle_at {
            return false;
        }
        // Silence says nothing of whether the store answered the others.
        if others && now < self.unanswered_until {
            self.settle_at = Some(now + WORD_PATIENCE);
            return false;
        }
        self.settle_at = None;
        true
    }
}

impl DirectReducer {
    /// What an answer to a call that was sent at `sent` tells of when a version was named that it
    /// shows first.
    ///
    /// A call that is answered sooner than the one before it was over may tell what happened in
    /// the pause between them; one that has waited for longer was answered at the naming.
    pub(in crate::direct) fn naming_time(
        &self,
        now: Moment,
        sent: Moment,
        was_away: bool,
    ) -> NamingTime {
        let earliest = self.store_freshness.last().unwrap_or_default();
        if was_away || self.store_freshness.last().is_none() {
            return NamingTime::after(earliest, now);
        }
        if now.since(sent) <= sent.since(self.store_read_at) {
            return NamingTime::after(self.store_read_at, now);
        }
        NamingTime::heard(earliest, now)
    }

    /// Notes a version that the store shows, and asks the others since when it counts.
    pub(in crate::direct) fn version_named(
        &mut self,
        now: Moment,
        model: &ModelName,
        version: WeightVersion,
        time: NamingTime,
    ) {
        if !self.versions.name(model, version, time) {
            return;
        }
        let is_exact = time.heard.is_some();
        info!(
            "weights model={model} version={version} outcome=named since={} evidence={}",
            now.since(time.since()),
            if is_exact { "heard" } else { "bounded" }
        );
        self.announcement_inquiry.begin(now, self.settings.version_bound, is_exact);
        self.review_attempts();
    }

    /// Takes over what another entry knows of when versions were named.
    pub(in crate::direct) fn namings_heard(&mut self, now: Moment, words: &[NamingWord]) {
        self.announcement_inquiry.answered();
        for word in words {
            if !self.versions.refine(word) {
                continue;
            }
            let NamingWord { model, version, .. } = word;
            let since = self.versions.named_at(model, *version).unwrap_or(now);
            info!(
                "weights model={model} version={version} outcome=named since={} source=entry",
                now.since(since)
            );
        }
        self.review_attempts();
    }

    /// Decides whether versions that came with the first answer after a time without any count anew,
    /// once the other entries had time to tell whether the store answered them meanwhile.
    pub(in crate::direct) fn settle_namings(&mut self, now: Moment) {
        if !self.announcement_inquiry.take_due(now, !self.peers.is_empty()) {
            return;
        }
        if let Some(span) = self.store_availability.span() {
            self.versions.count_from(span.since, SHORT_OUTAGE);
            self.review_attempts();
            info!("weights outcome=settled answering={}", now.since(span.since));
        }
    }
}
