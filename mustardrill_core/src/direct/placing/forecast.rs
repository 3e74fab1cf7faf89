//! How long an engine takes: until a request's first token, and for a whole request.
//!
//! Load pattern: requests of unlike size on engines that read prompts between the tokens of
//! others. A count of requests hides that a long prompt delays everybody beside it.

use mustardrill_types::Millis;

use crate::direct::route::EngineProfile;

/// How large a request is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer, as far as the caller can tell.
    pub answer: u32,
}

/// A request is large that takes this many times the work of a usual one.
const LARGE_WORK: f64 = 1.5;

/// What an engine of a profile takes for its work.
#[derive(Debug, Clone, Copy)]
pub struct EngineForecast<'a> {
    profile: &'a EngineProfile,
}

impl<'a> EngineForecast<'a> {
    /// The forecast for engines of this profile.
    pub fn new(profile: &'a EngineProfile) -> Self {
        Self { profile }
    }

    /// A request of the service's usual size.
    pub fn usual(&self) -> WorkSize {
        WorkSize { prompt: self.profile.usual_prompt, answer: self.profile.usual_answer }
    }

    /// One pass in which `running` requests write, in milliseconds.
    pub fn pass_ms(&self, running: u32) -> f64 {
        let step = self.profile.step_ms + self.profile.request_ms * f64::from(running);
        step * f64::from(self.profile.stride.max(1))
    }

    /// Reading a prompt, in milliseconds.
    pub fn read_ms(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        tokens / self.profile.read_per_ms.max(0.001) + tokens * tokens / 1e6 * self.profile.pairs_ms
    }

    /// How long a request occupies a slot beside `running` others, each of usual size.
    pub fn whole_ms(&self, running: u32, size: WorkSize) -> f64 {
        let passes = f64::from(size.answer) / f64::from(self.profile.stride.max(1));
        let usual = f64::from(self.profile.usual_answer) / f64::from(self.profile.stride.max(1));
        let read_beside = self.read_ms(self.profile.usual_prompt) * f64::from(running);
        let pass = self.pass_ms(running) + read_beside / usual.max(1.0);
        self.read_ms(size.prompt) + passes * pass
    }

    /// What a request takes of a full engine's time, in milliseconds: reading its prompt, and its share
    /// of the passes.
    pub fn work_ms(&self, size: WorkSize) -> f64 {
        let token = self.profile.step_ms / f64::from(self.profile.slots.max(1));
        self.read_ms(size.prompt) + f64::from(size.answer) * token
    }

    /// Whether a request takes much more of an engine than a usual one.
    pub fn is_large(&self, size: WorkSize) -> bool {
        self.work_ms(size) > LARGE_WORK * self.work_ms(self.usual())
    }

    /// How long until a slot is free at an engine where `present` requests run or wait.
    pub fn slot_wait(&self, present: u32) -> Millis {
        let slots = self.profile.slots.max(1);
        if present < slots {
            return Millis(0);
        }
        let turnover = self.whole_ms(slots, self.usual()) / f64::from(slots);
        Millis((turnover * f64::from(present - slots + 1)) as u64)
    }

    /// How long until the first token of a request at an engine where `present` run or wait.
    pub fn first_token(&self, present: u32, size: WorkSize) -> Millis {
        let beside = present.min(self.profile.slots);
        let own = self.read_ms(size.prompt) + self.pass_ms(beside);
        Millis(self.slot_wait(present).0 + own as u64)
    }
}
