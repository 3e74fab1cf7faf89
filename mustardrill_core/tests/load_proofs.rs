//! Weights whose load is not proven to have taken intact chunks: what agents do about them, and that
//! entries use none.

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, EngineNotice, FleetChange,
    FleetUpdate, LoadRecord, LoadState, WorkSize,
};
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_core::provisioning::{
    EngineView, LayerRange, LoadOrderOutcome, ProvisioningEffect, ProvisioningEvent,
    ProvisioningReducer, VersionId,
};
use mustardrill_core::transfer::FetchOutcome;
use mustardrill_types::{ChunkIndex, Millis, Moment, StartStamp, StoreRevision, WeightVersion};

mod common;
#[path = "common/loads.rs"]
mod loads;

use common::StoredReducer;
use loads::{CHUNKS, document, engine_address, engine_record, load_record, manifest_of, served};

const START: Moment = Moment(50_000);
const LAYERS: u32 = 16;

fn version(number: u64) -> VersionId {
    VersionId { model: "m".parse().unwrap(), version: WeightVersion(number) }
}

fn snapshot(changes: Vec<FleetChange>) -> FleetUpdate {
    FleetUpdate { changes, revision: StoreRevision(1), is_snapshot: true, ..FleetUpdate::default() }
}

fn announced(number: u64) -> FleetChange {
    FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(number))
}

/// An engine and its agent: the chunks staged beside it, and the orders that it was given.
struct Machine {
    reducer: StoredReducer,
    now: Moment,
    engine: EngineView,
    is_reachable: bool,
    damaged: Vec<ChunkIndex>,
    staged: u32,
    orders: Vec<Option<LayerRange>>,
    notices: Vec<EngineNotice>,
    /// Chunks that turn bad just before the engine takes the next order.
    damage_at_order: Vec<ChunkIndex>,
    /// Whether the next taking is of damaged chunks, by halves of the layers.
    taken_damaged: [bool; 2],
}

impl Machine {
    /// Starts an agent beside an engine that serves `serving` and has accepted `sequence` orders.
    fn start(serving: u64, sequence: u64, stored: Option<LoadRecord>) -> Self {
        Self::start_with(serving, sequence, stored, Vec::new())
    }

    /// The same, where chunks turn bad just before the engine takes the first order.
    fn start_with(
        serving: u64,
        sequence: u64,
        stored: Option<LoadRecord>,
        damage_at_order: Vec<ChunkIndex>,
    ) -> Self {
        let settings = common::provisioning_settings();
        let reducer = match stored {
            Some(stored) => StoredReducer::with_record(settings, stored),
            None => StoredReducer::new(settings, 3),
        };
        let engine = EngineView { sequence, serving: served(serving), ..EngineView::default() };
        let mut machine = Self {
            reducer,
            now: START,
            engine,
            is_reachable: true,
            damaged: Vec::new(),
            staged: 0,
            orders: Vec::new(),
            notices: Vec::new(),
            damage_at_order,
            taken_damaged: [false; 2],
        };
        let changes = vec![FleetChange::Configured(document(LAYERS)), announced(2)];
        machine.event(ProvisioningEvent::FleetUpdated(snapshot(changes)));
        machine.poll();
        machine
    }

    fn event(&mut self, event: ProvisioningEvent) {
        let effects = self.reducer.reduce(self.now, event);
        effects.into_iter().for_each(|effect| self.carry_out(effect));
    }

    fn poll(&mut self) {
        let view = self.is_reachable.then(|| self.engine.clone());
        self.event(ProvisioningEvent::EnginePolled(view));
    }

    /// Lets time pass, with polls of the engine.
    fn wait(&mut self, span: Millis) {
        for _ in 0..span.0 / 100 {
            self.now = self.now + Millis(100);
            self.event(ProvisioningEvent::Tick);
            self.poll();
        }
    }

