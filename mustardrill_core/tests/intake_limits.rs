//! The request rate that an upstream accepts from all entries together, for any number of entries.

use common::{desk, desk_fleet, desk_id, desk_request, direct_settings};
use intake::{COUNTED_SPAN, IntakeScenario, IntakeSimulation};
use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, FleetChange, FleetUpdate,
    IntakeReport, RequestNumber, SendPlan, StatedValue, UpstreamRecord, UpstreamStatement,
};
use mustardrill_types::{InstanceId, Millis, Moment, RequestRate, ResultCode, StartStamp};
use proptest::prelude::*;

mod common;
#[path = "common/intake.rs"]
mod intake;

/// Time from an upstream's first statement until all entries have had an answer from it, and half a
/// second more, in which the platform counts nothing.
const NOTICE_SPAN: Millis = Millis(1_500);

/// The most requests in `COUNTED_SPAN`, by the platform's rules.
fn request_bound(rate: RequestRate) -> usize {
    (1.5 * rate.per_second() * COUNTED_SPAN.0 as f64 / 1_000.0 + 5.0) as usize
}

/// Entries whose callers send more than enough requests to use the rate: six times an equal part of
/// it at each entry, which divides its requests among three upstreams.
fn scenario(entries: usize, rate: RequestRate, seed: u64) -> IntakeScenario {
    let demand = 6.0 * rate.per_second().max(2.0 * entries as f64);
    IntakeScenario { entries, demand, news_delay: Millis(2_000), lost_percent: 10, seed }
}

/// Runs until the entries know each other and the upstream has stated `rate` to all of them; returns
/// from when on its limit must be kept.
fn limited(scenario: IntakeScenario, rate: RequestRate) -> (IntakeSimulation, Moment) {
    let mut simulation = IntakeSimulation::start(scenario);
    simulation.run_for(Millis(1_500));
    simulation.limit = Some(rate);
    let bound_from = simulation.now + NOTICE_SPAN;
    simulation.run_for(Millis(2_500));
    (simulation, bound_from)
}

#[test]
fn an_upstream_gets_more_than_it_accepts_from_many_entries() {
    for (entries, rates) in
        [(1, &[1_000, 20_000][..]), (4, &[500, 1_000, 2_500, 20_000]), (36, &[500, 2_500, 20_000])]
    {
        for rate in rates {
            check_bound_and_use(entries, RequestRate(*rate));
        }
    }
}

#[test]
fn an_upstream_gets_more_than_it_accepts_from_340_entries() {
    check_bound_and_use(340, RequestRate(1_000));
}

fn check_bound_and_use(entries: usize, rate: RequestRate) {
    let scenario = scenario(entries, rate, 7);
    let (mut simulation, bound_from) = limited(scenario, rate);
    let used_from = simulation.now;
    simulation.run_for(Millis(12_000));
    let (count, bound) = (simulation.largest_count(bound_from), request_bound(rate));
    let used = simulation.arrival_rate(used_from) / rate.per_second();
    println!(
        "entries={} limit={rate} largest={count} bound={bound} used={used:.2}",
        scenario.entries
    );
    assert!(count <= bound, "{scenario:?} {rate}: {count} requests in 4 s, {bound} allowed");
    // One request less may lie in the span, whatever its length.
    assert!(used >= 0.9 - 1.0 / (12.0 * rate.per_second()), "{scenario:?} {rate}: used {used}");
    assert_eq!(simulation.refused, 0, "other upstreams have room");
}

fn check_bound(simulation: &IntakeSimulation, rate: RequestRate, from: Moment, what: &str) {
    let (count, bound) = (simulation.largest_count(from), request_bound(rate));
    assert!(count <= bound, "{what}: {count} requests in 4 s, {bound} allowed");
}

#[test]
fn an_upstream_gets_more_than_it_accepts_after_its_limit_has_fallen() {
    for entries in [4, 36] {
        let (high, low) = (RequestRate(20_000), RequestRate(1_000));
        let (mut simulation, _) = limited(scenario(entries, high, 3), high);
        simulation.limit = Some(low);
        let from = simulation.now + NOTICE_SPAN;
        simulation.run_for(Millis(8_000));
        check_bound(&simulation, low, from, &format!("{entries} entries"));
    }
}

