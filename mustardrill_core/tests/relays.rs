//! Which entries relay weights, and how a transfer fetches from them.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_core::direct::PeerRecord;
use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::relays::{OriginBreaker, RelayItem, RelayTable};
use mustardrill_core::transfer::{
    ChunkFetch, ChunkSource, FetchOutcome, TransferPeer, TransferPlan, TransferSettings,
};
use mustardrill_types::{
    ByteSize, ChunkIndex, DataCentre, FastSet, InstanceId, ManifestDigest, Millis, Moment,
};

const START: Moment = Moment(40_000);
const TOTAL: u32 = 24;

fn centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

fn relay(id: &str, hall: &str, link_mbps: u32) -> PeerRecord {
    let address = SocketAddr::from(([10, 9, 0, 1], 7700));
    PeerRecord { id: id.parse().unwrap(), address, data_centre: centre(hall), link_mbps }
}

fn table(relays: &[PeerRecord]) -> RelayTable {
    let mut table = RelayTable::default();
    table.set_relays(relays.to_vec());
    table
}

fn chunk(index: u32) -> RelayItem {
    RelayItem::Chunk(ChunkIndex(index))
}

#[test]
fn local_entries_share_the_chunks_and_remote_ones_are_the_fallback() {
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
    table.record_failure(START, &"e-1".parse().unwrap());
    assert!((0..TOTAL).all(|index| nearest(&table, START, index).as_deref() == Some("e-2")));
    table.record_failure(START, &"e-2".parse().unwrap());
    assert_eq!(nearest(&table, START, 0).as_deref(), Some("e-3"));
    table.record_failure(START, &"e-3".parse().unwrap());
    assert_eq!(nearest(&table, START, 0), None);
    assert!(nearest(&table, START + Millis(5_000), 0).is_some(), "the backoff has ended");
}

/// Sending a chunk to all agents of a data centre fills a narrow link, and answers wait behind it.
#[test]
fn entries_with_narrow_links_relay_only_where_no_other_can() {
    let mut table = table(&[relay("wide", "hall-a", 200), relay("narrow", "hall-a", 40)]);
    let all_relayed_by = |table: &RelayTable, id: &str| {
        (0..TOTAL).all(|index| {
            let found = table.nearest(START, "m:2", chunk(index), &centre("hall-a"));
            found.is_some_and(|relay| relay.id.as_str() == id)
        })
    };
    assert!(all_relayed_by(&table, "wide"));
    table.record_failure(START, &"wide".parse().unwrap());
    assert!(all_relayed_by(&table, "narrow"));
}