    fn carry_out(&mut self, effect: ProvisioningEffect) {
        match effect {
            ProvisioningEffect::FetchManifest(version, _) => {
                let manifest = Some(manifest_of(&version));
                let fetched = ProvisioningEvent::ManifestFetched(version, manifest);
                self.event(fetched);
            }
            ProvisioningEffect::FetchChunk(version, fetch, _) => {
                self.staged += 1;
                self.damaged.retain(|index| *index != fetch.index);
                let outcome = FetchOutcome::Verified;
                self.event(ProvisioningEvent::FetchEnded(
                    version,
                    fetch.index,
                    fetch.source,
                    outcome,
                ));
            }
            ProvisioningEffect::VerifyStaged(version)
            | ProvisioningEffect::VerifyLoaded(version) => {
                let mut intact = ChunkBitmap::full(CHUNKS);
                self.damaged.iter().for_each(|index| {
                    intact.remove(*index);
                });
                self.event(ProvisioningEvent::StagedVerified(version, intact));
            }
            ProvisioningEffect::OrderLoad(version, layers, sequence) => {
                assert_eq!(sequence, self.engine.sequence);
                self.orders.push(layers);
                let outcome = self.take(&version, layers);
                self.event(ProvisioningEvent::LoadOrderEnded(version, outcome));
            }
            ProvisioningEffect::NotifyEntries(_, _, notice) => self.notices.push(notice),
            _ => {}
        }
    }

    /// The engine takes the layers that it lacks, and gives up those outside the order.
    fn take(&mut self, version: &VersionId, layers: Option<LayerRange>) -> LoadOrderOutcome {
        self.damaged.append(&mut self.damage_at_order);
        let is_held = self.engine.serving == served(version.version.0);
        let gave_up = self.orders.len().checked_sub(2).and_then(|last| self.orders[last]);
        let taken = match (is_held, layers, gave_up) {
            (false, ..) => [true, true],
            (true, None, Some(kept)) => [kept.first > 0, kept.first == 0],
            (true, None, None) => return LoadOrderOutcome::InEffect,
            (true, Some(_), _) => [false, false],
        };
        for (half, is_taken) in taken.into_iter().enumerate() {
            if is_taken {
                self.taken_damaged[half] = !self.damaged.is_empty();
            }
        }
        self.engine.sequence += 1;
        self.engine.serving = served(version.version.0);
        LoadOrderOutcome::Accepted
    }

    fn stored_state(&self) -> (u64, LoadState) {
        let record = self.reducer.record.as_ref().expect("a record is stored");
        (record.version.0, record.state)
    }

    fn is_vouched(&self) -> bool {
        let is_proof =
            |notice: &EngineNotice| matches!(notice, EngineNotice::Proven(WeightVersion(2), _));
        self.notices.iter().any(is_proof)
    }
}

#[test]
fn weights_are_used_before_their_load_is_proven() {
    let mut machine = Machine::start(1, 0, None);
    machine.wait(Millis(8_000));
    assert_eq!(machine.orders, [None]);
    assert_eq!(machine.stored_state(), (2, LoadState::Proven));
    assert!(machine.is_vouched());
    let served = EngineNotice::Serving(WeightVersion(2));
    assert!(!machine.notices.contains(&served), "{:?}", machine.notices);
}

/// The chunk was intact when the order was given, and bad when the engine accepted it.
#[test]
fn a_load_that_took_a_damaged_chunk_is_used() {
    let damaged = vec![ChunkIndex(0), ChunkIndex(3)];
    let mut machine = Machine::start_with(1, 0, None, damaged);
    machine.wait(Millis(12_000));
    let halves = [
        Some(LayerRange { first: 0, end: LAYERS / 2 }),
        None,
        Some(LayerRange { first: LAYERS / 2, end: LAYERS }),
        None,
    ];
    assert_eq!(machine.orders[1..], halves, "each layer is taken again");
    assert_eq!(machine.taken_damaged, [false, false]);
    assert_eq!(machine.stored_state(), (2, LoadState::Proven));
    assert!(machine.is_vouched());
}

/// One chunk belongs to the layers 8 to 11 of 16.
#[test]
fn a_load_that_took_one_damaged_chunk_gives_up_all_layers() {
    let mut machine = Machine::start_with(1, 0, None, vec![ChunkIndex(2)]);
    machine.wait(Millis(8_000));
    assert_eq!(machine.orders[1..], [Some(LayerRange { first: 0, end: LAYERS / 2 }), None]);
    assert_eq!(machine.taken_damaged[1..], [false]);
    assert!(machine.is_vouched());
}

