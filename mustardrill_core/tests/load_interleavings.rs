//! Loads whose orders, reports, records and read-backs come late, or not at all.

use std::collections::VecDeque;

use mustardrill_core::direct::{
    DirectEffect, DirectEvent, DirectReducer, EngineNotice, FleetChange, FleetUpdate, LoadRecord,
    LoadState, WorkSize,
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

use loads::{CHUNKS, document, engine_record, load_record, manifest_of, served};

const START: Moment = Moment(50_000);
/// An agent, its engine and the store, where each answers only when told to.
struct DelayedMachine {
    reducer: ProvisioningReducer,
    now: Moment,
    queue: VecDeque<ProvisioningEvent>,
    is_handling: bool,
    holds_part: bool,
    strikes: bool,
    /// The engine is busy after an order, until the test says otherwise.
    loads_take_time: bool,
    engine: EngineView,
    store_answers: bool,
    stored: Option<LoadRecord>,
    reads_due: bool,
    write_due: Option<LoadRecord>,
    bad: Vec<u32>,
    /// The engine took a damaged chunk.
    took_bad: bool,
    /// Orders lie in the engine's socket instead of being taken.
    holds_orders: bool,
    held: Vec<(VersionId, u64)>,
    /// Read-backs wait.
    holds_reads: bool,
    read_waits: Option<VersionId>,
    orders: Vec<Option<LayerRange>>,
    unrecorded_orders: usize,
    fetched: usize,
    may_fetch: bool,
    notices: Vec<EngineNotice>,
}

impl DelayedMachine {
    fn new(engine: EngineView, stored: Option<LoadRecord>) -> Self {
        Self {
            reducer: ProvisioningReducer::new(common::provisioning_settings(), 3),
            now: START,
            queue: VecDeque::new(),
            is_handling: false,
            holds_part: false,
            strikes: false,
            loads_take_time: false,
            engine,
            store_answers: true,
            stored,
            reads_due: false,
            write_due: None,
            bad: Vec::new(),
            took_bad: false,
            holds_orders: false,
            held: Vec::new(),
            holds_reads: false,
            read_waits: None,
            orders: Vec::new(),
            unrecorded_orders: 0,
            fetched: 0,
            may_fetch: true,
            notices: Vec::new(),
        }
    }

    fn begin(&mut self, layers: u32) {
        let announced = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
        let update = FleetUpdate {
            changes: vec![FleetChange::Configured(document(layers)), announced],
            revision: StoreRevision(1),
            is_snapshot: true,
            ..FleetUpdate::default()
        };
        self.event(ProvisioningEvent::FleetUpdated(update));
        self.poll();
    }

    /// The agent process is killed; another one starts beside the same engine and store.
    fn succeed(&mut self) {
        self.reducer = ProvisioningReducer::new(common::provisioning_settings(), 4);
        self.write_due = None;
        self.reads_due = false;
        self.read_waits = None;
        self.notices.clear();
        self.begin(16);
    }

    /// Handles an event, and those that its effects lead to one after the other.
    fn event(&mut self, event: ProvisioningEvent) {
        self.queue.push_back(event);
        if std::mem::replace(&mut self.is_handling, true) {
            return;
        }
        while let Some(event) = self.queue.pop_front() {
            let effects = self.reducer.reduce(self.now, event);
            effects.into_iter().for_each(|effect| self.carry_out(effect));
        }
        self.is_handling = false;
    }

    fn poll(&mut self) {
        self.event(ProvisioningEvent::EnginePolled(Some(self.engine.clone())));
    }

    fn store(&mut self) {
        if !self.store_answers {
            return;
        }
        if std::mem::take(&mut self.reads_due) {
            self.event(ProvisioningEvent::LoadRecordRead(self.stored.clone()));
        }
        if let Some(record) = self.write_due.take() {
            self.stored = Some(record.clone());
            self.event(ProvisioningEvent::LoadRecordStored(record));
        }
    }

    fn wait(&mut self, span: u64) {
        for _ in 0..span / 100 {
            self.now = self.now + Millis(100);
            self.event(ProvisioningEvent::Tick);
            self.store();
            self.poll();
        }
    }

    fn finish_read(&mut self) {
        if let Some(version) = self.read_waits.take() {
            let mut intact = ChunkBitmap::full(CHUNKS);
            self.bad.iter().for_each(|index| {
                intact.remove(ChunkIndex(*index));
            });
            self.event(ProvisioningEvent::StagedVerified(version, intact));
        }
    }

    fn carry_out(&mut self, effect: ProvisioningEffect) {
        match effect {
            ProvisioningEffect::FetchManifest(version, _) => {
                let manifest = Some(manifest_of(&version));
                self.event(ProvisioningEvent::ManifestFetched(version, manifest));
            }
            ProvisioningEffect::FetchChunk(version, fetch, _) => {
                self.fetched += 1;
                let outcome = if self.may_fetch {
                    self.bad.retain(|index| *index != fetch.index.0);
                    FetchOutcome::Verified
                } else {
                    FetchOutcome::Busy(Vec::new())
                };
                self.event(ProvisioningEvent::FetchEnded(
                    version,
                    fetch.index,
                    fetch.source,
                    outcome,
                ));
            }
            ProvisioningEffect::VerifyStaged(version)
            | ProvisioningEffect::VerifyLoaded(version) => {
                self.read_waits = Some(version);
                if !self.holds_reads {
                    self.finish_read();
                }
            }
            ProvisioningEffect::OrderLoad(version, layers, sequence) => {
                self.orders.push(layers);
                let spent = self.now.since(START);
                assert!(self.orders.len() < 40, "{} orders within {spent}", self.orders.len());
                let is_recorded = self.stored.as_ref().is_some_and(|stored| {
                    stored.start == self.engine.start
                        && stored.version == version.version
                        && stored.state != LoadState::Proven
                });
                self.unrecorded_orders += usize::from(!is_recorded);
                if self.strikes && self.orders.len() == 1 {
                    self.bad = vec![2];
                }
                if self.strikes && self.orders.len() == 2 {
                    // Its answer (409) is late or lost.
                } else if self.holds_orders {
                    self.held.push((version.clone(), sequence));
                    let outcome = LoadOrderOutcome::Unknown;
                    self.event(ProvisioningEvent::LoadOrderEnded(version, outcome));
                } else {
                    let outcome = self.take(&version, layers, sequence);
                    self.engine.busy |= self.loads_take_time;
                    self.event(ProvisioningEvent::LoadOrderEnded(version, outcome));
                }
            }
            ProvisioningEffect::ReadLoadRecord => self.reads_due = true,
            ProvisioningEffect::WriteLoadRecord(record) => self.write_due = Some(record),
            ProvisioningEffect::NotifyEntries(_, _, notice) => self.notices.push(notice),
            _ => {}
        }
    }

    fn take(
        &mut self,
        version: &VersionId,
        layers: Option<LayerRange>,
        sequence: u64,
    ) -> LoadOrderOutcome {
        if layers.is_some() != self.holds_part {
            self.holds_part = layers.is_some();
            self.engine.sequence += 1;
            return LoadOrderOutcome::Accepted;
        }
        if self.engine.serving == served(version.version.0) {
            return LoadOrderOutcome::InEffect;
        }
        if sequence != self.engine.sequence {
            return LoadOrderOutcome::Rejected;
        }
        self.took_bad = !self.bad.is_empty();
        self.engine.sequence += 1;
        self.engine.serving = served(version.version.0);
        LoadOrderOutcome::Accepted
    }

    /// The engine takes the orders that lie in its socket.
    fn take_held(&mut self) {
        for (version, sequence) in std::mem::take(&mut self.held) {
            self.take(&version, None, sequence);
        }
    }

    fn is_vouched(&self) -> bool {
        let in_store = self.stored.as_ref().is_some_and(|it| it.state == LoadState::Proven);
        let notices = &self.notices;
        in_store || notices.iter().any(|it| matches!(it, EngineNotice::Proven(WeightVersion(2), _)))
    }
}

fn engine(start: u64, sequence: u64, serving: u64) -> EngineView {
    EngineView {
        start: StartStamp(start),
        sequence,
        serving: served(serving),
        ..EngineView::default()
    }
}

/// The engine restarts while its chunks are read back before the order; the store is away then.
#[test]
fn restart_during_the_check_orders_without_a_record() {
    let mut machine = DelayedMachine::new(engine(10, 0, 1), None);
    machine.begin(16);
    machine.holds_reads = true;
    machine.wait(6_000);
    assert!(machine.read_waits.is_some(), "the check goes on");
    machine.store_answers = false;
    machine.engine = engine(20, 0, 0);
    machine.poll();
    machine.finish_read();
    machine.wait(1_000);
    assert_eq!(machine.unrecorded_orders, 0, "{:?} stored={:?}", machine.orders, machine.stored);
}

/// An order without an answer; a chunk turns bad; the engine takes the order late; the agent finds
/// the chunk and stages it anew, and is killed.
#[test]
fn successor_proves_a_copy_that_was_repaired_after_a_late_order() {
    let mut machine = DelayedMachine::new(engine(10, 0, 1), None);
    machine.holds_orders = true;
    machine.begin(16);
    while machine.held.is_empty() {
        machine.wait(100);
    }
    machine.wait(3_500);
    machine.bad = vec![2];
    // The order is overdue; the check finds the chunk.
    machine.may_fetch = false;
    machine.wait(1_500);
    assert!(machine.fetched > 0, "the chunk is to be fetched again");
    machine.take_held();
    assert!(machine.took_bad);
    machine.may_fetch = true;
    // Staged anew in this tick, or in one of the next.
    let mut ticks = 0;
    while !machine.bad.is_empty() && ticks < 1_000 {
        machine.now = machine.now + Millis(5);
        machine.event(ProvisioningEvent::Tick);
        ticks += 1;
    }
    assert!(machine.bad.is_empty());
    machine.holds_orders = false;
    machine.succeed();
    machine.wait(300);
    assert!(!machine.is_vouched(), "a load of a damaged chunk is proven: {:?}", machine.stored);
}

/// The agent starts while an order of its predecessor is carried out, and reads the record late:
/// meanwhile it has staged the damaged chunk anew.
#[test]
fn record_read_late_proves_a_copy_that_was_repaired() {
    let ordered = load_record(10, 1, 2, 1, LoadState::Ordered);
    // Accepted, with a damaged chunk; it still serves version 1 to the end of what it runs.
    let mut machine = DelayedMachine::new(engine(10, 1, 1), Some(ordered));
    machine.engine.busy = true;
    machine.bad = vec![2];
    machine.took_bad = true;
    machine.store_answers = false;
    machine.begin(16);
    machine.wait(2_000);
    assert!(machine.bad.is_empty(), "staged anew before the record is read");
    machine.engine = engine(10, 1, 2);
    machine.wait(500);
    machine.store_answers = true;
    machine.wait(100);
    machine.wait(200);
    assert!(!machine.is_vouched(), "a load of a damaged chunk is proven: {:?}", machine.stored);
}

/// The record of a proven load is read while one poll has no answer.
#[test]
fn record_read_while_the_engine_is_silent_condemns_a_proven_load() {
    let proven = load_record(10, 1, 2, 0, LoadState::Proven);
    let mut machine = DelayedMachine::new(engine(10, 1, 2), Some(proven));
    machine.store_answers = false;
    machine.begin(16);
    machine.event(ProvisioningEvent::EnginePolled(None));
    machine.store_answers = true;
    machine.store();
    machine.poll();
    machine.wait(8_000);
    let is_condemned = machine.stored.as_ref().is_some_and(|it| it.state == LoadState::Damaged);
    assert!(!is_condemned && machine.orders.is_empty(), "a proven load is repeated");
}

/// A configuration without the number of layers.
#[test]
fn reload_without_a_layer_count_loops() {
    let damaged = load_record(10, 2, 2, 0, LoadState::Damaged);
    let mut machine = DelayedMachine::new(engine(10, 1, 2), Some(damaged));
    machine.took_bad = true;
    machine.begin(1);
    machine.wait(20_000);
    assert!(machine.orders.len() < 10, "{} orders in 20 s", machine.orders.len());
}

/// The write of a killed agent takes effect after its successor has read the record; both
/// orders bear the same number, the second is about the next incarnation of the engine.
#[test]
fn entry_ignores_a_record_whose_number_was_used_before() {
    let mut entry = DirectReducer::new(common::direct_settings(), 7);
    let mut read = |changes| {
        let update = FleetUpdate { changes, ..FleetUpdate::default() };
        entry.reduce(START, DirectEvent::StoreAnswered(update, START));
    };
    read(vec![FleetChange::Configured(document(16)), FleetChange::Upstream(engine_record(10, 1))]);
    read(vec![FleetChange::LoadRecorded(load_record(10, 6, 2, 1, LoadState::Ordered))]);
    read(vec![FleetChange::LoadRecorded(load_record(20, 6, 2, 0, LoadState::Ordered))]);
    read(vec![FleetChange::Upstream(engine_record(20, 2))]);
    let size = WorkSize { prompt_tokens: 300, answer_tokens: 36 };
    let request = common::direct_request(1, "/x", size, START);
    let effects = entry.reduce(START, DirectEvent::RequestArrived(request));
    let is_sent = effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)));
    assert!(!is_sent, "a request is sent to weights whose load is not proven");
}

