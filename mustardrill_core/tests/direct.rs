//! Single events of the direct mode's reducer, and what it answers to them.

use std::sync::Arc;

use assert_matches::assert_matches;
use common::end_attempt;
use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, ChangeCoalescer, CustomerRecord, DirectEffect, DirectEvent,
    DirectReducer, DirectRequest, DirectSettings, EngineNotice, FleetChange, FleetUpdate,
    LoadUpdate, PeerLoad, RefusalPlan, RepeatRule, RequestNumber, RetryShare, RouteDocument,
    RouteRule, SendPlan, ServedWeights, ServiceProfile, UpstreamLoad, UpstreamRecord, WarmupReport,
    WorkSize, confirmation_time,
};
use mustardrill_types::{
    FastMap, Generation, InstanceId, Millis, Moment, ResultCode, StartStamp, StoreRevision,
    WeightVersion,
};
use proptest::prelude::*;

mod common;

const START: Moment = Moment(100_000);

fn route(name: &str, prefix: &str, service: &str, repeat: RepeatRule) -> RouteRule {
    RouteRule { is_public: false, ..common::public_route(name, prefix, service, repeat) }
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
        api_keys: keys.iter().map(|key| (*key).into()).collect(),
        priority: None,
        allowed_regions: Box::default(),
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
        warmup: WarmupReport::default(),
    }
}

fn fleet_update(changes: Vec<FleetChange>) -> FleetUpdate {
    FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: false,
        ..FleetUpdate::default()
    }
}

/// An entry with one configuration and the given upstreams.
fn entry(upstreams: &[UpstreamRecord]) -> DirectReducer {
    entry_with(common::direct_settings(), upstreams)
}

fn entry_with(settings: DirectSettings, upstreams: &[UpstreamRecord]) -> DirectReducer {
    let mut reducer = DirectReducer::new(settings, 7);
    let mut changes = vec![FleetChange::Configured(document(1, &["key-1"]))];
    changes.extend(upstreams.iter().cloned().map(FleetChange::Upstream));
    reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(changes), START));
    reducer
}

fn request(number: u64, path: &str, arrived: Moment) -> DirectRequest {
    DirectRequest {
        host: "Drafts.example:80".into(),
        api_key: Some("key-1".into()),
        model: path.starts_with("/drafts/").then(|| "m".parse().unwrap()),
        ..common::direct_request(
            number,
            path,
            WorkSize { prompt_tokens: 300, answer_tokens: 120 },
            arrived,
        )
    }
}

fn arrive(reducer: &mut DirectReducer, now: Moment, number: u64, path: &str) -> Vec<DirectEffect> {
    reducer.reduce(now, DirectEvent::RequestArrived(request(number, path, now)))
}

fn sent_plans(effects: &[DirectEffect]) -> Vec<&SendPlan> {
    let plans = effects.iter().filter_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some(plan),
        _ => None,
    });
    plans.collect()
}

fn refusals(effects: &[DirectEffect]) -> Vec<RefusalPlan> {
    let plans = effects.iter().filter_map(|effect| match effect {
        DirectEffect::Refuse(_, plan) => Some(*plan),
        _ => None,
    });
    plans.collect()
}

#[test]
fn shorter_route_prefix_wins_over_longer_one() {
    let document = document(1, &[]);
    let found = |path| document.route("DRAFTS.example:8080", path).map(|route| &*route.name);
    assert_eq!(found("/notices/status/7"), Some("status"));
    assert_eq!(found("/notices/statu/7"), Some("once"));
    assert_eq!(found("/none/"), None);
    assert!(document.route("other.example", "/notices/").is_none());
}

#[test]
fn traffic_split_misses_the_configured_weights() {
    let mut rule = route("split", "/", "a", RepeatRule::Idempotent);
    rule.service_shares = vec![("a".parse().unwrap(), 90), ("b".parse().unwrap(), 10)];
    let random_values = (0..1_000u64).map(|step| (step * u64::from(u32::MAX) / 1_000) as u32);
    let share = random_values.filter(|random| rule.choose_service(*random).as_str() == "b").count();
    assert!((95..=105).contains(&share), "{share} of 1,000");
}

/// Reports a failed call to the store, so that requests are not held for its answer.
fn report_store_failure(reducer: &mut DirectReducer, now: Moment) {
    reducer.reduce(now, DirectEvent::StoreFailed);
}

