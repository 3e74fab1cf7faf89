//! Measures how costs grow with the size of a fleet: real reducers, driven by small fakes.
//!
//! `docs/CAPACITY.md` uses the figures.
//!
//! `cargo run --release -p mustardrill_standins --example slopes [-- PART]` with PART one of
//! entry, agent, claims, messages, routing; all of them without it.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use mustardrill_core::admission::AdmissionSettings;
use mustardrill_core::agent::{AgentEvent, AgentReducer, AgentSettings, EngineReport};
use mustardrill_core::budget::RetrySettings;
use mustardrill_core::claim::{
    ClaimBatch, ClaimDocument, ClaimEffect, ClaimOutcome, ClaimSettings, ShardIndex, ShardResponse,
};
use mustardrill_core::document::{
    CallerSet, CatalogueDocument, CatalogueEntry, CustomerLimits, ModelWeights, RequestClass,
};
use mustardrill_core::entry::{
    AgentSync, AttemptEnd, EntryEffect, EntryEvent, EntryReducer, EntrySettings, IncomingRequest,
    RequestId,
};
use mustardrill_core::membership::{InstanceRecord, MemberSettings};
use mustardrill_core::ownership::OwnerSettings;
use mustardrill_core::routing::{RoutingSettings, RoutingTable, UpstreamReport};
use mustardrill_core::transfer::{TransferPeer, TransferSettings};
use mustardrill_proto as proto;
use mustardrill_types::{
    AttemptId, ByteSize, Generation, InstanceId, ManifestDigest, Millis, Moment, RequestDigest,
    RequestKey,
};
use prost::Message;
use rand::rngs::{SmallRng, StdRng};
use rand::{Rng, SeedableRng};

/// Number of requests or heartbeats in one measurement.
const REQUESTS: u64 = 50_000;

fn main() {
    let part = std::env::args().nth(1).unwrap_or_default();
    let parts: [(&str, fn()); 5] = [
        ("entry", entry_slopes),
        ("agent", agent_slopes),
        ("claims", claim_slopes),
        ("messages", message_sizes),
        ("routing", routing_comparison),
    ];
    for (name, run) in parts {
        if part.is_empty() || part == name {
            run();
            println!();
        }
    }
}

fn instance_record(index: usize) -> InstanceRecord {
    InstanceRecord {
        id: format!("worker-{index}").parse().expect("a valid name"),
        service: "mustard-pool".parse().expect("a valid name"),
        data_centre: format!("centre-{}", index % 7).parse().expect("a valid name"),
        region: format!("region-{}", index % 2).parse().expect("a valid name"),
        agent: format!("10.0.{}.{}:7000", index / 250, index % 250).into(),
        leaving: false,
    }
}

fn manifest_digest() -> ManifestDigest {
    ManifestDigest::of(b"weights")
}

fn catalogue_document(entries: usize, replicas: usize) -> Arc<CatalogueDocument> {
    let entry = CatalogueEntry {
        revision: Generation(1),
        service: "mustard-pool".parse().expect("a valid name"),
        owner: "ana".into(),
        class: RequestClass::Standard,
        callers: CallerSet::All,
        limits: CustomerLimits { requests_per_second: 1_000_000, in_flight: 1_000_000 },
        weights: Some(ModelWeights {
            version: "v1".parse().expect("a valid name"),
            manifest: manifest_digest(),
            replicas: replicas as u32,
        }),
    };
    let name = |index| format!("model-{index}").parse().expect("a valid name");
    let entries = (0..entries).map(|index| (name(index), entry.clone())).collect();
    Arc::new(CatalogueDocument { generation: Generation(1), entries, edits: Vec::new() })
}

fn entry_reducer(workers: usize, subset: usize) -> EntryReducer {
    let settings = EntrySettings {
        own_id: "entry-0".parse().expect("a valid name"),
        data_centre: "centre-0".parse().expect("a valid name"),
        routing: RoutingSettings { silent_for: Millis(u64::MAX / 2), ..RoutingSettings::default() },
        retry: RetrySettings::default(),
        claim_shards: 8,
        members: MemberSettings::default(),
        subset,
        sync_every: Millis(400),
    };
    let mut reducer = EntryReducer::new(settings, 1);
    reducer.reduce(Moment(1), EntryEvent::CatalogueReceived(catalogue_document(1, workers)));
    let list = (0..workers).map(instance_record).collect();
    reducer.reduce(Moment(1), EntryEvent::InstancesReceived(list));
    (0..workers).for_each(|index| {
        reducer.reduce(Moment(2), EntryEvent::Synced(heartbeat(index)));
    });
    reducer
}

