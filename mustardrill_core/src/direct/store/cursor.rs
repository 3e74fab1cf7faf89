//! The position up to which a process has read the store, and the store's era that it belongs to.
//!
//! When the store is restored from a copy some seconds old, it assigns the same revisions a second
//! time. Once it has grown past the revision of a reader, a watch from that revision does not
//! report what changed below it. A revision is therefore used only within the era in which it was
//! read.

use mustardrill_types::{StoreEra, StoreRevision};

use crate::direct::fleet::update::FleetUpdate;

/// What to do with an update read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CursorVerdict {
    /// The update is to be applied.
    Taken {
        /// Whether this is the first update of a later era than the one read before.
        returned: bool,
    },
    /// The store was restored from a copy since the last update: this one must be dropped and a
    /// snapshot read.
    ReadAnew,
    /// The update belongs to an earlier era than one seen before and must be dropped.
    Outdated,
}

/// The position up to which a process has read the store.
#[derive(Debug, Default)]
pub struct StoreCursor {
    /// The newest era seen in any update.
    newest_era: StoreEra,
    /// The era of the update applied last; `None` before the first one.
    applied_era: Option<StoreEra>,
    revision: Option<StoreRevision>,
}

impl StoreCursor {
    /// Returns the revision after which to read changes, or `None` if a snapshot must be read.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// Whether the position belongs to this era of the store.
    pub fn is_of(&self, era: StoreEra) -> bool {
        self.applied_era == Some(era)
    }

    /// Drops the position because the store no longer has the changes after it.
    pub fn reset(&mut self) {
        self.revision = None;
    }

    /// Advances to an update, unless it belongs to another era.
    pub fn take(&mut self, update: &FleetUpdate) -> CursorVerdict {
        if update.era < self.newest_era {
            return CursorVerdict::Outdated;
        }
        self.newest_era = update.era;
        let returned = self.applied_era.is_some_and(|era| update.era > era);
        if returned && !update.is_snapshot {
            self.revision = None;
            return CursorVerdict::ReadAnew;
        }
        self.applied_era = Some(update.era);
        self.revision = Some(update.revision);
        CursorVerdict::Taken { returned }
    }
}
