//! How an entry treats peers that do not report when versions were announced.

use mustardrill_core::direct::{
    DirectEffect, DirectEvent, DirectReducer, FleetChange, FleetUpdate, RepeatRule, RouteDocument,
    ServedWeights, ServiceProfile, UpstreamRecord, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, Moment, WeightVersion};

mod common;

const START: Moment = Moment(100_000);

fn fleet_update(changes: Vec<FleetChange>) -> FleetUpdate {
    FleetUpdate { changes, ..FleetUpdate::default() }
}

/// An entry with one peer, and one engine that holds the first version.
fn entry() -> DirectReducer {
    let route = common::public_route("drafts", "/", "pool", RepeatRule::StreamResumable);
    let engine = Some(common::engine_profile());
    let mut services = FastMap::default();
    services
        .insert("pool".parse().unwrap(), ServiceProfile { engine, ..ServiceProfile::default() });
    let document =
        RouteDocument::new(Generation(1), vec![route], services, Vec::new(), Default::default());
    let (model, version) = ("m".parse().unwrap(), WeightVersion(1));
    let record = UpstreamRecord {
        service: "pool".parse().unwrap(),
        serving: vec![ServedWeights { model, version }],
        ..common::desk(0)
    };
    let changes = vec![
        FleetChange::Configured(document.into()),
        FleetChange::Upstream(record),
        FleetChange::Peer(common::peer(&"entry-2".parse().unwrap())),
    ];
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(changes), START));
    reducer.reduce(START + Millis(10), DirectEvent::GenerationReceived(Generation(1)));
    reducer
}

fn version_announced() -> FleetChange {
    FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2))
}

fn is_sent(reducer: &mut DirectReducer, now: Moment) -> bool {
    reducer.reduce(now, DirectEvent::TimerFired);
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
    let request = common::direct_request(now.0, "/x", size, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
}

/// The link of an entry that was cut off may stay congested for another second, so that no peer's
/// answer arrives at once. That does not show whether the store answered the peers.
#[test]
fn unanswered_polls_grant_superseded_weights_a_second_bound() {
    let mut reducer = entry();
    reducer.reduce(START + Millis(500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    reducer.reduce(back, DirectEvent::StoreAnswered(fleet_update(vec![version_announced()]), back));
    reducer.reduce(back + Millis(300), DirectEvent::TimerFired);
    let bound_end = START + common::direct_settings().version_bound;
    reducer.reduce(bound_end, DirectEvent::StoreAnswered(fleet_update(Vec::new()), bound_end));
    assert!(!is_sent(&mut reducer, bound_end));
}

#[test]
fn silent_peers_are_no_longer_polled_by_an_entry_that_was_cut_off() {
    let mut reducer = entry();
    reducer.reduce(START + Millis(500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    reducer.reduce(back, DirectEvent::StoreAnswered(fleet_update(vec![version_announced()]), back));
    reducer.reduce(back + Millis(300), DirectEvent::TimerFired);
    assert!(reducer.peer_query_interval(back + Millis(500)).is_some());
    assert!(
        reducer.peer_query_interval(back + Millis(1_500)).is_some(),
        "no peer has answered yet"
    );
}

/// An entry that was suspended during the announcement takes an old answer for a current one until
/// a peer reports.
#[test]
fn silent_peers_are_no_longer_polled_by_an_entry_that_was_suspended() {
    let mut reducer = entry();
    let resumed = START + Millis(5_000);
    // The call was sent before the entry was suspended, and answered while it was.
    reducer.reduce(
        resumed,
        DirectEvent::StoreAnswered(fleet_update(vec![version_announced()]), START + Millis(10)),
    );
    assert!(reducer.peer_query_interval(resumed + Millis(500)).is_some());
    assert!(
        reducer.peer_query_interval(resumed + Millis(1_500)).is_some(),
        "no peer has answered yet"
    );
}
