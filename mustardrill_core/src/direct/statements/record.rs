//! Applies what answers state of their upstreams.

use log::info;
use mustardrill_types::{InstanceId, Millis, Moment, ServiceName};

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestStage;
use crate::direct::statements::rest::return_delay;
use crate::direct::statements::statement::UpstreamStatement;
use crate::rendezvous;

impl DirectReducer {
    /// Applies the statement in the answer to a request's current attempt.
    pub(in crate::direct) fn record_statement(
        &mut self,
        now: Moment,
        number: RequestNumber,
        statement: &UpstreamStatement,
    ) -> Vec<DirectEffect> {
        if !statement.limit.is_absent() {
            self.record_intake_statement(now, number, &statement.limit);
        }
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let RequestStage::Sent(upstream) = state.stage.clone() else { return Vec::new() };
        let attempt_id = state.attempt_id.clone();
        if let Some(cold_for) = statement.cold_for.value {
            self.record_cold_statement(now, &upstream, state.sent_at, cold_for);
        }
        let mut is_news = statement.leaving.value == Some(true)
            && self.record_leaving(now, &upstream, &attempt_id);
        if let Some(rest) = statement.rest.value {
            is_news |= self.record_rest(now, &upstream, rest, &attempt_id);
        }
        if is_news { self.turn_away_from(now, &upstream) } else { Vec::new() }
    }

    /// Records that an upstream is leaving; returns whether that is news.
    fn record_leaving(&mut self, now: Moment, upstream: &UpstreamStart, attempt_id: &str) -> bool {
        let Some(conditions) = self.upstreams.conditions_mut(upstream) else { return false };
        let is_news = conditions.record_leaving(now);
        if is_news {
            info!(
                "membership instance={} start={} leaving=true source=answer request={attempt_id}",
                upstream.id, upstream.start
            );
        }
        is_news
    }

    /// Records that an upstream wants no requests for a while; returns whether a rest begins.
    fn record_rest(
        &mut self,
        now: Moment,
        upstream: &UpstreamStart,
        rest: Millis,
        attempt_id: &str,
    ) -> bool {
        let slots = self.upstreams.get(&upstream.id).map_or(1, |state| state.record.slots);
        let subject = upstream.id.as_str().as_bytes();
        let peers = self.live_peers.iter().map(InstanceId::as_str);
        let rank = rendezvous::rank(subject, self.settings.own_id.as_str(), peers);
        let return_delay = return_delay(rank, slots);
        let Some(conditions) = self.upstreams.conditions_mut(upstream) else { return false };
        let begins = conditions.rest.record(now, rest, return_delay);
        if begins {
            info!(
                "rest instance={} start={} for={rest} return_delay={return_delay} source=answer \
                 request={attempt_id}",
                upstream.id, upstream.start
            );
        }
        begins
    }

    /// Records and logs that a request is sent to an upstream, if it is the first one after a rest.
    pub(in crate::direct) fn record_return(&mut self, attempt_id: &str, upstream: &UpstreamStart) {
        let conditions = self.upstreams.conditions_mut(upstream);
        if conditions.is_some_and(|conditions| conditions.rest.record_sent()) {
            info!(
                "rest instance={} start={} outcome=over request={attempt_id}",
                upstream.id, upstream.start
            );
        }
    }

    /// Takes back the attempts at an upstream of which nothing has been written yet, and refuses
    /// the waiting requests that no other upstream can serve.
    fn turn_away_from(&mut self, now: Moment, upstream: &UpstreamStart) -> Vec<DirectEffect> {
        let unanswered = self.requests.values().filter(|state| {
            !state.has_started
                && matches!(&state.stage, RequestStage::Sent(target) if target == upstream)
        });
        let mut effects: Vec<_> =
            unanswered.map(|state| DirectEffect::WithdrawUnsent(state.number)).collect();
        let service = self.upstreams.get(&upstream.id).map(|state| state.record.service.clone());
        effects
            .extend(service.into_iter().flat_map(|service| self.refuse_unservable(now, &service)));
        effects
    }

    /// Refuses the waiting requests of a service that would wait in vain.
    pub(in crate::direct) fn refuse_unservable(
        &mut self,
        now: Moment,
        service: &ServiceName,
    ) -> Vec<DirectEffect> {
        let queue = self.queues.get(service);
        let waiting: Vec<_> = queue.map_or(Vec::new(), |queue| queue.iter().collect());
        let (mut effects, mut ahead) = (Vec::new(), 0);
        for (rank, until) in waiting {
            let Some(state) = self.requests.get(&rank.number) else { continue };
            if !self.may_be_served_soon(now, state) {
                effects.extend(self.refuse_unplaceable(now, rank.number));
                continue;
            }
            let expected = self.expected_wait(now, state, ahead);
            if now + expected > until {
                effects.extend(self.refuse_full(now, rank.number, expected));
            } else {
                ahead += 1;
            }
        }
        effects
    }
}
