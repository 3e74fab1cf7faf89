//! The simulation loop: processes the events of a load pattern in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectSettings, FleetChange,
    FleetUpdate, IntakeReport, LoadBroadcaster, PeerLoad, RequestNumber, SendPlan, StatedValue,
    UpstreamStatement,
};
use mustardrill_core::quarantine::CrashReport;
use mustardrill_types::{
    FastMap, InstanceId, Millis, Moment, RequestRate, StoreRevision, WeightVersion,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::experiment::call::{CallOutcome, CallState, OpenRun};
use crate::experiment::callers::call_index;
use crate::experiment::engine::{EngineEvent, EngineModel, EngineRun, RunId};
use crate::experiment::fleet::{engine_record, entry_id, initial_update};
use crate::experiment::pattern::{DisturbanceKind, LoadPattern};
use crate::experiment::report::SimulationReport;
use crate::experiment::silences::EngineSilence;

/// Time on the entries' clocks at which a simulation starts.
pub(super) const START: Moment = Moment(1_000_000);

/// How often an entry broadcasts its load to its peers.
const BROADCAST_INTERVAL: Millis = Millis(10);

/// How long a machine has no engine after a request has crashed it.
const RESTART_DELAY: Millis = Millis(3_000);

/// How long a simulation goes on after the last arrival, for calls to end.
const DRAIN_SPAN: Millis = Millis(8_000);

/// Simulates a pattern. A seed gives the same callers whatever the settings, so that the results of
/// different settings can be compared.
pub fn simulate(pattern: &LoadPattern, settings: &DirectSettings, seed: u64) -> SimulationReport {
    let mut simulation = PatternSimulation::new(pattern, settings, seed);
    simulation.run();
    simulation.into_report()
}

/// A scheduled event. Indices refer to the lists of the simulation and the pattern.
#[derive(Debug)]
pub(super) enum SimulationEvent {
    CallerArrives { kind: usize },
    RequestSent { call: usize },
    DeadlineReached { call: usize },
    RunArrives { engine: usize, run: EngineRun },
    PassEnds { engine: usize, incarnation: u64 },
    AttemptReported { id: RunId, report: AttemptReport },
    SilenceDue { id: RunId },
    BroadcastDue { entry: usize },
    PeerLoadArrives { entry: usize, load: PeerLoad },
    CrashReportArrives { entry: usize, report: CrashReport },
    IntakeReportsArrive { entry: usize, from: usize, reports: Vec<IntakeReport> },
    TimerFires { entry: usize },
    DisturbanceStarts { index: usize },
    DisturbanceEnds { index: usize },
    EngineStarts { engine: usize },
    EngineRegistered { engine: usize },
}

/// What an engine or its machine reports to an entry about an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) enum AttemptReport {
    EventSent,
    Completed,
    Full,
    NotSent,
    Crashed,
}

pub(super) struct EntryState {
    reducer: DirectReducer,
    broadcaster: LoadBroadcaster,
}

pub(super) struct EngineState {
    pub(super) model: EngineModel,
    incarnation: u64,
    pub(super) is_up: bool,
    pub(super) silence: Option<EngineSilence>,
    /// When each entry last got something from it.
    pub(super) heard_at: Vec<Moment>,
    /// The rate that the engine states to accept.
    intake: Option<RequestRate>,
    /// When requests arrived, whether or not it took them.
    pub(super) arrivals: Vec<Moment>,
}

pub(super) struct PatternSimulation<'a> {
    pub(super) pattern: &'a LoadPattern,
    /// Microseconds since the start of the simulation.
    pub(super) now: u64,
    /// Due time in microseconds and number of each scheduled event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by number.
    events: FastMap<u64, SimulationEvent>,
    /// Number of the event scheduled last; events due at the same time run in this order.
    last_number: u64,
    /// Draws arrivals and request sizes only, so that the callers do not depend on the settings.
    pub(super) caller_rng: StdRng,
    pub(super) rng: StdRng,
    pub(super) entries: Vec<EntryState>,
    pub(super) engines: Vec<EngineState>,
    /// Indices of the engines that each disturbance affects, while it is active.
    affected_engines: Vec<Vec<usize>>,
    /// The engines that each disturbance of the kind `limit` has affected.
    pub(super) limited_engines: Vec<(usize, Vec<usize>)>,
    pub(super) calls: Vec<CallState>,
    pub(super) report: SimulationReport,
}

