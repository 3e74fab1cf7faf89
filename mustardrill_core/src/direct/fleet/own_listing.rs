//! Whether an entry may conclude from the list of entries how many there are.
//!
//! An entry that is not listed may not be the only one: others do not know it, and it may not know
//! others that are not listed either.

use mustardrill_types::{Millis, Moment};

/// Whether the list of entries named this entry when it was last read.
#[derive(Debug, Default)]
pub(crate) enum ListingState {
    /// Nothing about this entry has been read.
    #[default]
    Unread,
    Listed,
    /// Not listed since this moment, or never; others count an entry for a while after its
    /// registration has ended.
    Missing {
        since: Option<Moment>,
    },
}

impl ListingState {
    /// Records whether the list names this entry.
    pub(crate) fn record(&mut self, now: Moment, is_listed: bool) {
        *self = match self {
            _ if is_listed => Self::Listed,
            Self::Unread => Self::Missing { since: None },
            Self::Listed => Self::Missing { since: Some(now) },
            Self::Missing { since } => Self::Missing { since: *since },
        };
    }

    /// Whether this entry is not known to have been missing for `span`.
    pub(crate) fn is_known_within(&self, now: Moment, span: Millis) -> bool {
        match self {
            Self::Unread | Self::Listed => true,
            Self::Missing { since } => since.is_some_and(|since| now.since(since) < span),
        }
    }
}
