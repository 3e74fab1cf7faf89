//! Which upstream a request is sent to, and when an entry may take a place there.

use mustardrill_types::{InstanceId, Millis, Moment, ServiceName, WeightVersion};

use crate::direct::event::{PeerLoad, UpstreamLoad};
use crate::direct::fleet::upstream::UpstreamState;
use crate::direct::placing::closing;
use crate::direct::placing::forecast::EngineForecast;
use crate::direct::placing::pressure::{self, ChoiceInputs, PlaceTurn};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestState;
use crate::direct::route::EngineProfile;
use crate::direct::versions::superseded::SUPERSEDED_START_MARGIN;
use crate::direct::waiting::queue::WaitQueue;
use crate::rendezvous;

/// A request is taken to begin after this many times its forecast: engines may be slower than their
/// profile, and what other entries just sent is not known yet.
const BEGIN_CAUTION: u64 = 2;

impl DirectReducer {
    /// The upstream for a request; nothing where none has room, or others' waiting requests go first.
    pub(in crate::direct) fn choose(
        &self,
        now: Moment,
        state: &RequestState,
    ) -> Option<InstanceId> {
        let usable = self.upstreams.usable(now, &state.service);
        let fitting = usable.into_iter().filter(|upstream| self.fits(now, state, upstream));
        let (tried, fresh): (Vec<_>, Vec<_>) =
            fitting.partition(|upstream| state.tried.contains(&upstream.record.id));
        let candidates = if fresh.is_empty() { tried } else { fresh };
        // The rest of a stream that the caller has a part of is not made to wait again.
        let late = now >= self.in_time_until(state) && !state.delivered;
        let mut best: Option<(f64, &InstanceId)> = None;
        for upstream in candidates {
            let id = &upstream.record.id;
            let present = self.upstreams.total_load(id);
            let slots = upstream.record.slots;
            let limit = if late {
                pressure::late_limit(slots, self.settings.late_percent)
            } else {
                pressure::limit(slots, self.settings.ahead)
            };
            let room = self.room(now, present, limit, upstream);
            if room == 0 || now < self.place_open(now, upstream, room) {
                continue;
            }
            if !closing::takes(now, upstream.reload_at, || self.whole_time(state, present)) {
                continue;
            }
            let cost = pressure::cost(&ChoiceInputs {
                present: present.requests,
                slots,
                reading: present.reading,
                far: upstream.record.data_centre != self.settings.data_centre,
                failing: upstream.failure_rate,
                lot: rendezvous::uniform_hash(state.attempt.as_bytes(), id.as_str()),
            });
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Takes another entry's word on its load, and notes where that makes room.
    pub(in crate::direct) fn load_heard(&mut self, now: Moment, load: PeerLoad) {
        let named: Vec<_> = load.news.rows.iter().map(|(id, _)| id.clone()).collect();
        let full: Vec<_> = named.into_iter().filter(|id| !self.has_room(now, id)).collect();
        self.upstreams.peer_loads.apply_update(now, load);
        for id in full {
            if self.has_room(now, &id) {
                self.upstreams.record_free_capacity(now, &id);
            }
        }
    }

    /// Whether an upstream may be sent another request that can be in time.
    fn has_room(&self, now: Moment, id: &InstanceId) -> bool {
        let Some(upstream) = self.upstreams.get(id) else { return false };
        let present = self.upstreams.total_load(id);
        let limit = pressure::limit(upstream.record.slots, self.settings.ahead);
        self.room(now, present, limit, upstream) > 0
    }

    /// How many requests of usual size an upstream may be sent now, by its slots and by what it has
    /// yet to read.
    fn room(
        &self,
        now: Moment,
        present: UpstreamLoad,
        limit: u32,
        upstream: &UpstreamState,
    ) -> u32 {
        let places = limit.saturating_sub(present.requests);
        if upstream.cooldown_until > now || present.reading > self.settings.reading_limit {
            return 0;
        }
        let Some(profile) = self.profile(&upstream.record.service) else { return places };
        let usual = EngineForecast::new(profile).read_ms(profile.usual_prompt).max(1.0);
        let unread = self.settings.reading_limit.0.saturating_sub(present.reading.0);
        places.min(((unread as f64 / usual) as u32).saturating_add(1))
    }

    /// From when on this entry may take one of `room` free places of an upstream.
    fn place_open(&self, now: Moment, upstream: &UpstreamState, room: u32) -> Moment {
        // Most upstreams have had their room for longer, so that turns need not be worked out.
        let last = pressure::turns_end(upstream.capacity_freed_at);
        if last <= now {
            return last;
        }
        let service = &upstream.record.service;
        let subject = upstream.record.id.as_str().as_bytes();
        let here = self.queues.get(service).map_or(0, WaitQueue::len) as u32;
        let own = rendezvous::weighted_score(subject, self.settings.own.as_str(), here);
        let others = self.upstreams.peer_loads.waiting_peers(service);
        let scores =
            others.map(|(id, count)| rendezvous::weighted_score(subject, id.as_str(), count));
        // The others come first at one that still reads a prompt of this entry.
        let yields = upstream.own_load.reading > Millis(0);
        let (mut waiting, mut before) = (0, 0);
        for score in scores {
            waiting += 1;
            before += u32::from(yields || score > own);
        }
        let turn = PlaceTurn { before, waiting, taken: upstream.sent_since_freed, room };
        pressure::place_open(upstream.capacity_freed_at, &turn)
    }

    /// When a place that another entry freed becomes this entry's to take, or one that was full is
    /// asked again, for what waits.
    pub(in crate::direct) fn next_place(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> Option<Moment> {
        let usable = self.upstreams.usable(now, service);
        let opens = usable.iter().map(|it| self.place_open(now, it, 1).max(it.cooldown_until));
        opens.filter(|open| *open > now).min()
    }

    /// Whether an upstream holds weights that the request may be run with.
    pub(in crate::direct) fn fits(
        &self,
        now: Moment,
        state: &RequestState,
        upstream: &UpstreamState,
    ) -> bool {
        let Some(model) = &state.model else { return true };
        if self.profile(&state.service).is_none() {
            return true;
        }
        let Some(version) = upstream.served_version(model) else { return false };
        if state.pinned.is_some_and(|pinned| version != pinned) {
            return false;
        }
        if self.versions.newest(model).is_none_or(|newest| version >= newest) {
            return true;
        }
        let floor = self.floor(now, state, upstream);
        floor.is_none_or(|floor| version >= floor)
    }

    /// The least version that the request may begin on at an upstream, by when it would begin there.
    ///
    /// Load pattern: the newer version is late, and engines with the older one idle. How long before
    /// the end of its time they are left alone depends on what waits inside them.
    pub(in crate::direct) fn floor(
        &self,
        now: Moment,
        state: &RequestState,
        upstream: &UpstreamState,
    ) -> Option<WeightVersion> {
        let model = state.model.as_ref()?;
        let begins = now + SUPERSEDED_START_MARGIN + self.begin_time(state, upstream);
        self.versions.floor(begins, model, self.settings.version_bound)
    }

    /// How long it may take until an upstream makes the first token of a request sent to it now.
    pub(in crate::direct) fn begin_time(
        &self,
        state: &RequestState,
        upstream: &UpstreamState,
    ) -> Millis {
        let Some(profile) = self.profile(&state.service) else { return Millis(0) };
        let present = self.upstreams.total_load(&upstream.record.id);
        let forecast = EngineForecast::new(profile).first_token(present.requests, state.size);
        Millis(BEGIN_CAUTION * (forecast.0 + present.reading.0))
    }

    /// How long the request occupies an engine where `present` is.
    fn whole_time(&self, state: &RequestState, present: UpstreamLoad) -> Millis {
        let Some(profile) = self.profile(&state.service) else { return Millis(0) };
        let running = present.requests.min(profile.slots);
        let whole = EngineForecast::new(profile).whole_ms(running, state.size);
        Millis(whole as u64 + present.reading.0)
    }

    /// How long an engine takes to read the request's prompt.
    pub(in crate::direct) fn reading_time(&self, state: &RequestState) -> Millis {
        let profile = self.profile(&state.service);
        let read = |profile| EngineForecast::new(profile).read_ms(state.size.prompt);
        Millis(profile.map_or(0.0, read) as u64)
    }

    pub(in crate::direct) fn profile(&self, service: &ServiceName) -> Option<&EngineProfile> {
        self.document.as_ref()?.service(service)?.engine.as_ref()
    }
}
