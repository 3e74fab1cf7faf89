//! How many entries there are, as one of them sees it.
//!
//! Load pattern: the store ends the registrations of all entries while it is away, and they go on
//! serving. Each would believe itself alone and spend what all may spend together. An entry
//! therefore counts for a whole window after its last sign: its registration, or a word on its load.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment};

use crate::direct::fleet::page::PeerRecord;

/// When each of the other entries gave its last sign.
#[derive(Debug, Default)]
pub(crate) struct EntryCensus {
    seen: FastMap<InstanceId, Moment>,
}

impl EntryCensus {
    /// Notes a sign of another entry: a word of it, or the end of its registration.
    pub(crate) fn note(&mut self, now: Moment, id: &InstanceId) {
        match self.seen.get_mut(id) {
            Some(seen) => *seen = now,
            None => {
                self.seen.insert(id.clone(), now);
            }
        }
    }

    /// The entries that are registered or gave a sign within `window`, this one included.
    pub(crate) fn count(
        &mut self,
        now: Moment,
        window: Millis,
        registered: &[PeerRecord],
    ) -> usize {
        self.seen.retain(|_, seen| now.since(*seen) < window);
        let is_registered = |id: &&InstanceId| registered.iter().any(|peer| peer.id == **id);
        let others = self.seen.keys().filter(|id| !is_registered(id)).count();
        1 + registered.len() + others
    }
}
