//! Placement by how long work takes at an upstream now: phases of some hundred milliseconds, an
//! upstream that is slow for seconds, and two data centres with unlike demand.

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, FleetChange, LoadReport, LoadUpdate,
    PaceReport, PeerLoad, RepeatRule, RequestNumber, RouteDocument, ServiceProfile, UpstreamLoad,
    UpstreamRecord, WorkPace, WorkSize,
};
use mustardrill_types::{FastMap, Generation, InstanceId, Millis, Moment};

use common::{
    answer_from_store, desk, desk_id, direct_request, direct_settings, engine_profile, plan_of,
    public_route,
};

mod common;

const START: u64 = 100_000;

const SIZE: WorkSize = WorkSize { prompt_tokens: 960, answer_tokens: 120 };

/// How long an upstream of usual pace prefills a prompt of `SIZE`.
const PREFILL_MS: u64 = 32;

/// How long a request occupies its slot after its first event, at usual pace.
const ANSWER_MS: u64 = 300;

const SLOW_PERCENT: u32 = 250;

const USUAL_PERCENT: u32 = 100;

/// An entry with these upstreams, which have a performance profile.
fn entry(upstreams: impl IntoIterator<Item = UpstreamRecord>) -> DirectReducer {
    let route = public_route("drafts", "/", "desk", RepeatRule::StreamResumable);
    let profile = ServiceProfile { engine: Some(engine_profile()), ..ServiceProfile::default() };
    let services = [("desk".parse().unwrap(), profile)].into_iter().collect();
    let document =
        RouteDocument::new(Generation(1), vec![route], services, Vec::new(), Default::default());
    let mut changes = vec![FleetChange::Configured(Arc::new(document))];
    changes.extend(upstreams.into_iter().map(FleetChange::Upstream));
    let mut reducer = DirectReducer::new(direct_settings(), 1);
    answer_from_store(&mut reducer, Moment(START), changes, true, 0);
    reducer
}

fn arrive(reducer: &mut DirectReducer, number: u64, at: u64) -> Vec<DirectEffect> {
    let request = direct_request(number, "/x", SIZE, Moment(at));
    let request = mustardrill_core::direct::DirectRequest { model: None, ..request };
    let mut effects = reducer.reduce(Moment(at), DirectEvent::RequestArrived(request));
    effects.retain(|effect| !matches!(effect, DirectEffect::SetTimer(_)));
    effects
}

fn start(reducer: &mut DirectReducer, number: u64, at: u64, percent: Option<u32>) {
    let pace = percent.and_then(WorkPace::from_percent);
    let load = LoadReport { running: 1, waiting: 0, slots: 4, pace, age: Millis(0) };
    let started = DirectEvent::AnswerStarted(RequestNumber(number), Some(load), None);
    reducer.reduce(Moment(at), started);
}

fn end(reducer: &mut DirectReducer, number: u64, at: u64) -> Vec<DirectEffect> {
    let number = RequestNumber(number);
    let whole = DirectEvent::AttemptEnded(number, AttemptOutcome::Whole);
    let effects = reducer.reduce(Moment(at), whole);
    reducer.reduce(Moment(at), DirectEvent::CallerGone(number));
    effects
}

/// A statement that a peer entry passes on with its load.
fn peer_statement(upstream: InstanceId, percent: u32, age: u64) -> DirectEvent {
    let load = UpstreamLoad { requests: 0, pending_prefill: Millis(0) };
    let pace = WorkPace::from_percent(percent).unwrap();
    let paces = vec![PaceReport { upstream: upstream.clone(), pace, age: Millis(age) }];
    let update = LoadUpdate { rows: vec![(upstream, load)], paces, ..LoadUpdate::default() };
    DirectEvent::PeerLoadReceived(PeerLoad { from: "entry-2".parse().unwrap(), update })
}

/// How many of 60 requests, sent alone one after the other from `at` on, reach upstream 0 of 3.
fn share_of_first(reducer: &mut DirectReducer, at: u64) -> usize {
    let numbers = at * 100..at * 100 + 60;
    let reached = numbers.map(|number| {
        let upstream = plan_of(&arrive(reducer, number, at)).upstream.clone();
        end(reducer, number, at);
        upstream
    });
    reached.filter(|upstream| *upstream == desk_id(0)).count()
}

