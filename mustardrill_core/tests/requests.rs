//! Requests through entries and agents under generated failures: answered once, or truthfully not.
//!
//! Reducers of both kinds are joined by a small fake network with delays, crashes, cuts, freezes
//! and an outage of the key-value service. What callers were told is held against what ran.

mod common;

use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use common::{V1, cases, document_with, model_text};
use mustardrill_core::admission::AdmissionSettings;
use mustardrill_core::agent::{AgentEffect, AgentEvent, AgentReducer, AgentSettings, EngineReport};
use mustardrill_core::budget::RetrySettings;
use mustardrill_core::claim::{
    ClaimDocument, ClaimEffect, ClaimOutcome, ClaimSettings, ShardIndex, ShardResponse,
};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::entry::{
    AgentSync, AttemptEnd, ClaimOrder, EntryEffect, EntryEvent, EntryReducer, EntrySettings,
    IncomingRequest, RequestId, SendOrder,
};
use mustardrill_core::membership::{InstanceRecord, MemberSettings};
use mustardrill_core::ownership::OwnerSettings;
use mustardrill_core::routing::{RoutingSettings, UpstreamReport};
use mustardrill_core::transfer::{TransferPeer, TransferSettings};
use mustardrill_types::{
    AttemptId, ByteSize, ManifestDigest, Millis, Moment, RequestDigest, RequestKey, ResultCode,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const AGENTS: usize = 3;
const ENTRIES: usize = 2;
const WALL_S: u64 = 1_000_000;
/// How long a frozen or cut process is so.
const FAULT_MS: u64 = 300;
/// After this time every request has its final answer.
const END_MS: u64 = 8_000;

/// What befalls the fleet at one moment.
#[derive(Debug, Clone, Copy)]
enum Fault {
    CrashAgent(usize),
    CrashEntry(usize),
    FreezeAgent(usize),
    CutAgent(usize),
    StopAgent(usize),
    Outage,
    LoseClaimAnswers,
}

/// One sending of a caller.
#[derive(Debug, Clone, Copy)]
struct Sending {
    at: u64,
    entry: usize,
    /// The key of a non-idempotent request; a repeated one is sent again.
    key: Option<u8>,
    is_model: bool,
    timeout: u64,
}

#[derive(Debug, Clone)]
enum Happening {
    Arrives(usize),
    Strikes(Fault),
    Reaches { entry: usize, agent: usize, order: SendOrder, life: u32 },
    Finishes { agent: usize, attempt: AttemptId, life: u32 },
    Answers { entry: usize, attempt: AttemptId, end: AttemptEnd, life: u32 },
    Asks { entry: usize, order: ClaimOrder, place: usize, life: u32 },
    AskArrives { agent: usize, order: ClaimOrder, life: u32 },
    AskTimesOut { order: ClaimOrder, place: usize },
    Releases { order: ClaimOrder, place: usize },
    Claims { agent: usize, effect: ClaimEffect, life: u32 },
    ClaimSaid { agent: usize, shard: ShardIndex, answer: ShardResponse, life: u32 },
    ClaimTold { entry: usize, attempt: AttemptId, outcome: ClaimOutcome, life: u32 },
    Syncs { entry: usize, agent: usize },
    Ticks,
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Whole,
    Refused(ResultCode),
}

struct AgentSide {
    reducer: AgentReducer,
    life: u32,
    frozen_until: u64,
    cut_until: u64,
    /// Attempts that this agent has, with the entry that sent them.
    attempts: BTreeMap<AttemptId, (usize, SendOrder)>,
}

struct EntrySide {
    reducer: EntryReducer,
    life: u32,
    /// Attempts under way, with the agent that has them.
    open: BTreeMap<AttemptId, usize>,
}

struct World {
    now: u64,
    order: u64,
    queue: BinaryHeap<Queued>,
    agents: Vec<AgentSide>,
    entries: Vec<EntrySide>,
    document: Arc<CatalogueDocument>,
    sendings: Vec<Sending>,
    told: BTreeMap<usize, Vec<Told>>,
    orphaned: Vec<usize>,
    /// Which sending each run belonged to, in the order of the runs.
    runs: Vec<usize>,
    claims: BTreeMap<ShardIndex, (u64, ClaimDocument)>,
    /// Calls about claims under way: entry, its life, and the place among the keepers.
    claim_calls: BTreeMap<AttemptId, (usize, u32, usize, usize)>,
    outage_until: u64,
    losing_until: u64,
    random: u64,
}

struct Queued(u64, u64, Happening);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

fn document() -> CatalogueDocument {
    let plain = "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\ncallers = all\nrequests_per_second = 1000\nin_flight = 100\n";
    let model = model_text().replace("requests_per_second = 50", "requests_per_second = 1000");
    document_with(&format!("{}\n{plain}", model.replace("in_flight = 10", "in_flight = 100")))
}

fn record(place: usize) -> InstanceRecord {
    let service = if place < AGENTS - 1 { "mustard-pool" } else { "records-desk" };
    InstanceRecord {
        id: format!("instance-{place}").parse().unwrap(),
        service: service.parse().unwrap(),
        data_centre: "gc-hall-a".parse().unwrap(),
        region: "guate-central".parse().unwrap(),
        agent: format!("127.0.0.1:{place}").into(),
        leaving: false,
    }
}

fn agent_reducer(now: u64, place: usize) -> AgentReducer {
    let record = record(place);
    let settings = AgentSettings {
        own: TransferPeer { id: record.id, data_centre: record.data_centre },
        service: record.service,
        region: record.region,
        transfer: TransferSettings::default(),
        copy_per_region: false,
        admission: AdmissionSettings { capacity: 2, queue: 4, turns: 4, ..Default::default() },
        claim: ClaimSettings {
            shards: 2,
            write_every: Millis(5),
            claim_timeout: Millis(200),
            ..ClaimSettings::default()
        },
        owner: OwnerSettings::default(),
        members: MemberSettings::default(),
        staging_limit: ByteSize(1_000),
        floor_percent: 75,
        exchange_every: Millis(100),
        wave_timeout: Millis(1_000),
        retry_every: Millis(100),
        is_engine: place < AGENTS - 1,
    };
    let mut reducer = AgentReducer::new(Moment(now), settings, place as u64);
    let serving = vec![V1.parse().unwrap()];
    reducer.reduce(Moment(now), AgentEvent::EnginePolled(Some(EngineReport { serving })));
    reducer
}

fn entry_reducer(now: u64, place: usize, document: &Arc<CatalogueDocument>) -> EntryReducer {
    let settings = EntrySettings {
        own: format!("entry-{place}").parse().unwrap(),
        data_centre: "gc-hall-a".parse().unwrap(),
        routing: RoutingSettings { silent_for: Millis(1_000), ..RoutingSettings::default() },
        retry: RetrySettings::default(),
        claim_shards: 2,
        members: MemberSettings { failures: 2, dead_for: Millis(300) },
        subset: 8,
        sync_every: Millis(50),
    };
    let mut reducer = EntryReducer::new(settings, now * 31 + place as u64);
    let list = (0..AGENTS).map(record).collect();
    for event in [EntryEvent::CatalogueSeen(document.clone()), EntryEvent::InstancesSeen(list)] {
        reducer.reduce(Moment(now), event);
    }
    reducer
}

impl World {
    fn new(sendings: Vec<Sending>, faults: &[(u64, Fault)], seed: u64) -> Self {
        let document = Arc::new(document());
        let agents = (0..AGENTS).map(|place| AgentSide {
            reducer: agent_reducer(1, place),
            life: 0,
            frozen_until: 0,
            cut_until: 0,
            attempts: BTreeMap::new(),
        });
        let entries = (0..ENTRIES).map(|place| EntrySide {
            reducer: entry_reducer(1, place, &document),
            life: 0,
            open: BTreeMap::new(),
        });
        let mut world = Self {
            now: 1,
            order: 0,
            queue: BinaryHeap::new(),
            agents: agents.collect(),
            entries: entries.collect(),
            document,
            told: BTreeMap::new(),
            orphaned: Vec::new(),
            runs: Vec::new(),
            claims: BTreeMap::new(),
            claim_calls: BTreeMap::new(),
            outage_until: 0,
            losing_until: 0,
            random: seed,
            sendings,
        };
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                world.sync(entry, agent);
            }
        }
        for (place, sending) in world.sendings.clone().iter().enumerate() {
            world.push(sending.at, Happening::Arrives(place));
        }
        for (at, fault) in faults {
            world.push(*at, Happening::Strikes(*fault));
        }
        world.push(5, Happening::Ticks);
        world
    }

    fn push(&mut self, at: u64, happening: Happening) {
        self.order += 1;
        self.queue.push(Queued(at, self.order, happening));
    }

    /// A small delay, different each time and the same for the same seed.
    fn delay(&mut self, most: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        1 + (self.random >> 33) % most
    }

    fn play(&mut self) {
        while let Some(Queued(at, _, happening)) = self.queue.pop() {
            if at > END_MS {
                break;
            }
            self.now = at;
            self.happen(happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrives(place) => self.arrive(place),
            Happening::Strikes(fault) => self.strike(fault),
            Happening::Reaches { entry, agent, order, life } => {
                self.reach(entry, agent, order, life)
            }
            Happening::Finishes { agent, attempt, life } => self.finish(agent, attempt, life),
            Happening::Answers { entry, attempt, end, life } => {
                if self.entries[entry].life == life {
                    self.entries[entry].open.remove(&attempt);
                    let delivered = u64::from(end == AttemptEnd::Whole);
                    let request = self.request_of(entry, attempt);
                    self.enter(entry, EntryEvent::AttemptEnded(attempt, end.clone(), delivered));
                    // Only an awaited whole answer reaches the caller.
                    if let (AttemptEnd::Whole, Some(place)) = (&end, request) {
                        self.tell(place, Told::Whole);
                    }
                }
            }
            Happening::Asks { entry, order, place, life } => self.ask(entry, order, place, life),
            Happening::AskArrives { agent, order, life } => {
                if self.agents[agent].life == life {
                    self.act(agent, AgentEvent::ClaimRequested(order.key, order.attempt, WALL_S));
                }
            }
            Happening::AskTimesOut { order, place } => {
                let call = self.claim_calls.get(&order.attempt).copied();
                if let Some((entry, life, asked, _)) = call.filter(|call| call.2 == place) {
                    self.claim_calls.remove(&order.attempt);
                    self.ask(entry, order, asked + 1, life);
                }
            }
            Happening::Releases { order, place } => self.release(order, place),
            Happening::Claims { agent, effect, life } => self.serve_claim(agent, effect, life),
            Happening::ClaimSaid { agent, shard, answer, life } => {
                if self.agents[agent].life == life {
                    self.act(agent, AgentEvent::ClaimAnswered(shard, answer));
                }
            }
            Happening::ClaimTold { entry, attempt, outcome, life } => {
                if self.entries[entry].life == life {
                    self.enter(entry, EntryEvent::ClaimSettled(attempt, outcome));
                }
            }
            Happening::Syncs { entry, agent } => self.sync(entry, agent),
            Happening::Ticks => {
                for entry in 0..ENTRIES {
                    self.enter(entry, EntryEvent::Tick);
                }
                for agent in 0..AGENTS {
                    if self.agents[agent].frozen_until <= self.now {
                        self.act(agent, AgentEvent::Tick);
                    }
                }
                self.push(self.now + 5, Happening::Ticks);
            }
        }
    }

    fn arrive(&mut self, place: usize) {
        let sending = self.sendings[place];
        let target = if sending.is_model { "drafts" } else { "desk" };
        let incoming = IncomingRequest {
            id: RequestId(place as u64),
            customer: "comedor".parse().unwrap(),
            target: target.parse().unwrap(),
            is_model: sending.is_model,
            key: sending.key.map(|key| RequestKey(u128::from(key))),
            deadline: Moment(self.now + sending.timeout),
            affinity: None,
            digest: RequestDigest(place as u128),
        };
        self.enter(sending.entry, EntryEvent::RequestArrived(incoming));
    }

    fn enter(&mut self, entry: usize, event: EntryEvent) {
        let now = Moment(self.now);
        let effects = self.entries[entry].reducer.reduce(now, event);
        let life = self.entries[entry].life;
        for effect in effects {
            match effect {
                EntryEffect::Send(order) => {
                    let agent = place_of(&order);
                    self.entries[entry].open.insert(order.attempt, agent);
                    let at = self.now + self.delay(8);
                    self.push(at, Happening::Reaches { entry, agent, order, life });
                }
                EntryEffect::Cancel(attempt) => self.cancel(entry, attempt),
                EntryEffect::Abandon(attempt) => {
                    self.cancel(entry, attempt);
                    self.answer(entry, attempt, AttemptEnd::Lost);
                }
                EntryEffect::Reject { id, code, .. } => {
                    self.tell(id.0 as usize, Told::Refused(code));
                }
                EntryEffect::AskClaim(order) => {
                    let at = self.now + self.delay(6);
                    self.push(at, Happening::Asks { entry, order, place: 0, life });
                }
                EntryEffect::ReleaseClaim(order) => {
                    let at = self.now + self.delay(6);
                    self.push(at, Happening::Releases { order, place: 0 });
                }
                EntryEffect::Sync { id, .. } => {
                    let agent = number_of(id.as_str());
                    let at = self.now + self.delay(4);
                    self.push(at, Happening::Syncs { entry, agent });
                }
            }
        }
    }

    fn tell(&mut self, place: usize, told: Told) {
        self.told.entry(place).or_default().push(told);
    }

    /// The sending whose attempt this is, while it is still awaited.
    fn request_of(&self, entry: usize, attempt: AttemptId) -> Option<usize> {
        self.entries[entry].reducer.awaits(attempt).map(|id| id.0 as usize)
    }

    fn reach(&mut self, entry: usize, agent: usize, order: SendOrder, life: u32) {
        let side = &self.agents[agent];
        if self.entries[entry].life != life {
            return;
        }
        if side.cut_until > self.now {
            // No connection: it fails, and nothing was sent.
            self.answer(entry, order.attempt, AttemptEnd::NotSent);
            return;
        }
        if side.frozen_until > self.now {
            // It lies in the socket until the process goes on.
            let at = side.frozen_until + 1;
            self.push(at, Happening::Reaches { entry, agent, order, life });
            return;
        }
        if !self.entries[entry].open.contains_key(&order.attempt) {
            return;
        }
        let (attempt, pinned, class) = (order.attempt, order.pinned, order.class);
        let deadline = Moment(self.now) + order.remaining;
        self.agents[agent].attempts.insert(attempt, (entry, order));
        self.act(agent, AgentEvent::RequestArrived { attempt, class, pinned, deadline });
    }

    fn act(&mut self, agent: usize, event: AgentEvent) {
        let effects = self.agents[agent].reducer.reduce(Moment(self.now), event);
        let life = self.agents[agent].life;
        for effect in effects {
            match effect {
                AgentEffect::Dispatch(attempt) => {
                    let order = self.agents[agent].attempts[&attempt].1.clone();
                    self.runs.push(order.id.0 as usize);
                    let at = self.now + self.delay(60);
                    self.push(at, Happening::Finishes { agent, attempt, life });
                }
                AgentEffect::Refuse(attempt, refusal) => {
                    let Some((entry, _)) = self.agents[agent].attempts.remove(&attempt) else {
                        continue;
                    };
                    self.answer(entry, attempt, AttemptEnd::Refused(refusal));
                }
                AgentEffect::Claim(ClaimEffect::Settle(attempt, outcome)) => {
                    self.settled(agent, attempt, outcome);
                }
                AgentEffect::Claim(effect) => {
                    let at = self.now + self.delay(6);
                    self.push(at, Happening::Claims { agent, effect, life });
                }
                _ => {}
            }
        }
    }

    /// Asks one keeper after the other, as the entry's task does.
    fn ask(&mut self, entry: usize, order: ClaimOrder, place: usize, life: u32) {
        const TIMEOUT: u64 = 260;
        if self.entries[entry].life != life {
            return;
        }
        let Some(keeper) = order.keepers.get(place) else {
            let (attempt, outcome) = (order.attempt, ClaimOutcome::Unavailable);
            self.enter(entry, EntryEvent::ClaimSettled(attempt, outcome));
            return;
        };
        let agent = number_of(keeper.id.as_str());
        if self.agents[agent].cut_until > self.now {
            self.ask(entry, order, place + 1, life);
            return;
        }
        self.claim_calls.insert(order.attempt, (entry, life, place, agent));
        let at = self.agents[agent].frozen_until.max(self.now) + 1;
        let agent_life = self.agents[agent].life;
        self.push(at, Happening::AskArrives { agent, order: order.clone(), life: agent_life });
        self.push(self.now + TIMEOUT, Happening::AskTimesOut { order, place });
    }

    fn release(&mut self, order: ClaimOrder, place: usize) {
        const TRIES: usize = 10;
        let Some(keeper) = order.keepers.iter().cycle().take(TRIES).nth(place) else { return };
        let agent = number_of(keeper.id.as_str());
        let side = &self.agents[agent];
        if side.cut_until > self.now || side.frozen_until > self.now {
            self.push(self.now + 500, Happening::Releases { order, place: place + 1 });
            return;
        }
        self.act(agent, AgentEvent::ClaimReleased(order.key, order.attempt, WALL_S));
    }

    /// Takes what a keeper says of a claim back to the entry that still waits for it.
    fn settled(&mut self, agent: usize, attempt: AttemptId, outcome: ClaimOutcome) {
        let call = self.claim_calls.get(&attempt).copied();
        if let Some((entry, life, _, _)) = call.filter(|call| call.3 == agent) {
            self.claim_calls.remove(&attempt);
            let at = self.now + self.delay(6);
            self.push(at, Happening::ClaimTold { entry, attempt, outcome, life });
        }
    }

    fn finish(&mut self, agent: usize, attempt: AttemptId, life: u32) {
        let side = &self.agents[agent];
        if side.life != life {
            return;
        }
        if side.frozen_until > self.now {
            let at = side.frozen_until + 1;
            self.push(at, Happening::Finishes { agent, attempt, life });
            return;
        }
        self.act(agent, AgentEvent::RequestFinished(attempt));
        if let Some((entry, _)) = self.agents[agent].attempts.remove(&attempt) {
            self.answer(entry, attempt, AttemptEnd::Whole);
            if self.delay(10) == 1 {
                // The same answer once more, late.
                let (life, at) = (self.entries[entry].life, self.now + 40);
                let end = AttemptEnd::Whole;
                self.push(at, Happening::Answers { entry, attempt, end, life });
            }
        }
    }

    fn answer(&mut self, entry: usize, attempt: AttemptId, end: AttemptEnd) {
        let life = self.entries[entry].life;
        let at = self.now + self.delay(8);
        self.push(at, Happening::Answers { entry, attempt, end, life });
    }

    fn cancel(&mut self, entry: usize, attempt: AttemptId) {
        let Some(agent) = self.entries[entry].open.remove(&attempt) else { return };
        // A frozen agent does not notice, and may run the attempt when it goes on.
        if self.agents[agent].frozen_until > self.now {
            return;
        }
        if self.agents[agent].attempts.remove(&attempt).is_some() {
            self.act(agent, AgentEvent::RequestWithdrawn(attempt));
        }
    }

    /// Tells the entries that their connections to an agent broke.
    fn break_connections(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            let open = self.entries[entry].open.iter();
            let lost: Vec<_> =
                open.filter(|(_, place)| **place == agent).map(|(attempt, _)| *attempt).collect();
            for attempt in lost {
                self.answer(entry, attempt, AttemptEnd::Lost);
            }
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::CrashAgent(agent) => {
                self.break_connections(agent);
                let side = &mut self.agents[agent];
                side.life += 1;
                side.attempts.clear();
                side.frozen_until = 0;
                side.reducer = agent_reducer(self.now, agent);
            }
            Fault::CrashEntry(entry) => {
                let open = self.entries[entry].open.clone();
                self.entries[entry].life += 1;
                for attempt in open.keys() {
                    self.cancel(entry, *attempt);
                }
                self.entries[entry].reducer = entry_reducer(self.now, entry, &self.document);
                let lost = self.sendings.iter().enumerate().filter(|(place, sending)| {
                    sending.entry == entry
                        && sending.at <= self.now
                        && !self.told.contains_key(place)
                });
                self.orphaned.extend(lost.map(|(place, _)| place).collect::<Vec<_>>());
            }
            Fault::FreezeAgent(agent) => self.agents[agent].frozen_until = self.now + FAULT_MS,
            Fault::CutAgent(agent) => {
                self.agents[agent].cut_until = self.now + FAULT_MS;
                self.break_connections(agent);
                if self.agents[agent].frozen_until > self.now {
                    return;
                }
                let attempts: Vec<_> = self.agents[agent].attempts.keys().copied().collect();
                for attempt in attempts {
                    self.agents[agent].attempts.remove(&attempt);
                    self.act(agent, AgentEvent::RequestWithdrawn(attempt));
                }
            }
            Fault::StopAgent(agent) => self.act(agent, AgentEvent::Stop),
            Fault::Outage => self.outage_until = self.now + FAULT_MS,
            Fault::LoseClaimAnswers => self.losing_until = self.now + FAULT_MS,
        }
    }

    fn serve_claim(&mut self, agent: usize, effect: ClaimEffect, life: u32) {
        // A crashed agent's call may still take effect.
        let (is_down, is_losing) = (self.outage_until > self.now, self.losing_until > self.now);
        let (shard, answer) = match effect {
            ClaimEffect::Read(shard) => {
                let (revision, document) = self.claims.entry(shard).or_default().clone();
                (shard, ShardResponse::Read(document, revision))
            }
            ClaimEffect::Write { shard, expect, document } => {
                let key = self.claims.entry(shard).or_default();
                if !is_down && key.0 == expect {
                    *key = (expect + 1, document);
                    (shard, ShardResponse::Written(expect + 1))
                } else {
                    (shard, ShardResponse::Conflict)
                }
            }
            ClaimEffect::Settle(..) => return,
        };
        let answer = if is_down || is_losing { ShardResponse::Unknown } else { answer };
        let at = self.now + self.delay(6);
        self.push(at, Happening::ClaimSaid { agent, shard, answer, life });
    }

    fn sync(&mut self, entry: usize, agent: usize) {
        let side = &self.agents[agent];
        let record = record(agent);
        if side.cut_until > self.now || side.frozen_until > self.now {
            self.enter(entry, EntryEvent::SyncFailed(record.id));
            return;
        }
        let serving: Vec<ManifestDigest> = side.reducer.serving().to_vec();
        let report = UpstreamReport {
            outstanding: side.reducer.outstanding(),
            capacity: side.reducer.capacity(),
            serving,
            leaving: side.reducer.is_leaving(),
        };
        let generation = side.reducer.generation();
        let sync = AgentSync {
            id: record.id,
            generation,
            report,
            progress: Vec::new(),
            demand: Vec::new(),
            entries: 0,
            crashes: Vec::new(),
        };
        self.enter(entry, EntryEvent::Synced(sync));
    }

    fn judge(&self) -> Result<(), TestCaseError> {
        for (place, sending) in self.sendings.iter().enumerate() {
            let told = self.told.get(&place).map_or(&[][..], Vec::as_slice);
            let runs = self.runs.iter().filter(|run| **run == place).count();
            let is_orphaned = self.orphaned.contains(&place);
            prop_assert!(told.len() <= 1, "{place} was told {told:?}");
            prop_assert!(!told.is_empty() || is_orphaned, "{place} was told nothing: {sending:?}");
            match told.first() {
                Some(Told::Refused(code)) if code.is_not_run() => {
                    prop_assert!(runs == 0, "{place} was told {code:?} and ran {runs} times");
                }
                Some(Told::Whole) => prop_assert!(runs >= 1, "{place} was answered and never ran"),
                _ => {}
            }
        }
        for key in 0..=u8::MAX {
            let runs = self.runs.iter().filter(|run| self.sendings[**run].key == Some(key)).count();
            prop_assert!(runs <= 1, "key {key} ran {runs} times");
        }
        Ok(())
    }
}

