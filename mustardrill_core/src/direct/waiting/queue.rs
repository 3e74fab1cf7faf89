//! The order in which requests wait at an entry for an upstream.
//!
//! When more requests arrive than slots are free, briefly or for long, requests that can still meet
//! their objective go before those that are late. Among these, the more urgent priority goes first,
//! then requests that are not much larger than usual, then the one that arrived first: in the time
//! of one large request several others are answered. The reducer refuses at once what can't start
//! within the longest wait, so that the queue stays as short as the wait that it promises.

use std::collections::BTreeMap;
use std::ops::Bound;

use mustardrill_types::Moment;

use crate::direct::admission::urgency::Urgency;
use crate::direct::event::RequestNumber;

/// The sort key of a waiting request; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Whether the request can't meet its objective any more.
    pub late: bool,
    /// How urgent the request is.
    pub urgency: Urgency,
    /// Whether its work is much more than a usual request's.
    pub large: bool,
    /// When the request arrived.
    pub since: Moment,
    /// The request's number, which decides between equals.
    pub number: RequestNumber,
}

/// The requests that wait for one service, with the end of their wait.
#[derive(Debug, Default)]
pub struct WaitQueue {
    ranks: BTreeMap<WaitRank, Moment>,
}

impl WaitQueue {
    /// Adds a request whose wait ends at `until`.
    pub fn push(&mut self, rank: WaitRank, until: Moment) {
        self.ranks.insert(rank, until);
    }

    /// The request to be sent next.
    pub fn first(&self) -> Option<WaitRank> {
        self.ranks.keys().next().copied()
    }

    /// The waiting requests behind `rank` in their order, each with the end of its wait; all of them
    /// where that is `None`.
    pub fn behind(&self, rank: Option<WaitRank>) -> impl Iterator<Item = (WaitRank, Moment)> {
        let start = rank.map_or(Bound::Unbounded, Bound::Excluded);
        self.ranks.range((start, Bound::Unbounded)).map(|(rank, until)| (*rank, *until))
    }

    /// Moves a request to another rank; the end of its wait stays.
    pub fn replace(&mut self, rank: &WaitRank, new_rank: WaitRank) {
        if let Some(until) = self.ranks.remove(rank) {
            self.ranks.insert(new_rank, until);
        }
    }

    /// Removes a request; `false` where it was not queued under this rank.
    pub fn remove(&mut self, rank: &WaitRank) -> bool {
        self.ranks.remove(rank).is_some()
    }

    /// How many requests go before `rank`.
    pub fn ahead(&self, rank: &WaitRank) -> usize {
        self.ranks.range(..rank).count()
    }

    /// The waiting requests in their order, each with the end of its wait.
    pub fn iter(&self) -> impl Iterator<Item = (WaitRank, Moment)> {
        self.behind(None)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Removes and returns the requests whose wait has ended.
    pub fn take_overdue(&mut self, now: Moment) -> Vec<WaitRank> {
        let overdue: Vec<_> =
            self.ranks.iter().filter(|(_, until)| **until <= now).map(|(rank, _)| *rank).collect();
        overdue.iter().for_each(|rank| {
            self.ranks.remove(rank);
        });
        overdue
    }

    /// When the next wait ends.
    pub fn next_overdue(&self) -> Option<Moment> {
        self.ranks.values().min().copied()
    }
}
