//! How long an entry starts requests on superseded weights.

use mustardrill_core::direct::{
    AnnouncementReport, AnnouncementTime, AttemptOutcome, AvailabilitySpan, DirectEffect,
    DirectEvent, DirectReducer, DirectRequest, EngineForecast, EngineNotice, FleetChange,
    FleetUpdate, LoadUpdate, PeerLoad, RepeatRule, RequestNumber, RouteDocument, ServedWeights,
    ServiceProfile, UpstreamLoad, UpstreamRecord, VersionTable, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, Moment, ResultCode, WeightVersion};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod common;

const START: Moment = Moment(100_000);

fn fleet_update(changes: Vec<FleetChange>) -> FleetUpdate {
    FleetUpdate { changes, ..FleetUpdate::default() }
}

/// An entry with one engine that holds the first version.
fn entry_before_announcement() -> DirectReducer {
    entry_with_route(RepeatRule::StreamResumable)
}

fn entry_with_route(repeat: RepeatRule) -> DirectReducer {
    let route = common::public_route("drafts", "/", "pool", repeat);
    let mut services = FastMap::default();
    let engine = Some(common::engine_profile());
    services
        .insert("pool".parse().unwrap(), ServiceProfile { engine, ..ServiceProfile::default() });
    let document =
        RouteDocument::new(Generation(1), vec![route], services, Vec::new(), Default::default());
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes =
        vec![FleetChange::Configured(document.into()), FleetChange::Upstream(engine_with(1))];
    reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(changes), START));
    reducer
}

/// The engine that holds `version`.
fn engine_with(version: u64) -> UpstreamRecord {
    let version = WeightVersion(version);
    UpstreamRecord {
        id: format!("u{version}").parse().unwrap(),
        service: "pool".parse().unwrap(),
        address: ([10, 0, 0, 1], 1_000 + version.0 as u16).into(),
        slots: common::engine_profile().slots,
        serving: vec![ServedWeights { model: "m".parse().unwrap(), version }],
        ..common::desk(0)
    }
}

/// The same entry after a second version was announced at `START`.
fn entry_after_announcement() -> DirectReducer {
    let mut reducer = entry_before_announcement();
    reducer
        .reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), START));
    reducer
}

/// Whether the entry sends a request of `size`, `after` the announcement, to an engine with `load`.
fn is_sent_under_load(after: Millis, load: UpstreamLoad, size: WorkSize) -> bool {
    let mut reducer = entry_after_announcement();
    let now = START + after;
    reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(Vec::new()), now));
    let rows = vec![("u1".parse().unwrap(), load)];
    let update = LoadUpdate { rows, is_snapshot: true, ..LoadUpdate::default() };
    reducer.reduce(
        now,
        DirectEvent::PeerLoadReceived(PeerLoad { from: "entry-2".parse().unwrap(), update }),
    );
    let request = DirectRequest {
        model: Some("m".parse().unwrap()),
        ..common::direct_request(1, "/x", size, now)
    };
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(256), rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]
    /// Even an engine that is twice as slow as its profile starts the request in time.
    #[test]
    fn nothing_starts_on_superseded_weights_past_their_bound(
        after in 0u64..8_000,
        requests in 0u32..40,
        prefill in 0u64..200,
        prompt_tokens in 1u32..8_000,
    ) {
        let size = WorkSize { prompt_tokens, answer_tokens: 120 };
        let load = UpstreamLoad { requests, pending_prefill: Millis(prefill) };
        if is_sent_under_load(Millis(after), load, size) {
            let profile = common::engine_profile();
            let first = EngineForecast::new(&profile).time_to_first_token(requests, size);
            let started = after + 2 * (first.0 + prefill);
            prop_assert!(started < common::direct_settings().version_bound.0, "{started}");
        }
    }

    #[test]
    fn an_idle_engine_is_used_until_shortly_before_the_bound(early in 700u64..7_000) {
        let after = Millis(common::direct_settings().version_bound.0 - early);
        let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
        prop_assert!(is_sent_under_load(after, UpstreamLoad::default(), size));
    }
}

fn version_announced(version: u64) -> FleetChange {
    FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(version))
}

