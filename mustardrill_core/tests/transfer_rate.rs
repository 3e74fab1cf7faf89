//! The estimated remaining time of a transfer.

mod common;

use common::cases;
use mustardrill_core::transfer_rate::TransferRate;
use mustardrill_types::{Millis, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: u64 = 1_000;

/// A transfer that receives one chunk every `interval_ms` until it holds `held`.
fn transfer_with(interval_ms: u64, held: u32) -> (TransferRate, Moment) {
    let mut rate = TransferRate::default();
    let mut now = Moment(START);
    rate.add_sample(now, 0);
    for count in 1..=held {
        now = Moment(START + u64::from(count) * interval_ms);
        rate.add_sample(now, count);
    }
    (rate, now)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(256),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_estimate_of_a_steady_transfer_is_exact(
        interval_ms in 5u64..2_000,
        held in 1u32..400,
        missing in 1u32..400,
    ) {
        let (rate, now) = transfer_with(interval_ms, held);
        let estimate_ms = rate.remaining(now, held, held + missing).map(|left| left.0);
        let expected_ms = u64::from(missing) * interval_ms;
        prop_assert_eq!(estimate_ms, Some(expected_ms));
    }

    #[test]
    fn the_rate_before_the_window_is_not_counted(slow_chunks in 50u32..400, fast_ms in 20u64..200) {
        // Slow for a long time, then steady at another rate for longer than the window.
        let (mut rate, changed_at) = transfer_with(1_000, slow_chunks);
        let count = 11_000 / fast_ms + 30;
        let mut now = changed_at;
        for step in 1..=count {
            now = changed_at + Millis(step * fast_ms);
            rate.add_sample(now, slow_chunks + step as u32);
        }
        let held = slow_chunks + count as u32;
        let estimate_ms = rate.remaining(now, held, held + 100).expect("chunks arrive").0;
        let expected_ms = 100 * fast_ms;
        prop_assert!(
            estimate_ms >= expected_ms && estimate_ms <= expected_ms * 5 / 4,
            "{estimate_ms} for {expected_ms}"
        );
    }
}

#[test]
fn a_stalled_transfer_has_no_estimate() {
    let (rate, now) = transfer_with(100, 50);
    assert_eq!(TransferRate::default().remaining(now, 0, 100), None, "no chunk has arrived yet");
    assert!(rate.remaining(now + Millis(9_000), 50, 100).is_some());
    assert_eq!(rate.remaining(now + Millis(10_000), 50, 100), None, "the transfer has stalled");
    assert_eq!(
        rate.remaining(now + Millis(60_000), 100, 100),
        Some(Millis(0)),
        "the transfer is complete"
    );
}
