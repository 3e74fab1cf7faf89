//! Shares of customers' limits at entries whose agents receive reports of some entries only, and
//! the quarantine that the same heartbeats carry.

mod common;

use std::sync::Arc;

use common::{desk_instance, document_with, entry_settings};
use mustardrill_core::demand::DemandRow;
use mustardrill_core::document::CustomerLimits;
use mustardrill_core::entry::{
    AgentSync, EntryEffect, EntryEvent, EntryReducer, IncomingRequest, RequestId,
};
use mustardrill_core::limit::LimitTable;
use mustardrill_core::quarantine::CrashReport;
use mustardrill_core::roster::EntryRoster;
use mustardrill_core::routing::{RoutingSettings, UpstreamReport};
use mustardrill_types::{Generation, Millis, Moment, RequestDigest, ResultCode};

const LIMIT: u32 = 100;

/// One entry of a fleet, with one agent of the service.
struct EntryFixture {
    reducer: EntryReducer,
    now: u64,
    last_request: u64,
}

impl EntryFixture {
    fn new(entries: usize) -> Self {
        let routing = RoutingSettings { silent_for: Millis(100_000), ..RoutingSettings::default() };
        let settings = entry_settings(routing);
        let mut reducer = EntryReducer::new(settings, 1);
        let text = format!(
            "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\ncallers = all\n\
             requests_per_second = {LIMIT}\nin_flight = 1000\n"
        );
        let now = Moment(1_000);
        reducer.reduce(now, EntryEvent::CatalogueReceived(Arc::new(document_with(&text))));
        reducer.reduce(now, EntryEvent::InstancesReceived(vec![desk_instance(0)]));
        reducer.reduce(now, EntryEvent::EntriesCounted(entries));
        let mut fixture = Self { reducer, now: 1_000, last_request: 0 };
        fixture.receive_demand(0, 0);
        fixture
    }

    /// Receives the agent's sum of the requests over `reporting` entries, this one included.
    fn receive_demand(&mut self, requests: u32, reporting: u32) {
        self.receive_sync(requests, reporting, Vec::new());
    }

    /// Receives the agent's answer to a heartbeat, with reports of crashes.
    fn receive_sync(&mut self, requests: u32, reporting: u32, crashes: Vec<CrashReport>) {
        let key = ("comedor".parse().unwrap(), "desk".parse().unwrap());
        let report =
            UpstreamReport { outstanding: 0, capacity: 1_000, serving: vec![], leaving: false };
        self.reducer.reduce(
            Moment(self.now),
            EntryEvent::Synced(AgentSync {
                id: "desk-0".parse().unwrap(),
                generation: Generation(1),
                report,
                progress: Vec::new(),
                demand: vec![DemandRow { key, requests }],
                reporting_entries: reporting,
                crashes,
            }),
        );
    }

    /// Sends this many requests within a second; returns how many were admitted.
    fn run_second(&mut self, requests: u64) -> u32 {
        let mut admitted = 0;
        for index in 0..requests {
            let now = Moment(self.now + index * 1_000 / requests);
            self.last_request += 1;
            let incoming = IncomingRequest {
                id: RequestId(self.last_request),
                customer: "comedor".parse().unwrap(),
                target: "desk".parse().unwrap(),
                is_model: false,
                key: None,
                deadline: now + Millis(60_000),
                affinity: None,
                digest: RequestDigest(u128::from(self.last_request)),
            };
            let effects = self.reducer.reduce(now, EntryEvent::RequestArrived(incoming));
            let is_over = |effect: &EntryEffect| matches!(effect, EntryEffect::Reject { code, .. } if *code == ResultCode::OverLimit);
            admitted += u32::from(!effects.iter().any(is_over));
            self.reducer.reduce(now, EntryEvent::CallerDisconnected(RequestId(self.last_request)));
        }
        self.now += 1_000;
        self.reducer.reduce(Moment(self.now), EntryEvent::Tick);
        admitted
    }
}

