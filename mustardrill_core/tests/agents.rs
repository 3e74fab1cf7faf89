//! The agent's reducer: when an upstream may be ordered to load, and which requests it may run.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{cases, facts, model_text, request};
use mustardrill_core::admission::AdmissionSettings;
use mustardrill_core::agent::{
    AgentEffect, AgentEvent, AgentReducer, AgentSettings, EngineReport, LoadOrder,
};
use mustardrill_core::catalogue::parse_drafts;
use mustardrill_core::claim::ClaimSettings;
use mustardrill_core::document::{CatalogueDocument, RequestClass};
use mustardrill_core::edit::{PublishedVersion, apply_edit};
use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::membership::{InstanceRecord, MemberSettings};
use mustardrill_core::ownership::{LeaseId, OwnerAnswer, OwnerSettings};
use mustardrill_core::refusal::AttemptRefusal;
use mustardrill_core::transfer::{ChunkSource, DrawOutcome, TransferPeer, TransferSettings};
use mustardrill_types::{
    AttemptId, ByteSize, FencingNumber, Generation, ManifestDigest, Millis, Moment, ResultCode,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const AGENTS: usize = 8;

fn manifest(version: &str) -> Arc<Manifest> {
    let bytes: Vec<u8> = version.bytes().cycle().take(64).collect();
    Arc::new(Manifest::describe(
        "drafts".parse().unwrap(),
        version.parse().unwrap(),
        ByteSize(4),
        &bytes,
    ))
}

/// The catalogue after each of the versions was accepted in turn.
fn catalogue(versions: &[&str]) -> CatalogueDocument {
    let mut facts = facts();
    facts.instances.insert("mustard-pool".parse().unwrap(), AGENTS as u32);
    for version in ["v1", "v2", "v3"] {
        let manifest = manifest(version);
        let fact = PublishedVersion { manifest: manifest.digest(), size: manifest.size };
        facts.versions.insert((manifest.model.clone(), manifest.version.clone()), fact);
    }
    let mut document = CatalogueDocument::default();
    for (place, version) in versions.iter().enumerate() {
        let text = model_text().replace("version = v1", &format!("version = {version}"));
        let text = text.replace("replicas = 4", "replicas = 8");
        let revision = format!("[model drafts]\nrevision = {place}");
        let text = if place > 0 { text.replace("[model drafts]", &revision) } else { text };
        let edit = request(place as u128 + 1, "ana", parse_drafts("edit.ini", &text).unwrap());
        document = apply_edit(&document, &edit, &facts).unwrap();
    }
    document
}

fn record(place: usize) -> InstanceRecord {
    InstanceRecord {
        id: format!("instance-{place}").parse().unwrap(),
        service: "mustard-pool".parse().unwrap(),
        data_centre: "gc-hall-a".parse().unwrap(),
        region: "guate-central".parse().unwrap(),
        agent: format!("127.0.0.1:{place}").into(),
        leaving: false,
    }
}

fn settings(place: usize) -> AgentSettings {
    let record = record(place);
    AgentSettings {
        own: TransferPeer { id: record.id, data_centre: record.data_centre },
        service: record.service,
        region: record.region,
        transfer: TransferSettings { stall_after: Millis(200), ..TransferSettings::default() },
        copy_per_region: false,
        admission: AdmissionSettings { capacity: 1, queue: 8, turns: 2, ..Default::default() },
        claim: ClaimSettings::default(),
        owner: OwnerSettings::default(),
        members: MemberSettings::default(),
        staging_limit: ByteSize(1_000),
        floor_percent: 75,
        exchange_every: Millis(10),
        wave_patience: Millis(60_000),
        retry_every: Millis(20),
        is_engine: true,
    }
}

/// One agent with the engine beside it.
struct Side {
    reducer: AgentReducer,
    staged: BTreeMap<ManifestDigest, u32>,
    serving: Option<ManifestDigest>,
    loading: Option<(u64, LoadOrder)>,
}

/// A small fleet, where every call is answered a little later.
struct World {
    now: u64,
    sides: Vec<Side>,
    due: Vec<(u64, usize, AgentEvent)>,
    most_loading: usize,
    /// When an agent with a whole copy last asked whether its turn has come.
    asked: BTreeMap<usize, u64>,
    /// How often an agent that has switched told the one that waits for it.
    told: usize,
    /// The origin sends corrupt chunks until then.
    corrupt_until: u64,
}

impl World {
    fn new() -> Self {
        let sides = (0..AGENTS).map(|place| Side {
            reducer: AgentReducer::new(Moment(1), settings(place), place as u64),
            staged: BTreeMap::new(),
            serving: None,
            loading: None,
        });
        let mut world = Self {
            now: 1,
            sides: sides.collect(),
            due: Vec::new(),
            most_loading: 0,
            asked: BTreeMap::new(),
            told: 0,
            corrupt_until: 0,
        };
        let list: Vec<_> = (0..AGENTS).map(record).collect();
        for place in 0..AGENTS {
            world.act(place, AgentEvent::InstancesSeen(list.clone()));
        }
        world
    }

    fn publish(&mut self, document: CatalogueDocument) {
        let document = Arc::new(document);
        for place in 0..AGENTS {
            self.act(place, AgentEvent::CatalogueSeen(document.clone()));
        }
    }

    fn act(&mut self, place: usize, event: AgentEvent) {
        if let AgentEvent::DrawFinished { digest, outcome: DrawOutcome::Verified, .. } = &event {
            *self.sides[place].staged.entry(*digest).or_default() += 1;
        }
        let effects = self.sides[place].reducer.reduce(Moment(self.now), event);
        for effect in effects {
            self.carry_out(place, effect);
        }
    }

    fn later(&mut self, place: usize, event: AgentEvent) {
        self.due.push((self.now + 5, place, event));
    }

    fn carry_out(&mut self, place: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::FetchManifest { version, digest, .. } => {
                self.later(place, AgentEvent::ManifestLoaded(manifest(version.as_str()), digest));
            }
            AgentEffect::DrawChunk(digest, draw) => {
                let is_corrupt =
                    draw.source == ChunkSource::Origin && self.now < self.corrupt_until;
                let outcome = if is_corrupt { DrawOutcome::Corrupt } else { DrawOutcome::Verified };
                let (index, source) = (draw.index, draw.source);
                self.later(place, AgentEvent::DrawFinished { digest, index, source, outcome });
            }
            AgentEffect::Exchange(digest, id) => {
                let other = (0..AGENTS).find(|other| record(*other).id == id).unwrap();
                let held = self.sides[other].reducer.held(digest).cloned();
                let total = manifest("v1").chunk_count();
                self.note_turns(place, other, digest);
                let bitmap = held.unwrap_or(ChunkBitmap::empty(total));
                let serving = Some(self.sides[other].reducer.serving().contains(&digest));
                self.later(
                    place,
                    AgentEvent::HoldingSeen { digest, id, bitmap, queue: 0, serving },
                );
            }
            AgentEffect::OrderLoad(order) => self.order(place, order),
            AgentEffect::ReadEngine => {
                let serving = self.sides[place].serving.into_iter().collect();
                self.later(place, AgentEvent::EngineSeen(Some(EngineReport { serving })));
            }
            AgentEffect::CallOwner(_) => {
                let (lease, fence) = (LeaseId(1), FencingNumber(1));
                let answer = OwnerAnswer::Acquired { lease, fence };
                self.later(place, AgentEvent::OwnerAnswered(answer));
            }
            AgentEffect::DropWeights(digest) => {
                self.sides[place].staged.remove(&digest);
            }
            AgentEffect::Wake(_)
            | AgentEffect::CancelDraw(..)
            | AgentEffect::Claim(_)
            | AgentEffect::Dispatch(_)
            | AgentEffect::Refuse(..) => {}
        }
    }

    /// Whoever has switched tells the next one; whoever waits asks, but not at every tick.
    fn note_turns(&mut self, place: usize, other: usize, digest: ManifestDigest) {
        let total = manifest("v1").chunk_count();
        let bitmap = ChunkBitmap::full(total);
        if self.sides[place].reducer.serving().contains(&digest) {
            self.told += 1;
            let (id, serving) = (record(place).id, Some(true));
            self.later(other, AgentEvent::HoldingSeen { digest, id, bitmap, queue: 0, serving });
        } else if self.sides[place].staged.get(&digest) >= Some(&total) {
            let before = self.asked.insert(place, self.now).unwrap_or(0);
            assert!(self.now - before >= 20, "it asks at every tick");
        }
    }

    /// Loads take a while, during which the engine counts as taken away.
    fn order(&mut self, place: usize, order: LoadOrder) {
        let total = manifest(order.version.as_str()).chunk_count();
        let staged = self.sides[place].staged.get(&order.digest).copied().unwrap_or(0);
        assert!(staged >= total, "an order for {staged} of {total} verified chunks");
        assert!(self.sides[place].loading.is_none(), "two orders at once");
        if self.sides[place].serving.is_some() {
            let loading = self.sides.iter().filter(|side| side.loading.is_some()).count() + 1;
            self.most_loading = self.most_loading.max(loading);
        }
        self.sides[place].loading = Some((self.now + 50, order));
    }

    fn step(&mut self) {
        self.now += 5;
        for place in 0..AGENTS {
            let is_loaded =
                self.sides[place].loading.as_ref().is_some_and(|(at, _)| *at <= self.now);
            if let (true, Some((_, order))) = (is_loaded, self.sides[place].loading.clone()) {
                self.sides[place].loading = None;
                self.sides[place].serving = Some(order.digest);
                self.act(place, AgentEvent::LoadAnswered(order.digest, Ok(())));
            }
            self.act(place, AgentEvent::Tick);
        }
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _, _)| *at <= now);
        self.due = rest;
        let due: Vec<(u64, usize, AgentEvent)> = due;
        for (_, place, event) in due {
            self.act(place, event);
        }
    }

    fn run_until_serving(&mut self, version: &str) {
        let digest = manifest(version).digest();
        let limit = self.now + 60_000;
        while !self.sides.iter().all(|side| side.serving == Some(digest)) {
            self.step();
            assert!(self.now < limit, "{version} is never served everywhere");
        }
    }
}

