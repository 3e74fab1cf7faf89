//! Crash reports in datagrams: what is decoded is what was reported, and each datagram is delivered
//! whole.

use mustardrill_core::quarantine::{CrashReport, CrashedRun};
use mustardrill_runtime::datagram::{DATAGRAM_LIMIT, Datagram, split_crash_rows};
use mustardrill_runtime::wire::{crash_message, crash_report};
use mustardrill_types::{Millis, Moment, PartId, PartSet, RequestDigest, StartStamp};

const NOW: Moment = Moment(50_000);

fn parts(count: u128) -> PartSet {
    (0..count).map(|number| PartId(u128::MAX - number)).collect()
}

fn reports(part_count: u128) -> Vec<CrashReport> {
    let run = CrashedRun {
        digest: RequestDigest(7),
        parts: parts(part_count),
        upstream: "i-7f3a91c2-of-a-long-name".parse().unwrap(),
        start: StartStamp(1_700_000_000_000),
        sent: NOW - Millis(300),
        ended: NOW - Millis(20),
    };
    let mut reports = vec![
        CrashReport::Crashed(run),
        CrashReport::Sound(RequestDigest(8), NOW - Millis(5)),
        CrashReport::Quarantined(RequestDigest(9).into(), Millis(600_000)),
    ];
    if part_count > 0 {
        reports.push(CrashReport::PartsSound(parts(part_count), NOW - Millis(5)));
        reports.push(CrashReport::Quarantined(parts(part_count).into(), Millis(1_000)));
    }
    reports
}

#[test]
fn reports_on_contents_and_parts_are_decoded_as_reported() {
    for count in [0, 1, 3, 64] {
        for report in reports(count) {
            let row = crash_message(NOW, &report);
            assert_eq!(crash_report(NOW, &row), Some(report));
        }
    }
}

#[test]
fn a_row_with_a_broken_list_of_parts_is_skipped() {
    let mut row = crash_message(NOW, &reports(3)[0]);
    row.parts = row.parts.slice(..40);
    assert_eq!(crash_report(NOW, &row), None);
}

/// A datagram longer than what is received at once would be cut, and all its reports lost.
#[test]
fn many_reports_on_long_prompts_are_split_over_datagrams() {
    let all: Vec<_> = (0..20).flat_map(|_| reports(64)).collect();
    let mut received = 0;
    for rows in split_crash_rows(all.iter().map(|report| crash_message(NOW, report))) {
        received += rows.len();
        let mut datagram = Datagram::new(&"an-entry-with-a-long-name-0123456789".parse().unwrap());
        datagram.crashes = rows;
        assert!(datagram.to_bytes().len() <= DATAGRAM_LIMIT, "{}", datagram.to_bytes().len());
    }
    assert_eq!(received, all.len());
}
