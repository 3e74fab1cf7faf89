//! What an entry knows of namings that it did not see itself, and of attempts whose engine it lost.

use mustardrill_core::direct::{
    AnswerSpan, DirectEffect, DirectEvent, DirectReducer, FleetChange, FleetPage, NamingTime,
    NamingWord, RepeatRule, RequestNumber, RouteDocument, ServedWeights, ServiceProfile,
    UpstreamRecord, VersionTable, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, ModelName, Moment, WeightVersion};

mod common;

const START: Moment = Moment(100_000);

fn page(changes: Vec<FleetChange>) -> FleetPage {
    FleetPage { changes, ..FleetPage::default() }
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

fn named(version: u64) -> FleetChange {
    FleetChange::VersionNamed(model(), WeightVersion(version))
}

fn other() -> FleetChange {
    FleetChange::Peer(common::peer(&"entry-2".parse().unwrap()))
}

fn word(version: u64, time: NamingTime) -> NamingWord {
    NamingWord { model: model(), version: WeightVersion(version), time, slack: Millis(10) }
}

fn entry_at(now: Moment) -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![configured(), engine(1), other()];
    reducer.reduce(now, DirectEvent::StoreAnswered(page(changes), now));
    reducer
}

fn send(reducer: &mut DirectReducer, number: u64, now: Moment) -> Option<Option<Moment>> {
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
    let request = common::direct_request(number, "/x", size, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some(plan.start_by),
        _ => None,
    })
}

/// The store answers again and again until `until`.
fn follow(reducer: &mut DirectReducer, until: Moment) {
    for after in (0..until.since(START).0).step_by(1_000).chain([until.since(START).0]) {
        let now = START + Millis(after);
        reducer.reduce(now, DirectEvent::StoreAnswered(page(Vec::new()), now));
    }
}

fn withdrawn(effects: &[DirectEffect]) -> bool {
    effects.contains(&DirectEffect::Withdraw(RequestNumber(1)))
}

fn bound() -> Millis {
    common::direct_settings().version_bound
}

/// The entry's clock begins with its process, so its first moment is not long ago.
#[test]
fn an_entry_that_has_just_started_gives_replaced_weights_their_whole_time_again() {
    let started = Moment::FIRST + Millis(300);
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![configured(), named(1), other(), engine(1), named(2)];
    let whole = FleetPage { whole: true, ..page(changes) };
    reducer.reduce(started, DirectEvent::StoreAnswered(whole, Moment::FIRST + Millis(280)));
    assert_eq!(
        send(&mut reducer, 1, Moment::FIRST + Millis(600)),
        None,
        "nobody told that it is new"
    );
}

/// The same where another entry tells that it was named long before this process began.
#[test]
fn a_version_named_before_an_entry_started_counts_from_its_start() {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![configured(), other(), engine(1), named(2)];
    let whole = FleetPage { whole: true, ..page(changes) };
    reducer.reduce(
        Moment::FIRST + Millis(300),
        DirectEvent::StoreAnswered(whole, Moment::FIRST + Millis(280)),
    );
    // What `NamingRow::word` makes of an age of 6.5 s that is heard at 320 ms.
    let now = Moment::FIRST + Millis(320);
    let age = |told: u64| now - Millis(10) - Millis(told);
    let time =
        NamingTime { earliest: age(6_600), known: now - Millis(6_500), heard: Some(age(6_500)) };
    reducer.reduce(now, DirectEvent::AnnouncementsReceived(vec![word(2, time)]));
    let late = Moment::FIRST + Millis(1_320);
    reducer.reduce(late, DirectEvent::StoreAnswered(page(Vec::new()), late));
    assert_eq!(send(&mut reducer, 1, late), None, "it was named 7.5 s ago, of 7 s");
}

#[test]
fn an_entry_that_starts_late_gives_replaced_weights_their_whole_time_again() {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![configured(), other(), engine(1), named(2)];
    let whole = FleetPage { whole: true, ..page(changes) };
    reducer.reduce(START, DirectEvent::StoreAnswered(whole, START));
    assert_eq!(send(&mut reducer, 1, START + Millis(300)), None);
}

