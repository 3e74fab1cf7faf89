//! What an entry that has just started tells of versions, as another entry takes it.

use mustardrill_core::direct::{AnnouncementTime, AvailabilitySpan, VersionTable};
use mustardrill_runtime::datagram::ContactRow;
use mustardrill_types::{Generation, Millis, ModelName, Moment, WeightVersion};

/// An entry was cut off from before a version was named until 6 s after it. Another one started 4 s after the
/// naming, and found the version there.
#[test]
fn what_an_entry_found_at_its_start_is_taken_for_named_since_then() {
    let (model, version): (ModelName, _) = ("m".parse().unwrap(), WeightVersion(2));
    let (cut_off_at, back_at) = (Moment(100_000), Moment(107_000));
    let mut cut_off = VersionTable::default();
    cut_off.announce(&model, version, AnnouncementTime::bounded(cut_off_at, back_at));
    // Its clock began 5 s after the cut, and now stands at 2 s.
    let mut started = VersionTable::default();
    started.announce(&model, version, AnnouncementTime::bounded(Moment(0), Moment(100)));
    let told_at = Moment(2_000);
    let words = started.reports(told_at - Millis(24_000));
    let span = AvailabilitySpan { since: Moment(100), until: Moment(1_900) };
    let row = ContactRow::new(told_at, span, Generation(1), back_at.0);
    for word in row.with_namings(told_at, words).namings(back_at + Millis(1)) {
        cut_off.refine(&word);
    }
    assert_eq!(cut_off.announced_at(&model, version), Some(cut_off_at));
}
