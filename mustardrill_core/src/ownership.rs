//! Exclusive ownership of an upstream, by a lease in the platform's service and a fencing number.
//!
//! The holder counts its lease on its own clock from the moment it sent the call, and stops giving
//! orders a margin before the end. A holder that was paused therefore finds its lease expired when
//! it resumes. If the upstream ignores fencing numbers, a new holder also waits until orders that
//! the old one may have in flight have arrived (leases as described by Gray and Cheriton).
//!
//! While the platform's service is down, no lease can be renewed. If the upstream checks fencing
//! numbers, the last holder continues: its orders are refused once the upstream has seen a higher
//! number. If the upstream does not check them, the holder stops, because nothing else would
//! prevent two holders from giving orders at the same time.

use mustardrill_types::{FencingNumber, Millis, Moment};

/// Retries per second that all agents of a fleet together may make while the service is down, so
/// that it is not overloaded when it becomes available again.
const FLEET_RETRIES_PER_SECOND: u64 = 100;

/// Number of times that the backoff after failed calls doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// Random fraction of the time between renewals, so that agents do not renew at the same time.
const RENEWAL_JITTER: f64 = 0.2;

/// The timing of ownership and the capabilities of the upstream.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// How long a lease lasts unless it is renewed. The holder renews after at most a third of
    /// this.
    pub lease: Millis,
    /// How long before the end of its lease the holder stops giving orders to an upstream that does
    /// not check fencing numbers.
    pub margin: Millis,
    /// The longest time that an order can be in flight to the upstream.
    pub longest_order: Millis,
    /// Whether the upstream refuses orders with a lower fencing number than it has seen.
    pub upstream_checks_fencing: bool,
    /// The backoff after a failed call, varied at random by up to half of it either way. It doubles
    /// twice, and is raised for large fleets to limit their total rate of retries.
    pub retry_after: Millis,
}

/// A call to the platform's service that the caller must make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerCall {
    /// Create a lease, and the owner key attached to it.
    Acquire,
    /// Renew this lease.
    Renew(LeaseId),
}

/// The id of a lease, assigned by the platform's service.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// The result of an [`OwnerCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerAnswer {
    /// This agent now holds the owner key under a new lease.
    Acquired {
        /// The lease to which the owner key is attached.
        lease: LeaseId,
        /// The revision of the owner key, which serves as the fencing number.
        fence: FencingNumber,
    },
    /// Another agent holds the owner key.
    HeldByOther,
    /// The lease was renewed.
    Renewed,
    /// The lease has expired.
    Lapsed,
    /// The service did not respond, or its response was lost; the call may have taken effect.
    Unavailable,
}

/// The ownership of one upstream as known to one agent.
#[derive(Debug)]
pub struct OwnerLease {
    settings: OwnerSettings,
    state: OwnerState,
    next_call_at: Moment,
    /// When the pending call was sent.
    pending: Option<Moment>,
    failures: u32,
    /// The number of instances that call the platform's service; at least 1.
    fleet_size: usize,
}

#[derive(Debug, Clone, Copy)]
enum OwnerState {
    NotHeld,
    Held { lease: LeaseId, fence: FencingNumber, until: Moment, orders_from: Moment },
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            lease: Millis(10_000),
            margin: Millis(2_000),
            longest_order: Millis(5_000),
            upstream_checks_fencing: true,
            retry_after: Millis(500),
        }
    }
}

impl OwnerLease {
    /// Creates the state of an agent that does not hold the ownership; the first call is due at
    /// `now`.
    pub fn new(now: Moment, settings: OwnerSettings) -> Self {
        Self {
            settings,
            state: OwnerState::NotHeld,
            next_call_at: now,
            pending: None,
            failures: 0,
            fleet_size: 1,
        }
    }

    /// Sets the number of instances that call the platform's service, which limits the rate of
    /// retries.
    pub fn set_fleet_size(&mut self, instances: usize) {
        self.fleet_size = instances.max(1);
    }

    /// Returns the call to make now, if one is due. No other call is due until its result is
    /// recorded.
    pub fn due(&mut self, now: Moment) -> Option<OwnerCall> {
        if self.pending.is_some() || now < self.next_call_at {
            return None;
        }
        self.pending = Some(now);
        match self.state {
            OwnerState::Held { lease, .. } => Some(OwnerCall::Renew(lease)),
            OwnerState::NotHeld => Some(OwnerCall::Acquire),
        }
    }

    /// Records the result of the pending call. `jitter` is a random number from 0 to 1 that spreads
    /// renewals and retries.
    pub fn record_result(&mut self, now: Moment, answer: OwnerAnswer, jitter: f64) {
        let Some(sent) = self.pending.take() else { return };
        let third_of_lease = self.settings.lease.0 as f64 / 3.0;
        let renewal_delay = Millis((third_of_lease * (1.0 - RENEWAL_JITTER * jitter)) as u64);
        let until = sent + self.settings.lease;
        let is_failure = answer == OwnerAnswer::Unavailable;
        self.failures = if is_failure { self.failures + 1 } else { 0 };
        self.next_call_at = now + self.retry_delay(jitter);
        match (answer, &mut self.state) {
            (OwnerAnswer::Acquired { lease, fence }, state) => {
                let orders_from = self.settings.orders_from(now);
                *state = OwnerState::Held { lease, fence, until, orders_from };
                self.next_call_at = sent + renewal_delay;
            }
            (OwnerAnswer::Renewed, OwnerState::Held { until: held_until, .. }) => {
                *held_until = until;
                self.next_call_at = sent + renewal_delay;
            }
            (OwnerAnswer::Lapsed, state) => {
                // No backoff is needed: the renewal that failed was already spread by its jitter.
                *state = OwnerState::NotHeld;
                self.next_call_at = now;
            }
            (OwnerAnswer::HeldByOther, state) => *state = OwnerState::NotHeld,
            (OwnerAnswer::Renewed, OwnerState::NotHeld) | (OwnerAnswer::Unavailable, _) => {}
        }
    }

    /// The time until the next call, unless the pending one acquires or renews the lease.
    fn retry_delay(&self, jitter: f64) -> Millis {
        let doubled = self.settings.retry_after.0
            << self.failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let shared = self.fleet_size as u64 * 1_000 / FLEET_RETRIES_PER_SECOND;
        let span = doubled.max(shared);
        Millis(span / 2 + (span as f64 * jitter) as u64)
    }

    /// The fencing number to send with an order, or `None` if this agent may not give orders now.
    pub fn fence_for_order(&self, now: Moment) -> Option<FencingNumber> {
        let OwnerState::Held { fence, until, orders_from, .. } = self.state else { return None };
        let is_safe = self.settings.upstream_checks_fencing
            || (now + self.settings.margin < until && now >= orders_from);
        is_safe.then_some(fence)
    }

    /// The lease to release at a planned stop; `None` if the ownership is not held.
    pub fn lease(&self) -> Option<LeaseId> {
        match self.state {
            OwnerState::Held { lease, .. } => Some(lease),
            OwnerState::NotHeld => None,
        }
    }
}

impl OwnerSettings {
    /// When a holder that acquired the owner key at `now` may give its first order.
    fn orders_from(&self, now: Moment) -> Moment {
        // The key was free, so the old lease has expired by the platform's clock. All that can
        // still arrive is an order that the old holder sent just before its margin began.
        if self.upstream_checks_fencing { now } else { now + self.longest_order }
    }
}
