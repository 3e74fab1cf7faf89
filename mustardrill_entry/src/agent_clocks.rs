//! Estimates the agents' clocks. A deadline given in the agent's own time still holds if the entry
//! or the connection is suspended for any time after the request was built.

use std::sync::Mutex;

use mustardrill_types::{FastMap, InstanceId, Moment};

/// The latest sample of each agent's clock.
#[derive(Debug, Default)]
pub(crate) struct AgentClocks {
    samples: Mutex<FastMap<InstanceId, ClockSample>>,
}

/// The time that an agent's clock showed in a reply, and when that reply was received.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    agent_ms: u64,
    received_at: Moment,
}

impl AgentClocks {
    /// Records a sample of an agent's clock.
    pub(crate) fn record(&self, received_at: Moment, id: &InstanceId, agent_ms: u64) {
        let mut samples = self.samples.lock().expect("no lock holder panics");
        samples.insert(id.clone(), ClockSample { agent_ms, received_at });
    }

    /// Estimates the agent's clock at this entry's `moment`, never later than it really is; 0 if
    /// unknown.
    ///
    /// The estimate assumes that the reply took no time to arrive, so that a deadline computed from
    /// it ends early rather than late.
    pub(crate) fn agent_ms_at(&self, moment: Moment, id: &InstanceId) -> u64 {
        let samples = self.samples.lock().expect("no lock holder panics");
        samples.get(id).map_or(0, |sample| sample.agent_ms + moment.since(sample.received_at).0)
    }
}