#[test]
fn retries_exceed_the_rate_that_an_upstream_accepts() {
    let rate = RequestRate(1_000);
    let (mut simulation, from) = limited(scenario(4, rate, 4), rate);
    simulation.do_others_fail = true;
    simulation.run_for(Millis(8_000));
    check_bound(&simulation, rate, from, "other upstreams fail");
}

#[test]
fn an_upstream_that_accepts_nothing_gets_more_than_a_few_requests() {
    let rate = RequestRate(0);
    let (mut simulation, from) = limited(scenario(4, rate, 5), rate);
    simulation.run_for(Millis(20_000));
    check_bound(&simulation, rate, from, "limit 0");
    let unlimited_at = simulation.now;
    simulation.limit = None;
    simulation.run_for(Millis(30_000));
    assert!(simulation.arrival_rate(unlimited_at) > 2.0, "the end of the limit is noticed");
}

#[test]
fn entries_apply_a_limit_that_has_ended() {
    for entries in [4, 36] {
        let rate = RequestRate(1_000);
        let scenario = scenario(entries, rate, 6);
        let (mut simulation, _) = limited(scenario, rate);
        simulation.limit = None;
        simulation.run_for(Millis(6_000));
        let from = simulation.now;
        simulation.run_for(Millis(3_000));
        let used = simulation.arrival_rate(from);
        assert!(used > 0.8 * scenario.demand / 3.0, "{entries} entries: {used} a second");
    }
}

#[test]
fn entries_that_may_not_send_apply_a_limit_forever_while_the_senders_have_no_requests() {
    let rate = RequestRate(1_000);
    let (mut simulation, bound_from) = limited(scenario(4, rate, 8), rate);
    simulation.run_for(Millis(5_000));
    let is_sender = |place: &usize| {
        simulation.arrivals.iter().any(|(at, from)| *at >= bound_from && from == place)
    };
    let idle: Vec<_> = simulation.places().into_iter().filter(|place| !is_sender(place)).collect();
    assert!(!idle.is_empty(), "some entries send to other upstreams only");
    simulation.called = Some(idle);
    simulation.run_for(Millis(20_000));
    check_bound(&simulation, rate, bound_from, "only entries that are not senders have requests");
    simulation.limit = None;
    simulation.run_for(Millis(20_000));
    let from = simulation.now;
    simulation.run_for(Millis(2_000));
    assert!(simulation.arrival_rate(from) > 2.0, "the end of the limit is noticed");
}

#[test]
fn an_upstream_gets_more_than_it_accepts_while_all_entries_are_replaced() {
    for rate in [RequestRate(1_000), RequestRate(2_500)] {
        let (mut simulation, from) = limited(scenario(4, rate, 9), rate);
        for _ in 0..8 {
            simulation.start_entry();
            simulation.run_for(Millis(600));
            simulation.end_oldest_entry();
            simulation.run_for(Millis(400));
        }
        check_bound(&simulation, rate, from, &format!("entries replaced one by one, {rate}"));
    }
}

/// A cut takes entries from the store's list, and each side of it divides the whole rate.
#[test]
fn an_upstream_gets_more_than_it_accepts_from_both_sides_of_a_cut() {
    for (entries, cut) in [(4, 1), (4, 2), (4, 3), (36, 12), (36, 30)] {
        for rate in [RequestRate(500), RequestRate(2_500), RequestRate(20_000)] {
            let (mut simulation, from) = limited(scenario(entries, rate, 10), rate);
            (0..cut).for_each(|place| simulation.set_group(place, 1));
            simulation.run_for(Millis(16_000));
            (0..cut).for_each(|place| simulation.set_group(place, 0));
            simulation.run_for(Millis(5_000));
            let what = format!("{cut} of {entries} entries are cut off, {rate}");
            check_bound(&simulation, rate, from, &what);
        }
    }
}

