//! Backoff between calls to a failing service.

use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_types::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn backoff_doubles_up_to_its_limit_and_is_reset_by_an_answer() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut backoff = RetryBackoff::new(Millis(200), Millis(1_000));
    for longest in [200, 400, 800, 1_000, 1_000, 1_000] {
        let delay = backoff.failed(&mut random);
        assert!(delay >= Millis(longest / 2) && delay <= Millis(longest), "{delay} of {longest}");
    }
    backoff.answered();
    assert!(backoff.failed(&mut random) <= Millis(200));
}

#[test]
fn clients_that_fail_together_do_not_retry_together() {
    let delays: std::collections::BTreeSet<_> = (0..100)
        .map(|seed| {
            let mut backoff = RetryBackoff::new(Millis(200), Millis(1_000));
            backoff.failed(&mut SmallRng::seed_from_u64(seed))
        })
        .collect();
    assert!(delays.len() > 40, "{delays:?}");
}

#[test]
fn a_long_outage_does_not_overflow_the_backoff() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut backoff = RetryBackoff::new(Millis(200), Millis(1_000));
    for _ in 0..100_000 {
        assert!(backoff.failed(&mut random) <= Millis(1_000));
    }
}
