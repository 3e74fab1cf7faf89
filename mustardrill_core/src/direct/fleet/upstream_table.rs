//! The upstreams known to one entry: which are listed, and on what evidence.

use std::net::SocketAddr;

use log::info;
use mustardrill_types::{
    FastMap, InstanceId, Millis, ModelName, Moment, ServiceName, StartStamp, WeightVersion,
};

use crate::direct::event::{AttemptOutcome, EngineNotice, LoadReport, UpstreamLoad};
use crate::direct::fleet::incarnation_order::IncarnationOrder;
use crate::direct::fleet::peer_loads::PeerLoadTotals;
use crate::direct::fleet::update::{ServedWeights, UpstreamRecord};
use crate::direct::fleet::upstream::{
    ExpiredRegistration, ExpiryCause, UpstreamStart, UpstreamState,
};
use crate::direct::fleet::version_belief::{BeliefSource, VersionBelief};
use crate::direct::locality::evacuation::EvacuationTable;
use crate::direct::placement::pace::{PaceReport, PaceSource};
use crate::direct::statements::conditions::StatedConditions;
use crate::direct::versions::load_record::{LoadRecord, LoadTable};

/// How long a removed upstream is remembered: longer than the age of the copies from which a store
/// is restored.
const DEPARTURE_RETENTION: Millis = Millis(120_000);

/// A store that loses registrations loses most of them at once. If no more than one in this many
/// upstreams of a service is missing, the missing ones have more likely shut down.
const LOST_FRACTION_DIVISOR: usize = 3;

/// An incarnation of an upstream that was removed from the table.
#[derive(Debug)]
struct Departure {
    start: StartStamp,
    at: Moment,
    /// It may be listed again, as the same incarnation.
    conditions: StatedConditions,
}

/// An agent's notice of an incarnation that is not registered yet, as far as this entry knows.
#[derive(Debug)]
struct EarlyNotice {
    start: StartStamp,
    served: ServedWeights,
    received_at: Moment,
}

/// The known upstreams by instance, with an index by service.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    states: FastMap<InstanceId, UpstreamState>,
    by_service: FastMap<ServiceName, Vec<InstanceId>>,
    /// Upstreams that were removed lately, so that an older copy of the store does not list them
    /// again.
    departed: FastMap<InstanceId, Departure>,
    incarnation_order: IncarnationOrder,
    /// Notices of later incarnations at the addresses of known upstreams.
    early_notices: FastMap<SocketAddr, EarlyNotice>,
    /// The data centres to whose upstreams nothing is sent.
    pub(crate) evacuations: EvacuationTable,
    /// The loads that agents have recorded.
    pub(crate) loads: LoadTable,
    /// The load of the peer entries at the upstreams.
    pub(crate) peer_loads: PeerLoadTotals,
}

impl UpstreamTable {
    /// Applies a registration. One of a later incarnation replaces all state of the earlier one;
    /// one that may be a delayed write of an earlier incarnation is ignored.
    ///
    /// `is_served` says whether the configuration names its service. A registration for any other
    /// service may come from a foreign writer and replaces no upstream at the same address.
    pub(crate) fn register(&mut self, now: Moment, mut record: UpstreamRecord, is_served: bool) {
        if let Some(known) = self.states.get(&record.id).map(|state| &state.record) {
            let is_same = record.start == known.start;
            if is_same {
                self.incarnation_order.record_listed(&record.id);
            } else if !self.incarnation_order.is_later(known.start, &record) {
                info!("membership instance={} start={} outcome=kept", record.id, record.start);
                return;
            }
            if !is_same || record.service != known.service {
                info!("membership instance={} start={} outcome=anew", record.id, record.start);
                self.remove_departed(now, &record.id);
            }
        }
        if let Some(state) = self.states.get_mut(&record.id) {
            state.keep_newer_versions(&mut record);
            if state.record != record {
                info!(
                    "membership instance={} leaving={} serving={} outcome=changed",
                    record.id,
                    record.leaving,
                    format_versions(&record.serving)
                );
            }
            state.replace_record(now, record);
            state.conditions.warmup.record_registration(now, state.record.warmup);
            if let Some(expired) = state.expired_registration.take() {
                let span = now.since(expired.at);
                info!("membership instance={} outcome=confirmed after={span}", state.record.id);
            }
            return;
        }
        info!(
            "membership instance={} service={} address={} serving={} outcome=listed",
            record.id,
            record.service,
            record.address,
            format_versions(&record.serving)
        );
        let departure = self.departed.remove(&record.id);
        let returned = departure.filter(|departure| departure.start == record.start);
        if is_served {
            self.remove_predecessor(now, record.address);
        }
        self.by_service.entry(record.service.clone()).or_default().push(record.id.clone());
        let mut state = UpstreamState::new(now, record);
        self.apply_early_notice(now, &mut state);
        state.conditions = returned.map(|departure| departure.conditions).unwrap_or_default();
        state.conditions.warmup.record_registration(now, state.record.warmup);
        self.states.insert(state.record.id.clone(), state);
    }

