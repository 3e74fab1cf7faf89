//! Transfers under failure: deaths, stalls, corruption, leavers, and the only holder gone.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::cases;
use mustardrill_core::manifest::{ChunkBitmap, Manifest, ManifestError};
use mustardrill_core::transfer::{
    ChunkDraw, ChunkSource, DrawOutcome, TransferPeer, TransferPlan, TransferSettings,
};
use mustardrill_types::{ByteSize, ChunkIndex, Millis, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CHUNKS: u32 = 24;

/// How long a draw takes here.
const DRAW_MS: u64 = 10;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill(usize),
    /// The agent answers nothing for a while.
    Stall(usize),
    /// Every chunk that the agent sends is corrupt from now on.
    Corrupt(usize),
    OriginStalls,
    /// The origin's bytes change for a while: every chunk fails its digest.
    OriginCorrupts,
}

struct World {
    now: u64,
    plans: Vec<Option<TransferPlan>>,
    peers: Vec<TransferPeer>,
    flights: Vec<(u64, usize, ChunkDraw)>,
    stalled_until: BTreeMap<usize, u64>,
    corrupt: Vec<usize>,
    origin_stalled_until: u64,
    origin_corrupt_until: u64,
    origin_draws: u32,
}

fn manifest() -> Manifest {
    let bytes: Vec<u8> = (0..CHUNKS * 4).map(|place| place as u8).collect();
    Manifest::describe("drafts".parse().unwrap(), "v1".parse().unwrap(), ByteSize(4), &bytes)
}

fn settings() -> TransferSettings {
    TransferSettings {
        stall_after: Millis(200),
        chunk_patience: Millis(100),
        ..TransferSettings::default()
    }
}

impl World {
    fn new(agents: usize, settings: &TransferSettings) -> Self {
        let manifest = Arc::new(manifest());
        let peers: Vec<_> = (0..agents)
            .map(|place| TransferPeer {
                id: format!("instance-{place}").parse().unwrap(),
                data_centre: format!("centre-{}", place % 2).parse().unwrap(),
            })
            .collect();
        let plans = peers.iter().enumerate().map(|(place, own)| {
            let mut plan = TransferPlan::new(
                Moment(1),
                own.clone(),
                manifest.clone(),
                settings.clone(),
                place as u64,
            );
            plan.set_peers(&peers);
            Some(plan)
        });
        Self {
            now: 1,
            plans: plans.collect(),
            flights: Vec::new(),
            stalled_until: BTreeMap::new(),
            corrupt: Vec::new(),
            origin_stalled_until: 0,
            origin_corrupt_until: 0,
            origin_draws: 0,
            peers,
        }
    }

    fn strike(&mut self, fault: Fault) {
        const SPELL: u64 = 400;
        match fault {
            Fault::Kill(agent) => {
                self.plans[agent] = None;
                let alive: Vec<_> = self.alive().map(|place| self.peers[place].clone()).collect();
                self.plans.iter_mut().flatten().for_each(|plan| plan.set_peers(&alive));
            }
            Fault::Stall(agent) => {
                self.stalled_until.insert(agent, self.now + SPELL);
            }
            Fault::Corrupt(agent) => self.corrupt.push(agent),
            Fault::OriginStalls => self.origin_stalled_until = self.now + SPELL,
            Fault::OriginCorrupts => self.origin_corrupt_until = self.now + SPELL,
        }
    }

    fn alive(&self) -> impl Iterator<Item = usize> {
        self.plans.iter().enumerate().filter(|(_, plan)| plan.is_some()).map(|(place, _)| place)
    }

    fn step(&mut self) {
        self.now += DRAW_MS;
        let due: Vec<_> =
            self.flights.iter().filter(|flight| flight.0 <= self.now).cloned().collect();
        self.flights.retain(|flight| flight.0 > self.now);
        for (_, agent, draw) in due {
            self.land(agent, &draw);
        }
        let agents: Vec<_> = self.alive().collect();
        for agent in &agents {
            self.exchange(*agent);
            let now = Moment(self.now);
            let plan = self.plans[*agent].as_mut().unwrap();
            plan.overdue(now);
            for draw in plan.next_draws(now) {
                self.origin_draws += u32::from(draw.source == ChunkSource::Origin);
                self.flights.push((self.now + DRAW_MS, *agent, draw));
            }
        }
    }

    fn exchange(&mut self, agent: usize) {
        let now = Moment(self.now);
        let stale = self.plans[agent].as_ref().unwrap().partners().stale_partners(now, Millis(1));
        for id in stale {
            let place = self.peers.iter().position(|peer| peer.id == id).unwrap();
            let is_silent = self.stalled_until.get(&place).is_some_and(|until| *until > self.now);
            let held = self.plans[place].as_ref().map(|plan| plan.held().clone());
            if let (Some(held), false) = (held, is_silent) {
                self.plans[agent].as_mut().unwrap().heard(now, &id, held, 0);
            }
        }
    }

