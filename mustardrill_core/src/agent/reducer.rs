//! The reducer that handles all events of an agent.

use std::sync::Arc;

use log::info;
use mustardrill_types::{
    AttemptId, ChunkIndex, FastMap, Generation, InstanceId, ManifestDigest, Millis, Moment,
    ResultCode,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission::{Admission, AdmissionQueue};
use crate::agent::event::{AgentEffect, AgentEvent, AgentSettings, WeightsProgress};
use crate::agent::weights_table::WeightsTable;
use crate::claim::{ClaimBatch, ClaimEffect};
use crate::crash_report_relay::CrashReportRelay;
use crate::demand::DemandAggregator;
use crate::document::{CatalogueDocument, RequestClass};
use crate::edit::adopt;
use crate::manifest::ChunkBitmap;
use crate::membership::MemberTable;
use crate::ownership::{OwnerAnswer, OwnerLease};
use crate::quarantine::CrashReport;
use crate::refusal::AttemptRefusal;

/// The state of an agent; it holds no bytes of weights or requests.
#[derive(Debug)]
pub struct AgentReducer {
    document: Arc<CatalogueDocument>,
    members: MemberTable,
    weights: WeightsTable,
    owner: OwnerLease,
    queue: AdmissionQueue,
    attempts: FastMap<AttemptId, AttemptState>,
    demand: DemandAggregator,
    crashes: CrashReportRelay,
    claims: ClaimBatch,
    /// When the last claim arrived and the wall clock in seconds that it carried.
    claim_wall_clock: Option<(Moment, u64)>,
    is_draining: bool,
    /// When a delayed request may start, if a wake-up is scheduled for it.
    wake_at: Option<Moment>,
    is_engine: bool,
    random: SmallRng,
    next_refresh: Moment,
}

#[derive(Debug, Clone, Copy)]
struct AttemptState {
    pinned: Option<ManifestDigest>,
    arrived_at: Moment,
    is_finished: bool,
}

/// How long a finished attempt is kept, so that a delayed duplicate of it is not run.
const ATTEMPT_RETENTION: Millis = Millis(120_000);

/// How often live instances are determined again, as suspicion of dead instances expires.
const REFRESH_INTERVAL: Millis = Millis(1_000);

impl AgentReducer {
    /// Creates an agent without any state. `seed` drives the random choices between equal
    /// candidates.
    pub fn new(now: Moment, settings: AgentSettings, seed: u64) -> Self {
        Self {
            document: Arc::default(),
            members: MemberTable::new(settings.members.clone()),
            owner: OwnerLease::new(now, settings.owner.clone()),
            queue: AdmissionQueue::new(settings.admission.clone()),
            attempts: FastMap::default(),
            demand: DemandAggregator::default(),
            crashes: CrashReportRelay::default(),
            claims: ClaimBatch::new(settings.claim.clone()),
            claim_wall_clock: None,
            is_draining: false,
            wake_at: None,
            is_engine: settings.is_engine,
            random: SmallRng::seed_from_u64(seed),
            next_refresh: now,
            weights: WeightsTable::new(settings, seed),
        }
    }

    /// Handles one event and returns the effects to carry out.
    pub fn reduce(&mut self, now: Moment, event: AgentEvent) -> Vec<AgentEffect> {
        match event {
            AgentEvent::CatalogueReceived(document) => self.apply_catalogue(now, document),
            AgentEvent::InstancesRead(list) => self.apply_instances(now, list),
            AgentEvent::ManifestLoaded(manifest, digest) => {
                self.weights.manifest_loaded(now, manifest, digest, &self.members)
            }
            AgentEvent::ManifestFailed(digest, reason) => {
                self.weights.manifest_failed(now, digest, &reason);
                Vec::new()
            }
            AgentEvent::HoldingsReceived { digest, id, bitmap, queue, serving } => {
                self.members.record_success(&id);
                self.weights.holdings_received(now, digest, &id, bitmap, queue, serving)
            }
            AgentEvent::PeerSilent(id, timeout) => {
                self.members.record_silence(now, now - timeout, &id);
                self.weights.peer_failed(now, &id);
                Vec::new()
            }
            AgentEvent::PeerFailed(id) => {
                self.members.record_failure(now, &id);
                self.weights.peer_failed(now, &id);
                Vec::new()
            }
            AgentEvent::FetchEnded { digest, index, source, outcome } => {
                self.weights.chunk_fetch_ended(now, digest, index, &source, &outcome)
            }
            AgentEvent::EnginePolled(report) => {
                let mut effects = self.weights.engine_observed(now, report, &self.members);
                effects.extend(self.advance_weights(now));
                effects
            }
            AgentEvent::LoadAnswered(digest, result) => {
                self.weights.load_answered(now, digest, result)
            }
            AgentEvent::OwnerAnswered(answer) => self.owner_answered(now, answer),
            AgentEvent::RequestArrived { attempt, class, pinned, deadline } => {
                self.request_arrived(now, attempt, class, pinned, deadline)
            }
            AgentEvent::RequestWithdrawn(attempt) => self.request_withdrawn(now, attempt),
            AgentEvent::RequestFinished(attempt) => self.request_finished(now, attempt),
            AgentEvent::DemandReported(entry, rows) => {
                self.demand.record_report(now, entry, rows);
                Vec::new()
            }
            AgentEvent::CrashesReported(reports) => {
                reports.into_iter().for_each(|report| self.crashes.record(now, report));
                Vec::new()
            }
            AgentEvent::ClaimRequested(key, attempt, wall_s) => {
                self.claim_wall_clock = Some((now, wall_s));
                claim_effects(self.claims.claim(now, wall_s, key, attempt))
            }
            AgentEvent::ClaimReleased(key, attempt, wall_s) => {
                self.claim_wall_clock = Some((now, wall_s));
                claim_effects(self.claims.release(now, wall_s, key, attempt))
            }
            AgentEvent::ClaimAnswered(shard, answer) => {
                let wall_s = self.wall_s(now);
                claim_effects(self.claims.handle_response(now, wall_s, shard, answer))
            }
            AgentEvent::Tick => self.tick(now),
            AgentEvent::Woke => {
                self.wake_at = None;
                self.run_next(now)
            }
            AgentEvent::Stop => self.stop(),
        }
    }

    /// The catalogue applied here.
    pub fn document(&self) -> &Arc<CatalogueDocument> {
        &self.document
    }

    /// Recent customer demand, as reported by all entries.
    pub fn demand(&self) -> &DemandAggregator {
        &self.demand
    }

    /// Recent reports from entries of requests whose upstream crashed.
    pub fn crashes(&self, now: Moment) -> Vec<CrashReport> {
        self.crashes.active_reports(now)
    }

    /// The generation of the catalogue applied here.
    pub fn generation(&self) -> Generation {
        self.document.generation
    }

    /// Whether the agent is shutting down and accepts no new requests.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Whether no request is queued or running, and every claim is settled or released.
    pub fn is_drained(&self) -> bool {
        self.queue.running() == 0 && self.queue.queued() == 0 && self.claims.is_idle()
    }

    /// Number of requests queued and running.
    pub fn outstanding(&self) -> u32 {
        (self.queue.running() + self.queue.queued()) as u32
    }

    /// Number of requests that the upstream runs concurrently.
    pub fn capacity(&self) -> u32 {
        self.queue.capacity()
    }

    /// The weights that the upstream serves, by manifest digest.
    pub fn serving(&self) -> &[ManifestDigest] {
        self.weights.serving()
    }

    /// Progress of each version that this agent should serve.
    pub fn progress(&self, now: Moment) -> Vec<WeightsProgress> {
        self.weights.progress(now)
    }

    /// The chunks of a version that are held and verified.
    pub fn held(&self, digest: ManifestDigest) -> Option<&ChunkBitmap> {
        self.weights.held(digest)
    }

    /// Some peers that hold a chunk.
    pub fn holders(&self, digest: ManifestDigest, index: ChunkIndex) -> Vec<InstanceId> {
        self.weights.holders(digest, index)
    }

    /// The instances of the fleet as this agent sees them.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The lease on the upstream.
    pub fn owner(&self) -> &OwnerLease {
        &self.owner
    }

    fn apply_catalogue(&mut self, now: Moment, next: Arc<CatalogueDocument>) -> Vec<AgentEffect> {
        if !adopt(&mut self.document, next) {
            return Vec::new();
        }
        self.refresh_weights(now)
    }

    fn apply_instances(
        &mut self,
        now: Moment,
        list: Vec<crate::membership::InstanceRecord>,
    ) -> Vec<AgentEffect> {
        self.owner.set_fleet_size(list.len());
        if self.members.replace(list) { self.refresh_weights(now) } else { Vec::new() }
    }

    fn refresh_weights(&mut self, now: Moment) -> Vec<AgentEffect> {
        self.weights.refresh(now, &self.document, &self.members)
    }

    fn advance_weights(&mut self, now: Moment) -> Vec<AgentEffect> {
        let fence = self.owner.fence_for_order(now);
        self.weights.advance(now, &self.members, fence)
    }

    fn owner_answered(&mut self, now: Moment, answer: OwnerAnswer) -> Vec<AgentEffect> {
        let before = self.owner.lease();
        let jitter = self.random.random_range(0.0..1.0);
        self.owner.record_result(now, answer, jitter);
        if before != self.owner.lease() {
            info!("owner answer={answer:?} held={}", self.owner.lease().is_some());
        }
        self.advance_weights(now)
    }

    fn request_arrived(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        class: RequestClass,
        pinned: Option<ManifestDigest>,
        deadline: Moment,
    ) -> Vec<AgentEffect> {
        if self.attempts.contains_key(&attempt) {
            return refusal(attempt, ResultCode::AlreadyClaimed, Millis(0));
        }
        if self.is_draining {
            return refusal(attempt, ResultCode::Leaving, Millis(1));
        }
        if !self.serves(pinned) {
            return self.refuse_other_weights(attempt, Millis(100));
        }
        let admission = self.queue.offer(now, attempt, class, deadline);
        log::debug!(
            "admission attempt={attempt} class={class} queued={} running={} decision={admission:?}",
            self.queue.queued(),
            self.queue.running()
        );
        if let Admission::Refused(code, retry_after) = admission {
            return refusal(attempt, code, retry_after);
        }
        let state = AttemptState { pinned, arrived_at: now, is_finished: false };
        self.attempts.insert(attempt, state);
        match admission {
            Admission::Run => vec![AgentEffect::Dispatch(attempt)],
            Admission::Displaced(other) => {
                self.mark_finished(other);
                refusal(other, ResultCode::Overloaded, self.queue.retry_after())
            }
            Admission::Queued => self.schedule_wake(now).into_iter().collect(),
            Admission::Refused(..) => Vec::new(),
        }
    }

    fn request_withdrawn(&mut self, now: Moment, attempt: AttemptId) -> Vec<AgentEffect> {
        if self.queue.withdraw(attempt) {
            self.mark_finished(attempt);
            return refusal(attempt, ResultCode::Withdrawn, Millis(0));
        }
        // It is already running: its task closes the connection to the upstream and reports the
        // end.
        self.request_finished(now, attempt)
    }

    fn request_finished(&mut self, now: Moment, attempt: AttemptId) -> Vec<AgentEffect> {
        self.mark_finished(attempt);
        self.queue.finish(now, attempt);
        self.run_next(now)
    }

    fn mark_finished(&mut self, attempt: AttemptId) {
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.is_finished = true;
        }
    }

    fn run_next(&mut self, now: Moment) -> Vec<AgentEffect> {
        let mut effects = Vec::new();
        while let Some(attempt) = self.queue.start_next(now) {
            let pinned = self.attempts.get(&attempt).and_then(|state| state.pinned);
            // The upstream may have switched weights while the request was queued.
            if !self.serves(pinned) {
                self.queue.finish(now, attempt);
                self.mark_finished(attempt);
                effects.extend(self.refuse_other_weights(attempt, Millis(1)));
                continue;
            }
            effects.push(AgentEffect::Dispatch(attempt));
        }
        effects.extend(self.schedule_wake(now));
        effects
    }

    /// Schedules a wake-up for the next start, if a request is delayed and no earlier wake-up is
    /// scheduled.
    fn schedule_wake(&mut self, now: Moment) -> Option<AgentEffect> {
        let at = self.queue.next_start_at().filter(|at| *at > now)?;
        if self.wake_at.is_some_and(|due| due <= at) {
            return None;
        }
        self.wake_at = Some(at);
        Some(AgentEffect::Wake(at))
    }

    fn serves(&self, pinned: Option<ManifestDigest>) -> bool {
        pinned.is_none_or(|digest| self.is_engine && self.weights.serving().contains(&digest))
    }

    /// Refuses a request and reports the weights that the upstream serves, without waiting for the
    /// next heartbeat.
    fn refuse_other_weights(&self, attempt: AttemptId, retry_after: Millis) -> Vec<AgentEffect> {
        let serving = self.weights.serving().to_vec();
        vec![AgentEffect::Refuse(attempt, AttemptRefusal::other_weights(retry_after, serving))]
    }

    fn tick(&mut self, now: Moment) -> Vec<AgentEffect> {
        let wall_s = self.wall_s(now);
        let mut effects = claim_effects(self.claims.tick(now, wall_s));
        for attempt in self.queue.take_expired(now) {
            self.mark_finished(attempt);
            effects.extend(refusal(attempt, ResultCode::DeadlinePassed, Millis(0)));
        }
        effects.extend(self.run_next(now));
        self.attempts.retain(|_, state| {
            !state.is_finished || now.since(state.arrived_at) < ATTEMPT_RETENTION
        });
        if self.is_engine && !self.is_draining {
            effects.extend(self.owner.due(now).map(AgentEffect::CallOwner));
        }
        if now >= self.next_refresh {
            self.next_refresh = now + REFRESH_INTERVAL;
            let (document, members) = (&self.document, &self.members);
            effects.extend(self.weights.refresh_if_changed(now, document, members));
        }
        effects.extend(self.advance_weights(now));
        effects
    }

    /// The wall clock in seconds, extrapolated from the last claim; only claims need it.
    fn wall_s(&self, now: Moment) -> u64 {
        self.claim_wall_clock
            .map_or(0, |(received_at, wall_s)| wall_s + now.since(received_at).0 / 1_000)
    }

    fn stop(&mut self) -> Vec<AgentEffect> {
        info!("stop queued={} running={}", self.queue.queued(), self.queue.running());
        self.is_draining = true;
        let drained = self.queue.drain();
        drained
            .into_iter()
            .flat_map(|attempt| {
                self.mark_finished(attempt);
                refusal(attempt, ResultCode::Leaving, Millis(1))
            })
            .collect()
    }
}

fn claim_effects(effects: Vec<ClaimEffect>) -> Vec<AgentEffect> {
    effects.into_iter().map(AgentEffect::Claim).collect()
}

fn refusal(attempt: AttemptId, code: ResultCode, retry_after: Millis) -> Vec<AgentEffect> {
    vec![AgentEffect::Refuse(attempt, AttemptRefusal::new(code, retry_after))]
}
