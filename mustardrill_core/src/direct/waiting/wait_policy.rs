//! Which requests wait for an upstream, until when, and which are refused at once.
//!
//! Under overload, a request that can't start before its wait ends is refused as soon as that is
//! known, and requests that can meet their objective go first.

use mustardrill_types::{Millis, Moment, ResultCode, ServiceName};
use rand::Rng;

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::intake::share::IntakeShare;
use crate::direct::placement::forecast::EngineForecast;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::waiting::queue::WaitRank;

/// Retry delay where no upstream is listed.
pub(in crate::direct) const NO_UPSTREAM_RETRY: Millis = Millis(500);

/// The shortest retry delay where all upstreams are full.
pub(in crate::direct) const MIN_FULL_RETRY: Millis = Millis(150);

/// The longest retry delay where all upstreams are full; callers wait no longer than a third of the
/// time that they have left.
const MAX_FULL_RETRY: Millis = Millis(1_800);

/// The time after the end of a rest over which the callers that were refused meanwhile return.
const REST_RETRY_SPREAD: Millis = Millis(1_000);

/// How long a request that was sent before waits for another upstream.
const RETRY_WAIT: Millis = Millis(1_000);

/// The time that must be left before the caller's deadline when its request is sent; with less it
/// is not worth running.
const MIN_TIME_LEFT: Millis = Millis(100);

/// Requests per slot that may wait for a plain service, for which there is no profile to forecast
/// with.
const PLAIN_QUEUE_PER_SLOT: usize = 2;

/// The expected wait where no request can be placed.
pub(in crate::direct) const UNBOUNDED_WAIT: Millis = Millis(u64::MAX / 4);

impl DirectReducer {
    /// Queues a request, or refuses it where it would wait in vain.
    pub(in crate::direct) fn queue_request(
        &mut self,
        now: Moment,
        number: RequestNumber,
        rank: WaitRank,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let until = self.wait_deadline(now, state);
        let ahead = self.queues.get(&state.service).map_or(0, |queue| queue.ahead(&rank));
        if !self.may_be_served_soon(now, state) {
            return self.refuse_unplaceable(now, number);
        }
        let expected = self.expected_wait(now, state, ahead);
        if now + expected > until {
            self.record_refused_arrival(now, number, &rank, expected);
            return self.refuse_full(now, number, expected);
        }
        let service = state.service.clone();
        self.queues.entry(service.clone()).or_default().push(rank, until);
        if let Some(state) = self.requests.get_mut(&number) {
            state.stage = RequestStage::Waiting(rank);
        }
        self.record_backlog(now, &service);
        self.displace_behind(now, &service, &rank)
    }

    /// Until when a request waits for an upstream, whether or not it can still meet its objective.
    fn wait_deadline(&self, now: Moment, state: &RequestState) -> Moment {
        let wait_limit =
            if state.tried_upstreams.is_empty() { self.settings.wait_limit } else { RETRY_WAIT };
        let since = if state.tried_upstreams.is_empty() { state.arrived_at } else { now };
        (since + wait_limit).min(state.deadline - MIN_TIME_LEFT)
    }

    /// Until when a waiting request counts as able to meet its objective.
    pub(in crate::direct) fn in_time_until(&self, state: &RequestState) -> Moment {
        let share = state.objective_span().percent(u64::from(self.settings.in_time_percent));
        let by_share = state.arrived_at + share;
        if self.ranks_by_urgency(&state.service) {
            return by_share.max(self.useful_until(state));
        }
        by_share
    }

    /// Whether an upstream is expected to accept the request soon: one that may run it, now or after
    /// a rest, or one whose engine is loading weights or about to. Waiting for anything else would
    /// most often be in vain.
    pub(in crate::direct) fn may_be_served_soon(&self, now: Moment, state: &RequestState) -> bool {
        let usable = self.usable_upstreams(now, state).into_iter();
        usable
            .chain(self.resting_upstreams(now, state))
            .any(|upstream| self.serves_allowed_version(now, state, upstream))
            || self.is_loading_for(now, state)
    }

    /// The expected wait behind `ahead` other requests, where the engine profile, the limits or the
    /// rests of the upstreams allow a forecast.
    pub(in crate::direct) fn expected_wait(
        &self,
        now: Moment,
        state: &RequestState,
        ahead: usize,
    ) -> Millis {
        let resting = self.resting_upstreams(now, state);
        let mut rest_ends: Vec<_> = resting.map(|it| it.conditions.rest.opens_at()).collect();
        rest_ends.sort_unstable();
        // Each upstream is sent one request after its rest.
        let after_rest = rest_ends.get(ahead).map(|end| end.since(now));
        let at_others = self.expected_wait_now(now, state, ahead);
        after_rest.map_or(at_others, |wait| wait.min(at_others))
    }

    /// The expected wait at the upstreams that do not rest.
    fn expected_wait_now(&self, now: Moment, state: &RequestState, ahead: usize) -> Millis {
        let service = &state.service;
        let mut upstreams = self.awake_upstreams(now, state).peekable();
        if upstreams.peek().is_none() {
            return UNBOUNDED_WAIT;
        }
        if upstreams.all(|upstream| upstream.conditions.intake_limit.rate().is_some()) {
            return self.limited_wait(now, state, ahead);
        }
        let Some(profile) = self.engine_profile(service) else {
            let queue_limit = self.unlimited_slots(now, state) as usize * PLAIN_QUEUE_PER_SLOT;
            return if ahead >= queue_limit { UNBOUNDED_WAIT } else { Millis(0) };
        };
        let forecast = EngineForecast::new(profile);
        let service_ms = forecast.service_ms(profile.slots, forecast.usual_size());
        // Peer entries use the freed slots as well, so this entry gets its share of them.
        let entries = self.peers().len() + 1;
        let slots = f64::from(self.unlimited_slots(now, state));
        let profile_rate = slots * 1_000.0 / service_ms;
        if self.ranks_by_urgency(service) {
            return self.start_forecast_behind(now, state, ahead, profile_rate).expected_wait();
        }
        let by_slots = profile_rate / entries as f64;
        wait_at_rate(ahead + 1, by_slots + self.limited_rate(now, state))
    }

