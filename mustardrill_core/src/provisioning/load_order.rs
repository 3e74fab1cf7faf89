//! Decides when the engine is ordered to load the staged version, and handles the outcome.

use std::collections::VecDeque;

use log::{info, warn};
use mustardrill_types::{Millis, ModelName, Moment};

use crate::direct::EngineNotice;
use crate::manifest::ChunkBitmap;
use crate::provisioning::event::{LayerRange, ProvisioningEffect, VersionId};
use crate::provisioning::reducer::{ProvisioningReducer, ProvisioningStage, version_id_of};
use crate::provisioning::rollout::RolloutWindow;
use crate::transfer::TransferPlan;

/// How long before an engine's load slot the entries are notified of it; most answers complete
/// within this time.
const LOAD_SLOT_NOTICE: Millis = Millis(1_500);

/// A load slot that has moved by less than this is not reported again.
const MIN_SLOT_CHANGE: Millis = Millis(100);

/// A load order that was sent.
#[derive(Debug, Clone)]
pub(super) struct LoadOrder {
    pub(super) since: Moment,
    /// Number of orders that the engine had accepted before.
    pub(super) sequence: u64,
    pub(super) phase: OrderPhase,
    /// The layers that the engine is to hold; `None` stands for all.
    pub(super) layers: Option<LayerRange>,
    /// The layers of the orders that follow this one.
    pub(super) steps: VecDeque<Option<LayerRange>>,
    /// Whether it is one of the orders that make the engine take layers anew.
    pub(super) is_reload: bool,
}

impl LoadOrder {
    /// The next of the orders that a load consists of; `None` after the last one.
    pub(super) fn next(
        now: Moment,
        sequence: u64,
        mut steps: VecDeque<Option<LayerRange>>,
        is_reload: bool,
    ) -> Option<Self> {
        let layers = steps.pop_front()?;
        Some(Self { since: now, sequence, phase: OrderPhase::Sent, layers, steps, is_reload })
    }

    /// The effect that gives it to the engine.
    pub(super) fn effect(&self, version: &VersionId) -> ProvisioningEffect {
        let (sequence, steps_left) = (self.sequence, self.steps.len());
        info!("order version={version} sequence={sequence} decision=load steps_left={steps_left}");
        ProvisioningEffect::OrderLoad(version.clone(), self.layers, sequence)
    }
}

/// How far a load order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderPhase {
    /// Sent; the engine may accept it at any moment, with the copy that is staged then.
    Sent,
    /// Rejected; the engine will never accept it.
    Rejected,
    /// Accepted; further orders follow once the engine reports that it has carried it out, and that
    /// it has accepted this many orders.
    Accepted(u64),
    /// The last order is accepted, and the staged copy is read back to prove the load.
    Verifying,
    /// The engine took intact chunks.
    Proven,
}

impl ProvisioningReducer {
    /// Whether provisioning continues with the current version although a newer one was announced.
    ///
    /// Versions may be announced a few seconds apart, and the newer one may be slow to arrive. Once
    /// its manifest is available its chunks can be fetched, and saving a load is worth more than
    /// spreading loads: for each load an engine takes no new requests, as it first completes those
    /// that it runs. Until then the older version continues: if it were dropped at the
    /// announcement, engines would have no version that they may use while the origin is
    /// unavailable.
    pub(super) fn keeps_older_version(&self, newer: &VersionId) -> bool {
        let (Some(wanted), Some(stage)) = (&self.wanted, &self.stage) else { return false };
        if wanted.model != newer.model || wanted.version >= newer.version {
            return false;
        }
        match stage {
            ProvisioningStage::FetchingManifest { .. } => return false,
            // The staged copy must stay unchanged until the load is proven.
            ProvisioningStage::Loading(_, order) => return order.phase != OrderPhase::Proven,
            _ => {}
        }
        let pending = self.newer_manifest.as_ref().filter(|pending| pending.version == *newer);
        let Some((_, manifest_at)) = pending.and_then(|pending| pending.manifest.as_ref()) else {
            return true;
        };
        let is_staged = matches!(
            stage,
            ProvisioningStage::AwaitingSlot(..) | ProvisioningStage::VerifyingStaged(_)
        );
        is_staged && self.scheduled_slot(wanted).is_some_and(|slot| slot < *manifest_at)
    }

