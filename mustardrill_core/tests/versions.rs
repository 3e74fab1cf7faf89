//! Until when an entry begins requests on weights that were replaced.

use mustardrill_core::direct::{
    AnswerSpan, AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectRequest,
    EngineForecast, EngineNotice, FleetChange, FleetPage, LoadNews, NamingTime, NamingWord,
    PeerLoad, RepeatRule, RequestNumber, RouteDocument, ServedWeights, ServiceProfile,
    UpstreamLoad, UpstreamRecord, VersionTable, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, Moment, ResultCode, WeightVersion};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod common;

const START: Moment = Moment(100_000);

fn page(changes: Vec<FleetChange>) -> FleetPage {
    FleetPage { changes, ..FleetPage::default() }
}

/// An entry before one engine with the first version.
fn entry_before_naming() -> DirectReducer {
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
    reducer.reduce(START, DirectEvent::StoreAnswered(page(changes), START));
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

/// The same, a second version being named at `START`.
fn entry() -> DirectReducer {
    let mut reducer = entry_before_naming();
    reducer.reduce(START, DirectEvent::StoreAnswered(page(vec![versions_named(2)]), START));
    reducer
}

/// Whether the entry sends a request of `size` after `after` to an engine with `load`.
fn begins(after: Millis, load: UpstreamLoad, size: WorkSize) -> bool {
    let mut reducer = entry();
    let now = START + after;
    reducer.reduce(now, DirectEvent::StoreAnswered(page(Vec::new()), now));
    let rows = vec![("u1".parse().unwrap(), load)];
    let news = LoadNews { rows, whole: true, waiting: Vec::new() };
    reducer.reduce(
        now,
        DirectEvent::PeerLoadReceived(PeerLoad { from: "entry-2".parse().unwrap(), update: news }),
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
    /// An engine that is as slow as twice its profile still begins it in time.
    #[test]
    fn nothing_begins_on_replaced_weights_after_their_bound(
        after in 0u64..8_000,
        requests in 0u32..40,
        reading in 0u64..200,
        prompt in 1u32..8_000,
    ) {
        let size = WorkSize { prompt_tokens: prompt, answer_tokens: 120 };
        let load = UpstreamLoad { requests, pending_prefill: Millis(reading) };
        if begins(Millis(after), load, size) {
            let profile = common::engine_profile();
            let first = EngineForecast::new(&profile).time_to_first_token(requests, size);
            let begun = after + 2 * (first.0 + reading);
            prop_assert!(begun < common::direct_settings().version_bound.0, "{begun}");
        }
    }

    /// An idle engine is used until shortly before.
    #[test]
    fn an_idle_engine_is_used_until_shortly_before_the_bound(early in 700u64..7_000) {
        let after = Millis(common::direct_settings().version_bound.0 - early);
        let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
        prop_assert!(begins(after, UpstreamLoad::default(), size));
    }
}

fn versions_named(version: u64) -> FleetChange {
    FleetChange::VersionNamed("m".parse().unwrap(), WeightVersion(version))
}

/// Whether a request that comes at `now` is sent to the engine with the first version.
fn is_sent(reducer: &mut DirectReducer, number: u64, now: Moment) -> bool {
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
    let request = common::direct_request(number, "/x", size, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
}

/// The store answered another entry all the while, so the newer versions were acknowledged then.
#[test]
fn an_entry_that_was_cut_off_gives_replaced_weights_their_whole_time_again() {
    let bound = common::direct_settings().version_bound;
    let mut reducer = entry_before_naming();
    let other = common::peer(&"entry-2".parse().unwrap());
    reducer.reduce(START, DirectEvent::StoreAnswered(page(vec![FleetChange::Peer(other)]), START));
    reducer.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    // Two versions were named meanwhile, of which the store shows the second.
    reducer.reduce(back, DirectEvent::StoreAnswered(page(vec![versions_named(3)]), back));
    let span = AnswerSpan { since: Moment(0), until: back - Millis(10) };
    reducer.reduce(back + Millis(20), DirectEvent::AvailabilityReceived(span));
    let over = START + bound;
    for now in [over, over + Millis(1_000), back + bound - Millis(1_000)] {
        reducer.reduce(now, DirectEvent::StoreAnswered(page(Vec::new()), now));
        assert!(!is_sent(&mut reducer, now.0, now), "{} after the last proof", now.since(START));
    }
}

/// Others go first at the engine, or it turned slow: what the forecast said is over.
#[test]
fn a_request_that_waits_inside_an_engine_is_left_there_past_the_bound() {
    let bound = common::direct_settings().version_bound;
    let mut reducer = entry();
    let sent = START + Millis(bound.0 - 800);
    reducer.reduce(sent, DirectEvent::StoreAnswered(page(Vec::new()), sent));
    assert!(is_sent(&mut reducer, 1, sent));
    let over = START + bound;
    let effects = reducer.reduce(over, DirectEvent::TimerFired);
    let is_wish = |effect: &DirectEffect| matches!(effect, DirectEffect::SetTimer(_));
    assert!(!effects.iter().all(is_wish), "it may begin any time: {effects:?}");
}

/// An entry that sent request 1 to the engine with the first version shortly before its bound, with
/// the moment until which that is left there.
fn sent_shortly_before(repeat: RepeatRule) -> (DirectReducer, Moment) {
    let mut reducer = entry_with_route(repeat);
    reducer.reduce(START, DirectEvent::StoreAnswered(page(vec![versions_named(2)]), START));
    let sent = START + Millis(common::direct_settings().version_bound.0 - 800);
    reducer.reduce(sent, DirectEvent::StoreAnswered(page(Vec::new()), sent));
    let request =
        common::direct_request(1, "/x", WorkSize { prompt_tokens: 300, answer_tokens: 120 }, sent);
    let effects = reducer.reduce(sent, DirectEvent::RequestArrived(request));
    let begin_by = effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => plan.start_by,
        _ => None,
    });
    (reducer, begin_by.expect("it is sent, and held to a moment"))
}

fn withdrawn(effects: &[DirectEffect]) -> bool {
    effects.contains(&DirectEffect::Withdraw(RequestNumber(1)))
}

#[test]
fn a_request_that_was_taken_back_finds_no_other_engine() {
    let (mut reducer, begin_by) = sent_shortly_before(RepeatRule::StreamResumable);
    let newer = FleetChange::Upstream(engine_with(2));
    let soon = begin_by - Millis(1);
    let effects = reducer.reduce(soon, DirectEvent::StoreAnswered(page(vec![newer]), soon));
    assert!(!withdrawn(&effects));
    assert!(withdrawn(&reducer.reduce(begin_by, DirectEvent::TimerFired)));
    assert!(!withdrawn(&reducer.reduce(begin_by, DirectEvent::TimerFired)), "it is told once");
    let ended =
        DirectEvent::AttemptEnded(RequestNumber(1), AttemptOutcome::Withdrawn { sent: true });
    let effects = reducer.reduce(begin_by, ended);
    let plan = effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some((plan.upstream.as_str(), plan.start_by)),
        _ => None,
    });
    assert_eq!(plan, Some(("u2", None)));
}

