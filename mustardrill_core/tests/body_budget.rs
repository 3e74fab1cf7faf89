//! The memory reserved for the bodies of requests.

use mustardrill_core::direct::BodyBudget;
use mustardrill_types::ByteSize;

const MEMORY: ByteSize = ByteSize(258 << 20);
const LARGE: ByteSize = ByteSize(4 << 20);
const SMALL: ByteSize = ByteSize(1 << 10);

/// As many large bodies as callers sent were kept at once.
#[test]
fn large_bodies_fill_the_memory_of_an_entry() {
    let mut budget = BodyBudget::of_memory(MEMORY);
    let admitted = (0..100).filter(|_| budget.reserve(LARGE)).count();
    assert_eq!(admitted, 16, "three quarters of a third of the memory");
    assert!(budget.reserve(SMALL), "large bodies leave room to small ones");
    assert!(!budget.reserve(LARGE));
    budget.release(SMALL);
    budget.release(LARGE);
    assert!(budget.reserve(LARGE));
}

#[test]
fn a_request_without_a_body_is_refused_for_lack_of_room() {
    let mut budget = BodyBudget::of_memory(MEMORY);
    let most = MEMORY.0 / SMALL.0;
    let admitted = (0..most).take_while(|_| budget.reserve(SMALL)).count() as u64;
    assert!(admitted < most, "the budget is never full");
    assert!(budget.reserve(ByteSize(0)));
    budget.release(SMALL);
    assert!(budget.reserve(SMALL));
}
