//! The reducer of an entry that sends to upstreams itself, event by event.

use std::sync::Arc;

use assert_matches::assert_matches;
use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, ChangeCoalescer, CustomerRecord, DirectEffect, DirectEvent,
    DirectReducer, DirectRequest, DirectSettings, EngineWord, FleetChange, FleetUpdate, LoadUpdate,
    PeerLoad, RefusalPlan, RepeatRule, RequestNumber, RouteDocument, RouteRule, SendPlan,
    ServedWeights, ServiceProfile, UpstreamLoad, UpstreamRecord, WorkSize, confirmation_time,
};
use mustardrill_types::{
    FastMap, Generation, InstanceId, Millis, Moment, ResultCode, StartStamp, StoreRevision,
    WeightVersion,
};
use proptest::prelude::*;

mod common;

const START: Moment = Moment(100_000);

fn route(name: &str, prefix: &str, service: &str, repeat: RepeatRule) -> RouteRule {
    RouteRule { public: false, ..common::public_route(name, prefix, service, repeat) }
}

fn document(generation: u64, keys: &[&str]) -> Arc<RouteDocument> {
    let routes = vec![
        route("drafts", "/drafts/", "pool", RepeatRule::StreamResumable),
        route("once", "/notices/", "desk", RepeatRule::Once),
        route("status", "/notices/status/", "desk", RepeatRule::Idempotent),
    ];
    let engine = common::engine_profile();
    let mut services = FastMap::default();
    services.insert(
        "pool".parse().unwrap(),
        ServiceProfile { engine: Some(engine), ..ServiceProfile::default() },
    );
    services.insert("desk".parse().unwrap(), ServiceProfile::default());
    let customer = CustomerRecord {
        name: "comedor".parse().unwrap(),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        priority: None,
    };
    Arc::new(RouteDocument::new(
        Generation(generation),
        routes,
        services,
        vec![customer],
        CallerLimits::default(),
    ))
}

fn upstream(id: &str, service: &str, version: u64) -> UpstreamRecord {
    let port = 1_000 + id.bytes().map(u16::from).sum::<u16>();
    let serving = if service == "pool" && version > 0 {
        vec![ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(version) }]
    } else {
        Vec::new()
    };
    UpstreamRecord {
        id: id.parse().unwrap(),
        start: StartStamp(1),
        service: service.parse().unwrap(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "hall-a".parse().unwrap(),
        slots: 4,
        leaving: false,
        serving,
    }
}

fn page(changes: Vec<FleetChange>) -> FleetUpdate {
    FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: false,
        ..FleetUpdate::default()
    }
}

/// An entry with one configuration and these upstreams.
fn entry(upstreams: &[UpstreamRecord]) -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let mut changes = vec![FleetChange::Configured(document(1, &["key-1"]))];
    changes.extend(upstreams.iter().cloned().map(FleetChange::Upstream));
    reducer.reduce(START, DirectEvent::Fleet(page(changes), START));
    reducer
}

fn request(number: u64, path: &str, arrived: Moment) -> DirectRequest {
    DirectRequest {
        host: "Drafts.example:80".into(),
        key: Some("key-1".into()),
        model: path.starts_with("/drafts/").then(|| "m".parse().unwrap()),
        ..common::direct_request(number, path, WorkSize { prompt: 300, answer: 120 }, arrived)
    }
}

fn arrive(reducer: &mut DirectReducer, now: Moment, number: u64, path: &str) -> Vec<DirectEffect> {
    reducer.reduce(now, DirectEvent::Arrived(request(number, path, now)))
}

fn sent(effects: &[DirectEffect]) -> Vec<&SendPlan> {
    let plans = effects.iter().filter_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some(plan),
        _ => None,
    });
    plans.collect()
}

fn refused(effects: &[DirectEffect]) -> Vec<RefusalPlan> {
    let plans = effects.iter().filter_map(|effect| match effect {
        DirectEffect::Refuse(_, plan) => Some(*plan),
        _ => None,
    });
    plans.collect()
}

fn end(
    reducer: &mut DirectReducer,
    now: Moment,
    number: u64,
    outcome: AttemptOutcome,
) -> Vec<DirectEffect> {
    reducer.reduce(now, DirectEvent::Ended(RequestNumber(number), outcome))
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let document = document(1, &[]);
    let found = |path| document.route("DRAFTS.example:8080", path).map(|route| &*route.name);
    assert_eq!(found("/notices/status/7"), Some("status"));
    assert_eq!(found("/notices/statu/7"), Some("once"));
    assert_eq!(found("/none/"), None);
    assert!(document.route("other.example", "/notices/").is_none());
}

#[test]
fn a_split_gives_each_service_its_share() {
    let mut rule = route("split", "/", "a", RepeatRule::Idempotent);
    rule.split = vec![("a".parse().unwrap(), 90), ("b".parse().unwrap(), 10)];
    let lots = (0..1_000u64).map(|step| (step * u64::from(u32::MAX) / 1_000) as u32);
    let share = lots.filter(|lot| rule.service_for(*lot).as_str() == "b").count();
    assert!((95..=105).contains(&share), "{share} of 1,000");
}

/// The store is known to be away, so that waiting for it would be in vain.
fn store_away(reducer: &mut DirectReducer, now: Moment) {
    reducer.reduce(now, DirectEvent::StoreFailed);
}

#[test]
fn without_a_configuration_nothing_is_denied_and_nothing_sent() {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    assert!(!reducer.is_ready(START));
    store_away(&mut reducer, START);
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
}

