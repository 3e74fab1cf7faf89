//! What the tasks of one agent share.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use cadence::StatsdClient;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::origin::WeightOrigin;
use mustardrill_runtime::platform::{InstanceList, KeyValue};
use mustardrill_types::InstanceId;
use tokio_util::sync::CancellationToken;

use crate::incarnation::StartCounter;
use crate::link::{LinkPace, UploadGate};
use crate::store::ChunkStore;
use crate::upstream::Upstream;

impl std::fmt::Debug for AgentContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("AgentContext").field("own", &self.own).finish_non_exhaustive()
    }
}

/// The borders of one agent to the outside; the reducer knows none of them.
pub(crate) struct AgentContext {
    pub(crate) own: InstanceId,
    pub(crate) clock: ProcessClock,
    pub(crate) store: Arc<ChunkStore>,
    pub(crate) origin: Box<dyn WeightOrigin>,
    pub(crate) key_value: Box<dyn KeyValue>,
    pub(crate) instances: Box<dyn InstanceList>,
    pub(crate) upstream: Box<dyn Upstream>,
    pub(crate) starts: Mutex<StartCounter>,
    pub(crate) peers: AgentPool,
    pub(crate) uploads: UploadGate,
    pub(crate) downloads: LinkPace,
    pub(crate) sent_bytes: AtomicU64,
    pub(crate) metrics: StatsdClient,
    /// The key of the upstream's owner in the platform's service.
    pub(crate) owner_key: Box<str>,
    pub(crate) owner_span: mustardrill_types::Millis,
    /// Where the engine fetches staged weights, up to the digest.
    pub(crate) weights_base: Box<str>,
    pub(crate) halt: CancellationToken,
}
