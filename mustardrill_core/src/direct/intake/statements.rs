//! Records what answers state of the request rate that their upstream accepts.

use log::info;
use mustardrill_types::{Moment, RequestRate};

use crate::direct::event::RequestNumber;
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::intake::limit::{IntakeStatement, SENT_SPAN};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestStage;

impl DirectReducer {
    /// Records the statement of an answer that carries one.
    pub(in crate::direct) fn record_intake_statement(
        &mut self,
        now: Moment,
        number: RequestNumber,
        statement: &IntakeStatement,
    ) {
        let Some(state) = self.requests.get_mut(&number) else { return };
        state.has_stated_intake = true;
        // A malformed statement neither sets a limit nor ends one.
        if statement.limit.is_some() {
            self.apply_intake_limit(now, number, statement.limit);
        }
    }

    /// Records that an answer has started without stating a limit, unless it did so before.
    pub(in crate::direct) fn record_missing_intake_statement(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) {
        if self.requests.get(&number).is_some_and(|state| !state.has_stated_intake) {
            self.apply_intake_limit(now, number, None);
        }
    }

    /// Records and logs that a request is sent to an upstream that limits its rate.
    pub(in crate::direct) fn record_limited_send(
        &mut self,
        now: Moment,
        attempt: &str,
        start: &UpstreamStart,
    ) {
        let Some(upstream) = self.upstreams.incarnation_mut(start) else { return };
        let Some(rate) = upstream.intake_limit.rate() else { return };
        let sent = upstream.intake_limit.record_sent(now);
        info!(
            "request={attempt} instance={} limit={rate} limit_age={} sent={sent} span={SENT_SPAN}",
            start.id,
            upstream.intake_limit.age(now),
        );
    }

    fn apply_intake_limit(
        &mut self,
        now: Moment,
        number: RequestNumber,
        rate: Option<RequestRate>,
    ) {
        let Some(state) = self.requests.get(&number) else { return };
        let RequestStage::Sent(start) = &state.stage else { return };
        let Some(upstream) = self.upstreams.incarnation_mut(start) else { return };
        let before = upstream.intake_limit.rate();
        if upstream.intake_limit.apply_answer(now, state.sent_at, rate) {
            info!(
                "intake instance={} start={} limit={} before={} source=answer request={} \
                 answered_after={}",
                start.id,
                start.start,
                format_rate(rate),
                format_rate(before),
                state.attempt_id,
                now.since(state.sent_at),
            );
        }
    }
}

fn format_rate(rate: Option<RequestRate>) -> String {
    rate.map_or("none".into(), |rate| rate.to_string())
}
