//! The reducer of an entry in direct mode: one state machine over all its events.

use std::sync::Arc;

use log::info;
use mustardrill_types::{
    FastMap, FastSet, InstanceId, Millis, Moment, ServiceName, StoreEra, StoreRevision,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::direct::admission::counts::AdmissionCounts;
use crate::direct::admission::demand::ServiceDemand;
use crate::direct::admit::ConfigStanding;
use crate::direct::event::{
    DirectEffect, DirectEvent, DirectSettings, EngineNotice, RequestNumber, StatusRow,
};
use crate::direct::fleet::entry_counter::EntryCounter;
use crate::direct::fleet::load_broadcast::{LoadRows, WaitRows};
use crate::direct::fleet::own_listing::ListingState;
use crate::direct::fleet::update::{FleetChange, FleetUpdate, PeerRecord, UnreadableConfiguration};
use crate::direct::fleet::upstream_table::UpstreamTable;
use crate::direct::intake::report::IntakeBroadcaster;
use crate::direct::placement::pace::PaceReport;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::retries::crash_broadcast::CrashBroadcaster;
use crate::direct::retries::membership::AllowanceMembership;
use crate::direct::retries::part_objections::PartObjections;
use crate::direct::retries::retry_budget::RetryWindow;
use crate::direct::retries::unattributed_runs::UnattributedRuns;
use crate::direct::route::RouteDocument;
use crate::direct::silence::SilenceAllowance;
use crate::direct::store::availability::{AvailabilitySpan, StoreAvailability, StoreOutage};
use crate::direct::store::freshness::FreshnessClock;
use crate::direct::store::generation_report::GenerationReport;
use crate::direct::versions::announcements::AnnouncementInquiry;
use crate::direct::versions::load_record::LoadRecord;
use crate::direct::versions::superseded::UnstartedAttempts;
use crate::direct::versions::table::{AnnouncementReport, VersionTable};
use crate::direct::waiting::held_requests::HeldRequests;
use crate::direct::waiting::queue::WaitQueue;
use crate::quarantine::QuarantineTable;

/// How long an agent's notice that its engine is loading counts.
///
/// Loading takes less; the limit keeps an agent that dies meanwhile from leaving its engine idle.
const LOADING_TIMEOUT: Millis = Millis(5_000);

/// How long an agent's notice that newer weights arrive soon counts: about the time for the last
/// third of a copy, reading it back and loading it.
const UPDATE_PENDING_TIMEOUT: Millis = Millis(2_500);

/// How long to wait for peers' reports on a crash: peers look for crashes every 10 ms, and a lost
/// report is sent again within 60 ms.
const CRASH_REPORT_WAIT: Millis = Millis(80);

/// How often peers are queried while requests wait for what the peers know, or may be sent in vain.
const URGENT_QUERY_INTERVAL: Millis = Millis(50);

/// How often peers are queried for what matters only within some seconds.
const QUERY_INTERVAL: Millis = Millis(250);

/// How long a version's announcement is shared with peers, as a multiple of `version_bound`. A peer
/// that returns after that has older announcements only.
const ANNOUNCEMENT_RETENTION_BOUNDS: u64 = 3;

/// The complete decision state of one entry.
#[derive(Debug)]
pub struct DirectReducer {
    pub(super) settings: DirectSettings,
    pub(super) document: Option<Arc<RouteDocument>>,
    /// When the store last answered.
    pub(super) store_freshness: FreshnessClock,
    /// When the store last answered at all.
    pub(super) store_contact: FreshnessClock,
    /// When the configuration in force was last known to be the operator's newest.
    pub(super) config_freshness: FreshnessClock,
    /// A newer configuration than the one in force that cannot be decoded.
    pub(super) unreadable_config: Option<UnreadableConfiguration>,
    /// Until this moment a store restored from an older copy may lack what the operator wrote.
    pub(super) store_incomplete_until: Moment,
    pub(super) upstreams: UpstreamTable,
    pub(super) versions: VersionTable,
    /// Attempts on superseded weights whose answer has not started.
    pub(super) unstarted_attempts: UnstartedAttempts,
    /// What peers are asked about announcements.
    pub(super) announcement_inquiry: AnnouncementInquiry,
    /// Answers that started on superseded weights after the allowed time.
    pub(super) started_late: u64,
    /// Beliefs in the weights of upstreams that an answer contradicted.
    pub(super) contradicted_beliefs: u64,
    pub(super) requests: FastMap<RequestNumber, RequestState>,
    pub(super) queues: FastMap<ServiceName, WaitQueue>,
    /// Demand and room of the services whose kinds of requests differ in urgency.
    pub(super) demands: FastMap<ServiceName, ServiceDemand>,
    pub(super) admission_counts: AdmissionCounts,
    pub(super) retry_windows: FastMap<ServiceName, RetryWindow>,
    /// Second attempts that silence alone may cause, by service.
    pub(super) silence_allowances: FastMap<ServiceName, SilenceAllowance>,
    pub(super) random: SmallRng,
    /// The registered peer entries.
    pub(super) peers: Vec<PeerRecord>,
    pub(super) entry_counter: EntryCounter,
    /// Whether the list of entries names this one.
    pub(super) own_listing: ListingState,
    /// The store revision that was read last.
    pub(super) store_revision: StoreRevision,
    pub(super) store_era: StoreEra,
    /// What peers report about the newest configuration.
    pub(super) peer_generation: GenerationReport,
    /// Peers that are missing in a store restored from an older copy.
    pub(super) unconfirmed_peers: FastSet<InstanceId>,
    /// When the store answered last.
    pub(super) store_answered_at: Moment,
    /// The latest time in which calls to the store failed.
    pub(super) store_outage: Option<StoreOutage>,
    /// Whether the last call to the store failed.
    pub(super) is_store_unreachable: bool,
    /// For how long the store has been answering the entries.
    pub(super) store_availability: StoreAvailability,
    /// Requests held until there is a current configuration.
    pub(super) held_requests: HeldRequests,
    /// Requests suspected of crashing upstreams.
    pub(super) quarantine: QuarantineTable,
    /// Suspected requests held until it is decided whether they may run.
    pub(super) undecided_requests: Vec<RequestNumber>,
    /// Runs whose upstreams may have crashed.
    pub(super) unattributed_runs: UnattributedRuns,
    /// Objections to suspicions of sound parts, for the peer entries.
    pub(super) part_objections: PartObjections,
    /// Crash reports for the peer entries.
    pub(super) crash_reports: CrashBroadcaster,
    /// When limits of upstreams were last reported to the peer entries.
    pub(super) intake_reports: IntakeBroadcaster,
    /// The peers that share with this entry what is bounded over all entries.
    pub(super) live_peers: Vec<InstanceId>,
    /// Whether this entry may spend its part of the retry allowance.
    pub(super) membership: AllowanceMembership,
    /// When `live_peers` and the shares of limited upstreams were last computed.
    pub(super) shares_at: Moment,
    /// When capacity becomes available that waiting requests may take.
    pub(super) capacity_at: Option<Moment>,
    /// The pending `DirectEffect::SetTimer`, so that no later one is requested.
    armed_timer: Option<Moment>,
}

impl DirectReducer {
    /// Starts without a configuration. `seed` initializes the random choices between equals.
    pub fn new(settings: DirectSettings, seed: u64) -> Self {
        Self {
            settings,
            document: None,
            store_freshness: FreshnessClock::default(),
            store_contact: FreshnessClock::default(),
            config_freshness: FreshnessClock::default(),
            unreadable_config: None,
            store_incomplete_until: Moment(0),
            upstreams: UpstreamTable::default(),
            versions: VersionTable::default(),
            unstarted_attempts: UnstartedAttempts::default(),
            announcement_inquiry: AnnouncementInquiry::default(),
            started_late: 0,
            contradicted_beliefs: 0,
            requests: FastMap::default(),
            queues: FastMap::default(),
            demands: FastMap::default(),
            admission_counts: AdmissionCounts::default(),
            retry_windows: FastMap::default(),
            silence_allowances: FastMap::default(),
            random: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            entry_counter: EntryCounter::default(),
            own_listing: ListingState::default(),
            store_revision: StoreRevision::default(),
            store_era: StoreEra::default(),
            peer_generation: GenerationReport::default(),
            unconfirmed_peers: FastSet::default(),
            store_answered_at: Moment(0),
            store_outage: None,
            is_store_unreachable: false,
            store_availability: StoreAvailability::default(),
            held_requests: HeldRequests::default(),
            quarantine: QuarantineTable::new(CRASH_REPORT_WAIT),
            undecided_requests: Vec::new(),
            unattributed_runs: UnattributedRuns::default(),
            part_objections: PartObjections::default(),
            crash_reports: CrashBroadcaster::default(),
            intake_reports: IntakeBroadcaster::default(),
            live_peers: Vec::new(),
            membership: AllowanceMembership::default(),
            shares_at: Moment(0),
            capacity_at: None,
            armed_timer: None,
        }
    }

    /// Applies an event at `now` and returns the effects to carry out.
    pub fn reduce(&mut self, now: Moment, event: DirectEvent) -> Vec<DirectEffect> {
        self.upstreams.peer_loads.expire_silent(now, self.settings.peer_load_timeout);
        self.refresh_shares(now);
        let mut effects = match event {
            DirectEvent::RequestArrived(request) => self.admit_arrival(now, request),
            DirectEvent::CallerGone(number) => self.caller_gone(now, number),
            DirectEvent::AnswerStarted(number, load, version) => {
                self.record_answer_start(now, number, load, version)
            }
            DirectEvent::UpstreamStated(number, statement) => {
                self.record_statement(now, number, &statement)
            }
            DirectEvent::IntakeReportsReceived(from, reports) => {
                self.receive_intake_reports(now, &from, &reports)
            }
            DirectEvent::AttemptSilent(number, report) => self.record_silence(now, number, report),
            DirectEvent::AttemptHeard(number) => self.record_heard(now, number),
            DirectEvent::AttemptWon(number) => self.settle_race(now, number),
            DirectEvent::AttemptEnded(number, outcome) => self.finish_attempt(now, number, outcome),
            DirectEvent::StoreAnswered(update, sent) => self.apply_fleet_update(now, update, sent),
            DirectEvent::StoreReadThrough(moment) => self.confirm_read(now, moment),
            DirectEvent::OwnListingRead(is_listed) => {
                self.own_listing.record(now, is_listed);
                Vec::new()
            }
            DirectEvent::StoreFailed => self.record_store_failure(now),
            DirectEvent::PeerLoadReceived(load) => {
                if !self.entry_counter.record_message(now, &load.from, &self.peers) {
                    return Vec::new();
                }
                self.record_peer_load(now, load);
                self.dispatch_all_waiting(now)
            }
            DirectEvent::AvailabilityReceived(span) => {
                self.announcement_inquiry.record_answer();
                self.store_availability.merge_peer_span(span, self.settings.registration_expiry);
                self.remove_unreturned(now);
                self.settle_announcements(now);
                Vec::new()
            }
            DirectEvent::AnnouncementsReceived(reports) => {
                self.receive_announcement_reports(now, &reports);
                Vec::new()
            }
            DirectEvent::GenerationReceived(generation) => {
                self.peer_generation.record_report(now, generation);
                self.release_all_held(now)
            }
            DirectEvent::CrashReportReceived(report) => self.receive_crash_report(now, report),
            DirectEvent::EngineNoticeReceived { address, model, start, notice } => {
                if let EngineNotice::Proven(version, number) = notice {
                    let start = start.unwrap_or_default();
                    let record = LoadRecord::proven(address, start, number, &model, version);
                    self.upstreams.loads.apply(record);
                }
                if !self.upstreams.accepts_notice(now, address, &model, start, notice) {
                    return Vec::new();
                }
                let Some(state) = self.upstreams.by_address(address) else { return Vec::new() };
                match notice {
                    EngineNotice::UpdatePending => {
                        state.reload_expected_until = now + UPDATE_PENDING_TIMEOUT
                    }
                    EngineNotice::LoadingIn(after) => state.reload_at = Some(now + after),
                    EngineNotice::Loading => state.paused_until = now + LOADING_TIMEOUT,
                    EngineNotice::Serving(version) | EngineNotice::Proven(version, _) => {
                        state.record_resume(now, &model, version, start)
                    }
                }
                info!(
                    "engine instance={} model={model} word={notice} source=agent",
                    state.record.id
                );
                self.dispatch_all_waiting(now)
            }
            DirectEvent::TimerFired => self.handle_timer(now),
        };
        effects.extend(self.decide_suspects(now));
        effects.extend(self.withdraw_overdue_attempts(now));
        effects.extend(self.next_timer());
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
    pub fn outstanding_load(&self) -> LoadRows {
        let ids = self.upstreams.ids().into_iter();
        let counted = ids.filter_map(|id| Some((self.upstreams.get(&id)?.own_load, id)));
        counted.filter(|(own, _)| own.requests > 0).map(|(own, id)| (id, own)).collect()
    }

    /// What upstreams have just stated of their pace, for the broadcast to peers.
    pub fn pace_reports(&self, now: Moment) -> Vec<PaceReport> {
        self.upstreams.pace_reports(now)
    }

    /// How many requests wait here for each service, for the broadcast to peers.
    pub fn waiting_counts(&self) -> WaitRows {
        let nonempty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        nonempty.map(|(service, queue)| (service.clone(), queue.len() as u32)).collect()
    }

    /// For how long the store has been answering, for the report to peers.
    pub fn store_availability_span(&self) -> Option<AvailabilitySpan> {
        self.store_availability.span()
    }

    /// How often peers are to be queried, `None` for not at all. Soon where peers may know that
    /// listed upstreams have left, or know a newer configuration than the store gave this entry at
    /// its start. More rarely while none has answered yet, or where peers may know of versions or
    /// of when they were announced.
    pub fn peer_query_interval(&self, now: Moment) -> Option<Millis> {
        let may_have_lost_registrations = self.reregistration_deadline().is_some();
        if self.peer_generation.is_awaited(now)
            || self.announcement_inquiry.is_urgent()
            || (may_have_lost_registrations && self.upstreams.expired_count() > 0)
        {
            return Some(URGENT_QUERY_INTERVAL);
        }
        let may_miss_versions =
            self.is_store_unreachable || self.announcement_inquiry.is_polling(now);
        (may_miss_versions || self.peer_generation.should_ask(now)).then_some(QUERY_INTERVAL)
    }

    /// When versions were announced that may not have superseded all others yet, as far as this
    /// entry knows.
    pub fn announcements(&self, now: Moment) -> Vec<AnnouncementReport> {
        self.versions
            .reports(now - Millis(ANNOUNCEMENT_RETENTION_BOUNDS * self.settings.version_bound.0))
    }

    /// A complete snapshot of the fleet as this entry knows it, for agents that start.
    pub fn fleet_snapshot(&self) -> FleetUpdate {
        let document = self.document.iter().cloned().map(FleetChange::Configured);
        let named = self.versions.all_newest();
        let named = named.map(|(model, version)| FleetChange::VersionAnnounced(model, version));
        let ids = self.upstreams.ids().into_iter();
        let records = ids.filter_map(|id| Some(self.upstreams.get(&id)?.record.clone()));
        let peers = self.peers.iter().cloned().map(FleetChange::Peer);
        let changes = document.chain(named).chain(records.map(FleetChange::Upstream)).chain(peers);
        FleetUpdate {
            changes: changes.collect(),
            revision: self.store_revision,
            era: self.store_era,
            is_snapshot: true,
            may_continue: false,
        }
    }

    /// Whether the load balancer should send callers here: the configuration is confirmed as
    /// current.
    pub fn is_ready(&self, now: Moment) -> bool {
        let standing = self.document.as_ref().map(|document| self.config_standing(now, document));
        standing.is_some_and(|standing| standing != ConfigStanding::Unconfirmed)
    }

    /// The entry's state for operators and the readiness check.
    pub fn status(&self, now: Moment) -> StatusRow {
        StatusRow {
            generation: self.document.as_ref().map(|document| document.generation),
            confirmed_ago: self.config_freshness.age(now),
            is_config_unreadable: self.unreadable_config.is_some(),
            era: self.store_era,
            upstreams: self.upstreams.len(),
            expired: self.upstreams.expired_count(),
            requests: self.requests.len(),
            waiting: self.queues.values().map(WaitQueue::len).sum(),
            leaving: self.upstreams.leaving_count(),
            resting: self.upstreams.resting_count(now),
            limited: self.upstreams.limited_count(),
            evacuations: self.upstreams.evacuations.len(),
            evacuated: self.upstreams.evacuated_count(),
            cold: self.upstreams.cold_count(),
            unproven_loads: self.upstreams.loads.unproven_count(),
            quarantined: self.quarantine.quarantined_count(now),
            quarantined_parts: self.quarantine.active_parts(now).len(),
            suspected_parts: self.quarantine.part_suspect_count(),
            started_late: self.started_late,
            contradicted_beliefs: self.contradicted_beliefs,
            admission: self.admission_counts,
        }
    }

    fn caller_gone(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        self.held_requests.forget(number);
        let mut effects = Vec::new();
        for attempt in [number, number.sibling()] {
            let Some(state) = self.drop_attempt(now, attempt) else { continue };
            info!("request={} outcome=caller-gone stage={:?}", state.attempt_id, state.stage);
            effects.extend(self.dispatch_waiting(now, &state.service));
        }
        effects
    }

    /// Frees the queue position or the upstream capacity that the request occupies, and its retry
    /// if that was not sent.
    pub(super) fn release_resources(&mut self, state: &mut RequestState) {
        self.release_grant(state);
        match &state.stage {
            RequestStage::Waiting(rank) => {
                if let Some(queue) = self.queues.get_mut(&state.service) {
                    queue.remove(rank);
                }
            }
            RequestStage::Sent(upstream) => {
                self.upstreams.record_prefill_end(upstream, state.pending_prefill);
                self.upstreams.record_finished(upstream, state.sent_at);
            }
            RequestStage::Between => {}
        }
    }

    fn handle_timer(&mut self, now: Moment) -> Vec<DirectEffect> {
        self.armed_timer = None;
        self.settle_announcements(now);
        let mut effects = Vec::new();
        for service in self.queues.keys().cloned().collect::<Vec<_>>() {
            let Some(queue) = self.queues.get_mut(&service) else { continue };
            for rank in queue.take_overdue(now) {
                effects.extend(self.refuse_overdue(now, rank.number));
            }
        }
        if self.peer_generation.end_wait(now) {
            effects.extend(self.release_all_held(now));
        }
        for request in self.held_requests.take_overdue(now) {
            effects.extend(self.release_held(now, request));
        }
        effects.extend(self.dispatch_all_waiting(now));
        effects
    }

    /// The effect for the next moment at which something is due, unless an earlier wake-up is
    /// pending.
    fn next_timer(&mut self) -> Option<DirectEffect> {
        let wait_end = self.queues.values().filter_map(WaitQueue::next_overdue).min();
        let capacity = self.capacity_at.take();
        let hold_end = self.held_requests.next_overdue();
        let verdict = self.quarantine.next_verdict();
        let peers_answer = self.peer_generation.wait_deadline();
        let moments =
            wait_end.into_iter().chain(capacity).chain(hold_end).chain(verdict).chain(peers_answer);
        let moments = moments
            .chain(self.announcement_inquiry.next_decision())
            .chain(self.unstarted_attempts.next_overdue());
        let next = moments.min()?;
        if self.armed_timer.is_some_and(|wake| wake <= next) {
            return None;
        }
        self.armed_timer = Some(next);
        Some(DirectEffect::SetTimer(next))
    }

    pub(super) fn dispatch_all_waiting(&mut self, now: Moment) -> Vec<DirectEffect> {
        let nonempty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<_> = nonempty.map(|(service, _)| service.clone()).collect();
        services.iter().flat_map(|service| self.dispatch_waiting(now, service)).collect()
    }
}