/// An engine that does one prefill after the other, at a pace that changes.
struct UnevenFleet {
    percent: fn(u16, u64) -> u32,
    is_stated: bool,
    upstreams: u16,
    every_ms: u64,
}

/// What a replay shows: for each request where it was run, when it was sent and how long it took to
/// start, counted from its arrival.
type StartList = Vec<(InstanceId, u64, u64)>;

enum Happening {
    Arrival,
    Start(InstanceId),
    End,
}

impl UnevenFleet {
    fn replay(&self, until_ms: u64) -> StartList {
        let mut reducer = entry((0..self.upstreams).map(desk));
        let mut agenda: BTreeMap<(u64, u64), Happening> = BTreeMap::new();
        for number in 0..until_ms / self.every_ms {
            agenda.insert((START + number * self.every_ms, number), Happening::Arrival);
        }
        let mut busy_until: FastMap<InstanceId, u64> = FastMap::default();
        let mut starts = StartList::new();
        while let Some(((at, number), happening)) = agenda.pop_first() {
            let arrived = START + number * self.every_ms;
            let effects = match happening {
                Happening::Arrival => arrive(&mut reducer, number, at),
                Happening::Start(id) => {
                    let percent = self.percent_of(&id, at);
                    let stated = self.is_stated.then_some(percent);
                    start(&mut reducer, number, at, stated);
                    starts.push((id, at - START, at - arrived));
                    let answer = ANSWER_MS * u64::from(percent) / 100;
                    agenda.insert((at + answer, number), Happening::End);
                    Vec::new()
                }
                Happening::End => end(&mut reducer, number, at),
            };
            for effect in effects {
                let DirectEffect::Send(number, plan) = effect else { continue };
                let from = busy_until.get(&plan.upstream).copied().unwrap_or(0).max(at);
                let percent = self.percent_of(&plan.upstream, from);
                let started = from + PREFILL_MS * u64::from(percent) / 100;
                busy_until.insert(plan.upstream.clone(), started);
                agenda.insert((started, number.0), Happening::Start(plan.upstream));
            }
        }
        starts
    }

    fn percent_of(&self, id: &InstanceId, at: u64) -> u32 {
        let number = (0..self.upstreams).find(|number| desk_id(*number) == *id).unwrap();
        (self.percent)(number, at - START)
    }
}

/// A seventh of the upstreams at a time is slow, for 300 ms each.
fn phases(upstream: u16, after: u64) -> u32 {
    let slow = (after / 300) % 7;
    if u64::from(upstream) % 7 == slow { SLOW_PERCENT } else { USUAL_PERCENT }
}

fn mean_start(starts: &StartList) -> f64 {
    starts.iter().map(|(_, _, took)| *took as f64).sum::<f64>() / starts.len() as f64
}

#[test]
fn slow_phases_are_avoided_while_they_last() {
    let fleet = |is_stated| UnevenFleet { percent: phases, is_stated, upstreams: 14, every_ms: 12 };
    let blind = fleet(false).replay(8_000);
    let informed = fleet(true).replay(8_000);
    assert_eq!(blind.len(), informed.len(), "all are served");
    let (before, after) = (mean_start(&blind), mean_start(&informed));
    assert!(after < before, "mean start {before:.1} ms blind, {after:.1} ms informed");
}

#[test]
fn upstream_that_was_slow_for_seconds_stays_unused() {
    fn slow_for_six_seconds(upstream: u16, after: u64) -> u32 {
        if upstream == 0 && (2_000..8_000).contains(&after) { 600 } else { USUAL_PERCENT }
    }
    let percent = slow_for_six_seconds;
    let starts =
        UnevenFleet { percent, is_stated: true, upstreams: 4, every_ms: 40 }.replay(14_000);
    let share = |from: u64, until: u64| {
        let within = starts.iter().filter(|(_, at, _)| (from..until).contains(at));
        let (first, all) = within.fold((0, 0), |(first, all), (id, ..)| {
            (first + usize::from(*id == desk_id(0)), all + 1)
        });
        first as f64 / f64::from(all)
    };
    let (usual, slow, back) = (share(0, 2_000), share(2_500, 8_000), share(10_000, 14_000));
    assert!(slow < usual / 2.0, "{slow:.3} of the requests while slow, {usual:.3} before");
    assert!(back > usual / 2.0, "{back:.3} of the requests afterwards, {usual:.3} before");
}

