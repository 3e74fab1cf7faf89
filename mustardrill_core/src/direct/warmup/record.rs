//! Keeps which upstreams are cold, and what they take meanwhile.

use log::info;
use mustardrill_types::{Millis, Moment};

use crate::direct::fleet::upstream::{UpstreamStart, UpstreamState};
use crate::direct::intake::limit::ColdLimit;
use crate::direct::reducer::DirectReducer;
use crate::direct::warmup::limit::{WarmupLimit, WarmupRate};

impl DirectReducer {
    /// Records that an answer to a request sent at `sent_at` states for how long its upstream is
    /// still cold.
    pub(in crate::direct) fn record_cold_statement(
        &mut self,
        now: Moment,
        upstream: &UpstreamStart,
        sent_at: Moment,
        cold_for: Millis,
    ) {
        let Some(conditions) = self.upstreams.conditions_mut(upstream) else { return };
        let before = conditions.warmup.until();
        conditions.warmup.record_answer(now, sent_at, cold_for);
        if conditions.warmup.until() != before {
            self.update_shares(now);
        }
    }

    /// Sets what each upstream takes, by whether it is cold.
    pub(in crate::direct) fn update_warmups(&mut self, now: Moment) {
        let Some(document) = &self.document else { return };
        for upstream in self.upstreams.iter_mut() {
            let profile = document.service(&upstream.record.service);
            let limit = profile.and_then(|profile| profile.warmup);
            if let Some(limit) = &limit {
                record_presence(now, upstream, limit);
            }
            let cold_limit = limit.and_then(|limit| {
                let until = upstream.conditions.warmup.cold_until(now, limit.duration)?;
                let rate = WarmupRate::within(&limit, &self.settings.warmup_bound);
                Some(ColdLimit { rate, until })
            });
            if upstream.conditions.intake_limit.set_warmup(now, cold_limit) {
                log_change(upstream, cold_limit.as_ref());
            }
        }
    }
}

/// Notes whether an upstream is gone for the moment, or is back: it may have become cold meanwhile,
/// and its registration tells so later than its first answers.
///
/// Only a crash counts. An ejection or a lapsed registration is no sign that one may be cold: whole
/// fleets are unreachable or unregistered for a moment, and limiting all of them takes room from
/// callers.
fn record_presence(now: Moment, upstream: &mut UpstreamState, limit: &WarmupLimit) {
    if upstream.crashed_until > now {
        upstream.conditions.warmup.record_missed();
    } else {
        upstream.conditions.warmup.record_return(now, limit.duration);
    }
}

fn log_change(upstream: &UpstreamState, limit: Option<&ColdLimit>) {
    let UpstreamStart { id, start } = upstream.start();
    match limit {
        Some(ColdLimit { rate, until }) => info!(
            "warmup instance={id} start={start} outcome=cold until={until} rate={} senders={} \
             source={}",
            rate.rate,
            rate.pacing.senders,
            upstream.conditions.warmup.source(),
        ),
        None => info!("warmup instance={id} start={start} outcome=warm"),
    }
}
