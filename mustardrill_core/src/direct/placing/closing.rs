//! Which requests an engine is given whose turn to load is near.
//!
//! Load pattern: engines load newer weights one after the other while the load needs nearly all of
//! them. An engine finishes what it runs before it loads and takes nothing meanwhile, so one long
//! answer keeps all its other slots idle. Given only what ends by its turn, it loads soon after it.

use mustardrill_types::{Millis, Moment};

/// A request may end so much later than its engine's turn: forecasts of its length are rough, and
/// others hold slots until then anyway.
const CLOSING_SLACK: Millis = Millis(150);

/// An engine that has not paused so long after its turn goes on serving: its agent may have ended.
const CLOSING_LIMIT: Millis = Millis(1_000);

/// Whether an engine that is to load at `closes_at` is given a request; `whole` tells how long that
/// takes there, and is asked only of an engine whose turn is near.
pub(crate) fn takes(
    now: Moment,
    closes_at: Option<Moment>,
    whole: impl FnOnce() -> Millis,
) -> bool {
    let near = closes_at.filter(|closes| now < *closes + CLOSING_LIMIT);
    near.is_none_or(|closes| now + whole() <= closes + CLOSING_SLACK)
}
