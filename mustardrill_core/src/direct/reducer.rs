//! The reducer of an entry in direct mode: one state machine over all its events.

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
use crate::direct::fleet::census::EntryCensus;
use crate::direct::fleet::page::{FleetChange, FleetPage, PeerRecord};
use crate::direct::fleet::telling::{LoadRows, WaitRows};
use crate::direct::fleet::upstream_table::UpstreamTable;
use crate::direct::repeats::crash_words::CrashTeller;
use crate::direct::repeats::spending::RetryWindow;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::route::RouteDocument;
use crate::direct::store::contact::{AnswerSpan, StoreContact};
use crate::direct::store::freshness::ProofClock;
use crate::direct::store::generation_word::GenerationWord;
use crate::direct::versions::naming::NamingInquiry;
use crate::direct::versions::replaced::UnbegunAttempts;
use crate::direct::versions::table::{NamingWord, VersionTable};
use crate::direct::waiting::held_requests::HeldRequests;
use crate::direct::waiting::queue::WaitQueue;
use crate::quarantine::QuarantineTable;

/// How long an agent's notice that its engine is loading counts.
///
/// Loading takes less; the limit keeps an agent that dies meanwhile from leaving its engine idle.
const PAUSE_LIMIT: Millis = Millis(5_000);

/// How long an agent's notice that newer weights arrive soon counts: about the time for the last
/// third of a copy, reading it back and loading it.
const COMING_LIMIT: Millis = Millis(2_500);

/// How long to wait for peers' reports on a crash: peers look for crashes every 10 ms, and a lost
/// report is sent again within 60 ms.
const SETTLE_SPAN: Millis = Millis(80);

/// How often peers are queried while requests wait for what the peers know, or may be sent in vain.
const ASK_SOON: Millis = Millis(50);

/// How often peers are queried for what matters only within some seconds.
const ASK_AGAIN: Millis = Millis(250);

/// How long a version's announcement is shared with peers, as a multiple of `version_bound`. A peer
/// that returns after that has older announcements only.
const NAMING_BOUNDS: u64 = 3;

/// The complete decision state of one entry.
#[derive(Debug)]
pub struct DirectReducer {
    pub(super) settings: DirectSettings,
    pub(super) document: Option<Arc<RouteDocument>>,
    /// When the store last answered.
    pub(super) proof: ProofClock,
    /// When the configuration in force was last known to be the operator's newest.
    pub(super) config_proof: ProofClock,
    /// Until this moment a store restored from an older copy may lack what the operator wrote.
    pub(super) rewritten_at: Moment,
    pub(super) upstreams: UpstreamTable,
    pub(super) versions: VersionTable,
    /// Attempts on superseded weights whose answer has not started.
    pub(super) unbegun: UnbegunAttempts,
    /// What peers are asked about announcements.
    pub(super) inquiry: NamingInquiry,
    /// Answers that started on superseded weights after the allowed time.
    pub(super) begun_late: u64,
    pub(super) requests: FastMap<RequestNumber, RequestState>,
    pub(super) queues: FastMap<ServiceName, WaitQueue>,
    pub(super) windows: FastMap<ServiceName, RetryWindow>,
    pub(super) random: SmallRng,
    /// The registered peer entries.
    pub(super) peers: Vec<PeerRecord>,
    pub(super) census: EntryCensus,
    /// The store revision that was read last; `store_read_at` is when.
    pub(super) revision: StoreRevision,
    pub(super) era: StoreEra,
    /// What peers report about the newest configuration.
    pub(super) word: GenerationWord,
    /// Peers that are missing in a store restored from an older copy.
    pub(super) unconfirmed: FastSet<InstanceId>,
    pub(super) read_at: Moment,
    /// Whether the last call to the store failed.
    pub(super) store_away: bool,
    /// For how long the store has been answering the entries.
    pub(super) contact: StoreContact,
    /// Requests held until there is a current configuration.
    pub(super) held: HeldRequests,
    /// Requests suspected of crashing upstreams.
    pub(super) quarantine: QuarantineTable,
    /// Suspected requests held until it is decided whether they may run.
    pub(super) undecided: Vec<RequestNumber>,
    /// Crash reports for the peer entries.
    pub(super) crash_words: CrashTeller,
    /// When capacity becomes available that waiting requests may take.
    pub(super) place_at: Option<Moment>,
    /// The pending `DirectEffect::SetTimer`, so that no later one is requested.
    wake: Option<Moment>,
}