impl<'a> PatternSimulation<'a> {
    fn new(pattern: &'a LoadPattern, settings: &DirectSettings, seed: u64) -> Self {
        let entry = |index: usize| {
            let settings = DirectSettings { own_id: entry_id(index), ..settings.clone() };
            let mut reducer = DirectReducer::new(settings, seed.wrapping_add(index as u64));
            reducer.reduce(START, DirectEvent::StoreAnswered(initial_update(pattern), START));
            EntryState { reducer, broadcaster: LoadBroadcaster::default() }
        };
        let engine = |_| EngineState {
            model: EngineModel::new(&pattern.profile, pattern.prefill_chunk),
            incarnation: 1,
            is_up: true,
            silence: None,
            heard_at: vec![START; pattern.entries as usize],
            intake: None,
            arrivals: Vec::new(),
        };
        let mut simulation = Self {
            pattern,
            now: 0,
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            last_number: 0,
            caller_rng: StdRng::seed_from_u64(seed),
            rng: StdRng::seed_from_u64(!seed),
            entries: (0..pattern.entries as usize).map(entry).collect(),
            engines: (0..pattern.engines).map(engine).collect(),
            affected_engines: vec![Vec::new(); pattern.disturbances.len()],
            limited_engines: Vec::new(),
            calls: Vec::new(),
            report: SimulationReport::default(),
        };
        simulation.schedule_initial();
        simulation
    }

    fn schedule_initial(&mut self) {
        for kind in 0..self.pattern.kinds.len() {
            self.schedule_caller(kind);
        }
        for entry in 0..self.entries.len() {
            // Staggered, as separate processes do not broadcast in step.
            let first = entry as u64 % BROADCAST_INTERVAL.0;
            self.schedule(Millis(first), SimulationEvent::BroadcastDue { entry });
            // The timer that the entry requested with its first update.
            self.schedule(Millis(first), SimulationEvent::TimerFires { entry });
        }
        for (index, disturbance) in self.pattern.disturbances.iter().enumerate() {
            self.schedule(disturbance.at, SimulationEvent::DisturbanceStarts { index });
            let end = Millis(disturbance.at.0 + disturbance.span.0);
            self.schedule(end, SimulationEvent::DisturbanceEnds { index });
        }
    }

