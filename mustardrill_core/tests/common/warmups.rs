//! A simulation of entries in front of upstreams that are cold from time to time.

use std::collections::BTreeMap;

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectSettings, FleetChange,
    FleetUpdate, RequestNumber, ServiceProfile, StatedValue, UpstreamRecord, UpstreamStatement,
    WarmupBound, WarmupLimit, WarmupReport,
};
use mustardrill_types::{InstanceId, Millis, Moment, RequestRate, StartStamp, StoreRevision};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::common::{desk, desk_document, desk_id, desk_request, direct_settings, peer};

const STEP: Millis = Millis(10);

/// How often an upstream registers.
const HEARTBEAT: Millis = Millis(1_200);

/// The longest time until an entry hears what the store holds.
const NEWS_DELAY: u64 = 400;

/// How long an entry takes to hear that others started or ended.
const PEER_INTERVAL: u64 = 1_000;

const SERVICE_TIME: Millis = Millis(30);

pub const BOUND: WarmupBound = WarmupBound { overshoot: 1.5, tolerance: 5.0 };

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub struct WarmupScenario {
    pub entries: usize,
    /// Requests per second of all callers together.
    pub demand: f64,
    pub limit: WarmupLimit,
    /// Upstreams; the first one is watched.
    pub upstreams: u16,
    /// Whether answers state for how long the upstream is cold.
    pub do_answers_state: bool,
    pub seed: u64,
}

enum Delivery {
    Arrival(RequestNumber),
    Answer(RequestNumber),
    Registration(UpstreamRecord),
}

struct Entry {
    id: InstanceId,
    reducer: DirectReducer,
    is_cut: bool,
    frozen_until: Moment,
    heard_at: Moment,
}

/// Entries, callers and upstreams.
pub struct WarmupSimulation {
    pub scenario: WarmupScenario,
    random: StdRng,
    pub now: Moment,
    entries: BTreeMap<usize, Entry>,
    deliveries: BTreeMap<(Moment, u64), (usize, Delivery)>,
    sent_to: BTreeMap<(usize, RequestNumber), (InstanceId, StartStamp)>,
    serial: u64,
    requests: u64,
    owed_requests: f64,
    starts: usize,
    sequence: u64,
    registered_at: Moment,
    start: StartStamp,
    cold_until: Moment,
    /// When the watched upstream became cold, until when it was.
    pub cold_spans: Vec<(Moment, Moment)>,
    pub arrivals: Vec<Moment>,
    pub refused: u64,
    /// Whether the store lists none of the entries, though all run.
    is_listing_lost: bool,
}

impl WarmupSimulation {
    /// Starts the entries, and runs until they know each other.
    pub fn start(scenario: WarmupScenario) -> Self {
        let now = Moment(100_000_000);
        let mut simulation = Self {
            scenario,
            random: StdRng::seed_from_u64(scenario.seed),
            now,
            entries: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            sent_to: BTreeMap::new(),
            serial: 0,
            requests: 0,
            owed_requests: 0.0,
            starts: 0,
            sequence: 1,
            registered_at: now,
            start: StartStamp(1),
            cold_until: now,
            cold_spans: Vec::new(),
            arrivals: Vec::new(),
            refused: 0,
            is_listing_lost: false,
        };
        (0..scenario.entries).for_each(|_| simulation.start_entry());
        simulation.run_for(Millis(4_000));
        simulation
    }

    pub fn start_entry(&mut self) {
        let place = self.starts;
        self.starts += 1;
        let id: InstanceId = format!("entry-{place}").parse().unwrap();
        let settings =
            DirectSettings { own_id: id.clone(), warmup_bound: BOUND, ..direct_settings() };
        let reducer = DirectReducer::new(settings, self.scenario.seed ^ place as u64);
        let frozen_until = self.now;
        let heard_at = self.now;
        let entry = Entry { id, reducer, is_cut: false, frozen_until, heard_at };
        self.entries.insert(place, entry);
        self.hear_all(place);
    }

    pub fn places(&self) -> Vec<usize> {
        self.entries.keys().copied().collect()
    }

    pub fn end_entry(&mut self, place: usize) {
        self.entries.remove(&place);
    }