fn heartbeat(index: usize) -> AgentSync {
    AgentSync {
        id: instance_record(index).id,
        generation: Generation(1),
        report: UpstreamReport {
            outstanding: 3,
            capacity: 8,
            serving: vec![manifest_digest()],
            leaving: false,
        },
        progress: Vec::new(),
        demand: Vec::new(),
        reporting_entries: 1,
        crashes: Vec::new(),
    }
}

fn incoming_request(number: u64) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(number),
        customer: "comedor".parse().expect("a valid name"),
        target: "model-0".parse().expect("a valid name"),
        is_model: true,
        key: None,
        deadline: Moment(u64::MAX / 2),
        affinity: None,
        digest: RequestDigest(u128::from(number)),
    }
}

fn entry_slopes() {
    println!("entry reducer: microseconds a request and a heartbeat, kilobytes held");
    println!(
        "{:>8} {:>8} {:>12} {:>14} {:>10}",
        "workers", "subset", "us/request", "us/heartbeat", "KB held"
    );
    for (workers, subset) in [(10, 32), (100, 32), (600, 32), (10, 600), (100, 600), (600, 600)] {
        let before = resident_kb();
        let mut reducer = entry_reducer(workers, subset);
        let held = resident_kb().saturating_sub(before);
        let started = Instant::now();
        for number in 0..REQUESTS {
            let effects =
                reducer.reduce(Moment(3), EntryEvent::RequestArrived(incoming_request(number)));
            for effect in effects {
                if let EntryEffect::Send(order) = effect {
                    let end = EntryEvent::AttemptEnded(order.attempt, AttemptEnd::Complete, 1);
                    black_box(reducer.reduce(Moment(4), end));
                }
            }
        }
        let request = started.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
        let started = Instant::now();
        for number in 0..REQUESTS {
            let index = number as usize % workers.min(subset);
            black_box(reducer.reduce(Moment(5), EntryEvent::Synced(heartbeat(index))));
        }
        let heartbeat = started.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
        println!("{workers:>8} {subset:>8} {request:>12.2} {heartbeat:>14.2} {held:>10}");
    }
}

fn agent_reducer(workers: usize) -> AgentReducer {
    let own = instance_record(0);
    let settings = AgentSettings {
        own: TransferPeer { id: own.id, data_centre: own.data_centre },
        service: own.service,
        region: own.region,
        transfer: TransferSettings::default(),
        copy_per_region: false,
        admission: AdmissionSettings {
            capacity: 8,
            queue: 100_000,
            max_starts_ahead: 8,
            ..Default::default()
        },
        claim: ClaimSettings::default(),
        owner: OwnerSettings::default(),
        members: MemberSettings::default(),
        staging_limit: ByteSize(u64::MAX),
        floor_percent: 75,
        exchange_every: Millis(100),
        wave_timeout: Millis(60_000),
        retry_every: Millis(500),
        is_engine: true,
    };
    let mut reducer = AgentReducer::new(Moment(1), settings, 1);
    reducer
        .reduce(Moment(1), AgentEvent::InstancesRead((0..workers).map(instance_record).collect()));
    reducer.reduce(Moment(1), AgentEvent::CatalogueReceived(catalogue_document(20, workers / 20)));
    let serving = vec![manifest_digest()];
    reducer.reduce(Moment(1), AgentEvent::EnginePolled(Some(EngineReport { serving })));
    reducer
}

fn agent_slopes() {
    println!(
        "agent reducer: microseconds a request and a tick, kilobytes held, by instances of the service"
    );
    println!(
        "{:>10} {:>12} {:>10} {:>12} {:>10}",
        "instances", "us/request", "us/tick", "us/list", "KB held"
    );
    for workers in [100, 600, 2_300] {
        let before = resident_kb();
        let mut reducer = agent_reducer(workers);
        let held = resident_kb().saturating_sub(before);
        let started = Instant::now();
        for number in 0..REQUESTS {
            let attempt = AttemptId(u128::from(number));
            let event = AgentEvent::RequestArrived {
                attempt,
                class: RequestClass::Standard,
                pinned: Some(manifest_digest()),
                deadline: Moment(u64::MAX / 2),
            };
            black_box(reducer.reduce(Moment(3), event));
            black_box(reducer.reduce(Moment(4), AgentEvent::RequestFinished(attempt)));
        }
        let request = started.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
        let ticks = 2_000;
        let started = Instant::now();
        for number in 0..ticks {
            black_box(reducer.reduce(Moment(1_000_000 + number * 20), AgentEvent::Tick));
        }
        let tick = started.elapsed().as_secs_f64() * 1e6 / ticks as f64;
        let started = Instant::now();
        for number in 0..20 {
            let list = (0..workers - number % 2).map(instance_record).collect();
            black_box(reducer.reduce(Moment(2_000_000), AgentEvent::InstancesRead(list)));
        }
        let list = started.elapsed().as_secs_f64() * 1e6 / 20.0;
        println!("{workers:>10} {request:>12.2} {tick:>10.2} {list:>12.0} {held:>10}");
    }
}

