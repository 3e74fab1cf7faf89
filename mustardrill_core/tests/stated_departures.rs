//! Upstreams that state in their answers that they are leaving. Each test names what must not bring
//! one back, or what must not be taken for such a statement.

use common::{
    answer_from_store, desk, desk_fleet, desk_id, direct_settings, end_request, plan_of,
    reached_desks, refusal_of, send_to_desk,
};
use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, FleetChange, RepeatRule,
    RequestNumber, RouteDocument, ServedWeights, ServiceProfile, StatedValue, UpstreamRecord,
    UpstreamStatement, WorkSize,
};
use mustardrill_types::{
    FastMap, Generation, Millis, Moment, ResultCode, StartStamp, WeightVersion,
};

mod common;

const START: Moment = Moment(100_000);
const UPSTREAMS: u16 = 3;

fn register(reducer: &mut DirectReducer, now: Moment, record: UpstreamRecord) {
    answer_from_store(reducer, now, vec![FleetChange::Upstream(record)], false, 0);
}

fn entry(upstreams: u16) -> DirectReducer {
    let mut reducer = DirectReducer::new(direct_settings(), 1);
    answer_from_store(&mut reducer, START, desk_fleet(upstreams), false, 0);
    reducer
}

/// The answer to a request's current attempt states that its upstream is leaving.
fn state_leaving(reducer: &mut DirectReducer, number: u64, now: Moment) -> Vec<DirectEffect> {
    let statement =
        UpstreamStatement { leaving: StatedValue::valid(true), ..UpstreamStatement::default() };
    reducer.reduce(now, DirectEvent::UpstreamStated(RequestNumber(number), statement))
}

/// Sends requests until one reaches the upstream, which states in its answer that it is leaving.
fn let_leave(reducer: &mut DirectReducer, upstream: u16, now: Moment) {
    for number in 1_000.. {
        let reached = plan_of(&send_to_desk(reducer, number, now)).upstream.clone();
        if reached == desk_id(upstream) {
            state_leaving(reducer, number, now);
        }
        end_request(reducer, number, now);
        if reached == desk_id(upstream) {
            return;
        }
    }
}

/// Whether an upstream gets requests.
fn is_used(reducer: &mut DirectReducer, upstream: u16, now: Moment) -> bool {
    reached_desks(reducer, 4 * UPSTREAMS, now).contains(&desk_id(upstream))
}

#[test]
fn an_upstream_that_said_that_it_leaves_is_used_in_an_outage_of_the_store() {
    let mut reducer = entry(UPSTREAMS);
    reducer.reduce(START + Millis(100), DirectEvent::StoreFailed);
    let_leave(&mut reducer, 0, START + Millis(1_000));
    for after in [0, 100, 2_100, 30_000] {
        assert!(!is_used(&mut reducer, 0, START + Millis(1_000 + after)), "{after} ms later");
    }
    assert_eq!(reducer.status(START + Millis(31_000)).leaving, 1);
}

#[test]
fn a_renewed_registration_brings_back_an_upstream_that_said_that_it_leaves() {
    let mut reducer = entry(UPSTREAMS);
    let_leave(&mut reducer, 0, START);
    register(&mut reducer, START + Millis(500), desk(0));
    assert!(!is_used(&mut reducer, 0, START + Millis(500)));
    register(&mut reducer, START + Millis(900), UpstreamRecord { slots: 9, ..desk(0) });
    assert!(!is_used(&mut reducer, 0, START + Millis(900)));
    let moved = UpstreamRecord { service: "other".parse().unwrap(), ..desk(0) };
    register(&mut reducer, START + Millis(1_200), moved);
    register(&mut reducer, START + Millis(1_500), desk(0));
    assert!(!is_used(&mut reducer, 0, START + Millis(1_500)));
}

#[test]
fn a_registration_that_was_lost_and_returns_brings_back_an_upstream_that_said_that_it_leaves() {
    let gone = || FleetChange::UpstreamGone(desk_id(0));
    let invalid = || FleetChange::UpstreamInvalid(desk_id(0));
    for change in [gone(), invalid()] {
        let mut reducer = entry(UPSTREAMS);
        let_leave(&mut reducer, 0, START);
        answer_from_store(&mut reducer, START + Millis(100), vec![change], false, 0);
        register(&mut reducer, START + Millis(1_000), desk(0));
        assert!(!is_used(&mut reducer, 0, START + Millis(1_000)));
    }
}

