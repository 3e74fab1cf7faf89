//! Drawing chunks from entries that hand them on.

use mustardrill_types::{ChunkIndex, InstanceId, Millis, Moment};

use crate::direct::PeerRecord;
use crate::relays::RelayItem;
use crate::transfer::{ChunkSource, DrawOutcome, Flight, TransferPlan};

/// How long one that finds a version named long ago waits for its peers' holdings before it asks
/// entries: some rounds of questions and answers.
const PEERS_FIRST: Millis = Millis(300);

/// A chunk that takes longer, with others in flight, tells of a link that is narrower than those that
/// the bounds are made for.
const SLOW_PACE: Millis = Millis(250);

/// How long entries are left alone of which one says that the origin can't be had.
///
/// Load pattern: the origin is away. Counted as failed, the entries would be left one after the other,
/// until each agent asks the origin itself, and on its return all draw the same chunks from it. The
/// rest is about what entries take to notice.
const RELAY_REST: Millis = Millis(150);

/// With each time of so many stalls that passes, one more instance asks far entries for a chunk
/// that none here shows.
const STALLS_A_HOME: u64 = 4;

/// What is asked of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayDuty {
    /// Nothing: none may be asked.
    None,
    /// What this instance is the home of: only entries of other data centres may be asked, and one
    /// copy is to cross the border.
    Homes,
    /// What no peer shows.
    Unseen,
    /// Everything.
    All,
}

impl TransferPlan {
    /// Takes the entries that hand chunks on.
    pub fn set_relays(&mut self, relays: Vec<PeerRecord>) {
        self.relays.set_relays(relays);
    }

    pub(super) fn relay_flights(&self) -> usize {
        let is_relay = |flight: &&Flight| matches!(flight.source, ChunkSource::Relay(_));
        self.flights.values().filter(is_relay).count()
    }

    /// Chunks in flight from entries at once.
    ///
    /// Load pattern: an engine's link narrows in the middle of a copy. What is in flight then waits
    /// before the link, and requests wait behind it until their callers have left.
    pub(super) fn relay_window(&self) -> usize {
        let window = self.settings.relay_window;
        if self.pace > SLOW_PACE { window.min(1) } else { window }
    }

    pub(super) fn relay_duty(&self, now: Moment) -> RelayDuty {
        if self.settings.relay_window == 0 {
            return RelayDuty::None;
        }
        let nearest = self.nearest_relay(now, RelayItem::List);
        let Some(relay) = nearest else { return RelayDuty::None };
        if relay.data_centre != self.own.data_centre {
            return RelayDuty::Homes;
        }
        if self.settings.relays_first { RelayDuty::All } else { RelayDuty::Unseen }
    }

    /// The next chunk to ask an entry for. All ask in the same order, so that what one entry has
    /// drawn for the first serves all others.
    pub(super) fn next_relay_chunk(
        &self,
        now: Moment,
        duty: RelayDuty,
    ) -> Option<(ChunkIndex, InstanceId)> {
        if now < self.relay_rest {
            return None;
        }
        let waited = now.since(self.started);
        if duty == RelayDuty::None || (duty != RelayDuty::All && waited < PEERS_FIRST) {
            return None;
        }
        let stalls = (waited.0 / (self.settings.stall_after.0.max(1) * STALLS_A_HOME)) as usize;
        let is_open = |index: &ChunkIndex| match duty {
            RelayDuty::All => true,
            RelayDuty::Unseen => self.partners.copies(*index) == 0,
            _ => self.partners.copies(*index) == 0 && self.homes.holder_rank(*index) <= stalls,
        };
        let missing = self.missing.chunks.iter().copied();
        let free = missing.filter(|index| !self.flights.contains_key(index));
        let index = free.filter(is_open).min()?;
        let relay = self.nearest_relay(now, RelayItem::Chunk(index))?;
        Some((index, relay.id.clone()))
    }

    pub(super) fn relay_failed(&mut self, now: Moment, id: &InstanceId, outcome: &DrawOutcome) {
        match outcome {
            // It is well; nobody has the chunk yet.
            DrawOutcome::Busy(_) => self.relay_rest = now + RELAY_REST,
            DrawOutcome::Corrupt => {
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