/// Simulates claims through the coordinators of their shards, against one key-value service whose calls
/// take five milliseconds.
fn claim_slopes() {
    println!(
        "claims: writes a second and waits, five ms a call, ten seconds simulated; with two keepers for a shard where lists differ"
    );
    println!(
        "{:>8} {:>10} {:>10} {:>10} {:>10} {:>9} {:>9}",
        "keepers", "claims/s", "writes/s", "reads/s", "conflicts", "p50 ms", "p99 ms"
    );
    for (coordinators, rate) in
        [(1, 10), (1, 120), (1, 1_200), (1, 5_000), (1, 12_000), (2, 120), (2, 1_200)]
    {
        simulate_claims(coordinators, rate);
    }
}

fn simulate_claims(coordinators: usize, rate: u64) {
    const CALL_MS: u64 = 5;
    const RUN_MS: u64 = 10_000;
    let mut batches: Vec<_> =
        (0..8 * coordinators).map(|_| ClaimBatch::new(ClaimSettings::default())).collect();
    let mut keys: BTreeMap<ShardIndex, (u64, ClaimDocument)> = BTreeMap::new();
    let mut calls: Vec<(u64, usize, ClaimEffect)> = Vec::new();
    let mut started_at = BTreeMap::new();
    let (mut writes, mut reads, mut conflicts) = (0_u64, 0_u64, 0_u64);
    let mut waits = hdrhistogram::Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut rng = StdRng::seed_from_u64(1);
    let mut unavailable = 0;
    for now in 1..=RUN_MS {
        let mut new_effects: Vec<(usize, Vec<ClaimEffect>)> = Vec::new();
        let due = now * rate / 1_000 - (now - 1) * rate / 1_000;
        for _ in 0..due {
            let attempt = AttemptId(rng.random());
            started_at.insert(attempt, now);
            let key = RequestKey(rng.random());
            // A batch for each shard, or two where half of the entries see a different list of entries and
            // so assign the shard to another coordinator.
            let shard = mustardrill_core::coordinator::shard_of(key, 8).0 as usize;
            let entry = shard * coordinators + rng.random_range(0..coordinators);
            new_effects.push((entry, batches[entry].claim(Moment(now), now / 1_000, key, attempt)));
        }
        for (entry, batch) in batches.iter_mut().enumerate() {
            new_effects.push((entry, batch.tick(Moment(now), now / 1_000)));
        }
        let (ready, rest) = std::mem::take(&mut calls).into_iter().partition(|call| call.0 <= now);
        calls = rest;
        let ready: Vec<(u64, usize, ClaimEffect)> = ready;
        for (_, entry, effect) in ready {
            let (shard, answer) = match effect {
                ClaimEffect::Read(shard) => {
                    reads += 1;
                    let (revision, document) = keys.entry(shard).or_default().clone();
                    (shard, ShardResponse::Read(document, revision))
                }
                ClaimEffect::Write { shard, expect, document } => {
                    writes += 1;
                    let key = keys.entry(shard).or_default();
                    if key.0 == expect {
                        *key = (expect + 1, document);
                        (shard, ShardResponse::Written(expect + 1))
                    } else {
                        conflicts += 1;
                        (shard, ShardResponse::Conflict)
                    }
                }
                ClaimEffect::Settle(..) => continue,
            };
            new_effects.push((
                entry,
                batches[entry].handle_response(Moment(now), now / 1_000, shard, answer),
            ));
        }
        for (entry, effects) in new_effects {
            for effect in effects {
                match effect {
                    ClaimEffect::Settle(attempt, ClaimOutcome::Granted) => {
                        let _ = waits.record(now - started_at[&attempt]);
                    }
                    ClaimEffect::Settle(..) => unavailable += 1,
                    call => calls.push((now + CALL_MS, entry, call)),
                }
            }
        }
    }
    let seconds = RUN_MS as f64 / 1_000.0;
    println!(
        "{coordinators:>8} {rate:>10} {:>10.1} {:>10.1} {:>9.1}% {:>9} {:>9}   refused {unavailable}",
        writes as f64 / seconds,
        reads as f64 / seconds,
        conflicts as f64 * 100.0 / writes.max(1) as f64,
        waits.value_at_quantile(0.5),
        waits.value_at_quantile(0.99)
    );
}

