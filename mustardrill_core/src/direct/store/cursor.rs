//! Up to where a process has read the store, and in which of its histories.
//!
//! Load pattern: the store comes back from a copy some seconds old and gives revisions out again.
//! Once it has grown past the revision of a reader, a watch from there tells nothing of what changed
//! below it. A reader therefore goes on from a revision only within the era in which it read it.

use mustardrill_types::{StoreEra, StoreRevision};

use crate::direct::fleet::page::FleetPage;

/// What is to be done with a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CursorVerdict {
    /// It is taken over.
    Taken {
        /// Whether it is the first of a later era than what was read before.
        returned: bool,
    },
    /// The store has come back from a copy since: the page is void, and all is to be read anew.
    ReadAnew,
    /// It is of an era that is over: it is void.
    Outdated,
}

/// Up to where a process has read.
#[derive(Debug, Default)]
pub struct StoreCursor {
    /// The newest era that was heard of.
    newest: StoreEra,
    /// The era of what was taken last; nothing before the first page.
    taken: Option<StoreEra>,
    revision: Option<StoreRevision>,
}

impl StoreCursor {
    /// From which state on changes are to be read; nothing where all is.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// Notes that the changes since are no longer to be had.
    pub fn reset(&mut self) {
        self.revision = None;
    }

    /// Takes a page over, unless it belongs to another history.
    pub fn take(&mut self, page: &FleetPage) -> CursorVerdict {
        if page.era < self.newest {
            return CursorVerdict::Outdated;
        }
        self.newest = page.era;
        let returned = self.taken.is_some_and(|era| page.era > era);
        if returned && !page.whole {
            self.revision = None;
            return CursorVerdict::ReadAnew;
        }
        self.taken = Some(page.era);
        self.revision = Some(page.at);
        CursorVerdict::Taken { returned }
    }
}