/// All entries start again: each caller's second try meets another one that is starting.
#[test]
fn requests_wait_for_the_first_configuration_while_the_store_is_about_to_answer() {
    let start = || DirectReducer::new(common::direct_settings(), 7);
    let mut reducer = start();
    for number in 1..=3 {
        let effects = arrive(&mut reducer, START, number, "/drafts/x");
        assert_eq!((sent(&effects).len(), refused(&effects).len()), (0, 0));
    }
    reducer.reduce(START, DirectEvent::Gone(RequestNumber(2)));
    let changes = vec![
        FleetChange::Configured(document(1, &["key-1"])),
        FleetChange::Upstream(upstream("u1", "pool", 1)),
    ];
    let later = START + Millis(900);
    let effects = reducer.reduce(later, DirectEvent::Fleet(page(changes), START));
    let numbers = effects.iter().filter_map(|effect| match effect {
        DirectEffect::Send(number, _) => Some(number.0),
        _ => None,
    });
    assert_eq!(numbers.collect::<Vec<_>>(), [1, 3], "those whose callers still wait");
    // Neither a store that does not answer nor a long reading is waited for.
    let mut reducer = start();
    arrive(&mut reducer, START, 1, "/drafts/x");
    let effects = reducer.reduce(START + Millis(500), DirectEvent::StoreFailed);
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
    let mut reducer = start();
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    assert_matches!(effects[..], [DirectEffect::Wake(at)] if at == START + Millis(1_500));
    let effects = reducer.reduce(START + Millis(1_500), DirectEvent::Woke);
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
}

#[test]
fn a_key_counts_only_while_the_configuration_is_proved_newest() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    assert_eq!(sent(&arrive(&mut reducer, START, 1, "/drafts/x")).len(), 1);
    let stale = START + Millis(4_500);
    assert_eq!(sent(&arrive(&mut reducer, stale, 2, "/drafts/x")).len(), 0, "it waits for a proof");
    let effects = reducer.reduce(stale, DirectEvent::StoreFailed);
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
    let effects = arrive(&mut reducer, stale, 3, "/drafts/x");
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
    assert!(!reducer.is_ready(stale));
    // An answer proves only the time at which its call was sent.
    reducer.reduce(stale, DirectEvent::Fleet(page(Vec::new()), stale - Millis(1_500)));
    assert_eq!(sent(&arrive(&mut reducer, stale, 4, "/drafts/x")).len(), 1);
    // An answer to a call of too long ago releases nobody who waits for a proof.
    let later = stale + Millis(4_500);
    assert_eq!(sent(&arrive(&mut reducer, later, 5, "/drafts/x")).len(), 0);
    let effects = reducer.reduce(later, DirectEvent::Fleet(page(Vec::new()), stale));
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
}

#[test]
fn a_watch_that_ends_without_a_change_proves_its_end() {
    let wait = Millis(1_500);
    let at = |after: u64| START + Millis(after);
    assert_eq!(confirmation_time(START, at(1_504), wait, true), at(1_500));
    assert_eq!(
        confirmation_time(START, at(9_000), wait, true),
        at(1_500),
        "however late the answer comes"
    );
    assert_eq!(confirmation_time(START, at(1_499), wait, true), START, "it was cut short");
    assert_eq!(
        confirmation_time(START, at(1_504), wait, false),
        START,
        "it may be an early answer, late"
    );
}

#[test]
fn a_key_taken_away_is_refused_also_while_its_request_waits() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    for number in 1..=6 {
        assert_eq!(sent(&arrive(&mut reducer, START, number, "/drafts/x")).len(), 1, "{number}");
        reducer.reduce(START, DirectEvent::Answering(RequestNumber(number), None, None));
    }
    assert_eq!(sent(&arrive(&mut reducer, START, 7, "/drafts/x")).len(), 0);
    let newer = FleetChange::Configured(document(2, &["key-2"]));
    reducer.reduce(START, DirectEvent::Fleet(page(vec![newer]), START));
    let effects = end(&mut reducer, START, 1, AttemptOutcome::Whole);
    assert_eq!(sent(&effects), Vec::<&SendPlan>::new());
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::UnknownCustomer, .. }]);
}

/// What becomes of a request with `key` that waits on the route `before`, when a configuration comes with
/// the route `after` and these customers.
fn waits_while_configured(
    before: RouteRule,
    key: Option<&str>,
    after: RouteRule,
    customers: Vec<CustomerRecord>,
) -> Vec<DirectEffect> {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let desk = FleetChange::Upstream(UpstreamRecord { slots: 1, ..upstream("d1", "desk", 0) });
    let configured = |generation: u64, route: RouteRule, customers: Vec<CustomerRecord>| {
        let services = [("desk".parse().unwrap(), ServiceProfile::default())].into_iter().collect();
        let limits = CallerLimits::default();
        let generation = Generation(generation);
        let document = RouteDocument::new(generation, vec![route], services, customers, limits);
        FleetChange::Configured(Arc::new(document))
    };
    let first = configured(1, before, vec![customer("comedor", &["key-1"])]);
    reducer.reduce(START, DirectEvent::Fleet(page(vec![first, desk]), START));
    let ask = |number: u64| DirectRequest {
        key: key.map(Into::into),
        ..request(number, "/status/x", START)
    };
    let taken = 1 + u64::from(common::direct_settings().ahead);
    for number in 1..=taken + 1 {
        let effects = reducer.reduce(START, DirectEvent::Arrived(ask(number)));
        assert_eq!(sent(&effects).len(), usize::from(number <= taken), "{number}: {effects:?}");
    }
    let second = configured(2, after, customers);
    let mut effects = reducer.reduce(START, DirectEvent::Fleet(page(vec![second]), START));
    for number in 1..=taken {
        effects.extend(end(&mut reducer, START, number, AttemptOutcome::Whole));
    }
    effects
}

fn customer(name: &str, keys: &[&str]) -> CustomerRecord {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    CustomerRecord { name: name.parse().unwrap(), keys, priority: None }
}