#[test]
fn entry_without_configuration_sends_or_denies_requests() {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    assert!(!reducer.is_ready(START));
    report_store_failure(&mut reducer, START);
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    assert_matches!(refusals(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
}

/// When all entries restart at once, a caller that is refused retries at another entry that is
/// starting as well.
#[test]
fn starting_entry_refuses_requests_just_before_its_first_configuration() {
    let start = || DirectReducer::new(common::direct_settings(), 7);
    let mut reducer = start();
    for number in 1..=3 {
        let effects = arrive(&mut reducer, START, number, "/drafts/x");
        assert_eq!((sent_plans(&effects).len(), refusals(&effects).len()), (0, 0));
    }
    reducer.reduce(START, DirectEvent::CallerGone(RequestNumber(2)));
    let changes = vec![
        FleetChange::Configured(document(1, &["key-1"])),
        FleetChange::Upstream(upstream("u1", "pool", 1)),
    ];
    let later = START + Millis(900);
    let effects = reducer.reduce(later, DirectEvent::StoreAnswered(fleet_update(changes), START));
    let numbers = effects.iter().filter_map(|effect| match effect {
        DirectEffect::Send(number, _) => Some(number.0),
        _ => None,
    });
    assert_eq!(numbers.collect::<Vec<_>>(), [1, 3], "only requests whose callers still wait");
    // Requests are not held for a store that fails or that takes longer than the hold.
    let mut reducer = start();
    arrive(&mut reducer, START, 1, "/drafts/x");
    let effects = reducer.reduce(START + Millis(500), DirectEvent::StoreFailed);
    assert_matches!(refusals(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
    let mut reducer = start();
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    assert_matches!(effects[..], [DirectEffect::SetTimer(at)] if at == START + Millis(1_500));
    let effects = reducer.reduce(START + Millis(1_500), DirectEvent::TimerFired);
    assert_matches!(refusals(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
}

#[test]
fn api_key_is_accepted_under_an_unconfirmed_configuration() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    assert_eq!(sent_plans(&arrive(&mut reducer, START, 1, "/drafts/x")).len(), 1);
    let stale = START + Millis(4_500);
    assert_eq!(
        sent_plans(&arrive(&mut reducer, stale, 2, "/drafts/x")).len(),
        0,
        "held until the configuration is confirmed"
    );
    let effects = reducer.reduce(stale, DirectEvent::StoreFailed);
    assert_matches!(refusals(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
    let effects = arrive(&mut reducer, stale, 3, "/drafts/x");
    assert_matches!(refusals(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
    assert!(!reducer.is_ready(stale));
    // An answer confirms the configuration as of the moment at which its call was sent.
    reducer
        .reduce(stale, DirectEvent::StoreAnswered(fleet_update(Vec::new()), stale - Millis(1_500)));
    assert_eq!(sent_plans(&arrive(&mut reducer, stale, 4, "/drafts/x")).len(), 1);
    // An answer to a call that was sent too long ago releases no held request.
    let later = stale + Millis(4_500);
    assert_eq!(sent_plans(&arrive(&mut reducer, later, 5, "/drafts/x")).len(), 0);
    let effects =
        reducer.reduce(later, DirectEvent::StoreAnswered(fleet_update(Vec::new()), stale));
    assert_matches!(refusals(&effects)[..], [RefusalPlan { code: ResultCode::NotCurrent, .. }]);
}

#[test]
fn unchanged_watch_confirms_a_wrong_moment() {
    let wait = Millis(1_500);
    let at = |after: u64| START + Millis(after);
    assert_eq!(confirmation_time(START, at(1_504), wait, true), at(1_500));
    assert_eq!(
        confirmation_time(START, at(9_000), wait, true),
        at(1_500),
        "no later, however late the answer arrives"
    );
    assert_eq!(confirmation_time(START, at(1_499), wait, true), START, "the watch was cut short");
    assert_eq!(
        confirmation_time(START, at(1_504), wait, false),
        START,
        "it may be an early answer that arrived late"
    );
}

#[test]
fn request_runs_though_its_key_was_revoked_while_it_waited() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    for number in 1..=6 {
        assert_eq!(
            sent_plans(&arrive(&mut reducer, START, number, "/drafts/x")).len(),
            1,
            "{number}"
        );
        reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
    assert_eq!(sent_plans(&arrive(&mut reducer, START, 7, "/drafts/x")).len(), 0);
    let newer = FleetChange::Configured(document(2, &["key-2"]));
    reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![newer]), START));
    let effects = end_attempt(&mut reducer, START, 1, AttemptOutcome::Whole);
    assert_eq!(sent_plans(&effects), Vec::<&SendPlan>::new());
    assert_matches!(
        refusals(&effects)[..],
        [RefusalPlan { code: ResultCode::UnknownCustomer, .. }]
    );
}

/// Queues a request with `key` on the route `before`, applies a configuration with the route
/// `after` and these customers, and returns the effects once upstream capacity is available.
fn reconfigure_while_waiting(
    before: RouteRule,
    key: Option<&str>,
    after: RouteRule,
    customers: Vec<CustomerRecord>,
) -> Vec<DirectEffect> {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let desk = FleetChange::Upstream(UpstreamRecord { slots: 1, ..upstream("d1", "desk", 0) });
    let configure = |generation: u64, route: RouteRule, customers: Vec<CustomerRecord>| {
        let services = [("desk".parse().unwrap(), ServiceProfile::default())].into_iter().collect();
        let limits = CallerLimits::default();
        let generation = Generation(generation);
        let document = RouteDocument::new(generation, vec![route], services, customers, limits);
        FleetChange::Configured(Arc::new(document))
    };
    let first_change = configure(1, before, vec![customer("comedor", &["key-1"])]);
    reducer
        .reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![first_change, desk]), START));
    let request_numbered = |number: u64| DirectRequest {
        api_key: key.map(Into::into),
        ..request(number, "/status/x", START)
    };
    let accepted = 1 + u64::from(common::direct_settings().requests_ahead);
    for number in 1..=accepted + 1 {
        let effects = reducer.reduce(START, DirectEvent::RequestArrived(request_numbered(number)));
        assert_eq!(
            sent_plans(&effects).len(),
            usize::from(number <= accepted),
            "{number}: {effects:?}"
        );
    }
    let second_change = configure(2, after, customers);
    let mut effects =
        reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![second_change]), START));
    for number in 1..=accepted {
        effects.extend(end_attempt(&mut reducer, START, number, AttemptOutcome::Whole));
    }
    effects
}

fn customer(name: &str, keys: &[&str]) -> CustomerRecord {
    let api_keys = keys.iter().map(|key| (*key).into()).collect();
    CustomerRecord {
        name: name.parse().unwrap(),
        api_keys,
        priority: None,
        allowed_regions: Box::default(),
    }
}

#[test]
fn waiting_request_runs_under_the_former_customer_of_its_key() {
    let keyed = || route("status", "/status/", "desk", RepeatRule::Idempotent);
    let customers = vec![customer("comedor", &["key-2"]), customer("inspector", &["key-1"])];
    let effects = reconfigure_while_waiting(keyed(), Some("key-1"), keyed(), customers);
    let customers: Vec<_> = sent_plans(&effects).iter().map(|plan| plan.customer.clone()).collect();
    assert_eq!(customers, [Some("inspector".parse().unwrap())], "{effects:?}");
}

#[test]
fn revoked_key_is_refused_on_a_route_that_became_public() {
    let keyed = route("status", "/status/", "desk", RepeatRule::Idempotent);
    let public = RouteRule { is_public: true, ..keyed.clone() };
    let customers = vec![customer("comedor", &["key-2"])];
    let effects = reconfigure_while_waiting(keyed, Some("key-1"), public, customers);
    assert_eq!(sent_plans(&effects), Vec::<&SendPlan>::new());
    assert_matches!(
        refusals(&effects)[..],
        [RefusalPlan { code: ResultCode::UnknownCustomer, .. }]
    );
}

#[test]
fn waiting_request_without_key_runs_on_a_route_that_is_no_longer_public() {
    let keyed = route("status", "/status/", "desk", RepeatRule::Idempotent);
    let public = RouteRule { is_public: true, ..keyed.clone() };
    let customers = vec![customer("comedor", &["key-1"])];
    let effects = reconfigure_while_waiting(public, None, keyed, customers);
    assert_eq!(sent_plans(&effects), Vec::<&SendPlan>::new());
    assert_matches!(
        refusals(&effects)[..],
        [RefusalPlan { code: ResultCode::UnknownCustomer, .. }]
    );
}

