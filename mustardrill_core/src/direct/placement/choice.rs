//! Chooses the upstream for a request, and decides when this entry may use an upstream's free
//! capacity.

use mustardrill_types::{InstanceId, Millis, Moment, ServiceName, WeightVersion};

use crate::direct::event::{PeerLoad, UpstreamLoad};
use crate::direct::fleet::upstream::UpstreamState;
use crate::direct::placement::capacity::{self, CandidateLoad, CapacityTurn};
use crate::direct::placement::forecast::EngineForecast;
use crate::direct::placement::load_slot;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestState;
use crate::direct::route::EngineProfile;
use crate::direct::versions::superseded::SUPERSEDED_START_MARGIN;
use crate::direct::waiting::queue::WaitQueue;
use crate::rendezvous;

/// An attempt is expected to start after this many times its forecast: engines may be slower than
/// their profile, and what other entries have just sent is not known yet.
const START_FORECAST_FACTOR: u64 = 2;

impl DirectReducer {
    /// The upstream for a request; `None` where none has capacity, or where the waiting requests of
    /// peer entries go first.
    pub(in crate::direct) fn choose_upstream(
        &self,
        now: Moment,
        state: &RequestState,
    ) -> Option<InstanceId> {
        self.choose_among(now, state, |_| true)
    }

    /// The upstream for a request among those that `is_candidate` admits.
    pub(in crate::direct) fn choose_among(
        &self,
        now: Moment,
        state: &RequestState,
        is_candidate: impl Fn(&UpstreamState) -> bool,
    ) -> Option<InstanceId> {
        let usable = self.usable_upstreams(now, state);
        let fitting = usable.into_iter().filter(|upstream| {
            is_candidate(upstream)
                && upstream
                    .conditions
                    .intake_limit
                    .opens_at()
                    .is_some_and(|opens_at| opens_at <= now)
                && self.serves_allowed_version(now, state, upstream)
        });
        let (tried, fresh): (Vec<_>, Vec<_>) =
            fitting.partition(|upstream| state.tried_upstreams.contains(&upstream.record.id));
        let candidates = if fresh.is_empty() { tried } else { fresh };
        let is_any_heard = candidates.iter().any(|upstream| !upstream.is_silent());
        // The rest of a stream of which the caller has a part does not wait again.
        let late = now >= self.in_time_until(state) && !state.has_delivered;
        let room_rule = self.room_rule(now, state, late);
        let mut best: Option<(bool, f64, &InstanceId)> = None;
        for upstream in candidates {
            if is_any_heard && !self.may_try(now, state, upstream) {
                continue;
            }
            let id = &upstream.record.id;
            let present = self.upstreams.total_load(id);
            let slots = upstream.record.slots;
            let limit = room_rule.request_limit(slots);
            let room = self.free_capacity(now, present, limit, upstream);
            if room == 0 || now < self.capacity_opens_at(now, upstream, room) {
                continue;
            }
            if !load_slot::accepts_before_load(now, upstream.reload_at, || {
                self.service_time(state, present)
            }) {
                continue;
            }
            let cost = capacity::cost(&CandidateLoad {
                requests: present.requests,
                slots,
                pending_prefill: present.pending_prefill,
                is_remote: upstream.record.data_centre != self.settings.data_centre,
                pace: upstream.pace(now),
                usual_start: if upstream.pace.is_stated() {
                    self.usual_start(state, present)
                } else {
                    Millis(0)
                },
                failure_share: upstream.failure_rate,
                tie_breaker: rendezvous::uniform_hash(state.attempt_id.as_bytes(), id.as_str()),
            });
            // What a cold upstream may take is kept for requests that no warm one has room for.
            let is_cold = upstream.conditions.intake_limit.is_cold();
            if best.is_none_or(|(cold, least, _)| (is_cold, cost) < (cold, least)) {
                best = Some((is_cold, cost, id));
            }
        }
        best.map(|(.., id)| id.clone())
    }

    /// Whether a request may be sent to an upstream although another one is heard: not to a silent
    /// one, unless the request can be sent elsewhere as well and it is time to find out whether the
    /// upstream answers again.
    fn may_try(&self, now: Moment, state: &RequestState, upstream: &UpstreamState) -> bool {
        let trial_at = upstream.next_trial_at();
        trial_at.is_none_or(|trial_at| trial_at <= now && state.is_repeatable())
    }

