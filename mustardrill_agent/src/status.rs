//! The agent's HTTP service for its own machine: staged weights for the engine, status for
//! operators.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use kameo::prelude::*;
use mustardrill_runtime::http::{AnyResponse, HttpHandler, json_response, text_response};
use serde::Serialize;

use crate::actor::{AgentActor, StatusQuery, StatusReply};
use crate::weights_http::WeightsHandler;

/// Serves `GET /status`, and passes all other paths to `WeightsHandler`.
pub(crate) struct StatusHandler {
    pub(crate) weights: Box<WeightsHandler>,
    /// Set once the actor runs, shortly after the listener is bound.
    pub(crate) actor: Arc<OnceLock<ActorRef<AgentActor>>>,
}

#[derive(Serialize)]
struct StatusBody {
    generation: u64,
    leaving: bool,
    outstanding: u32,
    capacity: u32,
    serving: Vec<Box<str>>,
    /// Bytes of chunks sent to peers since the agent started.
    sent_bytes: u64,
    versions: Vec<VersionBody>,
}

#[derive(Serialize)]
struct VersionBody {
    model: Box<str>,
    manifest: Box<str>,
    state: &'static str,
    held: u32,
    total: u32,
    origin_bytes: u64,
    peer_bytes: u64,
    /// Estimated time until all chunks are held; `None` where there is no estimate.
    remaining_ms: Option<u64>,
    trouble: Box<str>,
}

impl HttpHandler for StatusHandler {
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, AnyResponse> {
        if request.uri().path() != "/status" {
            return self.weights.handle(request, peer);
        }
        let actor = self.actor.get().cloned();
        Box::pin(async move {
            let Some(actor) = actor else {
                return text_response(StatusCode::SERVICE_UNAVAILABLE, "starting\n");
            };
            match actor.ask(StatusQuery).await {
                Ok(status) => json_response(StatusCode::OK, &StatusBody::from(status)),
                Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
            }
        })
    }
}

impl From<StatusReply> for StatusBody {
    fn from(status: StatusReply) -> Self {
        let versions = status.progress.into_iter().map(|row| VersionBody {
            model: row.model.as_str().into(),
            manifest: row.digest.to_string().into(),
            state: row.state,
            held: row.held,
            total: row.total,
            origin_bytes: row.origin_bytes,
            peer_bytes: row.peer_bytes,
            remaining_ms: row.remaining.map(|left| left.0),
            trouble: row.trouble,
        });
        Self {
            generation: status.generation.0,
            leaving: status.leaving,
            outstanding: status.outstanding,
            capacity: status.capacity,
            serving: status.serving.iter().map(|digest| digest.to_string().into()).collect(),
            sent_bytes: status.sent_bytes,
            versions: versions.collect(),
        }
    }
}