fn place_of(order: &SendOrder) -> usize {
    number_of(order.instance.as_str())
}

/// The number at the end of a name.
fn number_of(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

fn sendings() -> impl Strategy<Value = Vec<Sending>> {
    let sending = (
        10..1_500_u64,
        0..ENTRIES,
        prop::option::weighted(0.5, 0..8_u8),
        any::<bool>(),
        40..900_u64,
    );
    let sending = sending.prop_map(|(at, entry, key, is_model, timeout)| {
        let is_model = is_model && key.is_none();
        Sending { at, entry, key, is_model, timeout }
    });
    prop::collection::vec(sending, 5..60)
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        2 => (0..AGENTS).prop_map(Fault::CrashAgent),
        1 => (0..ENTRIES).prop_map(Fault::CrashEntry),
        2 => (0..AGENTS).prop_map(Fault::FreezeAgent),
        2 => (0..AGENTS).prop_map(Fault::CutAgent),
        1 => (0..AGENTS).prop_map(Fault::StopAgent),
        1 => Just(Fault::Outage),
        2 => Just(Fault::LoseClaimAnswers),
    ];
    prop::collection::vec((10..1_500_u64, fault), 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(1_000), rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn callers_are_told_the_truth_once(
        sendings in sendings(),
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let mut world = World::new(sendings, &faults, seed);
        world.play();
        world.judge()?;
    }
}

#[test]
fn without_failures_everything_is_answered() {
    let sending = |place: u64| Sending {
        at: 10 + place * 40,
        entry: (place % 2) as usize,
        key: (place.is_multiple_of(3)).then_some(place as u8),
        is_model: place % 3 == 1,
        timeout: 2_000,
    };
    let mut world = World::new((0..40).map(sending).collect(), &[], 1);
    world.play();
    world.judge().unwrap();
    assert!(world.told.values().all(|told| *told == [Told::Whole]), "{:?}", world.told);
}
