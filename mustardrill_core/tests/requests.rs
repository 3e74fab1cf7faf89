//! Requests through entries and agents under generated failures.
//!
//! The reducers of entries and agents are connected by a simulated network with delays, crashes,
//! cut links, suspended processes and outages of the key-value service. The result that each caller
//! received is compared with the runs: a caller must not receive two results, nor be told that a
//! request was not run when it was, and a non-idempotent request must not run twice.

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
/// The wall-clock time that claims are written with, in seconds.
const WALL_CLOCK_S: u64 = 1_000_000;
/// How long a suspension, a cut link or an outage lasts.
const FAULT_MS: u64 = 300;
/// End of the simulation, in milliseconds; by then every request must have its final result.
const END_MS: u64 = 8_000;

/// An injected fault.
#[derive(Debug, Clone, Copy)]
enum Fault {
    CrashAgent(usize),
    CrashEntry(usize),
    SuspendAgent(usize),
    /// All connections to the agent break and new ones fail.
    CutAgent(usize),
    /// A planned shutdown.
    StopAgent(usize),
    /// The key-value service carries out no writes and answers nothing.
    StoreOutage,
    /// The key-value service carries out writes, but its responses are lost.
    LoseStoreResponses,
}

/// A request as one caller sends it.
#[derive(Debug, Clone, Copy)]
struct CallerRequest {
    at: u64,
    entry: usize,
    /// The key of a non-idempotent request. Several requests with one key are the same request sent
    /// again by its caller.
    key: Option<u8>,
    is_model: bool,
    timeout: u64,
}

#[derive(Debug, Clone)]
enum SimulationEvent {
    RequestArrives(usize),
    FaultStarts(Fault),
    AttemptArrives {
        entry: usize,
        agent: usize,
        order: SendOrder,
        incarnation: u32,
    },
    RunFinishes {
        agent: usize,
        attempt: AttemptId,
        incarnation: u32,
    },
    AttemptEnds {
        entry: usize,
        attempt: AttemptId,
        end: AttemptEnd,
        incarnation: u32,
    },
    ClaimRequested {
        entry: usize,
        order: ClaimOrder,
        index: usize,
        incarnation: u32,
    },
    ClaimRequestArrives {
        agent: usize,
        order: ClaimOrder,
        incarnation: u32,
    },
    ClaimRequestTimesOut {
        order: ClaimOrder,
        index: usize,
    },
    ClaimReleased {
        order: ClaimOrder,
        index: usize,
    },
    StoreCallArrives {
        agent: usize,
        effect: ClaimEffect,
        incarnation: u32,
    },
    StoreResponseArrives {
        agent: usize,
        shard: ShardIndex,
        answer: ShardResponse,
        incarnation: u32,
    },
    ClaimOutcomeArrives {
        entry: usize,
        attempt: AttemptId,
        outcome: ClaimOutcome,
        incarnation: u32,
    },
    Heartbeat {
        entry: usize,
        agent: usize,
    },
    Tick,
}

/// The result that a caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerResult {
    Complete,
    Refused(ResultCode),
}

struct SimulatedAgent {
    reducer: AgentReducer,
    incarnation: u32,
    suspended_until: u64,
    cut_until: u64,
    /// Attempts at this agent, with the entry that sent each.
    attempts: BTreeMap<AttemptId, (usize, SendOrder)>,
}

struct SimulatedEntry {
    reducer: EntryReducer,
    incarnation: u32,
    /// Attempts in progress, with the agent that each was sent to.
    open_attempts: BTreeMap<AttemptId, usize>,
}

