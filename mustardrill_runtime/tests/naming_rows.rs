//! Announcement times reported by an entry that has just started.

use mustardrill_core::direct::{AnnouncementTime, AvailabilitySpan, VersionTable};
use mustardrill_runtime::datagram::AvailabilityRow;
use mustardrill_types::{Generation, Millis, ModelName, Moment, WeightVersion};

/// One entry was cut off from before a version was announced until 6 s after that. Another entry started
/// 4 s after the announcement and found the version announced; it can't tell since when. So its report
/// must not raise the first entry's lower bound.
#[test]
fn a_version_found_at_start_may_have_been_announced_at_any_time_before() {
    let (model, version): (ModelName, _) = ("m".parse().unwrap(), WeightVersion(2));
    let (cut_off_at, back_at) = (Moment(100_000), Moment(107_000));
    let mut cut_off = VersionTable::default();
    cut_off.announce(&model, version, AnnouncementTime::bounded(cut_off_at, back_at));
    // Its clock started 5 s after the first entry was cut off, and now stands at 2 s.
    let mut started = VersionTable::default();
    started.announce(&model, version, AnnouncementTime::bounded(Moment(0), Moment(100)));
    let sent_at = Moment(2_000);
    let reports = started.reports(sent_at - Millis(24_000));
    let span = AvailabilitySpan { since: Moment(100), until: Moment(1_900) };
    let row = AvailabilityRow::new(sent_at, span, Generation(1), back_at.0);
    for report in row.with_announcements(sent_at, reports).announcements(back_at + Millis(1)) {
        cut_off.refine(&report);
    }
    assert_eq!(cut_off.announced_at(&model, version), Some(cut_off_at));
}
