//! Which requests an engine is sent shortly before its load slot.
//!
//! During a rolling update engines load newer weights one after the other, while the load needs
//! nearly all of them. An engine finishes what it runs before it loads and accepts nothing
//! meanwhile, so one long answer keeps all its other slots idle. An engine that is sent only what
//! ends by its load slot starts to load soon after it.

use mustardrill_types::{Millis, Moment};

/// How much later than its engine's load slot a request may end: forecasts of its length are rough,
/// and other requests occupy slots until then anyway.
const LOAD_SLOT_SLACK: Millis = Millis(150);

/// An engine that has not started to load this long after its load slot is used again: its agent
/// may have crashed.
const LOAD_SLOT_TIMEOUT: Millis = Millis(1_000);

/// Whether an engine that is to load at `loads_at` may be sent a request. `service_time` computes
/// how long the request takes there; it is called only for an engine whose load slot is near.
pub(crate) fn accepts_before_load(
    now: Moment,
    loads_at: Option<Moment>,
    service_time: impl FnOnce() -> Millis,
) -> bool {
    let upcoming = loads_at.filter(|loads| now < *loads + LOAD_SLOT_TIMEOUT);
    upcoming.is_none_or(|loads| now + service_time() <= loads + LOAD_SLOT_SLACK)
}
