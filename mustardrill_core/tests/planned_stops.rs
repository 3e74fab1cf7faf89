//! Which requests a process takes in a planned stop, and by when each has its answer.

mod common;

use common::{plain_entry, send_request};
use mustardrill_core::entry::{EntryEffect, EntryEvent, RequestId};
use mustardrill_core::planned_stop::StopSchedule;
use mustardrill_types::{Millis, Moment, ResultCode};
use proptest::prelude::*;

const START: Moment = Moment::CLOCK_START;
const LINGER: Millis = Millis(2_600);
const GRACE: Millis = Millis(8_000);

/// Of a request that is still at work in the last sixth of the grace, only one that was sent until then
/// is excused, by the platform's rules.
const LATEST_EXCUSED: Millis = Millis(3_000);

fn at(ms: u64) -> Moment {
    START + Millis(ms)
}

#[test]
fn a_request_that_may_outlast_the_grace_is_taken_late() {
    let schedule = StopSchedule::begin(START, LINGER, GRACE);
    assert!(schedule.intake_end <= START + LATEST_EXCUSED);
    for ms in [0, 1_300, 2_599] {
        assert!(schedule.admits(at(ms), Some(at(20_000))), "{ms}");
        assert!(schedule.admits(at(ms), None), "{ms}");
    }
    for ms in [2_600, 4_000, 6_600, 7_900, 9_000] {
        assert!(!schedule.admits(at(ms), Some(at(ms + 6_000))), "{ms}");
        assert!(!schedule.admits(at(ms), None), "{ms}");
    }
}

#[test]
fn a_late_request_that_ends_in_time_is_refused() {
    let schedule = StopSchedule::begin(START, LINGER, GRACE);
    assert!(schedule.admits(at(2_600), Some(at(7_500))));
    assert!(schedule.admits(at(6_000), Some(at(6_500))));
    assert!(!schedule.admits(at(6_000), Some(at(7_501))));
}

#[test]
fn a_request_starts_in_the_last_sixth_of_the_grace() {
    let schedule = StopSchedule::begin(START, LINGER, GRACE);
    assert!(schedule.last_start <= START + Millis(GRACE.0 * 5 / 6 + 1));
    assert!(!schedule.admits(at(6_700), Some(at(6_800))));
}

#[test]
fn a_grace_shorter_than_the_linger_ends_before_its_refusals() {
    let schedule = StopSchedule::begin(START, LINGER, Millis(2_000));
    assert!(schedule.intake_end <= START + Millis(1_000), "{schedule:?}");
    assert!(schedule.answer_by < schedule.exit_at, "{schedule:?}");
    assert!(schedule.exit_at < START + Millis(2_000), "{schedule:?}");
}

/// On the own interface an entry that ran out of time ended without a word to its callers.
#[test]
fn an_answer_that_has_begun_is_replaced_by_the_refusals_of_a_stop() {
    let now = at(1_000);
    let mut reducer = plain_entry(now, 2);
    let silent = send_request(&mut reducer, "desk", 1, now);
    send_request(&mut reducer, "desk", 2, now);
    reducer.reduce(now, EntryEvent::Stop);
    reducer.reduce(now, EntryEvent::Delivered(RequestId(2), 10));
    let effects = reducer.reduce(now, EntryEvent::StopEnding);
    let refusal =
        EntryEffect::Reject { id: RequestId(1), code: ResultCode::Unknown, retry_after: Millis(0) };
    assert_eq!(effects, [EntryEffect::Cancel(silent.attempt), refusal]);
    assert!(!reducer.is_drained());
}

proptest! {
    /// Whatever operators state, the parts of a stop follow one another within the grace.
    #[test]
    fn a_planned_stop_outlasts_its_grace(linger in 0_u64..600_000, grace in 0_u64..600_000) {
        let schedule = StopSchedule::begin(START, Millis(linger), Millis(grace));
        prop_assert!(schedule.intake_end <= schedule.last_start, "{:?}", schedule);
        prop_assert!(schedule.last_start <= schedule.answer_by, "{:?}", schedule);
        prop_assert!(schedule.answer_by <= schedule.exit_at, "{:?}", schedule);
        prop_assert!(schedule.exit_at <= START + Millis(grace), "{:?}", schedule);
    }
}