struct Simulation {
    now: u64,
    next_sequence: u64,
    queue: BinaryHeap<Queued>,
    agents: Vec<SimulatedAgent>,
    entries: Vec<SimulatedEntry>,
    document: Arc<CatalogueDocument>,
    requests: Vec<CallerRequest>,
    results: BTreeMap<usize, Vec<CallerResult>>,
    /// Requests whose entry crashed before it returned a result.
    orphaned: Vec<usize>,
    /// The request of each run, in the order in which the runs started.
    runs: Vec<usize>,
    /// The key-value service's shards of claims, each with its revision.
    claims: BTreeMap<ShardIndex, (u64, ClaimDocument)>,
    /// Claim requests in progress: entry, its incarnation, index of the coordinator in the order,
    /// and the coordinator's agent.
    claim_calls: BTreeMap<AttemptId, (usize, u32, usize, usize)>,
    outage_until: u64,
    responses_lost_until: u64,
    random: u64,
}

/// An event with its time and, for events at the same time, its sequence number.
struct Queued(u64, u64, SimulationEvent);

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

fn record(index: usize) -> InstanceRecord {
    let service = if index < AGENTS - 1 { "mustard-pool" } else { "records-desk" };
    InstanceRecord {
        id: format!("instance-{index}").parse().unwrap(),
        service: service.parse().unwrap(),
        data_centre: "gc-hall-a".parse().unwrap(),
        region: "guate-central".parse().unwrap(),
        agent: format!("127.0.0.1:{index}").into(),
        leaving: false,
    }
}

fn agent_reducer(now: u64, index: usize) -> AgentReducer {
    let record = record(index);
    let settings = AgentSettings {
        own: TransferPeer { id: record.id, data_centre: record.data_centre },
        service: record.service,
        region: record.region,
        transfer: TransferSettings::default(),
        copy_per_region: false,
        admission: AdmissionSettings {
            capacity: 2,
            queue: 4,
            max_starts_ahead: 4,
            ..Default::default()
        },
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
        is_engine: index < AGENTS - 1,
    };
    let mut reducer = AgentReducer::new(Moment(now), settings, index as u64);
    let serving = vec![V1.parse().unwrap()];
    reducer.reduce(Moment(now), AgentEvent::EnginePolled(Some(EngineReport { serving })));
    reducer
}

fn entry_reducer(now: u64, index: usize, document: &Arc<CatalogueDocument>) -> EntryReducer {
    let settings = EntrySettings {
        own_id: format!("entry-{index}").parse().unwrap(),
        data_centre: "gc-hall-a".parse().unwrap(),
        routing: RoutingSettings { silent_for: Millis(1_000), ..RoutingSettings::default() },
        retry: RetrySettings::default(),
        claim_shards: 2,
        members: MemberSettings { failures: 2, dead_for: Millis(300) },
        subset: 8,
        sync_every: Millis(50),
    };
    let mut reducer = EntryReducer::new(settings, now * 31 + index as u64);
    let list = (0..AGENTS).map(record).collect();
    for event in
        [EntryEvent::CatalogueReceived(document.clone()), EntryEvent::InstancesReceived(list)]
    {
        reducer.reduce(Moment(now), event);
    }
    reducer
}

