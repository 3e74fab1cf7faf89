//! The retry budget that all entries share, without a message per retry.
//!
//! When an upstream crashes or fails part of its requests, every entry retries at once. The bound
//! holds over all entries in any window, also where processes are killed and have forgotten what
//! they spent. An entry spends two kinds of retries:
//!
//! - Earned ones. A request carries a credit for a part of a retry, which is spent once, within
//!   `CREDIT_LIFETIME_SHARE` of a window. As each request is seen by one process only, the retries
//!   of a window are paid by the requests of that window and of the lifetime before it, whatever
//!   processes start or end meanwhile.
//! - Its part of the allowance, which it divides with the entries that it counts. A process spends
//!   it only as a member (`AllowanceMembership`), that is more than a window after its start, so
//!   that what an earlier process spent on the same part has left the window.

use std::collections::VecDeque;

use derive_more::Display;
use mustardrill_types::{Millis, Moment, ServiceName};

/// How long a request's credit may be spent, as a part of the window. A longer lifetime pays for
/// more retries at once, a shorter one for more in total.
const CREDIT_LIFETIME_SHARE: f64 = 0.2;

/// The part of the allowance that all entries spend together. The rest covers entries that count
/// each other late, and retries that reach their upstreams late.
const ALLOWANCE_SHARE: f64 = 0.9;

/// The promised bound on the retries of a service, over all entries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBound {
    /// Retries per request in a window.
    pub ratio: f64,
    /// Retries per window in addition to those.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Millis,
}

/// What entries spend on retries.
#[derive(Debug, Clone)]
pub struct RetryShare {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries per window in addition to the earned ones, over all entries together.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Millis,
}

/// An entry's part of the allowance of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowancePart {
    /// The entries that share the allowance, this one included.
    pub entries: usize,
    /// This entry's rank among them for the service, from 0.
    pub rank: usize,
    /// Whether this entry may spend its part yet.
    pub is_member: bool,
}

/// A retry that is paid for and not known to have reached an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryGrant {
    /// The service whose budget paid for it.
    pub service: ServiceName,
    /// What paid for it.
    pub payment: RetryPayment,
}

/// What pays for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RetryPayment {
    /// The credit of a request that arrived at this moment.
    #[display("earned")]
    Credit(Moment),
    /// The entry's part of the allowance.
    #[display("allowance")]
    Allowance,
}

/// A decision on one retry, with the figures that it was made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryDecision {
    /// What pays for the retry; `None` if it is not allowed.
    pub payment: Option<RetryPayment>,
    /// Credits that could have been spent.
    pub credits: usize,
    /// Retries of the allowance that were spent within the window or are granted.
    pub spent: usize,
    /// How many of the allowance this entry may spend in a window.
    pub allowance: usize,
}

/// The credits and the spent allowance of one service at one entry.
#[derive(Debug)]
pub struct RetryWindow {
    /// The part of the next credit that requests have earned, from 0 to 1.
    fraction: f64,
    /// When the requests arrived whose credits are unspent, in order.
    credits: VecDeque<Moment>,
    /// When retries paid by the allowance were sent, in order.
    spent: VecDeque<Moment>,
    /// Retries granted from the allowance that have not ended.
    granted: usize,
}

impl RetryShare {
    /// What the entries may spend so that all of them together stay within the bound.
    pub fn within(bound: &RetryBound) -> Self {
        Self {
            ratio: bound.ratio / (1.0 + CREDIT_LIFETIME_SHARE),
            allowance: bound.allowance * ALLOWANCE_SHARE,
            window: bound.window,
        }
    }

    fn credit_lifetime(&self) -> Millis {
        Millis((self.window.0 as f64 * CREDIT_LIFETIME_SHARE) as u64)
    }
}

impl AllowancePart {
    /// How many retries of `allowance` this entry may spend in a window.
    ///
    /// The parts of all entries are whole numbers and sum to the allowance. An entry that counts
    /// more entries than there are, has a smaller part.
    pub fn retries(&self, allowance: f64) -> usize {
        if !self.is_member {
            return 0;
        }
        (allowance as usize).saturating_sub(self.rank).div_ceil(self.entries.max(1))
    }
}

impl RetryWindow {
    /// Starts without credits. `fraction`, from 0 to 1, is the part of the first credit that counts
    /// as earned; where it is random, entries with few requests earn their share on average.
    pub fn new(fraction: f64) -> Self {
        Self { fraction, credits: VecDeque::new(), spent: VecDeque::new(), granted: 0 }
    }

    /// Records a request, which earns a part of a retry.
    pub fn record_request(&mut self, now: Moment, share: &RetryShare) {
        self.drop_expired(now, share);
        self.fraction += share.ratio;
        while self.fraction >= 1.0 {
            self.fraction -= 1.0;
            self.credits.push_back(now);
        }
    }

    /// Grants one retry if the budget permits. A grant must be settled or withdrawn.
    pub fn grant(&mut self, now: Moment, share: &RetryShare, part: AllowancePart) -> RetryDecision {
        self.drop_expired(now, share);
        let credits = self.credits.len();
        let spent = self.spent.len() + self.granted;
        let allowance = part.retries(share.allowance);
        let payment = match self.credits.pop_front() {
            Some(earned_at) => Some(RetryPayment::Credit(earned_at)),
            None if spent < allowance => {
                self.granted += 1;
                Some(RetryPayment::Allowance)
            }
            None => None,
        };
        RetryDecision { payment, credits, spent, allowance }
    }

    /// Whether a grant still pays for a retry that is sent at `now`.
    pub fn is_valid(now: Moment, share: &RetryShare, payment: RetryPayment) -> bool {
        match payment {
            RetryPayment::Credit(earned_at) => now.since(earned_at) < share.credit_lifetime(),
            RetryPayment::Allowance => true,
        }
    }

    /// Records that a granted retry was sent at `sent_at` and has ended.
    pub fn settle(&mut self, sent_at: Moment, payment: RetryPayment) {
        if payment == RetryPayment::Allowance {
            self.granted = self.granted.saturating_sub(1);
            insert_in_order(&mut self.spent, sent_at);
        }
    }

    /// Takes back a grant whose retry reached no upstream.
    pub fn withdraw(&mut self, payment: RetryPayment) {
        match payment {
            RetryPayment::Credit(earned_at) => insert_in_order(&mut self.credits, earned_at),
            RetryPayment::Allowance => self.granted = self.granted.saturating_sub(1),
        }
    }

    fn drop_expired(&mut self, now: Moment, share: &RetryShare) {
        drop_older(&mut self.credits, now, share.credit_lifetime());
        drop_older(&mut self.spent, now, share.window);
    }
}

fn insert_in_order(moments: &mut VecDeque<Moment>, moment: Moment) {
    let index = moments.partition_point(|other| *other <= moment);
    moments.insert(index, moment);
}

fn drop_older(moments: &mut VecDeque<Moment>, now: Moment, age: Millis) {
    while moments.front().is_some_and(|moment| now.since(*moment) >= age) {
        moments.pop_front();
    }
}
