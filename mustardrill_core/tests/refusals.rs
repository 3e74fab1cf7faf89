//! What an entry learns of an upstream from the refusals of its agent, ahead of the next heartbeat.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use common::{
    V1, V2, arriving_request, desk_instance, document_with, drafts, entry_settings, facts,
    model_text, order_in, plain_entry, receive_heartbeat, receive_report, request, send_request,
};
use mustardrill_core::edit::apply_edit;
use mustardrill_core::entry::{
    AttemptEnd, EntryEffect, EntryEvent, EntryReducer, RequestId, SendOrder,
};
use mustardrill_core::membership::InstanceRecord;
use mustardrill_core::refusal::AttemptRefusal;
use mustardrill_core::routing::{RoutingSettings, UpstreamReport};
use mustardrill_types::{Millis, Moment, ResultCode};

const START: Moment = Moment(1_000);

/// The wait that a full upstream names.
const NAMED_WAIT: Millis = Millis(200);

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

fn refuse_as_full(
    reducer: &mut EntryReducer,
    now: Moment,
    order: &SendOrder,
    wait: Millis,
) -> Vec<EntryEffect> {
    let end = AttemptEnd::Refused(AttemptRefusal::full(wait));
    reducer.reduce(now, EntryEvent::AttemptEnded(order.attempt, end, 0))
}

/// One upstream behind an entry, with a bounded queue in front of it.
struct BoundedDesk {
    reducer: EntryReducer,
    /// Attempts that it has, each with the time at which it is answered.
    present: VecDeque<(Moment, SendOrder)>,
    places: usize,
    run_interval: Millis,
    /// When it was sent each attempt, by request.
    sends: BTreeMap<RequestId, Vec<Moment>>,
    refused_at: Vec<Moment>,
    rejections: Vec<(RequestId, Moment, Millis)>,
    answers: usize,
}

impl BoundedDesk {
    fn new(places: usize, run_interval: Millis) -> Self {
        Self {
            reducer: plain_entry(START, 1),
            present: VecDeque::new(),
            places,
            run_interval,
            sends: BTreeMap::new(),
            refused_at: Vec::new(),
            rejections: Vec::new(),
            answers: 0,
        }
    }

    /// Plays calls of 3 s, `every` so often until `until`, and what follows.
    fn play(mut self, every: Millis, until: Moment) -> Self {
        for now in (START.0..until.0 + 4_000).map(Moment) {
            if now < until && now.since(START).0.is_multiple_of(every.0) {
                let deadline = now + Millis(3_000);
                let arrival = arriving_request("desk", now.0, deadline);
                self.reduce(now, EntryEvent::RequestArrived(arrival));
            }
            while self.present.front().is_some_and(|(at, _)| *at <= now) {
                let (_, order) = self.present.pop_front().unwrap();
                self.answers += 1;
                let end = EntryEvent::AttemptEnded(order.attempt, AttemptEnd::Complete, 1);
                self.reduce(now, end);
            }
            if now.0.is_multiple_of(500) {
                receive_heartbeat(&mut self.reducer, now, 0, Vec::new());
            }
            if now.0.is_multiple_of(10) {
                self.reduce(now, EntryEvent::Tick);
            }
        }
        self
    }

    fn reduce(&mut self, now: Moment, event: EntryEvent) {
        for effect in self.reducer.reduce(now, event) {
            match effect {
                EntryEffect::Send(order) => self.offer(now, order),
                EntryEffect::Reject { id, retry_after, .. } => {
                    self.rejections.push((id, now, retry_after));
                }
                _ => {}
            }
        }
    }

    fn offer(&mut self, now: Moment, order: SendOrder) {
        self.sends.entry(order.id).or_default().push(now);
        if self.present.len() < self.places {
            let last = self.present.back().map_or(now, |(at, _)| *at);
            self.present.push_back((last.max(now) + self.run_interval, order));
            return;
        }
        self.refused_at.push(now);
        let end = AttemptEnd::Refused(AttemptRefusal::full(NAMED_WAIT));
        self.reduce(now, EntryEvent::AttemptEnded(order.attempt, end, 0));
    }
}

/// The entry sent them to the same upstream again at once, until the retry budget gave them up.
#[test]
fn requests_that_a_full_upstream_turned_away_are_given_up_with_time_left() {
    let desk = BoundedDesk::new(40, Millis(14)).play(Millis(10), START + Millis(2_500));
    assert!(!desk.refused_at.is_empty());
    assert_eq!((desk.answers, &*desk.rejections), (250, &[][..]));
    // Nothing goes there before the wait that it named is over, and then one at a time.
    let sends: Vec<_> = desk.sends.values().flatten().collect();
    for refused in &desk.refused_at {
        let early = sends.iter().filter(|at| ***at > *refused && ***at < *refused + NAMED_WAIT);
        assert_eq!(early.count(), 0, "after the refusal at {refused}");
        let back = sends.iter().filter(|at| at.distance(*refused + NAMED_WAIT) <= Millis(5));
        assert!(back.count() <= 1, "after the refusal at {refused}");
    }
}