    /// This engine's load slot; immediately if it serves nothing.
    fn load_slot(&self, wanted: &VersionId, staged: Moment) -> Moment {
        let Some(slot) = self.scheduled_slot(wanted) else { return Moment(0) };
        if staged <= slot {
            return slot;
        }
        // This engine missed its slot, as other engines may have done: the rest of the window is
        // divided anew.
        self.rollout_window(wanted)
            .map_or(slot, |window| self.slot_in(wanted, window.remaining_from(staged)))
    }

    /// This engine's slot by its rank among its peers; none if it serves nothing.
    fn scheduled_slot(&self, wanted: &VersionId) -> Option<Moment> {
        self.rollout_window(wanted).map(|window| self.slot_in(wanted, window))
    }

    /// The rollout window of the engines that serve the same version as this one.
    fn rollout_window(&self, wanted: &VersionId) -> Option<RolloutWindow> {
        let served = self.engine.as_ref()?.serving.first()?;
        let superseded = self.versions.superseded_at(&wanted.model, served.version);
        let superseded =
            superseded.or(self.versions.announced_at(&wanted.model, wanted.version))?;
        let window = self.settings.rollout.window(superseded);
        // Engines that skipped the version served here have less time left, so they load first.
        let before = self.versions.announced_at(&wanted.model, served.version);
        let peers_done = before.map(|announced| self.settings.rollout.completed_at(announced));
        Some(peers_done.map_or(window, |done| window.remaining_from(done.min(window.last))))
    }

    fn slot_in(&self, wanted: &VersionId, window: RolloutWindow) -> Moment {
        let ids: Vec<_> = self.transfer_peers().into_iter().map(|peer| peer.id).collect();
        window.slot(wanted.model.as_str().as_bytes(), &ids, &self.settings.own_id)
    }

    /// Starts the load once this engine's slot is reached, and notifies the entries beforehand.
    pub(super) fn await_load_slot(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        plan: Box<TransferPlan>,
        staged: Moment,
    ) -> (Option<ProvisioningStage>, Vec<ProvisioningEffect>) {
        // If the engine is not reachable, its staged chunks cannot be read and would all count as
        // lost.
        if self.engine.is_none() {
            return (Some(ProvisioningStage::AwaitingSlot(plan, staged)), Vec::new());
        }
        // No request waits for an engine whose weights nobody may use.
        let slot = if self.ledger.needs_reload { now } else { self.load_slot(wanted, staged) };
        if slot <= now {
            if !self.may_order(wanted) {
                return (Some(ProvisioningStage::AwaitingSlot(plan, staged)), Vec::new());
            }
            return (
                Some(ProvisioningStage::VerifyingStaged(plan)),
                self.start_verification(wanted),
            );
        }
        (
            Some(ProvisioningStage::AwaitingSlot(plan, staged)),
            self.report_load_slot(now, wanted, slot),
        )
    }

    /// Notifies the entries of this engine's slot shortly before it, and again if it has moved.
    fn report_load_slot(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        slot: Moment,
    ) -> Vec<ProvisioningEffect> {
        let until_slot = slot.since(now);
        let is_reported = |reported: Moment| slot.0.abs_diff(reported.0) < MIN_SLOT_CHANGE.0;
        if until_slot > LOAD_SLOT_NOTICE || self.load_slot_reported.is_some_and(is_reported) {
            return Vec::new();
        }
        self.load_slot_reported = Some(slot);
        vec![self.notify_entries(wanted.model.clone(), EngineNotice::LoadingIn(until_slot))]
    }

