//! Determines when a version that the store shows was announced, and when peer entries are asked
//! for that.
//!
//! An entry may be cut off from the store, or be suspended, while the operator announces a version.
//! The platform counts the time allowed to the older version from the announcement, and restarts
//! that count only where the store itself was unavailable. The entry's own observations cannot tell
//! the two cases apart, but its peers may know.

use log::info;
use mustardrill_types::{Millis, ModelName, Moment, WeightVersion};

use crate::direct::reducer::DirectReducer;
use crate::direct::versions::table::{AnnouncementReport, AnnouncementTime};

/// If the store answered no entry for less than this, the platform may not have counted it as
/// unavailable: single calls fail even when neither the store nor a link is down.
const MIN_STORE_OUTAGE: Millis = Millis(4_000);

/// How long the peers are polled after an entry has learned of a version. A peer that does not know
/// the version at the first request may learn of it shortly afterwards.
const POLL_SPAN: Millis = Millis(1_000);

/// How long the peers have to report whether the store answered them before the announcement times
/// are settled. They are asked repeatedly within this time.
const PEER_REPORT_TIMEOUT: Millis = Millis(200);

/// Polling of the peer entries about recently learned versions.
#[derive(Debug, Default)]
pub(crate) struct AnnouncementInquiry {
    poll_until: Moment,
    /// As long as no peer has answered, polling continues until this time.
    unanswered_until: Moment,
    /// When to decide whether the time allowed to superseded versions is counted from the store's
    /// return.
    settle_at: Option<Moment>,
}

impl AnnouncementInquiry {
    /// Starts polling for a version that was learned of at `now`; the version it supersedes may be
    /// used for `bound`.
    fn start(&mut self, now: Moment, bound: Millis) {
        self.poll_until = now + POLL_SPAN;
        self.unanswered_until = now + bound;
        self.settle_at = Some(now + PEER_REPORT_TIMEOUT);
    }

    pub(crate) fn record_answer(&mut self) {
        self.unanswered_until = Moment(0);
    }

    /// Whether the peers' answers currently affect which requests are sent.
    pub(crate) fn is_urgent(&self) -> bool {
        self.settle_at.is_some()
    }

    /// Whether the peers should be polled at `now`.
    pub(crate) fn is_polling(&self, now: Moment) -> bool {
        now < self.poll_until.max(self.unanswered_until)
    }

    /// When [`DirectReducer::settle_announcements`] next has a decision to make.
    pub(crate) fn next_decision(&self) -> Option<Moment> {
        self.settle_at
    }

    /// Returns whether the announcement times are to be settled now. `has_peers` is whether there
    /// are peers to ask.
    fn take_due_decision(&mut self, now: Moment, has_peers: bool) -> bool {
        let Some(settle_at) = self.settle_at else { return false };
        if has_peers && now < settle_at {
            return false;
        }
        // Missing answers do not show whether the store answered the peers.
        if has_peers && now < self.unanswered_until {
            self.settle_at = Some(now + PEER_REPORT_TIMEOUT);
            return false;
        }
        self.settle_at = None;
        true
    }
}

impl DirectReducer {
    /// When a version was announced that an answer of the store shows first, as far as this process
    /// knows.
    ///
    /// The answer may have been made at any time since its call was sent, and the one before it at
    /// any time since that was confirmed, so only the last confirmation is certain to be earlier
    /// than the announcement.
    pub(in crate::direct) fn announcement_time(&self, now: Moment) -> AnnouncementTime {
        AnnouncementTime::bounded(self.store_freshness.last_confirmed().unwrap_or_default(), now)
    }

    /// Records a version that the store shows, and starts polling the peers for its announcement
    /// time.
    pub(in crate::direct) fn record_announcement(
        &mut self,
        now: Moment,
        model: &ModelName,
        version: WeightVersion,
        time: AnnouncementTime,
    ) {
        if !self.versions.announce(model, version, time) {
            return;
        }
        info!(
            "weights model={model} version={version} outcome=named since={} source=store",
            now.since(time.effective_at()),
        );
        self.announcement_inquiry.start(now, self.settings.version_bound);
        self.refresh_attempt_limits();
    }

    /// Merges what a peer entry knows about announcement times.
    pub(in crate::direct) fn receive_announcement_reports(
        &mut self,
        now: Moment,
        reports: &[AnnouncementReport],
    ) {
        self.announcement_inquiry.record_answer();
        for report in reports {
            if !self.versions.refine(report) {
                continue;
            }
            let AnnouncementReport { model, version, .. } = report;
            let since = self.versions.announced_at(model, *version).unwrap_or(now);
            info!(
                "weights model={model} version={version} outcome=named since={} source=entry",
                now.since(since)
            );
        }
        self.refresh_attempt_limits();
    }

    /// Decides whether versions that arrived with the first answer after a store outage count from
    /// the store's return, once the peers had time to report whether the store answered them in the
    /// meantime.
    pub(in crate::direct) fn settle_announcements(&mut self, now: Moment) {
        if !self.announcement_inquiry.take_due_decision(now, !self.peers.is_empty()) {
            return;
        }
        if let Some(span) = self.store_availability.span() {
            // A process that was suspended has had no answer either, but no call of it failed.
            let outage = self.store_outage.map_or(Millis(0), |outage| outage.length(span.since));
            if outage >= MIN_STORE_OUTAGE {
                self.versions.count_from_return(span.since, MIN_STORE_OUTAGE);
            }
            self.refresh_attempt_limits();
            info!("weights outcome=settled answering={}", now.since(span.since));
        }
    }
}