impl Simulation {
    fn new(requests: Vec<CallerRequest>, faults: &[(u64, Fault)], seed: u64) -> Self {
        let document = Arc::new(document());
        let agents = (0..AGENTS).map(|index| SimulatedAgent {
            reducer: agent_reducer(1, index),
            incarnation: 0,
            suspended_until: 0,
            cut_until: 0,
            attempts: BTreeMap::new(),
        });
        let entries = (0..ENTRIES).map(|index| SimulatedEntry {
            reducer: entry_reducer(1, index, &document),
            incarnation: 0,
            open_attempts: BTreeMap::new(),
        });
        let mut simulation = Self {
            now: 1,
            next_sequence: 0,
            queue: BinaryHeap::new(),
            agents: agents.collect(),
            entries: entries.collect(),
            document,
            results: BTreeMap::new(),
            orphaned: Vec::new(),
            runs: Vec::new(),
            claims: BTreeMap::new(),
            claim_calls: BTreeMap::new(),
            outage_until: 0,
            responses_lost_until: 0,
            random: seed,
            requests,
        };
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                simulation.exchange_heartbeat(entry, agent);
            }
        }
        for (index, request) in simulation.requests.clone().iter().enumerate() {
            simulation.push(request.at, SimulationEvent::RequestArrives(index));
        }
        for (at, fault) in faults {
            simulation.push(*at, SimulationEvent::FaultStarts(*fault));
        }
        simulation.push(5, SimulationEvent::Tick);
        simulation
    }

    fn push(&mut self, at: u64, event: SimulationEvent) {
        self.next_sequence += 1;
        self.queue.push(Queued(at, self.next_sequence, event));
    }

    /// A pseudo-random delay of 1 to `max_ms`, reproducible from the seed.
    fn delay(&mut self, max_ms: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        1 + (self.random >> 33) % max_ms
    }

    fn run(&mut self) {
        while let Some(Queued(at, _, event)) = self.queue.pop() {
            if at > END_MS {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestArrives(index) => self.send_request(index),
            SimulationEvent::FaultStarts(fault) => self.inject_fault(fault),
            SimulationEvent::AttemptArrives { entry, agent, order, incarnation } => {
                self.deliver_attempt(entry, agent, order, incarnation)
            }
            SimulationEvent::RunFinishes { agent, attempt, incarnation } => {
                self.finish_run(agent, attempt, incarnation)
            }
            SimulationEvent::AttemptEnds { entry, attempt, end, incarnation } => {
                if self.entries[entry].incarnation == incarnation {
                    self.entries[entry].open_attempts.remove(&attempt);
                    let delivered = u64::from(end == AttemptEnd::Complete);
                    let request = self.request_of(entry, attempt);
                    self.reduce_entry(
                        entry,
                        EntryEvent::AttemptEnded(attempt, end.clone(), delivered),
                    );
                    // The caller receives an answer only while the entry waits for the attempt.
                    if let (AttemptEnd::Complete, Some(index)) = (&end, request) {
                        self.record_result(index, CallerResult::Complete);
                    }
                }
            }
            SimulationEvent::ClaimRequested { entry, order, index, incarnation } => {
                self.ask_coordinator(entry, order, index, incarnation)
            }
            SimulationEvent::ClaimRequestArrives { agent, order, incarnation } => {
                if self.agents[agent].incarnation == incarnation {
                    self.reduce_agent(
                        agent,
                        AgentEvent::ClaimRequested(order.key, order.attempt, WALL_CLOCK_S),
                    );
                }
            }
            SimulationEvent::ClaimRequestTimesOut { order, index } => {
                let call = self.claim_calls.get(&order.attempt).copied();
                if let Some((entry, incarnation, asked, _)) = call.filter(|call| call.2 == index) {
                    self.claim_calls.remove(&order.attempt);
                    self.ask_coordinator(entry, order, asked + 1, incarnation);
                }
            }
            SimulationEvent::ClaimReleased { order, index } => self.release_claim(order, index),
            SimulationEvent::StoreCallArrives { agent, effect, incarnation } => {
                self.call_store(agent, effect, incarnation)
            }
            SimulationEvent::StoreResponseArrives { agent, shard, answer, incarnation } => {
                if self.agents[agent].incarnation == incarnation {
                    self.reduce_agent(agent, AgentEvent::ClaimAnswered(shard, answer));
                }
            }
            SimulationEvent::ClaimOutcomeArrives { entry, attempt, outcome, incarnation } => {
                if self.entries[entry].incarnation == incarnation {
                    self.reduce_entry(entry, EntryEvent::ClaimSettled(attempt, outcome));
                }
            }
            SimulationEvent::Heartbeat { entry, agent } => self.exchange_heartbeat(entry, agent),
            SimulationEvent::Tick => {
                for entry in 0..ENTRIES {
                    self.reduce_entry(entry, EntryEvent::Tick);
                }
                for agent in 0..AGENTS {
                    if self.agents[agent].suspended_until <= self.now {
                        self.reduce_agent(agent, AgentEvent::Tick);
                    }
                }
                self.push(self.now + 5, SimulationEvent::Tick);
            }
        }
    }

    fn send_request(&mut self, index: usize) {
        let request = self.requests[index];
        let target = if request.is_model { "drafts" } else { "desk" };
        let incoming = IncomingRequest {
            id: RequestId(index as u64),
            customer: "comedor".parse().unwrap(),
            target: target.parse().unwrap(),
            is_model: request.is_model,
            key: request.key.map(|key| RequestKey(u128::from(key))),
            deadline: Moment(self.now + request.timeout),
            affinity: None,
            digest: RequestDigest(index as u128),
        };
        self.reduce_entry(request.entry, EntryEvent::RequestArrived(incoming));
    }

    fn reduce_entry(&mut self, entry: usize, event: EntryEvent) {
        let now = Moment(self.now);
        let effects = self.entries[entry].reducer.reduce(now, event);
        let incarnation = self.entries[entry].incarnation;
        for effect in effects {
            match effect {
                EntryEffect::Send(order) => {
                    let agent = agent_of(&order);
                    self.entries[entry].open_attempts.insert(order.attempt, agent);
                    let at = self.now + self.delay(8);
                    self.push(
                        at,
                        SimulationEvent::AttemptArrives { entry, agent, order, incarnation },
                    );
                }
                EntryEffect::Cancel(attempt) => self.cancel_attempt(entry, attempt),
                EntryEffect::Abandon(attempt) => {
                    self.cancel_attempt(entry, attempt);
                    self.end_attempt(entry, attempt, AttemptEnd::Lost);
                }
                EntryEffect::Reject { id, code, .. } => {
                    self.record_result(id.0 as usize, CallerResult::Refused(code));
                }
                EntryEffect::AcquireClaim(order) => {
                    let at = self.now + self.delay(6);
                    self.push(
                        at,
                        SimulationEvent::ClaimRequested { entry, order, index: 0, incarnation },
                    );
                }
                EntryEffect::ReleaseClaim(order) => {
                    let at = self.now + self.delay(6);
                    self.push(at, SimulationEvent::ClaimReleased { order, index: 0 });
                }
                EntryEffect::Sync { id, .. } => {
                    let agent = number_of(id.as_str());
                    let at = self.now + self.delay(4);
                    self.push(at, SimulationEvent::Heartbeat { entry, agent });
                }
            }
        }
    }

    fn record_result(&mut self, index: usize, result: CallerResult) {
        self.results.entry(index).or_default().push(result);
    }

    /// The request that waits for this attempt at the entry.
    fn request_of(&self, entry: usize, attempt: AttemptId) -> Option<usize> {
        self.entries[entry].reducer.request_of_attempt(attempt).map(|id| id.0 as usize)
    }

    fn deliver_attempt(&mut self, entry: usize, agent: usize, order: SendOrder, incarnation: u32) {
        let simulated = &self.agents[agent];
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        if simulated.cut_until > self.now {
            // No connection can be made, so nothing is sent.
            self.end_attempt(entry, order.attempt, AttemptEnd::NotSent);
            return;
        }
        if simulated.suspended_until > self.now {
            // The attempt stays in the socket's buffer until the process resumes.
            let at = simulated.suspended_until + 1;
            self.push(at, SimulationEvent::AttemptArrives { entry, agent, order, incarnation });
            return;
        }
        if !self.entries[entry].open_attempts.contains_key(&order.attempt) {
            return;
        }
        let (attempt, pinned, class) = (order.attempt, order.pinned, order.class);
        let deadline = Moment(self.now) + order.remaining;
        self.agents[agent].attempts.insert(attempt, (entry, order));
        self.reduce_agent(agent, AgentEvent::RequestArrived { attempt, class, pinned, deadline });
    }

    fn reduce_agent(&mut self, agent: usize, event: AgentEvent) {
        let effects = self.agents[agent].reducer.reduce(Moment(self.now), event);
        let incarnation = self.agents[agent].incarnation;
        for effect in effects {
            match effect {
                AgentEffect::Dispatch(attempt) => {
                    let order = self.agents[agent].attempts[&attempt].1.clone();
                    self.runs.push(order.id.0 as usize);
                    let at = self.now + self.delay(60);
                    self.push(at, SimulationEvent::RunFinishes { agent, attempt, incarnation });
                }
                AgentEffect::Refuse(attempt, refusal) => {
                    let Some((entry, _)) = self.agents[agent].attempts.remove(&attempt) else {
                        continue;
                    };
                    self.end_attempt(entry, attempt, AttemptEnd::Refused(refusal));
                }
                AgentEffect::Claim(ClaimEffect::Settle(attempt, outcome)) => {
                    self.return_claim_outcome(agent, attempt, outcome);
                }
                AgentEffect::Claim(effect) => {
                    let at = self.now + self.delay(6);
                    self.push(at, SimulationEvent::StoreCallArrives { agent, effect, incarnation });
                }
                _ => {}
            }
        }
    }

    /// Asks one shard coordinator after the other, as the entry's task does.
    fn ask_coordinator(&mut self, entry: usize, order: ClaimOrder, index: usize, incarnation: u32) {
        const TIMEOUT: u64 = 260;
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        let Some(coordinator) = order.coordinators.get(index) else {
            let (attempt, outcome) = (order.attempt, ClaimOutcome::Unavailable);
            self.reduce_entry(entry, EntryEvent::ClaimSettled(attempt, outcome));
            return;
        };
        let agent = number_of(coordinator.id.as_str());
        if self.agents[agent].cut_until > self.now {
            self.ask_coordinator(entry, order, index + 1, incarnation);
            return;
        }
        self.claim_calls.insert(order.attempt, (entry, incarnation, index, agent));
        let at = self.agents[agent].suspended_until.max(self.now) + 1;
        let agent_incarnation = self.agents[agent].incarnation;
        self.push(
            at,
            SimulationEvent::ClaimRequestArrives {
                agent,
                order: order.clone(),
                incarnation: agent_incarnation,
            },
        );
        self.push(self.now + TIMEOUT, SimulationEvent::ClaimRequestTimesOut { order, index });
    }

    fn release_claim(&mut self, order: ClaimOrder, index: usize) {
        const TRIES: usize = 10;
        let Some(coordinator) = order.coordinators.iter().cycle().take(TRIES).nth(index) else {
            return;
        };
        let agent = number_of(coordinator.id.as_str());
        let simulated = &self.agents[agent];
        if simulated.cut_until > self.now || simulated.suspended_until > self.now {
            self.push(self.now + 500, SimulationEvent::ClaimReleased { order, index: index + 1 });
            return;
        }
        self.reduce_agent(agent, AgentEvent::ClaimReleased(order.key, order.attempt, WALL_CLOCK_S));
    }

    /// Returns a coordinator's outcome to the entry, unless the entry has asked another one since.
    fn return_claim_outcome(&mut self, agent: usize, attempt: AttemptId, outcome: ClaimOutcome) {
        let call = self.claim_calls.get(&attempt).copied();
        if let Some((entry, incarnation, _, _)) = call.filter(|call| call.3 == agent) {
            self.claim_calls.remove(&attempt);
            let at = self.now + self.delay(6);
            self.push(
                at,
                SimulationEvent::ClaimOutcomeArrives { entry, attempt, outcome, incarnation },
            );
        }
    }

    fn finish_run(&mut self, agent: usize, attempt: AttemptId, incarnation: u32) {
        let simulated = &self.agents[agent];
        if simulated.incarnation != incarnation {
            return;
        }
        if simulated.suspended_until > self.now {
            let at = simulated.suspended_until + 1;
            self.push(at, SimulationEvent::RunFinishes { agent, attempt, incarnation });
            return;
        }
        self.reduce_agent(agent, AgentEvent::RequestFinished(attempt));
        if let Some((entry, _)) = self.agents[agent].attempts.remove(&attempt) {
            self.end_attempt(entry, attempt, AttemptEnd::Complete);
            if self.delay(10) == 1 {
                // A duplicate of the answer, 40 ms late.
                let (incarnation, at) = (self.entries[entry].incarnation, self.now + 40);
                let end = AttemptEnd::Complete;
                self.push(at, SimulationEvent::AttemptEnds { entry, attempt, end, incarnation });
            }
        }
    }

    fn end_attempt(&mut self, entry: usize, attempt: AttemptId, end: AttemptEnd) {
        let incarnation = self.entries[entry].incarnation;
        let at = self.now + self.delay(8);
        self.push(at, SimulationEvent::AttemptEnds { entry, attempt, end, incarnation });
    }

    fn cancel_attempt(&mut self, entry: usize, attempt: AttemptId) {
        let Some(agent) = self.entries[entry].open_attempts.remove(&attempt) else { return };
        // A suspended agent does not see the cancellation and may run the attempt when it resumes.
        if self.agents[agent].suspended_until > self.now {
            return;
        }
        if self.agents[agent].attempts.remove(&attempt).is_some() {
            self.reduce_agent(agent, AgentEvent::RequestWithdrawn(attempt));
        }
    }

    /// Ends all attempts at an agent as lost, as their connections broke.
    fn break_connections(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            let open_attempts = self.entries[entry].open_attempts.iter();
            let lost: Vec<_> = open_attempts
                .filter(|(_, index)| **index == agent)
                .map(|(attempt, _)| *attempt)
                .collect();
            for attempt in lost {
                self.end_attempt(entry, attempt, AttemptEnd::Lost);
            }
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::CrashAgent(agent) => {
                self.break_connections(agent);
                let simulated = &mut self.agents[agent];
                simulated.incarnation += 1;
                simulated.attempts.clear();
                simulated.suspended_until = 0;
                simulated.reducer = agent_reducer(self.now, agent);
            }
            Fault::CrashEntry(entry) => {
                let open_attempts = self.entries[entry].open_attempts.clone();
                self.entries[entry].incarnation += 1;
                for attempt in open_attempts.keys() {
                    self.cancel_attempt(entry, *attempt);
                }
                self.entries[entry].reducer = entry_reducer(self.now, entry, &self.document);
                let lost = self.requests.iter().enumerate().filter(|(index, request)| {
                    request.entry == entry
                        && request.at <= self.now
                        && !self.results.contains_key(index)
                });
                self.orphaned.extend(lost.map(|(index, _)| index).collect::<Vec<_>>());
            }
            Fault::SuspendAgent(agent) => self.agents[agent].suspended_until = self.now + FAULT_MS,
            Fault::CutAgent(agent) => {
                self.agents[agent].cut_until = self.now + FAULT_MS;
                self.break_connections(agent);
                if self.agents[agent].suspended_until > self.now {
                    return;
                }
                let attempts: Vec<_> = self.agents[agent].attempts.keys().copied().collect();
                for attempt in attempts {
                    self.agents[agent].attempts.remove(&attempt);
                    self.reduce_agent(agent, AgentEvent::RequestWithdrawn(attempt));
                }
            }
            Fault::StopAgent(agent) => self.reduce_agent(agent, AgentEvent::Stop),
            Fault::StoreOutage => self.outage_until = self.now + FAULT_MS,
            Fault::LoseStoreResponses => self.responses_lost_until = self.now + FAULT_MS,
        }
    }

    fn call_store(&mut self, agent: usize, effect: ClaimEffect, incarnation: u32) {
        // A call that an agent sent before it crashed may still take effect.
        let (is_down, is_response_lost) =
            (self.outage_until > self.now, self.responses_lost_until > self.now);
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
        let answer = if is_down || is_response_lost { ShardResponse::Unknown } else { answer };
        let at = self.now + self.delay(6);
        self.push(at, SimulationEvent::StoreResponseArrives { agent, shard, answer, incarnation });
    }

    fn exchange_heartbeat(&mut self, entry: usize, agent: usize) {
        let simulated = &self.agents[agent];
        let record = record(agent);
        if simulated.cut_until > self.now || simulated.suspended_until > self.now {
            self.reduce_entry(entry, EntryEvent::SyncFailed(record.id));
            return;
        }
        let serving: Vec<ManifestDigest> = simulated.reducer.serving().to_vec();
        let report = UpstreamReport {
            outstanding: simulated.reducer.outstanding(),
            capacity: simulated.reducer.capacity(),
            serving,
            leaving: simulated.reducer.is_draining(),
        };
        let generation = simulated.reducer.generation();
        let sync = AgentSync {
            id: record.id,
            generation,
            report,
            progress: Vec::new(),
            demand: Vec::new(),
            reporting_entries: 0,
            crashes: Vec::new(),
        };
        self.reduce_entry(entry, EntryEvent::Synced(sync));
    }

    fn check_results(&self) -> Result<(), TestCaseError> {
        for (index, request) in self.requests.iter().enumerate() {
            let results = self.results.get(&index).map_or(&[][..], Vec::as_slice);
            let runs = self.runs.iter().filter(|run| **run == index).count();
            let is_orphaned = self.orphaned.contains(&index);
            prop_assert!(
                results.len() <= 1,
                "request {index} got more than one result: {results:?}"
            );
            prop_assert!(
                !results.is_empty() || is_orphaned,
                "request {index} got no result: {request:?}"
            );
            match results.first() {
                Some(CallerResult::Refused(code)) if code.is_not_run() => {
                    prop_assert!(
                        runs == 0,
                        "request {index} was refused as not run ({code:?}) and ran {runs} times"
                    );
                }
                Some(CallerResult::Complete) => {
                    prop_assert!(runs >= 1, "request {index} was answered and never ran")
                }
                _ => {}
            }
        }
        for key in 0..=u8::MAX {
            let runs = self.runs.iter().filter(|run| self.requests[**run].key == Some(key)).count();
            prop_assert!(runs <= 1, "key {key} ran {runs} times");
        }
        Ok(())
    }
}

