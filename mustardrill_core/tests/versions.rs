//! Until when an entry begins requests on weights that were replaced.

use mustardrill_core::direct::{
    DirectEffect, DirectEvent, DirectReducer, DirectRequest, EngineForecast, FleetChange,
    FleetPage, LoadNews, PeerLoad, RepeatRule, RouteDocument, ServedWeights, ServiceProfile,
    UpstreamLoad, UpstreamRecord, WorkSize,
};
use mustardrill_types::{FastMap, Generation, Millis, Moment, WeightVersion};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod common;

const START: Moment = Moment(100_000);

fn page(changes: Vec<FleetChange>) -> FleetPage {
    FleetPage { changes, ..FleetPage::default() }
}

/// An entry before one engine with replaced weights, newer ones being named at `START`.
fn entry() -> DirectReducer {
    let route = common::public_route("drafts", "/", "pool", RepeatRule::StreamResumable);
    let mut services = FastMap::default();
    let engine = Some(common::engine_profile());
    services
        .insert("pool".parse().unwrap(), ServiceProfile { engine, ..ServiceProfile::default() });
    let document =
        RouteDocument::new(Generation(1), vec![route], services, Vec::new(), Default::default());
    let serving = vec![ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(1) }];
    let engine = UpstreamRecord {
        id: "u1".parse().unwrap(),
        service: "pool".parse().unwrap(),
        slots: common::engine_profile().slots,
        serving,
        ..common::desk(0)
    };
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![FleetChange::Configured(document.into()), FleetChange::Upstream(engine)];
    reducer.reduce(START, DirectEvent::Fleet(page(changes), START));
    let named = FleetChange::VersionNamed("m".parse().unwrap(), WeightVersion(2));
    reducer.reduce(START, DirectEvent::Fleet(page(vec![named]), START));
    reducer
}

/// Whether the entry sends a request of `size` after `after` to an engine with `load`.
fn begins(after: Millis, load: UpstreamLoad, size: WorkSize) -> bool {
    let mut reducer = entry();
    let now = START + after;
    reducer.reduce(now, DirectEvent::Fleet(page(Vec::new()), now));
    let rows = vec![("u1".parse().unwrap(), load)];
    let news = LoadNews { rows, whole: true, waiting: Vec::new() };
    reducer
        .reduce(now, DirectEvent::PeerHeard(PeerLoad { from: "entry-2".parse().unwrap(), news }));
    let request = DirectRequest {
        model: Some("m".parse().unwrap()),
        ..common::direct_request(1, "/x", size, now)
    };
    let effects = reducer.reduce(now, DirectEvent::Arrived(request));
    effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(256), rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]
    /// An engine that is as slow as twice its profile still begins it in time.
    #[test]
    fn nothing_begins_on_replaced_weights_after_their_bound(
        after in 0u64..8_000,
        requests in 0u32..40,
        reading in 0u64..200,
        prompt in 1u32..8_000,
    ) {
        let size = WorkSize { prompt, answer: 120 };
        let load = UpstreamLoad { requests, reading: Millis(reading) };
        if begins(Millis(after), load, size) {
            let profile = common::engine_profile();
            let first = EngineForecast::new(&profile).first_token(requests, size);
            let begun = after + 2 * (first.0 + reading);
            prop_assert!(begun < common::direct_settings().version_bound.0, "{begun}");
        }
    }

    /// An idle engine is used until shortly before.
    #[test]
    fn an_idle_engine_is_used_until_shortly_before_the_bound(early in 700u64..7_000) {
        let after = Millis(common::direct_settings().version_bound.0 - early);
        let size = WorkSize { prompt: 300, answer: 120 };
        prop_assert!(begins(after, UpstreamLoad::default(), size));
    }
}
