//! The estimated finish of a copy.

mod common;

use common::cases;
use mustardrill_core::pace::TransferPace;
use mustardrill_types::{Millis, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: u64 = 1_000;

/// A copy that grows by one chunk every `every` milliseconds until it holds `held`.
fn grown(every: u64, held: u32) -> (TransferPace, Moment) {
    let mut pace = TransferPace::default();
    let mut now = Moment(START);
    pace.note(now, 0);
    for count in 1..=held {
        now = Moment(START + u64::from(count) * every);
        pace.note(now, count);
    }
    (pace, now)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(256),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_steady_copy_is_foretold(every in 5u64..2_000, held in 1u32..400, missing in 1u32..400) {
        let (pace, now) = grown(every, held);
        let told = pace.remaining(now, held, held + missing).map(|left| left.0);
        let right = u64::from(missing) * every;
        prop_assert_eq!(told, Some(right));
    }

    #[test]
    fn the_pace_of_long_ago_is_forgotten(slow in 50u32..400, fast in 20u64..200) {
        // Slow for a long time, then steady at another pace for longer than the window.
        let (mut pace, begun) = grown(1_000, slow);
        let count = 11_000 / fast + 30;
        let mut now = begun;
        for step in 1..=count {
            now = begun + Millis(step * fast);
            pace.note(now, slow + step as u32);
        }
        let held = slow + count as u32;
        let told = pace.remaining(now, held, held + 100).expect("it grows").0;
        let right = 100 * fast;
        prop_assert!(told >= right && told <= right * 5 / 4, "{told} for {right}");
    }
}

#[test]
fn what_does_not_move_has_no_estimate() {
    let (pace, now) = grown(100, 50);
    assert_eq!(TransferPace::default().remaining(now, 0, 100), None, "nothing came yet");
    assert!(pace.remaining(now + Millis(9_000), 50, 100).is_some());
    assert_eq!(pace.remaining(now + Millis(10_000), 50, 100), None, "it stalls");
    assert_eq!(pace.remaining(now + Millis(60_000), 100, 100), Some(Millis(0)), "it is whole");
}
