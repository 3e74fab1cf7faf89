//! Ownership of an upstream: a lease in the platform's service and its fencing number.
//!
//! The holder counts its lease from the moment it sent the call, on its own clock, and stops a
//! margin before the end; so a holder that was paused finds its lease over when it wakes. Towards
//! upstreams that ignore fencing numbers a new holder also waits out what an old one may have
//! in flight (leases: Gray and Cheriton).
//!
//! While the platform's service is down nobody can renew a lease. Towards an upstream that checks,
//! the last holder goes on: its number is refused as soon as another one has been seen. Towards
//! one that does not, it stops, for nothing else would keep two holders apart.

use mustardrill_types::{FencingNumber, Millis, Moment};

/// How many agents of a fleet may call again each second while the service fails, so that it is
/// not trampled when it comes back.
const FLEET_RETRIES: u64 = 100;

/// How often the wait after a failed call is doubled.
const DOUBLINGS: u32 = 2;

/// The part of the time between renewals that is at random, so that agents don't renew in step.
const RENEWAL_JITTER: f64 = 0.2;

/// How ownership is kept.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// How long a lease lasts without being renewed.
    pub lease: Millis,
    /// How long before its end the holder stops giving orders.
    pub margin: Millis,
    /// The longest that an order can be under way.
    pub longest_order: Millis,
    /// Whether the upstream refuses orders with an old fencing number.
    pub upstream_checks: bool,
    /// How long to wait after a failed call, give or take a half. It doubles twice, and is never
    /// less than the fleet's size allows.
    pub retry_after: Millis,
}

/// A call to the platform's service that ownership asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerCall {
    /// Make a lease and the owner's key under it.
    Acquire,
    /// Renew the lease.
    Renew(LeaseId),
}

/// The platform's id of a lease.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// What came of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerAnswer {
    /// The key is ours under this lease; its revision is the fencing number.
    Acquired {
        /// The lease.
        lease: LeaseId,
        /// The revision of the owner's key.
        fence: FencingNumber,
    },
    /// Another holds the key.
    HeldByOther,
    /// The lease was renewed.
    Renewed,
    /// The lease is over.
    Lapsed,
    /// The service did not answer, or its answer was lost.
    Unavailable,
}

/// The ownership of one upstream as one agent sees it.
#[derive(Debug)]
pub struct OwnerLease {
    settings: OwnerSettings,
    state: OwnerState,
    next_call: Moment,
    pending: Option<Moment>,
    failures: u32,
    /// The instances that share the service.
    fleet: usize,
}

#[derive(Debug, Clone, Copy)]
enum OwnerState {
    Without,
    Held { lease: LeaseId, fence: FencingNumber, until: Moment, orders_from: Moment },
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            lease: Millis(10_000),
            margin: Millis(2_000),
            longest_order: Millis(5_000),
            upstream_checks: true,
            retry_after: Millis(500),
        }
    }
}

impl OwnerLease {
    /// Ownership that is not held yet.
    pub fn new(now: Moment, settings: OwnerSettings) -> Self {
        Self {
            settings,
            state: OwnerState::Without,
            next_call: now,
            pending: None,
            failures: 0,
            fleet: 1,
        }
    }

    /// Notes how many instances share the platform's service.
    pub fn set_fleet(&mut self, instances: usize) {
        self.fleet = instances.max(1);
    }

    /// The call to make now, if one is due.
    pub fn due(&mut self, now: Moment) -> Option<OwnerCall> {
        if self.pending.is_some() || now < self.next_call {
            return None;
        }
        self.pending = Some(now);
        match self.state {
            OwnerState::Held { lease, .. } => Some(OwnerCall::Renew(lease)),
            OwnerState::Without => Some(OwnerCall::Acquire),
        }
    }

    /// Takes the answer to the pending call. `jitter` spreads retries, from 0 to 1.
    pub fn answered(&mut self, now: Moment, answer: OwnerAnswer, jitter: f64) {
        let Some(sent) = self.pending.take() else { return };
        let third = self.settings.lease.0 as f64 / 3.0;
        let renew_in = Millis((third * (1.0 - RENEWAL_JITTER * jitter)) as u64);
        let until = sent + self.settings.lease;
        let has_failed = answer == OwnerAnswer::Unavailable;
        self.failures = if has_failed { self.failures + 1 } else { 0 };
        self.next_call = now + self.retry_in(jitter);
        match (answer, &mut self.state) {
            (OwnerAnswer::Acquired { lease, fence }, state) => {
                let orders_from = self.settings.orders_from(now);
                *state = OwnerState::Held { lease, fence, until, orders_from };
                self.next_call = sent + renew_in;
            }
            (OwnerAnswer::Renewed, OwnerState::Held { until: held_until, .. }) => {
                *held_until = until;
                self.next_call = sent + renew_in;
            }
            (OwnerAnswer::Lapsed, state) => {
                // The call that found it out was spread already.
                *state = OwnerState::Without;
                self.next_call = now;
            }
            (OwnerAnswer::HeldByOther, state) => *state = OwnerState::Without,
            (OwnerAnswer::Renewed, OwnerState::Without) | (OwnerAnswer::Unavailable, _) => {}
        }
    }

    /// How long to wait after a call that brought nothing.
    fn retry_in(&self, jitter: f64) -> Millis {
        let doubled = self.settings.retry_after.0 << self.failures.saturating_sub(1).min(DOUBLINGS);
        let shared = self.fleet as u64 * 1_000 / FLEET_RETRIES;
        let span = doubled.max(shared);
        Millis(span / 2 + (span as f64 * jitter) as u64)
    }

    /// The fencing number to order with, where an order may be given now.
    pub fn may_order(&self, now: Moment) -> Option<FencingNumber> {
        let OwnerState::Held { fence, until, orders_from, .. } = self.state else { return None };
        let is_safe = self.settings.upstream_checks
            || (now + self.settings.margin < until && now >= orders_from);
        is_safe.then_some(fence)
    }

    /// The lease to give back at a planned stop.
    pub fn lease(&self) -> Option<LeaseId> {
        match self.state {
            OwnerState::Held { lease, .. } => Some(lease),
            OwnerState::Without => None,
        }
    }
}

impl OwnerSettings {
    /// When a holder that acquired the key at `now` may give its first order.
    fn orders_from(&self, now: Moment) -> Moment {
        // The key was free, so the old lease is over by the platform's clock; what is left is an
        // order that the old holder sent just before its margin.
        if self.upstream_checks { now } else { now + self.longest_order }
    }
}
