//! Divides the request rate that an upstream accepts among the entries.
//!
//! Each entry ranks all entries by a hash of their and the upstream's ids. The first ones send, each
//! at an equal part of the rate. Their number grows with the rate: with one sender more, one request
//! more can arrive at once. Entries that disagree for a moment on which entries exist differ in few
//! ranks, and so in few senders.

use mustardrill_types::{InstanceId, Millis, Moment, RequestRate};

use crate::direct::intake::schedule::SendSchedule;
use crate::rendezvous;

/// The lowest rate that is divided. An upstream that accepts less, or nothing, still gets a request
/// now and then: only an answer tells that its limit has ended.
const LOWEST_RATE: RequestRate = RequestRate(100);

/// The number of senders at the lowest rates.
const BASE_SENDERS: usize = 2;

/// The rate for which one more entry sends, in requests per second.
const RATE_PER_SENDER: f64 = 2.0;

/// How far an entry may fall behind its schedule and still catch up.
const CATCH_UP_MS: f64 = 500.0;

/// How long no answer may have stated the limit until an entry that is not a sender asks the
/// upstream with a request of its own. The senders may have no requests, or be gone.
const UNSTATED_LIMIT: Millis = Millis(10_000);

/// How a rate is divided and used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SendPacing {
    /// The largest number of entries that send.
    pub(crate) senders: usize,
    /// How far a sender may fall behind its schedule and still catch up.
    pub(crate) catch_up_ms: f64,
}

impl SendPacing {
    /// The pacing for a rate that an upstream has stated.
    pub(crate) fn stated(rate: RequestRate) -> Self {
        let rate = rate.max(LOWEST_RATE);
        let senders = BASE_SENDERS + (rate.per_second() / RATE_PER_SENDER) as usize;
        Self { senders, catch_up_ms: CATCH_UP_MS }
    }

    /// The pacing that satisfies both.
    pub(crate) fn stricter(self, other: Self) -> Self {
        Self {
            senders: self.senders.min(other.senders),
            catch_up_ms: self.catch_up_ms.min(other.catch_up_ms),
        }
    }
}

/// The part of an upstream's rate that one entry may use.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct IntakeShare {
    rate: RequestRate,
    /// This entry's rank among `members`, from 0.
    pub(crate) rank: usize,
    /// Entries that send to the upstream.
    pub(crate) senders: usize,
    /// All entries, including this one.
    pub(crate) members: usize,
    catch_up_ms: f64,
}

impl IntakeShare {
    /// Divides `rate` among the entries `peers` and `own_id`, as far as `own_id` is concerned.
    pub(crate) fn of(
        rate: RequestRate,
        pacing: SendPacing,
        upstream: &InstanceId,
        own_id: &InstanceId,
        peers: &[InstanceId],
    ) -> Self {
        let rate = rate.max(LOWEST_RATE);
        let subject = upstream.as_str().as_bytes();
        let rank = rendezvous::rank(subject, own_id.as_str(), peers.iter().map(InstanceId::as_str));
        let members = peers.len() + 1;
        let senders = pacing.senders.min(members);
        Self { rate, rank, senders, members, catch_up_ms: pacing.catch_up_ms }
    }

    /// The part that is safe for an entry that may not know all others, nor they it: as if there were
    /// as many senders as the pacing allows.
    pub(crate) fn least(self, pacing: SendPacing) -> Self {
        Self { senders: pacing.senders, ..self }
    }

    /// Whether this entry is one of those that send.
    pub(crate) fn is_sender(&self) -> bool {
        self.rank < self.senders
    }

    /// The part of the rate that this entry may use, in requests per second.
    pub(crate) fn per_second(&self) -> f64 {
        if self.is_sender() { self.rate.per_second() / self.senders as f64 } else { 0.0 }
    }

    /// The time per request of this entry while it is a sender.
    pub(crate) fn interval_ms(&self) -> f64 {
        1_000.0 * self.senders as f64 / self.rate.per_second()
    }

    /// How long after the start of the schedule this entry sends its first request, where the senders
    /// take turns.
    pub(crate) fn first_delay_ms(&self) -> f64 {
        1_000.0 * (self.rank + 1) as f64 / self.rate.per_second()
    }

    /// Records in the schedule that this entry sends a request.
    pub(crate) fn record_sent(&self, now: Moment, schedule: &mut SendSchedule) {
        schedule.record_sent(now, self.interval_ms(), self.catch_up_ms);
    }

    /// From when on this entry may send, if the limit was last stated at `stated_at`.
    pub(crate) fn opens_at(&self, schedule: &SendSchedule, stated_at: Moment) -> Moment {
        let interval_ms = self.interval_ms();
        let opens_at = schedule.opens_at(interval_ms, self.catch_up_ms);
        if self.is_sender() {
            return opens_at;
        }
        // The others ask one after the other, at the upstream's rate.
        let others_before = (self.rank - self.senders) as f64;
        let turn_ms = others_before * 1_000.0 / self.rate.per_second();
        let unstated = UNSTATED_LIMIT.max(Millis(interval_ms as u64) * 2);
        opens_at.max(stated_at) + unstated + Millis(turn_ms as u64)
    }
}