    /// The expected wait behind `ahead` other requests where all upstreams limit their rate.
    fn limited_wait(&self, now: Moment, state: &RequestState, ahead: usize) -> Millis {
        let per_second = self.limited_rate(now, state);
        match self.next_capacity_at(now, &state.service) {
            Some(opens_at) => {
                let wait = wait_at_rate(ahead, per_second);
                (wait + opens_at.since(now)).min(UNBOUNDED_WAIT)
            }
            None => wait_at_rate(ahead + 1, per_second),
        }
    }

    /// The requests per second that this entry may send to those upstreams of a service that limit
    /// their rate.
    pub(in crate::direct) fn limited_rate(&self, now: Moment, state: &RequestState) -> f64 {
        let shares = self.awake_upstreams(now, state);
        shares
            .filter_map(|it| it.conditions.intake_limit.share())
            .map(IntakeShare::per_second)
            .sum()
    }

    /// Refuses a request for which all upstreams are full for the time `expected`. If all of them
    /// rest, its caller may return once the first rest has ended.
    pub(in crate::direct) fn refuse_full(
        &mut self,
        now: Moment,
        number: RequestNumber,
        expected: Millis,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let is_any_awake = self.awake_upstreams(now, state).next().is_some();
        let resting = self.resting_upstreams(now, state);
        let rest_end = resting.map(|upstream| upstream.conditions.rest.opens_at()).min();
        let retry_after = match rest_end.filter(|_| !is_any_awake) {
            Some(end) => end.since(now) + Millis(self.random.random_range(0..=REST_RETRY_SPREAD.0)),
            None => self.jittered_retry(expected),
        };
        self.refuse(now, number, ResultCode::Overloaded, retry_after)
    }

    /// A retry delay derived from the expected wait, randomized so that callers do not all return
    /// at once.
    pub(in crate::direct) fn jittered_retry(&mut self, expected: Millis) -> Millis {
        let least = expected.0.clamp(MIN_FULL_RETRY.0, MAX_FULL_RETRY.0 / 2);
        Millis(least + self.random.random_range(0..=least))
    }

    /// Sends waiting requests for as long as upstreams have capacity.
    pub(in crate::direct) fn dispatch_waiting(
        &mut self,
        now: Moment,
        service: &ServiceName,
    ) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        self.demote_late(now, service);
        self.record_backlog(now, service);
        // The regions of the requests that are passed over: they are full for others as well.
        let (mut passed_over, mut full) = (None, Vec::new());
        while let Some(rank) = self.next_waiting(service, passed_over, &full) {
            let Some(state) = self.requests.get(&rank.number) else { break };
            let Some(upstream) = self.choose_upstream(now, state) else {
                if state.region_limits.is_bound() {
                    full.push(state.region_limits.clone());
                    passed_over = Some(rank);
                    continue;
                }
                break;
            };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.remove(&rank);
            }
            effects.extend(self.send_attempt(now, rank.number, upstream));
        }
        if self.queues.get(service).is_some_and(|queue| !queue.is_empty()) {
            let opens_at = self.next_capacity_at(now, service);
            self.capacity_at = self.capacity_at.into_iter().chain(opens_at).min();
        }
        effects
    }

    /// Moves requests that can't meet their objective any more behind those that can. Served in
    /// order of arrival alone, a queue that is slightly too long makes every request late.
    fn demote_late(&mut self, now: Moment, service: &ServiceName) {
        if self.ranks_by_urgency(service) {
            return self.demote_all_late(now, service);
        }
        while let Some(rank) = self.queues.get(service).and_then(|queue| queue.first()) {
            let Some(state) = self.requests.get(&rank.number) else { break };
            if rank.late || now < self.in_time_until(state) {
                break;
            }
            let late_rank = WaitRank { late: true, ..rank };
            let Some(queue) = self.queues.get_mut(service) else { break };
            queue.replace(&rank, late_rank);
            if let Some(state) = self.requests.get_mut(&rank.number) {
                state.stage = RequestStage::Waiting(late_rank);
            }
        }
    }

    /// Refuses a waiting request that no upstream is expected to accept.
    pub(in crate::direct) fn refuse_unplaceable(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        let state = self.requests.get(&number);
        let is_out_of_region = state.is_some_and(|state| self.is_out_of_region(state));
        let code =
            if is_out_of_region { ResultCode::OutsideRegions } else { ResultCode::NoUpstream };
        self.refuse(now, number, code, NO_UPSTREAM_RETRY)
    }

    /// Refuses a request that found no upstream with capacity before its wait ended.
    pub(in crate::direct) fn refuse_overdue(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        if let Some(state) = self.requests.get_mut(&number) {
            state.stage = RequestStage::Between;
        }
        let retry = self.overdue_retry(now, number);
        self.refuse_full(now, number, retry)
    }
}

/// The time in which `requests` can be placed at `per_second`.
fn wait_at_rate(requests: usize, per_second: f64) -> Millis {
    if requests == 0 {
        return Millis(0);
    }
    Millis((1_000.0 * requests as f64 / per_second) as u64).min(UNBOUNDED_WAIT)
}