fn message_sizes() {
    println!("bytes of messages as encoded, without HTTP/2 frames (about 60 bytes each way)");
    for customers in [0, 10, 100] {
        let demand: Vec<_> = (0..customers)
            .map(|index| proto::Demand {
                customer: format!("customer-{index}"),
                target: "renewal-drafts".into(),
                asked: 30,
            })
            .collect();
        let request = proto::SyncRequest {
            entry: "entry-12".into(),
            generation: 510,
            catalogue: Default::default(),
            demand: demand.clone(),
            with_demand: true,
            crashes: Vec::new(),
        };
        let reply = proto::SyncReply {
            instance: "worker-123".into(),
            generation: 510,
            outstanding: 4,
            capacity: 8,
            serving: vec![vec![7; 32].into()],
            clock_ms: 123_456_789,
            demand,
            entries: 11,
            ..proto::SyncReply::default()
        };
        println!(
            "heartbeat with {customers} customers: {} up, {} down",
            request.encoded_len(),
            reply.encoded_len()
        );
    }
    for chunks in [500_usize, 4_400, 17_500] {
        let bitmap = vec![255; chunks.div_ceil(64) * 8];
        let exchange = proto::ExchangeRequest {
            serving: false,
            manifest: vec![7; 32].into(),
            instance: "worker-123".into(),
            bitmap: bitmap.into(),
        };
        println!("exchange of holdings of {chunks} chunks: {} each way", exchange.encoded_len());
    }
    for entries in [10, 100, 500] {
        println!(
            "catalogue of {entries} entries: {} bytes",
            catalogue_document(entries, 4).encode().len()
        );
    }
}

/// Compares times in the system under one trace with lagging reports: two choices, round robin, random.
fn routing_comparison() {
    println!(
        "choice of upstream: time in the system in ms, the same trace of 60000 requests, reports 400 ms old"
    );
    println!("{:>9} {:>14} {:>9} {:>9} {:>9}", "upstreams", "policy", "p50", "p99", "p99/best");
    for upstreams in [10, 100, 600] {
        let rows = ["two choices", "round robin", "random"]
            .map(|policy| (policy, simulate_routing(upstreams, policy)));
        let best = rows.iter().map(|(_, waits)| waits.value_at_quantile(0.99)).min().unwrap_or(1);
        for (policy, waits) in rows {
            let (p50, p99) = (waits.value_at_quantile(0.5), waits.value_at_quantile(0.99));
            println!(
                "{upstreams:>9} {policy:>14} {p50:>9} {p99:>9} {:>9.2}",
                p99 as f64 / best as f64
            );
        }
    }
}

fn simulate_routing(upstreams: usize, policy: &str) -> hdrhistogram::Histogram<u64> {
    const CAPACITY: usize = 4;
    const REPORT_MS: u64 = 400;
    const TRACE: usize = 60_000;
    let mut rng = StdRng::seed_from_u64(7);
    let mut choice = SmallRng::seed_from_u64(8);
    let ids: Vec<InstanceId> = (0..upstreams).map(|index| instance_record(index).id).collect();
    let mut table = RoutingTable::new(RoutingSettings::default());
    let mut waits = hdrhistogram::Histogram::new(3).expect("three digits are allowed");
    // The time from which each slot of each upstream is free; a tenth of the upstreams are half as fast.
    let mut slots = vec![vec![0_u64; CAPACITY]; upstreams];
    let mut ends: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    let mut outstanding = vec![0_u32; upstreams];
    let (mut now, mut micros, mut reported) = (1, 0.0, u64::MAX);
    for number in 0..TRACE {
        let mean = 100.0 * 1.1 / (upstreams * CAPACITY) as f64 / 0.8;
        micros += -mean * (1.0 - rng.random::<f64>()).ln();
        now = now.max(1 + micros as u64);
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let index = entry.remove();
            outstanding[index] -= 1;
            table.record_ended(Moment(now), &ids[index], true);
        }
        if reported == u64::MAX || now - reported >= REPORT_MS {
            reported = now;
            for (index, id) in ids.iter().enumerate() {
                let report = UpstreamReport {
                    outstanding: outstanding[index],
                    capacity: CAPACITY as u32,
                    serving: Vec::new(),
                    leaving: false,
                };
                table.record_report(Moment(now), id, true, report);
            }
        }
        let work = (50.0 + rng.random::<f64>() * 100.0) as u64;
        let index = match policy {
            "two choices" => {
                let (id, _) =
                    table.choose(Moment(now), &ids, &[], None, &mut choice).expect("an upstream");
                table.record_sent(&id);
                ids.iter().position(|other| *other == id).expect("a known one")
            }
            "round robin" => number % upstreams,
            _ => choice.random_range(0..upstreams),
        };
        let work = if index.is_multiple_of(10) { work * 2 } else { work };
        let slot = slots[index].iter_mut().min().expect("an upstream has slots");
        *slot = (*slot).max(now) + work;
        let end = *slot;
        outstanding[index] += 1;
        ends.insert((end, number as u64), index);
        let _ = waits.record(end - now);
    }
    waits
}

/// Resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
