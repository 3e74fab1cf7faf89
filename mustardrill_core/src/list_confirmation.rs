//! Decides when a chunk list that the origin sent is believed.
//!
//! Chunks are checked by their list, and nothing checks the list, so it counts only once a second
//! answer of the origin agrees with it.

use std::collections::VecDeque;

use crate::provisioning::VersionId;

/// How many lists that were read once are kept.
const MAX_UNCONFIRMED_LISTS: usize = 4;

/// What an answer of the origin says about a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListVerdict {
    /// It is the first answer about this version.
    First,
    /// An earlier answer agrees with it.
    Confirmed,
    /// It differs from all earlier answers about this version.
    Differs,
}

/// The lists that were read once.
#[derive(Debug, Default)]
pub struct ListConfirmation {
    /// The digests of each, the oldest first.
    unconfirmed: VecDeque<(VersionId, Box<[[u8; 32]]>)>,
}

impl ListConfirmation {
    /// Judges a list by the earlier answers, and notes it if none agrees.
    pub fn judge(&mut self, version: &VersionId, digests: &[[u8; 32]]) -> ListVerdict {
        let mut earlier = self.unconfirmed.iter().filter(|(other, _)| other == version);
        if earlier.clone().any(|(_, other)| **other == *digests) {
            self.unconfirmed.retain(|(other, _)| other != version);
            return ListVerdict::Confirmed;
        }
        let is_first = earlier.next().is_none();
        self.unconfirmed.push_back((version.clone(), digests.into()));
        if self.unconfirmed.len() > MAX_UNCONFIRMED_LISTS {
            self.unconfirmed.pop_front();
        }
        if is_first { ListVerdict::First } else { ListVerdict::Differs }
    }
}
