//! Which chunk lists of an origin are believed.

use mustardrill_core::list_confirmation::{ListConfirmation, ListVerdict};
use mustardrill_core::provisioning::VersionId;
use mustardrill_types::WeightVersion;

const RIGHT: [[u8; 32]; 2] = [[1; 32], [2; 32]];
const WRONG: [[u8; 32]; 2] = [[1; 32], [3; 32]];

fn version(number: u64) -> VersionId {
    VersionId { model: "m".parse().unwrap(), version: WeightVersion(number) }
}

#[test]
fn one_answer_is_believed() {
    let mut confirmation = ListConfirmation::default();
    assert_eq!(confirmation.judge(&version(1), &WRONG), ListVerdict::First);
    assert_eq!(confirmation.judge(&version(1), &RIGHT), ListVerdict::Differs);
    assert_eq!(confirmation.judge(&version(1), &RIGHT), ListVerdict::Confirmed);
    // A confirmed version is not kept: its list may be evicted and read anew.
    assert_eq!(confirmation.judge(&version(1), &WRONG), ListVerdict::First);
}

#[test]
fn the_list_of_another_version_confirms_a_list() {
    let mut confirmation = ListConfirmation::default();
    assert_eq!(confirmation.judge(&version(1), &RIGHT), ListVerdict::First);
    assert_eq!(confirmation.judge(&version(2), &RIGHT), ListVerdict::First);
    assert_eq!(confirmation.judge(&version(1), &RIGHT), ListVerdict::Confirmed);
}
