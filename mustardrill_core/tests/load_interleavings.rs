//! Loads whose orders, reports, records and read-backs come late, or not at all.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_core::direct::{
    CallerLimits, DirectEffect, DirectEvent, DirectReducer, EngineNotice, EngineProfile,
    FleetChange, FleetUpdate, LoadRecord, LoadState, OriginProfile, RepeatRule, RouteDocument,
    ServedWeights, ServiceProfile, UpstreamRecord, WarmupReport, WorkSize,
};
use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::provisioning::{
    EngineView, LayerRange, LoadOrderOutcome, ProvisioningEffect, ProvisioningEvent,
    ProvisioningReducer, VersionId,
};
use mustardrill_core::transfer::FetchOutcome;
use mustardrill_types::{
    ByteSize, ChunkIndex, FastMap, Generation, ManifestDigest, Millis, Moment, StartStamp,
    StoreRevision, WeightVersion,
};

mod common;

const START: Moment = Moment(50_000);
const CHUNKS: u32 = 4;

fn engine_address() -> SocketAddr {
    common::provisioning_settings().engine
}

fn document(layers: u32) -> Arc<RouteDocument> {
    let engine = EngineProfile {
        chunks: CHUNKS,
        layers,
        chunk_size: ByteSize(1_000),
        ..common::engine_profile()
    };
    let route = common::public_route("drafts", "/", "pool", RepeatRule::StreamResumable);
    let mut services = FastMap::default();
    let pool = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    services.insert("pool".parse().unwrap(), pool);
    let origin = OriginProfile {
        address: SocketAddr::from(([172, 20, 0, 3], 8006)),
        data_centre: "hall-b".parse().unwrap(),
        link_mbps: 0.0,
        connection_limit: 0,
    };
    let records = ServiceProfile { origin: Some(origin), ..ServiceProfile::default() };
    services.insert("records".parse().unwrap(), records);
    Arc::new(RouteDocument::new(
        Generation(1),
        vec![route],
        services,
        Vec::new(),
        CallerLimits::default(),
    ))
}

fn served(number: u64) -> Vec<ServedWeights> {
    let version = WeightVersion(number);
    (number > 0)
        .then(|| ServedWeights { model: "m".parse().unwrap(), version })
        .into_iter()
        .collect()
}

fn record(start: u64, number: u64, load: u64, before: u64, state: LoadState) -> LoadRecord {
    LoadRecord {
        engine: engine_address(),
        start: StartStamp(start),
        number,
        model: "m".parse().unwrap(),
        version: WeightVersion(load),
        proven_before: (before > 0).then_some(WeightVersion(before)),
        state,
    }
}

