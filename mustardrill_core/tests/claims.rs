//! Claims under generated failures: a key is granted once, whichever coordinator is asked.

mod common;

use std::collections::BTreeMap;

use common::cases;
use mustardrill_core::claim::{
    ClaimBatch, ClaimDocument, ClaimEffect, ClaimOutcome, ClaimSettings, ShardIndex, ShardResponse,
};
use mustardrill_types::{AttemptId, Millis, Moment, RequestKey};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const COORDINATORS: usize = 3;

/// The wall clock, far from zero so that no claim is past its retention from the start.
const WALL_S: u64 = 1_000_000;

#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Served,
    Failed,
    /// A write takes effect, but its response is lost.
    ResponseLost,
    /// A write takes effect later, at a `DeliverLate` step.
    Late,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Claim {
        coordinator: usize,
        key: u8,
    },
    /// The claim of the last attempt is requested again, at another coordinator.
    Repeat {
        coordinator: usize,
    },
    Serve {
        coordinator: usize,
        outcome: CallOutcome,
    },
    Tick,
    Crash {
        coordinator: usize,
    },
    DeliverLate,
}

#[derive(Default)]
struct StoredShard {
    revision: u64,
    document: ClaimDocument,
}

struct Simulation {
    stored: BTreeMap<ShardIndex, StoredShard>,
    late_writes: Vec<(ShardIndex, u64, ClaimDocument)>,
    coordinators: Vec<ClaimBatch>,
    calls: Vec<Vec<ClaimEffect>>,
    key_of: BTreeMap<AttemptId, RequestKey>,
    granted: BTreeMap<RequestKey, Vec<AttemptId>>,
    settled: BTreeMap<(usize, AttemptId), ClaimOutcome>,
    lost_attempts: Vec<AttemptId>,
    coordinator_of: BTreeMap<AttemptId, usize>,
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        shards: 2,
        write_every: Millis(2),
        claim_timeout: Millis(60),
        ..ClaimSettings::default()
    }
}

impl Simulation {
    fn new() -> Self {
        Self {
            stored: BTreeMap::new(),
            late_writes: Vec::new(),
            coordinators: (0..COORDINATORS).map(|_| ClaimBatch::new(settings())).collect(),
            calls: vec![Vec::new(); COORDINATORS],
            key_of: BTreeMap::new(),
            granted: BTreeMap::new(),
            settled: BTreeMap::new(),
            lost_attempts: Vec::new(),
            coordinator_of: BTreeMap::new(),
        }
    }

    fn take(&mut self, coordinator: usize, effects: Vec<ClaimEffect>) {
        for effect in effects {
            let ClaimEffect::Settle(attempt, outcome) = effect else {
                self.calls[coordinator].push(effect);
                continue;
            };
            let before = self.settled.insert((coordinator, attempt), outcome);
            assert!(before.is_none() || outcome != ClaimOutcome::Granted, "settled twice");
            if outcome == ClaimOutcome::Granted {
                let key = self.key_of[&attempt];
                let granted = self.granted.entry(key).or_default();
                if !granted.contains(&attempt) {
                    granted.push(attempt);
                }
            }
        }
    }

    fn write(&mut self, shard: ShardIndex, expect: u64, document: ClaimDocument) -> Option<u64> {
        let stored = self.stored.entry(shard).or_default();
        if stored.revision != expect {
            return None;
        }
        stored.revision += 1;
        stored.document = document;
        Some(stored.revision)
    }

    fn serve(&mut self, now: Moment, coordinator: usize, outcome: CallOutcome) {
        if self.calls[coordinator].is_empty() {
            return;
        }
        let call = self.calls[coordinator].remove(0);
        let (shard, answer) = match call {
            ClaimEffect::Read(shard) => (shard, self.read(shard, outcome)),
            ClaimEffect::Write { shard, expect, document } => {
                (shard, self.write_with(shard, expect, document, outcome))
            }
            ClaimEffect::Settle(..) => unreachable!("a settled claim is not a call"),
        };
        let effects = self.coordinators[coordinator].handle_response(now, WALL_S, shard, answer);
        self.take(coordinator, effects);
    }

