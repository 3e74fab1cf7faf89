//! What counts as a proof that the configuration in force is the newest one.

use std::sync::Arc;

use assert_matches::assert_matches;
use mustardrill_core::direct::{
    CallerLimits, CustomerRecord, DirectEffect, DirectEvent, DirectReducer, DirectRequest,
    FleetChange, FleetUpdate, RepeatRule, RouteDocument, RouteRule, ServiceProfile, StoreReader,
    UnreadableConfiguration, WatchTiming,
};
use mustardrill_types::{
    Generation, Millis, Moment, ResultCode, StoreEra, StoreRevision, WeightVersion,
};

mod common;

const START: Moment = Moment(100_000);
/// Longer than a key is accepted without a confirmation.
const LONG: Millis = Millis(4_600);

fn customers(keys: &[&str]) -> Vec<CustomerRecord> {
    let api_keys = keys.iter().map(|key| (*key).into()).collect();
    let name = "comedor".parse().unwrap();
    vec![CustomerRecord { name, api_keys, priority: None, allowed_regions: Box::default() }]
}

fn configured(generation: u64, customers: Vec<CustomerRecord>) -> FleetChange {
    let public = common::public_route("status", "/", "desk", RepeatRule::Idempotent);
    let routes = vec![RouteRule { is_public: false, ..public }];
    let services = [("desk".parse().unwrap(), ServiceProfile::default())].into_iter().collect();
    let limits = CallerLimits::default();
    let document = RouteDocument::new(Generation(generation), routes, services, Vec::new(), limits);
    FleetChange::Configured(Arc::new(document.with_customers(customers)))
}

fn update(changes: Vec<FleetChange>, revision: u64, may_continue: bool) -> FleetUpdate {
    let revision = StoreRevision(revision);
    FleetUpdate { changes, revision, may_continue, ..FleetUpdate::default() }
}

/// An entry whose configuration was confirmed at `START`.
fn entry() -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let mut changes = vec![configured(1, customers(&["key-1", "key-2"]))];
    changes.extend((0..2).map(|number| FleetChange::Upstream(common::desk(number))));
    reducer.reduce(START, DirectEvent::StoreAnswered(update(changes, 1, false), START));
    reducer
}

/// The code with which a request is refused; `None` if it is sent.
fn refusal(reducer: &mut DirectReducer, now: Moment, number: u64, key: &str) -> Option<ResultCode> {
    reducer.reduce(now, DirectEvent::StoreFailed);
    let request = common::desk_request(number, now);
    let request = DirectRequest { api_key: Some(key.into()), ..request };
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.iter().find_map(|effect| match effect {
        DirectEffect::Refuse(_, plan) => Some(Some(plan.code)),
        DirectEffect::Send(..) => Some(None),
        _ => None,
    })?
}

#[test]
fn part_of_the_changes_confirms_the_configuration() {
    let (mut reducer, back) = (entry(), START + LONG);
    let part = update(vec![configured(4, customers(&["key-1", "key-2"]))], 4, true);
    reducer.reduce(back, DirectEvent::StoreAnswered(part, back));
    assert_eq!(refusal(&mut reducer, back, 1, "key-2"), Some(ResultCode::NotCurrent));
    assert!(!reducer.is_ready(back));
    let rest = update(vec![configured(7, customers(&["key-1"]))], 7, true);
    reducer.reduce(back, DirectEvent::StoreAnswered(rest, back));
    reducer.reduce(back, DirectEvent::StoreReadThrough(back));
    assert_eq!(refusal(&mut reducer, back, 2, "key-2"), Some(ResultCode::UnknownCustomer));
    assert_eq!(refusal(&mut reducer, back, 3, "key-1"), None);
}

#[test]
fn a_version_counts_from_an_answer_that_did_not_show_the_end() {
    let (mut reducer, back) = (entry(), START + LONG);
    reducer.reduce(back, DirectEvent::StoreAnswered(update(Vec::new(), 3, true), back));
    let version = FleetChange::VersionAnnounced("m0".parse().unwrap(), WeightVersion(2));
    reducer.reduce(back, DirectEvent::StoreAnswered(update(vec![version], 4, true), back));
    // The version may have been announced at any time since the last proof.
    assert_eq!(reducer.announcements(back)[0].time.effective_at(), START);
}

/// The time for which a restored store may lack a configuration.
const GRACE: Millis = Millis(2_000);

fn reader() -> StoreReader {
    let mut reader = StoreReader::default();
    let first = FleetUpdate { is_snapshot: true, ..update(Vec::new(), 10, false) };
    let timing = WatchTiming { wait: Millis(0), answer_timeout: Millis(0) };
    assert!(reader.record_answer(START, START, timing, &first).is_some());
    reader
}

fn read_through(reader: &mut StoreReader, at: Moment, update: &FleetUpdate) -> Option<Moment> {
    let timing = WatchTiming { wait: Millis(1_000), answer_timeout: Millis(0) };
    reader.record_answer(at, at, timing, update).unwrap().read_through
}