    /// Records a peer entry's load, and notes which full upstreams have capacity again because of
    /// it.
    pub(in crate::direct) fn record_peer_load(&mut self, now: Moment, mut load: PeerLoad) {
        // The next snapshot brings the load of an upstream that is not known yet.
        load.update.rows.retain(|(id, _)| self.upstreams.get(id).is_some());
        let reported_ids: Vec<_> = load.update.rows.iter().map(|(id, _)| id.clone()).collect();
        let full_before: Vec<_> =
            reported_ids.into_iter().filter(|id| !self.has_capacity(now, id)).collect();
        let paces = std::mem::take(&mut load.update.paces);
        self.upstreams.record_peer_paces(now, paces);
        self.upstreams.peer_loads.apply_update(now, load);
        for id in full_before {
            if self.has_capacity(now, &id) {
                self.upstreams.record_free_capacity(now, &id);
            }
        }
    }

    /// Whether an upstream has capacity for another request that can meet its objective.
    fn has_capacity(&self, now: Moment, id: &InstanceId) -> bool {
        let Some(upstream) = self.upstreams.get(id) else { return false };
        let present = self.upstreams.total_load(id);
        let limit = capacity::request_limit(upstream.record.slots, self.settings.requests_ahead);
        self.free_capacity(now, present, limit, upstream) > 0
    }

    /// How many requests of usual size an upstream may be sent now, limited by its slots and by its
    /// pending prefill time.
    fn free_capacity(
        &self,
        now: Moment,
        present: UpstreamLoad,
        limit: u32,
        upstream: &UpstreamState,
    ) -> u32 {
        let free_slots =
            limit.saturating_sub(present.requests).min(upstream.conditions.rest.room());
        if upstream.cooldown_until > now || present.pending_prefill > self.settings.prefill_limit {
            return 0;
        }
        let Some(profile) = self.engine_profile(&upstream.record.service) else {
            return free_slots;
        };
        let usual_prefill = EngineForecast::new(profile).prefill_ms(profile.mean_prompt).max(1.0);
        let prefill_left = self.settings.prefill_limit.0.saturating_sub(present.pending_prefill.0);
        free_slots.min(((prefill_left as f64 / usual_prefill) as u32).saturating_add(1))
    }

    /// From when on this entry may use one of `free` free slots of an upstream.
    fn capacity_opens_at(&self, now: Moment, upstream: &UpstreamState, free: u32) -> Moment {
        // Most upstreams have had free slots for longer than turns last, so that the turn need not
        // be computed.
        let order_end = capacity::turn_order_end(upstream.capacity_freed_at);
        if order_end <= now {
            return order_end;
        }
        let service = &upstream.record.service;
        let upstream_id = upstream.record.id.as_str().as_bytes();
        let own_waiting = self.queues.get(service).map_or(0, WaitQueue::len) as u32;
        let own_score =
            rendezvous::weighted_score(upstream_id, self.settings.own_id.as_str(), own_waiting);
        let waiting_counts = self.upstreams.peer_loads.waiting_peers(service);
        let scores = waiting_counts
            .map(|(id, count)| rendezvous::weighted_score(upstream_id, id.as_str(), count));
        // Peers go first at an upstream that is still prefilling a prompt of this entry.
        let yields_turns = upstream.own_load.pending_prefill > Millis(0);
        let (mut peers_waiting, mut peers_before) = (0, 0);
        for score in scores {
            peers_waiting += 1;
            peers_before += u32::from(yields_turns || score > own_score);
        }
        let turn =
            CapacityTurn { peers_before, peers_waiting, taken: upstream.sent_since_freed, free };
        capacity::turn_at(upstream.capacity_freed_at, &turn)
    }