/// It leaves without a word and serves on; what waits inside it is still there.
#[test]
fn a_request_stays_at_an_engine_whose_registration_ended() {
    let mut reducer = entry_at(START);
    reducer.reduce(START, DirectEvent::StoreAnswered(page(vec![named(2)]), START));
    let sent = START + Millis(bound().0 - 800);
    follow(&mut reducer, sent);
    let begin_by = send(&mut reducer, 1, sent).unwrap().expect("it is held to a moment");
    let gone = FleetChange::UpstreamGone("u1".parse().unwrap());
    let soon = begin_by - Millis(100);
    reducer.reduce(soon, DirectEvent::StoreAnswered(page(vec![gone]), soon));
    assert!(withdrawn(&reducer.reduce(begin_by, DirectEvent::TimerFired)), "it may begin any time");
}

/// Its registration is written anew without a model, as while it loads.
#[test]
fn a_request_stays_at_an_engine_that_tells_of_no_weights() {
    let mut reducer = entry_at(START);
    reducer.reduce(START, DirectEvent::StoreAnswered(page(vec![named(2)]), START));
    let sent = START + Millis(bound().0 - 800);
    follow(&mut reducer, sent);
    let begin_by = send(&mut reducer, 1, sent).unwrap().expect("it is held to a moment");
    let FleetChange::Upstream(mut record) = engine(1) else { unreachable!() };
    record.serving.clear();
    let soon = begin_by - Millis(100);
    let changes = vec![FleetChange::Upstream(record)];
    reducer.reduce(soon, DirectEvent::StoreAnswered(page(changes), soon));
    assert!(withdrawn(&reducer.reduce(begin_by, DirectEvent::TimerFired)), "it may begin any time");
}

/// A short call after an answer that lay in the socket of a process that stood still.
#[test]
fn a_version_counts_later_than_somebody_knew_of_it() {
    let mut reducer = entry_at(START);
    // Made at START, taken at 4,000.
    let woken = START + Millis(4_000);
    reducer.reduce(woken, DirectEvent::StoreAnswered(page(Vec::new()), START));
    let (asked, told) = (woken + Millis(20), woken + Millis(30));
    reducer.reduce(told, DirectEvent::StoreAnswered(page(vec![named(2)]), asked));
    // Another entry found it in a short call, too: after 250, known at 310.
    let time = NamingTime::after(START + Millis(250), START + Millis(310));
    reducer.reduce(told + Millis(20), DirectEvent::AnnouncementsReceived(vec![word(2, time)]));
    let over = START + Millis(310) + bound();
    reducer.reduce(over, DirectEvent::StoreAnswered(page(Vec::new()), over));
    assert_eq!(send(&mut reducer, 1, over), None, "another knew of it a whole bound ago");
}

/// The word of an entry that stood still reaches one that knows better.
#[test]
fn a_word_of_one_that_stood_still_makes_a_version_count_later() {
    let mut table = VersionTable::default();
    let (known, version) = (START + Millis(310), WeightVersion(2));
    table.name(&model(), version, NamingTime::after(START + Millis(250), known));
    let late = NamingTime::after(START + Millis(4_000), START + Millis(4_030));
    table.refine(&word(2, late));
    let since = table.named_at(&model(), version).unwrap();
    assert!(since <= known, "{}", since.since(START));
}

/// Versions first, then the entries: all of them registered anew since.
#[test]
fn nobody_is_asked_where_all_is_read_anew_after_an_outage() {
    let mut reducer = entry_at(START);
    reducer.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    let changes = vec![configured(), engine(1), named(2), other()];
    let whole = FleetPage { whole: true, ..page(changes) };
    reducer.reduce(back, DirectEvent::StoreAnswered(whole, back));
    let span = AnswerSpan { since: Moment(0), until: back - Millis(10) };
    reducer.reduce(back + Millis(20), DirectEvent::AvailabilityReceived(span));
    let over = START + bound();
    reducer.reduce(over, DirectEvent::StoreAnswered(page(Vec::new()), over));
    assert_eq!(send(&mut reducer, 1, over), None, "the store answered another all the while");
}

