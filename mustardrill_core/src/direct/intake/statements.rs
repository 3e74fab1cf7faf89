//! Records what answers and peers state of the request rate that upstreams accept, and which part
//! of it this entry may use.

use log::info;
use mustardrill_types::{InstanceId, Millis, Moment, RequestRate};

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::intake::limit::SENT_SPAN;
use crate::direct::intake::report::IntakeReport;
use crate::direct::intake::share::IntakeShare;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestStage;
use crate::direct::statements::statement::StatedValue;

/// How often the shares are computed again from the entries that exist.
const SHARE_INTERVAL: Millis = Millis(100);

/// Time from an entry's first contact until it sends to cold upstreams: by then it knows of most
/// entries that started at the same time.
const FIRST_NEWS: Millis = Millis(1_000);

/// How long an entry uses its share after its last contact with the store or with most entries. It
/// is shorter than the time for which the others leave the share of a missing entry unused.
const CONTACT_TIMEOUT: Millis = Millis(3_000);

impl DirectReducer {
    /// Records the limit that an answer states.
    pub(in crate::direct) fn record_intake_statement(
        &mut self,
        now: Moment,
        number: RequestNumber,
        statement: &StatedValue<RequestRate>,
    ) {
        let Some(state) = self.requests.get_mut(&number) else { return };
        state.has_stated_intake = true;
        // A malformed statement neither sets a limit nor ends one.
        if statement.value.is_some() {
            self.apply_intake_answer(now, number, statement.value);
        }
    }

    /// Records that an answer has started without stating a limit, unless it did so before.
    pub(in crate::direct) fn record_missing_intake_statement(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) {
        if self.requests.get(&number).is_some_and(|state| !state.has_stated_intake) {
            self.apply_intake_answer(now, number, None);
        }
    }

    /// Applies the reports of a peer entry.
    pub(in crate::direct) fn receive_intake_reports(
        &mut self,
        now: Moment,
        from: &InstanceId,
        reports: &[IntakeReport],
    ) -> Vec<DirectEffect> {
        if !self.entry_counter.record_message(now, from, &self.peers) {
            return Vec::new();
        }
        let mut has_changed = false;
        for report in reports {
            let start = UpstreamStart { id: report.upstream.clone(), start: report.start };
            let Some(upstream) = self.upstreams.incarnation_mut(&start) else { continue };
            let before = upstream.conditions.intake_limit.rate();
            if upstream.conditions.intake_limit.apply_report(now, report) {
                has_changed = true;
                let source =
                    format!("source={from} stated={} revision={}", report.age, report.revision);
                log_change(&start, report.rate, before, &source);
            }
        }
        if !has_changed {
            return Vec::new();
        }
        self.update_shares(now);
        self.dispatch_all_waiting(now)
    }

    /// Records and logs that a request is sent to an upstream that limits its rate.
    pub(in crate::direct) fn record_limited_send(
        &mut self,
        now: Moment,
        attempt: &str,
        start: &UpstreamStart,
    ) {
        let Some(upstream) = self.upstreams.incarnation_mut(start) else { return };
        let Some(rate) = upstream.conditions.intake_limit.rate() else { return };
        let sent = upstream.conditions.intake_limit.record_sent(now);
        let Some(share) = upstream.conditions.intake_limit.share() else { return };
        info!(
            "request={attempt} instance={} limit={rate} limit_age={} rank={} senders={} entries={} \
             interval={:.0}ms sent={sent} span={SENT_SPAN}",
            start.id,
            upstream.conditions.intake_limit.age(now),
            share.rank,
            share.senders,
            share.members,
            share.interval_ms(),
        );
    }

    /// Computes the shares again if that is due.
    pub(in crate::direct) fn refresh_shares(&mut self, now: Moment) {
        if now.since(self.shares_at) >= SHARE_INTERVAL {
            self.update_shares(now);
        }
    }

    /// Computes this entry's shares from the entries that exist.
    pub(in crate::direct) fn update_shares(&mut self, now: Moment) {
        self.shares_at = now;
        let is_member = self.is_in_contact(now);
        let window = self.settings.retry_share.window;
        if is_member {
            self.membership.record_contact(now, window);
        }
        self.live_peers = self.entry_counter.live_peers(now, window, &self.peers);
        self.update_warmups(now);
        if self.upstreams.limited_count() == 0 {
            return;
        }
        let is_settled = self.membership.is_joined(now);
        let may_start = self.membership.age(now).is_some_and(|age| age >= FIRST_NEWS);
        let own_id = &self.settings.own_id;
        for upstream in self.upstreams.iter_mut() {
            let limit = &mut upstream.conditions.intake_limit;
            let is_sharing = is_member && (may_start || !limit.is_cold());
            let rate = limit.paced_rate().filter(|_| is_sharing);
            let share = rate.map(|(rate, pacing)| {
                let share =
                    IntakeShare::of(rate, pacing, &upstream.record.id, own_id, &self.live_peers);
                if limit.is_cold() && !is_settled { share.least(pacing) } else { share }
            });
            limit.set_share(now, share);
        }
    }

    /// Whether this entry has lately been in contact with the store or with most entries. Without
    /// that the others may divide its share among themselves. An entry that is not listed is in
    /// contact only if others answer it.
    pub(in crate::direct) fn is_in_contact(&self, now: Moment) -> bool {
        let is_listed = self.is_listing_known(now);
        let is_heard = self.entry_counter.has_majority(now, CONTACT_TIMEOUT, &self.peers);
        let is_fresh = self.store_contact.is_fresh(now, CONTACT_TIMEOUT);
        (is_listed && is_fresh) || (is_heard && (is_listed || !self.peers.is_empty()))
    }

    /// Whether the list of entries names this one, or did so lately.
    pub(in crate::direct) fn is_listing_known(&self, now: Moment) -> bool {
        self.own_listing.is_known_within(now, CONTACT_TIMEOUT)
    }

    fn apply_intake_answer(
        &mut self,
        now: Moment,
        number: RequestNumber,
        rate: Option<RequestRate>,
    ) {
        let Some(state) = self.requests.get(&number) else { return };
        let RequestStage::Sent(start) = &state.stage else { return };
        let Some(upstream) = self.upstreams.incarnation_mut(start) else { return };
        let before = upstream.conditions.intake_limit.rate();
        if !upstream.conditions.intake_limit.apply_answer(now, state.sent_at, rate) {
            return;
        }
        let answered_after = now.since(state.sent_at);
        let source =
            format!("source=answer request={} answered_after={answered_after}", state.attempt_id);
        log_change(start, rate, before, &source);
        self.intake_reports.record_change();
        self.update_shares(now);
    }
}

fn log_change(
    start: &UpstreamStart,
    rate: Option<RequestRate>,
    before: Option<RequestRate>,
    source: &str,
) {
    info!(
        "intake instance={} start={} limit={} before={} {source}",
        start.id,
        start.start,
        format_rate(rate),
        format_rate(before),
    );
}

fn format_rate(rate: Option<RequestRate>) -> String {
    rate.map_or("none".into(), |rate| rate.to_string())
}
