//! A simulation of entries that send requests to engines around the time at which weights become
//! superseded.

use std::collections::BTreeMap;

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectSettings, EngineNotice,
    FleetChange, FleetUpdate, RepeatRule, RequestNumber, RouteDocument, SendPlan, ServedWeights,
    ServiceProfile, SilenceReport, UpstreamRecord, WorkSize,
};
use mustardrill_types::{
    Generation, InstanceId, Millis, ModelName, Moment, StartStamp, StoreRevision, WeightVersion,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::common::{desk, direct_request, direct_settings, engine_profile, peer, public_route};

const START: u64 = 100_000;

/// When the first version is superseded by another.
const ANNOUNCED: u64 = START + 3_000;

const REQUESTS: usize = 60;
const WATCH: u64 = 1_000;
const POLL_INTERVAL: u64 = 50;
const SILENCE_TIMEOUT: u64 = 1_200;
const REPORT_INTERVAL: u64 = 400;
const LONGEST_SUSPENSION: u64 = 3_000;

/// Least time between two suspensions of an entry, so that they do not add up to a longer one.
const RUN_TIME: u64 = 500;

/// Within this time after it resumes, what an entry withdraws reaches the engine.
const WITHDRAWAL_DELAY: u64 = 60;

/// What happened in a schedule.
#[derive(Debug, Default)]
pub struct BoundTally {
    /// Requests that started on superseded weights past their bound.
    pub late: Vec<String>,
    /// How long before the end of its bound the first version was used last.
    pub unused: Option<u64>,
    pub started: u64,
    pub withdrawn: u64,
    pub backups: u64,
    pub misdirected: u64,
}

struct Entry {
    reducer: DirectReducer,
    life: u32,
    read: usize,
    suspended_until: u64,
    /// When the last command of its reducer and the last report to it arrive, which stay in order.
    command_at: u64,
    report_at: u64,
    /// Whether the last answer of the store contained a change.
    has_changed: bool,
    /// Whether it has had no answer to a call to the store that was sent since it was suspended.
    is_unaware: bool,
}

struct Engine {
    record: UpstreamRecord,
    version: u64,
    start_delay: u64,
}

#[derive(Debug)]
struct Attempt {
    entry: usize,
    life: u32,
    number: RequestNumber,
    plan: SendPlan,
    is_closed: bool,
    /// Whether its entry has taken it back; its connection is closed then, which takes a while.
    is_withdrawn: bool,
    has_begun: bool,
    sent_at: u64,
}

enum Happening {
    Arrival(usize),
    Event(usize, u32, DirectEvent),
    Command(usize, u32, DirectEffect),
    Call(usize, u32),
    WatchEnd(usize, u32, u64),
    Poll(usize),
    Write(usize),
    Reach(usize),
    Begin(usize),
    Part(usize, u64),
    End(usize),
    Close(usize),
    Silence(usize),
    Announce(u64),
    Load(usize, u64),
    Claim(usize),
    Disturb,
}

pub struct BoundSimulation {
    now: u64,
    random: SmallRng,
    settings: DirectSettings,
    is_calm: bool,
    /// The longest delay of an answer of the store.
    store_delay: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    attempts: Vec<Attempt>,
    store: Vec<FleetChange>,
    watches: Vec<(usize, u32, u64)>,
    announced: Vec<(u64, u64)>,
    agenda: BTreeMap<(u64, u64), Happening>,
    sequence: u64,
    requests: u64,
    tally: BoundTally,
}

fn model() -> ModelName {
    "m".parse().unwrap()
}

fn entry_id(entry: usize) -> InstanceId {
    format!("entry-{entry}").parse().unwrap()
}

impl BoundSimulation {
    /// Plays a schedule to its end; in a calm one nothing is disturbed.
    pub fn play(entries: usize, bound: u64, seed: u64, is_calm: bool) -> BoundTally {
        let mut simulation = Self::new(entries, bound, seed, is_calm);
        while let Some(((at, _), happening)) = simulation.agenda.pop_first() {
            if at > ANNOUNCED + bound + 6_000 {
                break;
            }
            simulation.now = at;
            simulation.handle(happening);
        }
        simulation.tally
    }

    fn new(entries: usize, bound: u64, seed: u64, is_calm: bool) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let settings = DirectSettings { version_bound: Millis(bound), ..direct_settings() };
        let store_delay = if is_calm { 4 } else { *[4, 600].choose(&mut random).unwrap() };
        let mut simulation = Self {
            now: START,
            settings,
            is_calm,
            store_delay,
            entries: Vec::new(),
            engines: Vec::new(),
            attempts: Vec::new(),
            store: Vec::new(),
            watches: Vec::new(),
            announced: vec![(1, 0)],
            agenda: BTreeMap::new(),
            sequence: 0,
            requests: 0,
            tally: BoundTally::default(),
            random,
        };
        simulation.start(entries);
        simulation
    }

    fn start(&mut self, entries: usize) {
        let bound = self.settings.version_bound.0;
        let route = public_route("drafts", "/", "desk", RepeatRule::StreamResumable);
        let profile =
            ServiceProfile { engine: Some(engine_profile()), ..ServiceProfile::default() };
        let services = [("desk".parse().unwrap(), profile)].into_iter().collect();
        let document =
            RouteDocument::new(Generation(1), vec![route], services, vec![], Default::default());
        self.store.push(FleetChange::Configured(document.into()));
        self.store.push(FleetChange::VersionAnnounced(model(), WeightVersion(1)));
        self.store.extend((0..entries).map(|entry| FleetChange::Peer(peer(&entry_id(entry)))));
        for number in 0..self.random.random_range(2..6) {
            let serving = vec![ServedWeights { model: model(), version: WeightVersion(1) }];
            let record = UpstreamRecord { serving, slots: 16, ..desk(number) };
            self.store.push(FleetChange::Upstream(record.clone()));
            self.engines.push(Engine { record, version: 1, start_delay: 20 });
            let is_slow = !self.is_calm && self.random.random();
            let after = if is_slow { bound * 2 } else { self.random.random_range(0..2 * bound) };
            let loaded = if self.is_calm { 2 * bound } else { after };
            self.schedule(
                ANNOUNCED - START + loaded + 300,
                Happening::Load(usize::from(number), 2),
            );
        }
        for entry in 0..entries {
            self.entries.push(self.new_entry(entry, 0));
            self.schedule(0, Happening::Call(entry, 0));
            self.schedule(entry as u64, Happening::Poll(entry));
        }
        self.schedule(ANNOUNCED - START, Happening::Announce(2));
        let from = (ANNOUNCED - START + bound).saturating_sub(3_000);
        for _ in 0..REQUESTS {
            let after = from + self.random.random_range(0..3_400);
            let entry = self.random.random_range(0..entries);
            self.schedule(after, Happening::Arrival(entry));
        }
        let disturbances = if self.is_calm { 0 } else { self.random.random_range(0..24) };
        for _ in 0..disturbances {
            let after = self.random.random_range(2_000..3_500 + bound);
            self.schedule(after, Happening::Disturb);
        }
    }

    fn new_entry(&self, entry: usize, life: u32) -> Entry {
        let settings = DirectSettings { own_id: entry_id(entry), ..self.settings.clone() };
        let reducer = DirectReducer::new(settings, entry as u64 + u64::from(life) * 100);
        Entry {
            reducer,
            life,
            read: 0,
            suspended_until: 0,
            command_at: 0,
            report_at: 0,
            has_changed: false,
            is_unaware: false,
        }
    }

    fn schedule(&mut self, after: u64, happening: Happening) {
        self.sequence += 1;
        self.agenda.insert((self.now + after, self.sequence), happening);
    }

    /// The entry whose process must run for something to happen, and its life.
    fn process_of(&self, happening: &Happening) -> Option<(usize, u32)> {
        match happening {
            Happening::Arrival(entry) | Happening::Poll(entry) => {
                Some((*entry, self.entries[*entry].life))
            }
            Happening::Event(entry, life, _)
            | Happening::Command(entry, life, _)
            | Happening::Call(entry, life) => Some((*entry, *life)),
            Happening::Write(attempt)
            | Happening::Silence(attempt)
            | Happening::Part(attempt, _) => {
                Some((self.attempts[*attempt].entry, self.attempts[*attempt].life))
            }
            _ => None,
        }
    }

    fn handle(&mut self, happening: Happening) {
        if let Some((entry, life)) = self.process_of(&happening) {
            let process = &self.entries[entry];
            if process.life != life {
                return;
            }
            if process.suspended_until > self.now {
                let after = process.suspended_until - self.now;
                return self.schedule(after, happening);
            }
        }
        match happening {
            Happening::Arrival(entry) => self.arrive(entry),
            Happening::Event(entry, _, event) => self.reduce(entry, event),
            Happening::Command(entry, _, effect) => self.obey(entry, effect),
            Happening::Call(entry, life) => self.call_store(entry, life),
            Happening::WatchEnd(entry, life, sent) => {
                let watch = (entry, life, sent);
                if self.watches.contains(&watch) {
                    self.watches.retain(|open| *open != watch);
                    self.answer_call(entry, life, sent);
                }
            }
            Happening::Poll(entry) => self.poll(entry),
            Happening::Write(attempt) => self.write(attempt),
            Happening::Reach(attempt) => self.reach(attempt),
            Happening::Begin(attempt) => self.begin(attempt),
            Happening::Part(attempt, version) => {
                let Attempt { is_closed, is_withdrawn, .. } = self.attempts[attempt];
                if !is_closed && !is_withdrawn {
                    self.receive_part(attempt, version);
                }
            }
            Happening::End(attempt) => self.end(attempt),
            Happening::Close(attempt) => self.attempts[attempt].is_closed = true,
            Happening::Silence(attempt) => self.report_silence(attempt),
            Happening::Announce(version) => {
                self.announced.push((version, self.now));
                let change = FleetChange::VersionAnnounced(model(), WeightVersion(version));
                self.write_store(change);
            }
            Happening::Load(engine, version) => {
                self.engines[engine].version = version.max(self.engines[engine].version);
                self.claim(engine, self.engines[engine].version);
            }
            Happening::Claim(engine) => {
                let newest = self.announced.last().unwrap().0;
                self.claim(engine, newest);
            }
            Happening::Disturb => self.disturb(),
        }
    }

    fn reduce(&mut self, entry: usize, event: DirectEvent) {
        if let DirectEvent::StoreAnswered(_, sent) = &event
            && sent.0 >= self.entries[entry].suspended_until
        {
            self.entries[entry].is_unaware = false;
        }
        let life = self.entries[entry].life;
        for effect in self.entries[entry].reducer.reduce(Moment(self.now), event) {
            match effect {
                DirectEffect::SetTimer(at) => {
                    let after = at.0.saturating_sub(self.now);
                    self.schedule(after, Happening::Event(entry, life, DirectEvent::TimerFired));
                }
                effect => {
                    let at = self.now + self.random.random_range(0..20);
                    let at = at.max(self.entries[entry].command_at);
                    self.entries[entry].command_at = at;
                    self.schedule(at - self.now, Happening::Command(entry, life, effect));
                }
            }
        }
    }

    /// Something of an attempt reaches its entry.
    fn report(&mut self, attempt: usize, event: DirectEvent) {
        let Attempt { entry, life, .. } = self.attempts[attempt];
        let at = self.now + self.random.random_range(1..5);
        let at = at.max(self.entries[entry].report_at);
        self.entries[entry].report_at = at;
        self.schedule(at - self.now, Happening::Event(entry, life, event));
    }

    fn obey(&mut self, entry: usize, effect: DirectEffect) {
        match effect {
            DirectEffect::Send(number, plan) => self.send(entry, number, plan),
            DirectEffect::SendBackup(number, plan) => self.send_backup(entry, number, plan),
            DirectEffect::Withdraw(number) | DirectEffect::WithdrawUnsent(number) => {
                let is_unsent = matches!(effect, DirectEffect::WithdrawUnsent(_));
                let life = self.entries[entry].life;
                let attempt = self.attempts.iter().rposition(|it| {
                    (it.entry, it.life, it.number) == (entry, life, number) && !it.is_closed
                });
                let Some(attempt) = attempt else { return };
                let (sent, has_begun) =
                    (self.attempts[attempt].sent_at > 0, self.attempts[attempt].has_begun);
                let is_withdrawn = self.attempts[attempt].is_withdrawn;
                if is_withdrawn || has_begun || is_unsent && sent {
                    return;
                }
                self.attempts[attempt].is_withdrawn = true;
                self.tally.withdrawn += 1;
                let after = self.random.random_range(1..5);
                self.schedule(after, Happening::Close(attempt));
                let outcome = AttemptOutcome::Withdrawn { sent };
                self.report(attempt, DirectEvent::AttemptEnded(number, outcome));
            }
            DirectEffect::Refuse(number, _) => {
                self.reduce(entry, DirectEvent::CallerGone(number));
            }
            _ => {}
        }
    }

    /// Sends the second attempt of a request whose first one still waits.
    fn send_backup(&mut self, entry: usize, number: RequestNumber, plan: SendPlan) {
        let life = self.entries[entry].life;
        let is_silent = self.attempts.iter().any(|it| {
            (it.entry, it.life, it.number) == (entry, life, number.sibling())
                && !(it.is_closed || it.is_withdrawn || it.has_begun)
        });
        if is_silent {
            self.tally.backups += 1;
            return self.send(entry, number, plan);
        }
        let outcome = AttemptOutcome::Withdrawn { sent: false };
        self.reduce(entry, DirectEvent::AttemptEnded(number, outcome));
    }

    fn send(&mut self, entry: usize, number: RequestNumber, plan: SendPlan) {
        let life = self.entries[entry].life;
        self.attempts.push(Attempt {
            entry,
            life,
            number,
            plan,
            is_closed: false,
            is_withdrawn: false,
            has_begun: false,
            sent_at: 0,
        });
        let after = self.random.random_range(0..5);
        self.schedule(after, Happening::Write(self.attempts.len() - 1));
    }

    fn write(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        if attempt.is_closed || attempt.is_withdrawn {
            return;
        }
        if attempt.plan.start_by.is_some_and(|start_by| start_by.0 < self.now) {
            attempt.is_closed = true;
            let outcome = AttemptOutcome::Withdrawn { sent: false };
            let number = attempt.number;
            return self.report(index, DirectEvent::AttemptEnded(number, outcome));
        }
        attempt.sent_at = self.now;
        let after = self.random.random_range(1..5);
        self.schedule(after, Happening::Reach(index));
        self.schedule(SILENCE_TIMEOUT, Happening::Silence(index));
    }

    fn engine_of(&self, attempt: usize) -> usize {
        let id = &self.attempts[attempt].plan.upstream;
        self.engines.iter().position(|engine| engine.record.id == *id).unwrap()
    }

    fn reach(&mut self, index: usize) {
        let engine = &self.engines[self.engine_of(index)];
        let Attempt { number, plan, is_closed, .. } = &self.attempts[index];
        let number = *number;
        if *is_closed {
            return;
        }
        let has_weights = plan.pinned_version.is_none_or(|pinned| pinned.0 == engine.version);
        if !has_weights || plan.start != engine.record.start {
            self.tally.misdirected += 1;
            self.attempts[index].is_closed = true;
            if self.attempts[index].is_withdrawn {
                return;
            }
            let outcome = AttemptOutcome::Misdirected;
            return self.report(index, DirectEvent::AttemptEnded(number, outcome));
        }
        let delay = engine.start_delay;
        self.schedule(delay, Happening::Begin(index));
    }

    /// An engine starts a request, which is judged by what it holds.
    fn begin(&mut self, index: usize) {
        if self.attempts[index].is_closed {
            return;
        }
        let (engine, bound) = (self.engine_of(index), self.settings.version_bound.0);
        let version = self.engines[engine].version;
        self.tally.started += 1;
        let newer = self.announced.iter().filter(|(newer, _)| *newer > version);
        if let Some((newer, until)) = newer.map(|(newer, at)| (*newer, at + bound)).min() {
            let entry = &self.entries[self.attempts[index].entry];
            let is_excused =
                self.now < entry.suspended_until + WITHDRAWAL_DELAY || entry.is_unaware;
            if self.now > until && !is_excused {
                let attempt = &self.attempts[index];
                let after = self.now - until;
                self.tally.late.push(format!(
                    "{after} ms after the bound for version {newer}, sent {} ms before: {attempt:?}",
                    self.now - attempt.sent_at
                ));
            }
            if version == 1 && newer == 2 {
                let unused = until.saturating_sub(self.now);
                self.tally.unused = Some(self.tally.unused.map_or(unused, |it| it.min(unused)));
            }
        }
        let after = self.random.random_range(0..300);
        self.schedule(after, Happening::Part(index, version));
    }

    /// The first part of an answer arrives, which ends the watch over its attempt.
    fn receive_part(&mut self, index: usize, version: u64) {
        if std::mem::replace(&mut self.attempts[index].has_begun, true) {
            return;
        }
        self.drop_sibling(index);
        let number = self.attempts[index].number;
        let event = DirectEvent::AnswerStarted(number, None, Some(WeightVersion(version)));
        self.report(index, event);
        let after = self.random.random_range(30..300);
        self.schedule(after, Happening::End(index));
    }

    fn drop_sibling(&mut self, index: usize) {
        let Attempt { entry, life, number, .. } = self.attempts[index];
        let sibling = self.attempts.iter_mut().find(|it| {
            (it.entry, it.life, it.number) == (entry, life, number.sibling()) && !it.is_closed
        });
        if let Some(sibling) = sibling {
            sibling.is_closed = true;
            self.report(index, DirectEvent::AttemptWon(number));
        }
    }

    fn end(&mut self, index: usize) {
        let number = self.attempts[index].number;
        if !std::mem::replace(&mut self.attempts[index].is_closed, true) {
            self.report(index, DirectEvent::AttemptEnded(number, AttemptOutcome::Whole));
            self.report(index, DirectEvent::CallerGone(number));
        }
    }

    fn report_silence(&mut self, index: usize) {
        let Attempt { number, is_closed, is_withdrawn, has_begun, sent_at, .. } =
            self.attempts[index];
        if is_closed || is_withdrawn || has_begun {
            return;
        }
        let report = SilenceReport {
            silent_for: Millis(self.now - sent_at),
            delivered: false,
            is_reachable: true,
            is_upstream_heard: false,
        };
        self.report(index, DirectEvent::AttemptSilent(number, report));
        self.schedule(REPORT_INTERVAL, Happening::Silence(index));
    }

    fn arrive(&mut self, entry: usize) {
        self.requests += 1;
        let size = WorkSize { prompt_tokens: 300, answer_tokens: 120 };
        let request = direct_request(self.requests, "/x", size, Moment(self.now));
        self.reduce(entry, DirectEvent::RequestArrived(request));
    }

    fn call_store(&mut self, entry: usize, life: u32) {
        let sent = self.now;
        if self.entries[entry].read < self.store.len() {
            return self.answer_call(entry, life, sent);
        }
        self.watches.push((entry, life, sent));
        let has_changed = std::mem::take(&mut self.entries[entry].has_changed);
        let wait = if has_changed { self.random.random_range(0..=WATCH) } else { WATCH };
        self.schedule(wait, Happening::WatchEnd(entry, life, sent));
    }

    fn answer_call(&mut self, entry: usize, life: u32, sent: u64) {
        if self.entries[entry].life != life {
            return;
        }
        let read = std::mem::replace(&mut self.entries[entry].read, self.store.len());
        let own = entry_id(entry);
        let changes = self.store[read..].iter();
        let changes: Vec<_> = changes
            .filter(|change| !matches!(change, FleetChange::Peer(it) if it.id == own))
            .cloned()
            .collect();
        let has_changes = !changes.is_empty();
        self.entries[entry].has_changed = has_changes;
        let update = FleetUpdate {
            changes,
            revision: StoreRevision(self.store.len() as u64),
            is_snapshot: read == 0,
            ..FleetUpdate::default()
        };
        let delay = self.random.random_range(self.store_delay / 3..=self.store_delay);
        // A watch that ends without a change confirms its whole time.
        let confirmed_at = if has_changes { sent } else { self.now };
        let event = DirectEvent::StoreAnswered(update, Moment(confirmed_at));
        self.schedule(delay, Happening::Event(entry, life, event));
        let pause = if has_changes { self.random.random_range(0..800) } else { 0 };
        self.schedule(delay + pause, Happening::Call(entry, life));
    }

    fn write_store(&mut self, change: FleetChange) {
        self.store.push(change);
        for (entry, life, sent) in std::mem::take(&mut self.watches) {
            self.answer_call(entry, life, sent);
        }
    }

    /// The entry asks its peers when versions were announced.
    fn poll(&mut self, entry: usize) {
        self.schedule(POLL_INTERVAL, Happening::Poll(entry));
        let now = Moment(self.now);
        let Some(interval) = self.entries[entry].reducer.peer_query_interval(now) else { return };
        if interval.0 > POLL_INTERVAL && self.random.random_range(0..interval.0) > POLL_INTERVAL {
            return;
        }
        let others: Vec<_> = (0..self.entries.len()).filter(|other| *other != entry).collect();
        let others: Vec<_> = others.choose_multiple(&mut self.random, 8).copied().collect();
        for other in others {
            let peer = &self.entries[other];
            if peer.suspended_until > self.now {
                continue;
            }
            let (there, back) = (self.random.random_range(0..4), self.random.random_range(1..4));
            let mut reports = peer.reducer.announcements(now);
            for report in &mut reports {
                report.time.earliest = report.time.earliest - Millis(there);
                report.time.known_at = report.time.known_at + Millis(back);
            }
            let span = peer.reducer.store_availability_span();
            let life = self.entries[entry].life;
            let events = span.map(DirectEvent::AvailabilityReceived).into_iter();
            let reports = (!reports.is_empty()).then_some(reports);
            for event in events.chain(reports.map(DirectEvent::AnnouncementsReceived)) {
                self.schedule(back, Happening::Event(entry, life, event));
            }
        }
    }

    /// The registration and the agent of an engine state that it holds a version.
    fn claim(&mut self, engine: usize, version: u64) {
        let record = &mut self.engines[engine].record;
        record.serving[0].version = WeightVersion(version);
        let change = FleetChange::Upstream(record.clone());
        let address = record.address;
        let start = Some(record.start);
        for entry in 0..self.entries.len() {
            let notice = EngineNotice::Serving(WeightVersion(version));
            let event =
                DirectEvent::EngineNoticeReceived { address, model: model(), start, notice };
            let (after, life) = (self.random.random_range(1..30), self.entries[entry].life);
            self.schedule(after, Happening::Event(entry, life, event));
        }
        self.write_store(change);
    }

    fn disturb(&mut self) {
        let entry = self.random.random_range(0..self.entries.len());
        let engine = self.random.random_range(0..self.engines.len());
        match self.random.random_range(0..8) {
            0 | 1 => {
                let until = self.now + self.random.random_range(0..LONGEST_SUSPENSION);
                let process = &mut self.entries[entry];
                if process.suspended_until + RUN_TIME <= self.now {
                    process.suspended_until = until;
                    process.is_unaware = true;
                }
            }
            2 => self.restart_entry(entry),
            3 | 4 => {
                self.engines[engine].start_delay = self.random.random_range(0..2_200);
            }
            5 => self.schedule(0, Happening::Claim(engine)),
            6 => self.restart_engine(engine),
            _ => {
                let newest = self.announced.last().unwrap().0;
                if self.now > ANNOUNCED {
                    self.schedule(0, Happening::Announce(newest + 1));
                }
            }
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        let life = self.entries[entry].life + 1;
        self.entries[entry] = self.new_entry(entry, life);
        let own = self.attempts.iter_mut().filter(|attempt| attempt.entry == entry);
        own.for_each(|attempt| attempt.is_closed = true);
        self.schedule(100, Happening::Call(entry, life));
    }

    fn restart_engine(&mut self, engine: usize) {
        let record = &mut self.engines[engine].record;
        record.start = StartStamp(record.start.0 + 1);
        let (id, version) = (record.id.clone(), self.engines[engine].version);
        for index in 0..self.attempts.len() {
            let Attempt { number, sent_at, is_closed, is_withdrawn, has_begun, ref plan, .. } =
                self.attempts[index];
            if plan.upstream == id && sent_at > 0 && !is_closed && !is_withdrawn {
                self.attempts[index].is_closed = true;
                let outcome = AttemptOutcome::Lost { delivered: has_begun, crashed: true };
                self.report(index, DirectEvent::AttemptEnded(number, outcome));
            }
        }
        self.claim(engine, version);
    }
}
