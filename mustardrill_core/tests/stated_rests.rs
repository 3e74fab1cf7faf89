//! Upstreams that turn a request away and want none for a while. Each test names what must not
//! shorten a rest, or what must not happen meanwhile or after it.

use std::collections::BTreeMap;

use common::{
    answer_from_store, desk, desk_fleet, desk_id, desk_request, direct_settings, end_request, peer,
    plan_of, refusal_of, send_to_desk,
};
use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectSettings, FleetChange,
    FleetUpdate, RequestNumber, RetryShare, StatedValue, UpstreamRecord, UpstreamStatement,
};
use mustardrill_types::{InstanceId, Millis, Moment, ResultCode, StartStamp, StoreEra};
use proptest::prelude::*;

mod common;

const START: Moment = Moment(100_000);
const REST: Millis = Millis(3_000);

/// An entry whose requests earn more retries than it needs.
fn entry(upstreams: u16) -> DirectReducer {
    let retry_share = RetryShare { ratio: 100.0, ..direct_settings().retry_share };
    let settings = DirectSettings { retry_share, ..direct_settings() };
    let mut reducer = DirectReducer::new(settings, 1);
    answer_from_store(&mut reducer, START, desk_fleet(upstreams), false, 0);
    reducer
}

fn state_rest(
    reducer: &mut DirectReducer,
    number: u64,
    now: Moment,
    rest: Millis,
) -> Vec<DirectEffect> {
    let statement =
        UpstreamStatement { rest: StatedValue::valid(rest), ..UpstreamStatement::default() };
    reducer.reduce(now, DirectEvent::UpstreamStated(RequestNumber(number), statement))
}

/// The upstream turns the request away and asks for a rest; returns what follows.
fn turn_away(
    reducer: &mut DirectReducer,
    number: u64,
    now: Moment,
    rest: Millis,
) -> Vec<DirectEffect> {
    state_rest(reducer, number, now, rest);
    let mut effects = common::end_attempt(reducer, now, number, AttemptOutcome::Full);
    effects.retain(|effect| !matches!(effect, DirectEffect::SetTimer(_)));
    effects
}

fn accept(reducer: &mut DirectReducer, number: u64, now: Moment) {
    reducer.reduce(now, DirectEvent::AnswerStarted(RequestNumber(number), None, None));
}

/// An entry with one upstream, which asked for `REST` at `START`.
fn entry_of_resting() -> DirectReducer {
    let mut reducer = entry(1);
    plan_of(&send_to_desk(&mut reducer, 1, START));
    refusal_of(&turn_away(&mut reducer, 1, START, REST));
    reducer
}

fn is_used(reducer: &mut DirectReducer, now: Moment) -> bool {
    !common::reached_desks(reducer, 1, now).is_empty()
}

#[test]
fn an_upstream_that_asked_for_a_rest_is_the_last_resort() {
    let mut reducer = entry(2);
    let first = plan_of(&send_to_desk(&mut reducer, 1, START)).upstream.clone();
    let effects = turn_away(&mut reducer, 1, START, REST);
    let second = plan_of(&effects).upstream.clone();
    assert_ne!(first, second, "another upstream is tried at once");
    for number in 2..6 {
        let at = START + Millis(number * 100);
        let reached = common::reached_desks(&mut reducer, 8, at);
        assert!(!reached.contains(&first), "{at}");
        // The other one loses its requests and is ejected.
        let outcome = AttemptOutcome::Lost { delivered: false, crashed: true };
        common::end_attempt(&mut reducer, at, 1, outcome);
    }
}

#[test]
fn a_rest_is_shortened_by_a_shorter_one_an_acceptance_or_new_weights() {
    let mut reducer = entry(1);
    (1..=3).for_each(|number| drop(send_to_desk(&mut reducer, number, START)));
    turn_away(&mut reducer, 1, START, REST);
    turn_away(&mut reducer, 2, START + Millis(10), Millis(100));
    turn_away(&mut reducer, 3, START + Millis(20), Millis(0));
    assert!(!is_used(&mut reducer, START + Millis(500)));
    let address = desk(0).address;
    let notice =
        mustardrill_core::direct::EngineNotice::Serving(mustardrill_types::WeightVersion(2));
    let model = "m".parse().unwrap();
    let start = Some(desk(0).start);
    let event = DirectEvent::EngineNoticeReceived { address, model, start, notice };
    reducer.reduce(START + Millis(600), event);
    assert!(!is_used(&mut reducer, START + Millis(600)));
    assert!(!is_used(&mut reducer, START + REST - Millis(1)));
    assert!(is_used(&mut reducer, START + REST));
}

