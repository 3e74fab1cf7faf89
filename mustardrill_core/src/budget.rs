//! Budgets that bound retries, and calls to the platform's service, by a share of the traffic.

use mustardrill_types::{Millis, Moment};

/// Retries as a share of first attempts, with a small reserve for quiet times.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    settings: RetrySettings,
}

/// How many retries there may be.
#[derive(Debug, Clone)]
pub struct RetrySettings {
    /// Retries as a percentage of first attempts.
    pub percent: u32,
    /// Retries that may be saved up.
    pub reserve: u32,
    /// Attempts for one request, the first included.
    pub attempts: u32,
}

/// Tokens that flow in at a steady rate up to a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    filled: Moment,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { percent: 20, reserve: 20, attempts: 4 }
    }
}

impl RetryBudget {
    /// A budget with a full reserve.
    pub fn new(settings: RetrySettings) -> Self {
        Self { tokens: f64::from(settings.reserve), settings }
    }

    /// Notes a first attempt, which earns a share of a retry.
    pub fn earn(&mut self) {
        let earned = f64::from(self.settings.percent) / 100.0;
        self.tokens = (self.tokens + earned).min(f64::from(self.settings.reserve));
    }

    /// Takes one retry for a request that had `attempts` already; says whether it may.
    pub fn spend(&mut self, attempts: u32) -> bool {
        if attempts >= self.settings.attempts || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl TokenBucket {
    /// A full bucket.
    pub fn full(now: Moment, burst: f64) -> Self {
        Self { tokens: burst, filled: now }
    }

    /// Takes one token where there is one; otherwise says when the next comes.
    pub fn take(&mut self, now: Moment, rate: f64, burst: f64) -> Result<(), Millis> {
        let flowed = now.since(self.filled).0 as f64 * rate / 1_000.0;
        self.tokens = (self.tokens + flowed).min(burst);
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) * 1_000.0 / rate.max(0.001);
        Err(Millis(wait.ceil() as u64))
    }
}
