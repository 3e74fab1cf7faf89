//! Whether upstreams that send nothing accept connections.

use std::net::SocketAddr;
use std::sync::Mutex;

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};
use mustardrill_types::{FastMap, Millis, Moment};

use crate::direct::connections::accepts_connection;

/// How long a result is shared by the requests at an upstream, which mostly fall silent at once.
const RESULT_LIFETIME: Millis = Millis(400);

/// Probes of silent upstreams, one at a time for each.
#[derive(Debug, Default)]
pub(crate) struct ReachabilityProbes {
    probes: Mutex<FastMap<SocketAddr, ReachabilityProbe>>,
}

/// A probe in progress, or its result.
#[derive(Debug)]
struct ReachabilityProbe {
    started_at: Moment,
    result: Shared<BoxFuture<'static, bool>>,
}

impl ReachabilityProbes {
    /// Whether the upstream at `address` accepts a connection.
    pub(crate) async fn is_reachable(&self, now: Moment, address: SocketAddr) -> bool {
        let result = {
            let mut probes = self.probes.lock().expect("no lock holder panics");
            probes.retain(|_, probe| now.since(probe.started_at) < RESULT_LIFETIME);
            let probe = probes.entry(address).or_insert_with(|| ReachabilityProbe {
                started_at: now,
                result: accepts_connection(address).boxed().shared(),
            });
            probe.result.clone()
        };
        result.await
    }
}
