//! Tests of transfers under faults: dead, stalled and corrupting agents or origin, and the loss of
//! the only holder.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::cases;
use mustardrill_core::manifest::{ChunkBitmap, Manifest, ManifestError};
use mustardrill_core::transfer::{
    ChunkFetch, ChunkSource, FetchOutcome, TransferPeer, TransferPlan, TransferSettings,
};
use mustardrill_types::{ByteSize, ChunkIndex, Millis, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CHUNKS: u32 = 24;

/// Duration of a fetch in the simulation.
const FETCH_MS: u64 = 10;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill(usize),
    /// The agent does not respond for a while.
    Stall(usize),
    /// Every chunk that the agent sends is corrupt from now on.
    Corrupt(usize),
    OriginStalls,
    /// The origin sends changed bytes for a while: every chunk fails its digest.
    OriginCorrupts,
}

struct Simulation {
    now: u64,
    plans: Vec<Option<TransferPlan>>,
    peers: Vec<TransferPeer>,
    pending_fetches: Vec<(u64, usize, ChunkFetch)>,
    stalled_until: BTreeMap<usize, u64>,
    corrupt: Vec<usize>,
    origin_stalled_until: u64,
    origin_corrupt_until: u64,
    origin_fetches: u32,
    /// Duration of a fetch from a peer.
    peer_fetch_ms: u64,
}

fn manifest() -> Manifest {
    let bytes: Vec<u8> = (0..CHUNKS * 4).map(|index| index as u8).collect();
    Manifest::describe("drafts".parse().unwrap(), "v1".parse().unwrap(), ByteSize(4), &bytes)
}

fn settings() -> TransferSettings {
    TransferSettings {
        stall_after: Millis(200),
        chunk_timeout: Millis(100),
        ..TransferSettings::default()
    }
}

impl Simulation {
    fn new(agents: usize, settings: &TransferSettings) -> Self {
        let manifest = Arc::new(manifest());
        let peers: Vec<_> = (0..agents)
            .map(|index| TransferPeer {
                id: format!("instance-{index}").parse().unwrap(),
                data_centre: format!("centre-{}", index % 2).parse().unwrap(),
            })
            .collect();
        let plans = peers.iter().enumerate().map(|(index, own)| {
            let mut plan = TransferPlan::new(
                Moment(1),
                own.clone(),
                manifest.clone(),
                settings.clone(),
                index as u64,
            );
            plan.set_peers(&peers);
            Some(plan)
        });
        Self {
            now: 1,
            plans: plans.collect(),
            pending_fetches: Vec::new(),
            stalled_until: BTreeMap::new(),
            corrupt: Vec::new(),
            origin_stalled_until: 0,
            origin_corrupt_until: 0,
            origin_fetches: 0,
            peer_fetch_ms: FETCH_MS,
            peers,
        }
    }

    fn inject(&mut self, fault: Fault) {
        const FAULT_MS: u64 = 400;
        match fault {
            Fault::Kill(agent) => {
                self.plans[agent] = None;
                let live_agents: Vec<_> =
                    self.live_agents().map(|index| self.peers[index].clone()).collect();
                self.plans.iter_mut().flatten().for_each(|plan| plan.set_peers(&live_agents));
            }
            Fault::Stall(agent) => {
                self.stalled_until.insert(agent, self.now + FAULT_MS);
            }
            Fault::Corrupt(agent) => self.corrupt.push(agent),
            Fault::OriginStalls => self.origin_stalled_until = self.now + FAULT_MS,
            Fault::OriginCorrupts => self.origin_corrupt_until = self.now + FAULT_MS,
        }
    }

    fn live_agents(&self) -> impl Iterator<Item = usize> {
        self.plans.iter().enumerate().filter(|(_, plan)| plan.is_some()).map(|(index, _)| index)
    }

