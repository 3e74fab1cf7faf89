//! The decisions of an entry on admission, from what its reducer knows.

use log::info;
use mustardrill_types::{Millis, Moment, ServiceName};

use crate::direct::admission::room_rule::RoomRule;
use crate::direct::admission::start_forecast::{StartForecast, share_by_need};
use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::placement::forecast::EngineForecast;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::waiting::queue::WaitRank;
use crate::direct::waiting::wait_policy::MIN_FULL_RETRY;

/// A wait of this fraction of the objective shows a lack of room; shorter ones are usual where
/// entries take turns.
const LACK_FRACTION: u64 = 8;

/// How long the first token is expected to take, in percent of its forecast: what other entries have
/// just sent to the engine is not known yet.
const FIRST_TOKEN_PERCENT: u64 = 125;

impl DirectReducer {
    /// Whether the kinds of requests of a service differ in urgency.
    pub(in crate::direct) fn ranks_by_urgency(&self, service: &ServiceName) -> bool {
        self.document.as_ref().is_some_and(|it| it.has_unlike_priorities(service))
    }

    /// The last moment at which a request can start so that an engine with taken slots is expected
    /// to meet its objective.
    pub(in crate::direct) fn useful_until(&self, state: &RequestState) -> Moment {
        let Some(profile) = self.engine_profile(&state.service) else {
            return state.objective_until;
        };
        let ahead = self.settings.requests_ahead.saturating_sub(1);
        let present = profile.slots.saturating_add(ahead);
        let to_first = EngineForecast::new(profile).time_to_first_token(present, state.size);
        let to_first = to_first.percent(FIRST_TOKEN_PERCENT);
        (state.objective_until - to_first).max(state.arrived_at)
    }

    /// Which slots a request may take.
    pub(in crate::direct) fn room_rule(
        &self,
        now: Moment,
        state: &RequestState,
        late: bool,
    ) -> RoomRule {
        if late {
            return RoomRule::Late { percent: self.settings.late_slots_percent };
        }
        // The rest of a stream of which the caller has a part does not stand back.
        let demand = self.demands.get(&state.service).filter(|_| !state.has_delivered);
        match demand.map_or(0, |it| it.lacking_above(now, state.urgency)) {
            0 => RoomRule::InTime { ahead: self.settings.requests_ahead },
            kinds => RoomRule::Reserved { kinds },
        }
    }

    /// Records that a request arrived for a service whose kinds differ in urgency.
    pub(in crate::direct) fn record_demand(&mut self, now: Moment, number: RequestNumber) {
        let Some(state) = self.requests.get(&number) else { return };
        if self.ranks_by_urgency(&state.service) {
            let (service, urgency) = (state.service.clone(), state.urgency);
            self.demands.entry(service).or_default().record_arrival(now, urgency);
        }
    }

    /// Records that a request is sent; its wait may show a lack of room.
    pub(in crate::direct) fn record_room(&mut self, now: Moment, number: RequestNumber) {
        let Some(state) = self.requests.get(&number) else { return };
        if !self.ranks_by_urgency(&state.service) {
            return;
        }
        let is_first = state.tried_upstreams.is_empty();
        let is_late = now >= self.in_time_until(state);
        let patience = Millis(state.objective_span().0 / LACK_FRACTION);
        let is_lacking = is_first && now.since(state.arrived_at) >= patience;
        let (service, urgency) = (state.service.clone(), state.urgency);
        self.admission_counts.sent_late += u64::from(is_first && is_late);
        let demand = self.demands.entry(service).or_default();
        demand.record_sent(now);
        if is_lacking {
            demand.record_lack(now, urgency);
        }
    }

    /// Records that a request is refused on arrival, with the forecast that decided.
    pub(in crate::direct) fn record_refused_arrival(
        &mut self,
        now: Moment,
        number: RequestNumber,
        rank: &WaitRank,
        expected: Millis,
    ) {
        let Some(state) = self.requests.get(&number) else { return };
        if !self.ranks_by_urgency(&state.service) {
            return;
        }
        let service = state.service.clone();
        let demand = self.demands.entry(service.clone()).or_default();
        let observed = demand.observed_rate(now).unwrap_or(-1.0);
        info!(
            "request={} decision=refuse-arrival urgency={} ahead={} rate={observed} urgent={} \
             expected={expected}",
            state.attempt_id,
            state.urgency,
            self.queues.get(&service).map_or(0, |queue| queue.ahead(rank)),
            demand.arrivals_above(now, rank.urgency),
        );
        demand.record_lack(now, rank.urgency);
        self.admission_counts.refused += 1;
    }

