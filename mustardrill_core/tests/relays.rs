//! Which entries hand weights on, and how a transfer uses them.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_core::direct::PeerRecord;
use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::relays::{OriginGate, RelayItem, RelayTable};
use mustardrill_core::transfer::{
    ChunkDraw, ChunkSource, DrawOutcome, TransferPeer, TransferPlan, TransferSettings,
};
use mustardrill_types::{
    ByteSize, ChunkIndex, DataCentre, FastSet, InstanceId, ManifestDigest, Millis, Moment,
};

const START: Moment = Moment(40_000);
const TOTAL: u32 = 24;

fn centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

fn relay(id: &str, place: &str, link_mbps: u32) -> PeerRecord {
    let address = SocketAddr::from(([10, 9, 0, 1], 7700));
    PeerRecord { id: id.parse().unwrap(), address, data_centre: centre(place), link_mbps }
}

fn table(relays: &[PeerRecord]) -> RelayTable {
    let mut table = RelayTable::default();
    table.set(relays.to_vec());
    table
}

fn chunk(index: u32) -> RelayItem {
    RelayItem::Chunk(ChunkIndex(index))
}

#[test]
fn near_entries_share_the_chunks_and_far_ones_stand_in() {
    let relays = [
        relay("e-1", "hall-a", 1_000),
        relay("e-2", "hall-a", 1_000),
        relay("e-3", "hall-b", 1_000),
    ];
    let mut table = table(&relays);
    let nearest = |table: &RelayTable, now, index| {
        let found = table.nearest(now, "m:2", chunk(index), &centre("hall-a"));
        found.map(|relay| relay.id.to_string())
    };
    let used: FastSet<_> = (0..TOTAL).filter_map(|index| nearest(&table, START, index)).collect();
    assert_eq!(used, ["e-1", "e-2"].map(String::from).into_iter().collect());
    table.failed(START, &"e-1".parse().unwrap());
    assert!((0..TOTAL).all(|index| nearest(&table, START, index).as_deref() == Some("e-2")));
    table.failed(START, &"e-2".parse().unwrap());
    assert_eq!(nearest(&table, START, 0).as_deref(), Some("e-3"));
    table.failed(START, &"e-3".parse().unwrap());
    assert_eq!(nearest(&table, START, 0), None);
    assert!(nearest(&table, START + Millis(5_000), 0).is_some(), "failures are forgiven");
}

/// A chunk for all agents of a data centre takes a narrow link so long that answers wait.
#[test]
fn entries_with_narrow_links_hand_on_only_what_no_other_can() {
    let mut table = table(&[relay("wide", "hall-a", 200), relay("narrow", "hall-a", 40)]);
    let all_by = |table: &RelayTable, id: &str| {
        (0..TOTAL).all(|index| {
            let found = table.nearest(START, "m:2", chunk(index), &centre("hall-a"));
            found.is_some_and(|relay| relay.id.as_str() == id)
        })
    };
    assert!(all_by(&table, "wide"));
    table.failed(START, &"wide".parse().unwrap());
    assert!(all_by(&table, "narrow"));
}

#[test]
fn all_agree_on_who_draws_and_it_stands_near_the_origin() {
    let relays =
        [relay("e-1", "hall-a", 100), relay("e-2", "hall-b", 100), relay("e-3", "hall-b", 100)];
    let reversed: Vec<_> = relays.iter().rev().cloned().collect();
    let (one, other) = (table(&relays), table(&reversed));
    let origin = centre("hall-b");
    for index in 0..TOTAL {
        let drawers = one.drawers(START, "m:2", chunk(index), &origin);
        assert_eq!(drawers[0].data_centre, origin);
        assert_eq!(drawers, other.drawers(START, "m:2", chunk(index), &origin));
        assert_eq!(drawers.len(), relays.len());
    }
}

fn plan(own: &str, settings: TransferSettings, relays: &[PeerRecord]) -> TransferPlan {
    let chunks = (0..TOTAL).map(|index| ManifestDigest([index as u8; 32])).collect();
    let manifest = Manifest {
        model: "m".parse().unwrap(),
        version: "2".parse().unwrap(),
        size: ByteSize(u64::from(TOTAL)),
        chunk_size: ByteSize(1),
        chunks,
    };
    let peer = |host: u8| TransferPeer {
        id: format!("10.0.0.{host}").parse().unwrap(),
        data_centre: centre("hall-a"),
    };
    let own = TransferPeer { id: own.parse().unwrap(), data_centre: centre("hall-a") };
    let mut plan = TransferPlan::new(START, own, Arc::new(manifest), settings, 1);
    plan.set_peers(&[peer(1), peer(2), peer(3)]);
    plan.set_relays(relays.to_vec());
    plan
}

fn settings(relays_first: bool) -> TransferSettings {
    TransferSettings {
        homes: true,
        far_drawers: 1,
        drawers: 40,
        stall_after: Millis(500),
        origin_pace: 10.0,
        relay_window: 3,
        relays_first,
        ..TransferSettings::default()
    }
}

fn of_relays(draws: &[ChunkDraw]) -> Vec<u32> {
    let is_relay = |draw: &&ChunkDraw| matches!(draw.source, ChunkSource::Relay(_));
    draws.iter().filter(is_relay).map(|draw| draw.index.0).collect()
}

