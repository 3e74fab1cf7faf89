//! A simulation of entries whose upstreams fail every request, and of the store that lists the
//! entries.
#![allow(dead_code, reason = "each test and example uses a part of it")]

use std::collections::BTreeMap;

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectSettings, FleetChange,
    FleetUpdate, LoadUpdate, PeerLoad, RequestNumber, RetryBound, RetryShare,
};
use mustardrill_types::{InstanceId, Millis, Moment, StoreRevision};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::common::{desk_fleet, desk_request, direct_settings, peer};

/// The bound that the simulated entries promise.
pub const BOUND: RetryBound = RetryBound { ratio: 0.2, allowance: 106.0, window: Millis(10_000) };

/// How long the entries run before the simulated span starts.
const WARM_UP: Millis = Millis(20_000);

/// How long a registration lasts after its last renewal.
const REGISTRATION_LIFETIME: Millis = Millis(3_600);

/// Time from the start of an entry to its first read of the store.
const FIRST_READ_AFTER: Millis = Millis(100);

/// Interval of the entries' broadcasts and of the store's answers that change nothing.
const CONTACT_INTERVAL: Millis = Millis(500);

/// Entries above this number broadcast nothing, to keep a run short; each broadcast costs an event
/// for each pair of entries.
const MAX_BROADCASTING: usize = 40;

const STEP: Millis = Millis(50);

/// What is simulated.
#[derive(Debug, Clone)]
pub struct RetryScenario {
    pub entries: usize,
    /// Requests per second of all callers together.
    pub requests_per_second: f64,
    /// What happens, in milliseconds from the start of the simulated span.
    pub disturbances: Vec<(u64, Disturbance)>,
    /// The length of the simulated span.
    pub span: Millis,
    pub seed: u64,
}

/// What happens to the entries or to their store. Shares are percentages of the entries that run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Disturbance {
    /// Entries are killed and start again after `down`, under their ids or under new ones.
    Kill { percent: u32, down: Millis, is_renamed: bool },
    /// The entry that has run for the longest time is killed and starts again at once.
    KillOldest,
    /// As many entries again are added.
    Double,
    /// Entries do nothing for a while.
    Freeze { percent: u32, span: Millis },
    /// The store answers nobody for a while, and registrations run out.
    StoreAway { span: Millis },
    /// Entries reach neither the store nor other entries for a while.
    CutOff { percent: u32, span: Millis },
}

struct Entry {
    id: InstanceId,
    reducer: DirectReducer,
    started_at: Moment,
    frozen_until: Moment,
    cut_until: Moment,
    contacted_at: Moment,
    /// The registrations that it has read, `None` before its first read and after an outage.
    known: Option<Vec<InstanceId>>,
}

/// Entries, their callers and the store.
pub struct RetrySimulation {
    scenario: RetryScenario,
    random: StdRng,
    now: Moment,
    entries: Vec<Entry>,
    /// Entries that start at a moment.
    starts: Vec<(Moment, InstanceId)>,
    registered: BTreeMap<InstanceId, Moment>,
    store_away_until: Moment,
    owed_requests: f64,
    serial: u64,
    /// When callers sent requests.
    pub requests: Vec<Moment>,
    /// When attempts beyond the first of a request were sent.
    pub retries: Vec<Moment>,
}

/// The window that comes closest to the bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FullestWindow {
    pub retries: usize,
    pub allowed: f64,
}

impl RetrySimulation {
    /// Plays a scenario to its end.
    pub fn play(scenario: RetryScenario) -> Self {
        let mut simulation = Self {
            random: StdRng::seed_from_u64(scenario.seed),
            now: Moment(100_000_000),
            entries: Vec::new(),
            starts: Vec::new(),
            registered: BTreeMap::new(),
            store_away_until: Moment(0),
            owed_requests: 0.0,
            serial: 0,
            requests: Vec::new(),
            retries: Vec::new(),
            scenario,
        };
        for index in 0..simulation.scenario.entries {
            simulation.start_entry(format!("entry-{index}").parse().unwrap());
        }
        simulation.run(WARM_UP, false);
        simulation.run(simulation.scenario.span, true);
        simulation
    }

