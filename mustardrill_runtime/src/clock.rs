//! Clocks of a process. Only the daemons read them; reducers get the time as an argument.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mustardrill_types::{Millis, Moment};
use rustix::time::{ClockId, clock_gettime};
use tokio_util::sync::CancellationToken;

use crate::supervision;

/// A clock that never goes back, in milliseconds since the start of the process.
pub trait MonotonicClock: Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Moment;
}

/// The monotonic clock of this process and the wall clock.
///
/// The monotonic clock includes the time that the machine is suspended, since meanwhile leases
/// expire, callers' deadlines pass, and freshness checks become outdated.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Duration,
}

impl ProcessClock {
    /// Starts the process's clock at [`Moment::FIRST`].
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the current time in milliseconds since the start. It is never zero, so that zero can
    /// stand for "not yet" or "long ago".
    pub fn now(&self) -> Moment {
        Moment::CLOCK_START + Millis(since_boot().saturating_sub(self.start).as_millis() as u64)
    }

    /// Returns the Unix time; used only for the turns in which entries hold units of limits.
    pub fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Millis(since_epoch.map_or(0, |span| span.as_millis() as u64))
    }

    /// Returns the Unix time in seconds; used only for the retention of claims.
    pub fn wall_s(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
    }
}

impl MonotonicClock for ProcessClock {
    fn now(&self) -> Moment {
        Self::now(self)
    }
}

/// Calls `tick` periodically until `halt` is cancelled. Missed ticks are not caught up.
pub fn spawn_ticks<F>(
    period: Millis,
    halt: CancellationToken,
    tick: impl Fn() -> F + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let tick = Arc::new(tick);
    supervision::spawn("ticks", halt, move || {
        let tick = tick.clone();
        async move {
            let mut interval = tokio::time::interval(period.to_std());
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                interval.tick().await;
                tick().await;
            }
        }
    });
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