    /// The retry delay of a request whose wait ends: when the last one of its priority is expected
    /// to start.
    pub(in crate::direct) fn overdue_retry(&self, now: Moment, number: RequestNumber) -> Millis {
        let Some(state) = self.requests.get(&number) else { return MIN_FULL_RETRY };
        if !self.ranks_by_urgency(&state.service) {
            return MIN_FULL_RETRY;
        }
        let ahead = self.queues.get(&state.service).map_or(0, |queue| queue.len());
        self.expected_wait(now, state, ahead)
    }

    /// Records whether requests wait for a service.
    pub(in crate::direct) fn record_backlog(&mut self, now: Moment, service: &ServiceName) {
        let is_backlogged = self.queues.get(service).is_some_and(|queue| !queue.is_empty());
        if let Some(demand) = self.demands.get_mut(service) {
            demand.record_backlog(now, is_backlogged);
        }
    }

    /// The forecast for a request behind `ahead` others, where `profile_rate` requests per second
    /// find room at all upstreams by their profile.
    pub(in crate::direct) fn start_forecast_behind(
        &self,
        now: Moment,
        state: &RequestState,
        ahead: usize,
        profile_rate: f64,
    ) -> StartForecast {
        let service = &state.service;
        let own_waiting = self.queues.get(service).map_or(0, |queue| queue.len()) + 1;
        let peers_waiting = self.upstreams.peer_loads.waiting_peers(service);
        let peers_waiting = peers_waiting.map(|(_, count)| count).fold(0, u32::saturating_add);
        let by_profile = profile_rate * share_by_need(own_waiting, peers_waiting);
        let demand = self.demands.get(service);
        let observed = demand.and_then(|it| it.observed_rate(now));
        StartForecast {
            ahead,
            per_second: observed.unwrap_or(by_profile + self.limited_rate(now, state)),
            urgent_per_second: demand.map_or(0.0, |it| it.arrivals_above(now, state.urgency)),
        }
    }

    /// Refuses the waiting requests behind `rank` that can't start any more within their wait since
    /// that one goes before them.
    pub(in crate::direct) fn displace_behind(
        &mut self,
        now: Moment,
        service: &ServiceName,
        rank: &WaitRank,
    ) -> Vec<DirectEffect> {
        if !self.ranks_by_urgency(service) {
            return Vec::new();
        }
        let Some(queue) = self.queues.get(service) else { return Vec::new() };
        let behind: Vec<_> = queue.behind(Some(*rank)).collect();
        let (mut effects, mut ahead) = (Vec::new(), queue.ahead(rank) + 1);
        for (waiting_rank, until) in behind {
            let Some(state) = self.requests.get(&waiting_rank.number) else { continue };
            let expected = self.expected_wait(now, state, ahead);
            if now + expected > until {
                info!(
                    "request={} decision=displace urgency={} ahead={ahead} expected={expected} limit={}",
                    state.attempt_id,
                    state.urgency,
                    until.since(now)
                );
                self.admission_counts.displaced += 1;
                effects.extend(self.refuse_full(now, waiting_rank.number, expected));
            } else {
                ahead += 1;
            }
        }
        effects
    }

    /// Moves all requests that can't meet their objective any more behind those that can.
    pub(in crate::direct) fn demote_all_late(&mut self, now: Moment, service: &ServiceName) {
        let Some(queue) = self.queues.get(service) else { return };
        let in_time = queue.iter().map(|(rank, _)| rank).take_while(|rank| !rank.late);
        let states = in_time.filter_map(|rank| Some((rank, self.requests.get(&rank.number)?)));
        let overdue = states.filter(|(_, state)| now >= self.in_time_until(state));
        for rank in overdue.map(|(rank, _)| rank).collect::<Vec<_>>() {
            let late_rank = WaitRank { late: true, ..rank };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.replace(&rank, late_rank);
            }
            if let Some(state) = self.requests.get_mut(&rank.number) {
                state.stage = RequestStage::Waiting(late_rank);
            }
            if let Some(demand) = self.demands.get_mut(service) {
                demand.record_lack(now, rank.urgency);
            }
        }
    }
}