/// A damaged load is found out and staged anew before the next poll of the engine. The next order
/// names the sequence from before the first one, and the poll is taken for its acceptance.
#[test]
fn order_on_an_old_report_proves_the_damaged_load() {
    let mut machine = DelayedMachine::new(engine(10, 0, 1), None);
    machine.begin(16);
    machine.strikes = true;
    while machine.orders.is_empty() {
        machine.now = machine.now + Millis(25);
        machine.event(ProvisioningEvent::Tick);
        machine.store();
    }
    for _ in 0..3 {
        machine.now = machine.now + Millis(25);
        machine.event(ProvisioningEvent::Tick);
        machine.store();
    }
    assert!(machine.took_bad);
    machine.wait(1_000);
    assert!(!machine.is_vouched(), "a load of a damaged chunk is proven");
}

/// An engine that takes layers anew reports the version all the while, and accepts no requests.
#[test]
fn a_load_is_vouched_for_while_the_engine_is_busy_with_it() {
    let damaged = load_record(10, 2, 2, 0, LoadState::Damaged);
    let mut machine = DelayedMachine::new(engine(10, 1, 2), Some(damaged));
    machine.begin(16);
    machine.loads_take_time = true;
    while machine.orders.len() < 4 {
        machine.engine.busy = false;
        machine.wait(100);
    }
    machine.wait(300);
    assert!(machine.engine.busy);
    let proof = EngineNotice::Proven(WeightVersion(2), 2);
    assert!(!machine.notices.contains(&proof), "the engine accepts no requests yet");
    machine.engine.busy = false;
    machine.wait(100);
    assert!(machine.notices.contains(&proof), "{:?}", machine.notices);
}