#[test]
fn a_switch_goes_in_waves_above_the_floor() {
    let mut world = World::new();
    world.publish(catalogue(&["v1"]));
    world.run_until_serving("v1");
    world.publish(catalogue(&["v1", "v2"]));
    world.told = 0;
    world.run_until_serving("v2");
    assert_eq!(world.told, AGENTS - 2, "each tells the one a wave behind");
    assert_eq!(world.most_loading, 2, "a quarter of eight may load at once");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(60), rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::default() })]

    /// `order` asserts at each order that every chunk was verified before.
    #[test]
    fn only_whole_copies_are_ordered(second in 1..60_u32, third in 1..60_u32, corrupt in 0..200_u64) {
        let mut world = World::new();
        world.publish(catalogue(&["v1"]));
        world.corrupt_until = corrupt;
        (0..second).for_each(|_| world.step());
        world.publish(catalogue(&["v1", "v2"]));
        (0..third).for_each(|_| world.step());
        world.publish(catalogue(&["v1", "v2", "v3"]));
        world.run_until_serving("v3");
    }
}

/// An agent whose engine serves `version`.
fn serving(version: &str) -> AgentReducer {
    let mut reducer = AgentReducer::new(Moment(1), settings(0), 1);
    let serving = vec![manifest(version).digest()];
    reducer.reduce(Moment(1), AgentEvent::EngineSeen(Some(EngineReport { serving })));
    reducer
}