impl DirectReducer {
    /// Starts without a configuration. `seed` initializes the random choices between equals.
    pub fn new(settings: DirectSettings, seed: u64) -> Self {
        Self {
            settings,
            document: None,
            proof: ProofClock::default(),
            config_proof: ProofClock::default(),
            rewritten_at: Moment(0),
            upstreams: UpstreamTable::default(),
            versions: VersionTable::default(),
            unbegun: UnbegunAttempts::default(),
            inquiry: NamingInquiry::default(),
            begun_late: 0,
            requests: FastMap::default(),
            queues: FastMap::default(),
            windows: FastMap::default(),
            random: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            census: EntryCensus::default(),
            revision: StoreRevision::default(),
            era: StoreEra::default(),
            word: GenerationWord::default(),
            unconfirmed: FastSet::default(),
            read_at: Moment(0),
            store_away: false,
            contact: StoreContact::default(),
            held: HeldRequests::default(),
            quarantine: QuarantineTable::new(SETTLE_SPAN),
            undecided: Vec::new(),
            crash_words: CrashTeller::default(),
            place_at: None,
            wake: None,
        }
    }

    /// Applies an event at `now` and returns the effects to carry out.
    pub fn reduce(&mut self, now: Moment, event: DirectEvent) -> Vec<DirectEffect> {
        self.upstreams.heard.expire(now, self.settings.peer_patience);
        let mut effects = match event {
            DirectEvent::Arrived(request) => self.arrived(now, request),
            DirectEvent::Gone(number) => self.gone(now, number),
            DirectEvent::Answering(number, load, version) => {
                self.answering(now, number, load, version);
                Vec::new()
            }
            DirectEvent::Ended(number, outcome) => self.ended(now, number, outcome),
            DirectEvent::Fleet(page, sent) => self.fleet_seen(now, page, sent),
            DirectEvent::StoreFailed => self.store_failed(now),
            DirectEvent::PeerHeard(load) => {
                self.census.note(now, &load.from);
                self.load_heard(now, load);
                self.pump_all(now)
            }
            DirectEvent::ContactHeard(span) => {
                self.inquiry.answered();
                self.contact.heard(span, self.settings.forgetting);
                self.settle_lapsed(now);
                self.settle_namings(now);
                Vec::new()
            }
            DirectEvent::NamingsHeard(words) => {
                self.namings_heard(now, &words);
                Vec::new()
            }
            DirectEvent::GenerationHeard(generation) => {
                self.word.heard(now, generation);
                self.release_all_held(now)
            }
            DirectEvent::CrashHeard(word) => self.crash_heard(now, word),
            DirectEvent::EngineHeard { address, model, word } => {
                let Some(state) = self.upstreams.by_address(address) else { return Vec::new() };
                match word {
                    EngineWord::Coming => state.expected_until = now + COMING_LIMIT,
                    EngineWord::Closing(after) => state.closes_at = Some(now + after),
                    EngineWord::Pausing => state.paused_until = now + PAUSE_LIMIT,
                    EngineWord::Serving(version) => state.opened(now, &model, version),
                }
                info!("engine instance={} model={model} word={word} source=agent", state.record.id);
                self.pump_all(now)
            }
            DirectEvent::Woke => self.woke(now),
        };
        effects.extend(self.decide_suspects(now));
        effects.extend(self.withdraw_overdue(now));
        effects.extend(self.next_wake());
        effects
    }

    /// The configuration in force; `None` until the store has delivered one.
    pub fn document(&self) -> Option<&Arc<RouteDocument>> {
        self.document.as_ref()
    }

    /// The registered peer entries, without this one.
    pub fn peers(&self) -> &[PeerRecord] {
        &self.peers
    }

    /// The load that this entry has placed on each upstream, for the broadcast to peers.
    pub fn outstanding(&self) -> LoadRows {
        let ids = self.upstreams.ids().into_iter();
        let counted = ids.filter_map(|id| Some((self.upstreams.get(&id)?.own, id)));
        counted.filter(|(own, _)| own.requests > 0).map(|(own, id)| (id, own)).collect()
    }

    /// How many requests wait here for each service, for the broadcast to peers.
    pub fn waiting(&self) -> WaitRows {
        let nonempty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        nonempty.map(|(service, queue)| (service.clone(), queue.len() as u32)).collect()
    }