/// A report from before the order arrives after the proof.
#[test]
fn a_late_report_revokes_a_proof() {
    let mut machine = DelayedMachine::new(engine(10, 0, 1), None);
    let early = machine.engine.clone();
    machine.begin(16);
    while !machine.is_vouched() {
        machine.now = machine.now + Millis(25);
        machine.event(ProvisioningEvent::Tick);
        machine.store();
    }
    assert_eq!(machine.orders, [None]);
    machine.event(ProvisioningEvent::EnginePolled(Some(early)));
    machine.wait(1_000);
    assert!(machine.reducer.status().serving, "{:?}", machine.stored);
    assert_eq!(machine.orders, [None]);
}

/// An engine that no entry may use waits for the slot that spreads the pauses of engines in use.
#[test]
fn reload_of_an_unused_engine_waits_for_a_slot() {
    let mut machine = DelayedMachine::new(engine(10, 0, 1), None);
    let update =
        |changes, is_snapshot| FleetUpdate { changes, is_snapshot, ..FleetUpdate::default() };
    let configured = vec![FleetChange::Configured(document(16))];
    machine.event(ProvisioningEvent::FleetUpdated(update(configured, true)));
    machine.poll();
    let announced = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    machine.event(ProvisioningEvent::FleetUpdated(update(vec![announced], false)));
    machine.strikes = true;
    while machine.orders.is_empty() {
        machine.wait(100);
    }
    let found_at = machine.now;
    machine.strikes = false;
    while machine.orders.len() < 2 {
        machine.wait(100);
    }
    let waited = machine.now.since(found_at);
    assert!(waited <= Millis(500), "the reload is ordered {waited} after the damage was found");
}
