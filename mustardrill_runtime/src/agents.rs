//! Connections to agents, kept open and made anew where they broke.

use std::sync::Mutex;
use std::time::Duration;

use mustardrill_proto::agent_client::AgentClient;
use mustardrill_types::FastMap;
use tonic::transport::{Channel, Endpoint};

/// The largest message between processes: a chunk with its headers, in bytes.
pub const MESSAGE_LIMIT: usize = 80_000_000;

/// How many bytes of a stream may be under way; a chunk should fit.
pub const STREAM_WINDOW: u32 = 4 << 20;

/// How long the making of a connection may take.
const CONNECT: Duration = Duration::from_secs(1);

/// The open connections by address.
#[derive(Debug, Default)]
pub struct AgentPool {
    channels: Mutex<FastMap<Box<str>, Channel>>,
}

impl AgentPool {
    /// A client of the agent at `address`; the connection is made with the first call.
    pub fn client(&self, address: &str) -> Option<AgentClient<Channel>> {
        let mut channels = self.channels.lock().expect("nobody panics under this lock");
        let channel = match channels.get(address) {
            Some(channel) => channel.clone(),
            None => {
                let channel = open(address)?;
                channels.insert(address.into(), channel.clone());
                channel
            }
        };
        let client = AgentClient::new(channel).max_decoding_message_size(MESSAGE_LIMIT);
        Some(client.max_encoding_message_size(MESSAGE_LIMIT))
    }

    /// Drops connections to addresses that are no longer listed.
    pub fn retain(&self, listed: &[Box<str>]) {
        let mut channels = self.channels.lock().expect("nobody panics under this lock");
        channels.retain(|address, _| listed.contains(address));
    }
}

fn open(address: &str) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint.connect_timeout(CONNECT).tcp_nodelay(true);
    let endpoint = endpoint.initial_stream_window_size(STREAM_WINDOW);
    Some(endpoint.initial_connection_window_size(STREAM_WINDOW * 2).connect_lazy())
}
