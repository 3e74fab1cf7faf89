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
    /// How long an engine takes no requests for a load, with what it finishes first.
    pub switch: Millis,
}

impl TurnSettings {
    /// The turns of engines whose version was replaced at `replaced`.
    pub fn span(&self, replaced: Moment) -> TurnSpan {
        TurnSpan { first: replaced + self.first, last: replaced + self.last }
    }

    /// When engines serve again that had to give up the version before `named`'s; long ago for
    /// one that was named nobody knows when.
    pub fn done(&self, named: Moment) -> Moment {
        if named == Moment(0) { named } else { named + self.last + self.switch }
    }
}

/// The time over which engines load one after the other.
#[derive(Debug, Clone, Copy)]
pub struct TurnSpan {
    /// The first one's turn.
    pub first: Moment,
    /// No turn is later.
    pub last: Moment,
}

impl TurnSpan {
    /// The turn of `own` among `peers`, all turns spread evenly over the span. Where `subject` is
    /// the model, an engine has the same place for each version, so its loads lie as far apart as
    /// the namings.
    pub fn turn(&self, subject: &[u8], peers: &[InstanceId], own: &InstanceId) -> Moment {
        let ranked = rendezvous::ranked(subject, peers, |id| id.as_str());
        let place = ranked.iter().position(|id| *id == own).unwrap_or(0) as u64;
        let count = ranked.len().max(1) as u64;
        self.first + Millis(self.last.since(self.first).0 * place / count)
    }

    /// What is left of the span from `moment` on.
    pub fn from(&self, moment: Moment) -> Self {
        Self { first: self.first.max(moment), last: self.last.max(moment) }
    }
}
