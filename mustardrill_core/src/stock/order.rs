//! When an engine is ordered to load what is staged, and what comes of it.

use log::{info, warn};
use mustardrill_types::{Millis, Moment};

use crate::direct::EngineWord;
use crate::manifest::ChunkBitmap;
use crate::stock::event::{StockEffect, VersionId};
use crate::stock::reducer::{ORDER_PATIENCE, OrderState, StockReducer, StockStage};
use crate::stock::turn::TurnSpan;
use crate::transfer::TransferPlan;

impl StockReducer {
    /// Whether the version under way is gone on with although a newer one was named.
    ///
    /// Load pattern: versions named a few seconds apart, of which the newer one may be slow to
    /// come. Each engine loads at its turn what is the newest by then: the older version where the
    /// newer one can't be there. Given up at the naming of the next one, an older version left all
    /// engines that had not loaded it to load the newer one within 0.2 s of each other, and where
    /// the newer one's list could not be had for 5 s, without any version that they might use.
    pub(super) fn keeps_older(&self, now: Moment, newer: &VersionId) -> bool {
        let (Some(wanted), Some(stage)) = (&self.wanted, &self.stage) else { return false };
        if wanted.model != newer.model || wanted.version >= newer.version {
            return false;
        }
        match stage {
            StockStage::Listing { .. } => return false,
            // What is staged must stay until the engine has taken the order.
            StockStage::Ordered(_, order) => return !order.taken,
            _ => {}
        }
        let following = self.following.as_ref().filter(|following| following.version == *newer);
        let Some((_, listed)) = following.and_then(|following| following.list.as_ref()) else {
            return true;
        };
        let Some(turn) = self.own_turn(wanted) else { return false };
        let turns = &self.settings.turns;
        self.staged_by(now) <= turn && !turns.is_there_by(*listed, turn)
    }

    /// By when the version under way will be staged, at the pace of the bound; long ago for one
    /// that is.
    fn staged_by(&self, now: Moment) -> Moment {
        match &self.stage {
            Some(StockStage::Drawing(plan) | StockStage::Inspecting(plan)) => {
                let total = u64::from(plan.manifest().chunk_count().max(1));
                let missing = total - u64::from(plan.held().count());
                now + Millis(self.settings.turns.first.0 * missing / total)
            }
            _ => Moment(0),
        }
    }

    /// When this engine's turn to load comes; at once for one that serves nothing.
    pub(super) fn turn(&self, wanted: &VersionId, staged: Moment) -> Moment {
        let Some(turn) = self.own_turn(wanted) else { return Moment(0) };
        if staged <= turn {
            return turn;
        }
        // It came too late for its turn, as it did for others: what is left of the span is shared.
        self.turn_span(wanted).map_or(turn, |span| self.place_in(wanted, span.from(staged)))
    }

    /// This engine's turn by its place; nothing for one that serves nothing.
    fn own_turn(&self, wanted: &VersionId) -> Option<Moment> {
        self.turn_span(wanted).map(|span| self.place_in(wanted, span))
    }

    /// The turns of engines that serve what this one does.
    fn turn_span(&self, wanted: &VersionId) -> Option<TurnSpan> {
        let served = self.engine.as_ref()?.serving.first()?;
        let replaced = self.versions.named_after(&wanted.model, served.version);
        let replaced = replaced.or(self.versions.named_at(&wanted.model, wanted.version))?;
        Some(self.settings.turns.span(replaced))
    }

    fn place_in(&self, wanted: &VersionId, span: TurnSpan) -> Moment {
        let ids: Vec<_> = self.transfer_peers().into_iter().map(|peer| peer.id).collect();
        span.turn(wanted.model.as_str().as_bytes(), &ids, &self.settings.own)
    }

    pub(super) fn read_back(
        &mut self,
        now: Moment,
        version: &VersionId,
        whole: &ChunkBitmap,
    ) -> Vec<StockEffect> {
        if self.wanted.as_ref() != Some(version) {
            return Vec::new();
        }
        match self.stage.take() {
            Some(StockStage::Inspecting(mut plan)) => {
                whole.held().into_iter().for_each(|index| plan.found(now, index));
                info!("weights version={version} outcome=inspected whole={}", whole.count());
                self.staged = None;
                self.stage = Some(StockStage::Drawing(plan));
                Vec::new()
            }
            Some(StockStage::Checking(plan)) => self.checked(now, version, whole, plan),
            other => {
                self.stage = other;
                Vec::new()
            }
        }
    }

    pub(super) fn checked(
        &mut self,
        now: Moment,
        version: &VersionId,
        whole: &ChunkBitmap,
        mut plan: Box<TransferPlan>,
    ) -> Vec<StockEffect> {
        let bad: Vec<_> = whole.added_in(plan.held());
        if !bad.is_empty() {
            warn!("weights version={version} outcome=spoilt chunks={}", bad.len());
            bad.into_iter().for_each(|index| plan.lost(index));
            self.staged = None;
            self.stage = Some(StockStage::Drawing(plan));
            return Vec::new();
        }
        let Some(engine) = &self.engine else {
            self.stage = Some(StockStage::Staged(plan, now));
            return Vec::new();
        };
        let sequence = engine.sequence;
        info!("order version={version} sequence={sequence} decision=load");
        self.stage = Some(StockStage::Ordered(plan, OrderState { since: now, taken: false }));
        vec![
            StockEffect::TellEntries(version.model.clone(), EngineWord::Pausing),
            StockEffect::Order(version.clone(), sequence),
        ]
    }

    pub(super) fn ordered(
        &mut self,
        now: Moment,
        version: &VersionId,
        taken: bool,
    ) -> Vec<StockEffect> {
        info!("order version={version} taken={taken}");
        if self.wanted.as_ref() != Some(version) {
            return Vec::new();
        }
        if let Some(StockStage::Ordered(_, order)) = &mut self.stage {
            order.taken = taken;
            if !taken {
                // The engine took another order or restarted: look at it again, then order anew.
                order.since = now - ORDER_PATIENCE;
            }
        }
        Vec::new()
    }
}
