//! A store that comes back from an older copy of itself, as its readers see it.

use std::collections::BTreeSet;
use std::sync::Arc;

use mustardrill_core::direct::{
    AnswerSpan, CallerLimits, CursorVerdict, CustomerRecord, DirectEffect, DirectEvent,
    DirectReducer, DirectRequest, FleetChange, FleetPage, RepeatRule, RouteDocument, RouteRule,
    ServedWeights, ServiceProfile, StoreCursor, UpstreamRecord,
};
use mustardrill_types::{
    FastMap, Generation, InstanceId, Millis, Moment, RequestDigest, StoreEra, StoreRevision,
    WeightVersion,
};

mod common;

use common::desk_id;

const START: Moment = Moment(100_000);
const UPSTREAMS: u16 = 6;
/// When the store is back from a copy, in these tests.
const BACK: Moment = Moment(103_000);

fn page(era: u64, at: u64, whole: bool) -> FleetPage {
    FleetPage { era: StoreEra(era), at: StoreRevision(at), whole, ..FleetPage::default() }
}

#[test]
fn a_revision_counts_only_in_the_era_in_which_it_was_read() {
    let mut cursor = StoreCursor::default();
    assert_eq!(cursor.take(&page(3, 10, true)), CursorVerdict::Taken { returned: false });
    assert_eq!(cursor.take(&page(3, 12, false)), CursorVerdict::Taken { returned: false });
    // The same revision again, in another history.
    assert_eq!(cursor.take(&page(4, 13, false)), CursorVerdict::ReadAnew);
    assert_eq!(cursor.revision(), None);
    assert_eq!(cursor.take(&page(3, 14, false)), CursorVerdict::Outdated);
    assert_eq!(cursor.take(&page(4, 9, true)), CursorVerdict::Taken { returned: true });
    assert_eq!(cursor.revision(), Some(StoreRevision(9)));
    assert_eq!(cursor.take(&page(3, 20, true)), CursorVerdict::Outdated);
    assert_eq!(cursor.revision(), Some(StoreRevision(9)));
    assert_eq!(cursor.take(&page(4, 10, false)), CursorVerdict::Taken { returned: false });
}

fn desks(places: impl IntoIterator<Item = u16>) -> BTreeSet<InstanceId> {
    places.into_iter().map(desk_id).collect()
}

/// Tells changes as they come, in the era `era`.
fn tell(reducer: &mut DirectReducer, at: Moment, era: u64, changes: Vec<FleetChange>) {
    let page = FleetPage { changes, ..page(era, 1, false) };
    reducer.reduce(at, DirectEvent::StoreAnswered(page, at));
}

/// Tells what the store lists after it came back from a copy.
fn tell_copy(
    reducer: &mut DirectReducer,
    records: impl IntoIterator<Item = UpstreamRecord>,
) -> Vec<DirectEffect> {
    let changes = records.into_iter().map(FleetChange::Upstream).collect();
    let page = FleetPage { changes, ..page(1, 1, true) };
    reducer.reduce(BACK, DirectEvent::StoreAnswered(page, BACK))
}

fn entry() -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    tell(&mut reducer, START, 0, common::desk_fleet(UPSTREAMS));
    reducer
}

#[test]
fn an_upstream_that_left_is_listed_again_by_an_older_copy() {
    let mut reducer = entry();
    tell(&mut reducer, START, 0, vec![FleetChange::UpstreamGone(desk_id(0))]);
    tell_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    assert_eq!(common::reached_desks(&mut reducer, UPSTREAMS, BACK), desks(1..UPSTREAMS));
    // One that is written again lives.
    tell(&mut reducer, BACK, 1, vec![FleetChange::Upstream(common::desk(0))]);
    assert_eq!(common::reached_desks(&mut reducer, UPSTREAMS, BACK), desks(0..UPSTREAMS));
}

#[test]
fn a_dead_upstream_takes_the_address_of_the_one_that_lives_there() {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let mut changes = common::desk_fleet(UPSTREAMS);
    changes.remove(1);
    tell(&mut reducer, START, 0, changes);
    let living = UpstreamRecord { id: "desk-new".parse().unwrap(), ..common::desk(0) };
    tell(&mut reducer, START, 0, vec![FleetChange::Upstream(living.clone())]);
    tell_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    let reached = common::reached_desks(&mut reducer, UPSTREAMS, BACK);
    assert!(reached.contains(&living.id) && !reached.contains(&desk_id(0)), "{reached:?}");
}