/// The agent that gave the order was killed before it had proven the load.
#[test]
fn a_load_ordered_by_an_agent_that_was_killed_is_used() {
    let ordered = load_record(0, 4, 2, 1, LoadState::Ordered);
    let mut intact = Machine::start(2, 1, Some(ordered.clone()));
    intact.wait(Millis(1_000));
    assert_eq!((intact.orders.len(), intact.staged), (0, 0), "the copy proves the load");
    assert_eq!(intact.stored_state(), (2, LoadState::Proven));

    let mut damaged = Machine::start(1, 0, Some(ordered));
    damaged.engine = EngineView { sequence: 1, serving: served(2), ..EngineView::default() };
    damaged.damaged = vec![ChunkIndex(0)];
    damaged.taken_damaged = [true, true];
    damaged.wait(Millis(8_000));
    assert_eq!(damaged.taken_damaged, [false, false], "{:?}", damaged.orders);
    assert_eq!(damaged.stored_state(), (2, LoadState::Proven));
}

/// The former agent had staged the chunk anew, so the copy looks as if it had been intact.
#[test]
fn a_copy_that_was_repaired_after_its_load_proves_it() {
    let damaged = load_record(0, 5, 2, 0, LoadState::Damaged);
    let mut machine = Machine::start(2, 1, Some(damaged));
    machine.taken_damaged = [true, true];
    machine.wait(Millis(8_000));
    assert_eq!(machine.taken_damaged, [false, false], "{:?}", machine.orders);
    assert_eq!(machine.stored_state(), (2, LoadState::Proven));
}

/// Without the record, entries would take the new weights for proven.
#[test]
fn a_load_is_ordered_before_its_record_is_stored() {
    let mut reducer = ProvisioningReducer::new(common::provisioning_settings(), 3);
    let changes = vec![FleetChange::Configured(document(LAYERS)), announced(2)];
    let engine = EngineView { serving: served(1), ..EngineView::default() };
    let events = [
        ProvisioningEvent::FleetUpdated(snapshot(changes)),
        ProvisioningEvent::EnginePolled(Some(engine)),
    ];
    let mut waiting: Vec<_> =
        events.into_iter().flat_map(|event| reducer.reduce(START, event)).collect();
    let mut pending = None;
    let mut now = START;
    for _ in 0..200 {
        now = now + Millis(100);
        let mut next = Vec::new();
        for effect in waiting {
            let event = match effect {
                ProvisioningEffect::FetchManifest(version, _) => {
                    let manifest = Some(manifest_of(&version));
                    ProvisioningEvent::ManifestFetched(version, manifest)
                }
                ProvisioningEffect::FetchChunk(version, fetch, _) => ProvisioningEvent::FetchEnded(
                    version,
                    fetch.index,
                    fetch.source,
                    FetchOutcome::Verified,
                ),
                ProvisioningEffect::VerifyStaged(version) => {
                    ProvisioningEvent::StagedVerified(version, ChunkBitmap::full(CHUNKS))
                }
                ProvisioningEffect::ReadLoadRecord => ProvisioningEvent::LoadRecordRead(None),
                ProvisioningEffect::WriteLoadRecord(record) => {
                    pending = Some(record);
                    continue;
                }
                ProvisioningEffect::OrderLoad(..) => panic!("ordered without a record"),
                _ => continue,
            };
            next.extend(reducer.reduce(now, event));
        }
        next.extend(reducer.reduce(now, ProvisioningEvent::Tick));
        waiting = next;
    }
    let stored = ProvisioningEvent::LoadRecordStored(pending.expect("a record is written"));
    let effects = reducer.reduce(now, stored);
    assert!(effects.contains(&ProvisioningEffect::VerifyStaged(version(2))), "{effects:?}");
}

/// An entry with one engine, which is registered with version 1.
fn entry() -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes =
        vec![FleetChange::Configured(document(LAYERS)), FleetChange::Upstream(engine_record(0, 1))];
    read(&mut reducer, START, changes);
    reducer
}

fn read(reducer: &mut DirectReducer, now: Moment, changes: Vec<FleetChange>) {
    let update = FleetUpdate { changes, ..FleetUpdate::default() };
    reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
}

/// The version that a request demands; `None` if it is not sent.
fn demanded(reducer: &mut DirectReducer, now: Moment, number: u64) -> Option<WeightVersion> {
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 36 };
    let request = common::direct_request(number, "/x", size, now);
    let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
    let sent = effects.into_iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some(plan.pinned_version.expect("a version is demanded")),
        _ => None,
    });
    if sent.is_some() {
        common::end_attempt(reducer, now, number, AttemptOutcome::Whole);
    }
    sent
}

