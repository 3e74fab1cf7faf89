//! Tests of the agent's reducer: when an upstream may be ordered to load, and which requests may
//! run.

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
use mustardrill_core::transfer::{ChunkSource, FetchOutcome, TransferPeer, TransferSettings};
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

/// The catalogue after an edit for each of the versions was accepted.
fn catalogue(versions: &[&str]) -> CatalogueDocument {
    let mut facts = facts();
    facts.instances.insert("mustard-pool".parse().unwrap(), AGENTS as u32);
    for version in ["v1", "v2", "v3"] {
        let manifest = manifest(version);
        let fact = PublishedVersion { manifest: manifest.digest(), size: manifest.size };
        facts.versions.insert((manifest.model.clone(), manifest.version.clone()), fact);
    }
    let mut document = CatalogueDocument::default();
    for (edit_index, version) in versions.iter().enumerate() {
        let text = model_text().replace("version = v1", &format!("version = {version}"));
        let text = text.replace("replicas = 4", "replicas = 8");
        let revision = format!("[model drafts]\nrevision = {edit_index}");
        let text = if edit_index > 0 { text.replace("[model drafts]", &revision) } else { text };
        let edit = request(edit_index as u128 + 1, "ana", parse_drafts("edit.ini", &text).unwrap());
        document = apply_edit(&document, &edit, &facts).unwrap();
    }
    document
}

fn record(agent_index: usize) -> InstanceRecord {
    InstanceRecord {
        id: format!("instance-{agent_index}").parse().unwrap(),
        service: "mustard-pool".parse().unwrap(),
        data_centre: "gc-hall-a".parse().unwrap(),
        region: "guate-central".parse().unwrap(),
        agent: format!("127.0.0.1:{agent_index}").into(),
        leaving: false,
    }
}

fn settings(agent_index: usize) -> AgentSettings {
    let record = record(agent_index);
    AgentSettings {
        own: TransferPeer { id: record.id, data_centre: record.data_centre },
        service: record.service,
        region: record.region,
        transfer: TransferSettings { stall_after: Millis(200), ..TransferSettings::default() },
        copy_per_region: false,
        admission: AdmissionSettings {
            capacity: 1,
            queue: 8,
            max_starts_ahead: 2,
            ..Default::default()
        },
        claim: ClaimSettings::default(),
        owner: OwnerSettings::default(),
        members: MemberSettings::default(),
        staging_limit: ByteSize(1_000),
        floor_percent: 75,
        exchange_every: Millis(10),
        wave_timeout: Millis(60_000),
        retry_every: Millis(20),
        is_engine: true,
    }
}

/// An agent with its simulated engine.
struct AgentWithEngine {
    reducer: AgentReducer,
    staged: BTreeMap<ManifestDigest, u32>,
    serving: Option<ManifestDigest>,
    loading: Option<(u64, LoadOrder)>,
}

/// A simulated fleet in which every call is answered after 5 ms.
struct Simulation {
    now: u64,
    agents: Vec<AgentWithEngine>,
    due: Vec<(u64, usize, AgentEvent)>,
    max_loading: usize,
    /// When an agent with a complete copy last asked the one before it in the wave order.
    last_queries: BTreeMap<usize, u64>,
    /// Number of notices from agents that have switched to the one that waits for them.
    notices_to_successors: usize,
    /// Time until which the origin sends corrupt chunks.
    corrupt_until: u64,
}

impl Simulation {
    fn new() -> Self {
        let agents = (0..AGENTS).map(|agent_index| AgentWithEngine {
            reducer: AgentReducer::new(Moment(1), settings(agent_index), agent_index as u64),
            staged: BTreeMap::new(),
            serving: None,
            loading: None,
        });
        let mut simulation = Self {
            now: 1,
            agents: agents.collect(),
            due: Vec::new(),
            max_loading: 0,
            last_queries: BTreeMap::new(),
            notices_to_successors: 0,
            corrupt_until: 0,
        };
        let list: Vec<_> = (0..AGENTS).map(record).collect();
        for agent_index in 0..AGENTS {
            simulation.dispatch(agent_index, AgentEvent::InstancesRead(list.clone()));
        }
        simulation
    }