#[test]
fn waiting_request_goes_to_the_former_service_of_its_route() {
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("d1", "desk", 0)]);
    for number in 1..=6 {
        arrive(&mut reducer, START, number, "/drafts/x");
        reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
    arrive(&mut reducer, START, 7, "/drafts/x");
    let moved = vec![route("drafts", "/drafts/", "desk", RepeatRule::Idempotent)];
    let customer = CustomerRecord {
        name: "comedor".parse().unwrap(),
        api_keys: vec!["key-1".into()],
        priority: None,
        allowed_regions: Box::default(),
    };
    let limits = CallerLimits::default();
    let document =
        RouteDocument::new(Generation(2), moved, FastMap::default(), vec![customer], limits);
    let change = FleetChange::Configured(Arc::new(document));
    let mut effects =
        reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![change]), START));
    effects.extend(end_attempt(&mut reducer, START, 1, AttemptOutcome::Whole));
    let plans = sent_plans(&effects);
    assert_eq!(plans.iter().map(|plan| plan.upstream.as_str()).collect::<Vec<_>>(), ["d1"]);
}

#[test]
fn older_configuration_replaces_a_newer_one() {
    let mut reducer = entry(&[]);
    for generation in [5, 3] {
        let change = FleetChange::Configured(document(generation, &["key-1"]));
        reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![change]), START));
    }
    assert_eq!(reducer.document().unwrap().generation, Generation(5));
}

#[test]
fn load_of_peer_entries_is_ignored_or_kept_too_long() {
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 1)]);
    let load = UpstreamLoad { requests: 3, pending_prefill: Millis(0) };
    let from: InstanceId = "entry-2".parse().unwrap();
    let peer_load = PeerLoad {
        from,
        update: LoadUpdate {
            rows: vec![("u1".parse().unwrap(), load)],
            is_snapshot: true,
            ..LoadUpdate::default()
        },
    };
    reducer.reduce(START, DirectEvent::PeerLoadReceived(peer_load));
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    assert_eq!(sent_plans(&effects)[0].upstream.as_str(), "u2");
    // The load of a silent peer expires: a second request goes to the idle engine again.
    let later = START + Millis(1_500);
    let effects = arrive(&mut reducer, later, 2, "/drafts/x");
    assert_eq!(sent_plans(&effects)[0].upstream.as_str(), "u1");
}

/// The order of turns applies to slots that have just become free, not to slots that have been free
/// for long.
#[test]
fn busy_entry_is_shut_out_while_peers_have_requests_waiting() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    // The engine was full of a peer's requests and now has free slots.
    let peer_load = |requests, waiting: &[(&str, u32)]| {
        let load = UpstreamLoad { requests, pending_prefill: Millis(0) };
        let rows = vec![("u1".parse().unwrap(), load)];
        let waiting = waiting.iter().map(|(name, count)| (name.parse().unwrap(), *count));
        let update = LoadUpdate {
            rows,
            is_snapshot: true,
            waiting: waiting.collect(),
            ..LoadUpdate::default()
        };
        DirectEvent::PeerLoadReceived(PeerLoad { from: "entry-2".parse().unwrap(), update })
    };
    reducer.reduce(START, peer_load(9, &[]));
    reducer.reduce(START, peer_load(0, &[]));
    for number in 1..=200 {
        let now = START + Millis(number * 10);
        assert_eq!(
            sent_plans(&arrive(&mut reducer, now, number, "/drafts/x")).len(),
            1,
            "{number}"
        );
        end_attempt(&mut reducer, now, number, AttemptOutcome::Whole);
    }
    let later = START + Millis(2_100);
    reducer.reduce(later, peer_load(0, &[("pool", 5)]));
    assert_eq!(sent_plans(&arrive(&mut reducer, later, 201, "/drafts/x")).len(), 1);
}

#[test]
fn engine_is_sent_several_long_prompts_at_once() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    let mut together = 0;
    for number in 1..=4 {
        let mut call = request(number, "/drafts/x", START);
        call.size = WorkSize { prompt_tokens: 3_000, answer_tokens: 120 };
        together += sent_plans(&reducer.reduce(START, DirectEvent::RequestArrived(call))).len();
    }
    assert_eq!(together, 1, "only one prompt of 100 ms is prefilled at a time");
    let effects = reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(1), None, None));
    assert_eq!(
        sent_plans(&effects).len(),
        0,
        "the first event alone dispatches no waiting request"
    );
    let effects = end_attempt(&mut reducer, START, 1, AttemptOutcome::Whole);
    assert_eq!(sent_plans(&effects).len(), 1);
}

#[test]
fn non_repeatable_request_is_sent_again_or_reported_as_not_run() {
    let mut reducer = entry(&[upstream("d1", "desk", 0), upstream("d2", "desk", 0)]);
    arrive(&mut reducer, START, 1, "/notices/x");
    let effects = end_attempt(
        &mut reducer,
        START,
        1,
        AttemptOutcome::Lost { delivered: false, crashed: false },
    );
    assert_eq!(sent_plans(&effects), Vec::<&SendPlan>::new());
    let code = refusals(&effects)[0].code;
    assert!(!code.is_not_run(), "{code:?}");
}

#[test]
fn unreachable_upstream_uses_up_an_attempt() {
    let upstreams = ["d1", "d2", "d3"].map(|id| upstream(id, "desk", 0));
    let mut reducer = entry(&upstreams);
    let first = sent_plans(&arrive(&mut reducer, START, 1, "/notices/x"))[0].upstream.clone();
    let effects = end_attempt(&mut reducer, START, 1, AttemptOutcome::NotSent);
    let second = sent_plans(&effects)[0].upstream.clone();
    let effects = end_attempt(&mut reducer, START, 1, AttemptOutcome::Full);
    let third = sent_plans(&effects)[0].upstream.clone();
    assert!(first != second && second != third && first != third);
    let effects = end_attempt(&mut reducer, START, 1, AttemptOutcome::Full);
    assert_matches!(refusals(&effects)[..], [RefusalPlan { code: ResultCode::Overloaded, .. }]);
}

