//! Keeps an entry's registration in the store: which call to make next, and what answers and the
//! list of entries show about it.
//!
//! A write whose answer is lost may be carried out seconds later. Each write is therefore
//! conditional on the revision that its item was last seen to have, a repeated write uses the same
//! lease, and an entry takes itself to be registered only as long as the list that it reads names
//! it.

use derive_more::Display;
use mustardrill_types::{InstanceId, StoreEra, StoreRevision};

use crate::direct::fleet::update::{FleetChange, FleetUpdate};

/// A lease granted by the platform's store. In another era of the store, the same number may
/// belong to another process.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("{number}")]
pub struct LeaseGrant {
    /// Lease number assigned by the store.
    pub number: u64,
    /// Era of the store in which the lease was granted.
    pub era: StoreEra,
}

/// A call to the store that the registration needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrationCall {
    /// Obtain a lease.
    Grant,
    /// Write the item under the lease if its revision is still this one; zero if there is none.
    Write(LeaseGrant, StoreRevision),
    /// Renew the lease, once the usual interval has passed.
    Renew(LeaseGrant),
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrationWrite {
    /// The item has been written and has this revision.
    Written(StoreRevision),
    /// The condition did not hold, and nothing was written.
    Differs(HeldItem),
}

/// What the store holds under the key of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldItem {
    /// Revision of the item; zero if there is none.
    pub revision: StoreRevision,
    /// Number of the lease that it hangs on.
    pub lease: u64,
}

/// Whether the list of entries names this entry, as of a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnListing {
    /// The era and the revision up to which the list was read.
    pub read_to: (StoreEra, StoreRevision),
    /// Whether the list names this entry.
    pub is_listed: bool,
}

impl OwnListing {
    /// Returns what an update shows about the registration of `own_id`, if anything.
    pub fn of(update: &FleetUpdate, own_id: &InstanceId) -> Option<Self> {
        let mut own_changes = update.changes.iter().filter_map(|change| match change {
            FleetChange::Peer(record) if record.id == *own_id => Some(true),
            FleetChange::PeerGone(id) if id == own_id => Some(false),
            _ => None,
        });
        let is_listed = own_changes.next_back().or(update.is_snapshot.then_some(false))?;
        Some(Self { read_to: (update.era, update.revision), is_listed })
    }
}

/// The state of an entry's registration.
#[derive(Debug, Default)]
pub struct RegistrationKeeper {
    lease: Option<LeaseGrant>,
    /// The item's revision as last seen, on which the next write is conditional.
    expected: StoreRevision,
    /// The revision at which the item hangs on `lease`; `None` until that is known.
    written: Option<StoreRevision>,
}

impl RegistrationKeeper {
    /// The call to make next.
    pub fn next_call(&self) -> RegistrationCall {
        match (self.lease, self.written) {
            (None, _) => RegistrationCall::Grant,
            (Some(lease), None) => RegistrationCall::Write(lease, self.expected),
            (Some(lease), Some(_)) => RegistrationCall::Renew(lease),
        }
    }

    /// Records that the store granted a lease.
    pub fn record_grant(&mut self, lease: LeaseGrant) {
        self.lease = Some(lease);
        self.written = None;
    }

    /// Records the outcome of a write. An item that hangs on the lease already was written by an
    /// earlier call whose answer was lost.
    pub fn record_write(&mut self, outcome: RegistrationWrite) {
        match outcome {
            RegistrationWrite::Written(revision) => self.written = Some(revision),
            RegistrationWrite::Differs(held) => {
                self.expected = held.revision;
                let is_own = self.lease.is_some_and(|lease| lease.number == held.lease);
                self.written =
                    (is_own && held.revision > StoreRevision(0)).then_some(held.revision);
            }
        }
    }

    /// Records that the lease has ended, and the item with it.
    pub fn record_lease_end(&mut self) {
        *self = Self::default();
    }

    /// Records what the list of entries shows; returns whether the registration was lost although
    /// its lease is renewed. A list that was read before the item was written shows nothing.
    pub fn record_listing(&mut self, listing: OwnListing) -> bool {
        let (Some(lease), Some(written)) = (self.lease, self.written) else { return false };
        let is_lost = !listing.is_listed && listing.read_to >= (lease.era, written);
        if is_lost {
            self.record_lease_end();
        }
        is_lost
    }
}