    /// Cuts an entry off from the store and from all others.
    pub fn set_cut(&mut self, place: usize, is_cut: bool) {
        let Some(entry) = self.entries.get_mut(&place) else { return };
        entry.is_cut = is_cut;
        if !is_cut {
            self.hear_all(place);
        }
    }

    /// Makes the store lose the registrations of all entries, or list them again.
    pub fn set_listing_lost(&mut self, is_lost: bool) {
        self.is_listing_lost = is_lost;
        let ids: Vec<_> = self.entries.values().map(|entry| entry.id.clone()).collect();
        for place in self.places() {
            self.reduce(place, DirectEvent::OwnListingRead(!is_lost));
            let gone = ids.iter().filter(|_| is_lost).cloned().map(FleetChange::PeerGone);
            self.hear(place, gone.collect());
            self.hear_entries(place);
        }
    }

    pub fn freeze(&mut self, place: usize, span: Millis) {
        let until = self.now + span;
        if let Some(entry) = self.entries.get_mut(&place) {
            entry.frozen_until = until;
        }
    }

    /// The watched upstream starts again, under the id that it had.
    pub fn restart_upstream(&mut self) {
        self.start = StartStamp(self.start.0 + 1);
        self.sequence = 0;
        self.become_cold();
        self.register();
    }

    /// The watched upstream is cold again without a restart.
    pub fn become_cold(&mut self) {
        self.cold_until = self.now + self.scenario.limit.duration;
        self.cold_spans.push((self.now, self.cold_until));
    }

