//! What the tasks of one entry share.

use cadence::StatsdClient;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::origin::WeightOrigin;
use mustardrill_runtime::platform::{InstanceList, KeyValue};
use mustardrill_types::InstanceId;
use tokio_util::sync::CancellationToken;

use crate::agent_clocks::ClockTable;
use crate::config::{AccessConfig, CallerConfig, EditConfig};

/// The key of the catalogue in the platform's service.
pub(crate) const CATALOGUE_KEY: &str = "mustardrill/catalogue";

/// The borders of one entry to the outside; the reducer knows none of them.
pub(crate) struct EntryContext {
    pub(crate) own: InstanceId,
    pub(crate) clock: ProcessClock,
    pub(crate) key_value: Box<dyn KeyValue>,
    pub(crate) instances: Box<dyn InstanceList>,
    pub(crate) origin: Box<dyn WeightOrigin>,
    pub(crate) agents: AgentPool,
    pub(crate) clocks: ClockTable,
    pub(crate) access: AccessConfig,
    pub(crate) callers: CallerConfig,
    pub(crate) edits: EditConfig,
    pub(crate) metrics: StatsdClient,
    pub(crate) halt: CancellationToken,
}
