//! The order in which requests wait at an entry for an upstream.
//!
//! Load pattern: more requests come than slots are free, for a moment or for long. Requests that
//! can still be in time go before those that are late already, and among equals the more urgent
//! first, then those that are not much larger than usual, then the one that has waited longest: in
//! the time of one large request several others are answered. What can't be started within the longest wait is
//! refused at once by the reducer, so the queue stays as short as the wait that it promises.

use std::collections::BTreeMap;

use mustardrill_types::Moment;

use crate::direct::event::RequestNumber;

/// The place of a waiting request; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Whether its objective can't be met any more.
    pub late: bool,
    /// Its priority; zero is the most urgent.
    pub priority: u8,
    /// Whether it takes much more of an engine than a usual one.
    pub large: bool,
    /// When it came.
    pub since: Moment,
    /// Its number, between equals.
    pub number: RequestNumber,
}

/// The requests that wait for one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    ranks: BTreeMap<WaitRank, Moment>,
}

impl WaitQueue {
    /// Adds a request that gives up waiting at `until`.
    pub fn push(&mut self, rank: WaitRank, until: Moment) {
        self.ranks.insert(rank, until);
    }

    /// The request that goes next.
    pub fn first(&self) -> Option<WaitRank> {
        self.ranks.keys().next().copied()
    }

    /// Gives a request another place.
    pub fn replace(&mut self, rank: &WaitRank, other: WaitRank) {
        if let Some(until) = self.ranks.remove(rank) {
            self.ranks.insert(other, until);
        }
    }

    /// Takes a request out.
    pub fn remove(&mut self, rank: &WaitRank) -> bool {
        self.ranks.remove(rank).is_some()
    }

    /// How many wait ahead of `rank`.
    pub fn ahead(&self, rank: &WaitRank) -> usize {
        self.ranks.range(..rank).count()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Takes out those that have waited long enough.
    pub fn take_overdue(&mut self, now: Moment) -> Vec<WaitRank> {
        let late: Vec<_> =
            self.ranks.iter().filter(|(_, until)| **until <= now).map(|(rank, _)| *rank).collect();
        late.iter().for_each(|rank| {
            self.ranks.remove(rank);
        });
        late
    }

    /// When the next one gives up.
    pub fn next_overdue(&self) -> Option<Moment> {
        self.ranks.values().min().copied()
    }
}