/// Whether a request that arrives at `now` is sent to the engine with the first version.
fn is_sent(reducer: &mut DirectReducer, number: u64, now: Moment) -> bool {
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
    let request = common::direct_request(number, "/x", size, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
}

/// The store answered another entry all the time, so the newer versions were announced then and not
/// when this entry reconnected.
#[test]
fn an_entry_cut_off_from_the_store_grants_superseded_weights_a_second_bound() {
    let bound = common::direct_settings().version_bound;
    let mut reducer = entry_before_announcement();
    let other = common::peer(&"entry-2".parse().unwrap());
    reducer.reduce(
        START,
        DirectEvent::StoreAnswered(fleet_update(vec![FleetChange::Peer(other)]), START),
    );
    reducer.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    // Two versions were announced in the meantime; the store shows only the second of them.
    reducer
        .reduce(back, DirectEvent::StoreAnswered(fleet_update(vec![version_announced(3)]), back));
    let span = AvailabilitySpan { since: Moment(0), until: back - Millis(10) };
    reducer.reduce(back + Millis(20), DirectEvent::AvailabilityReceived(span));
    let bound_end = START + bound;
    for now in [bound_end, bound_end + Millis(1_000), back + bound - Millis(1_000)] {
        reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(Vec::new()), now));
        assert!(
            !is_sent(&mut reducer, now.0, now),
            "{} after the last confirmation",
            now.since(START)
        );
    }
}

/// The forecast no longer holds when other requests take precedence at the engine, or it slows
/// down.
#[test]
fn a_request_queued_in_an_engine_is_left_there_past_the_bound() {
    let bound = common::direct_settings().version_bound;
    let mut reducer = entry_after_announcement();
    let sent = START + Millis(bound.0 - 800);
    reducer.reduce(sent, DirectEvent::StoreAnswered(fleet_update(Vec::new()), sent));
    assert!(is_sent(&mut reducer, 1, sent));
    let bound_end = START + bound;
    let effects = reducer.reduce(bound_end, DirectEvent::TimerFired);
    let is_wake = |effect: &DirectEffect| matches!(effect, DirectEffect::SetTimer(_));
    assert!(
        !effects.iter().all(is_wake),
        "left in an engine where it may still start: {effects:?}"
    );
}

/// An entry that sent request 1 to the engine with the first version shortly before the bound, and
/// the time by which the request must have started.
fn entry_with_attempt_shortly_before_bound(repeat: RepeatRule) -> (DirectReducer, Moment) {
    let mut reducer = entry_with_route(repeat);
    reducer
        .reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), START));
    let sent = START + Millis(common::direct_settings().version_bound.0 - 800);
    reducer.reduce(sent, DirectEvent::StoreAnswered(fleet_update(Vec::new()), sent));
    let request =
        common::direct_request(1, "/x", WorkSize { prompt_tokens: 300, answer_tokens: 120 }, sent);
    let effects = reducer.reduce(sent, DirectEvent::RequestArrived(request));
    let start_by = effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => plan.start_by,
        _ => None,
    });
    (reducer, start_by.expect("the request is sent with a time limit"))
}

fn is_withdrawn(effects: &[DirectEffect]) -> bool {
    effects.contains(&DirectEffect::Withdraw(RequestNumber(1)))
}

#[test]
fn a_withdrawn_request_is_not_sent_to_another_engine() {
    let (mut reducer, start_by) =
        entry_with_attempt_shortly_before_bound(RepeatRule::StreamResumable);
    let newer = FleetChange::Upstream(engine_with(2));
    let soon = start_by - Millis(1);
    let effects = reducer.reduce(soon, DirectEvent::StoreAnswered(fleet_update(vec![newer]), soon));
    assert!(!is_withdrawn(&effects));
    assert!(is_withdrawn(&reducer.reduce(start_by, DirectEvent::TimerFired)));
    assert!(
        !is_withdrawn(&reducer.reduce(start_by, DirectEvent::TimerFired)),
        "withdrawn only once"
    );
    let ended =
        DirectEvent::AttemptEnded(RequestNumber(1), AttemptOutcome::Withdrawn { sent: true });
    let effects = reducer.reduce(start_by, ended);
    let plan = effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some((plan.upstream.as_str(), plan.start_by)),
        _ => None,
    });
    assert_eq!(plan, Some(("u2", None)));
}

