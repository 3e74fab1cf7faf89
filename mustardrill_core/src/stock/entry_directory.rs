//! The entries that an agent tells of its engine.

use mustardrill_types::{Millis, Moment};

use crate::direct::PeerRecord;

/// How long the entries' addresses are good. Loading takes two words to them within some seconds.
const ENTRIES_AGE: Millis = Millis(6_000);

/// The entries as they were read last.
///
/// Load pattern: engines load new weights while the store is away. Old addresses are used all the same:
/// entries that are not told of a pause go on sending requests, which the engine turns away.
#[derive(Debug, Default)]
pub struct EntryBook {
    read_at: Option<Moment>,
    entries: Vec<PeerRecord>,
}

impl EntryBook {
    /// Whether they should be read anew: one that has come since is not known.
    pub fn is_due(&self, now: Moment) -> bool {
        self.read_at.is_none_or(|read| now.since(read) >= ENTRIES_AGE)
    }

    /// Takes what was read. Where all start at once none may have registered yet.
    pub fn note(&mut self, now: Moment, entries: Vec<PeerRecord>) {
        if !entries.is_empty() {
            self.read_at = Some(now);
            self.entries = entries;
        }
    }

    /// The entries, however long ago they were read.
    pub fn known(&self) -> &[PeerRecord] {
        &self.entries
    }
}