/// An agent, its engine and the store, where each answers only when told to.
struct Bench {
    reducer: ProvisioningReducer,
    now: Moment,
    queue: VecDeque<ProvisioningEvent>,
    is_handling: bool,
    holds_part: bool,
    strikes: bool,
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

impl Bench {
    fn new(engine: EngineView, stored: Option<LoadRecord>) -> Self {
        Self {
            reducer: ProvisioningReducer::new(common::provisioning_settings(), 3),
            now: START,
            queue: VecDeque::new(),
            is_handling: false,
            holds_part: false,
            strikes: false,
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
                let manifest = Manifest {
                    model: "m".parse().unwrap(),
                    version: version.version.to_string().parse().unwrap(),
                    size: ByteSize(u64::from(CHUNKS)),
                    chunk_size: ByteSize(1),
                    chunks: (0..CHUNKS as u8).map(|index| ManifestDigest([index; 32])).collect(),
                };
                self.event(ProvisioningEvent::ManifestFetched(version, Some(manifest.into())));
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
    let mut bench = Bench::new(engine(10, 0, 1), None);
    bench.begin(16);
    bench.holds_reads = true;
    bench.wait(6_000);
    assert!(bench.read_waits.is_some(), "the check goes on");
    bench.store_answers = false;
    bench.engine = engine(20, 0, 0);
    bench.poll();
    bench.finish_read();
    bench.wait(1_000);
    assert_eq!(bench.unrecorded_orders, 0, "{:?} stored={:?}", bench.orders, bench.stored);
}

/// An order without an answer; a chunk turns bad; the engine takes the order late; the agent finds
/// the chunk and stages it anew, and is killed.
#[test]
fn successor_proves_a_copy_that_was_repaired_after_a_late_order() {
    let mut bench = Bench::new(engine(10, 0, 1), None);
    bench.holds_orders = true;
    bench.begin(16);
    while bench.held.is_empty() {
        bench.wait(100);
    }
    bench.wait(3_500);
    bench.bad = vec![2];
    // The order is overdue; the check finds the chunk.
    bench.may_fetch = false;
    bench.wait(1_500);
    assert!(bench.fetched > 0, "the chunk is to be fetched again");
    bench.take_held();
    assert!(bench.took_bad);
    bench.may_fetch = true;
    // Staged anew in this tick, or in one of the next.
    let mut ticks = 0;
    while !bench.bad.is_empty() && ticks < 1_000 {
        bench.now = bench.now + Millis(5);
        bench.event(ProvisioningEvent::Tick);
        ticks += 1;
    }
    println!("ticks={ticks} stored={:?}", bench.stored);
    assert!(bench.bad.is_empty());
    bench.holds_orders = false;
    bench.succeed();
    bench.wait(300);
    println!("stored={:?} orders={:?} notices={:?}", bench.stored, bench.orders, bench.notices);
    assert!(!bench.is_vouched(), "a load of a damaged chunk is proven: {:?}", bench.stored);
}

/// The agent starts while an order of its predecessor is carried out, and reads the record late:
/// meanwhile it has staged the damaged chunk anew.
#[test]
fn record_read_late_proves_a_copy_that_was_repaired() {
    let ordered = record(10, 1, 2, 1, LoadState::Ordered);
    // Accepted, with a damaged chunk; it still serves version 1 to the end of what it runs.
    let mut bench = Bench::new(engine(10, 1, 1), Some(ordered));
    bench.engine.busy = true;
    bench.bad = vec![2];
    bench.took_bad = true;
    bench.store_answers = false;
    bench.begin(16);
    bench.wait(2_000);
    assert!(bench.bad.is_empty(), "staged anew before the record is read");
    bench.engine = engine(10, 1, 2);
    bench.wait(500);
    bench.store_answers = true;
    bench.wait(100);
    bench.wait(200);
    println!("stored={:?} orders={:?} notices={:?}", bench.stored, bench.orders, bench.notices);
    assert!(!bench.is_vouched(), "a load of a damaged chunk is proven: {:?}", bench.stored);
}

/// The record of a proven load is read while one poll has no answer.
#[test]
fn record_read_while_the_engine_is_silent_condemns_a_proven_load() {
    let proven = record(10, 1, 2, 0, LoadState::Proven);
    let mut bench = Bench::new(engine(10, 1, 2), Some(proven));
    bench.store_answers = false;
    bench.begin(16);
    bench.event(ProvisioningEvent::EnginePolled(None));
    bench.store_answers = true;
    bench.store();
    bench.poll();
    bench.wait(8_000);
    println!("stored={:?} orders={:?}", bench.stored, bench.orders);
    let is_condemned = bench.stored.as_ref().is_some_and(|it| it.state == LoadState::Damaged);
    assert!(!is_condemned && bench.orders.is_empty(), "a proven load is repeated");
}

/// A configuration without the number of layers.
#[test]
fn reload_without_a_layer_count_loops() {
    let damaged = record(10, 2, 2, 0, LoadState::Damaged);
    let mut bench = Bench::new(engine(10, 1, 2), Some(damaged));
    bench.took_bad = true;
    bench.begin(1);
    bench.wait(20_000);
    println!("orders={} stored={:?}", bench.orders.len(), bench.stored);
    assert!(bench.orders.len() < 10, "{} orders in 20 s", bench.orders.len());
}

/// The write of a killed agent takes effect after its successor has read the record; both
/// orders bear the same number, the second is about the next incarnation of the engine.
#[test]
fn entry_ignores_a_record_whose_number_was_used_before() {
    let mut entry = DirectReducer::new(common::direct_settings(), 7);
    let upstream = |start, number| UpstreamRecord {
        id: "u1".parse().unwrap(),
        start: StartStamp(start),
        service: "pool".parse().unwrap(),
        address: engine_address(),
        data_centre: "hall-a".parse().unwrap(),
        slots: 4,
        leaving: false,
        serving: served(number),
        warmup: WarmupReport::default(),
    };
    let mut read = |changes| {
        let update = FleetUpdate { changes, ..FleetUpdate::default() };
        entry.reduce(START, DirectEvent::StoreAnswered(update, START));
    };
    read(vec![FleetChange::Configured(document(16)), FleetChange::Upstream(upstream(10, 1))]);
    read(vec![FleetChange::LoadRecorded(record(10, 6, 2, 1, LoadState::Ordered))]);
    read(vec![FleetChange::LoadRecorded(record(20, 6, 2, 0, LoadState::Ordered))]);
    read(vec![FleetChange::Upstream(upstream(20, 2))]);
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
    let mut bench = Bench::new(engine(10, 0, 1), None);
    bench.begin(16);
    bench.strikes = true;
    while bench.orders.is_empty() {
        bench.now = bench.now + Millis(25);
        bench.event(ProvisioningEvent::Tick);
        bench.store();
    }
    for _ in 0..3 {
        bench.now = bench.now + Millis(25);
        bench.event(ProvisioningEvent::Tick);
        bench.store();
    }
    assert!(bench.took_bad);
    println!("orders={:?} stored={:?}", bench.orders, bench.stored);
    bench.wait(1_000);
    println!("orders={:?} stored={:?} {:?}", bench.orders, bench.stored, bench.notices);
    assert!(!bench.is_vouched(), "a load of a damaged chunk is proven");
}

/// An engine that no entry may use waits for the slot that spreads the pauses of engines in use.
#[test]
fn reload_of_an_unused_engine_waits_for_a_slot() {
    let mut bench = Bench::new(engine(10, 0, 1), None);
    let update =
        |changes, is_snapshot| FleetUpdate { changes, is_snapshot, ..FleetUpdate::default() };
    let configured = vec![FleetChange::Configured(document(16))];
    bench.event(ProvisioningEvent::FleetUpdated(update(configured, true)));
    bench.poll();
    let announced = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    bench.event(ProvisioningEvent::FleetUpdated(update(vec![announced], false)));
    bench.strikes = true;
    while bench.orders.is_empty() {
        bench.wait(100);
    }
    let found_at = bench.now;
    bench.strikes = false;
    while bench.orders.len() < 2 {
        bench.wait(100);
    }
    let waited = bench.now.since(found_at);
    println!("first={} waited={waited} of {:?}", found_at.since(START), common::ROLLOUT);
    assert!(waited <= Millis(500), "the reload is ordered {waited} after the damage was found");
}
