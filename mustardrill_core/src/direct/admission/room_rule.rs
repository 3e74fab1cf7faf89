//! How many of an upstream's slots a request may take.

use crate::direct::placement::capacity;

/// The share of an upstream's slots, in percent, that requests leave free for each more urgent
/// kind that lately found too little room.
///
/// One or two slots of an engine are enough: those that become free in the time of a round trip.
const RESERVED_PERCENT: u32 = 15;

/// For how many more urgent kinds slots are left free at most; with many kinds hardly any room would
/// be left to the others.
const MAX_KINDS: u32 = 2;

/// Which slots of an upstream a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoomRule {
    /// All slots, and `ahead` more requests.
    InTime {
        /// Requests beyond the slots.
        ahead: u32,
    },
    /// What `kinds` more urgent kinds leave.
    Reserved {
        /// Their number.
        kinds: u32,
    },
    /// The share of the slots for requests that are late already.
    Late {
        /// The share in percent.
        percent: u32,
    },
}

impl RoomRule {
    /// How many requests an upstream with `slots` slots may have so that it is sent another one.
    pub(crate) fn request_limit(self, slots: u32) -> u32 {
        match self {
            Self::InTime { ahead } => capacity::request_limit(slots, ahead),
            Self::Reserved { kinds } => {
                let reserved = capacity::slots_share(slots, RESERVED_PERCENT).max(1);
                let reserved = reserved.saturating_mul(kinds.min(MAX_KINDS));
                slots.saturating_sub(reserved).max(1)
            }
            Self::Late { percent } => capacity::late_request_limit(slots, percent),
        }
    }
}