fn agent_of(order: &SendOrder) -> usize {
    number_of(order.instance.as_str())
}

/// The number at the end of an instance's name.
fn number_of(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

fn requests() -> impl Strategy<Value = Vec<CallerRequest>> {
    let request = (
        10..1_500_u64,
        0..ENTRIES,
        prop::option::weighted(0.5, 0..8_u8),
        any::<bool>(),
        40..900_u64,
    );
    let request = request.prop_map(|(at, entry, key, is_model, timeout)| {
        let is_model = is_model && key.is_none();
        CallerRequest { at, entry, key, is_model, timeout }
    });
    prop::collection::vec(request, 5..60)
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        2 => (0..AGENTS).prop_map(Fault::CrashAgent),
        1 => (0..ENTRIES).prop_map(Fault::CrashEntry),
        2 => (0..AGENTS).prop_map(Fault::SuspendAgent),
        2 => (0..AGENTS).prop_map(Fault::CutAgent),
        1 => (0..AGENTS).prop_map(Fault::StopAgent),
        1 => Just(Fault::StoreOutage),
        2 => Just(Fault::LoseStoreResponses),
    ];
    prop::collection::vec((10..1_500_u64, fault), 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(1_000), rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_caller_gets_one_result_that_agrees_with_the_runs(
        requests in requests(),
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(requests, &faults, seed);
        simulation.run();
        simulation.check_results()?;
    }
}

#[test]
fn without_faults_every_request_is_answered() {
    let request = |index: u64| CallerRequest {
        at: 10 + index * 40,
        entry: (index % 2) as usize,
        key: (index.is_multiple_of(3)).then_some(index as u8),
        is_model: index % 3 == 1,
        timeout: 2_000,
    };
    let mut simulation = Simulation::new((0..40).map(request).collect(), &[], 1);
    simulation.run();
    simulation.check_results().unwrap();
    assert!(
        simulation.results.values().all(|results| *results == [CallerResult::Complete]),
        "{:?}",
        simulation.results
    );
}