    /// Whether a notice is of the incarnation listed at an address, or names none. One of a later
    /// incarnation is kept until that is registered.
    pub(crate) fn accepts_notice(
        &mut self,
        now: Moment,
        address: SocketAddr,
        model: &ModelName,
        start: Option<StartStamp>,
        notice: EngineNotice,
    ) -> bool {
        let Some(known) = self.by_address(address).map(|state| state.start()) else { return false };
        let Some(start) = start else { return true };
        if start == known.start {
            return true;
        }
        info!(
            "engine instance={} model={model} word={notice} start={start} listed={} \
             outcome=other-start",
            known.id, known.start
        );
        if let Some(version) = notice.served_version()
            && start > known.start
        {
            let served = ServedWeights { model: model.clone(), version };
            let early = EarlyNotice { start, served, received_at: now };
            self.early_notices.insert(address, early);
        }
        false
    }

    /// The record of an agent about the latest load of a model at an upstream, if there is one.
    pub(crate) fn load_record(
        &self,
        upstream: &UpstreamState,
        model: &ModelName,
    ) -> Option<&LoadRecord> {
        self.loads.get(upstream.record.address, upstream.record.start, model)
    }

    /// Applies a notice of an incarnation that was received before its registration.
    fn apply_early_notice(&mut self, now: Moment, state: &mut UpstreamState) {
        let Some(early) = self.early_notices.remove(&state.record.address) else { return };
        if early.start != state.record.start {
            return;
        }
        let ServedWeights { model, version } = early.served;
        if state.served_version(&model).is_none_or(|served| served < version) {
            let age = now.since(early.received_at);
            info!("engine instance={} serving={version} source=notice age={age}", state.record.id);
            let belief = VersionBelief::new(BeliefSource::Notice, early.received_at);
            state.set_served_version(&model, version, belief);
        }
    }

    /// Removes the upstream that was at an address before. A restarted upstream may have a new id
    /// while the old one stays registered for some seconds; after a restart of the whole fleet
    /// every second request went to an old one.
    fn remove_predecessor(&mut self, now: Moment, address: SocketAddr) {
        let predecessor = self.states.values().find(|state| state.record.address == address);
        if let Some(id) = predecessor.map(|state| state.record.id.clone()) {
            info!("membership instance={id} outcome=gone reason=replaced");
            self.remove_departed(now, &id);
        }
    }

    /// Removes an upstream whose registration has expired, or keeps it if the store may have lost
    /// the registration. `limit` is the moment by which running upstreams have registered again;
    /// `None` means that the store cannot have lost any.
    pub(crate) fn expire(
        &mut self,
        now: Moment,
        id: &InstanceId,
        limit: Option<Moment>,
        cause: ExpiryCause,
    ) {
        let Some(state) = self.states.get_mut(id) else { return };
        if let Some(limit) = limit.filter(|limit| *limit > now && !state.is_leaving()) {
            if state.expired_registration.is_none() {
                state.expired_registration = Some(ExpiredRegistration { at: now, cause });
                let span = limit.since(now);
                info!("membership instance={id} outcome=lapsed reason={cause} for={span}");
            }
            return;
        }
        info!("membership instance={id} outcome=gone");
        self.remove_departed(now, id);
    }

    /// Removes an upstream whose key in the store no longer holds a valid registration.
    pub(crate) fn remove_invalid(&mut self, now: Moment, id: &InstanceId) {
        info!("membership instance={id} outcome=gone reason=no-registration");
        self.remove_departed(now, id);
    }

