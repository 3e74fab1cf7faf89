//! One reducer over all events of an entry.

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
use crate::routing::RoutingTable;

/// When a caller may come back where the platform's service does not answer.
const CLAIM_RETRY: Millis = Millis(2_000);

/// How long a round of demand is, by which limits are shared.
const DEMAND_ROUND: Millis = Millis(1_000);

/// Everything that an entry knows; it holds no bytes of requests or answers.
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
    /// The agents of each service that this entry talks to.
    pub(super) subsets: FastMap<ServiceName, Vec<InstanceId>>,
    pub(super) entries: usize,
    /// What customers asked of this entry during the last round.
    pub(super) demand: Vec<DemandRow>,
    pub(super) next_round: Moment,
    /// The number of the round of demand.
    round: u64,
    /// Requests under which upstreams ended, and what is passed on of them.
    pub(super) quarantine: QuarantineTable,
    pub(super) crashes: CrashReportRelay,
    /// Requests that wait for the verdict on them.
    pub(super) undecided: Vec<RequestId>,
    pub(super) leaving: bool,
    pub(super) random: SmallRng,
}

/// What an entry knows of one agent that it talks to.
#[derive(Debug, Default)]
struct AgentView {
    generation: Generation,
    next_sync: Moment,
    /// The last round whose demand the agent was told.
    told_round: u64,
    pending: bool,
    progress: Vec<WeightsProgress>,
}

impl EntryReducer {
    /// An entry that knows nothing yet. `seed` decides between equals and makes attempt ids.
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
            entries: 1,
            demand: Vec::new(),
            next_round: Moment(0),
            round: 1,
            // A word goes to an agent with one heartbeat, and on with the next of each entry.
            quarantine: QuarantineTable::new(Millis(settings.sync_every.0 * 5 / 2)),
            crashes: CrashReportRelay::default(),
            undecided: Vec::new(),
            leaving: false,
            random: SmallRng::seed_from_u64(seed),
            settings,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn reduce(&mut self, now: Moment, event: EntryEvent) -> Vec<EntryEffect> {
        match event {
            EntryEvent::RequestArrived(incoming) => self.request_arrived(now, incoming),
            EntryEvent::CallerGone(id) => self.caller_gone(now, id),
            EntryEvent::AttemptEnded(attempt, end, delivered) => {
                self.attempt_ended(now, attempt, &end, delivered)
            }
            EntryEvent::ClaimSettled(attempt, outcome) => self.claim_settled(now, attempt, outcome),
            EntryEvent::CatalogueSeen(document) => self.catalogue_seen(now, document),
            EntryEvent::InstancesSeen(list) => self.instances_seen(now, list),
            EntryEvent::Synced(sync) => self.synced(now, sync),
            EntryEvent::SyncFailed(id) => self.sync_failed(now, &id),
            EntryEvent::EntriesCounted(count) => {
                self.entries = count.max(1);
                Vec::new()
            }
            EntryEvent::Tick => self.tick(now),
            EntryEvent::Stop => {
                info!("stop decision=leave");
                self.leaving = true;
                Vec::new()
            }
        }
    }

    /// The catalogue in force here.
    pub fn document(&self) -> &Arc<CatalogueDocument> {
        &self.document
    }

    /// What customers asked of this entry during the last round.
    pub fn demand(&self) -> &[DemandRow] {
        &self.demand
    }

    /// The members as this entry sees them.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The limits in use, for the check of edits.
    pub fn limits(&self) -> &LimitTable {
        &self.limits
    }

    /// Whether the entry takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether nothing is in progress.
    pub fn is_drained(&self) -> bool {
        self.requests.is_empty()
    }

    /// The request that awaits an attempt; nothing for a late or foreign one.
    pub fn awaits(&self, attempt: AttemptId) -> Option<RequestId> {
        self.requests.of_attempt(attempt)
    }

    /// The agents that this entry talks to, each with the generation in force there.
    pub fn agents(&self) -> impl Iterator<Item = (&InstanceId, Generation, &[WeightsProgress])> {
        self.agents.iter().map(|(id, view)| (id, view.generation, &*view.progress))
    }

