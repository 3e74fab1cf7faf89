//! Availability of the store as reported by a peer entry, converted to the requester's clock.

use mustardrill_core::direct::AvailabilitySpan;
use mustardrill_runtime::datagram::AvailabilityRow;
use mustardrill_types::{Generation, Moment};

/// Clocks of two processes run at the same speed but differ in their zero. A delayed answer must not
/// make the store's answers look more recent than they are.
#[test]
fn an_answer_with_a_long_round_trip_is_not_used() {
    let span = AvailabilitySpan { since: Moment(10_000), until: Moment(49_000) };
    let row = AvailabilityRow::new(Moment(50_000), span, Generation(1), 700_000);
    let received = row.span(Moment(700_040)).expect("the round trip is short enough");
    assert_eq!(received.since, Moment(660_040));
    assert_eq!(
        received.until,
        Moment(699_000),
        "the store's last answer must not look more recent than it is"
    );
    assert_eq!(row.span(Moment(701_000)), None);
}

/// An answer from before the requester's clock started must be rejected. Clamped to that clock's zero,
/// it looked no older than the requesting process.
#[test]
fn an_answer_of_the_store_from_before_the_requester_started_is_not_used() {
    let span = AvailabilitySpan { since: Moment(0), until: Moment(46_000) };
    let row = AvailabilityRow::new(Moment(50_000), span, Generation(1), 1_900);
    assert_eq!(row.span(Moment(1_910)), None);
}