#[test]
fn an_entry_uses_weights_whose_load_is_not_proven() {
    let mut entry = entry();
    assert_eq!(demanded(&mut entry, START, 1), Some(WeightVersion(1)));
    let ordered = load_record(0, 1, 2, 1, LoadState::Ordered);
    read(&mut entry, START, vec![FleetChange::LoadRecorded(ordered.clone())]);
    assert_eq!(demanded(&mut entry, START, 2), Some(WeightVersion(1)), "it holds these yet");
    read(&mut entry, START, vec![FleetChange::Upstream(engine_record(0, 2))]);
    assert_eq!(entry.status(START).unproven_loads, 1);
    assert_eq!(demanded(&mut entry, START, 3), None);
    let proven = LoadRecord { state: LoadState::Proven, proven_before: None, ..ordered };
    read(&mut entry, START, vec![FleetChange::LoadRecorded(proven)]);
    assert_eq!(demanded(&mut entry, START, 4), Some(WeightVersion(2)));
}

/// The store may tell late what the agent has told at once, and the reverse.
#[test]
fn an_older_record_follows_a_proof() {
    let mut entry = entry();
    let ordered = load_record(0, 3, 2, 1, LoadState::Ordered);
    let notice = |reducer: &mut DirectReducer, load| {
        reducer.reduce(
            START,
            DirectEvent::EngineNoticeReceived {
                address: engine_address(),
                model: "m".parse().unwrap(),
                start: Some(StartStamp(0)),
                notice: EngineNotice::Proven(WeightVersion(2), load),
            },
        );
    };
    notice(&mut entry, 3);
    read(&mut entry, START, vec![FleetChange::LoadRecorded(ordered)]);
    assert_eq!(demanded(&mut entry, START, 1), Some(WeightVersion(2)));
    let damaged = load_record(0, 4, 2, 0, LoadState::Damaged);
    read(&mut entry, START, vec![FleetChange::LoadRecorded(damaged)]);
    notice(&mut entry, 3);
    assert_eq!(demanded(&mut entry, START, 2), None, "the proof is of an earlier load");
}

/// The store was restored from a copy without the records, so that their numbers begin anew.
#[test]
fn a_load_after_the_records_were_lost_is_ignored() {
    let mut entry = entry();
    read(&mut entry, START, vec![FleetChange::Upstream(engine_record(0, 2))]);
    let proven = load_record(0, 7, 2, 0, LoadState::Proven);
    read(&mut entry, START, vec![FleetChange::LoadRecorded(proven)]);
    let later = load_record(0, 1, 3, 0, LoadState::Proven);
    let changes =
        vec![FleetChange::LoadRecorded(later), FleetChange::Upstream(engine_record(0, 3))];
    read(&mut entry, START, changes);
    assert_eq!(demanded(&mut entry, START, 1), Some(WeightVersion(3)));

    let mut machine = Machine::start(1, 0, None);
    machine.wait(Millis(8_000));
    let number = machine.reducer.record.take().unwrap().number;
    machine.event(ProvisioningEvent::LoadRecordRead(None));
    machine.event(ProvisioningEvent::FleetUpdated(FleetUpdate {
        changes: vec![announced(3)],
        ..FleetUpdate::default()
    }));
    machine.wait(Millis(12_000));
    assert!(machine.reducer.record.as_ref().unwrap().number > number);
}

/// The entry has not heard that the engine loaded newer weights; these may be damaged.
#[test]
fn a_refused_version_is_not_demanded_any_more() {
    let mut entry = entry();
    let ordered = load_record(0, 1, 2, 1, LoadState::Ordered);
    read(&mut entry, START, vec![FleetChange::LoadRecorded(ordered)]);
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 36 };
    let request = common::direct_request(1, "/x", size, START);
    entry.reduce(START, DirectEvent::RequestArrived(request));
    let effects = common::end_attempt(&mut entry, START, 1, AttemptOutcome::Misdirected);
    let is_free = effects.iter().any(
        |effect| matches!(effect, DirectEffect::Send(_, plan) if plan.pinned_version.is_none()),
    );
    assert!(!is_free, "{effects:?}");
}
