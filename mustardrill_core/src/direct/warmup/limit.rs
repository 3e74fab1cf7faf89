//! The request rate that the cold upstreams of a service take, and how it is sent.

use mustardrill_types::{Millis, RequestRate};

use crate::direct::intake::share::SendPacing;

/// How far an entry may fall behind its schedule at a cold upstream and still catch up: a timer that
/// fires late, or a request that comes late.
const CATCH_UP_MS: f64 = 100.0;

/// The largest difference that is expected between the times that requests of one entry take to
/// arrive.
const DELAY_SPREAD_MS: f64 = 100.0;

/// The part of the rate that is used. The rest is for entries that send before all others count
/// them.
const USED_SHARE: f64 = 0.9;

/// The span in which arrivals at a cold upstream are counted.
const COUNTED_SPAN_MS: f64 = 1_000.0;

/// How the upstreams of a service start, from the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmupLimit {
    /// How long an upstream is cold after its start.
    pub duration: Millis,
    /// The requests that a cold upstream takes from all entries together.
    pub rate: RequestRate,
}

/// How far a cold upstream's arrivals in one second may exceed its rate, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupBound {
    /// A factor on the rate.
    pub overshoot: f64,
    /// Requests beyond that.
    pub tolerance: f64,
}

impl Default for WarmupBound {
    fn default() -> Self {
        Self { overshoot: 1.0, tolerance: 1.0 }
    }
}

/// The rate that the entries use together, and its pacing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WarmupRate {
    pub(crate) rate: RequestRate,
    pub(crate) pacing: SendPacing,
}

impl WarmupRate {
    /// The greatest number of senders with which `limit` is within `bound`. Each may have one request
    /// more in a second than the length of its interval allows. Where a single sender exceeds the
    /// bound, the rate is lowered.
    pub(crate) fn within(limit: &WarmupLimit, bound: &WarmupBound) -> Self {
        let seconds = (COUNTED_SPAN_MS + CATCH_UP_MS + DELAY_SPREAD_MS) / 1_000.0;
        let most = limit.rate.per_second() * bound.overshoot + bound.tolerance;
        let target = USED_SHARE * limit.rate.per_second();
        let senders = (most - target * seconds - 1.0).floor().max(1.0);
        let usable = ((most - senders) / seconds).max(0.0) * 1_000.0;
        Self {
            rate: RequestRate((target * 1_000.0) as u64).min(RequestRate(usable as u64)),
            pacing: SendPacing { senders: senders as usize, catch_up_ms: CATCH_UP_MS },
        }
    }
}
