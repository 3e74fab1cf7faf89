//! Counts the live entries, as seen by one of them.
//!
//! While the store is unavailable the registrations of all entries expire, although the entries
//! keep serving. Without further evidence each entry would assume that it is alone and use the
//! whole shared budget. A peer entry is therefore counted for a full window after its last sign of
//! life, which is its registration or a load update.

use mustardrill_types::{FastMap, FastSet, InstanceId, Millis, Moment};

use crate::direct::fleet::update::PeerRecord;

/// The most entries that are told apart by their messages alone: a fleet has fewer, but a message may
/// name any sender.
const MAX_SENDERS: usize = 1_024;

/// Time of the last sign of life of each peer entry.
#[derive(Debug, Default)]
pub(crate) struct EntryCounter {
    last_seen: FastMap<InstanceId, Moment>,
}

impl EntryCounter {
    /// Records a message; returns `false` where its sender is neither known nor `registered` and there
    /// are too many others.
    pub(crate) fn record_message(
        &mut self,
        now: Moment,
        id: &InstanceId,
        registered: &[PeerRecord],
    ) -> bool {
        let is_accepted = self.last_seen.len() < MAX_SENDERS
            || self.last_seen.contains_key(id)
            || registered.iter().any(|peer| peer.id == *id);
        if is_accepted {
            self.record_activity(now, id);
        }
        is_accepted
    }

    /// Records a sign of life: a message from the peer, or the end of its registration.
    pub(crate) fn record_activity(&mut self, now: Moment, id: &InstanceId) {
        match self.last_seen.get_mut(id) {
            Some(seen) => *seen = now,
            None => {
                self.last_seen.insert(id.clone(), now);
            }
        }
    }

    /// Returns the peers that are registered or gave a sign of life within `window`. Peers that have
    /// been silent for longer are dropped.
    pub(crate) fn live_peers(
        &mut self,
        now: Moment,
        window: Millis,
        registered: &[PeerRecord],
    ) -> Vec<InstanceId> {
        self.last_seen.retain(|_, seen| now.since(*seen) < window);
        let registered: FastSet<_> = registered.iter().map(|peer| &peer.id).collect();
        let unregistered = self.last_seen.keys().filter(|id| !registered.contains(id));
        unregistered.chain(registered.iter().copied()).cloned().collect()
    }

    /// Whether more than half of the registered entries, this one included, gave a sign of life
    /// within `span`.
    pub(crate) fn has_majority(
        &self,
        now: Moment,
        span: Millis,
        registered: &[PeerRecord],
    ) -> bool {
        let is_seen = |peer: &&PeerRecord| {
            self.last_seen.get(&peer.id).is_some_and(|seen| now.since(*seen) < span)
        };
        let seen = 1 + registered.iter().filter(is_seen).count();
        2 * seen > 1 + registered.len()
    }
}
