//! Distributed rate limiting: customers' limits, divided among the entries without a write per
//! request.
//!
//! Each entry admits a share of a customer's limit. Shares follow demand: in each round an entry
//! that received more requests gets a larger share and the others get a smaller one. Whatever the
//! demand is, the shares of one round never sum to more than the limit.

use mustardrill_types::{CustomerName, FastMap, Millis, ModelName, Moment};

use crate::budget::TokenBucket;
use crate::document::CustomerLimits;
use crate::roster::EntryRoster;

/// A token bucket holds the tokens of this time, so that short bursts pass.
const BURST_SECONDS: f64 = 0.5;

/// The minimum share of a limit that an entry keeps, as a fraction of an equal share.
const MIN_SHARE_FRACTION: f64 = 0.1;

/// The customer that a limit belongs to, and the entry of the catalogue that it applies to.
pub type LimitKey = (CustomerName, ModelName);

/// Usage of customers' limits at one entry.
#[derive(Debug, Default)]
pub struct LimitTable {
    usages: FastMap<LimitKey, LimitUsage>,
}

/// Error of a request that is over its customer's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverLimit {
    /// Time after which the customer may retry.
    pub retry_after: Millis,
}

#[derive(Debug)]
struct LimitUsage {
    bucket: TokenBucket,
    /// This entry's share of the limit, from 0 to 1.
    share: f64,
    in_flight: u32,
    /// Requests since the last round, rejected ones included.
    requests: u32,
}

impl LimitTable {
    /// Admits one request, or rejects it with the time to retry after.
    ///
    /// The entries of `roster` share the limit; a customer that is new here starts with an equal
    /// share.
    pub fn admit(
        &mut self,
        now: Moment,
        deadline: Moment,
        key: &LimitKey,
        limits: CustomerLimits,
        roster: &EntryRoster,
    ) -> Result<(), OverLimit> {
        let equal_share = 1.0 / roster.entries() as f64;
        let rate = |share: f64| f64::from(limits.requests_per_second) * share;
        let usage = self.usages.entry(key.clone()).or_insert_with(|| LimitUsage {
            bucket: TokenBucket::full(now, burst_of(rate(equal_share))),
            share: equal_share,
            in_flight: 0,
            requests: 0,
        });
        usage.requests += 1;
        let place = usage.find_place(now, deadline, key, limits.in_flight, roster);
        place.map_err(|retry_after| OverLimit { retry_after })?;
        let rate = rate(usage.share);
        let taken = usage.bucket.take(now, rate, burst_of(rate));
        taken.map_err(|retry_after| OverLimit { retry_after })?;
        usage.in_flight += 1;
        Ok(())
    }

    /// Counts an admitted request as ended.
    pub fn release(&mut self, key: &LimitKey) {
        if let Some(usage) = self.usages.get_mut(key) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Number of a customer's requests in progress at this entry.
    pub fn in_flight(&self, key: &LimitKey) -> u32 {
        self.usages.get(key).map_or(0, |usage| usage.in_flight)
    }

    /// For each entry of the catalogue, the highest number of requests that any one customer has in
    /// progress.
    pub fn peak_in_flight(&self) -> FastMap<ModelName, u32> {
        let mut highest = FastMap::default();
        for ((_, model), usage) in &self.usages {
            let count: &mut u32 = highest.entry(model.clone()).or_default();
            *count = (*count).max(usage.in_flight);
        }
        highest
    }

    /// Returns and resets the number of requests of each customer since the last call, from which
    /// the next round of shares is computed.
    pub fn take_demand(&mut self) -> FastMap<LimitKey, u32> {
        let demand = |usage: &mut LimitUsage| std::mem::take(&mut usage.requests);
        self.usages.iter_mut().map(|(key, usage)| (key.clone(), demand(usage))).collect()
    }

    /// Sets the share of this entry for the next round from the demand of the last one.
    pub fn set_share(&mut self, key: &LimitKey, demand: RoundDemand, entries: usize) {
        if let Some(usage) = self.usages.get_mut(key) {
            usage.share = share_of(demand, entries);
        }
    }
}

impl LimitUsage {
    /// Whether this entry may have one more request in flight; if not, the time to retry after.
    fn find_place(
        &self,
        now: Moment,
        deadline: Moment,
        key: &LimitKey,
        limit: u32,
        roster: &EntryRoster,
    ) -> Result<(), Millis> {
        const IN_FLIGHT_RETRY: Millis = Millis(200);
        let divisor = roster.divisor() as u32;
        let part = whole_part(limit, divisor, self.share * roster.entries() as f64);
        let units = limit % divisor;
        if self.in_flight < part {
            return Ok(());
        }
        if self.in_flight > part || units == 0 {
            return Err(IN_FLIGHT_RETRY);
        }
        let subject = format!("{} {}", key.0, key.1);
        roster.admit_on_unit(now, deadline, subject.as_bytes(), units)
    }
}

/// An entry's part of a limit on requests in flight, without the units that are left over, where
/// its share is `weight` times an equal one.
///
/// Each of the `divisor` entries gets one request, so that none waits for another's demand to fall,
/// and of the others whole ones by its weight. The parts sum to no more than the limit if the
/// weights sum to `divisor`.
fn whole_part(limit: u32, divisor: u32, weight: f64) -> u32 {
    // Equal shares are not exact in floating point.
    const ROUNDING: f64 = 1e-6;
    match limit / divisor {
        0 => 0,
        equal => 1 + (f64::from(equal - 1) * weight + ROUNDING) as u32,
    }
}

/// The requests of one customer in one round, which lasts a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoundDemand {
    /// Requests received by this entry.
    pub own: u32,
    /// Requests received by all entries together.
    pub all: u32,
    /// Requests that the limit allows in a round.
    pub limit: u32,
}

/// Computes the share of a limit, from 0 to 1, for one of `entries`.
///
/// While demand is below half of the limit all entries have equal shares, as low demand does not
/// predict where the next burst arrives. Above that every entry keeps a small share for the first
/// requests of the next round, and the rest is divided in proportion to demand. The shares of all
/// entries sum to one.
pub fn share_of(demand: RoundDemand, entries: usize) -> f64 {
    let equal_share = 1.0 / entries.max(1) as f64;
    if demand.all < demand.limit.div_ceil(2) || demand.all == 0 {
        return equal_share;
    }
    let minimum = equal_share * MIN_SHARE_FRACTION;
    minimum + (1.0 - MIN_SHARE_FRACTION) * f64::from(demand.own) / f64::from(demand.all)
}

fn burst_of(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}
