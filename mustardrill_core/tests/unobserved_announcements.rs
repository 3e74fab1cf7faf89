//! Announcements that an entry did not observe itself, and attempts whose engine is no longer
//! listed.

use mustardrill_core::direct::{
    AnnouncementReport, AnnouncementTime, AvailabilitySpan, DirectEffect, DirectEvent,
    DirectReducer, FleetChange, FleetUpdate, RepeatRule, RequestNumber, RouteDocument,
    ServedWeights, ServiceProfile, UpstreamRecord, VersionTable, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, ModelName, Moment, WeightVersion};

mod common;

const START: Moment = Moment(100_000);

fn fleet_update(changes: Vec<FleetChange>) -> FleetUpdate {
    FleetUpdate { changes, ..FleetUpdate::default() }
}

fn model() -> ModelName {
    "m".parse().unwrap()
}

fn configured() -> FleetChange {
    let route = common::public_route("drafts", "/", "pool", RepeatRule::StreamResumable);
    let mut services = FastMap::default();
    let engine = Some(common::engine_profile());
    services
        .insert("pool".parse().unwrap(), ServiceProfile { engine, ..ServiceProfile::default() });
    let document =
        RouteDocument::new(Generation(1), vec![route], services, Vec::new(), Default::default());
    FleetChange::Configured(document.into())
}

fn engine(version: u64) -> FleetChange {
    let version = WeightVersion(version);
    FleetChange::Upstream(UpstreamRecord {
        id: format!("u{version}").parse().unwrap(),
        service: "pool".parse().unwrap(),
        address: ([10, 0, 0, 1], 1_000 + version.0 as u16).into(),
        slots: common::engine_profile().slots,
        serving: vec![ServedWeights { model: model(), version }],
        ..common::desk(0)
    })
}

fn version_announced(version: u64) -> FleetChange {
    FleetChange::VersionAnnounced(model(), WeightVersion(version))
}

fn peer() -> FleetChange {
    FleetChange::Peer(common::peer(&"entry-2".parse().unwrap()))
}

fn announcement_report(version: u64, time: AnnouncementTime) -> AnnouncementReport {
    AnnouncementReport { model: model(), version: WeightVersion(version), time }
}

fn entry_at(now: Moment) -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![configured(), engine(1), peer()];
    reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(changes), now));
    reducer
}

fn send_request(reducer: &mut DirectReducer, number: u64, now: Moment) -> Option<Option<Moment>> {
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
    let request = common::direct_request(number, "/x", size, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some(plan.start_by),
        _ => None,
    })
}

/// The store keeps answering until `until`.
fn keep_store_answering(reducer: &mut DirectReducer, until: Moment) {
    for after in (0..until.since(START).0).step_by(1_000).chain([until.since(START).0]) {
        let now = START + Millis(after);
        reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(Vec::new()), now));
    }
}

fn is_withdrawn(effects: &[DirectEffect]) -> bool {
    effects.contains(&DirectEffect::Withdraw(RequestNumber(1)))
}

fn bound() -> Millis {
    common::direct_settings().version_bound
}

/// The entry's clock starts with its process, so the first moment that it knows is recent.
#[test]
fn a_just_started_entry_grants_superseded_weights_a_second_bound() {
    let started = Moment::CLOCK_START + Millis(300);
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![configured(), version_announced(1), peer(), engine(1), version_announced(2)];
    let snapshot = FleetUpdate { is_snapshot: true, ..fleet_update(changes) };
    reducer
        .reduce(started, DirectEvent::StoreAnswered(snapshot, Moment::CLOCK_START + Millis(280)));
    assert_eq!(
        send_request(&mut reducer, 1, Moment::CLOCK_START + Millis(600)),
        None,
        "no peer reported that the version is new"
    );
}

/// The same where a peer reports that the version was announced long before this process started.
#[test]
fn a_version_announced_before_an_entry_started_counts_from_that_start() {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![configured(), peer(), engine(1), version_announced(2)];
    let snapshot = FleetUpdate { is_snapshot: true, ..fleet_update(changes) };
    reducer.reduce(
        Moment::CLOCK_START + Millis(300),
        DirectEvent::StoreAnswered(snapshot, Moment::CLOCK_START + Millis(280)),
    );
    // What `AnnouncementRow::report` makes of an age of 6.5 s that is received at 320 ms.
    let now = Moment::CLOCK_START + Millis(320);
    let moment_of_age = |age: u64| now - Millis(10) - Millis(age);
    let time = AnnouncementTime::bounded(moment_of_age(6_600), now - Millis(6_500));
    reducer.reduce(now, DirectEvent::AnnouncementsReceived(vec![announcement_report(2, time)]));
    let late = Moment::CLOCK_START + Millis(1_320);
    reducer.reduce(late, DirectEvent::StoreAnswered(fleet_update(Vec::new()), late));
    assert_eq!(
        send_request(&mut reducer, 1, late),
        None,
        "announced 7.5 s ago, past the bound of 7 s"
    );
}