/// Requests that were sent before the first rest are turned away one after the other.
#[test]
fn the_latest_end_of_several_rests_is_forgotten() {
    let mut reducer = entry(1);
    (1..=3).for_each(|number| drop(send_to_desk(&mut reducer, number, START)));
    turn_away(&mut reducer, 1, START, Millis(1_000));
    turn_away(&mut reducer, 2, START + Millis(500), REST);
    turn_away(&mut reducer, 3, START + Millis(600), Millis(1_000));
    assert!(!is_used(&mut reducer, START + Millis(3_499)));
    assert!(is_used(&mut reducer, START + Millis(3_500)));
}

#[test]
fn a_registration_that_returns_ends_a_rest() {
    for change in [FleetChange::UpstreamGone(desk_id(0)), FleetChange::UpstreamInvalid(desk_id(0))]
    {
        let mut reducer = entry_of_resting();
        answer_from_store(&mut reducer, START + Millis(100), vec![change], false, 0);
        let renewed = UpstreamRecord { slots: 9, ..desk(0) };
        let changes = vec![FleetChange::Upstream(renewed)];
        answer_from_store(&mut reducer, START + Millis(900), changes, false, 0);
        assert!(!is_used(&mut reducer, START + Millis(900)));
        answer_from_store(
            &mut reducer,
            START + Millis(1_500),
            vec![FleetChange::Upstream(desk(0))],
            true,
            1,
        );
        assert!(!is_used(&mut reducer, START + Millis(1_500)));
    }
}

#[test]
fn a_later_incarnation_rests_for_the_earlier_one() {
    let mut reducer = entry_of_resting();
    let reborn = UpstreamRecord { start: StartStamp(2), ..desk(0) };
    let changes = vec![FleetChange::Upstream(reborn)];
    answer_from_store(&mut reducer, START + Millis(100), changes, false, 0);
    assert!(is_used(&mut reducer, START + Millis(100)));
}

#[test]
fn a_huge_rest_overflows() {
    let mut reducer = entry(1);
    send_to_desk(&mut reducer, 1, START);
    turn_away(&mut reducer, 1, START, Millis(u64::MAX));
    assert!(!is_used(&mut reducer, START + Millis(1_000_000_000)));
}

#[test]
fn callers_wait_for_a_rest_that_ends_too_late_for_them() {
    let mut reducer = entry_of_resting();
    let now = START + Millis(200);
    for number in 10..20 {
        let effects = send_to_desk(&mut reducer, number, now);
        let refusal = refusal_of(&effects);
        assert_eq!(refusal.code, ResultCode::Overloaded);
        let left = REST.0 - 200;
        assert!((left..=left + 1_000).contains(&refusal.retry_after.0), "{refusal:?}");
    }
    // One request is served at the end of the rest, and waits for it.
    let now = START + REST - Millis(400);
    assert_eq!(send_to_desk(&mut reducer, 30, now), Vec::new());
    refusal_of(&send_to_desk(&mut reducer, 31, now));
    let effects = reducer.reduce(START + REST, DirectEvent::TimerFired);
    assert!(matches!(effects[0], DirectEffect::Send(RequestNumber(30), _)), "{effects:?}");
}

#[test]
fn waiting_requests_are_kept_when_all_upstreams_rest() {
    let mut reducer = entry(1);
    let sent: Vec<_> =
        (1..=12).filter(|it| !send_to_desk(&mut reducer, *it, START).is_empty()).collect();
    let waiting = reducer.status(START).waiting;
    assert!(waiting > 0, "the upstream has too much room");
    let effects = state_rest(&mut reducer, sent[0], START + Millis(50), REST);
    let refused = effects.iter().filter(|it| matches!(it, DirectEffect::Refuse(..))).count();
    assert_eq!((refused, reducer.status(START).waiting), (waiting, 0), "{effects:?}");
}

