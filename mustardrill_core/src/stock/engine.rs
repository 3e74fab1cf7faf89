//! What an agent makes of its engine's words: restarts, and the weights that it serves.

use log::info;
use mustardrill_types::Moment;

use crate::direct::{AnnouncementTime, EngineNotice};
use crate::stock::event::{EngineView, StockEffect};
use crate::stock::reducer::{StockReducer, StockStage, version_of};

impl StockReducer {
    pub(super) fn engine_seen(
        &mut self,
        now: Moment,
        view: Option<EngineView>,
    ) -> Vec<StockEffect> {
        let before = self.engine.take();
        self.looked = true;
        let Some(view) = view else { return Vec::new() };
        let mut effects = Vec::new();
        if self.last_view.is_none() && self.stage.is_some() {
            self.first_answer(now, &view);
        }
        let is_restart = self.last_view.as_ref().is_some_and(|last| view.is_restart_of(last));
        self.last_view = Some(view.clone());
        self.note_served(&view);
        let is_known = before.is_some() && !is_restart && !view.serving.is_empty();
        if !is_known && self.stage.is_none() {
            self.inspect = true;
        }
        if is_restart {
            info!("engine start={} sequence={} outcome=restarted", view.start, view.sequence);
            self.order_anew();
        }
        self.note_orders(&view);
        let served = before.map(|before| before.serving).unwrap_or_default();
        if served != view.serving
            && let Some(now_served) = view.serving.first()
        {
            let version = version_of(now_served);
            info!("engine serving={version} sequence={} outcome=changed", view.sequence);
            let word = EngineNotice::Serving(version.version);
            effects.push(StockEffect::TellEntries(version.model, word));
        }
        self.engine = Some(view);
        effects
    }

    /// Notes that what the engine serves was named, nobody knows when.
    ///
    /// Load pattern: an agent starts alone while the entry that it asks is cut off from the store, or the
    /// store lacks what was named last. Its engine would be given an older version than it serves.
    fn note_served(&mut self, view: &EngineView) {
        for served in &view.serving {
            let newest = self.versions.newest(&served.model);
            if newest.is_none_or(|newest| newest < served.version) {
                let time = AnnouncementTime::observed(Moment(0), Moment(0));
                self.versions.announce(&served.model, served.version, time);
            }
        }
    }

    /// Takes over what was drawn before the engine answered for the first time. One that has run
    /// for longer may have more staged already, or needs none of it.
    fn first_answer(&mut self, now: Moment, view: &EngineView) {
        let is_new = view.serving.is_empty() && view.sequence == 0;
        if !is_new {
            self.stage = Some(StockStage::Listing { next_try: now, tries: 0 });
        }
        self.inspect = !is_new;
    }

    /// Gives up waiting for an order that an earlier start of the engine took: the present one
    /// holds nothing and knows of no order.
    fn order_anew(&mut self) {
        self.stage = match self.stage.take() {
            Some(StockStage::Ordered(plan, order)) => Some(StockStage::Staged(plan, order.since)),
            other => other,
        };
    }

    /// Where nothing was drawn since the agent's start, what the engine serves is what was staged.
    /// Whoever draws from here verifies it.
    pub(super) fn assume_staged(&mut self) {
        if self.staged.is_some() || self.stage.is_some() {
            return;
        }
        let served = self.engine.as_ref().and_then(|engine| engine.serving.first());
        self.staged = served.map(version_of).zip(self.total_chunks());
    }
}