/// After an outage of the store in which they ended.
#[test]
fn an_upstream_gets_more_than_it_accepts_while_the_registrations_of_entries_are_missing() {
    for entries in [4, 36] {
        let rate = RequestRate(1_000);
        let (mut simulation, from) = limited(scenario(entries, rate, 12), rate);
        simulation.set_entries_lost(true);
        simulation.run_for(Millis(4_000));
        simulation.set_entries_lost(false);
        simulation.run_for(Millis(4_000));
        check_bound(&simulation, rate, from, &format!("{entries} entries"));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(12), ..ProptestConfig::default() })]

    #[test]
    fn a_limit_is_kept_while_entries_start_end_and_are_cut_off(
        seed in 0u64..1_000_000,
        rate in prop::sample::select(vec![500u64, 1_000, 2_500, 20_000]),
        steps in prop::collection::vec((0..4u8, 0..8usize, 200..3_000u64), 3..8),
    ) {
        let rate = RequestRate(rate);
        let (mut simulation, from) = limited(scenario(5, rate, seed), rate);
        for (action, choice, span) in steps {
            let places = simulation.places();
            let place = places[choice % places.len()];
            match action {
                0 => simulation.start_entry(),
                1 if places.len() > 2 => simulation.end_oldest_entry(),
                2 => simulation.set_group(place, 1),
                _ => simulation.set_group(place, 0),
            }
            simulation.run_for(Millis(span));
        }
        simulation.run_for(Millis(4_000));
        let (count, bound) = (simulation.largest_count(from), request_bound(rate));
        prop_assert!(count <= bound, "{} requests in 4 s, {} allowed", count, bound);
    }
}

const START: Moment = Moment(100_000_000);

/// An entry without peers that knows the upstreams of `desk_fleet`.
fn entry_of(upstreams: u16) -> DirectReducer {
    let mut reducer = DirectReducer::new(direct_settings(), 1);
    list(&mut reducer, START, desk_fleet(upstreams));
    reducer
}

fn list(reducer: &mut DirectReducer, now: Moment, changes: Vec<FleetChange>) {
    let update = FleetUpdate { changes, ..FleetUpdate::default() };
    reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
}

/// Sends a request; returns the plan, or the refusal.
fn send(reducer: &mut DirectReducer, number: u64, now: Moment) -> Vec<DirectEffect> {
    let request = desk_request(number, now);
    let mut effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.retain(|effect| !matches!(effect, DirectEffect::SetTimer(_)));
    effects
}

fn is_sent(effects: &[DirectEffect]) -> bool {
    matches!(effects, [DirectEffect::Send(_, SendPlan { .. })])
}

/// Ends a request with an answer that states `rate`.
fn answer(reducer: &mut DirectReducer, number: u64, now: Moment, rate: Option<u64>) {
    let number = RequestNumber(number);
    if let Some(rate) = rate {
        let statement = UpstreamStatement {
            limit: StatedValue::valid(RequestRate(rate)),
            ..UpstreamStatement::default()
        };
        reducer.reduce(now, DirectEvent::UpstreamStated(number, statement));
    }
    reducer.reduce(now, DirectEvent::AnswerStarted(number, None, None));
    reducer.reduce(now, DirectEvent::AttemptEnded(number, AttemptOutcome::Whole));
    reducer.reduce(now, DirectEvent::CallerGone(number));
}

fn limited_count(reducer: &DirectReducer, now: Moment) -> usize {
    reducer.status(now).limited
}

#[test]
fn an_answer_that_was_overtaken_ends_a_limit() {
    let mut reducer = entry_of(1);
    assert!(is_sent(&send(&mut reducer, 1, START)));
    assert!(is_sent(&send(&mut reducer, 2, START)));
    answer(&mut reducer, 2, START + Millis(50), Some(1_000));
    answer(&mut reducer, 1, START + Millis(60), None);
    assert_eq!(limited_count(&reducer, START + Millis(60)), 1);
    // A request sent after the limit was learned tells of its end.
    let later = START + Millis(1_100);
    assert!(is_sent(&send(&mut reducer, 3, later)));
    answer(&mut reducer, 3, later + Millis(50), None);
    assert_eq!(limited_count(&reducer, later + Millis(50)), 0);
}

#[test]
fn a_malformed_statement_ends_a_limit() {
    let mut reducer = entry_of(1);
    send(&mut reducer, 1, START);
    answer(&mut reducer, 1, START, Some(1_000));
    let later = START + Millis(1_100);
    assert!(is_sent(&send(&mut reducer, 2, later)));
    let statement = UpstreamStatement {
        limit: StatedValue { value: None, malformed: Some("none".into()) },
        ..UpstreamStatement::default()
    };
    reducer.reduce(later, DirectEvent::UpstreamStated(RequestNumber(2), statement));
    answer(&mut reducer, 2, later, None);
    assert_eq!(limited_count(&reducer, later), 1);
}