#[test]
fn attempts_that_were_not_written_reach_an_upstream_that_asked_for_a_rest() {
    let mut reducer = entry(2);
    let plans: Vec<_> = (1..=6)
        .map(|number| {
            (number, plan_of(&send_to_desk(&mut reducer, number, START)).upstream.clone())
        })
        .collect();
    let at_first: Vec<_> = plans.iter().filter(|(_, it)| *it == desk_id(0)).collect();
    let [(told, _), unsent @ ..] = &at_first[..] else { panic!("{plans:?}") };
    let effects = state_rest(&mut reducer, *told, START + Millis(10), REST);
    for (number, _) in unsent {
        let withdrawn = DirectEffect::WithdrawUnsent(RequestNumber(*number));
        assert!(effects.contains(&withdrawn), "{effects:?}");
    }
}

#[test]
fn all_that_waited_is_sent_when_a_rest_ends() {
    let mut reducer = entry_of_resting();
    let mut now = START + REST;
    let mut accepted_at_once = Vec::new();
    let mut number = 100;
    for _ in 0..4 {
        let round: Vec<_> = (number..number + 20)
            .filter(|it| {
                matches!(send_to_desk(&mut reducer, *it, now)[..], [DirectEffect::Send(..)])
            })
            .collect();
        accepted_at_once.push(round.len());
        now = now + Millis(100);
        for request in &round {
            accept(&mut reducer, *request, now);
        }
        for request in &round {
            end_request(&mut reducer, *request, now);
        }
        // Those that waited and were sent since are gone as well.
        for request in number..number + 20 {
            end_request(&mut reducer, request, now);
        }
        number += 100;
        now = now + Millis(100);
    }
    assert_eq!(accepted_at_once[0], 1, "{accepted_at_once:?}");
    assert!(accepted_at_once.is_sorted() && accepted_at_once[3] >= 4, "{accepted_at_once:?}");
}

/// All entries are asked for a rest in the same moment, and have requests all the while.
#[test]
fn all_entries_return_from_a_rest_at_once() {
    for entries in [1_usize, 4, 36, 340] {
        let ids: Vec<InstanceId> =
            (0..entries).map(|it| format!("entry-{it}").parse().unwrap()).collect();
        let mut returns = BTreeMap::<u64, usize>::new();
        for own_id in &ids {
            let settings = DirectSettings { own_id: own_id.clone(), ..direct_settings() };
            let mut reducer = DirectReducer::new(settings, 1);
            let mut changes = desk_fleet(1);
            changes.extend(
                ids.iter().filter(|id| *id != own_id).map(|id| FleetChange::Peer(peer(id))),
            );
            answer_from_store(&mut reducer, START, changes, false, 0);
            send_to_desk(&mut reducer, 1, START);
            turn_away(&mut reducer, 1, START, REST);
            let end = START + REST;
            let returned = (0..2_000).step_by(10).find(|after| {
                let now = end + Millis(*after);
                let arrival = DirectEvent::RequestArrived(desk_request(100 + after, now));
                let mut effects = reducer.reduce(now, arrival);
                effects.extend(reducer.reduce(now, DirectEvent::TimerFired));
                effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
            });
            *returns.entry(returned.expect("the entry returns")).or_default() += 1;
        }
        let slots = usize::from(desk(0).slots as u16);
        let most = returns.values().max().unwrap();
        let rounds = entries.div_ceil(slots * 20);
        assert!(*most <= slots * rounds, "{entries} entries: {returns:?}");
        assert!(*returns.keys().max().unwrap() <= 1_000, "{entries} entries: {returns:?}");
    }
}

/// What an incarnation has stated.
#[derive(Debug, Default, Clone, Copy)]
struct Told {
    is_leaving: bool,
    rests_until: Moment,
}

#[derive(Debug, Clone)]
enum Step {
    Arrive,
    /// Ends an open attempt with an answer of this kind.
    Answer(prop::sample::Index, AnswerChoice),
    Register(u16, u64, u32, bool),
    Remove(u16, bool),
    Snapshot(u64, bool),
    StoreFails,
    Pass(u64),
}