/// A rejected request leaves an upstream at once, so that the fullest upstream appears to have the
/// least load.
#[test]
fn full_upstream_is_sent_requests_during_its_back_off() {
    let upstreams = ["d1", "d2"].map(|id| upstream(id, "desk", 0));
    let mut reducer = entry(&upstreams);
    let full = sent_plans(&arrive(&mut reducer, START, 1, "/notices/x"))[0].upstream.clone();
    let other =
        sent_plans(&end_attempt(&mut reducer, START, 1, AttemptOutcome::Full))[0].upstream.clone();
    assert_ne!(full, other);
    for number in 2..=4 {
        let effects = arrive(&mut reducer, START, number, "/notices/x");
        assert_eq!(
            sent_plans(&effects)[0].upstream,
            other,
            "it has more requests, but accepts them"
        );
    }
    let back_off_end = START + Millis(150);
    let effects = arrive(&mut reducer, back_off_end, 5, "/notices/x");
    assert_eq!(sent_plans(&effects)[0].upstream, full);
    // Still full: the next back-off is longer.
    end_attempt(&mut reducer, back_off_end, 5, AttemptOutcome::Full);
    let effects = arrive(&mut reducer, back_off_end + Millis(200), 6, "/notices/x");
    assert_ne!(sent_plans(&effects)[0].upstream, full);
    let effects = arrive(&mut reducer, back_off_end + Millis(300), 7, "/notices/x");
    assert_eq!(sent_plans(&effects)[0].upstream, full);
}

#[test]
fn requests_are_refused_while_all_upstreams_back_off() {
    let mut reducer = entry(&[upstream("d1", "desk", 0)]);
    arrive(&mut reducer, START, 1, "/notices/x");
    end_attempt(&mut reducer, START, 1, AttemptOutcome::Full);
    let effects = arrive(&mut reducer, START, 2, "/notices/x");
    assert_eq!((sent_plans(&effects).len(), refusals(&effects).len()), (0, 0));
    let effects = reducer.reduce(START + Millis(150), DirectEvent::TimerFired);
    assert_eq!(sent_plans(&effects).len(), 2, "the rejected request and the new one");
}

#[test]
fn retries_exceed_the_retry_budget() {
    let retry_share = RetryShare { ratio: 0.1, allowance: 8.0, window: Millis(10_000) };
    let settings = DirectSettings { retry_share, ..common::direct_settings() };
    let upstreams = ["d1", "d2", "d3"].map(|id| upstream(id, "desk", 0));
    let mut reducer = entry_with(settings, &upstreams);
    for (seconds, expected) in [(0, 10), (12, 10), (16, 18)] {
        let now = START + Millis(seconds * 1_000);
        common::keep_in_contact(&mut reducer, START, now);
        let mut repeats = 0;
        for number in 1..=100 {
            let number = seconds * 1_000 + number;
            arrive(&mut reducer, now, number, "/notices/status/x");
            let lost = AttemptOutcome::Lost { delivered: false, crashed: false };
            let effects = end_attempt(&mut reducer, now, number, lost);
            repeats += sent_plans(&effects).len();
            reducer.reduce(now, DirectEvent::CallerGone(RequestNumber(number)));
        }
        assert_eq!(
            repeats, expected,
            "a tenth of 100 requests, and an allowance of 8 for an entry that has been there for \
             more than a window, not {seconds} s after its start"
        );
    }
}

#[test]
fn upstream_failure_of_a_non_repeatable_request_is_not_forwarded() {
    let mut reducer = entry(&[upstream("d1", "desk", 0), upstream("d2", "desk", 0)]);
    arrive(&mut reducer, START, 1, "/notices/x");
    let effects = end_attempt(&mut reducer, START, 1, AttemptOutcome::Failed);
    assert_matches!(effects[..], [DirectEffect::ForwardFailure(RequestNumber(1))]);
}

