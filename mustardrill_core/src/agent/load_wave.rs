//! Switching to a staged version: wave order, the load order, and the notice to the next instance.

use log::{info, warn};
use mustardrill_types::{FencingNumber, InstanceId, ManifestDigest, Moment};

use crate::agent::event::{AgentEffect, LoadOrder};
use crate::agent::weights_table::WeightsTable;
use crate::membership::MemberTable;
use crate::wave;

impl WeightsTable {
    /// Orders the upstream to load a complete copy, if the lease, the wave order and the retry
    /// interval allow it.
    pub(super) fn order_load_if_due(
        &mut self,
        now: Moment,
        digest: ManifestDigest,
        members: &MemberTable,
        fence: Option<FencingNumber>,
    ) -> Vec<AgentEffect> {
        if self.serving.contains(&digest) || self.loading.is_some() {
            return Vec::new();
        }
        let Some(fence) = fence else { return Vec::new() };
        if let Some(id) = self.pending_wave_predecessor(now, digest, members) {
            return self.query_wave_predecessor(now, digest, id).into_iter().collect();
        }
        let retry = now + self.settings.retry_every;
        let state = self.versions.get_mut(&digest).expect("a version of the table");
        if now < state.next_try {
            return Vec::new();
        }
        state.next_try = retry;
        info!(
            "load model={} version={} manifest={} fence={fence} decision=order",
            state.model,
            state.version,
            digest.short()
        );
        self.loading = Some(digest);
        vec![AgentEffect::OrderLoad(LoadOrder {
            model: state.model.clone(),
            version: state.version.clone(),
            digest,
            fence,
        })]
    }

    /// Asks the instance before this one in the wave order whether it has switched, in case its
    /// notice was lost.
    fn query_wave_predecessor(
        &mut self,
        now: Moment,
        digest: ManifestDigest,
        id: InstanceId,
    ) -> Option<AgentEffect> {
        let next = now + self.settings.retry_every;
        let state = self.versions.get_mut(&digest).filter(|state| now >= state.next_wave_query)?;
        state.next_wave_query = next;
        Some(AgentEffect::Exchange(digest, id))
    }

    /// The instance that must switch before this one and has not done so yet.
    fn pending_wave_predecessor(
        &mut self,
        now: Moment,
        digest: ManifestDigest,
        members: &MemberTable,
    ) -> Option<InstanceId> {
        // An upstream that serves nothing yet takes no capacity out of service by loading.
        if self.serving.is_empty() {
            return None;
        }
        let state = self.versions.get_mut(&digest)?;
        let live = state.live_instances(now, members);
        let own = &self.settings.own.id;
        let id = wave::predecessor(digest, &live, own, self.settings.floor_percent)?;
        if self.served_by.get(&digest).is_some_and(|known| known.contains(&id)) {
            return None;
        }
        let since = *state.wave_wait_since.get_or_insert(now);
        if now.since(since) >= self.settings.wave_timeout {
            warn!("load manifest={} decision=skip-wait instance={id}", digest.short());
            return None;
        }
        Some(id)
    }

    /// Notifies the instance that waits for this one that it has switched.
    pub(super) fn notify_wave_successor(
        &self,
        now: Moment,
        digest: ManifestDigest,
        members: &MemberTable,
    ) -> Option<AgentEffect> {
        let live = self.versions.get(&digest)?.live_instances(now, members);
        let own = &self.settings.own.id;
        let id = wave::successor(digest, &live, own, self.settings.floor_percent)?;
        Some(AgentEffect::Exchange(digest, id))
    }
}