    fn run(&mut self) {
        let end = (self.pattern.span.0 + DRAIN_SPAN.0) * 1_000;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::CallerArrives { kind } => self.handle_arrival(kind),
            SimulationEvent::RequestSent { call } => self.send_request(call),
            SimulationEvent::DeadlineReached { call } => self.abandon_call(call),
            SimulationEvent::RunArrives { engine, run } => self.deliver_run(engine, run),
            SimulationEvent::PassEnds { engine, incarnation } => {
                self.finish_pass(engine, incarnation)
            }
            SimulationEvent::AttemptReported { id, report } => {
                self.handle_attempt_report(id, report)
            }
            SimulationEvent::SilenceDue { id } => self.check_silence(id),
            SimulationEvent::BroadcastDue { entry } => self.broadcast_load(entry),
            SimulationEvent::PeerLoadArrives { entry, load } => {
                self.reduce(entry, DirectEvent::PeerLoadReceived(load))
            }
            SimulationEvent::CrashReportArrives { entry, report } => {
                self.reduce(entry, DirectEvent::CrashReportReceived(report));
            }
            SimulationEvent::IntakeReportsArrive { entry, from, reports } => {
                let event = DirectEvent::IntakeReportsReceived(entry_id(from), reports);
                self.reduce(entry, event);
            }
            SimulationEvent::TimerFires { entry } => self.reduce(entry, DirectEvent::TimerFired),
            SimulationEvent::DisturbanceStarts { index } => self.start_disturbance(index),
            SimulationEvent::DisturbanceEnds { index } => self.end_disturbance(index),
            SimulationEvent::EngineStarts { engine } => self.start_engine(engine),
            SimulationEvent::EngineRegistered { engine } => self.register_engine(engine),
        }
    }

    pub(super) fn moment(&self) -> Moment {
        START + Millis(self.now / 1_000)
    }

    pub(super) fn schedule(&mut self, after: Millis, event: SimulationEvent) {
        self.schedule_us(after.0 * 1_000, event);
    }

    pub(super) fn schedule_us(&mut self, after: u64, event: SimulationEvent) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.queue.push(Reverse((self.now + after, self.last_number)));
    }

    pub(super) fn reduce(&mut self, entry: usize, event: DirectEvent) {
        let now = self.moment();
        for effect in self.entries[entry].reducer.reduce(now, event) {
            match effect {
                DirectEffect::Send(number, plan) => self.send(number, &plan, false),
                DirectEffect::SendBackup(number, plan) => {
                    self.report.backups_sent += 1;
                    self.send(number, &plan, true);
                }
                DirectEffect::Refuse(number, plan) => self.handle_refusal(number, plan),
                DirectEffect::SetTimer(at) => {
                    let pause = at.since(now).0.max(1);
                    self.schedule(Millis(pause), SimulationEvent::TimerFires { entry });
                }
                // Withdrawals, notices and stored quarantines have no receiver here: there are no
                // agents and no store, and one version of the weights.
                DirectEffect::Withdraw(_)
                | DirectEffect::WithdrawUnsent(_)
                | DirectEffect::ForwardFailure(_)
                | DirectEffect::NotifyAgents(..)
                | DirectEffect::StoreQuarantine(..)
                | DirectEffect::RemoveQuarantine(_) => {}
            }
        }
    }

    fn send(&mut self, number: RequestNumber, plan: &SendPlan, is_backup: bool) {
        let call = call_index(number);
        let Some(engine) = self.engine_index(&plan.upstream) else { return };
        self.open_attempt(number, plan, engine, is_backup);
        let state = &self.calls[call];
        self.report.repeats += u32::from(state.attempt > 1);
        let delivered_tokens = state.size.answer_tokens - state.answer_left;
        let run = EngineRun {
            id: RunId { call, attempt: state.attempt },
            // The engine also prefills the part of the answer that earlier attempts delivered.
            prompt_left: state.size.prompt_tokens + delivered_tokens,
            answer_left: state.answer_left,
            crashes_engine: self.pattern.kinds[state.kind].crashes_engines,
        };
        self.schedule(plan.silence_timeout, SimulationEvent::SilenceDue { id: run.id });
        self.schedule(self.pattern.one_way_delay, SimulationEvent::RunArrives { engine, run });
    }

    fn open_attempt(
        &mut self,
        number: RequestNumber,
        plan: &SendPlan,
        engine: usize,
        is_backup: bool,
    ) {
        let call = call_index(number);
        let planned_silence = self.draw_silence(self.calls[call].answer_left);
        let silent_until = self.draw_engine_silence(engine);
        let heard_at = self.moment();
        let state = &mut self.calls[call];
        state.attempt += 1;
        state.open.push(OpenRun {
            attempt: state.attempt,
            number,
            engine,
            is_backup,
            silence_timeout: plan.silence_timeout,
            heard_at,
            is_silent: false,
            planned_silence,
            silent_until,
        });
    }

    fn engine_index(&self, upstream: &InstanceId) -> Option<usize> {
        upstream.as_str().rsplit('-').next()?.parse().ok()
    }

    fn deliver_run(&mut self, engine: usize, run: EngineRun) {
        let id = run.id;
        if self.open_run(id).is_none() {
            return;
        }
        let now = self.moment();
        let state = &mut self.engines[engine];
        state.arrivals.push(now);
        if !state.is_up {
            return self.report_attempt(id, AttemptReport::NotSent);
        }
        if !state.model.try_enqueue(run) {
            self.report.turned_away += 1;
            return self.report_attempt(id, AttemptReport::Full);
        }
        if !state.model.is_busy {
            self.start_pass(engine);
        }
    }

    pub(super) fn open_run(&mut self, id: RunId) -> Option<&mut OpenRun> {
        self.calls[id.call].open.iter_mut().find(|run| run.attempt == id.attempt)
    }

    fn start_pass(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let incarnation = state.incarnation;
        if let Some(span_ms) = state.model.start_pass() {
            self.schedule_us(
                (span_ms * 1e3) as u64,
                SimulationEvent::PassEnds { engine, incarnation },
            );
        }
    }

    fn finish_pass(&mut self, engine: usize, incarnation: u64) {
        let state = &mut self.engines[engine];
        if !state.is_up || state.incarnation != incarnation {
            return;
        }
        for event in state.model.finish_pass() {
            match event {
                EngineEvent::EventSent(id) => self.report_attempt(id, AttemptReport::EventSent),
                EngineEvent::Completed(id) => self.report_attempt(id, AttemptReport::Completed),
                EngineEvent::Crashed => {
                    self.report.engines_ended += 1;
                    self.crash_engine(engine);
                    return self.schedule(RESTART_DELAY, SimulationEvent::EngineStarts { engine });
                }
            }
        }
        self.start_pass(engine);
    }

    fn crash_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.is_up = false;
        state.incarnation += 1;
        for id in state.model.drain_runs() {
            self.report_attempt(id, AttemptReport::Crashed);
        }
    }

    fn start_engine(&mut self, engine: usize) {
        self.engines[engine].is_up = true;
        self.schedule(self.pattern.one_way_delay, SimulationEvent::EngineRegistered { engine });
    }

    fn register_engine(&mut self, engine: usize) {
        let record = engine_record(self.pattern, engine, self.engines[engine].incarnation);
        let now = self.moment();
        for entry in 0..self.entries.len() {
            let changes = vec![FleetChange::Upstream(record.clone())];
            let update = FleetUpdate {
                changes,
                revision: StoreRevision(1),
                is_snapshot: false,
                ..FleetUpdate::default()
            };
            self.reduce(entry, DirectEvent::StoreAnswered(update, now));
        }
    }

    /// Reports to the entry of an attempt, after the one-way delay.
    fn report_attempt(&mut self, id: RunId, report: AttemptReport) {
        self.schedule(self.pattern.one_way_delay, SimulationEvent::AttemptReported { id, report });
    }

    fn handle_attempt_report(&mut self, id: RunId, report: AttemptReport) {
        let Some(number) = self.open_run(id).map(|run| run.number) else { return };
        let entry = self.calls[id.call].entry;
        if !matches!(report, AttemptReport::NotSent | AttemptReport::Crashed) {
            if self.hold_report(id, report) {
                return;
            }
            self.record_heard(id);
        }
        let outcome = match report {
            AttemptReport::EventSent => {
                self.state_intake(id);
                let event = DirectEvent::AnswerStarted(number, None, Some(WeightVersion(1)));
                self.reduce(entry, event);
                self.settle_race(id);
                return self.receive_event(id.call);
            }
            AttemptReport::Completed => {
                self.settle_race(id);
                self.receive_event(id.call);
                let is_late = self.calls[id.call].is_late;
                self.finish_call(
                    id.call,
                    if is_late { CallOutcome::Late } else { CallOutcome::InTime },
                );
                AttemptOutcome::Whole
            }
            AttemptReport::Full => AttemptOutcome::Full,
            AttemptReport::NotSent => AttemptOutcome::NotSent,
            AttemptReport::Crashed => {
                let delivered = self.calls[id.call].last_event.is_some();
                AttemptOutcome::Lost { delivered, crashed: true }
            }
        };
        self.calls[id.call].open.retain(|run| run.attempt != id.attempt);
        self.reduce(entry, DirectEvent::AttemptEnded(number, outcome));
    }

    /// Reports the limit of the engine that runs a call, as the head of its answer states it.
    fn state_intake(&mut self, id: RunId) {
        let Some((engine, number)) = self.open_run(id).map(|run| (run.engine, run.number)) else {
            return;
        };
        let Some(rate) = self.engines[engine].intake else { return };
        let statement =
            UpstreamStatement { limit: StatedValue::valid(rate), ..UpstreamStatement::default() };
        let entry = self.calls[id.call].entry;
        self.reduce(entry, DirectEvent::UpstreamStated(number, statement));
    }

    fn broadcast_load(&mut self, entry: usize) {
        let now = self.moment();
        let state = &mut self.entries[entry];
        let (outstanding, waiting) =
            (state.reducer.outstanding_load(), state.reducer.waiting_counts());
        let update = state.broadcaster.next_update(now, outstanding, waiting);
        let reports = state.reducer.due_crash_reports(now);
        let intake_reports = state.reducer.due_intake_reports(now);
        for other in (0..self.entries.len()).filter(|other| *other != entry) {
            if let Some(update) = update.clone().filter(|_| self.draw_delivery()) {
                let load = PeerLoad { from: entry_id(entry), update };
                self.schedule(
                    self.pattern.one_way_delay,
                    SimulationEvent::PeerLoadArrives { entry: other, load },
                );
            }
            if !intake_reports.is_empty() && self.draw_delivery() {
                let (from, reports) = (entry, intake_reports.clone());
                let event = SimulationEvent::IntakeReportsArrive { entry: other, from, reports };
                self.schedule(self.pattern.one_way_delay, event);
            }
            for report in reports.clone() {
                if self.draw_delivery() {
                    let event = SimulationEvent::CrashReportArrives { entry: other, report };
                    self.schedule(self.pattern.one_way_delay, event);
                }
            }
        }
        self.schedule(BROADCAST_INTERVAL, SimulationEvent::BroadcastDue { entry });
    }

    fn draw_delivery(&mut self) -> bool {
        self.pattern.message_loss == 0.0 || self.rng.random::<f64>() >= self.pattern.message_loss
    }

    fn start_disturbance(&mut self, index: usize) {
        let disturbance = &self.pattern.disturbances[index];
        let accepted = RequestRate((disturbance.factor * 1_000.0) as u64);
        let until = START + disturbance.at + disturbance.span;
        let silence = EngineSilence { share: disturbance.factor.min(1.0), until };
        let mut engines: Vec<_> = (0..self.engines.len()).collect();
        engines.shuffle(&mut self.rng);
        let count = (disturbance.share * engines.len() as f64).round() as usize;
        engines.truncate(count);
        for engine in &engines {
            match disturbance.kind {
                DisturbanceKind::Burst => {}
                DisturbanceKind::Slow => self.engines[*engine].model.slowdown = disturbance.factor,
                DisturbanceKind::Limit => self.engines[*engine].intake = Some(accepted),
                DisturbanceKind::Silent => self.silence_engine(*engine, silence),
                DisturbanceKind::Crash => self.crash_engine(*engine),
            }
        }
        if disturbance.kind == DisturbanceKind::Limit {
            self.limited_engines.push((index, engines.clone()));
        }
        self.affected_engines[index] = engines;
    }

    fn end_disturbance(&mut self, index: usize) {
        let kind = self.pattern.disturbances[index].kind;
        for engine in std::mem::take(&mut self.affected_engines[index]) {
            match kind {
                DisturbanceKind::Burst => {}
                DisturbanceKind::Slow => self.engines[engine].model.slowdown = 1.0,
                DisturbanceKind::Limit => self.engines[engine].intake = None,
                DisturbanceKind::Silent => self.engines[engine].silence = None,
                DisturbanceKind::Crash => self.start_engine(engine),
            }
        }
    }
}
