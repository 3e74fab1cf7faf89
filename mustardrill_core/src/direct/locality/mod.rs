//! Where work may go: not to evacuated data centres, and only to the regions that a request is
//! bound to.

pub(in crate::direct) mod evacuation;
pub(in crate::direct) mod regions;

use mustardrill_types::{Moment, ServiceName};

use crate::direct::fleet::upstream::UpstreamState;
use crate::direct::locality::regions::RegionLimits;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestState;
use crate::direct::waiting::queue::WaitRank;

impl DirectReducer {
    /// Whether a request may be sent to an upstream, checked once more when it is sent. Upstreams
    /// that are counted, waited for or chosen come without those in evacuated data centres.
    pub(in crate::direct) fn is_permitted(
        &self,
        state: &RequestState,
        upstream: &UpstreamState,
    ) -> bool {
        !self.upstreams.is_evacuated(upstream) && self.is_in_region(state, upstream)
    }

    /// Whether an upstream stands in a region in which the request may be served.
    fn is_in_region(&self, state: &RequestState, upstream: &UpstreamState) -> bool {
        let limits = &state.region_limits;
        let region = || self.settings.regions.region_of(&upstream.record.data_centre);
        !limits.is_bound() || limits.permits(region())
    }

    /// The upstreams to which the request may be sent now.
    pub(in crate::direct) fn usable_upstreams(
        &self,
        now: Moment,
        state: &RequestState,
    ) -> Vec<&UpstreamState> {
        self.upstreams.usable_among(now, &state.service, |it| self.is_in_region(state, it))
    }

    /// The permitted upstreams that want no requests from this entry for a while.
    pub(in crate::direct) fn resting_upstreams(
        &self,
        now: Moment,
        state: &RequestState,
    ) -> impl Iterator<Item = &UpstreamState> {
        let resting = self.upstreams.resting(now, &state.service);
        resting.filter(|upstream| self.is_in_region(state, upstream))
    }

    /// The permitted upstreams that accept requests from this entry.
    pub(in crate::direct) fn awake_upstreams(
        &self,
        now: Moment,
        state: &RequestState,
    ) -> impl Iterator<Item = &UpstreamState> {
        let awake = self.upstreams.awake(now, &state.service);
        awake.filter(|upstream| self.is_in_region(state, upstream))
    }

    /// The number of slots of the permitted upstreams that accept requests from this entry and do
    /// not limit the request rate.
    pub(in crate::direct) fn unlimited_slots(&self, now: Moment, state: &RequestState) -> u32 {
        let awake = self.awake_upstreams(now, state);
        let unlimited = awake.filter(|it| it.conditions.intake_limit.rate().is_none());
        unlimited.map(|upstream| upstream.record.slots).fold(0, u32::saturating_add)
    }

    /// Whether a permitted upstream is loading weights or is about to.
    pub(in crate::direct) fn is_loading_for(&self, now: Moment, state: &RequestState) -> bool {
        let mut loading = self.upstreams.loading(now, &state.service);
        loading.any(|upstream| self.is_in_region(state, upstream))
    }

    /// The first waiting request of a service that is bound to no regions. It goes before later ones
    /// wherever there is capacity, while one that is bound waits for its regions only.
    pub(in crate::direct) fn first_unbound(&self, service: &ServiceName) -> Option<WaitRank> {
        let is_unbound = |rank: &WaitRank| {
            let state = self.requests.get(&rank.number);
            state.is_none_or(|state| !state.region_limits.is_bound())
        };
        self.queues.get(service)?.iter().map(|(rank, _)| rank).find(is_unbound)
    }

    /// The first waiting request of a service behind `passed_over`, without those that are bound to
    /// regions which are `full`.
    pub(in crate::direct) fn next_waiting(
        &self,
        service: &ServiceName,
        passed_over: Option<WaitRank>,
        full: &[RegionLimits],
    ) -> Option<WaitRank> {
        self.queues.get(service)?.behind(passed_over).map(|(rank, _)| rank).find(|rank| {
            let state = self.requests.get(&rank.number);
            state.is_none_or(|state| !full.contains(&state.region_limits))
        })
    }

    /// Whether the request is bound to regions of which no listed upstream of its service stands in
    /// one, though it has upstreams elsewhere.
    pub(in crate::direct) fn is_out_of_region(&self, state: &RequestState) -> bool {
        // Those of an evacuated data centre come back, so they count.
        let mut listed = self.upstreams.of_service(&state.service).peekable();
        listed.peek().is_some() && listed.all(|upstream| !self.is_in_region(state, upstream))
    }
}
