//! The clocks of one process; only the daemons read them and hand the time to the reducers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mustardrill_types::{Millis, Moment};
use rustix::time::{ClockId, clock_gettime};
use tokio_util::sync::CancellationToken;

/// The monotonic clock of this process and the wall clock.
///
/// The monotonic one counts the time that the machine is suspended: after a freeze, leases have
/// run out, callers' deadlines have passed, and what was proved is old.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Duration,
}

impl ProcessClock {
    /// A clock whose first moment is now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// The present moment; never zero, so that zero can stand for "not yet" or "long ago".
    pub fn now(&self) -> Moment {
        Moment::CLOCK_START + Millis(since_boot().saturating_sub(self.start).as_millis() as u64)
    }

    /// The wall clock in seconds; only the retention of claims looks at it.
    pub fn wall_s(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
    }
}

/// Calls `tick` again and again until `halt` is cancelled; a late tick is not made up for.
pub fn spawn_ticks<F>(
    every: Millis,
    halt: CancellationToken,
    mut tick: impl FnMut() -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send,
{
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(every.to_std());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = halt.cancelled() => return,
            }
            tick().await;
        }
    });
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
