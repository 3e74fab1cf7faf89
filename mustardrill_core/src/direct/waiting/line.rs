//! Who waits for an upstream, until when, and who is refused at once.
//!
//! Load pattern: more requests than slots. A request that can't be started before its wait ends is
//! refused when that is known, and those that can be in time go first.

use mustardrill_types::{Millis, Moment, ResultCode, ServiceName};
use rand::Rng;

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::placing::forecast::EngineForecast;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::waiting::queue::WaitRank;

/// When a caller may come back where no upstream is listed.
pub(in crate::direct) const NO_UPSTREAM_RETRY: Millis = Millis(500);

/// The least after which a caller may come back to a full fleet.
pub(in crate::direct) const FULL_RETRY: Millis = Millis(150);

/// The most after which a caller may come back to a full fleet; callers wait no longer than a
/// third of the time that they have left.
const LONGEST_RETRY: Millis = Millis(1_800);

/// How long a request that was sent once waits for another upstream.
const REPEAT_WAIT: Millis = Millis(1_000);

/// What must be left of a caller's time when its request is sent: less is not worth a run.
const LEAST_LEFT: Millis = Millis(100);

/// Requests for each slot that wait for a plain service, whose times nobody tells.
const PLAIN_QUEUE: usize = 2;

impl DirectReducer {
    /// Lets a request wait, or refuses it where that would be in vain.
    pub(in crate::direct) fn wait(
        &mut self,
        now: Moment,
        number: RequestNumber,
        rank: WaitRank,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let until = self.wait_end(now, state);
        let ahead = self.queues.get(&state.service).map_or(0, |queue| queue.ahead(&rank));
        if !self.is_possible(now, state) {
            return self.refuse(now, number, ResultCode::NoUpstream, NO_UPSTREAM_RETRY);
        }
        let expected = self.expected_wait(state, ahead);
        if now + expected > until {
            let retry_after = self.spread(expected);
            return self.refuse(now, number, ResultCode::Overloaded, retry_after);
        }
        let service = state.service.clone();
        self.queues.entry(service).or_default().push(rank, until);
        if let Some(state) = self.requests.get_mut(&number) {
            state.stage = RequestStage::Waiting(rank);
        }
        Vec::new()
    }

    /// Until when a request waits for an upstream: first to be in time, then to be served at all.
    fn wait_end(&self, now: Moment, state: &RequestState) -> Moment {
        let longest = if state.tried.is_empty() { self.settings.late_wait } else { REPEAT_WAIT };
        let since = if state.tried.is_empty() { state.arrived } else { now };
        (since + longest).min(state.deadline - LEAST_LEFT)
    }

    /// Until when a request counts as one that can be in time.
    pub(in crate::direct) fn in_time_until(&self, state: &RequestState) -> Moment {
        let share = state.objective_span().0 * u64::from(self.settings.wait_percent) / 100;
        state.arrived + Millis(share)
    }

    /// Whether an upstream is expected to take the request soon: one that may run it, or one whose
    /// engine loads weights or is about to. Waiting for anything else would most often be in vain.
    pub(in crate::direct) fn is_possible(&self, now: Moment, state: &RequestState) -> bool {
        let usable = self.upstreams.usable(now, &state.service);
        usable.iter().any(|upstream| self.fits(now, state, upstream))
            || self.upstreams.is_loading(now, &state.service)
    }

    /// How long a request waits behind `ahead` others, where the profile lets that be told.
    fn expected_wait(&self, state: &RequestState, ahead: usize) -> Millis {
        let Some(profile) = self.profile(&state.service) else {
            let places = self.upstreams.total_slots(&state.service) as usize * PLAIN_QUEUE;
            return if ahead >= places { Millis(u64::MAX / 4) } else { Millis(0) };
        };
        let forecast = EngineForecast::new(profile);
        let whole = forecast.whole_ms(profile.slots, forecast.usual());
        // Others ask for the freed slots as well, so this entry gets its share of them.
        let entries = self.peers().len() + 1;
        let slots = self.upstreams.total_slots(&state.service).max(1);
        let turn = whole * entries as f64 / f64::from(slots);
        Millis((turn * (ahead + 1) as f64) as u64)
    }

    /// A time to come back after `expected`, spread so that callers don't return all at once.
    pub(in crate::direct) fn spread(&mut self, expected: Millis) -> Millis {
        let least = expected.0.clamp(FULL_RETRY.0, LONGEST_RETRY.0 / 2);
        Millis(least + self.random.random_range(0..=least))
    }

    /// Sends waiting requests while upstreams have room.
    pub(in crate::direct) fn pump(
        &mut self,
        now: Moment,
        service: &ServiceName,
    ) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        self.demote_late(now, service);
        while let Some(rank) = self.queues.get(service).and_then(|queue| queue.first()) {
            let Some(state) = self.requests.get(&rank.number) else { break };
            let Some(upstream) = self.choose(now, state) else { break };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.remove(&rank);
            }
            effects.extend(self.send(now, rank.number, upstream));
        }
        if self.queues.get(service).is_some_and(|queue| !queue.is_empty()) {
            let open = self.next_place(now, service);
            self.place_at = self.place_at.into_iter().chain(open).min();
        }
        effects
    }

    /// Puts those that can't be in time any more behind those that can: served first come first
    /// served, a queue that is a little too long makes every request late.
    fn demote_late(&mut self, now: Moment, service: &ServiceName) {
        while let Some(rank) = self.queues.get(service).and_then(|queue| queue.first()) {
            let Some(state) = self.requests.get(&rank.number) else { break };
            if rank.late || now < self.in_time_until(state) {
                break;
            }
            let later = WaitRank { late: true, ..rank };
            let Some(queue) = self.queues.get_mut(service) else { break };
            queue.replace(&rank, later);
            if let Some(state) = self.requests.get_mut(&rank.number) {
                state.stage = RequestStage::Waiting(later);
            }
        }
    }

    /// Gives up a request that found no upstream with room in time.
    pub(in crate::direct) fn waited_in_vain(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        if let Some(state) = self.requests.get_mut(&number) {
            state.stage = RequestStage::Between;
        }
        let retry_after = self.spread(FULL_RETRY);
        self.refuse(now, number, ResultCode::Overloaded, retry_after)
    }
}
