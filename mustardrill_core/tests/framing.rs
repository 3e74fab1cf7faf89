//! Which bytes of an upstream end its connection.

use mustardrill_core::direct::{CutReason, MAX_STRAY_BYTES, MAX_STRAY_TIME, ReadMeter};
use mustardrill_types::{Millis, Moment};
use proptest::prelude::*;

const START: Moment = Moment(100_000);

/// Reads `bytes` at a time, with a pause before each read, until the connection is cut or `reads`
/// are made; returns why it was cut, and after which bytes and time.
fn read_on(
    meter: &mut ReadMeter,
    bytes: u64,
    pause: Millis,
    reads: u64,
) -> Option<(CutReason, u64, Millis)> {
    (1..=reads).find_map(|read| {
        let at = START + Millis(read * pause.0);
        let cut = meter.record_read(at, bytes).err()?;
        Some((cut.reason, read * bytes, at.since(START)))
    })
}

fn body_meter() -> ReadMeter {
    let mut meter = ReadMeter::default();
    meter.record_head();
    meter
}

#[test]
fn bytes_without_end_are_cut_at_the_limit() {
    for (mut meter, reason) in
        [(ReadMeter::default(), CutReason::EndlessHead), (body_meter(), CutReason::EndlessBody)]
    {
        let (found, bytes, _) = read_on(&mut meter, 8_192, Millis(0), 10_000).unwrap();
        assert_eq!(found, reason);
        assert!(bytes <= MAX_STRAY_BYTES.0 + 8_192, "{bytes}");
        assert_eq!(meter.cut().map(|cut| cut.reason), Some(reason));
    }
}

#[test]
fn bytes_that_trickle_are_cut_soon() {
    for (mut meter, reason) in
        [(ReadMeter::default(), CutReason::SlowHead), (body_meter(), CutReason::SlowBody)]
    {
        let (found, _, after) = read_on(&mut meter, 1, Millis(50), 10_000).unwrap();
        assert_eq!(found, reason);
        assert!(after.0 <= MAX_STRAY_TIME.0 + 100, "{after}");
    }
}

/// An upstream may pause anywhere, and long.
#[test]
fn an_answer_with_long_pauses_is_cut() {
    assert_eq!(read_on(&mut ReadMeter::default(), 1_460, Millis(5_000), 10), None);
}

/// Comments keep a connection open while its request waits in the upstream.
#[test]
fn comments_are_cut_by_bytes_and_not_by_time() {
    let mut meter = body_meter();
    let reads = MAX_STRAY_BYTES.0 / 8;
    for read in 0..reads {
        meter.record_read(START + Millis(read * 90), 8).unwrap();
        meter.record_sign();
    }
    let cut = meter.record_read(START, 8).unwrap_err();
    assert_eq!(cut.reason, CutReason::EndlessBody);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An answer of any number of parts is never cut where each part comes in a few reads.
    #[test]
    fn an_answer_that_goes_on_is_cut(
        parts in prop::collection::vec(
            prop::collection::vec((1_u64..50_000, 0_u64..20_000), 1..=10), 1..50)
    ) {
        let (mut meter, mut now) = (ReadMeter::default(), START);
        meter.record_head();
        for part in parts {
            for (bytes, pause) in part {
                now = now + Millis(pause);
                prop_assert_eq!(meter.record_read(now, bytes), Ok(()));
            }
            meter.record_progress();
        }
    }

    /// However they come, bytes without progress end by one of the limits.
    #[test]
    fn bytes_without_progress_are_never_cut(
        reads in prop::collection::vec((1_u64..100_000, 20_u64..5_000), 100)
    ) {
        let (mut meter, mut now) = (body_meter(), START);
        let cut = reads.into_iter().find_map(|(bytes, pause)| {
            now = now + Millis(pause);
            meter.record_read(now, bytes).err()
        });
        prop_assert!(cut.is_some());
    }
}
