//! Admission where kinds of requests of one service differ in urgency.

use std::sync::Arc;

use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, CustomerRecord, DirectEffect, DirectEvent, DirectReducer,
    DirectRequest, DirectSettings, EngineProfile, FleetChange, FleetUpdate, LoadUpdate, PeerLoad,
    RepeatRule, RequestNumber, RouteDocument, RouteRule, ServiceProfile, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, Moment, StoreRevision};
use proptest::prelude::*;

mod common;

const START: Moment = Moment(100_000);
const SLOTS: u32 = 12;
/// The key of a customer whose priority takes precedence over those of the routes.
const KEY: &str = "k1";
const SIZE: WorkSize = WorkSize { prompt_tokens: 900, answer_tokens: 112 };
/// The routes in order of urgency; the least urgent one has the widest objective.
const ROUTES: [(&str, u64); 3] = [("/urgent/", 400), ("/usual/", 400), ("/spare/", 800)];

fn route(index: usize, priority: u8) -> RouteRule {
    let (prefix, objective) = ROUTES[index];
    RouteRule {
        objective: Millis(objective),
        priority,
        ..common::public_route(prefix, prefix, "pool", RepeatRule::StreamResumable)
    }
}

fn document(priorities: [u8; 3]) -> Arc<RouteDocument> {
    let engine = EngineProfile {
        slots: SLOTS,
        steps_per_pass: 7,
        step_ms: 7.4,
        step_ms_per_request: 0.0387,
        prefill_tokens_per_ms: 31.9,
        mean_prompt: SIZE.prompt_tokens,
        mean_answer: SIZE.answer_tokens,
        ..common::engine_profile()
    };
    let routes = (0..3).map(|index| route(index, priorities[index])).collect();
    let mut services = FastMap::default();
    let pool = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    services.insert("pool".parse().unwrap(), pool);
    let limits = CallerLimits::default();
    let customer = CustomerRecord {
        name: "growers".parse().unwrap(),
        api_keys: vec![KEY.into()],
        priority: Some(1),
        allowed_regions: Box::default(),
    };
    Arc::new(RouteDocument::new(Generation(1), routes, services, vec![customer], limits))
}

/// An entry with `engines` engines.
fn entry(priorities: [u8; 3], engines: u8) -> DirectReducer {
    let settings =
        DirectSettings { requests_ahead: 1, in_time_percent: 25, ..common::direct_settings() };
    let mut reducer = DirectReducer::new(settings, 1);
    let mut changes = vec![FleetChange::Configured(document(priorities))];
    changes.extend((1..=engines).map(engine));
    let update = FleetUpdate { changes, revision: StoreRevision(1), ..FleetUpdate::default() };
    reducer.reduce(START, DirectEvent::StoreAnswered(update, START));
    reducer
}

fn engine(index: u8) -> FleetChange {
    common::pool_engine(index, SLOTS)
}

