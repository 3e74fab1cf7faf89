//! Ownership of an upstream: an old holder must not give orders after a new one.
//!
//! Two agents compete for one upstream while they are paused, their leases expire, and calls to the
//! platform's service fail or lose their response.

mod common;

use common::cases;
use mustardrill_core::ownership::{LeaseId, OwnerAnswer, OwnerCall, OwnerLease, OwnerSettings};
use mustardrill_types::{FencingNumber, Millis, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn settings(upstream_checks_fencing: bool) -> OwnerSettings {
    OwnerSettings {
        lease: Millis(1_000),
        margin: Millis(300),
        longest_order: Millis(200),
        upstream_checks_fencing,
        retry_after: Millis(50),
    }
}

/// The platform's service with the owner key.
#[derive(Default)]
struct FakeKey {
    revision: u64,
    /// Lease id, fencing number and end of the lease in milliseconds.
    holder: Option<(u64, u64, u64)>,
}

impl FakeKey {
    fn answer(&mut self, now: u64, call: OwnerCall) -> OwnerAnswer {
        self.holder = self.holder.filter(|(_, _, until)| *until > now);
        match (call, &mut self.holder) {
            (OwnerCall::Acquire, Some(_)) => OwnerAnswer::HeldByOther,
            (OwnerCall::Acquire, None) => {
                self.revision += 1;
                self.holder = Some((self.revision, self.revision, now + 1_000));
                let lease = LeaseId(self.revision);
                OwnerAnswer::Acquired { lease, fence: FencingNumber(self.revision) }
            }
            (OwnerCall::Renew(lease), Some((held, _, until))) if *held == lease.0 => {
                *until = now + 1_000;
                OwnerAnswer::Renewed
            }
            (OwnerCall::Renew(_), _) => OwnerAnswer::Lapsed,
        }
    }
}

/// An upstream that records the fencing numbers of the orders that took effect.
#[derive(Default)]
struct FakeUpstream {
    checks: bool,
    highest: u64,
    accepted: Vec<u64>,
}

impl FakeUpstream {
    fn order(&mut self, fence: FencingNumber) {
        if self.checks && fence.0 < self.highest {
            return;
        }
        self.highest = self.highest.max(fence.0);
        self.accepted.push(fence.0);
    }
}

#[derive(Debug, Clone, Copy)]
struct Step {
    /// The index of the agent that acts.
    agent: usize,
    /// How much time passes before the step, in milliseconds.
    elapsed_ms: u64,
    /// Whether the service handles the call.
    is_served: bool,
    /// Whether the service's response is lost.
    is_lost: bool,
    /// The delay until the order reaches the upstream in milliseconds, less than `longest_order`.
    delay_ms: u64,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let elapsed_ms = prop_oneof![8 => 1..120_u64, 1 => 500..2_500_u64];
    let step =
        (0..2_usize, elapsed_ms, prop::bool::weighted(0.85), prop::bool::weighted(0.1), 0..200_u64);
    let step = step.prop_map(|(agent, elapsed_ms, is_served, is_lost, delay_ms)| Step {
        agent,
        elapsed_ms,
        is_served,
        is_lost,
        delay_ms,
    });
    prop::collection::vec(step, 20..200)
}

/// Runs the steps; returns the fencing numbers of the orders that took effect, in order.
fn run_steps(steps: &[Step], checks: bool) -> Vec<u64> {
    let mut key = FakeKey::default();
    let mut upstream = FakeUpstream { checks, ..FakeUpstream::default() };
    let mut agents: Vec<_> = (0..2).map(|_| OwnerLease::new(Moment(1), settings(checks))).collect();
    let mut pending: Vec<(u64, FencingNumber)> = Vec::new();
    let mut now = 1;
    for step in steps {
        now += step.elapsed_ms;
        pending.sort_by_key(|(due, _)| *due);
        while pending.first().is_some_and(|(due, _)| *due <= now) {
            upstream.order(pending.remove(0).1);
        }
        let agent = &mut agents[step.agent];
        if let Some(call) = agent.due(Moment(now)) {
            let answer =
                if step.is_served { key.answer(now, call) } else { OwnerAnswer::Unavailable };
            let answer = if step.is_lost { OwnerAnswer::Unavailable } else { answer };
            agent.record_result(Moment(now), answer, 0.5);
        }
        if let Some(fence) = agent.fence_for_order(Moment(now)) {
            pending.push((now + step.delay_ms, fence));
        }
    }
    upstream.accepted
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(2_000), rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn checking_upstream_accepts_no_order_of_an_old_holder(steps in steps()) {
        let accepted = run_steps(&steps, true);
        prop_assert!(accepted.is_sorted(), "{accepted:?}");
    }

    #[test]
    fn unchecking_upstream_receives_no_order_of_an_old_holder(steps in steps()) {
        let accepted = run_steps(&steps, false);
        prop_assert!(accepted.is_sorted(), "{accepted:?}");
    }
}

#[test]
fn paused_holder_gives_no_order_after_its_lease_expired() {
    let mut owner = OwnerLease::new(Moment(1), settings(false));
    assert_eq!(owner.due(Moment(1)), Some(OwnerCall::Acquire));
    let acquired = OwnerAnswer::Acquired { lease: LeaseId(3), fence: FencingNumber(3) };
    owner.record_result(Moment(10), acquired, 0.0);
    assert_eq!(
        owner.fence_for_order(Moment(100)),
        None,
        "an older holder's order may be in flight"
    );
    assert_eq!(owner.fence_for_order(Moment(300)), Some(FencingNumber(3)));
    assert_eq!(owner.fence_for_order(Moment(5_000)), None);
}

/// Counts the calls that a fleet makes in each second of an outage, each agent with its own jitter.
fn outage_calls(fleet: usize, seconds: u64) -> Vec<u64> {
    let mut calls_per_second = vec![0; seconds as usize];
    for index in 0..fleet {
        let owner_settings = OwnerSettings { lease: Millis(10_000), ..OwnerSettings::default() };
        let mut owner = OwnerLease::new(Moment(1), owner_settings);
        owner.set_fleet_size(fleet);
        owner.due(Moment(1));
        let acquired = OwnerAnswer::Acquired { lease: LeaseId(3), fence: FencingNumber(3) };
        owner.record_result(Moment(1), acquired, index as f64 / fleet as f64);
        for now in (1..seconds * 1_000).step_by(10) {
            if owner.due(Moment(now)).is_some() {
                calls_per_second[now as usize / 1_000] += 1;
                let jitter = (index as u64 * 7_919 + now) % 1_000;
                let answer = OwnerAnswer::Unavailable;
                owner.record_result(Moment(now), answer, jitter as f64 / 1_000.0);
            }
        }
    }
    calls_per_second
}

#[test]
fn calls_of_an_outage_do_not_grow_with_fleet_size() {
    for fleet in [600, 2_300] {
        let calls_per_second = outage_calls(fleet, 120);
        // The first seconds are left out: the renewals that first fail come at the normal rate of
        // renewals, within a second.
        let peak_calls = calls_per_second[12..].iter().max().copied().unwrap();
        assert!(peak_calls <= 200, "{fleet} agents made {peak_calls} calls in a second");
    }
    let small_fleet_calls: u64 = outage_calls(8, 60).iter().sum();
    assert!(
        small_fleet_calls >= 8 * 60 / 4,
        "a small fleet must keep retrying to notice the end of an outage: {small_fleet_calls} calls"
    );
}

#[test]
fn outage_does_not_stop_orders_to_a_checking_upstream() {
    let mut owner = OwnerLease::new(Moment(1), settings(true));
    owner.due(Moment(1));
    let acquired = OwnerAnswer::Acquired { lease: LeaseId(3), fence: FencingNumber(3) };
    owner.record_result(Moment(10), acquired, 0.0);
    for now in (400..60_000).step_by(100) {
        if owner.due(Moment(now)).is_some() {
            owner.record_result(Moment(now), OwnerAnswer::Unavailable, 0.0);
        }
    }
    assert_eq!(owner.fence_for_order(Moment(60_000)), Some(FencingNumber(3)));
    assert_eq!(owner.due(Moment(61_000)), Some(OwnerCall::Renew(LeaseId(3))));
    owner.record_result(Moment(61_000), OwnerAnswer::Lapsed, 0.0);
    assert_eq!(owner.fence_for_order(Moment(61_001)), None);
}
