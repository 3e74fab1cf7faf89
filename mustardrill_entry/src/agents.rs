//! Connections to agents and what is known of their clocks.

use std::sync::Mutex;
use std::time::Duration;

use mustardrill_proto::agent_client::AgentClient;
use mustardrill_types::{FastMap, InstanceId, Moment};
use tonic::transport::{Channel, Endpoint};

/// The largest message taken from an agent, in bytes.
const MESSAGE_LIMIT: usize = 80_000_000;

/// The agents that an entry talks to.
#[derive(Debug, Default)]
pub(crate) struct AgentPool {
    channels: Mutex<FastMap<Box<str>, Channel>>,
    clocks: Mutex<FastMap<InstanceId, ClockSample>>,
}

/// What an agent's clock showed when its answer came.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    agent_ms: u64,
    heard: Moment,
}

impl AgentPool {
    /// A client of the agent at `address`; the connection is made with the first call.
    pub(crate) fn client(&self, address: &str) -> Option<AgentClient<Channel>> {
        let mut channels = self.channels.lock().expect("nobody panics under this lock");
        let channel = match channels.get(address) {
            Some(channel) => channel.clone(),
            None => {
                const CONNECT: Duration = Duration::from_secs(1);
                let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
                let endpoint = endpoint.connect_timeout(CONNECT).tcp_nodelay(true);
                let channel = endpoint.connect_lazy();
                channels.insert(address.into(), channel.clone());
                channel
            }
        };
        Some(AgentClient::new(channel).max_decoding_message_size(MESSAGE_LIMIT))
    }

    /// Drops connections to addresses that are no longer listed.
    pub(crate) fn retain(&self, listed: &[Box<str>]) {
        let mut channels = self.channels.lock().expect("nobody panics under this lock");
        channels.retain(|address, _| listed.contains(address));
    }

    /// Notes what an agent's clock showed.
    pub(crate) fn note_clock(&self, heard: Moment, id: &InstanceId, agent_ms: u64) {
        let mut clocks = self.clocks.lock().expect("nobody panics under this lock");
        clocks.insert(id.clone(), ClockSample { agent_ms, heard });
    }

    /// The agent's clock at this entry's `moment`, never later than it really is; 0 if unknown.
    ///
    /// The sample is taken as if the agent had answered in the moment the answer came, so the
    /// deadline that is worked out from it ends early rather than late.
    pub(crate) fn agent_ms_at(&self, moment: Moment, id: &InstanceId) -> u64 {
        let clocks = self.clocks.lock().expect("nobody panics under this lock");
        clocks.get(id).map_or(0, |sample| sample.agent_ms + moment.since(sample.heard).0)
    }
}