    fn apply_catalogue(&mut self, document: CatalogueDocument) {
        let document = Arc::new(document);
        for agent_index in 0..AGENTS {
            self.dispatch(agent_index, AgentEvent::CatalogueReceived(document.clone()));
        }
    }

    fn dispatch(&mut self, agent_index: usize, event: AgentEvent) {
        if let AgentEvent::FetchEnded { digest, outcome: FetchOutcome::Verified, .. } = &event {
            *self.agents[agent_index].staged.entry(*digest).or_default() += 1;
        }
        let effects = self.agents[agent_index].reducer.reduce(Moment(self.now), event);
        for effect in effects {
            self.carry_out(agent_index, effect);
        }
    }

    fn schedule(&mut self, agent_index: usize, event: AgentEvent) {
        self.due.push((self.now + 5, agent_index, event));
    }

    fn carry_out(&mut self, agent_index: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::FetchManifest { version, digest, .. } => {
                self.schedule(
                    agent_index,
                    AgentEvent::ManifestLoaded(manifest(version.as_str()), digest),
                );
            }
            AgentEffect::FetchChunk(digest, fetch) => {
                let is_corrupt =
                    fetch.source == ChunkSource::Origin && self.now < self.corrupt_until;
                let outcome =
                    if is_corrupt { FetchOutcome::Corrupt } else { FetchOutcome::Verified };
                let (index, source) = (fetch.index, fetch.source);
                self.schedule(
                    agent_index,
                    AgentEvent::FetchEnded { digest, index, source, outcome },
                );
            }
            AgentEffect::Exchange(digest, id) => {
                let other = (0..AGENTS).find(|other| record(*other).id == id).unwrap();
                let held = self.agents[other].reducer.held(digest).cloned();
                let total = manifest("v1").chunk_count();
                self.record_wave_message(agent_index, other, digest);
                let bitmap = held.unwrap_or(ChunkBitmap::empty(total));
                let serving = Some(self.agents[other].reducer.serving().contains(&digest));
                self.schedule(
                    agent_index,
                    AgentEvent::HoldingsReceived { digest, id, bitmap, queue: 0, serving },
                );
            }
            AgentEffect::OrderLoad(order) => self.start_load(agent_index, order),
            AgentEffect::ReadEngine => {
                let serving = self.agents[agent_index].serving.into_iter().collect();
                self.schedule(
                    agent_index,
                    AgentEvent::EnginePolled(Some(EngineReport { serving })),
                );
            }
            AgentEffect::CallOwner(_) => {
                let (lease, fence) = (LeaseId(1), FencingNumber(1));
                let answer = OwnerAnswer::Acquired { lease, fence };
                self.schedule(agent_index, AgentEvent::OwnerAnswered(answer));
            }
            AgentEffect::DropWeights(digest) => {
                self.agents[agent_index].staged.remove(&digest);
            }
            AgentEffect::Wake(_)
            | AgentEffect::CancelFetch(..)
            | AgentEffect::Claim(_)
            | AgentEffect::Dispatch(_)
            | AgentEffect::Refuse(..) => {}
        }
    }

    /// An agent that has switched notifies the next one; one that waits queries the one before it,
    /// but not at every tick.
    fn record_wave_message(&mut self, agent_index: usize, other: usize, digest: ManifestDigest) {
        let total = manifest("v1").chunk_count();
        let bitmap = ChunkBitmap::full(total);
        if self.agents[agent_index].reducer.serving().contains(&digest) {
            self.notices_to_successors += 1;
            let (id, serving) = (record(agent_index).id, Some(true));
            self.schedule(
                other,
                AgentEvent::HoldingsReceived { digest, id, bitmap, queue: 0, serving },
            );
        } else if self.agents[agent_index].staged.get(&digest) >= Some(&total) {
            let before = self.last_queries.insert(agent_index, self.now).unwrap_or(0);
            assert!(self.now - before >= 20, "the wave predecessor is queried at every tick");
        }
    }

    /// A load takes 50 ms, during which the engine counts as out of service.
    fn start_load(&mut self, agent_index: usize, order: LoadOrder) {
        let total = manifest(order.version.as_str()).chunk_count();
        let staged = self.agents[agent_index].staged.get(&order.digest).copied().unwrap_or(0);
        assert!(staged >= total, "a load order with only {staged} of {total} verified chunks");
        assert!(self.agents[agent_index].loading.is_none(), "a second load order during a load");
        if self.agents[agent_index].serving.is_some() {
            let loading = self.agents.iter().filter(|agent| agent.loading.is_some()).count() + 1;
            self.max_loading = self.max_loading.max(loading);
        }
        self.agents[agent_index].loading = Some((self.now + 50, order));
    }

    fn step(&mut self) {
        self.now += 5;
        for agent_index in 0..AGENTS {
            let is_loaded =
                self.agents[agent_index].loading.as_ref().is_some_and(|(at, _)| *at <= self.now);
            if let (true, Some((_, order))) = (is_loaded, self.agents[agent_index].loading.clone())
            {
                self.agents[agent_index].loading = None;
                self.agents[agent_index].serving = Some(order.digest);
                self.dispatch(agent_index, AgentEvent::LoadAnswered(order.digest, Ok(())));
            }
            self.dispatch(agent_index, AgentEvent::Tick);
        }
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _, _)| *at <= now);
        self.due = rest;
        let due: Vec<(u64, usize, AgentEvent)> = due;
        for (_, agent_index, event) in due {
            self.dispatch(agent_index, event);
        }
    }

    fn run_until_serving(&mut self, version: &str) {
        let digest = manifest(version).digest();
        let limit = self.now + 60_000;
        while !self.agents.iter().all(|agent| agent.serving == Some(digest)) {
            self.step();
            assert!(self.now < limit, "{version} is not served by all agents within 60 s");
        }
    }
}