#[test]
fn a_key_that_changes_hands_while_its_request_waits_runs_under_its_new_customer() {
    let keyed = || route("status", "/status/", "desk", RepeatRule::Idempotent);
    let customers = vec![customer("comedor", &["key-2"]), customer("inspector", &["key-1"])];
    let effects = waits_while_configured(keyed(), Some("key-1"), keyed(), customers);
    let customers: Vec<_> = sent(&effects).iter().map(|plan| plan.customer.clone()).collect();
    assert_eq!(customers, [Some("inspector".parse().unwrap())], "{effects:?}");
}

#[test]
fn a_key_taken_away_matters_no_more_where_its_route_became_public() {
    let keyed = route("status", "/status/", "desk", RepeatRule::Idempotent);
    let public = RouteRule { public: true, ..keyed.clone() };
    let customers = vec![customer("comedor", &["key-2"])];
    let effects = waits_while_configured(keyed, Some("key-1"), public, customers);
    let customers: Vec<_> = sent(&effects).iter().map(|plan| plan.customer.clone()).collect();
    assert_eq!(customers, [None], "{effects:?}");
}

#[test]
fn a_request_without_a_key_is_refused_where_its_route_is_public_no_more() {
    let keyed = route("status", "/status/", "desk", RepeatRule::Idempotent);
    let public = RouteRule { public: true, ..keyed.clone() };
    let customers = vec![customer("comedor", &["key-1"])];
    let effects = waits_while_configured(public, None, keyed, customers);
    assert_eq!(sent(&effects), Vec::<&SendPlan>::new());
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::UnknownCustomer, .. }]);
}

#[test]
fn a_waiting_request_goes_where_its_route_has_moved() {
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("d1", "desk", 0)]);
    for number in 1..=6 {
        arrive(&mut reducer, START, number, "/drafts/x");
        reducer.reduce(START, DirectEvent::Answering(RequestNumber(number), None, None));
    }
    arrive(&mut reducer, START, 7, "/drafts/x");
    let moved = vec![route("drafts", "/drafts/", "desk", RepeatRule::Idempotent)];
    let customer = CustomerRecord {
        name: "comedor".parse().unwrap(),
        keys: vec!["key-1".into()],
        priority: None,
    };
    let limits = CallerLimits::default();
    let document =
        RouteDocument::new(Generation(2), moved, FastMap::default(), vec![customer], limits);
    let change = FleetChange::Configured(Arc::new(document));
    let mut effects = reducer.reduce(START, DirectEvent::Fleet(page(vec![change]), START));
    effects.extend(end(&mut reducer, START, 1, AttemptOutcome::Whole));
    let plans = sent(&effects);
    assert_eq!(plans.iter().map(|plan| plan.upstream.as_str()).collect::<Vec<_>>(), ["d1"]);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut reducer = entry(&[]);
    for generation in [5, 3] {
        let change = FleetChange::Configured(document(generation, &["key-1"]));
        reducer.reduce(START, DirectEvent::Fleet(page(vec![change]), START));
    }
    assert_eq!(reducer.document().unwrap().generation, Generation(5));
}

#[test]
fn what_other_entries_have_at_an_engine_counts() {
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 1)]);
    let load = UpstreamLoad { requests: 3, reading: Millis(0) };
    let from: InstanceId = "entry-2".parse().unwrap();
    let told = PeerLoad {
        from,
        news: LoadUpdate {
            rows: vec![("u1".parse().unwrap(), load)],
            is_snapshot: true,
            waiting: Vec::new(),
        },
    };
    reducer.reduce(START, DirectEvent::PeerHeard(told));
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    assert_eq!(sent(&effects)[0].upstream.as_str(), "u2");
    // A silent entry's load is forgotten: a second one goes to the idle engine again.
    let later = START + Millis(1_500);
    let effects = arrive(&mut reducer, later, 2, "/drafts/x");
    assert_eq!(sent(&effects)[0].upstream.as_str(), "u1");
}

/// Turns are for a place that has just become free, not for room that has been there all the while.
#[test]
fn who_has_sent_much_is_not_shut_out_where_others_have_requests_waiting() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    // The engine was full of others' requests and has room now.
    let word = |requests, waiting: &[(&str, u32)]| {
        let load = UpstreamLoad { requests, reading: Millis(0) };
        let rows = vec![("u1".parse().unwrap(), load)];
        let waiting = waiting.iter().map(|(name, count)| (name.parse().unwrap(), *count));
        let news = LoadUpdate { rows, is_snapshot: true, waiting: waiting.collect() };
        DirectEvent::PeerHeard(PeerLoad { from: "entry-2".parse().unwrap(), news })
    };
    reducer.reduce(START, word(9, &[]));
    reducer.reduce(START, word(0, &[]));
    for number in 1..=200 {
        let now = START + Millis(number * 10);
        assert_eq!(sent(&arrive(&mut reducer, now, number, "/drafts/x")).len(), 1, "{number}");
        end(&mut reducer, now, number, AttemptOutcome::Whole);
    }
    let later = START + Millis(2_100);
    reducer.reduce(later, word(0, &[("pool", 5)]));
    assert_eq!(sent(&arrive(&mut reducer, later, 201, "/drafts/x")).len(), 1);
}

#[test]
fn prompts_that_come_together_are_spread_over_time() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    let mut together = 0;
    for number in 1..=4 {
        let mut call = request(number, "/drafts/x", START);
        call.size = WorkSize { prompt: 3_000, answer: 120 };
        together += sent(&reducer.reduce(START, DirectEvent::Arrived(call))).len();
    }
    assert_eq!(together, 1, "one prompt of 100 ms is read at a time");
    let effects = reducer.reduce(START, DirectEvent::Answering(RequestNumber(1), None, None));
    assert_eq!(sent(&effects).len(), 0, "the first event alone wakes nobody");
    let effects = end(&mut reducer, START, 1, AttemptOutcome::Whole);
    assert_eq!(sent(&effects).len(), 1);
}

