//! When a waiting request will start, by the rate at which room comes free.

use mustardrill_types::Millis;

use crate::direct::waiting::wait_policy::UNBOUNDED_WAIT;

/// What the forecast for one request is computed from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartForecast {
    /// Requests that go before it.
    pub(crate) ahead: usize,
    /// Requests per second for which room comes free, for this entry.
    pub(crate) per_second: f64,
    /// Of these, how many are taken by more urgent requests that arrive meanwhile.
    pub(crate) urgent_per_second: f64,
}

impl StartForecast {
    /// The expected wait; unbounded where more urgent requests take all room.
    pub(crate) fn expected_wait(&self) -> Millis {
        let left = self.per_second - self.urgent_per_second;
        if left <= 0.0 {
            return UNBOUNDED_WAIT;
        }
        let millis = 1_000.0 * (self.ahead + 1) as f64 / left;
        Millis(millis as u64).min(UNBOUNDED_WAIT)
    }
}

/// This entry's share of the room that comes free, by need: its waiting requests among those of all
/// entries that have any.
pub(crate) fn share_by_need(own_waiting: usize, peers_waiting: u32) -> f64 {
    let own = own_waiting.max(1) as f64;
    own / (own + f64::from(peers_waiting))
}
