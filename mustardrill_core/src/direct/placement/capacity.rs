//! How many requests an upstream may have at once, in which order entries use its free slots, and
//! what a choice of it costs.
//!
//! Entries that do not see each other's requests fill one engine while another idles, so the count
//! covers all entries. An engine gets a few requests beyond its slots, so that no slot idles for a
//! network round trip. It gets no more than that, because a request that waits inside an engine
//! can't move to another engine that becomes free.

use mustardrill_types::{Millis, Moment};

/// A share of an upstream's slots, rounded down.
pub(crate) fn slots_share(slots: u32, percent: u32) -> u32 {
    let share = u64::from(slots) * u64::from(percent) / 100;
    share.try_into().unwrap_or(u32::MAX)
}

/// How many requests an upstream with `slots` slots may have from all entries together.
pub(crate) fn request_limit(slots: u32, requests_ahead: u32) -> u32 {
    slots.max(1).saturating_add(requests_ahead)
}

/// How many requests an upstream may have so that it still accepts one that can't meet its
/// objective any more.
///
/// After an outage all callers return together. If late requests could take all slots, they would
/// fill every engine for the time of a whole answer; requests that arrive meanwhile would wait that
/// long and be late as well, for as long as the load lasts. The slots kept free serve new requests.
pub(crate) fn late_request_limit(slots: u32, percent: u32) -> u32 {
    slots_share(slots, percent).max(1)
}

/// How long an entry leaves a slot that a peer's request has freed to each entry before it in the
/// order. It is the time until it learns that another entry took the slot: the interval of the load
/// broadcast plus the latency between data centres.
const TURN_STEP: Millis = Millis(15);

/// How long the order of turns applies after a slot became free. Dozens of entries have had their
/// turn by then, and one that has not used its turn can't use the slot. Applied until a peer frees
/// the next slot, the order would shut an entry that has sent many requests out of an engine with
/// free slots.
const TURN_ORDER_SPAN: Millis = Millis(500);

/// An entry's position among those that have requests waiting for one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapacityTurn {
    /// Peers that go before this entry in each round.
    pub(crate) peers_before: u32,
    /// All peers that have requests waiting.
    pub(crate) peers_waiting: u32,
    /// Slots that this entry has taken since they became free.
    pub(crate) taken: u32,
    /// Free slots.
    pub(crate) free: u32,
}

/// From when on an entry may use a slot that was reported free at `freed_at`; each entry takes one
/// slot per round.
///
/// Under overload requests wait at all entries. If all entries used a free slot at once, the engine
/// would get several requests, and those sent to meet their objective would wait inside it.
/// Therefore the entry whose request ended uses its slot at once and broadcasts its load; the slots
/// that it leaves are used by its peers one after the other. Only entries with waiting requests
/// count, since the slot would idle during the turns of the others. New requests take turns as
/// well, so that an engine that returns from loading does not get the requests of all entries at
/// once.
pub(crate) fn turn_at(freed_at: Moment, turn: &CapacityTurn) -> Moment {
    let rounds = turn.taken.saturating_mul(turn.peers_waiting.saturating_add(1));
    let turns = turn.peers_before.saturating_add(rounds).saturating_add(1);
    let contended = turns.saturating_sub(turn.free.saturating_add(turn.taken));
    turn_order_end(freed_at).min(freed_at + TURN_STEP * u64::from(contended))
}

/// From when on any entry may use a slot that became free at `freed_at`.
pub(crate) fn turn_order_end(freed_at: Moment) -> Moment {
    freed_at + TURN_ORDER_SPAN
}

/// What the cost of choosing an upstream is computed from.
pub(crate) struct CandidateLoad {
    /// Its requests from all entries.
    pub(crate) requests: u32,
    pub(crate) slots: u32,
    /// Its pending prefill time.
    pub(crate) pending_prefill: Millis,
    /// Whether it is in another data centre than the entry.
    pub(crate) is_remote: bool,
    /// How long work takes there compared with usual.
    pub(crate) pace: f64,
    /// When the request would start there at usual pace; zero where the pace is usual.
    pub(crate) usual_start: Millis,
    /// The share of its recent answers that failed.
    pub(crate) failure_share: f64,
    /// A pseudo-random number in [0, 1), different for each pair of request and upstream.
    pub(crate) tie_breaker: f64,
}

/// Upstreams whose loads differ by up to this many requests count as equal, since it is not known
/// what other entries sent while their broadcasts travelled.
///
/// Many entries have the same view of all engines, and each gets several requests within the time
/// that a broadcast takes. If all chose the least loaded engine, they would all choose the same
/// one.
const EQUAL_LOAD_REQUESTS: f64 = 1.0;

/// A remote upstream is chosen where a local one has this much more of its slots taken.
///
/// Traffic between data centres is billed; a sixteenth of the slots is one request of an engine.
const REMOTE_PENALTY: f64 = 0.15;

/// How much busier, in shares of its slots, an upstream counts if all its answers fail.
///
/// At 2.0, an upstream that fails half of its answers is chosen only when all others are full.
const FAILURE_PENALTY: f64 = 2.0;

/// The pending prefill time that costs as much as all slots taken.
///
/// It delays the first event by its whole length, and a usual objective allows for that once.
const PREFILL_SCALE_MS: f64 = 400.0;

/// The cost of choosing an upstream; the least wins.
pub(crate) fn cost(candidate: &CandidateLoad) -> f64 {
    let slots_taken = f64::from(candidate.requests) / f64::from(candidate.slots.max(1));
    let remote = if candidate.is_remote { REMOTE_PENALTY } else { 0.0 };
    let prefill = candidate.pending_prefill.0 as f64 / PREFILL_SCALE_MS;
    let spread = candidate.tie_breaker * EQUAL_LOAD_REQUESTS / f64::from(candidate.slots.max(1));
    let usual = slots_taken + prefill + remote + candidate.failure_share * FAILURE_PENALTY + spread;
    let start = candidate.usual_start.0 as f64 / PREFILL_SCALE_MS;
    usual + (candidate.pace - 1.0) * start
}