#[test]
fn draining_upstream_gets_requests_or_expired_one_has_no_grace_after_an_outage() {
    let mut leaving = upstream("u1", "pool", 1);
    let mut reducer = entry(&[leaving.clone(), upstream("u2", "pool", 1)]);
    leaving.leaving = true;
    reducer.reduce(
        START,
        DirectEvent::StoreAnswered(fleet_update(vec![FleetChange::Upstream(leaving)]), START),
    );
    for number in 1..=6 {
        let effects = arrive(&mut reducer, START, number, "/drafts/x");
        assert!(sent_plans(&effects).iter().all(|plan| plan.upstream.as_str() == "u2"));
        reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
    (1..=6)
        .for_each(|number| drop(end_attempt(&mut reducer, START, number, AttemptOutcome::Whole)));
    reducer.reduce(START, DirectEvent::StoreFailed);
    let gone = FleetChange::UpstreamGone("u2".parse().unwrap());
    let store_back = START + Millis(4_000);
    reducer.reduce(store_back, DirectEvent::StoreAnswered(fleet_update(vec![gone]), store_back));
    assert_eq!(sent_plans(&arrive(&mut reducer, store_back, 10, "/drafts/x")).len(), 1);
    let grace_end = store_back + Millis(2_000);
    reducer.reduce(grace_end, DirectEvent::StoreAnswered(fleet_update(Vec::new()), grace_end));
    assert_eq!(sent_plans(&arrive(&mut reducer, grace_end, 11, "/drafts/x")).len(), 0);
}

#[test]
fn requests_start_on_superseded_weights_after_the_version_bound() {
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 2)]);
    let announced = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![announced]), START));
    let later = START + Millis(7_000);
    reducer.reduce(later, DirectEvent::StoreAnswered(fleet_update(Vec::new()), later));
    for number in 1..=8 {
        let effects = arrive(&mut reducer, later, number, "/drafts/x");
        for plan in sent_plans(&effects) {
            assert_eq!(plan.upstream.as_str(), "u2");
            assert_eq!(plan.pinned_version, Some(WeightVersion(2)));
        }
        reducer.reduce(later, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
}

#[test]
fn entry_start_or_failed_store_call_extends_the_version_bound() {
    let announced = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let old = upstream("u1", "pool", 1);
    let mut changes = vec![FleetChange::Configured(document(1, &["key-1"])), announced.clone()];
    changes.push(FleetChange::Upstream(old.clone()));
    let mut restarted = DirectReducer::new(common::direct_settings(), 7);
    restarted.reduce(START, DirectEvent::StoreAnswered(fleet_update(changes), START));
    assert_eq!(sent_plans(&arrive(&mut restarted, START, 1, "/drafts/x")).len(), 0);
    // One call failed and the next succeeded: the version may have been announced at the start of
    // that gap.
    let mut cut_off = entry(std::slice::from_ref(&old));
    cut_off.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(3_000);
    cut_off.reduce(back, DirectEvent::StoreAnswered(fleet_update(vec![announced.clone()]), back));
    let due = START + Millis(7_000);
    cut_off.reduce(due, DirectEvent::StoreAnswered(fleet_update(Vec::new()), due));
    assert_eq!(sent_plans(&arrive(&mut cut_off, due, 1, "/drafts/x")).len(), 0);
    // After an outage the bound counts from the return of the store.
    let mut cut_off = entry(&[old]);
    cut_off.reduce(START + Millis(1_500), DirectEvent::StoreFailed);
    let back = START + Millis(8_000);
    cut_off.reduce(back, DirectEvent::StoreAnswered(fleet_update(vec![announced]), back));
    assert_eq!(sent_plans(&arrive(&mut cut_off, back, 1, "/drafts/x")).len(), 1);
}

/// While changes are coalesced nobody asks the store, so a version that its next answer brings may
/// have been announced before the call.
#[test]
fn version_announced_during_coalescing_counts_from_the_later_call() {
    let announced = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let sends_at = |coalesced: u64, waited: u64, due: Moment| {
        let mut reducer = entry(&[upstream("u1", "pool", 1)]);
        let asked_at = START + Millis(coalesced);
        let answered_at = asked_at + Millis(waited);
        reducer.reduce(
            answered_at,
            DirectEvent::StoreAnswered(fleet_update(vec![announced.clone()]), asked_at),
        );
        reducer.reduce(due, DirectEvent::StoreAnswered(fleet_update(Vec::new()), due));
        sent_plans(&arrive(&mut reducer, due, 1, "/drafts/x")).len()
    };
    let bound_end =
        (0..7_000).map(|at| START + Millis(at)).find(|due| sends_at(0, 0, *due) == 0).unwrap();
    assert_eq!(
        sends_at(500, 10, bound_end),
        0,
        "it may have been announced 490 ms before the call"
    );
    assert_eq!(sends_at(500, 700, bound_end), 0, "the call may have been slow instead of held");
    assert_eq!(sends_at(0, 10, bound_end), 0, "it may have been announced just before the call");
    // An unchanged answer proves that it was not announced before.
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    let unchanged_at = START + Millis(500);
    for (changes, answered_at, confirmed_at) in [
        (Vec::new(), unchanged_at, unchanged_at),
        (vec![announced.clone()], unchanged_at + Millis(900), unchanged_at + Millis(10)),
        (Vec::new(), bound_end + Millis(499), bound_end + Millis(499)),
    ] {
        let answer = DirectEvent::StoreAnswered(fleet_update(changes), confirmed_at);
        reducer.reduce(answered_at, answer);
    }
    let sent = |reducer: &mut DirectReducer, now: Moment, number| {
        sent_plans(&arrive(reducer, now, number, "/drafts/x")).len()
    };
    assert_eq!(sent(&mut reducer, bound_end + Millis(499), 1), 1);
    assert_eq!(sent(&mut reducer, bound_end + Millis(500), 2), 0);
}

/// A newer version is late; requests may start on the older one until the version bound.
#[test]
fn engines_with_superseded_weights_idle_before_the_version_bound() {
    let announced = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let bound = common::direct_settings().version_bound;
    let mut idle = entry(&[upstream("u1", "pool", 1)]);
    idle.reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![announced.clone()]), START));
    let late = START + Millis(bound.0 - 600);
    idle.reduce(late, DirectEvent::StoreAnswered(fleet_update(Vec::new()), late));
    assert_eq!(sent_plans(&arrive(&mut idle, late, 1, "/drafts/x")).len(), 1, "it starts at once");
    // Requests queued inside an engine delay the start.
    let mut full = entry(&[upstream("u1", "pool", 1)]);
    let rows =
        vec![("u1".parse().unwrap(), UpstreamLoad { requests: 16, pending_prefill: Millis(70) })];
    let update = LoadUpdate { rows, is_snapshot: true, ..LoadUpdate::default() };
    full.reduce(START, DirectEvent::StoreAnswered(fleet_update(vec![announced]), START));
    full.reduce(late, DirectEvent::StoreAnswered(fleet_update(Vec::new()), late));
    let from = "entry-2".parse().unwrap();
    full.reduce(late, DirectEvent::PeerLoadReceived(PeerLoad { from, update }));
    assert_eq!(sent_plans(&arrive(&mut full, late, 1, "/drafts/x")).len(), 0);
}

/// Engines that load send frequent updates; arrivals and departures of upstreams must still be seen
/// soon.
#[test]
fn membership_changes_are_coalesced_as_long_as_other_changes() {
    let mut coalescer = ChangeCoalescer::default();
    let snapshot = FleetUpdate {
        is_snapshot: true,
        ..fleet_update(vec![FleetChange::Upstream(upstream("u1", "pool", 1))])
    };
    assert_eq!(
        coalescer.next_read(START, &snapshot).pause,
        Millis(0),
        "changes made during the read are asked for at once"
    );
    assert_eq!(coalescer.next_read(START, &fleet_update(Vec::new())).pause, Millis(0));
    let mut pause_after = |change| coalescer.next_read(START, &fleet_update(vec![change])).pause;
    let loaded_pause = pause_after(FleetChange::Upstream(upstream("u1", "pool", 2)));
    let arrival_pause = pause_after(FleetChange::Upstream(upstream("u2", "pool", 2)));
    assert!(
        loaded_pause > arrival_pause && loaded_pause <= Millis(500),
        "{loaded_pause} {arrival_pause}"
    );
    let restarted = UpstreamRecord { start: StartStamp(2), ..upstream("u2", "pool", 0) };
    let leaving = UpstreamRecord { leaving: true, ..upstream("u1", "pool", 2) };
    assert_eq!(pause_after(FleetChange::Upstream(restarted)), arrival_pause);
    assert_eq!(pause_after(FleetChange::Upstream(leaving)), arrival_pause);
    assert_eq!(pause_after(FleetChange::UpstreamGone("u1".parse().unwrap())), arrival_pause);
    // The next change may be of any kind: it is not delayed because a kind is rare.
    assert_eq!(
        pause_after(FleetChange::Peer(common::peer(&"entry-2".parse().unwrap()))),
        arrival_pause
    );
    assert!(
        arrival_pause <= Millis(150),
        "an upstream that leaves is sent nothing more after 0.3 s"
    );
}

