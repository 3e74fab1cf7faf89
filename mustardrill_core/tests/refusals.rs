//! What an entry learns of an upstream from the refusals of its agent, ahead of the next heartbeat.

mod common;

use std::sync::Arc;

use common::{desk_id, desk_instance, document_with, entry_settings};
use mustardrill_core::entry::{
    AgentSync, AttemptEnd, EntryEffect, EntryEvent, EntryReducer, IncomingRequest, RequestId,
    SendOrder,
};
use mustardrill_core::refusal::AttemptRefusal;
use mustardrill_core::routing::{RoutingSettings, UpstreamReport};
use mustardrill_types::{Generation, Millis, Moment, RequestDigest, ResultCode};

const START: Moment = Moment(1_000);

fn entry() -> EntryReducer {
    let settings = entry_settings(RoutingSettings::default());
    let mut reducer = EntryReducer::new(settings, 1);
    let text = "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\n\
                callers = all\nrequests_per_second = 1000\nin_flight = 1000\n";
    reducer.reduce(START, EntryEvent::CatalogueReceived(Arc::new(document_with(text))));
    reducer.reduce(START, EntryEvent::InstancesReceived((0..2).map(desk_instance).collect()));
    reducer.reduce(START, EntryEvent::EntriesCounted(1));
    (0..2).for_each(|number| receive_heartbeat(&mut reducer, START, number));
    reducer
}

fn receive_heartbeat(reducer: &mut EntryReducer, now: Moment, number: u16) {
    let sync = AgentSync {
        id: desk_id(number),
        generation: Generation(1),
        report: UpstreamReport { outstanding: 0, capacity: 10, serving: vec![], leaving: false },
        progress: Vec::new(),
        demand: Vec::new(),
        reporting_entries: 1,
        crashes: Vec::new(),
    };
    reducer.reduce(now, EntryEvent::Synced(sync));
}

/// Sends a request; returns the attempt.
fn send(reducer: &mut EntryReducer, number: u64, now: Moment) -> SendOrder {
    let incoming = IncomingRequest {
        id: RequestId(number),
        customer: "comedor".parse().unwrap(),
        target: "desk".parse().unwrap(),
        is_model: false,
        key: None,
        deadline: now + Millis(60_000),
        affinity: None,
        digest: RequestDigest(u128::from(number)),
    };
    order_in(reducer.reduce(now, EntryEvent::RequestArrived(incoming)))
}

fn order_in(effects: Vec<EntryEffect>) -> SendOrder {
    let orders = effects.into_iter().find_map(|effect| match effect {
        EntryEffect::Send(order) => Some(order),
        _ => None,
    });
    orders.expect("an attempt is sent")
}

#[test]
fn an_upstream_whose_agent_said_that_it_leaves_is_chosen_until_the_next_heartbeat() {
    let mut reducer = entry();
    // Earns the retries.
    (100..110).for_each(|number| drop(send(&mut reducer, number, START)));
    let first = send(&mut reducer, 1, START);
    let refusal = AttemptRefusal::new(ResultCode::Leaving, Millis(1));
    let now = START + Millis(10);
    let event = EntryEvent::AttemptEnded(first.attempt, AttemptEnd::Refused(refusal), 0);
    assert_ne!(order_in(reducer.reduce(now, event)).instance, first.instance);
    let reached = |reducer: &mut EntryReducer, numbers: std::ops::Range<u64>, now| {
        let mut orders = numbers.map(|number| send(reducer, number, now));
        orders.any(|order| order.instance == first.instance)
    };
    assert!(!reached(&mut reducer, 10..30, now));
    // Its next heartbeat comes from its successor.
    (0..2).for_each(|number| receive_heartbeat(&mut reducer, START + Millis(500), number));
    assert!(reached(&mut reducer, 30..50, START + Millis(500)));
}