#[test]
fn a_version_that_has_just_been_named_is_drawn_from_entries_in_order() {
    let mut plan = plan("10.0.0.1", settings(true), &[relay("e-1", "hall-a", 100)]);
    // Peers hold some of it: their links are left to answers all the same.
    let id: InstanceId = "10.0.0.2".parse().unwrap();
    plan.heard(START, &id, ChunkBitmap::full(TOTAL), 0);
    let mut drawn = Vec::new();
    while !plan.is_complete() {
        let draws = plan.next_draws(START);
        assert_eq!(of_relays(&draws).len(), draws.len(), "{draws:?}");
        assert!(!draws.is_empty() && draws.len() <= 3);
        for draw in draws {
            drawn.push(draw.index.0);
            plan.finished(START, draw.index, &draw.source, &DrawOutcome::Verified);
        }
    }
    assert_eq!(drawn, (0..TOTAL).collect::<Vec<_>>());
}

#[test]
fn one_that_comes_later_asks_its_peers_first() {
    let mut plan = plan("10.0.0.1", settings(false), &[relay("e-1", "hall-a", 100)]);
    assert!(plan.next_draws(START).is_empty(), "peers are given a moment to tell what they hold");
    let mut most = ChunkBitmap::full(TOTAL);
    most.remove(ChunkIndex(7));
    plan.heard(START, &"10.0.0.2".parse().unwrap(), most, 0);
    let later = START + Millis(400);
    let mut from_entries = Vec::new();
    for step in 0..TOTAL {
        let now = later + Millis(u64::from(step));
        for draw in plan.next_draws(now) {
            from_entries.extend(of_relays(std::slice::from_ref(&draw)));
            plan.finished(now, draw.index, &draw.source, &DrawOutcome::Verified);
        }
    }
    assert!(plan.is_complete());
    assert_eq!(from_entries, [7], "what no peer shows");
}

#[test]
fn without_entries_near_one_copy_crosses_the_border() {
    let relays = [relay("e-1", "hall-b", 100)];
    let mut asked = Vec::new();
    for own in ["10.0.0.1", "10.0.0.2", "10.0.0.3"] {
        let mut plan = plan(own, settings(true), &relays);
        let now = START + Millis(400);
        for _ in 0..TOTAL {
            for draw in plan.next_draws(now) {
                asked.extend(of_relays(std::slice::from_ref(&draw)));
                plan.finished(now, draw.index, &draw.source, &DrawOutcome::Verified);
            }
        }
    }
    asked.sort_unstable();
    assert_eq!(asked, (0..TOTAL).collect::<Vec<_>>(), "each chunk by its home");
}

#[test]
fn entries_that_fail_leave_the_origin_and_peers() {
    let mut plan = plan("10.0.0.1", settings(true), &[relay("e-1", "hall-a", 100)]);
    for draw in plan.next_draws(START) {
        plan.finished(START, draw.index, &draw.source, &DrawOutcome::Failed);
    }
    let draws = plan.next_draws(START + Millis(300));
    assert!(draws.iter().any(|draw| draw.source == ChunkSource::Origin), "{draws:?}");
    assert!(of_relays(&draws).is_empty());
}

/// Asked for by each agent itself, the origin would send every chunk many times on its return.
#[test]
fn entries_that_wait_for_the_origin_are_asked_again_and_the_origin_is_not() {
    let mut plan = plan("10.0.0.1", settings(true), &[relay("e-1", "hall-a", 100)]);
    let mut asked = 0;
    for step in 0..60 {
        let now = START + Millis(step * 100);
        for draw in plan.next_draws(now) {
            assert!(matches!(draw.source, ChunkSource::Relay(_)), "{draw:?}");
            asked += 1;
            plan.finished(now, draw.index, &draw.source, &DrawOutcome::Busy(Vec::new()));
        }
    }
    assert!((30..=100).contains(&asked), "{asked} questions in 6 s");
    let now = START + Millis(6_200);
    let draws = plan.next_draws(now);
    assert_eq!(of_relays(&draws), [0, 1, 2], "and at once when they have it");
}

#[test]
fn one_call_in_each_rest_finds_out_whether_the_origin_is_back() {
    let mut gate = OriginGate::default();
    assert!(gate.pass(START) && gate.pass(START), "all may ask one that answers");
    gate.failed(START);
    let calls = (1..=50).filter(|step| gate.pass(START + Millis(step * 20))).count();
    assert_eq!(calls, 5, "in 1 s");
    gate.answered();
    assert!((0..10).all(|_| gate.pass(START + Millis(1_001))), "all may ask at once");
}

/// Requests wait behind the chunks that are before a link.
#[test]
fn a_link_that_has_narrowed_gets_one_chunk_at_a_time() {
    let mut plan = plan("10.0.0.1", settings(true), &[relay("e-1", "hall-a", 100)]);
    let (mut now, mut flying) = (START, Vec::new());
    let mut most = Vec::new();
    for _ in 0..TOTAL {
        flying.extend(plan.next_draws(now));
        most.push(flying.len());
        now = now + Millis(645);
        let draw = flying.remove(0);
        plan.finished(now, draw.index, &draw.source, &DrawOutcome::Verified);
    }
    assert_eq!(most[0], 3);
    assert!(most[6..].iter().all(|count| *count == 1), "{most:?}");
    // Chunks come quickly again: the link is as before.
    while !plan.is_complete() {
        flying.extend(plan.next_draws(now));
        now = now + Millis(30);
        let Some(draw) = flying.pop() else { break };
        plan.finished(now, draw.index, &draw.source, &DrawOutcome::Verified);
    }
    assert!(plan.is_complete());
}