#[test]
fn a_request_that_may_run_once_is_never_sent_again_and_never_said_not_to_have_run() {
    let mut reducer = entry(&[upstream("d1", "desk", 0), upstream("d2", "desk", 0)]);
    arrive(&mut reducer, START, 1, "/notices/x");
    let effects =
        end(&mut reducer, START, 1, AttemptOutcome::Lost { delivered: false, crashed: false });
    assert_eq!(sent(&effects), Vec::<&SendPlan>::new());
    let code = refused(&effects)[0].code;
    assert!(!code.is_not_run(), "{code:?}");
}

#[test]
fn what_was_not_run_goes_to_another_upstream_and_unreached_ones_cost_no_attempt() {
    let upstreams = ["d1", "d2", "d3"].map(|id| upstream(id, "desk", 0));
    let mut reducer = entry(&upstreams);
    let first = sent(&arrive(&mut reducer, START, 1, "/notices/x"))[0].upstream.clone();
    let effects = end(&mut reducer, START, 1, AttemptOutcome::NotSent);
    let second = sent(&effects)[0].upstream.clone();
    let effects = end(&mut reducer, START, 1, AttemptOutcome::Full);
    let third = sent(&effects)[0].upstream.clone();
    assert!(first != second && second != third && first != third);
    let effects = end(&mut reducer, START, 1, AttemptOutcome::Full);
    assert_matches!(refused(&effects)[..], [RefusalPlan { code: ResultCode::Overloaded, .. }]);
}

/// What is turned away is back at once, so that the fullest upstream looks like the emptiest.
#[test]
fn an_upstream_that_is_full_gets_nothing_for_a_while() {
    let upstreams = ["d1", "d2"].map(|id| upstream(id, "desk", 0));
    let mut reducer = entry(&upstreams);
    let full = sent(&arrive(&mut reducer, START, 1, "/notices/x"))[0].upstream.clone();
    let other = sent(&end(&mut reducer, START, 1, AttemptOutcome::Full))[0].upstream.clone();
    assert_ne!(full, other);
    for number in 2..=4 {
        let effects = arrive(&mut reducer, START, number, "/notices/x");
        assert_eq!(sent(&effects)[0].upstream, other, "it has more requests, but takes them");
    }
    let rested = START + Millis(150);
    let effects = arrive(&mut reducer, rested, 5, "/notices/x");
    assert_eq!(sent(&effects)[0].upstream, full);
    // Still full: the next rest is longer.
    end(&mut reducer, rested, 5, AttemptOutcome::Full);
    let effects = arrive(&mut reducer, rested + Millis(200), 6, "/notices/x");
    assert_ne!(sent(&effects)[0].upstream, full);
    let effects = arrive(&mut reducer, rested + Millis(300), 7, "/notices/x");
    assert_eq!(sent(&effects)[0].upstream, full);
}

#[test]
fn requests_wait_where_all_upstreams_are_full() {
    let mut reducer = entry(&[upstream("d1", "desk", 0)]);
    arrive(&mut reducer, START, 1, "/notices/x");
    end(&mut reducer, START, 1, AttemptOutcome::Full);
    let effects = arrive(&mut reducer, START, 2, "/notices/x");
    assert_eq!((sent(&effects).len(), refused(&effects).len()), (0, 0));
    let effects = reducer.reduce(START + Millis(150), DirectEvent::Woke);
    assert_eq!(sent(&effects).len(), 2, "the one that was turned away, and the one that came");
}

#[test]
fn repeats_end_with_the_budget() {
    let upstreams = ["d1", "d2", "d3"].map(|id| upstream(id, "desk", 0));
    let mut reducer = entry(&upstreams);
    let mut repeats = 0;
    for number in 1..=100 {
        arrive(&mut reducer, START, number, "/notices/status/x");
        let effects = end(
            &mut reducer,
            START,
            number,
            AttemptOutcome::Lost { delivered: false, crashed: false },
        );
        repeats += sent(&effects).len();
        reducer.reduce(START, DirectEvent::Gone(RequestNumber(number)));
    }
    assert_eq!(repeats, 18, "an allowance of 8 and a tenth of 100 requests");
}

#[test]
fn an_upstreams_failure_is_passed_on_when_it_may_not_be_repeated() {
    let mut reducer = entry(&[upstream("d1", "desk", 0), upstream("d2", "desk", 0)]);
    arrive(&mut reducer, START, 1, "/notices/x");
    let effects = end(&mut reducer, START, 1, AttemptOutcome::Failed);
    assert_matches!(effects[..], [DirectEffect::PassOn(RequestNumber(1))]);
}

#[test]
fn a_leaving_upstream_gets_nothing_and_one_that_lapsed_in_an_outage_has_grace() {
    let mut leaving = upstream("u1", "pool", 1);
    let mut reducer = entry(&[leaving.clone(), upstream("u2", "pool", 1)]);
    leaving.leaving = true;
    reducer.reduce(START, DirectEvent::Fleet(page(vec![FleetChange::Upstream(leaving)]), START));
    for number in 1..=6 {
        let effects = arrive(&mut reducer, START, number, "/drafts/x");
        assert!(sent(&effects).iter().all(|plan| plan.upstream.as_str() == "u2"));
        reducer.reduce(START, DirectEvent::Answering(RequestNumber(number), None, None));
    }
    (1..=6).for_each(|number| drop(end(&mut reducer, START, number, AttemptOutcome::Whole)));
    reducer.reduce(START, DirectEvent::StoreFailed);
    let gone = FleetChange::UpstreamGone("u2".parse().unwrap());
    let back = START + Millis(4_000);
    reducer.reduce(back, DirectEvent::Fleet(page(vec![gone]), back));
    assert_eq!(sent(&arrive(&mut reducer, back, 10, "/drafts/x")).len(), 1);
    let over = back + Millis(2_000);
    reducer.reduce(over, DirectEvent::Fleet(page(Vec::new()), over));
    assert_eq!(sent(&arrive(&mut reducer, over, 11, "/drafts/x")).len(), 0);
}