#[test]
fn a_request_that_may_run_only_once_is_retried_after_its_withdrawal() {
    let (mut reducer, start_by) = entry_with_attempt_shortly_before_bound(RepeatRule::StreamOnce);
    let newer = FleetChange::Upstream(engine_with(2));
    reducer.reduce(start_by, DirectEvent::StoreAnswered(fleet_update(vec![newer]), start_by));
    let ended =
        DirectEvent::AttemptEnded(RequestNumber(1), AttemptOutcome::Withdrawn { sent: true });
    let effects = reducer.reduce(start_by, ended);
    let code = effects.iter().find_map(|effect| match effect {
        DirectEffect::Refuse(_, plan) => Some(plan.code),
        _ => None,
    });
    assert_eq!(code, Some(ResultCode::Unknown), "the request may have started just before");
}

#[test]
fn a_started_answer_is_withdrawn() {
    let (mut reducer, start_by) =
        entry_with_attempt_shortly_before_bound(RepeatRule::StreamResumable);
    let version = Some(WeightVersion(1));
    reducer.reduce(start_by, DirectEvent::AnswerStarted(RequestNumber(1), None, version));
    assert!(!is_withdrawn(&reducer.reduce(start_by + Millis(300), DirectEvent::TimerFired)));
}

/// A request queued in an engine that loads newer weights starts on those. The engine's answer to
/// another request proves them.
#[test]
fn a_request_is_withdrawn_from_an_engine_that_loaded_newer_weights() {
    let (mut reducer, start_by) =
        entry_with_attempt_shortly_before_bound(RepeatRule::StreamResumable);
    notify_of_second_version(&mut reducer, start_by);
    assert!(is_sent(&mut reducer, 2, start_by));
    let version = Some(WeightVersion(2));
    reducer.reduce(start_by, DirectEvent::AnswerStarted(RequestNumber(2), None, version));
    assert!(!is_withdrawn(&reducer.reduce(start_by, DirectEvent::TimerFired)));
}

/// What an agent reports may be ahead of what its engine holds.
#[test]
fn a_request_is_left_in_an_engine_that_only_reports_newer_weights() {
    let (mut reducer, start_by) =
        entry_with_attempt_shortly_before_bound(RepeatRule::StreamResumable);
    notify_of_second_version(&mut reducer, start_by - Millis(1));
    assert!(is_withdrawn(&reducer.reduce(start_by, DirectEvent::TimerFired)));
}

/// The agent of the engine with the first version reports the second one.
fn notify_of_second_version(reducer: &mut DirectReducer, now: Moment) {
    let (address, model) = (engine_with(1).address, "m".parse().unwrap());
    let start = Some(engine_with(1).start);
    let notice = EngineNotice::Serving(WeightVersion(2));
    reducer.reduce(now, DirectEvent::EngineNoticeReceived { address, model, start, notice });
}

/// No newer version was known when the request was sent, but what peers report afterwards still
/// applies to it.
#[test]
fn a_request_sent_before_its_entry_learned_of_the_version_is_left_past_the_bound() {
    let mut reducer = entry_before_announcement();
    let now = START + Millis(8_000);
    reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(Vec::new()), now));
    assert!(is_sent(&mut reducer, 1, now));
    let reports =
        vec![announcement_report(2, AnnouncementTime::bounded(START, START + Millis(500)))];
    assert!(is_withdrawn(&reducer.reduce(now, DirectEvent::AnnouncementsReceived(reports))));
}

/// An entry that learns of the third version after an outage during which a second one was
/// announced.
fn entry_back_from_outage() -> (DirectReducer, Moment) {
    let mut reducer = entry_before_announcement();
    let other = common::peer(&"entry-2".parse().unwrap());
    reducer.reduce(
        START,
        DirectEvent::StoreAnswered(fleet_update(vec![FleetChange::Peer(other)]), START),
    );
    reducer.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    reducer
        .reduce(back, DirectEvent::StoreAnswered(fleet_update(vec![version_announced(3)]), back));
    (reducer, back)
}

fn announcement_report(version: u64, time: AnnouncementTime) -> AnnouncementReport {
    let (model, version) = ("m".parse().unwrap(), WeightVersion(version));
    AnnouncementReport { model, version, time }
}

