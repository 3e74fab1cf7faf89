//! Two agents that own one upstream in turn: the first one is suspended and its order arrives after
//! that of its successor.

use mustardrill_standins::scenario::late_order;

#[tokio::test(flavor = "multi_thread")]
async fn a_late_order_is_refused_by_an_engine_that_checks() {
    let outcome = late_order(true).await;
    assert!(outcome.orders.iter().map(|order| order.0).is_sorted(), "{outcome:?}");
    assert!(
        outcome.refused > 0,
        "the late order must reach the engine and be refused: {outcome:?}"
    );
    assert_eq!(outcome.served_for, None, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_order_to_an_engine_that_does_not_check_is_corrected() {
    // The scenario itself fails if the newer version is not served again.
    let outcome = late_order(false).await;
    let last = outcome.orders.last().map(|order| order.0);
    let highest = outcome.orders.iter().map(|order| order.0).max();
    assert_eq!(last, highest, "{outcome:?}");
}
