//! How many requests an upstream is given at once, and who is asked first.
//!
//! Load pattern: entries that don't see each other's requests fill one engine while another
//! idles. The count therefore covers all entries. An engine gets a few requests beyond its slots,
//! so that a slot never idles for the way back and forth, and no more: one that waits inside an
//! engine can't be moved to another one that becomes free.

use mustardrill_types::{Millis, Moment};

/// How many an upstream of `slots` slots may have from all entries together.
pub(crate) fn limit(slots: u32, ahead: u32) -> u32 {
    slots.max(1) + ahead
}

/// How many an upstream may have for one more that can't be in time any more.
///
/// Load pattern: the return of an outage's callers. Given all slots, late requests fill every
/// engine for the time of a whole answer, those that come meanwhile wait that long and are late as
/// well, and so on for as long as the load lasts. The slots kept free serve who comes now.
pub(crate) fn late_limit(slots: u32, percent: u32) -> u32 {
    (slots * percent / 100).max(1)
}

/// How long an entry leaves a place that another one's request has freed to each entry that goes
/// before it: the time until it hears that somebody took it, which is the pause between two looks
/// at the load and the way between data centres.
const PLACE_STEP: Millis = Millis(15);

/// How long turns are kept after a place became free: dozens of entries have had theirs then, and who
/// goes first and has not come can't use the place. Kept for as long as nobody else frees one, they
/// would shut an entry that has sent many requests out of an engine with room.
const TURNS_KEPT: Millis = Millis(500);

/// An entry's turn among those that have requests waiting for one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlaceTurn {
    /// The others that go before this one in each round.
    pub(crate) before: u32,
    /// All the others.
    pub(crate) waiting: u32,
    /// The places that this one has taken since they became free.
    pub(crate) taken: u32,
    /// The places that are free.
    pub(crate) room: u32,
}

/// From when on an entry may take a place that was heard to be free at `freed`: each takes one in
/// each round.
///
/// Load pattern: more requests than slots, waiting at all entries. Taken by all entries at once, a slot
/// that became free gets several requests, and those that were sent to be in time wait inside the
/// engine. Who ended a request takes its place at once and tells the others; what it leaves, they take
/// one after the other. Only who has requests waiting counts, as a place would idle for the turns of
/// the others. Requests that come just then take turns as well, so that an engine that is back from
/// loading does not get those of all entries at once.
pub(crate) fn place_open(freed: Moment, turn: &PlaceTurn) -> Moment {
    let rounds = turn.taken.saturating_mul(turn.waiting + 1);
    let turns = turn.before.saturating_add(rounds).saturating_add(1);
    let contended = turns.saturating_sub(turn.room.saturating_add(turn.taken));
    turns_end(freed).min(freed + Millis(PLACE_STEP.0 * u64::from(contended)))
}

/// From when on a place that became free at `freed` is anybody's.
pub(crate) fn turns_end(freed: Moment) -> Moment {
    freed + TURNS_KEPT
}

/// What makes an upstream a worse choice; the least goes first.
pub(crate) struct ChoiceInputs {
    /// Requests there, of all entries.
    pub(crate) present: u32,
    /// Its slots.
    pub(crate) slots: u32,
    /// Prompts that it has yet to read, in its reading time.
    pub(crate) reading: Millis,
    /// Whether it stands in another data centre.
    pub(crate) far: bool,
    /// The share of its latest answers that failed.
    pub(crate) failing: f64,
    /// A lot in [0, 1) that is another one for each request and upstream.
    pub(crate) lot: f64,
}

/// How far apart the costs of upstreams may lie that count as equal, in requests there: what others
/// sent in the time that their words take is not known.
///
/// Load pattern: many entries believe the same of all engines, and get several requests within the time
/// that a word takes. Where all take the least of the same numbers, they meet at one engine.
const EQUAL_REQUESTS: f64 = 1.0;

/// A far upstream is asked where a near one has this much more of its slots taken.
///
/// Bytes between data centres are billed; a sixteenth of the slots is one request of an engine.
const FAR_PENALTY: f64 = 0.15;

/// A failing upstream counts as this much busier for each whole share of failures.
///
/// At 2.0 one that fails half of its answers is asked only when all others are full.
const FAILURE_PENALTY: f64 = 2.0;

/// Prompts yet to be read that weigh as much as all slots taken.
///
/// They delay the first event by their whole time, which a usual objective bears once.
const READING_SCALE_MS: f64 = 400.0;

/// The cost of a choice.
pub(crate) fn cost(inputs: &ChoiceInputs) -> f64 {
    let busy = f64::from(inputs.present) / f64::from(inputs.slots.max(1));
    let far = if inputs.far { FAR_PENALTY } else { 0.0 };
    let reading = inputs.reading.0 as f64 / READING_SCALE_MS;
    let lot = inputs.lot * EQUAL_REQUESTS / f64::from(inputs.slots.max(1));
    busy + reading + far + inputs.failing * FAILURE_PENALTY + lot
}
