//! What entries answer on the store, on the clock of the one that asked.

use mustardrill_core::direct::AvailabilitySpan;
use mustardrill_runtime::datagram::ContactRow;
use mustardrill_types::{Generation, Moment};

/// The clocks of two processes have nothing in common but their pace.
#[test]
fn an_answer_that_waited_is_not_believed() {
    let span = AvailabilitySpan { since: Moment(10_000), until: Moment(49_000) };
    let row = ContactRow::new(Moment(50_000), span, Generation(1), 700_000);
    let heard = row.span(Moment(700_040)).expect("it came at once");
    assert_eq!(heard.since, Moment(660_040));
    assert_eq!(heard.until, Moment(699_000), "the store's last answer is not made younger");
    assert_eq!(row.span(Moment(701_000)), None);
}

/// Cut off at the clock's zero, an age from before its start looked as young as the process.
#[test]
fn an_answer_of_the_store_from_before_the_asker_started_is_not_made_younger() {
    let span = AvailabilitySpan { since: Moment(0), until: Moment(46_000) };
    let row = ContactRow::new(Moment(50_000), span, Generation(1), 1_900);
    assert_eq!(row.span(Moment(1_910)), None);
}
