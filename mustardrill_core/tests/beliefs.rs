//! What an entry does when it believes an engine to hold other weights than it has.

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectRequest, EngineNotice,
    FleetChange, FleetUpdate, RepeatRule, RequestNumber, RouteDocument, RouteRule, SendPlan,
    ServedWeights, ServiceProfile, SilenceReport, UpstreamRecord, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, Moment, StartStamp, WeightVersion};

mod common;

const START: Moment = Moment(100_000);

const SIZE: WorkSize = WorkSize { prompt_tokens: 300, answer_tokens: 120 };

/// The engine, as registered with `version`.
fn engine_with(version: u64) -> UpstreamRecord {
    let version = WeightVersion(version);
    UpstreamRecord {
        service: "pool".parse().unwrap(),
        slots: common::engine_profile().slots,
        serving: vec![ServedWeights { model: "m".parse().unwrap(), version }],
        ..common::desk(0)
    }
}

fn answer(reducer: &mut DirectReducer, now: Moment, changes: Vec<FleetChange>) {
    let update = FleetUpdate { changes, ..FleetUpdate::default() };
    reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
}

fn version_announced(version: u64) -> FleetChange {
    FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(version))
}

/// An entry with one engine, which reported the first version; the second one was announced at
/// `START`. A request may be sent twice.
fn entry() -> DirectReducer {
    let route = RouteRule {
        attempt_limit: 2,
        ..common::public_route("drafts", "/", "pool", RepeatRule::StreamResumable)
    };
    let engine = Some(common::engine_profile());
    let mut services = FastMap::default();
    services
        .insert("pool".parse().unwrap(), ServiceProfile { engine, ..ServiceProfile::default() });
    let document =
        RouteDocument::new(Generation(1), vec![route], services, Vec::new(), Default::default());
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let engine = FleetChange::Upstream(engine_with(1));
    answer(&mut reducer, START, vec![FleetChange::Configured(document.into()), engine]);
    answer(&mut reducer, START, vec![version_announced(2)]);
    reducer
}

/// The engine's agent tells the entry which version it serves.
fn notify(reducer: &mut DirectReducer, now: Moment, version: u64) -> Vec<DirectEffect> {
    notify_of_start(reducer, now, version, Some(engine_with(1).start))
}

fn notify_of_start(
    reducer: &mut DirectReducer,
    now: Moment,
    version: u64,
    start: Option<StartStamp>,
) -> Vec<DirectEffect> {
    let (address, model) = (engine_with(1).address, "m".parse().unwrap());
    let notice = EngineNotice::Serving(WeightVersion(version));
    reducer.reduce(now, DirectEvent::EngineNoticeReceived { address, model, start, notice })
}

fn sent(effects: &[DirectEffect], number: u64) -> Option<SendPlan> {
    effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(sent, plan) if sent.0 == number => Some(plan.clone()),
        _ => None,
    })
}