#[test]
fn after_its_time_nothing_begins_on_replaced_weights() {
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 2)]);
    let named = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    reducer.reduce(START, DirectEvent::Fleet(page(vec![named]), START));
    let later = START + Millis(7_000);
    reducer.reduce(later, DirectEvent::Fleet(page(Vec::new()), later));
    for number in 1..=8 {
        let effects = arrive(&mut reducer, later, number, "/drafts/x");
        for plan in sent(&effects) {
            assert_eq!(plan.upstream.as_str(), "u2");
            assert_eq!(plan.pinned, Some(WeightVersion(2)));
        }
        reducer.reduce(later, DirectEvent::Answering(RequestNumber(number), None, None));
    }
}

#[test]
fn an_entry_that_starts_or_comes_back_gives_replaced_weights_no_second_patience() {
    let named = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let old = upstream("u1", "pool", 1);
    let mut changes = vec![FleetChange::Configured(document(1, &["key-1"])), named.clone()];
    changes.push(FleetChange::Upstream(old.clone()));
    let mut started = DirectReducer::new(common::direct_settings(), 7);
    started.reduce(START, DirectEvent::Fleet(page(changes), START));
    assert_eq!(sent(&arrive(&mut started, START, 1, "/drafts/x")).len(), 0);
    // A call failed and the next one came through: it may have been named at the beginning.
    let mut away = entry(std::slice::from_ref(&old));
    away.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(3_000);
    away.reduce(back, DirectEvent::Fleet(page(vec![named.clone()]), back));
    let due = START + Millis(7_000);
    away.reduce(due, DirectEvent::Fleet(page(Vec::new()), due));
    assert_eq!(sent(&arrive(&mut away, due, 1, "/drafts/x")).len(), 0);
    // After an outage the patience begins anew.
    let mut away = entry(&[old]);
    away.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(8_000);
    away.reduce(back, DirectEvent::Fleet(page(vec![named]), back));
    assert_eq!(sent(&arrive(&mut away, back, 1, "/drafts/x")).len(), 1);
}

/// While changes gather at the store nobody asks it; what was named then is not as old as its answer.
#[test]
fn a_version_named_while_changes_gathered_counts_from_the_answer_before() {
    let named = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let serves = |gathered: u64, waited: u64, due: Moment| {
        let mut reducer = entry(&[upstream("u1", "pool", 1)]);
        let asked = START + Millis(gathered);
        let told = asked + Millis(waited);
        reducer.reduce(told, DirectEvent::Fleet(page(vec![named.clone()]), asked));
        reducer.reduce(due, DirectEvent::Fleet(page(Vec::new()), due));
        sent(&arrive(&mut reducer, due, 1, "/drafts/x")).len()
    };
    let over = (0..7_000).map(|at| START + Millis(at)).find(|due| serves(0, 0, *due) == 0).unwrap();
    assert_eq!(serves(500, 10, over), 0, "it may have been named 490 ms before it was asked for");
    assert_eq!(serves(500, 700, over), 1, "the answer was waited for: it was named just then");
    assert_eq!(serves(0, 10, over), 1);
}

/// The newer version is late; the older one may be begun on until its bound.
#[test]
fn engines_with_replaced_weights_idle_before_their_time_is_over() {
    let named = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let bound = common::direct_settings().version_bound;
    let mut idle = entry(&[upstream("u1", "pool", 1)]);
    idle.reduce(START, DirectEvent::Fleet(page(vec![named.clone()]), START));
    let late = START + Millis(bound.0 - 600);
    idle.reduce(late, DirectEvent::Fleet(page(Vec::new()), late));
    assert_eq!(sent(&arrive(&mut idle, late, 1, "/drafts/x")).len(), 1, "it begins at once");
    // What waits inside an engine puts the beginning off.
    let mut full = entry(&[upstream("u1", "pool", 1)]);
    let rows = vec![("u1".parse().unwrap(), UpstreamLoad { requests: 16, reading: Millis(70) })];
    let news = LoadUpdate { rows, is_snapshot: true, waiting: Vec::new() };
    full.reduce(START, DirectEvent::Fleet(page(vec![named]), START));
    full.reduce(late, DirectEvent::Fleet(page(Vec::new()), late));
    let from = "entry-2".parse().unwrap();
    full.reduce(late, DirectEvent::PeerHeard(PeerLoad { from, news }));
    assert_eq!(sent(&arrive(&mut full, late, 1, "/drafts/x")).len(), 0);
}

/// Engines that load tell so again and again; whoever comes or goes is learned of soon.
#[test]
fn changes_gather_for_longer_where_no_upstream_comes_or_goes() {
    let mut gathering = ChangeCoalescer::default();
    let whole = FleetUpdate {
        is_snapshot: true,
        ..page(vec![FleetChange::Upstream(upstream("u1", "pool", 1))])
    };
    assert_eq!(
        gathering.next_read(START, &whole).pause,
        Millis(0),
        "what changed during the reading is asked for"
    );
    assert_eq!(gathering.next_read(START, &page(Vec::new())).pause, Millis(0));
    let mut told = |change| gathering.next_read(START, &page(vec![change])).pause;
    let loaded = told(FleetChange::Upstream(upstream("u1", "pool", 2)));
    let came = told(FleetChange::Upstream(upstream("u2", "pool", 2)));
    assert!(loaded > came && loaded <= Millis(500), "{loaded} {came}");
    let again = UpstreamRecord { start: StartStamp(2), ..upstream("u2", "pool", 0) };
    let leaving = UpstreamRecord { leaving: true, ..upstream("u1", "pool", 2) };
    assert_eq!(told(FleetChange::Upstream(again)), came);
    assert_eq!(told(FleetChange::Upstream(leaving)), came);
    assert_eq!(told(FleetChange::UpstreamGone("u1".parse().unwrap())), came);
    // The next change may be of any kind: it is not kept waiting by one that is rare.
    assert_eq!(told(FleetChange::Peer(common::peer(&"entry-2".parse().unwrap()))), came);
    assert!(came <= Millis(150), "who leaves is sent nothing more within 0.3 s");
}

