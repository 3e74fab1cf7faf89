//! Requests that wait in the entry because all upstreams that can serve them are full.
//!
//! They return one at a time, in the order of their arrival: an upstream that was full is so again
//! if all that waited for it comes at once. The agent's queue orders the classes.

use std::collections::BTreeSet;

use log::info;
use mustardrill_types::{FastMap, InstanceId, Millis, Moment, ResultCode, ServiceName};

use crate::entry::event::{EntryEffect, RequestId};
use crate::entry::reducer::EntryReducer;
use crate::entry::request::RequestStage;
use crate::routing::RoutingReason;

/// Requests for a service that may wait in one entry, for each slot of its upstreams.
const WAITING_PER_SLOT: usize = 8;

/// The requests that wait in the entry, by service, class and arrival.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    lines: FastMap<ServiceName, BTreeSet<WaitingPlace>>,
}

/// The place of a waiting request: the rank of its class, and its number.
type WaitingPlace = (usize, RequestId);

/// What becomes of a request's next attempt.
#[derive(Debug)]
pub(crate) enum UpstreamChoice {
    /// It is sent to this upstream.
    Send(ChosenUpstream),
    /// All upstreams that could run it are full.
    Full,
    /// No upstream can run it.
    Nobody,
}

/// The upstream of an attempt, and how it was chosen.
#[derive(Debug)]
pub(crate) struct ChosenUpstream {
    pub(crate) instance: InstanceId,
    pub(crate) reason: RoutingReason,
    /// The number of upstreams that could run it, full ones included.
    pub(crate) candidates: usize,
}

impl WaitingRequests {
    /// Adds a request, where fewer than `bound` wait for the service or one of a lower class does:
    /// the newest of the lowest class, which is returned, has to make way. `Err` if it has no place.
    fn join(
        &mut self,
        service: &ServiceName,
        place: WaitingPlace,
        bound: usize,
    ) -> Result<Option<RequestId>, ()> {
        let line = self.lines.entry(service.clone()).or_default();
        if line.contains(&place) || line.len() < bound {
            line.insert(place);
            return Ok(None);
        }
        let last = line.last().copied().filter(|last| last.0 > place.0).ok_or(())?;
        line.insert(place);
        Ok(Some(last.1))
    }

    /// Removes a request, if it waits.
    fn remove(&mut self, service: &ServiceName, place: WaitingPlace) {
        if let Some(line) = self.lines.get_mut(service) {
            line.remove(&place);
            if line.is_empty() {
                self.lines.remove(service);
            }
        }
    }

    /// The requests of one class, in the order of their arrival.
    fn line(&self, service: &ServiceName, rank: usize) -> Vec<RequestId> {
        let line = self.lines.get(service).into_iter().flatten();
        line.filter(|place| place.0 == rank).map(|place| place.1).collect()
    }

    /// The number of requests before a place that wait for the service.
    fn ahead(&self, service: &ServiceName, place: WaitingPlace) -> usize {
        self.lines.get(service).map_or(0, |line| line.range(..place).count())
    }

    fn has_line(&self, service: &ServiceName, rank: usize) -> bool {
        let first = (rank, RequestId(0))..=(rank, RequestId(u64::MAX));
        self.lines.get(service).is_some_and(|line| line.range(first).next().is_some())
    }

    /// The services and classes that requests wait for.
    fn lines(&self) -> Vec<(ServiceName, usize)> {
        let mut lines: Vec<_> = self
            .lines
            .iter()
            .flat_map(|(service, line)| line.iter().map(|place| (service.clone(), place.0)))
            .collect();
        lines.sort_unstable();
        lines.dedup();
        lines
    }
}

impl EntryReducer {
    /// Sends the next attempt of a request, unless others wait before it or no upstream has room:
    /// then it waits.
    pub(super) fn send_or_wait(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        let Some((service, place)) = self.waiting_place(id) else {
            return self.reject_unserved(now, id);
        };
        if !self.waiting.has_line(&service, place.0)
            && let Some(effects) = self.try_send(now, id)
        {
            return effects;
        }
        let mut effects = self.wait(now, id, &service, place);
        effects.extend(self.release_first(now, &service, place.0));
        effects
    }

    /// Sends one request of each class that waits for a service, where an upstream has room.
    pub(super) fn release_waiting(&mut self, now: Moment) -> Vec<EntryEffect> {
        let lines = self.waiting.lines();
        lines
            .into_iter()
            .flat_map(|(service, rank)| self.release_first(now, &service, rank))
            .collect()
    }

