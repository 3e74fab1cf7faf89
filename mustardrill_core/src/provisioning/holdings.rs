//! Exchanges reports of held chunks with other agents.

use mustardrill_types::Moment;

use crate::manifest::ChunkBitmap;
use crate::provisioning::event::{HoldingsReport, ProvisioningEffect, VersionId};
use crate::provisioning::reducer::{ProvisioningReducer, ProvisioningStage};

impl ProvisioningReducer {
    pub(super) fn holdings_received(
        &mut self,
        now: Moment,
        report: &HoldingsReport,
    ) -> Vec<ProvisioningEffect> {
        let mut effects = Vec::new();
        if self.wanted.as_ref() == Some(&report.version)
            && let Some(plan) = self.plan_mut()
        {
            let total = plan.manifest().chunk_count();
            let bitmap = ChunkBitmap::from_bytes(&report.bitmap, total);
            plan.record_holdings(now, &report.from, bitmap, report.queue);
        }
        // While it fetches, an agent sends reports at its own interval; one that holds all chunks
        // only sends them on request.
        let complete = self.staged.as_ref().filter(|(staged, _)| *staged == report.version);
        if let (Some((_, total)), true, Some(to)) =
            (complete, report.wants_reply, self.address(&report.from))
        {
            effects.push(ProvisioningEffect::SendHoldings {
                version: report.version.clone(),
                to: vec![to],
                bitmap: ChunkBitmap::full(*total),
                wants_reply: false,
            });
        }
        effects
    }

    /// Reports the held chunks to partners, when they have changed or when partners may have missed
    /// a report.
    ///
    /// Primary holders of other data centres wait for a chunk until its seeder reports it, and all
    /// agents of this data centre wait for its primary holder here. These have no other source, so
    /// a newly held chunk of that kind is reported at the next interval and to all; other holdings
    /// only help where a primary holder is silent, and are reported less often.
    pub(super) fn send_holdings(
        &mut self,
        now: Moment,
        wanted: &VersionId,
    ) -> Vec<ProvisioningEffect> {
        const UNCHANGED_FACTOR: u64 = 4;
        let Some(
            ProvisioningStage::FetchingChunks(plan) | ProvisioningStage::AwaitingSlot(plan, _),
        ) = &self.stage
        else {
            return Vec::new();
        };
        let interval = self.settings.holdings_interval.0;
        let awaited = plan.awaited_chunk_count();
        let min_interval =
            if awaited == self.awaited_when_sent { interval * UNCHANGED_FACTOR } else { interval };
        if now.since(self.holdings_sent_at).0 < min_interval {
            return Vec::new();
        }
        let to: Vec<_> = plan.partners().ids().filter_map(|id| self.address(id)).collect();
        let (bitmap, wants_reply) = (plan.held().clone(), !plan.is_complete());
        self.holdings_sent_at = now;
        self.awaited_when_sent = awaited;
        vec![ProvisioningEffect::SendHoldings { version: wanted.clone(), to, bitmap, wants_reply }]
    }
}
