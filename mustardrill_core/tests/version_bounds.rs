//! Until when requests start on superseded weights, by the engines that start them, in schedules of
//! entries and engines that are disturbed.

use common::cases;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::BoundSimulation;

mod common;
#[path = "common/bounds.rs"]
mod simulation;

const ENTRIES: [usize; 4] = [1, 4, 13, 36];

/// How much earlier than its bound superseded weights may be given up.
const UNUSED_LIMIT: u64 = 500;

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(256), rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_request_starts_on_superseded_weights_past_their_bound_in_a_disturbed_schedule(
        seed in 0u64..1_000_000,
        bound in 3_000u64..=10_300,
        entries in prop::sample::select(&ENTRIES),
    ) {
        let tally = BoundSimulation::play(entries, bound, seed, false);
        prop_assert!(tally.late.is_empty(), "{:#?}", tally.late);
    }
}

#[test]
fn superseded_weights_are_given_up_long_before_their_bound() {
    let mut unused: Vec<_> = (0..100)
        .map(|seed| {
            let entries = ENTRIES[seed as usize % ENTRIES.len()];
            let tally = BoundSimulation::play(entries, 3_000 + 73 * seed, seed, true);
            assert!(tally.late.is_empty(), "{:#?}", tally.late);
            tally.unused.expect("the weights are used")
        })
        .collect();
    unused.sort_unstable();
    println!("unused: median {} ms, last {} ms", unused[50], unused[99]);
    assert!(unused[50] <= UNUSED_LIMIT, "{unused:?}");
}

/// Checks the simulation that the tests above rely on.
#[test]
fn schedules_lack_withdrawals_second_attempts_or_demanded_versions() {
    let mut totals = [0; 4];
    for seed in 0..40 {
        let tally = BoundSimulation::play(4, 3_000, seed, false);
        let counts = [tally.started, tally.withdrawn, tally.backups, tally.misdirected];
        totals.iter_mut().zip(counts).for_each(|(total, count)| *total += count);
    }
    println!("started, withdrawn, second attempts, misdirected: {totals:?}");
    assert!(totals.iter().all(|total| *total > 0), "{totals:?}");
}