    /// When a waiting request may next be sent: when this entry's turn comes at an upstream that a
    /// peer's request has left, when the back-off of an upstream that was full or its rest ends, or
    /// when an upstream that limits its rate accepts the next one.
    pub(in crate::direct) fn next_capacity_at(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> Option<Moment> {
        let usable = self.upstreams.usable(now, service).into_iter();
        let opening_times =
            usable.chain(self.upstreams.resting(now, service)).filter_map(|upstream| {
                let opens_at = self
                    .capacity_opens_at(now, upstream, 1)
                    .max(upstream.cooldown_until)
                    .max(upstream.next_trial_at().unwrap_or_default());
                Some(opens_at.max(upstream.conditions.opens_at()?))
            });
        opening_times.filter(|opens_at| *opens_at > now).min()
    }

    /// Whether an upstream serves weights that the request may run on, and nothing leaves their load
    /// in doubt.
    pub(in crate::direct) fn serves_allowed_version(
        &self,
        now: Moment,
        state: &RequestState,
        upstream: &UpstreamState,
    ) -> bool {
        let Some(model) = &state.model else { return true };
        if self.engine_profile(&state.service).is_none() {
            return true;
        }
        let Some(version) = upstream.served_version(model) else { return false };
        if state.pinned_version.is_some_and(|pinned| version != pinned) {
            return false;
        }
        let load = self.upstreams.load_record(upstream, model);
        if load.is_some_and(|load| !load.allows(version)) {
            return false;
        }
        if self.versions.newest(model).is_none_or(|newest| version >= newest) {
            return true;
        }
        let floor = self.oldest_allowed_version(now, state, upstream);
        floor.is_none_or(|floor| version >= floor)
    }

    /// The oldest version on which the request may start at an upstream, at the time when it is
    /// expected to start there.
    ///
    /// When a newer version is late, engines with the older one are given no more requests some
    /// time before its allowed time ends. How long before depends on what is already queued inside
    /// them.
    pub(in crate::direct) fn oldest_allowed_version(
        &self,
        now: Moment,
        state: &RequestState,
        upstream: &UpstreamState,
    ) -> Option<WeightVersion> {
        let model = state.model.as_ref()?;
        let starts_at = now + SUPERSEDED_START_MARGIN + self.start_forecast(state, upstream);
        self.versions.floor(starts_at, model, self.settings.version_bound)
    }

    /// A cautious estimate of the time to first token of a request sent to the upstream now.
    pub(in crate::direct) fn start_forecast(
        &self,
        state: &RequestState,
        upstream: &UpstreamState,
    ) -> Millis {
        let present = self.upstreams.total_load(&upstream.record.id);
        Millis(START_FORECAST_FACTOR * self.usual_start(state, present).0)
    }

    /// The time to first token of a request sent now to an engine of usual pace that has the load
    /// `present`; zero where no profile allows a forecast.
    fn usual_start(&self, state: &RequestState, present: UpstreamLoad) -> Millis {
        let Some(profile) = self.engine_profile(&state.service) else { return Millis(0) };
        let forecast =
            EngineForecast::new(profile).time_to_first_token(present.requests, state.size);
        forecast + present.pending_prefill
    }

    /// When the request should start at an upstream that states its pace, counted from its sending;
    /// zero where nothing is stated or no profile allows a forecast.
    pub(in crate::direct) fn paced_start(
        &self,
        now: Moment,
        state: &RequestState,
        upstream: &UpstreamState,
    ) -> Millis {
        if !upstream.pace.is_stated() {
            return Millis(0);
        }
        let present = self.upstreams.total_load(&upstream.record.id);
        let usual = self.usual_start(state, present).0 as f64;
        Millis((usual * upstream.pace(now)).ceil() as u64)
    }

    /// How long the request occupies an engine that has the load `present`.
    fn service_time(&self, state: &RequestState, present: UpstreamLoad) -> Millis {
        let Some(profile) = self.engine_profile(&state.service) else { return Millis(0) };
        let running = present.requests.min(profile.slots);
        let service_ms = EngineForecast::new(profile).service_ms(running, state.size);
        Millis(service_ms as u64) + present.pending_prefill
    }

    /// How long an engine takes to prefill the request's prompt.
    pub(in crate::direct) fn prefill_time(&self, state: &RequestState) -> Millis {
        let profile = self.engine_profile(&state.service);
        let prefill_ms =
            |profile| EngineForecast::new(profile).prefill_ms(state.size.prompt_tokens);
        Millis(profile.map_or(0.0, prefill_ms) as u64)
    }

    pub(in crate::direct) fn engine_profile(
        &self,
        service: &ServiceName,
    ) -> Option<&EngineProfile> {
        self.document.as_ref()?.service(service)?.engine.as_ref()
    }
}