    fn step(&mut self) {
        self.now += FETCH_MS;
        let due: Vec<_> =
            self.pending_fetches.iter().filter(|fetch| fetch.0 <= self.now).cloned().collect();
        self.pending_fetches.retain(|fetch| fetch.0 > self.now);
        for (_, agent, fetch) in due {
            self.finish_fetch(agent, &fetch);
        }
        let agents: Vec<_> = self.live_agents().collect();
        for agent in &agents {
            self.exchange(*agent);
            let now = Moment(self.now);
            let plan = self.plans[*agent].as_mut().unwrap();
            plan.expire_fetches(now);
            for fetch in plan.next_fetches(now) {
                let is_from_origin = fetch.source == ChunkSource::Origin;
                self.origin_fetches += u32::from(is_from_origin);
                let fetch_ms = if is_from_origin { FETCH_MS } else { self.peer_fetch_ms };
                self.pending_fetches.push((self.now + fetch_ms, *agent, fetch));
            }
        }
    }

    fn exchange(&mut self, agent: usize) {
        let now = Moment(self.now);
        let stale = self.plans[agent].as_ref().unwrap().partners().stale_partners(now, Millis(1));
        for id in stale {
            let index = self.peers.iter().position(|peer| peer.id == id).unwrap();
            let is_silent = self.stalled_until.get(&index).is_some_and(|until| *until > self.now);
            let held = self.plans[index].as_ref().map(|plan| plan.held().clone());
            if let (Some(held), false) = (held, is_silent) {
                self.plans[agent].as_mut().unwrap().record_holdings(now, &id, held, 0);
            }
        }
    }

    fn finish_fetch(&mut self, agent: usize, fetch: &ChunkFetch) {
        let outcome = match &fetch.source {
            ChunkSource::Origin if self.origin_stalled_until > self.now => return,
            ChunkSource::Origin if self.origin_corrupt_until > self.now => FetchOutcome::Corrupt,
            ChunkSource::Origin => FetchOutcome::Verified,
            ChunkSource::Peer(id) | ChunkSource::Relay(id) => {
                let index = self.peers.iter().position(|peer| peer.id == *id).unwrap();
                let is_silent =
                    self.stalled_until.get(&index).is_some_and(|until| *until > self.now);
                match &self.plans[index] {
                    None => return,
                    Some(_) if is_silent => return,
                    Some(_) if self.corrupt.contains(&index) => FetchOutcome::Corrupt,
                    Some(plan) if plan.held().contains(fetch.index) => FetchOutcome::Verified,
                    Some(_) => FetchOutcome::Missing,
                }
            }
        };
        let now = Moment(self.now);
        if let Some(plan) = self.plans[agent].as_mut() {
            let before = plan.held().count();
            plan.record_outcome(now, fetch.index, &fetch.source, &outcome);
            let is_kept = plan.held().count() > before;
            assert!(
                !is_kept || outcome == FetchOutcome::Verified,
                "a chunk was kept without verification"
            );
        }
    }

    /// Number of chunks that the agent holds and no other live agent does.
    fn unshared(&self, agent: usize) -> usize {
        let plan = |index: usize| self.plans[index].as_ref().unwrap();
        let is_shared = |index: &ChunkIndex| {
            self.live_agents().any(|other| other != agent && plan(other).held().contains(*index))
        };
        plan(agent).held().held().iter().filter(|index| !is_shared(index)).count()
    }

    fn is_complete(&self) -> bool {
        self.plans.iter().flatten().all(TransferPlan::is_complete)
    }
}