#[test]
fn upstreams_registered_since_the_copy_are_taken_for_gone() {
    let mut reducer = entry();
    tell_copy(&mut reducer, (1..UPSTREAMS).map(common::desk));
    // Others had answers all the while: that tells nothing of what the copy lacks.
    let span = AnswerSpan { since: Moment(0), until: BACK };
    reducer.reduce(BACK, DirectEvent::AvailabilityReceived(span));
    assert_eq!(
        common::reached_desks(&mut reducer, UPSTREAMS, BACK + Millis(100)),
        desks(0..UPSTREAMS)
    );
    tell(&mut reducer, BACK + Millis(2_000), 1, Vec::new());
    assert_eq!(
        common::reached_desks(&mut reducer, UPSTREAMS, BACK + Millis(2_000)),
        desks(1..UPSTREAMS)
    );
}

#[test]
fn an_upstream_that_leaves_is_set_back_to_ready() {
    let mut reducer = entry();
    let leaving = UpstreamRecord { leaving: true, ..common::desk(0) };
    tell(&mut reducer, START, 0, vec![FleetChange::Upstream(leaving)]);
    tell_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    assert_eq!(common::reached_desks(&mut reducer, UPSTREAMS, BACK), desks(1..UPSTREAMS));
}

#[test]
fn an_engine_is_set_back_to_older_weights() {
    let serving = |version| {
        let served = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(version) };
        UpstreamRecord { serving: vec![served], ..common::desk(0) }
    };
    let mut reducer = entry();
    tell(&mut reducer, START, 0, vec![FleetChange::Upstream(serving(2))]);
    tell_copy(&mut reducer, [serving(1)]);
    let known = reducer.fleet_snapshot().changes.into_iter().find_map(|change| match change {
        FleetChange::Upstream(record) if record.id == desk_id(0) => Some(record.serving),
        _ => None,
    });
    assert_eq!(known.unwrap()[0].version, WeightVersion(2));
}

#[test]
fn entries_registered_since_the_copy_are_forgotten() {
    let mut reducer = entry();
    let peer = "entry-2".parse().unwrap();
    tell(&mut reducer, START, 0, vec![FleetChange::Peer(common::peer(&peer))]);
    tell_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    assert_eq!(reducer.peers().len(), 1);
    tell(&mut reducer, BACK + Millis(2_000), 1, Vec::new());
    assert_eq!(reducer.peers().len(), 0, "it had the time to register again");
}

#[test]
fn an_older_configuration_comes_into_force_again() {
    let mut reducer = entry();
    let (services, customers) = (FastMap::default(), Vec::new());
    let limits = CallerLimits::default();
    let newer = RouteDocument::new(Generation(2), Vec::new(), services, customers, limits);
    tell(&mut reducer, START, 0, vec![FleetChange::Configured(Arc::new(newer))]);
    let copy = FleetPage { changes: common::desk_fleet(UPSTREAMS), ..page(1, 1, true) };
    reducer.reduce(BACK, DirectEvent::StoreAnswered(copy, BACK));
    assert_eq!(reducer.document().unwrap().generation, Generation(2));
}

#[test]
fn requests_that_are_run_no_more_are_forgotten_by_the_store() {
    let mut reducer = entry();
    let digest = RequestDigest::of(&[b"one that ends upstreams"]);
    tell(&mut reducer, START, 0, vec![FleetChange::Quarantined(digest)]);
    let effects = tell_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    let is_kept = |effect: &DirectEffect| matches!(effect, DirectEffect::StoreQuarantine(it, _) if *it == digest);
    assert!(effects.iter().any(is_kept), "{effects:?}");
}

/// An entry that has read a configuration with a key just now, and knows of another entry.
fn started_entry() -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let mut changes = common::desk_fleet(UPSTREAMS);
    changes[0] = FleetChange::Configured(keyed_document(1));
    changes.push(FleetChange::Peer(common::peer(&"entry-2".parse().unwrap())));
    tell(&mut reducer, START, 0, changes);
    reducer
}

fn keyed_document(generation: u64) -> Arc<RouteDocument> {
    let route = RouteRule {
        is_public: false,
        ..common::public_route("status", "/", "desk", RepeatRule::Once)
    };
    let customer = CustomerRecord {
        name: "comedor".parse().unwrap(),
        api_keys: vec!["key".into()],
        priority: None,
    };
    let mut services = FastMap::default();
    services.insert("desk".parse().unwrap(), ServiceProfile::default());
    let limits = CallerLimits::default();
    let (routes, customers) = (vec![route], vec![customer]);
    Arc::new(RouteDocument::new(Generation(generation), routes, services, customers, limits))
}

fn keyed_call(reducer: &mut DirectReducer, now: Moment, number: u64) -> Vec<DirectEffect> {
    let request =
        DirectRequest { api_key: Some("key".into()), ..common::desk_request(number, now) };
    reducer.reduce(now, DirectEvent::RequestArrived(request))
}

fn sends(effects: &[DirectEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, DirectEffect::Send(..))).count()
}