#[test]
fn a_request_that_may_run_once_is_repeated_after_it_was_taken_back() {
    let (mut reducer, begin_by) = sent_shortly_before(RepeatRule::StreamOnce);
    let newer = FleetChange::Upstream(engine_with(2));
    reducer.reduce(begin_by, DirectEvent::StoreAnswered(page(vec![newer]), begin_by));
    let ended =
        DirectEvent::AttemptEnded(RequestNumber(1), AttemptOutcome::Withdrawn { sent: true });
    let effects = reducer.reduce(begin_by, ended);
    let code = effects.iter().find_map(|effect| match effect {
        DirectEffect::Refuse(_, plan) => Some(plan.code),
        _ => None,
    });
    assert_eq!(code, Some(ResultCode::Unknown), "it may have begun just before");
}

#[test]
fn an_answer_that_has_begun_is_taken_back() {
    let (mut reducer, begin_by) = sent_shortly_before(RepeatRule::StreamResumable);
    let version = Some(WeightVersion(1));
    reducer.reduce(begin_by, DirectEvent::AnswerStarted(RequestNumber(1), None, version));
    assert!(!withdrawn(&reducer.reduce(begin_by + Millis(300), DirectEvent::TimerFired)));
}

/// What waits inside an engine that loads begins on the newer weights.
#[test]
fn a_request_is_taken_back_from_an_engine_that_has_loaded_newer_weights() {
    let (mut reducer, begin_by) = sent_shortly_before(RepeatRule::StreamResumable);
    let (address, model) = (engine_with(1).address, "m".parse().unwrap());
    let word = EngineNotice::Serving(WeightVersion(2));
    reducer.reduce(begin_by, DirectEvent::EngineNoticeReceived { address, model, notice: word });
    assert!(!withdrawn(&reducer.reduce(begin_by, DirectEvent::TimerFired)));
}

