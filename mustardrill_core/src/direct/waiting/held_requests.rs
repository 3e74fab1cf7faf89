//! Requests that arrived before the entry could know whether it may serve them.
//!
//! After a power loss all entries start at once and read their first configuration over the same
//! links. A caller that is refused meanwhile tries another entry, which is starting as well, and
//! gives up. Since the store's first answer is expected soon, requests are held until it arrives;
//! they are not held where the store does not answer.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

use crate::direct::event::{DirectRequest, RequestNumber};

/// The longest time that a request is held for the first configuration: as long as reading it took
/// at most.
const MAX_HOLD: Millis = Millis(1_500);

/// A request is held for at most this fraction of the caller's timeout: as much again is needed for
/// an answer, and for a retry.
const TIMEOUT_FRACTION: u64 = 3;

/// Held requests with the end of their hold, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct HeldRequests {
    requests: VecDeque<(Moment, DirectRequest)>,
}

impl HeldRequests {
    /// Holds a request until a share of the caller's timeout has passed, `MAX_HOLD` at most.
    pub(crate) fn hold(&mut self, request: DirectRequest) {
        let hold_limit = request.timeout.map_or(MAX_HOLD, |it| Millis(it.0 / TIMEOUT_FRACTION));
        let until = request.arrived_at + hold_limit.min(MAX_HOLD);
        self.requests.push_back((until, request));
    }

    /// Drops a request whose caller has disconnected.
    pub(crate) fn forget(&mut self, number: RequestNumber) {
        self.requests.retain(|(_, request)| request.number != number);
    }

    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = DirectRequest> + use<> {
        std::mem::take(&mut self.requests).into_iter().map(|(_, request)| request)
    }

    /// Removes and returns the requests whose hold has ended.
    pub(crate) fn take_overdue(&mut self, now: Moment) -> Vec<DirectRequest> {
        let held = std::mem::take(&mut self.requests).into_iter();
        let (overdue, remaining): (VecDeque<_>, _) = held.partition(|(until, _)| *until <= now);
        self.requests = remaining;
        overdue.into_iter().map(|(_, request)| request).collect()
    }

    /// When the next hold ends.
    pub(crate) fn next_overdue(&self) -> Option<Moment> {
        self.requests.iter().map(|(until, _)| *until).min()
    }
}