#[test]
fn a_switch_goes_in_waves_above_the_floor() {
    let mut simulation = Simulation::new();
    simulation.apply_catalogue(catalogue(&["v1"]));
    simulation.run_until_serving("v1");
    simulation.apply_catalogue(catalogue(&["v1", "v2"]));
    simulation.notices_to_successors = 0;
    simulation.run_until_serving("v2");
    assert_eq!(simulation.max_loading, 2, "a quarter of eight agents may load at once");
    assert_eq!(
        simulation.notices_to_successors,
        AGENTS - 2,
        "each agent notifies the one a wave behind"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(60), rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::default() })]

    /// `start_load` asserts for each load order that every chunk was verified before.
    #[test]
    fn only_complete_copies_are_loaded(second in 1..60_u32, third in 1..60_u32, corrupt in 0..200_u64) {
        let mut simulation = Simulation::new();
        simulation.apply_catalogue(catalogue(&["v1"]));
        simulation.corrupt_until = corrupt;
        (0..second).for_each(|_| simulation.step());
        simulation.apply_catalogue(catalogue(&["v1", "v2"]));
        (0..third).for_each(|_| simulation.step());
        simulation.apply_catalogue(catalogue(&["v1", "v2", "v3"]));
        simulation.run_until_serving("v3");
    }
}

/// An agent whose engine serves `version`.
fn serving(version: &str) -> AgentReducer {
    let mut reducer = AgentReducer::new(Moment(1), settings(0), 1);
    let serving = vec![manifest(version).digest()];
    reducer.reduce(Moment(1), AgentEvent::EnginePolled(Some(EngineReport { serving })));
    reducer
}

/// The attempt and code of a refusal, if it is the only effect.
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
    assert_eq!(arrive(&mut agent, 2, "v1"), [], "the second request is queued");
    let refused = arrive(&mut agent, 3, "v2");
    let other = AttemptRefusal::other_weights(Millis(100), vec![manifest("v1").digest()]);
    assert_eq!(refused, [AgentEffect::Refuse(AttemptId(3), other)]);
    let serving = vec![manifest("v2").digest()];
    agent.reduce(Moment(20), AgentEvent::EnginePolled(Some(EngineReport { serving })));
    let effects = agent.reduce(Moment(30), AgentEvent::RequestFinished(AttemptId(1)));
    let other = AttemptRefusal::other_weights(Millis(1), vec![manifest("v2").digest()]);
    assert!(effects.contains(&AgentEffect::Refuse(AttemptId(2), other)), "{effects:?}");
    assert!(!effects.contains(&AgentEffect::Dispatch(AttemptId(2))), "{effects:?}");
}

