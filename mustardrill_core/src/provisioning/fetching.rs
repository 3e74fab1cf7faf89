//! Fetching the chunks of a version: starts fetches and records their outcomes.

use log::{debug, info, warn};
use mustardrill_types::{ChunkIndex, Moment};

use crate::direct::EngineWord;
use crate::provisioning::event::{StockEffect, VersionId};
use crate::provisioning::reducer::{StockReducer, StockStage};
use crate::transfer::{ChunkSource, DrawOutcome, TransferPlan};

/// Share of a version's chunks held, in percent, from which entries are told that the version is
/// coming.
const COMING_PERCENT: u32 = 67;

impl StockReducer {
    pub(super) fn fetch_chunks(
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
            let chunk_count = plan.manifest().chunk_count();
            self.staged = Some((wanted.clone(), chunk_count));
            return (Some(StockStage::AwaitingSlot(plan, now)), Vec::new());
        }
        let overdue = plan.overdue(now).into_iter();
        let mut effects: Vec<_> =
            overdue.map(|(index, source)| StockEffect::CancelDraw(index, source)).collect();
        let held_percent = plan.held().count() * 100 / plan.manifest().chunk_count().max(1);
        if held_percent >= COMING_PERCENT && self.coming_reported.as_ref() != Some(wanted) {
            self.coming_reported = Some(wanted.clone());
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
        (Some(StockStage::FetchingChunks(plan)), effects)
    }

    pub(super) fn chunk_fetch_ended(
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