#[test]
fn the_next_start_of_an_upstream_is_held_to_the_limit_of_the_last_one() {
    let mut reducer = entry_of(1);
    send(&mut reducer, 1, START);
    answer(&mut reducer, 1, START, Some(1_000));
    let restarted = UpstreamRecord { start: StartStamp(2), ..desk(0) };
    list(&mut reducer, START, vec![FleetChange::Upstream(restarted)]);
    assert_eq!(limited_count(&reducer, START), 0);
    // What is still told of the last start changes nothing.
    let outdated = report(RequestRate(1_000), 1, 0);
    reducer.reduce(START, DirectEvent::IntakeReportsReceived(peer_id(), vec![outdated]));
    assert_eq!(limited_count(&reducer, START), 0);
}

/// Its registration ends and comes back, as after an outage of the store.
#[test]
fn an_upstream_that_is_listed_again_is_sent_more_than_it_accepts() {
    let mut reducer = entry_of(1);
    send(&mut reducer, 1, START);
    answer(&mut reducer, 1, START, Some(1_000));
    list(&mut reducer, START, vec![FleetChange::UpstreamGone(desk_id(0))]);
    list(&mut reducer, START, vec![FleetChange::Upstream(desk(0))]);
    assert_eq!(limited_count(&reducer, START), 1);
}

fn peer_id() -> InstanceId {
    "entry-2".parse().unwrap()
}

/// A peer's report on the first upstream.
fn report(rate: RequestRate, revision: u64, age_ms: u64) -> IntakeReport {
    let start = StartStamp(1);
    let age = Millis(age_ms);
    IntakeReport { upstream: desk_id(0), start, rate: Some(rate), revision, age }
}

#[test]
fn an_entry_exceeds_a_limit_that_only_its_peers_have_been_told() {
    let mut reducer = entry_of(3);
    let told = report(RequestRate(1_000), 1, 20);
    reducer.reduce(START, DirectEvent::IntakeReportsReceived(peer_id(), vec![told]));
    let mut count = 0;
    for number in 0..400 {
        let now = START + Millis(10 * number);
        list(&mut reducer, now, Vec::new());
        let effects = send(&mut reducer, number, now);
        let [DirectEffect::Send(_, plan)] = &effects[..] else { panic!("{effects:?}") };
        let is_limited = plan.upstream == desk_id(0);
        count += u32::from(is_limited);
        answer(&mut reducer, number, now, is_limited.then_some(1_000));
    }
    assert!((1..=5).contains(&count), "{count} requests in 4 s");
}

/// A peer that was cut off may tell of a change that others have superseded since.
#[test]
fn an_outdated_report_of_a_peer_loosens_a_limit() {
    let mut reducer = entry_of(1);
    send(&mut reducer, 1, START);
    answer(&mut reducer, 1, START, Some(1_000));
    for (revision, age_ms, limited) in [(9, 8_000, 1), (9, 100, 0)] {
        let mut told = report(RequestRate(0), revision, age_ms);
        told.rate = None;
        reducer.reduce(START, DirectEvent::IntakeReportsReceived(peer_id(), vec![told]));
        assert_eq!(limited_count(&reducer, START), limited, "age {age_ms} ms");
    }
}

#[test]
fn requests_wait_in_vain_while_all_upstreams_limit_their_rate() {
    let mut reducer = entry_of(1);
    send(&mut reducer, 1, START);
    answer(&mut reducer, 1, START, Some(200));
    let effects = send(&mut reducer, 3, START + Millis(10));
    let [DirectEffect::Refuse(_, plan)] = &effects[..] else { panic!("{effects:?}") };
    assert_eq!(plan.code, ResultCode::Overloaded);
    assert!(plan.retry_after >= Millis(900), "{}", plan.retry_after);
    // One that can be sent in time waits.
    let almost = START + Millis(4_300);
    assert_eq!(send(&mut reducer, 4, almost), Vec::new());
    let effects = reducer.reduce(START + Millis(5_000), DirectEvent::TimerFired);
    assert!(effects.iter().any(|it| matches!(it, DirectEffect::Send(RequestNumber(4), _))));
}