/// The first moment at which nothing is sent to the first version any more.
fn superseded_from(mut reducer: DirectReducer) -> Moment {
    let moments = (0..40_000).step_by(50).map(|after| START + Millis(after));
    let dropped_at = moments.filter(|now| *now > START + Millis(6_100)).find(|now| {
        reducer.reduce(*now, DirectEvent::StoreAnswered(fleet_update(Vec::new()), *now));
        let sent = is_sent(&mut reducer, now.0, *now);
        reducer.reduce(*now, DirectEvent::CallerGone(RequestNumber(now.0)));
        !sent
    });
    dropped_at.expect("the first version is superseded eventually")
}

#[test]
fn a_version_announced_and_superseded_during_an_outage_is_missed() {
    let (mut reducer, back) = entry_back_from_outage();
    let second = START + Millis(2_000);
    let time = AnnouncementTime::bounded(START + Millis(1_500), second);
    let third = AnnouncementTime::bounded(second, START + Millis(5_000));
    let reports = vec![announcement_report(2, time), announcement_report(3, third)];
    reducer.reduce(back + Millis(20), DirectEvent::AnnouncementsReceived(reports));
    let dropped_at = superseded_from(reducer);
    let bound = common::direct_settings().version_bound;
    assert!(dropped_at <= second + bound, "{dropped_at}");
    assert!(dropped_at + Millis(1_000) >= second + bound, "{dropped_at}");
}

/// If the store answered nobody, the platform restarts its count, and no engine has newer weights
/// yet.
#[test]
fn superseded_weights_are_dropped_early_after_a_store_outage_at_all_entries() {
    let (mut reducer, back) = entry_back_from_outage();
    let span = AvailabilitySpan { since: back - Millis(200), until: back };
    reducer.reduce(back + Millis(20), DirectEvent::AvailabilityReceived(span));
    let dropped_at = superseded_from(reducer);
    let bound = common::direct_settings().version_bound;
    assert!(dropped_at <= back + bound - Millis(200), "{dropped_at}");
    assert!(dropped_at + Millis(1_000) >= back + bound, "{dropped_at}");
}

/// An entry that was suspended takes an answer that lay in its socket for a current one.
#[test]
fn an_entry_suspended_during_an_announcement_counts_from_its_resumption() {
    let mut reducer = entry_before_announcement();
    let resumed = START + Millis(4_000);
    reducer.reduce(
        resumed,
        DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), START),
    );
    let announced_at = START + Millis(300);
    let reports = vec![announcement_report(2, AnnouncementTime::bounded(START, announced_at))];
    reducer.reduce(resumed + Millis(20), DirectEvent::AnnouncementsReceived(reports));
    let dropped_at = superseded_from(reducer);
    assert!(dropped_at <= announced_at + common::direct_settings().version_bound, "{dropped_at}");
    // The same with a report from a peer that did not observe the announcement.
    let mut reducer = entry_before_announcement();
    reducer.reduce(
        resumed,
        DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), START),
    );
    let reports = vec![announcement_report(2, AnnouncementTime::bounded(START, announced_at))];
    reducer.reduce(resumed + Millis(20), DirectEvent::AnnouncementsReceived(reports));
    assert!(superseded_from(reducer) <= announced_at + common::direct_settings().version_bound);
}

/// Entries poll each other repeatedly, and each report has a network delay of its own.
#[test]
fn repeated_reports_of_one_announcement_accumulate_their_delays() {
    let mut table = VersionTable::default();
    let model = "m".parse().unwrap();
    table.announce(&model, WeightVersion(2), AnnouncementTime::bounded(START, START + Millis(500)));
    for _ in 0..100 {
        let mut reports = table.reports(START);
        for report in &mut reports {
            report.time.earliest = report.time.earliest - Millis(10);
        }
        reports.iter().for_each(|report| assert!(!table.refine(report)));
    }
    assert_eq!(table.announced_at(&model, WeightVersion(2)), Some(START));
}