#[test]
fn a_duplicate_attempt_is_run_once() {
    let mut agent = serving("v1");
    arrive(&mut agent, 1, "v1");
    agent.reduce(Moment(20), AgentEvent::RequestFinished(AttemptId(1)));
    let again = arrive(&mut agent, 1, "v1");
    assert_eq!(refused_code(&again), Some((AttemptId(1), ResultCode::AlreadyClaimed)));
}

#[test]
fn a_leaving_agent_refuses_queued_and_new_requests() {
    let mut agent = serving("v1");
    arrive(&mut agent, 1, "v1");
    arrive(&mut agent, 2, "v1");
    let effects = agent.reduce(Moment(20), AgentEvent::Stop);
    assert_eq!(refused_code(&effects), Some((AttemptId(2), ResultCode::Leaving)));
    let refused = arrive(&mut agent, 3, "v1");
    assert_eq!(refused_code(&refused), Some((AttemptId(3), ResultCode::Leaving)));
    assert!(!agent.is_drained(), "the first request is still running");
    agent.reduce(Moment(30), AgentEvent::RequestFinished(AttemptId(1)));
    assert!(agent.is_drained());
}

#[test]
fn no_lower_generation_is_applied() {
    let mut agent = serving("v1");
    let newer = Arc::new(catalogue(&["v1", "v2"]));
    agent.reduce(Moment(2), AgentEvent::CatalogueReceived(newer));
    assert_eq!(agent.generation(), Generation(2));
    let older = Arc::new(catalogue(&["v1"]));
    agent.reduce(Moment(3), AgentEvent::CatalogueReceived(older));
    assert_eq!(agent.generation(), Generation(2));
    let mut broken = catalogue(&["v1", "v2", "v3"]);
    broken.entries.values_mut().for_each(|entry| entry.limits.in_flight = 0);
    agent.reduce(Moment(4), AgentEvent::CatalogueReceived(Arc::new(broken)));
    assert_eq!(agent.generation(), Generation(2), "an invalid document is not applied");
}

/// The catalogue with one replica of the model.
fn catalogue_with_one_replica() -> CatalogueDocument {
    let text = model_text().replace("replicas = 4", "replicas = 1");
    let edit = request(1, "ana", parse_drafts("edit.ini", &text).unwrap());
    apply_edit(&CatalogueDocument::default(), &edit, &facts()).unwrap()
}

/// Guards against replicas that were placed anew, with a copy from the origin and a load, because
/// an agent was silent for a second.
#[test]
fn the_replica_of_a_silent_agent_was_placed_at_another_one() {
    let silences = [(1_500, 0), (3_000, 0), (6_000, 1)];
    for (silence, expected) in silences {
        let mut reducers: Vec<_> = (0..AGENTS)
            .map(|index| {
                let mut reducer = AgentReducer::new(Moment(0), settings(index), index as u64);
                let list = (0..AGENTS).map(record).collect();
                reducer.reduce(Moment(0), AgentEvent::InstancesRead(list));
                let document = Arc::new(catalogue_with_one_replica());
                reducer.reduce(Moment(0), AgentEvent::CatalogueReceived(document));
                reducer
            })
            .collect();
        let has_replica = |reducer: &AgentReducer, now| !reducer.progress(now).is_empty();
        let holder = reducers.iter().position(|reducer| has_replica(reducer, Moment(0))).unwrap();
        let silent = record(holder).id;
        // A call to the silent agent fails a second after it was sent; another one is sent then.
        for at in (1_000..=silence).step_by(500) {
            for reducer in &mut reducers {
                let event = AgentEvent::PeerSilent(silent.clone(), Millis(1_000));
                reducer.reduce(Moment(at), event);
                reducer.reduce(Moment(at), AgentEvent::Tick);
            }
        }
        let now = Moment(silence);
        reducers.remove(holder);
        let replicas = reducers.iter().filter(|reducer| has_replica(reducer, now)).count();
        assert_eq!(replicas, expected, "after {silence} ms");
    }
}
