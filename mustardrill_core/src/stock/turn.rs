//! When an engine's turn comes to load newer weights.
//!
//! Load pattern: all engines of a service have a newer version staged within a moment of each
//! other. An engine finishes what runs before it loads and takes nothing meanwhile, so all at
//! once would leave nobody to serve. The turns are spread over the time that the operator allows,
//! in an order on which all agents agree without talking.

use mustardrill_types::{InstanceId, Millis, Moment};

use crate::rendezvous;

/// The span of time over which the engines of a service load, from the version's naming.
#[derive(Debug, Clone, Copy)]
pub struct TurnSettings {
    /// When the first one may load. By then the chunks are usually everywhere.
    pub first: Millis,
    /// When the last one should: an engine that has not loaded it yet is about to be left without
    /// requests.
    pub last: Millis,
    /// What loading costs an engine: the time until it has finished what it runs.
    pub switch: Millis,
}

/// Whether a version that is staged but not yet loaded is loaded although a newer one was named.
///
/// Load pattern: versions named a few seconds apart. Dropping the older one leaves the engine
/// without requests from the end of the time of what it serves until the newer one has come.
/// Loading it costs about as much as a pause of `switch` for what the engine must finish first,
/// and once more for the newer one. `older` is when the older one was named, `listed` when the
/// newer one's list came: from then on its chunks can be drawn.
pub fn is_worth_loading(older: Moment, listed: Moment, settings: TurnSettings) -> bool {
    let newer_there = listed + settings.first;
    newer_there > older + settings.last + settings.switch
}

/// The moment of `own`'s turn among `peers`, of all turns spread over `span`.
pub fn turn_of(
    span: (Moment, Moment),
    subject: &[u8],
    peers: &[InstanceId],
    own: &InstanceId,
) -> Moment {
    let ranked = rendezvous::ranked(subject, peers, |id| id.as_str());
    let place = ranked.iter().position(|id| *id == own).unwrap_or(0) as u64;
    let count = ranked.len().max(1) as u64;
    let (first, last) = span;
    first + Millis(last.since(first).0 * place / count)
}
