//! A simulation of entries in front of an upstream that limits its request rate and of others that
//! do not.
#![allow(dead_code, reason = "each test and example uses a part of it")]

use std::collections::BTreeMap;

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectSettings, FleetChange,
    FleetUpdate, IntakeReport, RequestNumber, StatedValue, UpstreamStatement,
};
use mustardrill_types::{InstanceId, Millis, Moment, RequestRate, StoreEra, StoreRevision};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::common::{desk_fleet, desk_id, desk_request, direct_settings, peer};

/// The span in which requests at the upstream are counted against its limit.
pub const COUNTED_SPAN: Millis = Millis(4_000);

/// Upstreams of the simulation; the first one states limits.
const UPSTREAMS: u16 = 3;

/// Interval of the simulated entries' broadcasts.
const GOSSIP_INTERVAL: Millis = Millis(10);

/// Interval at which the store answers an entry.
const STORE_INTERVAL: u64 = 1_000;

/// Time from the arrival of a request at an upstream to its answer.
const SERVICE_TIME: Millis = Millis(40);

const STEP: Millis = Millis(10);

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub struct IntakeScenario {
    pub entries: usize,
    /// Requests per second of all callers together.
    pub demand: f64,
    /// The longest delay of a message between entries.
    pub news_delay: Millis,
    /// The share of lost messages between entries, in percent.
    pub lost_percent: u32,
    pub seed: u64,
}

enum Delivery {
    Arrival(RequestNumber),
    Answer(RequestNumber),
    Reports(InstanceId, Vec<IntakeReport>),
}

struct Entry {
    id: InstanceId,
    reducer: DirectReducer,
    /// Entries with different groups can't reach each other; zero reaches the store.
    group: u32,
    gossiped_at: Moment,
    /// The change of the list of entries that it has read last.
    read_change: u64,
}

/// Entries, callers and the limited upstream.
pub struct IntakeSimulation {
    scenario: IntakeScenario,
    random: StdRng,
    pub now: Moment,
    entries: BTreeMap<usize, Entry>,
    /// By time and a serial number that keeps the order of equal times.
    deliveries: BTreeMap<(Moment, u64), (usize, Delivery)>,
    serial: u64,
    requests: u64,
    owed_requests: f64,
    /// The limit that the upstream states.
    pub limit: Option<RequestRate>,
    /// When requests arrived at the limited upstream, with the entry that sent them.
    pub arrivals: Vec<(Moment, usize)>,
    pub refused: u64,
    /// The entries that callers send to; `None` for all of them.
    pub called: Option<Vec<usize>>,
    /// Whether the store has lost the entries' registrations.
    has_lost_entries: bool,
    /// Whether the other upstreams fail the requests that they run.
    pub do_others_fail: bool,
    sent_to: BTreeMap<RequestNumber, InstanceId>,
    starts: usize,
    /// Changes of the list of entries that the store has.
    changes: u64,
}

impl IntakeSimulation {
    pub fn start(scenario: IntakeScenario) -> Self {
        let mut simulation = Self {
            scenario,
            random: StdRng::seed_from_u64(scenario.seed),
            now: Moment(100_000_000),
            entries: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            serial: 0,
            requests: 0,
            owed_requests: 0.0,
            limit: None,
            arrivals: Vec::new(),
            refused: 0,
            called: None,
            has_lost_entries: false,
            do_others_fail: false,
            sent_to: BTreeMap::new(),
            starts: 0,
            changes: 0,
        };
        (0..scenario.entries).for_each(|_| simulation.start_entry());
        simulation
    }

    /// Starts another entry.
    pub fn start_entry(&mut self) {
        let place = self.starts;
        self.starts += 1;
        let id: InstanceId = format!("entry-{place}").parse().unwrap();
        let settings = DirectSettings { own_id: id.clone(), ..direct_settings() };
        let reducer = DirectReducer::new(settings, self.scenario.seed ^ place as u64);
        self.entries
            .insert(place, Entry { id, reducer, group: 0, gossiped_at: self.now, read_change: 0 });
        self.changes += 1;
        self.answer_from_store(place);
    }

    /// Ends the entry that started first.
    pub fn end_oldest_entry(&mut self) {
        self.entries.pop_first();
        self.changes += 1;
    }

    /// Cuts an entry off from the store and from the entries of other groups; group 0 is in contact
    /// with the store.
    pub fn set_group(&mut self, place: usize, group: u32) {
        self.entries.get_mut(&place).unwrap().group = group;
        self.changes += 1;
    }

    /// Makes the store lose the entries' registrations, or list the entries again.
    pub fn set_entries_lost(&mut self, has_lost_entries: bool) {
        self.has_lost_entries = has_lost_entries;
        self.changes += 1;
    }

    /// The entries that run.
    pub fn places(&self) -> Vec<usize> {
        self.entries.keys().copied().collect()
    }

