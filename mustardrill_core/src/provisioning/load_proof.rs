//! Follows a load order to its proof, and repeats a load that took damaged chunks.

use std::collections::VecDeque;

use log::{info, warn};
use mustardrill_types::{ChunkIndex, Moment};

use crate::manifest::ChunkBitmap;
use crate::provisioning::event::{
    EngineView, LayerRange, LoadOrderOutcome, ProvisioningEffect, VersionId,
};
use crate::provisioning::load_order::{LoadOrder, OrderPhase};
use crate::provisioning::reducer::{
    LOAD_ORDER_TIMEOUT, ProvisioningReducer, ProvisioningStage, version_id_of,
};
use crate::transfer::TransferPlan;

impl ProvisioningReducer {
    /// Whether the engine holds a version, whole or in part.
    pub(super) fn serves(&self, version: &VersionId) -> bool {
        let serving = self.engine.iter().flat_map(|engine| &engine.serving);
        serving.map(version_id_of).any(|served| served == *version)
    }

    /// Whether the engine takes layers anew of a version that it reports all the while.
    pub(super) fn is_reloading(&self) -> bool {
        let is_done = |engine: &EngineView| !engine.busy && self.ledger.is_current(engine);
        matches!(&self.stage, Some(ProvisioningStage::Loading(_, order)) if order.is_reload)
            && !self.engine.as_ref().is_some_and(is_done)
    }

    pub(super) fn read_load_record(&mut self) -> Vec<ProvisioningEffect> {
        self.ledger.begin_read().then_some(ProvisioningEffect::ReadLoadRecord).into_iter().collect()
    }

    /// Records in the store that a load of the wanted version is to be ordered.
    ///
    /// Entries use no weights whose load is recorded and not proven. A registration that tells of
    /// the new weights is written after the record, so an entry that knows of them knows the record.
    pub(super) fn record_order(&mut self, wanted: &VersionId) -> Vec<ProvisioningEffect> {
        let Some(start) = self.engine.as_ref().map(|engine| engine.start) else {
            return Vec::new();
        };
        if !self.ledger.is_read() {
            return self.read_load_record();
        }
        // Chunks are staged no more where a record of an order is stored, unless it tells of damage.
        let is_due = match &self.stage {
            Some(ProvisioningStage::AwaitingSlot(..) | ProvisioningStage::VerifyingStaged(_)) => {
                true
            }
            Some(ProvisioningStage::FetchingChunks(_)) => self.ledger.needs_reload,
            _ => false,
        };
        if !is_due {
            return Vec::new();
        }
        let record = self.ledger.record_order(self.settings.engine, start, wanted);
        record.map(ProvisioningEffect::WriteLoadRecord).into_iter().collect()
    }

    /// Whether the store holds the record of the order that is due.
    fn is_order_recorded(&self, wanted: &VersionId) -> bool {
        let start = self.engine.as_ref().map(|engine| engine.start);
        start.is_some_and(|start| self.ledger.is_order_stored(start, wanted))
    }

    /// Whether the load may be ordered: its record is stored, no earlier order can take chunks that
    /// were staged after it, and an engine that is to repeat a load is idle.
    pub(super) fn may_order(&self, wanted: &VersionId) -> bool {
        self.is_order_recorded(wanted)
            && self.ledger.is_unchanged()
            && self.engine.as_ref().is_some_and(|engine| self.ledger.is_current(engine))
            && (!self.ledger.needs_reload || self.is_engine_idle())
    }

    /// Records that all chunks are staged. While an earlier order may still be accepted, only a
    /// later report of the engine shows that it has not been by then.
    pub(super) fn record_complete_copy(&mut self) {
        if let Some(engine) = self.engine.as_ref().filter(|_| !self.ledger.has_pending_order) {
            self.ledger.record_complete(engine.sequence);
        }
    }

    /// Whether chunks may be staged. The damage of a load must be recorded before: staged anew, the
    /// copy would pass for the one that was taken.
    pub(super) fn may_stage(&self, wanted: &VersionId) -> bool {
        !self.ledger.needs_reload || self.is_order_recorded(wanted)
    }

