//! What an entry makes of other entries that don't tell when versions were named.

use mustardrill_core::direct::{
    DirectEffect, DirectEvent, DirectReducer, FleetChange, FleetPage, RepeatRule, RouteDocument,
    ServedWeights, ServiceProfile, UpstreamRecord, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, Moment, WeightVersion};

mod common;

const START: Moment = Moment(100_000);

fn page(changes: Vec<FleetChange>) -> FleetPage {
    FleetPage { changes, ..FleetPage::default() }
}

/// An entry before one engine with the first version, that knows of another entry.
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
    reducer.reduce(START, DirectEvent::StoreAnswered(page(changes), START));
    reducer.reduce(START + Millis(10), DirectEvent::GenerationReceived(Generation(1)));
    reducer
}

fn named() -> FleetChange {
    FleetChange::VersionNamed("m".parse().unwrap(), WeightVersion(2))
}

fn is_sent(reducer: &mut DirectReducer, now: Moment) -> bool {
    reducer.reduce(now, DirectEvent::TimerFired);
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
    let request = common::direct_request(now.0, "/x", size, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
}

/// The link of an entry that was cut off is narrow for another second, so that no answer comes at once.
/// That says nothing of whether the store answered the others.
#[test]
fn the_silence_of_others_gives_replaced_weights_their_whole_time_again() {
    let mut reducer = entry();
    reducer.reduce(START + Millis(500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    reducer.reduce(back, DirectEvent::StoreAnswered(page(vec![named()]), back));
    reducer.reduce(back + Millis(300), DirectEvent::TimerFired);
    let over = START + common::direct_settings().version_bound;
    reducer.reduce(over, DirectEvent::StoreAnswered(page(Vec::new()), over));
    assert!(!is_sent(&mut reducer, over));
}

#[test]
fn others_that_do_not_answer_an_entry_that_was_cut_off_are_asked_no_more() {
    let mut reducer = entry();
    reducer.reduce(START + Millis(500), DirectEvent::StoreFailed);
    let back = START + Millis(6_000);
    reducer.reduce(back, DirectEvent::StoreAnswered(page(vec![named()]), back));
    reducer.reduce(back + Millis(300), DirectEvent::TimerFired);
    assert!(reducer.peer_query_interval(back + Millis(500)).is_some());
    assert!(reducer.peer_query_interval(back + Millis(1_500)).is_some(), "nobody has told yet");
}

/// An entry that stood still at the naming takes an old word for a new one, until another tells.
#[test]
fn others_that_do_not_answer_an_entry_that_stood_still_are_asked_no_more() {
    let mut reducer = entry();
    let woke = START + Millis(5_000);
    // The store was asked before, and answered while the entry stood still.
    reducer.reduce(woke, DirectEvent::StoreAnswered(page(vec![named()]), START + Millis(10)));
    assert!(reducer.peer_query_interval(woke + Millis(500)).is_some());
    assert!(reducer.peer_query_interval(woke + Millis(1_500)).is_some(), "nobody has told yet");
}
