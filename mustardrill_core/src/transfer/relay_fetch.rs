//! Fetches chunks from entries that relay them.

use mustardrill_types::{ChunkIndex, InstanceId, Millis, Moment};

use crate::direct::PeerRecord;
use crate::relays::RelayItem;
use crate::transfer::{ChunkSource, FetchOutcome, PendingFetch, TransferPlan};

/// How long an instance that starts after a version was announced waits for its peers' holdings
/// before it asks entries: a few round trips.
const PEER_REPORT_WAIT: Millis = Millis(300);

/// A mean fetch time above this, with several chunks in flight, indicates a link narrower than
/// those for which the concurrency limits are meant.
const SLOW_FETCH_TIME: Millis = Millis(250);

/// Backoff for all entries after one of them reports that the origin is unavailable.
///
/// If each such response counted as a failure of the entry, the entries would be ejected one after
/// the other until each agent asks the origin itself, and once it is available again all would
/// fetch the same chunks from it. The backoff is about the time in which entries detect the outage.
const RELAY_RETRY_DELAY: Millis = Millis(150);

/// After every this many stall intervals, one more instance of a data centre asks remote entries
/// for a chunk that no partner holds.
const STALLS_PER_HOLDER: u64 = 4;

/// Which chunks are requested from entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayUse {
    /// None: no entry is usable.
    None,
    /// Chunks of which this instance is the primary holder: only entries of other data centres are
    /// usable, and one copy should cross the border of the data centre.
    PrimaryHeld,
    /// Chunks that no partner reports as held.
    Unheld,
    /// All missing chunks.
    All,
}

impl TransferPlan {
    /// Sets the entries that relay chunks.
    pub fn set_relays(&mut self, relays: Vec<PeerRecord>) {
        self.relays.set_relays(relays);
    }

    pub(super) fn relay_fetches(&self) -> usize {
        let is_relay = |fetch: &&PendingFetch| matches!(fetch.source, ChunkSource::Relay(_));
        self.pending.values().filter(is_relay).count()
    }

    /// Maximum number of concurrent fetches from entries.
    ///
    /// If an engine's link narrows during a copy, the chunks in flight queue up before it and delay
    /// requests until their callers have given up. On a slow link only one chunk is fetched at a
    /// time.
    pub(super) fn relay_window(&self) -> usize {
        let window = self.settings.relay_window;
        if self.mean_fetch_time > SLOW_FETCH_TIME { window.min(1) } else { window }
    }

    pub(super) fn relay_use(&self, now: Moment) -> RelayUse {
        if self.settings.relay_window == 0 {
            return RelayUse::None;
        }
        let nearest = self.nearest_relay(now, RelayItem::List);
        let Some(relay) = nearest else { return RelayUse::None };
        if relay.data_centre != self.own.data_centre {
            return RelayUse::PrimaryHeld;
        }
        if self.settings.prefers_relays { RelayUse::All } else { RelayUse::Unheld }
    }

    /// The next chunk to request from an entry. All instances request chunks in the same order, so
    /// that what an entry has fetched for the first serves all others.
    pub(super) fn next_relay_chunk(
        &self,
        now: Moment,
        relay_use: RelayUse,
    ) -> Option<(ChunkIndex, InstanceId)> {
        if now < self.relay_retry_at {
            return None;
        }
        let waited = now.since(self.started_at);
        if relay_use == RelayUse::None || (relay_use != RelayUse::All && waited < PEER_REPORT_WAIT)
        {
            return None;
        }
        let stalls = (waited.0 / (self.settings.stall_after.0.max(1) * STALLS_PER_HOLDER)) as usize;
        let is_allowed = |index: &ChunkIndex| match relay_use {
            RelayUse::All => true,
            RelayUse::Unheld => self.partners.copies(*index) == 0,
            _ => self.partners.copies(*index) == 0 && self.assignment.holder_rank(*index) <= stalls,
        };
        let missing = self.missing.chunks.iter().copied();
        let free = missing.filter(|index| !self.pending.contains_key(index));
        let index = free.filter(is_allowed).min()?;
        let relay = self.nearest_relay(now, RelayItem::Chunk(index))?;
        Some((index, relay.id.clone()))
    }

    pub(super) fn relay_failed(&mut self, now: Moment, id: &InstanceId, outcome: &FetchOutcome) {
        match outcome {
            // The entry works; no process has the chunk yet.
            FetchOutcome::Busy(_) => self.relay_retry_at = now + RELAY_RETRY_DELAY,
            FetchOutcome::Corrupt => {
                self.counts.corrupt_chunks += 1;
                self.relays.record_failure(now, id);
            }
            _ => self.relays.record_failure(now, id),
        }
    }

    fn nearest_relay(&self, now: Moment, item: RelayItem) -> Option<&PeerRecord> {
        let version = format!("{}:{}", self.manifest.model, self.manifest.version);
        self.relays.nearest(now, &version, item, &self.own.data_centre)
    }
}