#[test]
fn an_older_copy_of_the_store_brings_back_an_upstream_that_said_that_it_leaves() {
    let mut reducer = entry(UPSTREAMS);
    let_leave(&mut reducer, 0, START);
    let copy = (0..UPSTREAMS).map(|number| FleetChange::Upstream(desk(number))).collect();
    answer_from_store(&mut reducer, START + Millis(500), copy, true, 1);
    assert!(!is_used(&mut reducer, 0, START + Millis(500)));
}

/// The statement comes in the answer to a request that was sent before the removal.
#[test]
fn the_statement_of_an_upstream_that_was_just_removed_is_lost() {
    let mut reducer = entry(1);
    send_to_desk(&mut reducer, 1, START);
    let gone = vec![FleetChange::UpstreamGone(desk_id(0))];
    answer_from_store(&mut reducer, START + Millis(100), gone, false, 0);
    state_leaving(&mut reducer, 1, START + Millis(200));
    end_request(&mut reducer, 1, START + Millis(200));
    register(&mut reducer, START + Millis(500), desk(0));
    assert!(!is_used(&mut reducer, 0, START + Millis(500)));
}

#[test]
fn a_later_incarnation_is_taken_for_the_one_that_left() {
    let mut reducer = entry(UPSTREAMS);
    let_leave(&mut reducer, 0, START);
    let reborn = UpstreamRecord { start: StartStamp(2), ..desk(0) };
    register(&mut reducer, START + Millis(500), reborn);
    assert!(is_used(&mut reducer, 0, START + Millis(500)));
}

#[test]
fn the_answer_of_an_earlier_incarnation_makes_the_next_one_leave() {
    let mut reducer = entry(1);
    send_to_desk(&mut reducer, 1, START);
    let reborn = UpstreamRecord { start: StartStamp(2), ..desk(0) };
    register(&mut reducer, START + Millis(100), reborn);
    state_leaving(&mut reducer, 1, START + Millis(200));
    end_request(&mut reducer, 1, START + Millis(200));
    assert!(is_used(&mut reducer, 0, START + Millis(300)));
}

#[test]
fn an_upstream_that_said_that_it_leaves_is_the_last_resort() {
    let mut reducer = entry(2);
    let_leave(&mut reducer, 0, START);
    // The other one is ejected after it could not be reached; it is tried all the same.
    plan_of(&send_to_desk(&mut reducer, 1, START + Millis(100)));
    let effects =
        common::end_attempt(&mut reducer, START + Millis(100), 1, AttemptOutcome::NotSent);
    assert_eq!(plan_of(&effects).upstream, desk_id(1));
    // Its registration ends as well: nothing is left.
    let gone = vec![FleetChange::UpstreamGone(desk_id(1))];
    answer_from_store(&mut reducer, START + Millis(200), gone, false, 0);
    let effects = send_to_desk(&mut reducer, 2, START + Millis(200));
    assert_eq!(refusal_of(&effects).code, ResultCode::NoUpstream);
}

