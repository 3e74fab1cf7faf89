//! The request rate that cold upstreams get from all entries together, for any number of entries.

use common::{desk, desk_document, desk_id, desk_request, direct_settings};
use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectSettings, FleetChange,
    FleetUpdate, RequestNumber, ServiceProfile, StatedValue, UpstreamRecord, UpstreamStatement,
    WarmupReport,
};
use mustardrill_types::{InstanceId, Millis, Moment, StartStamp};
use proptest::prelude::*;
use warmups::{BOUND, WarmupScenario, WarmupSimulation, limit};

mod common;
#[path = "common/warmups.rs"]
mod warmups;

const START: Moment = Moment(100_000_000);

/// The longest time until all entries know that an upstream is cold again: a heartbeat, the news of
/// it, and what was sent before and lies within a second.
const NOTICE_SPAN: Millis = Millis(2_700);

fn scenario(entries: usize, per_second: u64, seed: u64) -> WarmupScenario {
    let demand = 2.0 * (per_second as f64).max(4.0 * entries as f64);
    let limit = limit(per_second, Millis(6_000));
    WarmupScenario { entries, demand, limit, upstreams: 1, do_answers_state: true, seed }
}

fn bound(scenario: &WarmupScenario) -> usize {
    (scenario.limit.rate.per_second() * BOUND.overshoot + BOUND.tolerance) as usize
}

fn check_bound(simulation: &WarmupSimulation, after: Millis) {
    let (count, most) = (simulation.largest_count(after), bound(&simulation.scenario));
    assert!(count <= most, "{:?}: {count} in a second, {most} allowed", simulation.scenario);
}

#[test]
fn a_cold_upstream_gets_more_than_it_stands_from_all_entries_together() {
    for (entries, rates) in
        [(1, &[2, 32][..]), (4, &[2, 32]), (13, &[2, 32, 200]), (36, &[8, 32]), (120, &[32])]
    {
        for rate in rates {
            let mut simulation = WarmupSimulation::start(scenario(entries, *rate, 5));
            simulation.restart_upstream();
            let cold_from = simulation.now;
            simulation.run_for(Millis(6_000));
            check_bound(&simulation, Millis(0));
            // The entries hear of the new start within half a second.
            let from = cold_from + Millis(1_000);
            let used = simulation.arrival_rate(from, cold_from + Millis(6_000)) / *rate as f64;
            println!(
                "entries={entries} rate={rate} largest={} used={used:.2}",
                simulation.largest_count(Millis(0))
            );
            assert!(used >= 0.8, "{entries} entries, {rate} a second: used {used:.2}");
        }
    }
}

#[test]
fn a_cold_upstream_gets_more_than_it_stands_from_340_entries() {
    let mut simulation = WarmupSimulation::start(scenario(340, 32, 6));
    simulation.restart_upstream();
    simulation.run_for(Millis(3_000));
    check_bound(&simulation, Millis(0));
}

/// Each entry took the empty list for a proof that it was the only one.
#[test]
fn entries_that_are_not_listed_each_send_a_cold_upstream_its_whole_rate() {
    for entries in [4, 13] {
        let scenario = WarmupScenario { demand: 400.0, ..scenario(entries, 32, 8) };
        let mut simulation = WarmupSimulation::start(scenario);
        simulation.set_listing_lost(true);
        simulation.run_for(Millis(14_000));
        simulation.restart_upstream();
        simulation.run_for(Millis(3_000));
        check_bound(&simulation, Millis(0));
        simulation.set_listing_lost(false);
        simulation.run_for(Millis(6_000));
        let (from, sent) = (simulation.now, simulation.arrivals.len());
        simulation.restart_upstream();
        simulation.run_for(Millis(6_000));
        check_bound(&simulation, Millis(0));
        let used = (simulation.arrivals.len() - sent) as f64 / 6.0 / 32.0;
        assert!(used >= 0.7, "{entries} entries since {from}: used {used:.2}");
    }
}

#[test]
fn an_upstream_that_is_cold_again_without_a_restart_gets_more_than_it_stands() {
    for do_answers_state in [false, true] {
        let scenario = WarmupScenario { do_answers_state, ..scenario(13, 32, 7) };
        let mut simulation = WarmupSimulation::start(scenario);
        simulation.run_for(Millis(2_000));
        simulation.become_cold();
        simulation.run_for(Millis(6_000));
        // Answers state it at once, registrations with the next heartbeat.
        let notice = if do_answers_state { Millis(1_300) } else { NOTICE_SPAN };
        check_bound(&simulation, notice);
    }
}