/// Sent when nothing newer was known, it is held to what others tell of versions afterwards.
#[test]
fn a_request_sent_before_its_entry_heard_of_the_version_is_left_past_the_bound() {
    let mut reducer = entry_before_naming();
    let now = START + Millis(8_000);
    reducer.reduce(now, DirectEvent::StoreAnswered(page(Vec::new()), now));
    assert!(is_sent(&mut reducer, 1, now));
    let words = vec![naming_word(2, NamingTime::heard(START, START + Millis(500)))];
    assert!(withdrawn(&reducer.reduce(now, DirectEvent::AnnouncementsReceived(words))));
}

/// Hears of the third version after an absence in which a second one was named.
fn back_from_absence() -> (DirectReducer, Moment) {
    let mut reducer = entry_before_naming();
    let other = common::peer(&"entry-2".parse().unwrap());
    reducer.reduce(START, DirectEvent::StoreAnswered(page(vec![FleetChange::Peer(other)]), START));
    reducer.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    reducer.reduce(back, DirectEvent::StoreAnswered(page(vec![versions_named(3)]), back));
    (reducer, back)
}

fn naming_word(version: u64, time: NamingTime) -> NamingWord {
    let (model, version) = ("m".parse().unwrap(), WeightVersion(version));
    NamingWord { model, version, time, slack: Millis(10) }
}

/// The first moment at which nothing is sent to the first version any more.
fn replaced_from(mut reducer: DirectReducer) -> Moment {
    let moments = (0..40_000).step_by(50).map(|after| START + Millis(after));
    let over = moments.filter(|now| *now > START + Millis(6_100)).find(|now| {
        reducer.reduce(*now, DirectEvent::StoreAnswered(page(Vec::new()), *now));
        let sent = is_sent(&mut reducer, now.0, *now);
        reducer.reduce(*now, DirectEvent::CallerGone(RequestNumber(now.0)));
        !sent
    });
    over.expect("the first version is replaced at last")
}

#[test]
fn a_version_named_in_an_absence_that_the_store_no_longer_shows_is_missed() {
    let (mut reducer, back) = back_from_absence();
    let second = START + Millis(2_000);
    let time = NamingTime::heard(START + Millis(1_500), second);
    let third = NamingTime::heard(second, START + Millis(5_000));
    let words = vec![naming_word(2, time), naming_word(3, third)];
    reducer.reduce(back + Millis(20), DirectEvent::AnnouncementsReceived(words));
    let over = replaced_from(reducer);
    let bound = common::direct_settings().version_bound;
    assert!(over <= second + bound, "{over}");
    assert!(over + Millis(1_000) >= second + bound, "{over}");
}

