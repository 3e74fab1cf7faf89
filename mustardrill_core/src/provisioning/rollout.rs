//! Schedule by which the engines of a service load newer weights (a rolling update).
//!
//! All engines of a service have a newer version staged at about the same time. Before it loads, an
//! engine completes its running requests and accepts no others, so loading all at once would leave
//! none to serve. The load slots are spread over the time that the operator allows, in an order
//! that all agents compute alike without communication.

use mustardrill_types::{InstanceId, Millis, Moment};

use crate::rendezvous;

/// Time window in which the engines of a service load, relative to the version's announcement.
#[derive(Debug, Clone, Copy)]
pub struct RolloutSettings {
    /// Start of the first slot. By then the chunks have usually reached all agents.
    pub first: Millis,
    /// End of the window: entries soon stop sending requests to engines that have not loaded the
    /// version by then.
    pub last: Millis,
    /// How long one load takes an engine out of service, including the requests that it completes
    /// first.
    pub load_duration: Millis,
}

impl RolloutSettings {
    /// The window for engines whose version was superseded at `superseded`.
    pub fn window(&self, superseded: Moment) -> RolloutWindow {
        RolloutWindow { first: superseded + self.first, last: superseded + self.last }
    }

    /// When engines whose version was superseded by the announcement at `announced` serve again;
    /// zero if that time is unknown (zero).
    pub fn completed_at(&self, announced: Moment) -> Moment {
        if announced == Moment(0) { announced } else { announced + self.last + self.load_duration }
    }
}

/// Window over which the load slots of the engines are spread.
#[derive(Debug, Clone, Copy)]
pub struct RolloutWindow {
    /// The first slot.
    pub first: Moment,
    /// Upper limit of all slots.
    pub last: Moment,
}

impl RolloutWindow {
    /// The slot of `own` among `peers`, all slots spread evenly over the window. With the model as
    /// `subject`, an engine has the same rank for each version, so its loads are as far apart as
    /// the announcements.
    pub fn slot(&self, subject: &[u8], peers: &[InstanceId], own: &InstanceId) -> Moment {
        let ranked = rendezvous::ranked(subject, peers, |id| id.as_str());
        let rank = ranked.iter().position(|id| *id == own).unwrap_or(0) as u64;
        let count = ranked.len().max(1) as u64;
        self.first + Millis(self.last.since(self.first).0 * rank / count)
    }

    /// The part of the window from `moment` on.
    pub fn remaining_from(&self, moment: Moment) -> Self {
        Self { first: self.first.max(moment), last: self.last.max(moment) }
    }
}