    pub fn run_for(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// The most requests that arrived at the watched upstream within a second of a cold span that
    /// lies `after` its start.
    pub fn largest_count(&self, after: Millis) -> usize {
        let spans = self.cold_spans.iter().map(|(from, until)| (*from + after, *until));
        spans.map(|(from, until)| self.largest_within(from, until)).max().unwrap_or(0)
    }

    fn largest_within(&self, from: Moment, until: Moment) -> usize {
        // What arrived at the moment of a restart was for the start before.
        let within = |at: &&Moment| **at > from && **at < until;
        let mut times: Vec<_> = self.arrivals.iter().filter(within).copied().collect();
        times.sort();
        let ends = |start: usize| times.partition_point(|at| *at < times[start] + Millis(1_000));
        (0..times.len()).map(|start| ends(start) - start).max().unwrap_or(0)
    }

    /// Arrivals per second from `from` to `until`.
    pub fn arrival_rate(&self, from: Moment, until: Moment) -> f64 {
        let count = self.arrivals.iter().filter(|at| **at >= from && **at < until).count();
        count as f64 * 1_000.0 / until.since(from).0 as f64
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(entry) = self.deliveries.first_entry().filter(|it| it.key().0 <= self.now) {
            let ((_, serial), (place, delivery)) = entry.remove_entry();
            self.deliver(serial, place, delivery);
        }
        if self.now.since(self.registered_at) >= HEARTBEAT {
            self.register();
        }
        for place in self.places() {
            if (self.now.0 / STEP.0 + place as u64).is_multiple_of(PEER_INTERVAL / STEP.0) {
                self.hear_entries(place);
            }
        }
        self.owed_requests += self.scenario.demand * STEP.0 as f64 / 1_000.0;
        while self.owed_requests >= 1.0 && !self.entries.is_empty() {
            self.owed_requests -= 1.0;
            let places = self.places();
            let place = places[self.random.random_range(0..places.len())];
            self.requests += 1;
            let request = desk_request(self.requests, self.now);
            self.reduce(place, DirectEvent::RequestArrived(request));
        }
        for place in self.places() {
            self.reduce(place, DirectEvent::TimerFired);
        }
    }

    fn record(&self, number: u16) -> UpstreamRecord {
        let is_watched = number == 0;
        let remaining = if is_watched && self.cold_until > self.now {
            self.cold_until.since(self.now)
        } else {
            Millis(0)
        };
        let warmup = WarmupReport { remaining, sequence: self.sequence };
        let start = if is_watched { self.start } else { StartStamp(1) };
        UpstreamRecord { slots: 1_000, start, warmup, ..desk(number) }
    }

    /// The watched upstream registers; each entry hears it at another moment.
    fn register(&mut self) {
        self.registered_at = self.now;
        self.sequence += 1;
        for place in self.places() {
            let delay = Millis(self.random.random_range(0..NEWS_DELAY));
            let registration = Delivery::Registration(self.record(0));
            self.schedule(delay, place, registration);
        }
    }

    fn hear_all(&mut self, place: usize) {
        let warmup = Some(self.scenario.limit);
        let document = desk_document(ServiceProfile { warmup, ..ServiceProfile::default() });
        let mut changes = vec![FleetChange::Configured(document)];
        changes
            .extend((0..self.scenario.upstreams).map(|it| FleetChange::Upstream(self.record(it))));
        self.hear(place, changes);
        self.hear_entries(place);
    }

    fn hear_entries(&mut self, place: usize) {
        let running = self.entries.values().filter(|entry| !entry.is_cut);
        let running = running.filter(|_| !self.is_listing_lost);
        let mut changes: Vec<_> = running.map(|entry| FleetChange::Peer(peer(&entry.id))).collect();
        let ended = (0..self.starts).filter(|it| !self.entries.contains_key(it));
        changes
            .extend(ended.map(|it| FleetChange::PeerGone(format!("entry-{it}").parse().unwrap())));
        self.hear(place, changes);
    }

    fn hear(&mut self, place: usize, changes: Vec<FleetChange>) {
        let Some(entry) = self.entries.get_mut(&place) else { return };
        if entry.is_cut || entry.frozen_until > self.now {
            return;
        }
        entry.heard_at = self.now;
        let revision = StoreRevision(self.now.0);
        let update = FleetUpdate { changes, revision, ..FleetUpdate::default() };
        self.reduce(place, DirectEvent::StoreAnswered(update, self.now));
    }

    fn reduce(&mut self, place: usize, event: DirectEvent) {
        let Some(entry) = self.entries.get_mut(&place) else { return };
        if entry.frozen_until > self.now {
            return;
        }
        for effect in entry.reducer.reduce(self.now, event) {
            match effect {
                DirectEffect::Send(number, plan) => {
                    self.sent_to.insert((place, number), (plan.upstream, plan.start));
                    let after = Millis(self.random.random_range(0..20));
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

    fn deliver(&mut self, serial: u64, place: usize, delivery: Delivery) {
        if let Some(until) = self.entries.get(&place).map(|entry| entry.frozen_until)
            && until > self.now
            && !matches!(delivery, Delivery::Arrival(_))
        {
            self.deliveries.insert((until, serial), (place, delivery));
            return;
        }
        match delivery {
            Delivery::Arrival(number) => {
                // What was meant for an earlier start is turned away and doesn't count.
                if self.sent_to[&(place, number)] == (desk_id(0), self.start) {
                    self.arrivals.push(self.now);
                }
                self.schedule(SERVICE_TIME, place, Delivery::Answer(number));
            }
            Delivery::Answer(number) => self.answer(place, number),
            Delivery::Registration(record) => {
                self.hear(place, vec![FleetChange::Upstream(record)]);
            }
        }
    }

    fn answer(&mut self, place: usize, number: RequestNumber) {
        let upstream = self.sent_to.remove(&(place, number));
        let is_watched = upstream.as_ref().is_some_and(|(id, _)| *id == desk_id(0));
        if is_watched && upstream.is_some_and(|(_, start)| start != self.start) {
            let outcome = AttemptOutcome::Misdirected;
            self.reduce(place, DirectEvent::AttemptEnded(number, outcome));
            return;
        }
        if self.scenario.do_answers_state && is_watched {
            let remaining = Millis(self.cold_until.0.saturating_sub(self.now.0));
            let cold_for = StatedValue { value: Some(remaining), malformed: None };
            let statement = UpstreamStatement { cold_for, ..UpstreamStatement::default() };
            self.reduce(place, DirectEvent::UpstreamStated(number, statement));
        }
        self.reduce(place, DirectEvent::AnswerStarted(number, None, None));
        self.reduce(place, DirectEvent::AttemptEnded(number, AttemptOutcome::Whole));
        if !self.sent_to.contains_key(&(place, number)) {
            self.reduce(place, DirectEvent::CallerGone(number));
        }
    }
}

/// A service whose upstreams take `per_second` while they are cold.
pub fn limit(per_second: u64, duration: Millis) -> WarmupLimit {
    WarmupLimit { duration, rate: RequestRate(per_second * 1_000) }
}