/// The attempt that a single effect refuses, with the code.
fn refused_code(effects: &[AgentEffect]) -> Option<(AttemptId, ResultCode)> {
    let [AgentEffect::Refuse(attempt, refusal)] = effects else { return None };
    Some((*attempt, refusal.code))
}

fn arrive(reducer: &mut AgentReducer, attempt: u128, version: &str) -> Vec<AgentEffect> {
    let pinned = Some(manifest(version).digest());
    let (attempt, deadline) = (AttemptId(attempt), Moment(60_000));
    let class = RequestClass::Standard;
    reducer.reduce(Moment(10), AgentEvent::RequestArrived { attempt, class, pinned, deadline })
}

#[test]
fn a_request_is_not_run_under_other_weights_than_its_own() {
    let mut agent = serving("v1");
    assert_eq!(arrive(&mut agent, 1, "v1"), [AgentEffect::Dispatch(AttemptId(1))]);
    assert_eq!(arrive(&mut agent, 2, "v1"), [], "it waits");
    let refused = arrive(&mut agent, 3, "v2");
    let other = AttemptRefusal::other_weights(Millis(100), vec![manifest("v1").digest()]);
    assert_eq!(refused, [AgentEffect::Refuse(AttemptId(3), other)]);
    let serving = vec![manifest("v2").digest()];
    agent.reduce(Moment(20), AgentEvent::EngineSeen(Some(EngineReport { serving })));
    let effects = agent.reduce(Moment(30), AgentEvent::RequestFinished(AttemptId(1)));
    let other = AttemptRefusal::other_weights(Millis(1), vec![manifest("v2").digest()]);
    assert!(effects.contains(&AgentEffect::Refuse(AttemptId(2), other)), "{effects:?}");
    assert!(!effects.contains(&AgentEffect::Dispatch(AttemptId(2))), "{effects:?}");
}

