//! The time for which an upstream wants no requests from this entry, and the return after it.
//!
//! A rest is cleared by nothing but time. After it this entry sends one request, and one more at a
//! time for each that is accepted: an upstream that was overloaded is so again if all that waited
//! for it comes at once.

use mustardrill_types::{Millis, Moment};

/// Requests that may be at the upstream at once when a rest has ended.
const FIRST_REQUESTS: u32 = 1;

/// The number of requests at once from which the return counts as complete.
const RETURNED_REQUESTS: u32 = 32;

/// The difference between the returns of entries that follow each other: the time until an entry
/// learns which requests others have sent.
const RETURN_STEP: Millis = Millis(50);

/// The number of such differences, so that a return is not delayed further at many entries.
const RETURN_STEPS: u64 = 20;

/// The rest that an upstream asked this entry for.
#[derive(Debug, Default)]
pub(crate) struct RestPeriod {
    /// The latest end of all rests that it asked for.
    ends_at: Moment,
    /// How long after that this entry returns.
    return_delay: Millis,
    /// How many requests sent since the end may be there at once; `None` for any.
    request_limit: Option<u32>,
    /// Requests sent since the end that are there.
    present: u32,
    /// Whether no request was sent there since it was asked for.
    is_unbroken: bool,
}

impl RestPeriod {
    /// Records that the upstream asked for a rest; returns whether one begins.
    pub(crate) fn record(&mut self, now: Moment, rest: Millis, return_delay: Millis) -> bool {
        let ends_at = Moment(now.0.saturating_add(rest.0));
        if rest == Millis(0) || ends_at <= self.ends_at {
            return false;
        }
        let begins = !self.is_resting(now);
        self.ends_at = ends_at;
        self.return_delay = return_delay;
        self.request_limit = Some(FIRST_REQUESTS);
        self.present = 0;
        self.is_unbroken = true;
        begins
    }

    /// From when on this entry may send requests there.
    pub(crate) fn opens_at(&self) -> Moment {
        Moment(self.ends_at.0.saturating_add(self.return_delay.0))
    }

    pub(crate) fn is_resting(&self, now: Moment) -> bool {
        now < self.opens_at()
    }

    /// Whether this entry sends fewer requests there than it may have, since a rest has ended.
    pub(crate) fn is_returning(&self, now: Moment) -> bool {
        self.request_limit.is_some() && !self.is_resting(now)
    }

    /// How many more requests this entry may send there.
    pub(crate) fn room(&self) -> u32 {
        self.request_limit.map_or(u32::MAX, |limit| limit.saturating_sub(self.present))
    }

    /// Records that the upstream accepted a request. One that was sent before the rest says nothing
    /// of what it accepts since.
    pub(crate) fn record_acceptance(&mut self, now: Moment) {
        if !self.is_unbroken && self.is_returning(now) {
            let grown = self.request_limit.map(|limit| limit + 1);
            self.request_limit = grown.filter(|limit| *limit < RETURNED_REQUESTS);
        }
    }

    /// Records that a request is sent there; returns whether it is the first one after a rest.
    pub(crate) fn record_sent(&mut self) -> bool {
        self.present += 1;
        std::mem::take(&mut self.is_unbroken)
    }

    /// Records that a request which was sent at `sent_at` is no longer there.
    pub(crate) fn record_finished(&mut self, sent_at: Moment) {
        if sent_at >= self.opens_at() {
            self.present = self.present.saturating_sub(1);
        }
    }
}

/// How long after the end of a rest the entry with this rank, from 0, returns to an upstream with
/// `slots` slots. All entries are asked for a rest at about the same time; as many as there are
/// slots return at once.
pub(crate) fn return_delay(rank: usize, slots: u32) -> Millis {
    let group = rank as u64 / u64::from(slots.max(1));
    Millis(group % RETURN_STEPS * RETURN_STEP.0)
}