    /// For how long the store has been answering, for the report to peers.
    pub fn answer_span(&self) -> Option<AnswerSpan> {
        self.contact.span()
    }

    /// How often peers are to be queried, `None` for not at all. Soon where peers may know that
    /// listed upstreams have left, or know a newer configuration than the store gave this entry at
    /// its start. More rarely while none has answered yet, or where peers may know of versions or
    /// of when they were announced.
    pub fn doubts(&self, now: Moment) -> Option<Millis> {
        let may_have_forgotten = self.return_limit().is_some();
        if self.word.is_awaited(now)
            || self.inquiry.is_urgent()
            || (may_have_forgotten && self.upstreams.lapsed() > 0)
        {
            return Some(ASK_SOON);
        }
        let may_miss_versions = self.store_away || self.inquiry.is_open(now);
        (may_miss_versions || self.word.is_asked(now)).then_some(ASK_AGAIN)
    }

    /// When versions were announced that may not have superseded all others yet, as far as this
    /// entry knows.
    pub fn namings(&self, now: Moment) -> Vec<NamingWord> {
        self.versions.words(now - Millis(NAMING_BOUNDS * self.settings.version_bound.0))
    }

    /// A complete snapshot of the fleet as this entry knows it, for agents that start.
    pub fn fleet(&self) -> FleetPage {
        let document = self.document.iter().cloned().map(FleetChange::Configured);
        let named = self.versions.all_newest();
        let named = named.map(|(model, version)| FleetChange::VersionNamed(model, version));
        let ids = self.upstreams.ids().into_iter();
        let records = ids.filter_map(|id| Some(self.upstreams.get(&id)?.record.clone()));
        let peers = self.peers.iter().cloned().map(FleetChange::Peer);
        let changes = document.chain(named).chain(records.map(FleetChange::Upstream)).chain(peers);
        FleetPage { changes: changes.collect(), at: self.revision, era: self.era, whole: true }
    }

    /// Whether the load balancer should send callers here: the configuration is confirmed as
    /// current.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.document.as_ref().is_some_and(|document| self.is_current(now, document))
    }

    /// The entry's state for operators and the readiness check.
    pub fn status(&self, now: Moment) -> StatusRow {
        StatusRow {
            generation: self.document.as_ref().map(|document| document.generation),
            proof_age: self.config_proof.age(now),
            era: self.era,
            upstreams: self.upstreams.len(),
            lapsed: self.upstreams.lapsed(),
            requests: self.requests.len(),
            waiting: self.queues.values().map(WaitQueue::len).sum(),
            quarantined: self.quarantine.quarantined(now),
            begun_late: self.begun_late,
        }
    }

    fn gone(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        self.held.forget(number);
        self.forget_unbegun(number);
        let Some(state) = self.requests.remove(&number) else { return Vec::new() };
        info!("request={} outcome=caller-gone stage={:?}", state.attempt, state.stage);
        self.release(&state);
        self.pump(now, &state.service)
    }

    /// Frees the queue position or the upstream capacity that the request occupies.
    pub(super) fn release(&mut self, state: &RequestState) {
        match &state.stage {
            RequestStage::Waiting(rank) => {
                if let Some(queue) = self.queues.get_mut(&state.service) {
                    queue.remove(rank);
                }
            }
            RequestStage::Sent(upstream) => {
                self.upstreams.read(upstream, state.reading);
                self.upstreams.left(upstream);
            }
            RequestStage::Between => {}
        }
    }

    fn woke(&mut self, now: Moment) -> Vec<DirectEffect> {
        self.wake = None;
        self.settle_namings(now);
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

    /// The effect for the next moment at which something is due, unless an earlier wake-up is
    /// pending.
    fn next_wake(&mut self) -> Option<DirectEffect> {
        let wait_end = self.queues.values().filter_map(WaitQueue::next_overdue).min();
        let capacity = self.place_at.take();
        let hold_end = self.held.next_overdue();
        let verdict = self.quarantine.next_verdict();
        let peers_answer = self.word.waits_until();
        let moments =
            wait_end.into_iter().chain(capacity).chain(hold_end).chain(verdict).chain(peers_answer);
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
        let nonempty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<_> = nonempty.map(|(service, _)| service.clone()).collect();
        services.iter().flat_map(|service| self.pump(now, service)).collect()
    }
}