#[test]
fn a_warm_upstream_is_limited() {
    let scenario = scenario(13, 32, 8);
    let mut simulation = WarmupSimulation::start(scenario);
    simulation.restart_upstream();
    simulation.run_for(Millis(8_000));
    let (from, refused) = (simulation.now, simulation.refused);
    simulation.run_for(Millis(2_000));
    let rate = simulation.arrival_rate(from, simulation.now);
    assert!(rate > 0.95 * scenario.demand, "{rate} of {} a second", scenario.demand);
    assert_eq!(simulation.refused, refused);
}

#[derive(Debug, Clone, Copy)]
enum Disturbance {
    Start,
    End(usize),
    Cut(usize),
    Reconnect(usize),
    Freeze(usize, u64),
    Restart,
}

fn disturbances() -> impl Strategy<Value = Vec<(u64, Disturbance)>> {
    let disturbance = prop_oneof![
        3 => Just(Disturbance::Start),
        2 => (0_usize..40).prop_map(Disturbance::End),
        2 => (0_usize..40).prop_map(Disturbance::Cut),
        2 => (0_usize..40).prop_map(Disturbance::Reconnect),
        2 => (0_usize..40, 100_u64..6_000).prop_map(|(place, span)| Disturbance::Freeze(place, span)),
        2 => Just(Disturbance::Restart),
    ];
    proptest::collection::vec((0_u64..1_500, disturbance), 1..14)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn a_cold_upstream_gets_more_than_it_stands_while_entries_come_and_go(
        entries in prop_oneof![Just(1_usize), Just(4), Just(13), Just(36)],
        rate in 2_u64..60,
        seed in 0_u64..1_000,
        do_answers_state in any::<bool>(),
        steps in disturbances(),
    ) {
        let scenario = WarmupScenario { do_answers_state, ..scenario(entries, rate, seed) };
        let mut simulation = WarmupSimulation::start(scenario);
        simulation.restart_upstream();
        for (after, disturbance) in steps {
            simulation.run_for(Millis(after));
            disturb(&mut simulation, disturbance);
        }
        simulation.run_for(Millis(3_000));
        let (count, most) = (simulation.largest_count(Millis(0)), bound(&scenario));
        prop_assert!(count <= most, "{:?}: {} in a second, {} allowed", scenario, count, most);
    }
}

fn disturb(simulation: &mut WarmupSimulation, disturbance: Disturbance) {
    let places = simulation.places();
    let choose = |number: usize| places[number % places.len()];
    match disturbance {
        Disturbance::Start => simulation.start_entry(),
        Disturbance::End(number) if places.len() > 1 => simulation.end_entry(choose(number)),
        Disturbance::End(_) => {}
        Disturbance::Cut(number) => simulation.set_cut(choose(number), true),
        Disturbance::Reconnect(number) => simulation.set_cut(choose(number), false),
        Disturbance::Freeze(number, span) => simulation.freeze(choose(number), Millis(span)),
        Disturbance::Restart => simulation.restart_upstream(),
    }
}

/// One entry that has known its upstreams for a while, all of which were cold at first by `cold`.
fn entry(cold: &[u64]) -> DirectReducer {
    let settings = DirectSettings { warmup_bound: BOUND, ..direct_settings() };
    let mut reducer = DirectReducer::new(settings, 1);
    let warmup = Some(limit(4, Millis(3_000)));
    let document = desk_document(ServiceProfile { warmup, ..ServiceProfile::default() });
    let mut changes = vec![FleetChange::Configured(document)];
    changes.extend((0..).zip(cold).map(|(number, cold)| registration(number, *cold, 1)));
    for step in 0..4 {
        hear(&mut reducer, START + Millis(1_000 * step), std::mem::take(&mut changes));
    }
    reducer
}

fn registration(number: u16, remaining: u64, sequence: u64) -> FleetChange {
    let warmup = WarmupReport { remaining: Millis(remaining), sequence };
    FleetChange::Upstream(UpstreamRecord { warmup, slots: 100, ..desk(number) })
}

fn hear(reducer: &mut DirectReducer, now: Moment, changes: Vec<FleetChange>) {
    let update = FleetUpdate { changes, ..FleetUpdate::default() };
    reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
}

/// The upstreams to which `count` requests are sent at once; those that wait are taken back.
fn sent(reducer: &mut DirectReducer, now: Moment, first: u64, count: u64) -> Vec<InstanceId> {
    let mut upstreams = Vec::new();
    for number in first..first + count {
        for effect in reducer.reduce(now, DirectEvent::RequestArrived(desk_request(number, now))) {
            if let DirectEffect::Send(_, plan) = effect {
                upstreams.push(plan.upstream);
            }
        }
    }
    for number in first..first + count {
        let ended = DirectEvent::AttemptEnded(RequestNumber(number), AttemptOutcome::Whole);
        reducer.reduce(now, ended);
        reducer.reduce(now, DirectEvent::CallerGone(RequestNumber(number)));
    }
    upstreams
}