    pub(super) fn staged_verified(
        &mut self,
        now: Moment,
        version: &VersionId,
        intact: &ChunkBitmap,
    ) -> Vec<ProvisioningEffect> {
        if self.wanted.as_ref() != Some(version) {
            return Vec::new();
        }
        match self.stage.take() {
            Some(ProvisioningStage::InspectingStaged(_)) if self.proves_load(version, intact) => {
                self.finish_proof(version)
            }
            Some(ProvisioningStage::InspectingStaged(mut plan)) => {
                let is_damaged = Some(intact.count()) != self.expected_chunk_count();
                let may_be_taken = self.ledger.has_pending_order && is_damaged;
                self.ledger.needs_reload |= self.serves(version) || may_be_taken;
                intact.held().into_iter().for_each(|index| plan.record_intact(now, index));
                info!("weights version={version} outcome=inspected whole={}", intact.count());
                self.staged = None;
                self.stage = Some(ProvisioningStage::FetchingChunks(plan));
                Vec::new()
            }
            Some(ProvisioningStage::VerifyingStaged(plan)) => {
                self.order_load(now, version, intact, plan)
            }
            Some(ProvisioningStage::Loading(plan, order))
                if order.phase == OrderPhase::Verifying =>
            {
                self.load_verified(version, intact, plan, order)
            }
            other => {
                self.stage = other;
                Vec::new()
            }
        }
    }

    pub(super) fn order_load(
        &mut self,
        now: Moment,
        version: &VersionId,
        intact: &ChunkBitmap,
        mut plan: Box<TransferPlan>,
    ) -> Vec<ProvisioningEffect> {
        let damaged: Vec<_> = intact.added_in(plan.held());
        if !damaged.is_empty() {
            warn!("weights version={version} outcome=spoilt chunks={}", damaged.len());
            damaged.into_iter().for_each(|index| plan.record_damaged(index));
            self.staged = None;
            self.ledger.record_staging();
            // An order without an answer may still take the damaged chunks.
            self.ledger.needs_reload |= self.ledger.has_pending_order;
            self.stage = Some(ProvisioningStage::FetchingChunks(plan));
            return self.cancel_pause();
        }
        let engine = self.engine.as_ref().filter(|_| self.may_order(version));
        let Some(engine) = engine else {
            self.stage = Some(ProvisioningStage::AwaitingSlot(plan, now));
            return Vec::new();
        };
        let steps = self.load_steps(version);
        let is_reload = steps.len() > 1;
        let Some(order) = LoadOrder::next(now, engine.sequence, steps, is_reload) else {
            return Vec::new();
        };
        let effect = order.effect(version);
        self.stage = Some(ProvisioningStage::Loading(plan, order));
        vec![effect]
    }

    /// Starts verifying the staged chunks before the order, and notifies the entries that the
    /// engine is about to accept no requests.
    ///
    /// If the entries were notified only at the order, the engine would reject the requests on
    /// their way to it, and one that waits for a slot would wait for the whole pause. Reading the
    /// chunks back takes long enough for the notice to arrive and for a slot to become free.
    fn start_verification(&self, version: &VersionId) -> Vec<ProvisioningEffect> {
        vec![
            self.notify_entries(version.model.clone(), EngineNotice::Loading),
            ProvisioningEffect::VerifyStaged(version.clone()),
        ]
    }

    /// Notifies the entries of the engine that reported last.
    pub(super) fn notify_entries(
        &self,
        model: ModelName,
        notice: EngineNotice,
    ) -> ProvisioningEffect {
        let start = self.last_engine_view.as_ref().map(|view| view.start);
        ProvisioningEffect::NotifyEntries(model, start, notice)
    }

    /// Notifies the entries that the engine serves proven weights.
    pub(super) fn notify_serving(&self, weights: &VersionId) -> ProvisioningEffect {
        let notice = match self.ledger.proven_load(weights) {
            Some(number) => EngineNotice::Proven(weights.version, number),
            None => EngineNotice::Serving(weights.version),
        };
        self.notify_entries(weights.model.clone(), notice)
    }

    /// Notifies the entries that the engine continues with the version that it serves.
    fn cancel_pause(&self) -> Vec<ProvisioningEffect> {
        let served = self.engine.as_ref().and_then(|engine| engine.serving.first());
        let proven = served.map(version_id_of).filter(|served| self.ledger.is_proven(served));
        proven.map(|served| self.notify_serving(&served)).into_iter().collect()
    }
}
