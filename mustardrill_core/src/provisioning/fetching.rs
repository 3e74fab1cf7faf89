//! Fetching the chunks of a version: starts fetches and records their outcomes.

use log::{debug, info, warn};
use mustardrill_types::{ChunkIndex, Moment};

use crate::direct::EngineNotice;
use crate::provisioning::event::{ProvisioningEffect, VersionId};
use crate::provisioning::reducer::{ProvisioningReducer, ProvisioningStage};
use crate::transfer::{ChunkSource, FetchOutcome, TransferPlan};

/// Share of a version's chunks held, in percent, from which entries are notified that
/// an update is pending.
const UPDATE_PENDING_PERCENT: u32 = 67;

impl ProvisioningReducer {
    pub(super) fn fetch_chunks(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        mut plan: Box<TransferPlan>,
    ) -> (Option<ProvisioningStage>, Vec<ProvisioningEffect>) {
        if plan.is_complete() {
            let counts = plan.counts();
            info!(
                "weights version={wanted} outcome=staged origin_bytes={} entry_bytes={} peer_bytes={} corrupt={}",
                counts.origin_bytes, counts.relay_bytes, counts.peer_bytes, counts.corrupt_chunks
            );
            let chunk_count = plan.manifest().chunk_count();
            self.staged = Some((wanted.clone(), chunk_count));
            self.record_complete_copy();
            return (Some(ProvisioningStage::AwaitingSlot(plan, now)), Vec::new());
        }
        if !self.may_stage(wanted) {
            return (Some(ProvisioningStage::FetchingChunks(plan)), Vec::new());
        }
        let overdue = plan.expire_fetches(now).into_iter();
        let mut effects: Vec<_> =
            overdue.map(|(index, source)| ProvisioningEffect::CancelFetch(index, source)).collect();
        let held_percent = plan.held().count() * 100 / plan.manifest().chunk_count().max(1);
        if held_percent >= UPDATE_PENDING_PERCENT
            && self.update_pending_reported.as_ref() != Some(wanted)
        {
            self.update_pending_reported = Some(wanted.clone());
            effects.push(self.notify_entries(wanted.model.clone(), EngineNotice::UpdatePending));
        }
        let origin = self.origin();
        for fetch in plan.next_fetches(now) {
            let address = match &fetch.source {
                ChunkSource::Origin => origin,
                ChunkSource::Relay(id) => self.relays.get(id).map(|relay| relay.address),
                ChunkSource::Peer(id) => self.address(id),
            };
            match address {
                Some(address) => {
                    self.ledger.record_staging();
                    effects.push(ProvisioningEffect::FetchChunk(wanted.clone(), fetch, address));
                }
                None => {
                    plan.record_outcome(now, fetch.index, &fetch.source, &FetchOutcome::Failed);
                }
            }
        }
        (Some(ProvisioningStage::FetchingChunks(plan)), effects)
    }

    pub(super) fn chunk_received(
        &mut self,
        now: Moment,
        version: &VersionId,
        index: ChunkIndex,
        source: &ChunkSource,
    ) {
        if self.wanted.as_ref() == Some(version)
            && let Some(plan) = self.plan_mut()
        {
            plan.record_received(now, index, source);
        }
    }

    pub(super) fn chunk_fetch_ended(
        &mut self,
        now: Moment,
        version: &VersionId,
        index: ChunkIndex,
        source: &ChunkSource,
        outcome: &FetchOutcome,
    ) {
        if self.wanted.as_ref() != Some(version) {
            return;
        }
        if *outcome == FetchOutcome::Corrupt {
            warn!("chunk version={version} index={index} source={source} outcome=corrupt");
        }
        debug!("chunk version={version} index={index} source={source} outcome={outcome:?}");
        if let Some(plan) = self.plan_mut() {
            plan.record_outcome(now, index, source, outcome);
        }
    }
}
