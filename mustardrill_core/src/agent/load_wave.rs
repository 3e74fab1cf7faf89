//! The switch to a staged version: whose turn it is, the load order, and word to the next.

use log::{info, warn};
use mustardrill_types::{FencingNumber, InstanceId, ManifestDigest, Moment};

use crate::agent::event::{AgentEffect, LoadOrder};
use crate::agent::weights_table::WeightsTable;
use crate::membership::MemberTable;
use crate::wave;

impl WeightsTable {
    /// Orders the upstream to load a whole copy, where lease, wave and the last try allow it.
    pub(super) fn consider_load(
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
        if let Some(id) = self.wave_blocker(now, digest, members) {
            return self.ask_blocker(now, digest, id).into_iter().collect();
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

    /// Asks whether the instance before this one has switched, in case that its word of it was lost.
    fn ask_blocker(
        &mut self,
        now: Moment,
        digest: ManifestDigest,
        id: InstanceId,
    ) -> Option<AgentEffect> {
        let next = now + self.settings.retry_every;
        let state = self.versions.get_mut(&digest).filter(|state| now >= state.next_question)?;
        state.next_question = next;
        Some(AgentEffect::Exchange(digest, id))
    }

    /// The instance that must switch before this one, where it has not yet.
    fn wave_blocker(
        &mut self,
        now: Moment,
        digest: ManifestDigest,
        members: &MemberTable,
    ) -> Option<InstanceId> {
        // An upstream that serves nothing yet takes no capacity away by loading.
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
        let since = *state.waiting_since.get_or_insert(now);
        if now.since(since) >= self.settings.wave_patience {
            warn!("load manifest={} decision=skip-wait instance={id}", digest.short());
            return None;
        }
        Some(id)
    }

    /// Tells the instance that waits for this one that it has switched.
    pub(super) fn tell_successor(
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
