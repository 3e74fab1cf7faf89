//! Small HTTP stand-ins for the platform, the origin and the upstreams, for tests and benchmarks.
//!
//! Each behaves as the real service is specified, with switches for its failures. The programs under
//! `examples/` run them as processes; tests also run them within their own process.
#![deny(missing_docs, unsafe_code, clippy::unwrap_used)]

pub mod access;
pub mod engine;
pub mod experiment;
pub mod fault;
pub mod instances;
pub mod key_value;
pub mod lab;
mod lab_settings;
pub mod link;
pub mod load;
pub mod origin;
pub mod pace;
pub mod plain;
pub mod process;
pub mod program;
pub mod scenario;

use std::net::SocketAddr;

use mustardrill_runtime::client_connections::ClientConnections;
use mustardrill_runtime::http::HttpHandler;
use mustardrill_runtime::http_server::HttpServer;
use tokio_util::sync::CancellationToken;

/// A running stand-in; dropping it stops the server.
#[derive(Debug)]
pub struct StandIn {
    /// Address at which it listens.
    pub address: SocketAddr,
    stop: CancellationToken,
}

impl StandIn {
    /// Starts a server for `handler`; port zero picks a free port. Fails where the address is taken.
    pub async fn spawn(
        address: SocketAddr,
        handler: Box<dyn HttpHandler>,
    ) -> std::io::Result<Self> {
        let stop = CancellationToken::new();
        let clients = ClientConnections::unlimited();
        let server = HttpServer::bind(address, handler, &clients, stop.clone()).await?;
        Ok(Self { address: server.address, stop })
    }

    /// Stops accepting connections; open ones are closed after their current request.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.stop();
    }
}
