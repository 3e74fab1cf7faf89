//! When an engine is ordered to load what is staged, and what comes of it.

use log::{info, warn};
use mustardrill_types::{Millis, Moment};

use crate::direct::{EngineWord, ServedWeights};
use crate::manifest::ChunkBitmap;
use crate::stock::event::{EngineView, OrderFate, StockEffect, VersionId};
use crate::stock::reducer::{ORDER_PATIENCE, OrderState, StockReducer, StockStage};
use crate::stock::rollout::TurnSpan;
use crate::transfer::TransferPlan;

/// How long before an engine's turn entries are told of it: what most answers take.
const CLOSING_SPAN: Millis = Millis(1_500);

/// A turn that has moved by less is not told again.
const TURN_MOVED: Millis = Millis(100);

impl StockReducer {
    /// Whether the version under way is gone on with although a newer one was named.
    ///
    /// Load pattern: versions named a few seconds apart, of which the newer one may be slow to
    /// come. Once its list is here its chunks can be drawn, and a load spared is worth more than
    /// loads that are spread: for each an engine goes without new requests, as it first finishes what
    /// it runs. Until then the older one is gone on with: given up at the naming, it leaves engines
    /// without any version that they may use where the origin is away.
    pub(super) fn keeps_older(&self, newer: &VersionId) -> bool {
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
        let is_staged = matches!(stage, StockStage::Staged(..) | StockStage::Checking(_));
        is_staged && self.own_turn(wanted).is_some_and(|turn| turn < *listed)
    }

    /// When this engine's turn to load comes; at once for one that serves nothing.
    fn turn(&self, wanted: &VersionId, staged: Moment) -> Moment {
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
        let replaced = self.versions.superseded_at(&wanted.model, served.version);
        let replaced = replaced.or(self.versions.announced_at(&wanted.model, wanted.version))?;
        let span = self.settings.turns.span(replaced);
        // Engines that did not load the version served here have less time left: they go first.
        let before = self.versions.announced_at(&wanted.model, served.version);
        let others_done = before.map(|named| self.settings.turns.done(named));
        Some(others_done.map_or(span, |done| span.from(done.min(span.last))))
    }

    fn place_in(&self, wanted: &VersionId, span: TurnSpan) -> Moment {
        let ids: Vec<_> = self.transfer_peers().into_iter().map(|peer| peer.id).collect();
        span.turn(wanted.model.as_str().as_bytes(), &ids, &self.settings.own)
    }

    /// Begins the load of what is staged at this engine's turn, and tells entries before.
    pub(super) fn await_turn(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        plan: Box<TransferPlan>,
        staged: Moment,
    ) -> (Option<StockStage>, Vec<StockEffect>) {
        // Read back from an engine that is away, all chunks would count as lost.
        if self.engine.is_none() {
            return (Some(StockStage::Staged(plan, staged)), Vec::new());
        }
        let turn = self.turn(wanted, staged);
        if turn <= now {
            return (Some(StockStage::Checking(plan)), self.begin_check(wanted));
        }
        (Some(StockStage::Staged(plan, staged)), self.tell_closing(now, wanted, turn))
    }

    /// Tells entries of this engine's turn once it is near, and again where it has moved.
    fn tell_closing(&mut self, now: Moment, wanted: &VersionId, turn: Moment) -> Vec<StockEffect> {
        let left = turn.since(now);
        let is_told = |told: Moment| turn.0.abs_diff(told.0) < TURN_MOVED.0;
        if left > CLOSING_SPAN || self.closing_told.is_some_and(is_told) {
            return Vec::new();
        }
        self.closing_told = Some(turn);
        vec![StockEffect::TellEntries(wanted.model.clone(), EngineWord::Closing(left))]
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
            return self.call_off_pause();
        }
        let Some(engine) = &self.engine else {
            self.stage = Some(StockStage::Staged(plan, now));
            return Vec::new();
        };
        let sequence = engine.sequence;
        info!("order version={version} sequence={sequence} decision=load");
        self.stage =
            Some(StockStage::Ordered(plan, OrderState { since: now, sequence, taken: false }));
        vec![StockEffect::Order(version.clone(), sequence)]
    }

    /// Reads the staged chunks back before the order, and tells entries that the engine is about to
    /// take nothing.
    ///
    /// Load pattern: an engine is ordered to load while requests are on their way to it, and one
    /// waits for a slot. Told at the order, it turned the former away and kept the latter for the
    /// whole pause. Reading back takes long enough for words to arrive and for a slot to become free.
    fn begin_check(&self, version: &VersionId) -> Vec<StockEffect> {
        vec![
            StockEffect::TellEntries(version.model.clone(), EngineWord::Pausing),
            StockEffect::ReadBack(version.clone()),
        ]
    }

    /// Tells entries that the engine goes on with what it serves.
    fn call_off_pause(&self) -> Vec<StockEffect> {
        let served = self.engine.as_ref().and_then(|engine| engine.serving.first());
        let tell = |served: &ServedWeights| {
            let word = EngineWord::Serving(served.version);
            StockEffect::TellEntries(served.model.clone(), word)
        };
        served.map(tell).into_iter().collect()
    }

    /// Notes that the engine has taken an order whose answer was lost, as its count of orders tells.
    pub(super) fn note_orders(&mut self, view: &EngineView) {
        if let Some(StockStage::Ordered(_, order)) = &mut self.stage {
            order.taken |= view.sequence > order.sequence;
        }
    }

    pub(super) fn ordered(
        &mut self,
        now: Moment,
        version: &VersionId,
        fate: OrderFate,
    ) -> Vec<StockEffect> {
        info!("order version={version} outcome={fate}");
        if self.wanted.as_ref() != Some(version) {
            return Vec::new();
        }
        if let Some(StockStage::Ordered(_, order)) = &mut self.stage {
            match fate {
                OrderFate::Taken => order.taken = true,
                // The engine took another order or restarted: look at it again, then order anew.
                OrderFate::Refused => order.since = now - ORDER_PATIENCE,
                // It may yet be taken, with what is staged at that moment.
                OrderFate::Unknown => {}
            }
        }
        Vec::new()
    }
}
