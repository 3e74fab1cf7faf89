//! When each upstream last sent something on any connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

use mustardrill_types::{FastMap, Moment};

/// The activity of the upstreams that have open attempts.
#[derive(Debug, Default)]
pub(crate) struct ActivityTable {
    upstreams: Mutex<FastMap<SocketAddr, Weak<UpstreamActivity>>>,
}

/// When one upstream last sent something.
#[derive(Debug, Default)]
pub(crate) struct UpstreamActivity {
    /// In milliseconds of the process clock.
    heard_at: AtomicU64,
}

impl ActivityTable {
    /// The activity of the upstream at `address`, shared by all attempts there.
    pub(crate) fn of(&self, address: SocketAddr) -> Arc<UpstreamActivity> {
        let mut upstreams = self.upstreams.lock().expect("no lock holder panics");
        if let Some(activity) = upstreams.get(&address).and_then(Weak::upgrade) {
            return activity;
        }
        upstreams.retain(|_, activity| activity.strong_count() > 0);
        let activity = Arc::default();
        upstreams.insert(address, Arc::downgrade(&activity));
        activity
    }
}

impl UpstreamActivity {
    pub(crate) fn record(&self, now: Moment) {
        self.heard_at.store(now.0, Ordering::Relaxed);
    }

    /// Whether the upstream has sent something after `moment`.
    pub(crate) fn is_heard_after(&self, moment: Moment) -> bool {
        self.heard_at.load(Ordering::Relaxed) > moment.0
    }
}
