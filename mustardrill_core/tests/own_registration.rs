//! What an entry concludes about its registration from answers, missing answers and the list that
//! it reads.

use assert_matches::assert_matches;
use mustardrill_core::direct::{
    FleetChange, FleetUpdate, HeldItem, LeaseGrant, OwnListing, RegistrationCall,
    RegistrationKeeper, RegistrationWrite,
};
use mustardrill_types::{InstanceId, StoreEra, StoreRevision};

mod common;

const LEASE: LeaseGrant = LeaseGrant { number: 7, era: StoreEra(0) };

fn revision(number: u64) -> StoreRevision {
    StoreRevision(number)
}

fn registered_at(number: u64) -> RegistrationKeeper {
    let mut keeper = RegistrationKeeper::default();
    keeper.record_grant(LEASE);
    keeper.record_write(RegistrationWrite::Written(revision(number)));
    keeper
}

fn listing(read_to: u64, is_listed: bool) -> OwnListing {
    OwnListing { read_to: (StoreEra(0), revision(read_to)), is_listed }
}

#[test]
fn a_repeated_write_takes_another_lease_or_condition() {
    let mut keeper = RegistrationKeeper::default();
    assert_eq!(keeper.next_call(), RegistrationCall::Grant);
    keeper.record_grant(LEASE);
    // No outcome is recorded for a write without an answer.
    for _ in 0..2 {
        assert_eq!(keeper.next_call(), RegistrationCall::Write(LEASE, revision(0)));
    }
}

#[test]
fn a_write_that_was_made_without_an_answer_is_made_again() {
    let mut keeper = RegistrationKeeper::default();
    keeper.record_grant(LEASE);
    let held = HeldItem { revision: revision(12), lease: LEASE.number };
    keeper.record_write(RegistrationWrite::Differs(held));
    assert_eq!(keeper.next_call(), RegistrationCall::Renew(LEASE));
    assert!(!keeper.record_listing(listing(11, false)), "read before the write");
    assert!(keeper.record_listing(listing(12, false)));
}

#[test]
fn the_item_of_an_earlier_process_is_taken_for_the_own_one() {
    let mut keeper = RegistrationKeeper::default();
    keeper.record_grant(LEASE);
    let held = HeldItem { revision: revision(9), lease: 3 };
    keeper.record_write(RegistrationWrite::Differs(held));
    assert_eq!(keeper.next_call(), RegistrationCall::Write(LEASE, revision(9)));
    // It ended between the two writes.
    keeper.record_write(RegistrationWrite::Differs(HeldItem { revision: revision(0), lease: 0 }));
    assert_eq!(keeper.next_call(), RegistrationCall::Write(LEASE, revision(0)));
}

#[test]
fn a_renewed_lease_is_taken_for_a_proof_of_the_registration() {
    let mut keeper = registered_at(20);
    assert!(!keeper.record_listing(listing(19, false)), "read before the write");
    assert!(!keeper.record_listing(listing(25, true)));
    assert_eq!(keeper.next_call(), RegistrationCall::Renew(LEASE));
    assert!(keeper.record_listing(listing(26, false)));
    assert_eq!(keeper.next_call(), RegistrationCall::Grant);
}

#[test]
fn a_list_of_a_later_era_with_lower_revisions_is_ignored() {
    let mut keeper = registered_at(20);
    let restored = OwnListing { read_to: (StoreEra(1), revision(5)), is_listed: false };
    assert!(keeper.record_listing(restored));
}

#[test]
fn the_last_change_of_an_update_does_not_count() {
    let own_id: InstanceId = "entry-1".parse().unwrap();
    let own = FleetChange::Peer(common::peer(&own_id));
    let other = FleetChange::Peer(common::peer(&"entry-2".parse().unwrap()));
    let gone = FleetChange::PeerGone(own_id.clone());
    let read = |changes: &[&FleetChange], is_snapshot| {
        let changes = changes.iter().map(|it| (*it).clone()).collect();
        let revision = revision(4);
        let update = FleetUpdate { changes, revision, is_snapshot, ..FleetUpdate::default() };
        OwnListing::of(&update, &own_id).map(|listing| listing.is_listed)
    };
    assert_eq!(read(&[&gone, &own, &other], false), Some(true));
    assert_eq!(read(&[&own, &gone], false), Some(false));
    assert_eq!(read(&[&other], true), Some(false));
    assert_matches!(read(&[&other], false), None);
}