    fn land(&mut self, agent: usize, draw: &ChunkDraw) {
        let outcome = match &draw.source {
            ChunkSource::Origin if self.origin_stalled_until > self.now => return,
            ChunkSource::Origin if self.origin_corrupt_until > self.now => DrawOutcome::Corrupt,
            ChunkSource::Origin => DrawOutcome::Verified,
            ChunkSource::Peer(id) | ChunkSource::Relay(id) => {
                let place = self.peers.iter().position(|peer| peer.id == *id).unwrap();
                let is_silent =
                    self.stalled_until.get(&place).is_some_and(|until| *until > self.now);
                match &self.plans[place] {
                    None => return,
                    Some(_) if is_silent => return,
                    Some(_) if self.corrupt.contains(&place) => DrawOutcome::Corrupt,
                    Some(plan) if plan.held().contains(draw.index) => DrawOutcome::Verified,
                    Some(_) => DrawOutcome::Missing,
                }
            }
        };
        let now = Moment(self.now);
        if let Some(plan) = self.plans[agent].as_mut() {
            let before = plan.held().count();
            plan.finished(now, draw.index, &draw.source, &outcome);
            let grew = plan.held().count() > before;
            assert!(
                !grew || outcome == DrawOutcome::Verified,
                "kept a chunk that was not verified"
            );
        }
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
    fn whoever_lives_gets_all_of_it(faults in faults(8)) {
        let mut world = World::new(8, &settings());
        let mut corrupt = 0;
        for step in 0..1_500 {
            for (at, fault) in &faults {
                if *at != step {
                    continue;
                }
                // Somebody honest stays, or there would be nothing to prove.
                let is_last = matches!(fault, Fault::Kill(_)) && world.alive().count() <= 3;
                let is_corrupt = matches!(fault, Fault::Corrupt(_));
                if !is_last && (!is_corrupt || corrupt < 1) {
                    corrupt += u32::from(is_corrupt);
                    world.strike(*fault);
                }
            }
            world.step();
            if world.is_complete() {
                break;
            }
        }
        prop_assert!(world.is_complete(), "not complete after {} ms", world.now);
    }
}

#[test]
fn one_copy_comes_from_the_origin() {
    for agents in [1, 2, 8, 16] {
        let mut world = World::new(agents, &settings());
        while !world.is_complete() {
            world.step();
            assert!(world.now < 10_000, "{agents} agents never complete");
        }
        assert_eq!(world.origin_draws, CHUNKS, "{agents} agents");
    }
}

#[test]
fn more_copies_are_drawn_where_the_setting_says_so() {
    let mut world = World::new(8, &TransferSettings { origin_copies: 4, ..settings() });
    while !world.is_complete() {
        world.step();
    }
    assert!(world.origin_draws > CHUNKS && world.origin_draws <= 4 * CHUNKS);
}

#[test]
fn the_only_holder_may_die() {
    let mut world = World::new(4, &settings());
    while !world.plans.iter().flatten().any(|plan| plan.held().count() > 3) {
        world.step();
    }
    let most = |place: &usize| world.plans[*place].as_ref().unwrap().held().count();
    let holder = world.alive().max_by_key(most).unwrap();
    world.strike(Fault::Kill(holder));
    while !world.is_complete() {
        world.step();
        assert!(world.now < 20_000, "the others never complete");
    }
    assert!(world.origin_draws <= CHUNKS * 2);
}

#[test]
fn a_sender_of_corrupt_chunks_is_avoided() {
    let manifest = Arc::new(manifest());
    let peer = |name: &str| TransferPeer {
        id: name.parse().unwrap(),
        data_centre: "centre".parse().unwrap(),
    };
    let (own, bad) = (peer("own"), peer("bad"));
    let settings = TransferSettings { drawers: 1, ..settings() };
    let mut plan = TransferPlan::new(Moment(1), own.clone(), manifest, settings, 1);
    plan.set_peers(&[own, bad.clone()]);
    plan.heard(Moment(1), &bad.id, ChunkBitmap::full(CHUNKS), 0);
    let source = ChunkSource::Peer(bad.id.clone());
    let mut corrupt = 0;
    for now in 2..200 {
        for draw in plan.next_draws(Moment(now)) {
            if draw.source == source {
                corrupt += 1;
                plan.finished(Moment(now), draw.index, &source, &DrawOutcome::Corrupt);
            }
        }
    }
    assert!(corrupt <= 3, "{corrupt} corrupt chunks were drawn from one peer");
    assert_eq!(plan.held().count(), 0);
}

#[test]
fn a_manifest_that_is_not_the_pinned_one_is_refused() {
    let manifest = manifest();
    let bytes = manifest.encode();
    assert_eq!(Manifest::decode_verified(&bytes, manifest.digest()).as_ref(), Ok(&manifest));
    let mut other = bytes.clone();
    let place = other.len() / 2;
    other[place] ^= 1;
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
    fn bitmaps_survive_a_message(held in prop::collection::btree_set(0..300_u32, 0..300), total in 1..300_u32) {
        let mut bitmap = ChunkBitmap::empty(total);
        held.iter().for_each(|index| { bitmap.insert(ChunkIndex(*index)); });
        let read = ChunkBitmap::from_bytes(&bitmap.to_bytes(), total);
        prop_assert_eq!(&read, &bitmap);
        let within = held.iter().filter(|index| **index < total).count();
        prop_assert_eq!((read.held().len(), read.count() as usize), (within, within));
    }
}