    fn read(&mut self, shard: ShardIndex, outcome: CallOutcome) -> ShardResponse {
        let stored = self.stored.entry(shard).or_default();
        match outcome {
            CallOutcome::Served => ShardResponse::Read(stored.document.clone(), stored.revision),
            _ => ShardResponse::Unknown,
        }
    }

    fn write_with(
        &mut self,
        shard: ShardIndex,
        expect: u64,
        document: ClaimDocument,
        outcome: CallOutcome,
    ) -> ShardResponse {
        match outcome {
            CallOutcome::Served => self
                .write(shard, expect, document)
                .map_or(ShardResponse::Conflict, ShardResponse::Written),
            CallOutcome::ResponseLost => {
                self.write(shard, expect, document);
                ShardResponse::Unknown
            }
            CallOutcome::Late => {
                self.late_writes.push((shard, expect, document));
                ShardResponse::Unknown
            }
            CallOutcome::Failed => ShardResponse::Unknown,
        }
    }

    fn crash(&mut self, coordinator: usize) {
        self.coordinators[coordinator] = ClaimBatch::new(settings());
        self.calls[coordinator].clear();
        let lost = self.coordinator_of.iter().filter(|(attempt, other)| {
            **other == coordinator && !self.settled.contains_key(&(coordinator, **attempt))
        });
        self.lost_attempts.extend(lost.map(|(attempt, _)| *attempt));
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Served),
        1 => Just(CallOutcome::Failed),
        2 => Just(CallOutcome::ResponseLost),
        1 => Just(CallOutcome::Late),
    ];
    let step = prop_oneof![
        4 => (0..COORDINATORS, 0..6_u8)
            .prop_map(|(coordinator, key)| Step::Claim { coordinator, key }),
        8 => (0..COORDINATORS, outcome)
            .prop_map(|(coordinator, outcome)| Step::Serve { coordinator, outcome }),
        1 => (0..COORDINATORS).prop_map(|coordinator| Step::Repeat { coordinator }),
        2 => Just(Step::Tick),
        1 => (0..COORDINATORS).prop_map(|coordinator| Step::Crash { coordinator }),
        1 => Just(Step::DeliverLate),
    ];
    prop::collection::vec(step, 10..120)
}

fn run_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new();
    for (number, step) in steps.iter().enumerate() {
        let now = Moment(number as u64 * 3 + 1);
        match *step {
            Step::Claim { coordinator, key } => {
                let attempt = AttemptId(number as u128);
                let key = RequestKey(u128::from(key));
                simulation.key_of.insert(attempt, key);
                simulation.coordinator_of.insert(attempt, coordinator);
                let effects = simulation.coordinators[coordinator].claim(now, WALL_S, key, attempt);
                simulation.take(coordinator, effects);
            }
            Step::Repeat { coordinator } => {
                let last =
                    simulation.key_of.iter().next_back().map(|(attempt, key)| (*attempt, *key));
                let is_settled = |attempt| simulation.settled.contains_key(&(coordinator, attempt));
                if let Some((attempt, key)) = last.filter(|(attempt, _)| !is_settled(*attempt)) {
                    let effects =
                        simulation.coordinators[coordinator].claim(now, WALL_S, key, attempt);
                    simulation.take(coordinator, effects);
                }
            }
            Step::Serve { coordinator, outcome } => simulation.serve(now, coordinator, outcome),
            Step::Tick => {
                for coordinator in 0..COORDINATORS {
                    let effects = simulation.coordinators[coordinator].tick(now, WALL_S);
                    simulation.take(coordinator, effects);
                }
            }
            Step::Crash { coordinator } => simulation.crash(coordinator),
            Step::DeliverLate => {
                if let Some((shard, expect, document)) = simulation.late_writes.pop() {
                    simulation.write(shard, expect, document);
                }
            }
        }
    }
    settle_all(&mut simulation, steps.len());
    for (key, attempts) in &simulation.granted {
        prop_assert!(attempts.len() == 1, "key {key} was granted to {attempts:?}");
    }
    for attempt in simulation.key_of.keys() {
        let coordinator = simulation.coordinator_of[attempt];
        let is_settled = simulation.settled.contains_key(&(coordinator, *attempt));
        let is_over = is_settled || simulation.lost_attempts.contains(attempt);
        prop_assert!(is_over, "claim {attempt} was never settled");
    }
    Ok(())
}