fn send(reducer: &mut DirectReducer, now: Moment, number: u64) -> SendPlan {
    let request = common::direct_request(number, "/x", SIZE, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    sent(&effects, number).expect("the request is sent")
}

fn refuse_version(reducer: &mut DirectReducer, now: Moment, number: u64) -> Vec<DirectEffect> {
    common::end_attempt(reducer, now, number, AttemptOutcome::Misdirected)
}

fn is_withdrawn(effects: &[DirectEffect], number: u64) -> bool {
    effects.contains(&DirectEffect::Withdraw(RequestNumber(number)))
}

/// The second version is demanded of an engine that has the first one. All requests sent on that
/// belief are repeated at once, with the time limit of the first version.
#[test]
fn requests_sent_on_a_wrong_belief_are_refused() {
    let mut reducer = entry();
    let now = START + Millis(1_000);
    notify(&mut reducer, now, 2);
    for number in 1..=2 {
        assert_eq!(send(&mut reducer, now, number).pinned_version, Some(WeightVersion(2)));
    }
    let later = now + Millis(20);
    for number in 1..=2 {
        let effects = refuse_version(&mut reducer, later, number);
        let plan = sent(&effects, number).expect("the request is repeated");
        assert_eq!(plan.pinned_version, None);
        assert!(
            plan.start_by.is_some_and(|by| by < START + common::direct_settings().version_bound)
        );
    }
    assert_eq!(reducer.status(later).contradicted_beliefs, 1);
}

/// The version is demanded each time then, as nothing may start on the first one.
#[test]
fn an_engine_that_refuses_every_version_gets_no_cool_down() {
    let mut reducer = entry();
    let now = START + common::direct_settings().version_bound;
    answer(&mut reducer, now, Vec::new());
    notify(&mut reducer, now, 2);
    send(&mut reducer, now, 1);
    assert!(sent(&refuse_version(&mut reducer, now + Millis(20), 1), 1).is_some());
    refuse_version(&mut reducer, now + Millis(40), 1);
    let request = common::direct_request(2, "/x", SIZE, now + Millis(50));
    let effects = reducer.reduce(now + Millis(50), DirectEvent::RequestArrived(request));
    assert_eq!(sent(&effects, 2), None);
}

/// Nothing may start on the first version then, so the newer one is demanded still.
#[test]
fn nothing_is_demanded_of_a_contradicted_engine_after_the_bound() {
    let mut reducer = entry();
    let now = START + common::direct_settings().version_bound;
    answer(&mut reducer, now, Vec::new());
    notify(&mut reducer, now, 2);
    send(&mut reducer, now, 1);
    let effects = refuse_version(&mut reducer, now + Millis(20), 1);
    let demanded = sent(&effects, 1).map(|plan| plan.pinned_version);
    assert_eq!(demanded, Some(Some(WeightVersion(2))));
}

/// The agent's notice of the third version was lost.
#[test]
fn requests_are_refused_at_an_engine_that_went_on_to_a_newer_version() {
    let mut reducer = entry();
    let now = START + Millis(1_000);
    notify(&mut reducer, now, 2);
    answer(&mut reducer, now, vec![version_announced(3)]);
    assert_eq!(send(&mut reducer, now, 1).pinned_version, Some(WeightVersion(2)));
    let effects = refuse_version(&mut reducer, now + Millis(20), 1);
    assert_eq!(sent(&effects, 1).map(|plan| plan.pinned_version), Some(None));
    let started = DirectEvent::AnswerStarted(RequestNumber(1), None, Some(WeightVersion(3)));
    reducer.reduce(now + Millis(40), started);
    assert_eq!(send(&mut reducer, now + Millis(50), 2).pinned_version, Some(WeightVersion(3)));
}

/// The attempt was sent without a demand, as an answer had contradicted the belief. That belief is
/// no evidence later on.
#[test]
fn a_contradicted_belief_ends_the_limit_of_an_attempt() {
    let mut reducer = entry();
    let now = START + Millis(5_000);
    answer(&mut reducer, now, Vec::new());
    notify(&mut reducer, now, 2);
    send(&mut reducer, now, 1);
    refuse_version(&mut reducer, now + Millis(20), 1);
    answer(&mut reducer, now + Millis(40), vec![version_announced(3)]);
    let bound_end = START + common::direct_settings().version_bound;
    let effects = reducer.reduce(bound_end, DirectEvent::TimerFired);
    assert!(is_withdrawn(&effects, 1), "{effects:?}");
}

/// An entry that sent request 1 to the engine with the first version 800 ms before the bound, and
/// has heard since that the engine serves the second one, in the incarnation `start`.
fn entry_with_attempt_and_notice(start: Option<StartStamp>) -> (DirectReducer, Moment) {
    let mut reducer = entry();
    let bound_end = START + common::direct_settings().version_bound;
    let now = bound_end - Millis(800);
    answer(&mut reducer, now, Vec::new());
    assert!(send(&mut reducer, now, 1).start_by.is_some());
    notify_of_start(&mut reducer, now + Millis(100), 2, start);
    (reducer, bound_end)
}

#[test]
fn a_notice_of_another_start_ends_the_limit_of_an_attempt() {
    for start in [0, 2].map(StartStamp) {
        let (mut reducer, bound_end) = entry_with_attempt_and_notice(Some(start));
        assert!(is_withdrawn(&reducer.reduce(bound_end, DirectEvent::TimerFired), 1), "{start}");
    }
}

/// An agent of an earlier build names no start, and another incarnation may have its address.
#[test]
fn a_notice_by_address_ends_the_limit_of_an_attempt() {
    let (mut reducer, bound_end) = entry_with_attempt_and_notice(None);
    assert!(is_withdrawn(&reducer.reduce(bound_end, DirectEvent::TimerFired), 1));
}

#[test]
fn a_notice_of_another_start_is_believed() {
    for start in [0, 2].map(StartStamp) {
        let mut reducer = entry();
        notify_of_start(&mut reducer, START + Millis(1_000), 2, Some(start));
        let plan = send(&mut reducer, START + Millis(1_000), 1);
        assert_eq!(plan.pinned_version, Some(WeightVersion(1)), "{start}");
    }
}

/// The notice may be of another incarnation than the registration that follows it.
#[test]
fn a_notice_by_address_raises_the_version_of_a_registration() {
    let mut reducer = entry();
    let now = START + Millis(1_000);
    notify_of_start(&mut reducer, now, 2, None);
    answer(&mut reducer, now, vec![FleetChange::Upstream(engine_with(1))]);
    assert_eq!(send(&mut reducer, now, 1).pinned_version, Some(WeightVersion(1)));
}

/// The attempt was sent to the start before, which may still run it.
#[test]
fn a_registration_of_another_start_ends_the_limit_of_an_attempt() {
    let (mut reducer, bound_end) = entry_with_attempt_and_notice(Some(StartStamp(0)));
    let reborn = UpstreamRecord { start: StartStamp(2), ..engine_with(2) };
    answer(&mut reducer, bound_end - Millis(600), vec![FleetChange::Upstream(reborn)]);
    assert!(is_withdrawn(&reducer.reduce(bound_end, DirectEvent::TimerFired), 1));
}

#[test]
fn a_notice_that_comes_before_its_registration_is_lost() {
    let (mut reducer, bound_end) = entry_with_attempt_and_notice(Some(StartStamp(2)));
    let reborn = UpstreamRecord { start: StartStamp(2), serving: Vec::new(), ..engine_with(1) };
    answer(&mut reducer, bound_end, vec![FleetChange::Upstream(reborn)]);
    assert_eq!(send(&mut reducer, bound_end, 2).pinned_version, Some(WeightVersion(2)));
}

/// It was written before the engine loaded newer weights, and read after the notice of them.
#[test]
fn an_older_registration_of_the_same_start_lowers_the_believed_version() {
    let mut reducer = entry();
    let now = START + Millis(1_000);
    notify(&mut reducer, now, 2);
    answer(&mut reducer, now, vec![FleetChange::Upstream(engine_with(1))]);
    assert_eq!(send(&mut reducer, now, 1).pinned_version, Some(WeightVersion(2)));
    let reborn = UpstreamRecord { start: StartStamp(2), ..engine_with(1) };
    answer(&mut reducer, now, vec![FleetChange::Upstream(reborn)]);
    assert_eq!(send(&mut reducer, now, 2).pinned_version, Some(WeightVersion(1)));
}

/// The engine holds two models and has the newer weights of one of them. The belief in it ended with
/// the refusal that was about the other one.
#[test]
fn a_refused_version_of_one_model_ends_the_belief_in_another_one() {
    let mut reducer = entry();
    let now = START + Millis(1_000);
    for model in ["n", "m"] {
        let (address, model) = (engine_with(1).address, model.parse().unwrap());
        let (start, notice) = (Some(engine_with(1).start), EngineNotice::Serving(WeightVersion(2)));
        reducer.reduce(now, DirectEvent::EngineNoticeReceived { address, model, start, notice });
    }
    send(&mut reducer, now, 1);
    refuse_version(&mut reducer, now + Millis(20), 1);
    let mut registered = engine_with(1);
    registered
        .serving
        .push(ServedWeights { model: "n".parse().unwrap(), version: WeightVersion(1) });
    answer(&mut reducer, now + Millis(30), vec![FleetChange::Upstream(registered)]);
    let request = common::direct_request(2, "/x", SIZE, now + Millis(40));
    let request = DirectRequest { model: Some("n".parse().unwrap()), ..request };
    let effects = reducer.reduce(now + Millis(40), DirectEvent::RequestArrived(request));
    assert_eq!(sent(&effects, 2).unwrap().pinned_version, Some(WeightVersion(2)));
}

fn silent_for(after: u64) -> SilenceReport {
    SilenceReport {
        silent_for: Millis(after),
        delivered: false,
        is_reachable: false,
        is_upstream_heard: false,
    }
}

/// The first attempt is on the first version; the belief in the second engine may be wrong.
#[test]
fn a_second_attempt_demands_no_version() {
    let mut reducer = entry();
    let now = START + common::direct_settings().version_bound - Millis(1_500);
    answer(&mut reducer, now, Vec::new());
    send(&mut reducer, now, 1);
    let other = UpstreamRecord {
        id: "u2".parse().unwrap(),
        address: ([10, 0, 0, 2], 1_000).into(),
        ..engine_with(2)
    };
    answer(&mut reducer, now, vec![FleetChange::Upstream(other)]);
    let silent = DirectEvent::AttemptSilent(RequestNumber(1), silent_for(300));
    let effects = reducer.reduce(now + Millis(300), silent);
    let backup = effects.iter().find_map(|effect| match effect {
        DirectEffect::SendBackup(_, plan) => Some((plan.upstream.as_str(), plan.pinned_version)),
        _ => None,
    });
    assert_eq!(backup, Some(("u2", Some(WeightVersion(2)))));
    let bound_end = START + common::direct_settings().version_bound;
    assert!(is_withdrawn(&reducer.reduce(bound_end, DirectEvent::TimerFired), 1));
}

/// The caller has a part of a stream of the first version. Its rest is a new run on that version.
#[test]
fn the_rest_of_a_stream_starts_on_superseded_weights_after_their_bound() {
    for (left, is_sent) in [(1_500, true), (0, false)] {
        let mut reducer = entry();
        let bound_end = START + common::direct_settings().version_bound;
        let sent_at = bound_end - Millis(2_000);
        answer(&mut reducer, sent_at, Vec::new());
        send(&mut reducer, sent_at, 1);
        let started = DirectEvent::AnswerStarted(RequestNumber(1), None, Some(WeightVersion(1)));
        reducer.reduce(sent_at + Millis(100), started);
        let cut = bound_end - Millis(left);
        let lost = AttemptOutcome::Lost { delivered: true, crashed: false };
        let effects = common::end_attempt(&mut reducer, cut, 1, lost);
        let plan = sent(&effects, 1);
        assert_eq!(plan.is_some(), is_sent, "{left} ms before the bound: {effects:?}");
        if let Some(plan) = plan {
            assert_eq!(plan.pinned_version, Some(WeightVersion(1)));
            assert!(plan.start_by.is_some_and(|start_by| start_by < bound_end));
        }
    }
}

/// The run began before the engine loaded the version that its agent told of.
#[test]
fn the_answer_of_an_earlier_run_lowers_the_believed_version() {
    let mut reducer = entry();
    let now = START + Millis(1_000);
    send(&mut reducer, now, 1);
    notify(&mut reducer, now + Millis(500), 2);
    let started = DirectEvent::AnswerStarted(RequestNumber(1), None, Some(WeightVersion(1)));
    reducer.reduce(now + Millis(510), started);
    let plan = send(&mut reducer, now + Millis(520), 2);
    assert_eq!(plan.pinned_version, Some(WeightVersion(2)));
    assert_eq!(reducer.status(now).contradicted_beliefs, 0);
}

/// The entry believes the registration, and the answer to a later request tells otherwise.
#[test]
fn an_answer_on_older_weights_contradicts_no_belief() {
    let mut reducer = entry();
    let now = START + Millis(1_000);
    notify(&mut reducer, now, 2);
    send(&mut reducer, now, 1);
    refuse_version(&mut reducer, now + Millis(20), 1);
    let started = DirectEvent::AnswerStarted(RequestNumber(1), None, Some(WeightVersion(1)));
    reducer.reduce(now + Millis(40), started);
    assert_eq!(reducer.status(now).contradicted_beliefs, 2, "by the refusal and by the answer");
    let plan = send(&mut reducer, now + Millis(50), 2);
    assert_eq!(plan.pinned_version, Some(WeightVersion(1)));
}