#[test]
fn all_processes_choose_the_same_seeders_near_the_origin_first() {
    let relays =
        [relay("e-1", "hall-a", 100), relay("e-2", "hall-b", 100), relay("e-3", "hall-b", 100)];
    let reversed: Vec<_> = relays.iter().rev().cloned().collect();
    let (one, other) = (table(&relays), table(&reversed));
    let origin = centre("hall-b");
    for index in 0..TOTAL {
        let seeders = one.seeders(START, "m:2", chunk(index), &origin);
        assert_eq!(seeders[0].data_centre, origin);
        assert_eq!(seeders, other.seeders(START, "m:2", chunk(index), &origin));
        assert_eq!(seeders.len(), relays.len());
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

fn settings(prefers_relays: bool) -> TransferSettings {
    TransferSettings {
        uses_primary_holders: true,
        remote_fetchers: 1,
        max_seeders: 40,
        stall_after: Millis(500),
        origin_chunk_ms: 10.0,
        relay_window: 3,
        prefers_relays,
        ..TransferSettings::default()
    }
}

fn relayed_indexes(fetches: &[ChunkFetch]) -> Vec<u32> {
    let is_relay = |fetch: &&ChunkFetch| matches!(fetch.source, ChunkSource::Relay(_));
    fetches.iter().filter(is_relay).map(|fetch| fetch.index.0).collect()
}

#[test]
fn a_newly_announced_version_is_fetched_from_entries_in_order() {
    let mut plan = plan("10.0.0.1", settings(true), &[relay("e-1", "hall-a", 100)]);
    // A peer holds all chunks, but its link is left to answers.
    let id: InstanceId = "10.0.0.2".parse().unwrap();
    plan.record_holdings(START, &id, ChunkBitmap::full(TOTAL), 0);
    let mut fetched = Vec::new();
    while !plan.is_complete() {
        let fetches = plan.next_fetches(START);
        assert_eq!(relayed_indexes(&fetches).len(), fetches.len(), "{fetches:?}");
        assert!(!fetches.is_empty() && fetches.len() <= 3);
        for fetch in fetches {
            fetched.push(fetch.index.0);
            plan.record_outcome(START, fetch.index, &fetch.source, &FetchOutcome::Verified);
        }
    }
    assert_eq!(fetched, (0..TOTAL).collect::<Vec<_>>());
}

#[test]
fn an_instance_that_joins_later_fetches_from_its_peers_first() {
    let mut plan = plan("10.0.0.1", settings(false), &[relay("e-1", "hall-a", 100)]);
    assert!(
        plan.next_fetches(START).is_empty(),
        "it first waits for peers to report what they hold"
    );
    let mut all_but_one = ChunkBitmap::full(TOTAL);
    all_but_one.remove(ChunkIndex(7));
    plan.record_holdings(START, &"10.0.0.2".parse().unwrap(), all_but_one, 0);
    let later = START + Millis(400);
    let mut from_entries = Vec::new();
    for step in 0..TOTAL {
        let now = later + Millis(u64::from(step));
        for fetch in plan.next_fetches(now) {
            from_entries.extend(relayed_indexes(std::slice::from_ref(&fetch)));
            plan.record_outcome(now, fetch.index, &fetch.source, &FetchOutcome::Verified);
        }
    }
    assert!(plan.is_complete());
    assert_eq!(from_entries, [7], "the chunk that no peer holds");
}

#[test]
fn without_local_entries_one_copy_is_fetched_from_another_data_centre() {
    let relays = [relay("e-1", "hall-b", 100)];
    let mut relayed = Vec::new();
    for own in ["10.0.0.1", "10.0.0.2", "10.0.0.3"] {
        let mut plan = plan(own, settings(true), &relays);
        let now = START + Millis(400);
        for _ in 0..TOTAL {
            for fetch in plan.next_fetches(now) {
                relayed.extend(relayed_indexes(std::slice::from_ref(&fetch)));
                plan.record_outcome(now, fetch.index, &fetch.source, &FetchOutcome::Verified);
            }
        }
    }
    relayed.sort_unstable();
    assert_eq!(relayed, (0..TOTAL).collect::<Vec<_>>(), "each chunk by its primary holder");
}

#[test]
fn after_entries_fail_chunks_are_fetched_from_the_origin() {
    let mut plan = plan("10.0.0.1", settings(true), &[relay("e-1", "hall-a", 100)]);
    for fetch in plan.next_fetches(START) {
        plan.record_outcome(START, fetch.index, &fetch.source, &FetchOutcome::Failed);
    }
    let fetches = plan.next_fetches(START + Millis(300));
    assert!(fetches.iter().any(|fetch| fetch.source == ChunkSource::Origin), "{fetches:?}");
    assert!(relayed_indexes(&fetches).is_empty());
}

/// If each agent asked the origin itself, the origin would send every chunk many times on its
/// return.
#[test]
fn busy_entries_are_asked_again_and_the_origin_is_not() {
    let mut plan = plan("10.0.0.1", settings(true), &[relay("e-1", "hall-a", 100)]);
    let mut call_count = 0;
    for step in 0..60 {
        let now = START + Millis(step * 100);
        for fetch in plan.next_fetches(now) {
            assert!(matches!(fetch.source, ChunkSource::Relay(_)), "{fetch:?}");
            call_count += 1;
            plan.record_outcome(now, fetch.index, &fetch.source, &FetchOutcome::Busy(Vec::new()));
        }
    }
    assert!((30..=100).contains(&call_count), "{call_count} calls in 6 s");
    let now = START + Millis(6_200);
    let fetches = plan.next_fetches(now);
    assert_eq!(relayed_indexes(&fetches), [0, 1, 2], "the window of chunks is requested again");
}

#[test]
fn an_unreachable_origin_gets_one_probe_per_backoff() {
    let mut breaker = OriginBreaker::default();
    assert!(
        breaker.allow_call(START) && breaker.allow_call(START),
        "calls to an origin that responds are not limited"
    );
    breaker.record_failure(START);
    let calls = (1..=50).filter(|step| breaker.allow_call(START + Millis(step * 20))).count();
    assert_eq!(calls, 5, "probes in 1 s");
    breaker.record_response();
    assert!(
        (0..10).all(|_| breaker.allow_call(START + Millis(1_001))),
        "calls are unrestricted after a response"
    );
}

/// Responses wait behind the chunks that are queued before a link.
#[test]
fn a_link_that_became_slow_gets_one_chunk_at_a_time() {
    let mut plan = plan("10.0.0.1", settings(true), &[relay("e-1", "hall-a", 100)]);
    let (mut now, mut in_flight) = (START, Vec::new());
    let mut in_flight_counts = Vec::new();
    for _ in 0..TOTAL {
        in_flight.extend(plan.next_fetches(now));
        in_flight_counts.push(in_flight.len());
        now = now + Millis(645);
        let fetch = in_flight.remove(0);
        plan.record_outcome(now, fetch.index, &fetch.source, &FetchOutcome::Verified);
    }
    assert_eq!(in_flight_counts[0], 3);
    assert!(in_flight_counts[6..].iter().all(|count| *count == 1), "{in_flight_counts:?}");
    // Chunks arrive quickly again, as before.
    while !plan.is_complete() {
        in_flight.extend(plan.next_fetches(now));
        now = now + Millis(30);
        let Some(fetch) = in_flight.pop() else { break };
        plan.record_outcome(now, fetch.index, &fetch.source, &FetchOutcome::Verified);
    }
    assert!(plan.is_complete());
}