/// An upstream whose registration ends in an outage is kept listed only where it may be alive.
#[test]
fn an_upstream_that_said_that_it_leaves_is_kept_after_an_outage() {
    let mut reducer = entry(1);
    let_leave(&mut reducer, 0, START);
    reducer.reduce(START + Millis(500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    let gone = vec![FleetChange::UpstreamGone(desk_id(0))];
    answer_from_store(&mut reducer, back, gone, false, 0);
    assert_eq!(reducer.status(back).upstreams, 0);
}

fn is_refusal(effect: &DirectEffect, code: ResultCode) -> bool {
    matches!(effect, DirectEffect::Refuse(_, refusal) if refusal.code == code)
}

#[test]
fn waiting_requests_are_kept_after_all_upstreams_said_that_they_leave() {
    let mut reducer = entry(1);
    let numbers = 1..=12;
    let sent: Vec<_> =
        numbers.clone().filter(|it| !send_to_desk(&mut reducer, *it, START).is_empty()).collect();
    let waiting = reducer.status(START).waiting;
    assert!(waiting > 0, "the upstream has too much room");
    let effects = state_leaving(&mut reducer, sent[0], START + Millis(50));
    let refused = effects.iter().filter(|it| is_refusal(it, ResultCode::NoUpstream)).count();
    assert_eq!((refused, reducer.status(START).waiting), (waiting, 0), "{effects:?}");
    let effects = send_to_desk(&mut reducer, 99, START + Millis(60));
    assert_eq!(refusal_of(&effects).code, ResultCode::NoUpstream);
    assert!(refusal_of(&effects).retry_after > Millis(0));
}

/// An engine with the weights of `version`.
fn engine_with(version: u64) -> UpstreamRecord {
    let weights = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(version) };
    let service = "pool".parse().unwrap();
    UpstreamRecord { service, serving: vec![weights], ..desk(version as u16) }
}

/// The engine that stays has room, and only weights that were superseded longer ago than their bound.
#[test]
fn requests_wait_for_an_engine_whose_weights_they_may_not_use() {
    let route = common::public_route("drafts", "/", "pool", RepeatRule::Idempotent);
    let profile =
        ServiceProfile { engine: Some(common::engine_profile()), ..ServiceProfile::default() };
    let services = FastMap::from_iter([("pool".parse().unwrap(), profile)]);
    let document =
        RouteDocument::new(Generation(1), vec![route], services, Vec::new(), Default::default());
    let newest = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let mut changes = vec![FleetChange::Configured(document.into()), newest];
    changes.extend([1, 2].map(|version| FleetChange::Upstream(engine_with(version))));
    let mut reducer = DirectReducer::new(direct_settings(), 1);
    answer_from_store(&mut reducer, START, changes, false, 0);
    let now = START + direct_settings().version_bound + Millis(1_000);
    answer_from_store(&mut reducer, now, Vec::new(), false, 0);
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
    for number in 1..=8 {
        let request = common::direct_request(number, "/x", size, now);
        let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
        let elsewhere = |it: &DirectEffect| matches!(it, DirectEffect::Send(_, plan) if plan.upstream != desk_id(2));
        assert!(!effects.iter().any(elsewhere), "{effects:?}");
    }
    let waiting = reducer.status(now).waiting;
    assert!(waiting > 0, "the engine has too much room");
    let effects = state_leaving(&mut reducer, 1, now);
    let refused = effects.iter().filter(|it| is_refusal(it, ResultCode::NoUpstream)).count();
    assert_eq!((refused, reducer.status(now).waiting), (waiting, 0), "{effects:?}");
}

#[test]
fn attempts_that_were_not_written_reach_an_upstream_that_said_that_it_leaves() {
    let mut reducer = entry(2);
    let plans: Vec<_> = (1..=6)
        .map(|number| {
            (number, plan_of(&send_to_desk(&mut reducer, number, START)).upstream.clone())
        })
        .collect();
    let at_first: Vec<_> =
        plans.iter().filter(|(_, it)| *it == desk_id(0)).map(|(number, _)| *number).collect();
    let [told, started, unsent @ ..] = &at_first[..] else { panic!("{plans:?}") };
    reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(*started), None, None));
    let effects = state_leaving(&mut reducer, *told, START + Millis(10));
    let withdrawn =
        |number: &u64| effects.contains(&DirectEffect::WithdrawUnsent(RequestNumber(*number)));
    assert!(unsent.iter().all(withdrawn) && !withdrawn(started), "{effects:?}");
    assert!(plans.iter().all(|(number, it)| *it == desk_id(0) || !withdrawn(number)));
    // The next attempt costs no retry: the budget of this entry is empty.
    let Some(number) = unsent.first() else { return };
    let outcome = AttemptOutcome::Withdrawn { sent: false };
    let effects = common::end_attempt(&mut reducer, START + Millis(20), *number, outcome);
    assert_eq!(plan_of(&effects).upstream, desk_id(1));
}

#[test]
fn an_answer_that_denies_a_departure_counts_as_one() {
    let mut reducer = entry(1);
    for (number, leaving) in [
        (1, StatedValue::valid(false)),
        (2, StatedValue { value: None, malformed: Some("yes".into()) }),
    ] {
        send_to_desk(&mut reducer, number, START);
        let statement = UpstreamStatement { leaving, ..UpstreamStatement::default() };
        reducer.reduce(START, DirectEvent::UpstreamStated(RequestNumber(number), statement));
        end_request(&mut reducer, number, START);
        assert!(is_used(&mut reducer, 0, START + Millis(number)));
    }
}
