//! Budgets for retries, as a share of the traffic, and for rates of calls, by token buckets.

use mustardrill_types::{Millis, Moment};

use crate::roster::EntryRoster;

/// The time in which the entries together may spend the reserve once, beside what requests earn.
const RESERVE_WINDOW: Millis = Millis(10_000);

/// Limits retries to a percentage of first attempts, plus a small reserve for times of low traffic.
///
/// An entry starts with neither, and its part of the reserve fills with the time that it is there.
/// So the entries together get no more of the reserve than once per `RESERVE_WINDOW`, however often
/// they start.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    filled_at: Option<Moment>,
    settings: RetrySettings,
}

/// Limits on retries.
#[derive(Debug, Clone)]
pub struct RetrySettings {
    /// Retries as a percentage of first attempts.
    pub percent: u32,
    /// Retries that an entry may earn and save up, and that all entries together may spend in ten
    /// seconds beside the earned ones.
    pub reserve: u32,
    /// Maximum attempts for one request, the first included.
    pub attempts: u32,
}

/// A token bucket; rate and burst are passed with each call, as both may change.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Moment,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { percent: 20, reserve: 20, attempts: 4 }
    }
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self { tokens: 0.0, filled_at: None, settings }
    }

    /// Counts a first attempt, which adds `percent` of a retry to the budget.
    pub fn earn(&mut self) {
        let earned = f64::from(self.settings.percent) / 100.0;
        self.tokens = (self.tokens + earned).min(f64::from(self.settings.reserve));
    }

    /// Fills this entry's part of the reserve for the time since the last call. The parts of the
    /// entries are whole, and an entry of `roster` has one.
    pub fn fill(&mut self, now: Moment, roster: &EntryRoster) {
        let since = self.filled_at.replace(now).unwrap_or(now);
        let part = f64::from(roster.part_of(self.settings.reserve));
        let filled = part * now.since(since).0 as f64 / RESERVE_WINDOW.0 as f64;
        self.tokens = (self.tokens + filled).min(part.max(self.tokens));
    }

    /// Whether a request that has made `attempts` attempts may make another one.
    pub fn allows(&self, attempts: u32) -> bool {
        attempts < self.settings.attempts
    }

    /// Takes one retry from the budget for a request that has made `attempts` attempts; returns
    /// whether the retry is allowed.
    pub fn spend(&mut self, attempts: u32) -> bool {
        // Rounding must not take the last retry of a part that is full.
        const WHOLE: f64 = 1.0 - 1e-6;
        if !self.allows(attempts) || self.tokens < WHOLE {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl TokenBucket {
    /// Creates a bucket that holds `burst` tokens.
    pub fn full(now: Moment, burst: f64) -> Self {
        Self { tokens: burst, refilled_at: now }
    }

    /// Takes one token, or returns the time until one is available. `rate` is in tokens per second,
    /// `burst` is the most tokens that the bucket holds.
    pub fn take(&mut self, now: Moment, rate: f64, burst: f64) -> Result<(), Millis> {
        let refill = now.since(self.refilled_at).0 as f64 * rate / 1_000.0;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (1.0 - self.tokens) * 1_000.0 / rate.max(0.001);
        Err(Millis(wait_ms.ceil() as u64))
    }
}