/// The engine may have restarted with the first version, and between two announcements no minimum
/// version rules that out.
#[test]
fn an_engine_is_asked_for_no_version_while_one_newer_than_its_own_is_announced() {
    let mut reducer = entry_after_announcement();
    let bound_end = START + common::direct_settings().version_bound;
    let confirmed_at = bound_end - Millis(10);
    reducer
        .reduce(confirmed_at, DirectEvent::StoreAnswered(fleet_update(Vec::new()), confirmed_at));
    let changes = vec![version_announced(3), FleetChange::Upstream(engine_with(2))];
    reducer.reduce(bound_end, DirectEvent::StoreAnswered(fleet_update(changes), bound_end));
    let pinned = |reducer: &mut DirectReducer, number| {
        let request = common::direct_request(
            number,
            "/x",
            WorkSize { prompt_tokens: 300, answer_tokens: 120 },
            bound_end,
        );
        let effects = reducer.reduce(bound_end, DirectEvent::RequestArrived(request));
        effects.iter().find_map(|effect| match effect {
            DirectEffect::Send(_, plan) => {
                Some((plan.upstream.as_str().to_owned(), plan.pinned_version))
            }
            _ => None,
        })
    };
    assert_eq!(pinned(&mut reducer, 1), Some(("u2".into(), Some(WeightVersion(2)))));
    let (address, model) = (engine_with(2).address, "m".parse().unwrap());
    let start = Some(engine_with(2).start);
    let notice = EngineNotice::Serving(WeightVersion(3));
    reducer.reduce(bound_end, DirectEvent::EngineNoticeReceived { address, model, start, notice });
    assert_eq!(pinned(&mut reducer, 2), Some(("u2".into(), Some(WeightVersion(3)))));
}

/// A call that took longer than the pause before it may have been slow instead of waiting for the
/// announcement.
#[test]
fn a_slow_answer_of_the_store_extends_the_time_of_superseded_weights() {
    let bound = common::direct_settings().version_bound;
    for (pause, took) in [(100, 110), (150, 400), (500, 510), (800, 810)] {
        let mut reducer = entry_before_announcement();
        let sent = START + Millis(pause);
        let answered = sent + Millis(took);
        let update = fleet_update(vec![version_announced(2)]);
        reducer.reduce(answered, DirectEvent::StoreAnswered(update, sent));
        let dropped_at = superseded_from(reducer);
        assert!(
            dropped_at <= START + bound,
            "pause {pause} ms, call {took} ms: used until {} after it may have been announced",
            dropped_at.since(START)
        );
    }
}

/// The engine may hold other weights than its agent has reported.
#[test]
fn a_request_sent_on_a_wrong_report_of_newer_weights_has_no_limit() {
    let bound = common::direct_settings().version_bound;
    let mut reducer = entry_after_announcement();
    let now = START + Millis(bound.0 - 800);
    reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(Vec::new()), now));
    let (address, model) = (engine_with(1).address, "m".parse().unwrap());
    let start = Some(engine_with(1).start);
    let notice = EngineNotice::Serving(WeightVersion(2));
    reducer.reduce(now, DirectEvent::EngineNoticeReceived { address, model, start, notice });
    let request =
        common::direct_request(1, "/x", WorkSize { prompt_tokens: 300, answer_tokens: 120 }, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    let limits = effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some((plan.pinned_version, plan.start_by)),
        _ => None,
    });
    let (pinned_version, start_by) = limits.expect("the request is sent");
    let is_limited = start_by.is_some_and(|start_by| start_by < START + bound);
    assert!(
        pinned_version == Some(WeightVersion(2)) || is_limited,
        "pinned to {pinned_version:?}, to start by {start_by:?}"
    );
}

/// The process was suspended for 3 s after a slow answer, and no call of it failed.
#[test]
fn a_suspension_beside_a_slow_answer_counts_as_an_outage_of_the_store() {
    let mut reducer = entry_before_announcement();
    let answers = [(0, 900, Vec::new()), (4_000, 4_010, vec![version_announced(2)])];
    for (sent, answered, changes) in answers {
        let event = DirectEvent::StoreAnswered(fleet_update(changes), START + Millis(sent));
        reducer.reduce(START + Millis(answered), event);
        reducer.reduce(START + Millis(answered + 210), DirectEvent::TimerFired);
    }
    let announced_at = START + Millis(950);
    let dropped_at = superseded_from(reducer);
    assert!(
        dropped_at <= announced_at + common::direct_settings().version_bound,
        "{} after the announcement",
        dropped_at.since(announced_at)
    );
}