    /// Sends the first request of a line that can be sent.
    fn release_first(
        &mut self,
        now: Moment,
        service: &ServiceName,
        rank: usize,
    ) -> Vec<EntryEffect> {
        // Whatever waits for the same target finds no room either.
        let mut full_target = None;
        for id in self.waiting.line(service, rank) {
            let Some(state) = self.requests.get(id) else { continue };
            let (target, is_resumed) = (state.target.clone(), state.delivered > 0);
            let is_due = state.deadline > now
                && self.can_pay(id)
                && !self.quarantine.is_verdict_pending(now, state.digest, &state.parts);
            if !is_due || full_target.as_ref() == Some(&target) {
                continue;
            }
            if let Some(effects) = self.try_send(now, id) {
                return effects;
            }
            if !is_resumed {
                full_target = Some(target);
            }
        }
        Vec::new()
    }

    /// Sends the next attempt of a request, or rejects it where that is certain by now. `None` if it
    /// has to wait.
    fn try_send(&mut self, now: Moment, id: RequestId) -> Option<Vec<EntryEffect>> {
        let state = self.requests.get(id)?;
        let is_waiting = matches!(state.stage, RequestStage::AwaitingRoom(_));
        match self.choose_upstream(now, id) {
            UpstreamChoice::Send(chosen) => {
                if let Some(effects) =
                    is_waiting.then(|| self.reject_quarantined(now, id)).flatten()
                {
                    return Some(effects);
                }
                self.pay(id).then(|| self.send_to(now, id, chosen))
            }
            UpstreamChoice::Full => None,
            UpstreamChoice::Nobody => Some(self.reject_unserved(now, id)),
        }
    }

    /// Lets a request wait for room, or rejects it where it would not be sent before its deadline or
    /// too many wait.
    fn wait(
        &mut self,
        now: Moment,
        id: RequestId,
        service: &ServiceName,
        place: WaitingPlace,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get(id) else { return Vec::new() };
        let candidates = self.candidates(now, state);
        let usable: Vec<_> = self.routing.usable(now, &candidates).into_iter().cloned().collect();
        if usable.is_empty() {
            return self.reject_unserved(now, id);
        }
        let ahead = self.waiting.ahead(service, place);
        let wait = self.routing.predicted_wait(now, &usable, state.class, ahead);
        // The agent refuses what its deadline leaves no time to run.
        if now + wait >= state.deadline {
            return self.reject(now, id, ResultCode::Overloaded, wait);
        }
        let bound = WAITING_PER_SLOT * self.routing.capacity(&usable);
        let Ok(displaced) = self.waiting.join(service, place, bound) else {
            return self.reject(now, id, ResultCode::Overloaded, wait);
        };
        info!("request={id} decision=wait reason=full predicted={wait} ahead={ahead}");
        if let Some(state) = self.requests.get_mut(id) {
            state.stage = RequestStage::AwaitingRoom(service.clone());
        }
        displaced.map_or_else(Vec::new, |last| self.reject(now, last, ResultCode::Overloaded, wait))
    }

    /// Records that an upstream refused a request as full. Until the wait that it named is over, no
    /// request of this class goes there.
    pub(super) fn record_full(
        &mut self,
        now: Moment,
        id: RequestId,
        instance: &InstanceId,
        wait: Millis,
    ) {
        // Any rank does: each entry draws one, so that they return at different times.
        let rank = rand::Rng::random_range(&mut self.random, 0..self.roster.entries());
        let Some(state) = self.requests.get_mut(id) else { return };
        state.refused_as_full += 1;
        state.is_turned_away = true;
        if self.routing.record_full(now, instance, state.class, wait, rank) {
            let class = state.class;
            info!("rest instance={instance} class={class} for={wait} source=refusal request={id}");
        }
    }

    /// Takes a request out of its line; returns whether it waited in one.
    pub(super) fn leave_line(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(id) else { return false };
        let RequestStage::AwaitingRoom(service) = &state.stage else { return false };
        self.waiting.remove(service, (state.class.rank(), id));
        true
    }

    /// Whether the retry budget allows the next attempt of a request.
    fn can_pay(&self, id: RequestId) -> bool {
        let state = self.requests.get(id);
        state.is_some_and(|it| !it.owes_retry() || self.budget.can_spend(it.counted_attempts()))
    }

    /// Charges the retry budget for the next attempt of a request, if that is due; returns whether
    /// it is allowed.
    fn pay(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(id) else { return false };
        !state.owes_retry() || self.budget.spend(state.counted_attempts())
    }

    /// The service that a request is for, and its place among those that wait for it.
    fn waiting_place(&self, id: RequestId) -> Option<(ServiceName, WaitingPlace)> {
        let state = self.requests.get(id)?;
        let entry = self.document.entries.get(&state.target)?;
        Some((entry.service.clone(), (state.class.rank(), id)))
    }
}
