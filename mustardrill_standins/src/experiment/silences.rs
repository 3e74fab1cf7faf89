//! Silences of engines, and the watch over open runs that the request tasks of an entry keep.

use mustardrill_core::direct::{DirectEvent, SilenceReport};
use mustardrill_types::{Millis, Moment};
use rand::Rng;

use crate::experiment::call::OpenRun;
use crate::experiment::engine::RunId;
use crate::experiment::simulation::{AttemptReport, PatternSimulation, SimulationEvent};

/// How often a silence that lasts is reported again.
const REPORT_INTERVAL: Millis = Millis(400);

/// When a run falls silent on its own.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedSilence {
    /// Events that arrive before it.
    events_left: u32,
    length: Millis,
}

/// A disturbance that keeps an engine from answering.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineSilence {
    /// Share of the engine's runs that are silent, from 0 to 1.
    pub(super) share: f64,
    pub(super) until: Moment,
}

impl PatternSimulation<'_> {
    /// The silence of a new run, for a pattern's share of the answers.
    pub(super) fn draw_silence(&mut self, answer_tokens: u32) -> Option<PlannedSilence> {
        let silences = &self.pattern.silences;
        if silences.share == 0.0 || !self.rng.random_bool(silences.share) {
            return None;
        }
        let events = answer_tokens.div_ceil(self.pattern.profile.steps_per_pass).max(1);
        let length = self.rng.random_range(silences.shortest.0..=silences.longest.0);
        let events_left = self.rng.random_range(0..events);
        Some(PlannedSilence { events_left, length: Millis(length) })
    }

    /// Until when a run is silent because its engine is; the present where it is not.
    pub(super) fn draw_engine_silence(&mut self, engine: usize) -> Moment {
        let silence = self.engines[engine].silence;
        match silence {
            Some(silence) if self.rng.random_bool(silence.share) => silence.until,
            _ => self.moment(),
        }
    }

    /// Makes open runs of an engine silent as its disturbance starts.
    pub(super) fn silence_engine(&mut self, engine: usize, silence: EngineSilence) {
        self.engines[engine].silence = Some(silence);
        for call in 0..self.calls.len() {
            for index in 0..self.calls[call].open.len() {
                if self.calls[call].open[index].engine == engine {
                    let until = self.draw_engine_silence(engine);
                    let run = &mut self.calls[call].open[index];
                    run.silent_until = run.silent_until.max(until);
                }
            }
        }
    }

    /// Holds a report back while its run is silent. Returns whether it does.
    pub(super) fn hold_report(&mut self, id: RunId, report: AttemptReport) -> bool {
        let now = self.moment();
        let Some(run) = self.open_run(id) else { return false };
        match &mut run.planned_silence {
            _ if run.silent_until > now => {}
            Some(planned) if planned.events_left == 0 => {
                run.silent_until = now + planned.length;
                run.planned_silence = None;
            }
            Some(planned) => planned.events_left -= 1,
            None => {}
        }
        let pause = run.silent_until.since(now);
        if pause > Millis(0) {
            self.schedule(pause, SimulationEvent::AttemptReported { id, report });
        }
        pause > Millis(0)
    }

    /// Records that a run's engine has sent something.
    pub(super) fn record_heard(&mut self, id: RunId) {
        let (now, entry) = (self.moment(), self.calls[id.call].entry);
        let Some(run) = self.open_run(id) else { return };
        run.heard_at = now;
        let (number, engine) = (run.number, run.engine);
        let was_silent = std::mem::replace(&mut run.is_silent, false);
        self.engines[engine].heard_at[entry] = now;
        if was_silent {
            self.reduce(entry, DirectEvent::AttemptHeard(number));
        }
    }

    /// Reports a run that has been silent for the timeout, and looks again later.
    pub(super) fn check_silence(&mut self, id: RunId) {
        let (now, call) = (self.moment(), &self.calls[id.call]);
        let (entry, delivered) = (call.entry, call.last_event.is_some());
        let Some(run) = self.open_run(id) else { return };
        let silent_for = now.since(run.heard_at);
        if silent_for < run.silence_timeout {
            let pause = Millis(run.silence_timeout.0 - silent_for.0);
            return self.schedule(pause, SimulationEvent::SilenceDue { id });
        }
        let (number, engine, heard_at) = (run.number, run.engine, run.heard_at);
        let was_silent = std::mem::replace(&mut run.is_silent, true);
        let engine = &self.engines[engine];
        let is_upstream_heard = engine.heard_at[entry] > heard_at;
        let is_reachable = engine.is_up;
        let report = SilenceReport { silent_for, delivered, is_reachable, is_upstream_heard };
        self.report.silences += u32::from(!was_silent);
        self.schedule(REPORT_INTERVAL, SimulationEvent::SilenceDue { id });
        self.reduce(entry, DirectEvent::AttemptSilent(number, report));
    }

    /// Drops the other run of a call, as this one is the first to go on.
    pub(super) fn settle_race(&mut self, id: RunId) {
        let call = &mut self.calls[id.call];
        if call.open.len() < 2 {
            return;
        }
        let is_winner = |run: &OpenRun| run.attempt == id.attempt;
        let losers: Vec<_> = call.open.extract_if(.., |run| !is_winner(run)).collect();
        let (winner, entry) = (&call.open[0], call.entry);
        let number = winner.number;
        self.report.backups_won += u32::from(winner.is_backup);
        self.report.backups_overtaken += u32::from(!winner.is_backup);
        for loser in losers {
            let id = RunId { call: id.call, attempt: loser.attempt };
            self.engines[loser.engine].model.cancel_run(id);
        }
        self.reduce(entry, DirectEvent::AttemptWon(number));
    }
}