#[test]
fn a_changing_store_is_never_read_to_its_end() {
    let mut reader = reader();
    assert!(!reader.is_proof_due(START + Millis(700), GRACE));
    let behind = START + LONG;
    assert_eq!(read_through(&mut reader, behind, &update(Vec::new(), 12, true)), None);
    assert!(reader.is_proof_due(behind, GRACE));
    assert_eq!(reader.record_revision(behind, StoreEra(0), StoreRevision(15)), None);
    assert!(reader.is_behind() && !reader.is_proof_due(behind, GRACE));
    let later = behind + Millis(20);
    assert_eq!(read_through(&mut reader, later, &update(Vec::new(), 14, true)), None);
    // Everything that the store held when it was asked has been read, whatever came since.
    assert_eq!(read_through(&mut reader, later, &update(Vec::new(), 18, true)), Some(behind));
    assert!(!reader.is_behind() && !reader.is_proof_due(later, GRACE));
}

/// A proof from just before the end of the grace delayed the next one, and requests were held although
/// the restored store had answered all the while.
#[test]
fn a_proof_that_confirms_nothing_delays_the_next_one() {
    let mut reader = reader();
    let timing = WatchTiming { wait: Millis(0), answer_timeout: Millis(0) };
    let restored = update(Vec::new(), 8, false);
    let restored = FleetUpdate { is_snapshot: true, era: StoreEra(1), ..restored };
    assert!(reader.record_answer(START, START, timing, &restored).is_some());
    let complete_at = START + GRACE;
    let asked_at = complete_at - Millis(10);
    reader.record_revision(asked_at, StoreEra(1), StoreRevision(8));
    assert!(!reader.is_proof_due(complete_at, GRACE));
    assert!(reader.is_proof_due(complete_at + Millis(100), GRACE));
    let proved_at = complete_at + Millis(800);
    reader.record_revision(proved_at, StoreEra(1), StoreRevision(8));
    assert!(!reader.is_proof_due(proved_at + Millis(100), GRACE));
}

#[test]
fn a_revision_of_another_era_proves_that_all_was_read() {
    let mut reader = reader();
    assert_eq!(reader.record_revision(START, StoreEra(1), StoreRevision(10)), None);
    assert!(!reader.is_behind());
    assert_eq!(reader.record_revision(START, StoreEra(0), StoreRevision(10)), Some(START));
}

fn unreadable(generation: Option<u64>, keys: Option<&[&str]>) -> FleetChange {
    let generation = generation.map(Generation);
    FleetChange::ConfigurationUnreadable(UnreadableConfiguration {
        generation,
        customers: keys.map(customers),
    })
}

fn apply(reducer: &mut DirectReducer, now: Moment, change: FleetChange) {
    reducer.reduce(now, DirectEvent::StoreAnswered(update(vec![change], 5, false), now));
}

#[test]
fn an_undecodable_configuration_confirms_the_one_before() {
    for generation in [None, Some(4)] {
        let mut reducer = entry();
        apply(&mut reducer, START, unreadable(generation, None));
        assert!(reducer.status(START).is_config_unreadable);
        assert_eq!(refusal(&mut reducer, START, 1, "key-2"), None, "it was the newest lately");
        assert_eq!(refusal(&mut reducer, START, 2, "key-3"), Some(ResultCode::NotCurrent));
        let late = START + LONG;
        reducer.reduce(late, DirectEvent::StoreAnswered(update(Vec::new(), 5, false), late));
        assert_eq!(refusal(&mut reducer, late, 3, "key-2"), Some(ResultCode::NotCurrent));
        assert!(!reducer.is_ready(late));
        apply(&mut reducer, late, configured(7, customers(&["key-1"])));
        assert!(!reducer.status(late).is_config_unreadable);
        assert_eq!(refusal(&mut reducer, late, 4, "key-1"), None);
        assert_eq!(refusal(&mut reducer, late, 5, "key-2"), Some(ResultCode::UnknownCustomer));
    }
}

#[test]
fn keys_of_an_undecodable_configuration_are_ignored() {
    let mut reducer = entry();
    apply(&mut reducer, START, unreadable(Some(4), Some(&["key-1"])));
    assert_eq!(refusal(&mut reducer, START, 1, "key-2"), Some(ResultCode::NotCurrent));
    assert_eq!(refusal(&mut reducer, START, 2, "key-1"), None);
    let mut reducer = entry();
    apply(&mut reducer, START, unreadable(Some(1), Some(&["key-1"])));
    assert_eq!(refusal(&mut reducer, START, 1, "key-2"), None, "it is no newer");
    assert_matches!(reducer.status(START).is_config_unreadable, false);
}

#[test]
fn an_older_configuration_ends_the_wait_for_a_decodable_one() {
    let mut reducer = entry();
    apply(&mut reducer, START, unreadable(Some(7), None));
    apply(&mut reducer, START, configured(4, customers(&["key-1"])));
    assert!(reducer.status(START).is_config_unreadable);
}

#[test]
fn an_empty_list_of_customers_admits_every_key() {
    let mut reducer = entry();
    apply(&mut reducer, START, configured(4, Vec::new()));
    for (number, key) in (1..).zip(["key-1", "key-9"]) {
        let code = refusal(&mut reducer, START, number, key);
        assert_eq!(code, Some(ResultCode::UnknownCustomer), "{key}");
    }
}
