//! Spaces the requests that one entry sends to a limited upstream.

use mustardrill_types::Moment;

/// The moments at which one entry may send to one upstream: one request per interval.
///
/// The interval is an argument, as it changes with the limit and with the number of entries, and so
/// is how far the entry may fall behind its schedule and still catch up. Without catching up the time
/// between the opening of the schedule and the next request is lost each time; with too much of it,
/// an entry that was idle sends a burst.
#[derive(Debug, Default)]
pub(crate) struct SendSchedule {
    /// When the next request was due at the last sending, in milliseconds.
    due_ms: f64,
    /// When the last request was sent, or the schedule started.
    last_sent: Option<Moment>,
}

impl SendSchedule {
    /// Starts the schedule: the first request is due one interval later. If it were due at once, each
    /// entry that learns of a limit would send one request beyond the rate.
    pub(crate) fn start(&mut self, now: Moment) {
        self.due_ms = f64::INFINITY;
        self.last_sent = Some(now);
    }

    /// Starts the schedule: the first request is due `delay_ms` after `now`.
    pub(crate) fn start_at(&mut self, now: Moment, delay_ms: f64, interval_ms: f64) {
        let last_sent = now.0 as f64 + delay_ms - interval_ms;
        self.start(Moment(last_sent.max(0.0) as u64));
    }

    /// From when on the next request may be sent, at one request per `interval_ms`.
    pub(crate) fn opens_at(&self, interval_ms: f64, catch_up_ms: f64) -> Moment {
        Moment(self.opens_ms(interval_ms, catch_up_ms).ceil() as u64)
    }

    /// Records that a request is sent at `now`.
    pub(crate) fn record_sent(&mut self, now: Moment, interval_ms: f64, catch_up_ms: f64) {
        let due_ms = self.opens_ms(interval_ms, catch_up_ms).max(now.0 as f64 - catch_up_ms);
        self.due_ms = due_ms + interval_ms;
        self.last_sent = Some(now);
    }

    fn opens_ms(&self, interval_ms: f64, catch_up_ms: f64) -> f64 {
        let Some(last_sent) = self.last_sent else { return 0.0 };
        // Where the interval has changed since, the next request is due as if it had applied then.
        let latest = last_sent.0 as f64 + interval_ms;
        self.due_ms.clamp(latest - catch_up_ms, latest)
    }
}
