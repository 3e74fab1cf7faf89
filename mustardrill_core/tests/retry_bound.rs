//! The bound on retries over all entries, while entries are killed, replaced, added, cut off or
//! frozen and upstreams fail every request.

use mustardrill_types::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use retries::{Disturbance, FullestWindow, RetryScenario, RetrySimulation};

mod common;
#[path = "common/retries.rs"]
mod retries;

/// The part of the bound that entries use at least while all requests fail.
const LEAST_USED: f64 = 0.8;

fn play(entries: usize, per_second: f64, disturbances: &[(u64, Disturbance)]) -> FullestWindow {
    let scenario = RetryScenario {
        entries,
        requests_per_second: per_second,
        disturbances: disturbances.to_vec(),
        span: Millis(25_000),
        seed: 53,
    };
    RetrySimulation::play(scenario).fullest_window()
}

/// Plays the disturbances at each size, with few and with many requests.
fn assert_bound_holds(disturbances: &[(u64, Disturbance)]) {
    let sizes = [(1, 4.0), (1, 130.0), (4, 4.0), (4, 40.0), (4, 130.0), (36, 10.0), (36, 400.0)];
    let played = sizes.map(|(entries, per_second)| {
        (entries, per_second, play(entries, per_second, disturbances))
    });
    let above: Vec<_> = played.iter().filter(|(_, _, fullest)| fullest.used() > 1.0).collect();
    assert!(above.is_empty(), "entries, requests a second, fullest window: {above:?}");
}

fn kill_all(down: Millis) -> Disturbance {
    Disturbance::Kill { percent: 100, down, is_renamed: false }
}

#[test]
fn entries_killed_all_at_once_spend_their_retries_again() {
    let kill = || kill_all(Millis(300));
    assert_bound_holds(&[(3_000, kill())]);
    assert_bound_holds(&[(3_000, kill()), (6_000, kill())]);
    assert_bound_holds(&[(1_500, kill()), (3_500, kill()), (6_000, kill()), (8_500, kill())]);
}

#[test]
fn hundreds_of_entries_killed_at_once_spend_their_retries_again() {
    let kill = || kill_all(Millis(300));
    for per_second in [10.0, 400.0] {
        let fullest = play(340, per_second, &[(3_000, kill()), (6_000, kill())]);
        assert!(fullest.used() <= 1.0, "{per_second} requests a second: {fullest:?}");
    }
}

#[test]
fn entries_killed_every_second_spend_their_retries_in_each_life() {
    let kills: Vec<_> = (1..20).map(|second| (second * 1_000, kill_all(Millis(100)))).collect();
    assert_bound_holds(&kills);
}

#[test]
fn entries_killed_half_by_half_spend_their_retries_again() {
    let half = Disturbance::Kill { percent: 50, down: Millis(500), is_renamed: false };
    let kills: Vec<_> = (1..8).map(|index| (index * 1_500, half.clone())).collect();
    assert_bound_holds(&kills);
}

#[test]
fn entries_killed_one_after_the_other_spend_their_retries_again() {
    let kills: Vec<_> = (1..40).map(|index| (index * 500, Disturbance::KillOldest)).collect();
    assert_bound_holds(&kills);
}

#[test]
fn entries_replaced_under_new_ids_spend_their_predecessors_retries_again() {
    let replace = Disturbance::Kill { percent: 100, down: Millis(100), is_renamed: true };
    assert_bound_holds(&[(2_000, replace.clone()), (5_000, replace.clone()), (8_000, replace)]);
}

#[test]
fn added_entries_spend_retries_that_the_others_have_spent() {
    assert_bound_holds(&[(3_000, Disturbance::Double)]);
}

#[test]
fn entries_that_start_while_the_store_is_away_each_take_the_whole_allowance() {
    let away = Disturbance::StoreAway { span: Millis(6_000) };
    assert_bound_holds(&[(1_000, away.clone()), (3_000, kill_all(Millis(200)))]);
    assert_bound_holds(&[
        (1_000, away.clone()),
        (3_000, kill_all(Millis(200))),
        (9_000, away),
        (12_000, kill_all(Millis(200))),
    ]);
}

#[test]
fn entries_that_are_cut_off_or_frozen_spend_what_the_others_have_divided() {
    let cut = Disturbance::CutOff { percent: 50, span: Millis(20_000) };
    assert_bound_holds(&[(1_000, cut)]);
    let freeze = Disturbance::Freeze { percent: 50, span: Millis(9_000) };
    assert_bound_holds(&[(2_000, freeze)]);
}

#[test]
fn entries_use_most_of_the_retries_that_are_allowed() {
    for (entries, per_second) in [(1, 130.0), (4, 130.0), (36, 400.0), (340, 4_000.0)] {
        let fullest = play(entries, per_second, &[]);
        assert!(fullest.used() <= 1.0, "{entries} entries: {fullest:?}");
        assert!(fullest.used() >= LEAST_USED, "{entries} entries: {fullest:?}");
    }
}

fn any_disturbance() -> impl Strategy<Value = Disturbance> {
    let percent = prop::sample::select(vec![20u32, 50, 100]);
    let span = (0u64..12_000).prop_map(Millis);
    prop_oneof![
        4 => (percent.clone(), 0u64..2_000, any::<bool>()).prop_map(|(percent, down, is_renamed)| {
            Disturbance::Kill { percent, down: Millis(down), is_renamed }
        }),
        1 => Just(Disturbance::KillOldest),
        1 => Just(Disturbance::Double),
        1 => (percent.clone(), span.clone())
            .prop_map(|(percent, span)| Disturbance::Freeze { percent, span }),
        1 => span.clone().prop_map(|span| Disturbance::StoreAway { span }),
        1 => (percent, span).prop_map(|(percent, span)| Disturbance::CutOff { percent, span }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: common::cases(60),
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_exceed_the_bound_under_any_schedule_of_disturbances(
        seed in 0u64..1_000_000,
        entries in 1usize..9,
        requests_per_second in prop::sample::select(vec![8.0, 40.0, 130.0]),
        disturbances in prop::collection::vec((0u64..25_000, any_disturbance()), 1..10),
    ) {
        let span = Millis(30_000);
        let scenario = RetryScenario { entries, requests_per_second, disturbances, span, seed };
        let fullest = RetrySimulation::play(scenario).fullest_window();
        prop_assert!(fullest.used() <= 1.0, "{fullest:?}");
    }
}
