//! One play of a pattern: the events, in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectSettings, FleetChange,
    FleetUpdate, LoadBroadcaster, PeerLoad, RequestNumber, SendPlan,
};
use mustardrill_core::quarantine::CrashReport;
use mustardrill_types::{FastMap, InstanceId, Millis, Moment, StoreRevision, WeightVersion};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::experiment::call::{CallEnd, CallState};
use crate::experiment::callers::call_of;
use crate::experiment::engine::{EngineEvent, EngineModel, EngineRun, RunId};
use crate::experiment::fleet::{engine_record, entry_id, first_page};
use crate::experiment::pattern::{DisturbanceKind, LoadPattern};
use crate::experiment::report::PlayReport;

/// When a play begins on the entries' clocks.
pub(super) const START: Moment = Moment(1_000_000);

/// How often an entry looks at its load.
const LOOK_EVERY: Millis = Millis(10);

/// How long a machine has no engine after one has ended under a request.
const RESTART: Millis = Millis(3_000);

/// How long a play goes on after the last caller came.
const TAIL: Millis = Millis(8_000);

/// Plays a pattern. The callers are the same for each `seed`, whatever the settings.
pub fn play(pattern: &LoadPattern, settings: &DirectSettings, seed: u64) -> PlayReport {
    let mut play = PatternPlay::new(pattern, settings, seed);
    play.run();
    play.into_report()
}

/// Something that happens at a moment.
#[derive(Debug)]
pub(super) enum Happening {
    Comes { kind: usize },
    Asks { call: usize },
    Leaves { call: usize },
    Reaches { engine: usize, run: EngineRun },
    PassEnds { engine: usize, start: u64 },
    Told { id: RunId, news: AttemptNews },
    Looks { entry: usize },
    Heard { entry: usize, load: PeerLoad },
    CrashHeard { entry: usize, word: CrashReport },
    Wakes { entry: usize },
    Begins { place: usize },
    Ends { place: usize },
    Starts { engine: usize },
    Registered { engine: usize },
}

/// What an entry learns of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) enum AttemptNews {
    Event,
    Whole,
    Full,
    NotSent,
    Crashed,
}

pub(super) struct EntryState {
    reducer: DirectReducer,
    teller: LoadBroadcaster,
}

pub(super) struct EngineState {
    pub(super) model: EngineModel,
    start: u64,
    is_up: bool,
}

pub(super) struct PatternPlay<'a> {
    pub(super) pattern: &'a LoadPattern,
    /// Microseconds since the start.
    pub(super) now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: FastMap<u64, Happening>,
    next: u64,
    /// Decides on callers alone, so that they are the same under other settings.
    pub(super) callers: StdRng,
    pub(super) random: StdRng,
    pub(super) entries: Vec<EntryState>,
    pub(super) engines: Vec<EngineState>,
    /// The engines that each disturbance concerns.
    concerned: Vec<Vec<usize>>,
    pub(super) calls: Vec<CallState>,
    pub(super) report: PlayReport,
}

impl<'a> PatternPlay<'a> {
    fn new(pattern: &'a LoadPattern, settings: &DirectSettings, seed: u64) -> Self {
        let entry = |place: usize| {
            let settings = DirectSettings { own_id: entry_id(place), ..settings.clone() };
            let mut reducer = DirectReducer::new(settings, seed.wrapping_add(place as u64));
            reducer.reduce(START, DirectEvent::StoreAnswered(first_page(pattern), START));
            EntryState { reducer, teller: LoadBroadcaster::default() }
        };
        let engine = |_| EngineState {
            model: EngineModel::new(&pattern.profile, pattern.chunk),
            start: 1,
            is_up: true,
        };
        let mut play = Self {
            pattern,
            now: 0,
            queue: BinaryHeap::new(),
            happenings: FastMap::default(),
            next: 0,
            callers: StdRng::seed_from_u64(seed),
            random: StdRng::seed_from_u64(!seed),
            entries: (0..pattern.entries as usize).map(entry).collect(),
            engines: (0..pattern.engines).map(engine).collect(),
            concerned: vec![Vec::new(); pattern.disturbances.len()],
            calls: Vec::new(),
            report: PlayReport::default(),
        };
        play.prepare();
        play
    }

    fn prepare(&mut self) {
        for kind in 0..self.pattern.kinds.len() {
            self.schedule_caller(kind);
        }
        for entry in 0..self.entries.len() {
            // Spread, as processes don't look in step.
            let first = entry as u64 % LOOK_EVERY.0;
            self.schedule(Millis(first), Happening::Looks { entry });
        }
        for (place, disturbance) in self.pattern.disturbances.iter().enumerate() {
            self.schedule(disturbance.at, Happening::Begins { place });
            let ends = Millis(disturbance.at.0 + disturbance.span.0);
            self.schedule(ends, Happening::Ends { place });
        }
    }