    /// Applies a registration from an older copy of the store. Changes that are known to be newer
    /// are not reverted. An upstream that is not listed because of this is listed once it registers
    /// again.
    pub(crate) fn register_from_older_copy(
        &mut self,
        now: Moment,
        record: UpstreamRecord,
        is_served: bool,
    ) {
        let id = &record.id;
        if self.departed.get(id).is_some_and(|departure| departure.start >= record.start) {
            info!("membership instance={id} outcome=kept-out reason=left");
            return;
        }
        let Some(state) = self.states.get_mut(id) else {
            let mut states = self.states.values();
            if states.any(|state| state.record.address == record.address) {
                info!("membership instance={id} outcome=kept-out reason=replaced");
            } else {
                self.register(now, record, is_served);
            }
            return;
        };
        if state.record.start != record.start {
            // `register` keeps the later incarnation.
            return self.register(now, record, is_served);
        }
        let mut merged = record;
        merged.leaving |= state.record.leaving;
        for known in &state.record.serving {
            if merged.serving.iter().all(|served| served.model != known.model) {
                merged.serving.push(known.clone());
            }
        }
        self.register(now, merged, is_served);
    }

    /// Removes all upstreams whose registration has expired and was not written again.
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        let expired = self.states.iter().filter(|(_, state)| state.expired_registration.is_some());
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            info!("membership instance={id} outcome=gone reason=lapsed");
            self.remove_departed(now, &id);
        }
    }

    /// Removes an upstream and remembers its incarnation for [`DEPARTURE_RETENTION`], or until its
    /// rest ends.
    fn remove_departed(&mut self, now: Moment, id: &InstanceId) {
        if let Some(state) = self.remove(id) {
            let UpstreamState { record, conditions, .. } = state;
            let departure = Departure { start: record.start, at: now, conditions };
            self.departed.retain(|_, departure| {
                now.since(departure.at) < DEPARTURE_RETENTION
                    || departure.conditions.rest.is_resting(now)
            });
            self.departed.insert(record.id, departure);
            let (states, departed) = (&self.states, &self.departed);
            let is_known = |id: &InstanceId| states.contains_key(id) || departed.contains_key(id);
            self.incarnation_order.retain(is_known);
        }
    }

    fn remove(&mut self, id: &InstanceId) -> Option<UpstreamState> {
        let state = self.states.remove(id)?;
        if let Some(ids) = self.by_service.get_mut(&state.record.service) {
            ids.retain(|known| known != id);
        }
        Some(state)
    }

    pub(crate) fn ids(&self) -> Vec<InstanceId> {
        self.states.keys().cloned().collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }

    /// Counts the upstreams that are listed although their registration has expired.
    pub(crate) fn expired_count(&self) -> usize {
        self.states.values().filter(|state| state.expired_registration.is_some()).count()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &UpstreamState> {
        self.states.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        self.states.values_mut()
    }

    /// Counts the upstreams that limit the request rate that they accept.
    pub(crate) fn limited_count(&self) -> usize {
        self.states.values().filter(|state| state.conditions.intake_limit.rate().is_some()).count()
    }

    /// Counts the upstreams that are cold and whose service limits the rate meanwhile.
    pub(crate) fn cold_count(&self) -> usize {
        self.states.values().filter(|state| state.conditions.intake_limit.is_cold()).count()
    }

    pub(crate) fn get(&self, id: &InstanceId) -> Option<&UpstreamState> {
        self.states.get(id)
    }

    /// Returns the state of an upstream if exactly this incarnation of it is known.
    pub(crate) fn incarnation(&self, start: &UpstreamStart) -> Option<&UpstreamState> {
        self.states.get(&start.id).filter(|state| state.record.start == start.start)
    }

    /// Returns the state of an upstream if exactly this incarnation of it is known.
    pub(crate) fn incarnation_mut(&mut self, start: &UpstreamStart) -> Option<&mut UpstreamState> {
        let state = self.states.get_mut(&start.id)?;
        (state.record.start == start.start).then_some(state)
    }

    /// Returns what exactly this incarnation has stated of itself; listed or removed lately.
    pub(crate) fn conditions_mut(
        &mut self,
        start: &UpstreamStart,
    ) -> Option<&mut StatedConditions> {
        if let Some(state) = self.states.get_mut(&start.id) {
            return (state.record.start == start.start).then_some(&mut state.conditions);
        }
        let departure = self.departed.get_mut(&start.id)?;
        (departure.start == start.start).then_some(&mut departure.conditions)
    }

    /// Counts the upstreams that want no requests from this entry for a while.
    pub(crate) fn resting_count(&self, now: Moment) -> usize {
        self.states.values().filter(|state| state.conditions.rest.is_resting(now)).count()
    }

    /// Counts the upstreams that have stated in their answers that they are leaving.
    pub(crate) fn leaving_count(&self) -> usize {
        self.states.values().filter(|state| state.conditions.is_leaving()).count()
    }

    pub(crate) fn by_address(&mut self, address: SocketAddr) -> Option<&mut UpstreamState> {
        self.states.values_mut().find(|state| state.record.address == address)
    }

    /// Returns the upstreams that are listed for a service.
    pub(crate) fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamState> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.states.get(id))
    }

    /// Whether an upstream stands in an evacuated data centre.
    pub(crate) fn is_evacuated(&self, state: &UpstreamState) -> bool {
        self.evacuations.is_evacuated(&state.record.data_centre)
    }

    /// Counts the upstreams that stand in evacuated data centres.
    pub(crate) fn evacuated_count(&self) -> usize {
        self.states.values().filter(|state| self.is_evacuated(state)).count()
    }

    /// Returns the upstreams that are listed for a service, are not leaving and do not stand in an
    /// evacuated data centre.
    pub(crate) fn staying(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamState> {
        self.of_service(service).filter(|state| !state.is_leaving() && !self.is_evacuated(state))
    }

    /// Returns the upstreams that stay in a service and want no requests from this entry for a
    /// while.
    pub(crate) fn resting(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamState> {
        self.staying(service).filter(move |state| state.conditions.rest.is_resting(now))
    }

    /// Returns the upstreams that stay in a service and accept requests from this entry.
    pub(crate) fn awake(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamState> {
        self.staying(service).filter(move |state| !state.conditions.rest.is_resting(now))
    }

    /// Returns the upstreams of a service that requests may be sent to now. If all of them are
    /// ejected or have crashed, those are returned instead; never one that leaves or rests.
    pub(crate) fn usable(&self, now: Moment, service: &ServiceName) -> Vec<&UpstreamState> {
        self.usable_among(now, service, |_| true)
    }

    /// Returns the upstreams among the permitted ones of a service that requests may be sent to now,
    /// as [`Self::usable`] does.
    pub(crate) fn usable_among(
        &self,
        now: Moment,
        service: &ServiceName,
        is_permitted: impl Fn(&UpstreamState) -> bool,
    ) -> Vec<&UpstreamState> {
        let staying = self.staying(service).filter(|state| is_permitted(state));
        let mut available: Vec<_> = staying.collect();
        let uncertain = available.iter().filter(|state| state.may_have_shut_down()).count();
        let is_small_share = uncertain * LOST_FRACTION_DIVISOR <= available.len();
        available.retain(|state| {
            state.paused_until <= now
                && !state.conditions.rest.is_resting(now)
                && !(is_small_share && state.may_have_shut_down())
        });
        let running: Vec<_> =
            available.iter().copied().filter(|state| state.crashed_until <= now).collect();
        let healthy: Vec<_> =
            running.iter().copied().filter(|state| state.ejected_until <= now).collect();
        // If all are ejected, trying one of them is better than refusing all requests.
        let tiers = [healthy, running];
        tiers.into_iter().find(|tier| !tier.is_empty()).unwrap_or(available)
    }

    /// Returns the upstreams of a service that are loading weights or are about to.
    pub(crate) fn loading(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamState> {
        let is_loading =
            move |state: &&UpstreamState| state.paused_until.max(state.reload_expected_until) > now;
        self.staying(service).filter(is_loading)
    }

    /// Returns the load at an upstream: this entry's own and that of the peers that reported
    /// lately.
    pub(crate) fn total_load(&self, id: &InstanceId) -> UpstreamLoad {
        let own = self.states.get(id).map_or(UpstreamLoad::default(), |state| state.own_load);
        let peers = self.peer_loads.total_at(id);
        UpstreamLoad {
            requests: own.requests.saturating_add(peers.requests),
            pending_prefill: own.pending_prefill + peers.pending_prefill,
        }
    }

    /// Records that an upstream has capacity again, as peer entries reported.
    pub(crate) fn record_free_capacity(&mut self, now: Moment, id: &InstanceId) {
        if let Some(state) = self.states.get_mut(id) {
            state.record_free_capacity(now);
        }
    }

    /// Records what upstreams stated to a peer entry.
    pub(crate) fn record_peer_paces(&mut self, now: Moment, reports: Vec<PaceReport>) {
        for report in reports {
            if let Some(state) = self.states.get_mut(&report.upstream) {
                state.pace.record_stated(now - report.age, report.pace, PaceSource::Peer);
            }
        }
    }

    /// What upstreams have just stated to this entry.
    pub(crate) fn pace_reports(&self, now: Moment) -> Vec<PaceReport> {
        let reports = self.states.iter().filter_map(|(id, state)| {
            let (pace, age) = state.pace.report(now)?;
            Some(PaceReport { upstream: id.clone(), pace, age })
        });
        reports.collect()
    }

    /// Records that a request with a prefill of `prefill_time` was sent to an upstream.
    pub(crate) fn record_sent(&mut self, start: &UpstreamStart, prefill_time: Millis) {
        if let Some(state) = self.incarnation_mut(start) {
            state.own_load.requests += 1;
            state.sent_since_freed += 1;
            state.own_load.pending_prefill = state.own_load.pending_prefill + prefill_time;
        }
    }

    /// Records that an upstream has completed the prefill of a request, or never will.
    pub(crate) fn record_prefill_end(&mut self, start: &UpstreamStart, prefill_time: Millis) {
        if let Some(state) = self.incarnation_mut(start) {
            state.own_load.pending_prefill =
                Millis(state.own_load.pending_prefill.0.saturating_sub(prefill_time.0));
        }
    }

    /// Records that a request that was sent at `sent_at` is no longer at an upstream.
    pub(crate) fn record_finished(&mut self, start: &UpstreamStart, sent_at: Moment) {
        // It may be listed again as the same incarnation.
        if let Some(conditions) = self.conditions_mut(start) {
            conditions.rest.record_finished(sent_at);
        }
        if let Some(state) = self.incarnation_mut(start) {
            state.own_load.requests = state.own_load.requests.saturating_sub(1);
        }
    }

    /// Records that an upstream crashed at `at`, unless it has answered since.
    ///
    /// A crashed upstream stays listed for some seconds and looks like the least loaded one, so all
    /// requests were sent there until their attempts were used up.
    pub(crate) fn record_crash(&mut self, start: &UpstreamStart, at: Moment) {
        if let Some(state) = self.incarnation_mut(start) {
            state.record_crash(at);
        }
    }

    /// Records the start of an answer to an attempt sent at `sent_at`, with the load and the weights
    /// version that it reports. Returns whether the version contradicts what was believed.
    pub(crate) fn record_answer_start(
        &mut self,
        now: Moment,
        sent_at: Moment,
        start: &UpstreamStart,
        load: Option<LoadReport>,
        model: Option<&ModelName>,
        version: Option<WeightVersion>,
    ) -> bool {
        let Some(state) = self.incarnation_mut(start) else { return false };
        state.record_acceptance(now);
        if let Some(load) = load {
            state.record.slots = load.slots;
            if let Some(pace) = load.pace {
                state.pace.record_stated(now - load.age, pace, PaceSource::Own);
            }
        }
        let answered = model.zip(version);
        answered.is_some_and(|(model, version)| {
            state.record_answered_version(now, sent_at, model, version)
        })
    }

    /// Records the outcome of an attempt; `first_ejection` is the length of a first ejection.
    pub(crate) fn record_outcome(
        &mut self,
        now: Moment,
        start: &UpstreamStart,
        outcome: AttemptOutcome,
        first_ejection: Millis,
    ) {
        if let Some(state) = self.incarnation_mut(start) {
            state.record_outcome(now, outcome, first_ejection);
        }
    }
}

fn format_versions(serving: &[ServedWeights]) -> String {
    let texts: Vec<_> =
        serving.iter().map(|served| format!("{}:{}", served.model, served.version)).collect();
    texts.join(",")
}