/// While changes gather, requests of a service without upstreams are refused.
#[test]
fn the_first_upstream_of_a_service_that_lost_its_last_is_not_kept_waiting() {
    let mut gathering = ChangeCoalescer::default();
    let fleet =
        ["d1", "d2", "e1"].map(|id| upstream(id, if id == "e1" { "pool" } else { "desk" }, 1));
    let changes: Vec<_> = fleet.iter().cloned().map(FleetChange::Upstream).collect();
    gathering.next_read(START, &FleetUpdate { is_snapshot: true, ..page(changes) });
    let mut told = |change| gathering.next_read(START, &page(vec![change])).pause;
    let gone = |id: &str| FleetChange::UpstreamGone(id.parse().unwrap());
    assert!(told(gone("d1")) > Millis(0), "the other one serves");
    assert_eq!(told(gone("d2")), Millis(0), "nobody serves: the next registration is waited for");
    let back = FleetChange::Upstream(upstream("d1", "desk", 1));
    assert!(told(back) > Millis(0));
    let leaving = UpstreamRecord { leaving: true, ..upstream("d1", "desk", 1) };
    assert_eq!(told(FleetChange::Upstream(leaving)), Millis(0));
}

/// One long answer keeps all slots of an engine idle that is to load.
#[test]
fn a_long_answer_begins_where_the_engine_is_about_to_load() {
    let closing = |reducer: &mut DirectReducer, after| {
        let word = EngineWord::Closing(Millis(after));
        let (address, model) = (upstream("u1", "pool", 1).address, "m".parse().unwrap());
        reducer.reduce(START, DirectEvent::EngineHeard { address, model, word });
    };
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 1)]);
    closing(&mut reducer, 500);
    for number in 1..=4 {
        let effects = arrive(&mut reducer, START, number, "/drafts/x");
        assert!(sent(&effects).iter().all(|plan| plan.upstream.as_str() == "u2"), "{effects:?}");
        reducer.reduce(START, DirectEvent::Answering(RequestNumber(number), None, None));
    }
    // A short one ends by then.
    let mut alone = entry(&[upstream("u1", "pool", 1)]);
    closing(&mut alone, 500);
    let size = WorkSize { prompt: 100, answer: 6 };
    let short = DirectRequest { size, ..request(1, "/drafts/x", START) };
    assert_eq!(sent(&alone.reduce(START, DirectEvent::Arrived(short))).len(), 1);
    assert_eq!(sent(&arrive(&mut alone, START, 2, "/drafts/x")).len(), 0);
    // Its agent has ended, so that the pause does not come.
    let mut left = entry(&[upstream("u1", "pool", 1)]);
    closing(&mut left, 500);
    assert_eq!(sent(&arrive(&mut left, START + Millis(1_600), 3, "/drafts/x")).len(), 1);
}

/// More requests than slots: one large request takes the time of several others.
#[test]
fn a_large_request_goes_before_several_usual_ones() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    let sized = |number, answer| {
        let size = WorkSize { prompt: 300, answer };
        DirectEvent::Arrived(DirectRequest { size, ..request(number, "/drafts/x", START) })
    };
    let mut running: Vec<u64> = (1..60)
        .filter(|number| {
            let effects = reducer.reduce(START, sized(*number, 36));
            reducer.reduce(START, DirectEvent::Answering(RequestNumber(*number), None, None));
            !sent(&effects).is_empty()
        })
        .collect();
    // Those that found no place give up, so that only the next three wait.
    (1..60).filter(|it| !running.contains(it)).for_each(|number| {
        reducer.reduce(START, DirectEvent::Gone(RequestNumber(number)));
    });
    let waiting = [(100, 600), (101, 36), (102, 36)];
    for (number, answer) in waiting {
        assert_eq!(sent(&reducer.reduce(START, sized(number, answer))).len(), 0);
    }
    let mut order = Vec::new();
    for _ in waiting {
        let ended = RequestNumber(running.remove(0));
        let effects = reducer.reduce(START, DirectEvent::Ended(ended, AttemptOutcome::Whole));
        order.extend(effects.iter().filter_map(|effect| match effect {
            DirectEffect::Send(number, _) => Some(number.0),
            _ => None,
        }));
    }
    assert_eq!(order, [101, 102, 100], "the large one is served once nobody else waits");
}

/// A watch tells each configuration of a series in full, at each entry.
#[test]
fn each_configuration_of_a_series_crosses_the_link() {
    let mut gathering = ChangeCoalescer::default();
    let told = |generation| page(vec![FleetChange::Configured(document(generation, &["key-1"]))]);
    let first = gathering.next_read(START, &told(2));
    assert!(!first.is_snapshot && first.pause <= Millis(150), "a single change is told soon");
    // Eight follow one another at 330 ms: the newest is read once in a while.
    let (mut now, mut read, mut latest) = (START, 1, Millis(0));
    for generation in 3..=10 {
        let written = START + Millis(330 * (generation - 2));
        if written < now {
            continue;
        }
        let next = gathering.next_read(written, &told(generation));
        assert!(next.is_snapshot, "what lies between is not told");
        now = written + next.pause;
        latest = next.pause;
        read += 1;
    }
    assert!(read <= 4, "{read} of 9 cross");
    assert!(latest <= Millis(1_500), "a change is in force well within the tightest bound");
    let later = gathering.next_read(START + Millis(20_000), &told(11));
    assert!(!later.is_snapshot, "the series is over");
}

