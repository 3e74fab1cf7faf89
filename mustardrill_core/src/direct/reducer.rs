//! One reducer over all events of an entry that sends to upstreams itself.

use std::sync::Arc;

use log::info;
use mustardrill_types::{
    FastMap, FastSet, InstanceId, Millis, Moment, ServiceName, StoreEra, StoreRevision,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::direct::event::{
    DirectEffect, DirectEvent, DirectSettings, EngineWord, RequestNumber, StatusRow,
};
use crate::direct::fleet::entry_counter::EntryCounter;
use crate::direct::fleet::load_broadcast::{LoadRows, WaitRows};
use crate::direct::fleet::update::{FleetChange, FleetUpdate, PeerRecord};
use crate::direct::fleet::upstream_table::UpstreamTable;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::retries::crash_broadcast::CrashBroadcaster;
use crate::direct::retries::retry_budget::RetryWindow;
use crate::direct::route::RouteDocument;
use crate::direct::store::availability::{AvailabilitySpan, StoreAvailability};
use crate::direct::store::freshness::FreshnessClock;
use crate::direct::store::generation_report::GenerationReport;
use crate::direct::versions::announcements::AnnouncementInquiry;
use crate::direct::versions::superseded::UnstartedAttempts;
use crate::direct::versions::table::{AnnouncementReport, VersionTable};
use crate::direct::waiting::holding::HeldRequests;
use crate::direct::waiting::queue::WaitQueue;
use crate::quarantine::QuarantineTable;

/// How long an agent's word counts that its engine takes no requests.
///
/// Loading takes less; an agent that dies meanwhile must not keep its engine idle.
const PAUSE_LIMIT: Millis = Millis(5_000);

/// How long an agent's word counts that its engine will have newer weights soon: about what the
/// last third of a copy, reading it back and loading it take.
const COMING_LIMIT: Millis = Millis(2_500);

/// How long the words of other entries on a crash take: they look every 10 ms, and a lost word is
/// told again within 60 ms.
const SETTLE_SPAN: Millis = Millis(80);

/// How often the others are asked while requests wait for what they know, or may be sent in vain.
const ASK_SOON: Millis = Millis(50);

/// How often they are asked for what decides only in some seconds.
const ASK_AGAIN: Millis = Millis(250);

/// For how many bounds other entries are told of a version: one that comes back then has older ones.
const NAMING_BOUNDS: u64 = 3;

/// The state of one entry.
#[derive(Debug)]
pub struct DirectReducer {
    pub(super) settings: DirectSettings,
    pub(super) document: Option<Arc<RouteDocument>>,
    /// When the store was there last.
    pub(super) proof: FreshnessClock,
    /// When the configuration was the newest that the operator had written.
    pub(super) config_proof: FreshnessClock,
    /// Until then a store that came back from an older copy may lack what the operator wrote.
    pub(super) rewritten_at: Moment,
    pub(super) upstreams: UpstreamTable,
    pub(super) versions: VersionTable,
    /// Attempts that have not begun on weights that are being replaced.
    pub(super) unbegun: UnstartedAttempts,
    /// What the others are asked of versions.
    pub(super) inquiry: AnnouncementInquiry,
    /// Answers that began on replaced weights after their time.
    pub(super) begun_late: u64,
    pub(super) requests: FastMap<RequestNumber, RequestState>,
    pub(super) queues: FastMap<ServiceName, WaitQueue>,
    pub(super) windows: FastMap<ServiceName, RetryWindow>,
    pub(super) random: SmallRng,
    /// The other entries that are registered.
    pub(super) peers: Vec<PeerRecord>,
    pub(super) census: EntryCounter,
    /// The state of the store that was read last, and when it was read.
    pub(super) revision: StoreRevision,
    pub(super) era: StoreEra,
    /// What the others say of the newest configuration.
    pub(super) word: GenerationReport,
    /// Other entries that an older copy of the store lacks.
    pub(super) unconfirmed: FastSet<InstanceId>,
    pub(super) read_at: Moment,
    /// Whether the last call to the store failed.
    pub(super) store_away: bool,
    /// Since when the store has answered the entries.
    pub(super) contact: StoreAvailability,
    /// Requests that wait for a configuration that may be used.
    pub(super) held: HeldRequests,
    /// Requests under which upstreams ended.
    pub(super) quarantine: QuarantineTable,
    /// Requests that wait for the verdict on them.
    pub(super) undecided: Vec<RequestNumber>,
    /// What the other entries are told of them.
    pub(super) crash_words: CrashBroadcaster,
    /// When the next place opens that waiting requests may take.
    pub(super) place_at: Option<Moment>,
    /// The moment of the last wish to be woken that has not come yet.
    wake: Option<Moment>,
}

impl DirectReducer {
    /// A reducer that knows nothing yet. `seed` decides between equals.
    pub fn new(settings: DirectSettings, seed: u64) -> Self {
        Self {
            settings,
            document: None,
            proof: FreshnessClock::default(),
            config_proof: FreshnessClock::default(),
            rewritten_at: Moment(0),
            upstreams: UpstreamTable::default(),
            versions: VersionTable::default(),
            unbegun: UnstartedAttempts::default(),
            inquiry: AnnouncementInquiry::default(),
            begun_late: 0,
            requests: FastMap::default(),
            queues: FastMap::default(),
            windows: FastMap::default(),
            random: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            census: EntryCounter::default(),
            revision: StoreRevision::default(),
            era: StoreEra::default(),
            word: GenerationReport::default(),
            unconfirmed: FastSet::default(),
            read_at: Moment(0),
            store_away: false,
            contact: StoreAvailability::default(),
            held: HeldRequests::default(),
            quarantine: QuarantineTable::new(SETTLE_SPAN),
            undecided: Vec::new(),
            crash_words: CrashBroadcaster::default(),
            place_at: None,
            wake: None,
        }
    }

    /// Takes an event at `now` and returns what is to be done.
    pub fn reduce(&mut self, now: Moment, event: DirectEvent) -> Vec<DirectEffect> {
        self.upstreams.peer_loads.expire_silent(now, self.settings.peer_patience);
        let mut effects = match event {
            DirectEvent::Arrived(request) => self.arrived(now, request),
            DirectEvent::Gone(number) => self.gone(now, number),
            DirectEvent::Answering(number, load, version) => {
                self.answering(now, number, load, version);
                Vec::new()
            }
            DirectEvent::Ended(number, outcome) => self.ended(now, number, outcome),
            DirectEvent::Fleet(page, sent) => self.apply_fleet_update(now, page, sent),
            DirectEvent::StoreFailed => self.record_store_failure(now),
            DirectEvent::PeerHeard(load) => {
                self.census.record_activity(now, &load.from);
                self.load_heard(now, load);
                self.pump_all(now)
            }
            DirectEvent::ContactHeard(span) => {
                self.inquiry.record_answer();
                self.contact.merge_peer_span(span, self.settings.forgetting);
                self.remove_unreturned(now);
                self.settle_announcements(now);
                Vec::new()
            }
            DirectEvent::NamingsHeard(words) => {
                self.receive_announcement_reports(now, &words);
                Vec::new()
            }
            DirectEvent::GenerationHeard(generation) => {
                self.word.record_report(now, generation);
                self.release_all_held(now)
            }
            DirectEvent::CrashHeard(word) => self.receive_crash_report(now, word),
            DirectEvent::EngineHeard { address, model, word } => {
                let Some(state) = self.upstreams.by_address(address) else { return Vec::new() };
                match word {
                    EngineWord::Coming => state.reload_expected_until = now + COMING_LIMIT,
                    EngineWord::Closing(after) => state.reload_at = Some(now + after),
                    EngineWord::Pausing => state.paused_until = now + PAUSE_LIMIT,
                    EngineWord::Serving(version) => state.record_resume(now, &model, version),
                }
                info!("engine instance={} model={model} word={word} source=agent", state.record.id);
                self.pump_all(now)
            }
            DirectEvent::Woke => self.woke(now),
        };
        effects.extend(self.decide_suspects(now));
        effects.extend(self.withdraw_overdue_attempts(now));
        effects.extend(self.next_wake());
        effects
    }

    /// The configuration in force.
    pub fn document(&self) -> Option<&Arc<RouteDocument>> {
        self.document.as_ref()
    }

    /// The other entries.
    pub fn peers(&self) -> &[PeerRecord] {
        &self.peers
    }

    /// What this entry has at each upstream, for the other entries.
    pub fn outstanding(&self) -> LoadRows {
        let ids = self.upstreams.ids().into_iter();
        let counted = ids.filter_map(|id| Some((self.upstreams.get(&id)?.own_load, id)));
        counted.filter(|(own, _)| own.requests > 0).map(|(own, id)| (id, own)).collect()
    }

    /// How many requests wait here for each service, for the other entries.
    pub fn waiting(&self) -> WaitRows {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        busy.map(|(service, queue)| (service.clone(), queue.len() as u32)).collect()
    }

    /// Since when the store has answered, for the other entries.
    pub fn answer_span(&self) -> Option<AvailabilitySpan> {
        self.contact.span()
    }

    /// How often the others are to be asked what they know: at once where they may know that
    /// upstreams have left which are listed, or a newer configuration than the store told this entry
    /// at its start, and now and then where none has answered yet, or they may know of versions, or
    /// when those were named.
    pub fn doubts(&self, now: Moment) -> Option<Millis> {
        let may_have_forgotten = self.reregistration_deadline().is_some();
        if self.word.is_awaited(now)
            || self.inquiry.is_urgent()
            || (may_have_forgotten && self.upstreams.expired_count() > 0)
        {
            return Some(ASK_SOON);
        }
        let may_miss_versions = self.store_away || self.inquiry.is_polling(now);
        (may_miss_versions || self.word.should_ask(now)).then_some(ASK_AGAIN)
    }

    /// What this entry knows of when versions were named that may not have replaced all others yet.
    pub fn namings(&self, now: Moment) -> Vec<AnnouncementReport> {
        self.versions.reports(now - Millis(NAMING_BOUNDS * self.settings.version_bound.0))
    }

    /// What this entry knows of the fleet, for agents that start.
    pub fn fleet(&self) -> FleetUpdate {
        let document = self.document.iter().cloned().map(FleetChange::Configured);
        let named = self.versions.all_newest();
        let named = named.map(|(model, version)| FleetChange::VersionAnnounced(model, version));
        let ids = self.upstreams.ids().into_iter();
        let records = ids.filter_map(|id| Some(self.upstreams.get(&id)?.record.clone()));
        let peers = self.peers.iter().cloned().map(FleetChange::Peer);
        let changes = document.chain(named).chain(records.map(FleetChange::Upstream)).chain(peers);
        FleetUpdate {
            changes: changes.collect(),
            revision: self.revision,
            era: self.era,
            is_snapshot: true,
        }
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.document.as_ref().is_some_and(|document| self.is_current(now, document))
    }

    /// Where the entry stands.
    pub fn status(&self, now: Moment) -> StatusRow {
        StatusRow {
            generation: self.document.as_ref().map(|document| document.generation),
            proof_age: self.config_proof.age(now),
            era: self.era,
            upstreams: self.upstreams.len(),
            lapsed: self.upstreams.expired_count(),
            requests: self.requests.len(),
            waiting: self.queues.values().map(WaitQueue::len).sum(),
            quarantined: self.quarantine.quarantined_count(now),
            begun_late: self.begun_late,
        }
    }

    fn gone(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        self.held.forget(number);
        self.untrack_attempt(number);
        let Some(state) = self.requests.remove(&number) else { return Vec::new() };
        info!("request={} outcome=caller-gone stage={:?}", state.attempt, state.stage);
        self.release(&state);
        self.pump(now, &state.service)
    }

    /// Frees what a request occupies.
    pub(super) fn release(&mut self, state: &RequestState) {
        match &state.stage {
            RequestStage::Waiting(rank) => {
                if let Some(queue) = self.queues.get_mut(&state.service) {
                    queue.remove(rank);
                }
            }
            RequestStage::Sent(upstream) => {
                self.upstreams.record_prefill_end(upstream, state.reading);
                self.upstreams.record_finished(upstream);
            }
            RequestStage::Between => {}
        }
    }

    fn woke(&mut self, now: Moment) -> Vec<DirectEffect> {
        self.wake = None;
        self.settle_announcements(now);
        let mut effects = Vec::new();
        for service in self.queues.keys().cloned().collect::<Vec<_>>() {
            let Some(queue) = self.queues.get_mut(&service) else { continue };
            for rank in queue.take_overdue(now) {
                effects.extend(self.waited_in_vain(now, rank.number));
            }
        }
        if self.word.end_wait(now) {
            effects.extend(self.release_all_held(now));
        }
        for request in self.held.take_overdue(now) {
            effects.extend(self.release_held(now, request));
        }
        effects.extend(self.pump_all(now));
        effects
    }

    /// The wish to be woken when the next request gives up waiting.
    fn next_wake(&mut self) -> Option<DirectEffect> {
        let overdue = self.queues.values().filter_map(WaitQueue::next_overdue).min();
        let place = self.place_at.take();
        let held = self.held.next_overdue();
        let verdict = self.quarantine.next_verdict();
        let word = self.word.wait_deadline();
        let moments = overdue.into_iter().chain(place).chain(held).chain(verdict).chain(word);
        let moments =
            moments.chain(self.inquiry.next_decision()).chain(self.unbegun.next_overdue());
        let next = moments.min()?;
        if self.wake.is_some_and(|wake| wake <= next) {
            return None;
        }
        self.wake = Some(next);
        Some(DirectEffect::Wake(next))
    }

    pub(super) fn pump_all(&mut self, now: Moment) -> Vec<DirectEffect> {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<_> = busy.map(|(service, _)| service.clone()).collect();
        services.iter().flat_map(|service| self.pump(now, service)).collect()
    }
}