#[test]
fn an_entry_started_after_the_announcement_grants_superseded_weights_a_second_bound() {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![configured(), peer(), engine(1), version_announced(2)];
    let snapshot = FleetUpdate { is_snapshot: true, ..fleet_update(changes) };
    reducer.reduce(START, DirectEvent::StoreAnswered(snapshot, START));
    assert_eq!(send_request(&mut reducer, 1, START + Millis(300)), None);
}

/// The engine's registration is gone without notice, but it goes on serving, and requests are still
/// queued in it.
#[test]
fn a_request_is_left_in_an_engine_whose_registration_is_gone() {
    let mut reducer = entry_at(START);
    reducer
        .reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), START));
    let sent = START + Millis(bound().0 - 800);
    keep_store_answering(&mut reducer, sent);
    let start_by =
        send_request(&mut reducer, 1, sent).unwrap().expect("the attempt has a time limit");
    let gone = FleetChange::UpstreamGone("u1".parse().unwrap());
    let soon = start_by - Millis(100);
    reducer.reduce(soon, DirectEvent::StoreAnswered(fleet_update(vec![gone]), soon));
    assert!(
        is_withdrawn(&reducer.reduce(start_by, DirectEvent::TimerFired)),
        "left in an engine where it may still start"
    );
}

/// The engine registers again without a model, as it does while it loads.
#[test]
fn a_request_is_left_in_an_engine_that_reports_no_weights() {
    let mut reducer = entry_at(START);
    reducer
        .reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), START));
    let sent = START + Millis(bound().0 - 800);
    keep_store_answering(&mut reducer, sent);
    let start_by =
        send_request(&mut reducer, 1, sent).unwrap().expect("the attempt has a time limit");
    let FleetChange::Upstream(mut record) = engine(1) else { unreachable!() };
    record.serving.clear();
    let soon = start_by - Millis(100);
    let changes = vec![FleetChange::Upstream(record)];
    reducer.reduce(soon, DirectEvent::StoreAnswered(fleet_update(changes), soon));
    assert!(
        is_withdrawn(&reducer.reduce(start_by, DirectEvent::TimerFired)),
        "left in an engine where it may still start"
    );
}

/// A suspended process first took an old answer from its socket and then made a short call.
#[test]
fn a_version_counts_from_later_than_a_peer_knew_of_it() {
    let mut reducer = entry_at(START);
    // The answer dates from START and is processed at 4,000 ms.
    let resumed = START + Millis(4_000);
    reducer.reduce(resumed, DirectEvent::StoreAnswered(fleet_update(Vec::new()), START));
    let (sent_at, answered_at) = (resumed + Millis(20), resumed + Millis(30));
    reducer.reduce(
        answered_at,
        DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), sent_at),
    );
    // A peer found the version in a short call, too: after 250 ms, known at 310 ms.
    let time = AnnouncementTime::bounded(START + Millis(250), START + Millis(310));
    reducer.reduce(
        answered_at + Millis(20),
        DirectEvent::AnnouncementsReceived(vec![announcement_report(2, time)]),
    );
    let bound_end = START + Millis(310) + bound();
    reducer.reduce(bound_end, DirectEvent::StoreAnswered(fleet_update(Vec::new()), bound_end));
    assert_eq!(
        send_request(&mut reducer, 1, bound_end),
        None,
        "a peer knew of the version a full bound ago"
    );
}

/// A report from an entry that was suspended reaches one that knows better.
#[test]
fn a_report_of_a_suspended_entry_makes_a_version_count_from_later() {
    let mut table = VersionTable::default();
    let (known, version) = (START + Millis(310), WeightVersion(2));
    table.announce(&model(), version, AnnouncementTime::bounded(START + Millis(250), known));
    let late = AnnouncementTime::bounded(START + Millis(4_000), START + Millis(4_030));
    table.refine(&announcement_report(2, late));
    let since = table.announced_at(&model(), version).unwrap();
    assert!(since <= known, "{}", since.since(START));
}

/// The versions come first and the peers last: all of them have registered again since.
#[test]
fn no_peer_is_polled_after_a_complete_reread_following_an_outage() {
    let mut reducer = entry_at(START);
    reducer.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    let changes = vec![configured(), engine(1), version_announced(2), peer()];
    let snapshot = FleetUpdate { is_snapshot: true, ..fleet_update(changes) };
    reducer.reduce(back, DirectEvent::StoreAnswered(snapshot, back));
    let span = AvailabilitySpan { since: Moment(0), until: back - Millis(10) };
    reducer.reduce(back + Millis(20), DirectEvent::AvailabilityReceived(span));
    let bound_end = START + bound();
    reducer.reduce(bound_end, DirectEvent::StoreAnswered(fleet_update(Vec::new()), bound_end));
    assert_eq!(
        send_request(&mut reducer, 1, bound_end),
        None,
        "the store answered a peer all the time"
    );
}