    pub fn run_for(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// The largest number of arrivals from `from` on within one `COUNTED_SPAN`.
    pub fn largest_count(&self, from: Moment) -> usize {
        let mut times: Vec<_> =
            self.arrivals.iter().map(|(at, _)| *at).filter(|at| *at >= from).collect();
        times.sort();
        let ends = |start: usize| times.partition_point(|at| *at < times[start] + COUNTED_SPAN);
        (0..times.len()).map(|start| ends(start) - start).max().unwrap_or(0)
    }

    /// Arrivals per second from `from` until now.
    pub fn arrival_rate(&self, from: Moment) -> f64 {
        let count = self.arrivals.iter().filter(|(at, _)| *at >= from).count();
        count as f64 * 1_000.0 / self.now.since(from).0 as f64
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(entry) = self.deliveries.first_entry().filter(|it| it.key().0 <= self.now) {
            let (place, delivery) = entry.remove();
            self.deliver(place, delivery);
        }
        for place in self.places() {
            if (self.now.0 / STEP.0 + place as u64).is_multiple_of(STORE_INTERVAL / STEP.0) {
                self.answer_from_store(place);
            }
            self.gossip(place);
        }
        self.owed_requests += self.scenario.demand * STEP.0 as f64 / 1_000.0;
        while self.owed_requests >= 1.0 {
            self.owed_requests -= 1.0;
            let places = self.called.clone().unwrap_or_else(|| self.places());
            let place = places[self.random.random_range(0..places.len())];
            self.requests += 1;
            let request = desk_request(self.requests, self.now);
            self.reduce(place, DirectEvent::RequestArrived(request));
        }
    }

    fn reduce(&mut self, place: usize, event: DirectEvent) {
        let Some(entry) = self.entries.get_mut(&place) else { return };
        for effect in entry.reducer.reduce(self.now, event) {
            match effect {
                DirectEffect::Send(number, plan) => {
                    self.sent_to.insert(number, plan.upstream);
                    let after = Millis(self.random.random_range(0..5));
                    self.schedule(after, place, Delivery::Arrival(number));
                }
                DirectEffect::Refuse(..) => self.refused += 1,
                _ => {}
            }
        }
    }

    fn schedule(&mut self, after: Millis, place: usize, delivery: Delivery) {
        self.serial += 1;
        self.deliveries.insert((self.now + after, self.serial), (place, delivery));
    }

    fn deliver(&mut self, place: usize, delivery: Delivery) {
        match delivery {
            Delivery::Arrival(number) => {
                if self.sent_to[&number] == desk_id(0) {
                    self.arrivals.push((self.now, place));
                }
                self.schedule(SERVICE_TIME, place, Delivery::Answer(number));
            }
            Delivery::Answer(number) => {
                let upstream = self.sent_to.remove(&number);
                if upstream == Some(desk_id(0)) && self.limit.is_some() {
                    let statement = UpstreamStatement {
                        limit: StatedValue { value: self.limit, malformed: None },
                        ..UpstreamStatement::default()
                    };
                    self.reduce(place, DirectEvent::UpstreamStated(number, statement));
                }
                self.reduce(place, DirectEvent::AnswerStarted(number, None, None));
                let is_failed = self.do_others_fail && upstream != Some(desk_id(0));
                let outcome =
                    if is_failed { AttemptOutcome::Failed } else { AttemptOutcome::Whole };
                self.reduce(place, DirectEvent::AttemptEnded(number, outcome));
                if !self.sent_to.contains_key(&number) {
                    self.reduce(place, DirectEvent::CallerGone(number));
                }
            }
            Delivery::Reports(from, reports) => {
                self.reduce(place, DirectEvent::IntakeReportsReceived(from, reports));
            }
        }
    }

    fn gossip(&mut self, place: usize) {
        let now = self.now;
        let entry = self.entries.get_mut(&place).unwrap();
        if now.since(entry.gossiped_at) < GOSSIP_INTERVAL {
            return;
        }
        entry.gossiped_at = now;
        let reports = entry.reducer.due_intake_reports(now);
        if reports.is_empty() {
            return;
        }
        let (id, group) = (entry.id.clone(), entry.group);
        let others =
            self.entries.iter().filter(|(it, other)| **it != place && other.group == group);
        for peer in others.map(|(it, _)| *it).collect::<Vec<_>>() {
            if self.random.random_range(0..100) < self.scenario.lost_percent {
                continue;
            }
            let delay = Millis(self.random.random_range(0..=self.scenario.news_delay.0));
            self.schedule(delay, peer, Delivery::Reports(id.clone(), reports.clone()));
        }
    }

    /// The store lists the entries that are in contact with it.
    fn answer_from_store(&mut self, place: usize) {
        let entry = &self.entries[&place];
        if entry.group != 0 {
            return;
        }
        let is_snapshot = entry.read_change != self.changes;
        let changes = if is_snapshot { self.snapshot() } else { Vec::new() };
        self.entries.get_mut(&place).unwrap().read_change = self.changes;
        let update = FleetUpdate {
            changes,
            revision: StoreRevision(self.now.0),
            era: StoreEra::default(),
            is_snapshot,
            ..FleetUpdate::default()
        };
        self.reduce(place, DirectEvent::StoreAnswered(update, self.now));
    }

    fn snapshot(&self) -> Vec<FleetChange> {
        let mut changes = desk_fleet(UPSTREAMS);
        for change in &mut changes {
            if let FleetChange::Upstream(record) = change {
                record.slots = 1_000;
            }
        }
        let is_listed = |entry: &&Entry| entry.group == 0 && !self.has_lost_entries;
        let registered = self.entries.values().filter(is_listed);
        changes.extend(registered.map(|entry| FleetChange::Peer(peer(&entry.id))));
        changes
    }
}
