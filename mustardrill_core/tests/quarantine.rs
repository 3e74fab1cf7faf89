//! Which requests are run no more, as upstreams end under them, and which are only there.

use std::sync::Arc;

use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, CrashWord, DirectEffect, DirectEvent, DirectReducer,
    DirectRequest, FleetChange, FleetPage, RepeatRule, RequestNumber, RouteDocument,
    ServiceProfile, UpstreamRecord,
};
use mustardrill_core::quarantine::CrashedRun;
use mustardrill_types::{
    FastMap, Generation, Millis, Moment, RequestDigest, ResultCode, StartStamp, StoreRevision,
};

mod common;

const START: Moment = Moment(100_000);

/// Longer than it takes until the words of all entries on one crash have come.
const SETTLED: Millis = Millis(500);

fn upstream(place: u16) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("u{place}").parse().unwrap(),
        start: StartStamp(1),
        service: "desk".parse().unwrap(),
        address: ([10, 0, 0, 1], 1_000 + place).into(),
        data_centre: "hall-a".parse().unwrap(),
        slots: 4,
        leaving: false,
        serving: Vec::new(),
    }
}

/// An entry with a plain service whose requests may be repeated.
fn entry(upstreams: u16) -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let route = common::public_route("status", "/", "desk", RepeatRule::Idempotent);
    let mut services = FastMap::default();
    services.insert("desk".parse().unwrap(), ServiceProfile::default());
    let limits = CallerLimits::default();
    let document = RouteDocument::new(Generation(1), vec![route], services, Vec::new(), limits);
    let mut changes = vec![FleetChange::Configured(Arc::new(document))];
    changes.extend((0..upstreams).map(|place| FleetChange::Upstream(upstream(place))));
    let page = FleetPage { changes, at: StoreRevision(1), whole: false };
    reducer.reduce(START, DirectEvent::Fleet(page, START));
    reducer
}

fn request(number: u64, path: &str, now: Moment) -> DirectRequest {
    DirectRequest {
        path: path.into(),
        content: RequestDigest::of(&[path.as_bytes()]),
        ..common::desk_request(number, now)
    }
}

fn arrive(reducer: &mut DirectReducer, now: Moment, number: u64, path: &str) -> Vec<DirectEffect> {
    reducer.reduce(now, DirectEvent::Arrived(request(number, path, now)))
}

fn end(reducer: &mut DirectReducer, now: Moment, number: u64, outcome: AttemptOutcome) {
    reducer.reduce(now, DirectEvent::Ended(RequestNumber(number), outcome));
}

/// The digest of requests to a path, as an entry tells it when one's upstream ends.
fn digest_of(path: &str) -> RequestDigest {
    let mut reducer = entry(2);
    arrive(&mut reducer, START, 1, path);
    end(&mut reducer, START, 1, AttemptOutcome::Lost { delivered: false, crashed: true });
    let mut words = reducer.crash_words(START);
    let Some(CrashWord::Crashed(run)) = words.pop() else { panic!("the crash is told") };
    run.digest
}

/// Another entry tells that an upstream ended with a request.
fn hear(reducer: &mut DirectReducer, now: Moment, path: &str, upstream: &str, sent: Moment) {
    let run = CrashedRun {
        digest: digest_of(path),
        upstream: upstream.parse().unwrap(),
        start: StartStamp(1),
        sent,
        ended: now,
    };
    reducer.reduce(now, DirectEvent::CrashHeard(CrashWord::Crashed(run)));
}

/// Whether a request that comes now is sent to an upstream, and not refused as one that ends them.
fn is_run(reducer: &mut DirectReducer, now: Moment, number: u64, path: &str) -> bool {
    reducer.reduce(now, DirectEvent::Woke);
    let effects = arrive(reducer, now, number, path);
    match &effects[..] {
        [DirectEffect::Refuse(_, plan), ..] => {
            assert_eq!(plan.code, ResultCode::Quarantined);
            assert!(plan.retry_after > Millis(0));
            false
        }
        [DirectEffect::Send(..), ..] => true,
        other => panic!("{other:?}"),
    }
}

/// With each engine that a request ended there were others, and one of them was sent on to the same
/// engine as that request, three times. It was as often there as the one that was the cause, and
/// its callers were refused for ten minutes.
#[test]
fn a_request_that_was_only_there_is_run_on() {
    let mut reducer = entry(8);
    let mut now = START;
    for upstream in ["v1", "v2", "v3"] {
        let sent = now;
        now = now + Millis(400);
        hear(&mut reducer, now, "/only-there", upstream, sent);
        hear(&mut reducer, now, "/cause", upstream, sent);
    }
    assert!(is_run(&mut reducer, now + SETTLED, 1, "/only-there"));
    now = now + SETTLED + Millis(400);
    hear(&mut reducer, now, "/cause", "v4", now - Millis(100));
    assert!(!is_run(&mut reducer, now + SETTLED, 2, "/cause"));
    assert!(is_run(&mut reducer, now + SETTLED, 3, "/only-there"));
}

/// Engines crashed for a reason of their own, half of them at once, while many callers asked the
/// same of all of them. That request was at each engine that ended, and was taken for the cause.
#[test]
fn identical_requests_at_engines_that_end_at_once_are_not_the_cause() {
    let mut reducer = entry(8);
    let ended = START + Millis(300);
    for upstream in ["v1", "v2", "v3", "v4", "v5", "v6"] {
        hear(&mut reducer, ended, "/hot", upstream, START);
    }
    assert!(is_run(&mut reducer, ended + SETTLED, 1, "/hot"));
}

/// A request was answered whole between two crashes, so that it ends nobody. Words on the crashes
/// before came once more, as each is told several times, and counted anew.
#[test]
fn crashes_before_a_whole_answer_count_no_more() {
    let mut reducer = entry(8);
    let (first, second) = (START + Millis(400), START + Millis(800));
    hear(&mut reducer, first, "/hot", "v1", START);
    hear(&mut reducer, second, "/hot", "v2", first);
    assert!(is_run(&mut reducer, second + Millis(10), 1, "/hot"));
    end(&mut reducer, second + Millis(200), 1, AttemptOutcome::Whole);
    let told_again = second + Millis(260);
    hear(&mut reducer, told_again, "/hot", "v1", told_again - Millis(660));
    hear(&mut reducer, told_again, "/hot", "v2", told_again - Millis(400));
    let third = second + Millis(900);
    hear(&mut reducer, third, "/hot", "v3", third - Millis(100));
    assert!(is_run(&mut reducer, third + SETTLED, 2, "/hot"));
}