#[derive(Debug, Clone, Copy)]
enum AnswerChoice {
    Whole { is_leaving: bool },
    Failed { is_leaving: bool, rest: u64 },
    Full { is_leaving: bool, rest: u64 },
    NotSent,
    Lost { crashed: bool },
    Withdrawn,
}

fn answer_choice() -> impl Strategy<Value = AnswerChoice> {
    let rest = prop_oneof![Just(0), 1..6_000u64];
    let leaving = prop::bool::weighted(0.15);
    prop_oneof![
        4 => leaving.prop_map(|is_leaving| AnswerChoice::Whole { is_leaving }),
        1 => (leaving, rest.clone())
            .prop_map(|(is_leaving, rest)| AnswerChoice::Failed { is_leaving, rest }),
        3 => (leaving, rest).prop_map(|(is_leaving, rest)| AnswerChoice::Full { is_leaving, rest }),
        1 => Just(AnswerChoice::NotSent),
        1 => any::<bool>().prop_map(|crashed| AnswerChoice::Lost { crashed }),
        1 => Just(AnswerChoice::Withdrawn),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => Just(Step::Arrive),
        8 => (any::<prop::sample::Index>(), answer_choice()).prop_map(|(at, it)| Step::Answer(at, it)),
        2 => (0..4u16, 1..4u64, 1..6u32, prop::bool::weighted(0.1))
            .prop_map(|(id, start, slots, leaving)| Step::Register(id, start, slots, leaving)),
        1 => (0..4u16, any::<bool>()).prop_map(|(id, is_invalid)| Step::Remove(id, is_invalid)),
        1 => (0..3u64, any::<bool>()).prop_map(|(era, is_whole)| Step::Snapshot(era, is_whole)),
        1 => Just(Step::StoreFails),
        6 => (0..900u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: common::cases(400),
        rng_seed: proptest::test_runner::RngSeed::Fixed(56),
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_reach_upstreams_that_left_or_rest(steps in prop::collection::vec(step(), 20..300)) {
        let mut reducer = entry(4);
        let mut told: BTreeMap<(InstanceId, u64), Told> = BTreeMap::new();
        let mut open: Vec<(u64, InstanceId, u64)> = Vec::new();
        let mut newest_starts = BTreeMap::new();
        let (mut now, mut next, mut era) = (START, 1, 0);
        for step in steps {
            now = now + Millis(1);
            let mut effects = Vec::new();
            match step {
                Step::Arrive => {
                    next += 1;
                    effects = send_to_desk(&mut reducer, next, now);
                }
                Step::Answer(at, choice) if !open.is_empty() => {
                    let (number, upstream, start) = open.remove(at.index(open.len()));
                    let (is_leaving, rest, outcome) = match choice {
                        AnswerChoice::Whole { is_leaving } => (is_leaving, 0, AttemptOutcome::Whole),
                        AnswerChoice::Failed { is_leaving, rest } => (is_leaving, rest, AttemptOutcome::Failed),
                        AnswerChoice::Full { is_leaving, rest } => (is_leaving, rest, AttemptOutcome::Full),
                        AnswerChoice::NotSent => (false, 0, AttemptOutcome::NotSent),
                        AnswerChoice::Lost { crashed } => (false, 0, AttemptOutcome::Lost { delivered: false, crashed }),
                        AnswerChoice::Withdrawn => (false, 0, AttemptOutcome::Withdrawn { sent: false }),
                    };
                    if is_leaving || rest > 0 {
                        let record = told.entry((upstream, start)).or_default();
                        record.is_leaving |= is_leaving;
                        record.rests_until = record.rests_until.max(now + Millis(rest));
                        let statement = UpstreamStatement {
                            leaving: StatedValue { value: is_leaving.then_some(true), malformed: None },
                            rest: StatedValue::valid(Millis(rest)),
                            ..UpstreamStatement::default()
                        };
                        let event = DirectEvent::UpstreamStated(RequestNumber(number), statement);
                        effects.extend(reducer.reduce(now, event));
                    }
                    if matches!(outcome, AttemptOutcome::Whole | AttemptOutcome::Failed) {
                        accept(&mut reducer, number, now);
                    }
                    effects.extend(common::end_attempt(&mut reducer, now, number, outcome));
                }
                Step::Answer(..) => {}
                Step::Register(id, start, slots, leaving) => {
                    // An earlier incarnation never registers again.
                    let newest = newest_starts.entry(id).or_insert(1);
                    *newest = start.max(*newest);
                    let start = *newest;
                    let record = UpstreamRecord { start: StartStamp(start), slots, leaving, ..desk(id) };
                    let changes = vec![FleetChange::Upstream(record)];
                    let update = FleetUpdate { changes, era: StoreEra(era), ..FleetUpdate::default() };
                    effects = reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
                }
                Step::Remove(id, is_invalid) => {
                    let change = if is_invalid {
                        FleetChange::UpstreamInvalid(desk_id(id))
                    } else {
                        FleetChange::UpstreamGone(desk_id(id))
                    };
                    let update =
                        FleetUpdate { changes: vec![change], era: StoreEra(era), ..FleetUpdate::default() };
                    effects = reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
                }
                Step::Snapshot(later, is_whole) => {
                    era += later;
                    let mut changes = desk_fleet(4);
                    changes.truncate(if is_whole { 5 } else { 3 });
                    for (change, id) in changes[1..].iter_mut().zip(0..) {
                        let start = StartStamp(newest_starts.get(&id).copied().unwrap_or(1));
                        *change = FleetChange::Upstream(UpstreamRecord { start, ..desk(id) });
                    }
                    let update = FleetUpdate {
                        changes,
                        era: StoreEra(era),
                        is_snapshot: true,
                        ..FleetUpdate::default()
                    };
                    effects = reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
                }
                Step::StoreFails => effects = reducer.reduce(now, DirectEvent::StoreFailed),
                Step::Pass(span) => {
                    now = now + Millis(span);
                    effects = reducer.reduce(now, DirectEvent::TimerFired);
                }
            }
            for effect in effects {
                match effect {
                    DirectEffect::Send(number, plan) => {
                        let known = told.get(&(plan.upstream.clone(), plan.start.0));
                        let known = known.copied().unwrap_or_default();
                        prop_assert!(!known.is_leaving, "sent to one that left, {plan:?}");
                        prop_assert!(known.rests_until <= now, "sent in a rest, {plan:?}");
                        open.push((number.0, plan.upstream, plan.start.0));
                    }
                    DirectEffect::Refuse(number, _) | DirectEffect::ForwardFailure(number) => {
                        prop_assert!(!open.iter().any(|(it, ..)| *it == number.0));
                    }
                    _ => {}
                }
            }
        }
    }
}

/// The request that was sent first after the rest ends while the upstream is not listed.
#[test]
fn an_upstream_whose_registration_was_lost_in_its_return_gets_nothing_more() {
    let mut reducer = entry_of_resting();
    let back = START + REST;
    common::keep_in_contact(&mut reducer, START, back);
    plan_of(&send_to_desk(&mut reducer, 10, back));
    let gone = vec![FleetChange::UpstreamGone(desk_id(0))];
    answer_from_store(&mut reducer, back + Millis(10), gone, false, 0);
    assert_eq!(reducer.status(back + Millis(10)).upstreams, 0);
    end_request(&mut reducer, 10, back + Millis(20));
    let renewed = vec![FleetChange::Upstream(desk(0))];
    answer_from_store(&mut reducer, back + Millis(900), renewed, false, 0);
    assert!(is_used(&mut reducer, back + Millis(900)));
}

#[test]
fn waiting_requests_are_not_sent_when_an_upstream_accepts_the_first_one_after_its_rest() {
    let mut reducer = entry_of_resting();
    let back = START + REST;
    plan_of(&send_to_desk(&mut reducer, 10, back));
    (11..14).for_each(|number| assert_eq!(send_to_desk(&mut reducer, number, back), Vec::new()));
    let accepted = DirectEvent::AnswerStarted(RequestNumber(10), None, None);
    let effects = reducer.reduce(back + Millis(50), accepted);
    let sent = effects.iter().filter(|effect| matches!(effect, DirectEffect::Send(..))).count();
    assert_eq!(sent, 1, "{effects:?}");
}