/// Requests that an entry admits of `own` per second after a few rounds, where each other entry
/// that reports to its agent receives `others` per second.
fn admitted_per_second(entries: usize, reporting: u32, own: u64, others: u32) -> u32 {
    let mut fixture = EntryFixture::new(entries);
    let mut admitted = 0;
    for _ in 0..5 {
        admitted = fixture.run_second(own);
        fixture.receive_demand(own as u32 + others * (reporting - 1), reporting);
    }
    admitted
}

#[test]
fn a_customer_at_one_entry_of_many_gets_its_full_limit() {
    for (entries, reporting) in [(3, 3), (34, 10), (340, 18)] {
        let admitted = admitted_per_second(entries, reporting, u64::from(LIMIT), 0);
        assert!(
            admitted >= LIMIT * 85 / 100,
            "{admitted} of {LIMIT} admitted with {reporting} of {entries} entries reporting"
        );
    }
}

#[test]
fn more_requests_of_a_customer_are_in_progress_than_its_limit_at_many_entries() {
    let limits = CustomerLimits { requests_per_second: 1_000, in_flight: 4 };
    let key = ("comedor".parse().unwrap(), "desk".parse().unwrap());
    let now = Moment(121_000);
    for entries in [4, 36, 340] {
        let ids = || (0..entries).map(|index| format!("entry-{index}").parse().unwrap()).collect();
        let admitted = |index: &usize| {
            let mut roster = EntryRoster::new(format!("entry-{index}").parse().unwrap());
            for read_at in [now - Millis(18_000), now - Millis(9_000), now] {
                roster.record_list(read_at, Millis(read_at.0), ids());
            }
            let deadline = now + Millis(30_000);
            LimitTable::default().admit(now, deadline, &key, limits, &roster).is_ok()
        };
        let in_flight = (0..entries).filter(admitted).count();
        assert_eq!(in_flight, 4, "{in_flight} of 4 in progress at {entries} entries");
    }
}

#[test]
fn equal_demand_gets_equal_shares() {
    for (entries, reporting) in [(3, 3), (34, 10)] {
        // Each entry receives four times its equal share of the limit.
        let own = 4 * LIMIT / entries as u32;
        let admitted =
            admitted_per_second(entries, reporting, u64::from(own), own) as f64 * entries as f64;
        let limit = f64::from(LIMIT);
        assert!(
            admitted >= 0.6 * limit && admitted <= 1.3 * limit,
            "{admitted} of {limit} admitted at {entries} entries"
        );
    }
}

#[test]
fn an_entry_that_reports_alone_keeps_to_an_equal_share() {
    let admitted = admitted_per_second(34, 1, u64::from(LIMIT), 0);
    assert!(admitted <= LIMIT / 10, "{admitted} of {LIMIT} admitted without reports of 33 others");
}

/// A request is quarantined as crashing upstreams and later gets a complete answer. Entries that
/// had received the quarantine sent it on with each heartbeat, also to entries that knew it had
/// ended.
#[test]
fn a_quarantine_that_has_ended_is_no_longer_broadcast() {
    let mut fixture = EntryFixture::new(2);
    let digest = RequestDigest(7);
    let broadcast = |fixture: &mut EntryFixture| {
        fixture.now += 700;
        let effects = fixture.reducer.reduce(Moment(fixture.now), EntryEvent::Tick);
        let sync = effects.into_iter().find_map(|effect| match effect {
            EntryEffect::Sync { crashes, .. } => Some(crashes),
            _ => None,
        });
        fixture.receive_demand(0, 0);
        sync.expect("a heartbeat is due")
    };
    fixture.receive_sync(0, 0, vec![CrashReport::Quarantined(digest.into(), Millis(60_000))]);
    assert!(matches!(broadcast(&mut fixture)[..], [CrashReport::Quarantined(..)]));
    fixture.receive_sync(0, 0, vec![CrashReport::Sound(digest, Moment(fixture.now))]);
    assert_eq!(broadcast(&mut fixture), []);
}
