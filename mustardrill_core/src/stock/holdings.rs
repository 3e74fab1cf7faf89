//! What agents tell each other of the chunks that they hold.

use mustardrill_types::Moment;

use crate::manifest::ChunkBitmap;
use crate::stock::event::{HoldingNews, StockEffect, VersionId};
use crate::stock::reducer::{StockReducer, StockStage};

impl StockReducer {
    pub(super) fn holding_seen(&mut self, now: Moment, news: &HoldingNews) -> Vec<StockEffect> {
        let mut effects = Vec::new();
        if self.wanted.as_ref() == Some(&news.version)
            && let Some(plan) = self.plan_mut()
        {
            let total = plan.manifest().chunk_count();
            let bitmap = ChunkBitmap::from_bytes(&news.bitmap, total);
            plan.heard(now, &news.from, bitmap, news.queue);
        }
        // One that draws, too, tells at its own pace; one that has all tells when asked.
        let whole = self.staged.as_ref().filter(|(staged, _)| *staged == news.version);
        if let (Some((_, total)), true, Some(to)) = (whole, news.asks, self.address(&news.from)) {
            effects.push(StockEffect::TellHolding {
                version: news.version.clone(),
                to: vec![to],
                bitmap: ChunkBitmap::full(*total),
                asks: false,
            });
        }
        effects
    }

    /// Tells partners what is held, where that has changed or they may have missed it.
    ///
    /// Load pattern: each chunk is awaited by the homes of other data centres from whoever drew
    /// it, and by everybody here from its home. Those wait for nothing else, so news of such
    /// chunks goes out at once and to all; other holdings only help where a home is silent.
    pub(super) fn tell(&mut self, now: Moment, wanted: &VersionId) -> Vec<StockEffect> {
        const SLOW_TELLS: u64 = 4;
        let Some(StockStage::Drawing(plan) | StockStage::Staged(plan, _)) = &self.stage else {
            return Vec::new();
        };
        let every = self.settings.tell_every.0;
        let awaited = plan.awaited_here();
        let due = if awaited == self.told_awaited { every * SLOW_TELLS } else { every };
        if now.since(self.told).0 < due {
            return Vec::new();
        }
        let to: Vec<_> = plan.partners().ids().filter_map(|id| self.address(id)).collect();
        let (bitmap, asks) = (plan.held().clone(), !plan.is_complete());
        self.told = now;
        self.told_awaited = awaited;
        vec![StockEffect::TellHolding { version: wanted.clone(), to, bitmap, asks }]
    }
}