/// Where nobody had an answer the platform counts anew, and engines have nothing newer yet.
#[test]
fn replaced_weights_are_given_up_early_after_the_store_was_away_from_all() {
    let (mut reducer, back) = back_from_absence();
    let span = AnswerSpan { since: back - Millis(200), until: back };
    reducer.reduce(back + Millis(20), DirectEvent::AvailabilityReceived(span));
    let over = replaced_from(reducer);
    let bound = common::direct_settings().version_bound;
    assert!(over <= back + bound - Millis(200), "{over}");
    assert!(over + Millis(1_000) >= back + bound, "{over}");
}

/// It takes an answer that lay in its socket for one that was given just then.
#[test]
fn an_entry_that_stood_still_at_a_naming_counts_from_its_waking() {
    let mut reducer = entry_before_naming();
    let woken = START + Millis(4_000);
    reducer.reduce(woken, DirectEvent::StoreAnswered(page(vec![versions_named(2)]), START));
    let named = START + Millis(300);
    let words = vec![naming_word(2, NamingTime::heard(START, named))];
    reducer.reduce(woken + Millis(20), DirectEvent::AnnouncementsReceived(words));
    let over = replaced_from(reducer);
    assert!(over <= named + common::direct_settings().version_bound, "{over}");
    // The same from another that does not know it exactly.
    let mut reducer = entry_before_naming();
    reducer.reduce(woken, DirectEvent::StoreAnswered(page(vec![versions_named(2)]), START));
    let words = vec![naming_word(2, NamingTime::after(START, named))];
    reducer.reduce(woken + Millis(20), DirectEvent::AnnouncementsReceived(words));
    assert!(replaced_from(reducer) <= named + common::direct_settings().version_bound);
}

/// Entries ask each other again and again; each word has a way of its own.
#[test]
fn words_of_one_naming_add_their_ways_up() {
    let mut table = VersionTable::default();
    let model = "m".parse().unwrap();
    table.name(&model, WeightVersion(2), NamingTime::heard(START, START + Millis(500)));
    for _ in 0..100 {
        let mut words = table.words(START);
        for word in &mut words {
            word.slack = Millis(10);
            word.time.heard = word.time.heard.map(|heard| heard - word.slack);
        }
        words.iter().for_each(|word| assert!(!table.refine(word)));
    }
    assert_eq!(table.named_at(&model, WeightVersion(2)), Some(START + Millis(500)));
}

/// Its engine may have started again with the first version, and between two namings no floor says so.
#[test]
fn an_engine_is_asked_for_no_version_while_a_newer_one_than_its_own_is_named() {
    let mut reducer = entry();
    let over = START + common::direct_settings().version_bound;
    let changes = vec![versions_named(3), FleetChange::Upstream(engine_with(2))];
    reducer.reduce(over, DirectEvent::StoreAnswered(page(changes), over));
    let pinned = |reducer: &mut DirectReducer, number| {
        let request = common::direct_request(
            number,
            "/x",
            WorkSize { prompt_tokens: 300, answer_tokens: 120 },
            over,
        );
        let effects = reducer.reduce(over, DirectEvent::RequestArrived(request));
        effects.iter().find_map(|effect| match effect {
            DirectEffect::Send(_, plan) => {
                Some((plan.upstream.as_str().to_owned(), plan.pinned_version))
            }
            _ => None,
        })
    };
    assert_eq!(pinned(&mut reducer, 1), Some(("u2".into(), Some(WeightVersion(2)))));
    let (address, model) = (engine_with(2).address, "m".parse().unwrap());
    let word = EngineNotice::Serving(WeightVersion(3));
    reducer.reduce(over, DirectEvent::EngineNoticeReceived { address, model, notice: word });
    assert_eq!(pinned(&mut reducer, 2), Some(("u2".into(), Some(WeightVersion(3)))));
}