/// The peers' reports arrive after the timeout, as the first ones were lost or the network is slow.
#[test]
fn a_peer_answer_after_the_timeout_does_not_undo_a_restarted_count() {
    let mut reducer = entry_at(START);
    reducer.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    reducer
        .reduce(back, DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), back));
    reducer.reduce(back + Millis(200), DirectEvent::TimerFired);
    let span = AvailabilitySpan { since: Moment(0), until: back - Millis(10) };
    reducer.reduce(back + Millis(300), DirectEvent::AvailabilityReceived(span));
    // The peer knows the announcement only to within some seconds.
    let time = AnnouncementTime::bounded(START, START + Millis(2_000));
    reducer.reduce(
        back + Millis(300),
        DirectEvent::AnnouncementsReceived(vec![announcement_report(2, time)]),
    );
    let bound_end = START + Millis(2_000) + bound();
    reducer.reduce(bound_end, DirectEvent::StoreAnswered(fleet_update(Vec::new()), bound_end));
    assert_eq!(
        send_request(&mut reducer, 1, bound_end),
        None,
        "a peer knew of the version a full bound ago"
    );
}

/// If the version is first known from a peer, this entry's own observation is reported to nobody.
#[test]
fn an_own_observation_is_not_reported_where_a_peer_reported_the_version_first() {
    let mut table = VersionTable::default();
    let time = AnnouncementTime::bounded(START, START + Millis(500));
    table.refine(&announcement_report(2, time));
    table.announce(
        &model(),
        WeightVersion(2),
        AnnouncementTime::bounded(START, START + Millis(510)),
    );
    assert_eq!(table.reports(START).len(), 1);
}

/// Between two announcements no version is demanded of the engine, so only its answer shows which
/// one it ran.
#[test]
fn an_answer_on_other_weights_than_believed_is_not_counted_as_late() {
    let mut reducer = entry_at(START);
    let changes =
        vec![FleetChange::UpstreamGone("u1".parse().unwrap()), engine(2), version_announced(2)];
    reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(changes), START));
    let third = START + Millis(bound().0 - 1_000);
    keep_store_answering(&mut reducer, third);
    reducer
        .reduce(third, DirectEvent::StoreAnswered(fleet_update(vec![version_announced(3)]), third));
    let now = START + bound() + Millis(500);
    reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(Vec::new()), now));
    assert!(send_request(&mut reducer, 1, now).is_some());
    let version = Some(WeightVersion(1));
    reducer.reduce(now, DirectEvent::AnswerStarted(RequestNumber(1), None, version));
    assert_eq!(
        reducer.status(now).started_late,
        1,
        "the time limit of the first version passed 500 ms before"
    );
}

/// A withdrawn request used to be sent again without consulting its quarantine, whereas a lost one
/// is held.
#[test]
fn a_quarantined_request_is_sent_to_another_engine_after_its_withdrawal() {
    use mustardrill_core::direct::AttemptOutcome;
    use mustardrill_core::quarantine::CrashReport;
    use mustardrill_types::RequestDigest;
    let is_sent_after = |outcome: AttemptOutcome| {
        let mut reducer = entry_at(START);
        reducer.reduce(
            START,
            DirectEvent::StoreAnswered(fleet_update(vec![version_announced(2)]), START),
        );
        let sent = START + Millis(bound().0 - 800);
        keep_store_answering(&mut reducer, sent);
        let start_by = send_request(&mut reducer, 1, sent).unwrap().unwrap();
        reducer
            .reduce(start_by, DirectEvent::StoreAnswered(fleet_update(vec![engine(2)]), start_by));
        let content = RequestDigest::of(&[b"/x"]).0.to_be_bytes();
        let digest = RequestDigest::of(&[b"drafts.example", b"", &content]);
        let report = CrashReport::Quarantined(digest.into(), Millis(10_000));
        reducer.reduce(start_by, DirectEvent::CrashReportReceived(report));
        let effects =
            reducer.reduce(start_by, DirectEvent::AttemptEnded(RequestNumber(1), outcome));
        effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
    };
    assert!(
        !is_sent_after(AttemptOutcome::Lost { delivered: false, crashed: false }),
        "control: a lost attempt is held"
    );
    assert!(
        !is_sent_after(AttemptOutcome::Withdrawn { sent: true }),
        "the request crashes the next engine, too"
    );
}