    fn run(&mut self) {
        let end = (self.pattern.span.0 + TAIL.0) * 1_000;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Comes { kind } => self.comes(kind),
            Happening::Asks { call } => self.asks(call),
            Happening::Leaves { call } => self.leaves(call),
            Happening::Reaches { engine, run } => self.reaches(engine, run),
            Happening::PassEnds { engine, start } => self.pass_ends(engine, start),
            Happening::Told { id, news } => self.told(id, news),
            Happening::Looks { entry } => self.looks(entry),
            Happening::Heard { entry, load } => {
                self.reduce(entry, DirectEvent::PeerLoadReceived(load))
            }
            Happening::CrashHeard { entry, word } => {
                self.reduce(entry, DirectEvent::CrashReportReceived(word));
            }
            Happening::Wakes { entry } => self.reduce(entry, DirectEvent::TimerFired),
            Happening::Begins { place } => self.begins(place),
            Happening::Ends { place } => self.ends(place),
            Happening::Starts { engine } => self.starts(engine),
            Happening::Registered { engine } => self.registered(engine),
        }
    }

    pub(super) fn moment(&self) -> Moment {
        START + Millis(self.now / 1_000)
    }

    pub(super) fn schedule(&mut self, after: Millis, happening: Happening) {
        self.schedule_us(after.0 * 1_000, happening);
    }

    pub(super) fn schedule_us(&mut self, after: u64, happening: Happening) {
        self.next += 1;
        self.happenings.insert(self.next, happening);
        self.queue.push(Reverse((self.now + after, self.next)));
    }

    pub(super) fn reduce(&mut self, entry: usize, event: DirectEvent) {
        let now = self.moment();
        for effect in self.entries[entry].reducer.reduce(now, event) {
            match effect {
                DirectEffect::Send(number, plan) => self.send(number, &plan),
                DirectEffect::Refuse(number, plan) => self.refused(number, plan),
                DirectEffect::SetTimer(at) => {
                    let pause = at.since(now).0.max(1);
                    self.schedule(Millis(pause), Happening::Wakes { entry });
                }
                // A play knows one version of the weights.
                DirectEffect::Withdraw(_)
                | DirectEffect::ForwardFailure(_)
                | DirectEffect::NotifyAgents(..)
                | DirectEffect::StoreQuarantine(..)
                | DirectEffect::RemoveQuarantine(_) => {}
            }
        }
    }

    fn send(&mut self, number: RequestNumber, plan: &SendPlan) {
        let call = call_of(number);
        let Some(engine) = self.place_of(&plan.upstream) else { return };
        let state = &mut self.calls[call];
        state.attempt += 1;
        state.engine = Some((engine, plan.upstream.clone()));
        self.report.repeats += u32::from(state.attempt > 1);
        let written = state.size.answer_tokens - state.answer_left;
        let run = EngineRun {
            id: RunId { call, attempt: state.attempt },
            // What was written before is read again.
            prompt_left: state.size.prompt_tokens + written,
            answer_left: state.answer_left,
            ends_engine: self.pattern.kinds[state.kind].ends_engines,
        };
        self.schedule(self.pattern.way, Happening::Reaches { engine, run });
    }

    fn place_of(&self, upstream: &InstanceId) -> Option<usize> {
        upstream.as_str().rsplit('-').next()?.parse().ok()
    }

    fn reaches(&mut self, engine: usize, run: EngineRun) {
        let id = run.id;
        if !self.is_awaited(id) {
            return;
        }
        let state = &mut self.engines[engine];
        if !state.is_up {
            return self.tell(id, AttemptNews::NotSent);
        }
        if !state.model.take(run) {
            self.report.turned_away += 1;
            return self.tell(id, AttemptNews::Full);
        }
        if !state.model.is_busy {
            self.begin_pass(engine);
        }
    }

    fn is_awaited(&self, id: RunId) -> bool {
        let state = &self.calls[id.call];
        state.end.is_none() && state.attempt == id.attempt
    }

    fn begin_pass(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let start = state.start;
        if let Some(span_ms) = state.model.begin_pass() {
            self.schedule_us((span_ms * 1e3) as u64, Happening::PassEnds { engine, start });
        }
    }

    fn pass_ends(&mut self, engine: usize, start: u64) {
        let state = &mut self.engines[engine];
        if !state.is_up || state.start != start {
            return;
        }
        for event in state.model.end_pass() {
            match event {
                EngineEvent::Event(id) => self.tell(id, AttemptNews::Event),
                EngineEvent::Whole(id) => self.tell(id, AttemptNews::Whole),
                EngineEvent::Ended => {
                    self.report.engines_ended += 1;
                    self.end_engine(engine);
                    return self.schedule(RESTART, Happening::Starts { engine });
                }
            }
        }
        self.begin_pass(engine);
    }

    fn end_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.is_up = false;
        state.start += 1;
        for id in state.model.take_all() {
            self.tell(id, AttemptNews::Crashed);
        }
    }

    fn starts(&mut self, engine: usize) {
        self.engines[engine].is_up = true;
        self.schedule(self.pattern.way, Happening::Registered { engine });
    }

    fn registered(&mut self, engine: usize) {
        let record = engine_record(self.pattern, engine, self.engines[engine].start);
        let now = self.moment();
        for entry in 0..self.entries.len() {
            let changes = vec![FleetChange::Upstream(record.clone())];
            let page = FleetUpdate {
                changes,
                revision: StoreRevision(1),
                is_snapshot: false,
                ..FleetUpdate::default()
            };
            self.reduce(entry, DirectEvent::StoreAnswered(page, now));
        }
    }

    /// Lets an entry learn of an attempt, a way later.
    fn tell(&mut self, id: RunId, news: AttemptNews) {
        self.schedule(self.pattern.way, Happening::Told { id, news });
    }

    fn told(&mut self, id: RunId, news: AttemptNews) {
        if !self.is_awaited(id) {
            return;
        }
        let number = self.number(id.call);
        let entry = self.calls[id.call].entry;
        let outcome = match news {
            AttemptNews::Event => {
                let answering = DirectEvent::AnswerStarted(number, None, Some(WeightVersion(1)));
                self.reduce(entry, answering);
                return self.event_came(id.call);
            }
            AttemptNews::Whole => {
                self.event_came(id.call);
                let late = self.calls[id.call].is_late;
                self.finish(id.call, if late { CallEnd::Late } else { CallEnd::InTime });
                AttemptOutcome::Whole
            }
            AttemptNews::Full => AttemptOutcome::Full,
            AttemptNews::NotSent => AttemptOutcome::NotSent,
            AttemptNews::Crashed => {
                let delivered = self.calls[id.call].last_event.is_some();
                AttemptOutcome::Lost { delivered, crashed: true }
            }
        };
        self.calls[id.call].engine = None;
        self.reduce(entry, DirectEvent::AttemptEnded(number, outcome));
    }

    fn looks(&mut self, entry: usize) {
        let now = self.moment();
        let state = &mut self.entries[entry];
        let (outstanding, waiting) =
            (state.reducer.outstanding_load(), state.reducer.waiting_counts());
        let news = state.teller.next_update(now, outstanding, waiting);
        let words = state.reducer.due_crash_reports(now);
        for other in (0..self.entries.len()).filter(|other| *other != entry) {
            if let Some(news) = news.clone().filter(|_| self.arrives()) {
                let load = PeerLoad { from: entry_id(entry), update: news };
                self.schedule(self.pattern.way, Happening::Heard { entry: other, load });
            }
            for word in words.clone() {
                if self.arrives() {
                    let heard = Happening::CrashHeard { entry: other, word };
                    self.schedule(self.pattern.way, heard);
                }
            }
        }
        self.schedule(LOOK_EVERY, Happening::Looks { entry });
    }

    fn arrives(&mut self) -> bool {
        self.pattern.word_loss == 0.0 || self.random.random::<f64>() >= self.pattern.word_loss
    }

    fn begins(&mut self, place: usize) {
        let disturbance = &self.pattern.disturbances[place];
        let mut engines: Vec<_> = (0..self.engines.len()).collect();
        engines.shuffle(&mut self.random);
        let count = (disturbance.share * engines.len() as f64).round() as usize;
        engines.truncate(count);
        for engine in &engines {
            match disturbance.kind {
                DisturbanceKind::Burst => {}
                DisturbanceKind::Slow => self.engines[*engine].model.pace = disturbance.factor,
                DisturbanceKind::Crash => self.end_engine(*engine),
            }
        }
        self.concerned[place] = engines;
    }

    fn ends(&mut self, place: usize) {
        let kind = self.pattern.disturbances[place].kind;
        for engine in std::mem::take(&mut self.concerned[place]) {
            match kind {
                DisturbanceKind::Burst => {}
                DisturbanceKind::Slow => self.engines[engine].model.pace = 1.0,
                DisturbanceKind::Crash => self.starts(engine),
            }
        }
    }
}