    /// The layers of each order of a load; `None` stands for all.
    ///
    /// An engine takes no layer again that it holds already. It gives up the damaged ones and takes
    /// them anew; where these are all, one half and then the other half.
    pub(super) fn load_steps(&self, version: &VersionId) -> VecDeque<Option<LayerRange>> {
        let layers = self.layer_count().unwrap_or(0);
        if !self.ledger.needs_reload || !self.serves(version) || layers < 2 {
            return [None].into();
        }
        let all = LayerRange { first: 0, end: layers };
        let damaged = self.ledger.reload_layers.unwrap_or(all);
        if damaged.first > 0 {
            return [Some(LayerRange { end: damaged.first, ..all }), None].into();
        }
        if damaged.end < layers {
            return [Some(LayerRange { first: damaged.end, ..all }), None].into();
        }
        let middle = layers / 2;
        let first_half = Some(LayerRange { first: 0, end: middle });
        let second_half = Some(LayerRange { first: middle, end: layers });
        [first_half, None, second_half, None].into()
    }

    fn layer_count(&self) -> Option<u32> {
        let document = self.document.as_ref()?;
        let engine = document.service(&self.settings.service)?.engine.as_ref()?;
        Some(engine.layers)
    }

    /// Advances a load whose order was sent.
    pub(super) fn advance_load(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        plan: Box<TransferPlan>,
        order: LoadOrder,
    ) -> (Option<ProvisioningStage>, Vec<ProvisioningEffect>) {
        let is_idle = self.is_engine_idle();
        let sequence = self.engine.as_ref().map_or(0, |engine| engine.sequence);
        let is_carried_out =
            matches!(order.phase, OrderPhase::Accepted(accepted) if accepted <= sequence);
        if is_carried_out
            && is_idle
            && self.serves(wanted)
            && let Some(next) = LoadOrder::next(now, sequence, order.steps.clone(), order.is_reload)
        {
            let effect = next.effect(wanted);
            return (Some(ProvisioningStage::Loading(plan, next)), vec![effect]);
        }
        // A proof waits for the staged copy to be read back, however long the engine is silent.
        let is_overdue = order.phase != OrderPhase::Verifying
            && now.since(order.since) > LOAD_ORDER_TIMEOUT
            && is_idle;
        if is_overdue {
            warn!("order version={wanted} outcome=overdue");
            self.ledger.has_pending_order |= order.phase == OrderPhase::Sent;
            return (Some(ProvisioningStage::AwaitingSlot(plan, now)), Vec::new());
        }
        (Some(ProvisioningStage::Loading(plan, order)), Vec::new())
    }

    /// Recognises from the engine's order count that it accepted an order whose response was lost.
    pub(super) fn confirm_load_order(
        &mut self,
        now: Moment,
        view: &EngineView,
    ) -> Vec<ProvisioningEffect> {
        let Some(ProvisioningStage::Loading(_, order)) = &self.stage else { return Vec::new() };
        if order.phase != OrderPhase::Sent || view.sequence <= order.sequence {
            return Vec::new();
        }
        let age = now.since(order.since);
        info!("order sequence={} outcome=reported-accepted age={age}", order.sequence);
        self.order_accepted(view.sequence)
    }

    /// Continues with the next order, or with the proof of the load. The engine reports `sequence`
    /// accepted orders from now on.
    fn order_accepted(&mut self, sequence: u64) -> Vec<ProvisioningEffect> {
        let Some(ProvisioningStage::Loading(_, order)) = &mut self.stage else { return Vec::new() };
        if order.phase != OrderPhase::Sent {
            return Vec::new();
        }
        if !order.steps.is_empty() {
            order.phase = OrderPhase::Accepted(sequence);
            return Vec::new();
        }
        order.phase = OrderPhase::Verifying;
        let verify = self.wanted.clone().map(ProvisioningEffect::VerifyLoaded);
        verify.into_iter().collect()
    }

    pub(super) fn load_answered(
        &mut self,
        now: Moment,
        version: &VersionId,
        outcome: LoadOrderOutcome,
    ) -> Vec<ProvisioningEffect> {
        info!("order version={version} outcome={outcome}");
        if self.wanted.as_ref() != Some(version) {
            return Vec::new();
        }
        let Some(ProvisioningStage::Loading(_, order)) = &mut self.stage else {
            return Vec::new();
        };
        match outcome {
            LoadOrderOutcome::Accepted => {
                let sequence = order.sequence.saturating_add(1);
                self.ledger.record_accepted(sequence);
                self.order_accepted(sequence)
            }
            LoadOrderOutcome::InEffect => self.order_in_effect(version),
            LoadOrderOutcome::Rejected => {
                // The engine accepted another order or restarted: read its state again, then repeat
                // the order.
                order.phase = OrderPhase::Rejected;
                order.since = now - LOAD_ORDER_TIMEOUT;
                Vec::new()
            }
            // The order may still be accepted, with whatever is staged at that moment.
            LoadOrderOutcome::Unknown => {
                self.ledger.has_pending_order = true;
                Vec::new()
            }
        }
    }