#[test]
fn an_entry_that_starts_serves_by_a_configuration_older_than_the_others() {
    let mut reducer = started_entry();
    let effects = keyed_call(&mut reducer, START + Millis(10), 1);
    assert_eq!(sends(&effects), 0, "the others have not answered yet");
    assert!(!reducer.is_ready(START + Millis(10)));
    let heard = DirectEvent::GenerationReceived(Generation(2));
    assert_eq!(sends(&reducer.reduce(START + Millis(20), heard)), 0);
    assert_eq!(sends(&keyed_call(&mut reducer, START + Millis(900), 2)), 0);
    let newer = vec![FleetChange::Configured(keyed_document(2))];
    tell(&mut reducer, START + Millis(1_000), 0, newer);
    assert_eq!(sends(&keyed_call(&mut reducer, START + Millis(1_000), 3)), 1);
}

#[test]
fn an_entry_that_starts_beside_others_that_do_not_answer_serves_soon() {
    let mut reducer = started_entry();
    assert_eq!(sends(&keyed_call(&mut reducer, START + Millis(10), 1)), 0);
    assert_eq!(sends(&reducer.reduce(START + Millis(200), DirectEvent::TimerFired)), 1);
    assert!(reducer.is_ready(START + Millis(200)));
}

/// A link that loses what is sent for a moment, or another entry that stands still, is no proof that nobody
/// knows of a newer configuration.
#[test]
fn an_entry_that_starts_goes_on_asking_others_that_do_not_answer() {
    let mut reducer = started_entry();
    reducer.reduce(START + Millis(200), DirectEvent::TimerFired);
    assert!(reducer.peer_query_interval(START + Millis(1_000)).is_some(), "they are asked no more");
    assert_eq!(sends(&keyed_call(&mut reducer, START + Millis(1_000), 1)), 1);
    reducer.reduce(START + Millis(1_050), DirectEvent::GenerationReceived(Generation(2)));
    assert_eq!(sends(&keyed_call(&mut reducer, START + Millis(1_100), 2)), 0);
    assert_eq!(reducer.peer_query_interval(START + Millis(1_100)), None, "one word is enough");
    let silent = started_entry();
    assert_eq!(
        silent.peer_query_interval(START + Millis(20_000)),
        None,
        "who is gone is not asked for ever"
    );
}

/// A configuration that takes a key away and that the store lost before anybody had read it is unknown
/// until the operator has written again.
#[test]
fn a_key_taken_away_in_what_the_store_lost_unread_is_used_past_its_bound() {
    let limit = common::direct_settings().freshness_limit;
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let mut changes = common::desk_fleet(UPSTREAMS);
    changes[0] = FleetChange::Configured(keyed_document(1));
    tell(&mut reducer, START, 0, changes);
    let proved = BACK - Millis(2_000);
    tell(&mut reducer, proved, 0, Vec::new());
    // Two returns, so that what was written after the first one is lost again.
    for (era, back) in [(1, BACK), (2, BACK + Millis(1_500))] {
        let mut copy = common::desk_fleet(UPSTREAMS);
        copy[0] = FleetChange::Configured(keyed_document(1));
        let page = FleetPage { changes: copy, ..page(era, 1, true) };
        reducer.reduce(back, DirectEvent::StoreAnswered(page, back));
        tell(&mut reducer, back + Millis(1_000), era, Vec::new());
    }
    let just_before = proved + Millis(limit.0 - 1);
    assert_eq!(
        sends(&keyed_call(&mut reducer, just_before, 1)),
        1,
        "proved before the first return"
    );
    assert_eq!(sends(&keyed_call(&mut reducer, proved + limit, 2)), 0);
    let rewritten = BACK + Millis(3_500);
    let released =
        reducer.reduce(rewritten, DirectEvent::StoreAnswered(page(2, 1, false), rewritten));
    assert_eq!(sends(&released), 1, "what is held is served then");
    assert_eq!(sends(&keyed_call(&mut reducer, rewritten, 3)), 1);
}

/// It asks the others for versions while it is cut off from the store, and hears of a configuration that
/// it can't read; its proof is young enough all the same.
#[test]
fn an_entry_that_is_cut_off_is_shut_out_by_the_others_newer_configuration() {
    let mut reducer = started_entry();
    reducer.reduce(START + Millis(10), DirectEvent::GenerationReceived(Generation(1)));
    let proved = START + Millis(20_000);
    reducer.reduce(proved, DirectEvent::StoreAnswered(FleetPage::default(), proved));
    reducer.reduce(proved + Millis(1_500), DirectEvent::StoreFailed);
    let now = proved + Millis(2_000);
    reducer.reduce(now, DirectEvent::GenerationReceived(Generation(9)));
    assert_eq!(sends(&keyed_call(&mut reducer, now, 1)), 1);
    let limit = proved + common::direct_settings().freshness_limit;
    assert_eq!(sends(&keyed_call(&mut reducer, limit, 2)), 0);
}
