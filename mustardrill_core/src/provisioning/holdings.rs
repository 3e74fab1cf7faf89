//! Exchanges reports of held chunks with other agents.

use mustardrill_types::Moment;

use crate::manifest::ChunkBitmap;
use crate::provisioning::event::{HoldingNews, StockEffect, VersionId};
use crate::provisioning::reducer::{StockReducer, StockStage};

impl StockReducer {
    pub(super) fn holdings_received(
        &mut self,
        now: Moment,
        report: &HoldingNews,
    ) -> Vec<StockEffect> {
        let mut effects = Vec::new();
        if self.wanted.as_ref() == Some(&report.version)
            && let Some(plan) = self.plan_mut()
        {
            let total = plan.manifest().chunk_count();
            let bitmap = ChunkBitmap::from_bytes(&report.bitmap, total);
            plan.heard(now, &report.from, bitmap, report.queue);
        }
        // While it fetches, an agent sends reports at its own interval; one that holds all chunks
        // only sends them on request.
        let complete = self.staged.as_ref().filter(|(staged, _)| *staged == report.version);
        if let (Some((_, total)), true, Some(to)) =
            (complete, report.asks, self.address(&report.from))
        {
            effects.push(StockEffect::TellHolding {
                version: report.version.clone(),
                to: vec![to],
                bitmap: ChunkBitmap::full(*total),
                asks: false,
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
    pub(super) fn send_holdings(&mut self, now: Moment, wanted: &VersionId) -> Vec<StockEffect> {
        const UNCHANGED_FACTOR: u64 = 4;
        let Some(StockStage::FetchingChunks(plan) | StockStage::AwaitingSlot(plan, _)) =
            &self.stage
        else {
            return Vec::new();
        };
        let interval = self.settings.tell_every.0;
        let awaited = plan.awaited_here();
        let min_interval =
            if awaited == self.awaited_when_sent { interval * UNCHANGED_FACTOR } else { interval };
        if now.since(self.holdings_sent_at).0 < min_interval {
            return Vec::new();
        }
        let to: Vec<_> = plan.partners().ids().filter_map(|id| self.address(id)).collect();
        let (bitmap, asks) = (plan.held().clone(), !plan.is_complete());
        self.holdings_sent_at = now;
        self.awaited_when_sent = awaited;
        vec![StockEffect::TellHolding { version: wanted.clone(), to, bitmap, asks }]
    }
}