#[test]
fn stated_pace_counts_for_too_long_or_not_at_all() {
    let mut reducer = entry((0..3).map(desk));
    let usual = share_of_first(&mut reducer, START);
    assert!(usual > 0);
    reducer.reduce(Moment(START + 10), peer_statement(desk_id(0), SLOW_PERCENT, 0));
    assert_eq!(share_of_first(&mut reducer, START + 20), 0, "a peer's statement counts");
    assert!(share_of_first(&mut reducer, START + 700) > 0, "an old one does not");
    reducer.reduce(Moment(START + 800), peer_statement(desk_id(0), USUAL_PERCENT, 0));
    reducer.reduce(Moment(START + 810), peer_statement(desk_id(0), SLOW_PERCENT, 100));
    assert!(share_of_first(&mut reducer, START + 820) > 0, "a newer one replaces an older one");
}

#[test]
fn upstreams_that_state_no_pace_are_placed_otherwise_than_before() {
    let sequence = |percent: Option<u32>| {
        let mut reducer = entry((0..4).map(desk));
        let numbers = 0..200;
        let sent = numbers.map(|number| {
            let at = START + number * 30;
            let effects = arrive(&mut reducer, number, at);
            // Answers start late, which is no reason to avoid upstreams that state nothing.
            let upstream = plan_of(&effects).upstream.clone();
            start(&mut reducer, number, at + 25, percent);
            end(&mut reducer, number, at + 29);
            upstream
        });
        sent.collect::<Vec<_>>()
    };
    assert_eq!(sequence(None), sequence(Some(USUAL_PERCENT)));
}

/// The entry's own data centre is full; the other one has room.
#[test]
fn requests_wait_while_another_data_centre_has_room() {
    let remote = |number| {
        let data_centre = "hall-b".parse().unwrap();
        UpstreamRecord { data_centre, ..desk(number) }
    };
    let mut reducer = entry([desk(0), desk(1), remote(2), remote(3)]);
    let mut reached = Vec::new();
    for number in 0..16 {
        let at = START + number * 60;
        let effects = arrive(&mut reducer, number, at);
        reached.push(plan_of(&effects).upstream.clone());
        start(&mut reducer, number, at + 40, Some(USUAL_PERCENT));
    }
    let is_local = |id: &InstanceId| *id == desk_id(0) || *id == desk_id(1);
    assert!(is_local(&reached[0]), "near before far: {reached:?}");
    let local = reached.iter().filter(|id| is_local(id)).count();
    assert!((8..12).contains(&local), "{local} of 16 in the own data centre: {reached:?}");
}

#[test]
fn near_upstreams_in_a_slow_phase_are_used_before_far_ones() {
    let data_centre = "hall-b".parse().unwrap();
    let mut reducer = entry([desk(0), UpstreamRecord { data_centre, ..desk(1) }]);
    assert_eq!(plan_of(&arrive(&mut reducer, 1, START)).upstream, desk_id(0));
    end(&mut reducer, 1, START);
    reducer.reduce(Moment(START + 5), peer_statement(desk_id(0), 400, 0));
    assert_eq!(plan_of(&arrive(&mut reducer, 2, START + 10)).upstream, desk_id(1));
}

#[test]
fn a_pace_that_is_out_of_range_counts_as_stated() {
    assert_eq!(WorkPace::from_percent(0), None);
    assert_eq!(WorkPace::from_percent(1), WorkPace::from_percent(50));
    assert_eq!(WorkPace::from_percent(u32::MAX), WorkPace::from_percent(1_000));
}