fn faults(agents: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        3 => (0..agents).prop_map(Fault::Kill),
        2 => (0..agents).prop_map(Fault::Stall),
        1 => (0..agents).prop_map(Fault::Corrupt),
        1 => Just(Fault::OriginStalls),
        1 => Just(Fault::OriginCorrupts),
    ];
    prop::collection::vec((0..40_u64, fault), 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(300), rng_seed: RngSeed::Fixed(2), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_surviving_instance_completes_the_copy(faults in faults(8)) {
        let mut simulation = Simulation::new(8, &settings());
        let mut corrupt = 0;
        for step in 0..1_500 {
            for (at, fault) in &faults {
                if *at != step {
                    continue;
                }
                // At least one agent that sends correct chunks stays alive; otherwise the copy
                // could not complete.
                let is_last = matches!(fault, Fault::Kill(_)) && simulation.live_agents().count() <= 3;
                let is_corrupt = matches!(fault, Fault::Corrupt(_));
                if !is_last && (!is_corrupt || corrupt < 1) {
                    corrupt += u32::from(is_corrupt);
                    simulation.inject(*fault);
                }
            }
            simulation.step();
            if simulation.is_complete() {
                break;
            }
        }
        prop_assert!(simulation.is_complete(), "not complete after {} ms", simulation.now);
    }
}

#[test]
fn the_origin_sends_one_copy() {
    for agents in [1, 2, 8, 16] {
        let mut simulation = Simulation::new(agents, &settings());
        while !simulation.is_complete() {
            simulation.step();
            assert!(simulation.now < 10_000, "{agents} agents never complete");
        }
        assert_eq!(simulation.origin_fetches, CHUNKS, "{agents} agents");
    }
}

#[test]
fn the_origin_sends_more_copies_if_configured() {
    let mut simulation = Simulation::new(8, &TransferSettings { origin_copies: 4, ..settings() });
    while !simulation.is_complete() {
        simulation.step();
    }
    assert!(simulation.origin_fetches > CHUNKS && simulation.origin_fetches <= 4 * CHUNKS);
}

#[test]
fn the_copy_completes_after_the_only_holder_dies() {
    let mut simulation = Simulation::new(4, &settings());
    while !simulation.plans.iter().flatten().any(|plan| plan.held().count() > 3) {
        simulation.step();
    }
    let held_count = |index: &usize| simulation.plans[*index].as_ref().unwrap().held().count();
    let holder = simulation.live_agents().max_by_key(held_count).unwrap();
    simulation.inject(Fault::Kill(holder));
    while !simulation.is_complete() {
        simulation.step();
        assert!(simulation.now < 20_000, "the surviving agents never complete");
    }
    assert!(simulation.origin_fetches <= CHUNKS * 2);
}

/// Kills the two seeders with the most chunks that no other agent holds, once the origin has sent
/// `kill_at` chunks; returns how many it sends in all.
fn sent_after_kills(agents: usize, peer_fetch_ms: u64, kill_at: u32) -> u32 {
    let mut simulation = Simulation::new(agents, &settings());
    simulation.peer_fetch_ms = peer_fetch_ms;
    while simulation.origin_fetches < kill_at {
        simulation.step();
    }
    for _ in 0..2 {
        let seeder = simulation.live_agents().max_by_key(|index| simulation.unshared(*index));
        simulation.inject(Fault::Kill(seeder.unwrap()));
    }
    while !simulation.is_complete() {
        simulation.step();
        assert!(simulation.now < 20_000, "the surviving agents never complete");
    }
    simulation.origin_fetches
}

/// The killed seeders had fetched chunks ahead of what they could pass on, as their peers were busy.
#[test]
fn the_origin_sends_more_than_a_quarter_again_after_two_busy_seeders_are_killed() {
    let mut simulation = Simulation::new(10, &settings());
    simulation.peer_fetch_ms = 8 * FETCH_MS;
    while simulation.origin_fetches < CHUNKS {
        simulation.step();
    }
    let is_seeder = |index: &usize| {
        simulation.plans[*index].as_ref().is_some_and(|plan| plan.counts().origin_bytes > 0)
    };
    let seeders: Vec<_> = simulation.live_agents().filter(is_seeder).collect();
    assert_eq!(seeders.len(), settings().max_seeders);
    seeders.into_iter().take(2).for_each(|seeder| simulation.inject(Fault::Kill(seeder)));
    while !simulation.is_complete() {
        simulation.step();
        assert!(simulation.now < 20_000, "the surviving agents never complete");
    }
    let sent = simulation.origin_fetches;
    assert!(sent <= CHUNKS * 5 / 4, "the origin sent {sent} chunks of {CHUNKS}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(100), rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_origin_sends_at_most_a_quarter_again_after_any_two_are_killed(agents in 6..20_usize, peer_chunks in 1..9_u64, kill_at in 1..=CHUNKS) {
        let sent = sent_after_kills(agents, peer_chunks * FETCH_MS, kill_at);
        prop_assert!(sent <= CHUNKS * 5 / 4, "the origin sent {sent} chunks of {CHUNKS}");
    }
}

