//! Forecasts how long an engine takes until a request's first token, and for a whole request.
//!
//! Requests differ in size, and engines prefill prompts between the decoding steps of other
//! requests. A mere count of requests hides that a long prompt delays all requests beside it.

use mustardrill_types::Millis;

use crate::direct::route::EngineProfile;

/// The size of a request for a model engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkSize {
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Answer length in tokens, as far as the caller can tell.
    pub answer_tokens: u32,
}

/// A request is large from this many times the work of a usual one.
const LARGE_WORK_RATIO: f64 = 1.5;

/// Computes durations from an engine's performance profile.
#[derive(Debug, Clone, Copy)]
pub struct EngineForecast<'a> {
    profile: &'a EngineProfile,
}

impl<'a> EngineForecast<'a> {
    /// A forecast for engines of this profile.
    pub fn new(profile: &'a EngineProfile) -> Self {
        Self { profile }
    }

    /// The mean size of the profile's requests.
    pub fn usual_size(&self) -> WorkSize {
        WorkSize {
            prompt_tokens: self.profile.mean_prompt,
            answer_tokens: self.profile.mean_answer,
        }
    }

    /// Duration in milliseconds of one pass in which `running` requests decode.
    pub fn pass_ms(&self, running: u32) -> f64 {
        let step = self.profile.step_ms + self.profile.step_ms_per_request * f64::from(running);
        step * f64::from(self.profile.steps_per_pass.max(1))
    }

    /// Time in milliseconds to prefill a prompt of this many tokens.
    pub fn prefill_ms(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        tokens / self.profile.prefill_tokens_per_ms.max(0.001)
            + tokens * tokens / 1e6 * self.profile.prefill_ms_per_million_pairs
    }

    /// How long a request occupies a slot, in milliseconds, beside `running` others of usual size.
    pub fn service_ms(&self, running: u32, size: WorkSize) -> f64 {
        let passes = f64::from(size.answer_tokens) / f64::from(self.profile.steps_per_pass.max(1));
        let usual_passes =
            f64::from(self.profile.mean_answer) / f64::from(self.profile.steps_per_pass.max(1));
        let prefill_beside = self.prefill_ms(self.profile.mean_prompt) * f64::from(running);
        let pass = self.pass_ms(running) + prefill_beside / usual_passes.max(1.0);
        self.prefill_ms(size.prompt_tokens) + passes * pass
    }

    /// A request's share of a full engine's time, in milliseconds: the prefill of its prompt and
    /// its share of the passes.
    pub fn work_ms(&self, size: WorkSize) -> f64 {
        let token_ms = self.profile.step_ms / f64::from(self.profile.slots.max(1));
        self.prefill_ms(size.prompt_tokens) + f64::from(size.answer_tokens) * token_ms
    }

    /// Whether a request takes more than `LARGE_WORK_RATIO` times the work of a usual one.
    pub fn is_large(&self, size: WorkSize) -> bool {
        self.work_ms(size) > LARGE_WORK_RATIO * self.work_ms(self.usual_size())
    }

    /// Expected time until a slot becomes free at an engine with `present` requests running or
    /// queued.
    pub fn slot_wait(&self, present: u32) -> Millis {
        let slots = self.profile.slots.max(1);
        if present < slots {
            return Millis(0);
        }
        let slot_interval_ms = self.service_ms(slots, self.usual_size()) / f64::from(slots);
        Millis((slot_interval_ms * (f64::from(present - slots) + 1.0)) as u64)
    }

    /// Expected time to first token at an engine with `present` requests running or queued.
    pub fn time_to_first_token(&self, present: u32, size: WorkSize) -> Millis {
        let beside = present.min(self.profile.slots);
        let own_ms = self.prefill_ms(size.prompt_tokens) + self.pass_ms(beside);
        self.slot_wait(present) + Millis(own_ms as u64)
    }
}