/// While changes are coalesced, requests of a service without upstreams are refused.
#[test]
fn coalescing_delays_the_first_upstream_of_an_empty_service() {
    let mut coalescer = ChangeCoalescer::default();
    let fleet =
        ["d1", "d2", "e1"].map(|id| upstream(id, if id == "e1" { "pool" } else { "desk" }, 1));
    let changes: Vec<_> = fleet.iter().cloned().map(FleetChange::Upstream).collect();
    coalescer.next_read(START, &FleetUpdate { is_snapshot: true, ..fleet_update(changes) });
    let mut pause_after = |change| coalescer.next_read(START, &fleet_update(vec![change])).pause;
    let gone = |id: &str| FleetChange::UpstreamGone(id.parse().unwrap());
    assert!(pause_after(gone("d1")) > Millis(0), "the other upstream still serves");
    assert_eq!(
        pause_after(gone("d2")),
        Millis(0),
        "no upstream serves: the next registration is asked for at once"
    );
    let back = FleetChange::Upstream(upstream("d1", "desk", 1));
    assert!(pause_after(back) > Millis(0));
    let leaving = UpstreamRecord { leaving: true, ..upstream("d1", "desk", 1) };
    assert_eq!(pause_after(FleetChange::Upstream(leaving)), Millis(0));
}

/// The store came back from an older copy that lacked both workers, and an engine that loaded
/// delayed the next read by half a second: requests were refused although the workers had registered
/// again.
#[test]
fn an_engine_that_loads_delays_the_return_of_a_service() {
    let fleet =
        ["d1", "d2", "e1"].map(|id| upstream(id, if id == "e1" { "pool" } else { "desk" }, 1));
    let snapshot = |fleet: &[UpstreamRecord]| FleetUpdate {
        is_snapshot: true,
        ..fleet_update(fleet.iter().cloned().map(FleetChange::Upstream).collect())
    };
    let loaded =
        |version| fleet_update(vec![FleetChange::Upstream(upstream("e1", "pool", version))]);
    let gone = |id: &str| FleetChange::UpstreamGone(id.parse().unwrap());
    for losses in [
        vec![snapshot(&fleet[2..])],
        vec![fleet_update(vec![gone("d1")]), fleet_update(vec![gone("d2")])],
    ] {
        let mut coalescer = ChangeCoalescer::default();
        coalescer.next_read(START, &snapshot(&fleet));
        for loss in losses {
            coalescer.next_read(START, &loss);
        }
        for round in 0..3 {
            let next = coalescer.next_read(START + Millis(round * 300), &loaded(2 + round));
            assert!(next.pause <= Millis(100), "{round}: {}", next.pause);
            assert!(next.pause > Millis(0), "each change of an engine would cost a call");
        }
        let back = fleet_update(vec![FleetChange::Upstream(fleet[0].clone())]);
        coalescer.next_read(START + Millis(1_000), &back);
        let usual = coalescer.next_read(START + Millis(1_100), &loaded(9)).pause;
        assert_eq!(usual, Millis(500), "the service has an upstream again");
    }
}

/// A service that had been shut down for good would cost a call for each change of an engine.
#[test]
fn a_service_that_is_gone_for_long_shortens_no_pause() {
    let mut coalescer = ChangeCoalescer::default();
    let fleet = [upstream("d1", "desk", 1), upstream("e1", "pool", 1)];
    let changes = fleet.iter().cloned().map(FleetChange::Upstream).collect();
    coalescer.next_read(START, &FleetUpdate { is_snapshot: true, ..fleet_update(changes) });
    coalescer.next_read(START, &fleet_update(vec![FleetChange::UpstreamGone(fleet[0].id.clone())]));
    let loaded = fleet_update(vec![FleetChange::Upstream(upstream("e1", "pool", 2))]);
    assert_eq!(coalescer.next_read(START + Millis(30_000), &loaded).pause, Millis(500));
}

/// One long answer keeps all other slots of an engine idle that is about to load.
#[test]
fn a_long_answer_starts_on_an_engine_about_to_load() {
    let closing = |reducer: &mut DirectReducer, after| {
        let notice = EngineNotice::LoadingIn(Millis(after));
        let (address, model) = (upstream("u1", "pool", 1).address, "m".parse().unwrap());
        let start = Some(upstream("u1", "pool", 1).start);
        reducer.reduce(START, DirectEvent::EngineNoticeReceived { address, model, start, notice });
    };
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 1)]);
    closing(&mut reducer, 500);
    for number in 1..=4 {
        let effects = arrive(&mut reducer, START, number, "/drafts/x");
        assert!(
            sent_plans(&effects).iter().all(|plan| plan.upstream.as_str() == "u2"),
            "{effects:?}"
        );
        reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
    // A short answer ends before the load.
    let mut alone = entry(&[upstream("u1", "pool", 1)]);
    closing(&mut alone, 500);
    let size = WorkSize { prompt_tokens: 100, answer_tokens: 6 };
    let short = DirectRequest { size, ..request(1, "/drafts/x", START) };
    assert_eq!(sent_plans(&alone.reduce(START, DirectEvent::RequestArrived(short))).len(), 1);
    assert_eq!(sent_plans(&arrive(&mut alone, START, 2, "/drafts/x")).len(), 0);
    // Its agent has crashed, so that the engine does not load.
    let mut left = entry(&[upstream("u1", "pool", 1)]);
    closing(&mut left, 500);
    assert_eq!(sent_plans(&arrive(&mut left, START + Millis(1_600), 3, "/drafts/x")).len(), 1);
}

/// Under overload, one large request takes the time of several usual ones.
#[test]
fn a_large_request_goes_before_several_usual_ones() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    let sized = |number, answer_tokens| {
        let size = WorkSize { prompt_tokens: 300, answer_tokens };
        DirectEvent::RequestArrived(DirectRequest { size, ..request(number, "/drafts/x", START) })
    };
    let mut running: Vec<u64> = (1..60)
        .filter(|number| {
            let effects = reducer.reduce(START, sized(*number, 36));
            reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(*number), None, None));
            !sent_plans(&effects).is_empty()
        })
        .collect();
    // The requests that were not sent are withdrawn, so that only the next three wait.
    (1..60).filter(|it| !running.contains(it)).for_each(|number| {
        reducer.reduce(START, DirectEvent::CallerGone(RequestNumber(number)));
    });
    let waiting = [(100, 600), (101, 36), (102, 36)];
    for (number, answer) in waiting {
        assert_eq!(sent_plans(&reducer.reduce(START, sized(number, answer))).len(), 0);
    }
    let mut order = Vec::new();
    for _ in waiting {
        let ended = RequestNumber(running.remove(0));
        let effects =
            reducer.reduce(START, DirectEvent::AttemptEnded(ended, AttemptOutcome::Whole));
        order.extend(effects.iter().filter_map(|effect| match effect {
            DirectEffect::Send(number, _) => Some(number.0),
            _ => None,
        }));
    }
    assert_eq!(order, [101, 102, 100], "the large request is sent once no other waits");
}