fn arrive(
    reducer: &mut DirectReducer,
    now: Moment,
    number: u64,
    route: usize,
) -> Vec<DirectEffect> {
    // A configuration that is confirmed all the time.
    let confirmed = DirectEvent::StoreAnswered(FleetUpdate::default(), now);
    let mut effects = reducer.reduce(now, confirmed);
    let request = DirectRequest {
        api_key: Some(KEY.into()),
        ..common::direct_request(number, ROUTES[route].0, SIZE, now)
    };
    effects.extend(reducer.reduce(now, DirectEvent::RequestArrived(request)));
    for number in sent(&effects) {
        reducer.reduce(now, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
    effects
}

fn end(reducer: &mut DirectReducer, now: Moment, number: u64) -> Vec<DirectEffect> {
    let ended = DirectEvent::AttemptEnded(RequestNumber(number), AttemptOutcome::Whole);
    let effects = reducer.reduce(now, ended);
    for number in sent(&effects) {
        reducer.reduce(now, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
    }
    effects
}

fn sent(effects: &[DirectEffect]) -> Vec<u64> {
    let sent = effects.iter().filter_map(|effect| match effect {
        DirectEffect::Send(number, _) => Some(number.0),
        _ => None,
    });
    sent.collect()
}

fn refused(effects: &[DirectEffect]) -> Vec<(u64, Millis)> {
    let refused = effects.iter().filter_map(|effect| match effect {
        DirectEffect::Refuse(number, plan) => Some((number.0, plan.retry_after)),
        _ => None,
    });
    refused.collect()
}

/// Takes all room of one engine with requests on `route`, which are numbered from one.
fn fill(reducer: &mut DirectReducer, route: usize) {
    for number in 1..=u64::from(SLOTS) + 1 {
        assert_eq!(sent(&arrive(reducer, START, number, route)).len(), 1);
    }
}

#[test]
fn tight_objective_put_the_most_urgent_request_behind_the_least_urgent() {
    let mut reducer = entry([0, 1, 2], 1);
    fill(&mut reducer, 2);
    arrive(&mut reducer, START, 20, 2);
    arrive(&mut reducer, START, 21, 0);
    let effects = end(&mut reducer, START + Millis(150), 1);
    assert_eq!(sent(&effects), [21]);
}

/// All requests of these tests are of customers with one priority, which takes precedence.
#[test]
fn priority_of_customers_hid_which_routes_are_urgent() {
    let mut reducer = entry([0, 1, 2], 1);
    fill(&mut reducer, 2);
    [(20, 2), (21, 1), (22, 0)].into_iter().for_each(|(number, route)| {
        drop(arrive(&mut reducer, START, number, route));
    });
    let order = (1..=3).flat_map(|number| sent(&end(&mut reducer, START + Millis(40), number)));
    assert_eq!(order.collect::<Vec<_>>(), [22, 21, 20]);
}

#[test]
fn late_request_waits_for_those_in_time_whatever_its_priority() {
    let mut reducer = entry([0, 1, 2], 1);
    fill(&mut reducer, 2);
    arrive(&mut reducer, START, 20, 0);
    arrive(&mut reducer, START, 21, 2);
    let now = START + Millis(390);
    let first = (1..=4).find_map(|number| sent(&end(&mut reducer, now, number)).first().copied());
    assert_eq!(first, Some(21));
}

/// Whether a request on `route` is sent while two slots are free, `pause` after an urgent one has
/// waited for 90 ms.
fn is_sent_after_a_lack(priorities: [u8; 3], route: usize, pause: Millis) -> bool {
    let mut reducer = entry(priorities, 1);
    fill(&mut reducer, 2);
    arrive(&mut reducer, START, 20, 0);
    let now = START + Millis(90);
    assert_eq!(sent(&end(&mut reducer, now, 1)), [20]);
    (2..=3).for_each(|number| drop(end(&mut reducer, now, number)));
    sent(&arrive(&mut reducer, now + pause, 30, route)) == [30]
}

#[test]
fn less_urgent_request_took_the_room_that_urgent_ones_lacked() {
    let is_sent = |route, pause| is_sent_after_a_lack([0, 1, 2], route, pause);
    assert!(is_sent(0, Millis(10)));
    assert!(!is_sent(1, Millis(10)));
    assert!(!is_sent(2, Millis(10)));
    assert!(is_sent(2, Millis(1_001)), "the lack is over");
}

#[test]
fn kinds_of_like_priority_keep_all_room() {
    assert!(is_sent_after_a_lack([1, 1, 1], 2, Millis(10)));
}

#[test]
fn urgent_arrival_displaces_the_last_of_the_queue_at_once() {
    let mut reducer = entry([0, 1, 2], 1);
    fill(&mut reducer, 2);
    let least_urgent = 20..60;
    let at_the_door = least_urgent.map(|number| refused(&arrive(&mut reducer, START, number, 2)));
    assert!(at_the_door.last().unwrap().len() == 1, "the queue is as long as the longest wait");
    let arrivals = (60..63).map(|number| refused(&arrive(&mut reducer, START, number, 0)));
    let displaced: Vec<_> = arrivals.collect();
    assert!(!displaced[0].is_empty(), "{displaced:?}");
    for (number, retry_after) in displaced.iter().flatten() {
        assert!((20..60).contains(number));
        assert!(*retry_after >= Millis(500), "no room comes free before: {retry_after}");
    }
    let count = displaced.iter().flatten().count();
    assert_eq!(reducer.status(START).admission.displaced, count as u64);
}

#[test]
fn request_behind_more_urgent_arrivals_than_room_is_refused_on_arrival() {
    let mut reducer = entry([0, 1, 2], 1);
    fill(&mut reducer, 0);
    // Thirteen urgent requests have arrived within the last second; an engine ends nine in one.
    let effects = arrive(&mut reducer, START + Millis(10), 20, 2);
    assert_eq!(refused(&effects).len(), 1);
    let effects = arrive(&mut reducer, START + Millis(10), 21, 0);
    assert!(refused(&effects).is_empty());
}

/// An entry that has all the demand forecast with an equal share of the room.
#[test]
fn entry_with_all_demand_refused_what_its_engines_had_room_for() {
    let waiting_with_peers = |peer_waiting: u32| {
        let mut reducer = entry([0, 1, 2], 1);
        for index in 0..5 {
            let waiting = vec![("pool".parse().unwrap(), peer_waiting)];
            let waiting = if peer_waiting > 0 { waiting } else { Vec::new() };
            let update =
                LoadUpdate { rows: Vec::new(), paces: Vec::new(), is_snapshot: true, waiting };
            let from = format!("entry-{}", index + 2).parse().unwrap();
            reducer.reduce(START, DirectEvent::PeerLoadReceived(PeerLoad { from, update }));
        }
        fill(&mut reducer, 0);
        (20..60).for_each(|number| drop(arrive(&mut reducer, START, number, 0)));
        reducer.status(START).waiting
    };
    let (alone, beside_others) = (waiting_with_peers(0), waiting_with_peers(6));
    assert!(alone >= 6, "{alone}");
    assert!(beside_others < alone / 2, "{beside_others}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(common::cases(64)))]

    /// Whatever arrives and ends: no request is sent while a more urgent one waits that can still
    /// meet its objective, and each request is refused once or sent, never both.
    #[test]
    fn less_urgent_request_is_sent_before_a_more_urgent_one(
        steps in prop::collection::vec((0u8..5, 0usize..3, 0u64..40), 1..300)
    ) {
        // Waits that are short enough to be in time by any forecast of these engines.
        let in_time = Millis(150);
        let mut reducer = entry([0, 1, 2], 2);
        let mut waiting: FastMap<u64, (usize, Moment)> = FastMap::default();
        let (mut running, mut now) = (Vec::new(), START);
        for (number, (kind, route, pause)) in steps.into_iter().enumerate() {
            now = now + Millis(pause);
            let effects = if kind < 4 || running.is_empty() {
                waiting.insert(number as u64, (route, now));
                arrive(&mut reducer, now, number as u64, route)
            } else {
                let ended = running.remove(pause as usize % running.len());
                end(&mut reducer, now, ended)
            };
            for (number, _) in refused(&effects) {
                prop_assert!(waiting.remove(&number).is_some());
            }
            for number in sent(&effects) {
                let Some((route, _)) = waiting.remove(&number) else {
                    return Err(TestCaseError::fail("sent without waiting"));
                };
                let passed_over = waiting.values().find(|(other, since)| {
                    *other < route && *since < now && now.since(*since) < in_time
                });
                prop_assert_eq!(passed_over, None);
                running.push(number);
            }
        }
    }
}
