//! Own interface: a common prefix that crashes each upstream that runs a request with it.

use std::sync::Arc;

use mustardrill_core::entry::{
    AgentSync, AttemptEnd, EntryEffect, EntryEvent, EntryReducer, IncomingRequest, RequestId,
};
use mustardrill_core::quarantine::CrashReport;
use mustardrill_core::routing::{RoutingSettings, UpstreamReport};
use mustardrill_types::{
    AttemptId, Generation, Millis, Moment, RequestDigest, ResultCode, StartStamp,
};

mod common;

use common::{desk_instance, document_with, entry_settings};

const START: Moment = Moment(10_000);

const UPSTREAMS: u16 = 4;

/// Longer than it takes until the reports of all entries on a crash have arrived.
const SETTLED: Millis = Millis(2_000);

fn entry() -> EntryReducer {
    let routing = RoutingSettings { silent_for: Millis(100_000), ..RoutingSettings::default() };
    let mut reducer = EntryReducer::new(entry_settings(routing), 1);
    let text = "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\ncallers = all\n\
                requests_per_second = 1000\nin_flight = 1000\n";
    reducer.reduce(START, EntryEvent::CatalogueReceived(Arc::new(document_with(text))));
    let instances = (0..UPSTREAMS).map(desk_instance).collect();
    reducer.reduce(START, EntryEvent::InstancesReceived(instances));
    reducer.reduce(START, EntryEvent::EntriesCounted(1));
    for number in 0..UPSTREAMS {
        sync(&mut reducer, START, number, Vec::new());
    }
    reducer
}

/// An agent answers a heartbeat, with these reports.
fn sync(reducer: &mut EntryReducer, now: Moment, number: u16, crashes: Vec<CrashReport>) {
    let report = UpstreamReport { outstanding: 0, capacity: 100, serving: vec![], leaving: false };
    let sync = AgentSync {
        id: format!("desk-{number}").parse().unwrap(),
        generation: Generation(1),
        report,
        progress: Vec::new(),
        demand: Vec::new(),
        reporting_entries: 1,
        crashes,
    };
    reducer.reduce(now, EntryEvent::Synced(sync));
}

/// A request with this prefix and a content of its own; returns its attempt if it is sent, and
/// otherwise the code with which it is rejected.
fn send(
    reducer: &mut EntryReducer,
    now: Moment,
    number: u64,
    prefix: &str,
) -> Result<AttemptId, Option<ResultCode>> {
    let incoming = IncomingRequest {
        id: RequestId(number),
        customer: "comedor".parse().unwrap(),
        target: "desk".parse().unwrap(),
        is_model: false,
        key: None,
        deadline: now + Millis(60_000),
        affinity: Some(prefix.into()),
        digest: RequestDigest(u128::from(number)),
    };
    let effects = reducer.reduce(now, EntryEvent::RequestArrived(incoming));
    let mut code = None;
    for effect in effects {
        match effect {
            EntryEffect::Send(order) => return Ok(order.attempt),
            EntryEffect::Reject { code: rejected, .. } => code = Some(rejected),
            _ => {}
        }
    }
    Err(code)
}

/// Upstreams crashed under requests with one prefix, each with another content, and the entry sent
/// the next one on.
#[test]
fn requests_with_a_crashing_prefix_are_sent_on_without_end() {
    let mut reducer = entry();
    let mut now = START;
    for number in 1..=3 {
        now = now + Millis(300);
        let sound = send(&mut reducer, now, 100 + number, "sound").unwrap();
        reducer.reduce(now, EntryEvent::AttemptEnded(sound, AttemptEnd::Complete, 10));
        let attempt = send(&mut reducer, now, number, "crashing").unwrap();
        now = now + Millis(100);
        let crashed = AttemptEnd::UpstreamCrashed(StartStamp(number));
        reducer.reduce(now, EntryEvent::AttemptEnded(attempt, crashed, 0));
        reducer.reduce(now, EntryEvent::CallerDisconnected(RequestId(number)));
    }
    now = now + SETTLED;
    let sound = send(&mut reducer, now, 200, "sound").unwrap();
    reducer.reduce(now, EntryEvent::AttemptEnded(sound, AttemptEnd::Complete, 10));
    reducer.reduce(now, EntryEvent::Tick);
    assert_eq!(send(&mut reducer, now, 10, "crashing"), Err(Some(ResultCode::PartQuarantined)));
    assert!(send(&mut reducer, now, 11, "sound").is_ok());
}
