//! Pool of gRPC channels to agents. A channel connects lazily and reconnects after a failure.

use std::sync::Mutex;
use std::time::Duration;

use mustardrill_proto::agent_client::AgentClient;
use mustardrill_types::FastMap;
use tonic::transport::{Channel, Endpoint};

/// Largest gRPC message in bytes, in either direction; a whole chunk must fit into one message.
pub const MESSAGE_LIMIT: usize = 80_000_000;

/// HTTP/2 flow-control window of a stream in bytes, large enough for a typical chunk.
pub const STREAM_WINDOW: u32 = 4 << 20;

/// Metadata with which an agent refuses a request that it has not read, and so has not run.
pub const NOT_RUN_METADATA: &str = "mustardrill-not-run";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Channels to agents by address, shared by all calls to the same agent.
#[derive(Debug, Default)]
pub struct AgentPool {
    channels: Mutex<FastMap<Box<str>, Channel>>,
}

impl AgentPool {
    /// Returns a client for the agent at `address`, or `None` if the address is not valid. The
    /// connection is established by the first call.
    pub fn client(&self, address: &str) -> Option<AgentClient<Channel>> {
        let mut channels = self.channels.lock().expect("no lock holder panics");
        let channel = match channels.get(address) {
            Some(channel) => channel.clone(),
            None => {
                let channel = open_channel(address)?;
                channels.insert(address.into(), channel.clone());
                channel
            }
        };
        let client = AgentClient::new(channel).max_decoding_message_size(MESSAGE_LIMIT);
        Some(client.max_encoding_message_size(MESSAGE_LIMIT))
    }

    /// Closes the channels to addresses that are not in `listed`.
    pub fn retain(&self, listed: &[Box<str>]) {
        let mut channels = self.channels.lock().expect("no lock holder panics");
        channels.retain(|address, _| listed.contains(address));
    }
}

fn open_channel(address: &str) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
    let endpoint = endpoint.initial_stream_window_size(STREAM_WINDOW);
    Some(endpoint.initial_connection_window_size(STREAM_WINDOW * 2).connect_lazy())
}
