//! State shared by the tasks of one entry.

use cadence::StatsdClient;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_runtime::body_memory::BodyMemory;
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::origin::WeightOrigin;
use mustardrill_runtime::platform::{InstanceList, KeyValue};
use mustardrill_types::InstanceId;
use tokio_util::sync::CancellationToken;

use crate::agent_clocks::AgentClocks;
use crate::config::{AccessConfig, CallerConfig, EditConfig};

/// The key of the catalogue in the platform's key-value service.
pub(crate) const CATALOGUE_KEY: &str = "mustardrill/catalogue";

/// The clients, settings and clock that the tasks of one entry share. The reducer has no access to
/// them.
pub(crate) struct EntryContext {
    pub(crate) own: InstanceId,
    pub(crate) clock: ProcessClock,
    pub(crate) key_value: Box<dyn KeyValue>,
    pub(crate) instances: Box<dyn InstanceList>,
    pub(crate) origin: Box<dyn WeightOrigin>,
    pub(crate) agents: AgentPool,
    pub(crate) agent_clocks: AgentClocks,
    pub(crate) access: AccessConfig,
    pub(crate) callers: CallerConfig,
    pub(crate) body_memory: BodyMemory,
    pub(crate) edits: EditConfig,
    pub(crate) metrics: StatsdClient,
    pub(crate) halt: CancellationToken,
}
