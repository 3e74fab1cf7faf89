//! The reducer of an entry. It does no input or output: it takes events and returns effects.

use std::sync::Arc;

use log::info;
use mustardrill_types::{
    AttemptId, FastMap, FastSet, Generation, InstanceId, Millis, Moment, RequestKey, ResultCode,
    ServiceName,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::agent::WeightsProgress;
use crate::budget::RetryBudget;
use crate::claim::ClaimOutcome;
use crate::coordinator::{self, ClaimCoordinator};
use crate::crash_report_relay::CrashReportRelay;
use crate::demand::DemandRow;
use crate::document::{CatalogueDocument, CatalogueEntry};
use crate::edit::adopt;
use crate::entry::event::{
    AgentSync, ClaimOrder, EntryEffect, EntryEvent, EntrySettings, IncomingRequest, RequestId,
};
use crate::entry::request::{RequestStage, RequestState, RequestTable};
use crate::limit::{LimitTable, RoundDemand};
use crate::membership::{InstanceRecord, MemberTable};
use crate::quarantine::QuarantineTable;
use crate::rendezvous;
use crate::roster::EntryRoster;
use crate::routing::RoutingTable;

/// Retry-after for a caller whose claim could not be made because the store does not answer.
const RETRY_AFTER_CLAIM_UNAVAILABLE: Millis = Millis(2_000);

/// The period over which requests are counted to divide the customers' limits between entries.
const DEMAND_ROUND: Millis = Millis(1_000);

/// The state of an entry. It holds no bytes of requests or answers.
#[derive(Debug)]
pub struct EntryReducer {
    pub(super) settings: EntrySettings,
    pub(super) document: Arc<CatalogueDocument>,
    pub(super) members: MemberTable,
    pub(super) routing: RoutingTable,
    pub(super) requests: RequestTable,
    pub(super) limits: LimitTable,
    pub(super) budget: RetryBudget,
    agents: FastMap<InstanceId, AgentView>,
    /// By service, the instances that this entry sends heartbeats and requests to.
    pub(super) subsets: FastMap<ServiceName, Vec<InstanceId>>,
    /// The entries that divide the limits.
    roster: EntryRoster,
    /// The requests that this entry received in the last complete round, by customer and target.
    pub(super) demand: Vec<DemandRow>,
    pub(super) next_round: Moment,
    /// The number of the current demand round.
    demand_round: u64,
    pub(super) quarantine: QuarantineTable,
    pub(super) crashes: CrashReportRelay,
    /// Suspected requests that are held until the verdict on them.
    pub(super) awaiting_verdict: Vec<RequestId>,
    /// Whether a planned shutdown has started.
    pub(super) is_draining: bool,
    pub(super) random: SmallRng,
}

/// The state of the heartbeats to one agent.
#[derive(Debug, Default)]
struct AgentView {
    /// The catalogue generation that the agent has applied; 0 where it is unknown.
    generation: Generation,
    next_sync: Moment,
    /// The last demand round that was sent to the agent.
    sent_round: u64,
    /// Whether a heartbeat was sent that is not answered yet.
    is_sync_pending: bool,
    progress: Vec<WeightsProgress>,
}

impl EntryReducer {
    /// Creates an entry without catalogue and instances. `seed` is for random choices among
    /// upstreams, the spread of heartbeats, and attempt ids.
    pub fn new(settings: EntrySettings, seed: u64) -> Self {
        Self {
            document: Arc::default(),
            members: MemberTable::new(settings.members.clone()),
            routing: RoutingTable::new(settings.routing.clone()),
            requests: RequestTable::default(),
            limits: LimitTable::default(),
            budget: RetryBudget::new(settings.retry.clone()),
            agents: FastMap::default(),
            subsets: FastMap::default(),
            roster: EntryRoster::new(settings.own_id.clone()),
            demand: Vec::new(),
            next_round: Moment(0),
            demand_round: 1,
            // A crash report reaches an agent with one heartbeat and the other entries with their
            // next ones, so verdicts wait for two and a half heartbeat intervals.
            quarantine: QuarantineTable::new(Millis(settings.sync_every.0 * 5 / 2)),
            crashes: CrashReportRelay::default(),
            awaiting_verdict: Vec::new(),
            is_draining: false,
            random: SmallRng::seed_from_u64(seed),
            settings,
        }
    }

    /// Applies one event and returns the effects to carry out, in order.
    pub fn reduce(&mut self, now: Moment, event: EntryEvent) -> Vec<EntryEffect> {
        self.budget.fill(now, &self.roster);
        match event {
            EntryEvent::RequestArrived(incoming) => self.request_arrived(now, incoming),
            EntryEvent::CallerDisconnected(id) => self.caller_disconnected(now, id),
            EntryEvent::AttemptEnded(attempt, end, delivered) => {
                self.attempt_ended(now, attempt, &end, delivered)
            }
            EntryEvent::ClaimSettled(attempt, outcome) => self.claim_settled(now, attempt, outcome),
            EntryEvent::CatalogueReceived(document) => self.catalogue_received(now, document),
            EntryEvent::InstancesReceived(list) => self.instances_received(now, list),
            EntryEvent::Synced(sync) => self.synced(now, sync),
            EntryEvent::SyncFailed(id) => self.sync_failed(now, &id),
            EntryEvent::Delivered(id, bytes) => {
                if let Some(state) = self.requests.get_mut(id) {
                    state.delivered = bytes;
                }
                Vec::new()
            }
            EntryEvent::EntriesCounted(count) => {
                self.roster.record_count(count);
                Vec::new()
            }
            EntryEvent::EntriesListed(ids, wall) => {
                self.roster.record_list(now, wall, ids);
                Vec::new()
            }
            EntryEvent::Tick => self.tick(now),
            EntryEvent::Stop => {
                info!("stop decision=leave");
                self.is_draining = true;
                Vec::new()
            }
            EntryEvent::StopEnding => self.refuse_unanswered(now),
        }
    }

    /// The catalogue that this entry has applied.
    pub fn document(&self) -> &Arc<CatalogueDocument> {
        &self.document
    }

    /// The requests that this entry received in the last complete round, by customer and target.
    pub fn demand(&self) -> &[DemandRow] {
        &self.demand
    }

    /// The instance list, with the failures of heartbeats that this entry has seen.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The customers' limits and their current use, which the check of catalogue edits needs.
    pub fn limits(&self) -> &LimitTable {
        &self.limits
    }

    /// Whether the entry is draining and refuses new requests.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Whether no requests are in progress.
    pub fn is_drained(&self) -> bool {
        self.requests.is_empty()
    }

    /// The request that waits for an attempt's result; `None` where the attempt is late or unknown.
    pub fn request_of_attempt(&self, attempt: AttemptId) -> Option<RequestId> {
        self.requests.request_of_attempt(attempt)
    }

    /// The agents that this entry sends heartbeats to, each with the catalogue generation that it
    /// has applied and the transfer progress that it reported.
    pub fn agents(&self) -> impl Iterator<Item = (&InstanceId, Generation, &[WeightsProgress])> {
        self.agents.iter().map(|(id, view)| (id, view.generation, &*view.progress))
    }

    /// The load balancer's table, with the last report of each upstream.
    pub fn routing(&self) -> &RoutingTable {
        &self.routing
    }

    fn request_arrived(&mut self, now: Moment, incoming: IncomingRequest) -> Vec<EntryEffect> {
        let id = incoming.id;
        let entry = match self.admit(now, &incoming) {
            Ok(entry) => entry,
            Err((code, retry_after)) => {
                info!(
                    "admission request={id} customer={} target={} decision=refuse code={code}",
                    incoming.customer, incoming.target
                );
                return vec![EntryEffect::Reject { id, code, retry_after }];
            }
        };
        self.budget.earn();
        self.requests.insert(id, RequestState::new(incoming, entry.class));
        self.hold_suspect(now, id).unwrap_or_else(|| self.start_request(now, id))
    }

    /// Starts an admitted request: a non-idempotent one is claimed first, others are sent at once.
    pub(super) fn start_request(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get_mut(id) else { return Vec::new() };
        let Some(key) = state.key else { return self.send_attempt(now, id) };
        let attempt = AttemptId(self.random.random());
        state.stage = RequestStage::Claiming;
        state.claimant = Some(attempt);
        self.requests.bind_attempt(attempt, id);
        vec![EntryEffect::AcquireClaim(self.claim_order(now, key, attempt))]
    }

    /// Checks that the caller may make the request now and counts it against the customer's limits.
    fn admit(
        &mut self,
        now: Moment,
        incoming: &IncomingRequest,
    ) -> Result<CatalogueEntry, (ResultCode, Millis)> {
        if self.is_draining {
            return Err((ResultCode::Leaving, Millis(1)));
        }
        let found = self.document.entries.get(&incoming.target);
        let found = found.filter(|entry| entry.weights.is_some() == incoming.is_model);
        let Some(entry) = found.cloned() else {
            return Err((ResultCode::UnknownModel, Millis(0)));
        };
        if !entry.callers.allows(&incoming.customer) {
            return Err((ResultCode::NotAllowed, Millis(0)));
        }
        if incoming.deadline <= now {
            return Err((ResultCode::DeadlinePassed, Millis(0)));
        }
        let key = (incoming.customer.clone(), incoming.target.clone());
        let admitted = self.limits.admit(now, incoming.deadline, &key, entry.limits, &self.roster);
        admitted.map_err(|over| (ResultCode::OverLimit, over.retry_after))?;
        Ok(entry)
    }

    fn caller_disconnected(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        let Some(state) = self.remove_request(id) else { return Vec::new() };
        match state.stage {
            RequestStage::Sent(attempt, instance) => {
                self.routing.record_ended(now, &instance, true);
                vec![EntryEffect::Cancel(attempt)]
            }
            RequestStage::Claiming => self.release_claim(now, &state).into_iter().collect(),
            RequestStage::AwaitingVerdict => Vec::new(),
        }
    }

    /// A claim to request or release, with the shard's coordinators as this entry knows them now.
    pub(super) fn claim_order(
        &self,
        now: Moment,
        key: RequestKey,
        attempt: AttemptId,
    ) -> ClaimOrder {
        let shard = coordinator::shard_of(key, self.settings.claim_shards);
        let coordinators = coordinator::coordinators_of(now, &self.members, shard);
        let coordinators = coordinators.into_iter().map(|record| ClaimCoordinator {
            id: record.id.clone(),
            address: record.agent.clone(),
        });
        ClaimOrder { key, attempt, coordinators: coordinators.collect() }
    }

    fn claim_settled(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        outcome: ClaimOutcome,
    ) -> Vec<EntryEffect> {
        let Some(id) = self.requests.request_of_attempt(attempt) else { return Vec::new() };
        self.requests.unbind_attempt(attempt);
        info!("claim request={id} attempt={attempt} decision={outcome:?}");
        match outcome {
            ClaimOutcome::Granted => {
                self.reject_quarantined(now, id).unwrap_or_else(|| self.send_attempt(now, id))
            }
            ClaimOutcome::Taken => {
                // Another request holds the key, so this one has no claim to release.
                self.clear_claimant(id);
                self.reject(now, id, ResultCode::AlreadyClaimed, Millis(0))
            }
            ClaimOutcome::Unavailable => {
                // A coordinator that did not answer may still write the claim, so it is released.
                self.reject(now, id, ResultCode::ClaimUnavailable, RETRY_AFTER_CLAIM_UNAVAILABLE)
            }
        }
    }

    fn clear_claimant(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(id) {
            state.claimant = None;
        }
    }

    fn catalogue_received(
        &mut self,
        now: Moment,
        next: Arc<CatalogueDocument>,
    ) -> Vec<EntryEffect> {
        if !adopt(&mut self.document, next) {
            return Vec::new();
        }
        self.agents.values_mut().for_each(|view| view.next_sync = now);
        self.sync_due(now)
    }

    fn instances_received(&mut self, now: Moment, list: Vec<InstanceRecord>) -> Vec<EntryEffect> {
        if !self.members.replace(list) {
            return Vec::new();
        }
        self.subsets = self.select_subsets();
        let chosen: FastSet<_> = self.subsets.values().flatten().cloned().collect();
        let is_gone = |id: &&InstanceId| !chosen.contains(*id);
        let gone: Vec<_> = self.agents.keys().filter(is_gone).cloned().collect();
        for id in gone {
            self.agents.remove(&id);
            self.routing.remove(&id);
        }
        for id in chosen {
            self.agents
                .entry(id)
                .or_insert_with(|| AgentView { next_sync: now, ..AgentView::default() });
        }
        self.sync_due(now)
    }

    /// Selects, by rendezvous hashing, up to `subset` instances of each service to send heartbeats
    /// and requests to.
    fn select_subsets(&self) -> FastMap<ServiceName, Vec<InstanceId>> {
        let mut services: FastMap<ServiceName, Vec<&InstanceRecord>> = FastMap::default();
        for record in self.members.records() {
            services.entry(record.service.clone()).or_default().push(record);
        }
        let own = self.settings.own_id.as_str().as_bytes();
        let select = |records: Vec<&InstanceRecord>| {
            let ranked = rendezvous::ranked(own, &records, |record| record.id.as_str());
            ranked.iter().take(self.settings.subset).map(|record| record.id.clone()).collect()
        };
        services.into_iter().map(|(service, records)| (service, select(records))).collect()
    }

    fn synced(&mut self, now: Moment, sync: AgentSync) -> Vec<EntryEffect> {
        let Some(view) = self.agents.get_mut(&sync.id) else { return Vec::new() };
        view.is_sync_pending = false;
        // May be lower than before: a restarted agent has no catalogue, whatever its predecessor
        // had.
        view.generation = sync.generation;
        self.record_crash_reports(now, sync.crashes);
        let Some(view) = self.agents.get_mut(&sync.id) else { return Vec::new() };
        view.progress = sync.progress;
        self.update_limit_shares(&sync.demand, sync.reporting_entries);
        self.members.record_success(&sync.id);
        let is_local = self
            .members
            .get(&sync.id)
            .is_some_and(|record| record.data_centre == self.settings.data_centre);
        self.routing.record_report(now, &sync.id, is_local, sync.report);
        Vec::new()
    }

    /// Moves this entry's shares of the limits towards its part of the demand. `totals` is the sum
    /// over `reporting` entries, this one included; with none there is nothing to update from.
    fn update_limit_shares(&mut self, totals: &[DemandRow], reporting: u32) {
        if reporting == 0 {
            return;
        }
        for row in totals {
            let own = self.demand.iter().find(|mine| mine.key == row.key);
            let own = own.map_or(0, |mine| mine.requests);
            let all = estimate_total_demand(own, row.requests, reporting, self.roster.entries());
            let entry = self.document.entries.get(&row.key.1);
            let limit = entry.map_or(0, |entry| entry.limits.requests_per_second);
            let demand = RoundDemand { own, all, limit };
            self.limits.set_share(&row.key, demand, self.roster.entries());
        }
    }

    /// Ends the demand round where its time is over.
    fn close_demand_round(&mut self, now: Moment) {
        if now < self.next_round {
            return;
        }
        self.next_round = now + DEMAND_ROUND;
        self.demand_round += 1;
        let requests = self.limits.take_demand().into_iter().filter(|(_, requests)| *requests > 0);
        self.demand = requests.map(|(key, requests)| DemandRow { key, requests }).collect();
    }

    fn sync_failed(&mut self, now: Moment, id: &InstanceId) -> Vec<EntryEffect> {
        if let Some(view) = self.agents.get_mut(id) {
            view.is_sync_pending = false;
            // The agent may be restarting, and starts without a catalogue: it is sent again.
            view.generation = Generation(0);
        }
        self.members.record_failure(now, id);
        self.routing.record_unreachable(now, id);
        if self.members.is_live(now, id) {
            return Vec::new();
        }
        // A connection that is silent without being closed would hold the attempts until their
        // deadlines.
        self.abandon_attempts(now, id)
    }

    /// Sends a heartbeat to each agent for which one is due and none is unanswered.
    fn sync_due(&mut self, now: Moment) -> Vec<EntryEffect> {
        let every = self.settings.sync_every.0;
        let mut due: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, view)| !view.is_sync_pending && view.next_sync <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.sort_unstable();
        let mut effects = Vec::new();
        for id in due {
            let Some(record) = self.members.get(&id) else { continue };
            let address = record.agent.clone();
            let Some(view) = self.agents.get_mut(&id) else { continue };
            // Up to a quarter of the interval is added at random, so that the heartbeats of many
            // entries do not synchronise.
            let spread = self.random.random_range(0..=every / 4);
            view.next_sync = now + Millis(every + spread);
            view.is_sync_pending = true;
            let with_catalogue = view.generation < self.document.generation;
            // The demand changes once a round; it is not sent twice.
            let with_demand =
                std::mem::replace(&mut view.sent_round, self.demand_round) != self.demand_round;
            let crashes = self.crashes.active_reports(now);
            effects.push(EntryEffect::Sync { id, address, with_catalogue, with_demand, crashes });
        }
        effects
    }

    fn tick(&mut self, now: Moment) -> Vec<EntryEffect> {
        self.close_demand_round(now);
        let mut effects = self.apply_verdicts(now);
        for id in self.requests.past_deadline(now) {
            effects.extend(self.deadline_passed(now, id));
        }
        effects.extend(self.sync_due(now));
        effects
    }

    /// Ends a request whose deadline has passed.
    fn deadline_passed(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        self.abort(now, id, ResultCode::DeadlinePassed, Millis(0))
    }

    fn refuse_unanswered(&mut self, now: Moment) -> Vec<EntryEffect> {
        let unanswered = self.requests.unanswered().into_iter();
        unanswered.flat_map(|id| self.abort(now, id, ResultCode::Leaving, Millis(1))).collect()
    }

    /// Ends a request with `code`. If an attempt is in progress, it may have run, and the result is
    /// unknown.
    fn abort(
        &mut self,
        now: Moment,
        id: RequestId,
        code: ResultCode,
        retry_after: Millis,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get(id) else { return Vec::new() };
        let stage = state.stage.clone();
        let RequestStage::Sent(attempt, instance) = stage else {
            return self.reject(now, id, code, retry_after);
        };
        self.routing.record_ended(now, &instance, true);
        let mut effects = vec![EntryEffect::Cancel(attempt)];
        effects.extend(self.reject(now, id, ResultCode::Unknown, Millis(0)));
        effects
    }
}

/// Estimates a customer's requests to all `entries` from `reported`, the sum over the `reporting`
/// entries that an agent received demand from, this one included.
///
/// The mean of the other reporting entries is extrapolated to those that did not report. This
/// entry's own demand is not: a customer that uses only this entry would seem to send as much to
/// each of its peers. Where no other entry reported, nothing is known of them, and 0 is returned,
/// which gives equal shares.
fn estimate_total_demand(own: u32, reported: u32, reporting: u32, entries: usize) -> u32 {
    let (peers, reporting_peers) = (entries as u64 - 1, u64::from(reporting) - 1);
    if reporting_peers == 0 {
        return if peers == 0 { own } else { 0 };
    }
    let by_peers = u64::from(reported.saturating_sub(own)) * peers / reporting_peers;
    u64::from(own).saturating_add(by_peers).min(u64::from(u32::MAX)) as u32
}
