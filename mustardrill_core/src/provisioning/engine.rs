//! Evaluates the engine's reported state: restarts, and the weights that it serves.

use log::info;
use mustardrill_types::Moment;

use crate::direct::AnnouncementTime;
use crate::provisioning::event::{EngineView, ProvisioningEffect};
use crate::provisioning::reducer::{ProvisioningReducer, ProvisioningStage, version_id_of};

impl ProvisioningReducer {
    pub(super) fn engine_observed(
        &mut self,
        now: Moment,
        view: Option<EngineView>,
    ) -> Vec<ProvisioningEffect> {
        let before = self.engine.take();
        self.is_engine_polled = true;
        let Some(view) = view else { return Vec::new() };
        let mut effects = Vec::new();
        let is_first = self.last_engine_view.is_none();
        if is_first && self.stage.is_some() {
            self.first_response(now, &view);
        }
        let is_restart =
            self.last_engine_view.as_ref().is_some_and(|last| view.is_restart_of(last));
        if is_first || is_restart {
            self.ledger.begin_incarnation(&view);
        } else {
            self.ledger.observe(&view);
        }
        self.ledger.settle(&view);
        self.last_engine_view = Some(view.clone());
        self.record_served(&view);
        let is_known = before.is_some() && !is_restart && !view.serving.is_empty();
        if !is_known && self.stage.is_none() {
            self.inspects_staged = true;
        }
        if is_restart {
            info!("engine start={} sequence={} outcome=restarted", view.start, view.sequence);
            self.discard_load_order(now);
        }
        effects.extend(self.confirm_load_order(now, &view));
        if let Some(ProvisioningStage::AwaitingSlot(..) | ProvisioningStage::VerifyingStaged(_)) =
            self.stage
        {
            self.ledger.record_complete(view.sequence);
        }
        let served = before.map(|before| before.serving).unwrap_or_default();
        if served != view.serving
            && let Some(now_served) = view.serving.first()
        {
            let version = version_id_of(now_served);
            info!("engine serving={version} sequence={} outcome=changed", view.sequence);
            if self.ledger.is_proven(&version) {
                effects.push(self.notify_serving(&version));
            }
        }
        self.engine = Some(view);
        effects
    }

    /// Records the served version as announced at an unknown time.
    ///
    /// When an agent starts while its entry is cut off from the store, or while the store lacks the
    /// latest announcement, the newest version known here may be older than what the engine serves.
    /// Without this the engine would be given that older version.
    fn record_served(&mut self, view: &EngineView) {
        for served in &view.serving {
            let newest = self.versions.newest(&served.model);
            if newest.is_none_or(|newest| newest < served.version) {
                let time = AnnouncementTime::bounded(Moment(0), Moment(0));
                self.versions.announce(&served.model, served.version, time);
            }
        }
    }

    /// Handles the engine's first response. Chunks fetched before it are kept only for an engine
    /// that has just started: one that has run for longer may have more staged already, or may need
    /// none of them.
    fn first_response(&mut self, now: Moment, view: &EngineView) {
        let is_new = view.serving.is_empty() && view.sequence == 0;
        if !is_new {
            self.stage = Some(ProvisioningStage::FetchingManifest { next_try: now, tries: 0 });
        }
        self.inspects_staged = !is_new;
    }

    /// Stops waiting for a load order that the engine's previous incarnation took: the current one
    /// holds no weights and knows of no order.
    fn discard_load_order(&mut self, now: Moment) {
        self.stage = match self.stage.take() {
            Some(ProvisioningStage::Loading(plan, order)) => {
                Some(ProvisioningStage::AwaitingSlot(plan, order.since))
            }
            // The order is to be recorded for the new incarnation first.
            Some(ProvisioningStage::VerifyingStaged(plan)) => {
                Some(ProvisioningStage::AwaitingSlot(plan, now))
            }
            other => other,
        };
    }

    /// If nothing was fetched since the agent started, assumes that the staged copy is the version
    /// that the engine serves. Peers verify each chunk that they fetch from here.
    pub(super) fn assume_staged(&mut self) {
        if self.staged.is_some() || self.stage.is_some() {
            return;
        }
        let served = self.engine.as_ref().and_then(|engine| engine.serving.first());
        self.staged = served.map(version_id_of).zip(self.expected_chunk_count());
    }
}