/// Lets the store serve all calls until every claim is settled.
fn settle_all(simulation: &mut Simulation, steps: usize) {
    for round in 0..200 {
        let now = Moment((steps as u64 + round) * 3 + 1);
        for coordinator in 0..COORDINATORS {
            simulation.serve(now, coordinator, CallOutcome::Served);
            let effects = simulation.coordinators[coordinator].tick(now, WALL_S);
            simulation.take(coordinator, effects);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(2_000), rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_key_is_granted_once(steps in steps()) {
        run_steps(&steps)?;
    }
}

#[test]
fn a_released_key_can_be_claimed_again() {
    let mut simulation = Simulation::new();
    let key = RequestKey(7);
    let (first, second) = (AttemptId(1), AttemptId(2));
    simulation.key_of.insert(first, key);
    simulation.key_of.insert(second, key);
    let effects = simulation.coordinators[0].claim(Moment(1), WALL_S, key, first);
    simulation.take(0, effects);
    settle_all(&mut simulation, 1);
    assert_eq!(simulation.settled[&(0, first)], ClaimOutcome::Granted);
    let effects = simulation.coordinators[0].release(Moment(601), WALL_S, key, first);
    simulation.take(0, effects);
    settle_all(&mut simulation, 200);
    let effects = simulation.coordinators[1].claim(Moment(1_999), WALL_S, key, second);
    simulation.take(1, effects);
    settle_all(&mut simulation, 666);
    assert_eq!(simulation.settled[&(1, second)], ClaimOutcome::Granted);
}

#[test]
fn claims_of_a_shard_are_batched_into_one_write() {
    let mut batch = ClaimBatch::new(ClaimSettings { shards: 1, ..ClaimSettings::default() });
    let (mut reads, mut writes) = (0, 0);
    let mut calls = Vec::new();
    for number in 0..500 {
        calls.extend(batch.claim(Moment(1), WALL_S, RequestKey(number), AttemptId(number)));
    }
    let mut granted = 0;
    while let Some(call) = calls.pop() {
        match call {
            ClaimEffect::Read(shard) => {
                reads += 1;
                let answer = ShardResponse::Read(ClaimDocument::default(), 0);
                calls.extend(batch.handle_response(Moment(2), WALL_S, shard, answer));
            }
            ClaimEffect::Write { shard, .. } => {
                writes += 1;
                calls.extend(batch.handle_response(
                    Moment(3),
                    WALL_S,
                    shard,
                    ShardResponse::Written(1),
                ));
            }
            ClaimEffect::Settle(_, outcome) => {
                assert_eq!(outcome, ClaimOutcome::Granted);
                granted += 1;
            }
        }
    }
    assert_eq!((granted, reads, writes), (500, 1, 1));
}

#[test]
fn claims_are_removed_after_their_retention() {
    let mut batch =
        ClaimBatch::new(ClaimSettings { shards: 1, retention_s: 60, ..ClaimSettings::default() });
    let old = RequestKey(1);
    let mut document = ClaimDocument::default();
    let record = mustardrill_core::claim::ClaimRecord { attempt: AttemptId(9), at_s: WALL_S - 61 };
    document.claims.insert(old, record);
    let shard = ShardIndex(0);
    batch.claim(Moment(1), WALL_S, RequestKey(2), AttemptId(2));
    let effects = batch.handle_response(Moment(2), WALL_S, shard, ShardResponse::Read(document, 4));
    let [ClaimEffect::Write { document, expect: 4, .. }] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert!(!document.claims.contains_key(&old));
    assert_eq!(ClaimDocument::decode(&document.encode()).as_ref(), Ok(document));
}