#[test]
fn an_attempt_that_comes_twice_is_run_once() {
    let mut agent = serving("v1");
    arrive(&mut agent, 1, "v1");
    agent.reduce(Moment(20), AgentEvent::RequestFinished(AttemptId(1)));
    let again = arrive(&mut agent, 1, "v1");
    assert_eq!(refused_code(&again), Some((AttemptId(1), ResultCode::AlreadyClaimed)));
}

#[test]
fn a_leaving_agent_refuses_what_waits_and_what_comes() {
    let mut agent = serving("v1");
    arrive(&mut agent, 1, "v1");
    arrive(&mut agent, 2, "v1");
    let effects = agent.reduce(Moment(20), AgentEvent::Stop);
    assert_eq!(refused_code(&effects), Some((AttemptId(2), ResultCode::Leaving)));
    let refused = arrive(&mut agent, 3, "v1");
    assert_eq!(refused_code(&refused), Some((AttemptId(3), ResultCode::Leaving)));
    assert!(!agent.is_drained(), "the first one still runs");
    agent.reduce(Moment(30), AgentEvent::RequestFinished(AttemptId(1)));
    assert!(agent.is_drained());
}

#[test]
fn no_lower_generation_is_applied() {
    let mut agent = serving("v1");
    let newer = Arc::new(catalogue(&["v1", "v2"]));
    agent.reduce(Moment(2), AgentEvent::CatalogueSeen(newer));
    assert_eq!(agent.generation(), Generation(2));
    let older = Arc::new(catalogue(&["v1"]));
    agent.reduce(Moment(3), AgentEvent::CatalogueSeen(older));
    assert_eq!(agent.generation(), Generation(2));
    let mut broken = catalogue(&["v1", "v2", "v3"]);
    broken.entries.values_mut().for_each(|entry| entry.limits.in_flight = 0);
    agent.reduce(Moment(4), AgentEvent::CatalogueSeen(Arc::new(broken)));
    assert_eq!(agent.generation(), Generation(2), "a broken document is not applied");
}