#[test]
fn a_restarted_upstream_replaces_the_one_at_its_address() {
    let old = upstream("u1", "pool", 1);
    let mut reducer = entry(std::slice::from_ref(&old));
    let new = UpstreamRecord { id: "u9".parse().unwrap(), ..old };
    reducer.reduce(START, DirectEvent::Fleet(page(vec![FleetChange::Upstream(new)]), START));
    for number in 1..=4 {
        let effects = arrive(&mut reducer, START, number, "/drafts/x");
        assert!(sent(&effects).iter().all(|plan| plan.upstream.as_str() == "u9"));
        reducer.reduce(START, DirectEvent::Answering(RequestNumber(number), None, None));
    }
}

#[test]
fn a_stream_goes_on_only_under_the_weights_that_it_began_with() {
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 2)]);
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    let first = sent(&effects)[0].upstream.clone();
    let version = WeightVersion(if first.as_str() == "u1" { 1 } else { 2 });
    reducer.reduce(START, DirectEvent::Answering(RequestNumber(1), None, Some(version)));
    let effects =
        end(&mut reducer, START, 1, AttemptOutcome::Lost { delivered: true, crashed: false });
    for plan in sent(&effects) {
        assert_eq!((&plan.upstream, plan.pinned), (&first, Some(version)));
    }
}

/// Its caller has nothing yet, so that nothing binds it to the weights of an engine that is gone.
#[test]
fn a_stream_that_was_lost_before_its_first_event_goes_on_under_any_weights() {
    for outcome in
        [AttemptOutcome::Lost { delivered: false, crashed: false }, AttemptOutcome::Failed]
    {
        let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 2)]);
        let effects = arrive(&mut reducer, START, 1, "/drafts/x");
        let first = sent(&effects)[0].upstream.clone();
        let version = WeightVersion(if first.as_str() == "u1" { 1 } else { 2 });
        reducer.reduce(START, DirectEvent::Answering(RequestNumber(1), None, Some(version)));
        let effects = end(&mut reducer, START, 1, outcome);
        let plans = sent(&effects);
        let [plan] = plans[..] else { panic!("{outcome:?}: {effects:?}") };
        assert_eq!((plan.upstream != first, plan.pinned), (true, None), "{outcome:?}");
    }
}

#[test]
fn who_can_be_in_time_goes_before_who_is_late() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    for number in 1..=6 {
        arrive(&mut reducer, START, number, "/drafts/x");
        reducer.reduce(START, DirectEvent::Answering(RequestNumber(number), None, None));
    }
    arrive(&mut reducer, START, 7, "/drafts/x");
    let later = START + Millis(300);
    reducer.reduce(later, DirectEvent::Fleet(page(Vec::new()), later));
    arrive(&mut reducer, later, 8, "/drafts/x");
    let effects = end(&mut reducer, later, 1, AttemptOutcome::Whole);
    assert_matches!(effects[..], [DirectEffect::Send(RequestNumber(8), _), ..]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(common::cases(64)))]

    /// Whatever happens: one final word for each request; nothing of "not run" after an attempt
    /// that may have run; a request that may run once is at one upstream at most after that.
    #[test]
    fn verdicts_are_final_and_true(steps in prop::collection::vec((0u8..9, 0u64..12), 1..200)) {
        let upstreams =
            [upstream("u1", "pool", 1), upstream("d1", "desk", 0), upstream("d2", "desk", 0)];
        let mut reducer = entry(&upstreams);
        let mut next = 1;
        let (mut ended, mut may_have_run) = (FastMap::default(), FastMap::default());
        let mut open: FastMap<u64, bool> = FastMap::default();
        for (place, (kind, pick)) in steps.into_iter().enumerate() {
            let now = START + Millis(place as u64 * 20);
            let at = open.keys().copied().nth(pick as usize % open.len().max(1));
            let effects = match (kind, at) {
                (0..=2, _) => {
                    let path = ["/drafts/x", "/notices/x", "/notices/status/x"][kind as usize];
                    next += 1;
                    arrive(&mut reducer, now, next, path)
                }
                (3, Some(number)) => end(&mut reducer, now, number, AttemptOutcome::Whole),
                (4, Some(number)) => end(&mut reducer, now, number, AttemptOutcome::Full),
                (5, Some(number)) => {
                    may_have_run.insert(number, true);
                    end(&mut reducer, now, number, AttemptOutcome::Lost { delivered: false, crashed: false })
                }
                (6, Some(number)) => end(&mut reducer, now, number, AttemptOutcome::NotSent),
                (7, Some(number)) => {
                    may_have_run.insert(number, true);
                    end(&mut reducer, now, number, AttemptOutcome::Withdrawn { sent: true })
                }
                _ => reducer.reduce(now, DirectEvent::Woke),
            };
            if let (3..=7, Some(number)) = (kind, at) {
                open.remove(&number);
            }
            for effect in effects {
                match effect {
                    DirectEffect::Send(number, _) => {
                        prop_assert!(open.insert(number.0, true).is_none());
                        prop_assert!(!ended.contains_key(&number.0));
                    }
                    DirectEffect::Refuse(number, plan) => {
                        prop_assert!(ended.insert(number.0, plan.code).is_none());
                        let ran = may_have_run.contains_key(&number.0);
                        prop_assert!(!ran || !plan.code.is_not_run(), "{:?}", plan.code);
                    }
                    DirectEffect::PassOn(number) => {
                        prop_assert!(ended.insert(number.0, ResultCode::Answered).is_none());
                    }
                    DirectEffect::Withdraw(number) => {
                        prop_assert!(false, "{number} runs on the newest weights");
                    }
                    DirectEffect::Wake(_)
                    | DirectEffect::TellAgents(..)
                    | DirectEffect::KeepQuarantine(..)
                    | DirectEffect::EndQuarantine(_) => {}
                }
            }
        }
    }
}

