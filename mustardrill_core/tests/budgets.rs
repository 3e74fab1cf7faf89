//! The retry budget that all entries share, for any number of entries.

use std::sync::Arc;

use common::public_route;
use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, DirectEffect, DirectEvent, DirectReducer, DirectSettings,
    FleetChange, FleetUpdate, LoadUpdate, PeerLoad, RepeatRule, RequestNumber, RetryShare,
    RouteDocument, ServiceProfile,
};
use mustardrill_types::{FastMap, Generation, InstanceId, Millis, Moment, StoreRevision};

mod common;

const START: Moment = Moment(100_000);
const ALLOWANCE: f64 = 200.0;
const WINDOW: Millis = Millis(10_000);

fn entry_id(index: usize) -> InstanceId {
    format!("entry-{index}").parse().unwrap()
}

fn settings(own: usize) -> DirectSettings {
    let retry_share = RetryShare { ratio: 0.0, allowance: ALLOWANCE, window: WINDOW };
    DirectSettings { own_id: entry_id(own), retry_share, ..common::direct_settings() }
}

/// An entry that knows of `entries` in total, including itself.
fn entry_of(entries: usize) -> DirectReducer {
    let mut reducer = DirectReducer::new(settings(0), 1);
    let mut changes = common::desk_fleet(3);
    changes.extend((1..entries).map(|index| FleetChange::Peer(common::peer(&entry_id(index)))));
    update_fleet(&mut reducer, START, changes, true);
    reducer
}

fn update_fleet(
    reducer: &mut DirectReducer,
    now: Moment,
    changes: Vec<FleetChange>,
    is_snapshot: bool,
) {
    let update =
        FleetUpdate { changes, revision: StoreRevision(1), is_snapshot, ..FleetUpdate::default() };
    reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
}

/// How often the entry retries at `now` when every attempt is lost.
fn count_retries(reducer: &mut DirectReducer, now: Moment, numbers: std::ops::Range<u64>) -> usize {
    let mut retries = 0;
    for number in numbers {
        let request = common::desk_request(number, now);
        reducer.reduce(now, DirectEvent::RequestArrived(request));
        let lost = AttemptOutcome::Lost { delivered: false, crashed: false };
        let effects = reducer.reduce(now, DirectEvent::AttemptEnded(RequestNumber(number), lost));
        let is_send = |effect: &&DirectEffect| matches!(effect, DirectEffect::Send(..));
        retries += effects.iter().filter(is_send).count();
        reducer.reduce(now, DirectEvent::CallerGone(RequestNumber(number)));
    }
    retries
}

/// After an outage of the store the entries' registrations come back one after the other, and the
/// peers keep the connections that they have.
#[test]
fn connections_of_missing_peers_are_used_by_the_entries_that_are_listed() {
    let mut reducer = entry_of(4);
    let limit = 64;
    let mut changes = common::desk_fleet(3);
    let Some(FleetChange::Configured(document)) = changes.first_mut() else { panic!() };
    let mut services = FastMap::default();
    let profile = ServiceProfile { connection_limit: limit, ..ServiceProfile::default() };
    services.insert("desk".parse().unwrap(), profile);
    let routes = vec![public_route("status", "/", "desk", RepeatRule::Idempotent)];
    let callers = CallerLimits::default();
    *document = Arc::new(RouteDocument::new(Generation(2), routes, services, Vec::new(), callers));
    let now = START + Millis(5_000);
    update_fleet(&mut reducer, now, changes, true);
    let request = common::desk_request(1, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    let [DirectEffect::Send(_, plan)] = &effects[..] else { panic!("{effects:?}") };
    assert_eq!(plan.connection_limit, limit / 4);
}

#[test]
fn all_entries_together_stay_within_the_allowance_and_use_most_of_it() {
    for entries in [1, 2, 4, 12, 13, 36, 100] {
        let each = count_retries(&mut entry_of(entries), START, 1..300);
        let all = (each * entries) as f64;
        assert!(all <= ALLOWANCE, "{entries} entries may spend {all}, above the allowance");
        assert!(all >= ALLOWANCE - entries as f64, "{entries} entries may spend {all} only");
    }
}

#[test]
fn entries_with_expired_registrations_count_for_a_window() {
    let mut reducer = entry_of(36);
    let gone = (1..36).map(|index| FleetChange::PeerGone(entry_id(index))).collect();
    update_fleet(&mut reducer, START, gone, false);
    assert_eq!(count_retries(&mut reducer, START, 1..300), 5, "200 divided among 36 entries");
    let later = START + WINDOW + Millis(1);
    update_fleet(&mut reducer, later, Vec::new(), false);
    assert_eq!(
        count_retries(&mut reducer, later, 301..600),
        200,
        "no other entry was heard from for a window"
    );
}

#[test]
fn entries_missing_from_a_new_snapshot_count_for_a_window() {
    let mut reducer = entry_of(36);
    update_fleet(&mut reducer, START, common::desk_fleet(3), true);
    assert_eq!(count_retries(&mut reducer, START, 1..300), 5);
}

#[test]
fn entries_heard_from_count_even_where_the_store_does_not_list_them() {
    let mut reducer = entry_of(1);
    for index in 1..36 {
        let update = LoadUpdate { rows: Vec::new(), is_snapshot: true, waiting: Vec::new() };
        let load = PeerLoad { from: entry_id(index), update };
        reducer.reduce(START, DirectEvent::PeerLoadReceived(load));
    }
    assert_eq!(count_retries(&mut reducer, START, 1..300), 5);
}