    /// The upstreams' last reports.
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
        self.hold_suspect(now, id).unwrap_or_else(|| self.begin(now, id))
    }

    /// Asks for the claim of a request that was admitted, or sends one that needs none.
    pub(super) fn begin(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get_mut(id) else { return Vec::new() };
        let Some(key) = state.key else { return self.send(now, id) };
        let attempt = AttemptId(self.random.random());
        state.stage = RequestStage::Claiming;
        state.claimant = Some(attempt);
        self.requests.bind(attempt, id);
        vec![EntryEffect::AskClaim(self.claim_order(now, key, attempt))]
    }

    fn admit(
        &mut self,
        now: Moment,
        incoming: &IncomingRequest,
    ) -> Result<CatalogueEntry, (ResultCode, Millis)> {
        if self.leaving {
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
        let admitted = self.limits.admit(now, &key, entry.limits, self.entries);
        admitted.map_err(|over| (ResultCode::OverLimit, over.retry_after))?;
        Ok(entry)
    }

    fn caller_gone(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        let Some(state) = self.finish(id) else { return Vec::new() };
        match state.stage {
            RequestStage::Sent(attempt, instance) => {
                self.routing.record_ended(now, &instance, true);
                vec![EntryEffect::Cancel(attempt)]
            }
            RequestStage::Claiming => self.release_claim(now, &state).into_iter().collect(),
            RequestStage::Judged => Vec::new(),
        }
    }

    pub(super) fn claim_order(
        &self,
        now: Moment,
        key: RequestKey,
        attempt: AttemptId,
    ) -> ClaimOrder {
        let shard = coordinator::shard_of(key, self.settings.claim_shards);
        let keepers = coordinator::coordinators_of(now, &self.members, shard);
        let keepers = keepers.into_iter().map(|record| ClaimCoordinator {
            id: record.id.clone(),
            address: record.agent.clone(),
        });
        ClaimOrder { key, attempt, keepers: keepers.collect() }
    }

    fn claim_settled(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        outcome: ClaimOutcome,
    ) -> Vec<EntryEffect> {
        let Some(id) = self.requests.of_attempt(attempt) else { return Vec::new() };
        self.requests.unbind(attempt);
        info!("claim request={id} attempt={attempt} decision={outcome:?}");
        match outcome {
            ClaimOutcome::Granted => {
                self.reject_quarantined(now, id).unwrap_or_else(|| self.send(now, id))
            }
            ClaimOutcome::Taken => {
                // The key is another sending's: nothing of ours is to be taken back.
                self.forget_claim(id);
                self.reject(now, id, ResultCode::AlreadyClaimed, Millis(0))
            }
            ClaimOutcome::Unavailable => {
                // A keeper that did not answer may still write it: it is taken back as well.
                self.reject(now, id, ResultCode::ClaimUnavailable, CLAIM_RETRY)
            }
        }
    }

    fn forget_claim(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(id) {
            state.claimant = None;
        }
    }

    fn catalogue_seen(&mut self, now: Moment, next: Arc<CatalogueDocument>) -> Vec<EntryEffect> {
        if !adopt(&mut self.document, next) {
            return Vec::new();
        }
        self.agents.values_mut().for_each(|view| view.next_sync = now);
        self.sync_due(now)
    }

    fn instances_seen(&mut self, now: Moment, list: Vec<InstanceRecord>) -> Vec<EntryEffect> {
        if !self.members.replace(list) {
            return Vec::new();
        }
        self.subsets = self.choose_subsets();
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

    /// The agents that this entry talks to: of each service a few, by rendezvous hashing.
    fn choose_subsets(&self) -> FastMap<ServiceName, Vec<InstanceId>> {
        let mut services: FastMap<ServiceName, Vec<&InstanceRecord>> = FastMap::default();
        for record in self.members.records() {
            services.entry(record.service.clone()).or_default().push(record);
        }
        let own = self.settings.own.as_str().as_bytes();
        let choose = |records: Vec<&InstanceRecord>| {
            let ranked = rendezvous::ranked(own, &records, |record| record.id.as_str());
            ranked.iter().take(self.settings.subset).map(|record| record.id.clone()).collect()
        };
        services.into_iter().map(|(service, records)| (service, choose(records))).collect()
    }

    fn synced(&mut self, now: Moment, sync: AgentSync) -> Vec<EntryEffect> {
        let Some(view) = self.agents.get_mut(&sync.id) else { return Vec::new() };
        view.pending = false;
        // An agent that was replaced begins anew, whatever its forerunner had.
        view.generation = sync.generation;
        self.crashes_heard(now, sync.crashes);
        let Some(view) = self.agents.get_mut(&sync.id) else { return Vec::new() };
        view.progress = sync.progress;
        self.share_limits(&sync.demand, sync.entries);
        self.members.record_success(&sync.id);
        let near = self
            .members
            .get(&sync.id)
            .is_some_and(|record| record.data_centre == self.settings.data_centre);
        self.routing.record_report(now, &sync.id, near, sync.report);
        Vec::new()
    }

    /// Moves this entry's shares of the limits towards its part of the demand.
    fn share_limits(&mut self, totals: &[DemandRow], heard: u32) {
        if heard == 0 {
            return;
        }
        for row in totals {
            let own = self.demand.iter().find(|mine| mine.key == row.key);
            let own = own.map_or(0, |mine| mine.requests);
            let all = demand_of_all(own, row.requests, heard, self.entries);
            let entry = self.document.entries.get(&row.key.1);
            let limit = entry.map_or(0, |entry| entry.limits.requests_per_second);
            let demand = RoundDemand { own, all, limit };
            self.limits.set_share(&row.key, demand, self.entries);
        }
    }

    /// Ends a round of demand.
    fn count_demand(&mut self, now: Moment) {
        if now < self.next_round {
            return;
        }
        self.next_round = now + DEMAND_ROUND;
        self.round += 1;
        let requests = self.limits.take_demand().into_iter().filter(|(_, requests)| *requests > 0);
        self.demand = requests.map(|(key, requests)| DemandRow { key, requests }).collect();
    }

    fn sync_failed(&mut self, now: Moment, id: &InstanceId) -> Vec<EntryEffect> {
        if let Some(view) = self.agents.get_mut(id) {
            view.pending = false;
            // A replaced agent starts with nothing, so it is sent the catalogue again.
            view.generation = Generation(0);
        }
        self.members.record_failure(now, id);
        self.routing.record_unreachable(now, id);
        if self.members.is_live(now, id) {
            return Vec::new();
        }
        // A connection that is silent without being closed would hold them until their deadlines.
        let attempts = self.requests.repeatable_at(id);
        attempts.into_iter().map(EntryEffect::Abandon).collect()
    }

    fn sync_due(&mut self, now: Moment) -> Vec<EntryEffect> {
        let every = self.settings.sync_every.0;
        let mut due: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, view)| !view.pending && view.next_sync <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.sort_unstable();
        let mut effects = Vec::new();
        for id in due {
            let Some(record) = self.members.get(&id) else { continue };
            let address = record.agent.clone();
            let Some(view) = self.agents.get_mut(&id) else { continue };
            // Spread by a quarter, so that heartbeats of many entries don't fall into step.
            let spread = self.random.random_range(0..=every / 4);
            view.next_sync = now + Millis(every + spread);
            view.pending = true;
            let with_catalogue = view.generation < self.document.generation;
            // More often than once a round there is nothing new to tell.
            let with_demand = std::mem::replace(&mut view.told_round, self.round) != self.round;
            let crashes = self.crashes.active_reports(now);
            effects.push(EntryEffect::Sync { id, address, with_catalogue, with_demand, crashes });
        }
        effects
    }

    fn tick(&mut self, now: Moment) -> Vec<EntryEffect> {
        self.count_demand(now);
        let mut effects = self.decide_suspects(now);
        for id in self.requests.overdue(now) {
            effects.extend(self.overdue(now, id));
        }
        effects.extend(self.sync_due(now));
        effects
    }

    /// Ends a request whose deadline passed. What was sent may have run.
    fn overdue(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get(id) else { return Vec::new() };
        let stage = state.stage.clone();
        let RequestStage::Sent(attempt, instance) = stage else {
            return self.reject(now, id, ResultCode::DeadlinePassed, Millis(0));
        };
        self.routing.record_ended(now, &instance, true);
        let mut effects = vec![EntryEffect::Cancel(attempt)];
        effects.extend(self.reject(now, id, ResultCode::Unknown, Millis(0)));
        effects
    }
}

/// What was asked of all entries, from an agent that heard of some of them, this one included.
///
/// The others that were heard stand for those that were not. This entry stands for itself alone:
/// counted among them, a customer of one entry would seem to ask the same of all. Where nobody
/// else was heard nothing is known, and zero stands for equal shares.
fn demand_of_all(own: u32, asked: u32, heard: u32, entries: usize) -> u32 {
    let (others, others_heard) = (entries as u64 - 1, u64::from(heard) - 1);
    if others_heard == 0 {
        return if others == 0 { own } else { 0 };
    }
    let of_others = u64::from(asked.saturating_sub(own)) * others / others_heard;
    u64::from(own).saturating_add(of_others).min(u64::from(u32::MAX)) as u32
}
