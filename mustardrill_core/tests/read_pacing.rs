//! Pauses between calls to a store whose answers bring nothing.

use mustardrill_core::direct::{FleetChange, FleetUpdate, ReadPacing, WatchTiming};
use mustardrill_types::{Millis, StoreRevision, WeightVersion};

const TIMING: WatchTiming = WatchTiming { wait: Millis(1_000), answer_timeout: Millis(500) };
const READ: Option<StoreRevision> = Some(StoreRevision(7));

/// An answer to a watch from revision 7, with events or without.
fn answer(revision: u64, has_events: bool) -> FleetUpdate {
    FleetUpdate {
        revision: StoreRevision(revision),
        may_continue: has_events,
        ..FleetUpdate::default()
    }
}

fn with_change(update: FleetUpdate) -> FleetUpdate {
    let change = FleetChange::VersionAnnounced("m0".parse().unwrap(), WeightVersion(2));
    FleetUpdate { changes: vec![change], ..update }
}

#[test]
fn early_answers_without_a_change_are_asked_for_without_pause() {
    let mut pacing = ReadPacing::default();
    let mut pause =
        |elapsed| pacing.record_answer(Millis(elapsed), TIMING, READ, &answer(7, false));
    let pauses: Vec<_> = (0..7).map(|_| pause(0).0).collect();
    assert_eq!(pauses, [20, 40, 80, 160, 320, 640, 640]);
    assert_eq!(pause(400), Millis(240), "the call counts towards the pause");
    assert_eq!(pause(500), Millis(0), "the store has waited");
    assert_eq!(pause(0), Millis(20));
}

#[test]
fn a_change_waits_for_an_earlier_pause() {
    let mut pacing = ReadPacing::default();
    for _ in 0..9 {
        pacing.record_idle_answer();
    }
    let update = with_change(answer(8, true));
    assert_eq!(pacing.record_answer(Millis(3), TIMING, READ, &update), Millis(0));
    assert_eq!(pacing.record_idle_answer(), Millis(20));
}

#[test]
fn changes_of_foreign_items_set_the_pace_of_the_calls() {
    let mut pacing = ReadPacing::default();
    for _ in 0..3 {
        let pause = pacing.record_answer(Millis(5), TIMING, READ, &answer(8, true));
        assert_eq!(pause, Millis(45));
    }
}

#[test]
fn a_revision_that_does_not_grow_counts_as_news() {
    for revision in [7, 6] {
        let update = with_change(answer(revision, true));
        let pause = ReadPacing::default().record_answer(Millis(0), TIMING, READ, &update);
        assert_eq!(pause, Millis(20), "revision {revision}");
    }
}

/// A store that drops its history at once is read anew each time.
#[test]
fn a_snapshot_ends_a_series_of_lost_histories() {
    let mut pacing = ReadPacing::default();
    for pause in [20, 40, 80] {
        assert_eq!(pacing.record_idle_answer(), Millis(pause));
        let snapshot = FleetUpdate { is_snapshot: true, ..answer(9, false) };
        assert_eq!(pacing.record_answer(Millis(2), TIMING, None, &snapshot), Millis(0));
    }
}

#[test]
fn a_watch_that_need_not_wait_counts_as_early() {
    let timing = WatchTiming { wait: Millis(0), ..TIMING };
    let pause = ReadPacing::default().record_answer(Millis(0), timing, READ, &answer(7, false));
    assert_eq!(pause, Millis(0));
}
