//! Model of an engine with continuous batching: each pass decodes running requests and prefills others.

use std::collections::VecDeque;

use mustardrill_core::direct::{EngineForecast, EngineProfile};

/// Identifies a run by its call and attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunId {
    /// Index of the call.
    pub call: usize,
    /// Number of the attempt, counted from one.
    pub attempt: u32,
}

/// A request that an engine has queued or runs.
#[derive(Debug, Clone)]
pub struct EngineRun {
    /// The call and attempt that the run serves.
    pub id: RunId,
    /// Prompt tokens left to prefill.
    pub prompt_left: u32,
    /// Answer tokens left to decode.
    pub answer_left: u32,
    /// Whether the engine crashes when it would decode the first token.
    pub crashes_engine: bool,
}

/// What an engine reports at the end of a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// An event of an answer that continues.
    EventSent(RunId),
    /// The last event of an answer.
    Completed(RunId),
    /// The engine crashed; all its runs are lost.
    Crashed,
}

/// One modelled engine. The simulation starts and finishes its passes.
#[derive(Debug)]
pub struct EngineModel {
    profile: EngineProfile,
    prefill_chunk: u32,
    waiting: VecDeque<EngineRun>,
    running: Vec<EngineRun>,
    /// Factor on the duration of each pass; 1.0 is the profile's speed.
    pub slowdown: f64,
    /// Whether a pass has started and not finished.
    pub is_busy: bool,
}

/// An engine queues a quarter of its slots' number beyond the requests that it runs.
const SLOTS_PER_QUEUE_PLACE: u32 = 4;

impl EngineModel {
    /// Creates an idle engine that prefills at most `prefill_chunk` prompt tokens in a step.
    pub fn new(profile: &EngineProfile, prefill_chunk: u32) -> Self {
        Self {
            profile: profile.clone(),
            prefill_chunk,
            waiting: VecDeque::new(),
            running: Vec::new(),
            slowdown: 1.0,
            is_busy: false,
        }
    }

    /// Queues a request; returns false, and drops it, where slots and queue are full.
    pub fn try_enqueue(&mut self, run: EngineRun) -> bool {
        let run_count = (self.waiting.len() + self.running.len()) as u32;
        let has_room = run_count < self.profile.slots + self.profile.slots / SLOTS_PER_QUEUE_PLACE;
        if has_room {
            self.waiting.push_back(run);
        }
        has_room
    }

    /// Removes a run whose caller has left; does nothing where it has finished.
    pub fn cancel_run(&mut self, id: RunId) {
        self.waiting.retain(|run| run.id != id);
        self.running.retain(|run| run.id != id);
    }

    /// Removes and returns all runs, queued and running, as a crash loses them.
    pub fn drain_runs(&mut self) -> Vec<RunId> {
        self.is_busy = false;
        let runs = self.waiting.drain(..).chain(self.running.drain(..));
        runs.map(|run| run.id).collect()
    }

    /// Starts a pass and returns its duration in milliseconds; `None` where there is no work.
    pub fn start_pass(&mut self) -> Option<f64> {
        while self.running.len() < self.profile.slots as usize
            && let Some(run) = self.waiting.pop_front()
        {
            self.running.push(run);
        }
        self.is_busy = !self.running.is_empty();
        if !self.is_busy {
            return None;
        }
        let decoding = self.running.iter().filter(|run| run.prompt_left == 0).count() as u32;
        let forecast = EngineForecast::new(&self.profile);
        let decode_ms = if decoding > 0 { forecast.pass_ms(decoding) } else { 0.0 };
        let prefill_ms = forecast.prefill_ms(self.prefill_tokens(decoding));
        Some((decode_ms + prefill_ms).max(self.profile.step_ms) * self.slowdown)
    }

    /// Finishes the pass and returns its events, in the order in which the runs were admitted.
    pub fn finish_pass(&mut self) -> Vec<EngineEvent> {
        let decoding = self.running.iter().filter(|run| run.prompt_left == 0).count() as u32;
        let mut prefill_tokens = self.prefill_tokens(decoding);
        let mut events = Vec::new();
        for run in &mut self.running {
            if run.prompt_left > 0 {
                let prefilled = run.prompt_left.min(prefill_tokens);
                run.prompt_left -= prefilled;
                prefill_tokens -= prefilled;
                continue;
            }
            if run.crashes_engine {
                return vec![EngineEvent::Crashed];
            }
            run.answer_left = run.answer_left.saturating_sub(self.profile.steps_per_pass);
            events.push(if run.answer_left == 0 {
                EngineEvent::Completed(run.id)
            } else {
                EngineEvent::EventSent(run.id)
            });
        }
        self.running.retain(|run| run.answer_left > 0);
        events
    }

    /// Prompt tokens that one pass prefills while `decoding` runs decode.
    fn prefill_tokens(&self, decoding: u32) -> u32 {
        let steps = if decoding > 0 { self.profile.steps_per_pass } else { 1 };
        let pending = self.running.iter().map(|run| run.prompt_left).sum::<u32>();
        pending.min(self.prefill_chunk * steps)
    }
}
