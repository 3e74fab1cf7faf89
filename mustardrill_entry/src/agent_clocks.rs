//! What is known of the agents' clocks, for deadlines that hold however long an entry is paused.

use std::sync::Mutex;

use mustardrill_types::{FastMap, InstanceId, Moment};

/// The last sample of each agent's clock.
#[derive(Debug, Default)]
pub(crate) struct ClockTable {
    samples: Mutex<FastMap<InstanceId, ClockSample>>,
}

/// What an agent's clock showed when its answer came.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    agent_ms: u64,
    heard: Moment,
}

impl ClockTable {
    /// Notes what an agent's clock showed.
    pub(crate) fn note(&self, heard: Moment, id: &InstanceId, agent_ms: u64) {
        let mut samples = self.samples.lock().expect("nobody panics under this lock");
        samples.insert(id.clone(), ClockSample { agent_ms, heard });
    }

    /// The agent's clock at this entry's `moment`, never later than it really is; 0 if unknown.
    ///
    /// The sample is taken as if the agent had answered in the moment the answer came, so the
    /// deadline that is worked out from it ends early rather than late.
    pub(crate) fn agent_ms_at(&self, moment: Moment, id: &InstanceId) -> u64 {
        let samples = self.samples.lock().expect("nobody panics under this lock");
        samples.get(id).map_or(0, |sample| sample.agent_ms + moment.since(sample.heard).0)
    }
}