/// Where each of these requests is sent, in turn; all stay at their upstreams.
fn spread_of(
    reducer: &mut DirectReducer,
    now: Moment,
    numbers: std::ops::Range<u64>,
) -> Vec<String> {
    let mut chosen = Vec::new();
    for number in numbers {
        let effects = arrive(reducer, now, number, "/notices/status/x");
        chosen.extend(sent(&effects).iter().map(|plan| plan.upstream.to_string()));
    }
    chosen
}

/// Upstreams with a long queue turn connections away. Left alone, they send their share to others.
#[test]
fn an_upstream_that_answers_is_not_left_alone_for_a_connection_that_it_turned_away() {
    let mut reducer = entry(&[upstream("d1", "desk", 0), upstream("d2", "desk", 0)]);
    assert_eq!(spread_of(&mut reducer, START, 1..3).len(), 2);
    for number in 1..3 {
        end(&mut reducer, START, number, AttemptOutcome::Whole);
    }
    let first = spread_of(&mut reducer, START, 3..4)[0].clone();
    end(&mut reducer, START + Millis(300), 3, AttemptOutcome::NotSent);
    let chosen = spread_of(&mut reducer, START + Millis(310), 10..14);
    assert!(chosen.contains(&first), "{first} answered 0.3 s ago, but {chosen:?}");
}

/// After a restart of all, links are full for seconds. What could not be reached then is tried soon
/// after; what loses requests is left alone for longer.
#[test]
fn what_could_not_be_reached_is_tried_again_within_two_seconds() {
    let lost = AttemptOutcome::Lost { delivered: false, crashed: false };
    for (outcome, tried) in [(AttemptOutcome::NotSent, true), (lost, false)] {
        let mut reducer = entry(&[upstream("d1", "desk", 0)]);
        let mut now = START;
        for number in 1..=24 {
            now = now + Millis(100);
            arrive(&mut reducer, now, number, "/notices/x");
            end(&mut reducer, now, number, outcome);
            reducer.reduce(now, DirectEvent::Gone(RequestNumber(number)));
        }
        // Another one that is sound: only what is not left alone is chosen beside it.
        let sound = FleetChange::Upstream(upstream("d2", "desk", 0));
        reducer.reduce(now, DirectEvent::Fleet(page(vec![sound]), now));
        let early = spread_of(&mut reducer, now + Millis(1_950), 100..102);
        assert_eq!(early, ["d2", "d2"], "{outcome:?}");
        let later = spread_of(&mut reducer, now + Millis(2_050), 200..204);
        assert_eq!(later.contains(&"d1".to_string()), tried, "{outcome:?} {later:?}");
    }
}

#[test]
fn agents_near_by_are_told_of_a_version_when_it_is_named() {
    let far =
        UpstreamRecord { data_centre: "hall-b".parse().unwrap(), ..upstream("u3", "pool", 1) };
    let near = UpstreamRecord { address: ([10, 0, 0, 7], 80).into(), ..upstream("u1", "pool", 1) };
    let mut reducer = entry(&[near, far, upstream("d1", "desk", 0)]);
    let named = || vec![FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2))];
    let told = |effects: &[DirectEffect]| -> Vec<Vec<std::net::IpAddr>> {
        let words = effects.iter().filter_map(|effect| match effect {
            DirectEffect::TellAgents(_, WeightVersion(2), machines) => Some(machines.clone()),
            _ => None,
        });
        words.collect()
    };
    let effects = reducer.reduce(START, DirectEvent::Fleet(page(named()), START));
    assert_eq!(told(&effects), [vec![std::net::IpAddr::from([10, 0, 0, 7])]]);
}

/// The store fell silent with the agents' calls in it, entries were started again, and a version was
/// named meanwhile. The entries found it at their start and told nobody; the agents heard of it when
/// their calls ended, `weights model=m0 version=2 outcome=named` 10 s after the entries. Whatever an
/// entry reads as a whole stands in any order.
#[test]
fn an_entry_that_starts_tells_agents_near_by_of_the_version_that_it_finds() {
    let named = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let near = UpstreamRecord { address: ([10, 0, 0, 7], 80).into(), ..upstream("u1", "pool", 1) };
    let changes = vec![
        named,
        FleetChange::Configured(document(1, &["key-1"])),
        FleetChange::Upstream(near),
        FleetChange::Upstream(upstream("d1", "desk", 0)),
    ];
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let whole = FleetUpdate { is_snapshot: true, ..page(changes) };
    let effects = reducer.reduce(START, DirectEvent::Fleet(whole, START));
    let model = "m".parse().unwrap();
    let machines = vec![std::net::IpAddr::from([10, 0, 0, 7])];
    let told = DirectEffect::TellAgents(model, WeightVersion(2), machines);
    assert_eq!(effects.iter().filter(|effect| **effect == told).count(), 1, "{effects:?}");
}

/// With a limit so large that it stands for none, the room of an engine wrapped around to zero, and
/// nothing was sent to any.
#[test]
fn a_reading_limit_that_stands_for_none_leaves_room() {
    let settings =
        DirectSettings { reading_limit: Millis(u64::MAX / 4), ..common::direct_settings() };
    let mut reducer = DirectReducer::new(settings, 7);
    let changes = vec![
        FleetChange::Configured(document(1, &["key-1"])),
        FleetChange::Upstream(upstream("u1", "pool", 1)),
    ];
    reducer.reduce(START, DirectEvent::Fleet(page(changes), START));
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    assert_eq!(sent(&effects).len(), 1, "{effects:?}");
}