#[test]
fn a_sender_of_corrupt_chunks_is_ejected() {
    let manifest = Arc::new(manifest());
    let peer = |name: &str| TransferPeer {
        id: name.parse().unwrap(),
        data_centre: "centre".parse().unwrap(),
    };
    let (own, corrupt_peer) = (peer("own"), peer("bad"));
    let settings = TransferSettings { max_seeders: 1, ..settings() };
    let mut plan = TransferPlan::new(Moment(1), own.clone(), manifest, settings, 1);
    plan.set_peers(&[own, corrupt_peer.clone()]);
    plan.record_holdings(Moment(1), &corrupt_peer.id, ChunkBitmap::full(CHUNKS), 0);
    let source = ChunkSource::Peer(corrupt_peer.id.clone());
    let mut corrupt = 0;
    for now in 2..200 {
        for fetch in plan.next_fetches(Moment(now)) {
            if fetch.source == source {
                corrupt += 1;
                plan.record_outcome(Moment(now), fetch.index, &source, &FetchOutcome::Corrupt);
            }
        }
    }
    assert!(corrupt <= 3, "{corrupt} corrupt chunks were fetched from one peer");
    assert_eq!(plan.held().count(), 0);
}

#[test]
fn a_manifest_that_is_not_the_pinned_one_is_rejected() {
    let manifest = manifest();
    let bytes = manifest.encode();
    assert_eq!(Manifest::decode_verified(&bytes, manifest.digest()).as_ref(), Ok(&manifest));
    // A whole manifest of other weights is malformed in no way.
    let foreign =
        Manifest { chunks: manifest.chunks.iter().rev().copied().collect(), ..manifest.clone() };
    let rejected = Manifest::decode_verified(&foreign.encode(), manifest.digest());
    let expected =
        ManifestError::WrongDigest { pinned: manifest.digest(), found: foreign.digest() };
    assert_eq!(rejected, Err(expected));
    let mut other = bytes.clone();
    let index = other.len() / 2;
    other[index] ^= 1;
    let error = Manifest::decode_verified(&other, manifest.digest()).unwrap_err();
    assert!(matches!(error, ManifestError::WrongDigest { .. }), "{error}");
    let short = Manifest { chunks: manifest.chunks[1..].to_vec(), ..manifest.clone() };
    let error = Manifest::decode_verified(&short.encode(), short.digest()).unwrap_err();
    assert!(matches!(error, ManifestError::Malformed { .. }), "{error}");
    assert!(manifest.verifies(ChunkIndex(0), &[0, 1, 2, 3]));
    assert!(!manifest.verifies(ChunkIndex(0), &[0, 1, 2, 4]));
    assert!(!manifest.verifies(ChunkIndex(CHUNKS), &[]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_decoded_bitmap_equals_the_encoded_one(held in prop::collection::btree_set(0..300_u32, 0..300), total in 1..300_u32) {
        let mut bitmap = ChunkBitmap::empty(total);
        held.iter().for_each(|index| { bitmap.insert(ChunkIndex(*index)); });
        let read = ChunkBitmap::from_bytes(&bitmap.to_bytes(), total);
        prop_assert_eq!(&read, &bitmap);
        let within = held.iter().filter(|index| **index < total).count();
        prop_assert_eq!((read.held().len(), read.count() as usize), (within, within));
    }
}