/// A watch would transfer each configuration of a series in full, to each entry.
#[test]
fn each_configuration_of_a_series_is_transferred() {
    let mut coalescer = ChangeCoalescer::default();
    let update_with =
        |generation| fleet_update(vec![FleetChange::Configured(document(generation, &["key-1"]))]);
    let first = coalescer.next_read(START, &update_with(2));
    assert!(!first.is_snapshot && first.pause <= Millis(150), "a single change is read soon");
    // Eight more follow at intervals of 330 ms; only some of them are read.
    let (mut now, mut read, mut latest) = (START, 1, Millis(0));
    for generation in 3..=10 {
        let written = START + Millis(330 * (generation - 2));
        if written < now {
            continue;
        }
        let next = coalescer.next_read(written, &update_with(generation));
        assert!(next.is_snapshot, "configurations in between are not transferred");
        now = written + next.pause;
        latest = next.pause;
        read += 1;
    }
    assert!(read <= 4, "{read} of 9 configurations are transferred");
    assert!(latest <= Millis(1_500), "a change takes effect well within the tightest bound");
    let later = coalescer.next_read(START + Millis(20_000), &update_with(11));
    assert!(!later.is_snapshot, "the series is over");
}

#[test]
fn former_incarnation_is_sent_requests_after_a_restart() {
    let old = upstream("u1", "pool", 1);
    let mut reducer = entry(std::slice::from_ref(&old));
    let new = UpstreamRecord { id: "u9".parse().unwrap(), ..old };
    reducer.reduce(
        START,
        DirectEvent::StoreAnswered(fleet_update(vec![FleetChange::Upstream(new)]), START),
    );
    for number in 1..=4 {
        let effects = arrive(&mut reducer, START, number, "/drafts/x");
        assert!(sent_plans(&effects).iter().all(|plan| plan.upstream.as_str() == "u9"));
        reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
}

#[test]
fn stream_continues_on_other_weights_than_it_started_with() {
    let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 2)]);
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    let first = sent_plans(&effects)[0].upstream.clone();
    let version = WeightVersion(if first.as_str() == "u1" { 1 } else { 2 });
    reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(1), None, Some(version)));
    let effects = end_attempt(
        &mut reducer,
        START,
        1,
        AttemptOutcome::Lost { delivered: true, crashed: false },
    );
    for plan in sent_plans(&effects) {
        assert_eq!((&plan.upstream, plan.pinned_version), (&first, Some(version)));
    }
}

/// The caller has received nothing, so the request need not continue on the weights of an engine
/// that is gone.
#[test]
fn stream_lost_before_its_first_event_stays_pinned_to_its_weights() {
    for outcome in
        [AttemptOutcome::Lost { delivered: false, crashed: false }, AttemptOutcome::Failed]
    {
        let mut reducer = entry(&[upstream("u1", "pool", 1), upstream("u2", "pool", 2)]);
        let effects = arrive(&mut reducer, START, 1, "/drafts/x");
        let first = sent_plans(&effects)[0].upstream.clone();
        let version = WeightVersion(if first.as_str() == "u1" { 1 } else { 2 });
        reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(1), None, Some(version)));
        let effects = end_attempt(&mut reducer, START, 1, outcome);
        let plans = sent_plans(&effects);
        let [plan] = plans[..] else { panic!("{outcome:?}: {effects:?}") };
        // The other engine is asked for its own weights.
        let other = Some(WeightVersion(3 - version.0));
        assert_eq!((plan.upstream != first, plan.pinned_version), (true, other), "{outcome:?}");
    }
}

#[test]
fn late_request_goes_before_one_that_can_meet_its_objective() {
    let mut reducer = entry(&[upstream("u1", "pool", 1)]);
    for number in 1..=6 {
        arrive(&mut reducer, START, number, "/drafts/x");
        reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
    arrive(&mut reducer, START, 7, "/drafts/x");
    let later = START + Millis(300);
    reducer.reduce(later, DirectEvent::StoreAnswered(fleet_update(Vec::new()), later));
    arrive(&mut reducer, later, 8, "/drafts/x");
    let effects = end_attempt(&mut reducer, later, 1, AttemptOutcome::Whole);
    assert_matches!(effects[..], [DirectEffect::Send(RequestNumber(8), _), ..]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(common::cases(64)))]

    /// For any sequence of events: each request gets one final outcome; no "not run" code after an
    /// attempt that may have run; and a request that must not run twice is at one upstream at most
    /// after that.
    #[test]
    fn request_gets_a_second_or_a_false_outcome(steps in prop::collection::vec((0u8..9, 0u64..12), 1..200)) {
        let upstreams =
            [upstream("u1", "pool", 1), upstream("d1", "desk", 0), upstream("d2", "desk", 0)];
        let mut reducer = entry(&upstreams);
        let mut next = 1;
        let (mut ended, mut may_have_run) = (FastMap::default(), FastMap::default());
        let mut open: FastMap<u64, bool> = FastMap::default();
        for (index, (kind, pick)) in steps.into_iter().enumerate() {
            let now = START + Millis(index as u64 * 20);
            let at = open.keys().copied().nth(pick as usize % open.len().max(1));
            let effects = match (kind, at) {
                (0..=2, _) => {
                    let path = ["/drafts/x", "/notices/x", "/notices/status/x"][kind as usize];
                    next += 1;
                    arrive(&mut reducer, now, next, path)
                }
                (3, Some(number)) => end_attempt(&mut reducer, now, number, AttemptOutcome::Whole),
                (4, Some(number)) => end_attempt(&mut reducer, now, number, AttemptOutcome::Full),
                (5, Some(number)) => {
                    may_have_run.insert(number, true);
                    end_attempt(&mut reducer, now, number, AttemptOutcome::Lost { delivered: false, crashed: false })
                }
                (6, Some(number)) => end_attempt(&mut reducer, now, number, AttemptOutcome::NotSent),
                (7, Some(number)) => {
                    may_have_run.insert(number, true);
                    end_attempt(&mut reducer, now, number, AttemptOutcome::Withdrawn { sent: true })
                }
                _ => reducer.reduce(now, DirectEvent::TimerFired),
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
                    DirectEffect::ForwardFailure(number) => {
                        prop_assert!(ended.insert(number.0, ResultCode::Answered).is_none());
                    }
                    DirectEffect::Withdraw(number) => {
                        prop_assert!(false, "{number} is withdrawn though it runs on the newest weights");
                    }
                    DirectEffect::SendBackup(number, _) => {
                        prop_assert!(false, "{number} is sent though no upstream was silent");
                    }
                    DirectEffect::SetTimer(_)
                    | DirectEffect::WithdrawUnsent(_)
                    | DirectEffect::NotifyAgents(..)
                    | DirectEffect::StoreQuarantine(..)
                    | DirectEffect::RemoveQuarantine(_) => {}
                }
            }
        }
    }
}

