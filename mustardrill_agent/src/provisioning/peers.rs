//! Exchange with other agents: holdings by datagram, chunk lists and chunks over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use kameo::prelude::*;
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_core::provisioning::{HoldingsReport, ProvisioningEvent, VersionId};
use mustardrill_runtime::adapters::StagedChunk;
use mustardrill_runtime::datagram::{DATAGRAM_LIMIT, Datagram, HoldingRow};
use mustardrill_runtime::http::{AnyResponse, HttpHandler, buffered_body, text_response};
use mustardrill_runtime::peer_call::PeerCall;
use mustardrill_runtime::supervision;
use mustardrill_types::{ChunkIndex, Millis, WeightVersion};

use crate::provisioning::actor::{
    ChunkListQuery, Event, HoldsChunkQuery, ProvisioningActor, ProvisioningContext,
};

/// How long the queued uploads may occupy the link; below it, one more chunk is accepted. That
/// keeps the link busy, but does not hold up events of answers, which go over the same link.
const UPLOAD_QUEUE_LIMIT: Millis = Millis(45);

/// Estimated size of an upload, used before the chunk is read.
const TYPICAL_CHUNK_BYTES: usize = 24_576;

/// Serves chunk lists and chunks to other agents.
pub(crate) struct PeerHandler {
    actor: ActorRef<ProvisioningActor>,
    context: Arc<ProvisioningContext>,
}

impl PeerHandler {
    pub(crate) fn new(
        actor: ActorRef<ProvisioningActor>,
        context: Arc<ProvisioningContext>,
    ) -> Self {
        Self { actor, context }
    }
}

impl HttpHandler for PeerHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let (actor, context) = (self.actor.clone(), self.context.clone());
        Box::pin(async move {
            match PeerCall::read(request.uri()) {
                Some(PeerCall::List(version)) => serve_chunk_list(&actor, version).await,
                Some(PeerCall::Chunk(version, index)) => {
                    serve_chunk(&actor, &context, version, index).await
                }
                // Agents fetch nothing on behalf of others; only entries do.
                _ => text_response(StatusCode::NOT_FOUND, "unknown path\n"),
            }
        })
    }
}

async fn serve_chunk_list(actor: &ActorRef<ProvisioningActor>, version: VersionId) -> AnyResponse {
    let list = actor.ask(ChunkListQuery(version.clone())).await.ok().and_then(|reply| reply.0);
    if let Some(list) = list {
        return Response::new(buffered_body(list.published.clone()));
    }
    // The peer retries shortly; this event makes the agent fetch the list until then.
    let _ = actor.tell(Event(ProvisioningEvent::ManifestRequested(version))).await;
    text_response(StatusCode::NOT_FOUND, "not here\n")
}

async fn serve_chunk(
    actor: &ActorRef<ProvisioningActor>,
    context: &ProvisioningContext,
    version: VersionId,
    index: ChunkIndex,
) -> AnyResponse {
    let model = version.model.clone();
    if !actor.ask(HoldsChunkQuery(version, index)).await.unwrap_or(false) {
        return text_response(StatusCode::NOT_FOUND, "not here\n");
    }
    if context
        .uploads
        .accept(context.clock.now(), TYPICAL_CHUNK_BYTES, UPLOAD_QUEUE_LIMIT)
        .is_none()
    {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    }
    match context.adapters.engine.staged(&model, index).await {
        StagedChunk::Held(bytes) => Response::new(buffered_body(bytes)),
        StagedChunk::Missing => text_response(StatusCode::NOT_FOUND, "not staged\n"),
        StagedChunk::Unanswered => text_response(StatusCode::SERVICE_UNAVAILABLE, "busy\n"),
    }
}

/// Sends the chunks held of a version to other agents.
pub(crate) fn send_holdings(
    context: Arc<ProvisioningContext>,
    version: &VersionId,
    to: Vec<SocketAddr>,
    bitmap: &ChunkBitmap,
    wants_reply: bool,
) {
    let mut datagram = Datagram::new(&context.config.settings.own_id);
    datagram.holding = Some(HoldingRow {
        model: version.model.to_string(),
        version: version.version.0,
        bitmap: bitmap.to_bytes(),
        queue: context.uploads.waiting(context.clock.now(), TYPICAL_CHUNK_BYTES),
        wants_reply,
    });
    send(context, datagram, to);
}

/// Sends a datagram to each address; failures are only logged.
pub(crate) fn send(context: Arc<ProvisioningContext>, datagram: Datagram, to: Vec<SocketAddr>) {
    let bytes = datagram.to_bytes();
    tokio::spawn(async move {
        for address in to {
            if let Err(error) = context.socket.send_to(&bytes, address).await {
                log::debug!("datagram to={address} outcome=unsent reason=\"{error}\"");
            }
        }
    });
}

/// Starts to receive datagrams.
pub(crate) fn spawn_receiver(
    actor: ActorRef<ProvisioningActor>,
    context: Arc<ProvisioningContext>,
) {
    let halt = context.halt.clone();
    supervision::spawn("datagrams", halt, move || {
        receive_datagrams(actor.clone(), context.clone())
    });
}

async fn receive_datagrams(actor: ActorRef<ProvisioningActor>, context: Arc<ProvisioningContext>) {
    const ERROR_DELAY: Duration = Duration::from_millis(50);
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        match context.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                if let Some(event) = Datagram::read(&buffer[..length]).and_then(event_of) {
                    // Waits until it is handled: the kernel drops what comes faster.
                    let _ = actor.ask(Event(event)).await;
                }
            }
            Err(error) => {
                // The error is of an earlier datagram, sent to a port that is closed by now.
                log::debug!("datagram outcome=unheard reason=\"{error}\"");
                tokio::time::sleep(ERROR_DELAY).await;
            }
        }
    }
}

fn event_of(datagram: Datagram) -> Option<ProvisioningEvent> {
    if let Some(announced) = datagram.announced_version {
        let version = WeightVersion(announced.version);
        return Some(ProvisioningEvent::VersionReported(announced.model.parse().ok()?, version));
    }
    holdings_of(datagram).map(ProvisioningEvent::HoldingsReceived)
}

fn holdings_of(datagram: Datagram) -> Option<HoldingsReport> {
    let row = datagram.holding?;
    let version = VersionId { model: row.model.parse().ok()?, version: WeightVersion(row.version) };
    Some(HoldingsReport {
        from: datagram.from.parse().ok()?,
        version,
        bitmap: row.bitmap.into(),
        queue: row.queue,
        wants_reply: row.wants_reply,
    })
}
