//! What an entry learns of an upstream from the refusals of its agent, ahead of the next heartbeat.

mod common;

use std::sync::Arc;

use common::{
    V1, V2, desk_instance, document_with, drafts, entry_settings, facts, model_text, order_in,
    plain_entry, receive_heartbeat, receive_report, request, send_request,
};
use mustardrill_core::edit::apply_edit;
use mustardrill_core::entry::{AttemptEnd, EntryEffect, EntryEvent, EntryReducer, SendOrder};
use mustardrill_core::membership::InstanceRecord;
use mustardrill_core::refusal::AttemptRefusal;
use mustardrill_core::routing::{RoutingSettings, UpstreamReport};
use mustardrill_types::{Millis, Moment, ResultCode};

const START: Moment = Moment(1_000);

#[test]
fn an_upstream_whose_agent_said_that_it_leaves_is_chosen_until_the_next_heartbeat() {
    let mut reducer = plain_entry(START, 2);
    // Earns the retries.
    (100..110).for_each(|number| drop(send_request(&mut reducer, "desk", number, START)));
    let first = send_request(&mut reducer, "desk", 1, START);
    let refusal = AttemptRefusal::new(ResultCode::Leaving, Millis(1));
    let now = START + Millis(10);
    let event = EntryEvent::AttemptEnded(first.attempt, AttemptEnd::Refused(refusal), 0);
    assert_ne!(order_in(reducer.reduce(now, event)).instance, first.instance);
    let reached = |reducer: &mut EntryReducer, numbers: std::ops::Range<u64>, now| {
        let mut orders = numbers.map(|number| send_request(reducer, "desk", number, now));
        orders.any(|order| order.instance == first.instance)
    };
    assert!(!reached(&mut reducer, 10..30, now));
    // Its next heartbeat comes from its successor.
    (0..2).for_each(|number| {
        receive_heartbeat(&mut reducer, START + Millis(500), number, Vec::new())
    });
    assert!(reached(&mut reducer, 30..50, START + Millis(500)));
}

/// Requests that are in flight when all upstreams of a model switch to other weights.
const IN_FLIGHT: u64 = 60;

/// An entry with two upstreams that have reported the first version of a model, whose second one the
/// catalogue names.
fn entry_before_switch() -> EntryReducer {
    let mut reducer = EntryReducer::new(entry_settings(RoutingSettings::default()), 1);
    let text = model_text()
        .replace("requests_per_second = 50", "requests_per_second = 1000")
        .replace("in_flight = 10", "in_flight = 1000")
        .replace("replicas = 4", "replicas = 2");
    let first = document_with(&text);
    let changed = text.replace("version = v1", "version = v2\nrevision = 1");
    let next = apply_edit(&first, &request(2, "ana", drafts(&changed)), &facts()).unwrap();
    reducer.reduce(START, EntryEvent::CatalogueReceived(Arc::new(next)));
    let pool = (0..2).map(|number| InstanceRecord {
        service: "mustard-pool".parse().unwrap(),
        ..desk_instance(number)
    });
    reducer.reduce(START, EntryEvent::InstancesReceived(pool.collect()));
    reducer.reduce(START, EntryEvent::EntriesCounted(1));
    for number in 0..2 {
        let serving = vec![V1.parse().unwrap()];
        let report = UpstreamReport { outstanding: 0, capacity: 100, serving, leaving: false };
        receive_report(&mut reducer, START, number, report);
    }
    reducer
}

/// Refuses all these attempts for weights that their upstream no longer serves; returns the attempts
/// that follow.
fn refuse_for_weights(
    reducer: &mut EntryReducer,
    now: Moment,
    attempts: &[SendOrder],
    serving: &str,
) -> Vec<SendOrder> {
    let refuse = |order: &SendOrder| {
        let refusal = AttemptRefusal::other_weights(Millis(1), vec![serving.parse().unwrap()]);
        let end = AttemptEnd::Refused(refusal);
        reducer.reduce(now, EntryEvent::AttemptEnded(order.attempt, end, 0))
    };
    let effects = attempts.iter().flat_map(refuse);
    let orders = effects.filter_map(|effect| match effect {
        EntryEffect::Send(order) => Some(order),
        _ => None,
    });
    orders.collect()
}

/// More requests were in flight at a switch than the budget had retries for, and the rest was refused
/// for want of an upstream.
#[test]
fn requests_in_flight_at_a_switch_use_up_the_retry_budget() {
    let mut reducer = entry_before_switch();
    let first: Vec<_> =
        (0..IN_FLIGHT).map(|number| send_request(&mut reducer, "drafts", number, START)).collect();
    let now = START + Millis(20);
    let second = refuse_for_weights(&mut reducer, now, &first, V2);
    assert_eq!(second.len(), first.len());
    // Upstreams that refuse again and again are asked within the budget: its reserve.
    let third = refuse_for_weights(&mut reducer, now, &second, V1);
    assert!(third.len() <= 20, "{}", third.len());
}
