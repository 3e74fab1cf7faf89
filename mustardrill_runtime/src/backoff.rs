//! Exponential backoff with jitter for calls to a failing service.

use mustardrill_types::Millis;
use rand::Rng;

/// Backoff between calls to one failing service. The delay doubles with each failure, and jitter
/// keeps the clients of a recovering service from calling it all at the same time.
#[derive(Debug)]
pub struct RetryBackoff {
    initial: Millis,
    max_delay: Millis,
    failures: u32,
}

impl RetryBackoff {
    /// Starts with a delay of up to `initial`; later delays are at most `max_delay`.
    pub fn new(initial: Millis, max_delay: Millis) -> Self {
        Self { initial, max_delay, failures: 0 }
    }

    /// Resets the backoff after a successful call.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call and returns the delay before the next one: a random value between
    /// half of the current backoff and all of it.
    pub fn failed(&mut self, random: &mut impl Rng) -> Millis {
        const MAX_DOUBLINGS: u32 = 16;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let backoff = (self.initial.0 << doublings).min(self.max_delay.0);
        Millis(backoff / 2 + random.random_range(0..=backoff / 2))
    }
}
