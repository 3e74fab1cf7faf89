//! What agents tell each other of the chunks that they hold.

use mustardrill_types::{InstanceId, Moment};

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
    pub(super) fn tell(&mut self, now: Moment, wanted: &VersionId) -> Vec<StockEffect> {
        const REPEAT_TELLS: u64 = 5;
        const FAR_TELLS: u64 = 3;
        let Some(StockStage::Drawing(plan) | StockStage::Staged(plan, _)) = &self.stage else {
            return Vec::new();
        };
        let every = self.settings.tell_every.0;
        let changed = plan.held().count() != self.told_count;
        // Only some instances of a data centre draw from others, and those bytes are billed.
        let far = now.since(self.told_far).0 >= every * FAR_TELLS;
        let due = if changed { every } else { every * FAR_TELLS * REPEAT_TELLS };
        if now.since(self.told).0 < due {
            return Vec::new();
        }
        let near = |id: &&InstanceId| {
            let peer = self.peers.get(*id);
            far || peer.is_none_or(|peer| peer.data_centre == self.settings.data_centre)
        };
        let partners = plan.partners().ids().filter(near);
        let to: Vec<_> = partners.filter_map(|id| self.address(id)).collect();
        let (bitmap, asks) = (plan.held().clone(), !plan.is_complete());
        self.told = now;
        self.told_count = bitmap.count();
        if far {
            self.told_far = now;
        }
        vec![StockEffect::TellHolding { version: wanted.clone(), to, bitmap, asks }]
    }
}
