//! How an agent draws the chunks of a version, and what comes of each draw.

use log::{debug, info, warn};
use mustardrill_types::{ChunkIndex, Moment};

use crate::direct::EngineWord;
use crate::stock::event::{StockEffect, VersionId};
use crate::stock::reducer::{StockReducer, StockStage};
use crate::transfer::{ChunkSource, DrawOutcome, TransferPlan};

/// The share of a version's chunks, in percent, from which on it is called coming.
const COMING_SHARE: u32 = 67;

impl StockReducer {
    pub(super) fn draw(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        mut plan: Box<TransferPlan>,
    ) -> (Option<StockStage>, Vec<StockEffect>) {
        if plan.is_complete() {
            let counts = plan.counts();
            info!(
                "weights version={wanted} outcome=staged origin_bytes={} entry_bytes={} peer_bytes={} corrupt={}",
                counts.origin_bytes, counts.relay_bytes, counts.peer_bytes, counts.corrupt_chunks
            );
            let total = plan.manifest().chunk_count();
            self.staged = Some((wanted.clone(), total));
            return (Some(StockStage::Staged(plan, now)), Vec::new());
        }
        let late = plan.overdue(now).into_iter();
        let mut effects: Vec<_> =
            late.map(|(index, source)| StockEffect::CancelDraw(index, source)).collect();
        let share = plan.held().count() * 100 / plan.manifest().chunk_count().max(1);
        if share >= COMING_SHARE && self.announced.as_ref() != Some(wanted) {
            self.announced = Some(wanted.clone());
            effects.push(StockEffect::TellEntries(wanted.model.clone(), EngineWord::Coming));
        }
        let origin = self.origin();
        for draw in plan.next_draws(now) {
            let address = match &draw.source {
                ChunkSource::Origin => origin,
                ChunkSource::Relay(id) => self.relays.get(id).map(|relay| relay.address),
                ChunkSource::Peer(id) => self.address(id),
            };
            match address {
                Some(address) => {
                    effects.push(StockEffect::Draw(wanted.clone(), draw, address));
                }
                None => {
                    plan.finished(now, draw.index, &draw.source, &DrawOutcome::Failed);
                }
            }
        }
        (Some(StockStage::Drawing(plan)), effects)
    }

    pub(super) fn draw_ended(
        &mut self,
        now: Moment,
        version: &VersionId,
        index: ChunkIndex,
        source: &ChunkSource,
        outcome: &DrawOutcome,
    ) {
        if self.wanted.as_ref() != Some(version) {
            return;
        }
        if *outcome == DrawOutcome::Corrupt {
            warn!("chunk version={version} index={index} source={source} outcome=corrupt");
        }
        debug!("chunk version={version} index={index} source={source} outcome={outcome:?}");
        if let Some(plan) = self.plan_mut() {
            plan.finished(now, index, source, outcome);
        }
    }
}
