//! Ownership of an upstream: pauses, lapsed leases, lost answers, two agents for one upstream.

mod common;

use common::cases;
use mustardrill_core::ownership::{LeaseId, OwnerAnswer, OwnerCall, OwnerLease, OwnerSettings};
use mustardrill_types::{FencingNumber, Millis, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn settings(upstream_checks: bool) -> OwnerSettings {
    OwnerSettings {
        lease: Millis(1_000),
        margin: Millis(300),
        longest_order: Millis(200),
        upstream_checks,
        retry_after: Millis(50),
    }
}

/// The platform's service, with the one key of the owner.
#[derive(Default)]
struct FakeKey {
    revision: u64,
    /// Lease, fencing number and end.
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

/// An upstream that remembers the orders that took effect.
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
    /// Which agent may act.
    agent: usize,
    /// How much time passes first.
    passes: u64,
    /// Whether the service answers, and whether its answer comes at all.
    is_served: bool,
    is_lost: bool,
    /// How late the order reaches the upstream, at most `longest_order`.
    late: u64,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let passes = prop_oneof![8 => 1..120_u64, 1 => 500..2_500_u64];
    let step =
        (0..2_usize, passes, prop::bool::weighted(0.85), prop::bool::weighted(0.1), 0..200_u64);
    let step = step.prop_map(|(agent, passes, is_served, is_lost, late)| Step {
        agent,
        passes,
        is_served,
        is_lost,
        late,
    });
    prop::collection::vec(step, 20..200)
}

/// Plays steps; returns the orders that took effect, in order.
fn play(steps: &[Step], checks: bool) -> Vec<u64> {
    let mut key = FakeKey::default();
    let mut upstream = FakeUpstream { checks, ..FakeUpstream::default() };
    let mut agents: Vec<_> = (0..2).map(|_| OwnerLease::new(Moment(1), settings(checks))).collect();
    let mut pending: Vec<(u64, FencingNumber)> = Vec::new();
    let mut now = 1;
    for step in steps {
        now += step.passes;
        pending.sort_by_key(|(due, _)| *due);
        while pending.first().is_some_and(|(due, _)| *due <= now) {
            upstream.order(pending.remove(0).1);
        }
        let agent = &mut agents[step.agent];
        if let Some(call) = agent.due(Moment(now)) {
            let answer =
                if step.is_served { key.answer(now, call) } else { OwnerAnswer::Unavailable };
            let answer = if step.is_lost { OwnerAnswer::Unavailable } else { answer };
            agent.answered(Moment(now), answer, 0.5);
        }
        if let Some(fence) = agent.may_order(Moment(now)) {
            pending.push((now + step.late, fence));
        }
    }
    upstream.accepted
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(2_000), rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_checking_upstream_takes_no_order_out_of_turn(steps in steps()) {
        let accepted = play(&steps, true);
        prop_assert!(accepted.is_sorted(), "{accepted:?}");
    }

    #[test]
    fn an_upstream_that_does_not_check_sees_no_old_holder_after_a_new_one(steps in steps()) {
        let accepted = play(&steps, false);
        prop_assert!(accepted.is_sorted(), "{accepted:?}");
    }
}

#[test]
fn a_holder_that_was_paused_gives_no_order_when_it_wakes() {
    let mut owner = OwnerLease::new(Moment(1), settings(false));
    assert_eq!(owner.due(Moment(1)), Some(OwnerCall::Acquire));
    let acquired = OwnerAnswer::Acquired { lease: LeaseId(3), fence: FencingNumber(3) };
    owner.answered(Moment(10), acquired, 0.0);
    assert_eq!(owner.may_order(Moment(100)), None, "an older holder's order may be under way");
    assert_eq!(owner.may_order(Moment(300)), Some(FencingNumber(3)));
    assert_eq!(owner.may_order(Moment(5_000)), None);
}

/// The calls that a fleet makes in each second of an outage, each agent with a jitter of its own.
fn outage_calls(fleet: usize, seconds: u64) -> Vec<u64> {
    let mut bins = vec![0; seconds as usize];
    for place in 0..fleet {
        let real = OwnerSettings { lease: Millis(10_000), ..OwnerSettings::default() };
        let mut owner = OwnerLease::new(Moment(1), real);
        owner.set_fleet(fleet);
        owner.due(Moment(1));
        let acquired = OwnerAnswer::Acquired { lease: LeaseId(3), fence: FencingNumber(3) };
        owner.answered(Moment(1), acquired, place as f64 / fleet as f64);
        for now in (1..seconds * 1_000).step_by(10) {
            if owner.due(Moment(now)).is_some() {
                bins[now as usize / 1_000] += 1;
                let jitter = (place as u64 * 7_919 + now) % 1_000;
                let answer = OwnerAnswer::Unavailable;
                owner.answered(Moment(now), answer, jitter as f64 / 1_000.0);
            }
        }
    }
    bins
}

#[test]
fn calls_of_an_outage_do_not_grow_with_the_fleet() {
    for fleet in [600, 2_300] {
        let bins = outage_calls(fleet, 120);
        // The renewals that first find it out come at the pace of renewals, within a second.
        let later = bins[12..].iter().max().copied().unwrap();
        assert!(later <= 200, "{fleet} agents made {later} calls in a second");
    }
    let few: u64 = outage_calls(8, 60).iter().sum();
    assert!(few >= 8 * 60 / 4, "a small fleet finds the end of an outage soon: {few} calls");
}

#[test]
fn an_outage_does_not_stop_orders_to_an_upstream_that_checks() {
    let mut owner = OwnerLease::new(Moment(1), settings(true));
    owner.due(Moment(1));
    let acquired = OwnerAnswer::Acquired { lease: LeaseId(3), fence: FencingNumber(3) };
    owner.answered(Moment(10), acquired, 0.0);
    for now in (400..60_000).step_by(100) {
        if owner.due(Moment(now)).is_some() {
            owner.answered(Moment(now), OwnerAnswer::Unavailable, 0.0);
        }
    }
    assert_eq!(owner.may_order(Moment(60_000)), Some(FencingNumber(3)));
    assert_eq!(owner.due(Moment(61_000)), Some(OwnerCall::Renew(LeaseId(3))));
    owner.answered(Moment(61_000), OwnerAnswer::Lapsed, 0.0);
    assert_eq!(owner.may_order(Moment(61_001)), None);
}