    /// The window with the most retries in proportion to what it allows. Requests are counted in the window, in
    /// the one before and in the one half a window before, whichever has most.
    pub fn fullest_window(&self) -> FullestWindow {
        let window = BOUND.window;
        let count = |from: Moment, until: Moment| {
            self.requests.partition_point(|at| *at < until)
                - self.requests.partition_point(|at| *at < from)
        };
        let mut fullest = FullestWindow { retries: 0, allowed: BOUND.allowance };
        for (index, from) in self.retries.iter().copied().enumerate() {
            let end = self.retries.partition_point(|at| *at < from + window);
            let half = Millis(window.0 / 2);
            let requests = count(from, from + window)
                .max(count(from - window, from))
                .max(count(from - half, from + half));
            let allowed = BOUND.ratio * requests as f64 + BOUND.allowance;
            let candidate = FullestWindow { retries: end - index, allowed };
            if candidate.used() > fullest.used() {
                fullest = candidate;
            }
        }
        fullest
    }

    fn run(&mut self, span: Millis, is_disturbed: bool) {
        let start = self.now;
        let mut due = if is_disturbed { self.scenario.disturbances.clone() } else { Vec::new() };
        due.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        while self.now < start + span {
            self.now = self.now + STEP;
            while due.last().is_some_and(|(at, _)| start + Millis(*at) <= self.now) {
                if let Some((_, disturbance)) = due.pop() {
                    self.disturb(&disturbance);
                }
            }
            self.step(is_disturbed);
        }
    }

    fn step(&mut self, do_requests_fail: bool) {
        let now = self.now;
        let (ready, later) = self.starts.drain(..).partition(|(at, _)| *at <= now);
        self.starts = later;
        let ready: Vec<(Moment, InstanceId)> = ready;
        ready.into_iter().for_each(|(_, id)| self.start_entry(id));
        let is_store_away = now < self.store_away_until;
        self.registered.retain(|_, until| *until > now);
        if !is_store_away {
            self.answer_from_store();
        }
        self.broadcast();
        self.owed_requests += self.scenario.requests_per_second * STEP.0 as f64 / 1_000.0;
        while self.owed_requests >= 1.0 {
            self.owed_requests -= 1.0;
            self.send_request(do_requests_fail);
        }
    }

    fn start_entry(&mut self, id: InstanceId) {
        let settings = DirectSettings {
            own_id: id.clone(),
            retry_share: RetryShare::within(&BOUND),
            ..direct_settings()
        };
        self.serial += 1;
        self.entries.push(Entry {
            id,
            reducer: DirectReducer::new(settings, self.scenario.seed ^ self.serial),
            started_at: self.now,
            frozen_until: Moment(0),
            cut_until: Moment(0),
            contacted_at: Moment(0),
            known: None,
        });
    }

    fn disturb(&mut self, disturbance: &Disturbance) {
        match disturbance {
            Disturbance::Kill { percent, down, is_renamed } => {
                for index in self.choose(*percent) {
                    self.kill(index, *down, *is_renamed);
                }
            }
            Disturbance::KillOldest if !self.entries.is_empty() => self.kill(0, Millis(0), false),
            Disturbance::KillOldest => {}
            Disturbance::Double => {
                for _ in 0..self.entries.len() {
                    self.serial += 1;
                    let id = format!("added-{}", self.serial).parse().unwrap();
                    self.start_entry(id);
                }
            }
            Disturbance::Freeze { percent, span } => {
                for index in self.choose(*percent) {
                    self.entries[index].frozen_until = self.now + *span;
                }
            }
            Disturbance::StoreAway { span } => {
                self.store_away_until = self.now + *span;
                self.entries.iter_mut().for_each(|entry| entry.known = None);
            }
            Disturbance::CutOff { percent, span } => {
                for index in self.choose(*percent) {
                    self.entries[index].cut_until = self.now + *span;
                }
            }
        }
    }

    /// Chooses entries at random; the highest index comes first.
    fn choose(&mut self, percent: u32) -> Vec<usize> {
        let mut indexes: Vec<_> = (0..self.entries.len()).collect();
        indexes.shuffle(&mut self.random);
        indexes.truncate((self.entries.len() * percent as usize).div_ceil(100));
        indexes.sort_by_key(|index| std::cmp::Reverse(*index));
        indexes
    }

    fn kill(&mut self, index: usize, down: Millis, is_renamed: bool) {
        let killed = self.entries.remove(index);
        self.serial += 1;
        let id = if is_renamed {
            format!("renamed-{}", self.serial).parse().unwrap()
        } else {
            killed.id
        };
        self.starts.push((self.now + down, id));
    }

