//! A modelled engine: works in passes, reads prompts between the tokens of others.

use std::collections::VecDeque;

use mustardrill_core::direct::{EngineForecast, EngineProfile};

/// Which attempt of which call a run is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunId {
    /// The call.
    pub call: usize,
    /// Its attempt, from one.
    pub attempt: u32,
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct EngineRun {
    /// The attempt.
    pub id: RunId,
    /// Prompt tokens yet to be read.
    pub prompt_left: u32,
    /// Answer tokens yet to be written.
    pub answer_left: u32,
    /// Whether the engine ends when it begins to write.
    pub ends_engine: bool,
}

/// What an engine does at the end of a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// It writes an event.
    Event(RunId),
    /// It writes the last one.
    Whole(RunId),
    /// It ends, and everything in it breaks off.
    Ended,
}

/// One engine.
#[derive(Debug)]
pub struct EngineModel {
    profile: EngineProfile,
    chunk: u32,
    waiting: VecDeque<EngineRun>,
    running: Vec<EngineRun>,
    /// How many times longer its work takes.
    pub pace: f64,
    /// Whether a pass is under way.
    pub is_busy: bool,
}

/// Requests that wait in an engine, as a part of its slots.
const QUEUE_PARTS: u32 = 4;

impl EngineModel {
    /// An idle engine that reads `chunk` prompt tokens in a step.
    pub fn new(profile: &EngineProfile, chunk: u32) -> Self {
        Self {
            profile: profile.clone(),
            chunk,
            waiting: VecDeque::new(),
            running: Vec::new(),
            pace: 1.0,
            is_busy: false,
        }
    }

    /// Takes a request; says whether it has room.
    pub fn take(&mut self, run: EngineRun) -> bool {
        let present = (self.waiting.len() + self.running.len()) as u32;
        let has_room = present < self.profile.slots + self.profile.slots / QUEUE_PARTS;
        if has_room {
            self.waiting.push_back(run);
        }
        has_room
    }

    /// Lets go of a request whose caller is gone.
    pub fn drop_run(&mut self, id: RunId) {
        self.waiting.retain(|run| run.id != id);
        self.running.retain(|run| run.id != id);
    }

    /// Everything in it, which it forgets.
    pub fn take_all(&mut self) -> Vec<RunId> {
        self.is_busy = false;
        let runs = self.waiting.drain(..).chain(self.running.drain(..));
        runs.map(|run| run.id).collect()
    }

    /// Begins a pass; how long it takes, in milliseconds. Nothing where there is no work.
    pub fn begin_pass(&mut self) -> Option<f64> {
        while self.running.len() < self.profile.slots as usize
            && let Some(run) = self.waiting.pop_front()
        {
            self.running.push(run);
        }
        self.is_busy = !self.running.is_empty();
        if !self.is_busy {
            return None;
        }
        let writers = self.running.iter().filter(|run| run.prompt_left == 0).count() as u32;
        let forecast = EngineForecast::new(&self.profile);
        let writing = if writers > 0 { forecast.pass_ms(writers) } else { 0.0 };
        let reading = forecast.prefill_ms(self.readable(writers));
        Some((writing + reading).max(self.profile.step_ms) * self.pace)
    }

    /// Ends a pass: what was written in it, in the order of the requests.
    pub fn end_pass(&mut self) -> Vec<EngineEvent> {
        let writers = self.running.iter().filter(|run| run.prompt_left == 0).count() as u32;
        let mut readable = self.readable(writers);
        let mut events = Vec::new();
        for run in &mut self.running {
            if run.prompt_left > 0 {
                let read = run.prompt_left.min(readable);
                run.prompt_left -= read;
                readable -= read;
                continue;
            }
            if run.ends_engine {
                return vec![EngineEvent::Ended];
            }
            run.answer_left = run.answer_left.saturating_sub(self.profile.steps_per_pass);
            events.push(if run.answer_left == 0 {
                EngineEvent::Whole(run.id)
            } else {
                EngineEvent::Event(run.id)
            });
        }
        self.running.retain(|run| run.answer_left > 0);
        events
    }

    /// Prompt tokens that one pass reads beside `writers` that write.
    fn readable(&self, writers: u32) -> u32 {
        let steps = if writers > 0 { self.profile.steps_per_pass } else { 1 };
        let unread = self.running.iter().map(|run| run.prompt_left).sum::<u32>();
        unread.min(self.chunk * steps)
    }
}