const LATER: Moment = Moment(START.0 + 4_000);

#[test]
fn a_cold_upstream_is_chosen_where_a_warm_one_has_room() {
    let mut reducer = entry(&[60_000, 0]);
    let chosen = sent(&mut reducer, LATER, 1, 50);
    assert_eq!(chosen, vec![desk_id(1); 50]);
}

#[test]
fn an_upstream_that_was_cold_at_the_first_read_is_limited_for_longer_than_it_says() {
    let mut reducer = entry(&[3_900]);
    assert_eq!(sent(&mut reducer, LATER, 1, 50).len(), 50);
    assert_eq!(reducer.status(LATER).cold, 0);
}

#[test]
fn an_upstream_that_is_seen_for_the_first_time_and_says_that_it_is_warm_is_limited() {
    let mut reducer = entry(&[0]);
    hear(&mut reducer, LATER, vec![registration(1, 0, 7)]);
    assert_eq!(reducer.status(LATER).cold, 0);
}

#[test]
fn a_registration_from_an_older_copy_makes_an_upstream_cold_or_warm() {
    let mut reducer = entry(&[0]);
    hear(&mut reducer, LATER, vec![registration(0, 2_000, 5)]);
    hear(&mut reducer, LATER, vec![registration(0, 0, 4)]);
    assert_eq!(reducer.status(LATER).cold, 1);
    hear(&mut reducer, LATER, vec![registration(0, 0, 6)]);
    hear(&mut reducer, LATER, vec![registration(0, 2_000, 5)]);
    assert_eq!(reducer.status(LATER).cold, 0);
}

#[test]
fn a_later_report_of_the_same_period_makes_it_longer() {
    let mut reducer = entry(&[0]);
    hear(&mut reducer, LATER, vec![registration(0, 3_000, 5)]);
    // The first one was late by 300 ms, this one is later by 500 ms.
    hear(&mut reducer, LATER + Millis(900), vec![registration(0, 1_800, 6)]);
    hear(&mut reducer, LATER + Millis(2_600), vec![registration(0, 600, 7)]);
    assert_eq!(reducer.status(LATER + Millis(2_600)).cold, 1);
    hear(&mut reducer, LATER + Millis(2_700), Vec::new());
    assert_eq!(reducer.status(LATER + Millis(2_700)).cold, 0);
}

#[test]
fn an_upstream_that_comes_back_after_a_crash_is_taken_for_warm() {
    let mut reducer = entry(&[0]);
    for number in 1..=4 {
        let arrived = DirectEvent::RequestArrived(desk_request(number, LATER));
        reducer.reduce(LATER, arrived);
        let lost = AttemptOutcome::Lost { delivered: false, crashed: true };
        reducer.reduce(LATER, DirectEvent::AttemptEnded(RequestNumber(number), lost));
        reducer.reduce(LATER, DirectEvent::CallerGone(RequestNumber(number)));
    }
    let back = LATER + Millis(12_000);
    hear(&mut reducer, LATER + Millis(200), Vec::new());
    hear(&mut reducer, back, Vec::new());
    assert_eq!(reducer.status(back).cold, 1);
    let chosen = sent(&mut reducer, back, 10, 50);
    assert!(chosen.len() <= 1, "{} requests at once", chosen.len());
    hear(&mut reducer, back + Millis(10), vec![registration(0, 0, 9)]);
    assert_eq!(reducer.status(back + Millis(10)).cold, 0);
}

#[test]
fn an_answer_that_was_overtaken_ends_a_cold_period() {
    let mut reducer = entry(&[0]);
    reducer.reduce(LATER, DirectEvent::RequestArrived(desk_request(1, LATER)));
    hear(&mut reducer, LATER + Millis(10), vec![registration(0, 3_000, 5)]);
    let cold_for = StatedValue { value: Some(Millis(0)), malformed: None };
    let statement = UpstreamStatement { cold_for, ..UpstreamStatement::default() };
    let at = LATER + Millis(20);
    reducer.reduce(at, DirectEvent::UpstreamStated(RequestNumber(1), statement));
    assert_eq!(reducer.status(at).cold, 1);
}

#[test]
fn a_later_incarnation_keeps_the_cold_period_of_the_earlier_one() {
    let mut reducer = entry(&[0]);
    hear(&mut reducer, LATER, vec![registration(0, 3_000, 5)]);
    let reborn = UpstreamRecord { start: StartStamp(2), slots: 100, ..desk(0) };
    hear(&mut reducer, LATER + Millis(10), vec![FleetChange::Upstream(reborn)]);
    assert_eq!(reducer.status(LATER + Millis(10)).cold, 0);
}