    /// Handles an order that found the engine with the weights already: an earlier order gave it
    /// these, which is proven only if the staged copy is still the one that it took.
    fn order_in_effect(&mut self, version: &VersionId) -> Vec<ProvisioningEffect> {
        let Some(ProvisioningStage::Loading(_, order)) = &self.stage else { return Vec::new() };
        // An engine that holds just the part has given up the rest, which is what the order is for.
        let is_given_up = order.layers.is_some();
        let sequence = order.sequence;
        if is_given_up || self.ledger.is_copy_of_load(sequence) {
            return self.order_accepted(sequence);
        }
        warn!("order version={version} outcome=unproven decision=reload");
        if let Some(ProvisioningStage::Loading(_, order)) = &mut self.stage {
            // Repeated once it is overdue: an engine that can't give up layers would answer the same.
            order.phase = OrderPhase::Rejected;
        }
        self.ledger.needs_reload = true;
        Vec::new()
    }

    /// Whether the engine holds a version that it took from the copy that has just been read back
    /// and found intact.
    pub(super) fn proves_load(&self, version: &VersionId, intact: &ChunkBitmap) -> bool {
        let sequence = self.engine.as_ref().map_or(0, |engine| engine.sequence);
        self.serves(version)
            && Some(intact.count()) == self.expected_chunk_count()
            && self.ledger.is_copy_of_load(sequence)
    }

    pub(super) fn finish_proof(&mut self, version: &VersionId) -> Vec<ProvisioningEffect> {
        info!("weights version={version} outcome=proven");
        let record = self.ledger.record_proof(version);
        record.map(ProvisioningEffect::WriteLoadRecord).into_iter().collect()
    }

    /// Handles the verdict on the staged copy after a load: a damaged chunk was taken, or may have
    /// been.
    pub(super) fn load_verified(
        &mut self,
        version: &VersionId,
        intact: &ChunkBitmap,
        mut plan: Box<TransferPlan>,
        order: LoadOrder,
    ) -> Vec<ProvisioningEffect> {
        let damaged: Vec<_> = intact.added_in(plan.held());
        if damaged.is_empty() && self.ledger.needs_reload && !order.is_reload {
            warn!("weights version={version} outcome=unproven decision=reload");
            self.stage = Some(ProvisioningStage::AwaitingSlot(plan, order.since));
            return Vec::new();
        }
        if damaged.is_empty() {
            let order = LoadOrder { phase: OrderPhase::Proven, ..order };
            self.stage = Some(ProvisioningStage::Loading(plan, order));
            return self.finish_proof(version);
        }
        warn!("weights version={version} outcome=loaded-spoilt chunks={}", damaged.len());
        self.ledger.reload_layers = self.layers_of(&damaged).filter(|_| !order.is_reload);
        damaged.into_iter().for_each(|index| plan.record_damaged(index));
        self.staged = None;
        self.ledger.record_staging();
        self.ledger.needs_reload = true;
        self.stage = Some(ProvisioningStage::FetchingChunks(plan));
        Vec::new()
    }

    /// The range of layers that are taken from any of these chunks.
    fn layers_of(&self, chunks: &[ChunkIndex]) -> Option<LayerRange> {
        let (layers, total) = (self.layer_count()?, self.expected_chunk_count()?);
        let (first, last) = (chunks.iter().min()?, chunks.iter().max()?);
        let (layers, total) = (u64::from(layers), u64::from(total.max(1)));
        let first = u64::from(first.0) * layers / total;
        let end = ((u64::from(last.0) + 1) * layers).div_ceil(total).min(layers);
        Some(LayerRange { first: first.try_into().ok()?, end: end.try_into().ok()? })
    }

    /// Writes the record of proven weights anew where the store holds one that speaks against them.
    pub(super) fn reaffirm_proof(&mut self) -> Vec<ProvisioningEffect> {
        let Some(start) = self.engine.as_ref().map(|engine| engine.start) else {
            return Vec::new();
        };
        let record = self.ledger.reaffirm(self.settings.engine, start);
        record.map(ProvisioningEffect::WriteLoadRecord).into_iter().collect()
    }
}