/// The upstreams to which these requests are sent, in order; all requests stay there.
fn chosen_upstreams(
    reducer: &mut DirectReducer,
    now: Moment,
    numbers: std::ops::Range<u64>,
) -> Vec<String> {
    let mut chosen = Vec::new();
    for number in numbers {
        let effects = arrive(reducer, now, number, "/notices/status/x");
        chosen.extend(sent_plans(&effects).iter().map(|plan| plan.upstream.to_string()));
    }
    chosen
}

/// Upstreams with a long queue reject connections. Ejecting them would move their share of the load
/// to others.
#[test]
fn answering_upstream_is_ejected_for_one_rejected_connection() {
    let mut reducer = entry(&[upstream("d1", "desk", 0), upstream("d2", "desk", 0)]);
    assert_eq!(chosen_upstreams(&mut reducer, START, 1..3).len(), 2);
    for number in 1..3 {
        end_attempt(&mut reducer, START, number, AttemptOutcome::Whole);
    }
    let first = chosen_upstreams(&mut reducer, START, 3..4)[0].clone();
    end_attempt(&mut reducer, START + Millis(300), 3, AttemptOutcome::NotSent);
    let chosen = chosen_upstreams(&mut reducer, START + Millis(310), 10..14);
    assert!(chosen.contains(&first), "{first} answered 0.3 s ago and is not among {chosen:?}");
}

/// After a restart of all processes, links are saturated for seconds. Upstreams that were
/// unreachable then are tried again soon; those that lose requests stay ejected for longer.
#[test]
fn unreachable_upstream_stays_ejected_for_more_than_two_seconds() {
    let lost = AttemptOutcome::Lost { delivered: false, crashed: false };
    for (outcome, tried) in [(AttemptOutcome::NotSent, true), (lost, false)] {
        let mut reducer = entry(&[upstream("d1", "desk", 0)]);
        let mut now = START;
        for number in 1..=24 {
            now = now + Millis(100);
            arrive(&mut reducer, now, number, "/notices/x");
            end_attempt(&mut reducer, now, number, outcome);
            reducer.reduce(now, DirectEvent::CallerGone(RequestNumber(number)));
        }
        // A healthy upstream joins: it alone is chosen while the first one is ejected.
        let sound = FleetChange::Upstream(upstream("d2", "desk", 0));
        reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(vec![sound]), now));
        let early = chosen_upstreams(&mut reducer, now + Millis(1_950), 100..102);
        assert_eq!(early, ["d2", "d2"], "{outcome:?}");
        let later = chosen_upstreams(&mut reducer, now + Millis(2_050), 200..204);
        assert_eq!(later.contains(&"d1".to_string()), tried, "{outcome:?} {later:?}");
    }
}

#[test]
fn local_agents_are_not_notified_of_an_announced_version() {
    let remote =
        UpstreamRecord { data_centre: "hall-b".parse().unwrap(), ..upstream("u3", "pool", 1) };
    let local = UpstreamRecord { address: ([10, 0, 0, 7], 80).into(), ..upstream("u1", "pool", 1) };
    let mut reducer = entry(&[local, remote, upstream("d1", "desk", 0)]);
    let announced = || vec![FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2))];
    let notified = |effects: &[DirectEffect]| -> Vec<Vec<std::net::IpAddr>> {
        let notices = effects.iter().filter_map(|effect| match effect {
            DirectEffect::NotifyAgents(_, WeightVersion(2), machines) => Some(machines.clone()),
            _ => None,
        });
        notices.collect()
    };
    let effects =
        reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(announced()), START));
    assert_eq!(notified(&effects), [vec![std::net::IpAddr::from([10, 0, 0, 7])]]);
}

/// The store stopped answering while the agents' watches were open, the entries restarted, and a
/// version was announced meanwhile. The entries found it at their start without notifying anybody,
/// so the agents learned of it only when their watches ended (`weights model=m0 version=2
/// outcome=named`), 10 s after the entries. The rows of a snapshot may come in any order.
#[test]
fn starting_entry_does_not_notify_agents_of_the_version_that_it_finds() {
    let announced = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let local = UpstreamRecord { address: ([10, 0, 0, 7], 80).into(), ..upstream("u1", "pool", 1) };
    let changes = vec![
        announced,
        FleetChange::Configured(document(1, &["key-1"])),
        FleetChange::Upstream(local),
        FleetChange::Upstream(upstream("d1", "desk", 0)),
    ];
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let snapshot = FleetUpdate { is_snapshot: true, ..fleet_update(changes) };
    let effects = reducer.reduce(START, DirectEvent::StoreAnswered(snapshot, START));
    let model = "m".parse().unwrap();
    let machines = vec![std::net::IpAddr::from([10, 0, 0, 7])];
    let notification = DirectEffect::NotifyAgents(model, WeightVersion(2), machines);
    assert_eq!(effects.iter().filter(|effect| **effect == notification).count(), 1, "{effects:?}");
}

/// With a limit so large that it means unlimited, the computed capacity of an engine overflowed to
/// zero and nothing was sent to any engine.
#[test]
fn unlimited_prefill_leaves_an_engine_without_capacity() {
    let settings =
        DirectSettings { prefill_limit: Millis(u64::MAX / 4), ..common::direct_settings() };
    let mut reducer = DirectReducer::new(settings, 7);
    let changes = vec![
        FleetChange::Configured(document(1, &["key-1"])),
        FleetChange::Upstream(upstream("u1", "pool", 1)),
    ];
    reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(changes), START));
    let effects = arrive(&mut reducer, START, 1, "/drafts/x");
    assert_eq!(sent_plans(&effects).len(), 1, "{effects:?}");
}
