//! Requests that came before the entry could know whether it may serve them.
//!
//! Load pattern: all entries lose power and start again, and read the first configuration over the
//! same links. A caller that is refused meanwhile tries another entry, which is starting too, and
//! gives up. The first answer of the store is near, so they wait for it; where the store does not
//! answer they don't.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

use crate::direct::event::{DirectRequest, RequestNumber};

/// The longest that a request waits for the first configuration: what reading it took at most.
const LONGEST_HOLD: Millis = Millis(1_500);

/// The part of a caller's patience that may pass so: as much again is needed for an answer, and for
/// another try.
const PATIENCE_PARTS: u64 = 3;

/// The requests that wait, the first come first.
#[derive(Debug, Default)]
pub(crate) struct HeldRequests {
    requests: VecDeque<(Moment, DirectRequest)>,
}

impl HeldRequests {
    /// Keeps a request.
    pub(crate) fn hold(&mut self, request: DirectRequest) {
        let patience = request.patience.map_or(LONGEST_HOLD, |it| Millis(it.0 / PATIENCE_PARTS));
        let until = request.arrived + patience.min(LONGEST_HOLD);
        self.requests.push_back((until, request));
    }

    /// Forgets a request whose caller is gone.
    pub(crate) fn forget(&mut self, number: RequestNumber) {
        self.requests.retain(|(_, request)| request.number != number);
    }

    /// Takes all out.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = DirectRequest> + use<> {
        std::mem::take(&mut self.requests).into_iter().map(|(_, request)| request)
    }

    /// Takes out those that have waited long enough.
    pub(crate) fn take_overdue(&mut self, now: Moment) -> Vec<DirectRequest> {
        let held = std::mem::take(&mut self.requests).into_iter();
        let (overdue, others): (VecDeque<_>, _) = held.partition(|(until, _)| *until <= now);
        self.requests = others;
        overdue.into_iter().map(|(_, request)| request).collect()
    }

    /// When the next one has waited long enough.
    pub(crate) fn next_overdue(&self) -> Option<Moment> {
        self.requests.iter().map(|(until, _)| *until).min()
    }
}
