//! Small stand-ins for the platform, the origin and the upstreams, speaking ordinary HTTP.
//!
//! Each does just what the brief says of the real one, with switches for its failures. The
//! programs under `examples/` start them as processes; tests start them within their own.
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

use mustardrill_runtime::http::{HttpHandler, HttpServer};
use tokio_util::sync::CancellationToken;

/// A running stand-in.
#[derive(Debug)]
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
    stop: CancellationToken,
}

impl StandIn {
    /// Starts answering at `address` with `handler`.
    pub async fn spawn(
        address: SocketAddr,
        handler: Box<dyn HttpHandler>,
    ) -> std::io::Result<Self> {
        let stop = CancellationToken::new();
        let server = HttpServer::bind(address, handler, stop.clone()).await?;
        Ok(Self { address: server.address, stop })
    }

    /// Ends it; connections that are open end after their request.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.stop();
    }
}