#[test]
fn an_upstream_that_stays_full_gets_more_than_one_request_for_each_wait() {
    let span = Millis(30_000);
    let desk = BoundedDesk::new(0, Millis(14)).play(Millis(10), START + span);
    let allowed = (span.0 + 4_000) / NAMED_WAIT.0 + 1;
    assert!((2..=allowed).contains(&(desk.refused_at.len() as u64)), "{}", desk.refused_at.len());
    assert_eq!((desk.answers, desk.rejections.len()), (0, 3_000));
}

#[test]
fn requests_that_are_sent_on_at_once_exceed_the_retry_budget() {
    let mut reducer = plain_entry(START, 2);
    let orders = (0..200).map(|number| send_request(&mut reducer, "desk", number, START));
    let orders: Vec<_> = orders.collect();
    let full = orders[0].instance.clone();
    let refused = orders.iter().filter(|order| order.instance == full);
    let effects = refused.flat_map(|order| refuse_as_full(&mut reducer, START, order, NAMED_WAIT));
    let sent = effects.filter(|effect| matches!(effect, EntryEffect::Send(_))).count();
    // The budget holds 20; one that waited has its turn.
    assert!((1..=21).contains(&sent), "{sent}");
}

#[test]
fn a_request_whose_deadline_is_before_the_end_of_the_wait_is_held() {
    let mut reducer = plain_entry(START, 1);
    let first = send_request(&mut reducer, "desk", 1, START);
    assert_eq!(refuse_as_full(&mut reducer, START, &first, Millis(5_000)), []);
    let arrival = arriving_request("desk", 2, START + Millis(4_000));
    let refused = reducer.reduce(START, EntryEvent::RequestArrived(arrival));
    let (id, code, retry_after) = (RequestId(2), ResultCode::Overloaded, Millis(5_000));
    assert_eq!(refused, [EntryEffect::Reject { id, code, retry_after }]);
}

#[test]
fn more_requests_wait_than_eight_for_each_slot() {
    let mut reducer = plain_entry(START, 1);
    let first = send_request(&mut reducer, "desk", 1, START);
    refuse_as_full(&mut reducer, START, &first, NAMED_WAIT);
    let mut arrive = |number| {
        let arrival = arriving_request("desk", number, START + Millis(60_000));
        reducer.reduce(START, EntryEvent::RequestArrived(arrival))
    };
    // The upstream has 10 slots; the one that it refused waits as well.
    assert!((2..=80).all(|number| arrive(number).is_empty()));
    assert!(matches!(&arrive(81)[..], [EntryEffect::Reject { retry_after: NAMED_WAIT, .. }]));
}

#[test]
fn a_request_that_one_upstream_turned_away_waits_although_another_one_has_room() {
    let mut reducer = plain_entry(START, 2);
    // Earns the retries.
    (100..110).for_each(|number| drop(send_request(&mut reducer, "desk", number, START)));
    let first = send_request(&mut reducer, "desk", 1, START);
    let second = refuse_as_full(&mut reducer, START, &first, NAMED_WAIT);
    assert_ne!(order_in(second).instance, first.instance);
    let others = (2..20).map(|number| send_request(&mut reducer, "desk", number, START));
    assert!(others.into_iter().all(|order| order.instance != first.instance));
}

#[test]
fn a_request_that_was_turned_away_four_times_is_given_up() {
    let mut reducer = plain_entry(START, 1);
    let mut order = send_request(&mut reducer, "desk", 1, START);
    for round in 0..8 {
        let now = START + Millis(NAMED_WAIT.0 * round);
        receive_heartbeat(&mut reducer, now, 0, Vec::new());
        assert_eq!(refuse_as_full(&mut reducer, now, &order, NAMED_WAIT), []);
        order = order_in(reducer.reduce(now + NAMED_WAIT, EntryEvent::Tick));
    }
    let failed = EntryEvent::AttemptEnded(order.attempt, AttemptEnd::NotSent, 0);
    assert_eq!(reducer.reduce(START + Millis(NAMED_WAIT.0 * 8), failed), []);
}

#[test]
fn a_request_waits_for_an_upstream_that_is_full_for_a_lower_class_only() {
    let mut reducer = plain_entry(START, 1);
    let desk = "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\n\
                callers = all\nrequests_per_second = 1000\nin_flight = 1000\n";
    let urgent = desk.replace("plain desk", "plain alarm").replace("standard", "urgent");
    let mut document = document_with(&format!("{desk}\n{urgent}"));
    document.generation.0 += 1;
    reducer.reduce(START, EntryEvent::CatalogueReceived(Arc::new(document)));
    let first = send_request(&mut reducer, "desk", 1, START);
    assert_eq!(refuse_as_full(&mut reducer, START, &first, NAMED_WAIT), []);
    let mut arrive = |target, number| {
        let mut arrival = arriving_request(target, number, START + Millis(3_000));
        arrival.is_model = false;
        reducer.reduce(START, EntryEvent::RequestArrived(arrival))
    };
    assert_eq!(arrive("desk", 2), []);
    order_in(arrive("alarm", 3));
}
