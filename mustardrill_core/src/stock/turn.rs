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
}

/// The least share of a version's chunks, in percent, with which it is finished although a newer
/// one was named: with less the newer one is there about as soon.
const WORTH_FINISHING: u32 = 50;

/// Whether a version of which `held` percent are here is finished although a newer one is named.
///
/// Load pattern: versions named a few seconds apart. Going on with the older one delays the newer
/// one; dropping it leaves the engine without requests from the end of the older one's time until
/// the newer one has come.
pub fn is_worth_finishing(now: Moment, named: Moment, held: u32, settings: TurnSettings) -> bool {
    let newer_there = now + settings.first;
    newer_there > named + settings.last && held >= WORTH_FINISHING
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
