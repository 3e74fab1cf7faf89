//! The entries that an agent notifies about its engine.

use mustardrill_types::{Millis, Moment};

use crate::direct::PeerRecord;

/// Age at which the list of entries is read again. A load sends them two notices some seconds
/// apart.
const MAX_ENTRIES_AGE: Millis = Millis(6_000);

/// The entries from the latest read that returned any.
///
/// Engines may load new weights while the store is unavailable. Old addresses are still used then:
/// entries that receive no notice of a pause keep sending requests, which the engine rejects.
#[derive(Debug, Default)]
pub struct EntryDirectory {
    read_at: Option<Moment>,
    entries: Vec<PeerRecord>,
}

impl EntryDirectory {
    /// Whether the list is due to be read again, to find entries that have registered since.
    pub fn is_refresh_due(&self, now: Moment) -> bool {
        self.read_at.is_none_or(|read| now.since(read) >= MAX_ENTRIES_AGE)
    }

    /// Stores a read list. An empty one is ignored: when all processes start at once, no entry may
    /// have registered yet.
    pub fn update(&mut self, now: Moment, entries: Vec<PeerRecord>) {
        if !entries.is_empty() {
            self.read_at = Some(now);
            self.entries = entries;
        }
    }

    /// The stored entries, regardless of their age.
    pub fn entries(&self) -> &[PeerRecord] {
        &self.entries
    }
}
