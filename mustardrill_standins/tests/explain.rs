//! Collecting what the logs of several processes say about a request.

use mustardrill_entry::explain::explain;

const ENTRY: &str = "\
time=2026-10-05T23:22:38.000Z level=info process=entry-1 membership instance=i-2 outcome=gone
time=2026-10-05T23:22:39.900Z level=info process=entry-1 membership instance=i-1 outcome=listed
time=2026-10-05T23:22:40.007Z level=info process=entry-1 request=a1 decision=send instance=i-1 waited=3ms
time=2026-10-05T23:22:40.008Z level=info process=entry-1 request=a2 decision=send instance=i-1 waited=0ms
time=2026-10-05T23:22:41.300Z level=info process=entry-1 request=a1 instance=i-1 outcome=silent after=1200ms
ready address=127.0.0.1:1
time=2026-10-05T23:22:41.301Z level=info process=entry-1 request=a1 decision=refuse code=3001 waited=1294ms
time=2026-10-05T23:22:50.000Z level=info process=entry-1 config generation=7 before=6 outcome=applied
";
const OTHER_ENTRY: &str = "\
time=2026-10-05T23:22:39.000Z level=info process=entry-2 membership instance=i-1 outcome=listed
";

#[test]
fn the_lines_of_a_request_and_of_its_instance_are_in_order_of_time() {
    let lines = explain("a1", [OTHER_ENTRY, ENTRY]);
    let messages: Vec<_> =
        lines.iter().map(|line| line.split("process=").nth(1).unwrap()).collect();
    assert_eq!(
        messages,
        [
            "entry-1 membership instance=i-1 outcome=listed",
            "entry-1 request=a1 decision=send instance=i-1 waited=3ms",
            "entry-1 request=a1 instance=i-1 outcome=silent after=1200ms",
            "entry-1 request=a1 decision=refuse code=3001 waited=1294ms",
        ]
    );
}

/// A caller asks why its request was refused at once; the reason is in what other entries logged
/// long before.
#[test]
fn the_quarantine_of_a_requests_content_is_found_in_the_logs_of_all_entries() {
    let own_log = "\
time=2026-10-05T23:22:40.000Z level=info process=entry-1 quarantine digest=d1 instance=i-1 ran=40ms outcome=suspected
time=2026-10-05T23:22:40.100Z level=info process=entry-1 quarantine digest=d2 instance=i-1 ran=40ms outcome=suspected
time=2026-10-05T23:23:40.000Z level=info process=entry-1 request=b1 decision=refuse code=3005 waited=0ms digest=d1
";
    let peer_log = "\
time=2026-10-05T23:22:41.000Z level=warn process=entry-2 quarantine digest=d1 outcome=begun
";
    let lines = explain("b1", [peer_log, own_log]);
    let messages: Vec<_> =
        lines.iter().map(|line| line.split("process=").nth(1).unwrap()).collect();
    assert_eq!(
        messages,
        [
            "entry-1 quarantine digest=d1 instance=i-1 ran=40ms outcome=suspected",
            "entry-2 quarantine digest=d1 outcome=begun",
            "entry-1 request=b1 decision=refuse code=3005 waited=0ms digest=d1",
        ]
    );
}

/// An entry that was cut off from the store sends to an upstream whose shutdown the other entries
/// have logged.
#[test]
fn the_shutdown_of_a_requests_upstream_is_found_in_the_logs_of_all_entries() {
    let own_log = "\
time=2026-10-05T23:22:40.000Z level=info process=entry-1 membership instance=i-1 outcome=lapsed reason=store-was-away for=2200ms
time=2026-10-05T23:22:41.000Z level=info process=entry-1 request=c1 decision=send instance=i-1 evidence=lapsed age=1000ms
";
    let peer_log = "\
time=2026-10-05T23:22:38.000Z level=info process=entry-2 membership instance=i-1 outcome=gone
time=2026-10-05T23:22:38.000Z level=info process=entry-2 membership instance=i-3 outcome=gone
";
    let lines = explain("c1", [peer_log, own_log]);
    let messages: Vec<_> =
        lines.iter().map(|line| line.split("process=").nth(1).unwrap()).collect();
    assert_eq!(
        messages,
        [
            "entry-2 membership instance=i-1 outcome=gone",
            "entry-1 membership instance=i-1 outcome=lapsed reason=store-was-away for=2200ms",
            "entry-1 request=c1 decision=send instance=i-1 evidence=lapsed age=1000ms",
        ]
    );
}

/// The part of its prompt for which a request was refused had crashed engines under other requests.
#[test]
fn the_quarantine_of_a_requests_part_is_found_in_the_logs_of_all_entries() {
    let own_log = "\
time=2026-10-05T23:22:39.000Z level=warn process=entry-1 quarantine parts=bad outcome=begun span=9914ms crashes=3 sequential=3
time=2026-10-05T23:22:40.007Z level=info process=entry-1 request=a1 decision=quarantine parts=bad left=9871ms
time=2026-10-05T23:22:40.007Z level=info process=entry-1 request=a1 decision=refuse code=2019 waited=0ms digest=d1 parts=a1+bad
";
    let other_log = "\
time=2026-10-05T23:22:37.000Z level=info process=entry-2 quarantine digest=d7 instance=i-1 start=1 ran=40ms outcome=suspected parts=5+bad
time=2026-10-05T23:22:37.000Z level=info process=entry-2 quarantine digest=d8 instance=i-1 start=1 ran=90ms outcome=suspected parts=5
";
    let lines = explain("a1", [own_log, other_log]);
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(lines[0].contains("digest=d7") && lines[1].contains("outcome=begun"), "{lines:?}");
}

#[test]
fn an_unknown_request_has_no_lines() {
    assert!(explain("a9", [ENTRY, OTHER_ENTRY]).is_empty());
}
