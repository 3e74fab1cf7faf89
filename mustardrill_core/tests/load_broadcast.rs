//! Load updates between entries: increases are sent at once, decreases after a delay, unchanged
//! loads only in snapshots.

use mustardrill_core::direct::{
    LoadBroadcaster, LoadRows, LoadUpdate, PaceReport, UpstreamLoad, WorkPace,
};
use mustardrill_types::{FastMap, InstanceId, Millis, Moment};
use proptest::prelude::*;

const START: Moment = Moment(10_000);

fn rows(requests: &[(&str, u32)]) -> LoadRows {
    let load = |requests| UpstreamLoad { requests, pending_prefill: Millis(0) };
    requests.iter().map(|(id, requests)| (id.parse().unwrap(), load(*requests))).collect()
}

#[test]
fn increases_are_sent_at_once_and_decreases_after_a_delay() {
    let mut broadcaster = LoadBroadcaster::default();
    assert!(
        broadcaster.next_update(START, rows(&[("u1", 1)]), Vec::new()).unwrap().is_snapshot,
        "the first update is a snapshot"
    );
    assert_eq!(
        broadcaster.next_update(START + Millis(10), rows(&[("u1", 1)]), Vec::new()),
        None,
        "nothing has changed"
    );
    let update = broadcaster
        .next_update(START + Millis(20), rows(&[("u1", 1), ("u2", 1)]), Vec::new())
        .unwrap();
    assert_eq!((update.rows, update.is_snapshot), (rows(&[("u2", 1)]), false));
    let decreased = rows(&[("u2", 1)]);
    assert_eq!(broadcaster.next_update(START + Millis(30), decreased.clone(), Vec::new()), None);
    let update =
        broadcaster.next_update(START + Millis(70), decreased.clone(), Vec::new()).unwrap();
    assert_eq!(update.rows, rows(&[("u1", 0)]));
    assert!(
        broadcaster.next_update(START + Millis(600), decreased, Vec::new()).unwrap().is_snapshot,
        "a snapshot makes up for a lost update"
    );
}

/// The load of 70 engines in one datagram exceeded 1,400 bytes; it was truncated and not received.
#[test]
fn a_load_update_with_many_upstreams_is_split_into_parts() {
    let ids: Vec<_> = (0..120).map(|number| format!("u{number}")).collect();
    let all = rows(&ids.iter().map(|id| (id.as_str(), 1)).collect::<Vec<_>>());
    let update = LoadUpdate { rows: all.clone(), is_snapshot: true, ..LoadUpdate::default() };
    let parts = update.split(50);
    assert_eq!(parts.iter().map(|part| part.is_snapshot).collect::<Vec<_>>(), [true, false, false]);
    assert_eq!(parts.into_iter().flat_map(|part| part.rows).collect::<LoadRows>(), all);
    let empty = LoadUpdate { rows: Vec::new(), is_snapshot: true, ..LoadUpdate::default() };
    assert_eq!(empty.clone().split(50), [empty], "an empty snapshot is sent, too");
}

#[test]
fn a_pace_travels_without_the_load_of_its_upstream() {
    let pace = WorkPace::from_percent(250).unwrap();
    let report = |id: &str| PaceReport { upstream: id.parse().unwrap(), pace, age: Millis(5) };
    let known: Vec<_> = ["u1", "u2", "u9"].map(report).into();
    let rows = rows(&[("u1", 1), ("u2", 1), ("u3", 1)]);
    let update = LoadUpdate { rows, is_snapshot: true, ..LoadUpdate::default() };
    let update = update.with_paces(&known);
    assert_eq!(update.paces, known[..2], "only those of listed upstreams are sent");
    let paces = update.split(1).into_iter().map(|part| part.paces).collect::<Vec<_>>();
    assert_eq!(paces, [vec![report("u1")], vec![report("u2")], vec![]], "each with its row");
}

proptest! {
    /// A peer that merges all updates knows the load as it was when the last one was sent.
    #[test]
    fn merged_updates_add_up_to_the_sent_load(history in prop::collection::vec((0..4usize, 0..5u32), 1..200)) {
        let mut broadcaster = LoadBroadcaster::default();
        let mut load: FastMap<InstanceId, UpstreamLoad> = FastMap::default();
        let mut received: FastMap<InstanceId, UpstreamLoad> = FastMap::default();
        let mut now = START;
        for (upstream, requests) in history {
            now = now + Millis(10);
            let id: InstanceId = format!("u{upstream}").parse().unwrap();
            load.insert(id, UpstreamLoad { requests, pending_prefill: Millis(0) });
            send_and_merge(&mut received, &mut broadcaster, now, &load);
        }
        send_and_merge(&mut received, &mut broadcaster, now + Millis(60), &load);
        received.retain(|_, load| load.requests > 0);
        load.retain(|_, load| load.requests > 0);
        prop_assert_eq!(received, load);
    }
}

fn send_and_merge(
    received: &mut FastMap<InstanceId, UpstreamLoad>,
    broadcaster: &mut LoadBroadcaster,
    now: Moment,
    load: &FastMap<InstanceId, UpstreamLoad>,
) {
    let present = load.iter().filter(|(_, load)| load.requests > 0);
    let rows = present.map(|(id, load)| (id.clone(), *load)).collect();
    let Some(update) = broadcaster.next_update(now, rows, Vec::new()) else { return };
    if update.is_snapshot {
        received.clear();
    }
    received.extend(update.rows);
}
