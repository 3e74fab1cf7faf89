//! Upstreams that start again under their id with a lower start stamp, as their clock jumped back.

use mustardrill_core::direct::{
    DirectEvent, DirectReducer, FleetChange, FleetUpdate, UpstreamRecord, WarmupReport,
};
use mustardrill_types::{Millis, Moment, StartStamp, StoreRevision};

mod common;

use common::desk_id;

const START: Moment = Moment(100_000);
const HEARTBEAT: Millis = Millis(1_200);

/// A registration of the first upstream.
fn registration(start: u64, sequence: u64, leaving: bool) -> UpstreamRecord {
    let warmup = WarmupReport { remaining: Millis(0), sequence };
    UpstreamRecord { start: StartStamp(start), warmup, leaving, ..common::desk(0) }
}

struct Reader {
    reducer: DirectReducer,
    now: Moment,
}

impl Reader {
    /// An entry that knows two upstreams; the first has registered five times since its start at 100.
    fn start() -> Self {
        let mut reducer = DirectReducer::new(common::direct_settings(), 1);
        let mut changes = common::desk_fleet(2);
        changes.push(FleetChange::Upstream(registration(100, 5, false)));
        let event = DirectEvent::StoreAnswered(update(changes, true), START);
        reducer.reduce(START, event);
        Self { reducer, now: START }
    }

    /// Reads a registration a heartbeat after the one before.
    fn read(&mut self, record: UpstreamRecord) {
        self.now = self.now + HEARTBEAT;
        let changes = vec![FleetChange::Upstream(record)];
        let event = DirectEvent::StoreAnswered(update(changes, false), self.now);
        self.reducer.reduce(self.now, event);
    }

    fn is_used(&mut self) -> bool {
        common::reached_desks(&mut self.reducer, 2, self.now).contains(&desk_id(0))
    }
}

fn update(changes: Vec<FleetChange>, is_snapshot: bool) -> FleetUpdate {
    FleetUpdate { changes, revision: StoreRevision(1), is_snapshot, ..FleetUpdate::default() }
}

#[test]
fn the_departure_of_an_upstream_with_a_lower_stamp_is_ignored() {
    let mut reader = Reader::start();
    reader.read(registration(60, 1, false));
    reader.read(registration(60, 2, false));
    assert!(reader.is_used());
    reader.read(registration(60, 3, true));
    assert!(!reader.is_used());
}

#[test]
fn a_departure_with_the_second_registration_is_ignored() {
    let mut reader = Reader::start();
    reader.read(registration(60, 1, false));
    reader.read(registration(60, 2, true));
    assert!(!reader.is_used());
}

#[test]
fn a_late_write_of_an_earlier_incarnation_stops_one_that_registers() {
    let mut reader = Reader::start();
    for sequence in 6..9 {
        reader.read(registration(60, sequence + 10, true));
        assert!(reader.is_used());
        reader.read(registration(100, sequence, false));
        assert!(reader.is_used());
    }
}

#[test]
fn one_write_that_is_read_twice_counts_as_two() {
    let mut reader = Reader::start();
    reader.read(registration(60, 9, true));
    reader.read(registration(60, 9, true));
    assert!(reader.is_used());
}

#[test]
fn a_late_write_of_the_higher_stamp_brings_its_incarnation_back() {
    let mut reader = Reader::start();
    reader.read(registration(60, 1, false));
    reader.read(registration(60, 2, true));
    reader.read(registration(100, 6, false));
    assert!(!reader.is_used(), "the later incarnation leaves");
    reader.read(registration(60, 3, true));
    assert!(!reader.is_used());
}

#[test]
fn a_third_incarnation_after_a_lower_stamp_is_not_believed() {
    let mut reader = Reader::start();
    reader.read(registration(60, 1, false));
    reader.read(registration(60, 2, true));
    reader.read(registration(120, 1, false));
    assert!(reader.is_used());
    reader.read(registration(120, 2, true));
    assert!(!reader.is_used());
}