    fn answer_from_store(&mut self) {
        let now = self.now;
        for entry in &self.entries {
            let has_read = now.since(entry.started_at) >= FIRST_READ_AFTER;
            if has_read && entry.is_running(now) && now >= entry.cut_until {
                self.registered.insert(entry.id.clone(), now + REGISTRATION_LIFETIME);
            }
        }
        let listed: Vec<_> = self.registered.keys().cloned().collect();
        for entry in &mut self.entries {
            let has_read = now.since(entry.started_at) >= FIRST_READ_AFTER;
            if !has_read || !entry.is_running(now) || now < entry.cut_until {
                continue;
            }
            let (changes, is_snapshot) = match &entry.known {
                None => (snapshot(&listed), true),
                Some(known) if *known == listed => (Vec::new(), false),
                Some(known) => (difference(known, &listed), false),
            };
            let is_due = now.since(entry.contacted_at) >= CONTACT_INTERVAL;
            if changes.is_empty() && !is_due {
                continue;
            }
            entry.contacted_at = now;
            entry.known = Some(listed.clone());
            let update = FleetUpdate {
                changes,
                revision: StoreRevision(now.0),
                is_snapshot,
                ..FleetUpdate::default()
            };
            entry.reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
        }
    }

    /// Each entry tells those that it lists that it is there.
    fn broadcast(&mut self) {
        let now = self.now;
        if self.entries.len() > MAX_BROADCASTING || !now.0.is_multiple_of(CONTACT_INTERVAL.0) {
            return;
        }
        let reaches = |entry: &Entry| entry.is_running(now) && now >= entry.cut_until;
        let senders = self.entries.iter().filter(|entry| reaches(entry));
        let listed_by = |entry: &Entry| {
            entry.reducer.peers().iter().map(|peer| peer.id.clone()).collect::<Vec<_>>()
        };
        let messages: Vec<_> = senders.map(|entry| (entry.id.clone(), listed_by(entry))).collect();
        for (from, receivers) in messages {
            for entry in self.entries.iter_mut().filter(|it| receivers.contains(&it.id)) {
                if reaches(entry) {
                    let update =
                        LoadUpdate { rows: Vec::new(), is_snapshot: true, ..LoadUpdate::default() };
                    let load = PeerLoad { from: from.clone(), update };
                    entry.reducer.reduce(now, DirectEvent::PeerLoadReceived(load));
                }
            }
        }
    }

    /// Sends a request to one of the entries that run.
    fn send_request(&mut self, is_failing: bool) {
        let now = self.now;
        self.requests.push(now);
        let running: Vec<_> =
            (0..self.entries.len()).filter(|index| self.entries[*index].is_running(now)).collect();
        let Some(index) = running.choose(&mut self.random) else { return };
        self.serial += 1;
        let number = RequestNumber(self.serial);
        let reducer = &mut self.entries[*index].reducer;
        let request = desk_request(self.serial, now);
        let mut effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
        let outcome = if is_failing { AttemptOutcome::Failed } else { AttemptOutcome::Whole };
        let mut attempts = 0;
        while effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..))) {
            attempts += 1;
            effects = reducer.reduce(now, DirectEvent::AttemptEnded(number, outcome));
        }
        reducer.reduce(now, DirectEvent::CallerGone(number));
        self.retries.extend((1..attempts).map(|_| now));
    }
}

impl FullestWindow {
    /// The part of the bound that was used; above one where it was exceeded.
    pub fn used(&self) -> f64 {
        self.retries as f64 / self.allowed
    }
}

impl Entry {
    fn is_running(&self, now: Moment) -> bool {
        now >= self.frozen_until
    }
}

fn snapshot(listed: &[InstanceId]) -> Vec<FleetChange> {
    const UPSTREAMS: u16 = 4;
    let peers = listed.iter().map(|id| FleetChange::Peer(peer(id)));
    desk_fleet(UPSTREAMS).into_iter().chain(peers).collect()
}

fn difference(known: &[InstanceId], listed: &[InstanceId]) -> Vec<FleetChange> {
    // Both are in order.
    let gone = known.iter().filter(|id| listed.binary_search(id).is_err());
    let come = listed.iter().filter(|id| known.binary_search(id).is_err());
    let gone = gone.cloned().map(FleetChange::PeerGone);
    gone.chain(come.map(|id| FleetChange::Peer(peer(id)))).collect()
}