/// The others' words come after the patience: the first ones were lost, or their way is long.
#[test]
fn an_answer_after_the_patience_does_not_take_back_that_versions_count_anew() {
    let mut reducer = entry_at(START);
    reducer.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    reducer.reduce(back, DirectEvent::StoreAnswered(page(vec![named(2)]), back));
    reducer.reduce(back + Millis(200), DirectEvent::TimerFired);
    let span = AnswerSpan { since: Moment(0), until: back - Millis(10) };
    reducer.reduce(back + Millis(300), DirectEvent::AvailabilityReceived(span));
    // It knows it only as one of some seconds.
    let time = NamingTime::after(START, START + Millis(2_000));
    reducer.reduce(back + Millis(300), DirectEvent::AnnouncementsReceived(vec![word(2, time)]));
    let over = START + Millis(2_000) + bound();
    reducer.reduce(over, DirectEvent::StoreAnswered(page(Vec::new()), over));
    assert_eq!(send(&mut reducer, 1, over), None, "another knew of it a whole bound ago");
}

/// A version is first known from another entry; this one's own sighting is told to nobody.
#[test]
fn what_an_entry_saw_itself_is_not_told_where_another_told_it_before() {
    let mut table = VersionTable::default();
    let time = NamingTime::heard(START, START + Millis(500));
    table.refine(&word(2, time));
    table.name(&model(), WeightVersion(2), NamingTime::heard(START, START + Millis(510)));
    assert_eq!(table.words(START).len(), 1);
}

/// Between two namings nothing is demanded of the engine, so only its answer tells what it ran.
#[test]
fn an_answer_on_other_weights_than_believed_is_not_counted_as_late() {
    let mut reducer = entry_at(START);
    let changes = vec![FleetChange::UpstreamGone("u1".parse().unwrap()), engine(2), named(2)];
    reducer.reduce(START, DirectEvent::StoreAnswered(page(changes), START));
    let third = START + Millis(bound().0 - 1_000);
    follow(&mut reducer, third);
    reducer.reduce(third, DirectEvent::StoreAnswered(page(vec![named(3)]), third));
    let now = START + bound() + Millis(500);
    reducer.reduce(now, DirectEvent::StoreAnswered(page(Vec::new()), now));
    assert!(send(&mut reducer, 1, now).is_some());
    let version = Some(WeightVersion(1));
    reducer.reduce(now, DirectEvent::AnswerStarted(RequestNumber(1), None, version));
    assert_eq!(reducer.status(now).started_late, 1, "its time was over 500 ms before");
}

/// Its request is resent as if nothing were known of it, where one that was lost is held.
#[test]
fn a_request_under_which_an_upstream_ended_is_sent_on_after_it_was_taken_back() {
    use mustardrill_core::direct::AttemptOutcome;
    use mustardrill_core::quarantine::CrashWord;
    use mustardrill_types::RequestDigest;
    let sends = |outcome: AttemptOutcome| {
        let mut reducer = entry_at(START);
        reducer.reduce(START, DirectEvent::StoreAnswered(page(vec![named(2)]), START));
        let sent = START + Millis(bound().0 - 800);
        follow(&mut reducer, sent);
        let begin_by = send(&mut reducer, 1, sent).unwrap().unwrap();
        reducer.reduce(begin_by, DirectEvent::StoreAnswered(page(vec![engine(2)]), begin_by));
        let content = RequestDigest::of(&[b"/x"]).0.to_be_bytes();
        let digest = RequestDigest::of(&[b"drafts.example", b"", &content]);
        let word = CrashWord::Quarantined(digest, Millis(10_000));
        reducer.reduce(begin_by, DirectEvent::CrashReportReceived(word));
        let effects =
            reducer.reduce(begin_by, DirectEvent::AttemptEnded(RequestNumber(1), outcome));
        effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
    };
    assert!(!sends(AttemptOutcome::Lost { delivered: false, crashed: false }), "control");
    assert!(!sends(AttemptOutcome::Withdrawn { sent: true }), "it ends the next engine, too");
}
