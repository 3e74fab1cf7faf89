//! The shares of customers' limits at entries that hear of a part of the others only.

mod common;

use std::sync::Arc;

use common::document_with;
use mustardrill_core::budget::RetrySettings;
use mustardrill_core::demand::DemandRow;
use mustardrill_core::entry::{
    AgentSync, EntryEffect, EntryEvent, EntryReducer, EntrySettings, IncomingRequest, RequestId,
};
use mustardrill_core::membership::{InstanceRecord, MemberSettings};
use mustardrill_core::quarantine::CrashReport;
use mustardrill_core::routing::{RoutingSettings, UpstreamReport};
use mustardrill_types::{Generation, Millis, Moment, RequestDigest, ResultCode};

const LIMIT: u32 = 100;

/// An entry among `entries`, with one agent of the service.
struct Side {
    reducer: EntryReducer,
    now: u64,
    next: u64,
}

impl Side {
    fn new(entries: usize) -> Self {
        let settings = EntrySettings {
            own: "entry-0".parse().unwrap(),
            data_centre: "gc-hall-a".parse().unwrap(),
            routing: RoutingSettings { silent_for: Millis(100_000), ..RoutingSettings::default() },
            retry: RetrySettings::default(),
            claim_shards: 1,
            members: MemberSettings::default(),
            subset: 8,
            sync_every: Millis(500),
        };
        let mut reducer = EntryReducer::new(settings, 1);
        let text = format!(
            "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\ncallers = all\n\
             requests_per_second = {LIMIT}\nin_flight = 1000\n"
        );
        let record = InstanceRecord {
            id: "desk-0".parse().unwrap(),
            service: "records-desk".parse().unwrap(),
            data_centre: "gc-hall-a".parse().unwrap(),
            region: "guate-central".parse().unwrap(),
            agent: "127.0.0.1:1".into(),
            leaving: false,
        };
        let now = Moment(1_000);
        reducer.reduce(now, EntryEvent::CatalogueSeen(Arc::new(document_with(&text))));
        reducer.reduce(now, EntryEvent::InstancesSeen(vec![record]));
        reducer.reduce(now, EntryEvent::EntriesCounted(entries));
        let mut side = Self { reducer, now: 1_000, next: 0 };
        side.hear(0, 0);
        side
    }

    /// An agent tells the sum over `heard` entries, this one included.
    fn hear(&mut self, asked: u32, heard: u32) {
        self.hear_all(asked, heard, Vec::new());
    }

    /// An agent also passes on what it heard of crashes.
    fn hear_all(&mut self, asked: u32, heard: u32, crashes: Vec<CrashReport>) {
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
                demand: vec![DemandRow { key, asked }],
                entries: heard,
                crashes,
            }),
        );
    }

    /// A second with this many requests; returns how many were admitted.
    fn second(&mut self, requests: u64) -> u32 {
        let mut admitted = 0;
        for place in 0..requests {
            let now = Moment(self.now + place * 1_000 / requests);
            self.next += 1;
            let incoming = IncomingRequest {
                id: RequestId(self.next),
                customer: "comedor".parse().unwrap(),
                target: "desk".parse().unwrap(),
                is_model: false,
                key: None,
                deadline: now + Millis(60_000),
                affinity: None,
                digest: RequestDigest(u128::from(self.next)),
            };
            let effects = self.reducer.reduce(now, EntryEvent::RequestArrived(incoming));
            let is_over = |effect: &EntryEffect| matches!(effect, EntryEffect::Reject { code, .. } if *code == ResultCode::OverLimit);
            admitted += u32::from(!effects.iter().any(is_over));
            self.reducer.reduce(now, EntryEvent::CallerGone(RequestId(self.next)));
        }
        self.now += 1_000;
        self.reducer.reduce(Moment(self.now), EntryEvent::Tick);
        admitted
    }
}

/// What an entry admits of `own` requests a second, where each of the others that its agent heard
/// of had `others`; after a few rounds.
fn admitted(entries: usize, heard: u32, own: u64, others: u32) -> u32 {
    let mut side = Side::new(entries);
    let mut last = 0;
    for _ in 0..5 {
        last = side.second(own);
        side.hear(own as u32 + others * (heard - 1), heard);
    }
    last
}

#[test]
fn a_customer_at_one_entry_of_many_has_its_whole_limit() {
    for (entries, heard) in [(3, 3), (34, 10), (340, 18)] {
        let got = admitted(entries, heard, u64::from(LIMIT), 0);
        assert!(
            got >= LIMIT * 85 / 100,
            "{got} of {LIMIT} with {heard} of {entries} entries heard"
        );
    }
}

#[test]
fn even_demand_has_even_shares() {
    for (entries, heard) in [(3, 3), (34, 10)] {
        // Each entry is asked for four times its part of the limit.
        let own = 4 * LIMIT / entries as u32;
        let got = admitted(entries, heard, u64::from(own), own) as f64 * entries as f64;
        let limit = f64::from(LIMIT);
        assert!(got >= 0.6 * limit && got <= 1.3 * limit, "{got} of {limit} at {entries} entries");
    }
}

#[test]
fn an_entry_that_is_heard_alone_keeps_to_an_equal_share() {
    let got = admitted(34, 1, u64::from(LIMIT), 0);
    assert!(got <= LIMIT / 10, "{got} of {LIMIT}, though nothing is known of 33 others");
}

/// A request was held to end upstreams, and then was answered whole. Entries that had heard of the
/// first told it on with each heartbeat, also to those that had heard of the second.
#[test]
fn a_quarantine_that_has_ended_is_told_on_no_more() {
    let mut side = Side::new(2);
    let digest = RequestDigest(7);
    let told = |side: &mut Side| {
        side.now += 700;
        let effects = side.reducer.reduce(Moment(side.now), EntryEvent::Tick);
        let sync = effects.into_iter().find_map(|effect| match effect {
            EntryEffect::Sync { crashes, .. } => Some(crashes),
            _ => None,
        });
        side.hear(0, 0);
        sync.expect("a heartbeat is due")
    };
    side.hear_all(0, 0, vec![CrashReport::Quarantined(digest, Millis(60_000))]);
    assert!(matches!(told(&mut side)[..], [CrashReport::Quarantined(..)]));
    side.hear_all(0, 0, vec![CrashReport::Sound(digest, Moment(side.now))]);
    assert_eq!(told(&mut side), []);
}
