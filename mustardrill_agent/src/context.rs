//! State shared by the tasks of one agent.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use cadence::StatsdClient;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::origin::WeightOrigin;
use mustardrill_runtime::platform::{InstanceList, KeyValue};
use mustardrill_types::InstanceId;
use tokio_util::sync::CancellationToken;

use crate::incarnation::IncarnationCounter;
use crate::link::{RateLimiter, UploadLimiter};
use crate::store::ChunkStore;
use crate::upstream::Upstream;

impl std::fmt::Debug for AgentContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("AgentContext").field("own", &self.own).finish_non_exhaustive()
    }
}

/// The clock, the clients and the limits of one agent; the reducer uses none of them.
pub(crate) struct AgentContext {
    pub(crate) own: InstanceId,
    pub(crate) clock: ProcessClock,
    pub(crate) store: Arc<ChunkStore>,
    pub(crate) origin: Box<dyn WeightOrigin>,
    pub(crate) key_value: Box<dyn KeyValue>,
    pub(crate) instances: Box<dyn InstanceList>,
    pub(crate) upstream: Box<dyn Upstream>,
    pub(crate) incarnations: Mutex<IncarnationCounter>,
    pub(crate) peers: AgentPool,
    pub(crate) uploads: UploadLimiter,
    pub(crate) downloads: RateLimiter,
    /// Bytes of chunks sent to peers.
    pub(crate) sent_bytes: AtomicU64,
    pub(crate) metrics: StatsdClient,
    /// The key in the platform's key-value store that names the owner of the upstream.
    pub(crate) owner_key: Box<str>,
    /// The time to live of the lease on the owner's key.
    pub(crate) owner_lease_ttl: mustardrill_types::Millis,
    /// The URL from which the engine fetches staged weights, without the digest at its end.
    pub(crate) weights_base_url: Box<str>,
    pub(crate) halt: CancellationToken,
}
